// Scenarios in which a control daemon can't reach the other control daemons, while most daemons still can.
#pragma once
#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

std::vector<Scenario> control_scenarios();

}  // namespace mothwalk::simulate
