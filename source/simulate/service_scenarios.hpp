// Scenarios on a fleet that has many more daemons than each runner of a small service accepts connections.
#pragma once
#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

std::vector<Scenario> service_scenarios();

}  // namespace mothwalk::simulate
