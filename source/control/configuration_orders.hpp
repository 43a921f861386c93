// Operators' changes of the configuration: a compare-and-set on its revision, made at most once for each order however
// often that is sent, to whichever daemon.
#pragma once
#include "configuration/resources.hpp"
#include "control/order_history.hpp"
#include "replication/store_client.hpp"

namespace mothwalk {

struct ConfigurationChange {
  OrderIdentity identity;
  // The next document, or why the change is invalid. Called with the configuration that the change builds on.
  std::function<Result<Bytes>(const FleetConfiguration& current)> make;
};

// The configuration in a record as it was read; revision 0 where nothing is kept.
Result<FleetConfiguration> configuration_of(const ReadReply& reply);

class ConfigurationOrders {
 public:
  ConfigurationOrders(Messenger& messenger, SharedState& shared_state)
      : messenger_(messenger), client_(messenger, shared_state) {}
  // Answers with the revision that the order made, now or at an earlier sending. Faults: invalid (by its text, or on
  // the configuration that it builds on), conflict (another revision is current, and this order never was nor will be
  // taken), unknown (send it again), refused (nothing was done).
  void take(ConfigurationChange change, Duration limit, ReplyCallback<Version> answer);

 private:
  struct Order {
    ConfigurationChange change;
    TimePoint until;
    ReplyCallback<Version> answer;
    bool sent = false;  // a write of it may have reached the owner
  };
  using OrderPointer = std::shared_ptr<Order>;
  void read(const OrderPointer& order, bool head_only);
  void decide(const OrderPointer& order, const ReadReply& reply, bool head_only);
  void decide_by_history(const OrderPointer& order, const ReadReply& reply, std::uint64_t current);
  void build(const OrderPointer& order, const ReadReply& reply, const FleetConfiguration& current);
  void write(const OrderPointer& order, Write write);

  Messenger& messenger_;
  StoreClient client_;
};

}  // namespace mothwalk
