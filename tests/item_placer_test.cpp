// The item placer: what an attempt carries, how the text of a result is built, and what is reported to the owner.
#include "lots_fixture.hpp"

using namespace mothwalk;
using std::chrono::milliseconds;

TEST_CASE("an item is sent with its own path, headers, body and id, and names the runner") {
  PlacerFixture fixture;
  const auto& attempt = fixture.dispatch(PlacerFixture::make_item(3));
  CHECK(attempt.request.method == "POST");
  CHECK(attempt.request.target == "/bulk/x");
  CHECK(*attempt.request.body == "body");
  CHECK(attempt.header("Model") == "m");
  CHECK(attempt.header("Id") == "item-3");
  CHECK(attempt.header("For") == "model-1");
  CHECK(attempt.header("After").empty());
}

// Guards against items that are abandoned because a late copy of a failed run's response was taken for the next run's:
// the runner client tells by the id which connections an attempt must not use.
TEST_CASE("each attempt at an item states the item's id, also after a failed run") {
  PlacerFixture fixture;
  auto& first = fixture.dispatch(PlacerFixture::make_item(3));
  CHECK(first.request.id == "item-3");
  CHECK(fixture.complete(first, 500, "").outcome == "failed");
  fixture.advance_second();
  CHECK(fixture.dispatch(PlacerFixture::make_item(3)).request.id == "item-3");
}

TEST_CASE("the text of a complete response is the data of all events in order") {
  PlacerFixture fixture;
  const ItemReport report = fixture.complete(
      fixture.dispatch(PlacerFixture::make_item()), 200,
      "id: 1\ndata: one\n\nid: 2\r\nanother-field: 4\r\ndata: two\r\n\r\nid: 3\ndata:\n\nid: 4\ndata: four\n\n");
  CHECK(report.outcome == "answer");
  CHECK(report.body == "one\ntwo\n\nfour");
}

TEST_CASE("a broken stream keeps its complete events, and the resumed stream adds no gap and no duplicate") {
  PlacerFixture fixture;
  const ItemReport broken =
      fixture.complete(fixture.dispatch(PlacerFixture::make_item()), 200,
                       "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: thr", AttemptOutcome::broken);
  CHECK(broken.outcome == "lost");
  CHECK(broken.part.last_event == 2);
  CHECK(broken.part.text == "one\ntwo");
  fixture.wait(std::chrono::seconds(2));
  fixture.advance_second();
  auto& attempt = fixture.dispatch(PlacerFixture::make_item(1, broken.part));
  CHECK(attempt.header("After") == "2");
  const ItemReport complete = fixture.complete(attempt, 200, "id: 3\ndata: three\n\nid: 4\ndata: four\n\n");
  CHECK(complete.outcome == "answer");
  CHECK(complete.body == "one\ntwo\nthree\nfour");
}

TEST_CASE(
    "an item starts over if the runner does not resume after the partial stream, or resumes with other model weights") {
  for (const bool different_weights : {false, true}) {
    PlacerFixture fixture;
    auto& attempt = fixture.dispatch(PlacerFixture::make_item(0, PartialStream{"one\ntwo", 2, "7"}));
    const ItemReport report =
        fixture.complete(attempt, 200, different_weights ? "id: 3\ndata: three\n\n" : "id: 1\ndata: one\n\n",
                         AttemptOutcome::complete, {{"Version", different_weights ? "8" : "7"}});
    CHECK(report.outcome == "damaged");
    CHECK(report.part.last_event == 0);
    CHECK(report.part.text.empty());
  }
}

TEST_CASE("a resumed attempt expects the model weights of the last complete event") {
  PlacerFixture fixture;
  const ItemReport broken = fixture.complete(fixture.dispatch(PlacerFixture::make_item()), 200,
                                             "id: 1\ndata: one\n\nweights: 8\nid: 2\ndata: two\n\nweights: 9\nid: 3\n",
                                             AttemptOutcome::broken, {{"Version", "7"}});
  CHECK((broken.part.version == "8" && broken.part.last_event == 2));
  fixture.wait(std::chrono::seconds(2));
  fixture.advance_second();
  auto& attempt = fixture.dispatch(PlacerFixture::make_item(1, broken.part));
  CHECK(attempt.header("Expected") == "8");
}

TEST_CASE("a runner with other model weights than the partial stream's counts as healthy, and the item starts over") {
  PlacerFixture fixture;
  auto& attempt = fixture.dispatch(PlacerFixture::make_item(0, PartialStream{"one", 1, "7"}));
  const ItemReport report = fixture.complete(attempt, 421, "");
  CHECK((report.outcome == "damaged" && report.part.last_event == 0 && report.part.text.empty()));
  // The runner gets the next item without a delay.
  fixture.advance_second();
  CHECK(fixture.dispatch(PlacerFixture::make_item(1)).header("Expected").empty());
}

TEST_CASE("a response to another request, or one that can't be appended, closes the connection at once") {
  for (const bool foreign : {true, false}) {
    PlacerFixture fixture;
    auto& attempt = fixture.dispatch(PlacerFixture::make_item(0, PartialStream{"one", 1, "7"}));
    if (foreign) {
      attempt.observer->on_head(200, {{"Id", "another"}, {"Version", "7"}});
    } else {
      attempt.observer->on_head(200, {{"Version", "7"}});
      attempt.observer->on_chunk("id: 4\ndata: four\n\n");
    }
    CHECK(attempt.cancelled);
    fixture.wait(milliseconds(200));
    REQUIRE(fixture.reports.size() == 1);
    CHECK(fixture.reports[0].outcome == (foreign ? "lost" : "damaged"));
  }
}

TEST_CASE("a response that ends inside an event is incomplete") {
  PlacerFixture fixture;
  const ItemReport report =
      fixture.complete(fixture.dispatch(PlacerFixture::make_item()), 200, "id: 1\ndata: one\n\nid: 2\ndata: two\n");
  CHECK(report.outcome == "lost");
  CHECK(report.part.last_event == 1);
}

TEST_CASE(
    "only the runner's own 500 counts as a failure and its 422 as final; an attempt that did not run is neither") {
  struct Case {
    int status;
    std::vector<Header> headers;
    AttemptOutcome end;
    std::string outcome;
    std::uint32_t failures;
  };
  for (const Case& each :
       {Case{500, {}, AttemptOutcome::complete, "failed", 1}, Case{422, {}, AttemptOutcome::complete, "impossible", 0},
        Case{503, {{"Not-Run", ""}}, AttemptOutcome::complete, "not_run", 0},
        Case{500, {{"Not-Run", ""}}, AttemptOutcome::complete, "not_run", 0},
        Case{421, {}, AttemptOutcome::complete, "not_run", 0},
        Case{422, {{"Id", "another"}}, AttemptOutcome::complete, "lost", 0},
        Case{500, {}, AttemptOutcome::broken, "lost", 0}, Case{0, {}, AttemptOutcome::not_sent, "not_run", 0},
        Case{0, {}, AttemptOutcome::timed_out, "lost", 0}}) {
    PlacerFixture fixture;
    const ItemReport report =
        fixture.complete(fixture.dispatch(PlacerFixture::make_item()), each.status, "", each.end, each.headers);
    INFO(each.status << " " << each.outcome);
    CHECK(report.outcome == each.outcome);
    CHECK(report.failures == each.failures);
  }
}

TEST_CASE("items whose fetch is answered too late are not sent") {
  PlacerFixture fixture;
  fixture.fetch_reply_delay = milliseconds(1200);
  fixture.offered.push_back(PlacerFixture::make_item());
  fixture.send_message(PendingItems{{{"model", 1}}, {}});
  fixture.wait(std::chrono::seconds(3));
  CHECK(fixture.runner_client.attempts.empty());
  REQUIRE(fixture.reports.size() == 1);
  CHECK(fixture.reports[0].outcome == "not_run");
}

TEST_CASE("the running items of a cancelled lot are stopped, and their partial streams are reported") {
  PlacerFixture fixture;
  auto& attempt = fixture.dispatch(PlacerFixture::make_item());
  attempt.observer->on_head(200, {});
  attempt.observer->on_chunk("id: 1\ndata: one\n\nid: 2\n");
  fixture.send_message(StopLotItems{"lot"});
  fixture.wait(milliseconds(200));
  CHECK(attempt.cancelled);
  REQUIRE(fixture.reports.size() == 1);
  CHECK(fixture.reports[0].outcome == "stopped");
  CHECK(fixture.reports[0].part.text == "one");
}

TEST_CASE("a report is sent until the owner acknowledges it, and the item counts as held until then") {
  PlacerFixture fixture;
  auto& attempt = fixture.dispatch(PlacerFixture::make_item());
  fixture.acknowledges = false;
  attempt.observer->on_head(200, {});
  attempt.observer->on_chunk("id: 1\ndata: one\n\n");
  attempt.observer->on_end(AttemptOutcome::complete);
  fixture.wait(std::chrono::seconds(3));
  CHECK(fixture.reports.empty());
  auto count_held_items = [&] {
    fixture.messenger.receive(Envelope{fixture.self, 7, "placing", "lots", "placing.slot", 5, false,
                                       to_cbor(ListHeldItems{slot_of("lot/lot")}), protocol_number});
    return from_cbor<HeldItems>(fixture.sent.back().body)->items.size();
  };
  CHECK(count_held_items() == 1);
  fixture.acknowledges = true;
  fixture.wait(milliseconds(300));
  REQUIRE(fixture.reports.size() == 1);
  CHECK(fixture.reports[0].body == "one");
  CHECK(count_held_items() == 0);
}

TEST_CASE("the rate limit of a kind for cold runners bounds the items per second, more tightly for a cold runner") {
  for (const bool cold : {false, true}) {
    PlacerFixture fixture;
    fixture.put("kind/model", R"({"cold_rate":4})");
    if (cold)
      fixture.put("runner/model-1", R"({"kind":"model","address":"10.0.1.1:80","zone":"h","slots":32,"cold":5000})");
    else
      fixture.put("runner/model-1", R"({"kind":"model","address":"10.0.1.1:80","zone":"h","slots":32})");
    std::size_t max_sent_per_second = 0;
    for (int round = 0; round < 20; ++round) {
      const std::size_t before = fixture.runner_client.attempts.size();
      for (int second = 0; second < 5; ++second) {
        fixture.offered.push_back(PlacerFixture::make_item(static_cast<std::uint32_t>(round * 5 + second)));
        fixture.send_message(PendingItems{{{"model", 1}}, {}});
        fixture.wait(milliseconds(200));
        for (auto& attempt : fixture.runner_client.attempts)
          if (!attempt.cancelled) {
            attempt.cancelled = true;
            attempt.observer->on_head(422, {});
            attempt.observer->on_end(AttemptOutcome::complete);
          }
      }
      fixture.shared_state.load.set({{"model", KindTotals{fixture.world.now(), {}}}});
      max_sent_per_second = std::max(max_sent_per_second, fixture.runner_client.attempts.size() - before);
    }
    CHECK(max_sent_per_second > 0);
    CHECK(max_sent_per_second <= (cold ? 1u : 5u));
  }
}

TEST_CASE("a runner that has just left the circle gets no items until newer load totals arrive") {
  PlacerFixture fixture;
  fixture.put("circle/model", R"({"placers":{"model-1":{"address":"10.0.0.2:1","incarnation":7,"term":2}},"term":2})");
  fixture.wait(milliseconds(200));
  fixture.offered.push_back(PlacerFixture::make_item());
  fixture.send_message(PendingItems{{{"model", 1}}, {}});
  fixture.wait(milliseconds(500));
  CHECK(fixture.runner_client.attempts.empty());
  fixture.shared_state.load.set({{"model", KindTotals{fixture.world.now(), {}}}});
  fixture.send_message(PendingItems{{{"model", 1}}, {}});
  fixture.wait(milliseconds(300));
  CHECK(fixture.runner_client.attempts.size() == 1);
}

// Guards against items filling a runner that is also used by live prompts.
TEST_CASE("a member of the circle that is shared with lots keeps half of its slots for prompts") {
  for (const std::uint32_t prompts : {0u, 1u, 2u, 4u}) {
    PlacerFixture fixture;
    fixture.put("circle/model",
                R"({"members":["model-1"],"placers":{"model-1":{"address":"10.0.0.2:1","incarnation":7,"term":2}}})");
    for (int second = 0; second < 4; ++second) {
      fixture.wait(std::chrono::seconds(1));
      fixture.shared_state.load.set({{"model", KindTotals{fixture.world.now(), {{"model-1", {prompts, 0, 0}}}}}});
    }
    for (std::uint32_t index = 0; index < 4; ++index) fixture.offered.push_back(PlacerFixture::make_item(index));
    fixture.send_message(PendingItems{{{"model", 4}}, {}});
    fixture.wait(milliseconds(300));
    CHECK(fixture.runner_client.attempts.size() == 2 - std::min(2u, prompts));
  }
}

// Guards against items using half of the slots of a runner whose prompts slow down long before its slots are used up.
TEST_CASE("a member whose concurrency is limited below its slots takes items by that limit") {
  PlacerFixture fixture;
  fixture.put("kind/model", R"({"circle":{"concurrency":2}})");
  fixture.put("circle/model",
              R"({"members":["model-1"],"placers":{"model-1":{"address":"10.0.0.2:1","incarnation":7,"term":2}}})");
  for (int second = 0; second < 4; ++second) fixture.advance_second();
  for (std::uint32_t index = 0; index < 4; ++index) fixture.offered.push_back(PlacerFixture::make_item(index));
  fixture.send_message(PendingItems{{{"model", 4}}, {}});
  fixture.wait(milliseconds(300));
  CHECK(fixture.runner_client.attempts.size() == 1);
}

TEST_CASE("a member without a placer takes no items") {
  PlacerFixture fixture;
  fixture.put("circle/model", R"({"members":["model-1"]})");
  fixture.advance_second();
  fixture.advance_second();
  fixture.offered.push_back(PlacerFixture::make_item());
  fixture.send_message(PendingItems{{{"model", 1}}, {}});
  fixture.wait(milliseconds(500));
  CHECK(fixture.runner_client.attempts.empty());
}
