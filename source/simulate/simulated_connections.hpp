// Connections between daemons and runners: how many a runner takes from all callers together, and which idle ones a
// daemon uses again. The rules of the daemon's side are those of host/beast_runner_client.cpp.
#pragma once
#include "simulate/world.hpp"

namespace mothwalk::simulate {

// The connections at one runner. One that comes over the limit is reset as soon as it is opened. Idle ones count.
class RunnerConnections {
 public:
  static constexpr Duration unstated_idle = std::chrono::milliseconds(800);
  // `idle`: how long it says that it keeps idle ones; the daemon takes the default where it says nothing.
  explicit RunnerConnections(std::uint32_t limit = 0, Duration idle = unstated_idle) : limit_(limit), idle_(idle) {}
  bool limited() const { return limit_ > 0; }
  std::uint32_t limit() const { return limit_; }
  Duration idle() const { return idle_; }
  // A connection is opened; false: it is reset.
  bool accept();
  // One that was accepted in the given life of the runner ends.
  void release(std::uint64_t life);
  // The runner restarts: it has no connection any more.
  void restart();
  std::uint64_t life() const { return life_; }
  std::uint32_t open() const { return open_; }
  std::uint32_t most_open() const { return most_open_; }
  std::uint64_t resets() const { return resets_; }

 private:
  std::uint32_t limit_;  // 0: no bound
  Duration idle_;
  std::uint32_t open_ = 0, most_open_ = 0;
  std::uint64_t resets_ = 0, life_ = 1;
};

// One connection, as the daemon that opened it sees it.
struct SimulatedConnection {
  std::string key;  // the runner's address and name
  RunnerConnections* runner = nullptr;
  Duration closing{};             // until the runner sees that it is closed
  std::uint64_t runner_life = 0;  // in which it was accepted; 0: not yet
  bool idle = false, closed = false;
  TimePoint used;  // when it became idle
};
using SimulatedConnectionPointer = std::shared_ptr<SimulatedConnection>;

// The connections of one exchange. Those of a process that dies are closed with it.
class SimulatedConnectionPool {
 public:
  SimulatedConnectionPool(World& world, LifePointer life) : world_(world), life_(std::move(life)) {}
  ~SimulatedConnectionPool();
  // The idle connection used last, if it is good enough for this work; null: a fresh one is needed.
  SimulatedConnectionPointer take_idle(const std::string& key, bool repeatable);
  // Begins a connection. Where more than `bound` would stand then (0: no bound), the oldest idle one is closed.
  SimulatedConnectionPointer open(const std::string& key, RunnerConnections& runner, Duration closing,
                                  std::uint32_t bound);
  // It has come to the runner; false: the runner resets it, and it is closed.
  bool arrive(const SimulatedConnectionPointer& connection);
  // Its answer was whole: it is idle, and closed when it stays so.
  void keep(const SimulatedConnectionPointer& connection);
  void close(const SimulatedConnectionPointer& given);
  void close_idle(const std::string& key);
  std::size_t open_to(const std::string& key) const;

 private:
  struct Pool {
    std::vector<SimulatedConnectionPointer> idle;  // the one used last stands last
    std::set<SimulatedConnectionPointer> busy;
    std::size_t open() const { return idle.size() + busy.size(); }
  };
  World& world_;
  LifePointer life_;
  std::map<std::string, Pool> pools_;
};

}  // namespace mothwalk::simulate
