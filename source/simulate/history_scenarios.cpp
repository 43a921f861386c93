// A long sequence of configuration changes, and the checks on a storage node that returns after it.
#include "simulate/history_scenarios.hpp"

#include <algorithm>

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The changes are spread over the lanes in turn.
constexpr int lane_count = 120, change_count = 500;
// The limit for a storage node to catch up once it holds a lease again.
constexpr Duration catch_up_bound = milliseconds(2000);
// The limit from the start of a storage node until it holds a lease.
constexpr Duration start_bound = milliseconds(6000);
constexpr int operator_count = 4;  // The number of operators that change lanes concurrently.

// Makes the changes and records the newest acknowledged stamp of each key. Each operator starts its next change when
// its previous one is acknowledged.
class ChangeHistory : public std::enable_shared_from_this<ChangeHistory> {
 public:
  explicit ChangeHistory(SimulatedCluster& cluster) : cluster_(cluster) {}

  void start_changes(std::function<void()> on_half_way, std::function<void()> on_finished) {
    on_half_way_ = std::move(on_half_way);
    on_finished_ = std::move(on_finished);
    for (int index = 0; index < operator_count; ++index) make_next_change();
  }

  // Checks that the machine has every change that is acknowledged by now within the limit.
  void expect_caught_up(Machine& machine) {
    const std::int64_t started_at = cluster_.world.milliseconds();
    wait_for(machine, newest_, cluster_.world.now() + start_bound, TimePoint{}, started_at);
  }

  // Checks that the owners return no version older than the acknowledged one.
  void expect_newest_answered() {
    for (const auto& [key, stamp] : newest_)
      cluster_.control(cluster_.any_alive(), "GET", "/v1/resources/" + key, "",
                       [self = shared_from_this(), key = key, stamp = stamp](int status, const std::string& text) {
                         self->check_reply(key, stamp, status, text);
                       });
  }

 private:
  void make_next_change() {
    if (started_ == change_count) return;
    const int number = started_++;
    if (number == change_count / 2) on_half_way_();
    const std::string key = "lane/history-" + std::to_string(number % lane_count);
    const std::string document = R"({"path":"/history/)" + std::to_string(number % lane_count) +
                                 R"(","kind":"model","retries":)" + std::to_string(number / lane_count) + "}";
    cluster_.apply(key, document, [self = shared_from_this(), key](Stamp stamp) {
      Stamp& newest = self->newest_[key];
      newest = std::max(newest, stamp);
      if (++self->acknowledged_ == change_count) return self->on_finished_();
      self->make_next_change();
    });
  }

  bool has_all(Machine& machine, const std::map<std::string, Stamp>& required) const {
    const auto configuration = machine.shared_state().configuration.get();
    return std::all_of(required.begin(), required.end(), [&](const auto& change) {
      auto found = configuration->lanes.find(change.first.substr(change.first.find('/') + 1));
      return found != configuration->lanes.end() && found->second.stamp >= change.second;
    });
  }

  void wait_for(Machine& machine, std::map<std::string, Stamp> required, TimePoint deadline, TimePoint connected_since,
                std::int64_t started_at) {
    World& world = cluster_.world;
    if (!machine.alive()) return;  // The closing fault has killed the machine.
    if (connected_since == TimePoint{} && machine.shared_state().has_lease(world.now())) {
      connected_since = world.now();
      deadline = connected_since + catch_up_bound;
    }
    if (connected_since != TimePoint{} && has_all(machine, required))
      return world.write_ledger({{"what", "observed"},
                                 {"name", "a holder has caught up"},
                                 {"took", world.milliseconds() - started_at},
                                 {"limit", (start_bound + catch_up_bound).count() / 1000}});
    if (world.now() >= deadline)
      return cluster_.broken.push_back(
          machine.name + (connected_since == TimePoint{} ? " does not serve" : " has not caught up") + " " +
          std::to_string(world.milliseconds() - started_at) + " ms after its return");
    world.after(milliseconds(20),
                [self = shared_from_this(), &machine, required = std::move(required), deadline, connected_since,
                 started_at] { self->wait_for(machine, required, deadline, connected_since, started_at); });
  }

  void check_reply(const std::string& key, Stamp stamp, int status, const std::string& text) {
    if (status == 404) return cluster_.broken.push_back(key + " is gone, though acknowledged");
    if (status != 200) return;
    const json::value reply = std::get<json::value>(parse_json(text));
    if (reply.at("version").to_number<std::uint64_t>() < stamp.version.value)
      cluster_.broken.push_back("an owner leads with an old " + key);
  }

  SimulatedCluster& cluster_;
  std::function<void()> on_half_way_, on_finished_;
  std::map<std::string, Stamp> newest_;
  int started_ = 0, acknowledged_ = 0;
};

Machine& pick_control_storage_node(SimulatedCluster& cluster) {
  std::vector<Machine*> list;
  for (Machine* node : cluster.storage_nodes())
    if (node->serves()) list.push_back(node);
  return *list[cluster.world.random.below(list.size())];
}

Machine* owner_of(SimulatedCluster& cluster, const std::string& key) {
  for (Machine* node : cluster.storage_nodes())
    if (node->alive() && !node->suspended() && node->serves() &&
        node->shared_state().owned.get()->slots.contains(slot_of(key)))
      return node;
  return nullptr;
}

using Action = std::function<void(SimulatedCluster&, Machine&)>;

// Disturbs a storage node with `begin_outage`, makes all changes, ends the outage and checks that the node catches up.
// `after_outage` is called right after the end of the outage.
void run_with_outage(SimulatedCluster& cluster, Action begin_outage, Action on_half_way, Action end_outage,
                     Action after_outage) {
  auto keep_alive = std::make_shared<ChangeHistory>(cluster);
  ChangeHistory* history = keep_alive.get();
  // An event that is never reached owns the history. Its own callbacks must not own it, because that would be a
  // reference cycle.
  cluster.world.after(std::chrono::hours(24), [keep_alive] {});
  Machine& machine = pick_control_storage_node(cluster);
  cluster.world.after(seconds(1), [&cluster, history, &machine, begin_outage, on_half_way, end_outage, after_outage] {
    begin_outage(cluster, machine);
    history->start_changes([&cluster, &machine, on_half_way] { on_half_way(cluster, machine); },
                           [&cluster, history, &machine, end_outage, after_outage] {
                             cluster.world.log_event("the changes are made");
                             end_outage(cluster, machine);
                             history->expect_caught_up(machine);
                             after_outage(cluster, machine);
                             cluster.world.after(seconds(10), [history] { history->expect_newest_answered(); });
                           });
  });
}

void no_action(SimulatedCluster&, Machine&) {}

void kill(SimulatedCluster&, Machine& machine) {
  machine.kill(false);
}

void start(SimulatedCluster&, Machine& machine) {
  if (!machine.alive()) machine.start();
}

// Kills the owner of one of the keys once the machine has data again, so that the machine is among the few candidates
// for the next owner.
void kill_owner(SimulatedCluster& cluster, Machine& machine) {
  Machine* owner = owner_of(cluster, "lane/history-1");
  if (owner == nullptr || owner == &machine) return;
  owner->kill(false);
  cluster.world.after(seconds(3), [owner] {
    if (!owner->alive()) owner->start();
  });
}

// All storage nodes lose power and return together. No node can update the one that was down before it owns keys, so
// only the epochs promised by the others keep it from serving outdated data.
void restart_all_storage_nodes(SimulatedCluster& cluster, Machine&) {
  for (Machine* node : cluster.storage_nodes()) node->kill(false);
  for (Machine* node : cluster.storage_nodes())
    if (!node->alive()) node->start();
}

void free_disk_space(SimulatedCluster& cluster, Machine& machine) {
  if (!machine.shared_state().owned.get()->slots.empty())
    cluster.broken.push_back("a holder with a full disk still owns keys: " + machine.name);
  machine.disk().set_failing(false);
}

void schedule_kill_owner(SimulatedCluster& cluster, Machine& machine) {
  cluster.world.after(milliseconds(1200), [&cluster, &machine] { kill_owner(cluster, machine); });
}

}  // namespace

std::vector<Scenario> history_scenarios() {
  const Limits limits{5000, 80};
  std::vector<Scenario> list;
  auto add = [&](std::string name, std::string description, Action begin_outage, Action on_half_way, Action end_outage,
                 Action after_outage) {
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.description = std::move(description);
    scenario.faults = [begin_outage, on_half_way, end_outage, after_outage](SimulatedCluster& cluster) {
      run_with_outage(cluster, begin_outage, on_half_way, end_outage, after_outage);
    };
    scenario.load = seconds(24);
    scenario.limits = limits;
    list.push_back(std::move(scenario));
  };
  add("history-away", "500 changes while a storage node is down", kill, no_action, start, no_action);
  add(
      "history-frozen", "500 changes while a storage node is suspended",
      [](SimulatedCluster&, Machine& machine) { machine.suspend(); }, no_action,
      [](SimulatedCluster&, Machine& machine) { machine.resume(); }, no_action);
  add(
      "history-slow-disk",
      "500 changes while the disk of a storage node takes 60 ms for a sync, then the node is killed and restarted",
      [](SimulatedCluster&, Machine& machine) { machine.disk().sync_time = milliseconds(60); }, no_action,
      [](SimulatedCluster&, Machine& machine) {
        machine.kill(false);
        machine.disk().sync_time = std::chrono::microseconds(400);
        machine.start();
      },
      no_action);
  add("history-owner-killed", "500 changes while a storage node is down, and an owner is killed after half of them",
      kill, kill_owner, start, no_action);
  add("history-owner-soon", "500 changes while a storage node is down; an owner is killed right after the node is back",
      kill, no_action, start, schedule_kill_owner);
  add("history-owner-at-once",
      "500 changes while a storage node is down; then all others lose power, and all return together", kill, no_action,
      restart_all_storage_nodes, no_action);
  add(
      "history-full-disk", "500 changes while the disk of a storage node is full",
      [](SimulatedCluster&, Machine& machine) { machine.disk().set_failing(true); }, no_action, free_disk_space,
      schedule_kill_owner);
  return list;
}

}  // namespace mothwalk::simulate
