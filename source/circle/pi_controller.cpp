// One step of the PI law, with dead band, limits on the step and clamping against wind-up.
#include "circle/pi_controller.hpp"

#include <algorithm>
#include <cmath>

namespace mothwalk {

std::size_t PiController::step(double load, double target, std::size_t size_now, std::size_t lowest,
                               std::size_t highest, bool may_shrink, bool overloaded) {
  const double now = static_cast<double>(size_now);
  if (std::abs(size - now) > 1.0) size = now;
  double error = now * load / target - now;
  if (std::abs(error) < dead_band) error = 0;
  const double law_change = integral_gain * error + proportional_gain * (error - last_error);
  const double change = overloaded ? std::max(error, law_change) : law_change;
  const double up = std::max(2.0, overloaded ? error : now * 0.5), down = std::max(1.0, now * 0.25);
  last_error = error;
  double next = size + std::clamp(change, -down, up);
  if (!may_shrink) next = std::max(next, now);
  size = std::clamp(next, static_cast<double>(lowest), static_cast<double>(std::max(lowest, highest)));
  // Rounding up while runners are missing: too small hurts callers, too large costs a runner.
  return static_cast<std::size_t>(error > 0 ? std::ceil(size - 0.25) : std::lround(size));
}

}  // namespace mothwalk
