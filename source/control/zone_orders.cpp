// An order reads the zone's record, and writes it on the condition that its version is still the one that was read
// first.
#include "control/zone_orders.hpp"

namespace mothwalk {

namespace {
Error outcome_unknown(const std::string& key, std::string message) {
  return Error{ErrorKind::unknown, key, std::move(message), "send the same order again"};
}

// Whether the stored state says that the zone is evacuated. A zone without a record is not evacuated.
bool evacuated_in(const ReadReply& reply) {
  if (!reply.found || reply.record.removed) return false;
  const auto zone = from_json<Zone>(reply.record.head);
  return error_of(zone) == nullptr && std::get<Zone>(zone).evacuated;
}
}  // namespace

void ZoneOrders::apply(const ZoneId& zone, bool evacuated, Duration timeout, ReplyCallback<Success> send_reply) {
  const TimePoint deadline = messenger_.timers().now() + timeout;
  read(std::make_shared<Order>(Order{"zone/" + zone.text, evacuated, deadline, std::move(send_reply)}));
}

void ZoneOrders::read(const OrderPointer& order) {
  client_.read(
      order->key, order->deadline - messenger_.timers().now(),
      [this, order](Result<ReadReply> result) {
        auto error = error_of(result);
        if (error == nullptr) return decide(order, std::get<ReadReply>(result));
        const bool nothing_sent = !order->version;
        order->send_reply(nothing_sent ? *error : outcome_unknown(order->key, error->message));
      },
      true);
}

void ZoneOrders::decide(const OrderPointer& order, const ReadReply& reply) {
  if (evacuated_in(reply) == order->evacuated) return order->send_reply(Success{});
  const bool exists = reply.found && !reply.record.removed;
  const std::uint64_t version = exists ? reply.record.stamp.version.value : 0;
  if (order->version && *order->version != version)
    return order->send_reply(outcome_unknown(order->key, "another order changed the zone in the meantime"));
  order->version = version;
  write(order);
}

void ZoneOrders::write(const OrderPointer& order) {
  Write change;
  change.key = order->key;
  change.head = json::serialize(to_json(Zone{order->evacuated}));
  change.expected = order->version;
  client_.write(std::move(change), order->deadline - messenger_.timers().now(),
                [this, order](Result<WriteReply> result) {
                  auto error = error_of(result);
                  if (error == nullptr) return order->send_reply(Success{});
                  const bool maybe_written = error->kind == ErrorKind::stale || error->kind == ErrorKind::unknown;
                  if (maybe_written && messenger_.timers().now() < order->deadline) return read(order);
                  order->send_reply(maybe_written ? outcome_unknown(order->key, error->message) : *error);
                });
}

}  // namespace mothwalk
