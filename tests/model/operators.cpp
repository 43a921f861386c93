// Each operator begins its next operation after the previous one has ended. A configuration change whose outcome is
// unknown is resent unchanged through another daemon.
#include "model/operators.hpp"

#include "coding/cbor.hpp"
#include "coding/digest.hpp"

namespace mothwalk::model {

namespace {
using std::chrono::milliseconds;
constexpr Duration change_limit = milliseconds(1500);    // given to the daemon for a configuration change
constexpr Duration read_limit = milliseconds(1000);      // given to the daemon for other operations
constexpr Duration client_timeout = milliseconds(2500);  // until the operator stops waiting for the daemon
constexpr int max_sends = 4;                             // of one configuration change

// The pause between operations in milliseconds: a minimum and a random part below pause_range.
constexpr std::int64_t min_pause = 60, pause_range = 500;

Outcome outcome_of(const Error* error) {
  if (error == nullptr) return Outcome::acknowledged;
  if (error->kind == ErrorKind::conflict || error->kind == ErrorKind::unknown_name) return Outcome::refused;
  if (error->kind == ErrorKind::refused) return Outcome::no_effect;
  return Outcome::unknown;
}

// Returns a runner listing with a single runner, named after the token.
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

struct Operator::OngoingOperation {
  std::string key;
  std::size_t index = 0;
  std::uint64_t send_number = 0;  // the number of the current send; responses to earlier sends are ignored
  int sends = 0;
  bool unknown = false, finished = false;
};

Operator::Operator(Cluster& cluster, std::string name, OperatorPlan plan, std::int64_t until,
                   std::map<std::string, std::vector<Operation>>& histories)
    : cluster_(cluster), name_(std::move(name)), plan_(std::move(plan)), until_(until), histories_(histories) {
  cluster_.scheduler.at(plan_.begin, [this] { start_next_operation(); });
}

Machine* Operator::choose_machine() {
  std::vector<Machine*> candidates;
  for (auto& each : cluster_.machines())
    if (each->running()) candidates.push_back(each.get());
  if (candidates.empty()) return nullptr;
  return candidates[hash_of(name_, cluster_.schedule().latency_seed * 31 + ++choice_count_) % candidates.size()];
}

Operation& Operator::record(const OngoingOperation& ongoing) {
  return histories_[ongoing.key][ongoing.index];
}

std::shared_ptr<Operator::OngoingOperation> Operator::begin(const std::string& key, OperationKind kind,
                                                            std::string value) {
  auto& history = histories_[key];
  history.push_back(
      Operation{kind, std::move(value), 0, Outcome::unknown, cluster_.scheduler.now(), TimePoint{INT64_MAX}});
  auto ongoing = std::make_shared<OngoingOperation>();
  ongoing->key = key;
  ongoing->index = history.size() - 1;
  return ongoing;
}

void Operator::finish(const std::shared_ptr<OngoingOperation>& ongoing, Outcome outcome) {
  if (std::exchange(ongoing->finished, true)) return;
  Operation& operation = record(*ongoing);
  operation.outcome = outcome;
  if (outcome != Outcome::unknown) operation.completed = cluster_.scheduler.now();
  const auto pause =
      static_cast<std::int64_t>(hash_of(name_, cluster_.schedule().latency_seed * 17 + next_step_) % pause_range);
  cluster_.scheduler.after(milliseconds(min_pause + pause), nullptr, [this] { start_next_operation(); });
}

void Operator::start_next_operation() {
  if (cluster_.scheduler.milliseconds() >= until_ || (next_step_ >= plan_.steps.size() && !plan_.repeats)) return;
  const Step step = plan_.steps[next_step_++ % plan_.steps.size()];
  const std::string token = name_ + "." + std::to_string(next_step_);
  Write request;
  switch (step) {
    case Step::change: {
      auto ongoing = begin(std::string(configuration_key), OperationKind::compare_and_set, token);
      record(*ongoing).base = revision_;
      return change(std::move(ongoing));
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

void Operator::change(std::shared_ptr<OngoingOperation> ongoing) {
  Machine* machine = choose_machine();
  const Operation operation = record(*ongoing);
  const std::uint64_t send_number = ++ongoing->send_number;
  if (++ongoing->sends > max_sends) return finish(ongoing, ongoing->unknown ? Outcome::unknown : Outcome::no_effect);
  auto retry = [this, ongoing] {
    cluster_.scheduler.after(milliseconds(150), nullptr, [this, ongoing] { change(ongoing); });
  };
  if (machine == nullptr) return retry();
  ConfigurationChange change;
  change.identity = OrderIdentity{operation.base, operation.base + 1, digest_of(operation.value)};
  change.make = [operation](const FleetConfiguration&) -> Result<Bytes> {
    return operation.value;
  };
  machine->fleet_calls()->change(std::move(change), change_limit,
                                 [this, ongoing, send_number, retry](Result<Version> result) {
                                   if (ongoing->finished || ongoing->send_number != send_number) return;
                                   ++ongoing->send_number;
                                   const Outcome outcome = outcome_of(error_of(result));
                                   if (outcome == Outcome::acknowledged) revision_ = record(*ongoing).base + 1;
                                   if (outcome == Outcome::acknowledged || outcome == Outcome::refused)
                                     return finish(ongoing, outcome);
                                   ongoing->unknown = ongoing->unknown || outcome == Outcome::unknown;
                                   retry();
                                 });
  cluster_.scheduler.after(client_timeout, nullptr, [ongoing, send_number, retry] {
    if (ongoing->finished || ongoing->send_number != send_number) return;
    ++ongoing->send_number;
    ongoing->unknown = true;
    retry();
  });
}

void Operator::show() {
  auto ongoing = begin(std::string(configuration_key), OperationKind::read, {});
  Machine* machine = choose_machine();
  cluster_.scheduler.after(client_timeout, nullptr, [this, ongoing] { finish(ongoing, Outcome::unknown); });
  if (machine == nullptr) return;
  machine->fleet_calls()->show(read_limit, [this, ongoing](Result<FleetConfiguration> result) {
    if (ongoing->finished) return;
    const auto* error = error_of(result);
    const bool does_not_exist = error != nullptr && error->kind == ErrorKind::unknown_name;
    if (error != nullptr && !does_not_exist) return finish(ongoing, Outcome::unknown);
    revision_ = does_not_exist ? 0 : std::get<FleetConfiguration>(result).revision;
    record(*ongoing).value = configuration_value(result);
    finish(ongoing, Outcome::acknowledged);
  });
}

void Operator::write(Write request, OperationKind kind) {
  auto ongoing = begin(request.key, kind, value_of(request.key, request.head.value_or(std::string())));
  Machine* machine = choose_machine();
  cluster_.scheduler.after(client_timeout, nullptr, [this, ongoing] { finish(ongoing, Outcome::unknown); });
  if (machine == nullptr) return;
  machine->client()->write(std::move(request), read_limit, [this, ongoing](Result<WriteReply> result) {
    if (!ongoing->finished) finish(ongoing, outcome_of(error_of(result)));
  });
}

void Operator::read(const std::string& key) {
  auto ongoing = begin(key, OperationKind::read, {});
  Machine* machine = choose_machine();
  cluster_.scheduler.after(client_timeout, nullptr, [this, ongoing] { finish(ongoing, Outcome::unknown); });
  if (machine == nullptr) return;
  read_value(*machine, key, [this, ongoing](std::optional<std::string> value) {
    if (ongoing->finished) return;
    if (value) record(*ongoing).value = std::move(*value);
    finish(ongoing, value ? Outcome::acknowledged : Outcome::unknown);
  });
}

void read_value(Machine& machine, const std::string& key, std::function<void(std::optional<std::string>)> callback) {
  if (key == configuration_key)
    return machine.fleet_calls()->show(read_limit, [callback](Result<FleetConfiguration> result) {
      const auto* error = error_of(result);
      if (error != nullptr && error->kind != ErrorKind::unknown_name) return callback(std::nullopt);
      callback(configuration_value(result));
    });
  machine.client()->read(key, read_limit, [callback](Result<ReadReply> result) {
    const auto* reply = std::get_if<ReadReply>(&result);
    callback(reply == nullptr ? std::nullopt : std::optional(value_of(*reply)));
  });
}

}  // namespace mothwalk::model
