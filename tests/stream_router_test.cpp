// Streams that are interrupted, resumed at another runner, or continue after their lane was removed.
#include "header_dialect_fixture.hpp"

namespace {

// A stream and a repeatable request whose only runner aborted both responses. Both wait for the runner to be usable
// again, and the stream's client has received the response head.
struct InterruptedFixture : HeaderDialectFixture {
  InterruptedFixture() {
    put("lane/tell", R"({"path":"/tell","kind":"model","repeatable":true,"attempts":3,"waiting":2000,"whole":5000})");
    put("lane/stream",
        R"({"path":"/stream","kind":"model","streaming":true,"resumable":true,"attempts":3,"waiting":2000,"whole":5000})");
    put("circle/model", R"({"members":["one"],"warm":["one"]})");
    stream = send_request("/stream", {});
    request = send_request("/tell", {});
    attempts[0].observer->on_head(200, {{"Content-Type", "text/event-stream"}});
    attempts[0].observer->on_chunk("id: 1\ndata: a\n\n");
    attempts[0].observer->on_end(AttemptOutcome::broken);
    attempts[1].observer->on_end(AttemptOutcome::broken);
  }
  void remove(const std::string& key) {
    REQUIRE(apply_to_view(view, key, nullptr, Stamp{}));
    shared_state.configuration.set(view);
  }
  std::unique_ptr<trompeloeil::expectation> sending = NAMED_ALLOW_CALL(runner_client, start(_, _))
                                                          .LR_SIDE_EFFECT(attempts.push_back({_1, _2}))
                                                          .LR_RETURN(attempts.size());
  std::shared_ptr<ReceivedResponse> stream, request;
};

}  // namespace

// Guards against a 404 error reply of this daemon in the middle of a client's event stream.
TEST_CASE("a stream that waits for a runner is resumed even if its lane is removed or becomes a batch lane") {
  for (const bool removed : {true, false}) {
    InterruptedFixture fixture;
    CHECK((fixture.stream->status == 200 && fixture.attempts.size() == 2));
    if (removed)
      fixture.remove("lane/stream");
    else
      fixture.put("lane/stream", R"({"path":"/stream","kind":"model","batch":true})");
    fixture.wait(std::chrono::milliseconds(100));
    CHECK((!fixture.stream->ended && !fixture.stream->broken));
    fixture.wait(std::chrono::seconds(1));
    REQUIRE(fixture.attempts.size() == 3);
    CHECK(fixture.attempt_header(2, "After") == "1");
    fixture.attempts[2].observer->on_head(200, {});
    fixture.attempts[2].observer->on_chunk("id: 2\ndata: b\n\n");
    fixture.attempts[2].observer->on_end(AttemptOutcome::complete);
    CHECK(fixture.stream->text == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK((fixture.stream->ended && !fixture.stream->broken));
    CHECK(fixture.send_request("/stream", {})->status == 404);
  }
}

// Guards against the same error reply when no kind of runner is left that could resume the stream.
TEST_CASE("a stream that waits for a runner is visibly aborted if its lane and its kind of runner are removed") {
  InterruptedFixture fixture;
  fixture.remove("lane/stream");
  fixture.remove("kind/model");
  fixture.wait(std::chrono::milliseconds(100));
  CHECK((fixture.stream->broken && !fixture.stream->ended));
  CHECK(fixture.stream->text == "id: 1\ndata: a\n\n");
  CHECK(fixture.router.counts().breaks.at("lane") == 1);
}

// Guards against the outcome "refused", which guarantees that the request did not run, for a request that a runner
// began.
TEST_CASE("a waiting request that may have run has the outcome unknown, not refused, if its lane is removed") {
  InterruptedFixture fixture;
  fixture.remove("lane/tell");
  fixture.wait(std::chrono::milliseconds(100));
  CHECK((fixture.request->status == 502 && fixture.request->outcome == "unknown"));
}

TEST_CASE("an interrupted stream is resumed at another runner in the same response, and no event is lost or repeated") {
  HeaderDialectFixture fixture;
  EXPECT_ATTEMPTS(fixture, 2);
  auto seen = fixture.send_request("/stream", {});
  fixture.attempts[0].observer->on_head(200, {{"Seal", "first"}, {"Version", "1"}});
  fixture.attempts[0].observer->on_chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  CHECK(seen->text == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  fixture.attempts[0].observer->on_end(AttemptOutcome::broken);
  REQUIRE(fixture.attempts.size() == 2);
  CHECK((fixture.attempt_header(1, "After") == "2" &&
         fixture.attempt_header(1, "Runner") != fixture.attempt_header(0, "Runner")));
  fixture.attempts[1].observer->on_head(200, {{"Seal", "second"}, {"Version", "1"}});
  fixture.attempts[1].observer->on_chunk("id: 3\ndata: c\n\n");
  fixture.attempts[1].observer->on_end(AttemptOutcome::complete);
  CHECK((seen->text == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" && seen->ended && !seen->broken));
  CHECK(fixture.router.counts().resumed == 1);
}

TEST_CASE("a stream is visibly aborted if it cannot resume in order, with the same weights and within the attempts") {
  for (const std::string how : {"gap", "double", "version", "refused", "again"}) {
    HeaderDialectFixture fixture;
    EXPECT_ATTEMPTS(fixture, 2);
    ALLOW_CALL(fixture.runner_client, cancel(_));
    auto seen = fixture.send_request("/stream", {});
    fixture.attempts[0].observer->on_head(200, {{"Version", "1"}});
    fixture.attempts[0].observer->on_chunk("id: 1\ndata: a\n\n");
    fixture.attempts[0].observer->on_end(AttemptOutcome::broken);
    REQUIRE(fixture.attempts.size() == 2);
    if (how == "refused") {
      fixture.complete_attempt(1, 503, {{"Not-Run", "1"}});
    } else {
      fixture.attempts[1].observer->on_head(200, {{"Version", how == "version" ? "2" : "1"}});
      if (how == "gap") fixture.attempts[1].observer->on_chunk("id: 3\ndata: c\n\n");
      if (how == "double") fixture.attempts[1].observer->on_chunk("id: 1\ndata: a\n\n");
      if (how == "again") fixture.attempts[1].observer->on_end(AttemptOutcome::broken);
    }
    CHECK((seen->broken && !seen->ended && seen->text == "id: 1\ndata: a\n\n"));
    CHECK(fixture.router.open() == 0);
  }
}

TEST_CASE("a stream is resumed with the weights of its last complete event, and retried if a runner has others") {
  HeaderDialectFixture fixture;
  fixture.put("lane/stream",
              R"({"path":"/stream","kind":"model","streaming":true,"resumable":true,"attempts":3,"whole":5000})");
  EXPECT_ATTEMPTS(fixture, 4);
  auto seen = fixture.send_request("/stream", {});
  CHECK(fixture.attempt_header(0, "Expected").empty());
  fixture.attempts[0].observer->on_head(200, {{"Version", "1"}});
  fixture.attempts[0].observer->on_chunk("id: 1\ndata: a\n\nweights: 2\nid: 2\ndata: b\n\nweights: 3\nid: 3\nda");
  fixture.attempts[0].observer->on_end(AttemptOutcome::broken);
  REQUIRE(fixture.attempts.size() == 2);
  CHECK((fixture.attempt_header(1, "Expected") == "2" && fixture.attempt_header(1, "After") == "2"));
  fixture.complete_attempt(1, 421);
  REQUIRE(fixture.attempts.size() == 3);
  CHECK((fixture.attempt_header(2, "Expected") == "2" &&
         fixture.attempt_header(2, "Runner") != fixture.attempt_header(1, "Runner")));
  fixture.attempts[2].observer->on_head(200, {{"Version", "2"}});
  fixture.attempts[2].observer->on_chunk("id: 3\ndata: c\n\n");
  fixture.attempts[2].observer->on_end(AttemptOutcome::complete);
  CHECK((seen->ended && seen->text == "id: 1\ndata: a\n\nweights: 2\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
  // The runner that rejected the stream is still the listed instance, so it gets the next request.
  fixture.put("circle/model", R"({"members":[")" + fixture.attempt_header(1, "Runner") + R"("],"warm":[]})");
  fixture.wait(std::chrono::milliseconds(200));
  fixture.send_request("/pay", {});
  CHECK(fixture.attempts.size() == 4);
}

TEST_CASE("a stream that ends inside an event is resumed at another runner") {
  HeaderDialectFixture fixture;
  EXPECT_ATTEMPTS(fixture, 2);
  auto seen = fixture.send_request("/stream", {});
  fixture.attempts[0].observer->on_head(200, {});
  fixture.attempts[0].observer->on_chunk("id: 1\ndata: a\n\nid: 2\nda");
  fixture.attempts[0].observer->on_end(AttemptOutcome::complete);
  REQUIRE(fixture.attempts.size() == 2);
  CHECK((!seen->ended && fixture.attempt_header(1, "After") == "1"));
  fixture.attempts[1].observer->on_head(200, {});
  fixture.attempts[1].observer->on_chunk("id: 2\ndata: b\n\n");
  fixture.attempts[1].observer->on_end(AttemptOutcome::complete);
  CHECK((seen->ended && seen->text == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
}

TEST_CASE("a stream and an unanswered request end when the lane's total time limit is reached") {
  HeaderDialectFixture fixture;
  EXPECT_ATTEMPTS(fixture, 2);
  REQUIRE_CALL(fixture.runner_client, cancel(_)).TIMES(2);
  auto stream = fixture.send_request("/stream", {});
  auto silent = fixture.send_request("/pay", {});
  fixture.attempts[0].observer->on_head(200, {});
  for (int count = 1; count < 5; ++count) {
    fixture.wait(std::chrono::milliseconds(1000));
    fixture.attempts[0].observer->on_chunk("id: " + std::to_string(count) + "\ndata: a\n\n");
  }
  fixture.wait(std::chrono::milliseconds(990));
  CHECK((!stream->broken && silent->status == 0));
  fixture.wait(std::chrono::milliseconds(20));
  CHECK((stream->broken && silent->status == 504));
  fixture.wait(std::chrono::milliseconds(100));
  CHECK(fixture.router.open() == 0);
}

TEST_CASE("a stream that the client requests from an event id on must begin with the next id") {
  HeaderDialectFixture fixture;
  EXPECT_ATTEMPTS(fixture, 1);
  ALLOW_CALL(fixture.runner_client, cancel(_));
  auto seen = fixture.send_request("/stream", {{"Last", "7"}});
  CHECK(fixture.attempt_header(0, "After") == "7");
  fixture.attempts[0].observer->on_head(200, {});
  fixture.attempts[0].observer->on_chunk("id: 7\ndata: g\n\n");
  CHECK((seen->broken && seen->text.empty()));
}

TEST_CASE("a stream moves to another runner if its runner stops responding, and that one gets no new requests") {
  HeaderDialectFixture fixture;
  fixture.put("circle/model", R"({"members":["one","two"],"warm":["one","two"]})");
  fixture.put(
      "lane/stream",
      R"({"path":"/stream","kind":"model","streaming":true,"resumable":true,"attempts":2,"aim":250,"gap":200,"whole":5000})");
  fixture.put("lane/once",
              R"({"path":"/once","kind":"model","streaming":true,"attempts":1,"aim":250,"gap":200,"whole":5000})");
  ALLOW_CALL(fixture.runner_client, start(_, _))
      .LR_SIDE_EFFECT(fixture.attempts.push_back({_1, _2}))
      .LR_RETURN(fixture.attempts.size());
  auto first = fixture.send_request("/stream", {});
  const std::string unresponsive = fixture.attempt_header(0, "Runner");
  fixture.attempts[0].observer->on_head(200, {});
  fixture.attempts[0].observer->on_chunk("id: 1\ndata: a\n\n");
  // A stream may send nothing for this long.
  fixture.wait(std::chrono::milliseconds(500));
  CHECK(fixture.attempts.size() == 1);
  REQUIRE_CALL(fixture.runner_client, cancel(1)).TIMES(1);
  fixture.wait(std::chrono::milliseconds(300));
  REQUIRE(fixture.attempts.size() == 2);
  CHECK((fixture.attempt_header(1, "Runner") != unresponsive && fixture.attempt_header(1, "After") == "1"));
  fixture.attempts[1].observer->on_head(200, {});
  fixture.attempts[1].observer->on_chunk("id: 2\ndata: b\n\n");
  fixture.attempts[1].observer->on_end(AttemptOutcome::complete);
  CHECK((first->text == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" && first->ended));
  for (std::size_t count = 2; count < 5; ++count) {
    fixture.send_request("/once", {});
    CHECK(fixture.attempt_header(count, "Runner") != unresponsive);
  }
}
