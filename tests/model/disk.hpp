// A disk whose syncs are events. What is not synced when the process dies is lost but for the orders that a mask names.
// The content is also kept decoded, as ordered and as synced, so that invariants can be checked on it.
#pragma once
#include <deque>

#include "model/scheduler.hpp"
#include "replication/record_file.hpp"

namespace mothwalk::model {

// What a record file says, decoded: per slot the promise, the last whole hand-over and the stamps of its records.
struct DecodedFile {
  struct Slot {
    Epoch promised, installed;
    StorageNodeId promised_to;
    std::map<std::string, Stamp> stamps;
  };
  StorageNodeId identity;
  Roster roster;
  std::vector<Slot> slots{slot_count};
  std::uint64_t digest = 0;  // grows with each entry; equal histories have equal ones
  void apply(const DiskEntry& entry);
  void apply(StringView bytes);
};

class ModelDisk : public Disk {
 public:
  explicit ModelDisk(Scheduler& scheduler) : scheduler_(scheduler) {}
  Result<Bytes> read_all() override { return synced_; }
  void order(DiskOrder order) override;

  void attach(ProcessPointer process);
  // The process died: of the orders whose sync is under way, bit n of the mask says whether the n-th is kept. One that
  // is lost before one that is kept leaves a hole.
  void crash(std::uint32_t mask);
  void wipe(bool keep_identity);
  void put(Bytes image);  // before the first start
  const DecodedFile& ordered() const { return ordered_; }
  const DecodedFile& synced() const { return synced_file_; }
  Duration sync_time = std::chrono::microseconds(400);
  bool acknowledges_early = false;  // a planted fault: says that bytes are safe before they are

 private:
  void begin();
  void complete();
  void write(const DiskOrder& order);

  Scheduler& scheduler_;
  ProcessPointer process_;
  Bytes synced_, next_;  // the file, and the one that is to take its place
  DecodedFile ordered_, synced_file_;
  bool busy_ = false;
  std::deque<DiskOrder> waiting_, syncing_;
};

}  // namespace mothwalk::model
