// Implements the connection limits of runners and the reuse of idle connections.
#include "simulate/simulated_connections.hpp"

#include <algorithm>

namespace mothwalk::simulate {

namespace {
// How long a daemon reuses an idle connection for any request, and how long for a repeatable one, which is retried if
// the runner is closing the connection at that moment. After the longer time the daemon closes it.
Duration max_idle_for_unrepeatable(const RunnerConnections& runner) {
  return runner.idle() / 2;
}
Duration max_idle(const RunnerConnections& runner) {
  return runner.idle() * 3 / 4;
}
}  // namespace

bool RunnerConnections::accept() {
  if (limited() && open_ >= limit_) {
    ++resets_;
    return false;
  }
  most_open_ = std::max(most_open_, ++open_);
  return true;
}

void RunnerConnections::release(std::uint64_t incarnation) {
  if (incarnation == incarnation_) --open_;
}

void RunnerConnections::restart() {
  ++incarnation_;
  open_ = 0;
}

SimulatedConnectionPool::~SimulatedConnectionPool() {
  for (auto& [key, pool] : std::exchange(pools_, {})) {
    for (const auto& connection : pool.idle) close(connection);
    for (const auto& connection : pool.busy) close(connection);
  }
}

SimulatedConnectionPointer SimulatedConnectionPool::take_idle(const std::string& key, bool repeatable) {
  auto found = pools_.find(key);
  while (found != pools_.end() && !found->second.idle.empty()) {
    const SimulatedConnectionPointer connection = found->second.idle.back();
    const Duration age = world_.now() - connection->idle_since;
    const bool usable = age < max_idle(*connection->runner);
    if (usable && age > max_idle_for_unrepeatable(*connection->runner) && !repeatable) return nullptr;
    if (usable && connection->runner_incarnation == connection->runner->incarnation()) {
      found->second.idle.pop_back();
      found->second.busy.insert(connection);
      connection->idle = false;
      return connection;
    }
    close(connection);
    found = pools_.find(key);
  }
  return nullptr;
}

SimulatedConnectionPointer SimulatedConnectionPool::open(const std::string& key, RunnerConnections& runner,
                                                         Duration close_delay, std::uint32_t max_open) {
  auto connection = std::make_shared<SimulatedConnection>();
  connection->key = key;
  connection->runner = &runner;
  connection->close_delay = close_delay;
  Pool& pool = pools_[key];
  pool.busy.insert(connection);
  if (max_open > 0 && pool.open() > max_open && !pool.idle.empty()) close(pool.idle.front());
  return connection;
}

bool SimulatedConnectionPool::reach_runner(const SimulatedConnectionPointer& connection) {
  if (connection->runner->accept()) {
    connection->runner_incarnation = connection->runner->incarnation();
    return true;
  }
  close(connection);
  return false;
}

void SimulatedConnectionPool::make_idle(const SimulatedConnectionPointer& connection) {
  if (connection->closed) return;
  Pool& pool = pools_[connection->key];
  pool.busy.erase(connection);
  pool.idle.push_back(connection);
  connection->idle = true;
  connection->idle_since = world_.now();
  world_.at(max_idle(*connection->runner), process_,
            [this, weak = std::weak_ptr(connection), idle_since = connection->idle_since] {
              const auto connection = weak.lock();
              if (connection && connection->idle && connection->idle_since == idle_since) close(connection);
            });
}

void SimulatedConnectionPool::close(const SimulatedConnectionPointer& connection_to_close) {
  const SimulatedConnectionPointer connection = connection_to_close;
  if (connection->closed) return;
  connection->closed = true;
  connection->idle = false;
  if (auto found = pools_.find(connection->key); found != pools_.end()) {
    std::erase(found->second.idle, connection);
    found->second.busy.erase(connection);
    if (found->second.open() == 0) pools_.erase(found);
  }
  if (connection->runner_incarnation == 0) return;
  world_.after(connection->close_delay, [connection] { connection->runner->release(connection->runner_incarnation); });
}

void SimulatedConnectionPool::close_idle(const std::string& key) {
  auto found = pools_.find(key);
  if (found == pools_.end()) return;
  for (const auto& connection : std::vector(found->second.idle)) close(connection);
}

std::size_t SimulatedConnectionPool::open_to(const std::string& key) const {
  auto found = pools_.find(key);
  return found == pools_.end() ? 0 : found->second.open();
}

}  // namespace mothwalk::simulate
