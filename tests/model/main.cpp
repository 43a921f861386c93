// model-check: explores the control state's duties over orders of delivery, losses, crashes, wipes and freezes.
//   model-check [--shape NAME] [--seed N] [--runs K] [--exhaustive K] [--fault NAME] [--expect-found]
//   model-check --replay "SCHEDULE" [--fault NAME]
//   model-check --faults [--seed N] [--runs K]    each planted fault has to be found on some shape
//   model-check --list
#include <chrono>
#include <iostream>

#include "model/explorer.hpp"

using namespace mothwalk;
using namespace mothwalk::model;

namespace {

struct Options {
  std::string shape = "all", replay, fault = "none";
  std::uint64_t seed = 1, runs = 20, exhaustive = 0;
  bool faults = false, list = false, bad = false;
};

Options read_options(int count, char** arguments) {
  Options options;
  for (int index = 1; index < count; ++index) {
    const std::string name = arguments[index];
    if (name == "--faults") {
      options.faults = true;
    } else if (name == "--list") {
      options.list = true;
    } else if (index + 1 == count) {
      options.bad = true;
    } else {
      const std::string value = arguments[++index];
      if (name == "--shape")
        options.shape = value;
      else if (name == "--replay")
        options.replay = value;
      else if (name == "--fault")
        options.fault = value;
      else if (name == "--seed")
        options.seed = std::stoull(value);
      else if (name == "--runs")
        options.runs = std::stoull(value);
      else if (name == "--exhaustive")
        options.exhaustive = std::stoull(value);
      else
        options.bad = true;
    }
  }
  return options;
}

std::optional<PlantedFault> fault_named(const std::string& name) {
  for (const auto& [text, fault] : planted_faults)
    if (text == name) return fault;
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

// Whether the fault is found on one of the shapes.
bool find(View name, PlantedFault fault, const Options& options) {
  for (const auto& shape : shapes()) {
    if (options.shape != "all" && options.shape != shape.name) continue;
    Totals totals;
    auto failure = random_walks(shape, fault, options.seed, options.runs, totals);
    if (!failure) continue;
    const Failure smallest = shrink(*failure, fault);
    std::cout << name << ": " << smallest.result.violation->invariant << " on " << shape.name << ", seed "
              << smallest.schedule.latency_seed << ", run " << failure->runs << ", shrunk to "
              << smallest.schedule.deviations.size() << " deviations\n  --replay \""
              << write_schedule(smallest.schedule) << "\"\n";
    return true;
  }
  std::cout << name << ": not found\n";
  return false;
}

int find_all(const Options& options) {
  bool all = true;
  for (const auto& [name, fault] : planted_faults)
    if (fault != PlantedFault::none) all = find(name, fault, options) && all;
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
                 "       model-check --replay \"SCHEDULE\" [--fault NAME] | --faults | --list\n";
    return 2;
  }
  if (options.list) {
    for (const auto& shape : shapes()) std::cout << shape.name << ": " << shape.about << "\n";
    return 0;
  }
  if (!options.replay.empty()) return replay(options, *fault);
  return options.faults ? find_all(options) : explore(options, *fault);
}
