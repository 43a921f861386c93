// Messages that are repeated, reordered or sent to the wrong call, and messages of another incarnation or protocol
// version must not change any state.
#include <catch2/catch.hpp>

#include "replication/replicated_store.hpp"
#include "simulate/cluster.hpp"

using namespace mothwalk;
using namespace mothwalk::simulate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
class RecordingTransport : public Transport {
 public:
  void send(const Address&, Envelope envelope) override { sent.push_back(std::move(envelope)); }
  std::vector<Envelope> sent;
};

const Address self("10.0.0.1:1"), peer("10.0.0.2:1"), other("10.0.0.3:1");

// One incarnation of a daemon, with a call to the peer in progress.
struct PendingCall {
  World world{1};
  SimulatedTimers timers{world, std::make_shared<ProcessState>()};
  RecordingTransport transport;
  Messenger messenger;
  std::vector<std::string> results;

  explicit PendingCall(std::uint64_t incarnation) : messenger(transport, timers, self, incarnation, "news") {
    messenger.request(peer, Compare{}, seconds(1), [this](Result<CompareReply> result) {
      const auto* error = error_of(result);
      results.push_back(error == nullptr ? "answer" : error->field);
    });
  }
  Envelope reply(const Address& from) const {
    Envelope envelope;
    envelope.from = from;
    envelope.incarnation = 1;
    envelope.slice = envelope.sender = "news";
    envelope.kind = "reply";
    envelope.call = transport.sent.front().call;
    envelope.reply = true;
    envelope.body = to_cbor(CompareReply{});
    return envelope;
  }
};
}  // namespace

TEST_CASE("a reply is accepted once, and only from the peer that was called") {
  PendingCall pending(5);
  pending.messenger.receive(pending.reply(other));
  CHECK(pending.results.empty());
  pending.messenger.receive(pending.reply(peer));
  pending.messenger.receive(pending.reply(peer));
  pending.world.run_until(pending.world.now() + seconds(2));
  CHECK(pending.results == std::vector<std::string>{"answer"});
}

TEST_CASE("a reply to a call of an earlier incarnation is not taken as a reply to a current call") {
  SeededRandom random(4);
  PendingCall earlier(new_incarnation(milliseconds(1000), random)),
      current(new_incarnation(milliseconds(1300), random));
  current.messenger.receive(earlier.reply(peer));
  CHECK(current.results.empty());
  current.messenger.receive(current.reply(peer));
  CHECK(current.results == std::vector<std::string>{"answer"});
}

TEST_CASE("a message of another protocol version reaches no component, and a call is refused with an error") {
  World world(1);
  SimulatedTimers timers(world, std::make_shared<ProcessState>());
  RecordingTransport transport;
  SharedState shared_state;
  SimulatedDisk disk(world, "here");
  disk.attach(std::make_shared<ProcessState>());
  Messenger messenger(transport, timers, self, 1, "store");
  Member member;
  member.address = self;
  ReplicatedStore store(messenger, shared_state, disk, world.random, member, {}, ReplicatedStore::Report{});
  REQUIRE(error_of(store.load()) == nullptr);
  store.start();
  world.run_until(world.now() + milliseconds(10));
  const std::size_t size = disk.size();
  const Roster roster{Version{9}, {Voter{store.identity(), self, ZoneId("h")}}};
  auto send = [&](StringView kind, const Bytes& body, std::uint64_t call, std::uint32_t protocol) {
    Envelope envelope;
    envelope.from = peer;
    envelope.slice = envelope.sender = "store";
    envelope.kind = std::string(kind);
    envelope.call = call;
    envelope.body = body;
    envelope.protocol = protocol;
    messenger.receive(std::move(envelope));
    world.run_until(world.now() + milliseconds(10));
  };
  RosterUpdate roster_update;
  roster_update.roster = roster;
  Promise promise;
  promise.target = store.identity();
  promise.owner = StorageNodeId("theirs");
  promise.slot = 3;
  promise.epoch = Epoch{7};
  promise.roster = roster;
  for (const std::uint32_t protocol : {0u, protocol_number - 1, protocol_number + 1, 0xffffffffu}) {
    transport.sent.clear();
    send(RosterUpdate::kind, to_cbor(roster_update), 0, protocol);
    send(Promise::kind, to_cbor(promise), 8, protocol);
    CHECK(disk.size() == size);
    CHECK(shared_state.known_control_voters.get()->empty());
    std::size_t refusals = 0;
    for (const auto& envelope : transport.sent) {
      if (!envelope.reply) continue;
      ++refusals;
      CHECK((envelope.kind == "fault" && envelope.call == 8));
      CHECK(from_cbor<WireError>(envelope.body)->field == "protocol");
    }
    CHECK(refusals == 1);
  }
  // The same message in this daemon's protocol version is accepted.
  send(RosterUpdate::kind, to_cbor(roster_update), 0, protocol_number);
  CHECK(disk.size() > size);
}

TEST_CASE("repeated and reordered messages neither change nor lose any state") {
  World world(12);
  SimulatedCluster cluster(world, shape_named("small", 1.0));
  cluster.start();
  for (int count = 0; count < 400 && !cluster.ready(); ++count) world.run_until(world.now() + milliseconds(100));
  REQUIRE(cluster.ready());
  world.duplicate_fraction = 1;
  int acknowledged = 0, accepted_lots = 0;
  // The next change of each lane is sent once the previous one has been acknowledged.
  std::function<void(int)> send_change = [&](int number) {
    const std::string lane = "lane-" + std::to_string(number % 4);
    cluster.apply("lane/" + lane,
                  R"({"path":"/)" + lane + R"(","kind":"model","waiting_room":)" + std::to_string(number + 1) + "}",
                  [&, number](Stamp) {
                    ++acknowledged;
                    if (number < 16) send_change(number + 4);
                  });
  };
  for (int number = 0; number < 4; ++number) send_change(number);
  for (int number = 0; number < 20; ++number)
    world.after(milliseconds(100) * number, [&, number] {
      cluster.control(
          *cluster.machines[static_cast<std::size_t>(number) % 9], "PUT", "/lots/lot-" + std::to_string(number),
          R"({"lane":"lines","items":["x","y"]})",
          [&](int status, const std::string&) { accepted_lots += status == 200; }, true);
    });
  world.run_until(world.now() + seconds(12));
  CHECK(acknowledged == 20);
  CHECK(accepted_lots == 20);
  CHECK(cluster.broken == std::vector<std::string>{});
  for (int number = 0; number < 4; ++number)
    CHECK(cluster.any_alive()
              .shared_state()
              .configuration.get()
              ->lanes.at("lane-" + std::to_string(number))
              .spec.waiting_room == static_cast<std::uint32_t>(17 + number));
  for (int number = 0; number < 20; ++number) {
    std::string page;
    cluster.control(
        *cluster.machines[0], "GET", "/lots/lot-" + std::to_string(number) + "/results", "",
        [&](int, const std::string& text) { page = text; }, true);
    world.run_until(world.now() + seconds(1));
    CHECK(std::get<json::value>(parse_json(page)).at("results").as_array().size() == 2);
  }
}
