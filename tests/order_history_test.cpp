// Tests of the history of applied orders: which orders are recognized, which are too old, what a gap in the chain
// means, and how the size of the history is bounded.
#include <catch2/catch.hpp>

#include "coding/cbor.hpp"
#include "coding/digest.hpp"
#include "control/order_history.hpp"

using namespace mothwalk;

namespace {

OrderIdentity order(std::uint64_t base, std::uint64_t number, const std::string& content = "a") {
  return OrderIdentity{base, number, digest_of(content)};
}

// A chain of orders whose revisions rise from the base in steps of two.
std::vector<Bytes> chain(std::uint64_t base, std::size_t count) {
  std::vector<Bytes> entries;
  for (std::size_t index = 0; index < count; ++index, base += 2) entries.push_back(to_cbor(order(base, base + 2)));
  return entries;
}

}  // namespace

TEST_CASE("order history: applied, skipped, number used by another content, and older than the recorded history") {
  const OrderHistory history(chain(10, 5), 20);
  CHECK(history.find(order(10, 12)) == OrderState::applied);
  CHECK(history.find(order(18, 20)) == OrderState::applied);
  CHECK(history.find(order(10, 12, "b")) == OrderState::not_applied);
  CHECK(history.find(order(9, 12)) == OrderState::not_applied);
  CHECK(history.find(order(12, 13)) == OrderState::not_applied);
  CHECK(history.find(order(2, 11)) == OrderState::not_applied);
  CHECK(history.find(order(8, 10)) == OrderState::unknown);
  CHECK(history.find(order(0, 3)) == OrderState::unknown);
}

TEST_CASE("order history: a change without an identity makes all older orders unknown") {
  auto entries = chain(0, 5);  // These end at revision 10.
  const auto newer = chain(14, 2);
  entries.insert(entries.end(), newer.begin(), newer.end());
  CHECK(OrderHistory(entries, 18).find(order(14, 16)) == OrderState::applied);
  CHECK(OrderHistory(entries, 18).find(order(8, 10)) == OrderState::unknown);
  CHECK(OrderHistory(entries, 18).find(order(10, 14)) == OrderState::unknown);
  CHECK(OrderHistory(entries, 20).find(order(16, 18)) == OrderState::unknown);
  CHECK(OrderHistory({}, 0).find(order(0, 1)) == OrderState::not_applied);
}

TEST_CASE("order history: compaction keeps the newest orders, and a digest covers the complete content") {
  const auto entries = chain(0, OrderHistory::max_recorded);
  const std::uint64_t current = 2 * OrderHistory::max_recorded;
  const auto kept = OrderHistory::compacted(entries, order(current, current + 1));
  CHECK(kept.size() == OrderHistory::min_recorded);
  const OrderHistory history(kept, current + 1);
  CHECK(history.find(order(current, current + 1)) == OrderState::applied);
  CHECK(history.find(order(current - 2, current)) == OrderState::applied);
  CHECK(history.find(order(0, 2)) == OrderState::unknown);
  CHECK(digest_of("abc").size() == 16);
  CHECK(digest_of(std::string(100000, 'x') + "a") != digest_of(std::string(100000, 'x') + "b"));
}
