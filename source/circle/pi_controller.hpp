// A PI controller in velocity form that adjusts the number of runners in a circle so that their load approaches the
// target. With load u over n runners the wanted size is n * u / target, and the error is the number of missing runners.
// docs/autoscale.md states the gains and the stability argument.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk {

struct PiController {
  double integral_gain = 0.6;
  double proportional_gain = 0.2;
  double dead_band = 0.5;  // In runners. Smaller errors change nothing.
  double size = 0;         // The size before rounding.
  double last_error = 0;

  // Runs one cycle and returns the next size, an integer within [min_size, max_size]. If the members are overloaded,
  // the size grows by all missing runners at once. `may_shrink` is false if the load data are incomplete.
  std::size_t next_size(double load, double target, std::size_t current_size, std::size_t min_size,
                        std::size_t max_size, bool may_shrink, bool overloaded = false);
};

}  // namespace mothwalk
