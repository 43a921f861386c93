// The simulated operators, the fault injection and the recording of the calls.
#include "platform_operator_history.hpp"

#include <algorithm>

namespace mothwalk::simulate {

namespace {
using linearizability::Change;
using linearizability::ChangeCall;
using linearizability::Outcome;
using linearizability::ReadCall;
using linearizability::SetCall;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration response_timeout = seconds(1);  // until an operator tries another daemon
constexpr Duration change_timeout = seconds(12);   // from the first send of a change until its operator gives up
constexpr Duration first_retry_delay = milliseconds(100), max_retry_delay = milliseconds(800);
constexpr std::size_t operator_count = 2, changes_in_progress = 8;
// A daemon works on an evacuation call for at most 1.5 s; the last write that it sent may take effect up to 2 s later.
constexpr Duration evacuation_effect_window = milliseconds(3500);

class Operators {
 public:
  Operators(SimulatedCluster& cluster, OperatorApis& apis, TimePoint until)
      : cluster_(cluster), world_(cluster.world), apis_(apis), until_(until) {}

  void start() {
    for (std::size_t operator_id = 0; operator_id < operator_count; ++operator_id) {
      for (std::size_t slot = 0; slot < changes_in_progress; ++slot) read_then_change(std::to_string(operator_id));
      toggle_evacuation("zone-" + std::to_string(operator_id), true);
    }
    read_zones();
  }

  RecordedHistory history;

 private:
  struct PendingChange {
    Change change;
    TimePoint first_sent;
    Duration retry_delay = first_retry_delay;
    bool resent = false;  // already acknowledged once; sent again as a check
    std::function<void()> done;
  };
  using PendingChangePointer = std::shared_ptr<PendingChange>;

  std::int64_t time() const { return world_.now().microseconds; }
  bool is_over() const { return world_.now() >= until_; }
  Machine& random_serving_machine() {
    std::vector<Machine*> list;
    for (auto& machine : cluster_.machines)
      if (machine->serves()) list.push_back(machine.get());
    return *list[world_.random.below(list.size())];
  }

  // Calls a random machine. If no response comes in time, the callback gets status 0 and the machine drops the request.
  void send_request(const OperatorRequest& request, ResponseCallback callback) {
    auto finished = std::make_shared<bool>(false);
    auto finish = [finished, callback](OperatorResponse response) {
      if (!std::exchange(*finished, true)) callback(std::move(response));
    };
    apis_.send(random_serving_machine(), request, finish, finished);
    world_.after(response_timeout, [finish] { finish({}); });
  }

  void read_then_change(const std::string& operator_id) {
    if (is_over()) return;
    const std::int64_t invoked = time();
    send_request(OperatorRequest{"GET", "/v1/Config.Show"}, [this, operator_id, invoked](OperatorResponse response) {
      std::uint64_t base = 0;
      if (response.status == 200) {
        const json::value document = json::parse(response.body);
        base = document.at("config-revision").to_number<std::uint64_t>();
        history.configuration.read_calls.push_back(
            ReadCall{base, std::string(document.at("note").as_string()), invoked, time()});
      } else if (response.status == 404) {
        history.configuration.read_calls.push_back(ReadCall{0, "", invoked, time()});
      } else {
        return world_.after(first_retry_delay, [this, operator_id] { read_then_change(operator_id); });
      }
      change(operator_id, base);
    });
  }

  void change(const std::string& operator_id, std::uint64_t base) {
    auto pending = std::make_shared<PendingChange>();
    const std::uint64_t revision = base + 1 + world_.random.below(2);
    pending->change = Change{base, revision, operator_id + "-" + std::to_string(++content_count_)};
    pending->first_sent = world_.now();
    pending->done = [this, operator_id] {
      if (!accepted_changes_.empty() && world_.random.below(3) == 0) return resend_accepted(operator_id);
      world_.after(milliseconds(50 + static_cast<std::int64_t>(world_.random.below(400))),
                   [this, operator_id] { read_then_change(operator_id); });
    };
    send(pending);
  }

  // Resends a change that was acknowledged recently or long ago; it has to be acknowledged again.
  void resend_accepted(const std::string& operator_id) {
    auto pending = std::make_shared<PendingChange>();
    const std::size_t steps_back = world_.random.below(2) == 0
                                       ? world_.random.below(std::min<std::size_t>(accepted_changes_.size(), 3))
                                       : world_.random.below(accepted_changes_.size());
    pending->change = accepted_changes_[accepted_changes_.size() - 1 - steps_back];
    pending->first_sent = world_.now();
    pending->resent = true;
    pending->done = [this, operator_id] {
      read_then_change(operator_id);
    };
    ++history.resent_after_accepted;
    send(pending);
  }

  void send(const PendingChangePointer& pending) {
    if (is_over()) return;
    const std::size_t index = history.configuration.change_calls.size();
    const Change change = pending->change;
    history.configuration.change_calls.push_back(ChangeCall{change, time()});
    send_request(replace_request(change.base, change.revision, change.content), [this, pending,
                                                                                 index](OperatorResponse response) {
      ChangeCall& change_call = history.configuration.change_calls[index];
      const bool accepted = response.status == 200, refused = response.status == 412 || response.status == 400;
      if (accepted || refused) {
        change_call.completed = time();
        change_call.outcome = accepted ? Outcome::accepted : Outcome::refused;
        ++(accepted ? history.accepted : history.refused);
        if (accepted && !pending->resent) accepted_changes_.push_back(pending->change);
        return pending->done();
      }
      if (world_.now() - pending->first_sent > change_timeout) return pending->done();
      pending->retry_delay = std::min<Duration>(pending->retry_delay * 2, max_retry_delay);
      world_.after(pending->retry_delay, [this, pending] { send(pending); });
    });
  }

  // Begins and finishes the evacuation of a zone in turn. Each call is resent for up to 5 s until it is acknowledged.
  void toggle_evacuation(const std::string& zone, bool is_begin) {
    if (is_over()) return;
    send_evacuation_call(zone, is_begin, world_.now(), [this, zone, is_begin] {
      world_.after(milliseconds(200 + static_cast<std::int64_t>(world_.random.below(2500))),
                   [this, zone, is_begin] { toggle_evacuation(zone, !is_begin); });
    });
  }

  void send_evacuation_call(const std::string& zone, bool is_begin, TimePoint first_sent, std::function<void()> done) {
    if (is_over()) return;
    const std::size_t index = history.zones.size();
    history.zones.push_back(SetCall{zone, true, is_begin, time(), linearizability::never, false,
                                    (world_.now() + evacuation_effect_window).microseconds});
    ++history.evacuations;
    const std::string call = is_begin ? "/v1/Evacuation.Begin/" : "/v1/Evacuation.Finish/";
    send_request(OperatorRequest{"POST", call + zone},
                 [this, zone, is_begin, first_sent, done, index](OperatorResponse response) {
                   if (response.status == 200) {
                     history.zones[index].completed = time();
                     history.zones[index].acknowledged = true;
                     return done();
                   }
                   if (world_.now() - first_sent > seconds(5)) return done();
                   world_.after(milliseconds(200), [this, zone, is_begin, first_sent, done] {
                     send_evacuation_call(zone, is_begin, first_sent, done);
                   });
                 });
  }

  // Keeps reading the stored state of random zones, confirmed by a majority.
  void read_zones() {
    if (is_over()) return;
    Machine& machine = random_serving_machine();
    const std::string zone = "zone-" + std::to_string(world_.random.below(operator_count));
    if (StoreClient* client = machine.client(); client != nullptr && !machine.suspended())
      client->read("zone/" + zone, seconds(1), [this, zone, invoked = time()](Result<ReadReply> result) {
        auto* reply = std::get_if<ReadReply>(&result);
        if (reply == nullptr) return;
        const bool present = reply->found && json::parse(reply->record.head).at("evacuated").as_bool();
        history.zones.push_back(SetCall{zone, false, present, invoked, time()});
      });
    world_.after(milliseconds(100), [this] { read_zones(); });
  }

  SimulatedCluster& cluster_;
  World& world_;
  OperatorApis& apis_;
  TimePoint until_;
  std::vector<Change> accepted_changes_;
  std::uint64_t content_count_ = 0;
};

class FaultInjector {
 public:
  FaultInjector(SimulatedCluster& cluster, FaultMix faults, TimePoint until)
      : cluster_(cluster), world_(cluster.world), faults_(faults), until_(until) {}

  void start() {
    if (faults_ != FaultMix::none) schedule_next_fault();
  }

 private:
  void schedule_next_fault() {
    world_.after(milliseconds(1500 + static_cast<std::int64_t>(world_.random.below(3000))), [this] {
      if (world_.now() >= until_) return;
      const auto selected_faults =
          faults_ == FaultMix::mixed ? static_cast<FaultMix>(1 + world_.random.below(4)) : faults_;
      inject(selected_faults);
      schedule_next_fault();
    });
  }

  // Picks a machine that owns the slot of the configuration or of zone-0, so that a fault hits calls in progress.
  Machine* random_owner() {
    for (const StringView key : {configuration_key, StringView("zone/zone-0")})
      for (Machine* storage_node : cluster_.storage_nodes())
        if (storage_node->alive() && !storage_node->suspended() && world_.random.below(3) > 0 &&
            storage_node->shared_state().owned.get()->slots.contains(slot_of(key)))
          return storage_node;
    return nullptr;
  }

  void inject(FaultMix selected_faults) {
    Machine* machine = random_owner();
    if (machine == nullptr || active_faults_ >= 1) return;
    const Duration duration = milliseconds(400 + static_cast<std::int64_t>(world_.random.below(4000)));
    ++active_faults_;
    auto ended = [this] {
      world_.after(seconds(1), [this] { --active_faults_; });
    };
    if (selected_faults == FaultMix::owner_kills) {
      machine->kill(false);
      world_.after(duration, [machine, ended] {
        if (!machine->alive()) machine->start();
        ended();
      });
    } else if (selected_faults == FaultMix::owner_suspensions) {
      machine->suspend();
      world_.after(duration, [machine, ended] {
        machine->resume();
        ended();
      });
    } else if (selected_faults == FaultMix::partitions) {
      partition(*machine, world_.random.below(3));
      world_.after(duration, [this, ended] {
        world_.heal();
        ended();
      });
    } else {
      for (auto& each : cluster_.machines) each->kill(false);
      world_.after(milliseconds(500), [this, ended] {
        for (auto& each : cluster_.machines)
          if (!each->alive()) each->start();
        ended();
      });
    }
  }

  // Drops the messages between the machine and all others: in both directions (0), only to it (1) or only from it (2).
  void partition(Machine& machine, std::uint64_t direction) {
    for (auto& other : cluster_.machines) {
      if (other.get() == &machine) continue;
      if (direction != 1) world_.partition(machine.name, other->name);
      if (direction != 2) world_.partition(other->name, machine.name);
    }
  }

  SimulatedCluster& cluster_;
  World& world_;
  FaultMix faults_;
  TimePoint until_;
  int active_faults_ = 0;
};

}  // namespace

RecordedHistory record_history(const HistoryPlan& plan) {
  World world(plan.seed * 7919 + 3);
  SimulatedCluster cluster(world, shape_named(plan.shape, 1.0));
  cluster.checks_rules = false;
  OperatorApis apis(cluster);
  RecordedHistory failed;
  failed.converged = false;
  if (!start_and_wait(cluster)) return failed;
  apis.lost_responses = plan.lost_responses;
  const TimePoint until = world.now() + plan.length;
  Operators operators(cluster, apis, until + seconds(6));
  FaultInjector fault_injector(cluster, plan.faults, until);
  operators.start();
  fault_injector.start();
  world.run_until(until + seconds(20));
  apis.lost_responses = 0;
  std::set<std::string> distinct_responses;
  for (auto& machine : cluster.machines) {
    if (!machine->serves()) continue;
    const std::int64_t invoked = world.now().microseconds;
    const OperatorResponse response = apis.call(*machine, OperatorRequest{"GET", "/v1/Config.Show"});
    distinct_responses.insert(std::to_string(response.status) + response.body);
    if (response.status != 200) continue;
    const json::value document = json::parse(response.body);
    operators.history.configuration.read_calls.push_back(
        ReadCall{document.at("config-revision").to_number<std::uint64_t>(),
                 std::string(document.at("note").as_string()), invoked, world.now().microseconds});
  }
  operators.history.converged = distinct_responses.size() == 1 && distinct_responses.begin()->starts_with("200");
  return operators.history;
}

std::string check(const RecordedHistory& history) {
  if (!history.converged) return "the machines did not return the same configuration at the end";
  if (auto violation = linearizability::check(history.configuration); !violation.empty()) return violation;
  return linearizability::check(history.zones);
}

}  // namespace mothwalk::simulate
