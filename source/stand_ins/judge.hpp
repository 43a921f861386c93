// The judge checks the ledgers of a test run, given as lists of JSON objects, against the rules that must always hold.
// It reports each violation with its evidence.
#pragma once
#include "coding/json.hpp"

namespace mothwalk {

struct Verdict {
  // Each violation as the violated rule and its evidence.
  std::vector<std::string> violations;
  // How often each outcome and event occurred.
  std::map<std::string, std::uint64_t> counts;
  // Milliseconds by load or by measurement: until the end of the response, and until its first piece (chunk).
  std::map<std::string, std::vector<std::int64_t>> durations;
  std::map<std::string, std::vector<std::int64_t>> first_piece_times;
  // The number of live requests, and how many of them the daemons refused.
  std::int64_t live_requests = 0, refused = 0;
};

// The bounds for a test run. A rule without a bound here allows no violation at all.
struct Limits {
  // The most milliseconds from the end of an item's run until a client first reads its result.
  std::int64_t max_result_lag = INT64_MAX;
  // The most live requests that the daemons themselves may refuse, per thousand.
  std::int64_t max_refused_per_thousand = 1000;
};
// Checks the records of all ledgers of a test run together.
Verdict judge(const std::vector<json::object>& lines, const Limits& limits = {});
// Reads the records of a ledger file. A line that is not a JSON object is skipped.
std::vector<json::object> read_ledger(const std::string& path);

}  // namespace mothwalk
