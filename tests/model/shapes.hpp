// The shapes that model-check explores. A shape is a set of machines, what the operators do, and the deviations that
// all its schedules have in common.
#pragma once
#include "model/cluster.hpp"
#include "model/operators.hpp"

namespace mothwalk::model {

struct Shape {
  std::string name, about;  // `about` describes the shape in the output of --list
  std::vector<MachineSetup> machines;
  std::vector<std::string> voters;  // of the initial roster; none if the founding of the roster is explored
  std::vector<std::string> seeds;
  std::vector<OperatorPlan> operators;
  std::vector<Deviation> deviations;  // part of each generated schedule

  // In milliseconds of virtual time: random deviations begin between the first two times, and all faults end at the
  // third.
  std::int64_t deviations_from = 1000, deviations_until = 6500, faults_end_at = 7000;
  // The exhaustive search varies the messages from the first request for a promise at or after this time.
  std::int64_t exhaustive_from = 1000;
  bool must_recover = true;  // whether every daemon has to answer reads after all faults have ended
};

const std::vector<Shape>& shapes();
const Shape* shape_named(const std::string& name);
// Returns a schedule of the shape's own deviations and random ones.
Schedule random_schedule(const Shape& shape, std::uint64_t seed);

}  // namespace mothwalk::model
