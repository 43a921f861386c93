// Each decision is based on a read that the owner of the record had confirmed by a majority of the voters. The write is
// conditional on the version of the record that was read.
#include "control/configuration_orders.hpp"

#include "coding/cbor.hpp"

namespace mothwalk {

namespace {
Error not_above(std::uint64_t number, std::uint64_t base) {
  return Error{
      ErrorKind::invalid, "revision",
      "revision " + std::to_string(number) + " is not above the one that it builds on, " + std::to_string(base),
      "give a higher one"};
}

Error another_is_current(std::uint64_t current, std::uint64_t base) {
  return Error{ErrorKind::conflict, "base",
               "revision " + std::to_string(current) + " is current, not " + std::to_string(base),
               "read the configuration again and build on that"};
}

Error not_remembered() {
  return Error{ErrorKind::unknown, "base", "the change is older than those that are remembered; it may have been taken",
               "read the configuration again and build on that"};
}
}  // namespace

Result<FleetConfiguration> configuration_of(const ReadReply& reply) {
  if (!reply.found || reply.record.removed) return FleetConfiguration{};
  auto read = from_cbor<FleetConfiguration>(reply.record.head);
  if (!read)
    return Error{ErrorKind::damaged, "configuration", "the kept configuration can't be read",
                 "run the version of mothwalk that wrote it"};
  return std::move(*read);
}

void ConfigurationOrders::take(ConfigurationChange change, Duration limit, ReplyCallback<Version> answer) {
  const OrderIdentity& identity = change.identity;
  if (identity.number <= identity.base) return answer(not_above(identity.number, identity.base));
  const TimePoint until = messenger_.timers().now() + limit;
  read(std::make_shared<Order>(Order{std::move(change), until, std::move(answer)}), true);
}

void ConfigurationOrders::read(const OrderPointer& order, bool head_only) {
  client_.read(
      std::string(configuration_key), order->until - messenger_.timers().now(),
      [this, order, head_only](Result<ReadReply> result) {
        auto error = error_of(result);
        if (error == nullptr) return decide(order, std::get<ReadReply>(result), head_only);
        order->answer(order->sent ? Error{ErrorKind::unknown, error->field, error->message, error->remedy} : *error);
      },
      head_only);
}

void ConfigurationOrders::decide(const OrderPointer& order, const ReadReply& reply, bool head_only) {
  auto kept = configuration_of(reply);
  if (auto error = error_of(kept)) return order->answer(*error);
  const FleetConfiguration& current = std::get<FleetConfiguration>(kept);
  const OrderIdentity& identity = order->change.identity;
  const bool on_its_base = current.revision == identity.base;
  // Revisions only rise, so an order with a number above the current revision was never applied.
  if (!on_its_base && identity.number > current.revision)
    return order->answer(another_is_current(current.revision, identity.base));
  const bool needs_history = !on_its_base || reply.entries >= OrderHistory::most_remembered;
  if (head_only && needs_history) return read(order, false);
  if (on_its_base) return build(order, reply, current);
  decide_by_history(order, reply, current.revision);
}

void ConfigurationOrders::decide_by_history(const OrderPointer& order, const ReadReply& reply, std::uint64_t current) {
  const OrderIdentity& identity = order->change.identity;
  switch (OrderHistory(reply.record.entries, current).find(identity)) {
    case OrderOutcome::taken:
      return order->answer(Version{identity.number});
    case OrderOutcome::not_taken:
      return order->answer(another_is_current(current, identity.base));
    case OrderOutcome::unknown:
      return order->answer(not_remembered());
  }
}

void ConfigurationOrders::build(const OrderPointer& order, const ReadReply& reply, const FleetConfiguration& current) {
  auto made = order->change.make(current);
  if (auto error = error_of(made)) return order->answer(*error);
  const OrderIdentity& identity = order->change.identity;
  const bool exists = reply.found && !reply.record.removed;
  Write change;
  change.key = std::string(configuration_key);
  change.head = to_cbor(FleetConfiguration{identity.number, std::move(std::get<Bytes>(made))});
  change.expected = exists ? reply.record.stamp.version.value : 0;
  change.token = identity.digest;
  change.replaces_entries = reply.entries >= OrderHistory::most_remembered;
  change.appends = change.replaces_entries ? OrderHistory::compacted(reply.record.entries, identity)
                                           : std::vector<Bytes>{to_cbor(identity)};
  write(order, std::move(change));
}

void ConfigurationOrders::write(const OrderPointer& order, Write change) {
  client_.write(std::move(change), order->until - messenger_.timers().now(), [this, order](Result<WriteReply> written) {
    auto error = error_of(written);
    if (error == nullptr) return order->answer(Version{order->change.identity.number});
    const bool time_left = messenger_.timers().now() < order->until;
    // Another change, or an earlier copy of this one, was written in the meantime, or the outcome of this
    // write is not known. The current record shows which is the case.
    const bool settled_by_reading = error->kind == ErrorKind::stale || (error->kind == ErrorKind::unknown && time_left);
    if (!settled_by_reading) return order->answer(*error);
    order->sent = true;
    read(order, true);
  });
}

}  // namespace mothwalk
