// A simulated cluster: machines, runners and clients, built from the same shapes (stand_ins/shapes.hpp) as fleets of
// real processes.
#pragma once
#include "circle/circle.hpp"
#include "control/control.hpp"
#include "gossip/configuration_gossip.hpp"
#include "lots/item_placer.hpp"
#include "lots/lots.hpp"
#include "routes/router.hpp"
#include "sessions/sessions.hpp"
#include "simulate/simulated_runner_client.hpp"
#include "simulate/world.hpp"
#include "stand_ins/shapes.hpp"

namespace mothwalk::simulate {

class SimulatedCluster;

// A machine with a daemon: it creates the daemon's components at each start, connects them to the simulated network and
// destroys them when the daemon is killed.
class Machine : public Transport {
 public:
  Machine(SimulatedCluster& cluster, std::string name, std::string zone, bool disk, std::string keeps, Address address,
          Duration time_per_kilobyte = {});
  void send(const Address& to, Envelope envelope) override;
  // Delivers a message to the component that it is addressed to.
  void receive(Envelope envelope);
  void start();
  void kill(bool wipe);
  bool alive() const { return process_ && process_->alive; }
  bool suspended() const { return alive() && process_->suspended; }
  void suspend();
  std::uint64_t incarnation() const { return incarnation_; }
  // A machine that is cut off from others need not be up to date until it is connected again.
  void mark_cut_off() { undisturbed_since = TimePoint{INT64_MAX / 4}; }
  void mark_reconnected();
  void resume();

  const std::string name, zone;
  const bool has_disk;
  // What the daemon stores, as in Member::keeps: "control", "lots", or empty for both.
  const std::string keeps;
  bool serves() const { return keeps != "lots"; }  // Whether clients and operators may connect to it.
  const Address address;
  SharedState& shared_state() { return *shared_state_; }
  SimulatedDisk& disk() { return disk_; }
  ProcessPointer process() { return process_; }
  Router* router() { return components_ ? components_->router.get() : nullptr; }
  const CircleManager* circle() const { return components_ ? components_->circle.get() : nullptr; }
  StoreClient* client() { return components_ ? components_->client.get() : nullptr; }
  Control* control() { return components_ ? components_->control.get() : nullptr; }
  // The messenger of the operator interface, for operator dialects that a test attaches to it; null while the machine
  // is down.
  Messenger* control_messenger() { return components_ ? components_->messengers.at("control").get() : nullptr; }
  ReplicatedStore* replicated_store() { return components_ ? components_->replicated_store.get() : nullptr; }
  // Messages and bytes sent; bytes_in counts the bytes received while World::measuring is set.
  std::uint64_t frames = 0, bytes = 0, bytes_in = 0;
  Duration clock_offset{};      // The error of its wall clock.
  TimePoint undisturbed_since;  // The time of the last fault or recovery of this machine.

 private:
  struct Components {
    std::map<std::string, std::unique_ptr<Messenger>> messengers;
    std::unique_ptr<SimulatedRunnerClient> live_runner_client, lot_runner_client;
    std::unique_ptr<Sessions> sessions;
    std::unique_ptr<ConfigurationGossip> gossip;
    std::unique_ptr<RosterBootstrap> roster_bootstrap;
    std::unique_ptr<ReplicatedStore> replicated_store;
    std::unique_ptr<CircleManager> circle;
    std::unique_ptr<Lots> lots;
    std::unique_ptr<ItemPlacer> item_placer;
    std::unique_ptr<Router> router;
    std::unique_ptr<Control> control;
    std::unique_ptr<StoreClient> client;
  };
  // Runs `task`, which handles a message of `size` bytes, after the messages before it are handled and the simulated
  // processing time of this one has passed.
  void handle_in_order(std::size_t size, Task task);
  void exit_and_restart();

  SimulatedCluster& cluster_;
  const Duration time_per_kilobyte_;
  TimePoint busy_until_;
  ProcessPointer process_;
  std::unique_ptr<SharedState> shared_state_ = std::make_unique<SharedState>();
  std::unique_ptr<SimulatedTimers> timers_;
  SimulatedDisk disk_;
  std::unique_ptr<Components> components_;
  std::uint64_t incarnation_ = 0;
};

// All machines, runners and clients of one simulation, with the rules that the cluster checks itself.
class SimulatedCluster {
 public:
  SimulatedCluster(World& simulated_world, Shape cluster_shape);
  World& world;
  Shape shape;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<RunnerModel>> runners;

  Machine* find_machine(const Address& address);
  RunnerModel* find_runner(const Address& address);
  std::vector<Machine*> storage_nodes();  // All machines with a disk, dead ones included.
  // A random machine that is alive, not suspended and open to clients; the first machine if there is none.
  Machine& any_alive();
  // Adds a machine with an empty disk at a new address; it is not started yet.
  Machine& add_machine(const std::string& zone, const std::string& keeps = {});

  void start();                // Starts all machines, then applies the configuration of the shape.
  void load(Duration length);  // Sends requests and lots (batches) at the rates of the shape for the given time.
  // Sends a request to the control interface of a machine; status 0 means that no response came. `client_interface`
  // selects the interface for clients instead of that for operators.
  void control(Machine& machine, const std::string& method, const std::string& target, const std::string& body,
               std::function<void(int, const std::string&)> then, bool client_interface = false);
  // Applies a document, retrying until it is acknowledged, and passes the acknowledged stamp to `then`.
  void apply(const std::string& key, const std::string& document, std::function<void(Stamp)> then);
  // The same, with both the change and its acknowledgement written to the event log.
  void operator_change(
      const std::string& key, const std::string& document, std::function<void(Stamp)> then = [](Stamp) {});
  void crash_runner(RunnerModel& runner);
  // If not 0, one client in this many reads its response slowly, and one in five times as many does not read it at all.
  std::size_t slow_client_interval = 0;
  std::size_t max_client_backlog = 0;  // The most bytes of a response that waited for a client to read them.
  std::size_t longest_message = 0;     // The longest message between machines, in bytes.
  // Requests the progress of a storage node's retirement from any daemon, as an operator does.
  void query_retirement(const std::string& roster, const Address& holder, std::function<void(RetirementReply)> then);
  // Starts a crashed runner again; it is slower than usual (cold) for the given time.
  void restart_runner(RunnerModel& runner, Duration cold);
  bool ready() const { return ready_; }
  bool first_start = false;                  // Set while the whole fleet starts for the first time.
  std::vector<Address> seeds;                // The addresses through which a starting daemon finds the others.
  void on_machine_killed(Machine& machine);  // Ends the streams of the clients of a machine that was killed.

  // A configuration change that was acknowledged to an operator.
  struct Acknowledged {
    std::string key;
    Stamp stamp;
    TimePoint when;
  };
  std::vector<Acknowledged> acknowledged;
  std::vector<std::string> broken;   // Violations of the rules that the cluster and the scenarios check themselves.
  std::vector<std::string> figures;  // Figures that a scenario prints in addition to its verdict.
  bool total_loss_injected = false;  // Set once the closing fault has taken every machine down.
  bool checks_rules = true;          // Whether start() also starts check_rules_periodically.
  void check_rules_periodically();

 private:
  class SimulatedClient;
  // A request in progress from a client or an operator; `lost` is called when its machine is killed.
  struct Call {
    Machine* machine = nullptr;
    ProcessPointer process;
    std::function<void()> on_machine_killed;
  };
  struct LotState;  // A lot (batch) that a client has submitted, with the results it has read so far.
  // Calls `send` with consecutive numbers at the average rate `*rate` (per second) until `end`.
  void generate_load(const double* rate, std::function<void(std::uint64_t)> send, std::uint64_t number, TimePoint end);
  void send_stream(const StreamLoad& load, std::uint64_t number);
  void submit_lot(const LotLoad& load, std::uint64_t number, TimePoint end);
  void put_lot(std::shared_ptr<LotState> lot);
  void poll_results(std::shared_ptr<LotState> lot);
  void cancel_lot(std::shared_ptr<LotState> lot);
  void record_results(std::shared_ptr<LotState> lot, const std::string& text);
  void apply_all(std::shared_ptr<std::vector<std::pair<std::string, std::string>>> documents, std::size_t index);
  void try_apply(const std::string& key, const std::string& document, std::function<void(Stamp)> then);

  std::map<std::uint64_t, Call> calls_;
  std::uint64_t last_call_ = 0;
  bool ready_ = false;
  std::map<std::string, Stamp> logged_circles_;  // The newest stamp of each circle that was logged.
  // The highest stamp seen, by machine and incarnation, and by key.
  std::map<std::string, std::map<std::string, Stamp>> highest_stamps_;
};

}  // namespace mothwalk::simulate
