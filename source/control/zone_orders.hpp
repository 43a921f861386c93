// Operators' evacuations of zones and their ends. These orders have no identity: a zone is set to a state, and a call
// that is late may not set it back.
#pragma once
#include "configuration/resources.hpp"
#include "replication/store_client.hpp"

namespace mothwalk {

class ZoneOrders {
 public:
  ZoneOrders(Messenger& messenger, SharedState& shared_state)
      : messenger_(messenger), client_(messenger, shared_state) {}
  // Acknowledges once the zone's kept state is the wanted one. Changes it only from the version that was read first, so
  // a call that is still under way can't undo what another order did meanwhile. Faults: refused (nothing was done),
  // unknown (the zone was changed meanwhile, or time is up; send it again).
  void take(const ZoneId& zone, bool evacuated, Duration limit, ReplyCallback<Success> answer);

 private:
  struct Order {
    std::string key;
    bool evacuated = false;
    TimePoint until;
    ReplyCallback<Success> answer;
    std::optional<std::uint64_t> version = {};  // of the zone's record when this call read it first
  };
  using OrderPointer = std::shared_ptr<Order>;
  void read(const OrderPointer& order);
  void decide(const OrderPointer& order, const ReadReply& reply);
  void write(const OrderPointer& order);

  Messenger& messenger_;
  StoreClient client_;
};

}  // namespace mothwalk
