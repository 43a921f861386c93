// The scenarios: each brings one kind of failure about, alone or mixed, and is replayed exactly by its seed.
#pragma once
#include "simulate/cluster.hpp"
#include "stand_ins/judge.hpp"

namespace mothwalk::simulate {

struct Outcome {
  std::string scenario;
  std::uint64_t seed = 0;
  Verdict verdict;  // the judge's and the cluster's findings together
  std::vector<std::string> story;
  double virtual_seconds = 0;
  std::uint64_t events = 0, frames = 0, bytes = 0;
  std::size_t machines = 0;
  std::map<std::string, std::uint64_t> points;
  std::vector<std::string> final_state;
  std::vector<std::string> figures;  // that the scenario tells beside its verdict
};

struct Scenario {
  std::string name, about;
  std::function<void(SimulatedCluster&)> faults;  // called when the load begins
  Duration load = std::chrono::seconds(20), settle = std::chrono::seconds(35);
  Limits limits{1000, 0};   // what the judge allows a run
  bool closes = false;      // it ends with a closing fault of its own, and another one would be more than may be lost
  std::string shape = {};   // the only one that it is for; empty: any
  bool needs_lots = false;  // of the callers in the shape
  // Why it can't be played in the shape; empty where it can.
  std::string obstacle(const std::string& given) const;
  bool fits(const std::string& given) const { return obstacle(given).empty(); }
};

const std::vector<Scenario>& scenarios();
// Losses that follow one another as soon as the platform allows it; each ends with the loss of a disk and of all power.
std::vector<Scenario> loss_scenarios();
const Scenario* find_scenario(const std::string& name);
// One numbered point of a kind, and what is done there to the machine that passes it.
struct Strike {
  std::string kind, action;  // kill, wipe, freeze
  std::uint64_t number = 0;
};
Outcome run(const Scenario& scenario, std::uint64_t seed, const std::string& shape, const Strike& strike = {},
            bool closing = false);
// Every kind of point that a quiet run passes, each action, `times` numbers each.
std::vector<Strike> strikes(std::uint64_t seed, const std::string& shape, std::uint64_t times);

}  // namespace mothwalk::simulate
