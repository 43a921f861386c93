// The holder's append-only file: framed records with checksums. Reading cuts a torn tail and tells damage in the middle
// apart from it by looking for sound frames behind the broken one.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

struct DiskEntry {
  std::string what;  // identity, roster, promise, change, install, copies, handover
  HolderId holder{};
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
  bool torn = false, damaged = false;
};

// A frame with the payload given, as it stands in the file.
Bytes frame_payload(View payload);
Bytes frame_entry(const DiskEntry& entry);
ReadFile read_frames(View bytes);

}  // namespace mothwalk
