// How far the retirement of a holder is: complete when nothing would be lost with its machine.
#include <algorithm>
#include <set>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
constexpr Span members_settle = std::chrono::seconds(4);  // longer than a session stands without a beat
constexpr Span approval_span = std::chrono::seconds(10);  // until a mark that was written is surely in the news
constexpr std::size_t fewest_remaining = 3;               // holders, of which one may be lost
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
  const Moment now = messenger_.timers().now();
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

void ReplicatedStore::retirement(const Retirement& asked, Answer<RetirementReply> answer) {
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
    if (fault_of(read) != nullptr) return answer(moved());
    const Roster roster = std::get<Roster>(std::move(read));
    const auto reviewed = review(asked, roster);
    if (!reviewed) return answer(moved());
    RetirementReply reply = *reviewed;
    // A store that has just started does not know the members yet, and refuses nobody for good.
    const bool refused = !reply.known || (asked.begins && !reply.retired && !reply.enough_remain);
    if (refused && asked.begins && messenger_.timers().now() - started_ < members_settle) return answer(moved());
    if (asked.begins) return answer(reply);
    Copied& copied = copied_[asked.roster];
    if (copied.roster != roster.version) copied = Copied{roster.version, {}};
    reply.complete = reply.retired && !reply.seated && copied.slots.size() == slot_count;
    if (reply.complete || reply.seated || !reply.retired) return answer(reply);
    auto replies = std::make_shared<std::vector<SettledReply>>();
    auto left = std::make_shared<std::size_t>(roster.seats.size());
    for (const auto& seat : roster.seats)
      messenger_.ask(seat.address, Settled{roster.version}, peer_timeout,
                     [this, replies, left, reply, answer, key = asked.roster, version = roster.version,
                      seats = roster.seats.size()](Result<SettledReply> result) {
                       if (auto* settled = std::get_if<SettledReply>(&result);
                           settled != nullptr && settled->installed.size() == slot_count &&
                           settled->digests.size() == slot_count && settled->epochs.size() == settled->slots.size())
                         replies->push_back(std::move(*settled));
                       if (--*left > 0) return;
                       Copied& now_copied = copied_[key];
                       if (now_copied.roster != version || replies->size() != seats) return answer(reply);
                       for (const auto& owner : *replies)
                         for (std::size_t index = 0; index < owner.slots.size(); ++index) {
                           const std::uint32_t number = owner.slots[index];
                           bool whole = number < slot_count;
                           for (const auto& copy : *replies)
                             whole = whole && (copy.installed[number] >= owner.epochs[index] ||
                                               copy.digests[number] == owner.digests[number]);
                           if (whole) now_copied.slots.insert(number);
                         }
                       RetirementReply final_reply = reply;
                       final_reply.complete = now_copied.slots.size() == slot_count;
                       answer(final_reply);
                     });
  });
}

}  // namespace mothwalk
