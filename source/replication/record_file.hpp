// The holder's append-only file: framed records with checksums. Each frame states up to which length the file was
// synced when the frame was made. A loss of power may keep any part of what was not synced, also a later write without
// an earlier one; so a broken frame is damage only if a sound frame behind it states that its place had been synced.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

struct DiskEntry {
  std::string what;  // identity, roster, promise, change, install, copies, handover
  StorageNodeId holder{};
  Roster roster{};
  std::uint32_t slot = 0;
  Epoch epoch{};
  Change change{};
  std::vector<Record> records{};
  Address address{};                   // of the holder, with its identity
  std::vector<RecordStamp> content{};  // of a hand-over
  MOTHWALK_FIELDS(what, holder, roster, slot, epoch, change, records, address, content)
};

struct ReadFile {
  std::vector<DiskEntry> entries;
  std::size_t sound_bytes = 0;
  bool torn = false;     // the bytes from sound_bytes on were never synced as far as the file tells, and are to be cut
  bool damaged = false;  // synced bytes are broken: nothing of the file can be relied on
};

// A frame with the payload given, as it stands in the file. `synced` is the length in bytes up to which the file was
// synced when the frame was made.
Bytes frame_payload(StringView payload, std::uint64_t synced);
Bytes frame_entry(const DiskEntry& entry, std::uint64_t synced);
ReadFile read_frames(StringView bytes);

}  // namespace mothwalk
