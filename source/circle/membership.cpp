// Which runners are members: who enters and leaves, who stands in for others, and the ramps of entrants.
#include <algorithm>

#include "circle/internals.hpp"

namespace mothwalk {

namespace {
constexpr Duration fewer_span = std::chrono::seconds(60);  // that fewer daemons route before shares are made for fewer
}  // namespace

std::vector<RunnerId> CircleDuty::match_members(const ConfigurationView& configuration,
                                                const std::set<std::string>& able, std::size_t size,
                                                const Circle& before, const std::map<std::string, double>& demand) {
  std::vector<std::string> members;
  for (const auto& member : before.members)
    if (able.contains(member.text)) members.push_back(member.text);
  std::map<std::string, std::size_t> in_zone;
  std::map<std::string, double> share;
  double all = 0;
  for (const auto& [zone, work] : demand) all += work;
  auto zone = [&](const std::string& name) -> const std::string& {
    return configuration.runners.at(name).spec.zone.text;
  };
  for (const auto& name : able) share[zone(name)] = 0;
  for (auto& [name, part] : share) {
    auto work = demand.find(name);
    // Evenly as far as nothing is known; work moves, so that the known part never is all.
    part =
        all < 1 ? 1 : 0.3 / static_cast<double>(share.size()) + 0.7 * (work == demand.end() ? 0 : work->second / all);
  }
  const std::set<std::string> warm_ones = names_of(before.warm);
  auto warm = [&](const std::string& name) {
    return warm_ones.contains(name);
  };
  auto cold = [&](const std::string& name) {
    return configuration.runners.at(name).spec.cold > Duration{};
  };
  for (const auto& name : members) ++in_zone[zone(name)];
  auto leave = [&](auto better) {
    auto leaver = std::max_element(members.begin(), members.end(), better);
    --in_zone[zone(*leaver)];
    members.erase(leaver);
  };
  // A cold runner has no place in the circle while there are warm ones outside it.
  std::set<std::string> outside = able;
  for (const auto& name : members) outside.erase(name);
  std::size_t warm_outside = static_cast<std::size_t>(
      std::count_if(outside.begin(), outside.end(), [&](const std::string& name) { return !cold(name); }));
  for (; warm_outside > 0 && std::any_of(members.begin(), members.end(), cold); --warm_outside)
    leave([&](const std::string& left, const std::string& right) {
      return std::make_pair(cold(left), hash_of(left)) < std::make_pair(cold(right), hash_of(right));
    });
  while (members.size() > size)
    leave([&](const std::string& left, const std::string& right) {
      auto crowd = [&](const std::string& name) {
        return static_cast<double>(in_zone[zone(name)]) / share[zone(name)];
      };
      return std::make_tuple(cold(left), crowd(left), !warm(left), hash_of(left)) <
             std::make_tuple(cold(right), crowd(right), !warm(right), hash_of(right));
    });
  while (members.size() < size && !outside.empty()) {
    auto entrant =
        std::min_element(outside.begin(), outside.end(), [&](const std::string& left, const std::string& right) {
          auto crowd = [&](const std::string& name) {
            return static_cast<double>(in_zone[zone(name)] + (in_zone[zone(name)] > 0)) / share[zone(name)];
          };
          return std::make_tuple(cold(left), crowd(left), hash_of(left)) <
                 std::make_tuple(cold(right), crowd(right), hash_of(right));
        });
    ++in_zone[zone(*entrant)];
    members.push_back(*entrant);
    outside.erase(entrant);
  }
  std::sort(members.begin(), members.end());
  return {members.begin(), members.end()};
}

// Where half of the members or more have failed of late, and take only the share of their ramp, as many others stand in
// for them: the law sees the load too late, and counts their slots as whole.
std::size_t CircleDuty::substitutes_for(const std::vector<RunnerId>& members, const State& state, Duration ramp,
                                        TimePoint now) {
  const auto shaken = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [&](const RunnerId& member) { return state.shaken(member.text, ramp, now); }));
  const std::size_t wanted = members.size() - std::min(members.size(), state.substitutes);
  return shaken * 2 >= wanted ? shaken : 0;
}

// A ramp begins with a new member, one that was started anew and one that failed or came back, and lasts from when the
// circle tells it: daemons that did not see the failure themselves begin it then.
void CircleDuty::follow_ramps(const Table<Runner>& runners, Duration ramp, const Circle& before, State& state,
                              TimePoint now, Circle& next) {
  next.warm.clear();
  next.generations.clear();
  next.ramps.clear();
  for (const auto& member : next.members) {
    const std::string& name = member.text;
    const std::uint64_t generation = runners.at(name).spec.generation;
    const auto known = before.generations.find(name);
    const bool anew = before.has(name) && (known == before.generations.end() ? 0 : known->second) != generation;
    if (anew) state.entered[name] = now;
    const TimePoint entered = state.entered.try_emplace(name, now).first->second;
    const bool shaken = state.shaken(name, ramp, now);
    const TimePoint cause = shaken ? std::max(entered, state.failed.at(name)) : entered;
    Ramp& latest = state.ramps[name];
    const auto count = before.ramps.find(name);
    next.ramps[name] = count == before.ramps.end() ? 0 : count->second;
    if (cause > latest.cause + ramp / 8 || count == before.ramps.end()) {
      latest = Ramp{cause, now};
      ++next.ramps[name];
    }
    const bool over = now - entered >= ramp && now - latest.told >= ramp;
    if (!shaken && !anew && (before.bears(name, generation) || over)) next.warm.push_back(member);
    if (generation > 0) next.generations[name] = generation;
  }
}

// More are counted at once, fewer only where it stays so: the shares of those that are away a moment are not given
// away.
std::uint32_t CircleDuty::count_daemons(const Members& members, const Circle& before, State& state, TimePoint now) {
  const auto routing = static_cast<std::uint32_t>(members.routing());
  if (routing >= before.daemons) {
    state.fewer_since.reset();
    return routing;
  }
  if (!state.fewer_since) state.fewer_since = now;
  return now - *state.fewer_since >= fewer_span ? routing : before.daemons;
}

}  // namespace mothwalk
