// One run: trouble and operators, healing, confirmed reads through every daemon, and the check of the histories.
#include "model/explorer.hpp"

#include <algorithm>

namespace mothwalk::model {

namespace {
using std::chrono::milliseconds;
constexpr std::int64_t calm_time = 5000;   // milliseconds from healing to the last reads
constexpr std::int64_t patience = 9000;    // milliseconds that the last reads may take
constexpr std::size_t widest_point = 40;   // messages that the exhaustive search takes up
constexpr std::int64_t point_length = 40;  // milliseconds

class Run {
 public:
  Run(const Schedule& schedule, const Shape& shape, PlantedFault fault, std::vector<Cluster::SentMessage>* log)
      : shape_(shape), cluster_(schedule, fault, shape.machines, invariants_) {
    invariants_.watch(cluster_);
    cluster_.log = log;
    for (const auto& name : shape.seeds) cluster_.seeds.push_back(cluster_.machine(name).address);
    cluster_.first_start = shape.seats.empty();
    cluster_.deviations_until = shape.heal_at;
    cluster_.found_before(shape.seats);
    for (const auto& deviation : schedule.deviations) cluster_.strike(deviation);
  }

  RunResult run() {
    for (auto& machine : cluster_.machines()) {
      machine->start();
      invariants_.on_start(*machine);
    }
    std::vector<std::unique_ptr<Operator>> operators;
    for (std::size_t index = 0; index < shape_.operators.size(); ++index)
      operators.push_back(std::make_unique<Operator>(cluster_, "operator" + std::to_string(index),
                                                     shape_.operators[index], shape_.trouble_until, histories_));
    cluster_.scheduler.at(shape_.heal_at, [this] { cluster_.heal(); });
    cluster_.scheduler.at(shape_.heal_at + calm_time, [this] { read_all(); });
    cluster_.scheduler.run_until(TimePoint{(shape_.heal_at + calm_time + patience) * 1000},
                                 [this](const std::string& machine) { return after_step(machine); });
    return result();
  }

 private:
  bool after_step(const std::string& machine) {
    if (!machine.empty()) invariants_.check(cluster_.machine(machine));
    return !invariants_.violation() && (!reading_ || unread_ > 0);
  }

  void read_all() {
    reading_ = true;
    for (auto& machine : cluster_.machines())
      for (const auto& [key, history] : histories_) {
        ++unread_;
        read_once(*machine, key);
      }
  }

  void read_once(Machine& machine, const std::string& key) {
    if (!machine.running()) return;
    const TimePoint called = cluster_.scheduler.now();
    read_value(machine, key, [this, &machine, key, called](std::optional<std::string> value) {
      if (!value)
        return cluster_.scheduler.after(milliseconds(100), nullptr, [this, &machine, key] { read_once(machine, key); });
      --unread_;
      histories_[key].push_back(
          Operation{OperationKind::read, *value, 0, Outcome::acknowledged, called, cluster_.scheduler.now()});
    });
  }

  RunResult result() {
    RunResult result;
    if (!invariants_.violation()) check_histories();
    result.violation = invariants_.violation();
    for (const auto& [key, history] : histories_) result.histories += "  " + key + ":\n" + describe(history);
    result.applied = cluster_.applied();
    result.states = invariants_.states();
    result.steps = cluster_.scheduler.steps();
    return result;
  }

  void check_histories() {
    for (const auto& [key, history] : histories_)
      if (!linearizable(history))
        return invariants_.fail("not-linearizable",
                                "the answers on " + key + " follow from no order of the operations");
    if (shape_.must_recover && cluster_.fault == PlantedFault::none && unread_ > 0)
      invariants_.fail("no-recovery", std::to_string(unread_) + " reads were not answered " + std::to_string(patience) +
                                          " ms after the world was whole");
  }

  const Shape& shape_;
  Invariants invariants_;
  Cluster cluster_;
  std::map<std::string, std::vector<Operation>> histories_;
  bool reading_ = false;
  std::size_t unread_ = 0;
};

void count(Totals& totals, const RunResult& result) {
  ++totals.runs;
  totals.steps += result.steps;
  totals.states.insert(result.states.begin(), result.states.end());
}

// The single deviations around the shape's point.
std::vector<Deviation> deviations_at_point(const Shape& shape, const Schedule& plain) {
  std::vector<Cluster::SentMessage> log;
  run_schedule(plain, PlantedFault::none, &log);
  auto at_point = [&](const Cluster::SentMessage& message) {
    return message.at >= shape.point && (message.name.find(":store.promise#") != std::string::npos ||
                                         message.name.find(":founding.") != std::string::npos);
  };
  auto first = std::find_if(log.begin(), log.end(), at_point);
  std::vector<Deviation> singles;
  std::set<std::int64_t> times;
  std::size_t messages = 0;
  for (auto each = first; each != log.end() && each->at < first->at + point_length && messages < widest_point; ++each) {
    if (each->name.find(":store.") == std::string::npos && each->name.find(":founding.") == std::string::npos) continue;
    ++messages;
    times.insert(each->at);
    singles.push_back({DeviationKind::lose, each->name, 0, 0, 0});
    singles.push_back({DeviationKind::delay, each->name, 0, 350, 0});
  }
  for (const std::int64_t time : times)
    for (const auto& machine : shape.machines) {
      singles.push_back({DeviationKind::crash, machine.name, time + 1, 400, 0});
      singles.push_back({DeviationKind::freeze, machine.name, time + 1, 1500, 0});
    }
  return singles;
}

}  // namespace

RunResult run_schedule(const Schedule& schedule, PlantedFault fault, std::vector<Cluster::SentMessage>* log) {
  const Shape* shape = shape_named(schedule.shape);
  if (shape == nullptr) return {};
  return Run(schedule, *shape, fault, log).run();
}

std::optional<Failure> random_walks(const Shape& shape, PlantedFault fault, std::uint64_t seed, std::uint64_t runs,
                                    Totals& totals) {
  for (std::uint64_t number = 0; number < runs; ++number) {
    Schedule schedule = random_schedule(shape, seed + number);
    RunResult result = run_schedule(schedule, fault);
    count(totals, result);
    if (result.violation) return Failure{number + 1, std::move(schedule), std::move(result)};
  }
  return std::nullopt;
}

std::optional<Failure> exhaustive(const Shape& shape, PlantedFault fault, std::uint64_t most_runs, Totals& totals) {
  Schedule plain{shape.name, 0, 0, 0, shape.trouble};
  const auto singles = deviations_at_point(shape, plain);
  std::uint64_t runs = 0;
  std::optional<Failure> failure;
  auto attempt = [&](std::initializer_list<Deviation> more) {
    if (failure || runs == most_runs) return;
    Schedule schedule = plain;
    schedule.deviations.insert(schedule.deviations.end(), more.begin(), more.end());
    RunResult result = run_schedule(schedule, fault);
    count(totals, result);
    ++runs;
    if (result.violation) failure = Failure{runs, std::move(schedule), std::move(result)};
  };
  for (const auto& single : singles) attempt({single});
  for (std::size_t first = 0; first < singles.size() && runs < most_runs && !failure; ++first)
    for (std::size_t second = first + 1; second < singles.size(); ++second) attempt({singles[first], singles[second]});
  return failure;
}

Failure shrink(const Failure& failure, PlantedFault fault) {
  Failure best = failure;
  const std::string invariant = failure.result.violation->invariant;
  auto attempt = [&](Schedule schedule) {
    RunResult result = run_schedule(schedule, fault);
    if (!result.violation || result.violation->invariant != invariant) return false;
    best.schedule = std::move(schedule);
    best.result = std::move(result);
    return true;
  };
  Schedule recorded = failure.schedule;
  recorded.lose_permille = recorded.delay_permille = 0;
  recorded.deviations.insert(recorded.deviations.end(), failure.result.applied.begin(), failure.result.applied.end());
  if (failure.schedule.lose_permille + failure.schedule.delay_permille > 0 && !attempt(std::move(recorded)))
    return best;
  for (std::size_t piece = best.schedule.deviations.size(); piece > 0; piece /= 2)
    for (std::size_t at = 0; at < best.schedule.deviations.size();) {
      Schedule smaller = best.schedule;
      const auto first = smaller.deviations.begin() + static_cast<std::ptrdiff_t>(at);
      const auto last =
          smaller.deviations.begin() + static_cast<std::ptrdiff_t>(std::min(at + piece, smaller.deviations.size()));
      smaller.deviations.erase(first, last);
      if (!attempt(std::move(smaller))) at += piece;
    }
  return best;
}

}  // namespace mothwalk::model
