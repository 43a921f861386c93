// Operations on the records of one replica of a slot: single records, changes and installations.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

void ReplicatedStore::put_record(SlotReplica& replica, Record record) {
  if (record.written == Stamp{}) record.written = record.stamp;
  Record& stored = replica.records[record.key];
  if (!stored.key.empty()) {
    replica.digest ^= record_hash(stored);
    replica.bytes -= size_of(stored);
  }
  replica.bytes += size_of(record);
  if (record.key.starts_with("lot/"))
    replica.removed_lots += static_cast<std::size_t>(record.removed) - static_cast<std::size_t>(stored.removed);
  replica.digest ^= record_hash(record);
  stored = std::move(record);
}

void ReplicatedStore::erase_record(SlotReplica& replica, const std::string& key) {
  auto found = replica.records.find(key);
  if (found == replica.records.end()) return;
  replica.digest ^= record_hash(found->second);
  replica.bytes -= size_of(found->second);
  if (is_lot_key(key)) replica.removed_lots -= found->second.removed;
  replica.records.erase(found);
}

bool ReplicatedStore::is_newer(const SlotReplica& replica, const Record& record) {
  auto own_record = replica.records.find(record.key);
  return own_record == replica.records.end() || own_record->second.stamp < record.stamp;
}

void ReplicatedStore::put_newer_records(SlotReplica& replica, std::vector<Record> records) {
  for (auto& record : records)
    if (is_newer(replica, record)) put_record(replica, std::move(record));
}

std::vector<std::string> ReplicatedStore::install(SlotReplica& replica, Epoch epoch,
                                                  const std::vector<RecordStamp>& content) {
  std::vector<std::string> missing;
  for (const auto& each : content) {
    auto own_record = replica.records.find(each.key);
    if (own_record == replica.records.end() ||
        (own_record->second.written != each.written && own_record->second.stamp.epoch != epoch))
      missing.push_back(each.key);
  }
  if (!missing.empty()) return missing;
  std::set<StringView> named;
  for (const auto& each : content) {
    named.insert(each.key);
    Record& own_record = replica.records[each.key];
    replica.digest ^= record_hash(own_record);
    if (own_record.stamp.epoch != epoch) own_record.stamp = Stamp{epoch, each.stamp.version};
    replica.digest ^= record_hash(own_record);
  }
  std::vector<std::string> unnamed;
  for (const auto& [key, record] : replica.records)
    if (!named.contains(key) && record.stamp.epoch != epoch) unnamed.push_back(key);
  for (const auto& key : unnamed) erase_record(replica, key);
  replica.installed = epoch;
  return missing;
}

void ReplicatedStore::apply(SlotReplica& replica, const Change& change) {
  Record record;
  if (auto found = replica.records.find(change.key); found != replica.records.end() && !change.full)
    record = found->second;
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
  put_record(replica, std::move(record));
}

}  // namespace mothwalk
