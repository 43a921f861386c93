// Each duty's way to speak with other duties, near or far: send (no reply), request (one reply or an error by a
// timeout) and answer. Message types carry their kind ("slice.verb") and the type of their reply, so both ends agree on
// form.
#pragma once
#include "coding/cbor.hpp"
#include "interfaces/interfaces.hpp"

namespace mothwalk {

struct WireError {
  std::int32_t kind = 0;
  std::string field, message, remedy;
  MOTHWALK_FIELDS(kind, field, message, remedy)
};

template <class Reply>
using ReplyCallback = std::function<void(Result<Reply>)>;

class Messenger {
 public:
  Messenger(Transport& wire, Timers& timers, Address self, std::uint64_t incarnation, std::string slice)
      : transport_(wire),
        timers_(timers),
        self_(std::move(self)),
        incarnation_(incarnation),
        slice_(std::move(slice)),
        last_call_(first_call(incarnation)) {}
  const Address& self() const { return self_; }
  std::uint64_t incarnation() const { return incarnation_; }
  const std::string& slice() const { return slice_; }
  Timers& timers() const { return timers_; }

  void take(Envelope envelope);

  template <class Message>
  void send(const Address& to, const Message& message) {
    send_envelope(to, Message::kind, 0, to_cbor(message));
  }

  template <class Message, class Then>
  void request(const Address& to, const Message& message, Duration timeout, Then then) {
    using Reply = typename Message::Reply;
    const std::uint64_t call = ++last_call_;
    Waiting& waiting = waiting_[call];
    waiting.to = to;
    waiting.then = [then](Result<Bytes> bytes) {
      if (auto error = error_of(bytes)) return then(Result<Reply>(*error));
      auto reply = from_cbor<Reply>(std::get<Bytes>(bytes));
      if (!reply)
        return then(Result<Reply>(Error{ErrorKind::damaged, "reply", "a peer's reply could not be read",
                                        "run daemons of versions that agree"}));
      then(Result<Reply>(std::move(*reply)));
    };
    waiting.timer = timers_.after(timeout, [this, call] {
      finish(call, Error{ErrorKind::lost, "peer", "no answer came in time", "ask again; the outcome is not known"});
    });
    send_envelope(to, Message::kind, call, to_cbor(message));
  }

  template <class Message, class Handler>
  void on_message(Handler handler) {
    handlers_[std::string(Message::kind)] = [handler](const Envelope& envelope) {
      if (auto message = from_cbor<Message>(envelope.body)) handler(envelope.from, std::move(*message));
    };
  }

  template <class Message, class Handler>
  void on_request(Handler handler) {
    using Reply = typename Message::Reply;
    handlers_[std::string(Message::kind)] = [this, handler](const Envelope& envelope) {
      ReplyCallback<Reply> answer = [this, to = envelope.from, slice = envelope.sender,
                                     call = envelope.call](Result<Reply> result) {
        if (auto error = error_of(result))
          return reply(
              to, slice, call, "fault",
              to_cbor(WireError{static_cast<std::int32_t>(error->kind), error->field, error->message, error->remedy}));
        reply(to, slice, call, "reply", to_cbor(std::get<Reply>(result)));
      };
      auto message = from_cbor<Message>(envelope.body);
      if (!message)
        return answer(Error{ErrorKind::invalid, "message", "the message could not be read",
                            "run daemons of versions that agree"});
      handler(envelope.from, std::move(*message), answer);
    };
  }

 private:
  struct Waiting {
    Address to;
    std::function<void(Result<Bytes>)> then;
    Timers::Id timer = 0;
  };
  // Each life of a daemon numbers its calls from another start, so that a late answer to an earlier one matches none.
  static std::uint64_t first_call(std::uint64_t incarnation) { return hash_of("call", incarnation) & 0x7fffffff; }
  void send_envelope(const Address& to, StringView kind, std::uint64_t call, Bytes body);
  void reply(const Address& to, const std::string& slice, std::uint64_t call, StringView kind, Bytes body);
  void finish(std::uint64_t call, Result<Bytes> result);

  Transport& transport_;
  Timers& timers_;
  Address self_;
  std::uint64_t incarnation_;
  std::string slice_;
  std::uint64_t last_call_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::map<std::string, std::function<void(const Envelope&)>> handlers_;
};

}  // namespace mothwalk
