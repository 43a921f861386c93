// HTTP attempts to runners over connections that are kept. One that was not used for a while may be closing at the
// other end, so work that may not be repeated gets a fresh one; bytes that nobody asked for end a connection, and what
// ended before its whole answer is never used again. The decision to send holds for the connecting budget of the
// request: a process that was suspended for longer sends nothing, and resets a connection whose write took longer.
#pragma once
#include "host/deadlines.hpp"

namespace mothwalk {

struct ExchangeCounts {
  std::uint64_t opened = 0, reused = 0, stale = 0, unasked = 0;
};

class BeastRunnerClient : public RunnerClient {
 public:
  using Clock = std::function<TimePoint()>;
  // `clock` is steady and counts suspended time; tests give one of their own.
  explicit BeastRunnerClient(boost::asio::io_context& context, Clock clock = steady_now)
      : context_(context), clock_(std::move(clock)), deadlines_(context, [this](std::uint64_t key) { due(key); }) {}
  ~BeastRunnerClient() override;
  Id start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> watcher) override;
  void cancel(Id id) override;
  void close_idle(const Address& to, const std::string& runner) override;
  std::size_t connections(const Address& to, const std::string& runner) const override;
  void hold(Id id, bool held) override;
  const ExchangeCounts& counts() const { return counts_; }

 private:
  struct Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;
  struct Pool {
    std::vector<ConnectionPointer> idle;  // the one used last stands last
    std::size_t open = 0;                 // idle ones and those in use
  };
  ConnectionPointer idle_for(const std::string& key, bool repeatable);
  void close_idle_of(const std::string& key);
  Id start_decided(const AttemptRequest& request, std::shared_ptr<AttemptObserver> watcher, TimePoint decided);
  void connect(const ConnectionPointer& connection);
  // Whether the decision to send this attempt is too old to act on.
  bool outdated(const Connection& connection) const;
  void write(const ConnectionPointer& connection);
  void write_first(const ConnectionPointer& connection);
  void read(const ConnectionPointer& connection);
  void take(const ConnectionPointer& connection, std::size_t count);
  void input_ended(const ConnectionPointer& connection, const boost::system::error_code& error);
  void broken(const ConnectionPointer& connection);
  void finish(const ConnectionPointer& connection, AttemptOutcome end);
  void close(const ConnectionPointer& connection);
  void due(std::uint64_t key);

  boost::asio::io_context& context_;
  Clock clock_;
  Deadlines deadlines_;
  std::unordered_map<Id, ConnectionPointer> attempts_;
  std::unordered_map<std::uint64_t, ConnectionPointer> connections_;
  std::unordered_map<std::string, Pool> pools_;  // by the runner's address and name
  ExchangeCounts counts_;
  Id last_ = 0;
  std::uint64_t last_connection_ = 0;
};

}  // namespace mothwalk
