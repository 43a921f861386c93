// Sending, replying and matching of replies to the calls that wait for them.
#include "sessions/messenger.hpp"

namespace mothwalk {

void Messenger::send(const Address& to, View kind, std::uint64_t call, Bytes body) {
  Envelope envelope{self_,  incarnation_,      std::string(kind.substr(0, kind.find('.'))),
                    slice_, std::string(kind), call,
                    false,  std::move(body),   protocol_number};
  wire_.send(to, std::move(envelope));
}

void Messenger::reply(const Address& to, const std::string& slice, std::uint64_t call, View kind, Bytes body) {
  if (call == 0) return;
  wire_.send(to, Envelope{self_, incarnation_, slice, slice_, std::string(kind), call, true, std::move(body),
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
                                  to_cbor(WireFault{static_cast<std::int32_t>(FaultKind::refused), "protocol",
                                                    "this daemon speaks protocol " + std::to_string(protocol_number) +
                                                        ", the other one " + std::to_string(envelope.protocol),
                                                    "run versions of mothwalk that speak one protocol"}));
  if (envelope.reply) {
    auto found = waiting_.find(envelope.call);
    if (found == waiting_.end() || found->second.to != envelope.from) return;
    if (envelope.kind != "fault") return finish(envelope.call, std::move(envelope.body));
    auto fault = from_cbor<WireFault>(envelope.body);
    if (!fault || fault->kind < 0 || fault->kind > static_cast<std::int32_t>(FaultKind::lost))
      fault = WireFault{static_cast<std::int32_t>(FaultKind::damaged), "reply", "a peer's fault could not be read",
                        "run daemons of versions that agree"};
    return finish(envelope.call,
                  Fault{static_cast<FaultKind>(fault->kind), fault->field, fault->message, fault->remedy});
  }
  auto handler = handlers_.find(envelope.kind);
  if (handler != handlers_.end()) return handler->second(envelope);
  reply(envelope.from, envelope.sender, envelope.call, "fault",
        to_cbor(WireFault{static_cast<std::int32_t>(FaultKind::unknown_name), "kind",
                          "this daemon does not know the message " + envelope.kind,
                          "run daemons of versions that agree"}));
}

}  // namespace mothwalk
