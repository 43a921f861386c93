// One update of the PI controller, with a dead band, a limited rate of change and clamping against integral wind-up.
#include "circle/pi_controller.hpp"

#include <algorithm>
#include <cmath>

namespace mothwalk {

std::size_t PiController::next_size(double load, double target, std::size_t current_size, std::size_t min_size,
                                    std::size_t max_size, bool may_shrink, bool overloaded) {
  const double current = static_cast<double>(current_size);
  if (std::abs(size - current) > 1.0) size = current;
  double error = current * load / target - current;
  if (std::abs(error) < dead_band) error = 0;
  const double pi_change = integral_gain * error + proportional_gain * (error - last_error);
  const double change = overloaded ? std::max(error, pi_change) : pi_change;
  const double max_increase = std::max(2.0, overloaded ? error : current * 0.5),
               max_decrease = std::max(1.0, current * 0.25);
  last_error = error;
  double next = size + std::clamp(change, -max_decrease, max_increase);
  if (!may_shrink) next = std::max(next, current);
  size = std::clamp(next, static_cast<double>(min_size), static_cast<double>(std::max(min_size, max_size)));
  // Rounds up while runners are missing: too small a circle delays clients, too large a circle costs only one runner.
  return static_cast<std::size_t>(error > 0 ? std::ceil(size - 0.25) : std::lround(size));
}

}  // namespace mothwalk
