// The judge's rules, over ledgers as lists of JSON lines. Each broken never-rule is named with its evidence.
#pragma once
#include "coding/json.hpp"

namespace mothwalk {

struct Verdict {
  std::vector<std::string> broken;
  std::map<std::string, std::uint64_t> counts;
  std::map<std::string, std::vector<std::int64_t>> took;  // milliseconds, by load
  std::map<std::string, std::vector<std::int64_t>> first;
  std::int64_t proper = 0, refused = 0;  // live requests
};

// What a run may show at most; the rules without a number here allow none.
struct Limits {
  std::int64_t result_lag = INT64_MAX;       // milliseconds from an item's end at its runner to its first listing
  std::int64_t refused_per_thousand = 1000;  // live requests that the daemons themselves turned away
};
Verdict judge(const std::vector<json::object>& lines, const Limits& limits = {});
std::vector<json::object> read_ledger(const std::string& path);

}  // namespace mothwalk
