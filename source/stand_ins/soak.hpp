// A soak of real processes: troubles drawn from a seed begin and end while callers go on, up to three at a time.
#pragma once
#include "stand_ins/fleet.hpp"

namespace mothwalk {

struct Trouble {
  std::string kind;  // kill, stop, freeze (of a daemon); runner-kill; or a mode of a runner
  std::size_t target = 0;
  Duration at{}, length{};  // from the soak's begin
  std::string text() const;
};

// The troubles of a seed, by their begin. None begins in the first two seconds, all end three seconds before the end;
// no target has two at a time, and never are more daemons with a disk down than the rest of them bears.
std::vector<Trouble> draw_troubles(const Shape& shape, std::uint64_t seed, Duration length);

class Soak {
 public:
  Soak(Fleet& fleet, std::vector<Trouble> troubles) : fleet_(fleet), troubles_(std::move(troubles)) {}
  // Plays the troubles in their time; returns when the last one has ended.
  void play();

 private:
  void begin(const Trouble& trouble);
  void end(const Trouble& trouble);
  void set_mode(std::size_t runner, const std::string& mode);

  Fleet& fleet_;
  std::vector<Trouble> troubles_;
};

// The lines of the daemons' logs that have a text, also of lives that have ended.
std::vector<std::string> lines_in_logs(const Fleet& fleet, const std::string& text);
// How many requests went over connections that their daemons had no right to, as the logs tell.
std::uint64_t strays_in_logs(const Fleet& fleet);

}  // namespace mothwalk
