// judge: reads ledgers, prints what was counted and names every broken never-rule; ends with 1 if there is one.
#include "stand_ins/judge.hpp"

#include <algorithm>
#include <iostream>

int main(int count, char** words) {
  using namespace mothwalk;
  if (count < 2) return std::cerr << "judge: give the ledgers\n", 2;
  std::vector<json::object> lines;
  for (int index = 1; index < count; ++index)
    for (auto& line : read_ledger(words[index])) lines.push_back(std::move(line));
  if (lines.empty()) return std::cerr << "judge: the ledgers are empty\n", 2;
  Verdict verdict = judge(lines);
  for (const auto& [name, number] : verdict.counts) std::cout << name << ": " << number << "\n";
  for (auto* table : {&verdict.took, &verdict.first})
    for (auto& [name, list] : *table) {
      if (list.empty()) continue;
      std::sort(list.begin(), list.end());
      std::cout << (table == &verdict.first ? "first piece, " : "time, ") << name << ": median "
                << list[list.size() / 2] << " ms, 99% " << list[list.size() * 99 / 100] << " ms, worst " << list.back()
                << " ms\n";
    }
  const std::size_t shown = std::min<std::size_t>(verdict.broken.size(), 40);
  for (std::size_t index = 0; index < shown; ++index) std::cout << "BROKEN " << verdict.broken[index] << "\n";
  std::cout << (verdict.broken.empty() ? "No never-rule is broken."
                                       : std::to_string(verdict.broken.size()) + " breaches.")
            << "\n";
  return verdict.broken.empty() ? 0 : 1;
}
