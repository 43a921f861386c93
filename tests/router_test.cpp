// Live requests against a mocked exchange: the three outcomes, when another attempt is allowed, and what callers see.
#include "router_fixture.hpp"

TEST_CASE("the runner's answer is given as it came, within the circle, without hop-by-hop headers") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 6);
  std::vector<std::shared_ptr<Seen>> all;
  for (int count = 0; count < 6; ++count) all.push_back(fixture.ask("/pay"));
  REQUIRE(fixture.attempts.size() == 6);
  std::map<std::string, int> spread;
  for (auto& attempt : fixture.attempts) {
    ++spread[attempt.request.to.text];
    for (const auto& header : attempt.request.headers) CHECK(header.name == "X-Request-Id");
  }
  // Even over the circle, and nothing outside it.
  CHECK(spread.size() == 3);
  for (const auto& [address, count] : spread) CHECK((count == 2 && address != "10.0.1.4:80"));
  fixture.attempts[0].watcher->on_head(418, {{"X-Own", "1"}});
  fixture.attempts[0].watcher->on_chunk("short and stout");
  fixture.attempts[0].watcher->on_end(AttemptOutcome::whole);
  CHECK((all[0]->status == 418 && all[0]->outcome == "answer" && all[0]->text == "short and stout" && all[0]->ended &&
         !all[0]->broken));
}

TEST_CASE("unrepeatable work that may have run is unknown and is never sent again") {
  for (auto [end, status] : {std::pair{AttemptOutcome::broken, 502}, {AttemptOutcome::late, 504}}) {
    Fixture fixture;
    EXPECT_ATTEMPTS(fixture, 1);
    auto seen = fixture.ask("/pay");
    fixture.attempts[0].watcher->on_end(end);
    CHECK((seen->status == status && seen->outcome == "unknown" && seen->ended));
    fixture.wait(std::chrono::seconds(2));
  }
}

TEST_CASE("work that was not sent, or that the runner refused, goes to another runner; then it is refused") {
  for (bool refusal : {false, true}) {
    Fixture fixture;
    ALLOW_CALL(fixture.exchange, cancel(_));
    EXPECT_ATTEMPTS(fixture, 3);
    auto seen = fixture.ask("/pay");
    for (std::size_t attempt = 0; attempt < 3; ++attempt) {
      REQUIRE(fixture.attempts.size() == attempt + 1);
      if (refusal)
        fixture.attempts[attempt].watcher->on_head(429, {});
      else
        fixture.attempts[attempt].watcher->on_end(AttemptOutcome::not_sent);
    }
    CHECK((seen->status == 503 && seen->outcome == "refused" && !seen->retry_after.empty() && seen->ended));
    std::set<std::string> used;
    for (const auto& attempt : fixture.attempts) used.insert(attempt.request.to.text);
    CHECK(used.size() == 3);
  }
}

TEST_CASE("repeatable work goes again until its retries are used; never once a piece was passed on") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 4);
  auto seen = fixture.ask("/tell");
  for (std::size_t attempt = 0; attempt < 3; ++attempt)
    fixture.attempts[attempt].watcher->on_end(AttemptOutcome::broken);
  CHECK((seen->status == 502 && seen->outcome == "unknown"));
  fixture.wait(std::chrono::seconds(3));
  auto other = fixture.ask("/tell");
  fixture.attempts[3].watcher->on_head(200, {});
  fixture.attempts[3].watcher->on_chunk("half");
  fixture.attempts[3].watcher->on_end(AttemptOutcome::broken);
  CHECK((other->text == "half" && other->broken && !other->ended));
}

TEST_CASE("overload is refused at the end of the waiting budget at the latest, with when to come back") {
  Fixture fixture;
  fixture.put("lane/pay", R"({"path":"/pay","kind":"model","waiting":500,"waiting_room":2})");
  EXPECT_ATTEMPTS(fixture, 9);
  std::vector<std::shared_ptr<Seen>> all;
  // Three runners of two slots take nine with the overcommit; three more wait, and the next finds the room full.
  for (int count = 0; count < 13; ++count) all.push_back(fixture.ask("/pay"));
  CHECK(fixture.attempts.size() == 9);
  CHECK((all[12]->status == 503 && all[12]->outcome == "refused" && all[12]->ended));
  CHECK(all[9]->status == 0);
  fixture.wait(std::chrono::milliseconds(540));
  CHECK((all[9]->status == 503 && !all[9]->retry_after.empty()));
  CHECK(fixture.router.counts().refusals.at("busy") == 2);
}

TEST_CASE("a caller that left has its attempt cancelled and frees the runner, where the work may be repeated") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 1);
  Router::Id id = 0;
  auto seen = fixture.ask("/tell", &id);
  REQUIRE_CALL(fixture.exchange, cancel(_)).TIMES(1);
  fixture.router.gone(id);
  CHECK(fixture.router.open() == 0);
  CHECK(seen->status == 0);
}

TEST_CASE("a caller that left a stream that may not be repeated has it cancelled too") {
  Fixture fixture;
  fixture.put("lane/stream", R"({"path":"/stream","kind":"model","streaming":true,"retries":0})");
  EXPECT_ATTEMPTS(fixture, 1);
  Router::Id id = 0;
  fixture.ask("/stream", &id);
  fixture.attempts[0].watcher->on_head(200, {});
  REQUIRE_CALL(fixture.exchange, cancel(_)).TIMES(1);
  fixture.router.gone(id);
  CHECK(fixture.router.open() == 0);
}

TEST_CASE("work that may not be repeated runs to its end unseen when its caller left, and goes to no other runner") {
  for (const bool refused : {false, true}) {
    Fixture fixture;
    EXPECT_ATTEMPTS(fixture, 1);
    Router::Id id = 0;
    auto seen = fixture.ask("/pay", &id);
    FORBID_CALL(fixture.exchange, cancel(_));
    fixture.router.gone(id);
    CHECK(fixture.router.open() == 1);
    if (refused) {
      fixture.attempts[0].watcher->on_head(429, {});
    } else {
      fixture.attempts[0].watcher->on_head(200, {});
      fixture.attempts[0].watcher->on_chunk("done");
      fixture.attempts[0].watcher->on_end(AttemptOutcome::whole);
    }
    CHECK(fixture.router.open() == 0);
    CHECK((seen->status == 0 && seen->text.empty() && !seen->ended));
    CHECK((fixture.router.counts().callers_gone == 1 && fixture.router.counts().answered == 0));
    fixture.wait(std::chrono::seconds(2));
  }
}

TEST_CASE("a caller that left while its request waits has nothing sent for it") {
  Fixture fixture;
  fixture.shared_state.lease_until = 1;
  Router::Id id = 0;
  fixture.ask("/pay", &id);
  fixture.router.gone(id);
  CHECK(fixture.router.open() == 0);
  fixture.lease();
  fixture.wait(std::chrono::seconds(1));
  CHECK(fixture.attempts.empty());
}

TEST_CASE("a caller that does not take its stream is broken off instead of filling the memory") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 1);
  std::shared_ptr<SeeingCaller> caller;
  auto seen = fixture.ask("/pay", nullptr, &caller);
  fixture.attempts[0].watcher->on_head(200, {});
  {
    REQUIRE_CALL(fixture.exchange, hold(_, true)).TIMES(1);
    caller->backlog_ = 300u << 10;
    fixture.attempts[0].watcher->on_chunk("more");
    fixture.attempts[0].watcher->on_chunk("and more");
    caller->backlog_ = 200u << 10;
    fixture.wait(std::chrono::seconds(6));
  }
  {
    REQUIRE_CALL(fixture.exchange, hold(_, false)).TIMES(1);
    caller->backlog_ = 10u << 10;
    fixture.wait(std::chrono::milliseconds(100));
  }
  CHECK_FALSE(seen->broken);
  ALLOW_CALL(fixture.exchange, hold(_, true));
  caller->backlog_ = 300u << 10;
  fixture.attempts[0].watcher->on_chunk("again");
  fixture.wait(std::chrono::seconds(9));
  CHECK_FALSE(seen->broken);
  REQUIRE_CALL(fixture.exchange, cancel(_)).TIMES(1);
  fixture.wait(std::chrono::seconds(2));
  CHECK((seen->broken && !seen->ended));
}

TEST_CASE("items of lots that a runner still works on take room from live prompts") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 2);
  const std::map<std::string, RunnerTotal> full{{"one", {0, 3, 0}}, {"two", {0, 3, 0}}, {"three", {0, 1, 0}}};
  fixture.messenger.take(Envelope{Address("10.0.0.2:1"), 1, "routes", "circle", "routes.totals", 0, false,
                                  to_cbor(LoadTotals{"model", full}), protocol_number});
  std::vector<std::shared_ptr<Seen>> seen;
  for (int count = 0; count < 3; ++count) seen.push_back(fixture.ask("/pay"));
  for (const auto& attempt : fixture.attempts)
    CHECK(attempt.request.to == Address(fixture.view.runners.at("three").spec.address));
  fixture.wait(std::chrono::milliseconds(700));
  CHECK(seen[2]->status == 503);
}

TEST_CASE("requests count for their lane's aims: answered in time, late, broken off, refused") {
  Fixture fixture;
  fixture.put("aim/swift", R"({"lane":"pay","first_piece":100})");
  fixture.put("aim/other", R"({"lane":"tell"})");
  EXPECT_ATTEMPTS(fixture, 3);
  ALLOW_CALL(fixture.exchange, cancel(_));
  fixture.ask("/pay");
  fixture.ask("/pay");
  fixture.attempts[0].watcher->on_head(200, {});
  fixture.attempts[0].watcher->on_end(AttemptOutcome::whole);
  fixture.wait(std::chrono::milliseconds(200));
  fixture.attempts[1].watcher->on_head(200, {});
  fixture.attempts[1].watcher->on_end(AttemptOutcome::whole);
  fixture.ask("/pay");
  fixture.attempts[2].watcher->on_head(200, {});
  fixture.attempts[2].watcher->on_end(AttemptOutcome::broken);
  fixture.shared_state.draining = true;
  fixture.ask("/pay");
  const auto& counts = fixture.router.counts().aims;
  REQUIRE(counts.contains("swift"));
  CHECK(counts.at("swift").ended == 4);
  CHECK(counts.at("swift").answered == 2);
  CHECK(counts.at("swift").in_time == 1);
  CHECK_FALSE(counts.contains("other"));
}

TEST_CASE("a refused caller is told to come back later where more of its lane wait") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 9);
  std::vector<std::shared_ptr<Seen>> seen;
  for (int count = 0; count < 60; ++count) seen.push_back(fixture.ask("/pay"));
  fixture.wait(std::chrono::milliseconds(700));
  REQUIRE(seen[9]->status == 503);
  REQUIRE(seen[59]->status == 503);
  CHECK(std::stoi(seen[9]->retry_after) >= 30);
  CHECK(std::stoi(seen[59]->retry_after) <= 4);
}

TEST_CASE("without a lease nothing is sent; a daemon that finds no control daemon goes on with what it knows") {
  Fixture fixture;
  fixture.shared_state.lease_until = fixture.world.now().microseconds - 1;
  auto seen = fixture.ask("/pay");
  fixture.wait(std::chrono::milliseconds(100));
  CHECK(seen->status == 0);
  EXPECT_ATTEMPTS(fixture, 1);
  // The search has gone on for over a second while news ran all the time.
  fixture.shared_state.lease_sought_since = fixture.world.now().microseconds - 1100000;
  fixture.shared_state.gossip_tick = fixture.world.now().microseconds;
  fixture.wait(std::chrono::milliseconds(100));
  CHECK(fixture.attempts.size() == 1);
}

TEST_CASE("a daemon that was never whole lets requests wait a little for the configuration, then refuses") {
  Fixture fixture;
  fixture.shared_state.lease_until = -1;
  auto first = fixture.ask("/pay");
  auto lost = fixture.ask("/nothing");
  fixture.wait(std::chrono::milliseconds(1000));
  CHECK((first->status == 0 && lost->status == 0));
  {
    EXPECT_ATTEMPTS(fixture, 1);
    fixture.lease();
    fixture.wait(std::chrono::milliseconds(40));
    CHECK(fixture.attempts.size() == 1);
    CHECK(lost->status == 404);
  }
  fixture.shared_state.lease_until = -1;
  auto second = fixture.ask("/pay");
  fixture.wait(std::chrono::milliseconds(2540));
  CHECK((second->status == 503 && second->outcome == "refused" && !second->retry_after.empty()));
  CHECK(fixture.router.counts().refusals.at("starting") == 1);
}

TEST_CASE("a daemon that was frozen sends nothing before it has a lease again") {
  Fixture fixture;
  fixture.lease();
  fixture.shared_state.lease_until = 5;
  fixture.shared_state.lease_sought_since = 6;  // sought long ago, but news has not run since: a freeze
  fixture.shared_state.gossip_tick = 6;
  fixture.wait(std::chrono::seconds(2));
  auto seen = fixture.ask("/pay");
  fixture.wait(std::chrono::milliseconds(100));
  CHECK(seen->status == 0);
}

TEST_CASE("a path without a lane and a daemon that drains answer at once") {
  Fixture fixture;
  CHECK(fixture.ask("/nothing")->status == 404);
  fixture.shared_state.draining = true;
  auto seen = fixture.ask("/pay");
  CHECK((seen->status == 503 && seen->outcome == "refused" && !seen->retry_after.empty()));
}

TEST_CASE("a warming runner gets no more from all daemons together than its growing limit") {
  // Six daemons with no news of each other, and one cold runner of sixteen slots that all of them would send to.
  std::size_t at_first = 0, halfway = 0;
  for (int index = 1; index <= 6; ++index) {
    simulate::World world{3};
    simulate::SimulatedTimers timers{world, std::make_shared<simulate::Life>()};
    SilentWire wire;
    Member self = Fixture::self();
    self.address = Address("10.0.0." + std::to_string(index) + ":1");
    Messenger messenger{wire, timers, self.address, 1, "routes"};
    SharedState shared_state;
    ConfigurationView view;
    for (auto [key, value] : {std::pair<const char*, const char*>{"kind/model", R"({"circle":{"ramp":10000}})"},
                              {"lane/pay", R"({"path":"/pay","kind":"model","repeatable":true})"},
                              {"runner/one", R"({"kind":"model","address":"10.0.1.1:80","zone":"north","slots":16})"},
                              {"circle/model", R"({"members":["one"],"warm":[]})"}}) {
      const Bytes bytes = value;
      REQUIRE(put_in_view(view, key, &bytes, Stamp{}));
    }
    shared_state.configuration.set(view);
    Members members;
    for (int other = 1; other <= 6; ++other) {
      Member member = self;
      member.address = Address("10.0.0." + std::to_string(other) + ":1");
      members.all[member.address] = member;
    }
    shared_state.members.set(members);
    shared_state.lease_until = INT64_MAX / 2;
    MockExchange exchange;
    Router router{messenger, shared_state, exchange, world.random, self};
    router.start();
    std::size_t offered = 0;
    ALLOW_CALL(exchange, start(_, _)).LR_SIDE_EFFECT(++offered).RETURN(1);
    ALLOW_CALL(exchange, cancel(_));
    std::vector<Router::Id> ids;
    auto ask_often = [&] {
      for (int count = 0; count < 5; ++count)
        ids.push_back(router.arrive(LiveRequest{"POST", "/pay", {}, std::make_shared<const Bytes>("")},
                                    std::make_shared<SeeingCaller>(std::make_shared<Seen>())));
    };
    ask_often();
    at_first += offered;
    for (const auto id : ids) router.gone(id);
    world.run_until(world.now() + std::chrono::seconds(5));
    offered = 0;
    ask_often();
    halfway += offered;
  }
  CHECK(at_first == 4);  // a quarter of the slots
  CHECK(halfway == 10);  // five eighths of them
}

namespace {

// One of several daemons that know how many they are, and two runners that take eight connections each.
struct CrowdedDaemon {
  simulate::World world{3};
  simulate::LifePointer life = std::make_shared<simulate::Life>();
  simulate::SimulatedTimers timers{world, life};
  SilentWire wire;
  Member self;
  Messenger messenger;
  SharedState shared_state;
  ConfigurationView view;
  MockExchange exchange;
  Router router;
  std::vector<AttemptRequest> requests;
  std::vector<std::shared_ptr<AttemptObserver>> watchers;

  static Member numbered(int index) {
    Member member = Fixture::self();
    member.address = Address("10.0.0." + std::to_string(index) + ":1");
    return member;
  }
  CrowdedDaemon(int index, int daemons)
      : self(numbered(index)),
        messenger(wire, timers, self.address, 1, "routes"),
        router(messenger, shared_state, exchange, world.random, self) {
    for (auto [key, value] : {std::pair<const char*, const char*>{
                                  "kind/model", R"({"connections":8,"overcommit":2,"circle":{"ramp":500}})"},
                              {"lane/pay", R"({"path":"/pay","kind":"model","repeatable":true})"},
                              {"runner/one", R"({"kind":"model","address":"10.0.1.1:80","zone":"north","slots":2})"},
                              {"runner/two", R"({"kind":"model","address":"10.0.1.2:80","zone":"south","slots":2})"},
                              {"circle/model", R"({"members":["one","two"],"warm":["one","two"]})"}}) {
      const Bytes bytes = value;
      REQUIRE(put_in_view(view, key, &bytes, Stamp{}));
    }
    shared_state.configuration.set(view);
    Members members;
    for (int other = 1; other <= daemons; ++other) {
      const Member member = numbered(other);
      members.all[member.address] = member;
    }
    shared_state.members.set(members);
    shared_state.lease_until = INT64_MAX / 2;
    world.run_until(TimePoint{10000000});
    shared_state.gossip_tick = world.now().microseconds;
    router.start();
  }
  ~CrowdedDaemon() { life->alive = false; }
  void put_kind(const Bytes& value) {
    REQUIRE(put_in_view(view, "kind/model", &value, Stamp{}));
    shared_state.configuration.set(view);
  }
  Router::Id ask() {
    return router.arrive(LiveRequest{"POST", "/pay", {}, std::make_shared<const Bytes>("")},
                         std::make_shared<SeeingCaller>(std::make_shared<Seen>()));
  }
  // Lets time pass while this daemon's configuration stays fresh.
  void pass(Duration span) {
    for (const TimePoint end = world.now() + span; world.now() < end;) {
      shared_state.gossip_tick = world.now().microseconds;
      world.run_until(world.now() + std::chrono::milliseconds(10));
    }
  }
  void tell_totals() {
    messenger.take(Envelope{Address("10.0.0.1:1"), 1, "routes", "circle", std::string(LoadTotals::kind), 0, false,
                            to_cbor(LoadTotals{"model", {}}), protocol_number});
  }
};

}  // namespace

TEST_CASE("daemons open no more connections to a runner than it takes, though they are more than that") {
  std::map<std::string, std::uint32_t> opened;
  std::size_t kept = 0;
  for (int index = 1; index <= 12; ++index) {
    CrowdedDaemon daemon(index, 12);
    ALLOW_CALL(daemon.exchange, start(_, _))
        .LR_SIDE_EFFECT(daemon.requests.push_back(_1))
        .LR_RETURN(daemon.requests.size());
    ALLOW_CALL(daemon.exchange, cancel(_));
    for (int count = 0; count < 4; ++count) daemon.ask();
    REQUIRE(!daemon.requests.empty());
    CHECK(daemon.requests.front().keep_connection);
    CHECK(daemon.requests.front().connections == 1);
    for (const auto& request : daemon.requests) {
      kept += request.keep_connection;
      ++opened[request.runner];
    }
  }
  CHECK(kept == 12);
  // One is left for a connection that the runner has yet to see closed.
  for (const auto& [runner, count] : opened) CHECK(count == 7);
}

TEST_CASE("a daemon whose connections are in use sends to a runner that is known to have room, and closes that one") {
  for (const bool news : {true, false}) {
    CrowdedDaemon daemon(1, 12);
    ALLOW_CALL(daemon.exchange, start(_, _))
        .LR_SIDE_EFFECT(daemon.requests.push_back(_1))
        .LR_RETURN(daemon.requests.size());
    ALLOW_CALL(daemon.exchange, cancel(_));
    if (!news) {
      daemon.tell_totals();
      daemon.pass(std::chrono::milliseconds(1600));
    }
    for (int count = 0; count < 6; ++count) daemon.ask();
    const std::size_t by_right = daemon.requests.size();
    REQUIRE(by_right < 4);
    daemon.pass(std::chrono::milliseconds(news ? 50 : 300));
    CHECK(daemon.requests.size() == by_right);
    if (!news) continue;
    daemon.tell_totals();
    daemon.pass(std::chrono::milliseconds(100));
    CHECK(daemon.requests.size() > by_right);
    for (std::size_t index = 1; index < daemon.requests.size(); ++index) CHECK(!daemon.requests[index].keep_connection);
  }
}

TEST_CASE("one answer that breaks off begins no ramp; a runner that took no connection comes back with one") {
  for (const bool away : {false, true}) {
    CrowdedDaemon daemon(1, 1);
    daemon.put_kind(R"({"connections":8,"overcommit":2,"circle":{"ramp":10000}})");
    ALLOW_CALL(daemon.exchange, start(_, _))
        .LR_SIDE_EFFECT(daemon.requests.push_back(_1); daemon.watchers.push_back(_2))
        .LR_RETURN(daemon.requests.size());
    ALLOW_CALL(daemon.exchange, cancel(_));
    daemon.ask();
    REQUIRE(daemon.requests.size() == 1);
    const std::string failed = daemon.requests[0].runner;
    daemon.watchers[0]->on_end(away ? AttemptOutcome::not_sent : AttemptOutcome::broken);
    daemon.pass(std::chrono::seconds(1));
    // A probe that is answered, then as many as the runner is given.
    while (daemon.requests.back().runner != failed) daemon.ask();
    daemon.watchers.back()->on_head(200, {});
    daemon.watchers.back()->on_end(AttemptOutcome::whole);
    const auto before = daemon.requests.size();
    for (int count = 0; count < 12; ++count) daemon.ask();
    std::size_t given = 0;
    for (std::size_t index = before; index < daemon.requests.size(); ++index)
      given += daemon.requests[index].runner == failed;
    CHECK((away ? given <= 1 : given >= 2));
  }
}
