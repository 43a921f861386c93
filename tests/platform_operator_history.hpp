// Operators that work on a simulated cluster at the same time, under faults, and the record of every call they made.
#pragma once
#include "linearizability.hpp"
#include "platform_operators.hpp"

namespace mothwalk::simulate {

// What is done to the cluster while the operators work.
enum class Trouble { none, owner_kills, owner_freezes, cuts, restarts, mixed };

struct HistoryPlan {
  std::uint64_t seed = 1;
  Trouble trouble = Trouble::mixed;
  double lost_answers = 0.7;
  Duration length = std::chrono::seconds(30);
  std::string shape = "small";
};

struct RecordedHistory {
  linearizability::ConfigurationHistory configuration;
  std::vector<linearizability::SetCall> zones;
  std::size_t taken = 0, refused = 0, resent_after_taken = 0, evacuations = 0;
  bool settled = true;  // every machine answered the same configuration at the end
};

// Runs two operators with eight orders under way at once each, who read, change, send again what got no clear answer to
// any daemon, now and then send again what was acknowledged long ago, and evacuate zones and take them back.
RecordedHistory record_history(const HistoryPlan& plan);

// Why the history is wrong; empty where it is right.
std::string check(const RecordedHistory& history);

}  // namespace mothwalk::simulate
