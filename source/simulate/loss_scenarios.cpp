// Losses of disks and machines that follow one another as soon as the platform allows it: a machine counts as lost
// until the synchronization time after its start has passed, then the next may go. Lots and changes of configuration
// are acknowledged all the while; at the end one disk is wiped, all others lose power, and everything is read back.
#include <algorithm>

#include "simulate/scenarios.hpp"

namespace mothwalk::simulate {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration read_back_limit = seconds(12);

// What the platform may do: how long a machine counts as lost after its return, and how many may be lost at once.
struct Tolerance {
  Duration synchronization_time = milliseconds(4900);
  std::size_t machines = 1;
  bool repaired_in_time = true;  // whether the group is to be whole before the next loss
};

// One run: which group of holders is struck, and how long each of its disks has lasted.
struct Losses {
  Losses(SimulatedCluster& given, Tolerance given_tolerance) : cluster(given), tolerance(given_tolerance) {
    const bool two_groups = cluster.shape.told_first_start;
    keeps = !two_groups ? "" : tolerance.machines == 1 && cluster.world.random.below(3) == 0 ? "control" : "lots";
    for (Machine* holder : cluster.holders()) disk_since[holder] = TimePoint{};
  }
  SimulatedCluster& cluster;
  const Tolerance tolerance;
  std::string keeps;
  std::map<Machine*, TimePoint> disk_since;
  std::set<Machine*> gone;  // for good
};
using LossesPointer = std::shared_ptr<Losses>;

std::vector<Machine*> group(const Losses& losses) {
  std::vector<Machine*> list;
  for (Machine* holder : losses.cluster.holders())
    if (holder->keeps == losses.keeps && !losses.gone.contains(holder)) list.push_back(holder);
  return list;
}

Machine& oldest_disk(const Losses& losses) {
  const std::vector<Machine*> list = group(losses);
  return **std::min_element(list.begin(), list.end(), [&](Machine* left, Machine* right) {
    return losses.disk_since.at(left) < losses.disk_since.at(right);
  });
}

// As many as may be lost at once, seated holders first: the platform strikes those that keep something.
std::vector<Machine*> oldest_disks(const Losses& losses) {
  const Roster& roster = losses.cluster.any_alive().shared_state().configuration.get()->lot_roster;
  std::vector<Machine*> list = group(losses);
  std::sort(list.begin(), list.end(), [&](Machine* left, Machine* right) {
    auto rank = [&](Machine* machine) {
      const bool seated = machine->kept() != nullptr && roster.seated(machine->kept()->identity());
      return std::make_pair(losses.tolerance.machines > 1 && !seated, losses.disk_since.at(machine));
    };
    return rank(left) < rank(right);
  });
  list.resize(std::min(list.size(), losses.tolerance.machines));
  return list;
}

Duration between(World& world, Duration least, Duration most) {
  return least +
         Duration(static_cast<std::int64_t>(world.random.below(static_cast<std::uint64_t>((most - least).count()))));
}

void start_later(Machine& machine, World& world, Duration pause) {
  world.after(pause, [&machine] {
    if (!machine.alive()) machine.start();
  });
}

void wipe(const LossesPointer& losses, Machine& machine, Duration down) {
  machine.kill(true);
  losses->disk_since[&machine] = losses->cluster.world.now() + down;
  start_later(machine, losses->cluster.world, down);
}

void lose_for_good(const LossesPointer& losses, Machine& machine) {
  machine.kill(true);
  losses->gone.insert(&machine);
}

Machine& add_empty(const LossesPointer& losses, const std::string& zone) {
  Machine& machine = losses->cluster.add_machine(zone, losses->keeps);
  losses->disk_since[&machine] = losses->cluster.world.now();
  machine.start();
  return machine;
}

// The oldest machine goes for good; an empty one comes at another address, before it or after.
Duration replace_oldest(const LossesPointer& losses, bool planned) {
  World& world = losses->cluster.world;
  const Duration gap = between(world, milliseconds(500), milliseconds(2500));
  Machine& machine = oldest_disk(*losses);
  if (planned) {
    add_empty(losses, machine.zone);
    world.after(gap, [losses, &machine] { lose_for_good(losses, machine); });
  } else {
    lose_for_good(losses, machine);
    world.after(gap, [losses, zone = machine.zone] { add_empty(losses, zone); });
  }
  return gap;
}

// Retired by the operator; once that is shown complete, its machine and the oldest other disk go at the same moment.
void retire_then_wipe(const LossesPointer& losses, Machine& machine) {
  losses->cluster.operator_change("holder/" + machine.address.text, R"({"retired":true})");
  auto ask = std::make_shared<std::function<void()>>();
  std::weak_ptr<std::function<void()>> weak = ask;
  *ask = [losses, &machine, weak] {
    auto self = weak.lock();
    if (!self || losses->gone.contains(&machine)) return;
    const std::string roster = losses->keeps == "lots" ? "roster/lots" : "roster";
    losses->cluster.retirement(roster, machine.address, [losses, &machine](RetirementReply reply) {
      if (!reply.complete || losses->gone.contains(&machine)) return;
      losses->cluster.world.history("the retirement of " + machine.name + " is complete");
      lose_for_good(losses, machine);
      wipe(losses, oldest_disk(*losses), milliseconds(1500));
    });
    losses->cluster.world.after(milliseconds(200), [self] { (*self)(); });
  };
  (*ask)();
}

void lose_zone(const LossesPointer& losses, const std::string& zone, Duration down) {
  losses->cluster.world.history("zone " + zone + " loses its power");
  for (auto& machine : losses->cluster.machines)
    if (machine->zone == zone && machine->alive()) {
      machine->kill(false);
      start_later(*machine, losses->cluster.world,
                  down + between(losses->cluster.world, Duration{}, milliseconds(1500)));
    }
}

// ---- what is acknowledged meanwhile, and read back

void change_configuration(const LossesPointer& losses, Duration length) {
  World& world = losses->cluster.world;
  for (Duration at{}; at < length; at += milliseconds(150))
    world.after(at, [losses, number = at.count() / 150000] {
      losses->cluster.operator_change("lane/loss-" + std::to_string(number % 40),
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

void read_resource(SimulatedCluster& cluster, const std::string& key, Stamp least, TimePoint until) {
  cluster.control(
      cluster.any_alive(), "GET", "/v1/resources/" + key, "",
      [&cluster, key, least, until](int status, const std::string& text) {
        if (status == 200) {
          const json::value reply = std::get<json::value>(parse_json(text));
          const Stamp have{Epoch{reply.at("epoch").to_number<std::uint64_t>()},
                           Version{reply.at("version").to_number<std::uint64_t>()}};
          if (have >= least) return;
        }
        if (cluster.world.now() >= until)
          return cluster.broken.push_back("an acknowledged change is gone: " + key + ": " + std::to_string(status));
        cluster.world.after(milliseconds(500),
                            [&cluster, key, least, until] { read_resource(cluster, key, least, until); });
      });
}

void read_back(SimulatedCluster& cluster) {
  const TimePoint until = cluster.world.now() + read_back_limit;
  std::set<std::string> lots;
  for (const auto& line : cluster.world.ledger())
    if (line.at("what").as_string() == "lot") lots.emplace(line.at("id").as_string());
  std::map<std::string, Stamp> changes;
  for (const auto& change : cluster.acknowledged) changes[change.key] = std::max(changes[change.key], change.stamp);
  cluster.world.history("everything is read back: " + std::to_string(lots.size()) + " lots, " +
                        std::to_string(changes.size()) + " resources");
  for (const auto& id : lots) read_lot(cluster, id, until);
  for (const auto& [key, stamp] : changes) read_resource(cluster, key, stamp, until);
}

// The end of a day: the oldest disk is wiped, all other machines lose power.
void close_with_wipe(const LossesPointer& losses) {
  SimulatedCluster& cluster = losses->cluster;
  cluster.world.history("the closing fault");
  const std::vector<Machine*> wiped = oldest_disks(*losses);
  const Duration down = between(cluster.world, milliseconds(500), milliseconds(1500));
  for (auto& machine : cluster.machines) {
    if (!machine->alive()) continue;
    machine->kill(std::find(wiped.begin(), wiped.end(), machine.get()) != wiped.end());
    start_later(*machine, cluster.world, down + between(cluster.world, Duration{}, milliseconds(300)));
  }
  cluster.world.after(down + seconds(8), [&cluster] { read_back(cluster); });
}

// ---- how long it takes until the group bears the next loss

// Seats that bear as many losses at once as the platform allows.
std::size_t seats_needed(const Losses& losses) {
  return losses.tolerance.machines == 1 ? 3 : 2 * losses.tolerance.machines + 1;
}

// Seated: enough seats, and an owner under their roster for every slot. Whole: each seat has all of every slot as well.
enum class Restored { seated, whole };

bool restored(const Losses& losses, Restored wanted) {
  const Roster* roster = nullptr;
  std::map<StorageNodeId, ReplicatedStore*> stores;
  for (Machine* holder : group(losses)) {
    if (!holder->alive() || holder->kept() == nullptr) continue;
    stores[holder->kept()->identity()] = holder->kept();
    if (roster == nullptr || roster->version < holder->kept()->roster().version) roster = &holder->kept()->roster();
  }
  if (roster == nullptr || roster->seats.size() < seats_needed(losses)) return false;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
    Epoch owned, least{UINT64_MAX};
    for (const auto& seat : roster->seats) {
      auto found = stores.find(seat.holder);
      if (found == stores.end()) return false;
      const ReplicatedStore::SlotView view = found->second->slot_view(slot);
      owned = std::max(owned, view.owned);
      least = std::min(least, view.installed);
    }
    if (owned == Epoch{} || (wanted == Restored::whole && least < owned)) return false;
  }
  return true;
}

void measure(const LossesPointer& losses, TimePoint since, Restored wanted, Duration limit) {
  World& world = losses->cluster.world;
  world.after(milliseconds(50), [losses, since, wanted, limit, &world] {
    const std::int64_t took = (world.now() - since).count() / 1000;
    if (!restored(*losses, wanted) && took < 30000) return measure(losses, since, wanted, limit);
    world.write({{"what", "observed"},
                 {"name", std::string(wanted == Restored::seated ? "seated" : "whole") + " after a machine's return"},
                 {"took", took},
                 {"limit", limit.count() / 1000}});
  });
}

// All seats are to be filled before the platform may strike again. Where several may be lost at once they are to stand
// well before that.
void measure_repair(const LossesPointer& losses, TimePoint since) {
  const Duration limit = losses->tolerance.synchronization_time;
  if (losses->tolerance.machines > 1) measure(losses, since, Restored::seated, limit / 2);
  measure(losses, since, Restored::whole, limit);
}

// The strikes one after another, each as soon as the one before no longer counts; then the closing fault.
using Strikes = std::vector<std::function<Duration(const LossesPointer&)>>;  // each tells when its machine is back

void strike_in_turn(const LossesPointer& losses, std::shared_ptr<Strikes> strikes, std::size_t index) {
  World& world = losses->cluster.world;
  if (index == strikes->size()) return close_with_wipe(losses);
  const Duration back = (*strikes)[index](losses);
  const TimePoint returned = world.now() + back;
  if (losses->tolerance.repaired_in_time) world.after(back, [losses, returned] { measure_repair(losses, returned); });
  world.after(back + losses->tolerance.synchronization_time,
              [losses, strikes, index] { strike_in_turn(losses, strikes, index + 1); });
}

// The strikes begin within a second after `first`; until shortly before the load's end the configuration changes.
Scenario strikes_in_turn(std::string name, std::string about, Tolerance tolerance, Duration load, Duration first,
                         Strikes strikes, std::function<void(SimulatedCluster&)> hand_in_lots) {
  Scenario made;
  made.name = std::move(name);
  made.about = std::move(about);
  made.load = load;
  made.settle = seconds(45);
  made.limits = Limits{30000, 400};
  made.closes = made.needs_lots = true;
  auto list = std::make_shared<Strikes>(std::move(strikes));
  made.faults = [tolerance, load, first, list, hand_in_lots](SimulatedCluster& cluster) {
    auto losses = std::make_shared<Losses>(cluster, tolerance);
    hand_in_lots(cluster);
    change_configuration(losses, load - seconds(2));
    cluster.world.after(first + between(cluster.world, Duration{}, seconds(1)),
                        [losses, list] { strike_in_turn(losses, list, 0); });
  };
  return made;
}

Scenario scenario(std::string name, std::string about, Strikes strikes) {
  return strikes_in_turn(std::move(name), std::move(about), Tolerance{}, seconds(26), seconds(4), std::move(strikes),
                         [](SimulatedCluster& cluster) { cluster.shape.lots[0].rate = 6; });
}

Duration wipe_oldest(const LossesPointer& losses) {
  const Duration down = between(losses->cluster.world, milliseconds(500), milliseconds(2000));
  wipe(losses, oldest_disk(*losses), down);
  return down;
}

Duration lose_and_return_zone(const LossesPointer& losses) {
  lose_zone(losses, oldest_disk(*losses).zone, seconds(3));
  return milliseconds(4500);
}

Duration retire_oldest(const LossesPointer& losses) {
  Machine& machine = oldest_disk(*losses);
  add_empty(losses, machine.zone);
  losses->cluster.world.after(losses->tolerance.synchronization_time,
                              [losses, &machine] { retire_then_wipe(losses, machine); });
  return seconds(12);
}

Duration wipe_two_oldest(const LossesPointer& losses) {
  const Duration down = between(losses->cluster.world, milliseconds(500), milliseconds(2000));
  for (Machine* machine : oldest_disks(*losses)) wipe(losses, *machine, down);
  return down;
}

// Lots come in a crowd, then at a pace that leaves the holders time for their repairs.
Scenario two_disks_at_once(std::string name, std::string about, Tolerance tolerance) {
  auto crowd = [](SimulatedCluster& cluster) {
    cluster.shape.lots[0].rate = 12;
    cluster.world.after(seconds(5), [&cluster] { cluster.shape.lots[0].rate = 1; });
  };
  Scenario made = strikes_in_turn(std::move(name), std::move(about), tolerance, seconds(32), seconds(7),
                                  {wipe_two_oldest, wipe_two_oldest, wipe_two_oldest}, crowd);
  made.shape = "storage";
  return made;
}

}  // namespace

std::vector<Scenario> loss_scenarios() {
  auto planned = [](const LossesPointer& losses) {
    return replace_oldest(losses, true);
  };
  auto unplanned = [](const LossesPointer& losses) {
    return replace_oldest(losses, false);
  };
  return {
      scenario("loss-replace-twice", "the oldest machine of a group is lost for good, an empty one comes; twice",
               {unplanned, unplanned}),
      scenario("loss-replace-planned", "the same by plan: the new machine comes first; twice", {planned, planned}),
      scenario("loss-wipe-oldest", "the oldest disks are wiped one after another", {wipe_oldest, wipe_oldest}),
      scenario("loss-zone-then-wipe", "a zone loses power and returns, then a disk is wiped",
               {lose_and_return_zone, wipe_oldest}),
      scenario("loss-retire-wipe-replace",
               "a machine is retired and goes as another's disk is wiped, then the oldest one is replaced",
               {retire_oldest, unplanned}),
      two_disks_at_once(
          "loss-wipe-two",
          "two of the seated disks are wiped at once, again and again, while many megabytes of lots are kept",
          Tolerance{seconds(6), 2}),
      two_disks_at_once("loss-wipe-two-before-repair", "the same, each time before the last two are made good",
                        Tolerance{seconds(2), 2, false}),
  };
}

}  // namespace mothwalk::simulate
