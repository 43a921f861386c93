// Message passing between components of the same daemon or of different daemons. A component sends messages without a
// reply, sends requests that end with one reply or with an error by a timeout, and handles those of others. Each
// message type states its kind ("slice.verb", where the slice names the receiving component) and the type of its reply,
// so that both ends agree on the format.
#pragma once
#include "coding/cbor.hpp"
#include "interfaces/interfaces.hpp"

namespace mothwalk {

// An error as it is sent in a reply.
struct WireError {
  std::int32_t kind = 0;
  std::string field, message, remedy;
  MOTHWALK_FIELDS(kind, field, message, remedy)
};

template <class Reply>
using ReplyCallback = std::function<void(Result<Reply>)>;

// Sends and receives the messages of one component, and matches replies to the requests that wait for them.
class Messenger {
 public:
  Messenger(Transport& transport, Timers& timers, Address self, std::uint64_t incarnation, std::string slice)
      : transport_(transport),
        timers_(timers),
        self_(std::move(self)),
        incarnation_(incarnation),
        slice_(std::move(slice)),
        last_call_number_(first_call_number(incarnation)) {}
  const Address& self() const { return self_; }
  std::uint64_t incarnation() const { return incarnation_; }
  const std::string& slice() const { return slice_; }
  Timers& timers() const { return timers_; }

  // Handles an envelope that was received for this component.
  void receive(Envelope envelope);

  template <class Message>
  void send(const Address& to, const Message& message) {
    send_envelope(to, Message::kind, 0, to_cbor(message));
  }

  // Calls `callback` once, with the reply or with an error.
  template <class Message, class Callback>
  void request(const Address& to, const Message& message, Duration timeout, Callback callback) {
    using Reply = typename Message::Reply;
    const std::uint64_t call = ++last_call_number_;
    PendingRequest& pending = pending_[call];
    pending.to = to;
    pending.callback = [callback](Result<Bytes> bytes) {
      if (auto error = error_of(bytes)) return callback(Result<Reply>(*error));
      auto reply = from_cbor<Reply>(std::get<Bytes>(bytes));
      if (!reply)
        return callback(Result<Reply>(Error{ErrorKind::damaged, "reply", "the reply of a peer could not be decoded",
                                            "run daemons of compatible versions"}));
      callback(Result<Reply>(std::move(*reply)));
    };
    pending.timer = timers_.after(timeout, [this, call] {
      complete_request(call, Error{ErrorKind::lost, "peer", "the peer did not reply before the timeout",
                                   "retry; whether the request took effect is unknown"});
    });
    send_envelope(to, Message::kind, call, to_cbor(message));
  }

  // Registers the handler of a message type. Messages that cannot be decoded are dropped.
  template <class Message, class Handler>
  void on_message(Handler handler) {
    handlers_[std::string(Message::kind)] = [handler](const Envelope& envelope) {
      if (auto message = from_cbor<Message>(envelope.body)) handler(envelope.from, std::move(*message));
    };
  }

  // Registers the handler of a request type; the handler passes its result to the callback that it is given.
  template <class Message, class Handler>
  void on_request(Handler handler) {
    using Reply = typename Message::Reply;
    handlers_[std::string(Message::kind)] = [this, handler](const Envelope& envelope) {
      ReplyCallback<Reply> respond = [this, to = envelope.from, slice = envelope.sender,
                                      call = envelope.call](Result<Reply> result) {
        if (auto error = error_of(result))
          return send_reply(
              to, slice, call, "fault",
              to_cbor(WireError{static_cast<std::int32_t>(error->kind), error->field, error->message, error->remedy}));
        send_reply(to, slice, call, "reply", to_cbor(std::get<Reply>(result)));
      };
      auto message = from_cbor<Message>(envelope.body);
      if (!message)
        return respond(Error{ErrorKind::invalid, "message", "the message could not be decoded",
                             "run daemons of compatible versions"});
      handler(envelope.from, std::move(*message), respond);
    };
  }

 private:
  struct PendingRequest {
    Address to;
    std::function<void(Result<Bytes>)> callback;
    Timers::Id timer = 0;
  };
  // Each incarnation of a daemon numbers its requests from a different start, so that a late reply to a request of an
  // earlier incarnation matches no pending request.
  static std::uint64_t first_call_number(std::uint64_t incarnation) {
    return hash_of("call", incarnation) & 0x7fffffff;
  }
  void send_envelope(const Address& to, StringView kind, std::uint64_t call, Bytes body);
  void send_reply(const Address& to, const std::string& slice, std::uint64_t call, StringView kind, Bytes body);
  void complete_request(std::uint64_t call, Result<Bytes> result);

  Transport& transport_;
  Timers& timers_;
  Address self_;
  std::uint64_t incarnation_;
  std::string slice_;
  std::uint64_t last_call_number_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::map<std::string, std::function<void(const Envelope&)>> handlers_;
};

}  // namespace mothwalk
