// Each call is decided by the owner of the record that it concerns.
#include "control/fleet_calls.hpp"

namespace mothwalk {

void FleetCalls::change(ConfigurationChange change, Duration limit, ReplyCallback<Version> answer) {
  orders_.take(std::move(change), limit, std::move(answer));
}

void FleetCalls::show(Duration limit, ReplyCallback<FleetConfiguration> answer) {
  auto give = [answer](Result<ReadReply> result) {
    if (auto error = error_of(result)) return answer(*error);
    auto kept = configuration_of(std::get<ReadReply>(result));
    auto* configuration = std::get_if<FleetConfiguration>(&kept);
    if (configuration != nullptr && configuration->revision == 0)
      return answer(
          Error{ErrorKind::unknown_name, "configuration", "no configuration was taken yet", "give the first one"});
    answer(std::move(kept));
  };
  client_.read(std::string(configuration_key), limit, give, true);
}

void FleetCalls::evacuate(const ZoneId& zone, bool evacuated, Duration limit, ReplyCallback<Success> answer) {
  zone_orders_.take(zone, evacuated, limit, std::move(answer));
}

void FleetCalls::retire(const std::string& machine, Duration limit, ReplyCallback<Success> answer) {
  const TimePoint until = messenger_.timers().now() + limit;
  const Retirement asked{std::string(lot_roster_key), {}, machine, true};
  auto decide = [this, machine, until, answer](Result<RetirementReply> result) {
    if (auto error = error_of(result)) return answer(*error);
    const RetirementReply& reply = std::get<RetirementReply>(result);
    if (!reply.known)
      return answer(
          Error{ErrorKind::unknown_name, "machine", "no machine '" + machine + "' holds lots", "check the name"});
    if (reply.retired) return answer(Success{});
    if (!reply.enough_remain)
      return answer(
          Error{ErrorKind::conflict, "machine", "too few machines that hold lots would remain", "add a machine first"});
    mark_retired(reply.holder, until, answer);
  };
  client_.ask_owner<Retirement>(asked.roster, asked, until, false, decide);
}

void FleetCalls::mark_retired(const Address& holder, TimePoint until, ReplyCallback<Success> answer) {
  Write mark;
  mark.key = "holder/" + holder.text;
  mark.head = json::serialize(to_json(StorageNodeMark{true}));
  client_.write(std::move(mark), until - messenger_.timers().now(), [answer](Result<WriteReply> result) {
    if (auto error = error_of(result)) return answer(*error);
    answer(Success{});
  });
}

void FleetCalls::retired(const std::string& machine, Duration limit, ReplyCallback<bool> answer) {
  const Retirement asked{std::string(lot_roster_key), {}, machine, false};
  client_.ask_owner<Retirement>(asked.roster, asked, messenger_.timers().now() + limit, false,
                                [answer](Result<RetirementReply> result) {
                                  if (auto error = error_of(result)) return answer(*error);
                                  answer(std::get<RetirementReply>(result).complete);
                                });
}

}  // namespace mothwalk
