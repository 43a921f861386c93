// Control daemons are cut off from the network. Meanwhile every daemon that can reach a majority of them has to hold a
// lease and not serve by its last known configuration alone, leave a session server without a majority, apply each
// change within 2 s, and send nothing to an evacuated zone after 5 s. A control daemon that is cut off must not confirm
// a change or show an outdated resource.
#include "simulate/control_scenarios.hpp"

#include <algorithm>

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration check_interval = milliseconds(20);
// The time that a daemon has to become up to date after a start or a repair of the network.
constexpr Duration settle_time = milliseconds(1500);
constexpr Duration change_bound = milliseconds(2000);  // The limit from the acknowledgement of a change to its effect.
constexpr Duration evacuation_bound = milliseconds(5000);
constexpr Duration evacuation_duration = seconds(9);
// The longest time that a daemon may be without a lease.
constexpr Duration max_time_without_lease = milliseconds(500);
// The limit from the first attempt at a change to its acknowledgement.
constexpr Duration acknowledgement_bound = seconds(12);
constexpr Duration cut_start = seconds(4);
constexpr Duration cut_duration = seconds(12);

// From which machines a control daemon is cut off, and in which direction messages are lost.
enum class CutScope { control_daemons, other_zones_also, all_machines };
enum class CutDirection { both, outgoing, incoming };

bool keeps_control(const Machine& machine) {
  return machine.has_disk && machine.serves();
}

// Schedules the cuts and configuration changes of one run and checks the rules. The scheduled events own it.
class ControlCutRun : public std::enable_shared_from_this<ControlCutRun> {
 public:
  explicit ControlCutRun(SimulatedCluster& cluster) : cluster_(cluster), world_(cluster.world) {}

  void start() { check_periodically(); }

  Machine& pick_control_daemon(const Machine* excluded = nullptr) {
    std::vector<Machine*> list;
    for (auto& machine : cluster_.machines)
      if (keeps_control(*machine) && machine->alive() && machine.get() != excluded) list.push_back(machine.get());
    return *list[world_.random.below(list.size())];
  }

  void cut_off(Machine& victim, CutScope scope, CutDirection direction) {
    world_.log_event(victim.name + " is cut off from the other control daemons");
    victim.mark_cut_off();
    victims_[&victim] = world_.now();
    for (auto& other : cluster_.machines) {
      const bool affected = scope == CutScope::all_machines || keeps_control(*other) ||
                            (scope == CutScope::other_zones_also && other->zone != victim.zone);
      if (other.get() == &victim || !affected) continue;
      if (direction != CutDirection::incoming) world_.partition(victim.name, other->name);
      if (direction != CutDirection::outgoing) world_.partition(other->name, victim.name);
    }
  }

  void heal_network() {
    world_.log_event("the network is mended");
    world_.heal();
    for (auto& [victim, since] : victims_) victim->mark_reconnected();
    victims_.clear();
  }

  void schedule_cut(Duration start, Duration length, CutScope scope, CutDirection direction, Machine& victim) {
    auto self = shared_from_this();
    world_.after(start, [self, scope, direction, &victim] { self->cut_off(victim, scope, direction); });
    world_.after(start + length, [self] { self->heal_network(); });
  }

  // Schedules changes of each kind during a cut, and one 50 ms before the network is repaired.
  void schedule_changes(Duration start, Duration length) {
    auto self = shared_from_this();
    change_resource("lane/dropped", R"({"path":"/dropped","kind":"model"})");
    const std::string zone = cluster_.machines[world_.random.below(cluster_.machines.size())]->zone;
    world_.after(start + random_duration(seconds(4)), [self, zone] { self->evacuate(zone); });
    world_.after(start + random_duration(length), [self] { self->delete_lane("dropped"); });
    for (int number = 0; number < 3; ++number)
      world_.after(start + random_duration(length), [self, number] {
        self->change_resource("lane/extra",
                              R"({"path":"/extra","kind":"model","retries":)" + std::to_string(number) + "}");
      });
    world_.after(start + length - milliseconds(50),
                 [self] { self->change_resource("lane/at-heal", R"({"path":"/at-heal","kind":"model"})"); });
  }

  // Sends reads and writes to the control daemons that are cut off. They must not confirm a write or show an outdated
  // resource.
  void query_victims(Duration start, Duration length) {
    auto self = shared_from_this();
    for (Duration at = start + seconds(2); at < start + length - seconds(1); at += milliseconds(700))
      world_.after(at, [self] {
        for (auto& [victim, since] : self->victims_) {
          self->check_read_at(*victim);
          self->check_write_at(*victim);
        }
      });
  }

 private:
  Duration random_duration(Duration length) {
    return Duration(static_cast<std::int64_t>(world_.random.below(static_cast<std::size_t>(length.count()))));
  }

  void report_violation(const std::string& what) {
    if (reported_violations_.insert(what).second)
      cluster_.broken.push_back(what + ", first at " + std::to_string(world_.milliseconds()) + " ms");
  }

  void change_resource(
      const std::string& key, const std::string& document, std::function<void(Stamp)> then = [](Stamp) {}) {
    auto done = std::make_shared<bool>(false);
    cluster_.operator_change(key, document, [done, then](Stamp stamp) {
      *done = true;
      then(stamp);
    });
    world_.after(acknowledgement_bound, [self = shared_from_this(), done, key] {
      if (!*done) self->report_violation("an order was not acknowledged in time: " + key);
    });
  }

  void evacuate(const std::string& zone) {
    change_resource("zone/" + zone, R"({"evacuated":true})", [self = shared_from_this(), zone](Stamp) {
      const std::int64_t acknowledged = self->world_.milliseconds();
      self->world_.after(evacuation_duration, [self, zone, acknowledged] {
        self->check_evacuated(zone, acknowledged);
        self->change_resource("zone/" + zone, R"({"evacuated":false})");
      });
    });
  }

  void check_evacuated(const std::string& zone, std::int64_t acknowledged) {
    std::set<std::string> runners;
    for (auto& runner : cluster_.runners)
      if (runner->zone == zone) runners.insert(runner->name);
    for (const auto& line : world_.ledger()) {
      if (line.at("what") != "run" || !runners.contains(std::string(line.at("runner").as_string()))) continue;
      const std::string sender(line.at("by").as_string());
      const std::int64_t late = line.at("at").to_number<std::int64_t>() - acknowledged;
      if (Duration(milliseconds(late)) > evacuation_bound && !ever_cut_off_.contains(sender))
        report_violation(sender + " sent work to an evacuated zone");
    }
  }

  void delete_lane(const std::string& name) {
    // A machine that starts from now on may never see the lane, so it is not required to have it.
    std::erase_if(cluster_.acknowledged, [&](const auto& change) { return change.key == "lane/" + name; });
    const std::string path = "/v1/resources/lane/" + name;
    Machine& machine = cluster_.any_alive();
    auto self = shared_from_this();
    auto retry = [self, name] {
      self->world_.after(milliseconds(200), [self, name] { self->delete_lane(name); });
    };
    cluster_.control(
        machine, "GET", path, "", [self, &machine, path, name, retry](int status, const std::string& text) {
          if (status == 404) return self->deleted_lanes_.emplace_back(name, self->world_.now()), void();
          if (status != 200) return retry();
          const auto version = std::get<json::value>(parse_json(text)).at("version").to_number<std::uint64_t>();
          self->cluster_.control(machine, "DELETE", path + "?version=" + std::to_string(version), "",
                                 [self, name, retry](int status, const std::string&) {
                                   if (status != 200) return retry();
                                   self->world_.log_event("acknowledged: lane/" + name + " is dropped");
                                   self->deleted_lanes_.emplace_back(name, self->world_.now());
                                 });
        });
  }

  Version newest(const std::string& key) const {
    Version version;
    for (const auto& change : cluster_.acknowledged)
      if (change.key == key) version = std::max(version, change.stamp.version);
    return version;
  }

  void check_read_at(Machine& victim) {
    const std::string key = "lane/extra";
    const Version acknowledged_version = newest(key);
    cluster_.control(victim, "GET", "/v1/resources/" + key, "",
                     [self = shared_from_this(), acknowledged_version](int status, const std::string& text) {
                       if (status != 200) return;
                       const auto shown =
                           std::get<json::value>(parse_json(text)).at("version").to_number<std::uint64_t>();
                       if (shown < acknowledged_version.value) self->report_violation("an old resource was shown");
                     });
  }

  void check_write_at(Machine& victim) {
    const TimePoint sent_at = world_.now();
    const std::string key = "lane/lonely-" + std::to_string(++write_number_);
    cluster_.control(victim, "PUT", "/v1/resources/" + key + "?version=0", R"({"path":"/lonely","kind":"model"})",
                     [self = shared_from_this(), &victim, sent_at](int status, const std::string&) {
                       auto found = self->victims_.find(&victim);
                       const bool cut_throughout = found != self->victims_.end() && found->second <= sent_at;
                       if (status == 200 && cut_throughout)
                         self->report_violation("an order was confirmed without a majority");
                     });
  }

  // Whether the machine is alive and has not been disturbed for the given time.
  bool undisturbed_for(const Machine& machine, Duration duration) const {
    return machine.alive() && !machine.suspended() && world_.now() - machine.undisturbed_since > duration;
  }

  void check_periodically() {
    for (auto& [victim, since] : victims_) ever_cut_off_.insert(victim->name);
    for (auto& machine : cluster_.machines) check(*machine);
    world_.after(check_interval, [self = shared_from_this()] { self->check_periodically(); });
  }

  void check(Machine& machine) {
    const TimePoint now = world_.now();
    SharedState& state = machine.shared_state();
    if (!undisturbed_for(machine, settle_time)) return void(lease_missing_since_.erase(&machine));
    if (!state.has_lease(now) && state.may_serve_requests(now))
      report_violation(machine.name + " serves statically though in touch");
    if (state.has_lease(now))
      lease_missing_since_.erase(&machine);
    else if (now - lease_missing_since_.try_emplace(&machine, now).first->second > max_time_without_lease)
      report_violation(machine.name + " finds no lease though in touch");
    for (const auto& [victim, since] : victims_)
      if (state.members.get()->session_server == victim->address && now - since > change_bound)
        report_violation(machine.name + " keeps a home without a majority");
    for (const auto& [lane, when] : deleted_lanes_)
      if (now - std::max(when, machine.undisturbed_since) > change_bound &&
          state.configuration.get()->lanes.contains(lane))
        report_violation(machine.name + " knows a dropped lane");
  }

  SimulatedCluster& cluster_;
  World& world_;
  std::map<Machine*, TimePoint> victims_;  // The machines that are cut off now, and since when.
  std::set<std::string> ever_cut_off_;
  std::map<Machine*, TimePoint> lease_missing_since_;
  std::vector<std::pair<std::string, TimePoint>> deleted_lanes_;
  std::set<std::string> reported_violations_;
  int write_number_ = 0;
};

std::shared_ptr<ControlCutRun> start_run(SimulatedCluster& cluster) {
  auto cut = std::make_shared<ControlCutRun>(cluster);
  cut->start();
  return cut;
}

void cut_once(SimulatedCluster& cluster, CutScope scope, CutDirection direction) {
  auto run = start_run(cluster);
  run->schedule_cut(cut_start, cut_duration, scope, direction, run->pick_control_daemon());
  run->schedule_changes(cut_start, cut_duration);
  run->query_victims(cut_start, cut_duration);
}

void cut_two_one_after_the_other(SimulatedCluster& cluster) {
  auto run = start_run(cluster);
  Machine& first = run->pick_control_daemon();
  Machine& second = run->pick_control_daemon(&first);
  const Duration half = cut_duration / 2;
  run->schedule_cut(cut_start, half, CutScope::other_zones_also, CutDirection::both, first);
  run->schedule_cut(cut_start + half + milliseconds(100), half, CutScope::other_zones_also, CutDirection::both, second);
  run->schedule_changes(cut_start, cut_duration);
  run->query_victims(cut_start, half);
}

void cut_with_seeds(SimulatedCluster& cluster) {
  auto run = start_run(cluster);
  Machine& victim = run->pick_control_daemon();
  run->schedule_cut(cut_start, cut_duration, CutScope::other_zones_also, CutDirection::both, victim);
  run->schedule_changes(cut_start, cut_duration);
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

void cut_repeatedly(SimulatedCluster& cluster) {
  constexpr int times = 8;
  constexpr Duration turn = milliseconds(1500), length = milliseconds(900);
  auto run = start_run(cluster);
  Machine& victim = run->pick_control_daemon();
  for (int number = 0; number < times; ++number)
    run->schedule_cut(cut_start + turn * number, length, CutScope::other_zones_also, CutDirection::both, victim);
  run->schedule_changes(cut_start, cut_duration);
}

void freeze_session_server(SimulatedCluster& cluster) {
  auto run = start_run(cluster);
  Machine& victim = run->pick_control_daemon();
  for (int number = 0; number < 3; ++number) {
    cluster.world.after(cut_start + seconds(4) * number, [&victim] { victim.suspend(); });
    cluster.world.after(cut_start + seconds(4) * number + milliseconds(2500), [&victim] { victim.resume(); });
  }
  run->schedule_changes(cut_start, cut_duration);
}

}  // namespace

std::vector<Scenario> control_scenarios() {
  const Duration load = seconds(24), settle = seconds(35);
  // Results that a machine received while it was cut off are listed after the cut, so the limit exceeds its duration.
  const Limits limits{std::chrono::duration_cast<milliseconds>(cut_duration).count() + 2000, 80};
  std::vector<Scenario> list;
  auto add = [&](std::string name, std::string description, std::function<void(SimulatedCluster&)> faults) {
    list.push_back(Scenario{std::move(name), std::move(description), std::move(faults), load, settle, limits});
  };
  add("control-cut", "a control daemon is cut off from the other control daemons only, during configuration changes",
      [](SimulatedCluster& cluster) { cut_once(cluster, CutScope::control_daemons, CutDirection::both); });
  add("control-cut-near", "a control daemon is cut off from the others and from all machines of other zones",
      [](SimulatedCluster& cluster) { cut_once(cluster, CutScope::other_zones_also, CutDirection::both); });
  add("control-cut-all", "a control daemon is cut off from all machines",
      [](SimulatedCluster& cluster) { cut_once(cluster, CutScope::all_machines, CutDirection::both); });
  add("control-cut-unheard", "the messages from one control daemon to the others are lost, but not those to it",
      [](SimulatedCluster& cluster) { cut_once(cluster, CutScope::control_daemons, CutDirection::outgoing); });
  add("control-cut-deaf", "the messages to one control daemon from the others are lost, but not those from it",
      [](SimulatedCluster& cluster) { cut_once(cluster, CutScope::control_daemons, CutDirection::incoming); });
  add("control-cut-in-turn", "two control daemons are cut off one right after the other", cut_two_one_after_the_other);
  add("control-cut-seeds",
      "the first seed address is that of a control daemon that is cut off, and daemons without disks restart",
      cut_with_seeds);
  add("control-cut-flapping", "a control daemon is cut off and reconnected eight times", cut_repeatedly);
  add("control-freeze", "a control daemon is suspended and resumed three times", freeze_session_server);
  return list;
}

}  // namespace mothwalk::simulate
