// Who places items of lots: a placer for each runner outside the circle, and for the members that lots share.
#include <algorithm>

#include "circle/internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration appoint_after = milliseconds(1000);
constexpr Duration share_after = milliseconds(1000);      // that no runner is outside before members take items
constexpr Duration share_kept = std::chrono::seconds(5);  // after lots had use for it last
}  // namespace

// With no runner outside, lots would wait for as long as that lasts, which is for ever where a kind has one runner or
// keeps all in its circle. What a member may be given of them beside its prompts is bounded where items are placed.
std::set<std::string> CircleDuty::shared_with_lots(const Table<Runner>& runners, const Kind& kind,
                                                   const std::set<std::string>& able, const Circle& next,
                                                   const Observed& seen, State& state, TimePoint now) {
  if (able.empty() || next.members.size() < able.size()) {
    state.all_inside_since.reset();
    state.shared_for.reset();
    return {};
  }
  if (!state.all_inside_since) state.all_inside_since = now;
  const bool running = std::any_of(next.members.begin(), next.members.end(), [&](const RunnerId& member) {
    const auto total = seen.totals.find(member.text);
    return total != seen.totals.end() && total->second.items > 0 && next.placers.contains(member.text);
  });
  if (running || seen.lots_wait()) state.shared_for = now;
  const bool wanted = state.shared_for && now - *state.shared_for < share_kept;
  if (!wanted || now - *state.all_inside_since < share_after) return {};
  std::vector<std::string> order(able.begin(), able.end());
  auto rank = [&](const std::string& name) {
    const bool cold = runners.at(name).spec.cold > Duration{};
    return std::make_tuple(cold, !next.placers.contains(name), hash_of(name));
  };
  std::sort(order.begin(), order.end(),
            [&](const std::string& left, const std::string& right) { return rank(left) < rank(right); });
  std::set<std::string> shared;
  double room = 0;
  for (const auto& name : order) {
    if (!shared.empty() && room >= seen.lots.at_once) break;
    shared.insert(name);
    room += items_beside_prompts(kind, runners.at(name).spec);
  }
  return shared;
}

// Each runner outside has one placer, and each member that lots share: the one it had while that one lives, else
// another, under a higher term. Where some daemons keep nothing but lots, these place: in the runner's zone first, and
// evenly.
void CircleDuty::appoint(const ConfigurationView& configuration, const Members& members,
                         const std::set<std::string>& able, const std::set<std::string>& shared, const State& state,
                         Circle& next) const {
  const bool settled = messenger_.timers().now() - state.since > appoint_after;
  std::map<Address, std::size_t> busy;
  for (const auto& [address, member] : members.all)
    if (member.keeps == "lots") busy[address] = 0;
  const std::set<std::string> inside = names_of(next.members);
  const bool warm_outside = std::any_of(able.begin(), able.end(), [&](const std::string& name) {
    return !inside.contains(name) && configuration.runners.at(name).spec.cold <= Duration{};
  });
  std::map<std::string, Placer> placers;
  std::vector<std::string> open;
  for (const auto& name : able) {
    if ((inside.contains(name) && !shared.contains(name)) ||
        (warm_outside && configuration.runners.at(name).spec.cold > Duration{}))
      continue;
    auto had = next.placers.find(name);
    auto member = had == next.placers.end() ? members.all.end() : members.all.find(had->second.address);
    const bool lives = member != members.all.end() && member->second.incarnation == had->second.incarnation &&
                       (busy.empty() || busy.contains(member->first));
    if (had != next.placers.end() && (lives || !settled)) {
      placers[name] = had->second;
      if (auto found = busy.find(had->second.address); found != busy.end()) ++found->second;
    } else {
      open.push_back(name);
    }
  }
  const std::size_t share = busy.empty() ? 0 : (placers.size() + open.size() + busy.size() - 1) / busy.size();
  for (const auto& name : open) {
    const ZoneId& zone = configuration.runners.at(name).spec.zone;
    const Member* first = nullptr;
    const auto order = duty_order(members, "place/" + name, zone);
    auto rank = [&](const Member* member) {
      const std::size_t taken = busy.at(member->address);
      return std::make_tuple(taken >= share, member->zone != zone, taken);
    };
    for (const Member* member : order) {
      if (busy.empty()) {
        first = member;
        break;
      }
      if (busy.contains(member->address) && (first == nullptr || rank(member) < rank(first))) first = member;
    }
    if (first == nullptr) continue;
    if (!busy.empty()) ++busy[first->address];
    placers[name] = Placer{first->address, first->incarnation, ++next.term};
  }
  next.placers = std::move(placers);
}

}  // namespace mothwalk
