// Appending, syncing, replacing and locking.
#include "host/file_disk.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace mothwalk {

FileDisk::~FileDisk() {
  stop();
  if (file_ >= 0) ::close(file_);
  if (lock_ >= 0) ::close(lock_);
}

Result<Done> FileDisk::open() {
  auto fault = [&](const std::string& what, const std::string& remedy) {
    return Fault{FaultKind::conflict, "data_folder", what + " '" + folder_ + "': " + std::strerror(errno), remedy};
  };
  if (::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST)
    return fault("can't make", "give a folder whose parent exists and is writable");
  lock_ = ::open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) return fault("can't write in", "give a writable folder");
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0)
    return fault("another daemon uses", "stop that daemon, or give each its own folder");
  file_ = ::open(path().c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (file_ < 0) return fault("can't open the records in", "make the folder's files writable");
  thread_ = std::thread([this] { run(); });
  return Done{};
}

void FileDisk::stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

Result<Bytes> FileDisk::read_all() {
  // Through the file that was opened: one that can't be read must never look like an empty folder.
  Bytes bytes, part(1u << 20, '\0');
  ssize_t count = 0;
  while ((count = ::pread(file_, part.data(), part.size(), static_cast<off_t>(bytes.size()))) > 0 ||
         (count < 0 && errno == EINTR))
    if (count > 0) bytes.append(part, 0, static_cast<std::size_t>(count));
  if (count < 0)
    return Fault{FaultKind::damaged, "data_folder", "the records can't be read",
                 "check the disk, or empty the folder so that this machine joins as a new holder"};
  return bytes;
}

void FileDisk::append(Bytes bytes, std::function<void(bool)> done) {
  {
    std::lock_guard lock(mutex_);
    orders_.push_back(Order{false, std::move(bytes), std::move(done)});
  }
  wake_.notify_one();
}

void FileDisk::rewrite(Bytes bytes, std::function<void(bool)> done) {
  {
    std::lock_guard lock(mutex_);
    orders_.push_back(Order{true, std::move(bytes), std::move(done)});
  }
  wake_.notify_one();
}

bool FileDisk::write_all(int file, View bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::write(file, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool FileDisk::replace(View bytes) {
  const std::string fresh = path() + ".new";
  const int file = ::open(fresh.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (file < 0) return false;
  bool good = write_all(file, bytes) && ::fsync(file) == 0 && ::rename(fresh.c_str(), path().c_str()) == 0;
  if (good) {
    const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    good = folder >= 0 && ::fsync(folder) == 0;
    if (folder >= 0) ::close(folder);
  }
  if (!good) {
    ::close(file);
    return false;
  }
  ::close(file_);
  file_ = file;
  return true;
}

void FileDisk::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !orders_.empty(); });
    if (orders_.empty()) return;
    std::deque<Order> batch;
    batch.swap(orders_);
    lock.unlock();
    bool good = true;
    std::size_t at = 0;
    while (good && at < batch.size()) {
      if (batch[at].whole) {
        good = replace(batch[at].bytes);
        ++at;
        continue;
      }
      Bytes gathered;
      while (at < batch.size() && !batch[at].whole) gathered += batch[at++].bytes;
      if (!gathered.empty()) good = write_all(file_, gathered) && ::fdatasync(file_) == 0;
    }
    auto done = std::make_shared<std::vector<std::function<void(bool)>>>();
    for (auto& order : batch) done->push_back(std::move(order.done));
    execute_([done, good] {
      for (auto& each : *done) each(good);
    });
    lock.lock();
    if (!good) return;
  }
}

}  // namespace mothwalk
