// The files of a data folder, in memory, with the effects of a loss of power: each write that was not synced is
// complete, torn or missing, and each change of a file name without a sync of the folder is kept or lost, at random.
#pragma once
#include <map>
#include <optional>

#include "interfaces/interfaces.hpp"

namespace mothwalk::simulate {

// A data folder whose operations can be made to fail. It implements the interface that the daemon's disk code uses.
class SimulatedVolume : public Volume {
 public:
  bool exists(const std::string& file) const override { return names_.contains(file); }
  bool open(const std::string& file) override;
  Result<Bytes> read(const std::string& file) override;
  bool create(const std::string& file) override;
  bool remove(const std::string& file) override;
  bool write(const std::string& file, StringView bytes) override;
  bool truncate(const std::string& file, std::size_t size) override;
  bool sync(const std::string& file) override;
  bool rename(const std::string& from, const std::string& to) override;
  bool sync_folder() override;

  void lose_power(RandomSource& random);
  void wipe();
  void damage(const std::string& file, std::size_t at);  // Flips bits of one byte.
  std::size_t size(const std::string& file) const;
  std::size_t total() const;  // The total size of all named files in bytes.

  bool unreadable = false;                // All reads fail.
  bool failing = false;                   // Nothing can be written or synced.
  bool sync_failing = false;              // Writes succeed, but syncs fail.
  std::size_t capacity = 0;               // The most bytes that all files may have together; 0 means no limit.
  std::uint64_t operations = 0;           // The number of writes, syncs and name changes so far.
  std::uint64_t stop_after = UINT64_MAX;  // Operations from this number on fail without an effect.

 private:
  struct Change {  // A change that is not synced yet: bytes at an offset, or a truncation to `offset`.
    std::size_t offset = 0;
    Bytes bytes;
    bool truncates = false;
  };
  struct File {
    Bytes content, synced;
    std::vector<Change> unsynced;
  };
  using FilePointer = std::shared_ptr<File>;
  struct NameChange {
    std::string name;
    FilePointer file;  // Null if the name was removed.
  };
  bool begin_operation() { return operations++ < stop_after && !failing; }
  void set_name(const std::string& name, FilePointer file);
  static void apply_change(const Change& change, Bytes& content);  // Applies the whole change.
  static void lose_power(File& file, RandomSource& random);

  std::map<std::string, FilePointer> names_, synced_names_;
  std::vector<NameChange> unsynced_names_;
};

}  // namespace mothwalk::simulate
