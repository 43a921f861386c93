// Why a runner can't be given a request now, and how long requests waited for each such reason. The counts tell
// overloaded runners from limits that leave idle runners unused.
#pragma once
#include "coding/fields.hpp"

namespace mothwalk {

enum class Obstacle {
  none,         // the runner takes the request
  not_listed,   // it is not known, is leaving, or its zone is evacuated
  tried,        // this request was sent to it already
  resting,      // it turned work away a moment ago
  failing,      // attempts of this daemon to it failed
  connections,  // this daemon's share of the connections that it accepts is in use
  memory,       // its memory can't hold another prompt
  ramp,         // it warms, and this daemon's share of what it may be given meanwhile is used
  slots,        // it has as many requests as it may be given
  cold,         // this daemon's share of the rate that a cold runner bears is used
};
inline constexpr std::size_t obstacle_count = 10;

StringView name_of(Obstacle obstacle);

// How many runners each obstacle stood before, in one choice.
class ObstacleTally {
 public:
  void add(Obstacle obstacle) { ++counts_[static_cast<std::size_t>(obstacle)]; }
  // The one met most often; `none` where no runner was looked at.
  Obstacle main() const;

 private:
  std::array<std::uint32_t, obstacle_count> counts_{};
};

struct Waits {
  std::uint64_t requests = 0, milliseconds = 0;
  MOTHWALK_FIELDS(requests, milliseconds)
};

}  // namespace mothwalk
