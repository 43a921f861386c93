// The history of applied configuration orders, by which an order that is sent again is recognized. The identities of
// the orders are stored as entries of the configuration's record. An identity is therefore committed together with the
// change that it belongs to, and is not part of what gossip distributes to all daemons.
#pragma once
#include "coding/fields.hpp"

namespace mothwalk {

// Identifies an operator's order: two requests with equal identities are the same order.
struct OrderIdentity {
  std::uint64_t base = 0;    // The revision that the order is based on. 0 for the first order.
  std::uint64_t number = 0;  // The revision that the order creates.
  Bytes digest;              // The digest_of the call with its complete content.
  MOTHWALK_FIELDS(base, number, digest)
  auto operator<=>(const OrderIdentity&) const = default;
};

// Whether an order was applied. It is unknown for an order that is older than the recorded history.
enum class OrderState { applied, not_applied, unknown };

// The recorded orders of one configuration record.
class OrderHistory {
 public:
  // Operators send an order again until they get a definite reply, and there may be hundreds of orders a day. At least
  // the last `min_recorded` orders are recorded at any time. When there are `max_recorded`, the oldest are
  // dropped together.
  static constexpr std::size_t min_recorded = 1024, max_recorded = 2048;

  // Reads the entries of the configuration's record. The newest entry belongs to the current revision, and each entry
  // is based on the one before it. Entries before a gap in this chain are ignored: a gap is a change by an earlier
  // release, which did not record identities.
  OrderHistory(const std::vector<Bytes>& entries, std::uint64_t current);
  // Looks up an order that is not based on the current revision.
  OrderState find(const OrderIdentity& order) const;
  // The entries to store when an order is applied while there are `max_recorded` entries: the newest of them, then
  // the new order.
  static std::vector<Bytes> compacted(const std::vector<Bytes>& entries, const OrderIdentity& order);

 private:
  std::map<std::uint64_t, OrderIdentity> by_number_;  // The recorded orders by the revision that they created.
  std::uint64_t known_above_ = 0;                     // All orders that created a revision above this one are recorded.
};

}  // namespace mothwalk
