// model-check: explores the control state's duties over orders of delivery, losses, crashes, wipes and freezes.
//   model-check [--shape NAME] [--seed N] [--runs K] [--exhaustive K] [--fault NAME] [--expect-found]
//   model-check --replay "SCHEDULE" [--fault NAME]
//   model-check --faults [--seed N] [--runs K] [--unshrunk]    each planted fault has to be found on its shape
//   model-check --regressions FILE    schedules that once failed, one a line, must pass
//   model-check --list
#include <chrono>
#include <fstream>
#include <iostream>

#include "model/explorer.hpp"

using namespace mothwalk;
using namespace mothwalk::model;

namespace {

struct Options {
  std::string shape = "all", replay, regressions, fault = "none";
  std::uint64_t seed = 1, runs = 20, exhaustive = 0;
  bool faults = false, unshrunk = false, list = false, bad = false;
};

bool set_option(Options& options, const std::string& name, const std::string& value) {
  const std::map<std::string, std::string*> texts = {{"--shape", &options.shape},
                                                     {"--replay", &options.replay},
                                                     {"--regressions", &options.regressions},
                                                     {"--fault", &options.fault}};
  const std::map<std::string, std::uint64_t*> numbers = {
      {"--seed", &options.seed}, {"--runs", &options.runs}, {"--exhaustive", &options.exhaustive}};
  if (auto text = texts.find(name); text != texts.end()) {
    *text->second = value;
  } else if (auto number = numbers.find(name); number != numbers.end()) {
    *number->second = std::stoull(value);
  } else {
    return false;
  }
  return true;
}

Options read_options(int count, char** arguments) {
  Options options;
  for (int index = 1; index < count; ++index) {
    const std::string name = arguments[index];
    if (name == "--faults") {
      options.faults = true;
    } else if (name == "--unshrunk") {
      options.unshrunk = true;
    } else if (name == "--list") {
      options.list = true;
    } else if (index + 1 == count) {
      options.bad = true;
    } else {
      const std::string value = arguments[++index];
      options.bad = !set_option(options, name, value) || options.bad;
    }
  }
  return options;
}

std::optional<PlantedFault> fault_named(const std::string& name) {
  for (const auto& plan : planted_faults)
    if (plan.name == name) return plan.fault;
  return std::nullopt;
}

void print(const Failure& failure) {
  std::cout << "  " << failure.result.violation->invariant << " " << failure.result.violation->text << "\n"
            << "  schedule (" << failure.schedule.deviations.size() << " deviations): --replay \""
            << write_schedule(failure.schedule) << "\"\n"
            << failure.result.histories;
}

int replay(const Options& options, PlantedFault fault) {
  const auto schedule = read_schedule(options.replay);
  if (!schedule || shape_named(schedule->shape) == nullptr) {
    std::cerr << "the schedule can't be read\n";
    return 2;
  }
  Failure failure{1, *schedule, run_schedule(*schedule, fault)};
  std::cout << failure.result.steps << " steps, " << failure.result.states.size() << " states\n";
  if (!failure.result.violation) {
    std::cout << "no violation\n" << failure.result.histories;
    return 0;
  }
  print(failure);
  return 1;
}

int replay_regressions(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  int failures = 0, count = 0;
  while (std::getline(file, line)) {
    if (line.empty() || line.front() == '#') continue;
    ++count;
    const auto schedule = read_schedule(line);
    if (!schedule || shape_named(schedule->shape) == nullptr) {
      std::cerr << "the schedule can't be read: " << line << "\n";
      return 2;
    }
    Failure failure{1, *schedule, run_schedule(*schedule, PlantedFault::none)};
    if (!failure.result.violation) continue;
    ++failures;
    print(failure);
  }
  std::cout << count << " schedules, " << failures << " failed\n";
  return count > 0 && failures == 0 ? 0 : 1;
}

// Whether the fault is found on the shape that brings it about.
bool find(const FaultPlan& plan, const Options& options) {
  const Shape* shape = shape_named(std::string(plan.shape));
  Totals totals;
  auto failure = random_walks(*shape, plan.fault, options.seed, options.runs, totals);
  if (!failure) {
    std::cout << plan.name << ": not found on " << shape->name << " in " << totals.runs << " runs\n";
    return false;
  }
  if (!options.unshrunk) failure = shrink(*failure, plan.fault);
  std::cout << plan.name << ": " << failure->result.violation->invariant << " on " << shape->name << ", seed "
            << failure->schedule.latency_seed << ", run " << failure->runs << ", "
            << failure->schedule.deviations.size() << " deviations\n  --replay \"" << write_schedule(failure->schedule)
            << "\"" << std::endl;
  return true;
}

int find_all(const Options& options) {
  bool all = true;
  for (const auto& plan : planted_faults)
    if (plan.fault != PlantedFault::none) all = find(plan, options) && all;
  return all ? 0 : 1;
}

int explore(const Options& options, PlantedFault fault) {
  const auto began = std::chrono::steady_clock::now();
  Totals whole;
  int failures = 0;
  for (const auto& shape : shapes()) {
    if (options.shape != "all" && options.shape != shape.name) continue;
    Totals totals;
    auto failure = random_walks(shape, fault, options.seed, options.runs, totals);
    if (!failure && options.exhaustive > 0) failure = exhaustive(shape, fault, options.exhaustive, totals);
    std::cout << shape.name << ": " << totals.runs << " runs, " << totals.steps << " steps, " << totals.states.size()
              << " states" << (failure ? ", FAILED" : "") << std::endl;
    whole.runs += totals.runs;
    whole.steps += totals.steps;
    whole.states.merge(totals.states);
    if (!failure) continue;
    ++failures;
    print(shrink(*failure, fault));
  }
  const auto took = std::chrono::steady_clock::now() - began;
  std::cout << whole.runs << " runs, " << whole.steps << " steps, " << whole.states.size() << " distinct states, "
            << std::chrono::duration_cast<std::chrono::seconds>(took).count() << " s, " << failures << " failed\n";
  return failures == 0 ? 0 : 1;
}

}  // namespace

int main(int count, char** arguments) {
  const Options options = read_options(count, arguments);
  const auto fault = fault_named(options.fault);
  if (options.bad || !fault) {
    std::cerr << "usage: model-check [--shape NAME] [--seed N] [--runs K] [--exhaustive K] [--fault NAME]\n"
                 "       model-check --replay \"SCHEDULE\" [--fault NAME] | --faults [--unshrunk] | --regressions FILE "
                 "| --list\n";
    return 2;
  }
  if (options.list) {
    for (const auto& shape : shapes()) std::cout << shape.name << ": " << shape.about << "\n";
    return 0;
  }
  if (!options.regressions.empty()) return replay_regressions(options.regressions);
  if (!options.replay.empty()) return replay(options, *fault);
  return options.faults ? find_all(options) : explore(options, *fault);
}
