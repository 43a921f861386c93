// What the parts of the replicated store share: the time limit of calls between replicas, sizes, and faults.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

// How long an owner waits for one answer of a replica.
inline constexpr Duration peer_timeout = std::chrono::milliseconds(1000);

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

inline std::uint64_t record_hash(const Record& record) {
  return hash_of(record.key, record.stamp.epoch.value * 1000003 + record.stamp.version.value * 2 + record.removed);
}

inline Error moved() {
  return Error{ErrorKind::busy, "slot", "this holder does not own the slot of the key just now",
               "ask again; another holder will answer"};
}
inline Error stood_down() {
  return Error{ErrorKind::unknown, "slot", "the slot moved while the change was on its way; the outcome is not known",
               "send the same request again to settle it"};
}
inline Error not_me() {
  return Error{ErrorKind::stale, "target", "the data folder at this address is another one",
               "wait for the roster to name it"};
}

}  // namespace mothwalk
