// Calls that concern the whole fleet, answered by the owners of what they are about.
#include "control/fleet_calls.hpp"

namespace mothwalk {

void FleetCalls::change(ConfigurationChange change, Span limit, Answer<Version> answer) {
  orders_.take(std::move(change), limit, std::move(answer));
}

void FleetCalls::show(Span limit, Answer<FleetConfiguration> answer) {
  auto give = [answer](Result<ReadReply> result) {
    if (auto fault = fault_of(result)) return answer(*fault);
    auto kept = configuration_of(std::get<ReadReply>(result));
    auto* configuration = std::get_if<FleetConfiguration>(&kept);
    if (configuration != nullptr && configuration->revision == 0)
      return answer(
          Fault{FaultKind::unknown_name, "configuration", "no configuration was taken yet", "give the first one"});
    answer(std::move(kept));
  };
  client_.read(std::string(configuration_key), limit, give, true);
}

void FleetCalls::evacuate(const ZoneId& zone, bool evacuated, Span limit, Answer<Done> answer) {
  zone_orders_.take(zone, evacuated, limit, std::move(answer));
}

void FleetCalls::retire(const std::string& machine, Span limit, Answer<Done> answer) {
  const Moment until = messenger_.timers().now() + limit;
  const Retirement asked{std::string(lot_roster_key), {}, machine, true};
  auto decide = [this, machine, until, answer](Result<RetirementReply> result) {
    if (auto fault = fault_of(result)) return answer(*fault);
    const RetirementReply& reply = std::get<RetirementReply>(result);
    if (!reply.known)
      return answer(
          Fault{FaultKind::unknown_name, "machine", "no machine '" + machine + "' holds lots", "check the name"});
    if (reply.retired) return answer(Done{});
    if (!reply.enough_remain)
      return answer(
          Fault{FaultKind::conflict, "machine", "too few machines that hold lots would remain", "add a machine first"});
    mark_retired(reply.holder, until, answer);
  };
  client_.ask_owner<Retirement>(asked.roster, asked, until, false, decide);
}

void FleetCalls::mark_retired(const Address& holder, Moment until, Answer<Done> answer) {
  Write mark;
  mark.key = "holder/" + holder.text;
  mark.head = json::serialize(to_json(HolderMark{true}));
  client_.write(std::move(mark), until - messenger_.timers().now(), [answer](Result<WriteReply> result) {
    if (auto fault = fault_of(result)) return answer(*fault);
    answer(Done{});
  });
}

void FleetCalls::retired(const std::string& machine, Span limit, Answer<bool> answer) {
  const Retirement asked{std::string(lot_roster_key), {}, machine, false};
  client_.ask_owner<Retirement>(asked.roster, asked, messenger_.timers().now() + limit, false,
                                [answer](Result<RetirementReply> result) {
                                  if (auto fault = fault_of(result)) return answer(*fault);
                                  answer(std::get<RetirementReply>(result).complete);
                                });
}

}  // namespace mothwalk
