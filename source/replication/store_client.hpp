// The way of any daemon to the owner of a key: it finds the owner, asks it, and asks again when the owner changes.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

// Asks the owner of a key's slot, wherever it is, again and again until the timeout.
class StoreClient {
 public:
  StoreClient(Messenger& messenger, SharedState& shared_state) : messenger_(messenger), shared_state_(shared_state) {}
  void write(Write write, Duration timeout, ReplyCallback<WriteReply> answer);
  // With head_only without the record's entries.
  void read(const std::string& key, Duration timeout, ReplyCallback<ReadReply> answer, bool head_only = false);
  template <class Message>
  void ask_owner(const std::string& key, Message message, TimePoint until, bool sent,
                 ReplyCallback<typename Message::Reply> answer) {
    using Reply = typename Message::Reply;
    const TimePoint now = messenger_.timers().now();
    if (now >= until) {
      if (sent)
        return answer(Error{ErrorKind::unknown, key,
                            "no majority of holders answered in time; the outcome is not known",
                            "send the same request again to settle it"});
      return answer(Error{ErrorKind::refused, key, "no holder owns this key just now; nothing was done",
                          "try again in a second"});
    }
    const auto configuration = shared_state_.configuration.get();
    const Voter* seat = key_owner(*configuration, *shared_state_.members.get(), key);
    auto again = [this, key, message, until, answer](bool was_sent) {
      messenger_.timers().after(std::chrono::milliseconds(100), [this, key, message, until, was_sent, answer] {
        ask_owner<Message>(key, message, until, was_sent, answer);
      });
    };
    if (seat == nullptr) return again(sent);
    const Duration timeout = std::min<Duration>(until - now, std::chrono::milliseconds(2000));
    auto over = std::make_shared<bool>(false);
    watch_owner(key, seat->address, over, again);
    messenger_.request(seat->address, message, timeout, [again, key, sent, answer, over](Result<Reply> result) {
      if (std::exchange(*over, true)) return;
      auto error = error_of(result);
      if (error != nullptr && error->kind == ErrorKind::busy) return again(sent);
      if (error != nullptr && (error->kind == ErrorKind::lost || error->kind == ErrorKind::unknown)) return again(true);
      // A second sending that comes too late for its version may be the first one's own success.
      // Likewise a later refusal says nothing of an earlier sending.
      if (error != nullptr && (error->kind == ErrorKind::stale || error->kind == ErrorKind::refused) && sent)
        return answer(Error{ErrorKind::unknown, key, "an earlier sending may have taken effect and been changed since",
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
      const Voter* seat = key_owner(*configuration, *shared_state_.members.get(), key);
      if (seat == nullptr || seat->address == asked) return watch_owner(key, asked, over, again);
      *over = true;
      again(true);
    });
  }

  Messenger& messenger_;
  SharedState& shared_state_;
};

}  // namespace mothwalk
