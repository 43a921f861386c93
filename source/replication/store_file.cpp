// The entries of a replicated store's record file: replaying them at the start, and producing them from memory for a
// compaction.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
Error unusable(const std::string& what) {
  return Error{ErrorKind::damaged, "record_file", what,
               "empty the data folder so that this machine joins as a new storage node"};
}
}  // namespace

Result<Success> ReplicatedStore::load() {
  auto read = log_.load();
  if (auto error = error_of(read)) return *error;
  loaded_file_ = std::get<RecordFileContents>(std::move(read));
  if (loaded_file_.damaged)
    report_.log(
        "The record file is damaged; this data folder gets a new identity and copies its records from other storage "
        "nodes.");
  else if (loaded_file_.torn)
    report_.log("The record file ended in an incomplete entry, which was truncated.");
  for (auto& entry : std::exchange(loaded_file_.entries, {}))
    if (auto replayed = replay(std::move(entry)); error_of(replayed)) return replayed;
  if (identity_.empty()) assign_new_identity();
  self_.holder = identity_;
  publish_voters();
  return Success{};
}

Result<Success> ReplicatedStore::replay(DiskEntry entry) {
  if (entry.slot >= slot_count) return unusable("an entry names the invalid slot " + std::to_string(entry.slot));
  SlotReplica& replica = slot_replicas_[entry.slot];
  if (entry.what == "identity") {
    if (entry.address != self_.address)
      return Error{ErrorKind::conflict, "data_folder",
                   "the data folder belongs to the storage node at " + entry.address.text,
                   "use this machine's own data folder, or empty this one so that it joins as a new storage node"};
    identity_ = entry.holder;
  } else if (entry.what == "roster")
    roster_ = entry.roster;
  else if (entry.what == "promise") {
    replica.promised = entry.epoch;
    replica.promised_to = entry.holder;
  } else if (entry.what == "change")
    apply(replica, entry.change);
  else if (entry.what == "install") {
    replica.installed = entry.epoch;
    replica.records.clear();
    replica.digest = replica.removed_lots = replica.bytes = 0;
    for (auto& record : entry.records) put_record(replica, std::move(record));
  } else if (entry.what == "copies")
    put_newer_records(replica, std::move(entry.records));
  else if (entry.what == "handover") {
    if (!install(replica, entry.epoch, entry.content).empty())
      return unusable("a takeover lists records that the file does not contain");
  } else
    return Error{ErrorKind::damaged, "record_file", "unknown entry type '" + entry.what + "'",
                 "run the version of mothwalk that wrote this data folder"};
  return Success{};
}

void ReplicatedStore::assign_new_identity() {
  constexpr StringView digits = "0123456789abcdef";
  Bytes text;
  for (int count = 0; count < 2; ++count) {
    const std::uint64_t number = random_.next();
    for (int shift = 60; shift >= 0; shift -= 4) text.push_back(digits[(number >> shift) & 15]);
  }
  identity_ = StorageNodeId(text);
  roster_ = Roster{};
  slot_replicas_.assign(slot_count, SlotReplica{});
}

RecordLog::Contents ReplicatedStore::log_contents() {
  RecordLog::Contents contents;
  contents.header = [this] {
    std::vector<DiskEntry> entries{DiskEntry{.what = "identity", .holder = identity_, .address = self_.address}};
    if (!roster_.voters.empty()) entries.push_back(DiskEntry{.what = "roster", .roster = roster_});
    return entries;
  };
  contents.slot_entries = [this](std::uint32_t slot) {
    return slot_entries(slot);
  };
  contents.total_bytes = [this] {
    std::size_t bytes = 0;
    for (const auto& replica : slot_replicas_) bytes += replica.bytes;
    return bytes;
  };
  return contents;
}

std::vector<DiskEntry> ReplicatedStore::slot_entries(std::uint32_t slot) const {
  const SlotReplica& replica = slot_replicas_[slot];
  std::vector<DiskEntry> entries{DiskEntry{.what = "install", .slot = slot, .epoch = replica.installed}};
  std::size_t size = 0;
  for (const auto& [key, record] : replica.records) {
    if (size > 0 && size + size_of(record) > max_message_bytes) {
      entries.push_back(DiskEntry{.what = "copies", .slot = slot, .epoch = replica.installed});
      size = 0;
    }
    size += size_of(record);
    entries.back().records.push_back(record);
  }
  DiskEntry promise{.what = "promise", .holder = replica.promised_to, .slot = slot, .epoch = replica.promised};
  if (replica.promised.value > 0) entries.push_back(std::move(promise));
  return entries;
}

void ReplicatedStore::append_to_log(DiskEntry entry, std::function<void()> then) {
  log_.append(entry, std::move(then));
}

}  // namespace mothwalk
