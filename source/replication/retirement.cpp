// Retirement of a storage node: it is complete once no record would be lost with its machine.
#include <algorithm>
#include <set>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
constexpr Duration members_settle_time = std::chrono::seconds(4);  // Longer than a session lasts without heartbeats.
constexpr Duration approval_validity =
    std::chrono::seconds(10);                   // By then a retirement mark that was written is in the configuration.
constexpr std::size_t min_remaining_nodes = 3;  // Storage nodes, of which one may be lost.
}  // namespace

Address ReplicatedStore::retiring_node(const Retirement& request, const Roster& roster) const {
  if (!request.holder.empty() || request.name.empty()) return request.holder;
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.name == request.name && member.keeps == "lots") return address;
  for (const auto& voter : roster.voters)
    if (voter.name == request.name) return voter.address;
  return {};
}

std::set<Address> ReplicatedStore::remaining_storage_nodes(const Roster& roster, const Address& without) const {
  std::set<Address> remaining;
  for (const auto& voter : roster.voters) remaining.insert(voter.address);
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.keeps == "lots") remaining.insert(address);
  const auto configuration = shared_state_.configuration.get();
  std::erase_if(remaining, [&](const Address& address) {
    auto found = configuration->holders.find(address.text);
    const bool retired = found != configuration->holders.end() && found->second.spec.retired;
    return address == without || retired;
  });
  return remaining;
}

std::optional<RetirementReply> ReplicatedStore::assess_retirement(const Retirement& request, const Roster& roster) {
  const TimePoint now = messenger_.timers().now();
  std::erase_if(approved_retirements_, [now](const auto& each) { return now - each.second > approval_validity; });
  RetirementReply reply;
  reply.holder = retiring_node(request, roster);
  const auto configuration = shared_state_.configuration.get();
  if (auto found = configuration->holders.find(reply.holder.text); found != configuration->holders.end())
    reply.known = true, reply.retired = found->second.spec.retired;
  // The name of a machine that has left after its retirement is no longer known.
  if (reply.holder.empty() && !request.begins) reply.retired = true;
  for (const auto& voter : roster.voters)
    reply.seated =
        reply.seated || voter.address == reply.holder || (!request.name.empty() && voter.name == request.name);
  reply.known = reply.known || reply.seated || shared_state_.members.get()->all.contains(reply.holder);
  auto remaining = remaining_storage_nodes(roster, reply.holder);
  reply.enough_remain = remaining.size() >= min_remaining_nodes;
  if (!request.begins || !reply.known || reply.retired || !reply.enough_remain) return reply;
  // Another retirement that was approved may or may not take effect, so it is not known yet whether enough would
  // remain.
  std::erase_if(remaining, [this](const Address& address) { return approved_retirements_.contains(address); });
  if (remaining.size() < min_remaining_nodes) return std::nullopt;
  approved_retirements_[reply.holder] = now;
  return reply;
}

void ReplicatedStore::on_retirement(const Retirement& request, ReplyCallback<RetirementReply> respond) {
  const std::uint32_t slot = slot_of(request.roster);
  if ((request.roster != "roster" && request.roster != lot_roster_key) ||
      slot_ownership_[slot].state != SlotOwnership::State::owned || !stores_key(request.roster))
    return respond(not_owner());
  confirm(slot, [this, slot, request, respond](bool succeeded) {
    auto found = slot_replicas_[slot].records.find(request.roster);
    if (!succeeded || slot_ownership_[slot].state != SlotOwnership::State::owned ||
        found == slot_replicas_[slot].records.end() || changing_.contains(request.roster))
      return respond(not_owner());
    auto read = from_json<Roster>(found->second.head);
    if (error_of(read) != nullptr) return respond(not_owner());
    const Roster roster = std::get<Roster>(std::move(read));
    const auto assessment = assess_retirement(request, roster);
    if (!assessment) return respond(not_owner());
    RetirementReply reply = *assessment;
    // A store that has just started does not know all members yet, so it asks for a retry instead of refusing.
    const bool refused = !reply.known || (request.begins && !reply.retired && !reply.enough_remain);
    if (refused && request.begins && messenger_.timers().now() - started_ < members_settle_time)
      return respond(not_owner());
    if (request.begins) return respond(reply);
    reply.complete = reply.retired && !reply.seated && fully_replicated(request.roster, roster);
    if (reply.complete || reply.seated || !reply.retired) return respond(reply);
    check_replication(request.roster, roster, [this, reply, respond, key = request.roster, roster] {
      RetirementReply final_reply = reply;
      final_reply.complete = fully_replicated(key, roster);
      respond(final_reply);
    });
  });
}

void ReplicatedStore::check_replication(const std::string& key, const Roster& current, std::function<void()> then) {
  if (ReplicatedSlots& replicated = replicated_slots_[key]; replicated.roster != current.version)
    replicated = ReplicatedSlots{current.version, {}};
  auto replies = std::make_shared<std::vector<SyncStatusReply>>();
  auto outstanding = std::make_shared<std::size_t>(current.voters.size());
  for (const auto& voter : current.voters)
    messenger_.request(voter.address, SyncStatus{current.version}, peer_timeout,
                       [this, replies, outstanding, key, version = current.version, voters = current.voters.size(),
                        then](Result<SyncStatusReply> result) {
                         if (auto* sync_status = std::get_if<SyncStatusReply>(&result);
                             sync_status != nullptr && sync_status->installed.size() == slot_count &&
                             sync_status->digests.size() == slot_count &&
                             sync_status->epochs.size() == sync_status->slots.size())
                           replies->push_back(std::move(*sync_status));
                         if (--*outstanding > 0) return;
                         ReplicatedSlots& replicated = replicated_slots_[key];
                         if (replicated.roster == version && replies->size() == voters)
                           add_replicated_slots(replicated, *replies);
                         then();
                       });
}

// A slot is in sync if each voter has the same records as its owner.
void ReplicatedStore::add_replicated_slots(ReplicatedSlots& replicated, const std::vector<SyncStatusReply>& replies) {
  for (const auto& owner : replies)
    for (std::size_t index = 0; index < owner.slots.size(); ++index) {
      const std::uint32_t number = owner.slots[index];
      if (number >= slot_count) continue;
      const bool in_sync = std::all_of(replies.begin(), replies.end(), [&](const SyncStatusReply& other) {
        return other.installed[number] >= owner.epochs[index] || other.digests[number] == owner.digests[number];
      });
      if (in_sync) replicated.slots.insert(number);
    }
}

}  // namespace mothwalk
