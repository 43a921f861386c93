// Format of the append-only record file: entries in frames with checksums. Each frame states the length up to which the
// file was synced when the frame was made. A power failure may keep any part of the unsynced bytes, even a later write
// without an earlier one. So an invalid frame counts as damage only if a valid frame after it states that its place had
// been synced; otherwise it is the end of the file's valid part.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

// One entry of the record file.
struct DiskEntry {
  std::string what;  // One of "identity", "roster", "promise", "change", "install", "copies" and "handover".
  StorageNodeId holder{};
  Roster roster{};
  std::uint32_t slot = 0;
  Epoch epoch{};
  Change change{};
  std::vector<Record> records{};
  Address address{};                   // The node's address; only with an identity.
  std::vector<RecordStamp> content{};  // The complete content of a slot after a takeover.
  MOTHWALK_FIELDS(what, holder, roster, slot, epoch, change, records, address, content)
};

// The result of reading a record file.
struct RecordFileContents {
  std::vector<DiskEntry> entries;
  std::size_t valid_bytes = 0;  // The length of the valid part at the beginning of the file.
  bool torn = false;            // There are bytes after the valid part; unless `damaged`, they were never synced.
  bool damaged = false;         // Synced bytes are invalid, so nothing in the file can be trusted.
};

// Returns the frame for a payload or an entry. `synced` is the length in bytes up to which the file is synced.
Bytes frame_payload(StringView payload, std::uint64_t synced);
Bytes frame_entry(const DiskEntry& entry, std::uint64_t synced);
RecordFileContents read_frames(StringView bytes);

}  // namespace mothwalk
