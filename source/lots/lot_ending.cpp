// How lots and items end without a placer's report: cancellation, deadlines, lost placers, and the removal of lots
// after the retention time.
#include "lots/lots_internals.hpp"

namespace mothwalk {

namespace {
// How long a placer may be missing from the members before its items count as lost.
constexpr Duration placer_grace = std::chrono::milliseconds(1500);
// An item of a plain lot counts as lost when it exceeds the run time that its lane allows by this much.
constexpr Duration run_limit_grace = std::chrono::seconds(5);
// The run time that is allowed if the lane no longer exists.
constexpr Duration default_run_limit = std::chrono::seconds(60);
}  // namespace

void Lots::cancel(const std::string& id, ReplyCallback<LotStatus> respond) {
  bool ready = false;
  Lot* lot = find_lot(id, &ready);
  if (!ready) return respond(slot_loading_error());
  if (lot == nullptr || lot->cancelled || lot->finished())
    return confirm_and_find(id, false, [this, respond](bool succeeded, Lot* current_lot) {
      !succeeded               ? respond(slot_loading_error())
      : current_lot == nullptr ? respond(lot_not_found_error())
                               : respond(status_of(*current_lot));
    });
  lot->cancelling = true;
  update_queue(*lot);
  LotEntry entry;
  entry.what = "cancel";
  entry.elapsed = messenger_.timers().now() - lot->submitted_at;
  append_entries(*lot, {entry}, [this, respond](Lot* current_lot, bool succeeded) {
    if (current_lot == nullptr || !succeeded) {
      if (current_lot != nullptr) {
        current_lot->cancelling = false;
        update_queue(*current_lot);
      }
      return respond(Error{ErrorKind::unknown, "id",
                           "no majority stored the cancellation in time; its outcome is unknown",
                           "send the same request again"});
    }
    current_lot->cancelled = true;
    current_lot->closed_at = messenger_.timers().now();
    update_queue(*current_lot);
    check_lot(*current_lot, messenger_.timers().now());
    reply_to_waiters(*current_lot);
    respond(status_of(*current_lot));
  });
}

void Lots::remove_lot(Lot& lot) {
  lot.removing = true;
  Write write;
  write.key = lot_record_key(lot.id);
  write.removed = true;
  write.fence = lot.epoch.value;
  messenger_.request(messenger_.self(), write, lot_write_timeout,
                     [this, id = lot.id, epoch = lot.epoch](Result<WriteReply> result) {
                       Lot* lot = find_lot_at_epoch(id, epoch);
                       if (lot == nullptr) return;
                       if (error_of(result) != nullptr) {
                         lot->removing = false;
                         return;
                       }
                       queue_.erase({lot->due, id});
                       for (auto& waiter : lot->waiters) waiter.respond(slot_loading_error());
                       slots_[slot_of(lot_record_key(id))].lots.erase(id);
                     });
}

void Lots::check_lot(Lot& lot, TimePoint now) {
  if (lot.closed()) {
    if (!lot.removing && now - lot.closed_at > shared_state_.configuration.get()->lot_settings().retention)
      remove_lot(lot);
    return;
  }
  if (lot.spec.batch)
    check_batch(lot, now);
  else if (lot.cancelled)
    end_pending_items(lot, "cancelled");
  else if (lot.spec.deadline > Duration{} && now - lot.submitted_at >= lot.spec.deadline)
    end_pending_items(lot, "expired");
  if (!lot.in_progress.empty()) release_lost_items(lot, now);
}

void Lots::check_batch(Lot& lot, TimePoint now) {
  if (lot.cancelled) {
    std::set<Address> placers;
    for (const std::uint32_t index : lot.in_progress) placers.insert(lot.items[index].placer);
    for (const auto& placer : placers) messenger_.send(placer, StopLotItems{lot.id});
    return;
  }
  const auto configuration = shared_state_.configuration.get();
  const bool lane_gone =
      !configuration->lanes.contains(lot.spec.lane) && configuration->fleet.spec.revision > lot.spec.revision;
  const bool past_retention = lot.spec.retention > Duration{} && now - lot.submitted_at > lot.spec.retention;
  if (lane_gone || past_retention) end_pending_items(lot, "abandoned");
}

void Lots::release_lost_items(Lot& lot, TimePoint now) {
  const bool repeatable = is_repeatable(lot);
  std::vector<LotEntry> unknown;
  for (const std::uint32_t index : find_lost_items(lot, now)) {
    if (repeatable) {
      requeue(lot, index);
      continue;
    }
    LotEntry entry;
    entry.item = index;
    entry.attempt = lot.items[index].attempt;
    entry.outcome = "unknown";
    unknown.push_back(std::move(entry));
  }
  if (!unknown.empty()) write_results(lot, std::move(unknown), [](bool) {});
}

std::vector<std::uint32_t> Lots::find_lost_items(Lot& lot, TimePoint now) const {
  const auto members = shared_state_.members.get();
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(lot.spec.lane);
  const Duration run_limit = lane == configuration->lanes.end() ? default_run_limit : lane->second.spec.whole;
  std::vector<std::uint32_t> lost;
  for (const std::uint32_t index : lot.in_progress) {
    Item& item = lot.items[index];
    if (item.state != ItemState::started) continue;
    auto placer = members->all.find(item.placer);
    const bool placer_present = placer != members->all.end() && placer->second.incarnation == item.placer_incarnation;
    if (placer_present)
      item.placer_missing_since.reset();
    else if (!item.placer_missing_since)
      item.placer_missing_since = now;
    const bool placer_lost = item.placer_missing_since && now - *item.placer_missing_since > placer_grace;
    // In a batch only what the placer itself reports counts, so the run time alone does not end an item.
    const bool overrun = !lot.spec.batch && now - item.started_at > run_limit + run_limit_grace;
    if (placer_lost || overrun) lost.push_back(index);
  }
  return lost;
}

}  // namespace mothwalk
