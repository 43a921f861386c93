// A schedule: what the world does differently from its plain course. It is generated from a seed, recorded as text,
// replayed and shrunk.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk::model {

enum class DeviationKind {
  lose,    // a message is dropped
  delay,   // a message arrives later, by `length` milliseconds
  crash,   // a machine dies at `at`, keeps the syncs under way that `mask` names, and returns after `length`
  wipe,    // as a crash, and the disk is empty afterwards
  freeze,  // a machine stands still from `at` for `length` milliseconds
  cut,     // nothing passes from one machine to another from `at` for `length` milliseconds
  slow,    // a machine's syncs take 300 ms each from `at` for `length` milliseconds
};

struct Deviation {
  DeviationKind kind = DeviationKind::lose;
  std::string target;       // a message's name, a machine, or "from>to" for a cut; "*" stands for all others
  std::int64_t at = 0;      // milliseconds of virtual time
  std::int64_t length = 0;  // milliseconds
  std::uint32_t mask = 0;
  auto operator<=>(const Deviation&) const = default;
};

struct Schedule {
  std::string shape;
  std::uint64_t latency_seed = 0;                       // 0: every message takes the same time
  std::uint32_t lose_permille = 0, delay_permille = 0;  // of messages, besides those that are named
  std::vector<Deviation> deviations;
};

std::string write_schedule(const Schedule& schedule);
std::optional<Schedule> read_schedule(const std::string& text);

}  // namespace mothwalk::model
