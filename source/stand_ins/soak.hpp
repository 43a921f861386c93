// A soak test with real processes: while clients send load, faults drawn from a seed are injected and cleared. At most
// three faults are active at a time.
#pragma once
#include "stand_ins/fleet.hpp"

namespace mothwalk {

struct InjectedFault {
  // For a daemon: kill, stop or freeze. For a runner: runner-kill, or a mode of stand-in-runner.
  std::string kind;
  // The index of the machine or of the runner in the fleet's shape.
  std::size_t target = 0;
  // The start is relative to the start of the soak test.
  Duration start{}, length{};
  std::string description() const;
};

// Draws the faults of a seed, ordered by their start. No fault starts in the first two seconds, and all faults end
// three seconds before the soak test does. A target has at most one fault at a time, and a majority of the daemons with
// a disk always runs without a fault.
std::vector<InjectedFault> draw_faults(const Shape& shape, std::uint64_t seed, Duration soak_length);

class Soak {
 public:
  Soak(Fleet& fleet, std::vector<InjectedFault> faults) : fleet_(fleet), faults_(std::move(faults)) {}
  // Injects and clears each fault at its time. Returns when the last fault has been cleared.
  void run();

 private:
  void inject(const InjectedFault& fault);
  void clear(const InjectedFault& fault);
  void set_runner_mode(std::size_t runner, const std::string& mode);

  Fleet& fleet_;
  std::vector<InjectedFault> faults_;
};

// Returns the lines of the daemons' logs that contain the text, including those of earlier incarnations.
std::vector<std::string> log_lines_containing(const Fleet& fleet, const std::string& text);
// Returns how many requests were sent over connections beyond their daemon's share of a runner's connections, as the
// logs report it.
std::uint64_t over_share_requests_in_logs(const Fleet& fleet);

}  // namespace mothwalk
