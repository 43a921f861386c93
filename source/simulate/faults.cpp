// Machines that die, freeze or are cut off, runners that misbehave, crowds.
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

Machine& pick(SimulatedCluster& cluster, bool holder) {
  std::vector<Machine*> list;
  for (auto& machine : cluster.machines)
    if (machine->alive() && !machine->frozen() && machine->has_disk == holder) list.push_back(machine.get());
  return list.empty() ? *cluster.machines[0] : *list[cluster.world.random.below(list.size())];
}

RunnerModel& pick_runner(SimulatedCluster& cluster, const std::string& kind) {
  std::vector<RunnerModel*> list;
  for (auto& runner : cluster.runners)
    if (runner->kind == kind) list.push_back(runner.get());
  return *list[cluster.world.random.below(list.size())];
}

Machine& owner_of(SimulatedCluster& cluster, const std::string& key) {
  for (Machine* holder : cluster.holders())
    if (holder->alive() && (holder->keeps.empty() || lot_key(key) != holder->serves()) &&
        holder->shared_state().owned.get()->slots.contains(slot_of(key)))
      return *holder;
  return *cluster.holders()[0];
}

std::string runner_document(const RunnerModel& runner, bool leaving) {
  return json::serialize(json::object{{"kind", runner.kind},
                                      {"address", runner.address.text},
                                      {"zone", runner.zone},
                                      {"slots", runner.slots},
                                      {"leaving", leaving},
                                      {"generation", runner.life}});
}

void cut_zone(SimulatedCluster& cluster, const std::string& zone, Duration length, bool both) {
  cluster.world.history("zone " + zone + " is cut off" + (both ? "" : " one way"));
  std::set<std::string> zones;
  for (auto& machine : cluster.machines) zones.insert(machine->zone);
  for (const auto& other : zones) {
    if (other == zone) continue;
    cluster.world.cut(zone, other);
    if (both) cluster.world.cut(other, zone);
  }
  for (auto& machine : cluster.machines)
    if (machine->zone == zone || !both) machine->cut_off();
  cluster.world.after(length, [&cluster] {
    cluster.world.history("the network is mended");
    cluster.world.mend();
    for (auto& machine : cluster.machines) machine->joined();
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

void every(SimulatedCluster& cluster, Duration gap, int times, std::function<void(int)> act) {
  for (int turn = 0; turn < times; ++turn) cluster.world.after(gap * (turn + 1), [act, turn] { act(turn); });
}

void leaving(SimulatedCluster& cluster, RunnerModel& runner) {
  if (runner.leaving) return;
  runner.leaving = true;
  cluster.operator_change("runner/" + runner.name, runner_document(runner, true), [&cluster, &runner](Stamp) {
    const std::int64_t acknowledged = cluster.world.milliseconds();
    cluster.world.after(seconds(6), [&cluster, &runner, acknowledged] {
      cluster.world.write({{"what", "leaving"},
                           {"runners", json::array{json::value(json::string(runner.name))}},
                           {"acknowledged", acknowledged},
                           {"until", cluster.world.milliseconds()}});
      cluster.operator_change("runner/" + runner.name, runner_document(runner, false),
                              [&runner](Stamp) { runner.leaving = false; });
    });
  });
}

void evacuate(SimulatedCluster& cluster, const std::string& zone, std::function<void()> when_acknowledged) {
  cluster.operator_change("zone/" + zone, R"({"evacuated":true})", [&cluster, zone, when_acknowledged](Stamp) {
    const std::int64_t acknowledged = cluster.world.milliseconds();
    when_acknowledged();
    cluster.world.after(seconds(9), [&cluster, zone, acknowledged] {
      json::array names;
      for (auto& runner : cluster.runners)
        if (runner->zone == zone) names.push_back(json::value(json::string(runner->name)));
      cluster.world.write({{"what", "evacuated"},
                           {"runners", names},
                           {"acknowledged", acknowledged},
                           {"until", cluster.world.milliseconds()}});
      cluster.operator_change("zone/" + zone, R"({"evacuated":false})");
    });
  });
}

void total_loss(SimulatedCluster& cluster, bool one_away, bool one_empty) {
  cluster.lost_totally = true;
  Machine* odd = one_away || one_empty ? &pick(cluster, true) : nullptr;
  for (auto& machine : cluster.machines) machine->kill(one_empty && machine.get() == odd);
  const TimePoint down = cluster.world.now();
  for (auto& machine : cluster.machines)
    if (!one_away || machine.get() != odd)
      restart_later(cluster, *machine, milliseconds(200 + static_cast<std::int64_t>(cluster.world.random.below(500))));
  auto watch = std::make_shared<std::function<void()>>();
  std::weak_ptr<std::function<void()>> weak = watch;
  Machine* const missed = one_away ? odd : nullptr;
  *watch = [&cluster, down, weak, missed] {
    bool all = true;
    for (auto& machine : cluster.machines)
      all = all && (machine.get() == missed || machine->alive()) &&
            (machine.get() == missed || (machine->shared_state().has_lease(cluster.world.now()) &&
                                         !machine->shared_state().configuration.get()->lanes.empty()));
    if (all) {
      const std::int64_t took = (cluster.world.now() - down).count() / 1000;
      cluster.world.write(
          {{"what", "observed"}, {"name", "service back after a total loss"}, {"took", took}, {"limit", 12000}});
      return;
    }
    if (cluster.world.now() - down > seconds(30))
      return cluster.world.write(
          {{"what", "observed"}, {"name", "service back after a total loss"}, {"took", 30000}, {"limit", 12000}});
    cluster.world.after(milliseconds(50), [self = weak.lock()] {
      if (self) (*self)();
    });
  };
  cluster.world.after(milliseconds(50), [watch] { (*watch)(); });
}

void crowd(SimulatedCluster& cluster, double factor, Duration length) {
  cluster.world.history("a crowd arrives");
  for (auto& load : cluster.shape.streams) load.rate *= factor;
  cluster.world.after(length, [&cluster, factor] {
    cluster.world.history("the crowd is over");
    for (auto& load : cluster.shape.streams) load.rate /= factor;
  });
}

void crash_and_return(SimulatedCluster& cluster, RunnerModel& runner, Duration pause) {
  cluster.crash_runner(runner);
  cluster.world.after(pause, [&cluster, &runner] { cluster.return_runner(runner, seconds(2)); });
}

void bounce(SimulatedCluster& cluster, bool stated) {
  const auto configuration = cluster.any_alive().shared_state().configuration.get();
  const auto& circle = configuration->circles.at("model").spec;
  RunnerModel* runner = nullptr;
  for (auto& each : cluster.runners)
    if (each->kind == "model" && circle.bears(each->name, configuration->runners.at(each->name).spec.generation) &&
        each->active >= (stated ? 0u : 1u) && (runner == nullptr || each->active < runner->active))
      runner = each.get();
  if (runner == nullptr) return cluster.world.history("no runner fits");
  cluster.crash_runner(*runner);
  auto back = [&cluster, runner] {
    // The ramp of 2 s has to cover the warming and the time that the statement took.
    cluster.return_runner(*runner, milliseconds(1500));
    crowd(cluster, 6, milliseconds(1500));
  };
  if (stated)
    cluster.operator_change("runner/" + runner->name, runner_document(*runner, runner->leaving),
                            [&cluster, back](Stamp) { cluster.world.after(milliseconds(200), back); });
  else
    cluster.world.after(milliseconds(700), back);
}

void misbehave(SimulatedCluster& cluster, RunnerModel& runner, const std::string& mode, Duration length) {
  cluster.world.history(runner.name + " turns " + mode);
  runner.mode = mode;
  cluster.world.after(length, [&cluster, &runner] {
    cluster.world.history(runner.name + " is sound again");
    runner.mode = "sound";
  });
}

void freeze(SimulatedCluster& cluster, Machine& machine, Duration length) {
  machine.freeze();
  cluster.world.after(length, [&machine] { machine.wake(); });
}

void random_fault(SimulatedCluster& cluster) {
  switch (cluster.world.random.below(12)) {
    case 0:
      return kill_and_restart(cluster, pick(cluster, true), false);
    case 1:
      return kill_and_restart(cluster, pick(cluster, false), false);
    case 2:
      return freeze(cluster, pick(cluster, cluster.world.random.below(2) == 0), seconds(3));
    case 3:
      return crash_and_return(cluster, pick_runner(cluster, "model"), seconds(2));
    case 4:
      return misbehave(cluster, pick_runner(cluster, "model"), "truncate", seconds(3));
    case 5:
      return misbehave(cluster, pick_runner(cluster, "model"), "dark", seconds(3));
    case 6:
      return misbehave(cluster, pick_runner(cluster, "model"), "slow", seconds(3));
    case 7:
      return change_then_kill(cluster, false);
    case 8:
      return leaving(cluster, pick_runner(cluster, "model"));
    case 9:
      return misbehave(cluster, pick_runner(cluster, "model"), "nonsense", seconds(2));
    case 10: {
      Machine& machine = pick(cluster, true);
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
