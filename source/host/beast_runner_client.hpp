// HTTP attempts at runners over keep-alive connections. The runner may be closing a connection that was idle for a
// while, so a request that must not be repeated gets a new one. A connection is closed when it receives data that
// answers no request, and is not reused after an incomplete response, nor for another attempt at the same request. The
// decision to send an attempt is valid for the request's `connecting` time limit: a process that was suspended for
// longer sends nothing, and resets a connection whose write took longer.
#pragma once
#include "host/deadlines.hpp"

namespace mothwalk {

struct RunnerClientCounts {
  std::uint64_t opened = 0,   // Connections opened.
      reused = 0,             // Attempts that were started over an idle connection.
      stale_connections = 0,  // Reused connections that turned out to be closed by the runner.
      unsolicited = 0,        // Connections that received data which answers no request.
      repeated_ids = 0;       // Idle connections that were passed over because they had carried the request's id.
};

// The daemon's RunnerClient, on Boost.Beast's parser. It runs on one event loop.
class BeastRunnerClient : public RunnerClient {
 public:
  using Clock = std::function<TimePoint()>;
  // `clock` must be steady and count the time during which the machine is suspended. Tests pass a simulated one.
  explicit BeastRunnerClient(boost::asio::io_context& context, Clock clock = steady_now)
      : context_(context),
        clock_(std::move(clock)),
        deadlines_(context, [this](std::uint64_t key) { on_deadline(key); }) {}
  ~BeastRunnerClient() override;
  Id start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> observer) override;
  void cancel(Id attempt_id) override;
  void close_idle(const Address& to, const std::string& runner) override;
  std::size_t connections(const Address& to, const std::string& runner) const override;
  void set_paused(Id attempt_id, bool paused) override;
  const RunnerClientCounts& counts() const { return counts_; }

 private:
  struct Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;
  struct Pool {
    std::vector<ConnectionPointer> idle;  // The most recently used connection is the last.
    std::size_t open = 0;                 // The number of connections, idle and in use.
  };
  ConnectionPointer take_idle_connection(const std::string& key, const AttemptRequest& request);
  void close_idle_in_pool(const std::string& key);
  Id start_decided_at(const AttemptRequest& request, std::shared_ptr<AttemptObserver> observer, TimePoint decided_at);
  void connect(const ConnectionPointer& connection);
  // Whether the decision to send this attempt is too old to be acted on.
  bool decision_expired(const Connection& connection) const;
  void write(const ConnectionPointer& connection);
  void start_write(const ConnectionPointer& connection);
  void read(const ConnectionPointer& connection);
  void process_input(const ConnectionPointer& connection, std::size_t count);
  void handle_end_of_input(const ConnectionPointer& connection, const boost::system::error_code& error);
  void handle_broken_connection(const ConnectionPointer& connection);
  void finish(const ConnectionPointer& connection, AttemptOutcome outcome);
  void close(const ConnectionPointer& connection);
  void on_deadline(std::uint64_t key);

  boost::asio::io_context& context_;
  Clock clock_;
  Deadlines deadlines_;
  std::unordered_map<Id, ConnectionPointer> attempts_;
  std::unordered_map<std::uint64_t, ConnectionPointer> connections_;
  std::unordered_map<std::string, Pool> pools_;  // The key consists of the runner's address and name.
  RunnerClientCounts counts_;
  Id last_attempt_id_ = 0;
  std::uint64_t last_connection_ = 0;
};

}  // namespace mothwalk
