// The configuration of the fleet: the resources that operators write (lane, kind, runner, zone, lot settings, storage
// node mark, aim) and the records that the system itself writes (circle, roster). Each document is validated completely
// before it is accepted.
//
// The fleet consists of daemons and runners. A runner is a server process outside this project that executes requests,
// for example a language model engine. Daemons accept client requests and forward them to runners. Requests come either
// live, with a client waiting for the response, or as items of a lot: a lot is a stored batch of requests, and an item
// is one request of it. A live request is also called a prompt. Some daemons are storage nodes: they have a data folder
// and replicate the control state (the records in this header), the lots, or both among themselves. The storage nodes
// that keep control state are the control daemons. They hold the sessions of the other daemons, and grant the leases
// under which these serve requests.
#pragma once
#include "coding/json.hpp"
#include "mothwalk.hpp"

namespace mothwalk {

// How the circle of one kind of runner is sized. See Circle.
struct CircleSettings {
  bool all = false;     // Keeps every usable runner in the circle instead of sizing the circle by load.
  double target = 0.6;  // The load that the controller aims at, as a fraction of the members' full load.

  // The number of live prompts that counts as full load of a runner, where that is fewer than its slots. 0 means all
  // its slots.
  std::uint32_t concurrency = 0;
  double high_water = 0.9;                    // Above this load the size is adjusted before the cycle ends.
  Duration cycle = std::chrono::seconds(60);  // The interval between two adjustments of the size.
  std::uint32_t floor = 2;                    // The smallest size of the circle.
  std::uint32_t reserve = 1;                  // Runners that stay outside the circle while lots are pending.
  Duration ramp = std::chrono::seconds(10);   // The warm-up period of a new member. See Circle::warm.
  MOTHWALK_FIELDS(all, target, concurrency, high_water, cycle, floor, reserve, ramp)
};

// The capacity of a kind's model engine. Zero tokens of memory mean that these runners are not model engines.
struct Engine {
  std::uint64_t memory_tokens = 0;  // Room of one runner for the tokens of running requests and cached prompt prefixes.
  MOTHWALK_FIELDS(memory_tokens)
};

// A kind is a class of runners that can stand in for one another: they execute the same requests and share settings.
struct Kind {
  CircleSettings circle;
  // HTTP error statuses by which these runners state that the request was not executed and never will be.
  std::vector<std::uint32_t> refusals;
  double overcommit = 1.5;        // Prompts per slot that a runner may be sent before further clients wait.
  std::uint32_t connections = 0;  // Connections that one runner accepts from all daemons together. 0 means no limit.
  std::string health_path;        // The path of the runners' health check. Empty means that it is not queried.

  // How long a runner stays cold after a start of its process. A cold runner can't take its normal load yet.
  Duration warming{};
  double cold_rate = 0;  // Requests per second that all senders together may send a cold runner. 0: no limit.
  Engine engine;
  MOTHWALK_FIELDS(circle, refusals, overcommit, connections, health_path, warming, cold_rate, engine)
};

// A runner is one server process that executes requests. It is outside this project and reached over HTTP.
struct Runner {
  KindId kind;
  Address address;
  ZoneId zone;
  std::uint32_t slots = 4;  // The number of requests that it executes at the same time.
  bool leaving = false;     // It is being removed and gets no new work.

  // Counts the starts of the runner's process, as stated by whoever declares the runner. A higher generation means a
  // new process, which is cold again.
  std::uint64_t generation = 0;
  Duration cold{};  // How much longer the runner is cold, as its source reported last.
  MOTHWALK_FIELDS(kind, address, zone, slots, leaving, generation, cold)
};

// How many items of lots a runner may execute at the same time while it also executes live prompts: half its full load,
// and at least one.
inline std::uint32_t items_beside_prompts(const Kind& kind, const Runner& runner) {
  const std::uint32_t limit = kind.circle.concurrency;
  const std::uint32_t full = limit == 0 ? runner.slots : std::min(limit, runner.slots);
  return std::max(1u, full / 2);
}

// One of the kinds that a lane's requests are divided among, in proportion to the weights.
struct KindShare {
  KindId kind;
  double weight = 1;
  MOTHWALK_FIELDS(kind, weight)
};

// A lane is a route: it selects client requests by path and host, names the kind of runner that executes them, and sets
// the rules for them, such as time limits, retries and queue length.
struct Lane {
  std::string path;  // The prefix of the request paths that belong to this lane.
  KindId kind;
  std::vector<KindShare> shares;  // Where not empty, these kinds take the place of the one above.
  std::string host;               // The host name in lower case. Empty means requests for any host.
  bool streaming = false;         // Responses are event streams with rising event ids.
  bool resumable = false;         // A broken stream may be resumed at another runner after the last event received.
  bool batch = false;             // The lane takes lots instead of live requests.
  std::uint32_t attempts = 0;     // The most runners that one request may be sent to. 0 means retries + 1.
  std::uint32_t rank = 0;         // The priority; rank 0 is served first.
  bool affinity = false;          // Requests go to the runner that has cached the beginning of their prompt.

  // A response counts in full if its first chunk, or all of it where it does not stream, comes within this time of the
  // request. 0 means that there is no such target.
  Duration aim{};
  Duration gap{};           // The longest pause between two events of a stream that counts as in time. 0: no limit.
  Duration completion{};    // The time from a lot's submission by which all its results are due.
  Duration retention{};     // The time from a lot's submission after which unfinished items may be abandoned.
  bool repeatable = false;  // Requests are idempotent: one whose outcome is unknown may be sent again.
  std::uint32_t retries = 2;
  // The number of bytes at the beginning of the body that select the runner which has them cached. 0: not used.
  std::uint32_t affinity_bytes = 0;
  std::uint32_t waiting_room = 256;  // The most requests of this lane that may be queued in one daemon.
  Duration waiting = std::chrono::milliseconds(2000);         // The longest time in the queue.
  Duration connecting = std::chrono::milliseconds(500);       // The timeout for a connection to a runner.
  Duration first_piece = std::chrono::milliseconds(10000);    // The timeout for the first chunk of a response.
  Duration between_pieces = std::chrono::milliseconds(5000);  // The timeout between two chunks of a response.
  Duration taking = std::chrono::milliseconds(10000);  // A client whose backlog is full has to read within this time.
  Duration whole = std::chrono::milliseconds(60000);   // The limit for the complete request.
  MOTHWALK_FIELDS(path, kind, shares, host, streaming, resumable, batch, attempts, rank, affinity, aim, gap, completion,
                  retention, repeatable, retries, affinity_bytes, waiting_room, waiting, connecting, first_piece,
                  between_pieces, taking, whole)
  std::vector<KindShare> kinds() const { return shares.empty() ? std::vector<KindShare>{{kind, 1}} : shares; }
};

// A zone is a failure domain, such as a hall of a data centre. Runners in an evacuated zone get no new work.
struct Zone {
  bool evacuated = false;
  MOTHWALK_FIELDS(evacuated)
};

// Limits for lots. A lot is a batch of requests, called items. Storage nodes store it together with the results, and
// daemons dispatch its items to runners.
struct LotSettings {
  std::uint32_t items = 1000;                     // The most items in one lot.
  std::uint32_t lots = 4096;                      // The most lots in the slots of one storage node at a time.
  Duration retention = std::chrono::minutes(10);  // How long a finished lot can still be read.
  MOTHWALK_FIELDS(items, lots, retention)
};

// An operator's mark on a storage node. Retirement takes a storage node's vote away and moves its records to others, so
// that the machine can be removed.
struct StorageNodeMark {
  bool retired = false;
  MOTHWALK_FIELDS(retired)
};

// The placer of a runner is the one daemon that dispatches items of lots to it. Each change of the placer raises the
// term, and the owners of lots refuse a placer with a lower term than they have seen, so that a former placer that does
// not know of its replacement can't dispatch any more.
struct Placer {
  Address address;
  std::uint64_t incarnation = 0, term = 0;
  auto operator<=>(const Placer&) const = default;
  MOTHWALK_FIELDS(address, incarnation, term)
};

// An aim is a service-level objective for a lane.
struct Aim {
  std::string lane;
  double answered = 0.99;                                  // The fraction of requests that have to be answered.
  Duration first_piece = std::chrono::milliseconds(2000);  // The time limit for the first chunk of a response.
  double in_time = 0.95;                                   // The fraction of all requests that has to meet that limit.
  MOTHWALK_FIELDS(lane, answered, first_piece, in_time)
};

// The circle of a kind is the active set of its runners that take live requests. The other runners of the kind execute
// items of lots. The daemon that owns the slot of the circle's key sizes the circle by load, once per cycle, and writes
// this record.
struct Circle {
  std::vector<RunnerId> members;
  // Members whose ramp is over. The ramp is the warm-up period after a runner joined the circle or came back after a
  // failure, in which it gets less than its full share of requests.
  std::vector<RunnerId> warm;
  std::vector<RunnerId> dark;  // Unreachable runners. They are not members and get no items of lots.

  // The members' generations. A member that has another generation in the configuration was restarted and is cold.
  std::map<std::string, std::uint64_t> generations;
  std::map<std::string, std::uint64_t> ramps;  // A counter per member that rises each time its ramp starts again.

  // The placers of the runners outside the circle, and of the members that also execute items of lots.
  std::map<std::string, Placer> placers;
  std::uint64_t term = 0;     // The highest term given to a placer so far.
  std::uint32_t daemons = 0;  // The number of daemons that route requests, as counted recently.
  double load = 0;            // The load in the last cycle, as a fraction of the members' full load.
  double law = 0;             // The size that the PI controller gives, before rounding.
  double error = 0;           // The control error of the PI controller in this cycle.
  std::uint64_t cycle = 0;    // Counts the cycles.
  std::string reason;         // Why this record was written, such as "cycle", "replaced" or "warmed".
  MOTHWALK_FIELDS(members, warm, dark, generations, ramps, placers, term, daemons, load, law, error, cycle, reason)
  bool has(const std::string& runner) const;
  // Whether the runner is a member that also executes items of lots.
  bool takes_lot_items(const std::string& runner) const { return has(runner) && placers.contains(runner); }
  // Whether the runner may get its full share of requests: its ramp is over, and it was not restarted since.
  bool takes_full_share(const std::string& runner, std::uint64_t generation) const;
};

// A storage node that votes when records are replicated.
struct Voter {
  StorageNodeId holder;  // The identity of the storage node.
  Address address;
  ZoneId zone;
  std::string name = {};  // The name of the machine, where operators give one.

  // A joining node votes but may still lack records. It owns slots only where no other voter can.
  bool joining = false;
  auto operator<=>(const Voter&) const = default;
  MOTHWALK_FIELDS(holder, address, zone, name, joining)
};

// The roster is the list of voters. A record is committed once a majority of them has stored it. The keys are divided
// into slots; each slot is owned by one voter, which orders the writes to its keys.
struct Roster {
  Version version;
  std::vector<Voter> voters;
  MOTHWALK_FIELDS_AS("version", version, "seats", voters)
  std::size_t majority() const { return voters.size() / 2 + 1; }
  // Whether the storage node is a voter.
  bool has_voter(const StorageNodeId& holder) const;
};

// Limits on what clients may send and on how long their connections may be idle.
struct ClientLimits {
  std::uint64_t header_bytes = 16384, body_bytes = 16u << 20;
  Duration header_time = std::chrono::seconds(60), idle_time = std::chrono::seconds(60);
  MOTHWALK_FIELDS(header_bytes, body_bytes, header_time, idle_time)
};

// Lanes, kinds and limits that operators change together in one document, under a revision number that they choose. The
// document is stored as it was received; a ConfigurationFormat translates it into lanes, kinds and limits.
struct FleetConfiguration {
  std::uint64_t revision = 0;  // 0 means that no configuration has been accepted yet.
  Bytes document;
  MOTHWALK_FIELDS(revision, document)
};
// What a fleet configuration document contains.
struct ConfigurationContent {
  std::map<std::string, Lane> lanes;
  std::map<std::string, Kind> kinds;
  ClientLimits limits;
};
// Parses fleet configuration documents. The format of these documents is not known here.
class ConfigurationFormat {
 public:
  virtual ~ConfigurationFormat() = default;
  virtual Result<ConfigurationContent> read(StringView document) const = 0;
};

// The runners of an external runner list, by name. They are used beside the runners that operators declare.
struct RunnerListing {
  std::map<std::string, Runner> runners;
  MOTHWALK_FIELDS(runners)
};

// A resource with its stamp. A stamp is the pair (epoch, version) that orders all writes of one key: the epoch rises
// with each change of the owner of the key's slot, and the version with each write under one epoch.
template <class T>
struct Named {
  Stamp stamp;
  T spec;
};

template <class T>
using Table = std::map<std::string, Named<T>>;

// The current configuration as one daemon knows it. The components of a daemon read it as an immutable snapshot.
struct ConfigurationView {
  Table<Lane> lanes;
  Table<Kind> kinds;
  Table<Runner> runners;
  Table<Zone> zones;
  Table<LotSettings> lots;
  Table<StorageNodeMark> holders;  // The marks by the address of the storage node.
  Table<Aim> aims;
  Table<Circle> circles;
  Roster roster;      // The voters for control state, and for lots unless there is a roster of its own for these.
  Roster lot_roster;  // The voters for lots; empty where the voters for control state also store the lots.
  Named<FleetConfiguration> fleet;
  ClientLimits limits;
  Stamp listing;             // The stamp of the runner list in use.
  std::uint64_t digest = 0;  // A hash of all keys and stamps; views with the same content have the same digest.

  // The roster whose voters store the key.
  const Roster& roster_of(StringView key) const {
    return key.starts_with("lot/") && !lot_roster.voters.empty() ? lot_roster : roster;
  }
  bool evacuated(const ZoneId& zone) const;
  // The lane for a request: the one with the longest path that is a prefix of the given one. Lanes for this host take
  // precedence over those for any host. Returns null where no lane matches. Sets the lane's name where that is not
  // null.
  const Lane* lane_for(StringView path, std::string* name, StringView host = {}) const;
  std::set<std::string> listed;  // The names of the runners that come from the external runner list.

  // The names of the lanes and kinds that come from the fleet configuration document.
  std::set<std::string> configured_lanes, configured_kinds;
  LotSettings lot_settings() const;
};

// Stores a value under its key (such as "lane/audits") in the view, or removes the key where the value is null. Returns
// false where the value can't be decoded or the key is unknown.
bool apply_to_view(ConfigurationView& view, StringView key, const Bytes* value, Stamp stamp,
                   const ConfigurationFormat* format = nullptr);

// Keys of records that exist once in the fleet.
inline constexpr StringView configuration_key = "configuration/fleet";
inline constexpr StringView listing_key = "listing/runners";
inline constexpr StringView lot_roster_key = "roster/lots";

// Validates an operator's document against the view. Returns the canonical text to store.
Result<Bytes> check_document(StringView type, StringView name, StringView text, const ConfigurationView& view);
// Checks that a resource may be deleted: nothing else may refer to it.
Result<Success> check_removal(StringView type, StringView name, const ConfigurationView& view);
// The current name of a resource type. The names used before release 0.2 are accepted for one more release.
std::string current_type(StringView type);
// Whether operators can write resources of this type.
bool is_resource_type(StringView type);
// Whether the name consists of 1 to 100 letters, digits, or the characters - _ . :
bool is_resource_name(StringView name);
// The types of resources that operators can write, as a list for error messages.
std::string resource_types();

}  // namespace mothwalk
