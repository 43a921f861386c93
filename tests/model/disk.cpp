// Grouped syncs, crashes with any subset of the sync under way, and the decoded content.
#include "model/disk.hpp"

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
    std::set<View> named;
    for (const auto& each : entry.content) {
      named.insert(each.key);
      if (Stamp& stamp = slot.stamps[each.key]; stamp.epoch != entry.epoch)
        stamp = Stamp{entry.epoch, each.stamp.version};
    }
    std::erase_if(slot.stamps,
                  [&](const auto& each) { return !named.contains(each.first) && each.second.epoch != entry.epoch; });
  }
}

void DecodedFile::apply(View bytes) {
  if (bytes.empty()) return;
  for (const auto& entry : read_frames(bytes).entries) apply(entry);
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

void ModelDisk::put(Bytes image) {
  synced_ = std::move(image);
  synced_file_ = DecodedFile{};
  synced_file_.apply(synced_);
}

void ModelDisk::order(bool whole, Bytes bytes, std::function<void(bool)> done) {
  if (whole) ordered_ = DecodedFile{};
  ordered_.apply(bytes);
  if (acknowledges_early) {
    waiting_.push_back(Order{whole, std::move(bytes), [](bool) {
                             }});
    scheduler_.after(Span{0}, process_, [done = std::move(done)] { done(true); });
  } else {
    waiting_.push_back(Order{whole, std::move(bytes), std::move(done)});
  }
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
    const Order order = std::move(syncing_.front());
    syncing_.pop_front();
    write(order);
    order.done(true);
    if (!process->alive) return;
  }
  busy_ = false;
  if (!waiting_.empty()) begin();
}

void ModelDisk::write(const Order& order) {
  if (order.whole) {
    synced_ = order.bytes;
    synced_file_ = DecodedFile{};
  } else {
    synced_ += order.bytes;
  }
  synced_file_.apply(order.bytes);
}

void ModelDisk::crash(std::uint32_t mask) {
  std::size_t hole = 0;
  for (std::size_t index = 0; index < syncing_.size(); ++index) {
    const Order& order = syncing_[index];
    if ((mask >> (index % 16) & 1) == 0) {
      if (order.whole) break;  // what follows would be in the new file
      hole += order.bytes.size();
      continue;
    }
    if (hole > 0 && !order.whole) synced_.append(hole, '\0');
    hole = 0;
    if (order.whole)
      synced_ = order.bytes;
    else
      synced_ += order.bytes;
  }
  syncing_.clear();
  waiting_.clear();
  synced_file_ = DecodedFile{};
  synced_file_.apply(synced_);
}

void ModelDisk::wipe(bool keep_identity) {
  Bytes kept;
  if (keep_identity)
    for (const auto& entry : read_frames(synced_).entries)
      if (entry.what == "identity" || entry.what == "roster") kept += frame_entry(entry);
  put(std::move(kept));
}

}  // namespace mothwalk::model
