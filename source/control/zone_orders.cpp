// An order reads the zone's record, and writes it on the condition that its version is still the one that was read
// first.
#include "control/zone_orders.hpp"

namespace mothwalk {

namespace {
Error unclear(const std::string& key, std::string message) {
  return Error{ErrorKind::unknown, key, std::move(message), "send the same order again"};
}

// Whether the stored state says that the zone is evacuated. A zone without a record is not evacuated.
bool evacuated_in(const ReadReply& reply) {
  if (!reply.found || reply.record.removed) return false;
  const auto zone = from_json<Zone>(reply.record.head);
  return error_of(zone) == nullptr && std::get<Zone>(zone).evacuated;
}
}  // namespace

void ZoneOrders::take(const ZoneId& zone, bool evacuated, Duration limit, ReplyCallback<Success> answer) {
  const TimePoint until = messenger_.timers().now() + limit;
  read(std::make_shared<Order>(Order{"zone/" + zone.text, evacuated, until, std::move(answer)}));
}

void ZoneOrders::read(const OrderPointer& order) {
  client_.read(
      order->key, order->until - messenger_.timers().now(),
      [this, order](Result<ReadReply> result) {
        auto error = error_of(result);
        if (error == nullptr) return decide(order, std::get<ReadReply>(result));
        const bool nothing_sent = !order->version;
        order->answer(nothing_sent ? *error : unclear(order->key, error->message));
      },
      true);
}

void ZoneOrders::decide(const OrderPointer& order, const ReadReply& reply) {
  if (evacuated_in(reply) == order->evacuated) return order->answer(Success{});
  const bool exists = reply.found && !reply.record.removed;
  const std::uint64_t version = exists ? reply.record.stamp.version.value : 0;
  if (order->version && *order->version != version)
    return order->answer(unclear(order->key, "another order changed the zone meanwhile"));
  order->version = version;
  write(order);
}

void ZoneOrders::write(const OrderPointer& order) {
  Write change;
  change.key = order->key;
  change.head = json::serialize(to_json(Zone{order->evacuated}));
  change.expected = order->version;
  client_.write(std::move(change), order->until - messenger_.timers().now(), [this, order](Result<WriteReply> result) {
    auto error = error_of(result);
    if (error == nullptr) return order->answer(Success{});
    const bool unsure = error->kind == ErrorKind::stale || error->kind == ErrorKind::unknown;
    if (unsure && messenger_.timers().now() < order->until) return read(order);
    order->answer(unsure ? unclear(order->key, error->message) : *error);
  });
}

}  // namespace mothwalk
