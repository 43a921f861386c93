// Tests that the status of a response from cached configuration depends on how recent the configuration is, and that a
// changed seed list is taken over from a reread settings file.
#include "host/settings.hpp"
#include "platform/api_handler.hpp"
#include "router_fixture.hpp"

namespace {
int post_status(Fixture& fixture, platform::PlatformApiHandler& handler, const std::string& target) {
  int status = 0;
  ControlRequest request{"POST", target, "{}", true};
  handler.handle(std::move(request), [&](ControlReply reply) { status = reply.status; });
  fixture.wait(std::chrono::milliseconds(10));
  return status;
}
int evacuation_status(platform::PlatformApiHandler& handler, const std::string& zone) {
  int status = 0;
  handler.handle(ControlRequest{"POST", "/v1/Evacuation.Begin/" + zone, "", false},
                 [&](ControlReply reply) { status = reply.status; });
  return status;
}
int readiness_status(platform::PlatformApiHandler& handler) {
  int status = 0;
  handler.handle(ControlRequest{"GET", "/v1/readiness", "", false}, [&](ControlReply reply) { status = reply.status; });
  return status;
}
}  // namespace

TEST_CASE("an unknown path gets 404 only from a daemon with a lease, otherwise 503") {
  Fixture fixture;
  platform::PlatformApiHandler handler(fixture.messenger, fixture.shared_state);
  CHECK(post_status(fixture, handler, "/nowhere") == 404);
  fixture.shared_state.lease_until = fixture.world.now().microseconds - 1;
  CHECK(post_status(fixture, handler, "/nowhere") == 503);
  // Without a lease the daemon keeps serving its last known configuration, which may lack the newest routes.
  fixture.shared_state.lease_renewal_since = fixture.world.now().microseconds - 1100000;
  fixture.shared_state.last_gossip_tick = fixture.world.now().microseconds;
  CHECK(post_status(fixture, handler, "/nowhere") == 503);
}

// Guards against lots and evacuations that a daemon without the current configuration refuses for good.
TEST_CASE("a daemon that knows no routes or may not know all zones answers 503, not 404") {
  Fixture fixture;
  platform::PlatformApiHandler handler(fixture.messenger, fixture.shared_state, {"north"});
  CHECK(evacuation_status(handler, "nowhere") == 404);
  fixture.shared_state.configuration.set(ConfigurationView{});
  CHECK(post_status(fixture, handler, "/nowhere") == 503);
  fixture.shared_state.configuration.set(fixture.view);
  fixture.shared_state.lease_until = -1;
  CHECK(evacuation_status(handler, "nowhere") == 503);
}

TEST_CASE("a daemon suspended while serving its last known configuration is not ready until gossip has run again") {
  Fixture fixture;
  fixture.view.fleet.spec.revision = 1;
  fixture.shared_state.configuration.set(fixture.view);
  platform::PlatformApiHandler handler(fixture.messenger, fixture.shared_state);
  CHECK(readiness_status(handler) == 200);
  const std::int64_t now = fixture.world.now().microseconds;
  fixture.shared_state.lease_until = now - 5000000;
  fixture.shared_state.lease_renewal_since = now - 4000000;
  fixture.shared_state.last_gossip_tick = now - 100000;
  CHECK(readiness_status(handler) == 200);
  fixture.shared_state.last_gossip_tick = now - 700000;
  CHECK(readiness_status(handler) == 503);
}

TEST_CASE("a reread seed list replaces the old one completely or not at all") {
  Settings running;
  running.address = Address("10.0.0.1:7000");
  running.zone = ZoneId("north");
  running.seeds = {Address("10.0.0.1:7000")};
  Settings reread = running;
  reread.seeds = {Address("10.0.0.2:7000"), Address("10.0.0.3:7000")};
  auto result = reloaded_seeds(running, reread);
  REQUIRE(error_of(result) == nullptr);
  CHECK(std::get<std::vector<Address>>(result) == reread.seeds);
  reread.seeds.clear();
  CHECK(error_of(reloaded_seeds(running, reread))->field == "seeds");
  reread = running;
  reread.address = Address("10.0.0.9:7000");
  CHECK(error_of(reloaded_seeds(running, reread))->field == "settings");
  CHECK(error_of(reloaded_seeds(running, Error{ErrorKind::invalid, "seed-list", "", ""}))->field == "seed-list");
}
