// The shapes of the fleets: machines, runners, configuration and callers of each deployment, for real processes and for
// the simulator alike.
#pragma once
#include "coding/json.hpp"
#include "configuration/resources.hpp"

namespace mothwalk {

struct StreamLoad {
  std::string name, path;
  double rate = 1;
  std::uint32_t pieces = 8, body_bytes = 200, prefix_bytes = 0, prefixes = 4;
  bool repeatable = false;
  MOTHWALK_FIELDS(name, path, rate, pieces, body_bytes, prefix_bytes, prefixes, repeatable)
};
struct LotLoad {
  std::string name, lane;
  double rate = 1;
  std::uint32_t items = 10, item_bytes = 100;
  Duration deadline = std::chrono::seconds(8);
  bool repeatable = true;
  std::uint32_t cancel_every = 0;
  MOTHWALK_FIELDS(name, lane, rate, items, item_bytes, deadline, repeatable, cancel_every)
};

struct MachineShape {
  std::string zone;
  bool disk = false;
  std::string keeps;  // as in Member
  Address address, client_address, control_address;
  std::string folder;
  int pid = 0;
  // Simulated time that handling a kilobyte of a message takes; zero: none.
  Duration time_per_kilobyte{};
};

struct RunnerShape {
  std::string name, kind, zone;
  Address address;
  Address control_address = {};  // where a stand-in is told its mode and asked for its counts
  std::uint32_t slots = 4;
  double cold = 0;
  int pid = 0;
  std::uint32_t connections = 0;  // that it takes from all callers together; 0: no bound
  Duration idle{};                // how long it says that it keeps idle connections; zero: it does not say
};

struct Shape {
  std::string name;
  bool told_first_start =
      false;  // daemons are told whether the fleet starts for the first time; any three may be seeds
  std::vector<MachineShape> machines;
  std::vector<RunnerShape> runners;
  std::vector<std::pair<std::string, json::object>> resources;  // "type/name" and spec, in the order to apply
  std::vector<StreamLoad> streams;
  std::vector<LotLoad> lots;
};

Shape thin_shape();
Shape small_shape();  // the simulator's default: three zones, six holders of which five vote
Shape altiplano_shape(double load_factor);
Shape sestavna_shape(double load_factor);
Shape platform_shape();  // as the users' platform has it: control state on edge machines' small disks, lots on others
Shape farm_shape();      // the same with three holders of control state and three of lots, the fewest that bear a loss
Shape storage_shape();   // eight holders of lots with slow processors, two of which may lose their disks at once
Shape grown_shape();     // many serving machines before few runners of a small service that limits its connections

Shape crowded_shape();  // real processes: more daemons than the runners of a small service take connections

Shape shape_named(const std::string& name, double load_factor);

}  // namespace mothwalk
