// The write-ahead log of a storage node: appends entries to the record file and compacts it. Compaction runs beside the
// appends: it writes the current records to a next file, slot by slot, in chunks of bounded size, followed by new
// entries of slots that it has already written. When it has written all slots, the next file replaces the current one.
// After a failed append, the current file is no longer trusted: nothing is reported as durable until a compaction has
// replaced it.
#pragma once
#include <deque>

#include "interfaces/interfaces.hpp"
#include "replication/record_file.hpp"

namespace mothwalk {

class RecordLog {
 public:
  // Produces the entries that reproduce the current state in memory.
  struct Contents {
    std::function<std::vector<DiskEntry>()> header;                          // The identity and the roster.
    std::function<std::vector<DiskEntry>(std::uint32_t slot)> slot_entries;  // Each of about max_message_bytes at most.
    std::function<std::size_t()> total_bytes;                                // The size of all records.
  };
  // `limit` is the room on the disk in bytes; zero if it is unknown.
  RecordLog(Disk& disk, Timers& timers, Contents contents, std::size_t limit);

  // Reads the file. If it is damaged, the result has no entries, and the file has to be replaced by a compaction.
  Result<RecordFileContents> load();
  // To be called before the first append: truncates an incomplete last entry, or starts to replace a damaged file.
  void start(const RecordFileContents& file);
  // Calls `then` when the entry and all before it are durable; never if writing fails.
  void append(const DiskEntry& entry, std::function<void()> then);
  // Calls `then` when all entries appended so far are durable.
  void when_synced(std::function<void()> then);
  // To be called ten times a second: starts a compaction if the file has grown long or has failed.
  void tick();

  bool failed() const { return failed_; }
  // Whether nothing can be made durable at present: an append failed, or the disk has not responded for a second.
  bool stalled() const;
  // Whether new records are accepted if the stored state is going to grow by `growth` bytes. Existing records can be
  // changed and removed even if this is false.
  bool has_room(std::size_t growth = 0) const;
  // Whether an entry of about this size leaves room for the entries that the node needs to stay in operation: promises,
  // takeovers and rosters.
  bool has_room_for_entry(std::size_t size) const;
  std::uint64_t appends() const { return appends_; }
  std::uint64_t compactions() const { return compactions_; }
  std::size_t file_size() const { return size_; }

 private:
  enum class Phase { idle, writing, switching, dropping };
  std::uint64_t synced_length_for_frame() const { return phase_ == Phase::switching ? 0 : synced_; }
  void submit_append(Bytes frame, std::function<void()> then);
  bool compaction_due() const;
  // Whether the disk has room for a second file with all records and for its growth during the compaction.
  bool compaction_fits() const;
  // Abandons the compaction if the next file would fill the disk: a compaction must never make an append fail.
  bool abandon_compaction_if_full(std::size_t more);
  void begin_compaction();
  void write_next_chunk();
  void submit_chunk(Bytes chunk);
  void submit_switch();
  void finish_compaction(bool succeeded);
  void queue_for_next(const DiskEntry& entry);
  void submit(DiskRequest::Kind kind, Bytes bytes, std::function<void(bool)> done);

  Disk& disk_;
  Timers& timers_;
  Contents contents_;
  std::size_t limit_;
  std::size_t size_ = 0, synced_ = 0;  // The bytes of the file, and how many of them are synced.
  std::size_t size_after_compaction_ = 0;
  std::deque<TimePoint> outstanding_;  // When each pending disk order was submitted.
  std::uint64_t appends_ = 0, compactions_ = 0;
  bool failed_ = false;

  Phase phase_ = Phase::idle;
  std::uint32_t next_slot_ = 0;  // The next file has the slots before this one.
  std::deque<Bytes> pending_frames_;
  std::size_t next_size_ = 0, next_synced_ = 0;
  TimePoint compaction_not_before_;
};

}  // namespace mothwalk
