// The simulator's connections: runners reset those over their limit, and daemons keep and close idle ones as the
// product's exchange does.
#include <catch2/catch.hpp>

#include "simulate/simulated_connections.hpp"

using namespace mothwalk;
using namespace mothwalk::simulate;
using std::chrono::milliseconds;

namespace {

constexpr Duration closing = milliseconds(1);

struct Daemon {
  explicit Daemon(World& given) : world(given), pool(std::make_unique<SimulatedConnectionPool>(given, life)) {}
  World& world;
  LifePointer life = std::make_shared<Life>();
  std::unique_ptr<SimulatedConnectionPool> pool;

  // A connection that has come to the runner; null: it was reset.
  SimulatedConnectionPointer connect(RunnerConnections& runner, std::uint32_t bound = 0) {
    auto connection = pool->open("runner", runner, closing, bound);
    return pool->arrive(connection) ? connection : nullptr;
  }
  void wait(Duration span) { world.run_until(world.now() + span); }
};

}  // namespace

TEST_CASE("a runner resets the connections over its limit, whoever opens them, and counts them") {
  World world{1};
  Daemon first(world), second(world);
  RunnerConnections runner(3);
  REQUIRE(first.connect(runner));
  REQUIRE(first.connect(runner));
  const auto third = second.connect(runner);
  REQUIRE(third);
  CHECK_FALSE(second.connect(runner));
  CHECK((runner.resets() == 1 && runner.open() == 3 && runner.most_open() == 3));
  CHECK(second.pool->open_to("runner") == 1);
  second.pool->close(third);
  CHECK(runner.open() == 3);  // until it has seen the end
  second.wait(closing);
  CHECK(runner.open() == 2);
  CHECK(second.connect(runner));
  CHECK((runner.resets() == 1 && runner.most_open() == 3));
}

TEST_CASE("an idle connection counts at its runner until the daemon closes it after three quarters of the idle time") {
  World world{1};
  Daemon daemon(world);
  const Duration stated = GENERATE(Duration{}, Duration(milliseconds(4000)));
  RunnerConnections runner = stated > Duration{} ? RunnerConnections(1, stated) : RunnerConnections(1);
  const Duration idle = stated > Duration{} ? stated : Duration(milliseconds(800));
  daemon.pool->keep(daemon.connect(runner));
  daemon.wait(idle * 3 / 4 - milliseconds(1));
  CHECK(runner.open() == 1);
  CHECK_FALSE(Daemon(world).connect(runner));
  daemon.wait(milliseconds(1) + closing);
  CHECK(runner.open() == 0);
  CHECK(daemon.pool->open_to("runner") == 0);
}

TEST_CASE("the idle connection used last is used again; after half of the idle time by repeatable work alone") {
  World world{1};
  Daemon daemon(world);
  RunnerConnections runner(8);
  const auto first = daemon.connect(runner), second = daemon.connect(runner);
  daemon.pool->keep(second);
  daemon.pool->keep(first);
  CHECK(daemon.pool->take_idle("another", true) == nullptr);
  CHECK(daemon.pool->take_idle("runner", false) == first);
  daemon.pool->keep(first);
  daemon.wait(milliseconds(401));
  CHECK(daemon.pool->take_idle("runner", false) == nullptr);
  CHECK(daemon.pool->take_idle("runner", true) == first);
  CHECK(daemon.pool->take_idle("runner", true) == second);
  CHECK(daemon.pool->take_idle("runner", true) == nullptr);
  // One that is in use is not closed by the time that it was kept until.
  daemon.wait(milliseconds(400));
  CHECK(runner.open() == 2);
}

TEST_CASE("a fresh connection over the daemon's bound closes the oldest idle one, and none that is in use") {
  World world{1};
  Daemon daemon(world);
  RunnerConnections runner(8);
  const auto oldest = daemon.connect(runner, 2), newest = daemon.connect(runner, 2);
  daemon.pool->keep(oldest);
  daemon.pool->keep(newest);
  daemon.connect(runner, 2);
  CHECK((oldest->closed && !newest->closed));
  daemon.pool->take_idle("runner", true);
  daemon.connect(runner, 2);
  CHECK_FALSE(newest->closed);
  CHECK(daemon.pool->open_to("runner") == 3);
}

TEST_CASE("connections of a runner that restarted are not used again, and are not released twice") {
  World world{1};
  Daemon daemon(world);
  RunnerConnections runner(2);
  daemon.pool->keep(daemon.connect(runner));
  runner.restart();
  CHECK(runner.open() == 0);
  CHECK(daemon.pool->take_idle("runner", true) == nullptr);
  REQUIRE(daemon.connect(runner));
  daemon.wait(milliseconds(10));
  CHECK(runner.open() == 1);
}

TEST_CASE("a daemon that dies closes its connections; one that is frozen keeps the idle ones until it wakes") {
  World world{1};
  Daemon dying(world), frozen(world);
  RunnerConnections runner(4);
  dying.pool->keep(dying.connect(runner));
  REQUIRE(dying.connect(runner));
  frozen.pool->keep(frozen.connect(runner));
  dying.life->alive = false;
  dying.pool.reset();
  world.freeze(frozen.life);
  frozen.wait(milliseconds(2000));
  CHECK(runner.open() == 1);
  world.wake(frozen.life);
  frozen.wait(closing);
  CHECK(runner.open() == 0);
}
