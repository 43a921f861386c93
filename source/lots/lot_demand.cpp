// What waits to run, told to the placers and to the circles of runners.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

void Lots::announce() {
  announce_soon_ = false;
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  Demand demand;
  for (const auto& slot : slots_)
    for (const auto& [id, lot] : slot.lots)
      if (!lot.busy.empty() || !lot.pending.empty()) add_demand(*configuration, slot, lot, now, demand);
  std::set<std::string> told;
  for (const auto& [kind, of_kind] : demand.kinds) told.insert(kind);
  // A kind of which nothing waits any more is told once.
  for (const auto& kind : announced_) demand.kinds.try_emplace(kind);
  announced_ = std::move(told);
  if (!demand.kinds.empty()) tell_demand(*configuration, demand);
}

void Lots::add_demand(const ConfigurationView& configuration, const Slot& slot, const Lot& lot, TimePoint now,
                      Demand& demand) const {
  auto lane = configuration.lanes.find(lot.head.lane);
  if (lane == configuration.lanes.end()) return;
  const bool queued = queue_.contains({lot.due, lot.id});
  auto& pending = late(lot, now) ? demand.pending.late : demand.pending.kinds;
  for (const auto& share : lane->second.spec.kinds()) {
    if (share.weight <= 0) continue;
    const std::uint64_t memory = memory_of(configuration, share.kind.text);
    const std::uint32_t count = queued ? holdable(lot, memory) : 0;
    const double at_once = runs_at_once(lot, count, now);
    if (count == 0 && at_once == 0) continue;
    LotDemand& of_kind = demand.kinds[share.kind.text];
    of_kind.pending += count;
    of_kind.at_once += at_once;
    const std::uint32_t startable_now = queued && !slot.adopting ? startable(lot, memory, now) : 0;
    if (startable_now > 0) pending[share.kind.text] += startable_now;
  }
}

double Lots::runs_at_once(const Lot& lot, std::uint32_t pending, TimePoint now) const {
  if (!lot.head.batch || lot.head.completion <= Duration{}) return 0;
  const TimePoint until = late(lot, now) ? lot.begun + lot.head.retention : lot.due;
  const double run = took(lot);
  const double left = static_cast<double>((until - now).count()) / 1e6;
  const double items = pending + static_cast<double>(lot.busy.size());
  // Aims at half of the time that is left.
  return items * run / std::max(run, left / 2);
}

void Lots::tell_demand(const ConfigurationView& configuration, const Demand& demand) {
  const auto members = shared_state_.members.get();
  std::set<Address> placers;
  for (const auto& [kind, circle] : configuration.circles)
    if (demand.pending.kinds.contains(kind) || demand.pending.late.contains(kind))
      for (const auto& [runner, placer] : circle.spec.placers) placers.insert(placer.address);
  for (const Address& placer : placers) messenger_.send(placer, demand.pending);
  for (const auto& [kind, of_kind] : demand.kinds)
    if (const Voter* seat = slot_owner(configuration.roster, *members, slot_of("circle/" + kind)))
      messenger_.send(seat->address, KindPending{{{kind, of_kind}}});
}

}  // namespace mothwalk
