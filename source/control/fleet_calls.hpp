// Operators' calls that concern the complete fleet: changes to the fleet configuration, evacuation of zones, and
// retirement of machines that store lots.
#pragma once
#include "coding/json.hpp"
#include "control/configuration_orders.hpp"
#include "control/zone_orders.hpp"

namespace mothwalk {

// Forwards each call to the owner of the record that it concerns.
class FleetCalls {
 public:
  FleetCalls(Messenger& messenger, SharedState& shared_state)
      : messenger_(messenger),
        client_(messenger, shared_state),
        orders_(messenger, shared_state),
        zone_orders_(messenger, shared_state) {}
  // Changes the fleet configuration. See ConfigurationOrders::apply for the errors.
  void change(ConfigurationChange change, Duration timeout, ReplyCallback<Version> send_reply);
  // Reads the current fleet configuration.
  void show(Duration timeout, ReplyCallback<FleetConfiguration> send_reply);
  // Begins or ends the evacuation of a zone. See ZoneOrders::apply for the errors.
  void evacuate(const ZoneId& zone, bool evacuated, Duration timeout, ReplyCallback<Success> send_reply);
  // Starts the retirement of a machine. The call is idempotent. Errors: unknown_name (no such machine) and conflict
  // (too few machines would remain), both decided by the confirmed owner of the lot roster; refused; unknown.
  void retire(const std::string& machine, Duration timeout, ReplyCallback<Success> send_reply);
  // Whether others store all that the machine stores, so that it may be removed together with its disk.
  void retirement_complete(const std::string& machine, Duration timeout, ReplyCallback<bool> send_reply);

 private:
  void mark_retired(const Address& storage_node, TimePoint deadline, ReplyCallback<Success> send_reply);

  Messenger& messenger_;
  StoreClient client_;
  ConfigurationOrders orders_;
  ZoneOrders zone_orders_;
};

}  // namespace mothwalk
