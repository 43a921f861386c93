// The invariants of the control state. They are checked on every message, on the disks, and on each daemon's shared
// state after each of its steps. Only the first violation of a run is kept.
#pragma once
#include <unordered_set>

#include "model/cluster.hpp"

namespace mothwalk::model {

struct Violation {
  std::string invariant;  // the invariant's name; shrinking looks for a violation of the same one
  std::string text;
};

// Observes a cluster and records the first violation.
class Invariants : public Observer {
 public:
  void watch(Cluster& cluster) { cluster_ = &cluster; }
  void on_request(const Machine& from, const Machine& to, const Envelope& envelope) override;
  void on_reply(const Machine& from, const Machine& to, const Request& request, const Envelope& envelope) override;
  void on_former_reply(const Machine& from, const Machine& to, const Request& request,
                       const Envelope& envelope) override;
  void on_start(Machine& machine) override;
  void on_wipe(Machine& machine) override;
  // Checks a machine; to be called after each event of it.
  void check(Machine& machine);
  void fail(const std::string& invariant, const std::string& text);
  const std::optional<Violation>& violation() const { return violation_; }
  const std::unordered_set<std::uint64_t>& states() const { return state_hashes_; }

 private:
  struct GrantedPromise {
    Epoch epoch;
    StorageNodeId owner;
  };
  struct Snapshot {  // a machine's shared state at the last check
    std::shared_ptr<const Ownership> owned;
    std::shared_ptr<const ConfigurationView> configuration;
    std::shared_ptr<const Members> members;
    std::uint64_t owned_hash = 0, configuration_hash = 0, members_hash = 0;
    std::map<std::string, Stamp> stamps;
  };
  using StampHistory = std::vector<std::pair<TimePoint, Stamp>>;  // each stamp with the time from which it applies
  void on_promise_reply(const Promise& promise, const PromiseReply& reply, const Machine& replica);
  template <class Message>
  void on_store_reply(const Request& request, const Envelope& envelope, const Machine& replica);
  void on_write_reply(const Write& write, const WriteReply& reply, const Machine& owner);
  void check_roster(const Roster& roster, const Machine& machine);
  void check_owned(Machine& machine, Snapshot& snapshot);
  void check_configuration(Machine& machine, Snapshot& snapshot);
  void check_lease(Machine& machine, const Snapshot& snapshot);
  Stamp newest_of_majority(const std::string& key, const Roster& roster, TimePoint time) const;
  void count_state(Machine& machine);

  Cluster* cluster_ = nullptr;
  std::optional<Violation> violation_;
  std::map<std::pair<StorageNodeId, std::uint32_t>, GrantedPromise> promises_;  // by storage node and slot
  std::map<std::pair<std::uint32_t, Epoch>, StorageNodeId> owners_;             // by slot and epoch
  std::map<Version, Roster> rosters_;
  // The roster version of the last Store message, by machine and slot.
  std::map<std::pair<std::string, std::uint32_t>, Version> owner_rosters_;
  std::map<std::string, Snapshot> snapshots_;
  // The stamps of acknowledged writes, by key.
  std::map<std::string, StampHistory> acknowledged_;
  // The stamps received by gossip, by key and machine.
  std::map<std::string, std::map<std::string, StampHistory>> gossip_stamps_;
  std::map<std::string, std::uint64_t> machine_hashes_;
  std::vector<std::pair<TimePoint, Version>> newest_rosters_;
  std::uint64_t cluster_hash_ = 0;
  std::size_t wipes_ = 0;
  std::unordered_set<std::uint64_t> state_hashes_;
};

}  // namespace mothwalk::model
