// Calls that concern the whole fleet, answered by the owners of what they are about.
#include "control/fleet_calls.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
constexpr std::size_t least_holders = 3;  // of which one may be lost
}  // namespace

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

void FleetCalls::put(std::string key, const json::value& document, Span limit, Answer<Done> answer) {
  Write write;
  write.key = std::move(key);
  write.head = json::serialize(document);
  client_.write(std::move(write), limit, [answer](Result<WriteReply> result) {
    if (auto fault = fault_of(result)) return answer(*fault);
    answer(Done{});
  });
}

void FleetCalls::evacuate(const ZoneId& zone, bool evacuated, Span limit, Answer<Done> answer) {
  put("zone/" + zone.text, to_json(Zone{evacuated}), limit, std::move(answer));
}

Address FleetCalls::holder_named(const std::string& machine) const {
  for (const auto& [at, member] : shared_state_.members.get()->all)
    if (member.name == machine && member.keeps == "lots") return at;
  return {};
}

void FleetCalls::retire(const std::string& machine, Span limit, Answer<Done> answer) {
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  Address address = holder_named(machine);
  for (const auto& seat : configuration->lot_roster.seats)
    if (seat.name == machine) address = seat.address;
  if (address.empty())
    return answer(
        Fault{FaultKind::unknown_name, "machine", "no machine '" + machine + "' holds lots", "check the name"});
  std::set<Address> remaining;
  for (const auto& seat : configuration->lot_roster.seats) remaining.insert(seat.address);
  for (const auto& [at, member] : members->all)
    if (member.keeps == "lots") remaining.insert(at);
  remaining.erase(address);
  std::erase_if(remaining, [&](const Address& at) {
    auto mark = configuration->holders.find(at.text);
    return mark != configuration->holders.end() && mark->second.spec.retired;
  });
  if (remaining.size() < least_holders)
    return answer(Fault{FaultKind::conflict, "machine",
                        "only " + std::to_string(remaining.size()) + " machines that hold lots would remain",
                        "add a machine first"});
  put("holder/" + address.text, to_json(HolderMark{true}), limit, std::move(answer));
}

void FleetCalls::retired(const std::string& machine, Span limit, Answer<bool> answer) {
  const Retirement asked{std::string(lot_roster_key), holder_named(machine), machine};
  client_.ask_owner<Retirement>(asked.roster, asked, messenger_.timers().now() + limit, false,
                                [answer](Result<RetirementReply> result) {
                                  if (auto fault = fault_of(result)) return answer(*fault);
                                  answer(std::get<RetirementReply>(result).complete);
                                });
}

}  // namespace mothwalk
