// The PI controller of the circle's size: it converges to the target load from any start, for every load, even if the
// real load is 0.7 or 1.4 times what the controller's model of it predicts.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

#include "circle/circle.hpp"
#include "circle/pi_controller.hpp"

using namespace mothwalk;

TEST_CASE("the PI controller converges to a size with a load near the target, and stays there") {
  for (double load : {0.5, 3.0, 6.0, 11.0, 20.0})
    for (std::size_t start : {2u, 8u, 40u})
      for (double slope : {0.7, 1.0, 1.4}) {
        PiController controller;
        controller.size = static_cast<double>(start);
        std::size_t size = start;
        std::size_t last = 0, late_changes = 0;
        for (int cycle = 0; cycle < 60; ++cycle) {
          last = size;
          size = controller.next_size(slope * load / static_cast<double>(size), 0.6, size, 2, 40, true);
          if (cycle >= 40) late_changes += size != last;
        }
        INFO("load " << load << " start " << start << " slope " << slope << " size " << size);
        const double wanted = std::clamp(slope * load / 0.6, 2.0, 40.0);
        CHECK(std::abs(static_cast<double>(size) - wanted) <= 1.01);
        CHECK(late_changes == 0);
      }
}

TEST_CASE("a surge of load grows the circle within a few cycles and without integral wind-up") {
  PiController controller;
  controller.size = 4;
  std::size_t size = 4, cycles = 0;
  while (size < 16 && cycles < 20) {
    size = controller.next_size(10.0 / static_cast<double>(size), 0.6, size, 2, 16, true);
    ++cycles;
  }
  CHECK(cycles <= 6);
  // Ten cycles at the maximum size under a load that calls for far more runners; then the load falls.
  for (int cycle = 0; cycle < 10; ++cycle)
    size = controller.next_size(60.0 / static_cast<double>(size), 0.6, size, 2, 16, true);
  CHECK(size == 16);
  cycles = 0;
  while (size > 6 && cycles < 30) {
    size = controller.next_size(3.0 / static_cast<double>(size), 0.6, size, 2, 16, true);
    ++cycles;
  }
  CHECK(cycles <= 8);
}

TEST_CASE("on incomplete data the circle never shrinks") {
  PiController controller;
  controller.size = 8;
  for (int cycle = 0; cycle < 10; ++cycle) CHECK(controller.next_size(0.01, 0.6, 8, 2, 16, false) == 8);
}

TEST_CASE("the load is the open and queued prompts divided by the slots of the members only") {
  ConfigurationView view;
  for (const char* name : {"one", "two", "three"}) {
    const Bytes spec = R"({"kind":"model","address":"10.0.0.1:80","zone":"h","slots":4})";
    REQUIRE(apply_to_view(view, std::string("runner/") + name, &spec, Stamp{}));
  }
  const std::map<std::string, std::uint32_t> open{{"one", 2}, {"two", 2}, {"three", 4}};
  CHECK(relative_load(open, 0, {RunnerId("one"), RunnerId("two")}, view.runners) == Approx(0.5));
  CHECK(relative_load(open, 4, {RunnerId("one"), RunnerId("two")}, view.runners) == Approx(1.0));
  CHECK(relative_load(open, 4, {}, view.runners) == 0);
}
