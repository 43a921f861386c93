// The way of any daemon to the owner of a key: it finds the owner, asks it, and asks again when the owner changes.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

// Asks the owner of a key's slot, wherever it is, again and again until the timeout.
class StoreClient {
 public:
  StoreClient(Messenger& messenger, SharedState& shared_state) : messenger_(messenger), shared_state_(shared_state) {}
  void write(Write write, Span timeout, Answer<WriteReply> answer);
  // With head_only without the record's entries.
  void read(const std::string& key, Span timeout, Answer<ReadReply> answer, bool head_only = false);
  template <class Message>
  void ask_owner(const std::string& key, Message message, Moment until, bool sent,
                 Answer<typename Message::Reply> answer) {
    using Reply = typename Message::Reply;
    const Moment now = messenger_.timers().now();
    if (now >= until) {
      if (sent)
        return answer(Fault{FaultKind::unknown, key,
                            "no majority of holders answered in time; the outcome is not known",
                            "send the same request again to settle it"});
      return answer(Fault{FaultKind::refused, key, "no holder owns this key just now; nothing was done",
                          "try again in a second"});
    }
    const auto configuration = shared_state_.configuration.get();
    const Seat* seat = key_owner(*configuration, *shared_state_.members.get(), key);
    auto again = [this, key, message, until, answer](bool was_sent) {
      messenger_.timers().after(std::chrono::milliseconds(100), [this, key, message, until, was_sent, answer] {
        ask_owner<Message>(key, message, until, was_sent, answer);
      });
    };
    if (seat == nullptr) return again(sent);
    const Span timeout = std::min<Span>(until - now, std::chrono::milliseconds(2000));
    auto over = std::make_shared<bool>(false);
    watch_owner(key, seat->address, over, again);
    messenger_.ask(seat->address, message, timeout, [again, key, sent, answer, over](Result<Reply> result) {
      if (std::exchange(*over, true)) return;
      auto fault = fault_of(result);
      if (fault != nullptr && fault->kind == FaultKind::busy) return again(sent);
      if (fault != nullptr && (fault->kind == FaultKind::lost || fault->kind == FaultKind::unknown)) return again(true);
      // A second sending that comes too late for its version may be the first one's own success.
      // Likewise a later refusal says nothing of an earlier sending.
      if (fault != nullptr && (fault->kind == FaultKind::stale || fault->kind == FaultKind::refused) && sent)
        return answer(Fault{FaultKind::unknown, key, "an earlier sending may have taken effect and been changed since",
                            "read the resource again"});
      answer(std::move(result));
    });
  }

 private:
  // An owner that is gone answers nobody: as soon as another comes to own the key, that one is asked.
  void watch_owner(const std::string& key, const Address& asked, std::shared_ptr<bool> over,
                   std::function<void(bool)> again) {
    messenger_.timers().after(std::chrono::milliseconds(100), [this, key, asked, over, again] {
      if (*over) return;
      const auto configuration = shared_state_.configuration.get();
      const Seat* seat = key_owner(*configuration, *shared_state_.members.get(), key);
      if (seat == nullptr || seat->address == asked) return watch_owner(key, asked, over, again);
      *over = true;
      again(true);
    });
  }

  Messenger& messenger_;
  SharedState& shared_state_;
};

}  // namespace mothwalk
