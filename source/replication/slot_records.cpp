// The records of one slot, as every replica holds them: single records, changes and whole hand-overs.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

void ReplicatedStore::put_record(Held& held, Record record) {
  if (record.written == Stamp{}) record.written = record.stamp;
  Record& place = held.records[record.key];
  if (!place.key.empty()) {
    held.digest ^= record_hash(place);
    held.bytes -= size_of(place);
  }
  held.bytes += size_of(record);
  if (record.key.starts_with("lot/"))
    held.removed_lots += static_cast<std::size_t>(record.removed) - static_cast<std::size_t>(place.removed);
  held.digest ^= record_hash(record);
  place = std::move(record);
}

void ReplicatedStore::erase_record(Held& held, const std::string& key) {
  auto found = held.records.find(key);
  if (found == held.records.end()) return;
  held.digest ^= record_hash(found->second);
  held.bytes -= size_of(found->second);
  if (lot_key(key)) held.removed_lots -= found->second.removed;
  held.records.erase(found);
}

bool ReplicatedStore::newer(const Held& held, const Record& record) {
  auto mine = held.records.find(record.key);
  return mine == held.records.end() || mine->second.stamp < record.stamp;
}

void ReplicatedStore::put_copies(Held& held, std::vector<Record> records) {
  for (auto& record : records)
    if (newer(held, record)) put_record(held, std::move(record));
}

std::vector<std::string> ReplicatedStore::install(Held& held, Epoch epoch, const std::vector<RecordStamp>& content) {
  std::vector<std::string> missing;
  for (const auto& each : content) {
    auto mine = held.records.find(each.key);
    if (mine == held.records.end() || (mine->second.written != each.written && mine->second.stamp.epoch != epoch))
      missing.push_back(each.key);
  }
  if (!missing.empty()) return missing;
  std::set<StringView> named;
  for (const auto& each : content) {
    named.insert(each.key);
    Record& mine = held.records[each.key];
    held.digest ^= record_hash(mine);
    if (mine.stamp.epoch != epoch) mine.stamp = Stamp{epoch, each.stamp.version};
    held.digest ^= record_hash(mine);
  }
  std::vector<std::string> others;
  for (const auto& [key, record] : held.records)
    if (!named.contains(key) && record.stamp.epoch != epoch) others.push_back(key);
  for (const auto& key : others) erase_record(held, key);
  held.installed = epoch;
  return missing;
}

void ReplicatedStore::apply(Held& held, const Change& change) {
  Record record;
  if (auto found = held.records.find(change.key); found != held.records.end() && !change.full) record = found->second;
  record.key = change.key;
  record.stamp = change.stamp;
  record.written = change.written == Stamp{} ? change.stamp : change.written;
  record.removed = change.removed;
  if (change.head) record.head = *change.head;
  if (change.removed) {
    record.head.clear();
    record.entries.clear();
  }
  record.entries.insert(record.entries.end(), change.appends.begin(), change.appends.end());
  record.token = change.token;
  put_record(held, std::move(record));
}

}  // namespace mothwalk
