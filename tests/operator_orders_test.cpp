// Orders of operators through the platform's surface of any daemon: identity, resending, and who may refuse for good.
#include <catch2/catch.hpp>

#include "operators_fixture.hpp"

using namespace mothwalk;
using namespace mothwalk::simulate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A small cluster with the operators' surfaces on it.
struct OperatorCluster {
  explicit OperatorCluster(std::uint64_t seed, const std::string& shape = "small")
      : world(seed), cluster(world, shape_named(shape, 1.0)), surfaces(cluster) {}
  int status(const OperatorRequest& request) { return surfaces.call(cluster.any_alive(), request).status; }

  World world;
  SimulatedCluster cluster;
  OperatorSurfaces surfaces;
};

}  // namespace

TEST_CASE("orders: one that was taken is acknowledged again after hundreds of others", "[orders]") {
  OperatorCluster operators(21);
  REQUIRE(start_and_wait(operators.cluster));
  constexpr std::uint64_t changes = 300;
  for (std::uint64_t number = 1; number <= changes; ++number)
    REQUIRE(operators.status(replace_request(number - 1, number, "first")) == 200);
  for (const std::uint64_t number : {std::uint64_t{1}, std::uint64_t{150}, changes - 40, changes})
    CHECK(operators.status(replace_request(number - 1, number, "first")) == 200);
}

TEST_CASE("orders: of two under one number and base one is confirmed, the other is refused", "[orders]") {
  OperatorCluster operators(22);
  REQUIRE(start_and_wait(operators.cluster));
  std::map<int, int> statuses;
  for (const char* note : {"one", "other"})
    operators.surfaces.send(operators.cluster.any_alive(), replace_request(0, 7, note),
                            [&](OperatorReply reply) { ++statuses[reply.status]; });
  operators.world.run_until(operators.world.now() + seconds(4));
  CHECK(statuses[200] == 1);
  CHECK(statuses[412] == 1);
}
