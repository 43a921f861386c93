// The record file of a storage node and the next file that a compaction writes: executes each disk order as writes,
// syncs and renames on a volume, and keeps the files consistent after a failure. The daemon and the simulator run the
// same code on different volumes.
#pragma once
#include <deque>

#include "interfaces/disk.hpp"

namespace mothwalk {

class LogFiles {
 public:
  explicit LogFiles(Volume& volume) : volume_(volume) {}
  // Opens the file, or creates an empty one. Syncs what an earlier process wrote without a sync, so that everything
  // read from now on is durable. Returns false if the file can't be opened or created.
  bool open();
  Result<Bytes> read_all();
  // Executes the orders, with one sync for consecutive appends. Returns for each order whether it succeeded.
  std::vector<bool> execute(const std::deque<DiskRequest>& orders);

 private:
  std::size_t append_batch(const std::deque<DiskRequest>& orders, std::size_t first, std::vector<bool>& results);
  bool append(StringView bytes);
  bool truncate(std::size_t size);
  bool create_next();
  bool write_next(StringView bytes);
  bool switch_to_next();
  bool drop_next();

  Volume& volume_;
  std::size_t synced_ = 0, next_size_ = 0;  // The synced bytes of the file, and the size of the next file.
  bool failed_ = false;                     // The file can't be used until the next file has replaced it.
  bool next_valid_ = false;                 // The next file exists, and each write to it has succeeded.
};

}  // namespace mothwalk
