// Chooses the members of a circle: additions, removals, extra members for failed ones, and ramps.
#include <algorithm>

#include "circle/internals.hpp"

namespace mothwalk {

namespace {
// How long fewer daemons have to route requests before the runners' capacity is divided among fewer of them.
constexpr Duration fewer_daemons_delay = std::chrono::seconds(60);
}  // namespace

std::vector<RunnerId> CircleManager::choose_members(const ConfigurationView& configuration,
                                                    const std::set<std::string>& available, std::size_t size,
                                                    const Circle& before,
                                                    const std::map<std::string, double>& live_by_zone) {
  std::vector<std::string> members;
  for (const auto& member : before.members)
    if (available.contains(member.text)) members.push_back(member.text);
  std::map<std::string, std::size_t> members_in_zone;
  std::map<std::string, double> zone_shares;
  double total_live = 0;
  for (const auto& [zone, prompts] : live_by_zone) total_live += prompts;
  auto zone = [&](const std::string& name) -> const std::string& {
    return configuration.runners.at(name).spec.zone.text;
  };
  for (const auto& name : available) zone_shares[zone(name)] = 0;
  for (auto& [name, zone_share] : zone_shares) {
    auto prompts = live_by_zone.find(name);
    // Without open prompts all zones have equal shares. The distribution of the prompts changes over time, so 30 % of
    // the shares are always divided equally.
    zone_share = total_live < 1 ? 1
                                : 0.3 / static_cast<double>(zone_shares.size()) +
                                      0.7 * (prompts == live_by_zone.end() ? 0 : prompts->second / total_live);
  }
  const std::set<std::string> warm_names = names_of(before.warm);
  auto warm = [&](const std::string& name) {
    return warm_names.contains(name);
  };
  auto cold = [&](const std::string& name) {
    return configuration.runners.at(name).spec.cold > Duration{};
  };
  for (const auto& name : members) ++members_in_zone[zone(name)];
  auto remove_member = [&](auto less) {
    auto removed = std::max_element(members.begin(), members.end(), less);
    --members_in_zone[zone(*removed)];
    members.erase(removed);
  };
  // Replaces cold members as long as there are warm runners outside the circle.
  std::set<std::string> outside = available;
  for (const auto& name : members) outside.erase(name);
  std::size_t warm_outside = static_cast<std::size_t>(
      std::count_if(outside.begin(), outside.end(), [&](const std::string& name) { return !cold(name); }));
  for (; warm_outside > 0 && std::any_of(members.begin(), members.end(), cold); --warm_outside)
    remove_member([&](const std::string& left, const std::string& right) {
      return std::make_pair(cold(left), hash_of(left)) < std::make_pair(cold(right), hash_of(right));
    });
  while (members.size() > size)
    remove_member([&](const std::string& left, const std::string& right) {
      auto members_per_share = [&](const std::string& name) {
        return static_cast<double>(members_in_zone[zone(name)]) / zone_shares[zone(name)];
      };
      return std::make_tuple(cold(left), members_per_share(left), !warm(left), hash_of(left)) <
             std::make_tuple(cold(right), members_per_share(right), !warm(right), hash_of(right));
    });
  while (members.size() < size && !outside.empty()) {
    auto added =
        std::min_element(outside.begin(), outside.end(), [&](const std::string& left, const std::string& right) {
          auto members_per_share = [&](const std::string& name) {
            return static_cast<double>(members_in_zone[zone(name)] + (members_in_zone[zone(name)] > 0)) /
                   zone_shares[zone(name)];
          };
          return std::make_tuple(cold(left), members_per_share(left), hash_of(left)) <
                 std::make_tuple(cold(right), members_per_share(right), hash_of(right));
        });
    ++members_in_zone[zone(*added)];
    members.push_back(*added);
    outside.erase(added);
  }
  std::sort(members.begin(), members.end());
  return {members.begin(), members.end()};
}

// If at least half of the members failed recently, they take only the reduced share of their ramp, so the same number
// of extra members is added. The PI controller would react too late, and it counts the slots of such members in full.
std::size_t CircleManager::extra_members_for(const std::vector<RunnerId>& members, const State& state, Duration ramp,
                                             TimePoint now) {
  const auto failed_count =
      static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const RunnerId& member) {
        return state.failed_recently(member.text, ramp, now);
      }));
  const std::size_t regular_size = members.size() - std::min(members.size(), state.extra_members);
  return failed_count * 2 >= regular_size ? failed_count : 0;
}

// A ramp begins when a runner becomes a member, is restarted, fails or becomes reachable again. Its duration counts
// from the decision that lists it, because daemons that did not see the failure themselves begin the ramp at that
// point.
void CircleManager::update_ramps(const Table<Runner>& runners, Duration ramp, const Circle& before, State& state,
                                 TimePoint now, Circle& next) {
  next.warm.clear();
  next.generations.clear();
  next.ramps.clear();
  for (const auto& member : next.members) {
    const std::string& name = member.text;
    const std::uint64_t generation = runners.at(name).spec.generation;
    const auto known = before.generations.find(name);
    const bool restarted = before.has(name) && (known == before.generations.end() ? 0 : known->second) != generation;
    if (restarted) state.joined[name] = now;
    const TimePoint joined = state.joined.try_emplace(name, now).first->second;
    const bool recently_failed = state.failed_recently(name, ramp, now);
    const TimePoint cause = recently_failed ? std::max(joined, state.failed.at(name)) : joined;
    Ramp& latest = state.ramps[name];
    const auto count = before.ramps.find(name);
    next.ramps[name] = count == before.ramps.end() ? 0 : count->second;
    if (cause > latest.cause + ramp / 8 || count == before.ramps.end()) {
      latest = Ramp{cause, now};
      ++next.ramps[name];
    }
    const bool ramp_over = now - joined >= ramp && now - latest.announced >= ramp;
    if (!recently_failed && !restarted && (before.takes_full_share(name, generation) || ramp_over))
      next.warm.push_back(member);
    if (generation > 0) next.generations[name] = generation;
  }
}

// A rise in the number of daemons counts at once, a drop only once it has lasted: the shares of daemons that are
// unreachable for a moment are not given to others.
std::uint32_t CircleManager::count_routing_daemons(const Members& members, const Circle& before, State& state,
                                                   TimePoint now) {
  const auto routing = static_cast<std::uint32_t>(members.routing_count());
  if (routing >= before.daemons) {
    state.fewer_daemons_since.reset();
    return routing;
  }
  if (!state.fewer_daemons_since) state.fewer_daemons_since = now;
  return now - *state.fewer_daemons_since >= fewer_daemons_delay ? routing : before.daemons;
}

}  // namespace mothwalk
