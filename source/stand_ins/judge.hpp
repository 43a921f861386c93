// The judge's rules, over ledgers as lists of JSON lines. Each broken never-rule is named with its evidence.
#pragma once
#include "coding/json.hpp"

namespace mothwalk {

struct Verdict {
  std::vector<std::string> broken;
  std::map<std::string, std::uint64_t> counts;
  std::map<std::string, std::vector<std::int64_t>> took;   // milliseconds, by load
  std::map<std::string, std::vector<std::int64_t>> first;
};

Verdict judge(const std::vector<json::object>& lines);
std::vector<json::object> read_ledger(const std::string& path);

}  // namespace mothwalk
