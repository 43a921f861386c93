// The shapes of the fleets for tests: the machines, runners, configuration and load of each modelled deployment. Tests
// with real processes and the simulator use the same shapes.
#pragma once
#include "coding/json.hpp"
#include "configuration/resources.hpp"

namespace mothwalk {

// A load of live requests. With zero pieces the responses are plain JSON documents instead of streams.
struct StreamLoad {
  std::string name, path;
  // The requests per second.
  double rate = 1;
  // The pieces of each response, the size of the request body, the size of the prompt prefix that some requests have in
  // common, and how many such prefixes there are.
  std::uint32_t pieces = 8, body_bytes = 200, prefix_bytes = 0, prefixes = 4;
  bool repeatable = false;
  MOTHWALK_FIELDS(name, path, rate, pieces, body_bytes, prefix_bytes, prefixes, repeatable)
};
// A load of lots, which are batches of requests ("items"). Zero for `deadline` means that the lots have none.
struct LotLoad {
  std::string name, lane;
  // The lots per second.
  double rate = 1;
  std::uint32_t items = 10, item_bytes = 100;
  Duration deadline = std::chrono::seconds(8);
  bool repeatable = true;
  // One of this many lots is cancelled after a moment. Zero means that no lot is cancelled.
  std::uint32_t cancel_every = 0;
  MOTHWALK_FIELDS(name, lane, rate, items, item_bytes, deadline, repeatable, cancel_every)
};

// A machine that runs one daemon.
struct MachineShape {
  std::string zone;
  // Whether the daemon has a data folder.
  bool disk = false;
  // What the data folder stores, as in Member: "control" for control state, "lots" for lots, empty for both.
  std::string keeps;
  // The addresses for other daemons, for clients and for operators.
  Address address, client_address, control_address;
  std::string folder;
  int pid = 0;
  // The simulated time for handling one kilobyte of a message. Zero means that handling takes no time.
  Duration time_per_kilobyte{};
};

struct RunnerShape {
  std::string name, kind, zone;
  Address address;
  // The address for setting the mode of stand-in-runner and for reading its counters.
  Address control_address = {};
  std::uint32_t slots = 4;
  double cold = 0;
  int pid = 0;
  // How many connections the runner accepts from all clients together. Zero means no limit.
  std::uint32_t connections = 0;
  // How long the runner announces that it keeps idle connections. With zero it announces nothing.
  Duration idle{};
};

// A whole deployment: its machines, runners, configuration and load.
struct Shape {
  std::string name;
  // Whether each daemon is started with the information if this is the first start of the fleet. Any three machines may
  // then be the seeds.
  bool knows_first_start = false;
  std::vector<MachineShape> machines;
  std::vector<RunnerShape> runners;
  // Keys of the form "type/name" with their specs, in the order in which they are applied.
  std::vector<std::pair<std::string, json::object>> resources;
  std::vector<StreamLoad> streams;
  std::vector<LotLoad> lots;
};

// The smallest fleet: four machines in two zones and four runners, for a test of each basic function.
Shape thin_shape();
// The simulator's default: three zones and six storage nodes, five of which vote.
Shape small_shape();
// Two large deployments. `load_factor` scales the request rates.
Shape altiplano_shape(double load_factor);
Shape sestavna_shape(double load_factor);
// The layout of the users' platform: edge machines store control state on small disks, other machines store lots.
Shape platform_shape();
// The same layout with three storage nodes for control state and three for lots, the fewest that tolerate a loss.
Shape farm_shape();
// Eight storage nodes for lots with slow processors. Two of them may lose their disks at the same time.
Shape storage_shape();
// Many serving machines and few runners of a small service that limits its connections.
Shape grown_shape();
// For real processes: more daemons than a runner of a small service accepts connections.
Shape crowded_shape();

// Returns the shape of this name, and the thin shape for any other name.
Shape shape_named(const std::string& name, double load_factor);

}  // namespace mothwalk
