// Tests CircleManager with a simulated clock and store, and with load reports sent by the test. Many cases concern
// decisions on incomplete data.
#include <catch2/catch.hpp>

#include "circle/circle.hpp"
#include "simulate/world.hpp"

using namespace mothwalk;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class CircleFixture : public Transport {
 public:
  CircleFixture() {
    add_member("10.0.0.1:1", true);
    shared_state.members.set(members);
    own_all_slots(1);
  }
  ~CircleFixture() override { process->alive = false; }

  void own_all_slots(std::uint64_t epoch) {
    Ownership owned;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) owned.slots[slot] = Epoch{epoch};
    shared_state.owned.set(owned);
  }
  void add_member(const std::string& address, bool routes) {
    Member member;
    member.address = Address(address);
    member.zone = ZoneId("north");
    member.incarnation = 7;
    if (routes) member.callers = Address(address + "2");
    members.all[member.address] = member;
    shared_state.members.set(members);
  }
  void put(const std::string& key, const Bytes& value) {
    REQUIRE(apply_to_view(view, key, &value, Stamp{Epoch{1}, Version{++versions}}));
    shared_state.configuration.set(view);
  }
  void add_runners(int count) {
    for (int index = 1; index <= count; ++index)
      put("runner/" + std::to_string(index),
          R"({"kind":"model","address":"10.0.1.)" + std::to_string(index) + R"(:80","zone":"north","slots":4})");
  }
  void clear_runners() {
    view.runners.clear();
    shared_state.configuration.set(view);
  }
  void report(const std::string& from, LoadReport load) {
    load.runner_kind = "model";
    load.incarnation = 7;
    messenger.receive(Envelope{Address(from), 7, "circle", "routes", std::string(LoadReport::kind), 0, false,
                               to_cbor(load), protocol_number});
  }
  void report_pending_items(std::uint32_t pending, double at_once) {
    KindPending lots;
    lots.kinds["model"] = LotDemand{pending, at_once};
    messenger.receive(Envelope{Address("10.0.0.1:1"), 7, "circle", "lots", std::string(KindPending::kind), 0, false,
                               to_cbor(lots), protocol_number});
  }
  // Advances the clock. Every half second, each routing daemon reports this many open prompts for each member of the
  // circle.
  void run(Duration duration, std::uint32_t open_each, std::uint32_t queued = 0) {
    for (const TimePoint end = world.now() + duration; world.now() < end;
         world.run_until(world.now() + milliseconds(500)))
      for (const auto& [address, each] : members.all) {
        if (!each.routes()) continue;
        LoadReport load;
        load.queued = queued;
        for (const auto& runner : circle().members) load.runners[runner.text].open = open_each;
        report(address.text, load);
      }
  }
  // Acts as the replicated store: applies each write, and acknowledges it 1 ms later.
  void send(const Address& to, Envelope envelope) override {
    if (envelope.kind != Write::kind) return;
    const auto write = *from_cbor<Write>(envelope.body);
    put(write.key, *write.head);
    world.at(milliseconds(1), process, [this, envelope, to] {
      messenger.receive(
          Envelope{to, 7, "circle", "store", "reply", envelope.call, true, to_cbor(WriteReply{}), protocol_number});
    });
  }
  const Circle& circle() const {
    static const Circle none;
    auto found = view.circles.find("model");
    return found == view.circles.end() ? none : found->second.spec;
  }

  simulate::World world{5};
  simulate::ProcessPointer process = std::make_shared<simulate::ProcessState>();
  simulate::SimulatedTimers timers{world, process};
  Messenger messenger{*this, timers, Address("10.0.0.1:1"), 7, "circle"};
  SharedState shared_state;
  Members members;
  ConfigurationView view;
  std::uint64_t versions = 0;
  CircleManager circle_manager{messenger, shared_state};
};

const char* kind_with_reserve = R"({"circle":{"cycle":2000,"floor":2,"reserve":2,"ramp":500,"target":0.6}})";

}  // namespace

TEST_CASE("a circle created before any runner is known adds all runners except the reserve once they are known") {
  CircleFixture fixture;
  fixture.put("kind/model", kind_with_reserve);
  fixture.circle_manager.start();
  fixture.run(seconds(2), 0);
  CHECK(fixture.circle().members.empty());
  fixture.add_runners(5);
  fixture.run(seconds(2), 0);
  CHECK(fixture.circle().members.size() == 3);
  fixture.add_runners(20);
  fixture.run(seconds(12), 0);
  CHECK(fixture.circle().members.size() == 18);
}

TEST_CASE("a cycle without prompts does not shrink the circle; measured load and a long idle time do") {
  CircleFixture fixture;
  fixture.put("kind/model", kind_with_reserve);
  fixture.add_runners(20);
  fixture.circle_manager.start();
  fixture.run(seconds(10), 1);
  const std::size_t size_with_load = fixture.circle().members.size();
  CHECK(size_with_load < 18);
  CHECK(size_with_load >= 2);
  fixture.run(seconds(30), 0);
  const std::size_t size_after_idle = fixture.circle().members.size();
  CHECK(size_after_idle + 4 >= size_with_load);
  fixture.run(seconds(90), 0);
  CHECK(fixture.circle().members.size() == 2);
}

TEST_CASE("after a restart a circle keeps its members and their warm state until the list of runners is received") {
  CircleFixture fixture;
  fixture.put("kind/model", kind_with_reserve);
  fixture.add_runners(20);
  fixture.circle_manager.start();
  fixture.run(seconds(6), 2);
  const auto members = fixture.circle().members;
  REQUIRE(!members.empty());
  REQUIRE(fixture.circle().warm == members);
  fixture.clear_runners();
  fixture.own_all_slots(2);
  fixture.run(seconds(2), 0);
  CHECK(fixture.circle().members == members);
  fixture.add_runners(20);
  fixture.run(seconds(2), 0);
  CHECK(fixture.circle().members == members);
  CHECK(fixture.circle().warm == members);
}

TEST_CASE("the circle shrinks without waiting for reports of daemons that route no prompts") {
  CircleFixture fixture;
  fixture.put("kind/model", kind_with_reserve);
  for (const char* address : {"10.0.0.2:1", "10.0.0.3:1"}) fixture.add_member(address, false);
  fixture.add_runners(20);
  fixture.circle_manager.start();
  fixture.run(seconds(20), 1);
  CHECK(fixture.circle().members.size() < 12);
}

TEST_CASE("an overloaded circle grows by all missing runners in one early cycle") {
  CircleFixture fixture;
  fixture.put("kind/model", R"({"circle":{"cycle":60000,"floor":2,"reserve":2,"ramp":500,"target":0.6}})");
  fixture.put("circle/model", R"({"members":["1","2","3","4"],"warm":["1","2","3","4"],"cycle":5,"law":4})");
  fixture.add_runners(60);
  fixture.circle_manager.start();
  std::size_t before = 4, after = 4;
  // 16 prompts run and 14 wait for 16 slots. At the target load of 0.6 these 30 prompts need 12 or 13 runners.
  for (int step = 0; step < 20 && after == 4; ++step) {
    fixture.run(milliseconds(500), 4, 14);
    before = std::exchange(after, fixture.circle().members.size());
  }
  CHECK(before == 4);
  CHECK(after >= 12);
}

TEST_CASE("the circle states how many daemons route, and keeps the number while daemons are briefly unreachable") {
  CircleFixture fixture;
  fixture.put("kind/model", kind_with_reserve);
  for (int index = 2; index <= 6; ++index) fixture.add_member("10.0.0." + std::to_string(index) + ":1", index < 6);
  fixture.add_runners(4);
  fixture.circle_manager.start();
  fixture.run(seconds(2), 1);
  CHECK(fixture.circle().daemons == 5);
  for (int index = 3; index <= 6; ++index) fixture.members.all.erase(Address("10.0.0." + std::to_string(index) + ":1"));
  fixture.shared_state.members.set(fixture.members);
  fixture.run(seconds(20), 1);
  CHECK(fixture.circle().daemons == 5);
  fixture.run(seconds(60), 1);
  CHECK(fixture.circle().daemons == 2);
}

TEST_CASE("if all daemons together exceed a runner's connection limit, this is counted once per occasion") {
  CircleFixture fixture;
  fixture.put("kind/model", R"({"connections":10,"circle":{"all":true}})");
  fixture.add_runners(2);
  fixture.add_member("10.0.0.2:1", true);
  fixture.circle_manager.start();
  auto report = [&](std::uint32_t first, std::uint32_t second) {
    LoadReport load;
    load.runners["1"].connections = first;
    fixture.report("10.0.0.1:1", load);
    load.runners["1"].connections = second;
    fixture.report("10.0.0.2:1", load);
    fixture.world.run_until(fixture.world.now() + milliseconds(600));
  };
  fixture.world.run_until(fixture.world.now() + seconds(1));
  report(5, 5);
  CHECK(fixture.circle_manager.counts().connections_over_limit == 0);
  report(5, 6);
  report(6, 6);
  CHECK(fixture.circle_manager.counts().connections_over_limit == 1);
  report(4, 5);
  report(9, 9);
  CHECK(fixture.circle_manager.counts().connections_over_limit == 2);
}

TEST_CASE("lots get runners even if there are no more runners than the floor") {
  CircleFixture fixture;
  fixture.put("kind/model", R"({"circle":{"cycle":2000,"floor":4,"reserve":4,"ramp":500,"target":0.6}})");
  fixture.add_runners(4);
  fixture.circle_manager.start();
  fixture.run(seconds(4), 1);
  CHECK(fixture.circle().members.size() == 4);
  for (int second = 0; second < 6; ++second) {
    fixture.report_pending_items(40, 8);
    fixture.run(seconds(1), 1);
  }
  CHECK(fixture.circle().members.size() == 2);
}

TEST_CASE("lots without a deadline do not wait a minute for the runners of a circle that gets no prompts") {
  CircleFixture fixture;
  fixture.put("kind/model", R"({"circle":{"cycle":2000,"floor":2,"reserve":1,"ramp":500,"target":0.6}})");
  fixture.add_runners(6);
  fixture.circle_manager.start();
  fixture.run(seconds(6), 4);
  const auto run_without_prompts = [&fixture](int duration_seconds) {
    for (int second = 0; second < duration_seconds; ++second) {
      fixture.report_pending_items(400, 0);
      fixture.run(seconds(1), 0);
    }
    return fixture.circle().members.size();
  };
  CHECK(run_without_prompts(8) == 5);
  CHECK(run_without_prompts(16) == 2);
}

TEST_CASE("a ramp counts from the decision that announces it, not from a failure that was reported late") {
  CircleFixture fixture;
  fixture.put("kind/model", R"({"circle":{"all":true,"ramp":1000}})");
  fixture.add_runners(2);
  fixture.circle_manager.start();
  fixture.run(seconds(3), 1);
  REQUIRE(fixture.circle().warm.size() == 2);
  LoadReport load;
  load.runners["1"] = ObservedLoad{0, false, true, milliseconds(800), milliseconds(800), false, 0};
  fixture.report("10.0.0.1:1", load);
  fixture.world.run_until(fixture.world.now() + milliseconds(800));
  CHECK(fixture.circle().warm.size() == 1);
  fixture.world.run_until(fixture.world.now() + milliseconds(800));
  CHECK(fixture.circle().warm.size() == 2);
}

TEST_CASE("a recovered runner begins one ramp, not another one with each daemon that learns of the recovery late") {
  CircleFixture fixture;
  fixture.put("kind/model", R"({"circle":{"all":true,"ramp":1000}})");
  fixture.add_runners(2);
  for (int index = 2; index <= 9; ++index) fixture.add_member("10.0.0." + std::to_string(index) + ":1", true);
  fixture.circle_manager.start();
  fixture.run(seconds(3), 1);
  REQUIRE(fixture.circle().warm.size() == 2);
  const std::uint64_t before = fixture.circle().ramps.at("1");
  auto report = [&](int daemon, Duration failure, bool returned) {
    LoadReport load;
    load.runners["1"] = ObservedLoad{0, false, true, Duration{}, failure, returned, 0};
    fixture.report("10.0.0." + std::to_string(daemon) + ":1", load);
    fixture.world.run_until(fixture.world.now() + milliseconds(400));
  };
  report(1, Duration{}, false);
  CHECK(fixture.circle().warm.size() == 1);
  report(1, milliseconds(300), true);
  const std::uint64_t returned = fixture.circle().ramps.at("1");
  CHECK(returned > before);
  for (int daemon = 2; daemon <= 9; ++daemon) report(daemon, milliseconds(400 * daemon), true);
  CHECK(fixture.circle().ramps.at("1") == returned);
  CHECK(fixture.circle().warm.size() == 2);
  // The runner fails a second time.
  report(3, Duration{}, false);
  CHECK(fixture.circle().ramps.at("1") > returned);
}

namespace {

// A kind of runner with waiting lots whose items need two slots. The test reports them before each second of a run.
struct WaitingLotsFixture : CircleFixture {
  WaitingLotsFixture(const Bytes& kind, int runners) {
    put("kind/model", kind);
    add_runners(runners);
    circle_manager.start();
  }
  void run_with_waiting_lots(int seconds_to_run, std::uint32_t open_each) {
    for (int second = 0; second < seconds_to_run; ++second) {
      report_pending_items(9, 2);
      run(seconds(1), open_each);
    }
  }
  std::size_t shared_members() const {
    return static_cast<std::size_t>(
        std::count_if(circle().members.begin(), circle().members.end(),
                      [&](const RunnerId& name) { return circle().takes_lot_items(name.text); }));
  }
};

const char* kind_all_in_circle = R"({"circle":{"cycle":2000,"all":true,"ramp":500}})";

}  // namespace

// Guards against lots that are accepted but never run because the only runner of the kind is a member of the circle.
TEST_CASE("the only runner of a kind takes items of lots in addition to its prompts while lots wait") {
  WaitingLotsFixture fixture(kind_with_reserve, 1);
  fixture.run(seconds(3), 0);
  CHECK(fixture.circle().members.size() == 1);
  CHECK(fixture.shared_members() == 0);
  for (const std::uint32_t open_each : {0u, 2u}) {
    fixture.run_with_waiting_lots(4, open_each);
    CHECK(fixture.circle().members.size() == 1);
    CHECK(fixture.shared_members() == 1);
  }
  fixture.run(seconds(12), 0);
  CHECK(fixture.shared_members() == 0);
}

// Guards against the same fault in a kind that keeps all of its runners in the circle.
TEST_CASE("a kind with all runners in the circle gives lots the members they need, and replaces a lost placer") {
  WaitingLotsFixture fixture(kind_all_in_circle, 5);
  fixture.run_with_waiting_lots(4, 1);
  CHECK(fixture.circle().members.size() == 5);
  CHECK(fixture.shared_members() == 1);
  fixture.report_pending_items(40, 7);
  fixture.run(seconds(1), 1);
  CHECK(fixture.shared_members() == 4);
  const auto placers = fixture.circle().placers;
  fixture.add_member("10.0.0.2:1", true);
  fixture.members.all.erase(Address("10.0.0.1:1"));
  fixture.shared_state.members.set(fixture.members);
  fixture.run_with_waiting_lots(2, 1);
  REQUIRE(fixture.shared_members() >= 1);
  for (const auto& [runner, placer] : fixture.circle().placers) {
    CHECK(placer.address.text == "10.0.0.2:1");
    CHECK(placer.term > placers.at(runner).term);
  }
}

TEST_CASE("items running on a member keep their placer until they end, even if no lot waits any more") {
  WaitingLotsFixture fixture(kind_with_reserve, 1);
  fixture.run_with_waiting_lots(4, 0);
  REQUIRE(fixture.shared_members() == 1);
  for (int second = 0; second < 12; ++second) {
    LoadReport items;
    items.items = true;
    items.runners["1"].open = 2;
    fixture.report("10.0.0.1:1", items);
    fixture.run(seconds(1), 0);
    CHECK(fixture.shared_members() == 1);
  }
}

TEST_CASE("no member takes items while a runner is outside the circle; members do if prompts need all runners") {
  WaitingLotsFixture fixture(kind_with_reserve, 2);
  fixture.run_with_waiting_lots(6, 0);
  CHECK(fixture.circle().members.size() == 1);
  CHECK(fixture.shared_members() == 0);
  CHECK(fixture.circle().placers.size() == 1);
  // The prompts need more than one runner at the target load: both become members, at most half of whose slots are in
  // use.
  fixture.run_with_waiting_lots(12, 4);
  fixture.run_with_waiting_lots(6, 2);
  CHECK(fixture.circle().members.size() == 2);
  CHECK(fixture.shared_members() >= 1);
}
