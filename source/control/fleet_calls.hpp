// Operators' calls on the fleet as a whole: the configuration that is changed as one document under the operators' own
// revisions, evacuation of zones, and the retirement of machines that hold lots.
#pragma once
#include "coding/json.hpp"
#include "replication/store_client.hpp"

namespace mothwalk {

struct ConfigurationChange {
  std::uint64_t base = 0;  // the revision that it builds on; 0 for the first
  std::uint64_t hash = 0;  // of the whole change: one sent again is answered as it was the first time
  // The next revision and document, or why the change is refused.
  std::function<Result<FleetConfiguration>(const FleetConfiguration& current)> make;
};

class FleetCalls {
 public:
  FleetCalls(Messenger& messenger, SharedState& shared_state)
      : messenger_(messenger), shared_state_(shared_state), client_(messenger, shared_state) {}
  // Faults: conflict (another revision is current), invalid, unknown (send it again), refused (nothing was done).
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
  void attempt(std::shared_ptr<ConfigurationChange> change, Moment until, bool sent, Answer<Version> answer);

  Messenger& messenger_;
  SharedState& shared_state_;
  StoreClient client_;
};

}  // namespace mothwalk
