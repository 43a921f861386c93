// Each change reads the newest document from its owner, and is written on condition that nothing came between.
#include "control/fleet_calls.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
constexpr std::size_t remembered_changes = 32;
constexpr std::size_t least_holders = 3;  // of which one may be lost

// What is kept under the configuration's key; revision 0 where nothing is.
Result<FleetConfiguration> configuration_of(const ReadReply& reply) {
  if (!reply.found || reply.record.removed) return FleetConfiguration{};
  auto read = from_cbor<FleetConfiguration>(reply.record.head);
  if (!read)
    return Fault{FaultKind::damaged, "configuration", "the kept configuration can't be read",
                 "run the version of mothwalk that wrote it"};
  return std::move(*read);
}
}  // namespace

void FleetCalls::change(ConfigurationChange change, Span limit, Answer<Version> answer) {
  attempt(std::make_shared<ConfigurationChange>(std::move(change)), messenger_.timers().now() + limit, false,
          std::move(answer));
}

void FleetCalls::attempt(std::shared_ptr<ConfigurationChange> change, Moment until, bool sent, Answer<Version> answer) {
  const std::string key(configuration_key);
  client_.read(
      key, until - messenger_.timers().now(), [this, change, until, sent, answer, key](Result<ReadReply> result) {
        if (auto fault = fault_of(result))
          return answer(sent ? Fault{FaultKind::unknown, key, fault->message, fault->remedy} : *fault);
        const ReadReply& reply = std::get<ReadReply>(result);
        auto kept = configuration_of(reply);
        if (auto fault = fault_of(kept)) return answer(*fault);
        const FleetConfiguration& current = std::get<FleetConfiguration>(kept);
        if (std::find(current.taken.begin(), current.taken.end(), change->hash) != current.taken.end())
          return answer(Version{current.revision});
        if (current.revision != change->base)
          return answer(
              Fault{FaultKind::conflict, "base",
                    "revision " + std::to_string(current.revision) + " is current, not " + std::to_string(change->base),
                    "read the configuration again and build on that"});
        auto made = change->make(current);
        if (auto fault = fault_of(made)) return answer(*fault);
        FleetConfiguration next = std::move(std::get<FleetConfiguration>(made));
        if (next.revision <= current.revision)
          return answer(Fault{FaultKind::invalid, "revision",
                              "revision " + std::to_string(next.revision) + " is not above the current one, " +
                                  std::to_string(current.revision),
                              "give a higher one"});
        next.taken = current.taken;
        next.taken.push_back(change->hash);
        if (next.taken.size() > remembered_changes) next.taken.erase(next.taken.begin());
        Write write;
        write.key = key;
        write.head = to_cbor(next);
        write.expected = reply.found && !reply.record.removed ? reply.record.stamp.version.value : 0;
        write.token = std::to_string(change->hash);
        client_.write(std::move(write), until - messenger_.timers().now(),
                      [this, change, until, answer, revision = next.revision](Result<WriteReply> written) {
                        auto fault = fault_of(written);
                        if (fault == nullptr) return answer(Version{revision});
                        // Another change, or an earlier sending of this one, came between: the newest document tells
                        // which.
                        if (fault->kind == FaultKind::stale ||
                            (fault->kind == FaultKind::unknown && messenger_.timers().now() < until))
                          return attempt(change, until, true, answer);
                        answer(*fault);
                      });
      });
}

void FleetCalls::show(Span limit, Answer<FleetConfiguration> answer) {
  client_.read(std::string(configuration_key), limit, [answer](Result<ReadReply> result) {
    if (auto fault = fault_of(result)) return answer(*fault);
    auto kept = configuration_of(std::get<ReadReply>(result));
    auto* configuration = std::get_if<FleetConfiguration>(&kept);
    if (configuration != nullptr && configuration->revision == 0)
      return answer(
          Fault{FaultKind::unknown_name, "configuration", "no configuration was taken yet", "give the first one"});
    answer(std::move(kept));
  });
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
