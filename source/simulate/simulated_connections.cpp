// Limits of connections at runners, and the reuse of idle ones.
#include "simulate/simulated_connections.hpp"

#include <algorithm>

namespace mothwalk::simulate {

namespace {
// How long a daemon uses an idle connection again for any work; and for work that may be repeated, which goes again
// where the runner was closing it. After that the daemon closes it.
Duration sure_idle(const RunnerConnections& runner) {
  return runner.idle() / 2;
}
Duration longest_idle(const RunnerConnections& runner) {
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

void RunnerConnections::release(std::uint64_t life) {
  if (life == life_) --open_;
}

void RunnerConnections::restart() {
  ++life_;
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
    const Duration age = world_.now() - connection->used;
    const bool usable = age < longest_idle(*connection->runner);
    if (usable && age > sure_idle(*connection->runner) && !repeatable) return nullptr;
    if (usable && connection->runner_life == connection->runner->life()) {
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
                                                         Duration closing, std::uint32_t bound) {
  auto connection = std::make_shared<SimulatedConnection>();
  connection->key = key;
  connection->runner = &runner;
  connection->closing = closing;
  Pool& pool = pools_[key];
  pool.busy.insert(connection);
  if (bound > 0 && pool.open() > bound && !pool.idle.empty()) close(pool.idle.front());
  return connection;
}

bool SimulatedConnectionPool::arrive(const SimulatedConnectionPointer& connection) {
  if (connection->runner->accept()) {
    connection->runner_life = connection->runner->life();
    return true;
  }
  close(connection);
  return false;
}

void SimulatedConnectionPool::keep(const SimulatedConnectionPointer& connection) {
  if (connection->closed) return;
  Pool& pool = pools_[connection->key];
  pool.busy.erase(connection);
  pool.idle.push_back(connection);
  connection->idle = true;
  connection->used = world_.now();
  world_.at(longest_idle(*connection->runner), life_,
            [this, weak = std::weak_ptr(connection), used = connection->used] {
              const auto connection = weak.lock();
              if (connection && connection->idle && connection->used == used) close(connection);
            });
}

void SimulatedConnectionPool::close(const SimulatedConnectionPointer& given) {
  const SimulatedConnectionPointer connection = given;
  if (connection->closed) return;
  connection->closed = true;
  connection->idle = false;
  if (auto found = pools_.find(connection->key); found != pools_.end()) {
    std::erase(found->second.idle, connection);
    found->second.busy.erase(connection);
    if (found->second.open() == 0) pools_.erase(found);
  }
  if (connection->runner_life == 0) return;
  world_.after(connection->closing, [connection] { connection->runner->release(connection->runner_life); });
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
