// The owner of lots on a scripted store: what it may reply without the confirmation of a majority.
#include <catch2/catch.hpp>

#include "lots/lots.hpp"
#include "simulate/world.hpp"

using namespace mothwalk;

namespace {
class RecordingTransport : public Transport {
 public:
  void send(const Address&, Envelope envelope) override { sent.push_back(std::move(envelope)); }
  const Envelope* last(const std::string& kind) const {
    for (auto each = sent.rbegin(); each != sent.rend(); ++each)
      if (each->kind == kind) return &*each;
    return nullptr;
  }
  std::vector<Envelope> sent;
};
}  // namespace

TEST_CASE("an owner that no majority confirms neither dismisses a report nor denies that a lot exists") {
  RecordingTransport transport;
  simulate::World world(3);
  simulate::SimulatedTimers timers(world, std::make_shared<simulate::ProcessState>());
  const Address self("10.0.0.1:1"), placer("10.0.0.2:1");
  Messenger messenger(transport, timers, self, 1, "lots");
  SharedState shared_state;
  Lots lots(messenger, shared_state);
  const std::uint32_t slot = slot_of("lot/unheard-of");
  shared_state.owned.set(Ownership{{{slot, Epoch{4}}}});
  lots.start();
  auto reply_to = [&](const Envelope& request, bool error) {
    messenger.receive(
        Envelope{self, 1, "lots", "store", error ? "fault" : "reply", request.call, true,
                 error ? to_cbor(WireError{static_cast<std::int32_t>(ErrorKind::busy), "slot", "moved", "ask again"})
                 : request.kind == "store.list" ? to_cbor(ListSlotReply{})
                                                : to_cbor(ConfirmReply{}),
                 protocol_number});
  };
  REQUIRE(transport.last("store.list") != nullptr);
  reply_to(*transport.last("store.list"), false);
  for (bool confirmed_as_owner : {false, true}) {
    messenger.receive(Envelope{placer, 1, "lots", "placing", "lots.finish", 77, false,
                               to_cbor(ReportItems{{ItemReport{"unheard-of", 0, 1, "answer", 200, "done"}}}),
                               protocol_number});
    REQUIRE(transport.last("store.confirmslot") != nullptr);
    reply_to(*transport.last("store.confirmslot"), !confirmed_as_owner);
    CHECK(transport.sent.back().call == 77);
    CHECK(transport.sent.back().kind == (confirmed_as_owner ? "reply" : "fault"));
    messenger.receive(Envelope{placer, 1, "lots", "control", "lots.cancel", 78, false, to_cbor(CancelLot{"unheard-of"}),
                               protocol_number});
    reply_to(*transport.last("store.confirmslot"), !confirmed_as_owner);
    CHECK(transport.sent.back().call == 78);
    const auto error = from_cbor<WireError>(transport.sent.back().body);
    REQUIRE(error);
    CHECK(error->kind == static_cast<std::int32_t>(confirmed_as_owner ? ErrorKind::unknown_name : ErrorKind::busy));
  }
}

TEST_CASE("of two placers that compete for a runner only the one with the higher term gets items") {
  RecordingTransport transport;
  simulate::World world(3);
  simulate::SimulatedTimers timers(world, std::make_shared<simulate::ProcessState>());
  const Address self("10.0.0.1:1"), old_placer("10.0.0.2:1"), new_placer("10.0.0.3:1");
  Messenger messenger(transport, timers, self, 1, "lots");
  SharedState shared_state;
  Members members;
  for (const auto& [address, incarnation] : {std::pair{old_placer, 5u}, std::pair{new_placer, 6u}}) {
    members.all[address].address = address;
    members.all[address].incarnation = incarnation;
  }
  shared_state.members.set(std::move(members));
  Lots lots(messenger, shared_state);
  auto fetch = [&](const Address& placer, std::uint64_t term) {
    messenger.receive(Envelope{placer, 1, "lots", "placing", "lots.fetch", 9, false,
                               to_cbor(FetchItems{"model", "model-1", 4, term, 0}), protocol_number});
    return transport.sent.back().kind;
  };
  CHECK(fetch(old_placer, 3) == "reply");
  CHECK(fetch(new_placer, 3) == "fault");
  CHECK(fetch(new_placer, 4) == "reply");
  CHECK(fetch(old_placer, 3) == "fault");
  // The configuration may name a newer placer than any fetch so far.
  ConfigurationView view;
  const Bytes circle = R"({"placers":{"model-1":{"address":"10.0.0.2:1","incarnation":5,"term":7}},"term":7})";
  REQUIRE(apply_to_view(view, "circle/model", &circle, Stamp{}));
  shared_state.configuration.set(view);
  CHECK(fetch(new_placer, 4) == "fault");
  CHECK(fetch(old_placer, 7) == "reply");
}
