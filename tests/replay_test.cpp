// A simulated run is determined by its scenario and seed, so that a failure can be reproduced.
#include <catch2/catch.hpp>

#include "simulate/scenarios.hpp"

using namespace mothwalk;
using namespace mothwalk::simulate;

TEST_CASE("the same scenario and seed give the same run, and another seed gives a different run") {
  Scenario scenario = *find_scenario("mixed");
  scenario.load = std::chrono::seconds(8);
  scenario.settle = std::chrono::seconds(4);
  const Outcome first = run(scenario, 3, "small"), second = run(scenario, 3, "small"),
                other = run(scenario, 4, "small");
  CHECK(first.events == second.events);
  CHECK(first.event_log == second.event_log);
  CHECK(first.frames == second.frames);
  CHECK(first.bytes == second.bytes);
  CHECK(first.events != other.events);
}
