// The shapes, and random schedules on them.
#include "model/shapes.hpp"

namespace mothwalk::model {

namespace {

std::vector<MachineSetup> three_seats(const std::string& keeps, bool spare) {
  std::vector<MachineSetup> machines = {
      {"a", "one", true, keeps}, {"b", "two", true, keeps}, {"c", "three", true, keeps}};
  if (spare) machines.push_back({"d", "one", true, keeps});
  machines.push_back({"e", "one", false, {}});
  return machines;
}

Shape base_shape(std::string name, std::string about, bool spare) {
  Shape shape;
  shape.name = std::move(name);
  shape.about = std::move(about);
  shape.machines = three_seats("control", spare);
  shape.seats = {"a", "b", "c"};
  shape.seeds = {"a", "b", "c"};
  shape.operators = {{{Step::show, Step::change, Step::put, Step::change}}, {{Step::change, Step::get, Step::show}}};
  return shape;
}

std::vector<Deviation> cut_both_ways(const std::string& machine, std::int64_t at, std::int64_t length) {
  return {{DeviationKind::cut, machine + ">*", at, length, 0}, {DeviationKind::cut, "*>" + machine, at, length, 0}};
}

// The cut leaves the daemon without a disk in touch with its home alone.
std::vector<Deviation> home_cut(std::int64_t at, std::int64_t length) {
  std::vector<Deviation> cuts;
  for (const std::string pair : {"a>b", "a>c", "b>a", "c>a", "e>b", "e>c", "b>e", "c>e"})
    cuts.push_back({DeviationKind::cut, pair, at, length, 0});
  return cuts;
}

// The machine that is the n-th in the order of a key's slot among the seats that the shape begins with.
std::string owner_in_order(const Shape& shape, StringView key, std::size_t place) {
  const Roster roster = first_roster(shape.machines, shape.seats);
  return slot_order(roster, slot_of(key)).at(place)->name;
}

std::vector<Shape> make_shapes() {
  std::vector<Shape> all;
  all.push_back(base_shape("steady", "three seats, two operators", false));

  Shape hand_over = base_shape("hand-over", "an owner crashes and returns while two operators change", false);
  hand_over.trouble = {{DeviationKind::crash, "b", 2200, 1500, 1}};
  hand_over.point = 2400;
  all.push_back(std::move(hand_over));

  Shape roster =
      base_shape("roster-change", "a spare is seated while a seat is cut off, and a disk is wiped later", true);
  roster.trouble = cut_both_ways("a", 2600, 2500);
  roster.trouble.push_back({DeviationKind::wipe, "c", 4200, 700, 0});
  roster.point = 1500;
  all.push_back(std::move(roster));

  Shape founding = base_shape("founding", "four empty folders and three seeds found one roster", true);
  founding.seats = {};
  founding.seeds = {"a", "b", "e"};
  founding.trouble_from = 0;
  founding.trouble_until = 4500;
  for (auto& plan : founding.operators) plan.begin = 4500;
  founding.heal_at = 8000;
  founding.point = 0;
  founding.must_recover = false;
  all.push_back(std::move(founding));

  Shape home = base_shape("home-cut", "the home of a daemon is cut off from the other seats", false);
  home.trouble = home_cut(2200, 3800);
  home.point = 2400;
  all.push_back(std::move(home));

  Shape frozen = base_shape("frozen-caller", "a seat stands still while another one starts again", false);
  frozen.trouble = {{DeviationKind::freeze, "c", 1500, 2600, 0}, {DeviationKind::crash, "a", 2000, 400, 0}};
  frozen.point = 3000;
  all.push_back(std::move(frozen));

  Shape removal = base_shape("removal", "a removed lot is forgotten by a hand-over while a seat is away", false);
  removal.machines = three_seats("", false);
  removal.operators = {
      {{Step::put_lot}, 1300, false}, {{Step::remove_lot}, 3700, false}, {{Step::get_lot}, 1400, true}};
  removal.trouble = cut_both_ways(owner_in_order(removal, lot_register, 0), 2000, 3600);
  removal.trouble.push_back({DeviationKind::crash, owner_in_order(removal, lot_register, 1), 4300, 300, 1});
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
  const auto window = static_cast<std::size_t>(shape.trouble_until - shape.trouble_from);
  deviation.at = shape.trouble_from + static_cast<std::int64_t>(random.below(window));
  deviation.length = 100 + static_cast<std::int64_t>(random.below(random.below(3) == 0 ? 4000 : 1200));
  deviation.mask = (1u << random.below(8)) - 1;  // so many orders of the sync under way reach the disk
  const std::size_t draw = random.below(may_wipe ? 11 : 10);
  deviation.kind = draw < 4    ? DeviationKind::crash
                   : draw < 6  ? DeviationKind::freeze
                   : draw < 9  ? DeviationKind::cut
                   : draw < 10 ? DeviationKind::slow
                               : DeviationKind::wipe;
  const bool needs_disk = deviation.kind == DeviationKind::slow || deviation.kind == DeviationKind::wipe;
  deviation.target = machine_of(shape, random, needs_disk);
  if (deviation.kind == DeviationKind::cut) {
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
  schedule.deviations = shape.trouble;
  bool wiped = false;
  for (const auto& each : shape.trouble) wiped = wiped || each.kind == DeviationKind::wipe;
  for (std::size_t count = random.below(5); count > 0; --count) {
    schedule.deviations.push_back(random_deviation(shape, random, !wiped));
    wiped = wiped || schedule.deviations.back().kind == DeviationKind::wipe;
  }
  return schedule;
}

}  // namespace mothwalk::model
