// A cluster: machines, runners and callers in the simulated world, built from the same shapes as the real fleets.
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

class Machine : public Transport {
 public:
  Machine(SimulatedCluster& cluster, std::string name, std::string zone, bool disk, std::string keeps, Address address,
          Duration time_per_kilobyte = {});
  void send(const Address& to, Envelope envelope) override;
  void take(Envelope envelope);
  void start();
  void kill(bool wipe);
  bool alive() const { return life_ && life_->alive; }
  bool frozen() const { return alive() && life_->frozen; }
  void freeze();
  std::uint64_t incarnation() const { return incarnation_; }
  // Nothing is owed by a machine that is cut off, until it is joined again.
  void cut_off() { undisturbed_since = TimePoint{INT64_MAX / 4}; }
  void joined();
  void wake();

  const std::string name, zone;
  const bool has_disk;
  const std::string keeps;                         // as in Member
  bool serves() const { return keeps != "lots"; }  // callers and operators
  const Address address;
  SharedState& shared_state() { return *shared_state_; }
  SimulatedDisk& disk() { return disk_; }
  LifePointer life() { return life_; }
  Router* entries() { return duties_ ? duties_->entries.get() : nullptr; }
  const CircleDuty* circle() const { return duties_ ? duties_->circle.get() : nullptr; }
  StoreClient* client() { return duties_ ? duties_->client.get() : nullptr; }
  Control* control() { return duties_ ? duties_->control.get() : nullptr; }
  // That of the operators' calls, for surfaces that a test puts on it; null while the machine is down.
  Messenger* control_messenger() { return duties_ ? duties_->posts.at("control").get() : nullptr; }
  ReplicatedStore* kept() { return duties_ ? duties_->kept.get() : nullptr; }
  std::uint64_t frames = 0, bytes = 0, bytes_in = 0;  // sent; what was taken while the world measures
  Duration clock{};                                   // how far its wall clock is off
  TimePoint undisturbed_since;                        // since when nothing was done to it

 private:
  struct Duties {
    std::map<std::string, std::unique_ptr<Messenger>> posts;
    std::unique_ptr<SimulatedRunnerClient> live_exchange, lot_exchange;
    std::unique_ptr<Sessions> sessions;
    std::unique_ptr<ConfigurationGossip> news;
    std::unique_ptr<Founding> founding;
    std::unique_ptr<ReplicatedStore> kept;
    std::unique_ptr<CircleDuty> circle;
    std::unique_ptr<Lots> lots;
    std::unique_ptr<ItemPlacer> placing;
    std::unique_ptr<Router> entries;
    std::unique_ptr<Control> control;
    std::unique_ptr<StoreClient> client;
  };
  // Handles a message of so many bytes once those before it are handled and its own time is over.
  void handle(std::size_t size, Task task);
  void end_and_start_again();

  SimulatedCluster& cluster_;
  const Duration time_per_kilobyte_;
  TimePoint busy_until_;
  LifePointer life_;
  std::unique_ptr<SharedState> shared_state_ = std::make_unique<SharedState>();
  std::unique_ptr<SimulatedTimers> timers_;
  SimulatedDisk disk_;
  std::unique_ptr<Duties> duties_;
  std::uint64_t incarnation_ = 0;
};

class SimulatedCluster {
 public:
  SimulatedCluster(World& given, Shape given_shape);
  World& world;
  Shape shape;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<RunnerModel>> runners;

  Machine* machine_at(const Address& address);
  RunnerModel* runner_at(const Address& address);
  std::vector<Machine*> holders();
  Machine& any_alive();
  Machine& add_machine(const std::string& zone, const std::string& keeps = {});  // with an empty disk, at a new address

  void start();                // all machines, then the configuration
  void load(Duration length);  // callers, from now on
  void control(Machine& machine, const std::string& method, const std::string& target, const std::string& body,
               std::function<void(int, const std::string&)> then, bool callers = false);
  // Applies a document, again and again until acknowledged; tells the stamp's version.
  void apply(const std::string& key, const std::string& document, std::function<void(Stamp)> then);
  void operator_change(
      const std::string& key, const std::string& document, std::function<void(Stamp)> then = [](Stamp) {});
  void crash_runner(RunnerModel& runner);
  std::size_t slow_callers = 0;  // one in so many takes its pieces slowly, one in five times so many never
  std::size_t longest_backlog = 0;
  std::size_t longest_message = 0;  // between machines
  // How far a holder's retirement is, as an operator is told by any daemon.
  void retirement(const std::string& roster, const Address& holder, std::function<void(RetirementReply)> then);
  void return_runner(RunnerModel& runner, Duration cold);
  bool ready() const { return ready_; }
  bool first_start = false;  // of the whole fleet, while it lasts
  std::vector<Address> seeds;
  void gone(Machine& machine);  // its callers' streams break

  struct Acknowledged {
    std::string key;
    Stamp stamp;
    TimePoint when;
  };
  std::vector<Acknowledged> acknowledged;
  std::vector<std::string> broken;   // rules that the cluster itself watches
  std::vector<std::string> figures;  // that a scenario tells beside its verdict
  bool lost_totally = false;         // a closing fault took every machine down
  bool watched = true;               // whether it does
  void watch_rules();

 private:
  class Caller;
  struct Call {
    Machine* machine = nullptr;
    LifePointer life;
    std::function<void()> lost;
  };
  struct LotState;
  void pace(const double* rate, std::function<void(std::uint64_t)> send, std::uint64_t number, TimePoint end);
  void send_stream(const StreamLoad& load, std::uint64_t number);
  void hand_in(const LotLoad& load, std::uint64_t number, TimePoint end);
  void submit(std::shared_ptr<LotState> lot);
  void poll(std::shared_ptr<LotState> lot);
  void cancel(std::shared_ptr<LotState> lot);
  void take_results(std::shared_ptr<LotState> lot, const std::string& text);
  void apply_all(std::shared_ptr<std::vector<std::pair<std::string, std::string>>> documents, std::size_t index);
  void try_apply(const std::string& key, const std::string& document, std::function<void(Stamp)> then);

  std::map<std::uint64_t, Call> calls_;
  std::uint64_t last_call_ = 0;
  bool ready_ = false;
  std::map<std::string, Stamp> told_circles_;
  std::map<std::string, std::map<std::string, Stamp>> highest_;  // per machine's life and key
};

}  // namespace mothwalk::simulate
