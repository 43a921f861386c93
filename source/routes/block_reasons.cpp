// The names of the block reasons, which are used as keys of counters, and the tally of one choice.
#include "routes/block_reasons.hpp"

#include <algorithm>

namespace mothwalk {

StringView name_of(BlockReason reason) {
  static constexpr StringView names[block_reason_count] = {"none",        "not_listed", "tried", "resting", "failing",
                                                           "connections", "memory",     "ramp",  "slots",   "cold"};
  return names[static_cast<std::size_t>(reason)];
}

BlockReason BlockReasonTally::most_frequent() const {
  const auto most = std::max_element(counts_.begin(), counts_.end());
  return *most == 0 ? BlockReason::none : static_cast<BlockReason>(most - counts_.begin());
}

}  // namespace mothwalk
