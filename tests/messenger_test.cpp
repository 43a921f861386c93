// Tests which replies to a request a messenger accepts.
#include <catch2/catch.hpp>

#include "replication/messages.hpp"
#include "simulate/world.hpp"

using namespace mothwalk;

namespace {
class RecordingTransport : public Transport {
 public:
  void send(const Address&, Envelope envelope) override { sent.push_back(std::move(envelope)); }
  std::vector<Envelope> sent;
};

std::uint64_t later_incarnation(simulate::World& world) {
  return new_incarnation(std::chrono::hours(1000000) + (world.now() - TimePoint{}), world.random);
}

Envelope reply_to(const Envelope& request, const Address& peer) {
  return Envelope{peer,           1,
                  request.sender, request.slice,
                  "reply",        request.call,
                  true,           to_cbor(StoreReply{"stored", {}, {}, {}}),
                  protocol_number};
}
}  // namespace

TEST_CASE("a reply to a request of an earlier incarnation completes no request of the new incarnation") {
  simulate::World world(3);
  auto process_life = std::make_shared<simulate::ProcessState>();
  simulate::SimulatedTimers timers(world, process_life);
  const Address self("10.0.0.1:1"), peer("10.0.0.2:1");
  constexpr int request_count = 300;
  RecordingTransport former_transport, transport;
  Messenger former_messenger(former_transport, timers, self, later_incarnation(world), "store");
  Messenger messenger(transport, timers, self, later_incarnation(world), "store");
  int completed = 0;
  for (int count = 0; count < request_count; ++count) {
    former_messenger.request(peer, Confirm{}, std::chrono::seconds(1), [](Result<StoreReply>) {});
    messenger.request(peer, Confirm{}, std::chrono::seconds(1), [&](Result<StoreReply>) { ++completed; });
  }
  for (const auto& request : former_transport.sent) messenger.receive(reply_to(request, peer));
  CHECK(completed == 0);
  for (const auto& request : transport.sent) messenger.receive(reply_to(request, peer));
  CHECK(completed == request_count);
}
