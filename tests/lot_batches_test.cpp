// Batches at their owner: positions over a change of owner, ends, doubtful writes, waiting reads, pages and bodies.
#include "lots/lot_calls.hpp"
#include "lots_fixture.hpp"

using namespace mothwalk;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("results keep their positions under a new owner, and items that a placer holds are not handed out again") {
  KeptStore store;
  std::vector<PlacedItem> items;
  {
    OwnerFixture first(store, 4);
    first.good(SubmitLot{"lot", OwnerFixture::batch(4)});
    items = first.fetch(3);
    REQUIRE(items.size() == 3);
    CHECK(first.finish(items[2], "answer", "two"));
    CHECK(first.finish(items[0], "answer", "none"));
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

TEST_CASE("a new owner leaves with their placers what they say they hold, and takes their reports") {
  KeptStore store;
  std::vector<PlacedItem> items;
  {
    OwnerFixture first(store, 4);
    first.good(SubmitLot{"lot", OwnerFixture::batch(3)});
    items = first.fetch(2);
  }
  OwnerFixture second(store, 5);
  second.wait(milliseconds(100));
  // Nobody holds anything: all are free again.
  CHECK(second.fetch(10).size() == 3);
  // The same with a placer that has two of them. What it holds is asked when the slot is taken over.
  OwnerFixture third(store, 6);
  third.held = {ItemName{"lot", items[0].item, items[0].attempt}, ItemName{"lot", items[1].item, items[1].attempt}};
  third.shared_state.owned.set(Ownership{});
  third.wait(milliseconds(100));
  Ownership owned;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot) owned.slots[slot] = Epoch{7};
  third.shared_state.owned.set(owned);
  third.wait(milliseconds(100));
  CHECK(third.asked_slots.size() > 0);
  const auto rest = third.fetch(10);
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].item == 2);
  CHECK(rest[0].attempt > items[0].attempt);
  CHECK(third.finish(items[1], "answer", "held"));
  CHECK(third.read("lot").results.at(0).body == "held");
}

TEST_CASE("an owner that takes its slots again keeps its lots, and what their placers hold stays with them") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(4)});
  const auto items = owner.fetch(2);
  REQUIRE(items.size() == 2);
  CHECK(owner.finish(items[0], "answer", "none"));
  owner.retake(5);
  CHECK(owner.lots.counts().lots_kept == 1);
  CHECK(owner.lots.counts().lots_rebuilt == 0);
  CHECK(owner.read("lot").results.at(0).body == "none");
  const auto rest = owner.fetch(10);
  REQUIRE(rest.size() == 2);
  CHECK(rest[0].item == 2);
  CHECK(owner.finish(items[1], "answer", "held"));
  CHECK(owner.read("lot").results.at(1).body == "held");
}

TEST_CASE("a lot that another owner wrote to meanwhile is read from its record again") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(2)});
  owner.good(SubmitLot{"other", OwnerFixture::batch(2)});
  {
    OwnerFixture between(store, 5);
    const auto items = between.fetch(4);
    REQUIRE(items.size() == 4);
    for (const auto& item : items)
      if (item.lot == "lot") CHECK(between.finish(item, "answer", "theirs"));
  }
  owner.retake(6);
  CHECK(owner.lots.counts().lots_kept == 1);
  CHECK(owner.lots.counts().lots_rebuilt == 1);
  CHECK(owner.read("lot").results.size() == 2);
  CHECK(owner.read("other").results.empty());
}

TEST_CASE("a lot with a result under way is read from its record again, and so are all after a long absence") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(2)});
  const auto items = owner.fetch(1);
  REQUIRE(items.size() == 1);
  store.delay = milliseconds(30);
  FinishItem report;
  report.lot = "lot";
  report.item = items[0].item;
  report.attempt = items[0].attempt;
  report.outcome = "answer";
  report.status = 200;
  report.body = "late";
  owner.call(FinishItems{{report}});
  owner.retake(5);
  CHECK(owner.lots.counts().lots_kept == 0);
  CHECK(owner.lots.counts().lots_rebuilt == 1);
  CHECK(owner.read("lot").results.at(0).body == "late");
  owner.retake(6, seconds(6));
  CHECK(owner.lots.counts().lots_kept == 0);
  CHECK(owner.lots.counts().lots_rebuilt == 2);
}

TEST_CASE("a lot is handed to the store with the bytes of all results that are still to come") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(4)});
  CHECK(owner.growth == 0);  // nothing is known of results yet
  const auto items = owner.fetch(4);
  REQUIRE(items.size() == 4);
  CHECK(owner.finish(items[0], "answer", Bytes(100000, 'r')));
  // One result counts for a fiftieth of the mean; three items of the first lot and five of the second have none.
  owner.good(SubmitLot{"second", OwnerFixture::batch(5)});
  CHECK(owner.growth == 2000 * (3 + 5));
}

TEST_CASE("the starts of a batch's items are on no disk") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(3)});
  const auto writes = owner.writes;
  const auto items = owner.fetch(3);
  CHECK(items.size() == 3);
  CHECK(owner.writes == writes);
  CHECK(items[1].request.path == "/bulk/1");
  CHECK(items[1].host == "host.example");
}

TEST_CASE("an owner that no majority confirms hands nothing out") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(3)});
  owner.wait(seconds(2));
  store.majority = false;
  CHECK(owner.fetch(3).empty());
  store.majority = true;
  CHECK(owner.fetch(3).size() == 3);
}

TEST_CASE("after the end of a lot is acknowledged none of its items is handed out, and running ones are stopped") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(3)});
  const auto running = owner.fetch(1);
  CHECK(owner.good(CancelLot{"lot"}).state == "cancelled");
  CHECK(owner.good(CancelLot{"lot"}).state == "cancelled");
  CHECK(owner.fetch(3).empty());
  const bool told = std::any_of(owner.sent.begin(), owner.sent.end(),
                                [](const Envelope& each) { return each.kind == "placing.stop"; });
  CHECK(told);
  CHECK(owner.finish(running[0], "stopped"));
  CHECK(owner.fetch(3).empty());
  CHECK(owner.read("lot").next == 0);
  CHECK(owner.error_kind_of(ReadItem{"lot", "item-1"}) == ErrorKind::unknown_name);
  OwnerFixture next(store, 5);
  CHECK(next.fetch(3).empty());
}

TEST_CASE("an end without a majority is unknown, and the lot goes on") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(3)});
  store.majority = false;
  CHECK(owner.error_kind_of(CancelLot{"lot"}) == ErrorKind::unknown);
  store.majority = true;
  CHECK(owner.fetch(3).size() == 3);
}

TEST_CASE("a lot handed in again is taken once, another one under its id is a conflict") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(3)});
  LotSpecification again = OwnerFixture::batch(3);
  again.completion = seconds(9);  // what the lane promises has changed between the two
  again.revision = 12;
  owner.good(SubmitLot{"lot", again});
  CHECK(owner.fetch(10).size() == 3);
  CHECK(owner.error_kind_of(SubmitLot{"lot", OwnerFixture::batch(2)}) == ErrorKind::conflict);
}

TEST_CASE("a write that is unsure is neither a refusal nor an acknowledgement, and another sending settles it") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  store.majority = false;
  CHECK(owner.error_kind_of(SubmitLot{"lot", OwnerFixture::batch(3)}) == ErrorKind::unknown);
  store.majority = true;
  // The write stood after all: its record is there, and this owner has not heard of it.
  owner.good(SubmitLot{"other", OwnerFixture::batch(1)});
  store.records["lot/lot"] = store.records["lot/other"];
  store.records["lot/lot"].key = "lot/lot";
  store.records["lot/lot"].token = "another";
  CHECK(owner.error_kind_of(SubmitLot{"lot", OwnerFixture::batch(3)}) == ErrorKind::unknown);
}

TEST_CASE("a write whose slot goes to another owner meanwhile is unknown") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  store.delay = milliseconds(200);
  const auto number = owner.call(SubmitLot{"lot", OwnerFixture::batch(3)});
  owner.shared_state.owned.set(Ownership{});
  owner.wait(milliseconds(300));
  REQUIRE(owner.answer_to(number) != nullptr);
  REQUIRE(owner.answer_to(number)->kind == "fault");
  CHECK(error_in(*owner.answer_to(number)).kind == ErrorKind::unknown);
}

TEST_CASE("a read waits for the result at its position, and no longer than it was told") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(2)});
  const auto items = owner.fetch(2);
  const auto early = owner.call(ReadLot{"lot", 0, 100, milliseconds(1000)});
  const auto late = owner.call(ReadLot{"lot", 1, 100, milliseconds(600)});
  owner.wait(milliseconds(300));
  CHECK(owner.answer_to(early) == nullptr);
  CHECK(owner.finish(items[0], "answer", "text"));
  REQUIRE(owner.answer_to(early) != nullptr);
  CHECK(from_cbor<LotPage>(owner.answer_to(early)->body)->results.size() == 1);
  CHECK(owner.answer_to(late) == nullptr);
  owner.wait(milliseconds(400));
  REQUIRE(owner.answer_to(late) != nullptr);
  const auto page = from_cbor<LotPage>(owner.answer_to(late)->body);
  CHECK(page->results.empty());
  CHECK(page->next == 1);
}

TEST_CASE("the body of an item can be had until its result is listed") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(2, Bytes("\x00\xff\n", 3))});
  CHECK(owner.good(ReadItem{"lot", "item-1"}).body == Bytes("\x00\xff\n", 3));
  const auto items = owner.fetch(2);
  CHECK(owner.good(ReadItem{"lot", "item-1"}).body == Bytes("\x00\xff\n", 3));
  CHECK(owner.finish(items[1], "answer", "text"));
  CHECK(owner.error_kind_of(ReadItem{"lot", "item-1"}) == ErrorKind::unknown_name);
  CHECK(owner.error_kind_of(ReadItem{"lot", "item-9"}) == ErrorKind::unknown_name);
  CHECK(owner.error_kind_of(ReadItem{"no-lot", "item-0"}) == ErrorKind::unknown_name);
  OwnerFixture next(store, 5);
  CHECK(next.good(ReadItem{"lot", "item-0"}).body == Bytes("\x00\xff\n", 3));
}

TEST_CASE("a page holds at least one result and stays under a megabyte of JSON") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(4)});
  const auto items = owner.fetch(4);
  CHECK(owner.finish(items[0], "answer", Bytes(400000, 'x')));
  CHECK(owner.finish(items[1], "answer", Bytes(400000, '"')));  // twice as long in JSON
  CHECK(owner.finish(items[2], "answer", Bytes(2000000, 'y')));
  CHECK(owner.finish(items[3], "answer", "z"));
  CHECK(owner.read("lot").results.size() == 1);
  CHECK(owner.read("lot", 1).results.size() == 1);
  CHECK(owner.read("lot", 2).results.size() == 1);
  CHECK(owner.read("lot", 2).next == 3);
  CHECK(owner.read("lot", 3).results.size() == 1);
}

TEST_CASE("a cursor past the end gets an empty page and keeps its place") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(2)});
  const LotPage page = owner.read("lot", 7);
  CHECK(page.results.empty());
  CHECK(page.next == 7);
  CHECK(page.lot.items == 2);
}

TEST_CASE(
    "so many answers of 500 as the lane allows end an item, one of 422 does, and what did not run does not count") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(2)});
  auto items = owner.fetch(2);
  CHECK(owner.finish(items[1], "impossible"));
  for (const char* outcome : {"not_run", "failed", "not_run", "lost"}) {
    CHECK(owner.finish(items[0], outcome, {}, {}, items[0].failures + (std::string(outcome) == "failed")));
    CHECK(owner.read("lot").next == 1);
    items[0] = owner.fetch(1).at(0);
  }
  CHECK(items[0].failures == 1);
  CHECK(owner.finish(items[0], "failed", {}, {}, 2));
  const LotPage page = owner.read("lot");
  REQUIRE(page.results.size() == 2);
  CHECK(page.results[0].id == "item-1");
  CHECK(page.results[0].outcome == "abandoned");
  CHECK(page.results[1].outcome == "abandoned");
  CHECK(page.lot.state == "finished");
}

TEST_CASE("items are given up after the lane's retention, and not before") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(2)});
  owner.wait(milliseconds(19500));
  CHECK(owner.read("lot").next == 0);
  owner.wait(milliseconds(1000));
  CHECK(owner.read("lot").next == 2);
  CHECK(owner.read("lot").results.at(0).outcome == "abandoned");
}

TEST_CASE("what came of a stream goes to the next attempt, the longest part wins, and a damaged one is dropped") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(1)});
  auto item = owner.fetch(1).at(0);
  CHECK(owner.finish(item, "lost", {}, StreamPart{"a\nb", 2, ""}));
  item = owner.fetch(1).at(0);
  CHECK(item.part.text == "a\nb");
  CHECK(item.part.last_event == 2);
  CHECK(owner.finish(item, "lost"));
  item = owner.fetch(1).at(0);
  CHECK(item.part.last_event == 2);
  CHECK(owner.finish(item, "damaged"));
  CHECK(owner.fetch(1).at(0).part.last_event == 0);
}

TEST_CASE("lots due earlier go first") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  LotSpecification slow = OwnerFixture::batch(2);
  slow.completion = seconds(19);
  owner.good(SubmitLot{"slow", slow});
  owner.good(SubmitLot{"soon", OwnerFixture::batch(2)});
  const auto items = owner.fetch(3);
  REQUIRE(items.size() == 3);
  CHECK(items[0].lot == "soon");
  CHECK(items[1].lot == "soon");
  CHECK(items[2].lot == "slow");
}

TEST_CASE("items that can't be in time any more wait for those that can") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"old", OwnerFixture::batch(3)});
  owner.wait(milliseconds(7500));  // of eight seconds; an item takes about one
  owner.good(SubmitLot{"young", OwnerFixture::batch(2)});
  const ItemsReply reply = owner.good(FetchItems{"model", "model-1", 3, 1, 0});
  REQUIRE(reply.items.size() == 3);
  CHECK(reply.items[0].lot == "young");
  CHECK(reply.items[1].lot == "young");
  CHECK(reply.items[2].lot == "old");
  CHECK(reply.remaining == 0);
  CHECK(reply.late == 2);
}

TEST_CASE("a fetch gets no more tokens than the runner has room for") {
  KeptStore store;
  OwnerFixture owner(store, 4);
  owner.good(SubmitLot{"lot", OwnerFixture::batch(5)});
  CHECK(owner.good(FetchItems{"model", "model-1", 5, 1, 35}).items.size() == 3);
}

TEST_CASE("a refusal after a sending whose outcome is not known refuses nothing") {
  struct Refusing : Transport {
    void send(const Address&, Envelope envelope) override { asked.push_back(std::move(envelope)); }
    std::vector<Envelope> asked;
  };
  for (const bool unsure_before : {false, true}) {
    Refusing wire;
    simulate::World world(3);
    simulate::SimulatedTimers timers(world, std::make_shared<simulate::Life>());
    const Address owner("10.0.0.2:1");
    Messenger messenger(wire, timers, Address("10.0.0.1:1"), 1, "control");
    SharedState shared_state;
    ConfigurationView view;
    const Bytes roster = R"({"version":1,"seats":[{"holder":"holder","address":"10.0.0.2:1","zone":"h"}]})";
    REQUIRE(put_in_view(view, "roster", &roster, Stamp{}));
    shared_state.configuration.set(view);
    Members members;
    members.all[owner].address = owner;
    members.all[owner].holder = StorageNodeId("holder");
    shared_state.members.set(members);
    LotCalls calls(messenger, shared_state);
    std::optional<Result<LotStatus>> outcome;
    calls.submit(SubmitLot{"lot", OwnerFixture::batch(1)}, seconds(2),
                 [&](Result<LotStatus> result) { outcome = std::move(result); });
    auto give = [&](ErrorKind kind) {
      messenger.take(Envelope{owner, 1, "control", "lots", "fault", wire.asked.back().call, true,
                              to_cbor(WireError{static_cast<std::int32_t>(kind), "lots", "no", "again"}),
                              protocol_number});
      world.run_until(world.now() + milliseconds(150));
    };
    REQUIRE(wire.asked.size() == 1);
    if (unsure_before) give(ErrorKind::unknown);
    REQUIRE(wire.asked.size() == (unsure_before ? 2u : 1u));
    give(ErrorKind::refused);
    REQUIRE(outcome);
    REQUIRE(error_of(*outcome) != nullptr);
    CHECK(error_of(*outcome)->kind == (unsure_before ? ErrorKind::unknown : ErrorKind::refused));
  }
}
