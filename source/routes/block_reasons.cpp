// Names of obstacles, and the main one of a choice.
#include "routes/obstacles.hpp"

#include <algorithm>

namespace mothwalk {

StringView name_of(Obstacle obstacle) {
  static constexpr StringView names[obstacle_count] = {"none",        "not_listed", "tried", "resting", "failing",
                                                       "connections", "memory",     "ramp",  "slots",   "cold"};
  return names[static_cast<std::size_t>(obstacle)];
}

Obstacle ObstacleTally::main() const {
  const auto most = std::max_element(counts_.begin(), counts_.end());
  return *most == 0 ? Obstacle::none : static_cast<Obstacle>(most - counts_.begin());
}

}  // namespace mothwalk
