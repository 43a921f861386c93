// Implements syncs of several writes at once, crashes that keep any subset of the sync in progress, and decoding.
#include "model/disk.hpp"

#include <algorithm>
#include <utility>

namespace mothwalk::model {

void DecodedFile::apply(const DiskEntry& entry) {
  Slot& slot = slots[entry.slot % slot_count];
  if (entry.what == "identity") identity = entry.holder;
  if (entry.what == "roster") roster = entry.roster;
  if (entry.what == "promise") {
    slot.promised = entry.epoch;
    slot.promised_to = entry.holder;
  }
  if (entry.what == "change") slot.stamps[entry.change.key] = entry.change.stamp;
  if (entry.what == "install") {
    slot.installed = entry.epoch;
    slot.stamps.clear();
    for (const auto& record : entry.records) slot.stamps[record.key] = record.stamp;
  }
  if (entry.what == "copies")
    for (const auto& record : entry.records)
      if (Stamp& stamp = slot.stamps[record.key]; stamp < record.stamp) stamp = record.stamp;
  if (entry.what == "handover") {
    slot.installed = entry.epoch;
    std::set<StringView> transferred_keys;
    for (const auto& each : entry.content) {
      transferred_keys.insert(each.key);
      if (Stamp& stamp = slot.stamps[each.key]; stamp.epoch != entry.epoch)
        stamp = Stamp{entry.epoch, each.stamp.version};
    }
    std::erase_if(slot.stamps, [&](const auto& each) {
      return !transferred_keys.contains(each.first) && each.second.epoch != entry.epoch;
    });
  }
}

void DecodedFile::apply(StringView bytes) {
  if (bytes.empty()) return;
  const RecordFileContents file = read_frames(bytes);
  if (file.damaged) return;
  for (const auto& entry : file.entries) apply(entry);
  digest = hash_of(bytes, digest);
}

void ModelDisk::attach(ProcessPointer process) {
  process_ = std::move(process);
  busy_ = false;
  waiting_.clear();
  syncing_.clear();
  ordered_ = DecodedFile{};
  ordered_.apply(synced_);
  synced_file_ = ordered_;
}

void ModelDisk::set_content(Bytes image) {
  synced_ = std::move(image);
  synced_file_ = DecodedFile{};
  synced_file_.apply(synced_);
}

void ModelDisk::submit(DiskRequest request) {
  if (request.kind == DiskRequest::Kind::append) ordered_.apply(request.bytes);
  if (acknowledges_early)
    scheduler_.after(Duration{0}, process_, [done = std::exchange(request.done, [](bool) {})] { done(true); });
  waiting_.push_back(std::move(request));
  if (!busy_) begin();
}

void ModelDisk::begin() {
  busy_ = true;
  syncing_.swap(waiting_);
  scheduler_.after(sync_time, process_, [this] { complete(); });
}

void ModelDisk::complete() {
  const ProcessPointer process = process_;
  while (!syncing_.empty()) {
    const DiskRequest request = std::move(syncing_.front());
    syncing_.pop_front();
    write(request);
    request.done(true);
    if (!process->alive) return;
  }
  busy_ = false;
  if (!waiting_.empty()) begin();
}

void ModelDisk::write(const DiskRequest& request) {
  using Kind = DiskRequest::Kind;
  if (request.kind == Kind::append) {
    synced_ += request.bytes;
    return synced_file_.apply(request.bytes);
  }
  if (request.kind == Kind::truncate) synced_.resize(std::min(request.size, synced_.size()));
  if (request.kind == Kind::begin_next) next_.clear();
  if (request.kind == Kind::write_next) next_ += request.bytes;
  if (request.kind != Kind::switch_to_next) return;
  synced_ = std::exchange(next_, {});
  synced_file_ = DecodedFile{};
  synced_file_.apply(synced_);
}

void ModelDisk::crash(std::uint32_t mask) {
  std::size_t lost_bytes = 0;
  for (std::size_t index = 0; index < syncing_.size(); ++index) {
    const DiskRequest& request = syncing_[index];
    const bool appends = request.kind == DiskRequest::Kind::append;
    if ((mask >> (index % 16) & 1) == 0) {
      if (!appends)
        break;  // Only appends can be skipped: the steps of a rewrite and a truncation take effect in order.
      lost_bytes += request.bytes.size();
      continue;
    }
    if (appends) synced_.append(std::exchange(lost_bytes, 0), '\0');
    write(request);
  }
  syncing_.clear();
  waiting_.clear();
  next_.clear();
  synced_file_ = DecodedFile{};
  synced_file_.apply(synced_);
}

void ModelDisk::wipe(bool keep_identity) {
  Bytes kept;
  if (keep_identity)
    for (const auto& entry : read_frames(synced_).entries)
      if (entry.what == "identity" || entry.what == "roster") kept += frame_entry(entry, 0);
  set_content(std::move(kept));
}

}  // namespace mothwalk::model
