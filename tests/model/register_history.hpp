// Histories of operations on one register and the check that they are linearizable: that each operation can be given
// one moment between its call and its answer so that all answers follow from that order.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk::model {

enum class OperationKind { read, write, remove, compare_and_set };
enum class Outcome {
  acknowledged,
  refused,  // for certain: another revision is current, or there is nothing to remove
  unclear,  // may have taken effect, or may still do so
  nothing,  // for certain without effect, whatever the state
};

struct Operation {
  OperationKind kind = OperationKind::read;
  std::string value;       // written, or what was read; empty for absent
  std::uint64_t base = 0;  // of a compare-and-set: the revision that it builds on
  Outcome outcome = Outcome::unclear;
  TimePoint called, answered{INT64_MAX};
};

// True where the history is linearizable. A longer one than 63 operations is not searched and counts as not
// linearizable.
bool linearizable(const std::vector<Operation>& history);
std::string describe(const std::vector<Operation>& history);

}  // namespace mothwalk::model
