// Helpers shared by the source files of CircleManager.
#pragma once
#include "circle/circle.hpp"

namespace mothwalk {

inline std::set<std::string> names_of(const std::vector<RunnerId>& runners) {
  std::set<std::string> names;
  for (const auto& runner : runners) names.insert(runner.text);
  return names;
}

}  // namespace mothwalk
