// Implements the faults of machines, networks and runners, and the bursts of requests.
#include "simulate/faults.hpp"

#include <algorithm>

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

void restart_later(SimulatedCluster& cluster, Machine& machine, Duration pause) {
  cluster.world.after(pause, [&machine] {
    if (!machine.alive()) machine.start();
  });
}

Machine& pick_machine(SimulatedCluster& cluster, bool with_disk) {
  std::vector<Machine*> list;
  for (auto& machine : cluster.machines)
    if (machine->alive() && !machine->suspended() && machine->has_disk == with_disk) list.push_back(machine.get());
  return list.empty() ? *cluster.machines[0] : *list[cluster.world.random.below(list.size())];
}

RunnerModel& pick_runner(SimulatedCluster& cluster, const std::string& kind) {
  std::vector<RunnerModel*> list;
  for (auto& runner : cluster.runners)
    if (runner->kind == kind) list.push_back(runner.get());
  return *list[cluster.world.random.below(list.size())];
}

Machine& owner_of(SimulatedCluster& cluster, const std::string& key) {
  for (Machine* node : cluster.storage_nodes())
    if (node->alive() && (node->keeps.empty() || is_lot_key(key) != node->serves()) &&
        node->shared_state().owned.get()->slots.contains(slot_of(key)))
      return *node;
  return *cluster.storage_nodes()[0];
}

std::string runner_document(const RunnerModel& runner, bool leaving) {
  return json::serialize(json::object{{"kind", runner.kind},
                                      {"address", runner.address.text},
                                      {"zone", runner.zone},
                                      {"slots", runner.slots},
                                      {"leaving", leaving},
                                      {"generation", runner.incarnation}});
}

void isolate_zone(SimulatedCluster& cluster, const std::string& zone, Duration length, bool both) {
  cluster.world.log_event("zone " + zone + " is cut off" + (both ? "" : " one way"));
  std::set<std::string> zones;
  for (auto& machine : cluster.machines) zones.insert(machine->zone);
  for (const auto& other : zones) {
    if (other == zone) continue;
    cluster.world.partition(zone, other);
    if (both) cluster.world.partition(other, zone);
  }
  for (auto& machine : cluster.machines)
    if (machine->zone == zone || !both) machine->mark_cut_off();
  cluster.world.after(length, [&cluster] {
    cluster.world.log_event("the network is mended");
    cluster.world.heal();
    for (auto& machine : cluster.machines) machine->mark_reconnected();
  });
}

void kill_and_restart(SimulatedCluster& cluster, Machine& machine, bool wipe, Duration pause) {
  machine.kill(wipe);
  restart_later(cluster, machine, pause);
}

void change_then_kill(SimulatedCluster& cluster, bool wipe) {
  const std::string key = "lane/extra";
  cluster.operator_change(
      key, R"({"path":"/extra","kind":"model","retries":)" + std::to_string(cluster.world.random.below(9)) + "}",
      [&cluster, key, wipe](Stamp) { kill_and_restart(cluster, owner_of(cluster, key), wipe); });
}

void schedule_repeatedly(SimulatedCluster& cluster, Duration gap, int times, std::function<void(int)> action) {
  for (int turn = 0; turn < times; ++turn) cluster.world.after(gap * (turn + 1), [action, turn] { action(turn); });
}

void announce_leaving(SimulatedCluster& cluster, RunnerModel& runner) {
  if (runner.leaving) return;
  runner.leaving = true;
  cluster.operator_change("runner/" + runner.name, runner_document(runner, true), [&cluster, &runner](Stamp) {
    const std::int64_t acknowledged = cluster.world.milliseconds();
    cluster.world.after(seconds(6), [&cluster, &runner, acknowledged] {
      cluster.world.write_ledger({{"what", "leaving"},
                                  {"runners", json::array{json::value(json::string(runner.name))}},
                                  {"acknowledged", acknowledged},
                                  {"until", cluster.world.milliseconds()}});
      cluster.operator_change("runner/" + runner.name, runner_document(runner, false),
                              [&runner](Stamp) { runner.leaving = false; });
    });
  });
}

void evacuate_zone(SimulatedCluster& cluster, const std::string& zone, std::function<void()> when_acknowledged) {
  cluster.operator_change("zone/" + zone, R"({"evacuated":true})", [&cluster, zone, when_acknowledged](Stamp) {
    const std::int64_t acknowledged = cluster.world.milliseconds();
    when_acknowledged();
    cluster.world.after(seconds(9), [&cluster, zone, acknowledged] {
      json::array names;
      for (auto& runner : cluster.runners)
        if (runner->zone == zone) names.push_back(json::value(json::string(runner->name)));
      cluster.world.write_ledger({{"what", "evacuated"},
                                  {"runners", names},
                                  {"acknowledged", acknowledged},
                                  {"until", cluster.world.milliseconds()}});
      cluster.operator_change("zone/" + zone, R"({"evacuated":false})");
    });
  });
}

void total_loss(SimulatedCluster& cluster, bool one_stays_down, bool one_wiped) {
  cluster.total_loss_injected = true;
  Machine* singled_out = one_stays_down || one_wiped ? &pick_machine(cluster, true) : nullptr;
  for (auto& machine : cluster.machines) machine->kill(one_wiped && machine.get() == singled_out);
  const TimePoint down = cluster.world.now();
  for (auto& machine : cluster.machines)
    if (!one_stays_down || machine.get() != singled_out)
      restart_later(cluster, *machine, milliseconds(200 + static_cast<std::int64_t>(cluster.world.random.below(500))));
  auto check = std::make_shared<std::function<void()>>();
  std::weak_ptr<std::function<void()>> weak = check;
  Machine* const not_restarted = one_stays_down ? singled_out : nullptr;
  *check = [&cluster, down, weak, not_restarted] {
    bool all = true;
    for (auto& machine : cluster.machines)
      all = all && (machine.get() == not_restarted || machine->alive()) &&
            (machine.get() == not_restarted || (machine->shared_state().has_lease(cluster.world.now()) &&
                                                !machine->shared_state().configuration.get()->lanes.empty()));
    if (all) {
      const std::int64_t took = (cluster.world.now() - down).count() / 1000;
      cluster.world.write_ledger(
          {{"what", "observed"}, {"name", "service back after a total loss"}, {"took", took}, {"limit", 12000}});
      return;
    }
    if (cluster.world.now() - down > seconds(30))
      return cluster.world.write_ledger(
          {{"what", "observed"}, {"name", "service back after a total loss"}, {"took", 30000}, {"limit", 12000}});
    cluster.world.after(milliseconds(50), [self = weak.lock()] {
      if (self) (*self)();
    });
  };
  cluster.world.after(milliseconds(50), [check] { (*check)(); });
}

void increase_load(SimulatedCluster& cluster, double factor, Duration length) {
  cluster.world.log_event("a crowd arrives");
  for (auto& load : cluster.shape.streams) load.rate *= factor;
  cluster.world.after(length, [&cluster, factor] {
    cluster.world.log_event("the crowd is over");
    for (auto& load : cluster.shape.streams) load.rate /= factor;
  });
}

void crash_and_restart(SimulatedCluster& cluster, RunnerModel& runner, Duration pause) {
  cluster.crash_runner(runner);
  cluster.world.after(pause, [&cluster, &runner] { cluster.restart_runner(runner, seconds(2)); });
}

void restart_circle_member(SimulatedCluster& cluster, bool announced) {
  const auto configuration = cluster.any_alive().shared_state().configuration.get();
  const auto& circle = configuration->circles.at("model").spec;
  RunnerModel* runner = nullptr;
  for (auto& each : cluster.runners)
    if (each->kind == "model" &&
        circle.takes_full_share(each->name, configuration->runners.at(each->name).spec.generation) &&
        each->active >= (announced ? 0u : 1u) && (runner == nullptr || each->active < runner->active))
      runner = each.get();
  if (runner == nullptr) return cluster.world.log_event("no runner fits");
  cluster.crash_runner(*runner);
  auto back = [&cluster, runner] {
    // The runner is cold for 1.5 s: its warm-up period of 2 s (the ramp) has to cover both that and the time until the
    // restart was announced.
    cluster.restart_runner(*runner, milliseconds(1500));
    increase_load(cluster, 6, milliseconds(1500));
  };
  if (announced)
    cluster.operator_change("runner/" + runner->name, runner_document(*runner, runner->leaving),
                            [&cluster, back](Stamp) { cluster.world.after(milliseconds(200), back); });
  else
    cluster.world.after(milliseconds(700), back);
}

void set_runner_mode(SimulatedCluster& cluster, RunnerModel& runner, const std::string& mode, Duration length) {
  cluster.world.log_event(runner.name + " turns " + mode);
  runner.mode = mode;
  cluster.world.after(length, [&cluster, &runner] {
    cluster.world.log_event(runner.name + " is sound again");
    runner.mode = "sound";
  });
}

void freeze_for(SimulatedCluster& cluster, Machine& machine, Duration length) {
  machine.suspend();
  cluster.world.after(length, [&machine] { machine.resume(); });
}

void inject_random_fault(SimulatedCluster& cluster) {
  switch (cluster.world.random.below(12)) {
    case 0:
      return kill_and_restart(cluster, pick_machine(cluster, true), false);
    case 1:
      return kill_and_restart(cluster, pick_machine(cluster, false), false);
    case 2:
      return freeze_for(cluster, pick_machine(cluster, cluster.world.random.below(2) == 0), seconds(3));
    case 3:
      return crash_and_restart(cluster, pick_runner(cluster, "model"), seconds(2));
    case 4:
      return set_runner_mode(cluster, pick_runner(cluster, "model"), "truncate", seconds(3));
    case 5:
      return set_runner_mode(cluster, pick_runner(cluster, "model"), "dark", seconds(3));
    case 6:
      return set_runner_mode(cluster, pick_runner(cluster, "model"), "slow", seconds(3));
    case 7:
      return change_then_kill(cluster, false);
    case 8:
      return announce_leaving(cluster, pick_runner(cluster, "model"));
    case 9:
      return set_runner_mode(cluster, pick_runner(cluster, "model"), "nonsense", seconds(2));
    case 10: {
      Machine& machine = pick_machine(cluster, true);
      machine.disk().stalled = true;
      cluster.world.after(seconds(3), [&machine] { machine.disk().stalled = false; });
      return;
    }
    default:
      cluster.operator_change("lane/extra", R"({"path":"/extra","kind":"model","retries":)" +
                                                std::to_string(cluster.world.random.below(9)) + "}");
  }
}

}  // namespace mothwalk::simulate
