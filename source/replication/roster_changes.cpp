// Changes of the rosters: who votes, one seat at a time, by agreement of both the old and the new majority.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr Span replace_after = std::chrono::seconds(10);
constexpr Span replaced_after = milliseconds(1000);  // where another holder came meanwhile
constexpr Span lots_founding_pause = milliseconds(1500);
constexpr std::size_t wanted_seats = 5, fewest_seats = 3;
}  // namespace

// One change at a time, only when every slot has been handed over whole under the roster in force: then any majority of
// the next roster meets any majority that a change was acknowledged by.
void ReplicatedStore::roster_duty() {
  const std::uint32_t slot = slot_of("roster");
  if (owned_[slot].state != Owned::State::owned) return void(watched_.erase("roster"));
  if (changing_.contains("roster")) return;
  if (!held_[slot].records.contains("roster")) return change_roster("roster", roster_);
  if (auto next = next_roster("roster", roster_, self_.keeps)) change_when_settled("roster", roster_, std::move(*next));
}

// The roster of those that hold lots alone: a key of the control state, founded once there are such holders.
void ReplicatedStore::lot_roster_duty() {
  const std::string key(lot_roster_key);
  const std::uint32_t slot = slot_of(key);
  if (self_.keeps != "control" || owned_[slot].state != Owned::State::owned) return void(watched_.erase(key));
  if (changing_.contains(key)) return;
  if (auto found = held_[slot].records.find(key); found != held_[slot].records.end()) {
    auto current = from_json<Roster>(found->second.head);
    if (fault_of(current) != nullptr) return;
    if (auto next = next_roster(key, std::get<Roster>(current), "lots"))
      change_when_settled(key, std::get<Roster>(current), std::move(*next));
    return;
  }
  std::size_t seen = 0;
  for (const auto& [address, member] : shared_state_.members.get()->all)
    seen += member.keeps_lots() && !member.keeps_control();
  const Moment now = messenger_.timers().now();
  if (seen != newcomers_) newcomers_since_ = now;
  newcomers_ = seen;
  if (seen == 0 || now - newcomers_since_ < (seen < fewest_seats ? seconds(6) : lots_founding_pause)) return;
  Roster first;
  while (auto next = next_roster(key, first, "lots")) first.seats = std::move(next->seats);
  first.version = Version{1};
  if (!first.seats.empty()) change_roster(key, std::move(first));
}

// The roster with one seat more or less, where the members call for it.
std::optional<Roster> ReplicatedStore::next_roster(const std::string& key, const Roster& current,
                                                   const std::string& keeps) {
  Watched& watched = watched_[key];
  const auto members = shared_state_.members.get();
  const auto configuration = shared_state_.configuration.get();
  const Moment now = messenger_.timers().now();
  auto belongs = [&](const Member& member) {
    return !member.holder.empty() && member.keeps == keeps;
  };
  auto retired = [&](const Address& address) {
    auto found = configuration->holders.find(address.text);
    return found != configuration->holders.end() && found->second.spec.retired;
  };
  Moment newest;  // when the last holder came that was never seen before
  for (const auto& [address, member] : members->all)
    if (belongs(member)) newest = std::max(newest, watched.first_seen.try_emplace(member.holder, now).first->second);
  std::vector<const Member*> spares;
  std::map<ZoneId, std::size_t> seats_in;
  const Seat* gone = nullptr;
  int most_gone = 0;
  for (const auto& seat : current.seats) {
    ++seats_in[seat.zone];
    const Member* member = members->holder(seat.holder);
    const bool there = member != nullptr && !member->stalled;
    if (there) watched.missing_since.erase(seat.holder);
    const Moment since = there ? now : watched.missing_since.try_emplace(seat.holder, now).first->second;
    // A wiped machine is back under another identity, so its old seat has nobody to wait for. A holder that came after
    // one went missing stands in for it.
    auto at_address = members->all.find(seat.address);
    const bool wiped = member == nullptr && at_address != members->all.end() && !at_address->second.holder.empty();
    const bool late = !there && (now - since > replace_after || (now - since > replaced_after && newest > since));
    const int how = wiped ? 3 : retired(seat.address) ? 2 : late ? 1 : 0;
    if (how > most_gone) {
      gone = &seat;
      most_gone = how;
    }
  }
  for (const auto& [address, member] : members->all)
    if (belongs(member) && !member.stalled && !current.seated(member.holder) && !retired(address))
      spares.push_back(&member);
  std::sort(spares.begin(), spares.end(), [&](const Member* left, const Member* right) {
    return std::make_tuple(seats_in[left->zone], left->address) <
           std::make_tuple(seats_in[right->zone], right->address);
  });
  Roster next = current;
  next.version = current.version.next();
  const std::size_t left = current.seats.size() - (gone != nullptr);
  const bool may_drop = gone != nullptr && left >= fewest_seats;
  if (may_drop && (left >= wanted_seats || spares.empty()))
    std::erase_if(next.seats, [&](const Seat& seat) { return seat.holder == gone->holder; });
  else if (!spares.empty() && left < wanted_seats)
    next.seats.push_back(Seat{spares[0]->holder, spares[0]->address, spares[0]->zone, spares[0]->name});
  else
    return std::nullopt;
  return next;
}

void ReplicatedStore::change_when_settled(const std::string& key, const Roster& current, Roster next) {
  changing_.insert(key);
  struct Count {
    std::set<std::uint32_t> covered;
    std::size_t left = 0;
    bool over = false;
  };
  auto count = std::make_shared<Count>();
  count->left = current.seats.size();
  for (const auto& seat : current.seats)
    messenger_.ask(seat.address, Settled{current.version}, peer_timeout,
                   [this, count, key, next, version = current.version](Result<SettledReply> result) {
                     --count->left;
                     if (count->over) return;
                     if (auto* reply = std::get_if<SettledReply>(&result))
                       count->covered.insert(reply->slots.begin(), reply->slots.end());
                     count->over = count->covered.size() == slot_count;
                     if (count->over && (key != "roster" || roster_.version == version))
                       return change_roster(key, next);
                     if (count->over || count->left == 0) changing_.erase(key);
                   });
}

void ReplicatedStore::change_roster(const std::string& key, Roster next) {
  const std::uint32_t slot = slot_of(key);
  changing_.insert(key);
  if (owned_[slot].state != Owned::State::owned) return void(changing_.erase(key));
  report_.note("The roster " + key + " goes to version " + std::to_string(next.version.value) + " with " +
               std::to_string(next.seats.size()) + " seats.");
  Write request;
  request.key = key;
  request.head = json::serialize(to_json(next));
  request.fence = owned_[slot].epoch.value;
  write(std::move(request), [this, key, next](Result<WriteReply> result) {
    changing_.erase(key);
    if (fault_of(result) == nullptr && key == lot_roster_key)
      for (const auto& seat : next.seats) messenger_.tell(seat.address, RosterNews{next, "lots"});
  });
}

}  // namespace mothwalk
