// Runs a schedule, searches many schedules for a violation, and shrinks a schedule that shows one.
#pragma once
#include "model/invariants.hpp"
#include "model/shapes.hpp"

namespace mothwalk::model {

// The result of one run. `histories` lists the operators' calls as text; `states` has a hash of each state reached.
struct RunResult {
  std::optional<Violation> violation;
  std::string histories;
  std::vector<Deviation> applied;  // the deviations that affected messages
  std::unordered_set<std::uint64_t> states;
  std::uint64_t steps = 0;
};
// Runs the schedule on its shape. `log`, if given, receives the messages between machines.
RunResult run_schedule(const Schedule& schedule, PlantedFault fault, std::vector<Cluster::SentMessage>* log = nullptr);

// A schedule that violates an invariant, with the result of its run.
struct Failure {
  std::uint64_t runs = 0;  // the number of runs until the failure was found
  Schedule schedule;
  RunResult result;
};
// Sums over several runs; `states` are the distinct states that all runs have reached.
struct Totals {
  std::uint64_t runs = 0, steps = 0;
  std::unordered_set<std::uint64_t> states;
};
// Runs random schedules of a shape with consecutive seeds, beginning with `seed`. Stops at the first failure.
std::optional<Failure> run_random_schedules(const Shape& shape, PlantedFault fault, std::uint64_t seed,
                                            std::uint64_t runs, Totals& totals);
// Runs every single loss, delay, crash and suspension around the time Shape::exhaustive_from, then every pair of them,
// up to `max_runs` runs.
std::optional<Failure> run_exhaustive_search(const Shape& shape, PlantedFault fault, std::uint64_t max_runs,
                                             Totals& totals);
// Removes deviations from a failing schedule as long as the same invariant is still violated.
Failure shrink(const Failure& failure, PlantedFault fault);

}  // namespace mothwalk::model
