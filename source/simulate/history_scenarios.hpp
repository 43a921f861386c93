// Scenarios in which a storage node misses hundreds of configuration changes, or its disk is too slow for them.
#pragma once
#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

std::vector<Scenario> history_scenarios();

}  // namespace mothwalk::simulate
