// Repair: digests of slots are compared with another replica, and what is newer under the promised epoch is copied.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

void ReplicatedStore::repair() {
  std::vector<Voter> others;
  for (const auto& seat : roster_.seats)
    if (seat.holder != identity_) others.push_back(seat);
  if (others.empty()) return;
  const Voter peer = others[random_.below(others.size())];
  messenger_.request(peer.address, Digests{}, peer_timeout, [this, peer](Result<DigestsReply> result) {
    auto* reply = std::get_if<DigestsReply>(&result);
    if (reply == nullptr || reply->digests.size() != slot_count) return;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot)
      if (reply->digests[slot] != held_[slot].digest && owned_[slot].state == Owned::State::none)
        repair_slot(peer, slot);
  });
}

void ReplicatedStore::repair_slot(const Voter& peer, std::uint32_t slot) {
  messenger_.request(peer.address, Range{slot}, peer_timeout, [this, peer, slot](Result<RangeReply> result) {
    auto* range = std::get_if<RangeReply>(&result);
    if (range == nullptr) return;
    FetchRecords fetch{slot, {}};
    for (const auto& theirs : range->stamps)
      if (wanted_for_repair(slot, theirs)) fetch.keys.push_back(theirs.key);
    if (fetch.keys.empty()) return;
    messenger_.request(peer.address, fetch, peer_timeout, [this, slot](Result<RecordsReply> fetched) {
      if (auto* records = std::get_if<RecordsReply>(&fetched)) keep_repaired(slot, std::move(records->records));
    });
  });
}

// Repair only copies: what is of another epoch than the one promised is left to that epoch's owner.
bool ReplicatedStore::wanted_for_repair(std::uint32_t slot, const Record& theirs) const {
  const Held& held = held_[slot];
  if (theirs.stamp.epoch != held.promised || slot_of(theirs.key) != slot) return false;
  auto mine = held.records.find(theirs.key);
  return mine == held.records.end() || mine->second.stamp < theirs.stamp;
}

void ReplicatedStore::keep_repaired(std::uint32_t slot, std::vector<Record> records) {
  for (auto& record : records) {
    if (!wanted_for_repair(slot, record)) continue;
    if (!has_room(size_of(record))) {
      ++counts_.stores_refused_for_room;
      return;
    }
    Change change{record.key,     {},           record.stamp,  true, record.removed, record.head,
                  record.entries, record.token, record.written};
    apply(held_[slot], change);
    persist(DiskEntry{.what = "change", .slot = slot, .epoch = record.stamp.epoch, .change = std::move(change)}, [] {});
  }
}

}  // namespace mothwalk
