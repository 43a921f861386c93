// The placer's side of batches: what an attempt carries, which text an answer makes, and what is told to the owner.
#include "lots_fixture.hpp"

using namespace mothwalk;
using std::chrono::milliseconds;

TEST_CASE("an item goes out with its own path, headers and body, under its id and for one runner") {
  PlacerFixture fixture;
  const auto& attempt = fixture.offer(PlacerFixture::item(3));
  CHECK(attempt.request.method == "POST");
  CHECK(attempt.request.target == "/bulk/x");
  CHECK(*attempt.request.body == "body");
  CHECK(attempt.header("Model") == "m");
  CHECK(attempt.header("Id") == "item-3");
  CHECK(attempt.header("For") == "model-1");
  CHECK(attempt.header("After").empty());
}

TEST_CASE("the data of all events in order is the text of a whole answer") {
  PlacerFixture fixture;
  const FinishItem finish = fixture.end(
      fixture.offer(PlacerFixture::item()), 200,
      "id: 1\ndata: one\n\nid: 2\r\nanother-field: 4\r\ndata: two\r\n\r\nid: 3\ndata:\n\nid: 4\ndata: four\n\n");
  CHECK(finish.outcome == "answer");
  CHECK(finish.body == "one\ntwo\n\nfour");
}

TEST_CASE("a broken stream keeps its whole events, and its continuation joins without a gap or a double") {
  PlacerFixture fixture;
  const FinishItem broken =
      fixture.end(fixture.offer(PlacerFixture::item()), 200, "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: thr",
                  AttemptOutcome::broken);
  CHECK(broken.outcome == "lost");
  CHECK(broken.part.last_event == 2);
  CHECK(broken.part.text == "one\ntwo");
  fixture.wait(std::chrono::seconds(2));
  fixture.pass_second();
  auto& attempt = fixture.offer(PlacerFixture::item(1, broken.part));
  CHECK(attempt.header("After") == "2");
  const FinishItem whole = fixture.end(attempt, 200, "id: 3\ndata: three\n\nid: 4\ndata: four\n\n");
  CHECK(whole.outcome == "answer");
  CHECK(whole.body == "one\ntwo\nthree\nfour");
}

TEST_CASE(
    "a run that does not go on after the part it was given, or goes on under other weights, starts the item over") {
  for (const bool other_weights : {false, true}) {
    PlacerFixture fixture;
    auto& attempt = fixture.offer(PlacerFixture::item(0, StreamPart{"one\ntwo", 2, "7"}));
    const FinishItem finish =
        fixture.end(attempt, 200, other_weights ? "id: 3\ndata: three\n\n" : "id: 1\ndata: one\n\n",
                    AttemptOutcome::whole, {{"Version", other_weights ? "8" : "7"}});
    CHECK(finish.outcome == "damaged");
    CHECK(finish.part.last_event == 0);
    CHECK(finish.part.text.empty());
  }
}

TEST_CASE("a continuation is asked for on the weights of the last whole event") {
  PlacerFixture fixture;
  const FinishItem broken = fixture.end(fixture.offer(PlacerFixture::item()), 200,
                                        "id: 1\ndata: one\n\nweights: 8\nid: 2\ndata: two\n\nweights: 9\nid: 3\n",
                                        AttemptOutcome::broken, {{"Version", "7"}});
  CHECK((broken.part.version == "8" && broken.part.last_event == 2));
  fixture.wait(std::chrono::seconds(2));
  fixture.pass_second();
  auto& attempt = fixture.offer(PlacerFixture::item(1, broken.part));
  CHECK(attempt.header("Expected") == "8");
}

TEST_CASE("a runner that has other weights than an item's part is not blamed, and the item starts over") {
  PlacerFixture fixture;
  auto& attempt = fixture.offer(PlacerFixture::item(0, StreamPart{"one", 1, "7"}));
  const FinishItem finish = fixture.end(attempt, 421, "");
  CHECK((finish.outcome == "damaged" && finish.part.last_event == 0 && finish.part.text.empty()));
  // The runner gets the next item at once.
  fixture.pass_second();
  CHECK(fixture.offer(PlacerFixture::item(1)).header("Expected").empty());
}

TEST_CASE("an answer that is another request's ends its connection at once, as does one that can't be joined") {
  for (const bool foreign : {true, false}) {
    PlacerFixture fixture;
    auto& attempt = fixture.offer(PlacerFixture::item(0, StreamPart{"one", 1, "7"}));
    if (foreign) {
      attempt.watcher->on_head(200, {{"Id", "another"}, {"Version", "7"}});
    } else {
      attempt.watcher->on_head(200, {{"Version", "7"}});
      attempt.watcher->on_chunk("id: 4\ndata: four\n\n");
    }
    CHECK(attempt.cancelled);
    fixture.wait(milliseconds(200));
    REQUIRE(fixture.finished.size() == 1);
    CHECK(fixture.finished[0].outcome == (foreign ? "lost" : "damaged"));
  }
}

TEST_CASE("an answer that ends inside an event is not whole") {
  PlacerFixture fixture;
  const FinishItem finish =
      fixture.end(fixture.offer(PlacerFixture::item()), 200, "id: 1\ndata: one\n\nid: 2\ndata: two\n");
  CHECK(finish.outcome == "lost");
  CHECK(finish.part.last_event == 1);
}

TEST_CASE("only the runner's own 500 counts as a failure and its 422 as final; what did not run is neither") {
  struct Case {
    int status;
    std::vector<Header> headers;
    AttemptOutcome end;
    std::string outcome;
    std::uint32_t failures;
  };
  for (const Case& each :
       {Case{500, {}, AttemptOutcome::whole, "failed", 1}, Case{422, {}, AttemptOutcome::whole, "impossible", 0},
        Case{503, {{"Not-Run", ""}}, AttemptOutcome::whole, "not_run", 0},
        Case{500, {{"Not-Run", ""}}, AttemptOutcome::whole, "not_run", 0},
        Case{421, {}, AttemptOutcome::whole, "not_run", 0},
        Case{422, {{"Id", "another"}}, AttemptOutcome::whole, "lost", 0},
        Case{500, {}, AttemptOutcome::broken, "lost", 0}, Case{0, {}, AttemptOutcome::not_sent, "not_run", 0},
        Case{0, {}, AttemptOutcome::late, "lost", 0}}) {
    PlacerFixture fixture;
    const FinishItem finish =
        fixture.end(fixture.offer(PlacerFixture::item()), each.status, "", each.end, each.headers);
    INFO(each.status << " " << each.outcome);
    CHECK(finish.outcome == each.outcome);
    CHECK(finish.failures == each.failures);
  }
}

TEST_CASE("items whose fetch was answered too late are not sent") {
  PlacerFixture fixture;
  fixture.delay = milliseconds(1200);
  fixture.offered.push_back(PlacerFixture::item());
  fixture.tell(PendingItems{{{"model", 1}}, {}});
  fixture.wait(std::chrono::seconds(3));
  CHECK(fixture.exchange.attempts.empty());
  REQUIRE(fixture.finished.size() == 1);
  CHECK(fixture.finished[0].outcome == "not_run");
}

TEST_CASE("the running items of an ended lot are stopped, and what came of them is told") {
  PlacerFixture fixture;
  auto& attempt = fixture.offer(PlacerFixture::item());
  attempt.watcher->on_head(200, {});
  attempt.watcher->on_chunk("id: 1\ndata: one\n\nid: 2\n");
  fixture.tell(StopLot{"lot"});
  fixture.wait(milliseconds(200));
  CHECK(attempt.cancelled);
  REQUIRE(fixture.finished.size() == 1);
  CHECK(fixture.finished[0].outcome == "stopped");
  CHECK(fixture.finished[0].part.text == "one");
}

TEST_CASE("a report goes on until the owner has heard it, and the item counts as held so long") {
  PlacerFixture fixture;
  auto& attempt = fixture.offer(PlacerFixture::item());
  fixture.hears = false;
  attempt.watcher->on_head(200, {});
  attempt.watcher->on_chunk("id: 1\ndata: one\n\n");
  attempt.watcher->on_end(AttemptOutcome::whole);
  fixture.wait(std::chrono::seconds(3));
  CHECK(fixture.finished.empty());
  auto held = [&] {
    fixture.messenger.take(Envelope{fixture.self, 7, "placing", "lots", "placing.slot", 5, false,
                                    to_cbor(AskSlot{slot_of("lot/lot")}), protocol_number});
    return from_cbor<SlotItems>(fixture.sent.back().body)->items.size();
  };
  CHECK(held() == 1);
  fixture.hears = true;
  fixture.wait(milliseconds(300));
  REQUIRE(fixture.finished.size() == 1);
  CHECK(fixture.finished[0].body == "one");
  CHECK(held() == 0);
}

TEST_CASE("a kind that bounds what a cold runner bears gets no more items in a second, a cold runner half of that") {
  for (const bool cold : {false, true}) {
    PlacerFixture fixture;
    fixture.put("kind/model", R"({"cold_rate":4})");
    if (cold)
      fixture.put("runner/model-1", R"({"kind":"model","address":"10.0.1.1:80","zone":"h","slots":32,"cold":5000})");
    else
      fixture.put("runner/model-1", R"({"kind":"model","address":"10.0.1.1:80","zone":"h","slots":32})");
    std::size_t most = 0;
    for (int round = 0; round < 20; ++round) {
      const std::size_t before = fixture.exchange.attempts.size();
      for (int second = 0; second < 5; ++second) {
        fixture.offered.push_back(PlacerFixture::item(static_cast<std::uint32_t>(round * 5 + second)));
        fixture.tell(PendingItems{{{"model", 1}}, {}});
        fixture.wait(milliseconds(200));
        for (auto& attempt : fixture.exchange.attempts)
          if (!attempt.cancelled) {
            attempt.cancelled = true;
            attempt.watcher->on_head(422, {});
            attempt.watcher->on_end(AttemptOutcome::whole);
          }
      }
      fixture.shared_state.load.set({{"model", KindTotals{fixture.world.now(), {}}}});
      most = std::max(most, fixture.exchange.attempts.size() - before);
    }
    CHECK(most > 0);
    CHECK(most <= (cold ? 1u : 5u));
  }
}

TEST_CASE(
    "a runner that has just come out of the circle gets no items before totals that were told after it came out") {
  PlacerFixture fixture;
  fixture.put("circle/model", R"({"placers":{"model-1":{"address":"10.0.0.2:1","incarnation":7,"term":2}},"term":2})");
  fixture.wait(milliseconds(200));
  fixture.offered.push_back(PlacerFixture::item());
  fixture.tell(PendingItems{{{"model", 1}}, {}});
  fixture.wait(milliseconds(500));
  CHECK(fixture.exchange.attempts.empty());
  fixture.shared_state.load.set({{"model", KindTotals{fixture.world.now(), {}}}});
  fixture.tell(PendingItems{{{"model", 1}}, {}});
  fixture.wait(milliseconds(300));
  CHECK(fixture.exchange.attempts.size() == 1);
}

// Guards against: items on a runner that live prompts use fill it.
TEST_CASE("a member of the circle that lots share has half of its slots for prompts alone") {
  for (const std::uint32_t prompts : {0u, 1u, 2u, 4u}) {
    PlacerFixture fixture;
    fixture.put("circle/model",
                R"({"members":["model-1"],"placers":{"model-1":{"address":"10.0.0.2:1","incarnation":7,"term":2}}})");
    for (int second = 0; second < 4; ++second) {
      fixture.wait(std::chrono::seconds(1));
      fixture.shared_state.load.set({{"model", KindTotals{fixture.world.now(), {{"model-1", {prompts, 0, 0}}}}}});
    }
    for (std::uint32_t index = 0; index < 4; ++index) fixture.offered.push_back(PlacerFixture::item(index));
    fixture.tell(PendingItems{{{"model", 4}}, {}});
    fixture.wait(milliseconds(300));
    CHECK(fixture.exchange.attempts.size() == 2 - std::min(2u, prompts));
  }
}

// Guards against: half of the slots of a runner whose prompts are slow long before its slots are used.
TEST_CASE("a member that bears fewer prompts than it has slots takes items by what it bears") {
  PlacerFixture fixture;
  fixture.put("kind/model", R"({"circle":{"concurrency":2}})");
  fixture.put("circle/model",
              R"({"members":["model-1"],"placers":{"model-1":{"address":"10.0.0.2:1","incarnation":7,"term":2}}})");
  for (int second = 0; second < 4; ++second) fixture.pass_second();
  for (std::uint32_t index = 0; index < 4; ++index) fixture.offered.push_back(PlacerFixture::item(index));
  fixture.tell(PendingItems{{{"model", 4}}, {}});
  fixture.wait(milliseconds(300));
  CHECK(fixture.exchange.attempts.size() == 1);
}

TEST_CASE("a member without a placer takes no items") {
  PlacerFixture fixture;
  fixture.put("circle/model", R"({"members":["model-1"]})");
  fixture.pass_second();
  fixture.pass_second();
  fixture.offered.push_back(PlacerFixture::item());
  fixture.tell(PendingItems{{{"model", 1}}, {}});
  fixture.wait(milliseconds(500));
  CHECK(fixture.exchange.attempts.empty());
}
