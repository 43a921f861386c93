// A simulated disk whose syncs are events of the scheduler. Writes that are not synced when the process crashes are
// lost, except those that a mask selects. The content is also kept decoded, both as requested and as synced, so that
// invariants can be checked on it.
#pragma once
#include <deque>

#include "model/scheduler.hpp"
#include "replication/record_file.hpp"

namespace mothwalk::model {

// The decoded content of a record file: for each slot the promise, the epoch of the last complete transfer of records,
// and the stamps of the records.
struct DecodedFile {
  struct Slot {
    Epoch promised, installed;
    StorageNodeId promised_to;
    std::map<std::string, Stamp> stamps;
  };
  StorageNodeId identity;
  Roster roster;
  std::vector<Slot> slots{slot_count};
  std::uint64_t digest = 0;  // a hash chained over all entries: equal for equal sequences
  void apply(const DiskEntry& entry);
  void apply(StringView bytes);
};

class ModelDisk : public Disk {
 public:
  explicit ModelDisk(Scheduler& scheduler) : scheduler_(scheduler) {}
  Result<Bytes> read_all() override { return synced_; }
  void submit(DiskRequest request) override;

  void attach(ProcessPointer process);
  // Ends the process. Bit n of the mask says whether write n of the sync in progress is kept. An append that is lost
  // before one that is kept leaves zero bytes in its place.
  void crash(std::uint32_t mask);
  void wipe(bool keep_identity);
  void set_content(Bytes image);  // sets the content before the first start
  const DecodedFile& ordered() const { return ordered_; }
  const DecodedFile& synced() const { return synced_file_; }
  Duration sync_time = std::chrono::microseconds(400);
  bool acknowledges_early = false;  // a planted fault: writes are acknowledged before they are synced

 private:
  void begin();
  void complete();
  void write(const DiskRequest& request);

  Scheduler& scheduler_;
  ProcessPointer process_;
  Bytes synced_, next_;  // the file, and the new file that a rewrite prepares
  DecodedFile ordered_, synced_file_;
  bool busy_ = false;
  std::deque<DiskRequest> waiting_, syncing_;
};

}  // namespace mothwalk::model
