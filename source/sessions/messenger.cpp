// Sending, replying and matching of replies to the calls that wait for them.
#include "sessions/messenger.hpp"

namespace mothwalk {

void Messenger::send_envelope(const Address& to, StringView kind, std::uint64_t call, Bytes body) {
  Envelope envelope{self_,  incarnation_,      std::string(kind.substr(0, kind.find('.'))),
                    slice_, std::string(kind), call,
                    false,  std::move(body),   protocol_number};
  transport_.send(to, std::move(envelope));
}

void Messenger::reply(const Address& to, const std::string& slice, std::uint64_t call, StringView kind, Bytes body) {
  if (call == 0) return;
  transport_.send(to, Envelope{self_, incarnation_, slice, slice_, std::string(kind), call, true, std::move(body),
                               protocol_number});
}

void Messenger::finish(std::uint64_t call, Result<Bytes> result) {
  auto found = waiting_.find(call);
  if (found == waiting_.end()) return;
  auto then = std::move(found->second.then);
  timers_.cancel(found->second.timer);
  waiting_.erase(found);
  then(std::move(result));
}

void Messenger::take(Envelope envelope) {
  // Versions that do not agree refuse each other cleanly; the refusal itself is readable to all.
  if (envelope.protocol != protocol_number && !(envelope.reply && envelope.kind == "fault"))
    return envelope.reply ? void()
                          : reply(envelope.from, envelope.sender, envelope.call, "fault",
                                  to_cbor(WireError{static_cast<std::int32_t>(ErrorKind::refused), "protocol",
                                                    "this daemon speaks protocol " + std::to_string(protocol_number) +
                                                        ", the other one " + std::to_string(envelope.protocol),
                                                    "run versions of mothwalk that speak one protocol"}));
  if (envelope.reply) {
    auto found = waiting_.find(envelope.call);
    if (found == waiting_.end() || found->second.to != envelope.from) return;
    if (envelope.kind != "fault") return finish(envelope.call, std::move(envelope.body));
    auto error = from_cbor<WireError>(envelope.body);
    if (!error || error->kind < 0 || error->kind > static_cast<std::int32_t>(ErrorKind::lost))
      error = WireError{static_cast<std::int32_t>(ErrorKind::damaged), "reply", "a peer's fault could not be read",
                        "run daemons of versions that agree"};
    return finish(envelope.call,
                  Error{static_cast<ErrorKind>(error->kind), error->field, error->message, error->remedy});
  }
  auto handler = handlers_.find(envelope.kind);
  if (handler != handlers_.end()) return handler->second(envelope);
  reply(envelope.from, envelope.sender, envelope.call, "fault",
        to_cbor(WireError{static_cast<std::int32_t>(ErrorKind::unknown_name), "kind",
                          "this daemon does not know the message " + envelope.kind,
                          "run daemons of versions that agree"}));
}

}  // namespace mothwalk
