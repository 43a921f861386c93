// What a daemon says out of its own memory, by how fresh that is, and seeds that are read again.
#include "host/settings.hpp"
#include "platform/surface.hpp"
#include "router_fixture.hpp"

namespace {
int posted(Fixture& fixture, platform::PlatformApiHandler& surface, const std::string& target) {
  int status = 0;
  ControlRequest request{"POST", target, "{}", true};
  surface.handle(std::move(request), [&](ControlReply reply) { status = reply.status; });
  fixture.wait(std::chrono::milliseconds(10));
  return status;
}
int readiness(platform::PlatformApiHandler& surface) {
  int status = 0;
  surface.handle(ControlRequest{"GET", "/v1/readiness", "", false}, [&](ControlReply reply) { status = reply.status; });
  return status;
}
}  // namespace

TEST_CASE("only a daemon with a lease says that there is no such route") {
  Fixture fixture;
  platform::PlatformApiHandler surface(fixture.messenger, fixture.shared_state);
  CHECK(posted(fixture, surface, "/nowhere") == 404);
  fixture.shared_state.lease_until = fixture.world.now().microseconds - 1;
  CHECK(posted(fixture, surface, "/nowhere") == 503);
  // Serving statically, it may still lack the newest routes.
  fixture.shared_state.lease_sought_since = fixture.world.now().microseconds - 1100000;
  fixture.shared_state.gossip_tick = fixture.world.now().microseconds;
  CHECK(posted(fixture, surface, "/nowhere") == 503);
}

TEST_CASE("a daemon that was frozen while it served statically is not ready before its news has run") {
  Fixture fixture;
  fixture.view.fleet.spec.revision = 1;
  fixture.shared_state.configuration.set(fixture.view);
  platform::PlatformApiHandler surface(fixture.messenger, fixture.shared_state);
  CHECK(readiness(surface) == 200);
  const std::int64_t now = fixture.world.now().microseconds;
  fixture.shared_state.lease_until = now - 5000000;
  fixture.shared_state.lease_sought_since = now - 4000000;
  fixture.shared_state.gossip_tick = now - 100000;
  CHECK(readiness(surface) == 200);
  fixture.shared_state.gossip_tick = now - 700000;
  CHECK(readiness(surface) == 503);
}

TEST_CASE("seeds that are read again are taken whole or not at all") {
  Settings running;
  running.address = Address("10.0.0.1:7000");
  running.zone = ZoneId("north");
  running.seeds = {Address("10.0.0.1:7000")};
  Settings again = running;
  again.seeds = {Address("10.0.0.2:7000"), Address("10.0.0.3:7000")};
  auto taken = seeds_read_again(running, again);
  REQUIRE(error_of(taken) == nullptr);
  CHECK(std::get<std::vector<Address>>(taken) == again.seeds);
  again.seeds.clear();
  CHECK(error_of(seeds_read_again(running, again))->field == "seeds");
  again = running;
  again.address = Address("10.0.0.9:7000");
  CHECK(error_of(seeds_read_again(running, again))->field == "settings");
  CHECK(error_of(seeds_read_again(running, Error{ErrorKind::invalid, "seed-list", "", ""}))->field == "seed-list");
}
