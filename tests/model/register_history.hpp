// Histories of operations on one register and a check that they are linearizable: each operation can be given a point
// in time between its call and its response so that all responses follow from the order of these points.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk::model {

enum class OperationKind { read, write, remove, compare_and_set };
enum class Outcome {
  acknowledged,
  refused,    // definitely not done: another revision is current, or there is nothing to remove
  unknown,    // the operation may have taken effect, or may still do so
  no_effect,  // the operation definitely has no effect, whatever the state
};

struct Operation {
  OperationKind kind = OperationKind::read;
  std::string value;       // the value that was written or read; empty if there is none
  std::uint64_t base = 0;  // for a compare-and-set: the revision that it expects
  Outcome outcome = Outcome::unknown;
  TimePoint started, completed{INT64_MAX};
};

// Returns whether the history is linearizable. A history of more than 63 operations is not searched and counts as not
// linearizable.
bool linearizable(const std::vector<Operation>& history);
std::string describe(const std::vector<Operation>& history);

}  // namespace mothwalk::model
