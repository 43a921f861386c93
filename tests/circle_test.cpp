// The PI law: it settles at the medium load from any start, for every load and a wide error of the model's slope.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

#include "circle/circle.hpp"
#include "circle/pi_controller.hpp"

using namespace mothwalk;

TEST_CASE("the law settles where the load is near the target, and stays there") {
  for (double load : {0.5, 3.0, 6.0, 11.0, 20.0})
    for (std::size_t start : {2u, 8u, 40u})
      for (double slope : {0.7, 1.0, 1.4}) {
        PiController law;
        law.size = static_cast<double>(start);
        std::size_t size = start;
        std::size_t last = 0, moves_late = 0;
        for (int cycle = 0; cycle < 60; ++cycle) {
          last = size;
          size = law.step(slope * load / static_cast<double>(size), 0.6, size, 2, 40, true);
          if (cycle >= 40) moves_late += size != last;
        }
        INFO("load " << load << " start " << start << " slope " << slope << " size " << size);
        const double wanted = std::clamp(slope * load / 0.6, 2.0, 40.0);
        CHECK(std::abs(static_cast<double>(size) - wanted) <= 1.01);
        CHECK(moves_late == 0);
      }
}

TEST_CASE("a surge grows the circle within few cycles and without winding up") {
  PiController law;
  law.size = 4;
  std::size_t size = 4, cycles = 0;
  while (size < 16 && cycles < 20) {
    size = law.step(10.0 / static_cast<double>(size), 0.6, size, 2, 16, true);
    ++cycles;
  }
  CHECK(cycles <= 6);
  // Ten cycles at the ceiling under a load that would want far more; then the load falls.
  for (int cycle = 0; cycle < 10; ++cycle) size = law.step(60.0 / static_cast<double>(size), 0.6, size, 2, 16, true);
  CHECK(size == 16);
  cycles = 0;
  while (size > 6 && cycles < 30) {
    size = law.step(3.0 / static_cast<double>(size), 0.6, size, 2, 16, true);
    ++cycles;
  }
  CHECK(cycles <= 8);
}

TEST_CASE("on incomplete data the circle never shrinks") {
  PiController law;
  law.size = 8;
  for (int cycle = 0; cycle < 10; ++cycle) CHECK(law.step(0.01, 0.6, 8, 2, 16, false) == 8);
}

TEST_CASE("load counts open and queued prompts over the members' slots alone") {
  ConfigurationView view;
  for (const char* name : {"one", "two", "three"}) {
    const Bytes spec = R"({"kind":"model","address":"10.0.0.1:80","zone":"h","slots":4})";
    REQUIRE(put_in_view(view, std::string("runner/") + name, &spec, Stamp{}));
  }
  const std::map<std::string, std::uint32_t> open{{"one", 2}, {"two", 2}, {"three", 4}};
  CHECK(load_of(open, 0, {RunnerId("one"), RunnerId("two")}, view.runners) == Approx(0.5));
  CHECK(load_of(open, 4, {RunnerId("one"), RunnerId("two")}, view.runners) == Approx(1.0));
  CHECK(load_of(open, 4, {}, view.runners) == 0);
}
