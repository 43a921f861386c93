// Operators' orders to begin or end the evacuation of a zone. Unlike configuration orders these have no identity: an
// order sets the zone to a state, and a delayed order must not undo a later one.
#pragma once
#include "configuration/resources.hpp"
#include "replication/store_client.hpp"

namespace mothwalk {

// Executes these orders: reads the zone's record, and writes it where its state differs.
class ZoneOrders {
 public:
  ZoneOrders(Messenger& messenger, SharedState& shared_state)
      : messenger_(messenger), client_(messenger, shared_state) {}
  // Replies with success once the zone's stored state is the requested one. The state is changed only from the version
  // that was read first, so an order that is still in progress can't undo what another order has changed meanwhile.
  // Errors: refused (nothing was changed); unknown (the zone was changed meanwhile, or the timeout has expired; the
  // same order should be sent again).
  void apply(const ZoneId& zone, bool evacuated, Duration timeout, ReplyCallback<Success> send_reply);

 private:
  struct Order {
    std::string key;
    bool evacuated = false;
    TimePoint deadline;
    ReplyCallback<Success> send_reply;
    std::optional<std::uint64_t> version = {};  // The version of the zone's record at the first read.
  };
  using OrderPointer = std::shared_ptr<Order>;
  void read(const OrderPointer& order);
  void decide(const OrderPointer& order, const ReadReply& reply);
  void write(const OrderPointer& order);

  Messenger& messenger_;
  StoreClient client_;
};

}  // namespace mothwalk
