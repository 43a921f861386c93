// The disk of a storage node: one append-only file, and the next file that replaces it when the records are rewritten.
// Requests are executed in the order in which they are submitted. Each calls `done` once, with whether it succeeded and
// its bytes are durable.
#pragma once
#include <functional>

#include "coding/fields.hpp"

namespace mothwalk {

// A request to the disk.
struct DiskRequest {
  enum class Kind {
    append,          // Appends `bytes` to the file and syncs it.
    truncate,        // Truncates the file to `size` bytes.
    begin_next,      // Creates an empty next file and discards an unfinished one.
    write_next,      // Appends `bytes` to the next file and syncs it.
    switch_to_next,  // Replaces the file by the next file and syncs the folder.
    drop_next,       // Discards the next file.
  };
  Kind kind = Kind::append;
  Bytes bytes;
  std::size_t size = 0;
  std::function<void(bool)> done = [](bool) {
  };
};

// Executes disk requests. After a failed append or truncation the content of the file is not known, so every later
// append or truncation fails too, until a switch to a next file has succeeded.
class Disk {
 public:
  virtual ~Disk() = default;
  // Returns the content of the file.
  virtual Result<Bytes> read_all() = 0;
  virtual void submit(DiskRequest request) = 0;
};

// The files of one data folder, with the guarantees of a POSIX file system. Each call returns whether it succeeded. A
// power failure may lose any part of the data that was written and not synced, and any creation, renaming or removal of
// a file after which the folder was not synced.
class Volume {
 public:
  virtual ~Volume() = default;
  virtual bool exists(const std::string& file) const = 0;
  // Opens the file, and creates it if it does not exist.
  virtual bool open(const std::string& file) = 0;
  virtual Result<Bytes> read(const std::string& file) = 0;
  // Creates an empty file. A file that already has this name is removed first.
  virtual bool create(const std::string& file) = 0;
  virtual bool remove(const std::string& file) = 0;
  // Appends the bytes to the file.
  virtual bool write(const std::string& file, StringView bytes) = 0;
  // Truncates the file to `size` bytes.
  virtual bool truncate(const std::string& file, std::size_t size) = 0;
  virtual bool sync(const std::string& file) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual bool sync_folder() = 0;
};

}  // namespace mothwalk
