// Defines the shapes and generates random schedules for them.
#include "model/shapes.hpp"

namespace mothwalk::model {

namespace {

std::vector<MachineSetup> machines_with_three_voters(const std::string& keeps, bool with_standby) {
  std::vector<MachineSetup> machines = {
      {"a", "one", true, keeps}, {"b", "two", true, keeps}, {"c", "three", true, keeps}};
  if (with_standby) machines.push_back({"d", "one", true, keeps});
  machines.push_back({"e", "one", false, {}});
  return machines;
}

Shape base_shape(std::string name, std::string about, bool with_standby) {
  Shape shape;
  shape.name = std::move(name);
  shape.about = std::move(about);
  shape.machines = machines_with_three_voters("control", with_standby);
  shape.voters = {"a", "b", "c"};
  shape.seeds = {"a", "b", "c"};
  shape.operators = {{{Step::show, Step::change, Step::put, Step::change}}, {{Step::change, Step::get, Step::show}}};
  return shape;
}

std::vector<Deviation> partition_machine(const std::string& machine, std::int64_t at, std::int64_t length) {
  return {{DeviationKind::partition, machine + ">*", at, length, 0},
          {DeviationKind::partition, "*>" + machine, at, length, 0}};
}

// A partition in which the daemon without a disk (e) reaches only its session server (a), and a reaches no other voter.
std::vector<Deviation> session_server_partition(std::int64_t at, std::int64_t length) {
  std::vector<Deviation> partitions;
  for (const std::string pair : {"a>b", "a>c", "b>a", "c>a", "e>b", "e>c", "b>e", "c>e"})
    partitions.push_back({DeviationKind::partition, pair, at, length, 0});
  return partitions;
}

// The voters are ordered per slot by their preference as its owner. Returns the machine at the given position of the
// order for the key's slot, in the initial roster.
std::string nth_owner_candidate(const Shape& shape, StringView key, std::size_t position) {
  const Roster roster = first_roster(shape.machines, shape.voters);
  return slot_order(roster, slot_of(key)).at(position)->name;
}

std::vector<Shape> make_shapes() {
  std::vector<Shape> all;
  all.push_back(base_shape("steady", "three voters, two operators", false));

  Shape takeover =
      base_shape("hand-over", "an owner crashes and restarts while two operators change the configuration", false);
  takeover.deviations = {{DeviationKind::crash, "b", 2200, 1500, 1}};
  takeover.exhaustive_from = 2400;
  all.push_back(std::move(takeover));

  Shape roster = base_shape("roster-change",
                            "a standby becomes a voter while a voter is partitioned, and a disk is wiped later", true);
  roster.deviations = partition_machine("a", 2600, 2500);
  roster.deviations.push_back({DeviationKind::wipe, "c", 4200, 700, 0});
  roster.exhaustive_from = 1500;
  all.push_back(std::move(roster));

  Shape founding =
      base_shape("founding", "four machines with empty data folders and three seeds found one roster", true);
  founding.voters = {};
  founding.seeds = {"a", "b", "e"};
  founding.deviations_from = 0;
  founding.deviations_until = 4500;
  for (auto& plan : founding.operators) plan.begin = 4500;
  founding.faults_end_at = 8000;
  founding.exhaustive_from = 0;
  founding.must_recover = false;
  all.push_back(std::move(founding));

  Shape session_server =
      base_shape("home-cut", "the session server of a daemon is partitioned from the other voters", false);
  session_server.deviations = session_server_partition(2200, 3800);
  session_server.exhaustive_from = 2400;
  all.push_back(std::move(session_server));

  Shape suspended = base_shape("frozen-caller", "a voter is suspended while another one restarts", false);
  suspended.deviations = {{DeviationKind::suspend, "c", 1500, 2600, 0}, {DeviationKind::crash, "a", 2000, 400, 0}};
  suspended.exhaustive_from = 3000;
  all.push_back(std::move(suspended));

  Shape removal =
      base_shape("removal", "a removed lot is dropped by a transfer of records while a voter is unreachable", false);
  removal.machines = machines_with_three_voters("", false);
  removal.operators = {
      {{Step::put_lot}, 1300, false}, {{Step::remove_lot}, 3700, false}, {{Step::get_lot}, 1400, true}};
  removal.deviations = partition_machine(nth_owner_candidate(removal, lot_register, 0), 2000, 3600);
  removal.deviations.push_back({DeviationKind::crash, nth_owner_candidate(removal, lot_register, 1), 4300, 300, 1});
  all.push_back(std::move(removal));
  return all;
}

std::string machine_of(const Shape& shape, simulate::SeededRandom& random, bool with_disk) {
  for (;;) {
    const auto& machine = shape.machines[random.below(shape.machines.size())];
    if (machine.has_disk || !with_disk) return machine.name;
  }
}

Deviation random_deviation(const Shape& shape, simulate::SeededRandom& random, bool may_wipe) {
  Deviation deviation;
  const auto window = static_cast<std::size_t>(shape.deviations_until - shape.deviations_from);
  deviation.at = shape.deviations_from + static_cast<std::int64_t>(random.below(window));
  deviation.length = 100 + static_cast<std::int64_t>(random.below(random.below(3) == 0 ? 4000 : 1200));
  deviation.mask = (1u << random.below(8)) - 1;  // The first writes of the sync in progress, up to 7, reach the disk.
  const std::size_t draw = random.below(may_wipe ? 11 : 10);
  deviation.kind = draw < 4    ? DeviationKind::crash
                   : draw < 6  ? DeviationKind::suspend
                   : draw < 9  ? DeviationKind::partition
                   : draw < 10 ? DeviationKind::slow_disk
                               : DeviationKind::wipe;
  const bool needs_disk = deviation.kind == DeviationKind::slow_disk || deviation.kind == DeviationKind::wipe;
  deviation.target = machine_of(shape, random, needs_disk);
  if (deviation.kind == DeviationKind::partition) {
    const std::string other = random.below(3) == 0 ? "*" : machine_of(shape, random, false);
    deviation.target = random.below(2) == 0 ? deviation.target + ">" + other : other + ">" + deviation.target;
  }
  return deviation;
}

}  // namespace

const std::vector<Shape>& shapes() {
  static const std::vector<Shape> all = make_shapes();
  return all;
}

const Shape* shape_named(const std::string& name) {
  for (const auto& shape : shapes())
    if (shape.name == name) return &shape;
  return nullptr;
}

Schedule random_schedule(const Shape& shape, std::uint64_t seed) {
  constexpr std::uint32_t lose_rates[] = {0, 0, 3, 15}, delay_rates[] = {0, 5, 20, 60};
  simulate::SeededRandom random(seed * 7919 + 13);
  Schedule schedule;
  schedule.shape = shape.name;
  schedule.latency_seed = seed;
  schedule.lose_permille = lose_rates[random.below(4)];
  schedule.delay_permille = delay_rates[random.below(4)];
  schedule.deviations = shape.deviations;
  bool has_wipe = false;
  for (const auto& each : shape.deviations) has_wipe = has_wipe || each.kind == DeviationKind::wipe;
  for (std::size_t count = random.below(5); count > 0; --count) {
    schedule.deviations.push_back(random_deviation(shape, random, !has_wipe));
    has_wipe = has_wipe || schedule.deviations.back().kind == DeviationKind::wipe;
  }
  return schedule;
}

}  // namespace mothwalk::model
