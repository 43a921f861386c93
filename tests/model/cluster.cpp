// The model's machines and the network between them.
#include "model/cluster.hpp"

#include <algorithm>

namespace mothwalk::model {

namespace {
using std::chrono::microseconds;
using std::chrono::milliseconds;
constexpr Duration local_latency = microseconds(20);
constexpr Duration network_latency = microseconds(500);
constexpr std::size_t latency_range_us = 1500;  // of the random latency that is added to network_latency
constexpr Duration slow_sync_time = milliseconds(300);
constexpr Duration normal_sync_time = microseconds(400);
constexpr std::int64_t delays_ms[] = {5, 60, 350, 1100};  // of messages that the schedule's delay rate selects

std::string message_kind(const Envelope& envelope) {
  return envelope.reply ? envelope.sender + "." + envelope.kind : envelope.kind;
}

std::string call_key(const Address& client, const std::string& slice, std::uint64_t incarnation, std::uint64_t call) {
  return client.text + "/" + slice + "/" + std::to_string(incarnation) + "/" + std::to_string(call);
}
}  // namespace

Address address_of(const std::string& machine) {
  return Address(machine + ":1");
}

Roster first_roster(const std::vector<MachineSetup>& machines, const std::vector<std::string>& names) {
  Roster roster{Version{1}, {}};
  for (const auto& machine : machines)
    if (std::find(names.begin(), names.end(), machine.name) != names.end())
      roster.voters.push_back(
          Voter{StorageNodeId("holder-" + machine.name), address_of(machine.name), ZoneId(machine.zone), machine.name});
  return roster;
}

// ---- Machine

Machine::Machine(Cluster& cluster, MachineSetup machine_setup)
    : setup(std::move(machine_setup)), address(address_of(setup.name)), disk(cluster.scheduler), cluster_(cluster) {}

void Machine::start() {
  ++incarnation_;
  process_ = std::make_shared<Process>();
  process_->machine = setup.name;
  shared_state_ = std::make_unique<SharedState>();
  timers_ = std::make_unique<ModelTimers>(cluster_.scheduler, process_);
  random_ = std::make_unique<simulate::SeededRandom>(
      hash_of(setup.name, incarnation_ * 1000 + cluster_.schedule().latency_seed));
  components_ = std::make_unique<Components>();
  disk.attach(process_);
  disk.acknowledges_early = cluster_.fault == PlantedFault::sync_not_awaited;
  const bool first_start = cluster_.first_start && incarnation_ == 1;
  Member self;
  self.address = self.callers = self.control = address;
  self.zone = ZoneId(setup.zone);
  self.incarnation = new_incarnation(std::chrono::hours(1000) + (cluster_.scheduler.now() - TimePoint{}), *random_);
  self.keeps = setup.keeps;
  self.name = setup.name;
  auto messenger = [&](const std::string& slice) -> Messenger& {
    auto new_messenger = std::make_unique<Messenger>(*this, *timers_, address, self.incarnation, slice);
    return *(components_->messengers[slice] = std::move(new_messenger));
  };
  components_->founding = std::make_unique<RosterBootstrap>(messenger("founding"), *shared_state_, first_start);
  if (setup.has_disk) {
    ReplicatedStore::Report report;
    components_->store = std::make_unique<ReplicatedStore>(messenger("store"), *shared_state_, disk, *random_, self,
                                                           cluster_.seeds, std::move(report), first_start);
    (void)components_->store->load();
    self.holder = components_->store->identity();
  }
  components_->sessions = std::make_unique<Sessions>(messenger("sessions"), *shared_state_, self, cluster_.seeds);
  components_->gossip = std::make_unique<ConfigurationGossip>(messenger("news"), *shared_state_, *random_,
                                                              self.keeps_control(), &format_);
  components_->client = std::make_unique<StoreClient>(messenger("control"), *shared_state_);
  components_->fleet_calls = std::make_unique<FleetCalls>(*components_->messengers["control"], *shared_state_);
  components_->sessions->start();
  components_->gossip->start();
  if (components_->store) components_->store->start();
}

void Machine::crash(std::uint32_t mask) {
  if (!alive()) return;
  process_->alive = false;
  disk.crash(mask);
  struct Remains {
    std::unique_ptr<Components> components;
    std::unique_ptr<SharedState> shared_state;
    std::unique_ptr<ModelTimers> timers;
    std::unique_ptr<simulate::SeededRandom> random;
  };
  cluster_.scheduler.deferred_destruction.push_back(std::make_shared<Remains>(
      Remains{std::move(components_), std::move(shared_state_), std::move(timers_), std::move(random_)}));
}

void Machine::send(const Address& to, Envelope envelope) {
  cluster_.transmit(*this, to, std::move(envelope));
}

void Machine::receive(Envelope envelope) {
  if (!components_) return;
  auto messenger = components_->messengers.find(envelope.slice);
  if (messenger != components_->messengers.end()) messenger->second->receive(std::move(envelope));
}

// ---- Cluster

Cluster::Cluster(const Schedule& schedule, PlantedFault planted_fault, std::vector<MachineSetup> setups,
                 Observer& observer)
    : fault(planted_fault), schedule_(schedule), observer_(observer) {
  for (auto& setup : setups) machines_.push_back(std::make_unique<Machine>(*this, std::move(setup)));
  for (const auto& each : schedule_.deviations)
    if (each.kind == DeviationKind::lose || each.kind == DeviationKind::delay)
      deviations_by_message_[each.target] = &each;
}

Machine& Cluster::machine(const std::string& name) {
  for (auto& each : machines_)
    if (each->setup.name == name) return *each;
  return *machines_.front();
}

Machine* Cluster::at(const Address& address) {
  for (auto& each : machines_)
    if (each->address == address) return each.get();
  return nullptr;
}

void Cluster::install_initial_roster(const std::vector<std::string>& names) {
  std::vector<MachineSetup> setups;
  for (const auto& each : machines_) setups.push_back(each->setup);
  const Roster roster = first_roster(setups, names);
  for (const auto& voter : roster.voters) {
    Bytes image = frame_entry(DiskEntry{.what = "identity", .holder = voter.holder, .address = voter.address}, 0);
    image += frame_entry(DiskEntry{.what = "roster", .roster = roster}, 0);
    at(voter.address)->disk.set_content(std::move(image));
  }
}

void Cluster::restart(Machine& machine) {
  if (machine.alive()) return;
  machine.start();
  observer_.on_start(machine);
}

void Cluster::schedule_deviation(const Deviation& deviation) {
  if (deviation.kind == DeviationKind::lose || deviation.kind == DeviationKind::delay) return;
  if (deviation.kind == DeviationKind::partition) {
    const std::size_t split = deviation.target.find('>');
    const auto pair = std::make_pair(deviation.target.substr(0, split), deviation.target.substr(split + 1));
    scheduler.at(deviation.at, [this, pair] { partitions_.insert(pair); });
    scheduler.at(deviation.at + deviation.length, [this, pair] {
      if (auto found = partitions_.find(pair); found != partitions_.end()) partitions_.erase(found);
    });
    return;
  }
  Machine& target = machine(deviation.target);
  if (deviation.kind == DeviationKind::slow_disk) {
    scheduler.at(deviation.at, [&target] { target.disk.sync_time = slow_sync_time; });
    return scheduler.at(deviation.at + deviation.length, [&target] { target.disk.sync_time = normal_sync_time; });
  }
  if (deviation.kind == DeviationKind::suspend) {
    scheduler.at(deviation.at, [&target] {
      if (target.alive()) target.process()->suspended = true;
    });
    return scheduler.at(deviation.at + deviation.length, [this, &target] {
      if (target.alive() && target.process()->suspended) scheduler.resume(target.process());
    });
  }
  const bool wipes_disk = deviation.kind == DeviationKind::wipe;
  scheduler.at(deviation.at, [this, &target, wipes_disk, mask = deviation.mask] {
    target.crash(mask);
    if (!wipes_disk) return;
    target.disk.wipe(fault == PlantedFault::wiped_keeps_identity);
    observer_.on_wipe(target);
  });
  scheduler.at(deviation.at + deviation.length, [this, &target] { restart(target); });
}

void Cluster::end_all_faults() {
  partitions_.clear();
  for (auto& each : machines_) {
    each->disk.sync_time = normal_sync_time;
    if (each->alive() && each->process()->suspended) scheduler.resume(each->process());
    restart(*each);
  }
}

bool Cluster::is_partitioned(const std::string& from, const std::string& to) const {
  return partitions_.contains({from, to}) || partitions_.contains({from, "*"}) || partitions_.contains({"*", to});
}

// A deviation that names the message takes precedence. Otherwise the schedule's rates decide: a hash of the message's
// name and the seed is drawn, so that a replay gives the same result.
std::optional<Deviation> Cluster::deviation_of(const std::string& name) {
  if (scheduler.milliseconds() >= deviations_until) return std::nullopt;
  if (auto found = deviations_by_message_.find(name); found != deviations_by_message_.end()) return *found->second;
  const std::uint32_t total_permille = schedule_.lose_permille + schedule_.delay_permille;
  if (total_permille == 0) return std::nullopt;
  const std::uint64_t draw = hash_of(name, schedule_.latency_seed + 77);
  const std::uint64_t position = draw % 1000;
  if (position >= total_permille) return std::nullopt;
  Deviation deviation{position < schedule_.lose_permille ? DeviationKind::lose : DeviationKind::delay, name, 0, 0, 0};
  if (deviation.kind == DeviationKind::delay) deviation.length = delays_ms[draw / 1000 % std::size(delays_ms)];
  return deviation;
}

Cluster::Transit Cluster::transit_of(Machine& from, Machine& to, const Envelope& envelope) {
  if (&from == &to) return Transit{false, local_latency};
  const std::string kind = from.setup.name + ">" + to.setup.name + ":" + message_kind(envelope);
  const std::string name = kind + "#" + std::to_string(++sent_counts_[kind]);
  if (log != nullptr) log->push_back(SentMessage{scheduler.milliseconds(), name});
  Transit transit{is_partitioned(from.setup.name, to.setup.name), network_latency};
  if (schedule_.latency_seed != 0)
    transit.latency += Duration(static_cast<std::int64_t>(hash_of(name, schedule_.latency_seed) % latency_range_us));
  if (transit.lost) return transit;
  if (auto deviation = deviation_of(name)) {
    transit.lost = deviation->kind == DeviationKind::lose;
    transit.latency += milliseconds(deviation->length);
    applied_.push_back(std::move(*deviation));
  }
  return transit;
}

void Cluster::transmit(Machine& from, const Address& to, Envelope envelope) {
  Machine* target = at(to);
  if (target == nullptr || !target->alive()) return;
  if (auto assumed_reply = assumed_reply_to(fault, from.disk.ordered(), to, envelope))
    return deliver(*target, from, std::move(*assumed_reply), local_latency);
  const Transit transit = transit_of(from, *target, envelope);
  if (!envelope.reply) {
    observer_.on_request(from, *target, envelope);
    if (envelope.call != 0)
      requests_[call_key(from.address, envelope.sender, from.incarnation(), envelope.call)] =
          Request{envelope.kind, envelope.body, target->address, scheduler.now()};
  } else {
    auto request = requests_.find(call_key(to, envelope.slice, target->incarnation(), envelope.call));
    const auto incarnation =
        client_incarnations_.find(call_key(to, envelope.slice, 0, envelope.call) + ">" + from.setup.name);
    const bool to_former_incarnation =
        incarnation != client_incarnations_.end() && incarnation->second != target->incarnation();
    if (request != requests_.end() && to_former_incarnation) {
      observer_.on_former_reply(from, *target, request->second, envelope);
    } else if (request != requests_.end()) {
      observer_.on_reply(from, *target, request->second, envelope);
      if (transit.lost) requests_.erase(request);
    }
  }
  if (!transit.lost) deliver(from, *target, std::move(envelope), transit.latency);
}

// A message to a process that ends before it arrives is lost, as its connection is. A reply can reach a new incarnation
// of the machine that sent the request.
void Cluster::deliver(Machine& from, Machine& to, Envelope envelope, Duration latency) {
  auto shared_envelope = std::make_shared<Envelope>(std::move(envelope));
  const std::uint64_t client_incarnation = from.incarnation();
  scheduler.after(latency, to.process(), [this, &from, &to, shared_envelope, client_incarnation] {
    if (!shared_envelope->reply) {
      client_incarnations_[call_key(from.address, shared_envelope->sender, 0, shared_envelope->call) + ">" +
                           to.setup.name] = client_incarnation;
      rewrite_received(fault, to.disk.ordered(), nullptr, *shared_envelope);
      return to.receive(std::move(*shared_envelope));
    }
    auto request =
        requests_.find(call_key(to.address, shared_envelope->slice, to.incarnation(), shared_envelope->call));
    rewrite_received(fault, to.disk.ordered(), request == requests_.end() ? nullptr : &request->second,
                     *shared_envelope);
    if (request != requests_.end()) requests_.erase(request);
    to.receive(std::move(*shared_envelope));
  });
}

}  // namespace mothwalk::model
