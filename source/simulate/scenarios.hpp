// The scenarios of the simulator. Each injects one kind of failure or a mix of them, and a seed reproduces a run
// exactly.
#pragma once
#include "simulate/cluster.hpp"
#include "stand_ins/judge.hpp"

namespace mothwalk::simulate {

// The result of one run.
struct Outcome {
  std::string scenario;
  std::uint64_t seed = 0;
  Verdict verdict;                     // The violations found by the judge and by the cluster.
  std::vector<std::string> event_log;  // The log of events, with the faults and configuration changes of the run.
  double virtual_seconds = 0;
  std::uint64_t events = 0, frames = 0, bytes = 0;
  std::size_t machines = 0;
  std::map<std::string, std::uint64_t> fault_point_counts;  // The number of fault points passed, by kind.
  std::vector<std::string> final_state;
  std::vector<std::string> figures;  // Figures that the scenario prints in addition to its verdict.
};

// A scenario: the faults that it injects, how long the load lasts, and how long the system then has to settle.
struct Scenario {
  std::string name, description;
  std::function<void(SimulatedCluster&)> faults;  // Called when the load begins.
  Duration load = std::chrono::seconds(20), settle = std::chrono::seconds(35);
  Limits limits{1000, 0};  // What the judge allows in a run.
  // The scenario ends with a closing fault of its own. A second one would be more than the system has to survive.
  bool has_closing_fault = false;
  std::string shape = {};   // The only shape in which the scenario can run; empty for any.
  bool needs_lots = false;  // Whether clients of the shape must submit lots (batches).
  // The reason why the scenario can't run in the shape; empty if it can.
  std::string unsupported_reason(const std::string& given) const;
  bool supports_shape(const std::string& given) const { return unsupported_reason(given).empty(); }
};

const std::vector<Scenario>& scenarios();
// Scenarios in which machines and disks are lost one after another, as soon as the platform may cause the next loss.
// Each ends with a wiped disk and a loss of power at all machines.
std::vector<Scenario> loss_scenarios();
const Scenario* find_scenario(const std::string& name);
// A fault point, given by its kind and number, and what is done to the machine that passes it. Number 0 means no fault.
struct InjectedFault {
  std::string kind, action;  // The action is "kill", "wipe" or "freeze".
  std::uint64_t number = 0;
};
// Runs the scenario. With `closing`, all machines lose power near the end of the load, unless the scenario ends with a
// closing fault of its own.
Outcome run(const Scenario& scenario, std::uint64_t seed, const std::string& shape, const InjectedFault& fault = {},
            bool closing = false);
// The faults for every kind of point that a run without faults passes: each action at `times` random numbers.
std::vector<InjectedFault> faults_at_points(std::uint64_t seed, const std::string& shape, std::uint64_t times);

}  // namespace mothwalk::simulate
