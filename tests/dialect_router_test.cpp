// Live requests with a dialect whose headers carry more: weighted kinds, prompt parts, time budgets, guarantees that a
// request did not run, and cold runners.
#include "header_dialect_fixture.hpp"

TEST_CASE("an attempt names its runner and carries the client's remaining time, at most the lane's limit") {
  HeaderDialectFixture fixture;
  EXPECT_ATTEMPTS(fixture, 2);
  fixture.send_request("/pay", {{"Budget", "1500"}});
  CHECK((fixture.attempt_header(0, "Left") == "1500" &&
         fixture.attempts[0].request.runner == fixture.attempt_header(0, "Runner")));
  fixture.send_request("/pay", {{"Budget", "60000"}});
  CHECK(fixture.attempt_header(1, "Left") == "5000");
}

TEST_CASE("when the client's time budget ends, a waiting request is refused, and a sent one has the outcome unknown") {
  HeaderDialectFixture fixture;
  EXPECT_ATTEMPTS(fixture, 1);
  ALLOW_CALL(fixture.runner_client, cancel(_));
  auto sent = fixture.send_request("/pay", {{"Budget", "300"}});
  fixture.shared_state.lease_until = 1;
  auto waiting = fixture.send_request("/pay", {{"Budget", "300"}});
  fixture.wait(std::chrono::milliseconds(290));
  CHECK((sent->status == 0 && waiting->status == 0));
  fixture.wait(std::chrono::milliseconds(12));
  CHECK((sent->status == 504 && waiting->status == 503 && waiting->outcome == "refused"));
}

TEST_CASE("a lane for the request's host has precedence over one for any host, and hop-by-hop headers are removed") {
  HeaderDialectFixture fixture;
  fixture.put("kind/other", R"({})");
  fixture.put("runner/four", R"({"kind":"other","address":"10.0.1.9:80","zone":"north","slots":2})");
  fixture.put("circle/other", R"({"members":["four"],"warm":["four"]})");
  fixture.put("lane/hosted", R"({"path":"/pay","host":"here.example","kind":"other"})");
  EXPECT_ATTEMPTS(fixture, 2);
  fixture.send_request(
      "/pay",
      {{"Host", "Here.example:80"}, {"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"X-ReplicatedStore", "1"}});
  fixture.send_request("/pay", {{"Host", "there.example"}});
  CHECK(fixture.attempts[0].request.to.text == "10.0.1.9:80");
  CHECK(fixture.attempts[1].request.to.text != "10.0.1.9:80");
  CHECK((fixture.attempt_header(0, "X-Hop").empty() && fixture.attempt_header(0, "X-ReplicatedStore") == "1" &&
         fixture.attempt_header(0, "Host") == "Here.example:80"));
}

TEST_CASE("requests are spread over a lane's kinds by weight; another kind replaces one without usable runners") {
  HeaderDialectFixture fixture;
  fixture.put("kind/other", R"({})");
  fixture.put("runner/four", R"({"kind":"other","address":"10.0.1.9:80","zone":"north","slots":100})");
  fixture.put("circle/other", R"({"members":["four"],"warm":["four"]})");
  fixture.put(
      "lane/split",
      R"({"path":"/split","kind":"model","shares":[{"kind":"model","weight":90},{"kind":"other","weight":10},{"kind":"never_known","weight":0}]})");
  EXPECT_ATTEMPTS(fixture, 50);
  std::size_t other = 0;
  for (std::size_t count = 0; count < 40; ++count) {
    fixture.send_request("/split", {});
    other += fixture.attempts[count].request.to.text == "10.0.1.9:80";
    CHECK(other >= (count + 1) / 10);
    CHECK(other <= (count + 10) / 10);
    fixture.complete_attempt(count);
  }
  CHECK(other == 4);
  fixture.put("zone/north", R"({"evacuated":false})");
  for (const char* name : {"one", "two", "three"})
    fixture.put(std::string("runner/") + name,
                R"({"kind":"model","address":"10.0.1.1:80","zone":"north","leaving":true})");
  for (std::size_t count = 40; count < 50; ++count) {
    fixture.send_request("/split", {});
    CHECK(fixture.attempts[count].request.to.text == "10.0.1.9:80");
    fixture.complete_attempt(count);
  }
}

TEST_CASE("a daemon without a lease lets requests for unknown paths wait until it has the newest lanes") {
  HeaderDialectFixture fixture;
  fixture.shared_state.lease_until = fixture.world.now().microseconds - 1;
  auto known_later = fixture.send_request("/new", {});
  auto never_known = fixture.send_request("/never", {});
  fixture.wait(std::chrono::milliseconds(100));
  CHECK((known_later->status == 0 && never_known->status == 0));
  fixture.put("lane/new", R"({"path":"/new","kind":"model"})");
  EXPECT_ATTEMPTS(fixture, 1);
  fixture.lease();
  fixture.wait(std::chrono::milliseconds(40));
  CHECK(fixture.attempts.size() == 1);
  CHECK(never_known->status == 404);
}

TEST_CASE("a waiting request follows a change of its lane") {
  HeaderDialectFixture fixture;
  fixture.shared_state.lease_until = 1;
  fixture.send_request("/pay", {});
  fixture.put("kind/other", R"({})");
  fixture.put("runner/four", R"({"kind":"other","address":"10.0.1.9:80","zone":"north","slots":2})");
  fixture.put("circle/other", R"({"members":["four"],"warm":["four"]})");
  const Bytes lane = R"({"path":"/pay","kind":"other"})";
  REQUIRE(apply_to_view(fixture.view, "lane/pay", &lane, Stamp{Epoch{1}, Version{2}}));
  fixture.shared_state.configuration.set(fixture.view);
  EXPECT_ATTEMPTS(fixture, 1);
  fixture.lease();
  fixture.wait(std::chrono::milliseconds(40));
  REQUIRE(fixture.attempts.size() == 1);
  CHECK(fixture.attempts[0].request.to.text == "10.0.1.9:80");
}

TEST_CASE("a request that its runner guarantees not to have run is retried within the lane's attempts, then refused") {
  for (const int status : {503, 429, 421}) {
    HeaderDialectFixture fixture;
    EXPECT_ATTEMPTS(fixture, 2);
    auto seen = fixture.send_request("/pay", {});
    fixture.complete_attempt(0, status, {{"Not-Run", "1"}});
    REQUIRE(fixture.attempts.size() == 2);
    CHECK(fixture.attempt_header(0, "Runner") != fixture.attempt_header(1, "Runner"));
    CHECK(seen->status == 0);
    fixture.complete_attempt(1, status, {{"Not-Run", "1"}});
    CHECK((seen->status == 503 && seen->outcome == "refused" && !seen->retry_after.empty()));
  }
}

// Guards against requests that run twice: the runner client tells by the id which connections a retry must not use.
TEST_CASE("all attempts at a request state the client's id, also if a runner is tried again") {
  HeaderDialectFixture fixture;
  fixture.put("lane/pay", R"({"path":"/pay","kind":"model","attempts":4,"waiting":500,"whole":5000})");
  EXPECT_ATTEMPTS(fixture, 4);
  auto seen = fixture.send_request("/pay", {{"Id", "once"}});
  std::map<std::string, int> attempts_by_runner;
  for (std::size_t attempt = 0; attempt < 4; ++attempt) {
    REQUIRE(fixture.attempts.size() == attempt + 1);
    CHECK(fixture.attempts[attempt].request.id == "once");
    ++attempts_by_runner[fixture.attempts[attempt].request.runner];
    fixture.complete_attempt(attempt, 503, {{"Not-Run", "1"}, {"Id", "once"}});
    fixture.wait(std::chrono::milliseconds(100));
  }
  CHECK(attempts_by_runner.size() == 3);
  CHECK((seen->status == 503 && seen->outcome == "refused"));
}

TEST_CASE("an error status without that guarantee is relayed; a repeatable request is retried elsewhere first") {
  HeaderDialectFixture fixture;
  EXPECT_ATTEMPTS(fixture, 4);
  auto pay = fixture.send_request("/pay", {});
  fixture.complete_attempt(0, 503);
  CHECK((pay->status == 503 && pay->outcome == "answer"));
  fixture.put("lane/tell", R"({"path":"/tell","kind":"model","repeatable":true,"attempts":2})");
  auto tell = fixture.send_request("/tell", {});
  fixture.complete_attempt(1, 500);
  CHECK(tell->status == 0);
  fixture.complete_attempt(2, 500);
  CHECK((tell->status == 500 && tell->outcome == "answer"));
  auto wrong = fixture.send_request("/tell", {});
  fixture.complete_attempt(3, 404);
  CHECK((wrong->status == 404 && wrong->outcome == "answer"));
}

TEST_CASE("a runner address with another instance gets no requests until the list of runners may be up to date") {
  HeaderDialectFixture fixture;
  fixture.put("circle/model", R"({"members":["one"],"warm":["one"]})");
  EXPECT_ATTEMPTS(fixture, 2);
  auto first = fixture.send_request("/pay", {});
  fixture.complete_attempt(0, 421);
  fixture.wait(std::chrono::milliseconds(400));
  CHECK(fixture.attempts.size() == 1);
  fixture.wait(std::chrono::milliseconds(200));
  CHECK(first->status == 503);
  fixture.wait(std::chrono::milliseconds(1000));
  fixture.send_request("/pay", {});
  CHECK(fixture.attempts.size() == 2);
}

TEST_CASE("a response that belongs to another request is discarded, and the outcome of the request is unknown") {
  HeaderDialectFixture fixture;
  EXPECT_ATTEMPTS(fixture, 3);
  REQUIRE_CALL(fixture.runner_client, cancel(_)).TIMES(2);
  auto pay = fixture.send_request("/pay", {{"Id", "a"}});
  fixture.attempts[0].observer->on_head(200, {{"Id", "b"}});
  CHECK((pay->status == 502 && pay->outcome == "unknown"));
  auto stream = fixture.send_request("/stream", {{"Id", "a"}});
  fixture.attempts[1].observer->on_head(200, {{"Id", "b"}});
  CHECK((stream->status == 0 && fixture.attempts.size() == 3));
}

TEST_CASE("a refusal without its runner's guarantee has the outcome unknown; a repeatable request is retried") {
  HeaderDialectFixture fixture;
  fixture.put("lane/tell", R"({"path":"/tell","kind":"model","repeatable":true,"attempts":2})");
  EXPECT_ATTEMPTS(fixture, 3);
  auto pay = fixture.send_request("/pay", {});
  fixture.complete_attempt(0, 503, {{"False", "1"}});
  CHECK((pay->status == 502 && pay->outcome == "unknown"));
  auto tell = fixture.send_request("/tell", {});
  fixture.complete_attempt(1, 503, {{"False", "1"}});
  REQUIRE(fixture.attempts.size() == 3);
  fixture.complete_attempt(2);
  CHECK(tell->status == 200);
}

TEST_CASE("each attempt of a request gets no more time than the client has left") {
  HeaderDialectFixture fixture;
  EXPECT_ATTEMPTS(fixture, 2);
  fixture.send_request("/stream", {{"Budget", "1500"}});
  fixture.wait(std::chrono::milliseconds(700));
  fixture.attempts[0].observer->on_end(AttemptOutcome::broken);
  REQUIRE(fixture.attempts.size() == 2);
  CHECK((fixture.attempt_header(0, "Left") == "1500" && fixture.attempt_header(1, "Left") == "800"));
}

TEST_CASE("requests with the same prefix go to the same runner while its load allows, and prefixes are distributed") {
  HeaderDialectFixture fixture;
  fixture.put("lane/pay", R"({"path":"/pay","kind":"model","affinity":true})");
  EXPECT_ATTEMPTS(fixture, 203);
  std::map<std::string, int> attempts_by_runner;
  for (std::size_t prefix = 0; prefix < 100; ++prefix) {
    for (std::size_t count = 0; count < 2; ++count) {
      fixture.send_request("/pay", {{"Prefix", "p" + std::to_string(prefix)}});
      fixture.complete_attempt(2 * prefix + count);
    }
    CHECK(fixture.attempt_header(2 * prefix, "Runner") == fixture.attempt_header(2 * prefix + 1, "Runner"));
    ++attempts_by_runner[fixture.attempt_header(2 * prefix, "Runner")];
  }
  CHECK(attempts_by_runner.size() == 3);
  for (const auto& [runner, count] : attempts_by_runner) CHECK((count > 15 && count < 55));
  // Two requests that run on a runner leave no room for a third one.
  std::set<std::string> used;
  for (std::size_t count = 0; count < 3; ++count) {
    fixture.send_request("/pay", {{"Prefix", "p0"}});
    used.insert(fixture.attempt_header(200 + count, "Runner"));
  }
  CHECK(used.size() >= 2);
}

TEST_CASE("the memory of an engine limits its requests like its slots do") {
  HeaderDialectFixture fixture;
  fixture.put("kind/model", R"({"engine":{"memory_tokens":12000}})");
  fixture.put("circle/model", R"({"members":["one"],"warm":["one"]})");
  fixture.put("runner/one", R"({"kind":"model","address":"10.0.1.1:80","zone":"north","slots":32})");
  EXPECT_ATTEMPTS(fixture, 2);
  for (int count = 0; count < 3; ++count) fixture.send_request("/pay", {{"Prefix", "p"}});
  CHECK(fixture.attempts.size() == 2);
}

// Guards against a request larger than a runner's memory that delays all later requests until it is refused.
TEST_CASE("a request that needs an idle runner does not block the requests behind it") {
  HeaderDialectFixture fixture;
  fixture.put("kind/model", R"({"engine":{"memory_tokens":12000}})");
  fixture.put("circle/model", R"({"members":["one"],"warm":["one"]})");
  fixture.put("runner/one", R"({"kind":"model","address":"10.0.1.1:80","zone":"north","slots":32})");
  EXPECT_ATTEMPTS(fixture, 2);
  fixture.send_request("/pay", {{"Prefix", "p"}});
  auto large = fixture.send_request("/pay", {{"Prefix", "p"}, {"Long", "12001"}});
  CHECK(fixture.attempts.size() == 1);
  fixture.send_request("/pay", {{"Prefix", "p"}});
  CHECK(fixture.attempts.size() == 2);
  fixture.wait(std::chrono::milliseconds(600));
  CHECK((large->status == 503 && large->outcome == "refused"));
}

TEST_CASE("the load that a runner reports counts as load by other daemons") {
  HeaderDialectFixture fixture;
  fixture.put("circle/model", R"({"members":["one","two"],"warm":["one","two"]})");
  EXPECT_ATTEMPTS(fixture, 3);
  fixture.send_request("/pay", {});
  const std::string busy = fixture.attempt_header(0, "Runner");
  fixture.complete_attempt(0, 200, {{"Load", "3"}});
  for (std::size_t count = 1; count < 3; ++count) {
    fixture.send_request("/pay", {});
    CHECK(fixture.attempt_header(count, "Runner") != busy);
  }
}

TEST_CASE("a cold runner gets no requests while a warm one is usable, and otherwise few from all daemons together") {
  // Six daemons that know nothing of each other but their number.
  std::vector<std::int64_t> offered;
  for (int index = 1; index <= 6; ++index) {
    HeaderDialectFixture fixture;
    Members members;
    for (int other = 1; other <= 6; ++other) {
      Member member = Fixture::self();
      member.address = Address("10.0.0." + std::to_string(other) + ":1");
      members.all[member.address] = member;
    }
    fixture.shared_state.members.set(members);
    fixture.put("kind/model", R"({"cold_rate":10,"circle":{"ramp":1}})");
    fixture.put("lane/pay", R"({"path":"/pay","kind":"model","waiting":60000})");
    RunnerListing listing;
    for (const char* name : {"cold", "warm"}) {
      Runner runner;
      runner.kind = KindId("model");
      runner.address = Address(std::string("10.0.2.") + (name[0] == 'c' ? "1:80" : "2:80"));
      runner.zone = ZoneId("north");
      runner.slots = 400;
      if (name[0] == 'c') runner.cold = std::chrono::seconds(3);
      listing.runners[name] = runner;
    }
    const Bytes listed = to_cbor(listing);
    REQUIRE(apply_to_view(fixture.view, listing_key, &listed, Stamp{Epoch{1}, Version{1}}));
    fixture.put("circle/model", R"({"members":["cold","warm"],"warm":["cold","warm"]})");
    ALLOW_CALL(fixture.runner_client, start(_, _))
        .LR_SIDE_EFFECT(fixture.attempts.push_back({_1, _2}))
        .LR_RETURN(fixture.attempts.size());
    for (int count = 0; count < 20; ++count) fixture.send_request("/pay", {});
    CHECK(fixture.attempts.size() == 20);
    for (const auto& attempt : fixture.attempts) CHECK(attempt.request.runner == "warm");
    const std::size_t before = fixture.attempts.size();
    fixture.put("circle/model", R"({"members":["cold"],"warm":["cold"]})");
    const auto began = fixture.world.now();
    for (int count = 0; count < 100; ++count) fixture.send_request("/pay", {});
    std::size_t seen = before;
    while (fixture.world.now() - began < std::chrono::milliseconds(2900)) {
      for (; seen < fixture.attempts.size(); ++seen) offered.push_back((fixture.world.now() - began).count());
      fixture.wait(std::chrono::milliseconds(10));
    }
    CHECK(fixture.attempts.size() > before);
    fixture.wait(std::chrono::milliseconds(200));
    CHECK(fixture.attempts.size() == before + 100);
  }
  std::sort(offered.begin(), offered.end());
  for (const auto from : offered)
    CHECK(std::count_if(offered.begin(), offered.end(),
                        [&](std::int64_t at) { return at >= from && at < from + 1000000; }) <= 10 * 1.5 + 5);
}

TEST_CASE("a waiting request is not sent to a runner in a zone that is being evacuated") {
  HeaderDialectFixture fixture;
  fixture.put("runner/three", R"({"kind":"model","address":"10.0.1.3:80","zone":"south","slots":2})");
  fixture.shared_state.lease_until = 1;
  for (int count = 0; count < 3; ++count) fixture.send_request("/pay", {});
  fixture.put("zone/north", R"({"evacuated":true})");
  EXPECT_ATTEMPTS(fixture, 3);
  fixture.lease();
  fixture.wait(std::chrono::milliseconds(40));
  for (const auto& attempt : fixture.attempts) CHECK(attempt.request.runner == "three");
}

TEST_CASE("a draining daemon serves requests over open connections if it is configured to") {
  HeaderDialectFixture fixture;
  fixture.router.serves_while_draining = true;
  fixture.shared_state.draining = true;
  EXPECT_ATTEMPTS(fixture, 1);
  auto seen = fixture.send_request("/pay", {});
  fixture.complete_attempt(0);
  CHECK((seen->status == 200 && seen->ended));
}

TEST_CASE("at the drain deadline a waiting request is refused, and a sent one has the outcome unknown") {
  HeaderDialectFixture fixture;
  fixture.router.serves_while_draining = true;
  EXPECT_ATTEMPTS(fixture, 2);
  ALLOW_CALL(fixture.runner_client, cancel(_));
  auto begun_stream = fixture.send_request("/stream", {{"Budget", "5000"}});
  fixture.attempts[0].observer->on_head(200, {});
  auto sent = fixture.send_request("/pay", {{"Budget", "5000"}});
  fixture.shared_state.lease_until = 1;
  fixture.put("lane/pay", R"({"path":"/pay","kind":"model","attempts":2,"waiting":5000,"whole":5000})");
  auto waiting = fixture.send_request("/pay", {{"Budget", "5000"}});
  fixture.shared_state.draining = true;
  fixture.router.set_drain_deadline(fixture.world.now() + std::chrono::milliseconds(300));
  auto late = fixture.send_request("/pay", {{"Budget", "5000"}});
  fixture.wait(std::chrono::milliseconds(290));
  CHECK((sent->status == 0 && waiting->status == 0 && late->status == 0));
  fixture.wait(std::chrono::milliseconds(12));
  CHECK(sent->status == 504);
  CHECK((waiting->status == 503 && waiting->outcome == "refused" && !waiting->retry_after.empty()));
  CHECK((late->status == 503 && late->outcome == "refused"));
  CHECK_FALSE(begun_stream->broken);
  fixture.attempts[0].observer->on_end(AttemptOutcome::complete);
  CHECK((begun_stream->status == 200 && begun_stream->ended));
}

TEST_CASE("a request that will miss its lane's target time is refused early; one that can meet it keeps waiting") {
  HeaderDialectFixture fixture;
  fixture.put("lane/pay", R"({"path":"/pay","kind":"model","aim":1000,"waiting":5000})");
  ALLOW_CALL(fixture.runner_client, start(_, _))
      .LR_SIDE_EFFECT(fixture.attempts.push_back({_1, _2}))
      .LR_RETURN(fixture.attempts.size());
  // Nine requests run and five wait, and the lane answers two requests a second.
  std::vector<std::shared_ptr<ReceivedResponse>> seen;
  for (int count = 0; count < 11; ++count) seen.push_back(fixture.send_request("/pay", {}));
  fixture.complete_attempt(0);
  fixture.complete_attempt(1);
  for (int count = 0; count < 5; ++count) seen.push_back(fixture.send_request("/pay", {}));
  fixture.wait(std::chrono::milliseconds(150));
  CHECK(fixture.router.counts().refusals.empty());
  fixture.wait(std::chrono::milliseconds(90));
  CHECK(fixture.router.counts().refusals.at("busy") >= 3);
  CHECK(fixture.router.counts().refusals.at("busy") < 5);
}

TEST_CASE("a runner that answers one request counts as responsive, and unrepeatable requests are not moved") {
  HeaderDialectFixture fixture;
  fixture.put("circle/model", R"({"members":["one"],"warm":["one"]})");
  fixture.put("lane/once",
              R"({"path":"/once","kind":"model","streaming":true,"attempts":2,"aim":250,"gap":200,"whole":5000})");
  fixture.put(
      "lane/stream",
      R"({"path":"/stream","kind":"model","streaming":true,"resumable":true,"attempts":2,"aim":250,"gap":200,"whole":5000})");
  EXPECT_ATTEMPTS(fixture, 2);
  auto once = fixture.send_request("/once", {});
  auto waits = fixture.send_request("/stream", {});
  fixture.attempts[0].observer->on_head(200, {});
  for (int count = 1; count < 6; ++count) {
    fixture.attempts[0].observer->on_chunk("id: " + std::to_string(count) + "\ndata: a\n\n");
    fixture.wait(std::chrono::milliseconds(400));
  }
  CHECK((once->text.size() > 50 && waits->status == 0));
  fixture.attempts[1].observer->on_head(200, {});
  fixture.attempts[1].observer->on_end(AttemptOutcome::complete);
  fixture.wait(std::chrono::milliseconds(2000));
  CHECK_FALSE(once->broken);
  fixture.attempts[0].observer->on_end(AttemptOutcome::complete);
  CHECK(once->ended);
}

TEST_CASE("very long prompts and other prompts go to separate members while these have room") {
  HeaderDialectFixture fixture;
  fixture.put("kind/model", R"({"engine":{"memory_tokens":8000000}})");
  std::string members;
  for (int index = 0; index < 7; ++index) {
    const std::string name = "m" + std::to_string(index);
    fixture.put("runner/" + name, R"({"kind":"model","address":"10.0.3.)" + std::to_string(index) + R"(:80","zone":")" +
                                      (index % 2 == 0 ? "north" : "south") + R"(","slots":40})");
    members += (members.empty() ? "\"" : ",\"") + name + "\"";
  }
  fixture.put("circle/model", "{\"members\":[" + members + "],\"warm\":[" + members + "]}");
  ALLOW_CALL(fixture.runner_client, start(_, _))
      .LR_SIDE_EFFECT(fixture.attempts.push_back({_1, _2}))
      .LR_RETURN(fixture.attempts.size());
  std::set<std::string> large, small;
  std::size_t count = 0;
  for (int round = 0; round < 20; ++round) {
    for (int each = 0; each < 8; ++each, ++count) {
      fixture.send_request("/pay", {{"Prefix", "p" + std::to_string(each)}});
      if (round > 0) small.insert(fixture.attempt_header(count, "Runner"));
    }
    fixture.send_request("/pay", {{"Prefix", "p"}, {"Long", "300000"}});
    large.insert(fixture.attempt_header(count++, "Runner"));
    if (round % 4 == 3)
      for (std::size_t done = count - 36; done < count; ++done) fixture.complete_attempt(done);
  }
  CHECK(large.size() == 3);
  CHECK(small.size() == 4);
  for (const auto& name : large) CHECK_FALSE(small.contains(name));
}

TEST_CASE("a daemon that knows no lanes at all does not answer that a path has no lane") {
  HeaderDialectFixture fixture;
  const ConfigurationView complete_view = fixture.view;
  fixture.shared_state.configuration.set(ConfigurationView{});
  auto seen = fixture.send_request("/pay", {});
  fixture.wait(std::chrono::milliseconds(200));
  CHECK(seen->status == 0);
  EXPECT_ATTEMPTS(fixture, 1);
  fixture.shared_state.configuration.set(complete_view);
  fixture.wait(std::chrono::milliseconds(40));
  CHECK(fixture.attempts.size() == 1);
}
