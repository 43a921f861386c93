// Scenarios in which a control daemon loses its contact to the other control daemons while most daemons keep theirs.
#pragma once
#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

std::vector<Scenario> control_scenarios();

}  // namespace mothwalk::simulate
