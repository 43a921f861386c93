// Measurements in the simulator: the circle against plain round-robin, the runner's load against the offered rate, and
// what membership costs. They print figures and judge nothing.
#pragma once
#include "simulate/cluster.hpp"

namespace mothwalk::simulate {

void bench_circle(const std::string& shape, std::uint64_t seed);
void bench_model(std::uint64_t seed);
void bench_costs(std::uint64_t seed);

}  // namespace mothwalk::simulate
