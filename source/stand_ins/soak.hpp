// A soak of real processes: troubles drawn from a seed begin and end while callers go on, up to three at a time.
#pragma once
#include "stand_ins/fleet.hpp"

namespace mothwalk {

struct InjectedFault {
  std::string kind;  // kill, stop, freeze (of a daemon); runner-kill; or a mode of a runner
  std::size_t target = 0;
  Duration start{}, length{};  // from the soak's begin
  std::string description() const;
};

// The troubles of a seed, by their begin. None begins in the first two seconds, all end three seconds before the end;
// no target has two at a time, and never are more daemons with a disk down than the rest of them bears.
std::vector<InjectedFault> draw_faults(const Shape& shape, std::uint64_t seed, Duration soak_length);

class Soak {
 public:
  Soak(Fleet& fleet, std::vector<InjectedFault> faults) : fleet_(fleet), faults_(std::move(faults)) {}
  // Plays the troubles in their time; returns when the last one has ended.
  void run();

 private:
  void inject(const InjectedFault& fault);
  void clear(const InjectedFault& fault);
  void set_runner_mode(std::size_t runner, const std::string& mode);

  Fleet& fleet_;
  std::vector<InjectedFault> faults_;
};

// The lines of the daemons' logs that have a text, also of lives that have ended.
std::vector<std::string> log_lines_containing(const Fleet& fleet, const std::string& text);
// How many requests went over connections that their daemons had no right to, as the logs tell.
std::uint64_t over_share_requests_in_logs(const Fleet& fleet);

}  // namespace mothwalk
