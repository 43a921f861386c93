// The holder's file on a real disk: a thread appends what has gathered and syncs once for all of it. The folder is
// locked, so that two daemons never share one.
#pragma once
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "seams/seams.hpp"

namespace mothwalk {

class FileDisk : public Disk {
 public:
  // Callbacks are handed to `execute`.
  FileDisk(std::string folder, std::function<void(Task)> execute)
      : folder_(std::move(folder)), execute_(std::move(execute)) {}
  ~FileDisk() override;
  Result<Done> open();
  void stop();
  Result<Bytes> read_all() override;
  void append(Bytes bytes, std::function<void(bool)> done) override;
  void rewrite(Bytes bytes, std::function<void(bool)> done) override;

 private:
  struct Order {
    bool whole = false;
    Bytes bytes;
    std::function<void(bool)> done;
  };
  void run();
  bool write_all(int file, View bytes);
  bool replace(View bytes);
  std::string path() const { return folder_ + "/records"; }

  std::string folder_;
  std::function<void(Task)> execute_;
  int lock_ = -1, file_ = -1;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Order> orders_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace mothwalk
