// The scale run at a small size, by counts and virtual time: what each daemon sends does not grow with the fleet where
// it should not, changes and losses are known in time, and sizes that do not fit are refused before anything starts.
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

double of_each(const scale::Figures& figures, const std::string& message) {
  auto found = figures.messages.find(message);
  return found == figures.messages.end() ? 0
                                         : static_cast<double>(found->second.messages) / figures.seconds /
                                               static_cast<double>(figures.size.daemons);
}

}  // namespace

TEST_CASE(
    "at two sizes of a fleet, changes and losses are known in time and no daemon sends more for there being others") {
  const scale::Figures few = scale::run(small_size(12)), more = scale::run(small_size(24));
  for (const auto* figures : {&few, &more}) {
    CHECK(figures->broken.empty());
    CHECK(figures->change.worst <= 2000);
    CHECK(figures->lost_edge <= 2000);
    CHECK(figures->lost_control <= 2000);
    CHECK(of_each(*figures, "sessions.beat") <= 5.01);
  }
  CHECK(more.edge.bytes_out <= few.edge.bytes_out * 1.1);
  CHECK(more.storage.bytes_out <= few.storage.bytes_out * 1.1);
}

TEST_CASE("a size that does not fit is refused with its bound and a remedy") {
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

TEST_CASE("control daemons that nothing moved at tell each other no sessions, however many these are") {
  const scale::Figures few = scale::run(small_size(12)), more = scale::run(small_size(48));
  auto share_bytes = [](const scale::Figures& figures) {
    const auto& shares = figures.messages.at("sessions.share");
    return static_cast<double>(shares.bytes) / static_cast<double>(shares.messages);
  };
  CHECK(share_bytes(more) <= share_bytes(few) * 1.1);
}
