// Counters of a replicated store since its start, for operators and tests.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk {

struct StoreCounts {
  std::uint64_t takeovers = 0;                            // Slots whose ownership this storage node has taken over.
  std::map<std::string, std::uint64_t> takeovers_failed;  // Failed takeovers by reason.
  std::uint64_t records_copied = 0, bytes_copied = 0;     // Sent to voters that lacked the records.
  std::uint64_t copies_late = 0;                          // Messages with copied records that got no reply in time.
  std::uint64_t roster_changes = 0;                       // Roster changes that this storage node started.
  std::uint64_t refused_for_room = 0;                     // New keys refused because the disk had no room.
  std::uint64_t stores_refused_for_room = 0;              // Replicated changes and records refused for the same reason.
  // For each roster that this storage node maintains, by its key: the milliseconds for which the roster has had lost
  // voters or too few voters. A roster that has all its voters has no entry.
  std::map<std::string, std::uint64_t> short_of_seats;
  MOTHWALK_FIELDS(takeovers, takeovers_failed, records_copied, bytes_copied, copies_late, roster_changes,
                  refused_for_room, stores_refused_for_room, short_of_seats)
};

}  // namespace mothwalk
