// model-check: explores how the components for control state behave under different message orders, message losses,
// crashes, wiped disks and process suspensions.
//   model-check [--shape NAME] [--seed N] [--runs K] [--exhaustive K] [--fault NAME]
//   model-check --replay "SCHEDULE" [--fault NAME]
//   model-check --faults [--seed N] [--runs K] [--unshrunk]    fails unless each planted fault is found on its shape
//   model-check --regressions FILE    fails unless each schedule of the file passes; the file has one per line
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
  bool faults = false, unshrunk = false, list = false, invalid = false;
};

bool set_option(Options& options, const std::string& name, const std::string& value) {
  const std::map<std::string, std::string*> text_options = {{"--shape", &options.shape},
                                                            {"--replay", &options.replay},
                                                            {"--regressions", &options.regressions},
                                                            {"--fault", &options.fault}};
  const std::map<std::string, std::uint64_t*> number_options = {
      {"--seed", &options.seed}, {"--runs", &options.runs}, {"--exhaustive", &options.exhaustive}};
  if (auto text = text_options.find(name); text != text_options.end()) {
    *text->second = value;
  } else if (auto number = number_options.find(name); number != number_options.end()) {
    *number->second = std::stoull(value);
  } else {
    return false;
  }
  return true;
}

Options read_options(int argument_count, char** arguments) {
  Options options;
  for (int index = 1; index < argument_count; ++index) {
    const std::string name = arguments[index];
    if (name == "--faults") {
      options.faults = true;
    } else if (name == "--unshrunk") {
      options.unshrunk = true;
    } else if (name == "--list") {
      options.list = true;
    } else if (index + 1 == argument_count) {
      options.invalid = true;
    } else {
      const std::string value = arguments[++index];
      options.invalid = !set_option(options, name, value) || options.invalid;
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
    std::cerr << "the schedule is malformed or names an unknown shape\n";
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
  int failures = 0, schedule_count = 0;
  while (std::getline(file, line)) {
    if (line.empty() || line.front() == '#') continue;
    ++schedule_count;
    const auto schedule = read_schedule(line);
    if (!schedule || shape_named(schedule->shape) == nullptr) {
      std::cerr << "the schedule is malformed or names an unknown shape: " << line << "\n";
      return 2;
    }
    Failure failure{1, *schedule, run_schedule(*schedule, PlantedFault::none)};
    if (!failure.result.violation) continue;
    ++failures;
    print(failure);
  }
  std::cout << schedule_count << " schedules, " << failures << " failed\n";
  return schedule_count > 0 && failures == 0 ? 0 : 1;
}

// Searches for the fault on its shape; returns whether it was found.
bool search_for_fault(const FaultPlan& plan, const Options& options) {
  const Shape* shape = shape_named(std::string(plan.shape));
  Totals totals;
  auto failure = run_random_schedules(*shape, plan.fault, options.seed, options.runs, totals);
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

int search_for_all_faults(const Options& options) {
  bool all = true;
  for (const auto& plan : planted_faults)
    if (plan.fault != PlantedFault::none) all = search_for_fault(plan, options) && all;
  return all ? 0 : 1;
}

int explore(const Options& options, PlantedFault fault) {
  const auto started_at = std::chrono::steady_clock::now();
  Totals sum;
  int failures = 0;
  for (const auto& shape : shapes()) {
    if (options.shape != "all" && options.shape != shape.name) continue;
    Totals totals;
    auto failure = run_random_schedules(shape, fault, options.seed, options.runs, totals);
    if (!failure && options.exhaustive > 0) failure = run_exhaustive_search(shape, fault, options.exhaustive, totals);
    std::cout << shape.name << ": " << totals.runs << " runs, " << totals.steps << " steps, " << totals.states.size()
              << " states" << (failure ? ", FAILED" : "") << std::endl;
    sum.runs += totals.runs;
    sum.steps += totals.steps;
    sum.states.merge(totals.states);
    if (!failure) continue;
    ++failures;
    print(shrink(*failure, fault));
  }
  const auto duration = std::chrono::steady_clock::now() - started_at;
  std::cout << sum.runs << " runs, " << sum.steps << " steps, " << sum.states.size() << " distinct states, "
            << std::chrono::duration_cast<std::chrono::seconds>(duration).count() << " s, " << failures << " failed\n";
  return failures == 0 ? 0 : 1;
}

}  // namespace

int main(int argument_count, char** arguments) {
  const Options options = read_options(argument_count, arguments);
  const auto fault = fault_named(options.fault);
  if (options.invalid || !fault) {
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
  return options.faults ? search_for_all_faults(options) : explore(options, *fault);
}
