// Anti-entropy repair: a replica compares the digests of its slots with those of a random other voter and copies
// records that are newer there under the promised epoch.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

void ReplicatedStore::repair() {
  std::vector<Voter> others;
  for (const auto& voter : roster_.voters)
    if (voter.holder != identity_) others.push_back(voter);
  if (others.empty()) return;
  const Voter peer = others[random_.below(others.size())];
  messenger_.request(peer.address, Digests{}, peer_timeout, [this, peer](Result<DigestsReply> result) {
    auto* reply = std::get_if<DigestsReply>(&result);
    if (reply == nullptr || reply->digests.size() != slot_count) return;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot)
      if (reply->digests[slot] != slot_replicas_[slot].digest &&
          slot_ownership_[slot].state == SlotOwnership::State::none)
        repair_slot(peer, slot);
  });
}

void ReplicatedStore::repair_slot(const Voter& peer, std::uint32_t slot) {
  messenger_.request(peer.address, ListStamps{slot}, peer_timeout, [this, peer, slot](Result<ListStampsReply> result) {
    auto* range = std::get_if<ListStampsReply>(&result);
    if (range == nullptr) return;
    FetchRecords fetch{slot, {}};
    for (const auto& peer_record : range->stamps)
      if (needs_repair(slot, peer_record)) fetch.keys.push_back(peer_record.key);
    if (fetch.keys.empty()) return;
    messenger_.request(peer.address, fetch, peer_timeout, [this, slot](Result<RecordsReply> fetched) {
      if (auto* records = std::get_if<RecordsReply>(&fetched)) store_repaired(slot, std::move(records->records));
    });
  });
}

// Repair only copies records of the promised epoch. Records of other epochs are left to the slot's owner.
bool ReplicatedStore::needs_repair(std::uint32_t slot, const Record& peer_record) const {
  const SlotReplica& replica = slot_replicas_[slot];
  if (peer_record.stamp.epoch != replica.promised || slot_of(peer_record.key) != slot) return false;
  auto own_record = replica.records.find(peer_record.key);
  return own_record == replica.records.end() || own_record->second.stamp < peer_record.stamp;
}

void ReplicatedStore::store_repaired(std::uint32_t slot, std::vector<Record> records) {
  for (auto& record : records) {
    if (!needs_repair(slot, record)) continue;
    if (!has_room(size_of(record))) {
      ++counts_.stores_refused_for_room;
      return;
    }
    Change change{record.key,     {},           record.stamp,  true, record.removed, record.head,
                  record.entries, record.token, record.written};
    apply(slot_replicas_[slot], change);
    append_to_log(DiskEntry{.what = "change", .slot = slot, .epoch = record.stamp.epoch, .change = std::move(change)},
                  [] {});
  }
}

}  // namespace mothwalk
