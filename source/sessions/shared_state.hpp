// What the duties of one daemon share, each piece behind a short lock: who the members are, the configuration in force,
// which slots this daemon owns, and how fresh its news is. Readers take an unchanging snapshot.
#pragma once
#include <atomic>
#include <mutex>

#include "configuration/resources.hpp"
#include "interfaces/interfaces.hpp"

namespace mothwalk {

template <class T>
class Shared {
 public:
  Shared() : value_(std::make_shared<const T>()) {}
  std::shared_ptr<const T> get() const {
    std::lock_guard lock(mutex_);
    return value_;
  }
  void set(T value) {
    auto fresh = std::make_shared<const T>(std::move(value));
    std::lock_guard lock(mutex_);
    value_ = std::move(fresh);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
};

struct Member {
  Address address;  // peer side
  ZoneId zone;
  Address callers, control;  // HTTP sides
  std::uint64_t incarnation = 0;
  StorageNodeId holder;  // empty where the daemon has no data folder
  bool stalled = false;  // it can own nothing: its disk does not answer, or it lost contact to a majority
  Version roster;        // the roster version it knows; zero for none
  std::string version;   // of the program
  std::string keeps;     // what its folder holds: empty for control state and lots, or "control" or "lots" alone
  std::string name;      // of the machine, where operators name one
  bool routes() const { return !callers.empty(); }  // it serves callers, and so sends requests to runners
  bool keeps_control() const { return !holder.empty() && keeps != "lots"; }
  bool keeps_lots() const { return !holder.empty() && keeps != "control"; }
  auto operator<=>(const Member&) const = default;
  MOTHWALK_FIELDS(address, zone, callers, control, incarnation, holder, stalled, roster, version, keeps, name)
};

struct Members {
  std::map<Address, Member> all;
  Address session_server;  // the control daemon that this daemon's session stands with
  std::size_t control_daemons = 0;
  const Member* holder(const StorageNodeId& id) const;
  std::size_t routing() const;  // how many of them route requests
};

struct Ownership {
  std::map<std::uint32_t, Epoch> slots;
};

// What all daemons together have on a runner, as the circle duty last told it.
struct RunnerTotal {
  std::uint32_t open = 0, items = 0;  // live prompts; items of lots
  std::uint32_t foreign = 0;          // of the items, those placed by others than the runner's placer
  MOTHWALK_FIELDS(open, items, foreign)
};
struct KindTotals {
  TimePoint heard;
  std::map<std::string, RunnerTotal> runners;
};

struct SharedState {
  Shared<std::vector<Address>> control_seats;  // those that this daemon's folder knows, before any news comes
  Shared<std::vector<Address>> seeds;          // as the settings name them now
  Shared<Members> members;
  Shared<ConfigurationView> configuration;
  Shared<Ownership> owned;
  Shared<std::map<std::string, KindTotals>> load;    // by kind
  std::atomic<std::int64_t> lease_until{-1};         // Moment; news was known whole with a majority's control daemon
  std::atomic<std::int64_t> lease_sought_since{-1};  // since when a lapsed lease is being sought
  std::atomic<std::int64_t> gossip_tick{-1};         // when news last ran: after a freeze this is old
  std::atomic<bool> stalled{false};
  std::atomic<bool> draining{false};
  bool has_lease(TimePoint now) const { return lease_until.load() >= now.microseconds; }
  bool was_ever_fresh() const { return lease_until.load() >= 0; }  // once at least in this life
  // A lapsed lease was sought in vain for so long that the newest configuration known stays in force.
  bool is_isolated(TimePoint now) const {
    const std::int64_t sought = lease_sought_since.load();
    return sought >= 0 && now - TimePoint{sought} > std::chrono::milliseconds(1000);
  }
  // Whether requests may be served by the configuration known here: under a lease, or statically. A process that was
  // frozen, and whose news has not run since, does neither.
  bool may_serve_requests(TimePoint now) const {
    const bool awake = now - TimePoint{gossip_tick.load()} < std::chrono::milliseconds(600);
    return has_lease(now) || (was_ever_fresh() && awake && is_isolated(now));
  }
  void take_totals(const std::string& kind, KindTotals totals) {
    auto all = *load.get();
    all[kind] = std::move(totals);
    load.set(std::move(all));
  }
};

// The daemons that may be, or may name, a control daemon in touch with a majority, the likeliest first: control members
// of the given zone, other control members, the roster's seats, seats known from the data folder. Seeds are not among
// them.
std::vector<Address> control_candidates(const SharedState& shared_state, const Address& self, const ZoneId& zone);

// Adds an address that is not yet in the list and is not this daemon's own.
void add_candidate(std::vector<Address>& list, const Address& address, const Address& self);

// The number of a process's life: of the wall clock, so that later lives mostly have higher ones, and of random, so
// that a clock set back never makes two lives look the same.
std::uint64_t new_incarnation(Duration wall, RandomSource& random);

inline constexpr std::uint32_t slot_count = 32;
std::uint32_t slot_of(StringView key);
// The seats of the roster in the order in which they come to own a slot; those that are joining come last.
std::vector<const Voter*> slot_order(const Roster& roster, std::uint32_t slot);
// The first live seat in that order, or none.
const Voter* slot_owner(const Roster& roster, const Members& members, std::uint32_t slot);
// The seat that owns a key, of the roster whose holders keep it; none while that one is not known.
const Voter* key_owner(const ConfigurationView& configuration, const Members& members, StringView key);
inline bool lot_key(StringView key) {
  return key.starts_with("lot/");
}
// All live members in the agreed order for a single duty; those of the given zone first.
std::vector<const Member*> duty_order(const Members& members, StringView duty, const ZoneId& zone);

}  // namespace mothwalk
