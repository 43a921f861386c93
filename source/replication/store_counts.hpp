// What a replicated store has counted since its start, for operators and tests.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk {

struct StoreCounts {
  std::uint64_t takeovers = 0;                            // of slots that this holder came to own
  std::map<std::string, std::uint64_t> takeovers_failed;  // by reason
  std::uint64_t records_copied = 0, bytes_copied = 0;     // sent to seats that lacked them
  std::uint64_t copies_late = 0;                          // messages of copies that were not answered in time
  std::uint64_t roster_changes = 0;                       // that this holder brought about
  std::uint64_t refused_for_room = 0;                     // new keys for which the disk had no room
  std::uint64_t stores_refused_for_room = 0;              // changes and copies that this holder's disk had no room for
  // Milliseconds for which a group whose roster this holder looks after has lacked seats; zero: it has all of them.
  std::map<std::string, std::uint64_t> short_of_seats;
  MOTHWALK_FIELDS(takeovers, takeovers_failed, records_copied, bytes_copied, copies_late, roster_changes,
                  refused_for_room, stores_refused_for_room, short_of_seats)
};

}  // namespace mothwalk
