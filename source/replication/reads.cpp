// Reads at the owner of a key, confirmed by a majority under the epoch of the owner.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
}  // namespace

void ReplicatedStore::on_read(Read read, ReplyCallback<ReadReply> answer) {
  const std::uint32_t slot = slot_of(read.key);
  if (owned_[slot].state != Owned::State::owned || !keeps_key(read.key)) return answer(moved());
  confirm(slot, [this, slot, key = read.key, head_only = read.head_only, answer](bool good) {
    if (!good || owned_[slot].state != Owned::State::owned) return answer(moved());
    auto finish = [this, slot, key, head_only, answer] {
      if (owned_[slot].state != Owned::State::owned) return answer(moved());
      auto found = held_[slot].records.find(key);
      if (found == held_[slot].records.end()) return answer(ReadReply{});
      ReadReply reply{true, found->second, found->second.entries.size()};
      if (head_only) reply.record.entries.clear();
      answer(std::move(reply));
    };
    auto queue = owned_[slot].queues.find(key);
    if (queue != owned_[slot].queues.end() && queue->second.busy)
      queue->second.readers.push_back(finish);
    else
      finish();
  });
}

void ReplicatedStore::on_list_slot(const Address& from, ListSlot list, ReplyCallback<ListSlotReply> answer) {
  if (from != self_.address || list.slot >= slot_count || owned_[list.slot].state != Owned::State::owned ||
      owned_[list.slot].epoch != list.epoch)
    return answer(moved());
  std::map<StringView, Stamp> known;
  for (const auto& each : list.known) known[each.key] = each.written;
  ListSlotReply reply;
  for (const auto& [key, record] : held_[list.slot].records) {
    if (!key.starts_with(list.prefix) || record.removed) continue;
    auto same = known.find(key);
    if (same != known.end() && same->second == record.written)
      reply.unchanged.push_back(key);
    else
      reply.records.push_back(record);
  }
  answer(std::move(reply));
}

void ReplicatedStore::on_confirm_slot(ConfirmSlot request, ReplyCallback<ConfirmReply> answer) {
  if (request.slot >= slot_count || owned_[request.slot].state != Owned::State::owned ||
      owned_[request.slot].epoch != request.epoch)
    return answer(moved());
  confirm(request.slot, [answer](bool good) { good ? answer(ConfirmReply{}) : answer(moved()); });
}

void ReplicatedStore::confirm(std::uint32_t slot, std::function<void(bool)> then) {
  Owned& owned = owned_[slot];
  owned.confirm_next.push_back(std::move(then));
  if (!owned.confirming) confirm_round(slot);
}

void ReplicatedStore::confirm_round(std::uint32_t slot) {
  Owned& owned = owned_[slot];
  owned.confirming = true;
  owned.confirm_now = std::move(owned.confirm_next);
  owned.confirm_next.clear();
  const Epoch epoch = owned.epoch;
  auto acks = std::make_shared<std::size_t>(0);
  auto left = std::make_shared<std::size_t>(roster_.seats.size());
  const std::size_t majority = roster_.majority();
  for (const auto& seat : roster_.seats)
    ask_seat(seat, Confirm{{}, {}, slot, epoch, owned.roster}, peer_timeout,
             [this, slot, epoch, acks, left, majority](Result<StoreReply> result) {
               --*left;
               Owned& now_owned = owned_[slot];
               if (now_owned.state != Owned::State::owned || now_owned.epoch != epoch || *acks >= majority) return;
               auto* reply = std::get_if<StoreReply>(&result);
               if (reply != nullptr && reply->outcome == "stored") ++*acks;
               if (const bool enough = *acks >= majority; !enough && *left > 0) return;
               if (*acks < majority) return step_down(slot, milliseconds(200));
               auto waiting = std::move(now_owned.confirm_now);
               now_owned.confirm_now.clear();
               now_owned.confirming = false;
               for (auto& each : waiting) each(true);
               if (owned_[slot].state == Owned::State::owned && !owned_[slot].confirming &&
                   !owned_[slot].confirm_next.empty())
                 confirm_round(slot);
             });
}

}  // namespace mothwalk
