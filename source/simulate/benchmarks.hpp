// Benchmarks in the simulator. They print figures and check nothing.
#pragma once
#include "simulate/cluster.hpp"

namespace mothwalk::simulate {

// Compares the circle (a small active set of runners for live requests) with round-robin over all runners.
void benchmark_circle(const std::string& shape, std::uint64_t seed);
// Prints the load of four model runners at increasing request rates, and fits two lines to it.
void benchmark_model(std::uint64_t seed);
// Prints the messages and bytes that each daemon sends without load, by the number of daemons.
void benchmark_costs(std::uint64_t seed);

}  // namespace mothwalk::simulate
