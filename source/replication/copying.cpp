// Copies of records to seats that lack them: one message at a time to each seat, so that what else goes there is not
// held up. What a slot's owner needs for its majority goes first; the rest waits while the roster changes.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
constexpr std::size_t copies_size = 1u << 20;  // bytes of a message; a longer record goes alone
// Copies that no majority needs wait so long after a change of the roster: another one may follow.
constexpr Duration roster_rest = std::chrono::milliseconds(600);
}  // namespace

void ReplicatedStore::queue_transfer(TransferPointer transfer) {
  ++transfer->taking->waiting;
  const StorageNodeId holder = transfer->seat.holder;
  transfers_[holder].waiting.push_back(std::move(transfer));
  send_copies(holder);
}

bool ReplicatedStore::transferring(const StorageNodeId& holder, std::uint32_t slot) const {
  auto seat = transfers_.find(holder);
  if (seat == transfers_.end()) return false;
  const auto& waiting = seat->second.waiting;
  return std::any_of(waiting.begin(), waiting.end(), [&](const TransferPointer& each) { return each->slot == slot; });
}

bool ReplicatedStore::current(const Transfer& transfer) const {
  const Owned& owned = owned_[transfer.slot];
  return owned.state != Owned::State::none && owned.epoch == transfer.epoch && roster_.version == transfer.roster;
}

// Without this seat the seats that have the slot, or have not answered yet, are too few.
bool ReplicatedStore::needed(const Transfer& transfer) const {
  const Taking& taking = *transfer.taking;
  return owned_[transfer.slot].state == Owned::State::taking &&
         taking.stored + (taking.left - taking.waiting) < roster_.majority();
}

void ReplicatedStore::send_copies(const StorageNodeId& holder) {
  SeatTransfers& seat = transfers_[holder];
  if (seat.sending) return;
  std::erase_if(seat.waiting, [this](const TransferPointer& each) { return !current(*each); });
  if (seat.waiting.empty()) return void(transfers_.erase(holder));
  auto next = std::find_if(seat.waiting.begin(), seat.waiting.end(),
                           [this](const TransferPointer& each) { return needed(*each); });
  if (next == seat.waiting.end()) {
    if (messenger_.timers().now() - adopted_ < roster_rest) return;  // the timer looks again
    next = seat.waiting.begin();
  }
  const TransferPointer transfer = *next;
  seat.waiting.erase(next);
  seat.waiting.push_back(transfer);
  seat.sending = true;
  Copies copies = next_copies(*transfer);
  counts_.records_copied += copies.records.size();
  for (const auto& record : copies.records) counts_.bytes_copied += size_of(record);
  ask_seat(transfer->seat, std::move(copies), peer_timeout,
           [this, transfer](Result<StoreReply> result) { copied(transfer, std::get_if<StoreReply>(&result)); });
}

Copies ReplicatedStore::next_copies(Transfer& transfer) {
  Copies copies{{}, {}, transfer.slot, transfer.epoch, transfer.roster, {}};
  std::size_t size = 0;
  while (!transfer.missing.empty()) {
    const Record* record = record_to_copy(transfer, transfer.missing.front());
    if (record != nullptr) {
      if (size > 0 && size + size_of(*record) > copies_size) break;
      size += size_of(*record);
      copies.records.push_back(*record);
      copies.records.back().stamp.epoch = transfer.epoch;
    }
    transfer.missing.pop_front();
  }
  return copies;
}

// What the promises brought, or what this holder has itself; its own record where it has changed under the epoch.
const Record* ReplicatedStore::record_to_copy(const Transfer& transfer, const std::string& key) const {
  const auto& mine = held_[transfer.slot].records;
  auto own = mine.find(key);
  if (own != mine.end() && own->second.stamp.epoch == transfer.epoch) return &own->second;
  auto newer = transfer.taking->newer.find(key);
  if (newer != transfer.taking->newer.end()) return &newer->second;
  return own == mine.end() ? nullptr : &own->second;
}

void ReplicatedStore::copied(const TransferPointer& transfer, const StoreReply* reply) {
  SeatTransfers& seat = transfers_[transfer->seat.holder];
  seat.sending = false;
  counts_.copies_late += reply == nullptr;
  const bool good = reply != nullptr && reply->outcome == "stored";
  if (!good || transfer->missing.empty()) {
    std::erase(seat.waiting, transfer);
    if (current(*transfer)) {
      --transfer->taking->waiting;
      // The installation is tried where the copies failed as well: it tells why, and ends the seat's part.
      install_at(transfer->seat, transfer->slot, transfer->epoch, transfer->roster, transfer->taking,
                 good ? transfer->times : 1);
    }
  }
  send_copies(transfer->seat.holder);
}

void ReplicatedStore::resume_transfers() {
  std::vector<StorageNodeId> holders;
  for (const auto& [holder, seat] : transfers_) holders.push_back(holder);
  for (const auto& holder : holders) send_copies(holder);
}

}  // namespace mothwalk
