// Machines and the network of the model.
#include "model/cluster.hpp"

#include <algorithm>

namespace mothwalk::model {

namespace {
using std::chrono::microseconds;
using std::chrono::milliseconds;
constexpr Duration local_latency = microseconds(20);
constexpr Duration network_latency = microseconds(500);
constexpr std::size_t latency_spread = 1500;  // microseconds
constexpr Duration slow_sync = milliseconds(300);
constexpr Duration sound_sync = microseconds(400);
constexpr std::int64_t delays[] = {5, 60, 350, 1100};  // milliseconds

std::string message_kind(const Envelope& envelope) {
  return envelope.reply ? envelope.sender + "." + envelope.kind : envelope.kind;
}

std::string call_key(const Address& caller, const std::string& slice, std::uint64_t life, std::uint64_t call) {
  return caller.text + "/" + slice + "/" + std::to_string(life) + "/" + std::to_string(call);
}
}  // namespace

Address address_of(const std::string& machine) {
  return Address(machine + ":1");
}

Roster first_roster(const std::vector<MachineSetup>& machines, const std::vector<std::string>& names) {
  Roster roster{Version{1}, {}};
  for (const auto& machine : machines)
    if (std::find(names.begin(), names.end(), machine.name) != names.end())
      roster.seats.push_back(
          Voter{StorageNodeId("holder-" + machine.name), address_of(machine.name), ZoneId(machine.zone), machine.name});
  return roster;
}

// ---- machines

Machine::Machine(Cluster& cluster, MachineSetup given)
    : setup(std::move(given)), address(address_of(setup.name)), disk(cluster.scheduler), cluster_(cluster) {}

void Machine::start() {
  ++life_;
  process_ = std::make_shared<Process>();
  process_->machine = setup.name;
  shared_state_ = std::make_unique<SharedState>();
  timers_ = std::make_unique<ModelTimers>(cluster_.scheduler, process_);
  random_ =
      std::make_unique<simulate::SeededRandom>(hash_of(setup.name, life_ * 1000 + cluster_.schedule().latency_seed));
  duties_ = std::make_unique<Duties>();
  disk.attach(process_);
  disk.acknowledges_early = cluster_.fault == PlantedFault::sync_not_awaited;
  const bool first_start = cluster_.first_start && life_ == 1;
  Member self;
  self.address = self.callers = self.control = address;
  self.zone = ZoneId(setup.zone);
  self.incarnation = new_incarnation(std::chrono::hours(1000) + (cluster_.scheduler.now() - TimePoint{}), *random_);
  self.keeps = setup.keeps;
  self.name = setup.name;
  auto messenger = [&](const std::string& slice) -> Messenger& {
    auto made = std::make_unique<Messenger>(*this, *timers_, address, self.incarnation, slice);
    return *(duties_->messengers[slice] = std::move(made));
  };
  duties_->founding = std::make_unique<Founding>(messenger("founding"), *shared_state_, first_start);
  if (setup.has_disk) {
    ReplicatedStore::Report report;
    duties_->store = std::make_unique<ReplicatedStore>(messenger("store"), *shared_state_, disk, *random_, self,
                                                       cluster_.seeds, std::move(report), first_start);
    (void)duties_->store->load();
    self.holder = duties_->store->identity();
  }
  duties_->sessions = std::make_unique<Sessions>(messenger("sessions"), *shared_state_, self, cluster_.seeds);
  duties_->news = std::make_unique<ConfigurationGossip>(messenger("news"), *shared_state_, *random_,
                                                        self.keeps_control(), &format_);
  duties_->client = std::make_unique<StoreClient>(messenger("control"), *shared_state_);
  duties_->fleet_calls = std::make_unique<FleetCalls>(*duties_->messengers["control"], *shared_state_);
  duties_->sessions->start();
  duties_->news->start();
  if (duties_->store) duties_->store->start();
}

void Machine::crash(std::uint32_t mask) {
  if (!alive()) return;
  process_->alive = false;
  disk.crash(mask);
  struct Remains {
    std::unique_ptr<Duties> duties;
    std::unique_ptr<SharedState> shared_state;
    std::unique_ptr<ModelTimers> timers;
    std::unique_ptr<simulate::SeededRandom> random;
  };
  cluster_.scheduler.graveyard.push_back(std::make_shared<Remains>(
      Remains{std::move(duties_), std::move(shared_state_), std::move(timers_), std::move(random_)}));
}

void Machine::send(const Address& to, Envelope envelope) {
  cluster_.transmit(*this, to, std::move(envelope));
}

void Machine::take(Envelope envelope) {
  if (!duties_) return;
  auto messenger = duties_->messengers.find(envelope.slice);
  if (messenger != duties_->messengers.end()) messenger->second->take(std::move(envelope));
}

// ---- the cluster

Cluster::Cluster(const Schedule& schedule, PlantedFault planted, std::vector<MachineSetup> setups, Observer& observer)
    : fault(planted), schedule_(schedule), observer_(observer) {
  for (auto& setup : setups) machines_.push_back(std::make_unique<Machine>(*this, std::move(setup)));
  for (const auto& each : schedule_.deviations)
    if (each.kind == DeviationKind::lose || each.kind == DeviationKind::delay) named_[each.target] = &each;
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

void Cluster::found_before(const std::vector<std::string>& names) {
  std::vector<MachineSetup> setups;
  for (const auto& each : machines_) setups.push_back(each->setup);
  const Roster roster = first_roster(setups, names);
  for (const auto& seat : roster.seats) {
    Bytes image = frame_entry(DiskEntry{.what = "identity", .holder = seat.holder, .address = seat.address}, 0);
    image += frame_entry(DiskEntry{.what = "roster", .roster = roster}, 0);
    at(seat.address)->disk.put(std::move(image));
  }
}

void Cluster::restart(Machine& machine) {
  if (machine.alive()) return;
  machine.start();
  observer_.on_start(machine);
}

void Cluster::strike(const Deviation& deviation) {
  if (deviation.kind == DeviationKind::lose || deviation.kind == DeviationKind::delay) return;
  if (deviation.kind == DeviationKind::cut) {
    const std::size_t split = deviation.target.find('>');
    const auto pair = std::make_pair(deviation.target.substr(0, split), deviation.target.substr(split + 1));
    scheduler.at(deviation.at, [this, pair] { cuts_.insert(pair); });
    scheduler.at(deviation.at + deviation.length, [this, pair] {
      if (auto found = cuts_.find(pair); found != cuts_.end()) cuts_.erase(found);
    });
    return;
  }
  Machine& struck = machine(deviation.target);
  if (deviation.kind == DeviationKind::slow) {
    scheduler.at(deviation.at, [&struck] { struck.disk.sync_time = slow_sync; });
    return scheduler.at(deviation.at + deviation.length, [&struck] { struck.disk.sync_time = sound_sync; });
  }
  if (deviation.kind == DeviationKind::freeze) {
    scheduler.at(deviation.at, [&struck] {
      if (struck.alive()) struck.process()->frozen = true;
    });
    return scheduler.at(deviation.at + deviation.length, [this, &struck] {
      if (struck.alive() && struck.process()->frozen) scheduler.wake(struck.process());
    });
  }
  const bool wipes = deviation.kind == DeviationKind::wipe;
  scheduler.at(deviation.at, [this, &struck, wipes, mask = deviation.mask] {
    struck.crash(mask);
    if (!wipes) return;
    struck.disk.wipe(fault == PlantedFault::wiped_keeps_identity);
    observer_.on_wipe(struck);
  });
  scheduler.at(deviation.at + deviation.length, [this, &struck] { restart(struck); });
}

void Cluster::heal() {
  cuts_.clear();
  for (auto& each : machines_) {
    each->disk.sync_time = sound_sync;
    if (each->alive() && each->process()->frozen) scheduler.wake(each->process());
    restart(*each);
  }
}

bool Cluster::is_cut(const std::string& from, const std::string& to) const {
  return cuts_.contains({from, to}) || cuts_.contains({from, "*"}) || cuts_.contains({"*", to});
}

// Named deviations first; otherwise the rates of the schedule decide, as a pure function of the message's name.
std::optional<Deviation> Cluster::deviation_of(const std::string& name) {
  if (scheduler.milliseconds() >= deviations_until) return std::nullopt;
  if (auto found = named_.find(name); found != named_.end()) return *found->second;
  const std::uint32_t whole = schedule_.lose_permille + schedule_.delay_permille;
  if (whole == 0) return std::nullopt;
  const std::uint64_t draw = hash_of(name, schedule_.latency_seed + 77);
  const std::uint64_t share = draw % 1000;
  if (share >= whole) return std::nullopt;
  Deviation deviation{share < schedule_.lose_permille ? DeviationKind::lose : DeviationKind::delay, name, 0, 0, 0};
  if (deviation.kind == DeviationKind::delay) deviation.length = delays[draw / 1000 % std::size(delays)];
  return deviation;
}

Cluster::Passage Cluster::passage(Machine& from, Machine& to, const Envelope& envelope) {
  if (&from == &to) return Passage{false, local_latency};
  const std::string kind = from.setup.name + ">" + to.setup.name + ":" + message_kind(envelope);
  const std::string name = kind + "#" + std::to_string(++sent_[kind]);
  if (log != nullptr) log->push_back(SentMessage{scheduler.milliseconds(), name});
  Passage passage{is_cut(from.setup.name, to.setup.name), network_latency};
  if (schedule_.latency_seed != 0)
    passage.latency += Duration(static_cast<std::int64_t>(hash_of(name, schedule_.latency_seed) % latency_spread));
  if (passage.lost) return passage;
  if (auto deviation = deviation_of(name)) {
    passage.lost = deviation->kind == DeviationKind::lose;
    passage.latency += milliseconds(deviation->length);
    applied_.push_back(std::move(*deviation));
  }
  return passage;
}

void Cluster::transmit(Machine& from, const Address& to, Envelope envelope) {
  Machine* target = at(to);
  if (target == nullptr || !target->alive()) return;
  if (auto assumed = assumed_answer(fault, from.disk.ordered(), to, envelope))
    return deliver(*target, from, std::move(*assumed), local_latency);
  const Passage way = passage(from, *target, envelope);
  if (!envelope.reply) {
    observer_.on_request(from, *target, envelope);
    if (envelope.call != 0)
      requests_[call_key(from.address, envelope.sender, from.life(), envelope.call)] =
          Request{envelope.kind, envelope.body, target->address, scheduler.now()};
  } else {
    auto asked = requests_.find(call_key(to, envelope.slice, target->life(), envelope.call));
    const auto life = taken_lives_.find(call_key(to, envelope.slice, 0, envelope.call) + ">" + from.setup.name);
    const bool former = life != taken_lives_.end() && life->second != target->life();
    if (asked != requests_.end() && former) {
      observer_.on_former_reply(from, *target, asked->second, envelope);
    } else if (asked != requests_.end()) {
      observer_.on_reply(from, *target, asked->second, envelope);
      if (way.lost) requests_.erase(asked);
    }
  }
  if (!way.lost) deliver(from, *target, std::move(envelope), way.latency);
}

// What was on its way to a process that has ended since is lost with its connection. A replier may answer a caller that
// has started again since it asked.
void Cluster::deliver(Machine& from, Machine& to, Envelope envelope, Duration latency) {
  auto shared = std::make_shared<Envelope>(std::move(envelope));
  const std::uint64_t caller_life = from.life();
  scheduler.after(latency, to.process(), [this, &from, &to, shared, caller_life] {
    if (!shared->reply) {
      taken_lives_[call_key(from.address, shared->sender, 0, shared->call) + ">" + to.setup.name] = caller_life;
      rewrite_taken(fault, to.disk.ordered(), nullptr, *shared);
      return to.take(std::move(*shared));
    }
    auto asked = requests_.find(call_key(to.address, shared->slice, to.life(), shared->call));
    rewrite_taken(fault, to.disk.ordered(), asked == requests_.end() ? nullptr : &asked->second, *shared);
    if (asked != requests_.end()) requests_.erase(asked);
    to.take(std::move(*shared));
  });
}

}  // namespace mothwalk::model
