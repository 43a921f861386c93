// The reasons why a runner cannot be given a request at the moment, and how long requests waited for each of them. The
// counts tell overloaded runners from limits that leave idle runners unused.
#pragma once
#include "coding/fields.hpp"

namespace mothwalk {

enum class BlockReason {
  none,         // The runner can take the request.
  not_listed,   // The runner is unknown or leaving, or its zone is evacuated.
  tried,        // This request was sent to the runner before.
  resting,      // The runner rejected work a moment ago, and is not used for a short time.
  failing,      // Attempts of this daemon at the runner failed.
  connections,  // This daemon's share of the connections that the runner accepts is in use.
  memory,       // The runner's memory cannot hold another prompt.
  ramp,         // The runner is warming up, and this daemon's share of its reduced limit is in use.
  slots,        // The runner has as many requests as it may be given.
  cold,         // This daemon's share of the request rate that a cold runner sustains is used up.
};
inline constexpr std::size_t block_reason_count = 10;

StringView name_of(BlockReason reason);

// Counts, for one choice of a runner, how many runners were ruled out for each reason.
class BlockReasonTally {
 public:
  void add(BlockReason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
  // Returns the reason counted most often, or `none` if no runner was ruled out.
  BlockReason most_frequent() const;

 private:
  std::array<std::uint32_t, block_reason_count> counts_{};
};

// The number of requests that waited for one reason, and the sum of their waiting times.
struct Waits {
  std::uint64_t requests = 0, milliseconds = 0;
  MOTHWALK_FIELDS(requests, milliseconds)
};

}  // namespace mothwalk
