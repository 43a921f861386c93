// Reads at the owner of a key. Before it replies, a majority confirms that it still is the owner, so reads are
// linearizable.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
}  // namespace

void ReplicatedStore::on_read(Read read, ReplyCallback<ReadReply> respond) {
  const std::uint32_t slot = slot_of(read.key);
  if (slot_ownership_[slot].state != SlotOwnership::State::owned || !stores_key(read.key)) return respond(not_owner());
  confirm(slot, [this, slot, key = read.key, head_only = read.head_only, respond](bool succeeded) {
    if (!succeeded || slot_ownership_[slot].state != SlotOwnership::State::owned) return respond(not_owner());
    auto finish = [this, slot, key, head_only, respond] {
      if (slot_ownership_[slot].state != SlotOwnership::State::owned) return respond(not_owner());
      auto found = slot_replicas_[slot].records.find(key);
      if (found == slot_replicas_[slot].records.end()) return respond(ReadReply{});
      ReadReply reply{true, found->second, found->second.entries.size()};
      if (head_only) reply.record.entries.clear();
      respond(std::move(reply));
    };
    auto queue = slot_ownership_[slot].queues.find(key);
    if (queue != slot_ownership_[slot].queues.end() && queue->second.busy)
      queue->second.waiting_reads.push_back(finish);
    else
      finish();
  });
}

void ReplicatedStore::on_list_slot(const Address& from, ListSlot list, ReplyCallback<ListSlotReply> respond) {
  if (from != self_.address || list.slot >= slot_count ||
      slot_ownership_[list.slot].state != SlotOwnership::State::owned || slot_ownership_[list.slot].epoch != list.epoch)
    return respond(not_owner());
  std::map<StringView, Stamp> known;
  for (const auto& each : list.known) known[each.key] = each.written;
  ListSlotReply reply;
  for (const auto& [key, record] : slot_replicas_[list.slot].records) {
    if (!key.starts_with(list.prefix) || record.removed) continue;
    auto same = known.find(key);
    if (same != known.end() && same->second == record.written)
      reply.unchanged.push_back(key);
    else
      reply.records.push_back(record);
  }
  respond(std::move(reply));
}

void ReplicatedStore::on_confirm_slot(ConfirmSlot request, ReplyCallback<ConfirmReply> respond) {
  if (request.slot >= slot_count || slot_ownership_[request.slot].state != SlotOwnership::State::owned ||
      slot_ownership_[request.slot].epoch != request.epoch)
    return respond(not_owner());
  confirm(request.slot, [respond](bool succeeded) { succeeded ? respond(ConfirmReply{}) : respond(not_owner()); });
}

void ReplicatedStore::confirm(std::uint32_t slot, std::function<void(bool)> then) {
  SlotOwnership& ownership = slot_ownership_[slot];
  ownership.next_confirm_callbacks.push_back(std::move(then));
  if (!ownership.confirming) confirm_round(slot);
}

void ReplicatedStore::confirm_round(std::uint32_t slot) {
  SlotOwnership& ownership = slot_ownership_[slot];
  ownership.confirming = true;
  ownership.confirm_callbacks = std::move(ownership.next_confirm_callbacks);
  ownership.next_confirm_callbacks.clear();
  const Epoch epoch = ownership.epoch;
  auto acks = std::make_shared<std::size_t>(0);
  auto outstanding = std::make_shared<std::size_t>(roster_.voters.size());
  const std::size_t majority = roster_.majority();
  for (const auto& voter : roster_.voters)
    request_voter(voter, Confirm{{}, {}, slot, epoch, ownership.roster}, peer_timeout,
                  [this, slot, epoch, acks, outstanding, majority](Result<StoreReply> result) {
                    --*outstanding;
                    SlotOwnership& current_ownership = slot_ownership_[slot];
                    if (current_ownership.state != SlotOwnership::State::owned || current_ownership.epoch != epoch ||
                        *acks >= majority)
                      return;
                    auto* reply = std::get_if<StoreReply>(&result);
                    if (reply != nullptr && reply->outcome == "stored") ++*acks;
                    if (const bool enough = *acks >= majority; !enough && *outstanding > 0) return;
                    if (*acks < majority) return step_down(slot, milliseconds(200));
                    auto waiting = std::move(current_ownership.confirm_callbacks);
                    current_ownership.confirm_callbacks.clear();
                    current_ownership.confirming = false;
                    for (auto& each : waiting) each(true);
                    if (slot_ownership_[slot].state == SlotOwnership::State::owned &&
                        !slot_ownership_[slot].confirming && !slot_ownership_[slot].next_confirm_callbacks.empty())
                      confirm_round(slot);
                  });
}

}  // namespace mothwalk
