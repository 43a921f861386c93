// Runs one scenario with one seed: applies the load and the faults, and collects the violations.
#include <algorithm>

#include "simulate/faults.hpp"
#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<InjectedFault> faults_at_points(std::uint64_t seed, const std::string& shape, std::uint64_t times) {
  const Outcome quiet = run(*find_scenario("points"), seed, shape);
  SeededRandom random(seed);
  std::vector<InjectedFault> list;
  for (const auto& [kind, count] : quiet.fault_point_counts)
    for (const char* action : {"kill", "wipe", "freeze"})
      for (std::uint64_t turn = 0; turn < times; ++turn)
        list.push_back(InjectedFault{kind, action, 1 + random.below(std::max<std::uint64_t>(1, count * 9 / 10))});
  return list;
}

namespace {

// The most bytes that a daemon may buffer for a client that reads slowly.
constexpr std::uint32_t max_allowed_client_backlog = 320u << 10;

// The violations that the live daemons have counted themselves; each of these counters must stay 0.
std::vector<std::string> violated_invariants(SimulatedCluster& cluster) {
  std::vector<std::string> list;
  for (const auto& machine : cluster.machines) {
    if (const Router* router = machine->router(); router != nullptr && router->counts().delayed_beside_idle > 0)
      list.push_back("a limit held requests up beside idle runners: " + machine->name + " counts " +
                     std::to_string(router->counts().delayed_beside_idle));
    if (const CircleManager* circle = machine->circle();
        circle != nullptr && circle->counts().connections_over_limit > 0)
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
  // The load begins after the warm-up of the runners, because cold starts have scenarios of their own.
  world.run_until(world.now() + seconds(5));
}

// Arms the fault point; `reached` becomes true when a machine passes it.
void arm_fault_point(SimulatedCluster& cluster, const InjectedFault& fault, bool& reached) {
  World& world = cluster.world;
  world.fault_point_counts.clear();
  world.armed_kind = fault.kind;
  world.armed_number = fault.number;
  world.inject_fault = [&cluster, &fault, &reached](const std::string& machine_name) {
    reached = true;
    for (auto& machine : cluster.machines) {
      if (machine->name != machine_name || !machine->alive()) continue;
      if (fault.action == "freeze")
        freeze_for(cluster, *machine, seconds(3));
      else
        kill_and_restart(cluster, *machine, fault.action == "wipe", seconds(2));
    }
  };
}

// Schedules a loss of power at all machines near the end of the load, and returns the limits that apply then.
Limits schedule_closing_fault(SimulatedCluster& cluster, const Scenario& scenario, std::uint64_t seed) {
  cluster.world.after(scenario.load - seconds(3), [&cluster, seed] {
    cluster.world.log_event("the closing fault");
    total_loss(cluster, seed % 3 == 1, seed % 3 == 2);
  });
  return Limits{std::max<std::int64_t>(scenario.limits.max_result_lag, 9000),
                std::max<std::int64_t>(scenario.limits.max_refused_per_thousand, 150)};
}

// The runners that were given more requests at once than 1.5 times their slots while cold or running items, or more
// items than slots.
std::vector<std::string> overloaded_runners(const SimulatedCluster& cluster) {
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

std::vector<std::string> collect_violations(SimulatedCluster& cluster, const InjectedFault& fault, bool reached) {
  std::vector<std::string> list;
  auto add = [&list](const std::vector<std::string>& more) {
    list.insert(list.end(), more.begin(), more.end());
  };
  if (fault.number > 0 && !reached) list.push_back("the point was never reached");
  add(cluster.broken);
  add(overloaded_runners(cluster));
  if (cluster.max_client_backlog > max_allowed_client_backlog)
    list.push_back("a slow caller's backlog grew to " + std::to_string(cluster.max_client_backlog) + " bytes");
  add(violated_invariants(cluster));
  return list;
}

void record_final_state(SimulatedCluster& cluster, Outcome& outcome) {
  for (auto& machine : cluster.machines) {
    outcome.frames += machine->frames;
    outcome.bytes += machine->bytes;
    if (!machine->alive()) continue;
    if (!machine->shared_state().has_lease(cluster.world.now()))
      outcome.verdict.violations.push_back("not serving at the end: " + machine->name);
    outcome.final_state.push_back(
        machine->name + " owns " + std::to_string(machine->shared_state().owned.get()->slots.size()) +
        " slots, roster " + std::to_string(machine->shared_state().configuration.get()->roster.version.value));
  }
}

}  // namespace

Outcome run(const Scenario& scenario, std::uint64_t seed, const std::string& shape, const InjectedFault& fault,
            bool closing) {
  World world(seed * 1000003 + 17);
  SimulatedCluster cluster(world, shape_named(shape, 1.0));
  Outcome outcome;
  outcome.scenario = scenario.name;
  if (fault.number > 0)
    outcome.scenario += " (" + fault.action + " at " + fault.kind + " " + std::to_string(fault.number) + ")";
  outcome.seed = seed;
  outcome.machines = cluster.machines.size();
  start_until_ready(cluster);
  cluster.load(scenario.load);
  bool reached = false;
  arm_fault_point(cluster, fault, reached);
  scenario.faults(cluster);
  const Limits limits =
      closing && !scenario.has_closing_fault ? schedule_closing_fault(cluster, scenario, seed) : scenario.limits;
  world.run_until(world.now() + scenario.load + scenario.settle);
  outcome.verdict = judge(world.ledger(), limits);
  for (const auto& each : collect_violations(cluster, fault, reached)) outcome.verdict.violations.push_back(each);
  record_final_state(cluster, outcome);
  outcome.event_log = world.event_log();
  outcome.virtual_seconds = static_cast<double>(world.now().microseconds) / 1e6;
  outcome.events = world.events;
  outcome.fault_point_counts = world.fault_point_counts;
  outcome.figures = cluster.figures;
  return outcome;
}

}  // namespace mothwalk::simulate
