// Publishes the items that wait to run to the placers and to the components that size the circles of runners.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

void Lots::publish_demand() {
  publish_soon_ = false;
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  Demand demand;
  for (const auto& slot : slots_)
    for (const auto& [id, lot] : slot.lots)
      if (!lot.in_progress.empty() || !lot.pending.empty()) add_demand(*configuration, slot, lot, now, demand);
  std::set<std::string> current_kinds;
  for (const auto& [kind, kind_demand] : demand.kinds) current_kinds.insert(kind);
  // When nothing waits for a kind any more, that is published once.
  for (const auto& kind : published_kinds_) demand.kinds.try_emplace(kind);
  published_kinds_ = std::move(current_kinds);
  if (!demand.kinds.empty()) send_demand(*configuration, demand);
}

void Lots::add_demand(const ConfigurationView& configuration, const Slot& slot, const Lot& lot, TimePoint now,
                      Demand& demand) const {
  auto lane = configuration.lanes.find(lot.spec.lane);
  if (lane == configuration.lanes.end()) return;
  const bool queued = queue_.contains({lot.due, lot.id});
  auto& pending = is_late(lot, now) ? demand.pending.late : demand.pending.kinds;
  for (const auto& share : lane->second.spec.kinds()) {
    if (share.weight <= 0) continue;
    const std::uint64_t memory = runner_memory_tokens(configuration, share.kind.text);
    const std::uint32_t count = queued ? count_fitting_items(lot, memory) : 0;
    const double at_once = required_concurrency(lot, count, now);
    if (count == 0 && at_once == 0) continue;
    LotDemand& kind_demand = demand.kinds[share.kind.text];
    kind_demand.pending += count;
    kind_demand.at_once += at_once;
    const std::uint32_t startable_now =
        queued && !slot.awaiting_held_items ? count_startable_items(lot, memory, now) : 0;
    if (startable_now > 0) pending[share.kind.text] += startable_now;
  }
}

double Lots::required_concurrency(const Lot& lot, std::uint32_t pending, TimePoint now) const {
  if (!lot.spec.batch || lot.spec.completion <= Duration{}) return 0;
  const TimePoint target_time = is_late(lot, now) ? lot.submitted_at + lot.spec.retention : lot.due;
  const double run_seconds = expected_run_seconds(lot);
  const double remaining_seconds = static_cast<double>((target_time - now).count()) / 1e6;
  const double item_count = pending + static_cast<double>(lot.in_progress.size());
  // Aims to finish in half of the remaining time, so that there is a reserve.
  return item_count * run_seconds / std::max(run_seconds, remaining_seconds / 2);
}

void Lots::send_demand(const ConfigurationView& configuration, const Demand& demand) {
  const auto members = shared_state_.members.get();
  std::set<Address> placers;
  for (const auto& [kind, circle] : configuration.circles)
    if (demand.pending.kinds.contains(kind) || demand.pending.late.contains(kind))
      for (const auto& [runner, placer] : circle.spec.placers) placers.insert(placer.address);
  for (const Address& placer : placers) messenger_.send(placer, demand.pending);
  for (const auto& [kind, kind_demand] : demand.kinds)
    if (const Voter* owner = slot_owner(configuration.roster, *members, slot_of("circle/" + kind)))
      messenger_.send(owner->address, KindPending{{{kind, kind_demand}}});
}

}  // namespace mothwalk
