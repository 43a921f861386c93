// Appending, and the steps of a rewrite.
#include "replication/record_log.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
constexpr std::size_t rewrite_floor = 8u << 20;           // bytes: shorter files are left alone
constexpr std::size_t rewrite_growth = 3;                 // times the size after the last rewrite
constexpr std::size_t least_gain = 8;                     // an eighth of what is held, for a rewrite on a short disk
constexpr std::size_t piece_size = 1u << 20;              // of one write to the next file
constexpr std::size_t least_reserve = 4u << 20;           // bytes kept free for changes of what is held
constexpr Duration stall_span = std::chrono::seconds(1);  // an unanswered order that is older means a stalled disk
constexpr Duration retry_pause = std::chrono::seconds(1);
constexpr Duration abandoned_pause = std::chrono::seconds(5);  // the room that was short is hardly there at once

// Bytes of the limit that new state may not take.
std::size_t reserve_of(std::size_t limit) {
  return std::max(least_reserve, limit / 8);
}

bool belongs_to_slot(const DiskEntry& entry) {
  return entry.what != "identity" && entry.what != "roster";
}
}  // namespace

RecordLog::RecordLog(Disk& disk, Timers& timers, Contents contents, std::size_t limit)
    : disk_(disk), timers_(timers), contents_(std::move(contents)), limit_(limit) {}

Result<ReadFile> RecordLog::load() {
  auto bytes = disk_.read_all();
  if (auto error = error_of(bytes)) return *error;
  ReadFile file = read_frames(std::get<Bytes>(bytes));
  if (file.damaged) file.entries.clear();
  return file;
}

void RecordLog::start(const ReadFile& file) {
  size_ = synced_ = file.sound_bytes;
  base_ = contents_.size();
  failed_ = file.damaged;
  if (failed_) return begin_rewrite();
  if (!file.torn) return;
  DiskOrder cut{DiskOrder::Kind::cut, {}, file.sound_bytes, [this](bool good) {
                  failed_ = failed_ || !good;
                }};
  disk_.order(std::move(cut));
}

void RecordLog::order(DiskOrder::Kind kind, Bytes bytes, std::function<void(bool)> done) {
  outstanding_.push_back(timers_.now());
  disk_.order(DiskOrder{kind, std::move(bytes), 0, [this, done = std::move(done)](bool good) {
                          outstanding_.pop_front();
                          done(good);
                        }});
}

void RecordLog::append(const DiskEntry& entry, std::function<void()> then) {
  if (phase_ == Phase::writing && (!belongs_to_slot(entry) || entry.slot < next_slot_)) queue_next(entry);
  ++appends_;
  Bytes frame = frame_entry(entry, mark());
  abandon_rewrite(frame.size());
  size_ += frame.size();
  order_append(std::move(frame), std::move(then));
}

void RecordLog::when_synced(std::function<void()> then) {
  order_append({}, std::move(then));
}

void RecordLog::order_append(Bytes frame, std::function<void()> then) {
  const std::size_t size = frame.size();
  order(DiskOrder::Kind::append, std::move(frame), [this, size, then = std::move(then)](bool good) {
    failed_ = failed_ || !good;
    if (!good) return;
    synced_ += size;
    then();
  });
}

bool RecordLog::stalled() const {
  return failed_ || (!outstanding_.empty() && timers_.now() - outstanding_.front() > stall_span);
}

bool RecordLog::takes(std::size_t size) const {
  return limit_ == 0 || size_ + size + reserve_of(limit_) / 8 < limit_;
}

bool RecordLog::has_room(std::size_t growth) const {
  if (failed_) return false;
  if (limit_ == 0) return true;
  // A rewrite needs room for a second file of all records, and both have to grow meanwhile.
  const std::size_t reserve = reserve_of(limit_);
  const std::size_t held = contents_.size();
  return 2 * held + reserve < limit_ && size_ + held + reserve / 2 < limit_ && size_ + growth + reserve / 2 < limit_;
}

bool RecordLog::rewrite_due() const {
  if (failed_) return timers_.now() >= rewrite_not_before_;
  if (!rewrite_fits() || timers_.now() < rewrite_not_before_) return false;
  const std::size_t held = contents_.size();
  const bool last_chance = limit_ > 0 && size_ + held + reserve_of(limit_) >= limit_;
  if (last_chance && size_ > held + held / least_gain) return true;
  return size_ >= rewrite_floor && size_ >= rewrite_growth * std::max(base_, held);
}

bool RecordLog::rewrite_fits() const {
  return limit_ == 0 || size_ + contents_.size() + reserve_of(limit_) / 8 < limit_;
}

bool RecordLog::abandon_rewrite(std::size_t more) {
  const bool fits = limit_ == 0 || size_ + next_size_ + more + reserve_of(limit_) / 16 < limit_;
  // A file that failed takes nothing: only a next one brings the disk back.
  if (phase_ != Phase::writing || failed_ || fits) return false;
  phase_ = Phase::dropping;
  order(DiskOrder::Kind::drop_next, {}, [this](bool) {
    end_rewrite(false);
    rewrite_not_before_ = timers_.now() + abandoned_pause;
  });
  return true;
}

void RecordLog::tick() {
  if (phase_ == Phase::idle && rewrite_due()) begin_rewrite();
}

void RecordLog::begin_rewrite() {
  phase_ = Phase::writing;
  next_slot_ = 0;
  next_frames_.clear();
  next_size_ = next_synced_ = 0;
  for (const auto& entry : contents_.head()) queue_next(entry);
  order(DiskOrder::Kind::begin_next, {}, [this](bool good) {
    if (phase_ != Phase::writing) return;
    good ? next_piece() : end_rewrite(false);
  });
}

void RecordLog::queue_next(const DiskEntry& entry) {
  next_frames_.push_back(frame_entry(entry, next_synced_));
}

// One piece at a time: what is ordered meanwhile goes between.
void RecordLog::next_piece() {
  if (next_frames_.empty() && next_slot_ < slot_count)
    for (const auto& entry : contents_.slot(next_slot_++)) queue_next(entry);
  Bytes piece;
  while (!next_frames_.empty() && piece.size() + next_frames_.front().size() <= piece_size) {
    piece += next_frames_.front();
    next_frames_.pop_front();
  }
  if (piece.empty() && !next_frames_.empty()) {
    piece = std::move(next_frames_.front());
    next_frames_.pop_front();
  }
  const bool last = next_frames_.empty() && next_slot_ == slot_count;
  if (abandon_rewrite(piece.size())) return;
  order_piece(std::move(piece));
  if (last) order_switch();
}

void RecordLog::order_piece(Bytes piece) {
  const std::size_t size = piece.size();
  next_size_ += size;
  order(DiskOrder::Kind::write_next, std::move(piece), [this, size](bool good) {
    next_synced_ += size;
    if (phase_ != Phase::writing) return;
    good ? next_piece() : end_rewrite(false);
  });
}

// Appends that are ordered from here on go to the next file, since orders are executed in turn; but to the present one
// if the switch can't be made. Until that is known their frames claim nothing to be synced.
void RecordLog::order_switch() {
  phase_ = Phase::switching;
  const std::size_t before = size_;
  size_ = next_size_;
  order(DiskOrder::Kind::switch_to_next, {}, [this, before](bool good) {
    if (good)
      synced_ = base_ = next_size_;
    else
      size_ += before - next_size_;
    end_rewrite(good);
  });
}

void RecordLog::end_rewrite(bool good) {
  phase_ = Phase::idle;
  next_frames_.clear();
  next_size_ = 0;
  if (good) {
    ++rewrites_;
    failed_ = false;
    return;
  }
  // The file goes on as it was if its appends succeed; if the switch itself failed, they don't.
  rewrite_not_before_ = timers_.now() + retry_pause;
}

}  // namespace mothwalk
