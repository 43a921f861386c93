// Batches at their owner: result positions after a change of owner, cancellation, writes with unknown outcome, waiting
// reads, pages and item bodies.
#include "lots/lot_client.hpp"
#include "lots_fixture.hpp"

using namespace mothwalk;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("results keep their positions under a new owner, and items that a placer holds are not handed out again") {
  ScriptedStore store;
  std::vector<PlacedItem> items;
  {
    OwnerFixture first(store, 4);
    first.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(4)});
    items = first.fetch(3);
    REQUIRE(items.size() == 3);
    CHECK(first.report(items[2], "answer", "two"));
    CHECK(first.report(items[0], "answer", "none"));
    CHECK(first.read("lot").next == 2);
  }
  OwnerFixture second(store, 5);
  const LotPage page = second.read("lot");
  REQUIRE(page.results.size() == 2);
  CHECK(page.lot.items == 4);
  CHECK(page.results[0].id == "item-2");
  CHECK(page.results[0].body == "two");
  CHECK(page.results[1].id == "item-0");
}

TEST_CASE("a new owner does not hand out items that placers report to hold, and accepts the placers' reports") {
  ScriptedStore store;
  std::vector<PlacedItem> items;
  {
    OwnerFixture first(store, 4);
    first.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(3)});
    items = first.fetch(2);
  }
  OwnerFixture second(store, 5);
  second.wait(milliseconds(100));
  // No placer holds an item, so all of them are pending again.
  CHECK(second.fetch(10).size() == 3);
  // The same with a placer that holds two items. Placers are asked when the slot is taken over.
  OwnerFixture third(store, 6);
  third.held_items = {ItemAttemptId{"lot", items[0].item, items[0].attempt},
                      ItemAttemptId{"lot", items[1].item, items[1].attempt}};
  third.shared_state.owned.set(Ownership{});
  third.wait(milliseconds(100));
  Ownership owned;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot) owned.slots[slot] = Epoch{7};
  third.shared_state.owned.set(owned);
  third.wait(milliseconds(100));
  CHECK(third.placers_asked.size() > 0);
  const auto rest = third.fetch(10);
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].item == 2);
  CHECK(rest[0].attempt > items[0].attempt);
  CHECK(third.report(items[1], "answer", "held"));
  CHECK(third.read("lot").results.at(0).body == "held");
}

TEST_CASE("an owner that regains its slots keeps its lots, and items that placers hold stay with them") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(4)});
  const auto items = owner.fetch(2);
  REQUIRE(items.size() == 2);
  CHECK(owner.report(items[0], "answer", "none"));
  owner.regain_slots(5);
  CHECK(owner.lots.counts().lots_kept == 1);
  CHECK(owner.lots.counts().lots_rebuilt == 0);
  CHECK(owner.read("lot").results.at(0).body == "none");
  const auto rest = owner.fetch(10);
  REQUIRE(rest.size() == 2);
  CHECK(rest[0].item == 2);
  CHECK(owner.report(items[1], "answer", "held"));
  CHECK(owner.read("lot").results.at(1).body == "held");
}

TEST_CASE("a lot that another owner wrote to in the meantime is read from its record again") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(2)});
  owner.request_ok(SubmitLot{"other", OwnerFixture::make_batch(2)});
  {
    OwnerFixture interim_owner(store, 5);
    const auto items = interim_owner.fetch(4);
    REQUIRE(items.size() == 4);
    for (const auto& item : items)
      if (item.lot == "lot") CHECK(interim_owner.report(item, "answer", "theirs"));
  }
  owner.regain_slots(6);
  CHECK(owner.lots.counts().lots_kept == 1);
  CHECK(owner.lots.counts().lots_rebuilt == 1);
  CHECK(owner.read("lot").results.size() == 2);
  CHECK(owner.read("other").results.empty());
}

TEST_CASE(
    "a lot whose result is being written is read from its record again, and so are all lots if the slots are regained "
    "late") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(2)});
  const auto items = owner.fetch(1);
  REQUIRE(items.size() == 1);
  store.write_delay = milliseconds(30);
  ItemReport report;
  report.lot = "lot";
  report.item = items[0].item;
  report.attempt = items[0].attempt;
  report.outcome = "answer";
  report.status = 200;
  report.body = "late";
  owner.send_request(ReportItems{{report}});
  owner.regain_slots(5);
  CHECK(owner.lots.counts().lots_kept == 0);
  CHECK(owner.lots.counts().lots_rebuilt == 1);
  CHECK(owner.read("lot").results.at(0).body == "late");
  owner.regain_slots(6, seconds(6));
  CHECK(owner.lots.counts().lots_kept == 0);
  CHECK(owner.lots.counts().lots_rebuilt == 2);
}

TEST_CASE("a lot is written with an estimate of the size of all outstanding results") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(4)});
  CHECK(owner.expected_growth == 0);  // No result is known yet.
  const auto items = owner.fetch(4);
  REQUIRE(items.size() == 4);
  CHECK(owner.report(items[0], "answer", Bytes(100000, 'r')));
  // One result has a weight of 1/50 in the mean. Three items of the first lot and five of the second have no result.
  owner.request_ok(SubmitLot{"second", OwnerFixture::make_batch(5)});
  CHECK(owner.expected_growth == 2000 * (3 + 5));
}

TEST_CASE("the starts of a batch's items are not stored") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(3)});
  const auto writes = owner.writes;
  const auto items = owner.fetch(3);
  CHECK(items.size() == 3);
  CHECK(owner.writes == writes);
  CHECK(items[1].request.path == "/bulk/1");
  CHECK(items[1].host == "host.example");
}

TEST_CASE("an owner that no majority confirms hands out no items") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(3)});
  owner.wait(seconds(2));
  store.majority = false;
  CHECK(owner.fetch(3).empty());
  store.majority = true;
  CHECK(owner.fetch(3).size() == 3);
}

TEST_CASE("after the cancellation of a lot is acknowledged no item is handed out, and running items are stopped") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(3)});
  const auto running = owner.fetch(1);
  CHECK(owner.request_ok(CancelLot{"lot"}).state == "cancelled");
  CHECK(owner.request_ok(CancelLot{"lot"}).state == "cancelled");
  CHECK(owner.fetch(3).empty());
  const bool stop_sent = std::any_of(owner.sent.begin(), owner.sent.end(),
                                     [](const Envelope& each) { return each.kind == "placing.stop"; });
  CHECK(stop_sent);
  CHECK(owner.report(running[0], "stopped"));
  CHECK(owner.fetch(3).empty());
  CHECK(owner.read("lot").next == 0);
  CHECK(owner.request_error_kind(ReadItem{"lot", "item-1"}) == ErrorKind::unknown_name);
  OwnerFixture next(store, 5);
  CHECK(next.fetch(3).empty());
}

TEST_CASE("a cancellation without a majority has an unknown outcome, and the lot continues") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(3)});
  store.majority = false;
  CHECK(owner.request_error_kind(CancelLot{"lot"}) == ErrorKind::unknown);
  store.majority = true;
  CHECK(owner.fetch(3).size() == 3);
}

TEST_CASE("a lot that is submitted twice is accepted once, and different content under its id is a conflict") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(3)});
  LotSpecification resubmitted = OwnerFixture::make_batch(3);
  resubmitted.completion = seconds(9);  // The lane's completion time has changed between the two submissions.
  resubmitted.revision = 12;
  owner.request_ok(SubmitLot{"lot", resubmitted});
  CHECK(owner.fetch(10).size() == 3);
  CHECK(owner.request_error_kind(SubmitLot{"lot", OwnerFixture::make_batch(2)}) == ErrorKind::conflict);
}

TEST_CASE("a submission whose write has an unknown outcome is neither refused nor acknowledged") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  store.majority = false;
  CHECK(owner.request_error_kind(SubmitLot{"lot", OwnerFixture::make_batch(3)}) == ErrorKind::unknown);
  store.majority = true;
  // The record of the first submission exists after all, but this owner does not know of it.
  owner.request_ok(SubmitLot{"other", OwnerFixture::make_batch(1)});
  store.records["lot/lot"] = store.records["lot/other"];
  store.records["lot/lot"].key = "lot/lot";
  store.records["lot/lot"].token = "another";
  CHECK(owner.request_error_kind(SubmitLot{"lot", OwnerFixture::make_batch(3)}) == ErrorKind::unknown);
}

TEST_CASE("a write whose slot passes to another owner in the meantime has an unknown outcome") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  store.write_delay = milliseconds(200);
  const auto call = owner.send_request(SubmitLot{"lot", OwnerFixture::make_batch(3)});
  owner.shared_state.owned.set(Ownership{});
  owner.wait(milliseconds(300));
  REQUIRE(owner.reply_to_call(call) != nullptr);
  REQUIRE(owner.reply_to_call(call)->kind == "fault");
  CHECK(error_in(*owner.reply_to_call(call)).kind == ErrorKind::unknown);
}

TEST_CASE("a read waits for the result at its position, but no longer than requested") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(2)});
  const auto items = owner.fetch(2);
  const auto early = owner.send_request(ReadLot{"lot", 0, 100, milliseconds(1000)});
  const auto late = owner.send_request(ReadLot{"lot", 1, 100, milliseconds(600)});
  owner.wait(milliseconds(300));
  CHECK(owner.reply_to_call(early) == nullptr);
  CHECK(owner.report(items[0], "answer", "text"));
  REQUIRE(owner.reply_to_call(early) != nullptr);
  CHECK(from_cbor<LotPage>(owner.reply_to_call(early)->body)->results.size() == 1);
  CHECK(owner.reply_to_call(late) == nullptr);
  owner.wait(milliseconds(400));
  REQUIRE(owner.reply_to_call(late) != nullptr);
  const auto page = from_cbor<LotPage>(owner.reply_to_call(late)->body);
  CHECK(page->results.empty());
  CHECK(page->next == 1);
}

TEST_CASE("the body of an item can be read until its result is listed") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(2, Bytes("\x00\xff\n", 3))});
  CHECK(owner.request_ok(ReadItem{"lot", "item-1"}).body == Bytes("\x00\xff\n", 3));
  const auto items = owner.fetch(2);
  CHECK(owner.request_ok(ReadItem{"lot", "item-1"}).body == Bytes("\x00\xff\n", 3));
  CHECK(owner.report(items[1], "answer", "text"));
  CHECK(owner.request_error_kind(ReadItem{"lot", "item-1"}) == ErrorKind::unknown_name);
  CHECK(owner.request_error_kind(ReadItem{"lot", "item-9"}) == ErrorKind::unknown_name);
  CHECK(owner.request_error_kind(ReadItem{"no-lot", "item-0"}) == ErrorKind::unknown_name);
  OwnerFixture next(store, 5);
  CHECK(next.request_ok(ReadItem{"lot", "item-0"}).body == Bytes("\x00\xff\n", 3));
}

TEST_CASE("a page holds at least one result and stays under a megabyte of JSON") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(4)});
  const auto items = owner.fetch(4);
  CHECK(owner.report(items[0], "answer", Bytes(400000, 'x')));
  // In JSON the quotes are escaped, which doubles the length.
  CHECK(owner.report(items[1], "answer", Bytes(400000, '"')));
  CHECK(owner.report(items[2], "answer", Bytes(2000000, 'y')));
  CHECK(owner.report(items[3], "answer", "z"));
  CHECK(owner.read("lot").results.size() == 1);
  CHECK(owner.read("lot", 1).results.size() == 1);
  CHECK(owner.read("lot", 2).results.size() == 1);
  CHECK(owner.read("lot", 2).next == 3);
  CHECK(owner.read("lot", 3).results.size() == 1);
}

TEST_CASE("a cursor past the end gets an empty page with the same position") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(2)});
  const LotPage page = owner.read("lot", 7);
  CHECK(page.results.empty());
  CHECK(page.next == 7);
  CHECK(page.lot.items == 2);
}

TEST_CASE(
    "an item ends after the allowed number of responses with 500 or one with 422; attempts that did not run do not "
    "count") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(2)});
  auto items = owner.fetch(2);
  CHECK(owner.report(items[1], "impossible"));
  for (const char* outcome : {"not_run", "failed", "not_run", "lost"}) {
    CHECK(owner.report(items[0], outcome, {}, {}, items[0].failures + (std::string(outcome) == "failed")));
    CHECK(owner.read("lot").next == 1);
    items[0] = owner.fetch(1).at(0);
  }
  CHECK(items[0].failures == 1);
  CHECK(owner.report(items[0], "failed", {}, {}, 2));
  const LotPage page = owner.read("lot");
  REQUIRE(page.results.size() == 2);
  CHECK(page.results[0].id == "item-1");
  CHECK(page.results[0].outcome == "abandoned");
  CHECK(page.results[1].outcome == "abandoned");
  CHECK(page.lot.state == "finished");
}

TEST_CASE("items are abandoned after the lane's retention time and not before") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(2)});
  owner.wait(milliseconds(19500));
  CHECK(owner.read("lot").next == 0);
  owner.wait(milliseconds(1000));
  CHECK(owner.read("lot").next == 2);
  CHECK(owner.read("lot").results.at(0).outcome == "abandoned");
}

TEST_CASE("the next attempt gets the longest partial stream so far, and a damaged one is dropped") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(1)});
  auto item = owner.fetch(1).at(0);
  CHECK(owner.report(item, "lost", {}, PartialStream{"a\nb", 2, ""}));
  item = owner.fetch(1).at(0);
  CHECK(item.part.text == "a\nb");
  CHECK(item.part.last_event == 2);
  CHECK(owner.report(item, "lost"));
  item = owner.fetch(1).at(0);
  CHECK(item.part.last_event == 2);
  CHECK(owner.report(item, "damaged"));
  CHECK(owner.fetch(1).at(0).part.last_event == 0);
}

TEST_CASE("lots that are due earlier are handed out first") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  LotSpecification slow = OwnerFixture::make_batch(2);
  slow.completion = seconds(19);
  owner.request_ok(SubmitLot{"slow", slow});
  owner.request_ok(SubmitLot{"soon", OwnerFixture::make_batch(2)});
  const auto items = owner.fetch(3);
  REQUIRE(items.size() == 3);
  CHECK(items[0].lot == "soon");
  CHECK(items[1].lot == "soon");
  CHECK(items[2].lot == "slow");
}

TEST_CASE("late items are handed out after items that can still finish in time") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"old", OwnerFixture::make_batch(3)});
  owner.wait(milliseconds(7500));  // The lot is due after 8 s, and an item takes about 1 s.
  owner.request_ok(SubmitLot{"young", OwnerFixture::make_batch(2)});
  const ItemsReply reply = owner.request_ok(FetchItems{"model", "model-1", 3, 1, 0});
  REQUIRE(reply.items.size() == 3);
  CHECK(reply.items[0].lot == "young");
  CHECK(reply.items[1].lot == "young");
  CHECK(reply.items[2].lot == "old");
  CHECK(reply.remaining == 0);
  CHECK(reply.late == 2);
}

TEST_CASE("a fetch gets no more tokens than the runner has free memory for") {
  ScriptedStore store;
  OwnerFixture owner(store, 4);
  owner.request_ok(SubmitLot{"lot", OwnerFixture::make_batch(5)});
  CHECK(owner.request_ok(FetchItems{"model", "model-1", 5, 1, 35}).items.size() == 3);
}

TEST_CASE("a refusal after an attempt with unknown outcome is reported as unknown") {
  struct RecordingTransport : Transport {
    void send(const Address&, Envelope envelope) override { sent.push_back(std::move(envelope)); }
    std::vector<Envelope> sent;
  };
  for (const bool unknown_before : {false, true}) {
    RecordingTransport transport;
    simulate::World world(3);
    simulate::SimulatedTimers timers(world, std::make_shared<simulate::ProcessState>());
    const Address owner("10.0.0.2:1");
    Messenger messenger(transport, timers, Address("10.0.0.1:1"), 1, "control");
    SharedState shared_state;
    ConfigurationView view;
    const Bytes roster = R"({"version":1,"seats":[{"holder":"holder","address":"10.0.0.2:1","zone":"h"}]})";
    REQUIRE(apply_to_view(view, "roster", &roster, Stamp{}));
    shared_state.configuration.set(view);
    Members members;
    members.all[owner].address = owner;
    members.all[owner].holder = StorageNodeId("holder");
    shared_state.members.set(members);
    LotClient client(messenger, shared_state);
    std::optional<Result<LotStatus>> outcome;
    client.submit(SubmitLot{"lot", OwnerFixture::make_batch(1)}, seconds(2),
                  [&](Result<LotStatus> result) { outcome = std::move(result); });
    auto send_error = [&](ErrorKind kind) {
      messenger.receive(Envelope{owner, 1, "control", "lots", "fault", transport.sent.back().call, true,
                                 to_cbor(WireError{static_cast<std::int32_t>(kind), "lots", "no", "again"}),
                                 protocol_number});
      world.run_until(world.now() + milliseconds(150));
    };
    REQUIRE(transport.sent.size() == 1);
    if (unknown_before) send_error(ErrorKind::unknown);
    REQUIRE(transport.sent.size() == (unknown_before ? 2u : 1u));
    send_error(ErrorKind::refused);
    REQUIRE(outcome);
    REQUIRE(error_of(*outcome) != nullptr);
    CHECK(error_of(*outcome)->kind == (unknown_before ? ErrorKind::unknown : ErrorKind::refused));
  }
}
