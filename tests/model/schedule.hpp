// A schedule lists the deviations of a run from a run without faults. It is generated from a seed, can be written and
// read as text, replayed and shrunk.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk::model {

enum class DeviationKind {
  lose,       // a message is lost
  delay,      // a message arrives `length` milliseconds later
  crash,      // a machine crashes at `at` and restarts after `length`; `mask` selects the unsynced writes that it keeps
  wipe,       // a machine crashes and restarts with an empty disk
  suspend,    // a machine's process is suspended from `at` for `length` milliseconds
  partition,  // all messages from one machine to another are lost from `at` for `length` milliseconds
  slow_disk,  // a machine's syncs take 300 ms each from `at` for `length` milliseconds
};

// A single fault. The fields that a kind does not mention are unused.
struct Deviation {
  DeviationKind kind = DeviationKind::lose;
  std::string target;       // a message's name, a machine, or "from>to" for a partition; "*" stands for all machines
  std::int64_t at = 0;      // milliseconds of virtual time
  std::int64_t length = 0;  // milliseconds
  std::uint32_t mask = 0;
  auto operator<=>(const Deviation&) const = default;
};

struct Schedule {
  std::string shape;
  std::uint64_t latency_seed = 0;                       // 0: all messages have the same latency
  std::uint32_t lose_permille = 0, delay_permille = 0;  // rates for messages that no deviation names
  std::vector<Deviation> deviations;
};

// The text form, in which schedules are printed and given to --replay.
std::string write_schedule(const Schedule& schedule);
std::optional<Schedule> read_schedule(const std::string& text);

}  // namespace mothwalk::model
