// Connections between daemons and runners: how many a runner accepts from all daemons together, and which idle
// connections a daemon reuses. The rules on the daemon's side are those of host/beast_runner_client.cpp.
#pragma once
#include "simulate/world.hpp"

namespace mothwalk::simulate {

// The connections at one runner. A connection over the limit is reset as soon as it is opened. Idle connections count
// towards the limit.
class RunnerConnections {
 public:
  static constexpr Duration default_idle = std::chrono::milliseconds(800);
  // `idle` is the time for which the runner announces that it keeps idle connections; the daemon uses the default if
  // the runner announces none.
  explicit RunnerConnections(std::uint32_t limit = 0, Duration idle = default_idle) : limit_(limit), idle_(idle) {}
  bool limited() const { return limit_ > 0; }
  std::uint32_t limit() const { return limit_; }
  Duration idle() const { return idle_; }
  // Accepts a new connection, or resets it and returns false.
  bool accept();
  // Ends a connection that was accepted in the given incarnation of the runner.
  void release(std::uint64_t incarnation);
  // Restarts the runner, which drops all its connections.
  void restart();
  std::uint64_t incarnation() const { return incarnation_; }
  std::uint32_t open() const { return open_; }
  std::uint32_t most_open() const { return most_open_; }
  std::uint64_t resets() const { return resets_; }

 private:
  std::uint32_t limit_;  // 0 means no limit.
  Duration idle_;
  std::uint32_t open_ = 0, most_open_ = 0;
  std::uint64_t resets_ = 0, incarnation_ = 1;
};

// One connection, from the view of the daemon that opened it.
struct SimulatedConnection {
  std::string key;  // The runner's address and name.
  RunnerConnections* runner = nullptr;
  Duration close_delay{};                // The time from closing it until the runner notices that.
  std::uint64_t runner_incarnation = 0;  // The incarnation of the runner that accepted it; 0 before it is accepted.
  bool idle = false, closed = false;
  TimePoint idle_since;  // The time when it became idle.
};
using SimulatedConnectionPointer = std::shared_ptr<SimulatedConnection>;

// The connections of one runner client. They are closed when their process dies.
class SimulatedConnectionPool {
 public:
  SimulatedConnectionPool(World& world, ProcessPointer process) : world_(world), process_(std::move(process)) {}
  ~SimulatedConnectionPool();
  // The most recently used idle connection, if this request may reuse it; null if a new connection is needed.
  SimulatedConnectionPointer take_idle(const std::string& key, bool repeatable);
  // Starts a connection. If there are more than `max_open` then (0 means no limit), the oldest idle one is closed.
  SimulatedConnectionPointer open(const std::string& key, RunnerConnections& runner, Duration close_delay,
                                  std::uint32_t max_open);
  // Called when the connection reaches the runner. If the runner resets it, it is closed, and false is returned.
  bool reach_runner(const SimulatedConnectionPointer& connection);
  // Marks the connection as idle after a complete response. It is closed if it stays idle for too long.
  void make_idle(const SimulatedConnectionPointer& connection);
  void close(const SimulatedConnectionPointer& connection_to_close);
  void close_idle(const std::string& key);
  std::size_t open_to(const std::string& key) const;

 private:
  struct Pool {
    std::vector<SimulatedConnectionPointer> idle;  // The most recently used connection is last.
    std::set<SimulatedConnectionPointer> busy;
    std::size_t open() const { return idle.size() + busy.size(); }
  };
  World& world_;
  ProcessPointer process_;
  std::map<std::string, Pool> pools_;
};

}  // namespace mothwalk::simulate
