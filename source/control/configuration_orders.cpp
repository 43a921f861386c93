// Each decision is based on a read that the owner of the record had confirmed by a majority of the voters. The write is
// conditional on the version of the record that was read.
#include "control/configuration_orders.hpp"

#include "coding/cbor.hpp"

namespace mothwalk {

namespace {
Error revision_not_above_base(std::uint64_t number, std::uint64_t base) {
  return Error{
      ErrorKind::invalid, "revision",
      "revision " + std::to_string(number) + " is not above the revision that it is based on, " + std::to_string(base),
      "choose a higher revision"};
}

Error revision_conflict(std::uint64_t current, std::uint64_t base) {
  return Error{ErrorKind::conflict, "base",
               "the current revision is " + std::to_string(current) + ", not " + std::to_string(base),
               "read the configuration again and base the change on that"};
}

Error order_too_old() {
  return Error{ErrorKind::unknown, "base",
               "the change is older than the recorded history of changes; it may have been applied",
               "read the configuration again and base the change on that"};
}
}  // namespace

Result<FleetConfiguration> configuration_of(const ReadReply& reply) {
  if (!reply.found || reply.record.removed) return FleetConfiguration{};
  auto read = from_cbor<FleetConfiguration>(reply.record.head);
  if (!read)
    return Error{ErrorKind::damaged, "configuration", "the stored configuration can't be decoded",
                 "run the version of mothwalk that wrote it"};
  return std::move(*read);
}

void ConfigurationOrders::apply(ConfigurationChange change, Duration timeout, ReplyCallback<Version> send_reply) {
  const OrderIdentity& identity = change.identity;
  if (identity.number <= identity.base) return send_reply(revision_not_above_base(identity.number, identity.base));
  const TimePoint deadline = messenger_.timers().now() + timeout;
  read(std::make_shared<Order>(Order{std::move(change), deadline, std::move(send_reply)}), true);
}

void ConfigurationOrders::read(const OrderPointer& order, bool head_only) {
  client_.read(
      std::string(configuration_key), order->deadline - messenger_.timers().now(),
      [this, order, head_only](Result<ReadReply> result) {
        auto error = error_of(result);
        if (error == nullptr) return decide(order, std::get<ReadReply>(result), head_only);
        order->send_reply(order->sent ? Error{ErrorKind::unknown, error->field, error->message, error->remedy}
                                      : *error);
      },
      head_only);
}

void ConfigurationOrders::decide(const OrderPointer& order, const ReadReply& reply, bool head_only) {
  auto decoded = configuration_of(reply);
  if (auto error = error_of(decoded)) return order->send_reply(*error);
  const FleetConfiguration& current = std::get<FleetConfiguration>(decoded);
  const OrderIdentity& identity = order->change.identity;
  const bool base_is_current = current.revision == identity.base;
  // Revisions only rise, so an order with a number above the current revision was never applied.
  if (!base_is_current && identity.number > current.revision)
    return order->send_reply(revision_conflict(current.revision, identity.base));
  const bool needs_history = !base_is_current || reply.entries >= OrderHistory::max_recorded;
  if (head_only && needs_history) return read(order, false);
  if (base_is_current) return make_next(order, reply, current);
  decide_by_history(order, reply, current.revision);
}

void ConfigurationOrders::decide_by_history(const OrderPointer& order, const ReadReply& reply, std::uint64_t current) {
  const OrderIdentity& identity = order->change.identity;
  switch (OrderHistory(reply.record.entries, current).find(identity)) {
    case OrderState::applied:
      return order->send_reply(Version{identity.number});
    case OrderState::not_applied:
      return order->send_reply(revision_conflict(current, identity.base));
    case OrderState::unknown:
      return order->send_reply(order_too_old());
  }
}

void ConfigurationOrders::make_next(const OrderPointer& order, const ReadReply& reply,
                                    const FleetConfiguration& current) {
  auto next_document = order->change.make(current);
  if (auto error = error_of(next_document)) return order->send_reply(*error);
  const OrderIdentity& identity = order->change.identity;
  const bool exists = reply.found && !reply.record.removed;
  Write change;
  change.key = std::string(configuration_key);
  change.head = to_cbor(FleetConfiguration{identity.number, std::move(std::get<Bytes>(next_document))});
  change.expected = exists ? reply.record.stamp.version.value : 0;
  change.token = identity.digest;
  change.replaces_entries = reply.entries >= OrderHistory::max_recorded;
  change.appends = change.replaces_entries ? OrderHistory::compacted(reply.record.entries, identity)
                                           : std::vector<Bytes>{to_cbor(identity)};
  write(order, std::move(change));
}

void ConfigurationOrders::write(const OrderPointer& order, Write change) {
  client_.write(std::move(change), order->deadline - messenger_.timers().now(),
                [this, order](Result<WriteReply> written) {
                  auto error = error_of(written);
                  if (error == nullptr) return order->send_reply(Version{order->change.identity.number});
                  const bool time_left = messenger_.timers().now() < order->deadline;
                  // Another change, or an earlier copy of this one, was written in the meantime, or the outcome of this
                  // write is not known. The current record shows which is the case.
                  const bool resolved_by_reading =
                      error->kind == ErrorKind::stale || (error->kind == ErrorKind::unknown && time_left);
                  if (!resolved_by_reading) return order->send_reply(*error);
                  order->sent = true;
                  read(order, true);
                });
}

}  // namespace mothwalk
