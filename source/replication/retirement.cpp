// How far the retirement of a holder is: complete when nothing would be lost with its machine.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

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
    const auto configuration = shared_state_.configuration.get();
    RetirementReply reply;
    if (auto mark = configuration->holders.find(asked.holder.text); mark != configuration->holders.end())
      reply.known = true, reply.retired = mark->second.spec.retired;
    if (asked.holder.empty()) reply.retired = true;
    for (const auto& seat : roster.seats)
      reply.seated = reply.seated || seat.address == asked.holder || (!asked.name.empty() && seat.name == asked.name);
    reply.known = reply.known || reply.seated || shared_state_.members.get()->all.contains(asked.holder);
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
