// Which slots of lots this daemon owns: loading them from the replicated store, and proving to be their owner.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
// Together with the placers' start lease well under the time in which an end of a lot takes hold.
constexpr Span owner_lease = std::chrono::milliseconds(700);
constexpr Span load_limit = std::chrono::milliseconds(1000);
constexpr Span confirm_limit = std::chrono::milliseconds(1500);
// The time of a lot that names none.
constexpr Span longest_completion = std::chrono::hours(24);
// So many runners' placers are remembered before those of removed runners are forgotten.
constexpr std::size_t known_placers = 4096;
}  // namespace

void Lots::follow_ownership() {
  const auto owned = shared_state_.owned.get();
  // The fence of a runner that there is must never be forgotten.
  if (terms_.size() > known_placers)
    std::erase_if(terms_, [configuration = shared_state_.configuration.get()](const auto& each) {
      return !configuration->runners.contains(each.first);
    });
  for (std::uint32_t number = 0; number < slot_count; ++number) {
    Slot& slot = slots_[number];
    auto found = owned->slots.find(number);
    if (found == owned->slots.end()) {
      if (slot.epoch.value != 0) leave(number);
    } else if (slot.epoch != found->second) {
      leave(number);
      slot.epoch = found->second;
      load(number, found->second);
    }
  }
}

void Lots::leave(std::uint32_t number) {
  Slot old = std::exchange(slots_[number], Slot{});
  std::erase_if(queue_, [&](const auto& each) { return old.lots.contains(each.second); });
  for (auto& then : old.waiting) then(false);
  for (auto& [id, lot] : old.lots)
    for (auto& waiter : lot.waiters) waiter.answer(lots_loading());
}

void Lots::load(std::uint32_t number, Epoch epoch) {
  slots_[number].loading = true;
  messenger_.ask(messenger_.self(), ListSlot{number, epoch, "lot/"}, load_limit,
                 [this, number, epoch](Result<RecordsReply> result) {
                   Slot& slot = slots_[number];
                   if (slot.epoch != epoch) return;
                   auto* reply = std::get_if<RecordsReply>(&result);
                   if (reply == nullptr) {
                     slot.epoch = Epoch{};
                     slot.loading = false;
                     return;
                   }
                   for (const auto& record : reply->records) {
                     Lot lot = rebuild(record, epoch);
                     queue(slot.lots.emplace(lot.id, std::move(lot)).first->second);
                   }
                   slot.loading = false;
                   slot.ready = true;
                   adopt(number);
                 });
}

Lots::Lot Lots::rebuild(const Record& record, Epoch epoch) const {
  const Moment now = messenger_.timers().now();
  Lot lot;
  lot.id = record.key.substr(lot_record_key("").size());
  lot.epoch = epoch;
  if (auto head = from_cbor<LotHead>(record.head)) lot.head = std::move(*head);
  lot.content = lot_content(lot.head);
  lot.items.resize(lot.head.items.size());
  Span elapsed{};
  for (const auto& bytes : record.entries) {
    auto entry = from_cbor<LotEntry>(bytes);
    if (!entry) continue;
    elapsed = std::max(elapsed, entry->elapsed);
    replay(lot, std::move(*entry), now);
  }
  lot.begun = now + -elapsed;
  lot.closed_at = now;
  for (std::uint32_t index = 0; index < lot.items.size(); ++index) {
    if (lot.items[index].state == ItemState::pending) lot.pending.insert(index);
    if (lot.items[index].state == ItemState::started) lot.busy.insert(index);
  }
  const Span limit = lot.head.batch ? lot.head.completion : lot.head.deadline;
  lot.due = lot.begun + (limit > Span{} ? limit : longest_completion);
  return lot;
}

void Lots::replay(Lot& lot, LotEntry entry, Moment now) {
  if (entry.what == "cancel") {
    lot.cancelled = true;
    return;
  }
  if (entry.item >= lot.items.size()) return;
  Item& item = lot.items[entry.item];
  if (item.state == ItemState::finished) return;
  if (entry.what == "start") {
    const std::uint32_t tries = item.tries + 1;
    item = Item{};
    item.state = ItemState::started;
    item.attempt = entry.attempt;
    item.tries = tries;
    item.placer = entry.placer;
    item.incarnation = entry.incarnation;
    item.since = now;
  } else if (entry.what == "result") {
    item.state = ItemState::finished;
    lot.head.items[entry.item].body.clear();
    lot.results.push_back(std::move(entry));
  }
}

void Lots::confirm(std::uint32_t number, std::function<void(bool)> then) {
  if (!slots_[number].ready) return then(false);
  const Epoch epoch = slots_[number].epoch;
  messenger_.ask(messenger_.self(), ConfirmSlot{number, epoch}, confirm_limit,
                 [this, number, epoch, began = messenger_.timers().now(), then](Result<ConfirmReply> result) {
                   Slot& slot = slots_[number];
                   const bool good = fault_of(result) == nullptr && slot.epoch == epoch && slot.ready;
                   if (good) slot.confirmed = std::max(slot.confirmed.value_or(began), began);
                   then(good);
                 });
}

bool Lots::leased(const Slot& slot) const {
  return slot.ready && slot.confirmed && messenger_.timers().now() - *slot.confirmed < owner_lease;
}

void Lots::lease(std::uint32_t number, std::function<void(bool)> then) {
  Slot& slot = slots_[number];
  if (leased(slot)) return then(true);
  slot.waiting.push_back(std::move(then));
  if (slot.confirming) return;
  slot.confirming = true;
  confirm(number, [this, number, epoch = slot.epoch](bool good) {
    Slot& now_slot = slots_[number];
    if (now_slot.epoch != epoch) return;
    now_slot.confirming = false;
    for (auto& each : std::exchange(now_slot.waiting, {})) each(good);
  });
}

void Lots::when_owner(const std::string& id, bool within_lease, std::function<void(bool, Lot*)> then) {
  const std::uint32_t number = slot_of(lot_record_key(id));
  const Epoch epoch = slots_[number].epoch;
  auto go_on = [this, id, epoch, then](bool good) {
    then(good, good ? find_under(id, epoch) : nullptr);
  };
  if (within_lease)
    lease(number, std::move(go_on));
  else
    confirm(number, std::move(go_on));
}

}  // namespace mothwalk
