// The way of an attempt: its connection, the runner's queue and slots, and the answer piece by piece.
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

SimulatedRunnerClient::SimulatedRunnerClient(SimulatedCluster& cluster, std::string place, std::string zone,
                                             LifePointer life)
    : cluster_(cluster),
      place_(std::move(place)),
      zone_(std::move(zone)),
      life_(std::move(life)),
      connections_(cluster.world, life_) {}

RunnerClient::Id SimulatedRunnerClient::start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> watcher) {
  const Id id = ++last_;
  auto attempt = std::make_shared<Attempt>();
  attempt->request = request;
  attempt->by = place_;
  attempt->watcher = std::move(watcher);
  attempt->runner = cluster_.runner_at(request.to);
  for (const auto& header : request.headers) {
    if (header.name == "X-Request-Id") attempt->id = header.value;
    if (header.name == "X-Mothwalk-Lot") attempt->item = true;
    if (header.name == "X-Pieces") attempt->pieces = static_cast<std::uint32_t>(std::stoul(header.value));
  }
  attempt->decided = cluster_.world.now();
  attempts_[id] = attempt;
  dispatch(id, attempt);
  return id;
}

void SimulatedRunnerClient::dispatch(Id id, const AttemptPointer& attempt) {
  World& world = cluster_.world;
  const AttemptRequest& request = attempt->request;
  const bool reachable =
      attempt->runner != nullptr && !world.is_cut(place_, zone_, attempt->runner->name, attempt->runner->zone);
  if (!reachable) {
    world.at(request.connecting, life_, [this, id, attempt] { finish(id, attempt, AttemptOutcome::not_sent); });
    return;
  }
  RunnerModel& runner = *attempt->runner;
  const Duration way = world.delay(zone_, runner.zone);
  if (runner.down) {
    world.at(way * 2, life_, [this, id, attempt] { finish(id, attempt, AttemptOutcome::not_sent); });
    return;
  }
  attempt->runner_life = runner.life;
  guard(id, attempt, way * 2 + request.first_piece);
  world.point(attempt->item ? "attempt of an item" : "attempt", place_);
  if (runner.connections.limited()) {
    const std::string key = pool_key(request.to, request.runner);
    attempt->connection = connections_.take_idle(key, request.repeatable);
    attempt->over_kept_connection = attempt->connection != nullptr;
    if (attempt->over_kept_connection) return transmit(id, attempt, way);
    attempt->connection =
        connections_.open(key, runner.connections, World::shortest_delay(zone_, runner.zone), request.connections);
  }
  world.at(way, life_, [this, id, attempt, way] { connected(id, attempt, way); });
}

void SimulatedRunnerClient::connected(Id id, const AttemptPointer& attempt, Duration way) {
  if (!attempts_.contains(id)) return;
  if (cluster_.world.now() - attempt->decided > attempt->request.connecting)
    return finish(id, attempt, AttemptOutcome::not_sent);
  // The request may have been written before the reset came.
  if (attempt->connection && !connections_.arrive(attempt->connection))
    return give(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::broken); });
  transmit(id, attempt, way);
}

// The request leaves when the connection stands; once it is on its way it arrives even if the daemon dies meanwhile.
void SimulatedRunnerClient::transmit(Id id, const AttemptPointer& attempt, Duration way) {
  cluster_.world.after(way, [this, id, attempt, life = life_, &cluster = cluster_] {
    if (life->alive) return arrive(id, attempt, life);
    // Its daemon is dead, and the runner runs it for nobody.
    RunnerModel& runner = *attempt->runner;
    if (runner.life != attempt->runner_life || runner.mode != "sound" || runner.active >= runner.slots) return;
    enter(cluster, attempt);
    cluster.world.after(milliseconds(40), [attempt, &cluster] { free(cluster, attempt, "orphaned"); });
  });
}

// The runner is gone. Where the connection was kept since an earlier request and no byte of an answer came, repeatable
// work goes again over a fresh one, while the decision to send it is fresh.
void SimulatedRunnerClient::connection_lost(Id id, const AttemptPointer& attempt) {
  const bool fresh = cluster_.world.now() - attempt->decided <= attempt->request.connecting;
  if (!attempt->over_kept_connection || !attempt->request.repeatable || attempt->headed || !fresh)
    return finish(id, attempt, AttemptOutcome::broken);
  connections_.close(attempt->connection);
  connections_.close_idle(attempt->connection->key);
  ++attempt->beat;  // its budgets are over
  auto again = std::make_shared<Attempt>();
  again->request = attempt->request;
  again->watcher = attempt->watcher;
  again->runner = attempt->runner;
  again->id = attempt->id;
  again->by = attempt->by;
  again->pieces = attempt->pieces;
  again->item = attempt->item;
  again->decided = attempt->decided;
  attempts_[id] = again;
  dispatch(id, again);
}

void SimulatedRunnerClient::guard(Id id, const AttemptPointer& attempt, Duration budget) {
  const std::uint64_t beat = ++attempt->beat;
  cluster_.world.at(budget, life_, [this, id, attempt, beat] {
    if (attempt->beat == beat && attempts_.contains(id)) {
      free(cluster_, attempt, "abandoned");
      finish(id, attempt, AttemptOutcome::late);
    }
  });
}

void SimulatedRunnerClient::arrive(Id id, const AttemptPointer& attempt, const LifePointer& life) {
  RunnerModel& runner = *attempt->runner;
  if (runner.life != attempt->runner_life || runner.down)
    return give(id, attempt, [this, id, attempt] { connection_lost(id, attempt); });
  if (runner.mode == "dark") return;
  if (runner.mode == "nonsense")
    return give(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::broken); });
  const std::uint32_t offered = runner.active + static_cast<std::uint32_t>(runner.waiting.size()) + 1;
  auto note = [&](std::uint32_t& most, std::string& worst) {
    if (offered <= most) return;
    most = offered;
    worst = std::to_string(offered) + " at once, " + std::to_string(runner.items + attempt->item) +
            " running items among them, at " + std::to_string(cluster_.world.milliseconds()) + " ms";
  };
  if (cluster_.world.now() < runner.cold_until) note(runner.most_offered_cold, runner.worst_cold);
  if (runner.items > 0 || attempt->item) note(runner.most_mixed, runner.worst_mixed);
  if (runner.active < runner.slots) return begin(id, attempt);
  if (runner.waiting.size() >= runner.slots)
    return give(id, attempt, [this, id, attempt] {
      attempt->watcher->on_head(429, {});
      if (attempts_.contains(id)) finish(id, attempt, AttemptOutcome::whole);
    });
  runner.waiting.push_back([this, id, attempt, life] {
    if (!life->alive || !attempts_.contains(id)) return;
    begin(id, attempt);
  });
}

void SimulatedRunnerClient::enter(SimulatedCluster& cluster, const AttemptPointer& attempt) {
  RunnerModel& runner = *attempt->runner;
  attempt->began = true;
  ++runner.active;
  attempt->breaks = runner.broken_share > 0 && cluster.world.random.uniform() < runner.broken_share;
  runner.items += attempt->item;
  runner.most_items = std::max(runner.most_items, runner.items);
  attempt->run = runner.name + "-" + std::to_string(runner.life) + "-" + std::to_string(++runner.runs);
  cluster.world.write(
      {{"what", "run"}, {"id", attempt->id}, {"run", attempt->run}, {"runner", runner.name}, {"by", attempt->by}});
}

void SimulatedRunnerClient::begin(Id id, const AttemptPointer& attempt) {
  RunnerModel& runner = *attempt->runner;
  World& world = cluster_.world;
  enter(cluster_, attempt);
  runner.on_crash[attempt->run] = [this, id, attempt, life = life_] {
    if (life->alive && attempts_.contains(id)) give(id, attempt, [this, id, attempt] { connection_lost(id, attempt); });
  };
  const std::string& body = *attempt->request.body;
  double fresh = static_cast<double>(body.size());
  if (body.size() >= 512) {
    const std::uint64_t prefix = hash_of(StringView(body).substr(0, 512));
    auto found = std::find(runner.prefixes.begin(), runner.prefixes.end(), prefix);
    const bool hit = found != runner.prefixes.end();
    if (hit) {
      runner.prefixes.erase(found);
      fresh *= 0.1;
    }
    ++(hit ? runner.hits : runner.misses);
    runner.prefixes.push_front(prefix);
    if (runner.prefixes.size() > 3) runner.prefixes.pop_back();
  }
  const double factor = (runner.mode == "slow" ? 6.0 : 1.0) * (world.now() < runner.cold_until ? 2.0 : 1.0);
  world.after(Duration(static_cast<std::int64_t>((1.0 + fresh / 1024.0 * 2.0) * factor * 1000)),
              [this, id, attempt, life = life_, &cluster = cluster_] {
                if (life->alive)
                  step(id, attempt);
                else
                  free(cluster, attempt, "orphaned");
              });
}

void SimulatedRunnerClient::free(SimulatedCluster& cluster, const AttemptPointer& attempt, const std::string& how) {
  if (!attempt->began || attempt->ended) return;
  attempt->ended = true;
  RunnerModel& runner = *attempt->runner;
  if (runner.life != attempt->runner_life) return;
  --runner.active;
  runner.items -= attempt->item;
  runner.on_crash.erase(attempt->run);
  cluster.world.write({{"what", "end"}, {"id", attempt->id}, {"run", attempt->run}, {"how", how}});
  while (!runner.waiting.empty() && runner.active < runner.slots) {
    Task next = std::move(runner.waiting.front());
    runner.waiting.pop_front();
    next();
  }
}

void SimulatedRunnerClient::step(Id id, const AttemptPointer& attempt) {
  RunnerModel& runner = *attempt->runner;
  World& world = cluster_.world;
  if (attempt->ended || runner.life != attempt->runner_life) return;
  const double factor = (runner.mode == "slow" ? 6.0 : 1.0) * (world.now() < runner.cold_until ? 2.0 : 1.0);
  const Duration beat(static_cast<std::int64_t>(8000 * factor));
  auto next = [this, id, attempt, life = life_, &cluster = cluster_] {
    if (life->alive)
      step(id, attempt);
    else
      free(cluster, attempt, "orphaned");
  };
  if (attempt->pieces == 0) {
    if (attempt->given++ == 0) return world.after(beat * 4, next);
    if (runner.mode == "truncate" || attempt->breaks) {
      free(cluster_, attempt, "truncated");
      return give(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::broken); });
    }
    free(cluster_, attempt, "whole");
    const std::string text =
        json::serialize(json::object{{"id", attempt->id}, {"run", attempt->run}, {"runner", runner.name}});
    return give(id, attempt, [this, id, attempt, text] {
      attempt->headed = true;
      attempt->watcher->on_head(200, {});
      if (attempts_.contains(id)) attempt->watcher->on_chunk(text);
      if (attempts_.contains(id)) finish(id, attempt, AttemptOutcome::whole);
    });
  }
  if ((runner.mode == "truncate" || attempt->breaks) && attempt->given >= attempt->pieces / 2) {
    free(cluster_, attempt, "truncated");
    return give(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::broken); });
  }
  if (attempt->given == attempt->pieces) {
    free(cluster_, attempt, "whole");
    return give(id, attempt, [this, id, attempt] { finish(id, attempt, AttemptOutcome::whole); });
  }
  const std::string text = attempt->id + " " + attempt->run + " " + std::to_string(attempt->given) + " " +
                           std::to_string(attempt->pieces) + "\n";
  const bool first = attempt->given++ == 0;
  give(id, attempt, [this, id, attempt, text, first] {
    if (first) cluster_.world.point("first piece", place_);
    attempt->headed = true;
    if (first) attempt->watcher->on_head(200, {});
    if (!attempts_.contains(id)) return;
    guard(id, attempt, attempt->request.between_pieces);
    attempt->watcher->on_chunk(text);
  });
  world.after(beat, next);
}

// Something travels back from the runner; pieces of one attempt keep their order, since it is one stream.
void SimulatedRunnerClient::give(Id id, const AttemptPointer& attempt, std::function<void()> what) {
  World& world = cluster_.world;
  if (world.is_cut(attempt->runner->name, attempt->runner->zone, place_, zone_)) return;
  const Duration way = attempt->runner->zone == zone_ ? Duration(100) : Duration(1200);
  world.at(way, life_, [this, id, attempt, what = std::move(what)] {
    if (!attempts_.contains(id)) return;
    if (attempt->held || !attempt->kept.empty())
      attempt->kept.push_back(what);
    else
      what();
  });
}

void SimulatedRunnerClient::finish(Id id, const AttemptPointer& attempt, AttemptOutcome end) {
  if (attempts_.erase(id) == 0) return;
  attempt->kept.clear();
  if (attempt->connection)
    end == AttemptOutcome::whole && attempt->request.keep_connection ? connections_.keep(attempt->connection)
                                                                     : connections_.close(attempt->connection);
  attempt->watcher->on_end(end);
}

// What a held attempt keeps refers to the attempt itself.
SimulatedRunnerClient::~SimulatedRunnerClient() {
  for (auto& [id, attempt] : attempts_) attempt->kept.clear();
}

void SimulatedRunnerClient::hold(Id id, bool held) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const AttemptPointer attempt = found->second;
  attempt->held = held;
  ++attempt->beat;
  if (held) return;
  guard(id, attempt, attempt->request.between_pieces);
  cluster_.world.at(Duration{0}, life_, [this, id, attempt] {
    while (!attempt->kept.empty() && !attempt->held && attempts_.contains(id)) {
      Task next = std::move(attempt->kept.front());
      attempt->kept.pop_front();
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
  attempt->kept.clear();
  if (attempt->connection) connections_.close(attempt->connection);
  attempts_.erase(found);
  // The runner notices a closed stream at its next piece; here at once, as an event of its own.
  cluster_.world.after(Duration(1500), [attempt, &cluster = cluster_] { free(cluster, attempt, "cancelled"); });
}

}  // namespace mothwalk::simulate
