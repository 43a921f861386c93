// State shared by the components of one daemon: the members, the configuration in force, the slots that this daemon
// owns, and how current its configuration is. Each value has its own lock, which is held briefly, or is atomic. Readers
// take an immutable snapshot.
#pragma once
#include <atomic>
#include <mutex>

#include "configuration/resources.hpp"
#include "interfaces/interfaces.hpp"

namespace mothwalk {

// A value that one thread replaces as a whole and others read as immutable snapshots.
template <class T>
class Shared {
 public:
  Shared() : value_(std::make_shared<const T>()) {}
  std::shared_ptr<const T> get() const {
    std::lock_guard lock(mutex_);
    return value_;
  }
  void set(T value) {
    auto snapshot = std::make_shared<const T>(std::move(value));
    std::lock_guard lock(mutex_);
    value_ = std::move(snapshot);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
};

// A daemon of the cluster, as it describes itself.
struct Member {
  Address address;  // Where other daemons connect.
  ZoneId zone;
  Address callers, control;  // The HTTP addresses for clients and for operators; empty if it has none.
  std::uint64_t incarnation = 0;
  StorageNodeId holder;  // Its identity as a storage node; empty if it has no data folder.
  bool stalled = false;  // It can own no slots: its disk does not respond, or it lost contact to a majority.
  Version roster;        // The roster version that it knows; zero if it knows none.
  std::string version;   // The version of its program.
  std::string keeps;     // What its data folder keeps: "control", "lots", or both if empty.
  std::string name;      // The name that operators gave to its machine, if any.
  // Whether it serves clients, and so routes their requests to runners.
  bool routes() const { return !callers.empty(); }
  bool keeps_control() const { return !holder.empty() && keeps != "lots"; }
  bool keeps_lots() const { return !holder.empty() && keeps != "control"; }
  auto operator<=>(const Member&) const = default;
  MOTHWALK_FIELDS(address, zone, callers, control, incarnation, holder, stalled, roster, version, keeps, name)
};

// The members of the cluster as this daemon knows them.
struct Members {
  std::map<Address, Member> all;
  Address session_server;           // The control daemon that holds this daemon's session.
  std::size_t control_daemons = 0;  // How many members keep control state.
  // The member with this identity as a storage node, if any.
  const Member* storage_node(const StorageNodeId& id) const;
  std::size_t routing_count() const;  // How many members route requests.
};

// The slots that this daemon owns, each with the epoch of its ownership. Keys are hashed onto the slots.
struct Ownership {
  std::map<std::uint32_t, Epoch> slots;
};

// What all daemons together have open on a runner, as last reported by the owner of the runner kind's circle.
struct RunnerTotal {
  std::uint32_t open = 0, items = 0;  // Live prompts, and items of lots (batches).
  std::uint32_t foreign = 0;  // Those of the items that were dispatched by a daemon other than the runner's placer.
  MOTHWALK_FIELDS(open, items, foreign)
};
// The totals of all runners of one kind, by the runner's name.
struct KindTotals {
  TimePoint received;  // When they were received.
  std::map<std::string, RunnerTotal> runners;
};

struct SharedState {
  // The voters for control state as known from the data folder, used before gossip has delivered any configuration.
  Shared<std::vector<Address>> known_control_voters;
  Shared<std::vector<Address>> seeds;  // As in the current settings.
  Shared<Members> members;
  Shared<ConfigurationView> configuration;
  Shared<Ownership> owned;
  Shared<std::map<std::string, KindTotals>> load;  // By kind of runner.
  // These times are those of TimePoint in microseconds; -1 stands for none. The lease is the permission to serve by the
  // known configuration. It is renewed when a comparison with a control daemon in contact with a majority shows that
  // the configuration is complete.
  std::atomic<std::int64_t> lease_until{-1};
  std::atomic<std::int64_t> lease_renewal_since{-1};  // Since when this daemon has tried to renew an expired lease.
  std::atomic<std::int64_t> last_gossip_tick{-1};  // When gossip last ran. It is old after the process was suspended.
  std::atomic<bool> stalled{false};                // Whether this daemon's disk does not respond.
  std::atomic<bool> draining{false};               // Whether new requests are refused while open ones end.
  bool has_lease(TimePoint now) const { return lease_until.load() >= now.microseconds; }
  // Whether this process has ever had a lease.
  bool has_had_lease() const { return lease_until.load() >= 0; }
  // Whether the renewal of an expired lease has failed for so long that the newest known configuration stays in force.
  bool is_isolated(TimePoint now) const {
    const std::int64_t sought = lease_renewal_since.load();
    return sought >= 0 && now - TimePoint{sought} > std::chrono::milliseconds(1000);
  }
  // Whether requests may be served by the configuration known here: under a lease, or while isolated. An isolated
  // process that was suspended may serve only once gossip has run again.
  bool may_serve_requests(TimePoint now) const {
    const bool gossip_runs = now - TimePoint{last_gossip_tick.load()} < std::chrono::milliseconds(600);
    return has_lease(now) || (has_had_lease() && gossip_runs && is_isolated(now));
  }
  void set_totals(const std::string& kind, KindTotals totals) {
    auto all = *load.get();
    all[kind] = std::move(totals);
    load.set(std::move(all));
  }
};

// Lists the daemons that may be, or may name, a control daemon in contact with a majority, the most likely ones first:
// control daemons of the given zone, other control daemons, the voters of the roster, and the voters known from the
// data folder. The seeds are not included.
std::vector<Address> control_candidates(const SharedState& shared_state, const Address& self, const ZoneId& zone);

// Adds an address unless it is already in the list or is this daemon's own.
void add_candidate(std::vector<Address>& list, const Address& address, const Address& self);

// Returns a number for a new incarnation, that is, for one run of a process. It starts with the wall clock, so that
// later incarnations usually have higher numbers, and ends with random bits, so that two incarnations differ even if
// the clock was set back.
std::uint64_t new_incarnation(Duration wall, RandomSource& random);

// All keys are divided among this many slots. Each slot is owned by one voter at a time.
inline constexpr std::uint32_t slot_count = 32;
// Returns the slot onto which the key is hashed.
std::uint32_t slot_of(StringView key);
// Returns the voters of the roster in the order of preference for owning a slot; voters that are joining come last.
std::vector<const Voter*> slot_order(const Roster& roster, std::uint32_t slot);
// Returns the first voter in that order that is a member and not stalled, or null.
const Voter* slot_owner(const Roster& roster, const Members& members, std::uint32_t slot);
// Returns the voter that owns the key, from the roster of the storage nodes that keep it, or null while there is none.
const Voter* key_owner(const ConfigurationView& configuration, const Members& members, StringView key);
inline bool is_lot_key(StringView key) {
  return key.starts_with("lot/");
}
// Returns all members in the order of preference for a singleton role, with those of the given zone first. All daemons
// with the same members compute the same order.
std::vector<const Member*> singleton_role_order(const Members& members, StringView role, const ZoneId& zone);

}  // namespace mothwalk
