// Implements file operations with POSIX system calls.
#include "host/posix_volume.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace mothwalk {

namespace {
constexpr std::size_t read_chunk_bytes = 1u << 20;
constexpr int open_flags = O_RDWR | O_APPEND | O_CLOEXEC;
}  // namespace

PosixVolume::~PosixVolume() {
  for (const auto& [file, descriptor] : open_) ::close(descriptor);
}

int PosixVolume::descriptor(const std::string& file) {
  auto found = open_.find(file);
  if (found != open_.end()) return found->second;
  const int opened = ::open(path(file).c_str(), open_flags);
  if (opened >= 0) open_[file] = opened;
  return opened;
}

void PosixVolume::close(const std::string& file) {
  auto found = open_.find(file);
  if (found == open_.end()) return;
  ::close(found->second);
  open_.erase(found);
}

bool PosixVolume::open(const std::string& file) {
  const int opened = ::open(path(file).c_str(), open_flags | O_CREAT, 0600);
  if (opened < 0) return false;
  close(file);
  open_[file] = opened;
  return true;
}

Result<Bytes> PosixVolume::read(const std::string& file) {
  const Error error{ErrorKind::damaged, "data_folder", "the records cannot be read",
                    "check the disk, or empty the folder so that this machine joins as a new storage node"};
  const int source = descriptor(file);
  if (source < 0) return error;
  Bytes bytes, part(read_chunk_bytes, '\0');
  while (true) {
    const ssize_t count = ::pread(source, part.data(), part.size(), static_cast<off_t>(bytes.size()));
    if (count == 0) return bytes;
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return error;
    bytes.append(part, 0, static_cast<std::size_t>(count));
  }
}

bool PosixVolume::create(const std::string& file) {
  // After a rename that reached the disk only in part, the name may still refer to the file in use. An existing file is
  // therefore unlinked and never truncated in place.
  remove(file);
  const int created = ::open(path(file).c_str(), open_flags | O_CREAT | O_EXCL, 0600);
  if (created < 0) return false;
  open_[file] = created;
  return true;
}

bool PosixVolume::exists(const std::string& file) const {
  return ::access(path(file).c_str(), F_OK) == 0;
}

bool PosixVolume::remove(const std::string& file) {
  close(file);
  return ::unlink(path(file).c_str()) == 0;
}

bool PosixVolume::write(const std::string& file, StringView bytes) {
  const int target = descriptor(file);
  if (target < 0) return false;
  while (!bytes.empty()) {
    const ssize_t count = ::write(target, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool PosixVolume::truncate(const std::string& file, std::size_t size) {
  const int opened = descriptor(file);
  return opened >= 0 && ::ftruncate(opened, static_cast<off_t>(size)) == 0;
}

bool PosixVolume::sync(const std::string& file) {
  const int opened = descriptor(file);
  return opened >= 0 && ::fdatasync(opened) == 0;
}

bool PosixVolume::rename(const std::string& from, const std::string& to) {
  if (::rename(path(from).c_str(), path(to).c_str()) != 0) return false;
  close(to);
  if (auto renamed = open_.find(from); renamed != open_.end()) {
    open_[to] = renamed->second;
    open_.erase(renamed);
  }
  return true;
}

bool PosixVolume::sync_folder() {
  const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return false;
  const bool synced = ::fsync(folder) == 0;
  ::close(folder);
  return synced;
}

}  // namespace mothwalk
