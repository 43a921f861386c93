// The files of a data folder in the file system.
#pragma once
#include <map>

#include "interfaces/disk.hpp"

namespace mothwalk {

// A Volume on POSIX system calls. It keeps each file open until the file is removed or renamed over.
class PosixVolume : public Volume {
 public:
  explicit PosixVolume(std::string folder) : folder_(std::move(folder)) {}
  ~PosixVolume() override;
  PosixVolume(const PosixVolume&) = delete;
  PosixVolume& operator=(const PosixVolume&) = delete;
  bool exists(const std::string& file) const override;
  bool open(const std::string& file) override;
  Result<Bytes> read(const std::string& file) override;
  bool create(const std::string& file) override;
  bool remove(const std::string& file) override;
  bool write(const std::string& file, StringView bytes) override;
  bool truncate(const std::string& file, std::size_t size) override;
  bool sync(const std::string& file) override;
  bool rename(const std::string& from, const std::string& to) override;
  bool sync_folder() override;

 private:
  std::string path(const std::string& file) const { return folder_ + "/" + file; }
  // Returns the descriptor of the file and opens the file if necessary. The result is negative if that fails.
  int descriptor(const std::string& file);
  void close(const std::string& file);

  std::string folder_;
  std::map<std::string, int> open_;
};

}  // namespace mothwalk
