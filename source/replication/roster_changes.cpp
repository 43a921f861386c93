// Changes of the rosters: who votes, one seat at a time, by agreement of both the old and the new majority.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr Duration replace_after = std::chrono::seconds(10);
constexpr Duration replaced_after = milliseconds(1000);  // where another holder came about then
// A successor may stand before the end of its forerunner's session is noticed, or be started before it by plan.
constexpr Duration successor_window = seconds(6);
constexpr Duration lots_founding_pause = milliseconds(1500);
constexpr std::size_t control_seats = 5, fewest_seats = 3;
// Lots take long to copy: two more seats bear the next losses while those before them are still being made good.
constexpr std::size_t lot_seats = 7;
constexpr std::uint64_t joining_ticks = 6;             // between looks at what joining seats hold
constexpr Duration settled_limit = milliseconds(300);  // a seat that is busy for longer is asked again

std::size_t seats_wanted(const std::string& keeps) {
  return keeps == "lots" ? lot_seats : control_seats;
}

bool joining(const Roster& roster) {
  return std::any_of(roster.seats.begin(), roster.seats.end(), [](const Voter& seat) { return seat.joining; });
}
}  // namespace

// One change at a time, only when every slot has been handed over whole under the roster in force: then any majority of
// the next roster meets any majority that a change was acknowledged by.
void ReplicatedStore::roster_duty() {
  const std::uint32_t slot = slot_of("roster");
  if (owned_[slot].state != Owned::State::owned) return stop_watching("roster");
  if (changing_.contains("roster")) return;
  if (!held_[slot].records.contains("roster")) return change_roster("roster", roster_);
  if (auto next = next_roster("roster", roster_, self_.keeps))
    change_when_settled("roster", roster_, std::move(*next));
  else
    watch_joining("roster", roster_);
}

void ReplicatedStore::stop_watching(const std::string& key) {
  watched_.erase(key);
  unsettled_.erase(key);
  counts_.short_of_seats.erase(key);
}

// The roster of those that hold lots alone: a key of the control state, founded once there are such holders.
void ReplicatedStore::lot_roster_duty() {
  const std::string key(lot_roster_key);
  const std::uint32_t slot = slot_of(key);
  if (self_.keeps != "control" || owned_[slot].state != Owned::State::owned) return stop_watching(key);
  if (changing_.contains(key)) return;
  if (auto found = held_[slot].records.find(key); found != held_[slot].records.end()) {
    auto current = from_json<Roster>(found->second.head);
    if (error_of(current) != nullptr) return;
    const Roster& roster = std::get<Roster>(current);
    if (auto next = next_roster(key, roster, "lots"))
      change_when_settled(key, roster, std::move(*next));
    else
      watch_joining(key, roster);
    return;
  }
  std::size_t seen = 0;
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    seen += member.keeps_lots() && !member.keeps_control();
  const TimePoint now = messenger_.timers().now();
  if (seen != newcomers_) newcomers_since_ = now;
  newcomers_ = seen;
  if (seen == 0 || now - newcomers_since_ < (seen < fewest_seats ? seconds(6) : lots_founding_pause)) return;
  Roster first;
  while (auto next = next_roster(key, first, "lots")) first.seats = std::move(next->seats);
  first.version = Version{1};
  if (!first.seats.empty()) change_roster(key, std::move(first));
}

// Whether a seat's holder is to be replaced, and how surely.
ReplicatedStore::SeatState ReplicatedStore::seat_state(const Voter& seat, Watched& watched, TimePoint newest) const {
  const auto members = shared_state_.members.get();
  const TimePoint now = messenger_.timers().now();
  const Member* member = members->holder(seat.holder);
  const bool there = member != nullptr && !member->stalled;
  if (there) {
    watched.missing_since.erase(seat.holder);
    return retired(seat.address) ? SeatState::retired : SeatState::there;
  }
  const TimePoint since = watched.missing_since.try_emplace(seat.holder, now).first->second;
  // A wiped machine is back under another identity, so its old seat has nobody to wait for.
  auto at_address = members->all.find(seat.address);
  if (member == nullptr && at_address != members->all.end() && !at_address->second.holder.empty())
    return SeatState::wiped;
  // A holder that came about when this one went missing stands in for it.
  if (now - since > replace_after || (now - since > replaced_after && newest + successor_window >= since))
    return SeatState::lost;
  return SeatState::missing;
}

bool ReplicatedStore::retired(const Address& address) const {
  const auto configuration = shared_state_.configuration.get();
  auto found = configuration->holders.find(address.text);
  return found != configuration->holders.end() && found->second.spec.retired;
}

// Live holders of the group without a seat, those of zones with the fewest seats first. Tells when the last holder came
// that was never seen before. To who has just taken the duty over all are new: it can't tell, and dropping a seat that
// would have come back costs little.
std::vector<const Member*> ReplicatedStore::spares(const Members& members, const Roster& current,
                                                   const std::string& keeps, Watched& watched,
                                                   TimePoint* newest) const {
  const TimePoint now = messenger_.timers().now();
  std::map<ZoneId, std::size_t> seats_in;
  for (const auto& seat : current.seats) ++seats_in[seat.zone];
  std::vector<const Member*> list;
  for (const auto& [address, member] : members.all) {
    if (member.holder.empty() || member.keeps != keeps) continue;
    const bool seated = current.seated(member.holder);
    *newest = std::max(*newest, watched.first_seen.try_emplace(member.holder, now).first->second);
    if (!seated && !member.stalled && !retired(address)) list.push_back(&member);
  }
  std::sort(list.begin(), list.end(), [&](const Member* left, const Member* right) {
    return std::make_tuple(seats_in[left->zone], left->address) <
           std::make_tuple(seats_in[right->zone], right->address);
  });
  return list;
}

// The roster with one seat more or less, where the members call for it. A seat whose holder is lost is dropped before
// another one is added, and none is added while one is missing and may be lost: with the dead seat the majority would
// be larger, and no holder more could go. A retired holder that still is there keeps its seat until its successor has
// one.
std::optional<Roster> ReplicatedStore::next_roster(const std::string& key, const Roster& current,
                                                   const std::string& keeps) {
  Watched& watched = watched_[key];
  const auto members = shared_state_.members.get();
  TimePoint newest;
  const std::vector<const Member*> spare = spares(*members, current, keeps, watched, &newest);
  const Voter* gone = nullptr;
  SeatState worst = SeatState::there;
  for (const auto& seat : current.seats)
    if (const SeatState state = seat_state(seat, watched, newest); state > worst) {
      gone = &seat;
      worst = state;
    }
  Roster next = current;
  next.version = current.version.next();
  const std::size_t wanted = seats_wanted(keeps);
  const bool lacking = gone != nullptr || (current.seats.size() < wanted && !spare.empty());
  watch_seats(key, current, lacking);
  if (worst == SeatState::missing) return std::nullopt;
  const std::size_t left = current.seats.size() - (gone != nullptr);
  const bool founding = current.version == Version{};
  const bool dead = worst > SeatState::missing;
  const bool may_drop = gone != nullptr && (left >= fewest_seats || (dead && !spare.empty() && left >= 2));
  if (may_drop && (dead || left >= wanted || spare.empty()))
    std::erase_if(next.seats, [&](const Voter& seat) { return seat.holder == gone->holder; });
  else if (!spare.empty() && left < wanted)
    next.seats.push_back(Voter{spare[0]->holder, spare[0]->address, spare[0]->zone, spare[0]->name, !founding});
  else if (joining(current) && copied_whole(key, current))
    for (auto& seat : next.seats) seat.joining = false;
  else
    return std::nullopt;
  return next;
}

bool ReplicatedStore::copied_whole(const std::string& key, const Roster& current) const {
  auto copied = copied_.find(key);
  return copied != copied_.end() && copied->second.roster == current.version &&
         copied->second.slots.size() == slot_count;
}

// Seats that joined own slots once every seat has been seen to hold all of every slot.
void ReplicatedStore::watch_joining(const std::string& key, const Roster& current) {
  if (!joining(current) || copied_whole(key, current) || ticks_ % joining_ticks != 0) return;
  look_at_copies(key, current, [] {});
}

void ReplicatedStore::watch_seats(const std::string& key, const Roster& current, bool lacking) {
  if (current.version == Version{}) return;  // it is being founded
  Watched& watched = watched_[key];
  const TimePoint now = messenger_.timers().now();
  if (lacking) {
    if (!watched.short_since) watched.short_since = now;
    counts_.short_of_seats[key] = static_cast<std::uint64_t>((now - *watched.short_since).count() / 1000);
    return;
  }
  counts_.short_of_seats.erase(key);
  if (!watched.short_since) return;
  report_.note("The group " + key + " has all its seats again: " + std::to_string(current.seats.size()) + ", " +
               std::to_string((now - *watched.short_since).count() / 1000) + " ms after it fell short of them.");
  watched.short_since.reset();
}

void ReplicatedStore::change_when_settled(const std::string& key, const Roster& current, Roster next) {
  changing_.insert(key);
  unsettled_.insert(key);
  struct Count {
    std::set<std::uint32_t> covered;
    std::size_t left = 0;
    bool over = false;
  };
  auto count = std::make_shared<Count>();
  // Who is not there owns nothing; waiting for its answer would only delay the next question.
  const auto members = shared_state_.members.get();
  std::vector<Voter> seats = current.seats;
  std::erase_if(seats, [&](const Voter& seat) { return members->holder(seat.holder) == nullptr; });
  count->left = seats.size();
  if (seats.empty()) changing_.erase(key);
  for (const auto& seat : seats)
    messenger_.request(seat.address, SyncStatus{current.version}, settled_limit,
                       [this, count, key, next, version = current.version](Result<SyncStatusReply> result) {
                         --count->left;
                         if (count->over) return;
                         if (auto* reply = std::get_if<SyncStatusReply>(&result))
                           count->covered.insert(reply->slots.begin(), reply->slots.end());
                         count->over = count->covered.size() == slot_count;
                         if (count->over) unsettled_.erase(key);
                         if (count->over && (key != "roster" || roster_.version == version))
                           return change_roster(key, next);
                         if (count->over || count->left == 0) changing_.erase(key);
                       });
}

void ReplicatedStore::change_roster(const std::string& key, Roster next) {
  const std::uint32_t slot = slot_of(key);
  changing_.insert(key);
  if (owned_[slot].state != Owned::State::owned) return void(changing_.erase(key));
  const TimePoint now = messenger_.timers().now();
  TimePoint& changed = watched_[key].changed;
  report_.note("The roster " + key + " goes to version " + std::to_string(next.version.value) + " with " +
               std::to_string(next.seats.size()) + " seats" +
               (changed == TimePoint{}
                    ? std::string(".")
                    : ", " + std::to_string((now - changed).count() / 1000) + " ms after the last change."));
  changed = now;
  ++counts_.roster_changes;
  Write request;
  request.key = key;
  request.head = json::serialize(to_json(next));
  request.fence = owned_[slot].epoch.value;
  write(std::move(request), [this, key, next](Result<WriteReply> result) {
    changing_.erase(key);
    if (error_of(result) == nullptr && key == lot_roster_key)
      for (const auto& seat : next.seats) messenger_.send(seat.address, RosterUpdate{next, "lots"});
  });
}

}  // namespace mothwalk
