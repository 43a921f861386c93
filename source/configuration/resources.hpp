// The operators' resources: what a lane, a kind, a runner, a zone, the lot settings and a holder's mark hold, and what
// the system itself writes (circle, roster). Each document is checked whole before it is taken.
#pragma once
#include "coding/json.hpp"
#include "mothwalk.hpp"

namespace mothwalk {

struct CircleSettings {
  bool all = false;     // plain kinds may put every runner in the circle
  double target = 0.6;  // medium load (ours)
  std::uint32_t concurrency =
      0;  // live prompts that count as full load of a runner, where fewer than its slots; 0: its slots
  double high_water = 0.9;  // an early cycle above this load (ours)
  Duration cycle = std::chrono::seconds(60);
  std::uint32_t floor = 2;
  std::uint32_t reserve = 1;  // runners kept outside while lots are pending (ours)
  Duration ramp = std::chrono::seconds(10);
  MOTHWALK_FIELDS(all, target, concurrency, high_water, cycle, floor, reserve, ramp)
};

// What a kind's model engine bears; zero tokens of memory: these runners are no model engines.
struct Engine {
  std::uint64_t memory_tokens = 0;  // of all running requests and kept prompt parts of one runner
  MOTHWALK_FIELDS(memory_tokens)
};

struct Kind {
  CircleSettings circle;
  std::vector<std::uint32_t>
      refusals;                   // statuses that these runners give only for work that was not and never will be run
  double overcommit = 1.5;        // prompts per slot that a runner may be given before callers wait
  std::uint32_t connections = 0;  // that one runner takes from all callers together; 0: no bound
  std::string health_path;        // of the runners' own health answers; empty: none is asked
  Duration warming{};             // how long a runner is cold after a start
  double cold_rate = 0;           // requests a second that a cold runner bears from all senders together; 0: no bound
  Engine engine;
  MOTHWALK_FIELDS(circle, refusals, overcommit, connections, health_path, warming, cold_rate, engine)
};

struct Runner {
  KindId kind;
  Address address;
  ZoneId zone;
  std::uint32_t slots = 4;
  bool leaving = false;
  std::uint64_t generation = 0;  // raised by the platform with each new start of the runner's process
  Duration cold{};               // how much longer it is cold, as its source said last
  MOTHWALK_FIELDS(kind, address, zone, slots, leaving, generation, cold)
};

// Of what a runner bears at full load, the part that items of lots may use where live prompts use the runner too.
inline std::uint32_t items_beside_prompts(const Kind& kind, const Runner& runner) {
  const std::uint32_t limit = kind.circle.concurrency;
  const std::uint32_t full = limit == 0 ? runner.slots : std::min(limit, runner.slots);
  return std::max(1u, full / 2);
}

// A kind's share of a lane's requests, by weight.
struct KindShare {
  KindId kind;
  double weight = 1;
  MOTHWALK_FIELDS(kind, weight)
};

struct Lane {
  std::string path;
  KindId kind;
  std::vector<KindShare> shares;  // several kinds instead of the one
  std::string host;               // lower case; empty: requests for any host
  bool streaming = false;         // answers are series of events with rising ids
  bool resumable = false;         // a stream may be taken up at another runner after the last event that came
  bool batch = false;             // takes kept lots, not live requests
  std::uint32_t attempts = 0;     // the most runners that one request may be sent to; 0: retries + 1
  std::uint32_t rank = 0;         // 0 is served first
  bool affinity = false;          // the parts of the prompt choose the runner that keeps them
  Duration aim{};                 // time to the first piece (or whole answer) that earns full worth; 0: none
  Duration gap{};                 // the longest pause between events that is in time; 0: none
  Duration completion{};          // of a lot, from its submission, by which all results are due
  Duration retention{};           // of a lot, from its submission, after which items may be given up
  bool repeatable = false;
  std::uint32_t retries = 2;
  std::uint32_t affinity_bytes = 0;  // so many bytes of the body's beginning choose the runner that has them cached
  std::uint32_t waiting_room = 256;  // requests of this lane that may wait in one daemon
  Duration waiting = std::chrono::milliseconds(2000);
  Duration connecting = std::chrono::milliseconds(500);
  Duration first_piece = std::chrono::milliseconds(10000);
  Duration between_pieces = std::chrono::milliseconds(5000);
  Duration taking = std::chrono::milliseconds(10000);  // in which a caller with a full backlog takes something
  Duration whole = std::chrono::milliseconds(60000);
  MOTHWALK_FIELDS(path, kind, shares, host, streaming, resumable, batch, attempts, rank, affinity, aim, gap, completion,
                  retention, repeatable, retries, affinity_bytes, waiting_room, waiting, connecting, first_piece,
                  between_pieces, taking, whole)
  std::vector<KindShare> kinds() const { return shares.empty() ? std::vector<KindShare>{{kind, 1}} : shares; }
};

struct Zone {
  bool evacuated = false;
  MOTHWALK_FIELDS(evacuated)
};

struct LotSettings {
  std::uint32_t items = 1000;                     // items in one lot
  std::uint32_t lots = 4096;                      // lots kept at once by one holder's slots
  Duration retention = std::chrono::minutes(10);  // a finished lot stays readable so long
  MOTHWALK_FIELDS(items, lots, retention)
};

struct StorageNodeMark {
  bool retired = false;
  MOTHWALK_FIELDS(retired)
};

// The one daemon that places items on a runner outside the circle. Terms rise; lots' owners refuse to go below.
struct Placer {
  Address address;
  std::uint64_t incarnation = 0, term = 0;
  auto operator<=>(const Placer&) const = default;
  MOTHWALK_FIELDS(address, incarnation, term)
};

// A service-level aim for a lane: what share of its requests is to be answered, and how many of all within what time.
struct Aim {
  std::string lane;
  double answered = 0.99;
  Duration first_piece = std::chrono::milliseconds(2000);
  double in_time = 0.95;
  MOTHWALK_FIELDS(lane, answered, first_piece, in_time)
};

struct Circle {
  std::vector<RunnerId> members;
  std::vector<RunnerId> warm;                        // members whose ramp is over
  std::vector<RunnerId> dark;                        // runners that do not answer: neither members nor workers of lots
  std::map<std::string, std::uint64_t> generations;  // of the members: another one in force means a cold runner
  std::map<std::string, std::uint64_t> ramps;        // of the members: counts up when the ramp begins anew
  std::map<std::string, Placer> placers;             // of the runners outside, and of members that lots share
  std::uint64_t term = 0;
  std::uint32_t daemons = 0;  // that route requests, as far as the circle duty has seen of late
  double load = 0;
  double law = 0;  // the PI law's unrounded size
  double error = 0;
  std::uint64_t cycle = 0;
  std::string reason;
  MOTHWALK_FIELDS(members, warm, dark, generations, ramps, placers, term, daemons, load, law, error, cycle, reason)
  bool has(const std::string& runner) const;
  // Whether the member takes items of lots beside its prompts.
  bool shares(const std::string& runner) const { return has(runner) && placers.contains(runner); }
  // Whether the runner may bear its whole share: its ramp is over, and it was not started anew since.
  bool bears(const std::string& runner, std::uint64_t generation) const;
};

struct Voter {
  StorageNodeId holder;
  Address address;
  ZoneId zone;
  std::string name = {};  // of the machine, where operators name one
  bool joining = false;   // it votes, but may lack records still: it owns slots only where no other seat can
  auto operator<=>(const Voter&) const = default;
  MOTHWALK_FIELDS(holder, address, zone, name, joining)
};

struct Roster {
  Version version;
  std::vector<Voter> seats;
  MOTHWALK_FIELDS(version, seats)
  std::size_t majority() const { return seats.size() / 2 + 1; }
  bool seated(const StorageNodeId& holder) const;
};

// What callers may send and how long they may idle.
struct CallerLimits {
  std::uint64_t header_bytes = 16384, body_bytes = 16u << 20;
  Duration header_time = std::chrono::seconds(60), idle_time = std::chrono::seconds(60);
  MOTHWALK_FIELDS(header_bytes, body_bytes, header_time, idle_time)
};

// Lanes, kinds and limits that operators change together, under one revision that they name. The document stays as it
// was written; what it says in the product's terms is read by a ConfigurationFormat.
struct FleetConfiguration {
  std::uint64_t revision = 0;
  Bytes document;
  MOTHWALK_FIELDS(revision, document)
};
struct ConfigurationContent {
  std::map<std::string, Lane> lanes;
  std::map<std::string, Kind> kinds;
  CallerLimits limits;
};
class ConfigurationFormat {
 public:
  virtual ~ConfigurationFormat() = default;
  virtual Result<ConfigurationContent> read(StringView document) const = 0;
};

// Runners as a list outside the product tells them, by name; they stand beside the declared ones.
struct RunnerListing {
  std::map<std::string, Runner> runners;
  MOTHWALK_FIELDS(runners)
};

template <class T>
struct Named {
  Stamp stamp;
  T spec;
};

template <class T>
using Table = std::map<std::string, Named<T>>;

struct ConfigurationView {
  Table<Lane> lanes;
  Table<Kind> kinds;
  Table<Runner> runners;
  Table<Zone> zones;
  Table<LotSettings> lots;
  Table<StorageNodeMark> holders;
  Table<Aim> aims;
  Table<Circle> circles;
  Roster roster;      // of the holders of control state, and of lots where no others hold these
  Roster lot_roster;  // of the holders of lots, where they are others
  Named<FleetConfiguration> fleet;
  CallerLimits limits;
  Stamp listing;  // of the list of runners in force
  std::uint64_t digest = 0;
  // The roster whose holders keep a key.
  const Roster& roster_of(StringView key) const {
    return key.starts_with("lot/") && !lot_roster.seats.empty() ? lot_roster : roster;
  }
  bool evacuated(const ZoneId& zone) const;
  // The lane of the longest path that the given one begins with, of those for the host before those for any.
  const Lane* lane_for(StringView path, std::string* name, StringView host = {}) const;
  std::set<std::string> listed;                              // the runners of the listing
  std::set<std::string> configured_lanes, configured_kinds;  // of the configuration
  LotSettings lot_settings() const;
};

// Puts a value under its key ("lane/audits") into the view, or takes it out; false where the value cannot be read.
bool put_in_view(ConfigurationView& view, StringView key, const Bytes* value, Stamp stamp,
                 const ConfigurationFormat* format = nullptr);

// Keys of what is kept or told once for the fleet.
inline constexpr StringView configuration_key = "configuration/fleet";
inline constexpr StringView listing_key = "listing/runners";
inline constexpr StringView lot_roster_key = "roster/lots";

// Checks an operator's document for a key against the view; gives the canonical text to keep.
Result<Bytes> check_document(StringView type, StringView name, StringView text, const ConfigurationView& view);
// Checks that a resource may be deleted.
Result<Success> check_removal(StringView type, StringView name, const ConfigurationView& view);
// The name of a type of resources today; a name of the release before 0.2 is understood for one release.
std::string current_type(StringView type);
bool is_resource_type(StringView type);
// 1 to 100 letters, digits, - _ . or :
bool is_resource_name(StringView name);
std::string resource_types();

}  // namespace mothwalk
