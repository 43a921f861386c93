// Which items an owner hands out: one that no runner can run keeps no other from the runners.
#include "lots_fixture.hpp"

using namespace mothwalk;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t memory_tokens = 100;

class SmallMemory : public OwnerFixture {
 public:
  explicit SmallMemory(KeptStore& kept) : OwnerFixture(kept, 4) {
    put("kind/model", R"({"engine":{"memory_tokens":100}})");
  }
  static LotSpecification batch_of(std::size_t count, std::uint32_t tokens) {
    LotSpecification head = batch(count);
    for (auto& item : head.items) item.tokens = tokens;
    head.completion = seconds(19);
    return head;
  }
  // What waits, as the owner tells the circle duty of the kind.
  LotDemand told_demand() {
    if (view.roster.seats.empty())
      put("roster", R"({"version":1,"seats":[{"holder":"10.0.0.1:1","address":"10.0.0.1:1","zone":"h"}]})");
    sent.clear();
    wait(seconds(2));
    LotDemand told;
    for (const auto& each : sent)
      if (each.kind == KindPending::kind) told = from_cbor<KindPending>(each.body)->kinds.at("model");
    return told;
  }
};

}  // namespace

// Guards against: one item larger than a runner's memory kept the items of all other lots of its owner from idle
// runners until it was given up.
TEST_CASE("an item larger than a runner's memory keeps no other item from the runners") {
  KeptStore store;
  SmallMemory owner(store);
  owner.good(SubmitLot{"large", SmallMemory::batch_of(1, memory_tokens + 1)});
  owner.wait(milliseconds(100));
  owner.good(SubmitLot{"small", SmallMemory::batch_of(3, 10)});
  const ItemsReply reply = owner.good(FetchItems{"model", "model-1", 8, 1, memory_tokens});
  CHECK(reply.items.size() == 3);
  CHECK(reply.remaining == 0);
  CHECK(owner.lots.counts().items_too_large == 1);
}

// Guards against: the same item at the head of its own lot.
TEST_CASE("an item larger than a runner's memory keeps none of its own lot's either, and is given up in time alone") {
  KeptStore store;
  SmallMemory owner(store);
  LotSpecification mixed = SmallMemory::batch_of(4, 10);
  mixed.items[0].tokens = mixed.items[2].tokens = memory_tokens + 1;
  owner.good(SubmitLot{"lot", mixed});
  const auto items = owner.fetch(1);
  REQUIRE(items.size() == 1);
  CHECK(items[0].item == 1);
  CHECK(owner.finish(items[0], "answer", "one"));
  CHECK(owner.fetch(8).size() == 1);
  owner.wait(seconds(19));
  CHECK(owner.read("lot").next == 1);
  owner.wait(seconds(2));
  const LotPage page = owner.read("lot");
  REQUIRE(page.results.size() == 3);
  CHECK(page.results[1].outcome == "abandoned");
  CHECK(page.results[2].outcome == "abandoned");
}

// Guards against: runners kept back from live work for an item that none of them can hold.
TEST_CASE("the circle and the placers are not told of items that no runner can hold") {
  KeptStore store;
  SmallMemory owner(store);
  owner.good(SubmitLot{"lot", SmallMemory::batch_of(2, 10)});
  owner.good(SubmitLot{"large", SmallMemory::batch_of(1, memory_tokens + 1)});
  CHECK(owner.told_demand().pending == 2);
  for (const auto& item : owner.fetch(8)) CHECK(owner.finish(item, "answer", "text"));
  const LotDemand told = owner.told_demand();
  CHECK(told.pending == 0);
  CHECK(told.at_once == 0);
}

TEST_CASE("an item that does not fit into what a runner has left is passed over, and goes where there is more") {
  KeptStore store;
  SmallMemory owner(store);
  LotSpecification head = SmallMemory::batch_of(3, 10);
  head.items[0].tokens = 60;
  owner.good(SubmitLot{"lot", head});
  const ItemsReply some = owner.good(FetchItems{"model", "model-1", 8, 1, 15});
  REQUIRE(some.items.size() == 1);
  CHECK(some.items[0].item == 1);
  CHECK(some.remaining == 2);
  const ItemsReply rest = owner.good(FetchItems{"model", "model-2", 8, 1, memory_tokens});
  REQUIRE(rest.items.size() == 2);
  CHECK(rest.items[0].item == 0);
}

// Guards against: items that runners turn away time after time, whatever their stated size, come first at each fetch
// and fill it.
TEST_CASE("items that are turned away again and again rest behind all others, and are tried again later") {
  for (const bool turned_away : {true, false}) {
    KeptStore store;
    SmallMemory owner(store);
    owner.good(SubmitLot{"refused", SmallMemory::batch_of(2, 10)});
    owner.wait(milliseconds(100));
    owner.good(SubmitLot{"other", SmallMemory::batch_of(40, 10)});
    // Has two items started; those of the first lot come back.
    auto fetch_two = [&] {
      const auto items = owner.fetch(2);
      REQUIRE(items.size() == 2);
      for (const auto& item : items)
        if (item.lot == "refused")
          owner.good(FinishItems{{FinishItem{item.lot, item.item, item.attempt, turned_away ? "not_run" : "lost",
                                             turned_away ? 503 : 0, Bytes()}}});
      return items[0].lot;
    };
    CHECK(fetch_two() == "refused");
    for (const int rest : {250, 500, 1000, 2000, 2000}) {
      CHECK(fetch_two() == "refused");
      CHECK(fetch_two() == "other");
      owner.wait(milliseconds(rest - 200));
      CHECK(fetch_two() == "other");
      owner.wait(milliseconds(150));
    }
    CHECK(owner.read("refused").next == 0);
    // Where nothing else waits they need not rest.
    CHECK(fetch_two() == "refused");
    for (const auto& item : owner.fetch(40)) CHECK(item.lot == "other");
    CHECK(fetch_two() == "refused");
    CHECK(owner.lots.counts().items_rested == 14);
  }
}

TEST_CASE("an item that comes further with each broken run, or meets other weights, does not rest") {
  KeptStore store;
  SmallMemory owner(store);
  owner.good(SubmitLot{"lot", SmallMemory::batch_of(1, 10)});
  for (std::uint64_t event = 1; event < 6; ++event) {
    const auto items = owner.fetch(1);
    REQUIRE(items.size() == 1);
    CHECK(owner.finish(items[0], "lost", {}, StreamPart{"text", event, ""}));
  }
  for (int run = 0; run < 4; ++run) {
    const auto items = owner.fetch(1);
    REQUIRE(items.size() == 1);
    owner.good(FinishItems{{FinishItem{"lot", 0, items[0].attempt, "not_run", 421, {}}}});
  }
  CHECK(owner.fetch(1).size() == 1);
  CHECK(owner.lots.counts().items_rested == 0);
}
