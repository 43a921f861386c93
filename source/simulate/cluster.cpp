// Machines that run the duties of a daemon, callers that verify, the configuration, and the rules that the
// cluster watches itself: freshness, versions that never fall back, and floods of cold runners.
#include "simulate/cluster.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace mothwalk::simulate {

using std::chrono::milliseconds;

namespace {
constexpr Duration longest_repeat = milliseconds(400);  // after a message, in which it may come a second time
constexpr std::uint32_t short_item_bytes = 1000;        // up to these the body of an item is its name alone
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
  life_ = std::make_shared<Life>();
  shared_state_ = std::make_unique<SharedState>();
  timers_ = std::make_unique<SimulatedTimers>(world, life_);
  duties_ = std::make_unique<Duties>();
  disk_.own(life_);
  undisturbed_since = busy_until_ = world.now();
  incarnation_ = new_incarnation(std::chrono::hours(1000000) + clock + (world.now() - TimePoint{}), world.random);
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
  if (cluster_.shape.told_first_start) first_start = cluster_.first_start;
  auto messenger = [&](const std::string& slice) -> Messenger& {
    return *(duties_->posts[slice] = std::make_unique<Messenger>(*this, *timers_, address, incarnation_, slice));
  };
  if (first_start) duties_->founding = std::make_unique<Founding>(messenger("founding"), *shared_state_, *first_start);
  if (has_disk) {
    ReplicatedStore::Report report;
    report.note = [this](StringView sentence) {
      cluster_.world.history(name + " kept: " + std::string(sentence));
    };
    duties_->kept = std::make_unique<ReplicatedStore>(messenger("store"), *shared_state_, disk_, world.random, self,
                                                      seeds, std::move(report), first_start);
    if (auto loaded = duties_->kept->load(); error_of(loaded)) {
      if (disk_.unreadable > 0) {
        --disk_.unreadable;
        return kill(false);
      }
      if (!disk_.failing())
        cluster_.broken.push_back("a holder could not read its own file: " + error_of(loaded)->message);
      return end_and_start_again();
    }
    self.holder = duties_->kept->identity();
    if (self.keeps_control()) duties_->circle = std::make_unique<CircleDuty>(messenger("circle"), *shared_state_);
    if (self.keeps_lots()) duties_->lots = std::make_unique<Lots>(messenger("lots"), *shared_state_);
  }
  duties_->live_exchange = std::make_unique<SimulatedRunnerClient>(cluster_, name, zone, life_);
  duties_->lot_exchange = std::make_unique<SimulatedRunnerClient>(cluster_, name, zone, life_);
  duties_->sessions = std::make_unique<Sessions>(messenger("sessions"), *shared_state_, self, seeds);
  duties_->news =
      std::make_unique<ConfigurationGossip>(messenger("news"), *shared_state_, world.random, self.keeps_control());
  duties_->placing =
      std::make_unique<ItemPlacer>(messenger("placing"), *shared_state_, *duties_->lot_exchange, world.random);
  duties_->entries =
      std::make_unique<Router>(messenger("routes"), *shared_state_, *duties_->live_exchange, world.random, self);
  duties_->control = std::make_unique<Control>(messenger("control"), *shared_state_, world.random, self,
                                               [] { return json::value(nullptr); });
  duties_->client = std::make_unique<StoreClient>(*duties_->posts["control"], *shared_state_);
  duties_->sessions->start();
  duties_->news->start();
  duties_->placing->start();
  duties_->entries->start();
  if (has_disk) {
    duties_->kept->start();
    if (duties_->circle) duties_->circle->start();
    if (duties_->lots) duties_->lots->start();
  }
}

void Machine::kill(bool wipe) {
  if (!alive()) return;
  cluster_.world.history(name + (wipe ? " is killed and wiped" : " is killed"));
  life_->alive = false;
  disk_.tear();
  if (wipe) disk_.wipe();
  // The duties may be on the stack: they are taken down between events.
  struct Remains {
    std::unique_ptr<Duties> duties;
    std::unique_ptr<SharedState> shared_state;
    std::unique_ptr<SimulatedTimers> timers;
  };
  auto remains = std::make_shared<Remains>();
  remains->duties = std::move(duties_);
  remains->shared_state = std::move(shared_state_);
  remains->timers = std::move(timers_);
  shared_state_ = std::make_unique<SharedState>();
  cluster_.world.graveyard.push_back(remains);
  cluster_.gone(*this);
}

void Machine::freeze() {
  if (!alive() || life_->frozen) return;
  cluster_.world.history(name + " freezes");
  cluster_.world.freeze(life_);
}

void Machine::wake() {
  if (!frozen()) return;
  cluster_.world.history(name + " wakes");
  undisturbed_since = cluster_.world.now();
  cluster_.world.wake(life_);
}

void Machine::joined() {
  undisturbed_since = cluster_.world.now();
}

void Machine::send(const Address& to, Envelope envelope) {
  World& world = cluster_.world;
  const std::string message = envelope.reply ? envelope.sender + " " + envelope.kind : envelope.kind;
  world.point("send " + message, name);
  Machine* target = cluster_.machine_at(to);
  if (target == nullptr || !target->alive()) return;
  if (target == this) {
    auto shared = std::make_shared<Envelope>(std::move(envelope));
    return world.at(Duration{20}, life_,
                    [this, shared] { handle(shared->body.size(), [this, shared] { take(std::move(*shared)); }); });
  }
  // The form that goes over the wire is made and read here as well, so that the simulation covers it.
  auto form = std::make_shared<const Bytes>(to_cbor(envelope));
  ++frames;
  bytes += form->size() + 4;
  cluster_.longest_message = std::max(cluster_.longest_message, form->size());
  if (world.measuring) {
    World::Traffic& traffic = world.traffic[message];
    ++traffic.messages;
    traffic.bytes += form->size() + 4;
    target->bytes_in += form->size() + 4;
  }
  if (world.is_cut(name, zone, target->name, target->zone)) return;
  if (world.loss > 0 && world.random.uniform() < world.loss) return;
  auto arrive = [target, form] {
    target->handle(form->size(), [target, form] {
      if (auto read = from_cbor<Envelope>(*form)) target->take(std::move(*read));
    });
  };
  world.at(world.delay(zone, target->zone), target->life(), arrive);
  if (world.repeats > 0 && world.random.uniform() < world.repeats)
    world.at(Duration(static_cast<std::int64_t>(world.random.below(static_cast<std::size_t>(longest_repeat.count())))),
             target->life(), arrive);
}

// A process that can't open its folder ends; the platform starts it again, whatever its disk does by then.
void Machine::end_and_start_again() {
  constexpr Duration restart_pause = std::chrono::seconds(1);
  cluster_.world.history(name + " can't open its folder and ends");
  kill(false);
  cluster_.world.after(restart_pause, [this] {
    if (!alive()) start();
  });
}

void Machine::handle(std::size_t size, Task task) {
  if (time_per_kilobyte_ == Duration{}) return task();
  World& world = cluster_.world;
  const Duration time(time_per_kilobyte_.count() * static_cast<std::int64_t>(size) / 1024);
  busy_until_ = std::max(busy_until_, world.now()) + time;
  world.at(busy_until_ - world.now(), life_, std::move(task));
}

void Machine::take(Envelope envelope) {
  if (!duties_) return;
  cluster_.world.point("take " + (envelope.reply ? envelope.sender + " " + envelope.kind : envelope.kind), name);
  auto messenger = duties_->posts.find(envelope.slice);
  if (messenger != duties_->posts.end()) messenger->second->take(std::move(envelope));
}

// ---- the cluster

class SimulatedCluster::Caller : public ResponseSink, public std::enable_shared_from_this<SimulatedCluster::Caller> {
 public:
  Caller(SimulatedCluster& cluster, std::uint64_t call,
         std::function<void(int, const std::vector<Header>&, const std::string&, bool, std::int64_t)> over)
      : cluster_(cluster), call_(call), over_(std::move(over)) {}
  void head(int status, const std::vector<Header>& headers) override {
    status_ = status;
    headers_ = headers;
  }
  void piece(StringView piece) override {
    if (text_.empty()) first_at_ = cluster_.world.milliseconds();
    text_.append(piece);
    ++waiting_;
    cluster_.longest_backlog = std::max(cluster_.longest_backlog, backlog());
  }
  // Each piece stands for a page of 32 KB. A slow caller takes one in 40 ms; one that is stuck, none.
  void slow(bool stuck) {
    slow_ = true;
    if (!stuck) take();
  }
  void end() override { finish(true); }
  void break_off() override { finish(false); }
  std::size_t backlog() const override { return slow_ ? waiting_ * (32u << 10) : 0; }
  void lost() { finish(false); }

 private:
  void take() {
    if (waiting_ > 0) --waiting_;
    if (!done_)
      cluster_.world.after(milliseconds(40), [weak = weak_from_this()] {
        if (auto self = weak.lock()) self->take();
      });
  }
  void finish(bool whole) {
    if (done_) return;
    done_ = true;
    cluster_.world.after(Duration(300), [over = over_, status = status_, headers = headers_, text = text_, whole,
                                         first = first_at_] { over(status, headers, text, whole, first); });
    // The table entry goes as an event of its own: this may run while the calls are walked over.
    cluster_.world.after(Duration{0}, [&cluster = cluster_, call = call_] { cluster.calls_.erase(call); });
  }
  SimulatedCluster& cluster_;
  std::uint64_t call_;
  std::function<void(int, const std::vector<Header>&, const std::string&, bool, std::int64_t)> over_;
  int status_ = 0;
  std::vector<Header> headers_;
  std::string text_;
  std::int64_t first_at_ = 0;
  std::size_t waiting_ = 0;
  bool done_ = false, slow_ = false;
};

SimulatedCluster::SimulatedCluster(World& given, Shape given_shape) : world(given), shape(std::move(given_shape)) {
  for (std::size_t index = 0; index < shape.machines.size(); ++index) {
    const MachineShape& machine = shape.machines[index];
    machines.push_back(
        std::make_unique<Machine>(*this, "machine-" + std::to_string(index), machine.zone, machine.disk, machine.keeps,
                                  Address("10.0.0." + std::to_string(index + 1) + ":7000"), machine.time_per_kilobyte));
  }
  std::vector<Address> may_be_seeds;
  for (const auto& machine : machines)
    if (machine->serves()) may_be_seeds.push_back(machine->address);
  while (seeds.size() < 3 && !may_be_seeds.empty()) {
    const std::size_t index = shape.told_first_start ? world.random.below(may_be_seeds.size()) : 0;
    seeds.push_back(may_be_seeds[index]);
    may_be_seeds.erase(may_be_seeds.begin() + static_cast<std::ptrdiff_t>(index));
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

Machine* SimulatedCluster::machine_at(const Address& address) {
  for (auto& machine : machines)
    if (machine->address == address) return machine.get();
  return nullptr;
}

RunnerModel* SimulatedCluster::runner_at(const Address& address) {
  for (auto& runner : runners)
    if (runner->address == address) return runner.get();
  return nullptr;
}

std::vector<Machine*> SimulatedCluster::holders() {
  std::vector<Machine*> list;
  for (auto& machine : machines)
    if (machine->has_disk) list.push_back(machine.get());
  return list;
}

Machine& SimulatedCluster::add_machine(const std::string& zone, const std::string& keeps) {
  const std::string number = std::to_string(machines.size());
  // As fast as the others of its group.
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
    if (machine->alive() && !machine->frozen() && machine->serves()) list.push_back(machine.get());
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
  if (watched) watch_rules();
}

void SimulatedCluster::apply_all(std::shared_ptr<std::vector<std::pair<std::string, std::string>>> documents,
                                 std::size_t index) {
  if (index == documents->size()) {
    ready_ = true;
    return world.history("the configuration is applied");
  }
  apply((*documents)[index].first, (*documents)[index].second,
        [this, documents, index](Stamp) { apply_all(documents, index + 1); });
}

void SimulatedCluster::control(Machine& machine, const std::string& method, const std::string& target,
                               const std::string& body, std::function<void(int, const std::string&)> then,
                               bool callers) {
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
  calls_[number] = Call{&machine, machine.life(), [finish] {
                          finish(0, "");
                        }};
  world.after(std::chrono::seconds(8), [finish] { finish(0, ""); });
  world.at(Duration(300), machine.life(), [&machine, method, target, body, callers, finish] {
    if (machine.control() == nullptr) return;
    machine.control()->handle(ControlRequest{method, target, body, callers},
                              [finish](ControlReply reply) { finish(reply.status, json::serialize(reply.body)); });
  });
}

void SimulatedCluster::gone(Machine& machine) {
  std::vector<std::function<void()>> lost;
  for (const auto& [number, call] : calls_)
    if (call.machine == &machine && !call.life->alive) lost.push_back(call.lost);
  for (auto& each : lost) each();
}

void SimulatedCluster::apply(const std::string& key, const std::string& document, std::function<void(Stamp)> then) {
  try_apply(key, document, std::move(then));
}

void SimulatedCluster::try_apply(const std::string& key, const std::string& document, std::function<void(Stamp)> then) {
  const std::string path = "/v1/resources/" + key;
  Machine& machine = any_alive();
  auto again = [this, key, document, then] {
    world.after(milliseconds(200), [this, key, document, then] { try_apply(key, document, then); });
  };
  control(machine, "GET", path, "",
          [this, &machine, path, key, document, then, again](int status, const std::string& text) {
            if (status != 200 && status != 404) return again();
            std::uint64_t version = 0;
            if (status == 200)
              version = std::get<json::value>(parse_json(text)).at("version").to_number<std::uint64_t>();
            control(machine, "PUT", path + "?version=" + std::to_string(version), document,
                    [this, key, then, again](int put_status, const std::string& put_text) {
                      if (put_status != 200) return again();
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
  world.history("operator changes " + key + " to " + document);
  apply(key, document, [this, key, then](Stamp stamp) {
    world.history("acknowledged " + key + " at epoch " + std::to_string(stamp.epoch.value) + " version " +
                  std::to_string(stamp.version.value));
    then(stamp);
  });
}

void SimulatedCluster::retirement(const std::string& roster, const Address& holder,
                                  std::function<void(RetirementReply)> then) {
  StoreClient* client = any_alive().client();
  client->ask_owner<Retirement>(roster, Retirement{roster, holder, {}}, world.now() + std::chrono::seconds(2), false,
                                [then](Result<RetirementReply> result) {
                                  if (auto* reply = std::get_if<RetirementReply>(&result)) then(*reply);
                                });
}

void SimulatedCluster::crash_runner(RunnerModel& runner) {
  world.history(runner.name + " crashes");
  runner.down = true;
  ++runner.life;
  runner.active = runner.items = 0;
  runner.waiting.clear();
  runner.prefixes.clear();
  runner.connections.restart();
  auto streams = std::move(runner.on_crash);
  runner.on_crash.clear();
  for (auto& [run, breaks] : streams) breaks();
}

void SimulatedCluster::return_runner(RunnerModel& runner, Duration cold) {
  world.history(runner.name + " returns cold");
  runner.down = false;
  runner.cold_until = world.now() + cold;
}

// Every 50 ms: each undisturbed live machine has, 2 s after an acknowledgement, taken that version or a later one; and
// no machine goes back to a lower stamp while it lives.
void SimulatedCluster::watch_rules() {
  const TimePoint now = world.now();
  for (auto& machine : machines) {
    if (!machine->alive() || machine->frozen()) continue;
    const auto configuration = machine->shared_state().configuration.get();
    auto& highest = highest_[machine->name + "/" + std::to_string(machine->incarnation())];
    auto see = [&](const std::string& key, Stamp stamp) {
      Stamp& before = highest[key];
      if (stamp < before)
        broken.push_back("fell back: " + machine->name + " has " + key + " at an older version at " +
                         std::to_string(world.milliseconds()) + " ms");
      before = stamp;
    };
    for (const auto& [name, entry] : configuration->kinds) see("kind/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->holders) see("holder/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->lanes) see("lane/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->runners) see("runner/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->zones) see("zone/" + name, entry.stamp);
    for (const auto& [name, entry] : configuration->circles) {
      see("circle/" + name, entry.stamp);
      if (told_circles_[name] >= entry.stamp) continue;
      told_circles_[name] = entry.stamp;
      world.history("circle " + name + " at " + machine->name + ": " + json::serialize(to_json(entry.spec)));
    }
    for (const auto& change : acknowledged) {
      const Duration since = now - std::max(change.when, machine->undisturbed_since);
      if (since < milliseconds(2000) || now - change.when > std::chrono::seconds(20)) continue;
      // A machine that was started or woken after the change owes it once it serves.
      if (change.when < machine->undisturbed_since && !machine->shared_state().has_lease(now)) continue;
      if (highest[change.key] < change.stamp) {
        broken.push_back("routing change late: " + machine->name + " lacks " + change.key + " " +
                         std::to_string(since.count() / 1000) + " ms after");
        highest[change.key] = change.stamp;
      }
    }
  }
  world.after(milliseconds(50), [this] { watch_rules(); });
}

// ---- callers

void SimulatedCluster::load(Duration length) {
  const TimePoint end = world.now() + length;
  for (const auto& load : shape.streams)
    pace(
        &load.rate, [this, &load](std::uint64_t number) { send_stream(load, number); }, 0, end);
  for (const auto& load : shape.lots)
    pace(
        &load.rate, [this, &load, end](std::uint64_t number) { hand_in(load, number, end); }, 0, end);
}

void SimulatedCluster::pace(const double* rate, std::function<void(std::uint64_t)> send, std::uint64_t number,
                            TimePoint end) {
  // A rate may change at any time: steps are short, and each sends with the random that the rate in force gives it.
  const double step = 0.005;
  world.after(Duration(static_cast<std::int64_t>(step * 1e6)), [this, rate, send, number, end, step] {
    if (world.now() >= end) return;
    std::uint64_t next = number;
    for (double random = *rate * step; random > 0; random -= 1)
      if (world.random.uniform() < random) send(next++);
    pace(rate, send, next, end);
  });
}

void SimulatedCluster::send_stream(const StreamLoad& load, std::uint64_t number) {
  const std::string id = load.name + "-" + std::to_string(number) + "-" + std::to_string(world.milliseconds());
  // A machine that is down refuses the connection, and the caller goes to another; one that is frozen takes it in.
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
  auto caller =
      std::make_shared<Caller>(*this, call,
                               [this, &load, id, sent](int status, const std::vector<Header>& headers,
                                                       const std::string& text, bool whole, std::int64_t first) {
                                 std::string given, retry_after, run, fault, outcome = "broken";
                                 for (const auto& header : headers) {
                                   if (header.name == "X-Mothwalk-Outcome") given = header.value;
                                   if (header.name == "Retry-After") retry_after = header.value;
                                 }
                                 if (given == "refused" || given == "unknown")
                                   outcome = given;
                                 else if (whole && given == "answer")
                                   outcome = "answer";
                                 if (given == "answer" && status == 200) {
                                   std::istringstream lines(text);
                                   std::string line;
                                   std::uint32_t next = 0;
                                   while (load.pieces > 0 && std::getline(lines, line)) {
                                     std::istringstream words(line);
                                     std::string got_id, got_run;
                                     std::uint32_t index = 0;
                                     words >> got_id >> got_run >> index;
                                     if (got_id != id) fault = "another's answer: " + line;
                                     if (run.empty()) run = got_run;
                                     if (got_run != run) fault = "spliced runs";
                                     if (index != next++) fault = "a piece is lost or repeated";
                                   }
                                   if (load.pieces > 0 && whole && next != load.pieces)
                                     fault = "a partial answer looks whole";
                                   if (load.pieces == 0 && whole) {
                                     auto parsed = parse_json(text);
                                     if (error_of(parsed) || std::get<json::value>(parsed).at("id").as_string() != id)
                                       fault = "another's answer";
                                     else
                                       run = std::string(std::get<json::value>(parsed).at("run").as_string());
                                   }
                                 }
                                 world.write({{"what", "request"},
                                              {"id", id},
                                              {"load", load.name},
                                              {"repeatable", load.repeatable},
                                              {"sent", sent},
                                              {"first", first == 0 ? 0 : first - sent},
                                              {"took", world.milliseconds() - sent},
                                              {"status", status},
                                              {"outcome", outcome},
                                              {"fault", fault},
                                              {"run", run},
                                              {"retry_after", retry_after},
                                              {"reason", outcome == "answer" ? "" : text}});
                               });
  if (slow_callers > 0 && number % slow_callers == 0) caller->slow(number % (5 * slow_callers) == 0);
  calls_[call] = Call{machine, machine->life(), [caller] {
                        caller->lost();
                      }};
  world.at(Duration(300), machine->life(), [machine, request, caller] {
    if (machine->entries() != nullptr) machine->entries()->arrive(request, caller);
  });
}

struct SimulatedCluster::LotState {
  std::string id, body;
  const LotLoad* load = nullptr;
  bool acknowledged = false;
  std::vector<std::string> seen;
  std::int64_t handed_in = 0;
  TimePoint give_up;
  std::uint32_t tries = 0;
};

void SimulatedCluster::hand_in(const LotLoad& load, std::uint64_t number, TimePoint end) {
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
  lot->handed_in = world.milliseconds();
  lot->give_up = end + std::chrono::seconds(30);
  submit(lot);
  if (load.cancel_every > 0 && number % load.cancel_every == load.cancel_every - 1)
    world.after(milliseconds(200), [this, lot] { cancel(lot); });
}

void SimulatedCluster::submit(std::shared_ptr<LotState> lot) {
  control(
      any_alive(), "PUT", "/lots/" + lot->id, lot->body,
      [this, lot](int status, const std::string& text) {
        if (status == 200) {
          lot->acknowledged = true;
          world.write({{"what", "lot"},
                       {"id", lot->id},
                       {"items", lot->load->items},
                       {"repeatable", lot->load->repeatable},
                       {"took", world.milliseconds() - lot->handed_in}});
          return poll(lot);
        }
        world.write({{"what", "lot_try"}, {"id", lot->id}, {"status", status}, {"reason", text}});
        if (world.now() < lot->give_up) return world.after(milliseconds(300), [this, lot] { submit(lot); });
        world.write({{"what", "lot_given_up"}, {"id", lot->id}});
      },
      true);
}

void SimulatedCluster::cancel(std::shared_ptr<LotState> lot) {
  if (!lot->acknowledged) return;
  control(
      any_alive(), "DELETE", "/lots/" + lot->id, "",
      [this, lot](int status, const std::string&) {
        if (status == 200)
          world.write({{"what", "cancelled"}, {"id", lot->id}});
        else if (world.now() < lot->give_up)
          world.after(milliseconds(300), [this, lot] { cancel(lot); });
      },
      true);
}

void SimulatedCluster::poll(std::shared_ptr<LotState> lot) {
  control(
      any_alive(), "GET", "/lots/" + lot->id + "/results?after=" + std::to_string(lot->seen.size()) + "&limit=500", "",
      [this, lot](int status, const std::string& text) {
        if (status == 404) return world.write({{"what", "lot_vanished"}, {"id", lot->id}});
        if (status == 200) take_results(lot, text);
        if (lot->seen.size() >= lot->load->items) {
          // Once more from the beginning, by another daemon: listed results neither move nor change.
          control(
              any_alive(), "GET", "/lots/" + lot->id + "/results?after=0&limit=1000", "",
              [this, lot](int again, const std::string& all) {
                if (again == 200) take_results(lot, all);
                if (again == 404) world.write({{"what", "lot_vanished"}, {"id", lot->id}});
                world.write({{"what", "lot_done"}, {"id", lot->id}, {"took", world.milliseconds() - lot->handed_in}});
              },
              true);
          return;
        }
        if (world.now() >= lot->give_up)
          return world.write({{"what", "lot_unfinished"},
                              {"id", lot->id},
                              {"results", lot->seen.size()},
                              {"items", lot->load->items}});
        world.after(milliseconds(250), [this, lot] { poll(lot); });
      },
      true);
}

void SimulatedCluster::take_results(std::shared_ptr<LotState> lot, const std::string& text) {
  const json::value page = std::get<json::value>(parse_json(text));
  for (const auto& value : page.at("results").as_array()) {
    const std::size_t position = value.at("position").to_number<std::size_t>();
    const std::string whole = json::serialize(value);
    if (position < lot->seen.size()) {
      if (lot->seen[position] != whole)
        world.write({{"what", "result_moved"}, {"id", lot->id}, {"before", lot->seen[position]}, {"after", whole}});
      continue;
    }
    lot->seen.push_back(whole);
    const std::string item = lot->id + "/" + std::to_string(value.at("item").to_number<std::size_t>());
    const std::string outcome(value.at("outcome").as_string());
    std::string run, fault;
    if (outcome == "answer" && value.at("status").as_int64() == 200) {
      auto parsed = parse_json(std::string(value.at("body").as_string()));
      if (error_of(parsed) || std::get<json::value>(parsed).at("id").as_string() != item)
        fault = "another's answer";
      else
        run = std::string(std::get<json::value>(parsed).at("run").as_string());
    }
    world.write({{"what", "result"},
                 {"id", item},
                 {"lot", lot->id},
                 {"repeatable", lot->load->repeatable},
                 {"outcome", outcome},
                 {"run", run},
                 {"fault", fault},
                 {"after", world.milliseconds() - lot->handed_in}});
  }
}

}  // namespace mothwalk::simulate
