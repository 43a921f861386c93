// Sends messages and replies, and matches replies to pending requests.
#include "sessions/messenger.hpp"

namespace mothwalk {

void Messenger::send_envelope(const Address& to, StringView kind, std::uint64_t call, Bytes body) {
  Envelope envelope{self_,  incarnation_,      std::string(kind.substr(0, kind.find('.'))),
                    slice_, std::string(kind), call,
                    false,  std::move(body),   protocol_number};
  transport_.send(to, std::move(envelope));
}

void Messenger::send_reply(const Address& to, const std::string& slice, std::uint64_t call, StringView kind,
                           Bytes body) {
  if (call == 0) return;  // The message was no request, so its sender expects no reply.
  transport_.send(to, Envelope{self_, incarnation_, slice, slice_, std::string(kind), call, true, std::move(body),
                               protocol_number});
}

void Messenger::complete_request(std::uint64_t call, Result<Bytes> result) {
  auto found = pending_.find(call);
  if (found == pending_.end()) return;
  auto callback = std::move(found->second.callback);
  timers_.cancel(found->second.timer);
  pending_.erase(found);
  callback(std::move(result));
}

void Messenger::receive(Envelope envelope) {
  // A message of another protocol version is refused with an error, which daemons of all versions can decode.
  if (envelope.protocol != protocol_number && !(envelope.reply && envelope.kind == "fault"))
    return envelope.reply
               ? void()
               : send_reply(envelope.from, envelope.sender, envelope.call, "fault",
                            to_cbor(WireError{static_cast<std::int32_t>(ErrorKind::refused), "protocol",
                                              "this daemon uses protocol version " + std::to_string(protocol_number) +
                                                  ", but the sender uses version " + std::to_string(envelope.protocol),
                                              "run versions of mothwalk that use the same protocol version"}));
  if (envelope.reply) {
    auto found = pending_.find(envelope.call);
    if (found == pending_.end() || found->second.to != envelope.from) return;
    if (envelope.kind != "fault") return complete_request(envelope.call, std::move(envelope.body));
    auto error = from_cbor<WireError>(envelope.body);
    if (!error || error->kind < 0 || error->kind > static_cast<std::int32_t>(ErrorKind::lost))
      error = WireError{static_cast<std::int32_t>(ErrorKind::damaged), "reply",
                        "the error reply of a peer could not be decoded", "run daemons of compatible versions"};
    return complete_request(envelope.call,
                            Error{static_cast<ErrorKind>(error->kind), error->field, error->message, error->remedy});
  }
  auto handler = handlers_.find(envelope.kind);
  if (handler != handlers_.end()) return handler->second(envelope);
  send_reply(envelope.from, envelope.sender, envelope.call, "fault",
             to_cbor(WireError{static_cast<std::int32_t>(ErrorKind::unknown_name), "kind",
                               "this daemon has no handler for the message kind " + envelope.kind,
                               "run daemons of compatible versions"}));
}

}  // namespace mothwalk
