// Which items an owner hands out, in particular that an item that no runner can run does not block others.
#include "lots_fixture.hpp"

using namespace mothwalk;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t memory_tokens = 100;

class SmallMemoryFixture : public OwnerFixture {
 public:
  explicit SmallMemoryFixture(ScriptedStore& kept) : OwnerFixture(kept, 4) {
    put("kind/model", R"({"engine":{"memory_tokens":100}})");
  }
  static LotSpecification make_batch_of(std::size_t count, std::uint32_t tokens) {
    LotSpecification spec = make_batch(count);
    for (auto& item : spec.items) item.tokens = tokens;
    spec.completion = seconds(19);
    return spec;
  }
  // The demand that the owner publishes to the component that sizes the kind's circle.
  LotDemand published_demand() {
    if (view.roster.voters.empty())
      put("roster", R"({"version":1,"seats":[{"holder":"10.0.0.1:1","address":"10.0.0.1:1","zone":"h"}]})");
    sent.clear();
    wait(seconds(2));
    LotDemand demand;
    for (const auto& each : sent)
      if (each.kind == KindPending::kind) demand = from_cbor<KindPending>(each.body)->kinds.at("model");
    return demand;
  }
};

}  // namespace

// Guards against a failure in which an item larger than a runner's memory kept idle runners from the items of all other
// lots of its owner until it was abandoned.
TEST_CASE("an item larger than a runner's memory does not block items of other lots") {
  ScriptedStore store;
  SmallMemoryFixture owner(store);
  owner.request_ok(SubmitLot{"large", SmallMemoryFixture::make_batch_of(1, memory_tokens + 1)});
  owner.wait(milliseconds(100));
  owner.request_ok(SubmitLot{"small", SmallMemoryFixture::make_batch_of(3, 10)});
  const ItemsReply reply = owner.request_ok(FetchItems{"model", "model-1", 8, 1, memory_tokens});
  CHECK(reply.items.size() == 3);
  CHECK(reply.remaining == 0);
  CHECK(owner.lots.counts().items_too_large == 1);
}

// Guards against the same failure within a lot whose first item is too large.
TEST_CASE(
    "an item larger than a runner's memory does not block its own lot, and is abandoned only after the retention "
    "time") {
  ScriptedStore store;
  SmallMemoryFixture owner(store);
  LotSpecification mixed = SmallMemoryFixture::make_batch_of(4, 10);
  mixed.items[0].tokens = mixed.items[2].tokens = memory_tokens + 1;
  owner.request_ok(SubmitLot{"lot", mixed});
  const auto items = owner.fetch(1);
  REQUIRE(items.size() == 1);
  CHECK(items[0].item == 1);
  CHECK(owner.report(items[0], "answer", "one"));
  CHECK(owner.fetch(8).size() == 1);
  owner.wait(seconds(19));
  CHECK(owner.read("lot").next == 1);
  owner.wait(seconds(2));
  const LotPage page = owner.read("lot");
  REQUIRE(page.results.size() == 3);
  CHECK(page.results[1].outcome == "abandoned");
  CHECK(page.results[2].outcome == "abandoned");
}

// Guards against runners being withheld from live requests for an item that none of them has enough memory for.
TEST_CASE("items that no runner has enough memory for are not published to the circle and the placers") {
  ScriptedStore store;
  SmallMemoryFixture owner(store);
  owner.request_ok(SubmitLot{"lot", SmallMemoryFixture::make_batch_of(2, 10)});
  owner.request_ok(SubmitLot{"large", SmallMemoryFixture::make_batch_of(1, memory_tokens + 1)});
  CHECK(owner.published_demand().pending == 2);
  for (const auto& item : owner.fetch(8)) CHECK(owner.report(item, "answer", "text"));
  const LotDemand demand = owner.published_demand();
  CHECK(demand.pending == 0);
  CHECK(demand.at_once == 0);
}

TEST_CASE("an item that does not fit into a runner's free memory is skipped and goes to a runner with more") {
  ScriptedStore store;
  SmallMemoryFixture owner(store);
  LotSpecification spec = SmallMemoryFixture::make_batch_of(3, 10);
  spec.items[0].tokens = 60;
  owner.request_ok(SubmitLot{"lot", spec});
  const ItemsReply some = owner.request_ok(FetchItems{"model", "model-1", 8, 1, 15});
  REQUIRE(some.items.size() == 1);
  CHECK(some.items[0].item == 1);
  CHECK(some.remaining == 2);
  const ItemsReply rest = owner.request_ok(FetchItems{"model", "model-2", 8, 1, memory_tokens});
  REQUIRE(rest.items.size() == 2);
  CHECK(rest.items[0].item == 0);
}

// Guards against items that runners refuse repeatedly, whatever their stated size, being selected first by each fetch
// and filling it.
TEST_CASE("items that are refused or broken off repeatedly are handed out after all others, and are retried later") {
  for (const bool refused : {true, false}) {
    ScriptedStore store;
    SmallMemoryFixture owner(store);
    owner.request_ok(SubmitLot{"refused", SmallMemoryFixture::make_batch_of(2, 10)});
    owner.wait(milliseconds(100));
    owner.request_ok(SubmitLot{"other", SmallMemoryFixture::make_batch_of(40, 10)});
    // Fetches two items; those of the lot "refused" are reported as refused or broken off.
    auto fetch_two = [&] {
      const auto items = owner.fetch(2);
      REQUIRE(items.size() == 2);
      for (const auto& item : items)
        if (item.lot == "refused")
          owner.request_ok(ReportItems{{ItemReport{item.lot, item.item, item.attempt, refused ? "not_run" : "lost",
                                                   refused ? 503 : 0, Bytes()}}});
      return items[0].lot;
    };
    CHECK(fetch_two() == "refused");
    for (const int backoff : {250, 500, 1000, 2000, 2000}) {
      CHECK(fetch_two() == "refused");
      CHECK(fetch_two() == "other");
      owner.wait(milliseconds(backoff - 200));
      CHECK(fetch_two() == "other");
      owner.wait(milliseconds(150));
    }
    CHECK(owner.read("refused").next == 0);
    // If nothing else waits, they are handed out despite their backoff.
    CHECK(fetch_two() == "refused");
    for (const auto& item : owner.fetch(40)) CHECK(item.lot == "other");
    CHECK(fetch_two() == "refused");
    CHECK(owner.lots.counts().items_rested == 14);
  }
}

TEST_CASE("an item does not back off if each broken run makes progress, or if the runner has other model weights") {
  ScriptedStore store;
  SmallMemoryFixture owner(store);
  owner.request_ok(SubmitLot{"lot", SmallMemoryFixture::make_batch_of(1, 10)});
  for (std::uint64_t event = 1; event < 6; ++event) {
    const auto items = owner.fetch(1);
    REQUIRE(items.size() == 1);
    CHECK(owner.report(items[0], "lost", {}, PartialStream{"text", event, ""}));
  }
  for (int run = 0; run < 4; ++run) {
    const auto items = owner.fetch(1);
    REQUIRE(items.size() == 1);
    owner.request_ok(ReportItems{{ItemReport{"lot", 0, items[0].attempt, "not_run", 421, {}}}});
  }
  CHECK(owner.fetch(1).size() == 1);
  CHECK(owner.lots.counts().items_rested == 0);
}
