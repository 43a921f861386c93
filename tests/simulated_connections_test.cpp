// The simulator's connections: runners reset connections over their limit, and daemons keep and close idle connections
// as the daemon's own runner client does.
#include <catch2/catch.hpp>

#include "simulate/simulated_connections.hpp"

using namespace mothwalk;
using namespace mothwalk::simulate;
using std::chrono::milliseconds;

namespace {

constexpr Duration close_delay = milliseconds(1);

struct Daemon {
  explicit Daemon(World& given) : world(given), pool(std::make_unique<SimulatedConnectionPool>(given, process)) {}
  World& world;
  ProcessPointer process = std::make_shared<ProcessState>();
  std::unique_ptr<SimulatedConnectionPool> pool;

  // Opens a connection to the runner; null if the runner has reset it.
  SimulatedConnectionPointer connect(RunnerConnections& runner, std::uint32_t max_open = 0) {
    auto connection = pool->open("runner", runner, close_delay, max_open);
    return pool->reach_runner(connection) ? connection : nullptr;
  }
  void wait(Duration span) { world.run_until(world.now() + span); }
};

}  // namespace

TEST_CASE("a runner resets and counts connections over its limit, whichever daemon opens them") {
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
  CHECK(runner.open() == 3);  // The runner notices the close only after the delay.
  second.wait(close_delay);
  CHECK(runner.open() == 2);
  CHECK(second.connect(runner));
  CHECK((runner.resets() == 1 && runner.most_open() == 3));
}

TEST_CASE(
    "an idle connection counts towards the limit until the daemon closes it after three quarters of the idle time") {
  World world{1};
  Daemon daemon(world);
  const Duration announced = GENERATE(Duration{}, Duration(milliseconds(4000)));
  RunnerConnections runner = announced > Duration{} ? RunnerConnections(1, announced) : RunnerConnections(1);
  const Duration idle = announced > Duration{} ? announced : Duration(milliseconds(800));
  daemon.pool->make_idle(daemon.connect(runner));
  daemon.wait(idle * 3 / 4 - milliseconds(1));
  CHECK(runner.open() == 1);
  CHECK_FALSE(Daemon(world).connect(runner));
  daemon.wait(milliseconds(1) + close_delay);
  CHECK(runner.open() == 0);
  CHECK(daemon.pool->open_to("runner") == 0);
}

TEST_CASE("the most recently used idle connection is reused; after half of the idle time only by repeatable requests") {
  World world{1};
  Daemon daemon(world);
  RunnerConnections runner(8);
  const auto first = daemon.connect(runner), second = daemon.connect(runner);
  daemon.pool->make_idle(second);
  daemon.pool->make_idle(first);
  CHECK(daemon.pool->take_idle("another", true) == nullptr);
  CHECK(daemon.pool->take_idle("runner", false) == first);
  daemon.pool->make_idle(first);
  daemon.wait(milliseconds(401));
  CHECK(daemon.pool->take_idle("runner", false) == nullptr);
  CHECK(daemon.pool->take_idle("runner", true) == first);
  CHECK(daemon.pool->take_idle("runner", true) == second);
  CHECK(daemon.pool->take_idle("runner", true) == nullptr);
  // A connection in use again is not closed when the idle time of its earlier use has passed.
  daemon.wait(milliseconds(400));
  CHECK(runner.open() == 2);
}

TEST_CASE("a new connection over the daemon's limit closes the oldest idle one, and none that is in use") {
  World world{1};
  Daemon daemon(world);
  RunnerConnections runner(8);
  const auto oldest = daemon.connect(runner, 2), newest = daemon.connect(runner, 2);
  daemon.pool->make_idle(oldest);
  daemon.pool->make_idle(newest);
  daemon.connect(runner, 2);
  CHECK((oldest->closed && !newest->closed));
  daemon.pool->take_idle("runner", true);
  daemon.connect(runner, 2);
  CHECK_FALSE(newest->closed);
  CHECK(daemon.pool->open_to("runner") == 3);
}

TEST_CASE("connections of a runner that has restarted are not reused, and are not released twice") {
  World world{1};
  Daemon daemon(world);
  RunnerConnections runner(2);
  daemon.pool->make_idle(daemon.connect(runner));
  runner.restart();
  CHECK(runner.open() == 0);
  CHECK(daemon.pool->take_idle("runner", true) == nullptr);
  REQUIRE(daemon.connect(runner));
  daemon.wait(milliseconds(10));
  CHECK(runner.open() == 1);
}

TEST_CASE("a daemon that dies closes its connections; a frozen one keeps idle connections until it resumes") {
  World world{1};
  Daemon dying(world), frozen(world);
  RunnerConnections runner(4);
  dying.pool->make_idle(dying.connect(runner));
  REQUIRE(dying.connect(runner));
  frozen.pool->make_idle(frozen.connect(runner));
  dying.process->alive = false;
  dying.pool.reset();
  world.suspend(frozen.process);
  frozen.wait(milliseconds(2000));
  CHECK(runner.open() == 1);
  world.resume(frozen.process);
  frozen.wait(close_delay);
  CHECK(runner.open() == 0);
}
