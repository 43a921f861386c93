// What the parts of the owner of kept lots share: keys, time limits and faults.
#pragma once
#include "lots/lots.hpp"

namespace mothwalk {

// How long a write of a lot's record may take until its outcome counts as unknown.
inline constexpr Duration lot_write_limit = std::chrono::milliseconds(2500);

// How long a placer may take to say what it holds.
inline constexpr Duration placer_answer_limit = std::chrono::milliseconds(1000);

// The key of a lot's record in the replicated store.
inline std::string lot_record_key(const std::string& id) {
  return "lot/" + id;
}

// The slots of this owner are not loaded, or no majority confirms that it owns them.
inline Error lots_loading() {
  return Error{ErrorKind::busy, "slot", "the lots of this slot are being taken over", "ask again"};
}

inline Error no_lot() {
  return Error{ErrorKind::unknown_name, "id", "there is no lot of this id",
               "check the id; finished lots are kept for the retention time only"};
}

// The tokens that a runner of the kind can hold; 0 where no bound is stated.
std::uint64_t memory_of(const ConfigurationView& configuration, const std::string& kind);

// Whether an item of so many tokens can run at a runner with this memory.
bool holds(std::uint64_t memory_tokens, std::uint32_t item_tokens);

// Names what was handed in. Of a batch the items alone: what the lane promises may have changed between two sendings.
std::string lot_content(const LotSpecification& head);

}  // namespace mothwalk
