// Calls between duties: which answers a caller takes.
#include <catch2/catch.hpp>

#include "replication/messages.hpp"
#include "simulate/world.hpp"

using namespace mothwalk;

namespace {
class KeptEnvelopes : public Transport {
 public:
  void send(const Address&, Envelope envelope) override { sent.push_back(std::move(envelope)); }
  std::vector<Envelope> sent;
};

std::uint64_t later_incarnation(simulate::World& world) {
  return new_incarnation(std::chrono::hours(1000000) + (world.now() - TimePoint{}), world.random);
}

Envelope answer_to(const Envelope& asked, const Address& replier) {
  return Envelope{replier,        1,          asked.sender, asked.slice,
                  "reply",        asked.call, true,         to_cbor(StoreReply{"stored", {}, {}, {}}),
                  protocol_number};
}
}  // namespace

TEST_CASE("an answer to a call of a caller's former life settles no call of its new life") {
  simulate::World world(3);
  auto process = std::make_shared<simulate::Life>();
  simulate::SimulatedTimers timers(world, process);
  const Address caller("10.0.0.1:1"), replier("10.0.0.2:1");
  constexpr int calls = 300;
  KeptEnvelopes former_wire, wire;
  Messenger former(former_wire, timers, caller, later_incarnation(world), "store");
  Messenger messenger(wire, timers, caller, later_incarnation(world), "store");
  int settled = 0;
  for (int count = 0; count < calls; ++count) {
    former.request(replier, Confirm{}, std::chrono::seconds(1), [](Result<StoreReply>) {});
    messenger.request(replier, Confirm{}, std::chrono::seconds(1), [&](Result<StoreReply>) { ++settled; });
  }
  for (const auto& asked : former_wire.sent) messenger.take(answer_to(asked, replier));
  CHECK(settled == 0);
  for (const auto& asked : wire.sent) messenger.take(answer_to(asked, replier));
  CHECK(settled == calls);
}
