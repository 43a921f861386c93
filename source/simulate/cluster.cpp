// Machines that run the components of a daemon, clients that verify their responses, the configuration, and the rules
// that the cluster checks itself: each change reaches every machine in time, and no machine goes back to an older
// version.
#include "simulate/cluster.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace mothwalk::simulate {

using std::chrono::milliseconds;

namespace {
// The time after a message within which its duplicate is delivered.
constexpr Duration max_duplicate_delay = milliseconds(400);
// Up to this size the body of an item is its name without padding.
constexpr std::uint32_t short_item_bytes = 1000;
}  // namespace

// ---- machines

Machine::Machine(SimulatedCluster& cluster, std::string given_name, std::string given_zone, bool disk,
                 std::string given_keeps, Address given_address, Duration time_per_kilobyte)
    : name(std::move(given_name)),
      zone(std::move(given_zone)),
      has_disk(disk),
      keeps(std::move(given_keeps)),
      address(std::move(given_address)),
      cluster_(cluster),
      time_per_kilobyte_(time_per_kilobyte),
      disk_(cluster.world, name) {}

void Machine::start() {
  World& world = cluster_.world;
  process_ = std::make_shared<ProcessState>();
  shared_state_ = std::make_unique<SharedState>();
  timers_ = std::make_unique<SimulatedTimers>(world, process_);
  components_ = std::make_unique<Components>();
  disk_.attach(process_);
  undisturbed_since = busy_until_ = world.now();
  incarnation_ =
      new_incarnation(std::chrono::hours(1000000) + clock_offset + (world.now() - TimePoint{}), world.random);
  Member self;
  self.address = address;
  self.zone = ZoneId(zone);
  self.callers = self.control = address;
  self.incarnation = incarnation_;
  self.version = "simulated";
  self.keeps = keeps;
  self.name = name;
  const std::vector<Address> seeds = cluster_.seeds;
  std::optional<bool> first_start;
  if (cluster_.shape.knows_first_start) first_start = cluster_.first_start;
  auto messenger = [&](const std::string& slice) -> Messenger& {
    return *(components_->messengers[slice] =
                 std::make_unique<Messenger>(*this, *timers_, address, incarnation_, slice));
  };
  if (first_start)
    components_->roster_bootstrap =
        std::make_unique<RosterBootstrap>(messenger("founding"), *shared_state_, *first_start);
  if (has_disk) {
    ReplicatedStore::Report report;
    report.log = [this](StringView message) {
      cluster_.world.log_event(name + " kept: " + std::string(message));
    };
    components_->replicated_store = std::make_unique<ReplicatedStore>(
        messenger("store"), *shared_state_, disk_, world.random, self, seeds, std::move(report), first_start);
    if (auto loaded = components_->replicated_store->load(); error_of(loaded)) {
      if (disk_.unreadable_starts > 0) {
        --disk_.unreadable_starts;
        return kill(false);
      }
      if (!disk_.failing())
        cluster_.broken.push_back("a holder could not read its own file: " + error_of(loaded)->message);
      return exit_and_restart();
    }
    self.holder = components_->replicated_store->identity();
    if (self.keeps_control())
      components_->circle = std::make_unique<CircleManager>(messenger("circle"), *shared_state_);
    if (self.keeps_lots()) components_->lots = std::make_unique<Lots>(messenger("lots"), *shared_state_);
  }
  components_->live_runner_client = std::make_unique<SimulatedRunnerClient>(cluster_, name, zone, process_);
  components_->lot_runner_client = std::make_unique<SimulatedRunnerClient>(cluster_, name, zone, process_);
  components_->sessions = std::make_unique<Sessions>(messenger("sessions"), *shared_state_, self, seeds);
  components_->gossip =
      std::make_unique<ConfigurationGossip>(messenger("news"), *shared_state_, world.random, self.keeps_control());
  components_->item_placer =
      std::make_unique<ItemPlacer>(messenger("placing"), *shared_state_, *components_->lot_runner_client, world.random);
  components_->router = std::make_unique<Router>(messenger("routes"), *shared_state_, *components_->live_runner_client,
                                                 world.random, self);
  components_->control = std::make_unique<Control>(messenger("control"), *shared_state_, world.random, self,
                                                   [] { return json::value(nullptr); });
  components_->client = std::make_unique<StoreClient>(*components_->messengers["control"], *shared_state_);
  components_->sessions->start();
  components_->gossip->start();
  components_->item_placer->start();
  components_->router->start();
  if (has_disk) {
    components_->replicated_store->start();
    if (components_->circle) components_->circle->start();
    if (components_->lots) components_->lots->start();
  }
}

void Machine::kill(bool wipe) {
  if (!alive()) return;
  cluster_.world.log_event(name + (wipe ? " is killed and wiped" : " is killed"));
  process_->alive = false;
  disk_.crash();
  if (wipe) disk_.wipe();
  // One of the components may be on the stack, so they are destroyed between events.
  struct Remains {
    std::unique_ptr<Components> components;
    std::unique_ptr<SharedState> shared_state;
    std::unique_ptr<SimulatedTimers> timers;
  };
  auto remains = std::make_shared<Remains>();
  remains->components = std::move(components_);
  remains->shared_state = std::move(shared_state_);
  remains->timers = std::move(timers_);
  shared_state_ = std::make_unique<SharedState>();
  cluster_.world.destroyed_objects.push_back(remains);
  cluster_.on_machine_killed(*this);
}

void Machine::suspend() {
  if (!alive() || process_->suspended) return;
  cluster_.world.log_event(name + " freezes");
  cluster_.world.suspend(process_);
}

void Machine::resume() {
  if (!suspended()) return;
  cluster_.world.log_event(name + " wakes");
  undisturbed_since = cluster_.world.now();
  cluster_.world.resume(process_);
}

void Machine::mark_reconnected() {
  undisturbed_since = cluster_.world.now();
}

void Machine::send(const Address& to, Envelope envelope) {
  World& world = cluster_.world;
  const std::string message = envelope.reply ? envelope.sender + " " + envelope.kind : envelope.kind;
  world.pass_fault_point("send " + message, name);
  Machine* target = cluster_.find_machine(to);
  if (target == nullptr || !target->alive()) return;
  if (target == this) {
    auto shared = std::make_shared<Envelope>(std::move(envelope));
    return world.at(Duration{20}, process_, [this, shared] {
      handle_in_order(shared->body.size(), [this, shared] { receive(std::move(*shared)); });
    });
  }
  // The message is encoded and decoded as on a real connection, so that the simulation covers both.
  auto encoded = std::make_shared<const Bytes>(to_cbor(envelope));
  ++frames;
  bytes += encoded->size() + 4;
  cluster_.longest_message = std::max(cluster_.longest_message, encoded->size());
  if (world.measuring) {
    World::Traffic& traffic = world.traffic[message];
    ++traffic.messages;
    traffic.bytes += encoded->size() + 4;
    target->bytes_in += encoded->size() + 4;
  }
  if (world.is_blocked(name, zone, target->name, target->zone)) return;
  if (world.loss_fraction > 0 && world.random.uniform() < world.loss_fraction) return;
  auto arrive = [target, encoded] {
    target->handle_in_order(encoded->size(), [target, encoded] {
      if (auto decoded = from_cbor<Envelope>(*encoded)) target->receive(std::move(*decoded));
    });
  };
  world.at(world.delay(zone, target->zone), target->process(), arrive);
  if (world.duplicate_fraction > 0 && world.random.uniform() < world.duplicate_fraction)
    world.at(
        Duration(static_cast<std::int64_t>(world.random.below(static_cast<std::size_t>(max_duplicate_delay.count())))),
        target->process(), arrive);
}

// A process that can't open its data folder exits. The platform starts it again after a pause, whether or not the disk
// works by then.
void Machine::exit_and_restart() {
  constexpr Duration restart_pause = std::chrono::seconds(1);
  cluster_.world.log_event(name + " can't open its folder and ends");
  kill(false);
  cluster_.world.after(restart_pause, [this] {
    if (!alive()) start();
  });
}

void Machine::handle_in_order(std::size_t size, Task task) {
  if (time_per_kilobyte_ == Duration{}) return task();
  World& world = cluster_.world;
  const Duration time(time_per_kilobyte_.count() * static_cast<std::int64_t>(size) / 1024);
  busy_until_ = std::max(busy_until_, world.now()) + time;
  world.at(busy_until_ - world.now(), process_, std::move(task));
}

void Machine::receive(Envelope envelope) {
  if (!components_) return;
  cluster_.world.pass_fault_point("take " + (envelope.reply ? envelope.sender + " " + envelope.kind : envelope.kind),
                                  name);
  auto messenger = components_->messengers.find(envelope.slice);
  if (messenger != components_->messengers.end()) messenger->second->receive(std::move(envelope));
}

// ---- the cluster

// Receives the response to a live request, and passes it to `on_done` when it has ended: status, headers, body, whether
// the body is complete, and the time of the first chunk in milliseconds.
class SimulatedCluster::SimulatedClient : public ResponseSink,
                                          public std::enable_shared_from_this<SimulatedCluster::SimulatedClient> {
 public:
  SimulatedClient(SimulatedCluster& cluster, std::uint64_t call,
                  std::function<void(int, const std::vector<Header>&, const std::string&, bool, std::int64_t)> on_done)
      : cluster_(cluster), call_(call), on_done_(std::move(on_done)) {}
  void head(int status, const std::vector<Header>& headers) override {
    status_ = status;
    headers_ = headers;
  }
  void chunk(StringView chunk) override {
    if (text_.empty()) first_chunk_at_ = cluster_.world.milliseconds();
    text_.append(chunk);
    ++unread_chunks_;
    cluster_.max_client_backlog = std::max(cluster_.max_client_backlog, backlog());
  }
  // Each chunk counts as 32 KB of unread data. A slow client reads one chunk in 40 ms; a stuck client reads none.
  void read_slowly(bool stuck) {
    slow_ = true;
    if (!stuck) read_chunk();
  }
  void end() override { finish(true); }
  void abort() override { finish(false); }
  std::size_t backlog() const override { return slow_ ? unread_chunks_ * (32u << 10) : 0; }
  void on_machine_killed() { finish(false); }

 private:
  void read_chunk() {
    if (unread_chunks_ > 0) --unread_chunks_;
    if (!done_)
      cluster_.world.after(milliseconds(40), [weak = weak_from_this()] {
        if (auto self = weak.lock()) self->read_chunk();
      });
  }
  void finish(bool complete) {
    if (done_) return;
    done_ = true;
    cluster_.world.after(Duration(300),
                         [on_done = on_done_, status = status_, headers = headers_, text = text_, complete,
                          first = first_chunk_at_] { on_done(status, headers, text, complete, first); });
    // The entry in calls_ is removed in an event of its own, because this function may run during an iteration over
    // calls_.
    cluster_.world.after(Duration{0}, [&cluster = cluster_, call = call_] { cluster.calls_.erase(call); });
  }
  SimulatedCluster& cluster_;
  std::uint64_t call_;
  std::function<void(int, const std::vector<Header>&, const std::string&, bool, std::int64_t)> on_done_;
  int status_ = 0;
  std::vector<Header> headers_;
  std::string text_;
  std::int64_t first_chunk_at_ = 0;
  std::size_t unread_chunks_ = 0;
  bool done_ = false, slow_ = false;
};

SimulatedCluster::SimulatedCluster(World& simulated_world, Shape cluster_shape)
    : world(simulated_world), shape(std::move(cluster_shape)) {
  for (std::size_t index = 0; index < shape.machines.size(); ++index) {
    const MachineShape& machine = shape.machines[index];
    machines.push_back(
        std::make_unique<Machine>(*this, "machine-" + std::to_string(index), machine.zone, machine.disk, machine.keeps,
                                  Address("10.0.0." + std::to_string(index + 1) + ":7000"), machine.time_per_kilobyte));
  }
  std::vector<Address> seed_candidates;
  for (const auto& machine : machines)
    if (machine->serves()) seed_candidates.push_back(machine->address);
  while (seeds.size() < 3 && !seed_candidates.empty()) {
    const std::size_t index = shape.knows_first_start ? world.random.below(seed_candidates.size()) : 0;
    seeds.push_back(seed_candidates[index]);
    seed_candidates.erase(seed_candidates.begin() + static_cast<std::ptrdiff_t>(index));
  }
  for (std::size_t index = 0; index < shape.runners.size(); ++index) {
    const RunnerShape& each = shape.runners[index];
    auto runner = std::make_unique<RunnerModel>();
    runner->name = each.name;
    runner->kind = each.kind;
    runner->zone = each.zone;
    runner->slots = each.slots;
    runner->connections =
        each.idle > Duration{} ? RunnerConnections(each.connections, each.idle) : RunnerConnections(each.connections);
    runner->address = Address("10.0.1." + std::to_string(index + 1) + ":8000");
    runners.push_back(std::move(runner));
  }
}

Machine* SimulatedCluster::find_machine(const Address& address) {
  for (auto& machine : machines)
    if (machine->address == address) return machine.get();
  return nullptr;
}

RunnerModel* SimulatedCluster::find_runner(const Address& address) {
  for (auto& runner : runners)
    if (runner->address == address) return runner.get();
  return nullptr;
}

std::vector<Machine*> SimulatedCluster::storage_nodes() {
  std::vector<Machine*> list;
  for (auto& machine : machines)
    if (machine->has_disk) list.push_back(machine.get());
  return list;
}

Machine& SimulatedCluster::add_machine(const std::string& zone, const std::string& keeps) {
  const std::string number = std::to_string(machines.size());
  // It processes messages as fast as the other machines that store the same.
  Duration time_per_kilobyte{};
  for (const auto& machine : shape.machines)
    if (machine.disk && machine.keeps == keeps) time_per_kilobyte = machine.time_per_kilobyte;
  machines.push_back(std::make_unique<Machine>(*this, "machine-" + number, zone, true, keeps,
                                               Address("10.0.0." + std::to_string(machines.size() + 1) + ":7000"),
                                               time_per_kilobyte));
  return *machines.back();
}

Machine& SimulatedCluster::any_alive() {
  std::vector<Machine*> list;
  for (auto& machine : machines)
    if (machine->alive() && !machine->suspended() && machine->serves()) list.push_back(machine.get());
  return list.empty() ? *machines[0] : *list[world.random.below(list.size())];
}

void SimulatedCluster::start() {
  first_start = true;
  for (auto& machine : machines) machine->start();
  first_start = false;
  auto documents = std::make_shared<std::vector<std::pair<std::string, std::string>>>();
  for (const auto& [key, spec] : shape.resources) documents->emplace_back(key, json::serialize(spec));
  for (const auto& runner : runners)
    documents->emplace_back("runner/" + runner->name, json::serialize(json::object{{"kind", runner->kind},
                                                                                   {"address", runner->address.text},
                                                                                   {"zone", runner->zone},
                                                                                   {"slots", runner->slots}}));
  apply_all(documents, 0);
  if (checks_rules) check_rules_periodically();
}

void SimulatedCluster::apply_all(std::shared_ptr<std::vector<std::pair<std::string, std::string>>> documents,
                                 std::size_t index) {
  if (index == documents->size()) {
    ready_ = true;
    return world.log_event("the configuration is applied");
  }
  apply((*documents)[index].first, (*documents)[index].second,
        [this, documents, index](Stamp) { apply_all(documents, index + 1); });
}

void SimulatedCluster::control(Machine& machine, const std::string& method, const std::string& target,
                               const std::string& body, std::function<void(int, const std::string&)> then,
                               bool client_interface) {
  const std::uint64_t number = ++last_call_;
  auto done = std::make_shared<bool>(false);
  auto finish = [this, done, then, number](int status, const std::string& text) {
    if (*done) return;
    *done = true;
    world.after(Duration(300), [then, status, text] { then(status, text); });
    world.after(Duration{0}, [this, number] { calls_.erase(number); });
  };
  if (!machine.alive()) {
    world.after(Duration(500), [then] { then(0, ""); });
    return;
  }
  calls_[number] = Call{&machine, machine.process(), [finish] {
                          finish(0, "");
                        }};
  world.after(std::chrono::seconds(8), [finish] { finish(0, ""); });
  world.at(Duration(300), machine.process(), [&machine, method, target, body, client_interface, finish] {
    if (machine.control() == nullptr) return;
    machine.control()->handle(ControlRequest{method, target, body, client_interface},
                              [finish](ControlReply reply) { finish(reply.status, json::serialize(reply.body)); });
  });
}

void SimulatedCluster::on_machine_killed(Machine& machine) {
  std::vector<std::function<void()>> callbacks;
  for (const auto& [number, call] : calls_)
    if (call.machine == &machine && !call.process->alive) callbacks.push_back(call.on_machine_killed);
  for (auto& each : callbacks) each();
}

void SimulatedCluster::apply(const std::string& key, const std::string& document, std::function<void(Stamp)> then) {
  try_apply(key, document, std::move(then));
}

void SimulatedCluster::try_apply(const std::string& key, const std::string& document, std::function<void(Stamp)> then) {
  const std::string path = "/v1/resources/" + key;
  Machine& machine = any_alive();
  auto retry = [this, key, document, then] {
    world.after(milliseconds(200), [this, key, document, then] { try_apply(key, document, then); });
  };
  control(machine, "GET", path, "",
          [this, &machine, path, key, document, then, retry](int status, const std::string& text) {
            if (status != 200 && status != 404) return retry();
            std::uint64_t version = 0;
            if (status == 200)
              version = std::get<json::value>(parse_json(text)).at("version").to_number<std::uint64_t>();
            control(machine, "PUT", path + "?version=" + std::to_string(version), document,
                    [this, key, then, retry](int put_status, const std::string& put_text) {
                      if (put_status != 200) return retry();
                      const json::value reply = std::get<json::value>(parse_json(put_text));
                      const Stamp stamp{Epoch{reply.at("epoch").to_number<std::uint64_t>()},
                                        Version{reply.at("version").to_number<std::uint64_t>()}};
                      acknowledged.push_back(Acknowledged{key, stamp, world.now()});
                      then(stamp);
                    });
          });
}

void SimulatedCluster::operator_change(const std::string& key, const std::string& document,
                                       std::function<void(Stamp)> then) {
  world.log_event("operator changes " + key + " to " + document);
  apply(key, document, [this, key, then](Stamp stamp) {
    world.log_event("acknowledged " + key + " at epoch " + std::to_string(stamp.epoch.value) + " version " +
                    std::to_string(stamp.version.value));
    then(stamp);
  });
}

void SimulatedCluster::query_retirement(const std::string& roster, const Address& holder,
                                        std::function<void(RetirementReply)> then) {
  StoreClient* client = any_alive().client();
  client->request_owner<Retirement>(roster, Retirement{roster, holder, {}}, world.now() + std::chrono::seconds(2),
                                    false, [then](Result<RetirementReply> result) {
                                      if (auto* reply = std::get_if<RetirementReply>(&result)) then(*reply);
                                    });
}

void SimulatedCluster::crash_runner(RunnerModel& runner) {
  world.log_event(runner.name + " crashes");
  runner.down = true;
  ++runner.incarnation;
  runner.active = runner.items = 0;
  runner.waiting.clear();
  runner.prefixes.clear();
  runner.connections.restart();
  auto streams = std::move(runner.on_crash);
  runner.on_crash.clear();
  for (auto& [run, break_stream] : streams) break_stream();
}

void SimulatedCluster::restart_runner(RunnerModel& runner, Duration cold) {
  world.log_event(runner.name + " returns cold");
  runner.down = false;
  runner.cold_until = world.now() + cold;
}

// Checks two rules every 50 ms. Each live machine that was not disturbed has an acknowledged version or a later one
// within 2 s of the acknowledgement. No machine goes back to a lower stamp while its process lives.
void SimulatedCluster::check_rules_periodically() {
  const TimePoint now = world.now();
  for (auto& machine : machines) {
    if (!machine->alive() || machine->suspended()) continue;
    const auto configuration = machine->shared_state().configuration.get();
    auto& highest_stamps = highest_stamps_[machine->name + "/" + std::to_string(machine->incarnation())];
    auto check_stamp = [&](const std::string& key, Stamp stamp) {
      Stamp& before = highest_stamps[key];
      if (stamp < before)
        broken.push_back("fell back: " + machine->name + " has " + key + " at an older version at " +
                         std::to_string(world.milliseconds()) + " ms");
      before = stamp;
    };
    for (const auto& [name, entry] : configuration->kinds) check_stamp("kind/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->holders) check_stamp("holder/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->lanes) check_stamp("lane/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->runners) check_stamp("runner/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->zones) check_stamp("zone/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->circles) {
      check_stamp("circle/" + name, entry.stamp);
      if (logged_circles_[name] >= entry.stamp) continue;
      logged_circles_[name] = entry.stamp;
      world.log_event("circle " + name + " at " + machine->name + ": " + json::serialize(to_json(entry.spec)));
    }
    for (const auto& change : acknowledged) {
      const Duration since = now - std::max(change.when, machine->undisturbed_since);
      if (since < milliseconds(2000) || now - change.when > std::chrono::seconds(20)) continue;
      // A machine that was started or resumed after the change must have it as soon as it holds a lease.
      if (change.when < machine->undisturbed_since && !machine->shared_state().has_lease(now)) continue;
      if (highest_stamps[change.key] < change.stamp) {
        broken.push_back("routing change late: " + machine->name + " lacks " + change.key + " " +
                         std::to_string(since.count() / 1000) + " ms after");
        highest_stamps[change.key] = change.stamp;
      }
    }
  }
  world.after(milliseconds(50), [this] { check_rules_periodically(); });
}

// ---- clients

void SimulatedCluster::load(Duration length) {
  const TimePoint end = world.now() + length;
  for (const auto& load : shape.streams)
    generate_load(
        &load.rate, [this, &load](std::uint64_t number) { send_stream(load, number); }, 0, end);
  for (const auto& load : shape.lots)
    generate_load(
        &load.rate, [this, &load, end](std::uint64_t number) { submit_lot(load, number, end); }, 0, end);
}

void SimulatedCluster::generate_load(const double* rate, std::function<void(std::uint64_t)> send, std::uint64_t number,
                                     TimePoint end) {
  // The rate may change at any time, so time is divided into short steps, and each step sends with the probability that
  // follows from the current rate.
  const double step = 0.005;
  world.after(Duration(static_cast<std::int64_t>(step * 1e6)), [this, rate, send, number, end, step] {
    if (world.now() >= end) return;
    std::uint64_t next = number;
    for (double random = *rate * step; random > 0; random -= 1)
      if (world.random.uniform() < random) send(next++);
    generate_load(rate, send, next, end);
  });
}

void SimulatedCluster::send_stream(const StreamLoad& load, std::uint64_t number) {
  const std::string id = load.name + "-" + std::to_string(number) + "-" + std::to_string(world.milliseconds());
  // A machine that is down refuses the connection, and the client connects to another one. A suspended machine accepts
  // the connection.
  Machine* machine = machines[world.random.below(machines.size())].get();
  if (!machine->alive() || !machine->serves()) machine = &any_alive();
  if (!machine->alive()) return;
  LiveRequest request{"POST", load.path, {{"X-Request-Id", id}}, nullptr};
  if (load.pieces > 0) request.headers.push_back({"X-Pieces", std::to_string(load.pieces)});
  std::string body;
  if (load.prefix_bytes > 0) {
    const std::string word = load.name + "-prefix-" + std::to_string(world.random.below(load.prefixes)) + " ";
    while (body.size() < load.prefix_bytes) body += word;
    body.resize(load.prefix_bytes);
  }
  body += std::string(load.body_bytes, 'b');
  request.body = std::make_shared<const Bytes>(std::move(body));
  const std::uint64_t call = ++last_call_;
  const std::int64_t sent = world.milliseconds();
  auto client = std::make_shared<SimulatedClient>(
      *this, call,
      [this, &load, id, sent](int status, const std::vector<Header>& headers, const std::string& text, bool complete,
                              std::int64_t first) {
        std::string outcome_header, retry_after, run, response_error, outcome = "broken";
        for (const auto& header : headers) {
          if (header.name == "X-Mothwalk-Outcome") outcome_header = header.value;
          if (header.name == "Retry-After") retry_after = header.value;
        }
        if (outcome_header == "refused" || outcome_header == "unknown")
          outcome = outcome_header;
        else if (complete && outcome_header == "answer")
          outcome = "answer";
        if (outcome_header == "answer" && status == 200) {
          std::istringstream lines(text);
          std::string line;
          std::uint32_t next = 0;
          while (load.pieces > 0 && std::getline(lines, line)) {
            std::istringstream words(line);
            std::string received_id, received_run;
            std::uint32_t index = 0;
            words >> received_id >> received_run >> index;
            if (received_id != id) response_error = "another's answer: " + line;
            if (run.empty()) run = received_run;
            if (received_run != run) response_error = "spliced runs";
            if (index != next++) response_error = "a piece is lost or repeated";
          }
          if (load.pieces > 0 && complete && next != load.pieces) response_error = "a partial answer looks whole";
          if (load.pieces == 0 && complete) {
            auto parsed = parse_json(text);
            if (error_of(parsed) || std::get<json::value>(parsed).at("id").as_string() != id)
              response_error = "another's answer";
            else
              run = std::string(std::get<json::value>(parsed).at("run").as_string());
          }
        }
        world.write_ledger({{"what", "request"},
                            {"id", id},
                            {"load", load.name},
                            {"repeatable", load.repeatable},
                            {"sent", sent},
                            {"first", first == 0 ? 0 : first - sent},
                            {"took", world.milliseconds() - sent},
                            {"status", status},
                            {"outcome", outcome},
                            {"fault", response_error},
                            {"run", run},
                            {"retry_after", retry_after},
                            {"reason", outcome == "answer" ? "" : text}});
      });
  if (slow_client_interval > 0 && number % slow_client_interval == 0)
    client->read_slowly(number % (5 * slow_client_interval) == 0);
  calls_[call] = Call{machine, machine->process(), [client] {
                        client->on_machine_killed();
                      }};
  world.at(Duration(300), machine->process(), [machine, request, client] {
    if (machine->router() != nullptr) machine->router()->submit(request, client);
  });
}

struct SimulatedCluster::LotState {
  std::string id, body;
  const LotLoad* load = nullptr;
  bool acknowledged = false;
  std::vector<std::string> results;
  std::int64_t submitted_at = 0;
  TimePoint give_up_at;
  std::uint32_t tries = 0;
};

void SimulatedCluster::submit_lot(const LotLoad& load, std::uint64_t number, TimePoint end) {
  auto lot = std::make_shared<LotState>();
  lot->id = load.name + "-" + std::to_string(number) + "-" + std::to_string(world.milliseconds());
  lot->load = &load;
  json::array items;
  for (std::uint32_t item = 0; item < load.items; ++item) {
    std::string body = lot->id + " " + std::to_string(item);
    if (load.item_bytes > short_item_bytes) body.resize(std::max<std::size_t>(body.size(), load.item_bytes), ' ');
    items.push_back(json::value(json::string(body)));
  }
  lot->body =
      json::serialize(json::object{{"lane", load.lane}, {"deadline", load.deadline.count() / 1000}, {"items", items}});
  lot->submitted_at = world.milliseconds();
  lot->give_up_at = end + std::chrono::seconds(30);
  put_lot(lot);
  if (load.cancel_every > 0 && number % load.cancel_every == load.cancel_every - 1)
    world.after(milliseconds(200), [this, lot] { cancel_lot(lot); });
}

void SimulatedCluster::put_lot(std::shared_ptr<LotState> lot) {
  control(
      any_alive(), "PUT", "/lots/" + lot->id, lot->body,
      [this, lot](int status, const std::string& text) {
        if (status == 200) {
          lot->acknowledged = true;
          world.write_ledger({{"what", "lot"},
                              {"id", lot->id},
                              {"items", lot->load->items},
                              {"repeatable", lot->load->repeatable},
                              {"took", world.milliseconds() - lot->submitted_at}});
          return poll_results(lot);
        }
        world.write_ledger({{"what", "lot_try"}, {"id", lot->id}, {"status", status}, {"reason", text}});
        if (world.now() < lot->give_up_at) return world.after(milliseconds(300), [this, lot] { put_lot(lot); });
        world.write_ledger({{"what", "lot_given_up"}, {"id", lot->id}});
      },
      true);
}

void SimulatedCluster::cancel_lot(std::shared_ptr<LotState> lot) {
  if (!lot->acknowledged) return;
  control(
      any_alive(), "DELETE", "/lots/" + lot->id, "",
      [this, lot](int status, const std::string&) {
        if (status == 200)
          world.write_ledger({{"what", "cancelled"}, {"id", lot->id}});
        else if (world.now() < lot->give_up_at)
          world.after(milliseconds(300), [this, lot] { cancel_lot(lot); });
      },
      true);
}

void SimulatedCluster::poll_results(std::shared_ptr<LotState> lot) {
  control(
      any_alive(), "GET", "/lots/" + lot->id + "/results?after=" + std::to_string(lot->results.size()) + "&limit=500",
      "",
      [this, lot](int status, const std::string& text) {
        if (status == 404) return world.write_ledger({{"what", "lot_vanished"}, {"id", lot->id}});
        if (status == 200) record_results(lot, text);
        if (lot->results.size() >= lot->load->items) {
          // All results are read a second time from another daemon: the position and content of a listed result must
          // not change.
          control(
              any_alive(), "GET", "/lots/" + lot->id + "/results?after=0&limit=1000", "",
              [this, lot](int second_status, const std::string& all) {
                if (second_status == 200) record_results(lot, all);
                if (second_status == 404) world.write_ledger({{"what", "lot_vanished"}, {"id", lot->id}});
                world.write_ledger(
                    {{"what", "lot_done"}, {"id", lot->id}, {"took", world.milliseconds() - lot->submitted_at}});
              },
              true);
          return;
        }
        if (world.now() >= lot->give_up_at)
          return world.write_ledger({{"what", "lot_unfinished"},
                                     {"id", lot->id},
                                     {"results", lot->results.size()},
                                     {"items", lot->load->items}});
        world.after(milliseconds(250), [this, lot] { poll_results(lot); });
      },
      true);
}

void SimulatedCluster::record_results(std::shared_ptr<LotState> lot, const std::string& text) {
  const json::value page = std::get<json::value>(parse_json(text));
  for (const auto& value : page.at("results").as_array()) {
    const std::size_t position = value.at("position").to_number<std::size_t>();
    const std::string complete = json::serialize(value);
    if (position < lot->results.size()) {
      if (lot->results[position] != complete)
        world.write_ledger(
            {{"what", "result_moved"}, {"id", lot->id}, {"before", lot->results[position]}, {"after", complete}});
      continue;
    }
    lot->results.push_back(complete);
    const std::string item = lot->id + "/" + std::to_string(value.at("item").to_number<std::size_t>());
    const std::string outcome(value.at("outcome").as_string());
    std::string run, response_error;
    if (outcome == "answer" && value.at("status").as_int64() == 200) {
      auto parsed = parse_json(std::string(value.at("body").as_string()));
      if (error_of(parsed) || std::get<json::value>(parsed).at("id").as_string() != item)
        response_error = "another's answer";
      else
        run = std::string(std::get<json::value>(parsed).at("run").as_string());
    }
    world.write_ledger({{"what", "result"},
                        {"id", item},
                        {"lot", lot->id},
                        {"repeatable", lot->load->repeatable},
                        {"outcome", outcome},
                        {"run", run},
                        {"fault", response_error},
                        {"after", world.milliseconds() - lot->submitted_at}});
  }
}

}  // namespace mothwalk::simulate
