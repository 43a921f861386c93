// The course of an attempt: its connection, the runner's queue and slots, and the chunks of the response.
#include "simulate/simulated_runner_client.hpp"

#include <algorithm>

#include "simulate/cluster.hpp"

namespace mothwalk::simulate {

using std::chrono::milliseconds;

namespace {
std::string pool_key(const Address& to, const std::string& runner) {
  return to.text + " " + runner;
}
}  // namespace

SimulatedRunnerClient::SimulatedRunnerClient(SimulatedCluster& cluster, std::string machine_name, std::string zone,
                                             ProcessPointer process)
    : cluster_(cluster),
      machine_name_(std::move(machine_name)),
      zone_(std::move(zone)),
      process_(std::move(process)),
      connections_(cluster.world, process_) {}

RunnerClient::Id SimulatedRunnerClient::start(const AttemptRequest& request,
                                              std::shared_ptr<AttemptObserver> observer) {
  const Id id = ++last_;
  auto attempt = std::make_shared<Attempt>();
  attempt->request = request;
  attempt->sender = machine_name_;
  attempt->observer = std::move(observer);
  attempt->runner = cluster_.find_runner(request.to);
  for (const auto& header : request.headers) {
    if (header.name == "X-Request-Id") attempt->id = header.value;
    if (header.name == "X-Mothwalk-Lot") attempt->item = true;
    if (header.name == "X-Pieces") attempt->chunks = static_cast<std::uint32_t>(std::stoul(header.value));
  }
  attempt->decided_at = cluster_.world.now();
  attempts_[id] = attempt;
  dispatch(id, attempt);
  return id;
}

void SimulatedRunnerClient::dispatch(Id id, const AttemptPointer& attempt) {
  World& world = cluster_.world;
  const AttemptRequest& request = attempt->request;
  const bool reachable = attempt->runner != nullptr &&
                         !world.is_blocked(machine_name_, zone_, attempt->runner->name, attempt->runner->zone);
  if (!reachable) {
    world.at(request.connecting, process_, [this, id, attempt] { finish(id, attempt, AttemptOutcome::not_sent); });
    return;
  }
  RunnerModel& runner = *attempt->runner;
  const Duration latency = world.delay(zone_, runner.zone);
  if (runner.down) {
    world.at(latency * 2, process_, [this, id, attempt] { finish(id, attempt, AttemptOutcome::not_sent); });
    return;
  }
  attempt->runner_incarnation = runner.incarnation;
  start_watchdog(id, attempt, latency * 2 + request.first_piece);
  world.pass_fault_point(attempt->item ? "attempt of an item" : "attempt", machine_name_);
  if (runner.connections.limited()) {
    const std::string key = pool_key(request.to, request.runner);
    attempt->connection = connections_.take_idle(key, request.repeatable);
    attempt->reuses_connection = attempt->connection != nullptr;
    if (attempt->reuses_connection) return transmit(id, attempt, latency);
    attempt->connection =
        connections_.open(key, runner.connections, World::shortest_delay(zone_, runner.zone), request.connections);
  }
  world.at(latency, process_, [this, id, attempt, latency] { connected(id, attempt, latency); });
}

void SimulatedRunnerClient::connected(Id id, const AttemptPointer& attempt, Duration latency) {
  if (!attempts_.contains(id)) return;
  if (cluster_.world.now() - attempt->decided_at > attempt->request.connecting)
    return finish(id, attempt, AttemptOutcome::not_sent);
  // The request may have been sent before the reset arrived, so the outcome is not not_sent.
  if (attempt->connection && !connections_.reach_runner(attempt->connection))
    return deliver_to_daemon(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::broken); });
  transmit(id, attempt, latency);
}

// Sends the request over an established connection. It arrives even if the daemon dies in the meantime.
void SimulatedRunnerClient::transmit(Id id, const AttemptPointer& attempt, Duration latency) {
  cluster_.world.after(latency, [this, id, attempt, process = process_, &cluster = cluster_] {
    if (process->alive) return arrive_at_runner(id, attempt, process);
    // The daemon is dead, but the runner still executes the request.
    RunnerModel& runner = *attempt->runner;
    if (runner.incarnation != attempt->runner_incarnation || runner.mode != "sound" || runner.active >= runner.slots)
      return;
    record_run_start(cluster, attempt);
    cluster.world.after(milliseconds(40), [attempt, &cluster] { release_slot(cluster, attempt, "orphaned"); });
  });
}

// The connection to the runner is lost. If it was reused and no byte of the response came, a repeatable request is sent
// again over a new connection, unless the connect timeout since the decision to send it has passed.
void SimulatedRunnerClient::connection_lost(Id id, const AttemptPointer& attempt) {
  const bool within_connect_timeout = cluster_.world.now() - attempt->decided_at <= attempt->request.connecting;
  if (!attempt->reuses_connection || !attempt->request.repeatable || attempt->head_received || !within_connect_timeout)
    return finish(id, attempt, AttemptOutcome::broken);
  connections_.close(attempt->connection);
  connections_.close_idle(attempt->connection->key);
  ++attempt->watchdog_generation;  // This disables the watchdog of the first try.
  auto retry = std::make_shared<Attempt>();
  retry->request = attempt->request;
  retry->observer = attempt->observer;
  retry->runner = attempt->runner;
  retry->id = attempt->id;
  retry->sender = attempt->sender;
  retry->chunks = attempt->chunks;
  retry->item = attempt->item;
  retry->decided_at = attempt->decided_at;
  attempts_[id] = retry;
  dispatch(id, retry);
}

void SimulatedRunnerClient::start_watchdog(Id id, const AttemptPointer& attempt, Duration budget) {
  const std::uint64_t generation = ++attempt->watchdog_generation;
  cluster_.world.at(budget, process_, [this, id, attempt, generation] {
    if (attempt->watchdog_generation == generation && attempts_.contains(id)) {
      release_slot(cluster_, attempt, "abandoned");
      finish(id, attempt, AttemptOutcome::timed_out);
    }
  });
}

void SimulatedRunnerClient::arrive_at_runner(Id id, const AttemptPointer& attempt, const ProcessPointer& process) {
  RunnerModel& runner = *attempt->runner;
  if (runner.incarnation != attempt->runner_incarnation || runner.down)
    return deliver_to_daemon(id, attempt, [this, id, attempt] { connection_lost(id, attempt); });
  if (runner.mode == "dark") return;
  if (runner.mode == "nonsense")
    return deliver_to_daemon(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::broken); });
  const std::uint32_t offered = runner.active + static_cast<std::uint32_t>(runner.waiting.size()) + 1;
  auto update_maximum = [&](std::uint32_t& most, std::string& worst) {
    if (offered <= most) return;
    most = offered;
    worst = std::to_string(offered) + " at once, " + std::to_string(runner.items + attempt->item) +
            " running items among them, at " + std::to_string(cluster_.world.milliseconds()) + " ms";
  };
  if (cluster_.world.now() < runner.cold_until) update_maximum(runner.most_offered_cold, runner.worst_cold);
  if (runner.items > 0 || attempt->item) update_maximum(runner.most_mixed, runner.worst_mixed);
  if (runner.active < runner.slots) return start_run(id, attempt);
  if (runner.waiting.size() >= runner.slots)
    return deliver_to_daemon(id, attempt, [this, id, attempt] {
      attempt->observer->on_head(429, {});
      if (attempts_.contains(id)) finish(id, attempt, AttemptOutcome::complete);
    });
  runner.waiting.push_back([this, id, attempt, process] {
    if (!process->alive || !attempts_.contains(id)) return;
    start_run(id, attempt);
  });
}

void SimulatedRunnerClient::record_run_start(SimulatedCluster& cluster, const AttemptPointer& attempt) {
  RunnerModel& runner = *attempt->runner;
  attempt->started = true;
  ++runner.active;
  attempt->aborts_response =
      runner.aborted_response_fraction > 0 && cluster.world.random.uniform() < runner.aborted_response_fraction;
  runner.items += attempt->item;
  runner.most_items = std::max(runner.most_items, runner.items);
  attempt->run = runner.name + "-" + std::to_string(runner.incarnation) + "-" + std::to_string(++runner.runs);
  cluster.world.write_ledger(
      {{"what", "run"}, {"id", attempt->id}, {"run", attempt->run}, {"runner", runner.name}, {"by", attempt->sender}});
}

void SimulatedRunnerClient::start_run(Id id, const AttemptPointer& attempt) {
  RunnerModel& runner = *attempt->runner;
  World& world = cluster_.world;
  record_run_start(cluster_, attempt);
  runner.on_crash[attempt->run] = [this, id, attempt, process = process_] {
    if (process->alive && attempts_.contains(id))
      deliver_to_daemon(id, attempt, [this, id, attempt] { connection_lost(id, attempt); });
  };
  const std::string& body = *attempt->request.body;
  // A request takes 1 ms plus 2 ms per KB of the prompt; a prompt whose first 512 bytes are cached costs a tenth of
  // that.
  double uncached_bytes = static_cast<double>(body.size());
  if (body.size() >= 512) {
    const std::uint64_t prefix = hash_of(StringView(body).substr(0, 512));
    auto found = std::find(runner.prefixes.begin(), runner.prefixes.end(), prefix);
    const bool hit = found != runner.prefixes.end();
    if (hit) {
      runner.prefixes.erase(found);
      uncached_bytes *= 0.1;
    }
    ++(hit ? runner.prefix_hits : runner.prefix_misses);
    runner.prefixes.push_front(prefix);
    if (runner.prefixes.size() > 3) runner.prefixes.pop_back();
  }
  const double factor = (runner.mode == "slow" ? 6.0 : 1.0) * (world.now() < runner.cold_until ? 2.0 : 1.0);
  world.after(Duration(static_cast<std::int64_t>((1.0 + uncached_bytes / 1024.0 * 2.0) * factor * 1000)),
              [this, id, attempt, process = process_, &cluster = cluster_] {
                if (process->alive)
                  send_next_chunk(id, attempt);
                else
                  release_slot(cluster, attempt, "orphaned");
              });
}

void SimulatedRunnerClient::release_slot(SimulatedCluster& cluster, const AttemptPointer& attempt,
                                         const std::string& end_reason) {
  if (!attempt->started || attempt->ended) return;
  attempt->ended = true;
  RunnerModel& runner = *attempt->runner;
  if (runner.incarnation != attempt->runner_incarnation) return;
  --runner.active;
  runner.items -= attempt->item;
  runner.on_crash.erase(attempt->run);
  cluster.world.write_ledger({{"what", "end"}, {"id", attempt->id}, {"run", attempt->run}, {"how", end_reason}});
  while (!runner.waiting.empty() && runner.active < runner.slots) {
    Task next = std::move(runner.waiting.front());
    runner.waiting.pop_front();
    next();
  }
}

void SimulatedRunnerClient::send_next_chunk(Id id, const AttemptPointer& attempt) {
  RunnerModel& runner = *attempt->runner;
  World& world = cluster_.world;
  if (attempt->ended || runner.incarnation != attempt->runner_incarnation) return;
  const double factor = (runner.mode == "slow" ? 6.0 : 1.0) * (world.now() < runner.cold_until ? 2.0 : 1.0);
  const Duration chunk_interval(static_cast<std::int64_t>(8000 * factor));
  auto next = [this, id, attempt, process = process_, &cluster = cluster_] {
    if (process->alive)
      send_next_chunk(id, attempt);
    else
      release_slot(cluster, attempt, "orphaned");
  };
  if (attempt->chunks == 0) {
    if (attempt->chunks_sent++ == 0) return world.after(chunk_interval * 4, next);
    if (runner.mode == "truncate" || attempt->aborts_response) {
      release_slot(cluster_, attempt, "truncated");
      return deliver_to_daemon(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::broken); });
    }
    release_slot(cluster_, attempt, "whole");
    const std::string text =
        json::serialize(json::object{{"id", attempt->id}, {"run", attempt->run}, {"runner", runner.name}});
    return deliver_to_daemon(id, attempt, [this, id, attempt, text] {
      attempt->head_received = true;
      attempt->observer->on_head(200, {});
      if (attempts_.contains(id)) attempt->observer->on_chunk(text);
      if (attempts_.contains(id)) finish(id, attempt, AttemptOutcome::complete);
    });
  }
  if ((runner.mode == "truncate" || attempt->aborts_response) && attempt->chunks_sent >= attempt->chunks / 2) {
    release_slot(cluster_, attempt, "truncated");
    return deliver_to_daemon(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::broken); });
  }
  if (attempt->chunks_sent == attempt->chunks) {
    release_slot(cluster_, attempt, "whole");
    return deliver_to_daemon(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::complete); });
  }
  const std::string text = attempt->id + " " + attempt->run + " " + std::to_string(attempt->chunks_sent) + " " +
                           std::to_string(attempt->chunks) + "\n";
  const bool first = attempt->chunks_sent++ == 0;
  deliver_to_daemon(id, attempt, [this, id, attempt, text, first] {
    if (first) cluster_.world.pass_fault_point("first piece", machine_name_);
    attempt->head_received = true;
    if (first) attempt->observer->on_head(200, {});
    if (!attempts_.contains(id)) return;
    start_watchdog(id, attempt, attempt->request.between_pieces);
    attempt->observer->on_chunk(text);
  });
  world.after(chunk_interval, next);
}

// Delivers something from the runner to the daemon. The delay is constant, so the chunks of one attempt keep their
// order, as on one stream.
void SimulatedRunnerClient::deliver_to_daemon(Id id, const AttemptPointer& attempt,
                                              std::function<void()> notify_daemon) {
  World& world = cluster_.world;
  if (world.is_blocked(attempt->runner->name, attempt->runner->zone, machine_name_, zone_)) return;
  const Duration latency = attempt->runner->zone == zone_ ? Duration(100) : Duration(1200);
  world.at(latency, process_, [this, id, attempt, notify_daemon = std::move(notify_daemon)] {
    if (!attempts_.contains(id)) return;
    if (attempt->paused || !attempt->undelivered.empty())
      attempt->undelivered.push_back(notify_daemon);
    else
      notify_daemon();
  });
}

void SimulatedRunnerClient::finish(Id id, const AttemptPointer& attempt, AttemptOutcome end) {
  if (attempts_.erase(id) == 0) return;
  attempt->undelivered.clear();
  if (attempt->connection)
    end == AttemptOutcome::complete && attempt->request.keep_connection ? connections_.make_idle(attempt->connection)
                                                                        : connections_.close(attempt->connection);
  attempt->observer->on_end(end);
}

// The tasks that a paused attempt has not delivered yet own the attempt, so they are cleared to break the cycle.
SimulatedRunnerClient::~SimulatedRunnerClient() {
  for (auto& [id, attempt] : attempts_) attempt->undelivered.clear();
}

void SimulatedRunnerClient::set_paused(Id id, bool held) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const AttemptPointer attempt = found->second;
  attempt->paused = held;
  ++attempt->watchdog_generation;
  if (held) return;
  start_watchdog(id, attempt, attempt->request.between_pieces);
  cluster_.world.at(Duration{0}, process_, [this, id, attempt] {
    while (!attempt->undelivered.empty() && !attempt->paused && attempts_.contains(id)) {
      Task next = std::move(attempt->undelivered.front());
      attempt->undelivered.pop_front();
      next();
    }
  });
}

void SimulatedRunnerClient::close_idle(const Address& to, const std::string& runner) {
  connections_.close_idle(pool_key(to, runner));
}

std::size_t SimulatedRunnerClient::connections(const Address& to, const std::string& runner) const {
  return connections_.open_to(pool_key(to, runner));
}

void SimulatedRunnerClient::cancel(Id id) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const AttemptPointer attempt = found->second;
  attempt->undelivered.clear();
  if (attempt->connection) connections_.close(attempt->connection);
  attempts_.erase(found);
  // A real runner notices a closed stream at its next chunk. Here it always takes 1.5 ms.
  cluster_.world.after(Duration(1500), [attempt, &cluster = cluster_] { release_slot(cluster, attempt, "cancelled"); });
}

}  // namespace mothwalk::simulate
