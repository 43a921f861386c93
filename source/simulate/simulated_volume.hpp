// The files of a data folder in memory, as a loss of power leaves them: of the writes that were not synced each is
// kept, torn or missing, and of the names that were changed without a sync of the folder each is kept or lost, all by
// chance.
#pragma once
#include <map>
#include <optional>

#include "interfaces/interfaces.hpp"

namespace mothwalk::simulate {

class SimulatedVolume : public Volume {
 public:
  bool exists(const std::string& file) const override { return names_.contains(file); }
  bool open(const std::string& file) override;
  Result<Bytes> read(const std::string& file) override;
  bool create(const std::string& file) override;
  bool remove(const std::string& file) override;
  bool write(const std::string& file, StringView bytes) override;
  bool cut(const std::string& file, std::size_t size) override;
  bool sync(const std::string& file) override;
  bool rename(const std::string& from, const std::string& to) override;
  bool sync_folder() override;

  void lose_power(RandomSource& random);
  void wipe();
  void damage(const std::string& file, std::size_t at);  // flips bits of a synced byte
  std::size_t size(const std::string& file) const;
  std::size_t total() const;  // bytes of all files that have a name

  bool unreadable = false;                // reads fail
  bool failing = false;                   // nothing can be written or synced any more
  bool sync_failing = false;              // writes succeed, syncs don't
  std::size_t capacity = 0;               // bytes that all files may have together; zero: no bound
  std::uint64_t operations = 0;           // writes, syncs and changes of names so far
  std::uint64_t stop_after = UINT64_MAX;  // operations from this number on do nothing and fail

 private:
  struct Change {  // not synced yet: bytes at an offset, or a cut
    std::size_t offset = 0;
    Bytes bytes;
    bool cut = false;
  };
  struct File {
    Bytes content, synced;
    std::vector<Change> unsynced;
  };
  using FilePointer = std::shared_ptr<File>;
  struct NameChange {
    std::string name;
    FilePointer file;  // none: the name is gone
  };
  bool begin_operation() { return operations++ < stop_after && !failing; }
  void set_name(const std::string& name, FilePointer file);
  static void make(const Change& change, Bytes& content);  // as a whole
  static void lose_power(File& file, RandomSource& random);

  std::map<std::string, FilePointer> names_, synced_names_;
  std::vector<NameChange> unsynced_names_;
};

}  // namespace mothwalk::simulate
