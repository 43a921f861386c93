// Operators' calls on the fleet as a whole: the configuration that is changed as one document under the operators' own
// revisions, evacuation of zones, and the retirement of machines that hold lots.
#pragma once
#include "coding/json.hpp"
#include "control/configuration_orders.hpp"
#include "control/zone_orders.hpp"

namespace mothwalk {

class FleetCalls {
 public:
  FleetCalls(Messenger& messenger, SharedState& shared_state)
      : messenger_(messenger),
        client_(messenger, shared_state),
        orders_(messenger, shared_state),
        zone_orders_(messenger, shared_state) {}
  // As ConfigurationOrders::take.
  void change(ConfigurationChange change, Duration limit, ReplyCallback<Version> answer);
  void show(Duration limit, ReplyCallback<FleetConfiguration> answer);
  // As ZoneOrders::take.
  void evacuate(const ZoneId& zone, bool evacuated, Duration limit, ReplyCallback<Success> answer);
  // Faults: unknown_name (no such machine), conflict (too few would remain), both by the word of the confirmed owner of
  // the roster of those that hold lots; refused, unknown. Asked again, it is acknowledged again.
  void retire(const std::string& machine, Duration limit, ReplyCallback<Success> answer);
  // Whether all that the machine held is held by others, so that it may go with its disk.
  void retired(const std::string& machine, Duration limit, ReplyCallback<bool> answer);

 private:
  void mark_retired(const Address& holder, TimePoint until, ReplyCallback<Success> answer);

  Messenger& messenger_;
  StoreClient client_;
  ConfigurationOrders orders_;
  ZoneOrders zone_orders_;
};

}  // namespace mothwalk
