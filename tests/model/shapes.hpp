// The shapes that are explored: which machines there are, what operators do, and the trouble around which the search
// goes.
#pragma once
#include "model/cluster.hpp"
#include "model/operators.hpp"

namespace mothwalk::model {

struct Shape {
  std::string name, about;
  std::vector<MachineSetup> machines;
  std::vector<std::string> seats;  // of the roster founded before; none where the founding itself is explored
  std::vector<std::string> seeds;
  std::vector<OperatorPlan> operators;
  std::vector<Deviation> trouble;  // in each schedule that is generated
  std::int64_t trouble_from = 1000, trouble_until = 6500, heal_at = 7000;
  std::int64_t point = 1000;  // the exhaustive search begins with the first promise asked for from here on
  bool must_recover = true;
};

const std::vector<Shape>& shapes();
const Shape* shape_named(const std::string& name);
// A schedule of random deviations around the shape's own trouble.
Schedule random_schedule(const Shape& shape, std::uint64_t seed);

}  // namespace mothwalk::model
