// Operators' changes to the fleet configuration. A change is a compare-and-set on the revision. An operator may send
// the same change, called an order, any number of times and to any daemon; it is applied at most once.
#pragma once
#include "configuration/resources.hpp"
#include "control/order_history.hpp"
#include "replication/store_client.hpp"

namespace mothwalk {

struct ConfigurationChange {
  OrderIdentity identity;
  // Makes the next document from the configuration that the change is based on, or returns why the change is invalid.
  std::function<Result<Bytes>(const FleetConfiguration& current)> make;
};

// Decodes the configuration from its record. The revision is 0 where no configuration is stored.
Result<FleetConfiguration> configuration_of(const ReadReply& reply);

// Executes orders: reads the record, decides whether the order can be applied, and writes the new configuration.
class ConfigurationOrders {
 public:
  ConfigurationOrders(Messenger& messenger, SharedState& shared_state)
      : messenger_(messenger), client_(messenger, shared_state) {}
  // Applies an order. Replies with the revision that the order created, now or when it was sent before. Errors:
  //   invalid: the order is malformed, or does not fit the configuration that it is based on;
  //   conflict: another revision is current, and this order was not applied and never will be;
  //   unknown: the outcome is not known, and the same order should be sent again;
  //   refused: nothing was changed.
  void apply(ConfigurationChange change, Duration timeout, ReplyCallback<Version> send_reply);

 private:
  struct Order {
    ConfigurationChange change;
    TimePoint deadline;
    ReplyCallback<Version> send_reply;
    bool sent = false;  // A write for this order may have reached the owner of the record.
  };
  using OrderPointer = std::shared_ptr<Order>;
  // With head_only, reads the record without its entries, which hold the order history.
  void read(const OrderPointer& order, bool head_only);
  void decide(const OrderPointer& order, const ReadReply& reply, bool head_only);
  void decide_by_history(const OrderPointer& order, const ReadReply& reply, std::uint64_t current);
  void make_next(const OrderPointer& order, const ReadReply& reply, const FleetConfiguration& current);
  void write(const OrderPointer& order, Write write);

  Messenger& messenger_;
  StoreClient client_;
};

}  // namespace mothwalk
