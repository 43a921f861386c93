// Runs two operators concurrently against a simulated cluster with injected faults, and records each of their calls so
// that the history can be checked for linearizability.
#pragma once
#include "linearizability.hpp"
#include "platform_operators.hpp"

namespace mothwalk::simulate {

// The faults that are injected while the operators work.
enum class FaultMix { none, owner_kills, owner_suspensions, partitions, restarts, mixed };

// The parameters of one run.
struct HistoryPlan {
  std::uint64_t seed = 1;
  FaultMix faults = FaultMix::mixed;
  double lost_responses = 0.7;  // the share of responses that never reach the operator
  Duration length = std::chrono::seconds(30);
  std::string shape = "small";  // the name of the cluster's layout
};

// The calls of a run with their responses, and the numbers of accepted, refused and repeated calls.
struct RecordedHistory {
  linearizability::ConfigurationHistory configuration;
  std::vector<linearizability::SetCall> zones;
  std::size_t accepted = 0, refused = 0, resent_after_accepted = 0, evacuations = 0;
  bool converged = true;  // whether all machines returned the same configuration at the end
};

// Runs two operators with eight configuration changes in progress each. An operator reads the configuration, sends a
// change, and resends a change of unknown outcome to any daemon. Now and then it resends one that was acknowledged long
// ago. Each operator also begins and finishes the evacuation of one zone over and over.
RecordedHistory record_history(const HistoryPlan& plan);

// Explains why the history is not linearizable, or returns an empty text if it is.
std::string check(const RecordedHistory& history);

}  // namespace mothwalk::simulate
