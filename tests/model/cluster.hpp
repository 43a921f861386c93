// A cluster of simulated daemons on the deterministic scheduler. Each daemon consists of the product's own components
// for control state: sessions, configuration gossip, founding, the replicated store and the operators' calls. A
// schedule decides which messages between them are lost or delayed.
#pragma once
#include <unordered_map>

#include "control/fleet_calls.hpp"
#include "gossip/configuration_gossip.hpp"
#include "model/planted_faults.hpp"
#include "model/schedule.hpp"
#include "replication/replicated_store.hpp"
#include "sessions/sessions.hpp"

namespace mothwalk::model {

class Cluster;

// A document format that accepts any text and reads no lanes, kinds or limits from it.
class AnyDocument : public ConfigurationFormat {
 public:
  Result<ConfigurationContent> read(StringView) const override { return ConfigurationContent{}; }
};

// How a machine is set up: its name, its zone and whether it is a storage node.
struct MachineSetup {
  std::string name, zone;
  bool has_disk = true;
  std::string keeps = "control";  // the value of Member::keeps
};

Address address_of(const std::string& machine);
// Returns the roster whose voters are the named machines, as if it had been founded before the run.
Roster first_roster(const std::vector<MachineSetup>& machines, const std::vector<std::string>& names);

// A machine with its disk, which outlives processes, and its daemon process, if one is running.
class Machine : public Transport {
 public:
  Machine(Cluster& cluster, MachineSetup setup);
  void start();
  void crash(std::uint32_t mask);  // ends the process; ModelDisk::crash explains the mask
  void send(const Address& to, Envelope envelope) override;
  void receive(Envelope envelope);
  bool alive() const { return process_ && process_->alive; }
  bool running() const { return alive() && !process_->suspended; }

  const MachineSetup setup;
  const Address address;
  ModelDisk disk;
  ProcessPointer process() const { return process_; }
  std::uint64_t incarnation() const { return incarnation_; }
  SharedState& shared_state() { return *shared_state_; }
  FleetCalls* fleet_calls() { return components_ ? components_->fleet_calls.get() : nullptr; }
  StoreClient* client() { return components_ ? components_->client.get() : nullptr; }

 private:
  struct Components {
    std::map<std::string, std::unique_ptr<Messenger>> messengers;
    std::unique_ptr<Sessions> sessions;
    std::unique_ptr<ConfigurationGossip> gossip;
    std::unique_ptr<RosterBootstrap> founding;
    std::unique_ptr<ReplicatedStore> store;
    std::unique_ptr<StoreClient> client;
    std::unique_ptr<FleetCalls> fleet_calls;
  };
  Cluster& cluster_;
  ProcessPointer process_;
  std::unique_ptr<SharedState> shared_state_;
  std::unique_ptr<ModelTimers> timers_;
  std::unique_ptr<simulate::SeededRandom> random_;
  const AnyDocument format_;
  std::unique_ptr<Components> components_;
  std::uint64_t incarnation_ = 0;
};

// Receives the events of a cluster that invariants are checked on.
class Observer {
 public:
  virtual ~Observer() = default;
  virtual void on_request(const Machine& from, const Machine& to, const Envelope& envelope) = 0;
  virtual void on_reply(const Machine& from, const Machine& to, const Request& request, const Envelope& envelope) = 0;
  // A reply to a call of the client's previous incarnation, which reaches the new one. Call numbers restart with each
  // incarnation, so the new one may have a call with the same number in progress.
  virtual void on_former_reply(const Machine& from, const Machine& to, const Request& request,
                               const Envelope& envelope) = 0;
  virtual void on_start(Machine& machine) = 0;
  virtual void on_wipe(Machine& machine) = 0;
};

class Cluster {
 public:
  Cluster(const Schedule& schedule, PlantedFault fault, std::vector<MachineSetup> setups, Observer& observer);
  Scheduler scheduler;
  const PlantedFault fault;
  std::vector<Address> seeds;
  bool first_start = false;
  std::int64_t deviations_until = 0;  // in milliseconds; messages are neither lost nor delayed afterwards

  std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }
  Machine& machine(const std::string& name);
  Machine* at(const Address& address);
  // Prepares the machines' disks as if the named ones had been founded as voters before the run.
  void install_initial_roster(const std::vector<std::string>& names);
  void schedule_deviation(const Deviation& deviation);  // adds the events of a fault of a machine or of a partition
  void end_all_faults();  // ends all partitions and suspensions, restarts machines that are down
  void transmit(Machine& from, const Address& to, Envelope envelope);
  const Schedule& schedule() const { return schedule_; }
  // The deviations that affected messages so far, in the form of a schedule.
  const std::vector<Deviation>& applied() const { return applied_; }
  struct SentMessage {
    std::int64_t at = 0;  // milliseconds
    std::string name;
  };
  std::vector<SentMessage>* log = nullptr;  // if set, receives all messages between machines

 private:
  struct Transit {
    bool lost = false;
    Duration latency{};
  };
  Transit transit_of(Machine& from, Machine& to, const Envelope& envelope);
  std::optional<Deviation> deviation_of(const std::string& name);
  bool is_partitioned(const std::string& from, const std::string& to) const;
  void deliver(Machine& from, Machine& to, Envelope envelope, Duration latency);
  void restart(Machine& machine);

  const Schedule schedule_;
  Observer& observer_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unordered_map<std::string, std::uint64_t> sent_counts_;  // the number of messages sent so far, by name
  std::unordered_map<std::string, const Deviation*> deviations_by_message_;
  std::map<std::string, Request> requests_;  // requests that may still get a reply

  // The incarnation of the client that sent the last received request, by call and replying machine.
  std::map<std::string, std::uint64_t> client_incarnations_;
  std::vector<Deviation> applied_;
  std::multiset<std::pair<std::string, std::string>> partitions_;
};

}  // namespace mothwalk::model
