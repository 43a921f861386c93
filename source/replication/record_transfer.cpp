// State transfer: records are copied to voters that lack them. Each voter gets one message at a time, so that its other
// messages are not delayed. Transfers that an owner needs for a majority go first; the others wait while the roster is
// changing.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
constexpr std::size_t max_copies_bytes = 1u << 20;  // Of records in one message; a larger record is sent alone.
// Transfers that no majority needs wait for this time after a roster change, because another change may follow.
constexpr Duration roster_change_pause = std::chrono::milliseconds(600);
}  // namespace

void ReplicatedStore::queue_transfer(TransferPointer transfer) {
  ++transfer->takeover->awaiting_records;
  const StorageNodeId node = transfer->voter.holder;
  transfers_[node].transfers.push_back(std::move(transfer));
  send_copies(node);
}

bool ReplicatedStore::transferring(const StorageNodeId& node, std::uint32_t slot) const {
  auto found = transfers_.find(node);
  if (found == transfers_.end()) return false;
  const auto& transfers = found->second.transfers;
  return std::any_of(transfers.begin(), transfers.end(),
                     [&](const TransferPointer& each) { return each->slot == slot; });
}

bool ReplicatedStore::is_current(const Transfer& transfer) const {
  const SlotOwnership& ownership = slot_ownership_[transfer.slot];
  return ownership.state != SlotOwnership::State::none && ownership.epoch == transfer.epoch &&
         roster_.version == transfer.roster;
}

// Whether the takeover can't get a majority without this voter: the voters that have installed the content or may still
// do so without a transfer are too few.
bool ReplicatedStore::needed_for_majority(const Transfer& transfer) const {
  const Takeover& takeover = *transfer.takeover;
  return slot_ownership_[transfer.slot].state == SlotOwnership::State::taking_over &&
         takeover.installed_count + (takeover.outstanding - takeover.awaiting_records) < roster_.majority();
}

void ReplicatedStore::send_copies(const StorageNodeId& node) {
  VoterTransfers& queue = transfers_[node];
  if (queue.sending) return;
  std::erase_if(queue.transfers, [this](const TransferPointer& each) { return !is_current(*each); });
  if (queue.transfers.empty()) return void(transfers_.erase(node));
  auto next = std::find_if(queue.transfers.begin(), queue.transfers.end(),
                           [this](const TransferPointer& each) { return needed_for_majority(*each); });
  if (next == queue.transfers.end()) {
    if (messenger_.timers().now() - roster_adopted_at_ < roster_change_pause)
      return;  // resume_transfers() tries again.
    next = queue.transfers.begin();
  }
  const TransferPointer transfer = *next;
  queue.transfers.erase(next);
  queue.transfers.push_back(transfer);
  queue.sending = true;
  CopyRecords copies = next_copies(*transfer);
  counts_.records_copied += copies.records.size();
  for (const auto& record : copies.records) counts_.bytes_copied += size_of(record);
  request_voter(transfer->voter, std::move(copies), peer_timeout, [this, transfer](Result<StoreReply> result) {
    on_copies_reply(transfer, std::get_if<StoreReply>(&result));
  });
}

CopyRecords ReplicatedStore::next_copies(Transfer& transfer) {
  CopyRecords copies{{}, {}, transfer.slot, transfer.epoch, transfer.roster, {}};
  std::size_t size = 0;
  while (!transfer.missing.empty()) {
    const Record* record = record_to_copy(transfer, transfer.missing.front());
    if (record != nullptr) {
      if (size > 0 && size + size_of(*record) > max_copies_bytes) break;
      size += size_of(*record);
      copies.records.push_back(*record);
      copies.records.back().stamp.epoch = transfer.epoch;
    }
    transfer.missing.pop_front();
  }
  return copies;
}

// The newest version of a record: the node's own one if it was written or installed under the epoch, otherwise that
// from the replies to the promise requests, otherwise the node's own.
const Record* ReplicatedStore::record_to_copy(const Transfer& transfer, const std::string& key) const {
  const auto& own_records = slot_replicas_[transfer.slot].records;
  auto own_record = own_records.find(key);
  if (own_record != own_records.end() && own_record->second.stamp.epoch == transfer.epoch) return &own_record->second;
  auto newer_record = transfer.takeover->newer_records.find(key);
  if (newer_record != transfer.takeover->newer_records.end()) return &newer_record->second;
  return own_record == own_records.end() ? nullptr : &own_record->second;
}

void ReplicatedStore::on_copies_reply(const TransferPointer& transfer, const StoreReply* reply) {
  VoterTransfers& queue = transfers_[transfer->voter.holder];
  queue.sending = false;
  counts_.copies_late += reply == nullptr;
  const bool succeeded = reply != nullptr && reply->outcome == "stored";
  if (!succeeded || transfer->missing.empty()) {
    std::erase(queue.transfers, transfer);
    if (is_current(*transfer)) {
      --transfer->takeover->awaiting_records;
      // The installation is tried even if the transfer failed: its reply shows the reason, and ends the takeover at
      // this voter.
      install_at_voter(transfer->voter, transfer->slot, transfer->epoch, transfer->roster, transfer->takeover,
                       succeeded ? transfer->attempts_left : 1);
    }
  }
  send_copies(transfer->voter.holder);
}

void ReplicatedStore::resume_transfers() {
  std::vector<StorageNodeId> nodes;
  for (const auto& [node, queue] : transfers_) nodes.push_back(node);
  for (const auto& node : nodes) send_copies(node);
}

}  // namespace mothwalk
