// Reconciles items that were handed out with what the placers hold: when a slot is taken over, and periodically.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
// The age of a start from which its placer is asked about it. It is well above the placers' start lease of 1 s, so that
// the item has been either sent or reported as not run by then.
constexpr Duration start_check_delay = std::chrono::milliseconds(2500);
}  // namespace

// The starts of repeatable items are not stored, so the new owner asks every daemon that may run them what it holds.
void Lots::request_held_items(std::uint32_t slot_number) {
  Slot& slot = slots_[slot_number];
  publish_soon_ = true;
  if (std::none_of(slot.lots.begin(), slot.lots.end(), [](const auto& each) { return !each.second.pending.empty(); }))
    return;
  const auto members = shared_state_.members.get();
  const auto configuration = shared_state_.configuration.get();
  std::set<Address> placers;
  for (const auto& [address, member] : members->all)
    if (member.keeps_lots()) placers.insert(address);
  for (const auto& [kind, circle] : configuration->circles)
    for (const auto& [runner, placer] : circle.spec.placers)
      if (members->all.contains(placer.address)) placers.insert(placer.address);
  if (placers.empty()) return;
  slot.awaiting_held_items = true;
  auto outstanding = std::make_shared<std::size_t>(placers.size());
  for (const auto& placer : placers)
    messenger_.request(placer, ListHeldItems{slot_number}, placer_reply_timeout,
                       [this, slot_number, epoch = slot.epoch, outstanding, placer](Result<HeldItems> result) {
                         Slot& current_slot = slots_[slot_number];
                         if (current_slot.epoch != epoch) return;
                         if (auto* held = std::get_if<HeldItems>(&result)) on_held_items(slot_number, placer, *held);
                         if (--*outstanding > 0) return;
                         current_slot.awaiting_held_items = false;
                         publish_soon_ = true;
                       });
}

void Lots::on_held_items(std::uint32_t slot_number, const Address& placer, const HeldItems& held) {
  for (const auto& attempt_id : held.items) {
    auto found = slots_[slot_number].lots.find(attempt_id.lot);
    if (found == slots_[slot_number].lots.end() || attempt_id.item >= found->second.items.size()) continue;
    Lot& lot = found->second;
    Item& item = lot.items[attempt_id.item];
    if (item.state != ItemState::pending || !is_repeatable(lot)) continue;
    item.state = ItemState::started;
    item.attempt = attempt_id.attempt;
    item.tries = std::max(1u, item.tries);
    item.placer = placer;
    item.placer_incarnation = held.incarnation;
    item.started_at = messenger_.timers().now();
    lot.pending.erase(attempt_id.item);
    lot.in_progress.insert(attempt_id.item);
    update_queue(lot);
  }
}

// The reply to a fetch may be lost. A running placer that does not hold an item after the start lease has expired never
// ran the item and never will, so the item can be handed out again whether it is repeatable or not.
void Lots::check_items_with_placers(TimePoint now) {
  std::map<std::pair<Address, std::uint64_t>, CheckHeldItems> requests;
  for (const auto& slot : slots_)
    for (const auto& [id, lot] : slot.lots)
      for (const std::uint32_t index : lot.in_progress) {
        const Item& item = lot.items[index];
        if (item.state == ItemState::started && now - item.started_at > start_check_delay) {
          CheckHeldItems& request = requests[{item.placer, item.placer_incarnation}];
          request.incarnation = item.placer_incarnation;
          request.items.push_back(ItemAttemptId{id, index, item.attempt});
        }
      }
  for (const auto& [placer, request] : requests)
    messenger_.request(placer.first, request, placer_reply_timeout, [this](Result<CheckHeldItemsReply> result) {
      auto* reply = std::get_if<CheckHeldItemsReply>(&result);
      if (reply == nullptr) return;
      for (const auto& attempt_id : reply->missing) {
        bool ready = false;
        Lot* lot = find_lot(attempt_id.lot, &ready);
        if (lot == nullptr || attempt_id.item >= lot->items.size()) continue;
        Item& item = lot->items[attempt_id.item];
        if (item.state == ItemState::started && item.attempt == attempt_id.attempt) requeue(*lot, attempt_id.item);
      }
    });
}

}  // namespace mothwalk
