// Scenarios in which a holder misses hundreds of changes, or its disk lags behind them.
#pragma once
#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

std::vector<Scenario> history_scenarios();

}  // namespace mothwalk::simulate
