// Runs the scale simulation at small sizes and checks it by message counts and virtual time: traffic per daemon does
// not grow with the number of daemons, changes and lost daemons become known everywhere in time, and sizes out of range
// are refused before the simulation starts.
#include <catch2/catch.hpp>

#include "scale/scale.hpp"

using namespace mothwalk;

namespace {

scale::Size small_size(std::size_t daemons) {
  scale::Size size;
  size.daemons = daemons;
  size.storage = 3;
  size.zones = 3;
  size.runners = 12;
  size.kinds = 2;
  size.lanes = 3;
  size.changes = 3;
  size.window = std::chrono::seconds(3);
  return size;
}

double rate_per_daemon(const scale::Figures& figures, const std::string& message) {
  auto found = figures.messages.find(message);
  return found == figures.messages.end() ? 0
                                         : static_cast<double>(found->second.messages) / figures.seconds /
                                               static_cast<double>(figures.size.daemons);
}

}  // namespace

TEST_CASE("at two fleet sizes, changes and losses become known in time and traffic per daemon does not grow") {
  const scale::Figures small_fleet = scale::run(small_size(12)), large_fleet = scale::run(small_size(24));
  for (const auto* figures : {&small_fleet, &large_fleet}) {
    CHECK(figures->broken.empty());
    CHECK(figures->change.worst <= 2000);
    CHECK(figures->lost_edge <= 2000);
    CHECK(figures->lost_control <= 2000);
    CHECK(rate_per_daemon(*figures, "sessions.beat") <= 5.01);
  }
  CHECK(large_fleet.edge.bytes_out <= small_fleet.edge.bytes_out * 1.1);
  CHECK(large_fleet.storage.bytes_out <= small_fleet.storage.bytes_out * 1.1);
}

TEST_CASE("a size out of range is refused with an error that names the field and a remedy") {
  const std::uint64_t memory = 32ull << 30;
  auto field_of = [&](scale::Size size) {
    auto result = scale::check_size(size, memory);
    const Error* error = error_of(result);
    if (error != nullptr) CHECK_FALSE(error->remedy.empty());
    return error == nullptr ? std::string() : error->field;
  };
  scale::Size size;
  CHECK(field_of(size).empty());
  size.daemons = 11;
  CHECK(field_of(size) == "daemons");
  size.daemons = 100000;
  CHECK(field_of(size) == "daemons");
  size = scale::Size{};
  size.control = 2;
  CHECK(field_of(size) == "control");
  size = scale::Size{};
  size.runners = 100000;
  CHECK(field_of(size) == "runners");
  size = scale::Size{};
  size.zones = 0;
  CHECK(field_of(size) == "zones, kinds, lanes");
  size = scale::Size{};
  size.daemons = 370;
  CHECK(scale::check_size(size, 1ull << 30).index() == 1);
}

TEST_CASE("control daemons whose sessions did not change send each other no sessions, whatever the fleet's size") {
  const scale::Figures small_fleet = scale::run(small_size(12)), large_fleet = scale::run(small_size(48));
  auto bytes_per_exchange = [](const scale::Figures& figures) {
    const auto& exchanges = figures.messages.at("sessions.share");
    return static_cast<double>(exchanges.bytes) / static_cast<double>(exchanges.messages);
  };
  CHECK(bytes_per_exchange(large_fleet) <= bytes_per_exchange(small_fleet) * 1.1);
}
