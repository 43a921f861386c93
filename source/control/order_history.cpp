// Revisions only rise, so each revision number is used at most once. An order can therefore never be applied any more
// once its number was skipped, or was used by an order with another content.
#include "control/order_history.hpp"

#include "coding/cbor.hpp"

namespace mothwalk {

OrderHistory::OrderHistory(const std::vector<Bytes>& entries, std::uint64_t current) : known_above_(current) {
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    auto order = from_cbor<OrderIdentity>(*entry);
    if (!order || order->number != known_above_) return;
    known_above_ = order->base;
    by_number_.emplace(order->number, std::move(*order));
  }
}

OrderState OrderHistory::find(const OrderIdentity& order) const {
  if (order.number <= known_above_) return OrderState::unknown;
  auto found = by_number_.find(order.number);
  return found != by_number_.end() && found->second == order ? OrderState::applied : OrderState::not_applied;
}

std::vector<Bytes> OrderHistory::compacted(const std::vector<Bytes>& entries, const OrderIdentity& order) {
  const std::size_t kept_count = std::min(entries.size(), min_recorded - 1);
  std::vector<Bytes> remaining(entries.end() - static_cast<std::ptrdiff_t>(kept_count), entries.end());
  remaining.push_back(to_cbor(order));
  return remaining;
}

}  // namespace mothwalk
