// Live requests against a mocked exchange: the three outcomes, when another attempt is allowed, and what callers see.
#include "entries_stage.hpp"

TEST_CASE("the runner's answer is given as it came, within the circle, without hop-by-hop headers") {
  Stage stage;
  EXPECT_ATTEMPTS(stage, 6);
  std::vector<std::shared_ptr<Seen>> all;
  for (int count = 0; count < 6; ++count) all.push_back(stage.ask("/pay"));
  REQUIRE(stage.attempts.size() == 6);
  std::map<std::string, int> spread;
  for (auto& attempt : stage.attempts) {
    ++spread[attempt.request.to.text];
    for (const auto& header : attempt.request.headers) CHECK(header.name == "X-Request-Id");
  }
  // Even over the circle, and nothing outside it.
  CHECK(spread.size() == 3);
  for (const auto& [address, count] : spread) CHECK((count == 2 && address != "10.0.1.4:80"));
  stage.attempts[0].watcher->on_head(418, {{"X-Own", "1"}});
  stage.attempts[0].watcher->on_piece("short and stout");
  stage.attempts[0].watcher->on_end(AttemptEnd::whole);
  CHECK((all[0]->status == 418 && all[0]->outcome == "answer" && all[0]->text == "short and stout" && all[0]->ended && !all[0]->broken));
}

TEST_CASE("unrepeatable work that may have run is unknown and is never sent again") {
  for (auto [end, status] : {std::pair{AttemptEnd::broken, 502}, {AttemptEnd::late, 504}}) {
    Stage stage;
    EXPECT_ATTEMPTS(stage, 1);
    auto seen = stage.ask("/pay");
    stage.attempts[0].watcher->on_end(end);
    CHECK((seen->status == status && seen->outcome == "unknown" && seen->ended));
    stage.wait(std::chrono::seconds(2));
  }
}

TEST_CASE("work that was not sent, or that the runner refused, goes to another runner; then it is refused") {
  for (bool refusal : {false, true}) {
    Stage stage;
    ALLOW_CALL(stage.exchange, cancel(_));
    EXPECT_ATTEMPTS(stage, 3);
    auto seen = stage.ask("/pay");
    for (std::size_t attempt = 0; attempt < 3; ++attempt) {
      REQUIRE(stage.attempts.size() == attempt + 1);
      if (refusal) stage.attempts[attempt].watcher->on_head(429, {});
      else stage.attempts[attempt].watcher->on_end(AttemptEnd::not_sent);
    }
    CHECK((seen->status == 503 && seen->outcome == "refused" && !seen->retry_after.empty() && seen->ended));
    std::set<std::string> used;
    for (const auto& attempt : stage.attempts) used.insert(attempt.request.to.text);
    CHECK(used.size() == 3);
  }
}

TEST_CASE("repeatable work goes again until its retries are used; never once a piece was passed on") {
  Stage stage;
  EXPECT_ATTEMPTS(stage, 4);
  auto seen = stage.ask("/tell");
  for (std::size_t attempt = 0; attempt < 3; ++attempt) stage.attempts[attempt].watcher->on_end(AttemptEnd::broken);
  CHECK((seen->status == 502 && seen->outcome == "unknown"));
  stage.wait(std::chrono::seconds(3));
  auto other = stage.ask("/tell");
  stage.attempts[3].watcher->on_head(200, {});
  stage.attempts[3].watcher->on_piece("half");
  stage.attempts[3].watcher->on_end(AttemptEnd::broken);
  CHECK((other->text == "half" && other->broken && !other->ended));
}

TEST_CASE("overload is refused at the end of the waiting budget at the latest, with when to come back") {
  Stage stage;
  stage.put("lane/pay", R"({"path":"/pay","kind":"model","waiting":500,"waiting_room":2})");
  EXPECT_ATTEMPTS(stage, 9);
  std::vector<std::shared_ptr<Seen>> all;
  // Three runners of two slots take nine with the overcommit; three more wait, and the next finds the room full.
  for (int count = 0; count < 13; ++count) all.push_back(stage.ask("/pay"));
  CHECK(stage.attempts.size() == 9);
  CHECK((all[12]->status == 503 && all[12]->outcome == "refused" && all[12]->ended));
  CHECK(all[9]->status == 0);
  stage.wait(std::chrono::milliseconds(540));
  CHECK((all[9]->status == 503 && !all[9]->retry_after.empty()));
  CHECK(stage.entries.counts().refusals.at("busy") == 2);
}

TEST_CASE("a caller that left has its attempt cancelled and frees the runner") {
  Stage stage;
  EXPECT_ATTEMPTS(stage, 1);
  Entries::Id id = 0;
  auto seen = stage.ask("/pay", &id);
  REQUIRE_CALL(stage.exchange, cancel(_)).TIMES(1);
  stage.entries.gone(id);
  CHECK(stage.entries.open() == 0);
  CHECK(seen->status == 0);
}

TEST_CASE("a caller that does not take its stream is broken off instead of filling the memory") {
  Stage stage;
  EXPECT_ATTEMPTS(stage, 1);
  std::shared_ptr<SeeingCaller> caller;
  auto seen = stage.ask("/pay", nullptr, &caller);
  stage.attempts[0].watcher->on_head(200, {});
  {
    REQUIRE_CALL(stage.exchange, hold(_, true)).TIMES(1);
    caller->backlog_ = 300u << 10;
    stage.attempts[0].watcher->on_piece("more");
    stage.attempts[0].watcher->on_piece("and more");
    caller->backlog_ = 200u << 10;
    stage.wait(std::chrono::seconds(6));
  }
  {
    REQUIRE_CALL(stage.exchange, hold(_, false)).TIMES(1);
    caller->backlog_ = 10u << 10;
    stage.wait(std::chrono::milliseconds(100));
  }
  CHECK_FALSE(seen->broken);
  ALLOW_CALL(stage.exchange, hold(_, true));
  caller->backlog_ = 300u << 10;
  stage.attempts[0].watcher->on_piece("again");
  stage.wait(std::chrono::seconds(9));
  CHECK_FALSE(seen->broken);
  REQUIRE_CALL(stage.exchange, cancel(_)).TIMES(1);
  stage.wait(std::chrono::seconds(2));
  CHECK((seen->broken && !seen->ended));
}

TEST_CASE("items of lots that a runner still works on take room from live prompts") {
  Stage stage;
  EXPECT_ATTEMPTS(stage, 2);
  const std::map<std::string, RunnerTotal> full{{"one", {0, 3, 0}}, {"two", {0, 3, 0}}, {"three", {0, 1, 0}}};
  stage.post.take(Envelope{Address("10.0.0.2:1"), 1, "routes", "circle", "routes.totals", 0, false, to_cbor(UsageTotals{"model", full}), protocol_number});
  std::vector<std::shared_ptr<Seen>> seen;
  for (int count = 0; count < 3; ++count) seen.push_back(stage.ask("/pay"));
  for (const auto& attempt : stage.attempts) CHECK(attempt.request.to == Address(stage.view.runners.at("three").spec.address));
  stage.wait(std::chrono::milliseconds(700));
  CHECK(seen[2]->status == 503);
}

TEST_CASE("requests count for their lane's aims: answered in time, late, broken off, refused") {
  Stage stage;
  stage.put("aim/swift", R"({"lane":"pay","first_piece":100})");
  stage.put("aim/other", R"({"lane":"tell"})");
  EXPECT_ATTEMPTS(stage, 3);
  ALLOW_CALL(stage.exchange, cancel(_));
  stage.ask("/pay");
  stage.ask("/pay");
  stage.attempts[0].watcher->on_head(200, {});
  stage.attempts[0].watcher->on_end(AttemptEnd::whole);
  stage.wait(std::chrono::milliseconds(200));
  stage.attempts[1].watcher->on_head(200, {});
  stage.attempts[1].watcher->on_end(AttemptEnd::whole);
  stage.ask("/pay");
  stage.attempts[2].watcher->on_head(200, {});
  stage.attempts[2].watcher->on_end(AttemptEnd::broken);
  stage.board.draining = true;
  stage.ask("/pay");
  const auto& counts = stage.entries.counts().aims;
  REQUIRE(counts.contains("swift"));
  CHECK(counts.at("swift").ended == 4);
  CHECK(counts.at("swift").answered == 2);
  CHECK(counts.at("swift").in_time == 1);
  CHECK_FALSE(counts.contains("other"));
}

TEST_CASE("a refused caller is told to come back later where more of its lane wait") {
  Stage stage;
  EXPECT_ATTEMPTS(stage, 9);
  std::vector<std::shared_ptr<Seen>> seen;
  for (int count = 0; count < 60; ++count) seen.push_back(stage.ask("/pay"));
  stage.wait(std::chrono::milliseconds(700));
  REQUIRE(seen[9]->status == 503);
  REQUIRE(seen[59]->status == 503);
  CHECK(std::stoi(seen[9]->retry_after) >= 30);
  CHECK(std::stoi(seen[59]->retry_after) <= 4);
}

TEST_CASE("without a permit nothing is sent; a daemon that finds no control daemon goes on with what it knows") {
  Stage stage;
  stage.board.permit_until = stage.world.now().microseconds - 1;
  auto seen = stage.ask("/pay");
  stage.wait(std::chrono::milliseconds(100));
  CHECK(seen->status == 0);
  EXPECT_ATTEMPTS(stage, 1);
  // The search has gone on for over a second while news ran all the time.
  stage.board.permit_sought = stage.world.now().microseconds - 1100000;
  stage.board.news_tick = stage.world.now().microseconds;
  stage.wait(std::chrono::milliseconds(100));
  CHECK(stage.attempts.size() == 1);
}

TEST_CASE("a daemon that was never whole lets requests wait a little for the policy, then refuses") {
  Stage stage;
  stage.board.permit_until = -1;
  auto first = stage.ask("/pay");
  auto lost = stage.ask("/nothing");
  stage.wait(std::chrono::milliseconds(1000));
  CHECK((first->status == 0 && lost->status == 0));
  {
    EXPECT_ATTEMPTS(stage, 1);
    stage.permit();
    stage.wait(std::chrono::milliseconds(40));
    CHECK(stage.attempts.size() == 1);
    CHECK(lost->status == 404);
  }
  stage.board.permit_until = -1;
  auto second = stage.ask("/pay");
  stage.wait(std::chrono::milliseconds(2540));
  CHECK((second->status == 503 && second->outcome == "refused" && !second->retry_after.empty()));
  CHECK(stage.entries.counts().refusals.at("starting") == 1);
}

TEST_CASE("a daemon that was frozen sends nothing before it has a permit again") {
  Stage stage;
  stage.permit();
  stage.board.permit_until = 5;
  stage.board.permit_sought = 6;      // sought long ago, but news has not run since: a freeze
  stage.board.news_tick = 6;
  stage.wait(std::chrono::seconds(2));
  auto seen = stage.ask("/pay");
  stage.wait(std::chrono::milliseconds(100));
  CHECK(seen->status == 0);
}

TEST_CASE("a path without a lane and a daemon that drains answer at once") {
  Stage stage;
  CHECK(stage.ask("/nothing")->status == 404);
  stage.board.draining = true;
  auto seen = stage.ask("/pay");
  CHECK((seen->status == 503 && seen->outcome == "refused" && !seen->retry_after.empty()));
}

TEST_CASE("a warming runner gets no more from all daemons together than its growing limit") {
  // Six daemons with no news of each other, and one cold runner of sixteen slots that all of them would send to.
  std::size_t at_first = 0, halfway = 0;
  for (int index = 1; index <= 6; ++index) {
    simulate::World world{3};
    simulate::SimulatedSchedule schedule{world, std::make_shared<simulate::Life>()};
    SilentWire wire;
    Member self = Stage::self();
    self.address = Address("10.0.0." + std::to_string(index) + ":1");
    Post post{wire, schedule, self.address, 1, "routes"};
    Board board;
    PolicyView view;
    for (auto [key, value] : {std::pair<const char*, const char*>{"kind/model", R"({"circle":{"ramp":10000}})"}, {"lane/pay", R"({"path":"/pay","kind":"model"})"}, {"runner/one", R"({"kind":"model","address":"10.0.1.1:80","hall":"north","slots":16})"}, {"circle/model", R"({"members":["one"],"warm":[]})"}}) {
      const Bytes bytes = value;
      REQUIRE(put_in_view(view, key, &bytes, Stamp{}));
    }
    board.policy.set(view);
    Members members;
    for (int other = 1; other <= 6; ++other) {
      Member member = self;
      member.address = Address("10.0.0." + std::to_string(other) + ":1");
      members.all[member.address] = member;
    }
    board.members.set(members);
    board.permit_until = INT64_MAX / 2;
    MockExchange exchange;
    Entries entries{post, board, exchange, world.chance, self};
    entries.start();
    std::size_t offered = 0;
    ALLOW_CALL(exchange, start(_, _)).LR_SIDE_EFFECT(++offered).RETURN(1);
    ALLOW_CALL(exchange, cancel(_));
    std::vector<Entries::Id> ids;
    auto ask_often = [&] {
      for (int count = 0; count < 5; ++count) ids.push_back(entries.arrive(LiveRequest{"POST", "/pay", {}, std::make_shared<const Bytes>("")}, std::make_shared<SeeingCaller>(std::make_shared<Seen>())));
    };
    ask_often();
    at_first += offered;
    for (const auto id : ids) entries.gone(id);
    world.run_until(world.now() + std::chrono::seconds(5));
    offered = 0;
    ask_often();
    halfway += offered;
  }
  CHECK(at_first == 4);    // a quarter of the slots
  CHECK(halfway == 10);    // five eighths of them
}
