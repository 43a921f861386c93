// Simulated model runners, and the client through which daemons send attempts (single tries of a request) to them.
#pragma once
#include "simulate/simulated_connections.hpp"
#include "simulate/world.hpp"

namespace mothwalk::simulate {

class SimulatedCluster;

// The state of a simulated runner. It executes up to `slots` requests at once, and lets as many more wait.
struct RunnerModel {
  std::string name, kind, zone;
  Address address;
  std::uint32_t slots = 4;
  // `leaving` is set while a scenario has marked the runner as leaving; no other fault may do so then.
  bool down = false, leaving = false;
  // The fault mode: "sound" (healthy), "dark" (no response), "slow" (six times as slow), "truncate" (aborts responses)
  // or "nonsense" (invalid responses).
  std::string mode = "sound";
  double aborted_response_fraction = 0;  // The fraction of its responses that it aborts.
  RunnerConnections connections;         // Connections are modelled only for a runner that limits their number.
  TimePoint cold_until;                  // Until then the runner takes twice as long for everything.
  std::uint64_t incarnation = 1, runs = 0;
  std::uint32_t active = 0;
  std::deque<Task> waiting;
  // By run: called to break the run's stream when the runner crashes.
  std::map<std::string, Task> on_crash;
  // The lot (batch) items that run now, and the most that ever ran at once.
  std::uint32_t items = 0, most_items = 0;
  // The most requests offered at once while the runner was cold, and while a lot item was among them.
  std::uint32_t most_offered_cold = 0, most_mixed = 0;
  std::string worst_cold, worst_mixed;
  // The hashes of the prompt prefixes in its cache, the most recent one first, and the cache hits and misses.
  std::deque<std::uint64_t> prefixes;
  std::uint64_t prefix_hits = 0, prefix_misses = 0;
};

// The runner client of one simulated process.
class SimulatedRunnerClient : public RunnerClient {
 public:
  SimulatedRunnerClient(SimulatedCluster& cluster, std::string machine_name, std::string zone, ProcessPointer process);
  ~SimulatedRunnerClient() override;
  Id start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> observer) override;
  void cancel(Id id) override;
  void close_idle(const Address& to, const std::string& runner) override;
  std::size_t connections(const Address& to, const std::string& runner) const override;
  void set_paused(Id id, bool held) override;

 private:
  struct Attempt {
    AttemptRequest request;
    std::shared_ptr<AttemptObserver> observer;
    RunnerModel* runner = nullptr;
    std::uint64_t runner_incarnation = 0;
    std::string id, run, sender;  // `sender` is the machine that sent it.
    std::uint32_t chunks = 0, chunks_sent = 0;
    bool started = false, ended = false, item = false, paused = false;
    bool head_received = false;             // The daemon has received the head of the response.
    bool aborts_response = false;           // The runner aborts the response.
    std::deque<Task> undelivered;           // Events that arrived from the runner while the attempt was paused.
    TimePoint decided_at;                   // The time when the daemon decided to send it.
    SimulatedConnectionPointer connection;  // Null if the runner does not limit its connections.
    bool reuses_connection = false;
    // Incremented with every sign of progress, which makes the watchdogs set before ineffective.
    std::uint64_t watchdog_generation = 0;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;
  void dispatch(Id id, const AttemptPointer& attempt);
  void connected(Id id, const AttemptPointer& attempt, Duration latency);
  void transmit(Id id, const AttemptPointer& attempt, Duration latency);
  void arrive_at_runner(Id id, const AttemptPointer& attempt, const ProcessPointer& process);
  void connection_lost(Id id, const AttemptPointer& attempt);
  static void record_run_start(SimulatedCluster& cluster, const AttemptPointer& attempt);
  void start_run(Id id, const AttemptPointer& attempt);
  void send_next_chunk(Id id, const AttemptPointer& attempt);
  void deliver_to_daemon(Id id, const AttemptPointer& attempt, std::function<void()> notify_daemon);
  void finish(Id id, const AttemptPointer& attempt, AttemptOutcome end);
  static void release_slot(SimulatedCluster& cluster, const AttemptPointer& attempt, const std::string& end_reason);
  void start_watchdog(Id id, const AttemptPointer& attempt, Duration budget);

  SimulatedCluster& cluster_;
  std::string machine_name_, zone_;
  ProcessPointer process_;
  SimulatedConnectionPool connections_;
  std::map<Id, AttemptPointer> attempts_;
  Id last_ = 0;
};

}  // namespace mothwalk::simulate
