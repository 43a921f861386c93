// Each call is decided by the owner of the record that it concerns.
#include "control/fleet_calls.hpp"

namespace mothwalk {

void FleetCalls::change(ConfigurationChange change, Duration timeout, ReplyCallback<Version> send_reply) {
  orders_.apply(std::move(change), timeout, std::move(send_reply));
}

void FleetCalls::show(Duration timeout, ReplyCallback<FleetConfiguration> send_reply) {
  auto on_read = [send_reply](Result<ReadReply> result) {
    if (auto error = error_of(result)) return send_reply(*error);
    auto decoded = configuration_of(std::get<ReadReply>(result));
    auto* configuration = std::get_if<FleetConfiguration>(&decoded);
    if (configuration != nullptr && configuration->revision == 0)
      return send_reply(
          Error{ErrorKind::unknown_name, "configuration", "there is no configuration yet", "submit the first one"});
    send_reply(std::move(decoded));
  };
  client_.read(std::string(configuration_key), timeout, on_read, true);
}

void FleetCalls::evacuate(const ZoneId& zone, bool evacuated, Duration timeout, ReplyCallback<Success> send_reply) {
  zone_orders_.apply(zone, evacuated, timeout, std::move(send_reply));
}

void FleetCalls::retire(const std::string& machine, Duration timeout, ReplyCallback<Success> send_reply) {
  const TimePoint deadline = messenger_.timers().now() + timeout;
  const Retirement query{std::string(lot_roster_key), {}, machine, true};
  auto on_reply = [this, machine, deadline, send_reply](Result<RetirementReply> result) {
    if (auto error = error_of(result)) return send_reply(*error);
    const RetirementReply& reply = std::get<RetirementReply>(result);
    if (!reply.known)
      return send_reply(Error{ErrorKind::unknown_name, "machine", "no machine named '" + machine + "' stores lots",
                              "check the name"});
    if (reply.retired) return send_reply(Success{});
    if (!reply.enough_remain)
      return send_reply(Error{ErrorKind::conflict, "machine", "too few machines that store lots would remain",
                              "add a machine first"});
    mark_retired(reply.holder, deadline, send_reply);
  };
  client_.request_owner<Retirement>(query.roster, query, deadline, false, on_reply);
}

void FleetCalls::mark_retired(const Address& storage_node, TimePoint deadline, ReplyCallback<Success> send_reply) {
  Write write;
  write.key = "holder/" + storage_node.text;
  write.head = json::serialize(to_json(StorageNodeMark{true}));
  client_.write(std::move(write), deadline - messenger_.timers().now(), [send_reply](Result<WriteReply> result) {
    if (auto error = error_of(result)) return send_reply(*error);
    send_reply(Success{});
  });
}

void FleetCalls::retirement_complete(const std::string& machine, Duration timeout, ReplyCallback<bool> send_reply) {
  const Retirement query{std::string(lot_roster_key), {}, machine, false};
  client_.request_owner<Retirement>(query.roster, query, messenger_.timers().now() + timeout, false,
                                    [send_reply](Result<RetirementReply> result) {
                                      if (auto error = error_of(result)) return send_reply(*error);
                                      send_reply(std::get<RetirementReply>(result).complete);
                                    });
}

}  // namespace mothwalk
