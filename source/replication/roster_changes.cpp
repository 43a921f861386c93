// Roster changes: voters are added and removed one at a time, and each change needs majorities of both the old and the
// new roster.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr Duration lost_after = std::chrono::seconds(10);  // An unreachable voter counts as lost after this time.
constexpr Duration replaced_after = milliseconds(1000);    // The same if another storage node has come up meanwhile.
// The replacement of a node may come up before the end of the former node's session is noticed, or be started before it
// on purpose. A node that came up at most this long before the voter became unreachable counts as its replacement.
constexpr Duration successor_window = seconds(6);
// The number of storage nodes of lots has to be the same for this time before their first roster is made. With fewer
// than min_voters nodes it has to be the same for six seconds.
constexpr Duration lot_roster_bootstrap_delay = milliseconds(1500);
constexpr std::size_t control_voters = 5, min_voters = 3;
// Lots take long to copy: with two more voters the roster survives further losses while lost replicas are still being
// restored.
constexpr std::size_t lot_voters = 7;
constexpr std::uint64_t joining_check_ticks = 6;             // Ticks between checks of the joining voters.
constexpr Duration sync_status_timeout = milliseconds(300);  // A voter that takes longer is asked again later.

std::size_t voters_wanted(const std::string& keeps) {
  return keeps == "lots" ? lot_voters : control_voters;
}

bool has_joining_voters(const Roster& roster) {
  return std::any_of(roster.voters.begin(), roster.voters.end(), [](const Voter& voter) { return voter.joining; });
}
}  // namespace

// The roster changes one version at a time, and only once every slot has been taken over under the current version.
// Then any majority of the next roster intersects every majority that has acknowledged a change.
void ReplicatedStore::maintain_roster() {
  const std::uint32_t slot = slot_of("roster");
  if (slot_ownership_[slot].state != SlotOwnership::State::owned) return stop_maintaining("roster");
  if (changing_.contains("roster")) return;
  if (!slot_replicas_[slot].records.contains("roster")) return change_roster("roster", roster_);
  if (auto next = next_roster("roster", roster_, self_.keeps))
    change_when_in_sync("roster", roster_, std::move(*next));
  else
    check_joining_voters("roster", roster_);
}

void ReplicatedStore::stop_maintaining(const std::string& key) {
  observations_.erase(key);
  awaiting_sync_.erase(key);
  counts_.short_of_seats.erase(key);
}

// Maintains the roster of the storage nodes that store only lots. It is a record of the control state and is created
// once there are such nodes.
void ReplicatedStore::maintain_lot_roster() {
  const std::string key(lot_roster_key);
  const std::uint32_t slot = slot_of(key);
  if (self_.keeps != "control" || slot_ownership_[slot].state != SlotOwnership::State::owned)
    return stop_maintaining(key);
  if (changing_.contains(key)) return;
  if (auto found = slot_replicas_[slot].records.find(key); found != slot_replicas_[slot].records.end()) {
    auto current = from_json<Roster>(found->second.head);
    if (error_of(current) != nullptr) return;
    const Roster& roster = std::get<Roster>(current);
    if (auto next = next_roster(key, roster, "lots"))
      change_when_in_sync(key, roster, std::move(*next));
    else
      check_joining_voters(key, roster);
    return;
  }
  std::size_t lot_nodes_seen = 0;
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    lot_nodes_seen += member.keeps_lots() && !member.keeps_control();
  const TimePoint now = messenger_.timers().now();
  if (lot_nodes_seen != lot_nodes_seen_) lot_nodes_seen_since_ = now;
  lot_nodes_seen_ = lot_nodes_seen;
  if (lot_nodes_seen == 0 ||
      now - lot_nodes_seen_since_ < (lot_nodes_seen < min_voters ? seconds(6) : lot_roster_bootstrap_delay))
    return;
  Roster first;
  while (auto next = next_roster(key, first, "lots")) first.voters = std::move(next->voters);
  first.version = Version{1};
  if (!first.voters.empty()) change_roster(key, std::move(first));
}

// Whether a voter is to be replaced. `newest` is when the newest storage node of the group was first seen.
ReplicatedStore::VoterState ReplicatedStore::voter_state(const Voter& voter, RosterObservations& observations,
                                                         TimePoint newest) const {
  const auto members = shared_state_.members.get();
  const TimePoint now = messenger_.timers().now();
  const Member* member = members->storage_node(voter.holder);
  const bool available = member != nullptr && !member->stalled;
  if (available) {
    observations.unreachable_since.erase(voter.holder);
    return retired(voter.address) ? VoterState::retired : VoterState::available;
  }
  const TimePoint since = observations.unreachable_since.try_emplace(voter.holder, now).first->second;
  // A wiped machine is back under another identity, so its old identity will never come back.
  auto at_address = members->all.find(voter.address);
  if (member == nullptr && at_address != members->all.end() && !at_address->second.holder.empty())
    return VoterState::wiped;
  // A storage node that came up at about the time when this one became unreachable is its replacement.
  if (now - since > lost_after || (now - since > replaced_after && newest + successor_window >= since))
    return VoterState::lost;
  return VoterState::unreachable;
}

bool ReplicatedStore::retired(const Address& address) const {
  const auto configuration = shared_state_.configuration.get();
  auto found = configuration->holders.find(address.text);
  return found != configuration->holders.end() && found->second.spec.retired;
}

// The available storage nodes of the group that are not voters, those of zones with the fewest voters first. Sets
// `newest` to the time when the newest node of the group was first seen. A node that has just begun to maintain the
// roster sees all nodes for the first time and may replace a voter too early; removing a voter that would have come
// back costs little.
std::vector<const Member*> ReplicatedStore::find_standbys(const Members& members, const Roster& current,
                                                          const std::string& keeps, RosterObservations& observations,
                                                          TimePoint* newest) const {
  const TimePoint now = messenger_.timers().now();
  std::map<ZoneId, std::size_t> voters_in_zone;
  for (const auto& voter : current.voters) ++voters_in_zone[voter.zone];
  std::vector<const Member*> list;
  for (const auto& [address, member] : members.all) {
    if (member.holder.empty() || member.keeps != keeps) continue;
    const bool is_voter = current.has_voter(member.holder);
    *newest = std::max(*newest, observations.first_seen.try_emplace(member.holder, now).first->second);
    if (!is_voter && !member.stalled && !retired(address)) list.push_back(&member);
  }
  std::sort(list.begin(), list.end(), [&](const Member* left_member, const Member* right_member) {
    return std::make_tuple(voters_in_zone[left_member->zone], left_member->address) <
           std::make_tuple(voters_in_zone[right_member->zone], right_member->address);
  });
  return list;
}

// The roster with one voter more or fewer, if the members require a change. A lost voter is removed before another one
// is added, and none is added while a voter is unreachable and may be lost: the lost voter would still count towards a
// larger majority, and no further node could fail. A retired node that is still available keeps its vote until its
// replacement has one.
std::optional<Roster> ReplicatedStore::next_roster(const std::string& key, const Roster& current,
                                                   const std::string& keeps) {
  RosterObservations& observations = observations_[key];
  const auto members = shared_state_.members.get();
  TimePoint newest;
  const std::vector<const Member*> standbys = find_standbys(*members, current, keeps, observations, &newest);
  const Voter* worst_voter = nullptr;
  VoterState worst_state = VoterState::available;
  for (const auto& voter : current.voters)
    if (const VoterState state = voter_state(voter, observations, newest); state > worst_state) {
      worst_voter = &voter;
      worst_state = state;
    }
  Roster next = current;
  next.version = current.version.next();
  const std::size_t wanted = voters_wanted(keeps);
  const bool short_of_voters = worst_voter != nullptr || (current.voters.size() < wanted && !standbys.empty());
  update_voter_shortage(key, current, short_of_voters);
  if (worst_state == VoterState::unreachable) return std::nullopt;
  const std::size_t remaining = current.voters.size() - (worst_voter != nullptr);
  const bool bootstrapping = current.version == Version{};
  const bool is_lost = worst_state > VoterState::unreachable;
  const bool may_drop =
      worst_voter != nullptr && (remaining >= min_voters || (is_lost && !standbys.empty() && remaining >= 2));
  if (may_drop && (is_lost || remaining >= wanted || standbys.empty()))
    std::erase_if(next.voters, [&](const Voter& voter) { return voter.holder == worst_voter->holder; });
  else if (!standbys.empty() && remaining < wanted)
    next.voters.push_back(
        Voter{standbys[0]->holder, standbys[0]->address, standbys[0]->zone, standbys[0]->name, !bootstrapping});
  else if (has_joining_voters(current) && fully_replicated(key, current))
    for (auto& voter : next.voters) voter.joining = false;
  else
    return std::nullopt;
  return next;
}

bool ReplicatedStore::fully_replicated(const std::string& key, const Roster& current) const {
  auto replicated = replicated_slots_.find(key);
  return replicated != replicated_slots_.end() && replicated->second.roster == current.version &&
         replicated->second.slots.size() == slot_count;
}

// Joining voters may own slots once every voter has been seen with all records of every slot.
void ReplicatedStore::check_joining_voters(const std::string& key, const Roster& current) {
  if (!has_joining_voters(current) || fully_replicated(key, current) || ticks_ % joining_check_ticks != 0) return;
  check_replication(key, current, [] {});
}

void ReplicatedStore::update_voter_shortage(const std::string& key, const Roster& current, bool short_of_voters) {
  if (current.version == Version{}) return;  // The first roster is being made.
  RosterObservations& observations = observations_[key];
  const TimePoint now = messenger_.timers().now();
  if (short_of_voters) {
    if (!observations.short_of_voters_since) observations.short_of_voters_since = now;
    counts_.short_of_seats[key] =
        static_cast<std::uint64_t>((now - *observations.short_of_voters_since).count() / 1000);
    return;
  }
  counts_.short_of_seats.erase(key);
  if (!observations.short_of_voters_since) return;
  report_.log("Roster " + key + " is complete again: " + std::to_string(current.voters.size()) + " voters, " +
              std::to_string((now - *observations.short_of_voters_since).count() / 1000) +
              " ms after it became short of voters.");
  observations.short_of_voters_since.reset();
}

void ReplicatedStore::change_when_in_sync(const std::string& key, const Roster& current, Roster next) {
  changing_.insert(key);
  awaiting_sync_.insert(key);
  struct Count {
    std::set<std::uint32_t> owned_slots;
    std::size_t outstanding = 0;
    bool over = false;
  };
  auto count = std::make_shared<Count>();
  // An unreachable voter owns no slots; waiting for its reply would only delay the next attempt.
  const auto members = shared_state_.members.get();
  std::vector<Voter> voters = current.voters;
  std::erase_if(voters, [&](const Voter& voter) { return members->storage_node(voter.holder) == nullptr; });
  count->outstanding = voters.size();
  if (voters.empty()) changing_.erase(key);
  for (const auto& voter : voters)
    messenger_.request(voter.address, SyncStatus{current.version}, sync_status_timeout,
                       [this, count, key, next, version = current.version](Result<SyncStatusReply> result) {
                         --count->outstanding;
                         if (count->over) return;
                         if (auto* reply = std::get_if<SyncStatusReply>(&result))
                           count->owned_slots.insert(reply->slots.begin(), reply->slots.end());
                         count->over = count->owned_slots.size() == slot_count;
                         if (count->over) awaiting_sync_.erase(key);
                         if (count->over && (key != "roster" || roster_.version == version))
                           return change_roster(key, next);
                         if (count->over || count->outstanding == 0) changing_.erase(key);
                       });
}

void ReplicatedStore::change_roster(const std::string& key, Roster next) {
  const std::uint32_t slot = slot_of(key);
  changing_.insert(key);
  if (slot_ownership_[slot].state != SlotOwnership::State::owned) return void(changing_.erase(key));
  const TimePoint now = messenger_.timers().now();
  TimePoint& last_change = observations_[key].last_change;
  report_.log("Changing roster " + key + " to version " + std::to_string(next.version.value) + " with " +
              std::to_string(next.voters.size()) + " voters" +
              (last_change == TimePoint{}
                   ? std::string(".")
                   : ", " + std::to_string((now - last_change).count() / 1000) + " ms after the previous change."));
  last_change = now;
  ++counts_.roster_changes;
  Write request;
  request.key = key;
  request.head = json::serialize(to_json(next));
  request.fence = slot_ownership_[slot].epoch.value;
  write(std::move(request), [this, key, next](Result<WriteReply> result) {
    changing_.erase(key);
    if (error_of(result) == nullptr && key == lot_roster_key)
      for (const auto& voter : next.voters) messenger_.send(voter.address, RosterUpdate{next, "lots"});
  });
}

}  // namespace mothwalk
