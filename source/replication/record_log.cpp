// Appending entries, and the steps of a compaction.
#include "replication/record_log.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
constexpr std::size_t compaction_min_bytes = 8u << 20;  // Shorter files are not compacted.
constexpr std::size_t compaction_growth_factor = 3;  // The growth since the last compaction that starts the next one.
constexpr std::size_t min_gain_divisor = 8;  // With little room left, compaction has to free 1/8 of the live data.
constexpr std::size_t max_chunk_bytes = 1u << 20;            // Of one write to the next file.
constexpr std::size_t min_reserve_bytes = 4u << 20;          // Kept free for changes of existing records.
constexpr Duration stall_timeout = std::chrono::seconds(1);  // A disk order pending for longer means a stalled disk.
constexpr Duration retry_pause = std::chrono::seconds(1);
// After a compaction was abandoned for lack of room, which is unlikely to become free at once.
constexpr Duration abandoned_compaction_pause = std::chrono::seconds(5);

// The bytes of the limit that are not available to new records.
std::size_t reserve_of(std::size_t limit) {
  return std::max(min_reserve_bytes, limit / 8);
}

bool is_slot_entry(const DiskEntry& entry) {
  return entry.what != "identity" && entry.what != "roster";
}
}  // namespace

RecordLog::RecordLog(Disk& disk, Timers& timers, Contents contents, std::size_t limit)
    : disk_(disk), timers_(timers), contents_(std::move(contents)), limit_(limit) {}

Result<RecordFileContents> RecordLog::load() {
  auto bytes = disk_.read_all();
  if (auto error = error_of(bytes)) return *error;
  RecordFileContents file = read_frames(std::get<Bytes>(bytes));
  if (file.damaged) file.entries.clear();
  return file;
}

void RecordLog::start(const RecordFileContents& file) {
  size_ = synced_ = file.valid_bytes;
  size_after_compaction_ = contents_.total_bytes();
  failed_ = file.damaged;
  if (failed_) return begin_compaction();
  if (!file.torn) return;
  DiskRequest truncation{DiskRequest::Kind::truncate, {}, file.valid_bytes, [this](bool succeeded) {
                           failed_ = failed_ || !succeeded;
                         }};
  disk_.submit(std::move(truncation));
}

void RecordLog::submit(DiskRequest::Kind kind, Bytes bytes, std::function<void(bool)> done) {
  outstanding_.push_back(timers_.now());
  disk_.submit(DiskRequest{kind, std::move(bytes), 0, [this, done = std::move(done)](bool succeeded) {
                             outstanding_.pop_front();
                             done(succeeded);
                           }});
}

void RecordLog::append(const DiskEntry& entry, std::function<void()> then) {
  if (phase_ == Phase::writing && (!is_slot_entry(entry) || entry.slot < next_slot_)) queue_for_next(entry);
  ++appends_;
  Bytes frame = frame_entry(entry, synced_length_for_frame());
  abandon_compaction_if_full(frame.size());
  size_ += frame.size();
  submit_append(std::move(frame), std::move(then));
}

void RecordLog::when_synced(std::function<void()> then) {
  submit_append({}, std::move(then));
}

void RecordLog::submit_append(Bytes frame, std::function<void()> then) {
  const std::size_t size = frame.size();
  submit(DiskRequest::Kind::append, std::move(frame), [this, size, then = std::move(then)](bool succeeded) {
    failed_ = failed_ || !succeeded;
    if (!succeeded) return;
    synced_ += size;
    then();
  });
}

bool RecordLog::stalled() const {
  return failed_ || (!outstanding_.empty() && timers_.now() - outstanding_.front() > stall_timeout);
}

bool RecordLog::has_room_for_entry(std::size_t size) const {
  return limit_ == 0 || size_ + size + reserve_of(limit_) / 8 < limit_;
}

bool RecordLog::has_room(std::size_t growth) const {
  if (failed_) return false;
  if (limit_ == 0) return true;
  // A compaction needs room for a second file with all records, and both files have to be able to grow meanwhile.
  const std::size_t reserve = reserve_of(limit_);
  const std::size_t live_bytes = contents_.total_bytes();
  return 2 * live_bytes + reserve < limit_ && size_ + live_bytes + reserve / 2 < limit_ &&
         size_ + growth + reserve / 2 < limit_;
}

bool RecordLog::compaction_due() const {
  if (failed_) return timers_.now() >= compaction_not_before_;
  if (!compaction_fits() || timers_.now() < compaction_not_before_) return false;
  const std::size_t live_bytes = contents_.total_bytes();
  const bool last_chance = limit_ > 0 && size_ + live_bytes + reserve_of(limit_) >= limit_;
  if (last_chance && size_ > live_bytes + live_bytes / min_gain_divisor) return true;
  return size_ >= compaction_min_bytes &&
         size_ >= compaction_growth_factor * std::max(size_after_compaction_, live_bytes);
}

bool RecordLog::compaction_fits() const {
  return limit_ == 0 || size_ + contents_.total_bytes() + reserve_of(limit_) / 8 < limit_;
}

bool RecordLog::abandon_compaction_if_full(std::size_t more) {
  const bool fits = limit_ == 0 || size_ + next_size_ + more + reserve_of(limit_) / 16 < limit_;
  // After a failed append the file accepts nothing more, and only a new file makes the disk usable again.
  if (phase_ != Phase::writing || failed_ || fits) return false;
  phase_ = Phase::dropping;
  submit(DiskRequest::Kind::drop_next, {}, [this](bool) {
    finish_compaction(false);
    compaction_not_before_ = timers_.now() + abandoned_compaction_pause;
  });
  return true;
}

void RecordLog::tick() {
  if (phase_ == Phase::idle && compaction_due()) begin_compaction();
}

void RecordLog::begin_compaction() {
  phase_ = Phase::writing;
  next_slot_ = 0;
  pending_frames_.clear();
  next_size_ = next_synced_ = 0;
  for (const auto& entry : contents_.header()) queue_for_next(entry);
  submit(DiskRequest::Kind::begin_next, {}, [this](bool succeeded) {
    if (phase_ != Phase::writing) return;
    succeeded ? write_next_chunk() : finish_compaction(false);
  });
}

void RecordLog::queue_for_next(const DiskEntry& entry) {
  pending_frames_.push_back(frame_entry(entry, next_synced_));
}

// Writes one chunk at a time, so that appends submitted meanwhile are executed between the chunks.
void RecordLog::write_next_chunk() {
  if (pending_frames_.empty() && next_slot_ < slot_count)
    for (const auto& entry : contents_.slot_entries(next_slot_++)) queue_for_next(entry);
  Bytes chunk;
  while (!pending_frames_.empty() && chunk.size() + pending_frames_.front().size() <= max_chunk_bytes) {
    chunk += pending_frames_.front();
    pending_frames_.pop_front();
  }
  if (chunk.empty() && !pending_frames_.empty()) {
    chunk = std::move(pending_frames_.front());
    pending_frames_.pop_front();
  }
  const bool last = pending_frames_.empty() && next_slot_ == slot_count;
  if (abandon_compaction_if_full(chunk.size())) return;
  submit_chunk(std::move(chunk));
  if (last) submit_switch();
}

void RecordLog::submit_chunk(Bytes chunk) {
  const std::size_t size = chunk.size();
  next_size_ += size;
  submit(DiskRequest::Kind::write_next, std::move(chunk), [this, size](bool succeeded) {
    next_synced_ += size;
    if (phase_ != Phase::writing) return;
    succeeded ? write_next_chunk() : finish_compaction(false);
  });
}

// Disk orders are executed in turn, so appends submitted from now on go to the next file, or to the current one if the
// switch fails. Until the outcome is known, their frames state a synced length of zero.
void RecordLog::submit_switch() {
  phase_ = Phase::switching;
  const std::size_t before = size_;
  size_ = next_size_;
  submit(DiskRequest::Kind::switch_to_next, {}, [this, before](bool succeeded) {
    if (succeeded)
      synced_ = size_after_compaction_ = next_size_;
    else
      size_ += before - next_size_;
    finish_compaction(succeeded);
  });
}

void RecordLog::finish_compaction(bool succeeded) {
  phase_ = Phase::idle;
  pending_frames_.clear();
  next_size_ = 0;
  if (succeeded) {
    ++compactions_;
    failed_ = false;
    return;
  }
  // The current file stays in use if its appends still succeed. If the switch itself failed, they do not.
  compaction_not_before_ = timers_.now() + retry_pause;
}

}  // namespace mothwalk
