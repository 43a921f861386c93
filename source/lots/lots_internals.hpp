// Helpers shared by the source files that implement the class Lots: record keys, timeouts and common errors.
#pragma once
#include "lots/lots.hpp"

namespace mothwalk {

// How long a write of a lot's record may take until its outcome counts as unknown.
inline constexpr Duration lot_write_timeout = std::chrono::milliseconds(2500);

// How long a placer may take to report which items it holds.
inline constexpr Duration placer_reply_timeout = std::chrono::milliseconds(1000);

// The key of a lot's record in the replicated store.
inline std::string lot_record_key(const std::string& id) {
  return "lot/" + id;
}

// The lots of the slot are not loaded yet, or no majority confirms that this daemon owns the slot.
inline Error slot_loading_error() {
  return Error{ErrorKind::busy, "slot", "the owner of this lot's slot is changing; its lots are not available yet",
               "retry the request"};
}

inline Error lot_not_found_error() {
  return Error{ErrorKind::unknown_name, "id", "no lot with this id exists",
               "check the id; finished lots are kept for the retention time only"};
}

// The tokens that the memory of a runner of the kind can hold, or 0 if the kind states no bound.
std::uint64_t runner_memory_tokens(const ConfigurationView& configuration, const std::string& kind);

// Whether an item of the given number of tokens fits into a runner's memory; a memory of 0 tokens is unbounded.
bool fits_in_memory(std::uint64_t memory_tokens, std::uint32_t item_tokens);

// A digest by which a repeated submission is recognised. For a batch it covers the items only, because the limits that
// the lane's configuration adds to the specification may change between two submissions.
std::string content_digest_of(const LotSpecification& spec);

}  // namespace mothwalk
