// Disk: the one append-only file of a holder, and the next file that takes its place. Orders are executed in the order
// given, and each calls back once with whether its bytes are safe.
#pragma once
#include <functional>

#include "coding/fields.hpp"

namespace mothwalk {

struct DiskOrder {
  enum class Kind {
    append,          // to the file, then sync it
    cut,             // the file to `size` bytes
    begin_next,      // a next file, empty, in place of any unfinished one
    write_next,      // append to the next file, then sync it
    switch_to_next,  // put the next file in the place of the file, and sync the folder
    drop_next,       // the next file is of no use any more
  };
  Kind kind = Kind::append;
  Bytes bytes;
  std::size_t size = 0;
  std::function<void(bool)> done = [](bool) {
  };
};

// After a failed append or cut, each later one fails too, until a switch has succeeded: what the file then has is not
// known.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual Result<Bytes> read_all() = 0;
  virtual void order(DiskOrder order) = 0;
};

// The files of one data folder, as an operating system gives them. Each call says whether it succeeded. Until it is
// synced, any part of what was written may be lost with the power, and a name that was made, changed or removed lasts
// only once the folder is synced.
class Volume {
 public:
  virtual ~Volume() = default;
  virtual bool exists(const std::string& file) const = 0;
  virtual bool open(const std::string& file) = 0;  // makes it where there is none
  virtual Result<Bytes> read(const std::string& file) = 0;
  virtual bool create(const std::string& file) = 0;  // a new empty file, also where there is one of the name
  virtual bool remove(const std::string& file) = 0;
  virtual bool write(const std::string& file, StringView bytes) = 0;  // at the end
  virtual bool cut(const std::string& file, std::size_t size) = 0;
  virtual bool sync(const std::string& file) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual bool sync_folder() = 0;
};

}  // namespace mothwalk
