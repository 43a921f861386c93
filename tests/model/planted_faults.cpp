// How each planted fault rewrites the messages that are sent and received.
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

// Replaces the epoch and owner of a message from a deposed owner by those that the replica has promised, so that the
// replica accepts it.
template <class Message>
void raise_epoch(const DecodedFile& receiver, Envelope& envelope) {
  change_body<Message>(envelope, [&](Message& message) {
    if (message.slot >= slot_count) return;
    const auto& slot = receiver.slots[message.slot];
    if (message.epoch > slot.promised) return;
    message.epoch = slot.promised;
    message.owner = slot.promised_to;
  });
}

void remove_change_identities(Envelope& envelope) {
  if (envelope.kind == Write::kind) change_body<Write>(envelope, [](Write& write) { write.token.clear(); });
}

// Clears the digests of the accepted configuration changes and keeps their numbers and bases.
void remove_accepted_digests(Envelope& envelope) {
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
std::optional<Envelope> reply_to(const Address& to, const Envelope& envelope, Reply reply) {
  return Envelope{
      to, 0, envelope.sender, envelope.slice, "reply", envelope.call, true, to_cbor(reply), protocol_number};
}

}  // namespace

void rewrite_received(PlantedFault fault, const DecodedFile& receiver, const Request* request, Envelope& envelope) {
  if (fault == PlantedFault::epoch_check_off && !envelope.reply) {
    if (envelope.kind == Store::kind) raise_epoch<Store>(receiver, envelope);
    if (envelope.kind == Install::kind) raise_epoch<Install>(receiver, envelope);
    if (envelope.kind == CopyRecords::kind) raise_epoch<CopyRecords>(receiver, envelope);
    if (envelope.kind == Confirm::kind) raise_epoch<Confirm>(receiver, envelope);
  }
  if (fault == PlantedFault::order_identity_ignored && !envelope.reply) remove_change_identities(envelope);
  if (!envelope.reply || request == nullptr || envelope.kind != "reply") return;
  if (fault == PlantedFault::installed_ignored && request->kind == Promise::kind)
    change_body<PromiseReply>(envelope, [](PromiseReply& reply) { reply.installed = Epoch{}; });
  if (fault == PlantedFault::stale_session_server && request->kind == Compare::kind)
    change_body<CompareReply>(envelope, [](CompareReply& reply) { reply.lease = std::chrono::milliseconds(800); });
  if (fault == PlantedFault::order_identity_ignored && request->kind == Read::kind) remove_accepted_digests(envelope);
}

std::optional<Envelope> assumed_reply_to(PlantedFault fault, const DecodedFile& sender, const Address& to,
                                         const Envelope& envelope) {
  const Roster& roster = sender.roster;
  if (fault != PlantedFault::old_roster_majority || envelope.reply || roster.version.value < 2 ||
      roster.voters.empty() || roster.voters.back().address != to || envelope.from == to)
    return std::nullopt;
  if (envelope.kind == Promise::kind) {
    auto message = from_cbor<Promise>(envelope.body);
    if (!message) return std::nullopt;
    return reply_to<Promise>(to, envelope, PromiseReply{true, message->epoch, {}, roster, {}, {}});
  }
  if (envelope.kind == Store::kind || envelope.kind == Confirm::kind || envelope.kind == Install::kind)
    return reply_to<Store>(to, envelope, StoreReply{"stored", {}, {}, {}});
  return std::nullopt;
}

}  // namespace mothwalk::model
