// A long history of changes, and what must hold of a holder that comes back after it.
#include "simulate/history_scenarios.hpp"

#include <algorithm>

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int routes = 120, changes = 500;
constexpr Duration catch_up_bound = milliseconds(2000);  // after a holder is in touch again
constexpr Duration start_bound = milliseconds(6000);     // for a start until it serves
constexpr int writers = 4;                               // operators that change routes at the same time

// Makes the changes, each operator the next one once its last is acknowledged, and remembers the newest of each key.
class ChangeHistory : public std::enable_shared_from_this<ChangeHistory> {
 public:
  explicit ChangeHistory(SimulatedCluster& cluster) : cluster_(cluster) {}

  void begin(std::function<void()> half_way, std::function<void()> over) {
    half_way_ = std::move(half_way);
    over_ = std::move(over);
    for (int writer = 0; writer < writers; ++writer) next();
  }

  // The machine must have, within the bound, every change that was acknowledged before now.
  void expect_caught_up(Machine& machine) {
    const std::int64_t began = cluster_.world.milliseconds();
    wait_for(machine, newest_, cluster_.world.now() + start_bound, TimePoint{}, began);
  }

  // What the owners answer must be no older than what was acknowledged.
  void expect_newest_answered() {
    for (const auto& [key, stamp] : newest_)
      cluster_.control(cluster_.any_alive(), "GET", "/v1/resources/" + key, "",
                       [self = shared_from_this(), key = key, stamp = stamp](int status, const std::string& text) {
                         self->compare(key, stamp, status, text);
                       });
  }

 private:
  void next() {
    if (made_ == changes) return;
    const int number = made_++;
    if (number == changes / 2) half_way_();
    const std::string key = "lane/history-" + std::to_string(number % routes);
    const std::string document = R"({"path":"/history/)" + std::to_string(number % routes) +
                                 R"(","kind":"model","retries":)" + std::to_string(number / routes) + "}";
    cluster_.apply(key, document, [self = shared_from_this(), key](Stamp stamp) {
      Stamp& newest = self->newest_[key];
      newest = std::max(newest, stamp);
      if (++self->acknowledged_ == changes) return self->over_();
      self->next();
    });
  }

  bool has_all(Machine& machine, const std::map<std::string, Stamp>& wanted) const {
    const auto configuration = machine.shared_state().configuration.get();
    return std::all_of(wanted.begin(), wanted.end(), [&](const auto& change) {
      auto found = configuration->lanes.find(change.first.substr(change.first.find('/') + 1));
      return found != configuration->lanes.end() && found->second.stamp >= change.second;
    });
  }

  void wait_for(Machine& machine, std::map<std::string, Stamp> wanted, TimePoint until, TimePoint in_touch,
                std::int64_t began) {
    World& world = cluster_.world;
    if (!machine.alive()) return;  // a closing fault
    if (in_touch == TimePoint{} && machine.shared_state().has_lease(world.now())) {
      in_touch = world.now();
      until = in_touch + catch_up_bound;
    }
    if (in_touch != TimePoint{} && has_all(machine, wanted))
      return world.write({{"what", "observed"},
                          {"name", "a holder has caught up"},
                          {"took", world.milliseconds() - began},
                          {"limit", (start_bound + catch_up_bound).count() / 1000}});
    if (world.now() >= until)
      return cluster_.broken.push_back(machine.name +
                                       (in_touch == TimePoint{} ? " does not serve" : " has not caught up") + " " +
                                       std::to_string(world.milliseconds() - began) + " ms after its return");
    world.after(milliseconds(20), [self = shared_from_this(), &machine, wanted = std::move(wanted), until, in_touch,
                                   began] { self->wait_for(machine, wanted, until, in_touch, began); });
  }

  void compare(const std::string& key, Stamp stamp, int status, const std::string& text) {
    if (status == 404) return cluster_.broken.push_back(key + " is gone, though acknowledged");
    if (status != 200) return;
    const json::value reply = std::get<json::value>(parse_json(text));
    if (reply.at("version").to_number<std::uint64_t>() < stamp.version.value)
      cluster_.broken.push_back("an owner leads with an old " + key);
  }

  SimulatedCluster& cluster_;
  std::function<void()> half_way_, over_;
  std::map<std::string, Stamp> newest_;
  int made_ = 0, acknowledged_ = 0;
};

Machine& control_holder(SimulatedCluster& cluster) {
  std::vector<Machine*> list;
  for (Machine* holder : cluster.holders())
    if (holder->serves()) list.push_back(holder);
  return *list[cluster.world.random.below(list.size())];
}

Machine* owner_of(SimulatedCluster& cluster, const std::string& key) {
  for (Machine* holder : cluster.holders())
    if (holder->alive() && !holder->frozen() && holder->serves() &&
        holder->shared_state().owned.get()->slots.contains(slot_of(key)))
      return holder;
  return nullptr;
}

using Disturb = std::function<void(SimulatedCluster&, Machine&)>;

// Something is done to a holder, all changes are made, it is undone, and the holder must catch up. `after` comes right
// after the undoing.
void disturbed(SimulatedCluster& cluster, Disturb disturb, Disturb half_way, Disturb undo, Disturb after) {
  auto owned = std::make_shared<ChangeHistory>(cluster);
  ChangeHistory* history = owned.get();
  // An event that is never reached owns it: its own callbacks refer to it, and may not own it as well.
  cluster.world.after(std::chrono::hours(24), [owned] {});
  Machine& machine = control_holder(cluster);
  cluster.world.after(seconds(1), [&cluster, history, &machine, disturb, half_way, undo, after] {
    disturb(cluster, machine);
    history->begin([&cluster, &machine, half_way] { half_way(cluster, machine); },
                   [&cluster, history, &machine, undo, after] {
                     cluster.world.history("the changes are made");
                     undo(cluster, machine);
                     history->expect_caught_up(machine);
                     after(cluster, machine);
                     cluster.world.after(seconds(10), [history] { history->expect_newest_answered(); });
                   });
  });
}

void nothing(SimulatedCluster&, Machine&) {}

void kill(SimulatedCluster&, Machine& machine) {
  machine.kill(false);
}

void start(SimulatedCluster&, Machine& machine) {
  if (!machine.alive()) machine.start();
}

// The owner of one of the keys dies as soon as the machine holds state again, so that the machine is among the few that
// may own it next.
void kill_owner(SimulatedCluster& cluster, Machine& machine) {
  Machine* owner = owner_of(cluster, "lane/history-1");
  if (owner == nullptr || owner == &machine) return;
  owner->kill(false);
  cluster.world.after(seconds(3), [owner] {
    if (!owner->alive()) owner->start();
  });
}

// All holders lose power and return together: nobody can bring the one that was away up to date before it owns keys, so
// only the promises of the others do.
void restart_all(SimulatedCluster& cluster, Machine&) {
  for (Machine* holder : cluster.holders()) holder->kill(false);
  for (Machine* holder : cluster.holders())
    if (!holder->alive()) holder->start();
}

void room_again(SimulatedCluster& cluster, Machine& machine) {
  if (!machine.shared_state().owned.get()->slots.empty())
    cluster.broken.push_back("a holder with a full disk still owns keys: " + machine.name);
  machine.disk().set_failing(false);
}

void kill_owner_soon(SimulatedCluster& cluster, Machine& machine) {
  cluster.world.after(milliseconds(1200), [&cluster, &machine] { kill_owner(cluster, machine); });
}

}  // namespace

std::vector<Scenario> history_scenarios() {
  const Limits limits{5000, 80};
  std::vector<Scenario> list;
  auto add = [&](std::string name, std::string about, Disturb disturb, Disturb half_way, Disturb undo, Disturb after) {
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.about = std::move(about);
    scenario.faults = [disturb, half_way, undo, after](SimulatedCluster& cluster) {
      disturbed(cluster, disturb, half_way, undo, after);
    };
    scenario.load = seconds(24);
    scenario.limits = limits;
    list.push_back(std::move(scenario));
  };
  add("history-away", "500 changes while a holder is down", kill, nothing, start, nothing);
  add(
      "history-frozen", "500 changes while a holder is frozen",
      [](SimulatedCluster&, Machine& machine) { machine.freeze(); }, nothing,
      [](SimulatedCluster&, Machine& machine) { machine.wake(); }, nothing);
  add(
      "history-slow-disk", "500 changes while a holder's disk is 30 times as slow, then it is killed and returns",
      [](SimulatedCluster&, Machine& machine) { machine.disk().sync_time = milliseconds(60); }, nothing,
      [](SimulatedCluster&, Machine& machine) {
        machine.kill(false);
        machine.disk().sync_time = std::chrono::microseconds(400);
        machine.start();
      },
      nothing);
  add("history-owner-killed", "500 changes while a holder is down, and an owner dies in the middle", kill, kill_owner,
      start, nothing);
  add("history-owner-soon", "500 changes while a holder is down; an owner dies right after it is back", kill, nothing,
      start, kill_owner_soon);
  add("history-owner-at-once", "500 changes while a holder is down; all others lose power and all return together",
      kill, nothing, restart_all, nothing);
  add(
      "history-full-disk", "500 changes while a holder's disk takes nothing more",
      [](SimulatedCluster&, Machine& machine) { machine.disk().set_failing(true); }, nothing, room_again,
      kill_owner_soon);
  return list;
}

}  // namespace mothwalk::simulate
