// Repair: digests of slots are compared with another replica, and what is newer under the promised epoch is copied.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

void ReplicatedStore::repair() {
  std::vector<Seat> others;
  for (const auto& seat : roster_.seats)
    if (seat.holder != identity_) others.push_back(seat);
  if (others.empty()) return;
  const Seat peer = others[random_.below(others.size())];
  messenger_.ask(peer.address, Digests{}, peer_timeout, [this, peer](Result<DigestsReply> result) {
    auto* reply = std::get_if<DigestsReply>(&result);
    if (reply == nullptr || reply->digests.size() != slot_count) return;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
      if (reply->digests[slot] == held_[slot].digest || owned_[slot].state != Owned::State::none) continue;
      messenger_.ask(peer.address, Range{slot}, peer_timeout, [this, peer, slot](Result<RangeReply> ranged) {
        auto* range = std::get_if<RangeReply>(&ranged);
        if (range == nullptr) return;
        FetchRecords fetch{slot, {}};
        for (const auto& theirs : range->stamps) {
          auto mine = held_[slot].records.find(theirs.key);
          if (theirs.stamp.epoch == held_[slot].promised &&
              (mine == held_[slot].records.end() || mine->second.stamp < theirs.stamp))
            fetch.keys.push_back(theirs.key);
        }
        if (fetch.keys.empty()) return;
        messenger_.ask(peer.address, fetch, peer_timeout, [this, slot](Result<RecordsReply> fetched) {
          auto* records = std::get_if<RecordsReply>(&fetched);
          if (records == nullptr) return;
          for (auto& record : records->records) {
            Held& held = held_[slot];
            auto mine = held.records.find(record.key);
            if (record.stamp.epoch != held.promised ||
                (mine != held.records.end() && mine->second.stamp >= record.stamp) || slot_of(record.key) != slot)
              continue;
            Change change{record.key,     {},           record.stamp,  true, record.removed, record.head,
                          record.entries, record.token, record.written};
            apply(held, change);
            persist(DiskEntry{.what = "change", .slot = slot, .epoch = record.stamp.epoch, .change = std::move(change)},
                    [] {});
          }
        });
      });
    }
  });
}

}  // namespace mothwalk
