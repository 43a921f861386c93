// How each planted fault changes what is sent and taken.
#include "model/planted_faults.hpp"

#include "coding/cbor.hpp"
#include "control/order_history.hpp"
#include "gossip/configuration_gossip.hpp"

namespace mothwalk::model {

namespace {

template <class Message, class Change>
void change_body(Envelope& envelope, Change change) {
  auto message = from_cbor<Message>(envelope.body);
  if (!message) return;
  change(*message);
  envelope.body = to_cbor(*message);
}

// Gives a message of a deposed owner the epoch and the owner that the replica has promised.
template <class Message>
void raise_epoch(const DecodedFile& taker, Envelope& envelope) {
  change_body<Message>(envelope, [&](Message& message) {
    if (message.slot >= slot_count) return;
    const auto& slot = taker.slots[message.slot];
    if (message.epoch > slot.promised) return;
    message.epoch = slot.promised;
    message.owner = slot.promised_to;
  });
}

void forget_order_identities(Envelope& envelope) {
  if (envelope.kind == Write::kind) change_body<Write>(envelope, [](Write& write) { write.token.clear(); });
}

// The numbers and bases of the orders that were taken stay, and their digests are lost.
void forget_taken_orders(Envelope& envelope) {
  change_body<ReadReply>(envelope, [](ReadReply& reply) {
    if (reply.record.key != configuration_key) return;
    for (auto& entry : reply.record.entries)
      if (auto order = from_cbor<OrderIdentity>(entry)) {
        order->digest.clear();
        entry = to_cbor(*order);
      }
  });
}

template <class Message, class Reply>
std::optional<Envelope> answer_for(const Address& to, const Envelope& envelope, Reply reply) {
  return Envelope{
      to, 0, envelope.sender, envelope.slice, "reply", envelope.call, true, to_cbor(reply), protocol_number};
}

}  // namespace

void rewrite_taken(PlantedFault fault, const DecodedFile& taker, const Request* request, Envelope& envelope) {
  if (fault == PlantedFault::epoch_check_off && !envelope.reply) {
    if (envelope.kind == Store::kind) raise_epoch<Store>(taker, envelope);
    if (envelope.kind == Install::kind) raise_epoch<Install>(taker, envelope);
    if (envelope.kind == Copies::kind) raise_epoch<Copies>(taker, envelope);
    if (envelope.kind == Confirm::kind) raise_epoch<Confirm>(taker, envelope);
  }
  if (fault == PlantedFault::order_identity_ignored && !envelope.reply) forget_order_identities(envelope);
  if (!envelope.reply || request == nullptr || envelope.kind != "reply") return;
  if (fault == PlantedFault::installed_ignored && request->kind == Promise::kind)
    change_body<PromiseReply>(envelope, [](PromiseReply& reply) { reply.installed = Epoch{}; });
  if (fault == PlantedFault::stale_home && request->kind == Compare::kind)
    change_body<CompareReply>(envelope, [](CompareReply& reply) { reply.lease = std::chrono::milliseconds(800); });
  if (fault == PlantedFault::order_identity_ignored && request->kind == Read::kind) forget_taken_orders(envelope);
}

std::optional<Envelope> assumed_answer(PlantedFault fault, const DecodedFile& sender, const Address& to,
                                       const Envelope& envelope) {
  const Roster& roster = sender.roster;
  if (fault != PlantedFault::old_roster_majority || envelope.reply || roster.version.value < 2 ||
      roster.seats.empty() || roster.seats.back().address != to || envelope.from == to)
    return std::nullopt;
  if (envelope.kind == Promise::kind) {
    auto message = from_cbor<Promise>(envelope.body);
    if (!message) return std::nullopt;
    return answer_for<Promise>(to, envelope, PromiseReply{true, message->epoch, {}, roster, {}, {}});
  }
  if (envelope.kind == Store::kind || envelope.kind == Confirm::kind || envelope.kind == Install::kind)
    return answer_for<Store>(to, envelope, StoreReply{"stored", {}, {}, {}});
  return std::nullopt;
}

}  // namespace mothwalk::model
