// HTTP attempts to runners over Boost.Beast. Each attempt has a stream of its own: none gambles on an idle one that may be
// closing, so "no byte was sent" is always known.
#pragma once
#include "host/duty_thread.hpp"

namespace mothwalk {

class BeastExchange : public Exchange {
 public:
  explicit BeastExchange(boost::asio::io_context& context) : context_(context) {}
  Id start(const AttemptRequest& request, std::shared_ptr<AttemptWatcher> watcher) override;
  void cancel(Id id) override;
  void hold(Id id, bool held) override;

 private:
  struct Attempt;
  void finish(std::shared_ptr<Attempt> attempt, AttemptEnd end);
  void write(std::shared_ptr<Attempt> attempt);
  void read_head(std::shared_ptr<Attempt> attempt);
  void read_body(std::shared_ptr<Attempt> attempt);

  boost::asio::io_context& context_;
  std::unordered_map<Id, std::shared_ptr<Attempt>> attempts_;
  Id last_ = 0;
};

}  // namespace mothwalk
