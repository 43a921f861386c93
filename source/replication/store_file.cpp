// The entries of a replicated store's record file: taking them at the start, and making them anew from memory.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
Error unusable(const std::string& what) {
  return Error{ErrorKind::damaged, "record_file", what,
               "empty the data folder so that this machine joins as a new holder"};
}
}  // namespace

Result<Success> ReplicatedStore::load() {
  auto read = log_.load();
  if (auto error = error_of(read)) return *error;
  file_ = std::get<ReadFile>(std::move(read));
  if (file_.damaged)
    report_.note("The record file is damaged; its copies come back from peers and this folder takes a new identity.");
  else if (file_.torn)
    report_.note("A torn tail of the record file was cut.");
  for (auto& entry : std::exchange(file_.entries, {}))
    if (auto replayed = replay(std::move(entry)); error_of(replayed)) return replayed;
  if (identity_.empty()) take_new_identity();
  self_.holder = identity_;
  tell_seats();
  return Success{};
}

Result<Success> ReplicatedStore::replay(DiskEntry entry) {
  if (entry.slot >= slot_count) return unusable("a record names slot " + std::to_string(entry.slot));
  Held& held = held_[entry.slot];
  if (entry.what == "identity") {
    if (entry.address != self_.address)
      return Error{ErrorKind::conflict, "data_folder", "the folder belongs to the holder at " + entry.address.text,
                   "give this machine its own folder, or empty this one so that it joins as a new holder"};
    identity_ = entry.holder;
  } else if (entry.what == "roster")
    roster_ = entry.roster;
  else if (entry.what == "promise") {
    held.promised = entry.epoch;
    held.promised_to = entry.holder;
  } else if (entry.what == "change")
    apply(held, entry.change);
  else if (entry.what == "install") {
    held.installed = entry.epoch;
    held.records.clear();
    held.digest = held.removed_lots = held.bytes = 0;
    for (auto& record : entry.records) put_record(held, std::move(record));
  } else if (entry.what == "copies")
    put_copies(held, std::move(entry.records));
  else if (entry.what == "handover") {
    if (!install(held, entry.epoch, entry.content).empty())
      return unusable("a hand-over names records that the file does not have");
  } else
    return Error{ErrorKind::damaged, "record_file", "a record is of the unknown kind '" + entry.what + "'",
                 "run the version of mothwalk that wrote this folder"};
  return Success{};
}

void ReplicatedStore::take_new_identity() {
  constexpr StringView digits = "0123456789abcdef";
  Bytes text;
  for (int count = 0; count < 2; ++count) {
    const std::uint64_t number = random_.next();
    for (int shift = 60; shift >= 0; shift -= 4) text.push_back(digits[(number >> shift) & 15]);
  }
  identity_ = StorageNodeId(text);
  roster_ = Roster{};
  held_.assign(slot_count, Held{});
}

RecordLog::Contents ReplicatedStore::log_contents() {
  RecordLog::Contents contents;
  contents.head = [this] {
    std::vector<DiskEntry> entries{DiskEntry{.what = "identity", .holder = identity_, .address = self_.address}};
    if (!roster_.seats.empty()) entries.push_back(DiskEntry{.what = "roster", .roster = roster_});
    return entries;
  };
  contents.slot = [this](std::uint32_t slot) {
    return slot_entries(slot);
  };
  contents.size = [this] {
    std::size_t bytes = 0;
    for (const auto& held : held_) bytes += held.bytes;
    return bytes;
  };
  return contents;
}

std::vector<DiskEntry> ReplicatedStore::slot_entries(std::uint32_t slot) const {
  const Held& held = held_[slot];
  std::vector<DiskEntry> entries{DiskEntry{.what = "install", .slot = slot, .epoch = held.installed}};
  std::size_t size = 0;
  for (const auto& [key, record] : held.records) {
    if (size > 0 && size + size_of(record) > longest_message) {
      entries.push_back(DiskEntry{.what = "copies", .slot = slot, .epoch = held.installed});
      size = 0;
    }
    size += size_of(record);
    entries.back().records.push_back(record);
  }
  DiskEntry promise{.what = "promise", .holder = held.promised_to, .slot = slot, .epoch = held.promised};
  if (held.promised.value > 0) entries.push_back(std::move(promise));
  return entries;
}

void ReplicatedStore::persist(DiskEntry entry, std::function<void()> then) {
  log_.append(entry, std::move(then));
}

}  // namespace mothwalk
