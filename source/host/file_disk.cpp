// Locks the data folder and runs the thread that executes disk requests.
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
  if (lock_ >= 0) ::close(lock_);
}

Result<Success> FileDisk::open() {
  auto error = [&](const std::string& what, const std::string& remedy) {
    return Error{ErrorKind::conflict, "data_folder", what + " '" + folder_ + "': " + std::strerror(errno), remedy};
  };
  if (::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST)
    return error("cannot create", "use a folder whose parent exists and is writable");
  lock_ = ::open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) return error("cannot write to", "use a writable folder");
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0)
    return error("another daemon is using", "stop that daemon, or give each daemon its own folder");
  // A folder whose files cannot be read must not be mistaken for an empty one.
  if (!files_.open()) return error("cannot open the records in", "make the folder's files writable");
  thread_ = std::thread([this] { run(); });
  return Success{};
}

void FileDisk::stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void FileDisk::submit(DiskRequest request) {
  {
    std::lock_guard lock(mutex_);
    requests_.push_back(std::move(request));
  }
  wake_.notify_one();
}

void FileDisk::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !requests_.empty(); });
    if (requests_.empty()) return;
    auto batch = std::make_shared<std::deque<DiskRequest>>();
    batch->swap(requests_);
    lock.unlock();
    execute_([batch, results = files_.execute(*batch)] {
      for (std::size_t index = 0; index < results.size(); ++index) (*batch)[index].done(results[index]);
    });
    lock.lock();
  }
}

}  // namespace mothwalk
