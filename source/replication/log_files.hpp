// The file of a holder and its next one on a volume: which writes, syncs and renames each order takes, and what a
// failure leaves. The daemon and the simulator run the same code on volumes of their own.
#pragma once
#include <deque>

#include "interfaces/disk.hpp"

namespace mothwalk {

class LogFiles {
 public:
  explicit LogFiles(Volume& volume) : volume_(volume) {}
  // Opens the file, or makes an empty one. What an earlier process wrote without a sync is synced, so that what is read
  // from here on is safe. False where the file can't be had at all.
  bool open();
  Result<Bytes> read_all();
  // Executes the orders, with one sync for appends that follow each other, and says of each whether it succeeded.
  std::vector<bool> execute(const std::deque<DiskOrder>& orders);

 private:
  std::size_t append_run(const std::deque<DiskOrder>& orders, std::size_t first, std::vector<bool>& results);
  bool append(StringView bytes);
  bool cut(std::size_t size);
  bool begin_next();
  bool write_next(StringView bytes);
  bool switch_to_next();
  bool drop_next();

  Volume& volume_;
  std::size_t synced_ = 0, next_size_ = 0;  // bytes of the file that are safe, and of the next one
  bool failed_ = false;                     // the file is not to be relied on until a switch
  bool next_good_ = false;                  // the next file has been begun and each write to it succeeded
};

}  // namespace mothwalk
