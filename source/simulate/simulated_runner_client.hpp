// Runners that play the model, and the attempts of daemons at them, with the connections that these go over.
#pragma once
#include "simulate/simulated_connections.hpp"
#include "simulate/world.hpp"

namespace mothwalk::simulate {

class SimulatedCluster;

struct RunnerModel {
  std::string name, kind, zone;
  Address address;
  std::uint32_t slots = 4;
  bool down = false, leaving = false;  // leaving: a scenario plays with it, and no other one may
  std::string mode = "sound";          // sound, dark, slow, truncate, nonsense
  double broken_share = 0;             // of its answers, that it breaks off
  RunnerConnections connections;       // where it has no limit of them, they are not modelled
  TimePoint cold_until;
  std::uint64_t life = 1, runs = 0;
  std::uint32_t active = 0;
  std::deque<Task> waiting;
  std::map<std::string, Task> on_crash;                 // by run: the stream that breaks
  std::uint32_t items = 0, most_items = 0;              // of lots, taken and not ended
  std::uint32_t most_offered_cold = 0, most_mixed = 0;  // mixed: with an item among them
  std::string worst_cold, worst_mixed;
  std::deque<std::uint64_t> prefixes;
  std::uint64_t hits = 0, misses = 0;
};

class SimulatedRunnerClient : public RunnerClient {
 public:
  SimulatedRunnerClient(SimulatedCluster& cluster, std::string place, std::string zone, LifePointer life);
  ~SimulatedRunnerClient() override;
  Id start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> watcher) override;
  void cancel(Id id) override;
  void close_idle(const Address& to, const std::string& runner) override;
  std::size_t connections(const Address& to, const std::string& runner) const override;
  void hold(Id id, bool held) override;

 private:
  struct Attempt {
    AttemptRequest request;
    std::shared_ptr<AttemptObserver> watcher;
    RunnerModel* runner = nullptr;
    std::uint64_t runner_life = 0;
    std::string id, run, by;  // by: the machine that sent it
    std::uint32_t pieces = 0, given = 0;
    bool began = false, ended = false, item = false, held = false;
    bool headed = false;                    // the daemon has the head of its answer
    bool breaks = false;                    // the runner breaks its answer off
    std::deque<Task> kept;                  // what has come while the attempt was held
    TimePoint decided;                      // when its caller decided to send it
    SimulatedConnectionPointer connection;  // where the runner has a limit of them
    bool over_kept_connection = false;
    std::uint64_t beat = 0;  // grows with every sign of life, for the budgets
  };
  using AttemptPointer = std::shared_ptr<Attempt>;
  void dispatch(Id id, const AttemptPointer& attempt);
  void connected(Id id, const AttemptPointer& attempt, Duration way);
  void transmit(Id id, const AttemptPointer& attempt, Duration way);
  void arrive(Id id, const AttemptPointer& attempt, const LifePointer& life);
  void connection_lost(Id id, const AttemptPointer& attempt);
  static void enter(SimulatedCluster& cluster, const AttemptPointer& attempt);
  void begin(Id id, const AttemptPointer& attempt);
  void step(Id id, const AttemptPointer& attempt);
  void give(Id id, const AttemptPointer& attempt, std::function<void()> what);
  void finish(Id id, const AttemptPointer& attempt, AttemptOutcome end);
  static void free(SimulatedCluster& cluster, const AttemptPointer& attempt, const std::string& how);
  void guard(Id id, const AttemptPointer& attempt, Duration budget);

  SimulatedCluster& cluster_;
  std::string place_, zone_;
  LifePointer life_;
  SimulatedConnectionPool connections_;
  std::map<Id, AttemptPointer> attempts_;
  Id last_ = 0;
};

}  // namespace mothwalk::simulate
