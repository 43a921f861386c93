// The PI law that moves the circle's size toward the medium load, in velocity form. With load u over n runners the
// wanted size is n*u/target; the error is the number of runners missing. The gains and their stability argument are in
// docs/autoscale.md.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk {

struct PiController {
  double integral_gain = 0.6;
  double proportional_gain = 0.2;
  double dead_band = 0.5;  // runners; smaller errors change nothing
  double size = 0;         // unrounded
  double last_error = 0;

  // One cycle: the next whole size within [lowest, highest]. Where the members are overloaded it grows by all that is
  // missing at once.
  std::size_t step(double load, double target, std::size_t size_now, std::size_t lowest, std::size_t highest,
                   bool may_shrink, bool overloaded = false);
};

}  // namespace mothwalk
