// Control daemons that are cut off, and what every daemon in touch with a majority owes meanwhile: it never serves
// statically, holds a lease, leaves a home without a majority, takes each change within 2 s and sends nothing to an
// evacuated zone after 5 s. The control daemon that is cut off confirms no order and shows no old resource.
#include "simulate/control_scenarios.hpp"

#include <algorithm>

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration watch_interval = milliseconds(20);
constexpr Duration settle_span = milliseconds(1500);   // after a start or a heal, before freshness is owed
constexpr Duration change_bound = milliseconds(2000);  // from an acknowledgement to its effect
constexpr Duration evacuation_bound = milliseconds(5000);
constexpr Duration evacuation_length = seconds(9);
constexpr Duration lapse_bound = milliseconds(500);  // the longest time without a lease
constexpr Duration order_bound = seconds(12);        // from an order's first sending to its acknowledgement
constexpr Duration cut_start = seconds(4);
constexpr Duration cut_length = seconds(12);

enum class Reach { control_daemons, other_zones_too, everything };
enum class Direction { both, outgoing, incoming };

bool keeps_control(const Machine& machine) {
  return machine.has_disk && machine.serves();
}

// One run's cuts, orders and observations. It lives as long as an event of the run refers to it.
class ControlCut : public std::enable_shared_from_this<ControlCut> {
 public:
  explicit ControlCut(SimulatedCluster& cluster) : cluster_(cluster), world_(cluster.world) {}

  void start() { watch(); }

  Machine& pick_control_daemon(const Machine* but = nullptr) {
    std::vector<Machine*> list;
    for (auto& machine : cluster_.machines)
      if (keeps_control(*machine) && machine->alive() && machine.get() != but) list.push_back(machine.get());
    return *list[world_.random.below(list.size())];
  }

  void cut(Machine& victim, Reach reach, Direction direction) {
    world_.history(victim.name + " is cut off from the other control daemons");
    victim.cut_off();
    victims_[&victim] = world_.now();
    for (auto& other : cluster_.machines) {
      const bool meant = reach == Reach::everything || keeps_control(*other) ||
                         (reach == Reach::other_zones_too && other->zone != victim.zone);
      if (other.get() == &victim || !meant) continue;
      if (direction != Direction::incoming) world_.cut(victim.name, other->name);
      if (direction != Direction::outgoing) world_.cut(other->name, victim.name);
    }
  }

  void heal() {
    world_.history("the network is mended");
    world_.mend();
    for (auto& [victim, since] : victims_) victim->joined();
    victims_.clear();
  }

  void cut_for(Duration start, Duration length, Reach reach, Direction direction, Machine& victim) {
    auto self = shared_from_this();
    world_.after(start, [self, reach, direction, &victim] { self->cut(victim, reach, direction); });
    world_.after(start + length, [self] { self->heal(); });
  }

  // Changes of each kind while a cut lasts, and one as it heals.
  void change_during(Duration start, Duration length) {
    auto self = shared_from_this();
    order("lane/dropped", R"({"path":"/dropped","kind":"model"})");
    const std::string zone = cluster_.machines[world_.random.below(cluster_.machines.size())]->zone;
    world_.after(start + random_part(seconds(4)), [self, zone] { self->evacuate(zone); });
    world_.after(start + random_part(length), [self] { self->drop_lane("dropped"); });
    for (int number = 0; number < 3; ++number)
      world_.after(start + random_part(length), [self, number] {
        self->order("lane/extra", R"({"path":"/extra","kind":"model","retries":)" + std::to_string(number) + "}");
      });
    world_.after(start + length - milliseconds(50),
                 [self] { self->order("lane/at-heal", R"({"path":"/at-heal","kind":"model"})"); });
  }

  // The control daemon that is cut off is asked as well: it may neither confirm nor show what is old.
  void ask_victims(Duration start, Duration length) {
    auto self = shared_from_this();
    for (Duration at = start + seconds(2); at < start + length - seconds(1); at += milliseconds(700))
      world_.after(at, [self] {
        for (auto& [victim, since] : self->victims_) {
          self->show_at(*victim);
          self->write_at(*victim);
        }
      });
  }

 private:
  Duration random_part(Duration length) {
    return Duration(static_cast<std::int64_t>(world_.random.below(static_cast<std::size_t>(length.count()))));
  }

  void report(const std::string& what) {
    if (reported_.insert(what).second)
      cluster_.broken.push_back(what + ", first at " + std::to_string(world_.milliseconds()) + " ms");
  }

  void order(
      const std::string& key, const std::string& document, std::function<void(Stamp)> then = [](Stamp) {}) {
    auto done = std::make_shared<bool>(false);
    cluster_.operator_change(key, document, [done, then](Stamp stamp) {
      *done = true;
      then(stamp);
    });
    world_.after(order_bound, [self = shared_from_this(), done, key] {
      if (!*done) self->report("an order was not acknowledged in time: " + key);
    });
  }

  void evacuate(const std::string& zone) {
    order("zone/" + zone, R"({"evacuated":true})", [self = shared_from_this(), zone](Stamp) {
      const std::int64_t acknowledged = self->world_.milliseconds();
      self->world_.after(evacuation_length, [self, zone, acknowledged] {
        self->check_evacuated(zone, acknowledged);
        self->order("zone/" + zone, R"({"evacuated":false})");
      });
    });
  }

  void check_evacuated(const std::string& zone, std::int64_t acknowledged) {
    std::set<std::string> runners;
    for (auto& runner : cluster_.runners)
      if (runner->zone == zone) runners.insert(runner->name);
    for (const auto& line : world_.ledger()) {
      if (line.at("what") != "run" || !runners.contains(std::string(line.at("runner").as_string()))) continue;
      const std::string by(line.at("by").as_string());
      const std::int64_t late = line.at("at").to_number<std::int64_t>() - acknowledged;
      if (Duration(milliseconds(late)) > evacuation_bound && !ever_cut_.contains(by))
        report(by + " sent work to an evacuated zone");
    }
  }

  void drop_lane(const std::string& name) {
    // Who starts from now on may never see the lane.
    std::erase_if(cluster_.acknowledged, [&](const auto& change) { return change.key == "lane/" + name; });
    const std::string path = "/v1/resources/lane/" + name;
    Machine& machine = cluster_.any_alive();
    auto self = shared_from_this();
    auto again = [self, name] {
      self->world_.after(milliseconds(200), [self, name] { self->drop_lane(name); });
    };
    cluster_.control(
        machine, "GET", path, "", [self, &machine, path, name, again](int status, const std::string& text) {
          if (status == 404) return self->dropped_.emplace_back(name, self->world_.now()), void();
          if (status != 200) return again();
          const auto version = std::get<json::value>(parse_json(text)).at("version").to_number<std::uint64_t>();
          self->cluster_.control(machine, "DELETE", path + "?version=" + std::to_string(version), "",
                                 [self, name, again](int status, const std::string&) {
                                   if (status != 200) return again();
                                   self->world_.history("acknowledged: lane/" + name + " is dropped");
                                   self->dropped_.emplace_back(name, self->world_.now());
                                 });
        });
  }

  Version newest(const std::string& key) const {
    Version version;
    for (const auto& change : cluster_.acknowledged)
      if (change.key == key) version = std::max(version, change.stamp.version);
    return version;
  }

  void show_at(Machine& victim) {
    const std::string key = "lane/extra";
    const Version known = newest(key);
    cluster_.control(victim, "GET", "/v1/resources/" + key, "",
                     [self = shared_from_this(), known](int status, const std::string& text) {
                       if (status != 200) return;
                       const auto shown =
                           std::get<json::value>(parse_json(text)).at("version").to_number<std::uint64_t>();
                       if (shown < known.value) self->report("an old resource was shown");
                     });
  }

  void write_at(Machine& victim) {
    const TimePoint asked = world_.now();
    const std::string key = "lane/lonely-" + std::to_string(++lonely_);
    cluster_.control(victim, "PUT", "/v1/resources/" + key + "?version=0", R"({"path":"/lonely","kind":"model"})",
                     [self = shared_from_this(), &victim, asked](int status, const std::string&) {
                       auto cut = self->victims_.find(&victim);
                       const bool whole_time = cut != self->victims_.end() && cut->second <= asked;
                       if (status == 200 && whole_time) self->report("an order was confirmed without a majority");
                     });
  }

  // Whether the machine was left alone for that long.
  bool in_touch_for(const Machine& machine, Duration span) const {
    return machine.alive() && !machine.frozen() && world_.now() - machine.undisturbed_since > span;
  }

  void watch() {
    for (auto& [victim, since] : victims_) ever_cut_.insert(victim->name);
    for (auto& machine : cluster_.machines) check(*machine);
    world_.after(watch_interval, [self = shared_from_this()] { self->watch(); });
  }

  void check(Machine& machine) {
    const TimePoint now = world_.now();
    SharedState& state = machine.shared_state();
    if (!in_touch_for(machine, settle_span)) return void(lapsed_.erase(&machine));
    if (!state.has_lease(now) && state.may_serve_requests(now))
      report(machine.name + " serves statically though in touch");
    if (state.has_lease(now))
      lapsed_.erase(&machine);
    else if (now - lapsed_.try_emplace(&machine, now).first->second > lapse_bound)
      report(machine.name + " finds no lease though in touch");
    for (const auto& [victim, since] : victims_)
      if (state.members.get()->session_server == victim->address && now - since > change_bound)
        report(machine.name + " keeps a home without a majority");
    for (const auto& [lane, when] : dropped_)
      if (now - std::max(when, machine.undisturbed_since) > change_bound &&
          state.configuration.get()->lanes.contains(lane))
        report(machine.name + " knows a dropped lane");
  }

  SimulatedCluster& cluster_;
  World& world_;
  std::map<Machine*, TimePoint> victims_;  // cut off at present, and since when
  std::set<std::string> ever_cut_;
  std::map<Machine*, TimePoint> lapsed_;
  std::vector<std::pair<std::string, TimePoint>> dropped_;
  std::set<std::string> reported_;
  int lonely_ = 0;
};

std::shared_ptr<ControlCut> begin(SimulatedCluster& cluster) {
  auto cut = std::make_shared<ControlCut>(cluster);
  cut->start();
  return cut;
}

void cut_once(SimulatedCluster& cluster, Reach reach, Direction direction) {
  auto run = begin(cluster);
  run->cut_for(cut_start, cut_length, reach, direction, run->pick_control_daemon());
  run->change_during(cut_start, cut_length);
  run->ask_victims(cut_start, cut_length);
}

void cut_two_in_turn(SimulatedCluster& cluster) {
  auto run = begin(cluster);
  Machine& first = run->pick_control_daemon();
  Machine& second = run->pick_control_daemon(&first);
  const Duration half = cut_length / 2;
  run->cut_for(cut_start, half, Reach::other_zones_too, Direction::both, first);
  run->cut_for(cut_start + half + milliseconds(100), half, Reach::other_zones_too, Direction::both, second);
  run->change_during(cut_start, cut_length);
  run->ask_victims(cut_start, half);
}

void cut_with_seeds(SimulatedCluster& cluster) {
  auto run = begin(cluster);
  Machine& victim = run->pick_control_daemon();
  run->cut_for(cut_start, cut_length, Reach::other_zones_too, Direction::both, victim);
  run->change_during(cut_start, cut_length);
  std::erase(cluster.seeds, victim.address);
  cluster.seeds.insert(cluster.seeds.begin(), victim.address);
  cluster.seeds.resize(2);
  cluster.world.after(cut_start + seconds(2), [&cluster] {
    for (auto& machine : cluster.machines) {
      if (machine->has_disk || cluster.world.random.below(2) == 0) continue;
      machine->kill(false);
      cluster.world.after(milliseconds(500), [&machine = *machine] { machine.start(); });
    }
  });
}

void cut_and_heal_often(SimulatedCluster& cluster) {
  constexpr int times = 8;
  constexpr Duration turn = milliseconds(1500), length = milliseconds(900);
  auto run = begin(cluster);
  Machine& victim = run->pick_control_daemon();
  for (int number = 0; number < times; ++number)
    run->cut_for(cut_start + turn * number, length, Reach::other_zones_too, Direction::both, victim);
  run->change_during(cut_start, cut_length);
}

void freeze_homes(SimulatedCluster& cluster) {
  auto run = begin(cluster);
  Machine& victim = run->pick_control_daemon();
  for (int number = 0; number < 3; ++number) {
    cluster.world.after(cut_start + seconds(4) * number, [&victim] { victim.freeze(); });
    cluster.world.after(cut_start + seconds(4) * number + milliseconds(2500), [&victim] { victim.wake(); });
  }
  run->change_during(cut_start, cut_length);
}

}  // namespace

std::vector<Scenario> control_scenarios() {
  const Duration load = seconds(24), settle = seconds(35);
  // What a machine that is cut off has learned of its items is listed when the cut is over.
  const Limits limits{std::chrono::duration_cast<milliseconds>(cut_length).count() + 2000, 80};
  std::vector<Scenario> list;
  auto add = [&](std::string name, std::string about, std::function<void(SimulatedCluster&)> faults) {
    list.push_back(Scenario{std::move(name), std::move(about), std::move(faults), load, settle, limits});
  };
  add("control-cut", "a control daemon is cut from the other control daemons alone, with changes meanwhile",
      [](SimulatedCluster& cluster) { cut_once(cluster, Reach::control_daemons, Direction::both); });
  add("control-cut-near", "a control daemon is cut from the others and from all machines of other zones",
      [](SimulatedCluster& cluster) { cut_once(cluster, Reach::other_zones_too, Direction::both); });
  add("control-cut-all", "a control daemon is cut from all machines",
      [](SimulatedCluster& cluster) { cut_once(cluster, Reach::everything, Direction::both); });
  add("control-cut-unheard", "the other control daemons do not hear a control daemon that hears them",
      [](SimulatedCluster& cluster) { cut_once(cluster, Reach::control_daemons, Direction::outgoing); });
  add("control-cut-deaf", "a control daemon does not hear the others, and they hear it",
      [](SimulatedCluster& cluster) { cut_once(cluster, Reach::control_daemons, Direction::incoming); });
  add("control-cut-in-turn", "two control daemons are cut off one right after the other", cut_two_in_turn);
  add("control-cut-seeds", "new seeds begin with the one that is cut off, and daemons without disks restart",
      cut_with_seeds);
  add("control-cut-flapping", "a control daemon is cut off and joined again eight times", cut_and_heal_often);
  add("control-freeze", "a control daemon freezes and wakes three times", freeze_homes);
  return list;
}

}  // namespace mothwalk::simulate
