// Client of the replicated store for any daemon: finds the owner of a key, sends it the request, and retries if the
// owner changes or does not reply.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

// Sends requests to the owner of a key's slot and retries them until a timeout.
class StoreClient {
 public:
  StoreClient(Messenger& messenger, SharedState& shared_state) : messenger_(messenger), shared_state_(shared_state) {}
  void write(Write write, Duration timeout, ReplyCallback<WriteReply> callback);
  // Reads the record of a key; with head_only, the reply leaves out the record's entries.
  void read(const std::string& key, Duration timeout, ReplyCallback<ReadReply> callback, bool head_only = false);
  // Sends a message to the owner of the key until it replies or the time `until` has come. `sent` says whether an
  // earlier attempt may have reached an owner: then a late refusal or a timeout is reported as an unknown outcome.
  template <class Message>
  void request_owner(const std::string& key, Message message, TimePoint until, bool sent,
                     ReplyCallback<typename Message::Reply> callback) {
    using Reply = typename Message::Reply;
    const TimePoint now = messenger_.timers().now();
    if (now >= until) {
      if (sent)
        return callback(Error{ErrorKind::unknown, key,
                              "no owner with a majority of voters replied in time; the outcome is unknown",
                              "send the same request again to find out"});
      return callback(Error{ErrorKind::refused, key, "no storage node owns this key at present; nothing was done",
                            "try again in a second"});
    }
    const auto configuration = shared_state_.configuration.get();
    const Voter* voter = key_owner(*configuration, *shared_state_.members.get(), key);
    auto retry = [this, key, message, until, callback](bool was_sent) {
      messenger_.timers().after(std::chrono::milliseconds(100), [this, key, message, until, was_sent, callback] {
        request_owner<Message>(key, message, until, was_sent, callback);
      });
    };
    if (voter == nullptr) return retry(sent);
    const Duration timeout = std::min<Duration>(until - now, std::chrono::milliseconds(2000));
    auto done = std::make_shared<bool>(false);
    retry_on_owner_change(key, voter->address, done, retry);
    messenger_.request(voter->address, message, timeout, [retry, key, sent, callback, done](Result<Reply> result) {
      if (std::exchange(*done, true)) return;
      auto error = error_of(result);
      if (error != nullptr && error->kind == ErrorKind::busy) return retry(sent);
      if (error != nullptr && (error->kind == ErrorKind::lost || error->kind == ErrorKind::unknown)) return retry(true);
      // If a retry fails because the version is no longer current, the first attempt itself may have raised the
      // version. Likewise, a refusal of a retry says nothing about the outcome of an earlier attempt.
      if (error != nullptr && (error->kind == ErrorKind::stale || error->kind == ErrorKind::refused) && sent)
        return callback(Error{ErrorKind::unknown, key,
                              "an earlier attempt may have taken effect, and the record may have changed since",
                              "read the resource again"});
      callback(std::move(result));
    });
  }

 private:
  // An owner whose daemon has stopped never replies. As soon as another storage node owns the key, the request is sent
  // to that one instead of waiting for the timeout.
  void retry_on_owner_change(const std::string& key, const Address& current_owner, std::shared_ptr<bool> done,
                             std::function<void(bool)> retry) {
    messenger_.timers().after(std::chrono::milliseconds(100), [this, key, current_owner, done, retry] {
      if (*done) return;
      const auto configuration = shared_state_.configuration.get();
      const Voter* voter = key_owner(*configuration, *shared_state_.members.get(), key);
      if (voter == nullptr || voter->address == current_owner)
        return retry_on_owner_change(key, current_owner, done, retry);
      *done = true;
      retry(true);
    });
  }

  Messenger& messenger_;
  SharedState& shared_state_;
};

}  // namespace mothwalk
