// A run: operators work while the schedule's deviations take effect, then all faults end, every daemon makes confirmed
// reads, and the recorded histories are checked.
#include "model/explorer.hpp"

#include <algorithm>

namespace mothwalk::model {

namespace {
using std::chrono::milliseconds;
constexpr std::int64_t recovery_time = 5000;       // milliseconds from the end of all faults to the final reads
constexpr std::int64_t read_timeout = 9000;        // milliseconds that the final reads may take
constexpr std::size_t max_messages_at_point = 40;  // messages that the exhaustive search considers
constexpr std::int64_t point_duration = 40;        // milliseconds from the first to the last of these messages

class Run {
 public:
  Run(const Schedule& schedule, const Shape& shape, PlantedFault fault, std::vector<Cluster::SentMessage>* log)
      : shape_(shape), cluster_(schedule, fault, shape.machines, invariants_) {
    invariants_.watch(cluster_);
    cluster_.log = log;
    for (const auto& name : shape.seeds) cluster_.seeds.push_back(cluster_.machine(name).address);
    cluster_.first_start = shape.voters.empty();
    cluster_.deviations_until = shape.faults_end_at;
    cluster_.install_initial_roster(shape.voters);
    for (const auto& deviation : schedule.deviations) cluster_.schedule_deviation(deviation);
  }

  RunResult run() {
    for (auto& machine : cluster_.machines()) {
      machine->start();
      invariants_.on_start(*machine);
    }
    std::vector<std::unique_ptr<Operator>> operators;
    for (std::size_t index = 0; index < shape_.operators.size(); ++index)
      operators.push_back(std::make_unique<Operator>(cluster_, "operator" + std::to_string(index),
                                                     shape_.operators[index], shape_.deviations_until, histories_));
    cluster_.scheduler.at(shape_.faults_end_at, [this] { cluster_.end_all_faults(); });
    cluster_.scheduler.at(shape_.faults_end_at + recovery_time, [this] { read_on_all_machines(); });
    cluster_.scheduler.run_until(TimePoint{(shape_.faults_end_at + recovery_time + read_timeout) * 1000},
                                 [this](const std::string& machine) { return check_after_step(machine); });
    return result();
  }

 private:
  bool check_after_step(const std::string& machine) {
    if (!machine.empty()) invariants_.check(cluster_.machine(machine));
    return !invariants_.violation() && (!final_reads_started_ || open_reads_ > 0);
  }

  void read_on_all_machines() {
    final_reads_started_ = true;
    for (auto& machine : cluster_.machines())
      for (const auto& [key, history] : histories_) {
        ++open_reads_;
        read_until_answered(*machine, key);
      }
  }

  void read_until_answered(Machine& machine, const std::string& key) {
    if (!machine.running()) return;
    const TimePoint started = cluster_.scheduler.now();
    read_value(machine, key, [this, &machine, key, started](std::optional<std::string> value) {
      if (!value)
        return cluster_.scheduler.after(milliseconds(100), nullptr,
                                        [this, &machine, key] { read_until_answered(machine, key); });
      --open_reads_;
      histories_[key].push_back(
          Operation{OperationKind::read, *value, 0, Outcome::acknowledged, started, cluster_.scheduler.now()});
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
        return invariants_.fail("not-linearizable", "the responses for " + key + " fit no sequence of the operations");
    if (shape_.must_recover && cluster_.fault == PlantedFault::none && open_reads_ > 0)
      invariants_.fail("no-recovery", std::to_string(open_reads_) + " reads got no response within " +
                                          std::to_string(read_timeout) + " ms after all faults had ended");
  }

  const Shape& shape_;
  Invariants invariants_;
  Cluster cluster_;
  std::map<std::string, std::vector<Operation>> histories_;
  bool final_reads_started_ = false;
  std::size_t open_reads_ = 0;
};

void add_to_totals(Totals& totals, const RunResult& result) {
  ++totals.runs;
  totals.steps += result.steps;
  totals.states.insert(result.states.begin(), result.states.end());
}

// Lists the single deviations that the exhaustive search combines: those of the first messages of founding or of a
// takeover after Shape::exhaustive_from.
std::vector<Deviation> deviations_at_point(const Shape& shape, const Schedule& base_schedule) {
  std::vector<Cluster::SentMessage> log;
  run_schedule(base_schedule, PlantedFault::none, &log);
  auto is_at_point = [&](const Cluster::SentMessage& message) {
    return message.at >= shape.exhaustive_from && (message.name.find(":store.promise#") != std::string::npos ||
                                                   message.name.find(":founding.") != std::string::npos);
  };
  auto first = std::find_if(log.begin(), log.end(), is_at_point);
  std::vector<Deviation> single_deviations;
  std::set<std::int64_t> times;
  std::size_t messages = 0;
  for (auto each = first;
       each != log.end() && each->at < first->at + point_duration && messages < max_messages_at_point; ++each) {
    if (each->name.find(":store.") == std::string::npos && each->name.find(":founding.") == std::string::npos) continue;
    ++messages;
    times.insert(each->at);
    single_deviations.push_back({DeviationKind::lose, each->name, 0, 0, 0});
    single_deviations.push_back({DeviationKind::delay, each->name, 0, 350, 0});
  }
  for (const std::int64_t time : times)
    for (const auto& machine : shape.machines) {
      single_deviations.push_back({DeviationKind::crash, machine.name, time + 1, 400, 0});
      single_deviations.push_back({DeviationKind::suspend, machine.name, time + 1, 1500, 0});
    }
  return single_deviations;
}

}  // namespace

RunResult run_schedule(const Schedule& schedule, PlantedFault fault, std::vector<Cluster::SentMessage>* log) {
  const Shape* shape = shape_named(schedule.shape);
  if (shape == nullptr) return {};
  return Run(schedule, *shape, fault, log).run();
}

std::optional<Failure> run_random_schedules(const Shape& shape, PlantedFault fault, std::uint64_t seed,
                                            std::uint64_t runs, Totals& totals) {
  for (std::uint64_t number = 0; number < runs; ++number) {
    Schedule schedule = random_schedule(shape, seed + number);
    RunResult result = run_schedule(schedule, fault);
    add_to_totals(totals, result);
    if (result.violation) return Failure{number + 1, std::move(schedule), std::move(result)};
  }
  return std::nullopt;
}

std::optional<Failure> run_exhaustive_search(const Shape& shape, PlantedFault fault, std::uint64_t max_runs,
                                             Totals& totals) {
  Schedule base_schedule{shape.name, 0, 0, 0, shape.deviations};
  const auto single_deviations = deviations_at_point(shape, base_schedule);
  std::uint64_t runs = 0;
  std::optional<Failure> failure;
  auto run_with = [&](std::initializer_list<Deviation> more) {
    if (failure || runs == max_runs) return;
    Schedule schedule = base_schedule;
    schedule.deviations.insert(schedule.deviations.end(), more.begin(), more.end());
    RunResult result = run_schedule(schedule, fault);
    add_to_totals(totals, result);
    ++runs;
    if (result.violation) failure = Failure{runs, std::move(schedule), std::move(result)};
  };
  for (const auto& single : single_deviations) run_with({single});
  for (std::size_t first = 0; first < single_deviations.size() && runs < max_runs && !failure; ++first)
    for (std::size_t second = first + 1; second < single_deviations.size(); ++second)
      run_with({single_deviations[first], single_deviations[second]});
  return failure;
}

Failure shrink(const Failure& failure, PlantedFault fault) {
  Failure best = failure;
  const std::string invariant = failure.result.violation->invariant;
  auto run_with = [&](Schedule schedule) {
    RunResult result = run_schedule(schedule, fault);
    if (!result.violation || result.violation->invariant != invariant) return false;
    best.schedule = std::move(schedule);
    best.result = std::move(result);
    return true;
  };
  Schedule recorded = failure.schedule;
  recorded.lose_permille = recorded.delay_permille = 0;
  recorded.deviations.insert(recorded.deviations.end(), failure.result.applied.begin(), failure.result.applied.end());
  if (failure.schedule.lose_permille + failure.schedule.delay_permille > 0 && !run_with(std::move(recorded)))
    return best;
  for (std::size_t chunk = best.schedule.deviations.size(); chunk > 0; chunk /= 2)
    for (std::size_t at = 0; at < best.schedule.deviations.size();) {
      Schedule smaller = best.schedule;
      const auto first = smaller.deviations.begin() + static_cast<std::ptrdiff_t>(at);
      const auto last =
          smaller.deviations.begin() + static_cast<std::ptrdiff_t>(std::min(at + chunk, smaller.deviations.size()));
      smaller.deviations.erase(first, last);
      if (!run_with(std::move(smaller))) at += chunk;
    }
  return best;
}

}  // namespace mothwalk::model
