// The end of lots: cancelling, deadlines, placers that are lost, and removal after the retention time.
#include "lots/lots_internals.hpp"

namespace mothwalk {

namespace {
// How long a placer may be missing among the members until its items count as lost.
constexpr Duration placer_grace = std::chrono::milliseconds(1500);
// An item of a lot that is no batch counts as lost so long after the time that its lane allows.
constexpr Duration overrun_grace = std::chrono::seconds(5);
// The time that is allowed where the lane is gone.
constexpr Duration longest_run = std::chrono::seconds(60);
}  // namespace

void Lots::cancel(const std::string& id, ReplyCallback<LotStatus> answer) {
  bool ready = false;
  Lot* lot = find(id, &ready);
  if (!ready) return answer(lots_loading());
  if (lot == nullptr || lot->cancelled || lot->finished())
    return when_owner(id, false, [this, answer](bool good, Lot* now_lot) {
      !good ? answer(lots_loading()) : now_lot == nullptr ? answer(no_lot()) : answer(status(*now_lot));
    });
  lot->cancelling = true;
  queue(*lot);
  LotEntry entry;
  entry.what = "cancel";
  entry.elapsed = messenger_.timers().now() - lot->begun;
  append(*lot, {entry}, [this, answer](Lot* now_lot, bool good) {
    if (now_lot == nullptr || !good) {
      if (now_lot != nullptr) {
        now_lot->cancelling = false;
        queue(*now_lot);
      }
      return answer(Error{ErrorKind::unknown, "id",
                          "the end of the lot got no majority in time; its outcome is not known", "send it again"});
    }
    now_lot->cancelled = true;
    now_lot->closed_at = messenger_.timers().now();
    queue(*now_lot);
    sweep(*now_lot, messenger_.timers().now());
    answer_waiters(*now_lot);
    answer(status(*now_lot));
  });
}

void Lots::remove(Lot& lot) {
  lot.removing = true;
  Write write;
  write.key = lot_record_key(lot.id);
  write.removed = true;
  write.fence = lot.epoch.value;
  messenger_.request(messenger_.self(), write, lot_write_limit,
                     [this, id = lot.id, epoch = lot.epoch](Result<WriteReply> result) {
                       Lot* lot = find_under(id, epoch);
                       if (lot == nullptr) return;
                       if (error_of(result) != nullptr) {
                         lot->removing = false;
                         return;
                       }
                       queue_.erase({lot->due, id});
                       for (auto& waiter : lot->waiters) waiter.answer(lots_loading());
                       slots_[slot_of(lot_record_key(id))].lots.erase(id);
                     });
}

void Lots::sweep(Lot& lot, TimePoint now) {
  if (lot.closed()) {
    if (!lot.removing && now - lot.closed_at > shared_state_.configuration.get()->lot_settings().retention) remove(lot);
    return;
  }
  if (lot.head.batch)
    sweep_batch(lot, now);
  else if (lot.cancelled)
    give_up(lot, "cancelled");
  else if (lot.head.deadline > Duration{} && now - lot.begun >= lot.head.deadline)
    give_up(lot, "expired");
  if (!lot.busy.empty()) free_lost_items(lot, now);
}

void Lots::sweep_batch(Lot& lot, TimePoint now) {
  if (lot.cancelled) {
    std::set<Address> placers;
    for (const std::uint32_t index : lot.busy) placers.insert(lot.items[index].placer);
    for (const auto& placer : placers) messenger_.send(placer, StopLot{lot.id});
    return;
  }
  const auto configuration = shared_state_.configuration.get();
  const bool lane_gone =
      !configuration->lanes.contains(lot.head.lane) && configuration->fleet.spec.revision > lot.head.revision;
  const bool outlived = lot.head.retention > Duration{} && now - lot.begun > lot.head.retention;
  if (lane_gone || outlived) give_up(lot, "abandoned");
}

void Lots::free_lost_items(Lot& lot, TimePoint now) {
  const bool again_allowed = repeatable(lot);
  std::vector<LotEntry> unknown;
  for (const std::uint32_t index : lost_items(lot, now)) {
    if (again_allowed) {
      requeue(lot, index);
      continue;
    }
    LotEntry entry;
    entry.item = index;
    entry.attempt = lot.items[index].attempt;
    entry.outcome = "unknown";
    unknown.push_back(std::move(entry));
  }
  if (!unknown.empty()) give_results(lot, std::move(unknown), [](bool) {});
}

std::vector<std::uint32_t> Lots::lost_items(Lot& lot, TimePoint now) const {
  const auto members = shared_state_.members.get();
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(lot.head.lane);
  const Duration longest = lane == configuration->lanes.end() ? longest_run : lane->second.spec.whole;
  std::vector<std::uint32_t> lost;
  for (const std::uint32_t index : lot.busy) {
    Item& item = lot.items[index];
    if (item.state != ItemState::started) continue;
    auto placer = members->all.find(item.placer);
    const bool there = placer != members->all.end() && placer->second.incarnation == item.incarnation;
    if (there)
      item.placer_missing.reset();
    else if (!item.placer_missing)
      item.placer_missing = now;
    const bool placer_lost = item.placer_missing && now - *item.placer_missing > placer_grace;
    // A placer of a batch says itself what it holds: time alone ends nothing there.
    const bool overrun = !lot.head.batch && now - item.since > longest + overrun_grace;
    if (placer_lost || overrun) lost.push_back(index);
  }
  return lost;
}

}  // namespace mothwalk
