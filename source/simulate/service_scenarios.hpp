// Scenarios on a fleet with many more daemons than the runners of a small service take connections.
#pragma once
#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

std::vector<Scenario> service_scenarios();

}  // namespace mothwalk::simulate
