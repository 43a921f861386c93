// The operators, the faults and the recording.
#include "platform_operator_history.hpp"

#include <algorithm>

namespace mothwalk::simulate {

namespace {
using linearizability::Answer;
using linearizability::Order;
using linearizability::Reading;
using linearizability::Sending;
using linearizability::SetCall;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration patience = seconds(1);        // of an operator, until the next daemon is asked
constexpr Duration give_up_after = seconds(12);  // of an operator, from the first sending of an order
constexpr Duration first_pause = milliseconds(100), longest_pause = milliseconds(800);
constexpr std::size_t operators = 2, orders_at_once = 8;
// A call of an evacuation is worked on for 1.5 s from its arrival; what it wrote last may be under way for 2 s more.
constexpr Duration evacuation_lasts = milliseconds(3500);

class Operators {
 public:
  Operators(SimulatedCluster& cluster, OperatorSurfaces& surfaces, TimePoint until)
      : cluster_(cluster), world_(cluster.world), surfaces_(surfaces), until_(until) {}

  void start() {
    for (std::size_t person = 0; person < operators; ++person) {
      for (std::size_t place = 0; place < orders_at_once; ++place) read_then_change(std::to_string(person));
      evacuate("zone-" + std::to_string(person), true);
    }
    watch_zones();
  }

  RecordedHistory history;

 private:
  struct Pending {
    Order order;
    TimePoint begun;
    Duration pause = first_pause;
    bool checks_again = false;  // was acknowledged before
    std::function<void()> done;
  };
  using PendingPointer = std::shared_ptr<Pending>;

  std::int64_t time() const { return world_.now().microseconds; }
  bool over() const { return world_.now() >= until_; }
  Machine& any_machine() {
    std::vector<Machine*> list;
    for (auto& machine : cluster_.machines)
      if (machine->serves()) list.push_back(machine.get());
    return *list[world_.random.below(list.size())];
  }

  // Calls a machine; the answer is status 0 where none came in time.
  void ask(const OperatorRequest& request, OperatorAnswer then) {
    auto over = std::make_shared<bool>(false);
    auto finish = [over, then](OperatorReply reply) {
      if (!std::exchange(*over, true)) then(std::move(reply));
    };
    surfaces_.send(any_machine(), request, finish, over);
    world_.after(patience, [finish] { finish({}); });
  }

  void read_then_change(const std::string& person) {
    if (over()) return;
    const std::int64_t invoked = time();
    ask(OperatorRequest{"GET", "/v1/Config.Show"}, [this, person, invoked](OperatorReply reply) {
      std::uint64_t base = 0;
      if (reply.status == 200) {
        const json::value document = json::parse(reply.body);
        base = document.at("config-revision").to_number<std::uint64_t>();
        history.configuration.readings.push_back(
            Reading{base, std::string(document.at("note").as_string()), invoked, time()});
      } else if (reply.status == 404) {
        history.configuration.readings.push_back(Reading{0, "", invoked, time()});
      } else {
        return world_.after(first_pause, [this, person] { read_then_change(person); });
      }
      change(person, base);
    });
  }

  void change(const std::string& person, std::uint64_t base) {
    auto pending = std::make_shared<Pending>();
    const std::uint64_t number = base + 1 + world_.random.below(2);
    pending->order = Order{base, number, person + "-" + std::to_string(++contents_)};
    pending->begun = world_.now();
    pending->done = [this, person] {
      if (!taken_.empty() && world_.random.below(3) == 0) return send_again(person);
      world_.after(milliseconds(50 + static_cast<std::int64_t>(world_.random.below(400))),
                   [this, person] { read_then_change(person); });
    };
    send(pending);
  }

  // An order that was acknowledged, recently or long ago, goes out once more.
  void send_again(const std::string& person) {
    auto pending = std::make_shared<Pending>();
    const std::size_t back = world_.random.below(2) == 0 ? world_.random.below(std::min<std::size_t>(taken_.size(), 3))
                                                         : world_.random.below(taken_.size());
    pending->order = taken_[taken_.size() - 1 - back];
    pending->begun = world_.now();
    pending->checks_again = true;
    pending->done = [this, person] {
      read_then_change(person);
    };
    ++history.resent_after_taken;
    send(pending);
  }

  void send(const PendingPointer& pending) {
    if (over()) return;
    const std::size_t index = history.configuration.sendings.size();
    const Order order = pending->order;
    history.configuration.sendings.push_back(Sending{order, time()});
    ask(replace_request(order.base, order.number, order.content), [this, pending, index](OperatorReply reply) {
      Sending& sending = history.configuration.sendings[index];
      const bool taken = reply.status == 200, refused = reply.status == 412 || reply.status == 400;
      if (taken || refused) {
        sending.answered = time();
        sending.answer = taken ? Answer::taken : Answer::refused;
        ++(taken ? history.taken : history.refused);
        if (taken && !pending->checks_again) taken_.push_back(pending->order);
        return pending->done();
      }
      if (world_.now() - pending->begun > give_up_after) return pending->done();
      pending->pause = std::min<Duration>(pending->pause * 2, longest_pause);
      world_.after(pending->pause, [this, pending] { send(pending); });
    });
  }

  // One call of an evacuation after another: sent until it is acknowledged, or given up after 5 s.
  void evacuate(const std::string& zone, bool begins) {
    if (over()) return;
    set_zone(zone, begins, world_.now(), [this, zone, begins] {
      world_.after(milliseconds(200 + static_cast<std::int64_t>(world_.random.below(2500))),
                   [this, zone, begins] { evacuate(zone, !begins); });
    });
  }

  void set_zone(const std::string& zone, bool begins, TimePoint begun, std::function<void()> done) {
    if (over()) return;
    const std::size_t index = history.zones.size();
    history.zones.push_back(SetCall{zone, true, begins, time(), linearizability::never, false,
                                    (world_.now() + evacuation_lasts).microseconds});
    ++history.evacuations;
    const std::string call = begins ? "/v1/Evacuation.Begin/" : "/v1/Evacuation.Finish/";
    ask(OperatorRequest{"POST", call + zone}, [this, zone, begins, begun, done, index](OperatorReply reply) {
      if (reply.status == 200) {
        history.zones[index].answered = time();
        history.zones[index].acknowledged = true;
        return done();
      }
      if (world_.now() - begun > seconds(5)) return done();
      world_.after(milliseconds(200), [this, zone, begins, begun, done] { set_zone(zone, begins, begun, done); });
    });
  }

  // Confirmed reads of what is kept about the zones.
  void watch_zones() {
    if (over()) return;
    Machine& machine = any_machine();
    const std::string zone = "zone-" + std::to_string(world_.random.below(operators));
    if (StoreClient* client = machine.client(); client != nullptr && !machine.frozen())
      client->read("zone/" + zone, seconds(1), [this, zone, invoked = time()](Result<ReadReply> result) {
        auto* reply = std::get_if<ReadReply>(&result);
        if (reply == nullptr) return;
        const bool present = reply->found && json::parse(reply->record.head).at("evacuated").as_bool();
        history.zones.push_back(SetCall{zone, false, present, invoked, time()});
      });
    world_.after(milliseconds(100), [this] { watch_zones(); });
  }

  SimulatedCluster& cluster_;
  World& world_;
  OperatorSurfaces& surfaces_;
  TimePoint until_;
  std::vector<Order> taken_;
  std::uint64_t contents_ = 0;
};

class Troubles {
 public:
  Troubles(SimulatedCluster& cluster, Trouble trouble, TimePoint until)
      : cluster_(cluster), world_(cluster.world), trouble_(trouble), until_(until) {}

  void start() {
    if (trouble_ != Trouble::none) next();
  }

 private:
  void next() {
    world_.after(milliseconds(1500 + static_cast<std::int64_t>(world_.random.below(3000))), [this] {
      if (world_.now() >= until_) return;
      const auto kind = trouble_ == Trouble::mixed ? static_cast<Trouble>(1 + world_.random.below(4)) : trouble_;
      strike(kind);
      next();
    });
  }

  Machine* owner() {
    for (const StringView key : {configuration_key, StringView("zone/zone-0")})
      for (Machine* holder : cluster_.holders())
        if (holder->alive() && !holder->frozen() && world_.random.below(3) > 0 &&
            holder->shared_state().owned.get()->slots.contains(slot_of(key)))
          return holder;
    return nullptr;
  }

  void strike(Trouble kind) {
    Machine* machine = owner();
    if (machine == nullptr || disturbed_ >= 1) return;
    const Duration length = milliseconds(400 + static_cast<std::int64_t>(world_.random.below(4000)));
    ++disturbed_;
    auto ended = [this] {
      world_.after(seconds(1), [this] { --disturbed_; });
    };
    if (kind == Trouble::owner_kills) {
      machine->kill(false);
      world_.after(length, [machine, ended] {
        if (!machine->alive()) machine->start();
        ended();
      });
    } else if (kind == Trouble::owner_freezes) {
      machine->freeze();
      world_.after(length, [machine, ended] {
        machine->wake();
        ended();
      });
    } else if (kind == Trouble::cuts) {
      cut(*machine, world_.random.below(3));
      world_.after(length, [this, ended] {
        world_.mend();
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

  // Both ways, or one of them.
  void cut(Machine& machine, std::uint64_t ways) {
    for (auto& other : cluster_.machines) {
      if (other.get() == &machine) continue;
      if (ways != 1) world_.cut(machine.name, other->name);
      if (ways != 2) world_.cut(other->name, machine.name);
    }
  }

  SimulatedCluster& cluster_;
  World& world_;
  Trouble trouble_;
  TimePoint until_;
  int disturbed_ = 0;
};

}  // namespace

RecordedHistory record_history(const HistoryPlan& plan) {
  World world(plan.seed * 7919 + 3);
  SimulatedCluster cluster(world, shape_named(plan.shape, 1.0));
  cluster.watched = false;
  OperatorSurfaces surfaces(cluster);
  RecordedHistory failed;
  failed.settled = false;
  if (!start_and_wait(cluster)) return failed;
  surfaces.lost_answers = plan.lost_answers;
  const TimePoint until = world.now() + plan.length;
  Operators people(cluster, surfaces, until + seconds(6));
  Troubles troubles(cluster, plan.trouble, until);
  people.start();
  troubles.start();
  world.run_until(until + seconds(20));
  surfaces.lost_answers = 0;
  std::set<std::string> shown;
  for (auto& machine : cluster.machines) {
    if (!machine->serves()) continue;
    const std::int64_t invoked = world.now().microseconds;
    const OperatorReply reply = surfaces.call(*machine, OperatorRequest{"GET", "/v1/Config.Show"});
    shown.insert(std::to_string(reply.status) + reply.body);
    if (reply.status != 200) continue;
    const json::value document = json::parse(reply.body);
    people.history.configuration.readings.push_back(Reading{document.at("config-revision").to_number<std::uint64_t>(),
                                                            std::string(document.at("note").as_string()), invoked,
                                                            world.now().microseconds});
  }
  people.history.settled = shown.size() == 1 && shown.begin()->starts_with("200");
  return people.history;
}

std::string check(const RecordedHistory& history) {
  if (!history.settled) return "the machines did not show one configuration at the end";
  if (auto wrong = linearizability::check(history.configuration); !wrong.empty()) return wrong;
  return linearizability::check(history.zones);
}

}  // namespace mothwalk::simulate
