// The invariants of the control state, checked on every message, on the disks, and on what each daemon holds after each
// step. The first violation of a run is kept.
#pragma once
#include <unordered_set>

#include "model/cluster.hpp"

namespace mothwalk::model {

struct Violation {
  std::string invariant;  // a short name: shrinking keeps to the same one
  std::string text;
};

class Invariants : public Observer {
 public:
  void watch(Cluster& cluster) { cluster_ = &cluster; }
  void on_request(const Machine& from, const Machine& to, const Envelope& envelope) override;
  void on_reply(const Machine& from, const Machine& to, const Request& request, const Envelope& envelope) override;
  void on_former_reply(const Machine& from, const Machine& to, const Request& request,
                       const Envelope& envelope) override;
  void on_start(Machine& machine) override;
  void on_wipe(Machine& machine) override;
  // After an event of the machine.
  void check(Machine& machine);
  void fail(const std::string& invariant, const std::string& text);
  const std::optional<Violation>& violation() const { return violation_; }
  const std::unordered_set<std::uint64_t>& states() const { return states_; }

 private:
  struct Grant {
    Epoch epoch;
    StorageNodeId owner;
  };
  struct Seen {  // what a machine showed when it was last looked at
    std::shared_ptr<const Ownership> owned;
    std::shared_ptr<const ConfigurationView> configuration;
    std::shared_ptr<const Members> members;
    std::uint64_t owned_hash = 0, configuration_hash = 0, members_hash = 0;
    std::map<std::string, Stamp> stamps;
  };
  using Times = std::vector<std::pair<TimePoint, Stamp>>;
  void on_promise_reply(const Promise& promise, const PromiseReply& reply, const Machine& replica);
  template <class Message>
  void on_store_reply(const Request& request, const Envelope& envelope, const Machine& replica);
  void on_write_reply(const Write& write, const WriteReply& reply, const Machine& owner);
  void on_roster(const Roster& roster, const Machine& machine);
  void check_owned(Machine& machine, Seen& seen);
  void check_configuration(Machine& machine, Seen& seen);
  void check_lease(Machine& machine, const Seen& seen);
  Stamp of_majority(const std::string& key, const Roster& roster, TimePoint when) const;
  void count_state(Machine& machine);

  Cluster* cluster_ = nullptr;
  std::optional<Violation> violation_;
  std::map<std::pair<StorageNodeId, std::uint32_t>, Grant> granted_;
  std::map<std::pair<std::uint32_t, Epoch>, StorageNodeId> owners_;
  std::map<Version, Roster> rosters_;
  std::map<std::pair<std::string, std::uint32_t>, Version> owner_rosters_;  // by machine and slot: of its last Store
  std::map<std::string, Seen> seen_;
  std::map<std::string, Times> acknowledged_;                 // by key
  std::map<std::string, std::map<std::string, Times>> news_;  // by key and machine
  std::map<std::string, std::uint64_t> machine_hashes_;
  std::vector<std::pair<TimePoint, Version>> newest_rosters_;
  std::uint64_t state_ = 0;
  std::size_t wipes_ = 0;
  std::unordered_set<std::uint64_t> states_;
};

}  // namespace mothwalk::model
