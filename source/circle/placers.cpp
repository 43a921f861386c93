// Assigns placers, the daemons that dispatch items of lots, to the runners outside the circle and to those members that
// take items as well.
#include <algorithm>

#include "circle/internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
// A new owner of the circle keeps the stored placers for this long, until it knows which daemons are alive.
constexpr Duration assignment_delay = milliseconds(1000);
// How long every available runner has to be a member before members take items of lots.
constexpr Duration lot_sharing_delay = milliseconds(1000);
// How long members may take items after lots last needed them.
constexpr Duration lot_sharing_retention = std::chrono::seconds(5);
}  // namespace

// If all runners are members and no member took items, lots would wait: forever, if a kind has only one runner or keeps
// all of its runners in the circle. The placer bounds how many items a member gets in addition to its prompts.
std::set<std::string> CircleManager::members_shared_with_lots(const Table<Runner>& runners, const Kind& kind,
                                                              const std::set<std::string>& available,
                                                              const Circle& next, const LoadSummary& summary,
                                                              State& state, TimePoint now) {
  if (available.empty() || next.members.size() < available.size()) {
    state.all_members_since.reset();
    state.last_lot_use.reset();
    return {};
  }
  if (!state.all_members_since) state.all_members_since = now;
  const bool running = std::any_of(next.members.begin(), next.members.end(), [&](const RunnerId& member) {
    const auto total = summary.totals.find(member.text);
    return total != summary.totals.end() && total->second.items > 0 && next.placers.contains(member.text);
  });
  if (running || summary.has_waiting_lots()) state.last_lot_use = now;
  const bool lots_need_members = state.last_lot_use && now - *state.last_lot_use < lot_sharing_retention;
  if (!lots_need_members || now - *state.all_members_since < lot_sharing_delay) return {};
  std::vector<std::string> order(available.begin(), available.end());
  auto rank = [&](const std::string& name) {
    const bool cold = runners.at(name).spec.cold > Duration{};
    return std::make_tuple(cold, !next.placers.contains(name), hash_of(name));
  };
  std::sort(order.begin(), order.end(),
            [&](const std::string& left, const std::string& right) { return rank(left) < rank(right); });
  std::set<std::string> shared_members;
  double capacity = 0;
  for (const auto& name : order) {
    if (!shared_members.empty() && capacity >= summary.lots.at_once) break;
    shared_members.insert(name);
    capacity += items_beside_prompts(kind, runners.at(name).spec);
  }
  return shared_members;
}

// Each runner outside the circle, and each member that takes items, has one placer. It keeps its placer while that
// daemon is alive, and otherwise gets another one under a higher term. If some daemons keep only lots, the placers are
// chosen among them, evenly and preferably in the runner's zone.
void CircleManager::assign_placers(const ConfigurationView& configuration, const Members& members,
                                   const std::set<std::string>& available, const std::set<std::string>& shared_members,
                                   const State& state, Circle& next) const {
  const bool startup_over = messenger_.timers().now() - state.started > assignment_delay;
  std::map<Address, std::size_t> lot_daemons;
  for (const auto& [address, member] : members.all)
    if (member.keeps == "lots") lot_daemons[address] = 0;
  const std::set<std::string> inside = names_of(next.members);
  const bool warm_outside = std::any_of(available.begin(), available.end(), [&](const std::string& name) {
    return !inside.contains(name) && configuration.runners.at(name).spec.cold <= Duration{};
  });
  std::map<std::string, Placer> placers;
  std::vector<std::string> unassigned;
  for (const auto& name : available) {
    if ((inside.contains(name) && !shared_members.contains(name)) ||
        (warm_outside && configuration.runners.at(name).spec.cold > Duration{}))
      continue;
    auto previous = next.placers.find(name);
    auto member = previous == next.placers.end() ? members.all.end() : members.all.find(previous->second.address);
    const bool alive = member != members.all.end() && member->second.incarnation == previous->second.incarnation &&
                       (lot_daemons.empty() || lot_daemons.contains(member->first));
    if (previous != next.placers.end() && (alive || !startup_over)) {
      placers[name] = previous->second;
      if (auto found = lot_daemons.find(previous->second.address); found != lot_daemons.end()) ++found->second;
    } else {
      unassigned.push_back(name);
    }
  }
  const std::size_t fair_share =
      lot_daemons.empty() ? 0 : (placers.size() + unassigned.size() + lot_daemons.size() - 1) / lot_daemons.size();
  for (const auto& name : unassigned) {
    const ZoneId& zone = configuration.runners.at(name).spec.zone;
    const Member* chosen = nullptr;
    const auto order = singleton_role_order(members, "place/" + name, zone);
    auto rank = [&](const Member* member) {
      const std::size_t assigned = lot_daemons.at(member->address);
      return std::make_tuple(assigned >= fair_share, member->zone != zone, assigned);
    };
    for (const Member* member : order) {
      if (lot_daemons.empty()) {
        chosen = member;
        break;
      }
      if (lot_daemons.contains(member->address) && (chosen == nullptr || rank(member) < rank(chosen))) chosen = member;
    }
    if (chosen == nullptr) continue;
    if (!lot_daemons.empty()) ++lot_daemons[chosen->address];
    placers[name] = Placer{chosen->address, chosen->incarnation, ++next.term};
  }
  next.placers = std::move(placers);
}

}  // namespace mothwalk
