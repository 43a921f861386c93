// Operators' calls on the fleet as a whole: the configuration that is changed as one document under the operators' own
// revisions, evacuation of zones, and the retirement of machines that hold lots.
#pragma once
#include "coding/json.hpp"
#include "control/configuration_orders.hpp"

namespace mothwalk {

class FleetCalls {
 public:
  FleetCalls(Messenger& messenger, SharedState& shared_state)
      : messenger_(messenger),
        shared_state_(shared_state),
        client_(messenger, shared_state),
        orders_(messenger, shared_state) {}
  // As ConfigurationOrders::take.
  void change(ConfigurationChange change, Span limit, Answer<Version> answer);
  void show(Span limit, Answer<FleetConfiguration> answer);
  void evacuate(const ZoneId& zone, bool evacuated, Span limit, Answer<Done> answer);
  // Faults: unknown_name (no such machine), conflict (too few would remain).
  void retire(const std::string& machine, Span limit, Answer<Done> answer);
  // Whether all that the machine held is held by others, so that it may go with its disk.
  void retired(const std::string& machine, Span limit, Answer<bool> answer);

 private:
  void put(std::string key, const json::value& document, Span limit, Answer<Done> answer);
  // Where the machine that holds lots stands, of those that are members; empty for none.
  Address holder_named(const std::string& machine) const;

  Messenger& messenger_;
  SharedState& shared_state_;
  StoreClient client_;
  ConfigurationOrders orders_;
};

}  // namespace mothwalk
