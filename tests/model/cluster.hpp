// Daemons made of the product's own duty objects for control state, on the deterministic scheduler: sessions, news,
// founding, the replicated store, and the calls of operators. The wire between them follows a schedule.
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

// Takes any text for a configuration document without content.
class AnyDocument : public ConfigurationFormat {
 public:
  Result<ConfigurationContent> read(StringView) const override { return ConfigurationContent{}; }
};

struct MachineSetup {
  std::string name, zone;
  bool has_disk = true;
  std::string keeps = "control";  // as in Member
};

Address address_of(const std::string& machine);
// The roster of the named machines, as if founded in an earlier life.
Roster first_roster(const std::vector<MachineSetup>& machines, const std::vector<std::string>& names);

class Machine : public Transport {
 public:
  Machine(Cluster& cluster, MachineSetup setup);
  void start();
  void crash(std::uint32_t mask);
  void send(const Address& to, Envelope envelope) override;
  void take(Envelope envelope);
  bool alive() const { return process_ && process_->alive; }
  bool running() const { return alive() && !process_->frozen; }

  const MachineSetup setup;
  const Address address;
  ModelDisk disk;
  ProcessPointer process() const { return process_; }
  std::uint64_t life() const { return life_; }
  SharedState& shared_state() { return *shared_state_; }
  FleetCalls* fleet_calls() { return duties_ ? duties_->fleet_calls.get() : nullptr; }
  StoreClient* client() { return duties_ ? duties_->client.get() : nullptr; }

 private:
  struct Duties {
    std::map<std::string, std::unique_ptr<Messenger>> messengers;
    std::unique_ptr<Sessions> sessions;
    std::unique_ptr<ConfigurationGossip> news;
    std::unique_ptr<Founding> founding;
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
  std::unique_ptr<Duties> duties_;
  std::uint64_t life_ = 0;
};

// What a monitor is told of the cluster.
class Observer {
 public:
  virtual ~Observer() = default;
  virtual void on_request(const Machine& from, const Machine& to, const Envelope& envelope) = 0;
  virtual void on_reply(const Machine& from, const Machine& to, const Request& request, const Envelope& envelope) = 0;
  // A reply to a call of the caller's former life, whose number the caller has used again since.
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
  std::int64_t deviations_until = 0;  // milliseconds; the world is whole afterwards

  std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }
  Machine& machine(const std::string& name);
  Machine* at(const Address& address);
  // Gives the machines disks as if they had founded a roster of these seats in an earlier life.
  void found_before(const std::vector<std::string>& names);
  void strike(const Deviation& deviation);  // plans a machine's trouble or a cut
  void heal();                              // ends all cuts and freezes, starts what is down
  void transmit(Machine& from, const Address& to, Envelope envelope);
  const Schedule& schedule() const { return schedule_; }
  // The deviations of messages that came about, named as a schedule names them.
  const std::vector<Deviation>& applied() const { return applied_; }
  struct SentMessage {
    std::int64_t at = 0;  // milliseconds
    std::string name;
  };
  std::vector<SentMessage>* log = nullptr;  // of all messages between machines, where one is wanted

 private:
  struct Passage {
    bool lost = false;
    Duration latency{};
  };
  Passage passage(Machine& from, Machine& to, const Envelope& envelope);
  std::optional<Deviation> deviation_of(const std::string& name);
  bool is_cut(const std::string& from, const std::string& to) const;
  void deliver(Machine& from, Machine& to, Envelope envelope, Duration latency);
  void restart(Machine& machine);

  const Schedule schedule_;
  Observer& observer_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unordered_map<std::string, std::uint64_t> sent_;  // messages of a name so far
  std::unordered_map<std::string, const Deviation*> named_;
  std::map<std::string, Request> requests_;           // that may still be answered
  std::map<std::string, std::uint64_t> taken_lives_;  // of the callers whose requests were taken, by replier and call
  std::vector<Deviation> applied_;
  std::multiset<std::pair<std::string, std::string>> cuts_;
};

}  // namespace mothwalk::model
