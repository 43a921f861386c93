// The steps of each disk order.
#include "replication/log_files.hpp"

namespace mothwalk {

namespace {
const std::string current_file = "records", next_file = "records.new";
}  // namespace

bool LogFiles::open() {
  // A next file is left over from a compaction that ended with its process. It is useless and takes room that appends
  // need.
  if (volume_.exists(next_file)) volume_.remove(next_file);
  if (!volume_.open(current_file)) return false;
  failed_ = !volume_.sync(current_file) || !volume_.sync_folder();
  return true;
}

Result<Bytes> LogFiles::read_all() {
  auto bytes = volume_.read(current_file);
  if (error_of(bytes) == nullptr) synced_ = std::get<Bytes>(bytes).size();
  return bytes;
}

std::vector<bool> LogFiles::execute(const std::deque<DiskRequest>& orders) {
  std::vector<bool> results;
  for (std::size_t index = 0; index < orders.size();) {
    const DiskRequest& order = orders[index];
    switch (order.kind) {
      case DiskRequest::Kind::append:
        index = append_batch(orders, index, results);
        continue;
      case DiskRequest::Kind::truncate:
        results.push_back(truncate(order.size));
        break;
      case DiskRequest::Kind::begin_next:
        results.push_back(create_next());
        break;
      case DiskRequest::Kind::write_next:
        results.push_back(write_next(order.bytes));
        break;
      case DiskRequest::Kind::switch_to_next:
        results.push_back(switch_to_next());
        break;
      case DiskRequest::Kind::drop_next:
        results.push_back(drop_next());
        break;
    }
    ++index;
  }
  return results;
}

std::size_t LogFiles::append_batch(const std::deque<DiskRequest>& orders, std::size_t first,
                                   std::vector<bool>& results) {
  Bytes combined;
  std::size_t end = first;
  for (; end < orders.size() && orders[end].kind == DiskRequest::Kind::append; ++end) combined += orders[end].bytes;
  results.insert(results.end(), end - first, append(combined));
  return end;
}

bool LogFiles::append(StringView bytes) {
  if (failed_ || bytes.empty()) return !failed_;
  if (volume_.write(current_file, bytes) && volume_.sync(current_file)) {
    synced_ += bytes.size();
    return true;
  }
  // The bytes may be on disk completely, in part, or only in memory. A later start must not read them as durable.
  failed_ = true;
  volume_.truncate(current_file, synced_);
  return false;
}

bool LogFiles::truncate(std::size_t size) {
  failed_ = failed_ || !volume_.truncate(current_file, size);
  if (!failed_) synced_ = size;
  return !failed_;
}

bool LogFiles::create_next() {
  next_size_ = 0;
  next_valid_ = volume_.create(next_file);
  return next_valid_;
}

bool LogFiles::write_next(StringView bytes) {
  if (!next_valid_) return false;
  next_valid_ = volume_.write(next_file, bytes) && volume_.sync(next_file);
  next_size_ += bytes.size();
  if (!next_valid_) volume_.remove(next_file);
  return next_valid_;
}

bool LogFiles::switch_to_next() {
  if (!next_valid_) return false;
  next_valid_ = false;
  // After the rename and until the folder is synced, either of the two files may be there after a power failure.
  failed_ = !volume_.rename(next_file, current_file) || !volume_.sync_folder();
  if (!failed_) synced_ = next_size_;
  return !failed_;
}

bool LogFiles::drop_next() {
  next_valid_ = false;
  return volume_.remove(next_file);
}

}  // namespace mothwalk
