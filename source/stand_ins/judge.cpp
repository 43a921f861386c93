// judge: reads ledgers, prints the counts and durations found in them, and lists each violation of a rule that must
// always hold. The exit code is 1 if there is a violation and 2 if the ledgers can't be judged.
#include "stand_ins/judge.hpp"

#include <algorithm>
#include <iostream>

int main(int argument_count, char** arguments) {
  using namespace mothwalk;
  if (argument_count < 2) return std::cerr << "judge: pass the paths of the ledgers as arguments\n", 2;
  std::vector<json::object> lines;
  for (int index = 1; index < argument_count; ++index)
    for (auto& line : read_ledger(arguments[index])) lines.push_back(std::move(line));
  if (lines.empty()) return std::cerr << "judge: the ledgers contain no records\n", 2;
  Verdict verdict = judge(lines);
  for (const auto& [name, occurrences] : verdict.counts) std::cout << name << ": " << occurrences << "\n";
  for (auto* samples_by_name : {&verdict.durations, &verdict.first_piece_times})
    for (auto& [name, samples] : *samples_by_name) {
      if (samples.empty()) continue;
      std::sort(samples.begin(), samples.end());
      std::cout << (samples_by_name == &verdict.first_piece_times ? "first piece, " : "time, ") << name << ": median "
                << samples[samples.size() / 2] << " ms, 99% " << samples[samples.size() * 99 / 100] << " ms, worst "
                << samples.back() << " ms\n";
    }
  const std::size_t printed_count = std::min<std::size_t>(verdict.violations.size(), 40);
  for (std::size_t index = 0; index < printed_count; ++index)
    std::cout << "BROKEN " << verdict.violations[index] << "\n";
  std::cout << (verdict.violations.empty() ? "No never-rule is broken."
                                           : std::to_string(verdict.violations.size()) + " breaches.")
            << "\n";
  return verdict.violations.empty() ? 0 : 1;
}
