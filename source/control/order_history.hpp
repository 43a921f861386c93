// The identities of the configuration orders that were taken. They are kept beside the configuration, as entries of its
// record: committed with the change that they name, never part of what is spread to all daemons.
#pragma once
#include "coding/fields.hpp"

namespace mothwalk {

// What makes an order of an operator the same order when it is sent again.
struct OrderIdentity {
  std::uint64_t base = 0;    // the revision that it builds on; 0 for the first
  std::uint64_t number = 0;  // the revision that it makes
  Bytes digest;              // of the call and its whole content, by digest_of
  MOTHWALK_FIELDS(base, number, digest)
  auto operator<=>(const OrderIdentity&) const = default;
};

// Whether an order was taken. Unknown: it is older than what is remembered.
enum class OrderOutcome { taken, not_taken, unknown };

class OrderHistory {
 public:
  // An order may be sent again as long as it got no clear answer, and a day may hold hundreds of orders. At least
  // `least_remembered` are known at any time; when `most_remembered` is reached, the oldest are dropped together.
  static constexpr std::size_t least_remembered = 1024, most_remembered = 2048;

  // Reads the entries of the configuration's record, of which the newest made the revision in force. Entries before a
  // gap in the chain (a change by an earlier release, which keeps no identities) are passed over.
  OrderHistory(const std::vector<Bytes>& entries, std::uint64_t current);
  // Of an order that does not build on the revision in force.
  OrderOutcome find(const OrderIdentity& order) const;
  // The entries that remain when an order is taken at `most_remembered` entries: the newest ones and the order.
  static std::vector<Bytes> compacted(const std::vector<Bytes>& entries, const OrderIdentity& order);

 private:
  std::map<std::uint64_t, OrderIdentity> by_number_;  // each builds on the one before it
  std::uint64_t known_above_ = 0;                     // every revision above this one that was ever in force is known
};

}  // namespace mothwalk
