// The storage node's file on a real disk. A thread executes the queued disk requests and syncs once for all appends
// that are queued at that time. The data folder is locked, so that no two daemons use the same one.
#pragma once
#include <condition_variable>
#include <mutex>
#include <thread>

#include "host/posix_volume.hpp"
#include "interfaces/interfaces.hpp"
#include "replication/log_files.hpp"

namespace mothwalk {

// A Disk in a folder of the file system.
class FileDisk : public Disk {
 public:
  // Completion callbacks are passed to `execute`, which runs them on the owner's event loop.
  FileDisk(std::string folder, std::function<void(Task)> execute)
      : folder_(std::move(folder)), execute_(std::move(execute)), volume_(folder_), files_(volume_) {}
  ~FileDisk() override;
  Result<Success> open();
  void stop();
  Result<Bytes> read_all() override { return files_.read_all(); }
  void submit(DiskRequest request) override;

 private:
  void run();

  std::string folder_;
  std::function<void(Task)> execute_;
  PosixVolume volume_;
  LogFiles files_;
  int lock_ = -1;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<DiskRequest> requests_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace mothwalk
