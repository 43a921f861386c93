// Live requests with a mocked runner client: the three outcomes, when a request is retried, and what clients receive.
#include "router_fixture.hpp"

TEST_CASE("requests go to the circle's runners without hop-by-hop headers, and responses are relayed unchanged") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 6);
  std::vector<std::shared_ptr<ReceivedResponse>> all;
  for (int count = 0; count < 6; ++count) all.push_back(fixture.submit("/pay"));
  REQUIRE(fixture.attempts.size() == 6);
  std::map<std::string, int> attempts_by_runner;
  for (auto& attempt : fixture.attempts) {
    ++attempts_by_runner[attempt.request.to.text];
    for (const auto& header : attempt.request.headers) CHECK(header.name == "X-Request-Id");
  }
  // The requests are distributed evenly over the circle, and none is sent to the runner outside it.
  CHECK(attempts_by_runner.size() == 3);
  for (const auto& [address, count] : attempts_by_runner) CHECK((count == 2 && address != "10.0.1.4:80"));
  fixture.attempts[0].observer->on_head(418, {{"X-Own", "1"}});
  fixture.attempts[0].observer->on_chunk("short and stout");
  fixture.attempts[0].observer->on_end(AttemptOutcome::complete);
  CHECK((all[0]->status == 418 && all[0]->outcome == "answer" && all[0]->text == "short and stout" && all[0]->ended &&
         !all[0]->broken));
}

TEST_CASE("an unrepeatable request that may have run has the outcome unknown and is never retried") {
  for (auto [end, status] : {std::pair{AttemptOutcome::broken, 502}, {AttemptOutcome::timed_out, 504}}) {
    Fixture fixture;
    EXPECT_ATTEMPTS(fixture, 1);
    auto seen = fixture.submit("/pay");
    fixture.attempts[0].observer->on_end(end);
    CHECK((seen->status == status && seen->outcome == "unknown" && seen->ended));
    fixture.wait(std::chrono::seconds(2));
  }
}

TEST_CASE("a request that was not sent or was refused by its runner is retried at other runners, then refused") {
  for (bool refusal : {false, true}) {
    Fixture fixture;
    ALLOW_CALL(fixture.runner_client, cancel(_));
    EXPECT_ATTEMPTS(fixture, 3);
    auto seen = fixture.submit("/pay");
    for (std::size_t attempt = 0; attempt < 3; ++attempt) {
      REQUIRE(fixture.attempts.size() == attempt + 1);
      if (refusal)
        fixture.attempts[attempt].observer->on_head(429, {});
      else
        fixture.attempts[attempt].observer->on_end(AttemptOutcome::not_sent);
    }
    CHECK((seen->status == 503 && seen->outcome == "refused" && !seen->retry_after.empty() && seen->ended));
    std::set<std::string> used;
    for (const auto& attempt : fixture.attempts) used.insert(attempt.request.to.text);
    CHECK(used.size() == 3);
  }
}

TEST_CASE("a repeatable request is retried until its retries are used up, but not once a body chunk was relayed") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 4);
  auto seen = fixture.submit("/tell");
  for (std::size_t attempt = 0; attempt < 3; ++attempt)
    fixture.attempts[attempt].observer->on_end(AttemptOutcome::broken);
  CHECK((seen->status == 502 && seen->outcome == "unknown"));
  fixture.wait(std::chrono::seconds(3));
  auto other = fixture.submit("/tell");
  fixture.attempts[3].observer->on_head(200, {});
  fixture.attempts[3].observer->on_chunk("half");
  fixture.attempts[3].observer->on_end(AttemptOutcome::broken);
  CHECK((other->text == "half" && other->broken && !other->ended));
}

TEST_CASE("requests under overload are refused by the end of the waiting time limit, with a Retry-After header") {
  Fixture fixture;
  fixture.put("lane/pay", R"({"path":"/pay","kind":"model","waiting":500,"waiting_room":2})");
  EXPECT_ATTEMPTS(fixture, 9);
  std::vector<std::shared_ptr<ReceivedResponse>> all;
  // Three runners with two slots and an overcommit of 1.5 take nine requests. Two more may wait; the rest are refused
  // at once.
  for (int count = 0; count < 13; ++count) all.push_back(fixture.submit("/pay"));
  CHECK(fixture.attempts.size() == 9);
  CHECK((all[12]->status == 503 && all[12]->outcome == "refused" && all[12]->ended));
  CHECK(all[9]->status == 0);
  fixture.wait(std::chrono::milliseconds(540));
  CHECK((all[9]->status == 503 && !all[9]->retry_after.empty()));
  CHECK(fixture.router.counts().refusals.at("busy") == 2);
}

TEST_CASE("the attempt of a repeatable request is cancelled when its client disconnects") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 1);
  Router::Id id = 0;
  auto seen = fixture.submit("/tell", &id);
  REQUIRE_CALL(fixture.runner_client, cancel(_)).TIMES(1);
  fixture.router.on_client_disconnected(id);
  CHECK(fixture.router.open() == 0);
  CHECK(seen->status == 0);
}

TEST_CASE("an unrepeatable stream is cancelled when its client disconnects") {
  Fixture fixture;
  fixture.put("lane/stream", R"({"path":"/stream","kind":"model","streaming":true,"retries":0})");
  EXPECT_ATTEMPTS(fixture, 1);
  Router::Id id = 0;
  fixture.submit("/stream", &id);
  fixture.attempts[0].observer->on_head(200, {});
  REQUIRE_CALL(fixture.runner_client, cancel(_)).TIMES(1);
  fixture.router.on_client_disconnected(id);
  CHECK(fixture.router.open() == 0);
}

TEST_CASE("an unrepeatable request runs to its end when its client disconnects, and is not sent to another runner") {
  for (const bool refused : {false, true}) {
    Fixture fixture;
    EXPECT_ATTEMPTS(fixture, 1);
    Router::Id id = 0;
    auto seen = fixture.submit("/pay", &id);
    FORBID_CALL(fixture.runner_client, cancel(_));
    fixture.router.on_client_disconnected(id);
    CHECK(fixture.router.open() == 1);
    if (refused) {
      fixture.attempts[0].observer->on_head(429, {});
    } else {
      fixture.attempts[0].observer->on_head(200, {});
      fixture.attempts[0].observer->on_chunk("done");
      fixture.attempts[0].observer->on_end(AttemptOutcome::complete);
    }
    CHECK(fixture.router.open() == 0);
    CHECK((seen->status == 0 && seen->text.empty() && !seen->ended));
    CHECK((fixture.router.counts().client_disconnects == 1 && fixture.router.counts().answered == 0));
    fixture.wait(std::chrono::seconds(2));
  }
}

TEST_CASE("a waiting request is not sent after its client disconnected") {
  Fixture fixture;
  fixture.shared_state.lease_until = 1;
  Router::Id id = 0;
  fixture.submit("/pay", &id);
  fixture.router.on_client_disconnected(id);
  CHECK(fixture.router.open() == 0);
  fixture.lease();
  fixture.wait(std::chrono::seconds(1));
  CHECK(fixture.attempts.empty());
}

TEST_CASE("the response of a client that stops reading is aborted instead of filling the memory") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 1);
  std::shared_ptr<RecordingSink> sink;
  auto seen = fixture.submit("/pay", nullptr, &sink);
  fixture.attempts[0].observer->on_head(200, {});
  {
    REQUIRE_CALL(fixture.runner_client, set_paused(_, true)).TIMES(1);
    sink->backlog_ = 300u << 10;
    fixture.attempts[0].observer->on_chunk("more");
    fixture.attempts[0].observer->on_chunk("and more");
    sink->backlog_ = 200u << 10;
    fixture.wait(std::chrono::seconds(6));
  }
  {
    REQUIRE_CALL(fixture.runner_client, set_paused(_, false)).TIMES(1);
    sink->backlog_ = 10u << 10;
    fixture.wait(std::chrono::milliseconds(100));
  }
  CHECK_FALSE(seen->broken);
  ALLOW_CALL(fixture.runner_client, set_paused(_, true));
  sink->backlog_ = 300u << 10;
  fixture.attempts[0].observer->on_chunk("again");
  fixture.wait(std::chrono::seconds(9));
  CHECK_FALSE(seen->broken);
  REQUIRE_CALL(fixture.runner_client, cancel(_)).TIMES(1);
  fixture.wait(std::chrono::seconds(2));
  CHECK((seen->broken && !seen->ended));
}

TEST_CASE("items of lots that run on a runner count against its limit for live requests") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 2);
  const std::map<std::string, RunnerTotal> full{{"one", {0, 3, 0}}, {"two", {0, 3, 0}}, {"three", {0, 1, 0}}};
  fixture.messenger.receive(Envelope{Address("10.0.0.2:1"), 1, "routes", "circle", "routes.totals", 0, false,
                                     to_cbor(LoadTotals{"model", full}), protocol_number});
  std::vector<std::shared_ptr<ReceivedResponse>> seen;
  for (int count = 0; count < 3; ++count) seen.push_back(fixture.submit("/pay"));
  for (const auto& attempt : fixture.attempts)
    CHECK(attempt.request.to == Address(fixture.view.runners.at("three").spec.address));
  fixture.wait(std::chrono::milliseconds(700));
  CHECK(seen[2]->status == 503);
}

TEST_CASE("requests are counted for their lane's aims: answered in time, late, aborted, refused") {
  Fixture fixture;
  fixture.put("aim/swift", R"({"lane":"pay","first_piece":100})");
  fixture.put("aim/other", R"({"lane":"tell"})");
  EXPECT_ATTEMPTS(fixture, 3);
  ALLOW_CALL(fixture.runner_client, cancel(_));
  fixture.submit("/pay");
  fixture.submit("/pay");
  fixture.attempts[0].observer->on_head(200, {});
  fixture.attempts[0].observer->on_end(AttemptOutcome::complete);
  fixture.wait(std::chrono::milliseconds(200));
  fixture.attempts[1].observer->on_head(200, {});
  fixture.attempts[1].observer->on_end(AttemptOutcome::complete);
  fixture.submit("/pay");
  fixture.attempts[2].observer->on_head(200, {});
  fixture.attempts[2].observer->on_end(AttemptOutcome::broken);
  fixture.shared_state.draining = true;
  fixture.submit("/pay");
  const auto& counts = fixture.router.counts().aims;
  REQUIRE(counts.contains("swift"));
  CHECK(counts.at("swift").ended == 4);
  CHECK(counts.at("swift").answered == 2);
  CHECK(counts.at("swift").in_time == 1);
  CHECK_FALSE(counts.contains("other"));
}

TEST_CASE("Retry-After of a refused request is longer if more requests of its lane are waiting") {
  Fixture fixture;
  EXPECT_ATTEMPTS(fixture, 9);
  std::vector<std::shared_ptr<ReceivedResponse>> seen;
  for (int count = 0; count < 60; ++count) seen.push_back(fixture.submit("/pay"));
  fixture.wait(std::chrono::milliseconds(700));
  REQUIRE(seen[9]->status == 503);
  REQUIRE(seen[59]->status == 503);
  CHECK(std::stoi(seen[9]->retry_after) >= 30);
  CHECK(std::stoi(seen[59]->retry_after) <= 4);
}

TEST_CASE("nothing is sent without a lease, unless no control daemon has been reachable for over a second") {
  Fixture fixture;
  fixture.shared_state.lease_until = fixture.world.now().microseconds - 1;
  auto seen = fixture.submit("/pay");
  fixture.wait(std::chrono::milliseconds(100));
  CHECK(seen->status == 0);
  EXPECT_ATTEMPTS(fixture, 1);
  // The daemon has tried to renew its lease for over a second, and gossip ran all the time.
  fixture.shared_state.lease_renewal_since = fixture.world.now().microseconds - 1100000;
  fixture.shared_state.last_gossip_tick = fixture.world.now().microseconds;
  fixture.wait(std::chrono::milliseconds(100));
  CHECK(fixture.attempts.size() == 1);
}

TEST_CASE("a daemon without a configuration lets requests wait for it for a limited time, then refuses them") {
  Fixture fixture;
  fixture.shared_state.lease_until = -1;
  auto first = fixture.submit("/pay");
  auto unknown_path = fixture.submit("/nothing");
  fixture.wait(std::chrono::milliseconds(1000));
  CHECK((first->status == 0 && unknown_path->status == 0));
  {
    EXPECT_ATTEMPTS(fixture, 1);
    fixture.lease();
    fixture.wait(std::chrono::milliseconds(40));
    CHECK(fixture.attempts.size() == 1);
    CHECK(unknown_path->status == 404);
  }
  fixture.shared_state.lease_until = -1;
  auto second = fixture.submit("/pay");
  fixture.wait(std::chrono::milliseconds(2540));
  CHECK((second->status == 503 && second->outcome == "refused" && !second->retry_after.empty()));
  CHECK(fixture.router.counts().refusals.at("starting") == 1);
}

TEST_CASE("a daemon whose process was suspended sends nothing until it has a lease again") {
  Fixture fixture;
  fixture.lease();
  fixture.shared_state.lease_until = 5;
  // The renewal began long ago, but gossip has not run since: the process was suspended.
  fixture.shared_state.lease_renewal_since = 6;
  fixture.shared_state.last_gossip_tick = 6;
  fixture.wait(std::chrono::seconds(2));
  auto seen = fixture.submit("/pay");
  fixture.wait(std::chrono::milliseconds(100));
  CHECK(seen->status == 0);
}

TEST_CASE("requests without a lane and requests to a draining daemon are rejected at once") {
  Fixture fixture;
  CHECK(fixture.submit("/nothing")->status == 404);
  fixture.shared_state.draining = true;
  auto seen = fixture.submit("/pay");
  CHECK((seen->status == 503 && seen->outcome == "refused" && !seen->retry_after.empty()));
}

TEST_CASE("a runner that warms up gets no more requests from all daemons together than its growing limit") {
  // Six daemons that know nothing of each other's load, and one runner with sixteen slots that warms up.
  std::size_t at_first = 0, halfway = 0;
  for (int index = 1; index <= 6; ++index) {
    simulate::World world{3};
    simulate::SimulatedTimers timers{world, std::make_shared<simulate::ProcessState>()};
    DiscardingTransport transport;
    Member self = Fixture::self();
    self.address = Address("10.0.0." + std::to_string(index) + ":1");
    Messenger messenger{transport, timers, self.address, 1, "routes"};
    SharedState shared_state;
    ConfigurationView view;
    for (auto [key, value] : {std::pair<const char*, const char*>{"kind/model", R"({"circle":{"ramp":10000}})"},
                              {"lane/pay", R"({"path":"/pay","kind":"model","repeatable":true})"},
                              {"runner/one", R"({"kind":"model","address":"10.0.1.1:80","zone":"north","slots":16})"},
                              {"circle/model", R"({"members":["one"],"warm":[]})"}}) {
      const Bytes bytes = value;
      REQUIRE(apply_to_view(view, key, &bytes, Stamp{}));
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
    MockRunnerClient runner_client;
    Router router{messenger, shared_state, runner_client, world.random, self};
    router.start();
    std::size_t offered = 0;
    ALLOW_CALL(runner_client, start(_, _)).LR_SIDE_EFFECT(++offered).RETURN(1);
    ALLOW_CALL(runner_client, cancel(_));
    std::vector<Router::Id> ids;
    auto submit_requests = [&] {
      for (int count = 0; count < 5; ++count)
        ids.push_back(router.submit(LiveRequest{"POST", "/pay", {}, std::make_shared<const Bytes>("")},
                                    std::make_shared<RecordingSink>(std::make_shared<ReceivedResponse>())));
    };
    submit_requests();
    at_first += offered;
    for (const auto id : ids) router.on_client_disconnected(id);
    world.run_until(world.now() + std::chrono::seconds(5));
    offered = 0;
    submit_requests();
    halfway += offered;
  }
  CHECK(at_first == 4);  // A quarter of the slots.
  CHECK(halfway == 10);  // Five eighths of the slots.
}

namespace {

// One of several daemons that know their number, and two runners that accept eight connections each.
struct DaemonWithConnectionLimit {
  simulate::World world{3};
  simulate::ProcessPointer process = std::make_shared<simulate::ProcessState>();
  simulate::SimulatedTimers timers{world, process};
  DiscardingTransport transport;
  Member self;
  Messenger messenger;
  SharedState shared_state;
  ConfigurationView view;
  MockRunnerClient runner_client;
  Router router;
  std::vector<AttemptRequest> requests;
  std::vector<std::shared_ptr<AttemptObserver>> observers;

  static Member member_at(int index) {
    Member member = Fixture::self();
    member.address = Address("10.0.0." + std::to_string(index) + ":1");
    return member;
  }
  DaemonWithConnectionLimit(int index, int daemons)
      : self(member_at(index)),
        messenger(transport, timers, self.address, 1, "routes"),
        router(messenger, shared_state, runner_client, world.random, self) {
    for (auto [key, value] : {std::pair<const char*, const char*>{
                                  "kind/model", R"({"connections":8,"overcommit":2,"circle":{"ramp":500}})"},
                              {"lane/pay", R"({"path":"/pay","kind":"model","repeatable":true})"},
                              {"runner/one", R"({"kind":"model","address":"10.0.1.1:80","zone":"north","slots":2})"},
                              {"runner/two", R"({"kind":"model","address":"10.0.1.2:80","zone":"south","slots":2})"},
                              {"circle/model", R"({"members":["one","two"],"warm":["one","two"]})"}}) {
      const Bytes bytes = value;
      REQUIRE(apply_to_view(view, key, &bytes, Stamp{}));
    }
    shared_state.configuration.set(view);
    Members members;
    for (int other = 1; other <= daemons; ++other) {
      const Member member = member_at(other);
      members.all[member.address] = member;
    }
    shared_state.members.set(members);
    shared_state.lease_until = INT64_MAX / 2;
    world.run_until(TimePoint{10000000});
    shared_state.last_gossip_tick = world.now().microseconds;
    router.start();
  }
  ~DaemonWithConnectionLimit() { process->alive = false; }
  void put_kind(const Bytes& value) {
    REQUIRE(apply_to_view(view, "kind/model", &value, Stamp{}));
    shared_state.configuration.set(view);
  }
  Router::Id submit() {
    return router.submit(LiveRequest{"POST", "/pay", {}, std::make_shared<const Bytes>("")},
                         std::make_shared<RecordingSink>(std::make_shared<ReceivedResponse>()));
  }
  // Lets time pass while this daemon's configuration stays fresh.
  void advance(Duration span) {
    for (const TimePoint end = world.now() + span; world.now() < end;) {
      shared_state.last_gossip_tick = world.now().microseconds;
      world.run_until(world.now() + std::chrono::milliseconds(10));
    }
  }
  void receive_totals() {
    messenger.receive(Envelope{Address("10.0.0.1:1"), 1, "routes", "circle", std::string(LoadTotals::kind), 0, false,
                               to_cbor(LoadTotals{"model", {}}), protocol_number});
  }
};

}  // namespace

TEST_CASE("daemons open no more connections to a runner than it accepts, even if there are more daemons than that") {
  std::map<std::string, std::uint32_t> connections_opened;
  std::size_t kept = 0;
  for (int index = 1; index <= 12; ++index) {
    DaemonWithConnectionLimit daemon(index, 12);
    ALLOW_CALL(daemon.runner_client, start(_, _))
        .LR_SIDE_EFFECT(daemon.requests.push_back(_1))
        .LR_RETURN(daemon.requests.size());
    ALLOW_CALL(daemon.runner_client, cancel(_));
    for (int count = 0; count < 4; ++count) daemon.submit();
    REQUIRE(!daemon.requests.empty());
    CHECK(daemon.requests.front().keep_connection);
    CHECK(daemon.requests.front().connections == 1);
    for (const auto& request : daemon.requests) {
      kept += request.keep_connection;
      ++connections_opened[request.runner];
    }
  }
  CHECK(kept == 12);
  // One connection is left free for connections that the runner has not seen closed yet.
  for (const auto& [runner, count] : connections_opened) CHECK(count == 7);
}

TEST_CASE("a daemon whose share is in use opens a connection beyond it to a runner with free slots, and closes it") {
  for (const bool load_is_recent : {true, false}) {
    DaemonWithConnectionLimit daemon(1, 12);
    ALLOW_CALL(daemon.runner_client, start(_, _))
        .LR_SIDE_EFFECT(daemon.requests.push_back(_1))
        .LR_RETURN(daemon.requests.size());
    ALLOW_CALL(daemon.runner_client, cancel(_));
    if (!load_is_recent) {
      daemon.receive_totals();
      daemon.advance(std::chrono::milliseconds(1600));
    }
    for (int count = 0; count < 6; ++count) daemon.submit();
    const std::size_t within_share = daemon.requests.size();
    REQUIRE(within_share < 4);
    daemon.advance(std::chrono::milliseconds(load_is_recent ? 50 : 300));
    CHECK(daemon.requests.size() == within_share);
    if (!load_is_recent) continue;
    daemon.receive_totals();
    daemon.advance(std::chrono::milliseconds(100));
    CHECK(daemon.requests.size() > within_share);
    for (std::size_t index = 1; index < daemon.requests.size(); ++index) CHECK(!daemon.requests[index].keep_connection);
  }
}

TEST_CASE("a runner starts a ramp after it accepted no connection, but not after a single aborted response") {
  for (const bool unreachable : {false, true}) {
    DaemonWithConnectionLimit daemon(1, 1);
    daemon.put_kind(R"({"connections":8,"overcommit":2,"circle":{"ramp":10000}})");
    ALLOW_CALL(daemon.runner_client, start(_, _))
        .LR_SIDE_EFFECT(daemon.requests.push_back(_1); daemon.observers.push_back(_2))
        .LR_RETURN(daemon.requests.size());
    ALLOW_CALL(daemon.runner_client, cancel(_));
    daemon.submit();
    REQUIRE(daemon.requests.size() == 1);
    const std::string failed = daemon.requests[0].runner;
    daemon.observers[0]->on_end(unreachable ? AttemptOutcome::not_sent : AttemptOutcome::broken);
    daemon.advance(std::chrono::seconds(1));
    // A first request that is answered, then as many requests as the runner is given.
    while (daemon.requests.back().runner != failed) daemon.submit();
    daemon.observers.back()->on_head(200, {});
    daemon.observers.back()->on_end(AttemptOutcome::complete);
    const auto before = daemon.requests.size();
    for (int count = 0; count < 12; ++count) daemon.submit();
    std::size_t sent_to_failed = 0;
    for (std::size_t index = before; index < daemon.requests.size(); ++index)
      sent_to_failed += daemon.requests[index].runner == failed;
    CHECK((unreachable ? sent_to_failed <= 1 : sent_to_failed >= 2));
  }
}
