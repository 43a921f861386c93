// Operators as closed loops: a change whose outcome is unclear is sent again, unchanged, through another daemon.
#include "model/operators.hpp"

#include "coding/cbor.hpp"
#include "coding/digest.hpp"

namespace mothwalk::model {

namespace {
using std::chrono::milliseconds;
constexpr Duration change_limit = milliseconds(1500);
constexpr Duration read_limit = milliseconds(1000);
constexpr Duration client_patience = milliseconds(2500);
constexpr int most_sends = 4;
constexpr std::int64_t shortest_pause = 60, longest_pause = 500;  // milliseconds between operations

Outcome outcome_of(const Error* fault) {
  if (fault == nullptr) return Outcome::acknowledged;
  if (fault->kind == ErrorKind::conflict || fault->kind == ErrorKind::unknown_name) return Outcome::refused;
  if (fault->kind == ErrorKind::refused) return Outcome::nothing;
  return Outcome::unclear;
}

// A listing with one runner of that name.
Bytes listing_of(const std::string& token) {
  RunnerListing listing;
  listing.runners[token] = Runner{};
  return to_cbor(listing);
}

std::string value_of(const std::string& key, const Bytes& head) {
  if (key != listing_key) return head;
  auto listing = from_cbor<RunnerListing>(head);
  return listing && !listing->runners.empty() ? listing->runners.begin()->first : std::string();
}

std::string value_of(const ReadReply& reply) {
  return reply.found && !reply.record.removed ? value_of(reply.record.key, reply.record.head) : std::string();
}

std::string configuration_value(const Result<FleetConfiguration>& result) {
  const auto* configuration = std::get_if<FleetConfiguration>(&result);
  return configuration == nullptr ? std::string() : configuration->document;
}
}  // namespace

struct Operator::Running {
  std::string key;
  std::size_t index = 0;
  std::uint64_t life = 0;  // of the sending: a later one ignores the answers of earlier ones
  int sends = 0;
  bool unclear = false, over = false;
};

Operator::Operator(Cluster& cluster, std::string name, OperatorPlan plan, std::int64_t until,
                   std::map<std::string, std::vector<Operation>>& histories)
    : cluster_(cluster), name_(std::move(name)), plan_(std::move(plan)), until_(until), histories_(histories) {
  cluster_.scheduler.at(plan_.begin, [this] { next(); });
}

Machine* Operator::choose() {
  std::vector<Machine*> running;
  for (auto& each : cluster_.machines())
    if (each->running()) running.push_back(each.get());
  if (running.empty()) return nullptr;
  return running[hash_of(name_, cluster_.schedule().latency_seed * 31 + ++sends_) % running.size()];
}

Operation& Operator::record(const Running& running) {
  return histories_[running.key][running.index];
}

std::shared_ptr<Operator::Running> Operator::begin(const std::string& key, OperationKind kind, std::string value) {
  auto& history = histories_[key];
  history.push_back(
      Operation{kind, std::move(value), 0, Outcome::unclear, cluster_.scheduler.now(), TimePoint{INT64_MAX}});
  auto running = std::make_shared<Running>();
  running->key = key;
  running->index = history.size() - 1;
  return running;
}

void Operator::finish(const std::shared_ptr<Running>& running, Outcome outcome) {
  if (std::exchange(running->over, true)) return;
  Operation& operation = record(*running);
  operation.outcome = outcome;
  if (outcome != Outcome::unclear) operation.answered = cluster_.scheduler.now();
  const auto pause =
      static_cast<std::int64_t>(hash_of(name_, cluster_.schedule().latency_seed * 17 + at_) % longest_pause);
  cluster_.scheduler.after(milliseconds(shortest_pause + pause), nullptr, [this] { next(); });
}

void Operator::next() {
  if (cluster_.scheduler.milliseconds() >= until_ || (at_ >= plan_.steps.size() && !plan_.repeats)) return;
  const Step step = plan_.steps[at_++ % plan_.steps.size()];
  const std::string token = name_ + "." + std::to_string(at_);
  Write request;
  switch (step) {
    case Step::change: {
      auto running = begin(std::string(configuration_key), OperationKind::compare_and_set, token);
      record(*running).base = revision_;
      return change(std::move(running));
    }
    case Step::show:
      return show();
    case Step::put:
    case Step::put_lot:
      request.key = step == Step::put ? listing_key : lot_register;
      request.head = step == Step::put ? listing_of(token) : token;
      request.token = token;
      return write(std::move(request), OperationKind::write);
    case Step::remove_lot:
      request.key = lot_register;
      request.removed = true;
      request.token = token;
      return write(std::move(request), OperationKind::remove);
    case Step::get:
      return read(std::string(listing_key));
    case Step::get_lot:
      return read(std::string(lot_register));
  }
}

void Operator::change(std::shared_ptr<Running> running) {
  Machine* machine = choose();
  const Operation operation = record(*running);
  const std::uint64_t life = ++running->life;
  if (++running->sends > most_sends) return finish(running, running->unclear ? Outcome::unclear : Outcome::nothing);
  auto again = [this, running] {
    cluster_.scheduler.after(milliseconds(150), nullptr, [this, running] { change(running); });
  };
  if (machine == nullptr) return again();
  ConfigurationChange change;
  change.identity = OrderIdentity{operation.base, operation.base + 1, digest_of(operation.value)};
  change.make = [operation](const FleetConfiguration&) -> Result<Bytes> {
    return operation.value;
  };
  machine->fleet_calls()->change(std::move(change), change_limit, [this, running, life, again](Result<Version> result) {
    if (running->over || running->life != life) return;
    ++running->life;
    const Outcome outcome = outcome_of(error_of(result));
    if (outcome == Outcome::acknowledged) revision_ = record(*running).base + 1;
    if (outcome == Outcome::acknowledged || outcome == Outcome::refused) return finish(running, outcome);
    running->unclear = running->unclear || outcome == Outcome::unclear;
    again();
  });
  cluster_.scheduler.after(client_patience, nullptr, [running, life, again] {
    if (running->over || running->life != life) return;
    ++running->life;
    running->unclear = true;
    again();
  });
}

void Operator::show() {
  auto running = begin(std::string(configuration_key), OperationKind::read, {});
  Machine* machine = choose();
  cluster_.scheduler.after(client_patience, nullptr, [this, running] { finish(running, Outcome::unclear); });
  if (machine == nullptr) return;
  machine->fleet_calls()->show(read_limit, [this, running](Result<FleetConfiguration> result) {
    if (running->over) return;
    const auto* fault = error_of(result);
    const bool absent = fault != nullptr && fault->kind == ErrorKind::unknown_name;
    if (fault != nullptr && !absent) return finish(running, Outcome::unclear);
    revision_ = absent ? 0 : std::get<FleetConfiguration>(result).revision;
    record(*running).value = configuration_value(result);
    finish(running, Outcome::acknowledged);
  });
}

void Operator::write(Write request, OperationKind kind) {
  auto running = begin(request.key, kind, value_of(request.key, request.head.value_or(std::string())));
  Machine* machine = choose();
  cluster_.scheduler.after(client_patience, nullptr, [this, running] { finish(running, Outcome::unclear); });
  if (machine == nullptr) return;
  machine->client()->write(std::move(request), read_limit, [this, running](Result<WriteReply> result) {
    if (!running->over) finish(running, outcome_of(error_of(result)));
  });
}

void Operator::read(const std::string& key) {
  auto running = begin(key, OperationKind::read, {});
  Machine* machine = choose();
  cluster_.scheduler.after(client_patience, nullptr, [this, running] { finish(running, Outcome::unclear); });
  if (machine == nullptr) return;
  read_value(*machine, key, [this, running](std::optional<std::string> value) {
    if (running->over) return;
    if (value) record(*running).value = std::move(*value);
    finish(running, value ? Outcome::acknowledged : Outcome::unclear);
  });
}

void read_value(Machine& machine, const std::string& key, std::function<void(std::optional<std::string>)> then) {
  if (key == configuration_key)
    return machine.fleet_calls()->show(read_limit, [then](Result<FleetConfiguration> result) {
      const auto* fault = error_of(result);
      if (fault != nullptr && fault->kind != ErrorKind::unknown_name) return then(std::nullopt);
      then(configuration_value(result));
    });
  machine.client()->read(key, read_limit, [then](Result<ReadReply> result) {
    const auto* reply = std::get_if<ReadReply>(&result);
    then(reply == nullptr ? std::nullopt : std::optional(value_of(*reply)));
  });
}

}  // namespace mothwalk::model
