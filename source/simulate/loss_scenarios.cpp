// Disks and machines are lost one after another, as soon as the platform may cause the next loss: a machine counts as
// lost until the synchronization time after its start has passed. Lots (batches) and configuration changes are
// acknowledged during the whole run. At the end the oldest disks are wiped, all other machines lose power, and
// everything that was acknowledged is read back.
#include <algorithm>

#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration read_back_limit = seconds(12);

// The losses that the platform may cause: how long a machine counts as lost after its return, and how many machines may
// be lost at once.
struct Tolerance {
  Duration synchronization_time = milliseconds(4900);
  std::size_t machines_at_once = 1;
  bool requires_repair = true;  // Whether the group has to be fully replicated again before the next loss.
};

// The state of one run: which group of storage nodes the faults are injected into, and since when each disk is in use.
struct LossRun {
  LossRun(SimulatedCluster& simulated_cluster, Tolerance loss_tolerance)
      : cluster(simulated_cluster), tolerance(loss_tolerance) {
    const bool two_groups = cluster.shape.knows_first_start;
    keeps = !two_groups                                                             ? ""
            : tolerance.machines_at_once == 1 && cluster.world.random.below(3) == 0 ? "control"
                                                                                    : "lots";
    for (Machine* node : cluster.storage_nodes()) disk_since[node] = TimePoint{};
  }
  SimulatedCluster& cluster;
  const Tolerance tolerance;
  std::string keeps;                         // The group: what its machines store, as in Member::keeps.
  std::map<Machine*, TimePoint> disk_since;  // The time since which each machine has its present disk.
  std::set<Machine*> lost_for_good;          // The machines that never return.
};
using LossRunPointer = std::shared_ptr<LossRun>;

std::vector<Machine*> group_members(const LossRun& run) {
  std::vector<Machine*> list;
  for (Machine* node : run.cluster.storage_nodes())
    if (node->keeps == run.keeps && !run.lost_for_good.contains(node)) list.push_back(node);
  return list;
}

Machine& oldest_disk(const LossRun& run) {
  const std::vector<Machine*> list = group_members(run);
  return **std::min_element(list.begin(), list.end(), [&](Machine* left, Machine* right) {
    return run.disk_since.at(left) < run.disk_since.at(right);
  });
}

// As many of the oldest disks as may be lost at once. If that is more than one, voting storage nodes come first, since
// only they have data to lose.
std::vector<Machine*> oldest_disks(const LossRun& run) {
  const Roster& roster = run.cluster.any_alive().shared_state().configuration.get()->lot_roster;
  std::vector<Machine*> list = group_members(run);
  std::sort(list.begin(), list.end(), [&](Machine* left, Machine* right) {
    auto rank = [&](Machine* machine) {
      const bool voting =
          machine->replicated_store() != nullptr && roster.has_voter(machine->replicated_store()->identity());
      return std::make_pair(run.tolerance.machines_at_once > 1 && !voting, run.disk_since.at(machine));
    };
    return rank(left) < rank(right);
  });
  list.resize(std::min(list.size(), run.tolerance.machines_at_once));
  return list;
}

Duration random_duration(World& world, Duration minimum, Duration maximum) {
  return minimum + Duration(static_cast<std::int64_t>(
                       world.random.below(static_cast<std::uint64_t>((maximum - minimum).count()))));
}

void schedule_start(Machine& machine, World& world, Duration pause) {
  world.after(pause, [&machine] {
    if (!machine.alive()) machine.start();
  });
}

void wipe_and_restart(const LossRunPointer& run, Machine& machine, Duration down) {
  machine.kill(true);
  run->disk_since[&machine] = run->cluster.world.now() + down;
  schedule_start(machine, run->cluster.world, down);
}

void remove_permanently(const LossRunPointer& run, Machine& machine) {
  machine.kill(true);
  run->lost_for_good.insert(&machine);
}

Machine& add_empty_machine(const LossRunPointer& run, const std::string& zone) {
  Machine& machine = run->cluster.add_machine(zone, run->keeps);
  run->disk_since[&machine] = run->cluster.world.now();
  machine.start();
  return machine;
}

// Replaces the oldest machine by an empty one at another address. If planned, the new one starts before the old one is
// removed, otherwise afterwards.
Duration replace_oldest(const LossRunPointer& run, bool planned) {
  World& world = run->cluster.world;
  const Duration gap = random_duration(world, milliseconds(500), milliseconds(2500));
  Machine& machine = oldest_disk(*run);
  if (planned) {
    add_empty_machine(run, machine.zone);
    world.after(gap, [run, &machine] { remove_permanently(run, machine); });
  } else {
    remove_permanently(run, machine);
    world.after(gap, [run, zone = machine.zone] { add_empty_machine(run, zone); });
  }
  return gap;
}

// Retires a storage node. Once the retirement is reported complete, its machine is removed and the oldest other disk is
// wiped at the same moment.
void retire_then_wipe(const LossRunPointer& run, Machine& machine) {
  run->cluster.operator_change("holder/" + machine.address.text, R"({"retired":true})");
  auto poll = std::make_shared<std::function<void()>>();
  std::weak_ptr<std::function<void()>> weak = poll;
  *poll = [run, &machine, weak] {
    auto self = weak.lock();
    if (!self || run->lost_for_good.contains(&machine)) return;
    const std::string roster = run->keeps == "lots" ? "roster/lots" : "roster";
    run->cluster.query_retirement(roster, machine.address, [run, &machine](RetirementReply reply) {
      if (!reply.complete || run->lost_for_good.contains(&machine)) return;
      run->cluster.world.log_event("the retirement of " + machine.name + " is complete");
      remove_permanently(run, machine);
      wipe_and_restart(run, oldest_disk(*run), milliseconds(1500));
    });
    run->cluster.world.after(milliseconds(200), [self] { (*self)(); });
  };
  (*poll)();
}

void lose_zone(const LossRunPointer& run, const std::string& zone, Duration down) {
  run->cluster.world.log_event("zone " + zone + " loses its power");
  for (auto& machine : run->cluster.machines)
    if (machine->zone == zone && machine->alive()) {
      machine->kill(false);
      schedule_start(*machine, run->cluster.world,
                     down + random_duration(run->cluster.world, Duration{}, milliseconds(1500)));
    }
}

// ---- what is acknowledged during the losses, and read back at the end

void change_configuration(const LossRunPointer& run, Duration length) {
  World& world = run->cluster.world;
  for (Duration at{}; at < length; at += milliseconds(150))
    world.after(at, [run, number = at.count() / 150000] {
      run->cluster.operator_change("lane/loss-" + std::to_string(number % 40),
                                   R"({"path":"/loss-)" + std::to_string(number % 40) +
                                       R"(","kind":"model","retries":)" + std::to_string(number % 9) + "}");
    });
}

void read_lot(SimulatedCluster& cluster, const std::string& id, TimePoint until) {
  cluster.control(
      cluster.any_alive(), "GET", "/lots/" + id + "/results?after=0&limit=1", "",
      [&cluster, id, until](int status, const std::string& text) {
        if (status == 200) return;
        if (status == 404 || cluster.world.now() >= until)
          return cluster.broken.push_back("an accepted lot can't be read: " + id + ": " + std::to_string(status) + " " +
                                          text.substr(0, 80));
        cluster.world.after(milliseconds(500), [&cluster, id, until] { read_lot(cluster, id, until); });
      },
      true);
}

void read_resource(SimulatedCluster& cluster, const std::string& key, Stamp minimum, TimePoint until) {
  cluster.control(
      cluster.any_alive(), "GET", "/v1/resources/" + key, "",
      [&cluster, key, minimum, until](int status, const std::string& text) {
        if (status == 200) {
          const json::value reply = std::get<json::value>(parse_json(text));
          const Stamp have{Epoch{reply.at("epoch").to_number<std::uint64_t>()},
                           Version{reply.at("version").to_number<std::uint64_t>()}};
          if (have >= minimum) return;
        }
        if (cluster.world.now() >= until)
          return cluster.broken.push_back("an acknowledged change is gone: " + key + ": " + std::to_string(status));
        cluster.world.after(milliseconds(500),
                            [&cluster, key, minimum, until] { read_resource(cluster, key, minimum, until); });
      });
}

void read_back(SimulatedCluster& cluster) {
  const TimePoint until = cluster.world.now() + read_back_limit;
  std::set<std::string> lots;
  for (const auto& line : cluster.world.ledger())
    if (line.at("what").as_string() == "lot") lots.emplace(line.at("id").as_string());
  std::map<std::string, Stamp> changes;
  for (const auto& change : cluster.acknowledged) changes[change.key] = std::max(changes[change.key], change.stamp);
  cluster.world.log_event("everything is read back: " + std::to_string(lots.size()) + " lots, " +
                          std::to_string(changes.size()) + " resources");
  for (const auto& id : lots) read_lot(cluster, id, until);
  for (const auto& [key, stamp] : changes) read_resource(cluster, key, stamp, until);
}

// The closing fault: the oldest disks are wiped, and all other machines lose power.
void close_with_wipe(const LossRunPointer& run) {
  SimulatedCluster& cluster = run->cluster;
  cluster.world.log_event("the closing fault");
  const std::vector<Machine*> wiped = oldest_disks(*run);
  const Duration down = random_duration(cluster.world, milliseconds(500), milliseconds(1500));
  for (auto& machine : cluster.machines) {
    if (!machine->alive()) continue;
    machine->kill(std::find(wiped.begin(), wiped.end(), machine.get()) != wiped.end());
    schedule_start(*machine, cluster.world, down + random_duration(cluster.world, Duration{}, milliseconds(300)));
  }
  cluster.world.after(down + seconds(8), [&cluster] { read_back(cluster); });
}

// ---- the time until the group can survive the next loss

// The number of voters that survives as many losses at once as the platform may cause.
std::size_t voters_needed(const LossRun& run) {
  return run.tolerance.machines_at_once == 1 ? 3 : 2 * run.tolerance.machines_at_once + 1;
}

// voters_restored: the roster has enough voters, and every slot has an owner under it. replicas_complete: in addition,
// each voter has all data of every slot.
enum class RepairLevel { voters_restored, replicas_complete };

bool is_repaired(const LossRun& run, RepairLevel required) {
  const Roster* roster = nullptr;
  std::map<StorageNodeId, ReplicatedStore*> stores;
  for (Machine* node : group_members(run)) {
    if (!node->alive() || node->replicated_store() == nullptr) continue;
    stores[node->replicated_store()->identity()] = node->replicated_store();
    if (roster == nullptr || roster->version < node->replicated_store()->roster().version)
      roster = &node->replicated_store()->roster();
  }
  if (roster == nullptr || roster->voters.size() < voters_needed(run)) return false;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
    Epoch owned, lowest_installed{UINT64_MAX};
    for (const auto& voter : roster->voters) {
      auto found = stores.find(voter.holder);
      if (found == stores.end()) return false;
      const ReplicatedStore::SlotView view = found->second->slot_view(slot);
      owned = std::max(owned, view.owned);
      lowest_installed = std::min(lowest_installed, view.installed);
    }
    if (owned == Epoch{} || (required == RepairLevel::replicas_complete && lowest_installed < owned)) return false;
  }
  return true;
}

void record_repair_time(const LossRunPointer& run, TimePoint since, RepairLevel required, Duration limit) {
  World& world = run->cluster.world;
  world.after(milliseconds(50), [run, since, required, limit, &world] {
    const std::int64_t took = (world.now() - since).count() / 1000;
    if (!is_repaired(*run, required) && took < 30000) return record_repair_time(run, since, required, limit);
    world.write_ledger({{"what", "observed"},
                        {"name", std::string(required == RepairLevel::voters_restored ? "seated" : "whole") +
                                     " after a machine's return"},
                        {"took", took},
                        {"limit", limit.count() / 1000}});
  });
}

// The voters must have all data before the platform may cause the next loss. Where several machines may be lost at
// once, the voters must be appointed in half of that time.
void record_repair_times(const LossRunPointer& run, TimePoint since) {
  const Duration limit = run->tolerance.synchronization_time;
  if (run->tolerance.machines_at_once > 1) record_repair_time(run, since, RepairLevel::voters_restored, limit / 2);
  record_repair_time(run, since, RepairLevel::replicas_complete, limit);
}

// The faults of a run, in order. Each is injected as soon as the one before no longer counts as a loss; the closing
// fault comes last.
// Each function injects a fault and returns the time until its machines are back.
using FaultSequence = std::vector<std::function<Duration(const LossRunPointer&)>>;

void run_fault_sequence(const LossRunPointer& run, std::shared_ptr<FaultSequence> faults, std::size_t index) {
  World& world = run->cluster.world;
  if (index == faults->size()) return close_with_wipe(run);
  const Duration downtime = (*faults)[index](run);
  const TimePoint returned = world.now() + downtime;
  if (run->tolerance.requires_repair) world.after(downtime, [run, returned] { record_repair_times(run, returned); });
  world.after(downtime + run->tolerance.synchronization_time,
              [run, faults, index] { run_fault_sequence(run, faults, index + 1); });
}

// A scenario whose faults begin within one second after `first`. The configuration is changed until 2 s before the end
// of the load.
Scenario make_loss_scenario(std::string name, std::string description, Tolerance tolerance, Duration load,
                            Duration first, FaultSequence faults, std::function<void(SimulatedCluster&)> submit_lots) {
  Scenario scenario;
  scenario.name = std::move(name);
  scenario.description = std::move(description);
  scenario.load = load;
  scenario.settle = seconds(45);
  scenario.limits = Limits{30000, 400};
  scenario.has_closing_fault = scenario.needs_lots = true;
  auto list = std::make_shared<FaultSequence>(std::move(faults));
  scenario.faults = [tolerance, load, first, list, submit_lots](SimulatedCluster& cluster) {
    auto run = std::make_shared<LossRun>(cluster, tolerance);
    submit_lots(cluster);
    change_configuration(run, load - seconds(2));
    cluster.world.after(first + random_duration(cluster.world, Duration{}, seconds(1)),
                        [run, list] { run_fault_sequence(run, list, 0); });
  };
  return scenario;
}

Scenario single_loss_scenario(std::string name, std::string description, FaultSequence faults) {
  return make_loss_scenario(std::move(name), std::move(description), Tolerance{}, seconds(26), seconds(4),
                            std::move(faults), [](SimulatedCluster& cluster) { cluster.shape.lots[0].rate = 6; });
}

Duration wipe_oldest(const LossRunPointer& run) {
  const Duration down = random_duration(run->cluster.world, milliseconds(500), milliseconds(2000));
  wipe_and_restart(run, oldest_disk(*run), down);
  return down;
}

Duration lose_and_return_zone(const LossRunPointer& run) {
  lose_zone(run, oldest_disk(*run).zone, seconds(3));
  return milliseconds(4500);
}

Duration retire_oldest(const LossRunPointer& run) {
  Machine& machine = oldest_disk(*run);
  add_empty_machine(run, machine.zone);
  run->cluster.world.after(run->tolerance.synchronization_time, [run, &machine] { retire_then_wipe(run, machine); });
  return seconds(12);
}

Duration wipe_two_oldest(const LossRunPointer& run) {
  const Duration down = random_duration(run->cluster.world, milliseconds(500), milliseconds(2000));
  for (Machine* machine : oldest_disks(*run)) wipe_and_restart(run, *machine, down);
  return down;
}

// Many lots are submitted in the first 5 s, then few enough to leave the storage nodes time to repair their replicas.
Scenario two_disks_at_once(std::string name, std::string description, Tolerance tolerance) {
  auto initial_burst = [](SimulatedCluster& cluster) {
    cluster.shape.lots[0].rate = 12;
    cluster.world.after(seconds(5), [&cluster] { cluster.shape.lots[0].rate = 1; });
  };
  Scenario scenario = make_loss_scenario(std::move(name), std::move(description), tolerance, seconds(32), seconds(7),
                                         {wipe_two_oldest, wipe_two_oldest, wipe_two_oldest}, initial_burst);
  scenario.shape = "storage";
  return scenario;
}

}  // namespace

std::vector<Scenario> loss_scenarios() {
  auto planned = [](const LossRunPointer& run) {
    return replace_oldest(run, true);
  };
  auto unplanned = [](const LossRunPointer& run) {
    return replace_oldest(run, false);
  };
  return {
      single_loss_scenario("loss-replace-twice",
                           "the oldest machine of a group is lost for good and replaced by an empty one, twice",
                           {unplanned, unplanned}),
      single_loss_scenario("loss-replace-planned",
                           "a new machine is added before the oldest one of a group is removed, twice",
                           {planned, planned}),
      single_loss_scenario("loss-wipe-oldest", "the oldest disks are wiped one after another",
                           {wipe_oldest, wipe_oldest}),
      single_loss_scenario("loss-zone-then-wipe", "a zone loses power and returns, then a disk is wiped",
                           {lose_and_return_zone, wipe_oldest}),
      single_loss_scenario("loss-retire-wipe-replace",
                           "a machine is retired and removed at the moment when the disk of another is wiped, then the "
                           "oldest one is replaced",
                           {retire_oldest, unplanned}),
      two_disks_at_once("loss-wipe-two",
                        "two disks of voters are wiped at once, three times, while many megabytes of lots are stored",
                        Tolerance{seconds(6), 2}),
      two_disks_at_once("loss-wipe-two-before-repair",
                        "the same, each time before the replicas on the previous two are repaired",
                        Tolerance{seconds(2), 2, false}),
  };
}

}  // namespace mothwalk::simulate
