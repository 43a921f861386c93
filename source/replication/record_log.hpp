// The record file of a replica: appends to it, and its rewriting in pieces. A rewrite goes on beside the appends: the
// next file gets the slots one after the other, in pieces of bounded size, and each entry of a slot that it has
// already. When it has all, it takes the file's place. A file whose append failed is not trusted again: nothing is said
// to be safe until a next file, written from memory, has taken its place.
#pragma once
#include <deque>

#include "interfaces/interfaces.hpp"
#include "replication/record_file.hpp"

namespace mothwalk {

class RecordLog {
 public:
  // What memory holds, as entries that bring it back.
  struct Contents {
    std::function<std::vector<DiskEntry>()> head;                    // identity and roster
    std::function<std::vector<DiskEntry>(std::uint32_t slot)> slot;  // each of about longest_message at most
    std::function<std::size_t()> size;                               // of all records, in bytes
  };
  // `limit` is the room on the disk in bytes; zero where it is not known.
  RecordLog(Disk& disk, Timers& timers, Contents contents, std::size_t limit);

  // The entries of the file. A damaged one gives none, and is to be rewritten from what memory then holds.
  Result<ReadFile> load();
  // Before the first append: cuts a torn tail, or begins to rewrite a damaged file.
  void start(const ReadFile& file);
  // `then` is called when the entry and all before it are safe, and never where they are not.
  void append(const DiskEntry& entry, std::function<void()> then);
  void when_synced(std::function<void()> then);
  // Ten times a second: begins a rewrite when the file has grown long or failed.
  void tick();

  bool failed() const { return failed_; }
  // Whether nothing can be made safe now: an append failed, or the disk has not answered for a second.
  bool stalled() const;
  // Whether new state may be taken in, where what is kept is going to grow by so many bytes; what is kept already may
  // be changed and removed meanwhile.
  bool has_room(std::size_t growth = 0) const;
  // Whether an entry of about that size leaves room for what keeps the holder in its place: promises, hand-overs,
  // rosters.
  bool takes(std::size_t size) const;
  std::uint64_t appends() const { return appends_; }
  std::uint64_t rewrites() const { return rewrites_; }
  std::size_t file_size() const { return size_; }

 private:
  enum class Phase { idle, writing, switching, dropping };
  std::uint64_t mark() const { return phase_ == Phase::switching ? 0 : synced_; }
  void order_append(Bytes frame, std::function<void()> then);
  bool rewrite_due() const;
  // Whether the disk takes a second file of all that is held, and its growth meanwhile.
  bool rewrite_fits() const;
  // Leaves the file as it is where the next file would fill the disk: appends must never fail for a rewrite's sake.
  bool abandon_rewrite(std::size_t more);
  void begin_rewrite();
  void next_piece();
  void order_piece(Bytes piece);
  void order_switch();
  void end_rewrite(bool good);
  void queue_next(const DiskEntry& entry);
  void order(DiskOrder::Kind kind, Bytes bytes, std::function<void(bool)> done);

  Disk& disk_;
  Timers& timers_;
  Contents contents_;
  std::size_t limit_;
  std::size_t size_ = 0, synced_ = 0;  // of the file in bytes, and how many of them are safe
  std::size_t base_ = 0;               // size after the last rewrite
  std::deque<TimePoint> outstanding_;  // when each order that was not answered was given
  std::uint64_t appends_ = 0, rewrites_ = 0;
  bool failed_ = false;

  Phase phase_ = Phase::idle;
  std::uint32_t next_slot_ = 0;  // the next file has those before it
  std::deque<Bytes> next_frames_;
  std::size_t next_size_ = 0, next_synced_ = 0;
  TimePoint rewrite_not_before_;
};

}  // namespace mothwalk
