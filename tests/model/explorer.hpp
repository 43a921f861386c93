// Running one schedule, searching through many, and shrinking one that fails.
#pragma once
#include "model/invariants.hpp"
#include "model/shapes.hpp"

namespace mothwalk::model {

struct RunResult {
  std::optional<Violation> violation;
  std::string histories;
  std::vector<Deviation> applied;  // to messages
  std::unordered_set<std::uint64_t> states;
  std::uint64_t steps = 0;
};
RunResult run_schedule(const Schedule& schedule, PlantedFault fault, std::vector<Cluster::SentMessage>* log = nullptr);

struct Failure {
  std::uint64_t runs = 0;  // until it was found
  Schedule schedule;
  RunResult result;
};
struct Totals {
  std::uint64_t runs = 0, steps = 0;
  std::unordered_set<std::uint64_t> states;
};
// Random schedules of one shape from a seed on; stops at the first failure.
std::optional<Failure> random_walks(const Shape& shape, PlantedFault fault, std::uint64_t seed, std::uint64_t runs,
                                    Totals& totals);
// Every loss, delay and crash at one place, then at two places, around the shape's point; at most so many runs.
std::optional<Failure> exhaustive(const Shape& shape, PlantedFault fault, std::uint64_t most_runs, Totals& totals);
// The same violation with as few deviations as removing one after another gives.
Failure shrink(const Failure& failure, PlantedFault fault);

}  // namespace mothwalk::model
