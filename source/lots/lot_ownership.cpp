// Which slots of lots this daemon owns: loading them from the replicated store, and proving to be their owner.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
// Together with the placers' start lease well under the time in which an end of a lot takes hold.
constexpr Duration owner_lease = std::chrono::milliseconds(700);
constexpr Duration load_limit = std::chrono::milliseconds(1000);
constexpr Duration confirm_limit = std::chrono::milliseconds(1500);
// The time of a lot that names none.
constexpr Duration longest_completion = std::chrono::hours(24);
// Lots of a slot that is owned no more are remembered so long: the next takeover may be this daemon's again.
constexpr Duration former_span = std::chrono::milliseconds(5000);
// Between two loads, at most: about as long as the first one took, so that other work has half of the time.
constexpr Duration longest_load_rest = std::chrono::milliseconds(200);
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
    auto found = owned->slots.find(number);
    const Epoch epoch = slots_[number].epoch;
    if (found == owned->slots.end()) {
      if (epoch.value != 0) leave(number);
      forget_former(slots_[number]);
    } else if (epoch != found->second) {
      leave(number);
      slots_[number].epoch = found->second;
    }
  }
  load_next();
}

// An owner that takes its slot again, as after a change of the roster, still has the lots whose records nobody wrote.
void Lots::leave(std::uint32_t number) {
  Slot old = std::exchange(slots_[number], Slot{});
  std::erase_if(queue_, [&](const auto& each) { return old.lots.contains(each.second); });
  for (auto& then : old.waiting) then(false);
  for (auto& [id, lot] : old.lots)
    for (auto& waiter : std::exchange(lot.waiters, {})) waiter.answer(lots_loading());
  Slot& slot = slots_[number];
  slot.former = old.ready ? std::move(old.lots) : std::move(old.former);
  slot.left = old.ready ? messenger_.timers().now() : old.left;
  std::erase_if(slot.former, [](const auto& each) { return !settled(each.second); });
}

void Lots::forget_former(Slot& slot) const {
  if (!slot.former.empty() && messenger_.timers().now() - slot.left > former_span) slot.former.clear();
}

bool Lots::settled(const Lot& lot) {
  if (lot.cancelling || lot.removing) return false;
  return std::all_of(lot.busy.begin(), lot.busy.end(), [&](std::uint32_t index) {
    const ItemState state = lot.items[index].state;
    return state != ItemState::starting && state != ItemState::finishing;
  });
}

void Lots::load_next() {
  if (load_under_way_ || messenger_.timers().now() < load_not_before_) return;
  for (std::uint32_t number = 0; number < slot_count; ++number)
    if (slots_[number].epoch.value != 0 && !slots_[number].ready) return load(number);
}

void Lots::load(std::uint32_t number) {
  load_under_way_ = true;
  const Epoch epoch = slots_[number].epoch;
  ListSlot list{number, epoch, lot_record_key("")};
  for (const auto& [id, lot] : slots_[number].former) list.known.push_back(WrittenKey{lot_record_key(id), lot.written});
  const TimePoint began = messenger_.timers().now();
  messenger_.request(messenger_.self(), list, load_limit, [this, number, epoch, began](Result<ListSlotReply> result) {
    load_under_way_ = false;
    auto* reply = std::get_if<ListSlotReply>(&result);
    // Without a reply the store has given the slot up, or will answer when it is asked again.
    if (reply == nullptr) return;
    const bool rebuilds = !reply->records.empty();
    if (slots_[number].epoch == epoch) loaded(number, std::move(*reply));
    rebuilds ? rest_after_load(messenger_.timers().now() - began) : load_next();
  });
}

void Lots::rest_after_load(Duration took) {
  const Duration rest = std::min(took, longest_load_rest);
  load_not_before_ = messenger_.timers().now() + rest;
  messenger_.timers().after(rest, [this] { load_next(); });
}

void Lots::loaded(std::uint32_t number, ListSlotReply reply) {
  Slot& slot = slots_[number];
  for (const auto& record : reply.records) {
    Lot lot = rebuild(record, slot.epoch);
    queue(slot.lots.emplace(lot.id, std::move(lot)).first->second);
  }
  for (const auto& key : reply.unchanged) {
    auto former = slot.former.find(key.substr(lot_record_key("").size()));
    if (former == slot.former.end()) continue;
    former->second.epoch = slot.epoch;
    queue(slot.lots.emplace(former->first, std::move(former->second)).first->second);
  }
  slot.former.clear();
  ++counts_.slots_loaded;
  counts_.lots_rebuilt += reply.records.size();
  counts_.lots_kept += reply.unchanged.size();
  slot.ready = true;
  adopt(number);
}

Lots::Lot Lots::rebuild(const Record& record, Epoch epoch) const {
  const TimePoint now = messenger_.timers().now();
  Lot lot;
  lot.id = record.key.substr(lot_record_key("").size());
  lot.epoch = epoch;
  lot.written = record.written;
  if (auto head = from_cbor<LotSpecification>(record.head)) lot.head = std::move(*head);
  lot.content = lot_content(lot.head);
  lot.items.resize(lot.head.items.size());
  Duration elapsed{};
  for (const auto& bytes : record.entries) {
    auto entry = from_cbor<LotEntry>(bytes);
    if (!entry) continue;
    elapsed = std::max(elapsed, entry->elapsed);
    replay(lot, std::move(*entry), now);
  }
  lot.begun = now + -elapsed;
  lot.closed_at = now;
  for (std::uint32_t index = 0; index < lot.items.size(); ++index) {
    lot.largest_item = std::max(lot.largest_item, lot.head.items[index].tokens);
    if (lot.items[index].state == ItemState::pending) lot.pending.insert(index);
    if (lot.items[index].state == ItemState::started) lot.busy.insert(index);
  }
  const Duration limit = lot.head.batch ? lot.head.completion : lot.head.deadline;
  lot.due = lot.begun + (limit > Duration{} ? limit : longest_completion);
  return lot;
}

void Lots::replay(Lot& lot, LotEntry entry, TimePoint now) {
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
  messenger_.request(messenger_.self(), ConfirmSlot{number, epoch}, confirm_limit,
                     [this, number, epoch, began = messenger_.timers().now(), then](Result<ConfirmReply> result) {
                       Slot& slot = slots_[number];
                       const bool good = error_of(result) == nullptr && slot.epoch == epoch && slot.ready;
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
