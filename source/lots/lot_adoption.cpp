// What a new owner learns from the placers, and what an owner asks them again: the items that they hold.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
// A start is this old before its placer is asked about it: well over the placers' start lease.
constexpr Duration settled_start = std::chrono::milliseconds(2500);
}  // namespace

// Items that may run again leave no durable start: those who may run them say what they hold.
void Lots::adopt(std::uint32_t number) {
  Slot& slot = slots_[number];
  announce_soon_ = true;
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
  slot.adopting = true;
  auto left = std::make_shared<std::size_t>(placers.size());
  for (const auto& placer : placers)
    messenger_.request(placer, AskSlot{number}, placer_answer_limit,
                       [this, number, epoch = slot.epoch, left, placer](Result<SlotItems> result) {
                         Slot& now_slot = slots_[number];
                         if (now_slot.epoch != epoch) return;
                         if (auto* held = std::get_if<SlotItems>(&result)) adopted(number, placer, *held);
                         if (--*left > 0) return;
                         now_slot.adopting = false;
                         announce_soon_ = true;
                       });
}

void Lots::adopted(std::uint32_t number, const Address& placer, const SlotItems& held) {
  for (const auto& name : held.items) {
    auto found = slots_[number].lots.find(name.lot);
    if (found == slots_[number].lots.end() || name.item >= found->second.items.size()) continue;
    Lot& lot = found->second;
    Item& item = lot.items[name.item];
    if (item.state != ItemState::pending || !repeatable(lot)) continue;
    item.state = ItemState::started;
    item.attempt = name.attempt;
    item.tries = std::max(1u, item.tries);
    item.placer = placer;
    item.incarnation = held.incarnation;
    item.since = messenger_.timers().now();
    lot.pending.erase(name.item);
    lot.busy.insert(name.item);
    queue(lot);
  }
}

// The answer to a fetch may be lost on its way. A placer that lives and does not hold an item whose start lease is over
// never ran it and never will: the item is free again, repeatable or not.
void Lots::ask_placers(TimePoint now) {
  std::map<std::pair<Address, std::uint64_t>, AskHeld> asks;
  for (const auto& slot : slots_)
    for (const auto& [id, lot] : slot.lots)
      for (const std::uint32_t index : lot.busy) {
        const Item& item = lot.items[index];
        if (item.state == ItemState::started && now - item.since > settled_start) {
          AskHeld& ask = asks[{item.placer, item.incarnation}];
          ask.incarnation = item.incarnation;
          ask.items.push_back(ItemName{id, index, item.attempt});
        }
      }
  for (const auto& [placer, ask] : asks)
    messenger_.request(placer.first, ask, placer_answer_limit, [this](Result<HeldReply> result) {
      auto* reply = std::get_if<HeldReply>(&result);
      if (reply == nullptr) return;
      for (const auto& name : reply->missing) {
        bool ready = false;
        Lot* lot = find(name.lot, &ready);
        if (lot == nullptr || name.item >= lot->items.size()) continue;
        Item& item = lot->items[name.item];
        if (item.state == ItemState::started && item.attempt == name.attempt) requeue(*lot, name.item);
      }
    });
}

}  // namespace mothwalk
