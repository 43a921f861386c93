// Helpers shared by the source files of the replicated store: the timeout of requests between replicas, sizes and
// hashes of records, and errors.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

// How long a storage node waits for one reply of another.
inline constexpr Duration peer_timeout = std::chrono::milliseconds(1000);

// The approximate size in bytes; 64 and 8 stand for the fixed fields of a record and of an entry.
inline std::size_t size_of(const Record& record) {
  std::size_t size = record.key.size() + record.head.size() + 64;
  for (const auto& entry : record.entries) size += entry.size() + 8;
  return size;
}

inline std::size_t size_of(const Change& change) {
  std::size_t size = change.key.size() + (change.head ? change.head->size() : 0) + 64;
  for (const auto& entry : change.appends) size += entry.size() + 8;
  return size;
}

// The digest of a slot is the exclusive or of these hashes of its records, so it can be updated record by record.
inline std::uint64_t record_hash(const Record& record) {
  return hash_of(record.key, record.stamp.epoch.value * 1000003 + record.stamp.version.value * 2 + record.removed);
}

inline Error not_owner() {
  return Error{ErrorKind::busy, "slot", "this storage node does not own the slot of the key at present",
               "send the request again; another storage node will take the slot over"};
}
inline Error ownership_lost() {
  return Error{ErrorKind::unknown, "slot",
               "ownership of the slot was lost while the change was being replicated; its outcome is unknown",
               "send the same request again to find out"};
}
inline Error wrong_target() {
  return Error{ErrorKind::stale, "target", "the data folder at this address has a different identity",
               "wait until the roster contains the new identity"};
}

}  // namespace mothwalk
