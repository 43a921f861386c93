// How far the retirement of a holder is: complete when nothing would be lost with its machine.
#include <algorithm>
#include <set>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
constexpr Duration members_settle = std::chrono::seconds(4);  // longer than a session stands without a beat
constexpr Duration approval_span = std::chrono::seconds(10);  // until a mark that was written is surely in the news
constexpr std::size_t fewest_remaining = 3;                   // holders, of which one may be lost
}  // namespace

Address ReplicatedStore::retiring_holder(const Retirement& asked, const Roster& roster) const {
  if (!asked.holder.empty() || asked.name.empty()) return asked.holder;
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.name == asked.name && member.keeps == "lots") return address;
  for (const auto& seat : roster.seats)
    if (seat.name == asked.name) return seat.address;
  return {};
}

std::set<Address> ReplicatedStore::remaining_holders(const Roster& roster, const Address& without) const {
  std::set<Address> remaining;
  for (const auto& seat : roster.seats) remaining.insert(seat.address);
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.keeps == "lots") remaining.insert(address);
  const auto configuration = shared_state_.configuration.get();
  std::erase_if(remaining, [&](const Address& address) {
    auto mark = configuration->holders.find(address.text);
    const bool retired = mark != configuration->holders.end() && mark->second.spec.retired;
    return address == without || retired;
  });
  return remaining;
}

std::optional<RetirementReply> ReplicatedStore::review(const Retirement& asked, const Roster& roster) {
  const TimePoint now = messenger_.timers().now();
  std::erase_if(approved_, [now](const auto& each) { return now - each.second > approval_span; });
  RetirementReply reply;
  reply.holder = retiring_holder(asked, roster);
  const auto configuration = shared_state_.configuration.get();
  if (auto mark = configuration->holders.find(reply.holder.text); mark != configuration->holders.end())
    reply.known = true, reply.retired = mark->second.spec.retired;
  // A machine that left after its retirement is known by its name no more.
  if (reply.holder.empty() && !asked.begins) reply.retired = true;
  for (const auto& seat : roster.seats)
    reply.seated = reply.seated || seat.address == reply.holder || (!asked.name.empty() && seat.name == asked.name);
  reply.known = reply.known || reply.seated || shared_state_.members.get()->all.contains(reply.holder);
  auto remaining = remaining_holders(roster, reply.holder);
  reply.enough_remain = remaining.size() >= fewest_remaining;
  if (!asked.begins || !reply.known || reply.retired || !reply.enough_remain) return reply;
  // Another retirement that was allowed may take effect or not: whether enough would remain is not known yet.
  std::erase_if(remaining, [this](const Address& address) { return approved_.contains(address); });
  if (remaining.size() < fewest_remaining) return std::nullopt;
  approved_[reply.holder] = now;
  return reply;
}

void ReplicatedStore::retirement(const Retirement& asked, ReplyCallback<RetirementReply> answer) {
  const std::uint32_t slot = slot_of(asked.roster);
  if ((asked.roster != "roster" && asked.roster != lot_roster_key) || owned_[slot].state != Owned::State::owned ||
      !keeps_key(asked.roster))
    return answer(moved());
  confirm(slot, [this, slot, asked, answer](bool good) {
    auto found = held_[slot].records.find(asked.roster);
    if (!good || owned_[slot].state != Owned::State::owned || found == held_[slot].records.end() ||
        changing_.contains(asked.roster))
      return answer(moved());
    auto read = from_json<Roster>(found->second.head);
    if (error_of(read) != nullptr) return answer(moved());
    const Roster roster = std::get<Roster>(std::move(read));
    const auto reviewed = review(asked, roster);
    if (!reviewed) return answer(moved());
    RetirementReply reply = *reviewed;
    // A store that has just started does not know the members yet, and refuses nobody for good.
    const bool refused = !reply.known || (asked.begins && !reply.retired && !reply.enough_remain);
    if (refused && asked.begins && messenger_.timers().now() - started_ < members_settle) return answer(moved());
    if (asked.begins) return answer(reply);
    reply.complete = reply.retired && !reply.seated && copied_whole(asked.roster, roster);
    if (reply.complete || reply.seated || !reply.retired) return answer(reply);
    look_at_copies(asked.roster, roster, [this, reply, answer, key = asked.roster, roster] {
      RetirementReply final_reply = reply;
      final_reply.complete = copied_whole(key, roster);
      answer(final_reply);
    });
  });
}

void ReplicatedStore::look_at_copies(const std::string& key, const Roster& current, std::function<void()> then) {
  if (Copied& copied = copied_[key]; copied.roster != current.version) copied = Copied{current.version, {}};
  auto replies = std::make_shared<std::vector<SyncStatusReply>>();
  auto left = std::make_shared<std::size_t>(current.seats.size());
  for (const auto& seat : current.seats)
    messenger_.request(seat.address, SyncStatus{current.version}, peer_timeout,
                       [this, replies, left, key, version = current.version, seats = current.seats.size(),
                        then](Result<SyncStatusReply> result) {
                         if (auto* settled = std::get_if<SyncStatusReply>(&result);
                             settled != nullptr && settled->installed.size() == slot_count &&
                             settled->digests.size() == slot_count && settled->epochs.size() == settled->slots.size())
                           replies->push_back(std::move(*settled));
                         if (--*left > 0) return;
                         Copied& copied = copied_[key];
                         if (copied.roster == version && replies->size() == seats) note_whole_slots(copied, *replies);
                         then();
                       });
}

// A slot is whole where each seat has what its owner has.
void ReplicatedStore::note_whole_slots(Copied& copied, const std::vector<SyncStatusReply>& replies) {
  for (const auto& owner : replies)
    for (std::size_t index = 0; index < owner.slots.size(); ++index) {
      const std::uint32_t number = owner.slots[index];
      if (number >= slot_count) continue;
      const bool whole = std::all_of(replies.begin(), replies.end(), [&](const SyncStatusReply& copy) {
        return copy.installed[number] >= owner.epochs[index] || copy.digests[number] == owner.digests[number];
      });
      if (whole) copied.slots.insert(number);
    }
}

}  // namespace mothwalk
