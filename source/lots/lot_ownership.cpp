// Tracks which slots this daemon owns, loads their lots from the replicated store, and confirms the ownership with a
// majority.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
// How long a confirmed ownership is relied upon. Together with the placers' start lease it stays well below the time
// after which a cancelled lot must not start items any more.
constexpr Duration owner_lease_duration = std::chrono::milliseconds(700);
constexpr Duration load_timeout = std::chrono::milliseconds(1000);
constexpr Duration confirm_timeout = std::chrono::milliseconds(1500);
// The time in which a lot is due if its specification names none.
constexpr Duration default_completion = std::chrono::hours(24);
// How long the lots of a released slot are kept in memory, because this daemon may take the slot over again.
constexpr Duration former_lots_retention = std::chrono::milliseconds(5000);
// The longest pause between two loads. A pause is as long as the load before it took, so that other work gets half of
// the time.
constexpr Duration max_load_pause = std::chrono::milliseconds(200);
// When more runners than this have a known placer, the entries of removed runners are deleted.
constexpr std::size_t max_known_placers = 4096;
}  // namespace

void Lots::update_owned_slots() {
  const auto owned = shared_state_.owned.get();
  // The entry of an existing runner must be kept: it fences off placers with an older term.
  if (newest_placers_.size() > max_known_placers)
    std::erase_if(newest_placers_, [configuration = shared_state_.configuration.get()](const auto& each) {
      return !configuration->runners.contains(each.first);
    });
  for (std::uint32_t slot_number = 0; slot_number < slot_count; ++slot_number) {
    auto found = owned->slots.find(slot_number);
    const Epoch epoch = slots_[slot_number].epoch;
    if (found == owned->slots.end()) {
      if (epoch.value != 0) release_slot(slot_number);
      expire_former_lots(slots_[slot_number]);
    } else if (epoch != found->second) {
      release_slot(slot_number);
      slots_[slot_number].epoch = found->second;
    }
  }
  load_next_slot();
}

// The lots are kept as former lots: an owner that regains its slot, for example after a change of the roster, reuses
// those whose records were not written to in between.
void Lots::release_slot(std::uint32_t slot_number) {
  Slot old = std::exchange(slots_[slot_number], Slot{});
  std::erase_if(queue_, [&](const auto& each) { return old.lots.contains(each.second); });
  for (auto& then : old.lease_waiters) then(false);
  for (auto& [id, lot] : old.lots)
    for (auto& waiter : std::exchange(lot.waiters, {})) waiter.respond(slot_loading_error());
  Slot& slot = slots_[slot_number];
  slot.former_lots = old.ready ? std::move(old.lots) : std::move(old.former_lots);
  slot.released_at = old.ready ? messenger_.timers().now() : old.released_at;
  std::erase_if(slot.former_lots, [](const auto& each) { return !has_no_pending_write(each.second); });
}

void Lots::expire_former_lots(Slot& slot) const {
  if (!slot.former_lots.empty() && messenger_.timers().now() - slot.released_at > former_lots_retention)
    slot.former_lots.clear();
}

bool Lots::has_no_pending_write(const Lot& lot) {
  if (lot.cancelling || lot.removing) return false;
  return std::all_of(lot.in_progress.begin(), lot.in_progress.end(), [&](std::uint32_t index) {
    const ItemState state = lot.items[index].state;
    return state != ItemState::starting && state != ItemState::finishing;
  });
}

void Lots::load_next_slot() {
  if (load_in_progress_ || messenger_.timers().now() < next_load_at_) return;
  for (std::uint32_t slot_number = 0; slot_number < slot_count; ++slot_number)
    if (slots_[slot_number].epoch.value != 0 && !slots_[slot_number].ready) return load_slot(slot_number);
}

void Lots::load_slot(std::uint32_t slot_number) {
  load_in_progress_ = true;
  const Epoch epoch = slots_[slot_number].epoch;
  ListSlot list{slot_number, epoch, lot_record_key("")};
  for (const auto& [id, lot] : slots_[slot_number].former_lots)
    list.known.push_back(WrittenKey{lot_record_key(id), lot.record_stamp});
  const TimePoint requested_at = messenger_.timers().now();
  messenger_.request(messenger_.self(), list, load_timeout,
                     [this, slot_number, epoch, requested_at](Result<ListSlotReply> result) {
                       load_in_progress_ = false;
                       auto* reply = std::get_if<ListSlotReply>(&result);
                       // On an error the store has released the slot, or the next tick retries the load.
                       if (reply == nullptr) return;
                       const bool rebuilds = !reply->records.empty();
                       if (slots_[slot_number].epoch == epoch) on_slot_loaded(slot_number, std::move(*reply));
                       rebuilds ? pause_after_load(messenger_.timers().now() - requested_at) : load_next_slot();
                     });
}

void Lots::pause_after_load(Duration load_duration) {
  const Duration pause = std::min(load_duration, max_load_pause);
  next_load_at_ = messenger_.timers().now() + pause;
  messenger_.timers().after(pause, [this] { load_next_slot(); });
}

void Lots::on_slot_loaded(std::uint32_t slot_number, ListSlotReply reply) {
  Slot& slot = slots_[slot_number];
  for (const auto& record : reply.records) {
    Lot lot = rebuild_lot(record, slot.epoch);
    update_queue(slot.lots.emplace(lot.id, std::move(lot)).first->second);
  }
  for (const auto& key : reply.unchanged) {
    auto former_lot = slot.former_lots.find(key.substr(lot_record_key("").size()));
    if (former_lot == slot.former_lots.end()) continue;
    former_lot->second.epoch = slot.epoch;
    update_queue(slot.lots.emplace(former_lot->first, std::move(former_lot->second)).first->second);
  }
  slot.former_lots.clear();
  ++counts_.slots_loaded;
  counts_.lots_rebuilt += reply.records.size();
  counts_.lots_kept += reply.unchanged.size();
  slot.ready = true;
  request_held_items(slot_number);
}

Lots::Lot Lots::rebuild_lot(const Record& record, Epoch epoch) const {
  const TimePoint now = messenger_.timers().now();
  Lot lot;
  lot.id = record.key.substr(lot_record_key("").size());
  lot.epoch = epoch;
  lot.record_stamp = record.written;
  if (auto head = from_cbor<LotSpecification>(record.head)) lot.spec = std::move(*head);
  lot.content_digest = content_digest_of(lot.spec);
  lot.items.resize(lot.spec.items.size());
  Duration elapsed{};
  for (const auto& bytes : record.entries) {
    auto entry = from_cbor<LotEntry>(bytes);
    if (!entry) continue;
    elapsed = std::max(elapsed, entry->elapsed);
    apply_entry(lot, std::move(*entry), now);
  }
  lot.submitted_at = now + -elapsed;
  lot.closed_at = now;
  for (std::uint32_t index = 0; index < lot.items.size(); ++index) {
    lot.largest_item_tokens = std::max(lot.largest_item_tokens, lot.spec.items[index].tokens);
    if (lot.items[index].state == ItemState::pending) lot.pending.insert(index);
    if (lot.items[index].state == ItemState::started) lot.in_progress.insert(index);
  }
  const Duration limit = lot.spec.batch ? lot.spec.completion : lot.spec.deadline;
  lot.due = lot.submitted_at + (limit > Duration{} ? limit : default_completion);
  return lot;
}

void Lots::apply_entry(Lot& lot, LotEntry entry, TimePoint now) {
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
    item.placer_incarnation = entry.incarnation;
    item.started_at = now;
  } else if (entry.what == "result") {
    item.state = ItemState::finished;
    lot.spec.items[entry.item].body.clear();
    lot.results.push_back(std::move(entry));
  }
}

void Lots::confirm_ownership(std::uint32_t slot_number, std::function<void(bool)> then) {
  if (!slots_[slot_number].ready) return then(false);
  const Epoch epoch = slots_[slot_number].epoch;
  messenger_.request(
      messenger_.self(), ConfirmSlot{slot_number, epoch}, confirm_timeout,
      [this, slot_number, epoch, requested_at = messenger_.timers().now(), then](Result<ConfirmReply> result) {
        Slot& slot = slots_[slot_number];
        const bool succeeded = error_of(result) == nullptr && slot.epoch == epoch && slot.ready;
        if (succeeded) slot.confirmed_at = std::max(slot.confirmed_at.value_or(requested_at), requested_at);
        then(succeeded);
      });
}

bool Lots::has_owner_lease(const Slot& slot) const {
  return slot.ready && slot.confirmed_at && messenger_.timers().now() - *slot.confirmed_at < owner_lease_duration;
}

void Lots::ensure_lease(std::uint32_t slot_number, std::function<void(bool)> then) {
  Slot& slot = slots_[slot_number];
  if (has_owner_lease(slot)) return then(true);
  slot.lease_waiters.push_back(std::move(then));
  if (slot.confirmation_in_progress) return;
  slot.confirmation_in_progress = true;
  confirm_ownership(slot_number, [this, slot_number, epoch = slot.epoch](bool succeeded) {
    Slot& current_slot = slots_[slot_number];
    if (current_slot.epoch != epoch) return;
    current_slot.confirmation_in_progress = false;
    for (auto& each : std::exchange(current_slot.lease_waiters, {})) each(succeeded);
  });
}

void Lots::confirm_and_find(const std::string& id, bool within_lease, std::function<void(bool, Lot*)> then) {
  const std::uint32_t slot_number = slot_of(lot_record_key(id));
  const Epoch epoch = slots_[slot_number].epoch;
  auto on_confirmed = [this, id, epoch, then](bool succeeded) {
    then(succeeded, succeeded ? find_lot_at_epoch(id, epoch) : nullptr);
  };
  if (within_lease)
    ensure_lease(slot_number, std::move(on_confirmed));
  else
    confirm_ownership(slot_number, std::move(on_confirmed));
}

}  // namespace mothwalk
