// One scenario under one seed: the load, the faults, and what is found broken afterwards.
#include <algorithm>

#include "simulate/faults.hpp"
#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<Strike> strikes(std::uint64_t seed, const std::string& shape, std::uint64_t times) {
  const Outcome quiet = run(*find_scenario("points"), seed, shape);
  SeededRandom random(seed);
  std::vector<Strike> list;
  for (const auto& [kind, count] : quiet.points)
    for (const char* action : {"kill", "wipe", "freeze"})
      for (std::uint64_t turn = 0; turn < times; ++turn)
        list.push_back(Strike{kind, action, 1 + random.below(std::max<std::uint64_t>(1, count * 9 / 10))});
  return list;
}

namespace {

constexpr std::uint32_t longest_caller_backlog = 320u << 10;

// What the daemons that are alive have counted of what must never happen.
std::vector<std::string> violated_invariants(SimulatedCluster& cluster) {
  std::vector<std::string> list;
  for (const auto& machine : cluster.machines) {
    if (const Router* entries = machine->entries(); entries != nullptr && entries->counts().held_beside_idle > 0)
      list.push_back("a limit held requests up beside idle runners: " + machine->name + " counts " +
                     std::to_string(entries->counts().held_beside_idle));
    if (const CircleDuty* circle = machine->circle(); circle != nullptr && circle->counts().connections_over_limit > 0)
      list.push_back("a runner had more connections than it takes: " + machine->name + " counts " +
                     std::to_string(circle->counts().connections_over_limit));
  }
  return list;
}

void start_until_ready(SimulatedCluster& cluster) {
  World& world = cluster.world;
  cluster.start();
  while (!cluster.ready() && world.now() < TimePoint{} + seconds(40)) world.run_until(world.now() + milliseconds(100));
  if (!cluster.ready()) cluster.broken.push_back("the configuration was not taken within 40 s of the first start");
  // The circle's ramp is over before the load begins: cold starts have scenarios of their own.
  world.run_until(world.now() + seconds(5));
}

// Arms the point of the strike; `struck` becomes true where it was reached.
void arm(SimulatedCluster& cluster, const Strike& strike, bool& struck) {
  World& world = cluster.world;
  world.points.clear();
  world.armed_kind = strike.kind;
  world.armed = strike.number;
  world.strike = [&cluster, &strike, &struck](const std::string& place) {
    struck = true;
    for (auto& machine : cluster.machines) {
      if (machine->name != place || !machine->alive()) continue;
      if (strike.action == "freeze")
        freeze(cluster, *machine, seconds(3));
      else
        kill_and_restart(cluster, *machine, strike.action == "wipe", seconds(2));
    }
  };
}

// All machines lose power near the end of the load; what the judge allows then.
Limits close(SimulatedCluster& cluster, const Scenario& scenario, std::uint64_t seed) {
  cluster.world.after(scenario.load - seconds(3), [&cluster, seed] {
    cluster.world.history("the closing fault");
    total_loss(cluster, seed % 3 == 1, seed % 3 == 2);
  });
  return Limits{std::max<std::int64_t>(scenario.limits.result_lag, 9000),
                std::max<std::int64_t>(scenario.limits.refused_per_thousand, 150)};
}

// Runners that were given more at once than they bear.
std::vector<std::string> overfilled_runners(const SimulatedCluster& cluster) {
  std::vector<std::string> list;
  for (const auto& runner : cluster.runners)
    if (runner->most_offered_cold > runner->slots + runner->slots / 2)
      list.push_back("a cold runner was flooded: " + runner->name + " had " + runner->worst_cold);
  for (const auto& runner : cluster.runners)
    if (runner->most_mixed > runner->slots + runner->slots / 2)
      list.push_back("a runner with items was overfilled: " + runner->name + " had " + runner->worst_mixed);
  for (const auto& runner : cluster.runners)
    if (runner->most_items > runner->slots)
      list.push_back("an outside runner was overfilled: " + runner->name + " had " +
                     std::to_string(runner->most_items) + " items at once");
  return list;
}

std::vector<std::string> found_broken(SimulatedCluster& cluster, const Strike& strike, bool struck) {
  std::vector<std::string> list;
  auto add = [&list](const std::vector<std::string>& more) {
    list.insert(list.end(), more.begin(), more.end());
  };
  if (strike.number > 0 && !struck) list.push_back("the point was never reached");
  add(cluster.broken);
  add(overfilled_runners(cluster));
  if (cluster.longest_backlog > longest_caller_backlog)
    list.push_back("a slow caller's backlog grew to " + std::to_string(cluster.longest_backlog) + " bytes");
  add(violated_invariants(cluster));
  return list;
}

void note_machines(SimulatedCluster& cluster, Outcome& outcome) {
  for (auto& machine : cluster.machines) {
    outcome.frames += machine->frames;
    outcome.bytes += machine->bytes;
    if (!machine->alive()) continue;
    if (!machine->shared_state().has_lease(cluster.world.now()))
      outcome.verdict.broken.push_back("not serving at the end: " + machine->name);
    outcome.final_state.push_back(
        machine->name + " owns " + std::to_string(machine->shared_state().owned.get()->slots.size()) +
        " slots, roster " + std::to_string(machine->shared_state().configuration.get()->roster.version.value));
  }
}

}  // namespace

Outcome run(const Scenario& scenario, std::uint64_t seed, const std::string& shape, const Strike& strike,
            bool closing) {
  World world(seed * 1000003 + 17);
  SimulatedCluster cluster(world, shape_named(shape, 1.0));
  Outcome outcome;
  outcome.scenario = scenario.name;
  if (strike.number > 0)
    outcome.scenario += " (" + strike.action + " at " + strike.kind + " " + std::to_string(strike.number) + ")";
  outcome.seed = seed;
  outcome.machines = cluster.machines.size();
  start_until_ready(cluster);
  cluster.load(scenario.load);
  bool struck = false;
  arm(cluster, strike, struck);
  scenario.faults(cluster);
  const Limits limits = closing && !scenario.closes ? close(cluster, scenario, seed) : scenario.limits;
  world.run_until(world.now() + scenario.load + scenario.settle);
  outcome.verdict = judge(world.ledger(), limits);
  for (const auto& each : found_broken(cluster, strike, struck)) outcome.verdict.broken.push_back(each);
  note_machines(cluster, outcome);
  outcome.story = world.story();
  outcome.virtual_seconds = static_cast<double>(world.now().microseconds) / 1e6;
  outcome.events = world.events;
  outcome.points = world.points;
  outcome.figures = cluster.figures;
  return outcome;
}

}  // namespace mothwalk::simulate
