// The record file of a replicated store: reading it at the start, appending to it and rewriting it.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
constexpr std::size_t rewrite_floor = 8u << 20;
}  // namespace

Result<Done> ReplicatedStore::load() {
  auto bytes = disk_.read_all();
  if (auto fault = fault_of(bytes)) return *fault;
  ReadFile file = read_frames(std::get<Bytes>(bytes));
  if (file.damaged) {
    report_.note(
        "The record file is damaged in the middle; its copies come back from peers and this folder takes a new "
        "identity.");
    file = ReadFile{};
  } else if (file.torn) {
    report_.note("A torn tail of the record file was cut.");
  }
  for (auto& entry : file.entries) {
    if (entry.slot >= slot_count)
      return Fault{FaultKind::damaged, "record_file", "a record names slot " + std::to_string(entry.slot),
                   "empty the data folder so that this machine joins as a new holder"};
    Held& held = held_[entry.slot];
    if (entry.what == "identity") {
      if (entry.address != self_.address)
        return Fault{FaultKind::conflict, "data_folder", "the folder belongs to the holder at " + entry.address.text,
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
      held.digest = held.removed_lots = 0;
      for (auto& record : entry.records) put_record(held, std::move(record));
    } else if (entry.what == "copies")
      put_copies(held, std::move(entry.records));
    else if (entry.what == "handover") {
      if (!install(held, entry.epoch, entry.content).empty())
        return Fault{FaultKind::damaged, "record_file", "a hand-over names records that the file does not have",
                     "empty the data folder so that this machine joins as a new holder"};
    } else
      return Fault{FaultKind::damaged, "record_file", "a record is of the unknown kind '" + entry.what + "'",
                   "run the version of mothwalk that wrote this folder"};
  }
  if (identity_.empty()) {
    Bytes text;
    for (int count = 0; count < 2; ++count) {
      const std::uint64_t number = random_.next();
      for (int shift = 60; shift >= 0; shift -= 4) text.push_back("0123456789abcdef"[(number >> shift) & 15]);
    }
    identity_ = HolderId(text);
    roster_ = Roster{};
    held_.assign(slot_count, Held{});
  }
  self_.holder = identity_;
  tell_seats();
  return Done{};
}

Bytes ReplicatedStore::snapshot() const {
  Bytes whole = frame_entry(DiskEntry{.what = "identity",
                                      .holder = identity_,

                                      .address = self_.address});
  if (!roster_.seats.empty()) whole += frame_entry(DiskEntry{.what = "roster", .roster = roster_});
  for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
    const Held& held = held_[slot];
    DiskEntry install{.what = "install", .slot = slot, .epoch = held.installed};
    for (const auto& [key, record] : held.records) install.records.push_back(record);
    if (!install.records.empty() || held.installed.value > 0) whole += frame_entry(install);
    if (held.promised.value > 0)
      whole +=
          frame_entry(DiskEntry{.what = "promise", .holder = held.promised_to, .slot = slot, .epoch = held.promised});
  }
  return whole;
}

void ReplicatedStore::append(Bytes bytes, std::function<void()> then) {
  file_bytes_ += bytes.size();
  ++syncs_;
  appending_.push_back(messenger_.timers().now());
  disk_.append(std::move(bytes), [this, then](bool good) {
    appending_.pop_front();
    if (!good) return report_.fatal();
    then();
  });
}

void ReplicatedStore::persist(DiskEntry entry, std::function<void()> then) {
  append(frame_entry(entry), std::move(then));
}

void ReplicatedStore::rewrite_when_long() {
  if (file_bytes_ < rewrite_floor || file_bytes_ < 3 * file_base_) return;
  const Bytes whole = snapshot();
  file_bytes_ = file_base_ = whole.size();
  appending_.push_back(messenger_.timers().now());
  disk_.rewrite(whole, [this](bool good) {
    appending_.pop_front();
    if (!good) report_.fatal();
  });
}

}  // namespace mothwalk
