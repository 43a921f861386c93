// Handles fetches: selects the items that a placer gets for a runner and records their starts.
#include "lots/lots_internals.hpp"

#include <algorithm>
#include <limits>

namespace mothwalk {

namespace {
constexpr std::uint32_t max_fetched_items = 64;
// The expected run time of an item, in seconds, if no item of its lane has run yet.
constexpr double default_run_seconds = 1.0;
// An item backs off from this many consecutive runs without progress on.
constexpr std::uint32_t runs_before_backoff = 2;
// The first backoff. It doubles with each further run without progress.
constexpr Duration first_backoff = std::chrono::milliseconds(250);
constexpr std::uint32_t max_backoff_doublings = 3;
// A horizon by which every backoff has ended.
constexpr TimePoint unlimited_horizon{std::numeric_limits<std::int64_t>::max()};
}  // namespace

std::uint64_t runner_memory_tokens(const ConfigurationView& configuration, const std::string& kind) {
  auto found = configuration.kinds.find(kind);
  return found == configuration.kinds.end() ? 0 : found->second.spec.engine.memory_tokens;
}

bool fits_in_memory(std::uint64_t memory_tokens, std::uint32_t item_tokens) {
  return memory_tokens == 0 || item_tokens <= memory_tokens;
}

bool Lots::lane_uses_kind(const ConfigurationView& configuration, const Lot& lot, const std::string& kind) const {
  auto lane = configuration.lanes.find(lot.spec.lane);
  if (lane == configuration.lanes.end()) return false;
  for (const auto& share : lane->second.spec.kinds())
    if (share.kind.text == kind && share.weight > 0) return true;
  return false;
}

double Lots::expected_run_seconds(const Lot& lot) const {
  auto known = mean_run_seconds_.find(lot.spec.lane);
  return known == mean_run_seconds_.end() ? default_run_seconds : known->second;
}

bool Lots::is_late(const Lot& lot, TimePoint now) const {
  return lot.spec.batch && lot.spec.completion > Duration{} &&
         lot.due - now < Duration(static_cast<std::int64_t>(expected_run_seconds(lot) * 1e6));
}

// A fetch whose reply is being assembled. The reply is sent once all starts that have to be durable are written.
struct Lots::FetchInProgress {
  Address placer;
  std::uint64_t incarnation = 0;
  FetchItems fetch;
  ReplyCallback<ItemsReply> respond;
  ItemsReply reply;
  std::size_t pending_writes = 1;
  std::uint32_t items_wanted = 0;
  std::uint64_t tokens = 0;
  TimePoint backoff_horizon;  // Items whose backoff ends later are not handed out.

  // Reserves room for one more item in the runner's free memory, and returns whether it fits. An item that does not fit
  // is skipped, so that it does not block smaller ones.
  bool reserve(std::uint32_t item_tokens) {
    if (fetch.tokens > 0 && tokens + item_tokens > fetch.tokens) return false;
    tokens += item_tokens;
    --items_wanted;
    return true;
  }
  void finish_write() {
    if (--pending_writes == 0) respond(std::move(reply));
  }
};

void Lots::handle_fetch(const Address& placer, std::uint64_t incarnation, FetchItems fetch,
                        ReplyCallback<ItemsReply> respond, bool lease_requested) {
  if (!is_newest_placer(placer, incarnation, fetch))
    return respond(Error{ErrorKind::stale, "term", "runner '" + fetch.runner + "' has a newer placer",
                         "wait for the configuration that names the new placer"});
  auto fetching = std::make_shared<FetchInProgress>();
  fetching->items_wanted = std::min(fetch.count, max_fetched_items);
  // Items that back off are handed out only if no other item can be started.
  std::vector<Lot*> selected;
  for (const TimePoint backoff_horizon : {messenger_.timers().now(), unlimited_horizon}) {
    if (!selected.empty()) break;
    fetching->backoff_horizon = backoff_horizon;
    selected = select_lots(fetch, backoff_horizon, fetching->reply);
  }
  std::set<std::uint32_t> unconfirmed;
  std::erase_if(selected, [&](const Lot* lot) {
    const std::uint32_t slot_number = slot_of(lot_record_key(lot->id));
    const bool confirmed = has_owner_lease(slots_[slot_number]);
    if (!confirmed) unconfirmed.insert(slot_number);
    return !confirmed;
  });
  // An isolated owner must not hand out items that its successor may have ended.
  if (!unconfirmed.empty() && !lease_requested) {
    auto outstanding = std::make_shared<std::size_t>(unconfirmed.size());
    for (const std::uint32_t slot_number : unconfirmed)
      ensure_lease(slot_number, [this, outstanding, placer, incarnation, fetch, respond](bool) {
        if (--*outstanding == 0) this->handle_fetch(placer, incarnation, fetch, respond, true);
      });
    return;
  }
  fetching->placer = placer;
  fetching->incarnation = incarnation;
  fetching->fetch = std::move(fetch);
  fetching->respond = std::move(respond);
  for (Lot* lot : selected) start_items(*lot, fetching);
  fetching->finish_write();
}

std::uint32_t Lots::count_fitting_items(const Lot& lot, std::uint64_t memory_tokens) {
  if (fits_in_memory(memory_tokens, lot.largest_item_tokens)) return static_cast<std::uint32_t>(lot.pending.size());
  return static_cast<std::uint32_t>(std::count_if(lot.pending.begin(), lot.pending.end(), [&](std::uint32_t index) {
    return fits_in_memory(memory_tokens, lot.spec.items[index].tokens);
  }));
}

std::uint32_t Lots::count_startable_items(const Lot& lot, std::uint64_t memory_tokens, TimePoint backoff_horizon) {
  const auto backing_off = std::count_if(lot.backoff_until.begin(), lot.backoff_until.end(), [&](const auto& each) {
    return each.second > backoff_horizon && fits_in_memory(memory_tokens, lot.spec.items[each.first].tokens);
  });
  return count_fitting_items(lot, memory_tokens) - static_cast<std::uint32_t>(backing_off);
}

std::vector<Lots::Lot*> Lots::select_lots(const FetchItems& fetch, TimePoint backoff_horizon, ItemsReply& reply) {
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  const std::uint64_t memory = runner_memory_tokens(*configuration, fetch.runner_kind);
  std::vector<Lot*> selected, late_lots;
  for (const auto& [due, id] : queue_) {
    Slot& slot = slots_[slot_of(lot_record_key(id))];
    auto found = slot.lots.find(id);
    if (found == slot.lots.end() || slot.awaiting_held_items ||
        !lane_uses_kind(*configuration, found->second, fetch.runner_kind))
      continue;
    Lot& lot = found->second;
    const bool expired =
        !lot.spec.batch && lot.spec.deadline > Duration{} && now - lot.submitted_at >= lot.spec.deadline;
    if (expired) continue;
    const std::uint32_t startable = count_startable_items(lot, memory, backoff_horizon);
    if (startable == 0) continue;
    const bool late = is_late(lot, now);
    (late ? reply.late : reply.remaining) += startable;
    (late ? late_lots : selected).push_back(&lot);
  }
  // Lots that can still finish in time come first, in the order of their due times. Late lots get the remaining room.
  selected.insert(selected.end(), late_lots.begin(), late_lots.end());
  // Only items that fit into the runner's free memory are counted.
  const std::uint64_t free_tokens = fetch.tokens > 0 ? fetch.tokens : memory;
  const std::uint32_t items_wanted = std::min(fetch.count, max_fetched_items);
  std::size_t lot_count = 0;
  std::uint32_t items = 0;
  while (lot_count < selected.size() && items < items_wanted)
    items += count_startable_items(*selected[lot_count++], free_tokens, backoff_horizon);
  selected.resize(lot_count);
  return selected;
}

void Lots::start_items(Lot& lot, const std::shared_ptr<FetchInProgress>& fetching) {
  const TimePoint now = messenger_.timers().now();
  const bool repeatable = is_repeatable(lot);
  const std::uint64_t memory = runner_memory_tokens(*shared_state_.configuration.get(), fetching->fetch.runner_kind);
  std::uint32_t& remaining = is_late(lot, now) ? fetching->reply.late : fetching->reply.remaining;
  std::vector<LotEntry> starts;
  for (auto next = lot.pending.begin(); next != lot.pending.end() && fetching->items_wanted > 0;) {
    const std::uint32_t index = *next++;
    const std::uint32_t tokens = lot.spec.items[index].tokens;
    auto backoff = lot.backoff_until.find(index);
    if (backoff != lot.backoff_until.end() && backoff->second > fetching->backoff_horizon) continue;
    if (!fits_in_memory(memory, tokens) || !fetching->reserve(tokens)) continue;
    lot.pending.erase(index);
    lot.backoff_until.erase(index);
    lot.in_progress.insert(index);
    --remaining;
    Item& item = lot.items[index];
    item.state = repeatable ? ItemState::started : ItemState::starting;
    ++item.tries;
    // The epoch in the upper bits ensures that attempt numbers of earlier owners are never reused.
    item.attempt = std::max(item.attempt + 1, lot.epoch.value << 16);
    item.placer = fetching->placer;
    item.placer_incarnation = fetching->incarnation;
    item.started_at = now;
    item.placer_missing_since.reset();
    if (repeatable)
      fetching->reply.items.push_back(make_placed_item(lot, index));
    else
      starts.push_back(make_start_entry(lot, index));
  }
  update_queue(lot);
  if (starts.empty()) return;
  ++fetching->pending_writes;
  append_entries(lot, starts, [this, fetching, starts](Lot* current_lot, bool succeeded) {
    if (current_lot != nullptr) deliver_started_items(*current_lot, starts, succeeded, fetching->reply);
    fetching->finish_write();
  });
}

LotEntry Lots::make_start_entry(const Lot& lot, std::uint32_t index) const {
  const Item& item = lot.items[index];
  LotEntry entry;
  entry.what = "start";
  entry.item = index;
  entry.attempt = item.attempt;
  entry.placer = item.placer;
  entry.incarnation = item.placer_incarnation;
  entry.elapsed = item.started_at - lot.submitted_at;
  return entry;
}

PlacedItem Lots::make_placed_item(const Lot& lot, std::uint32_t index) const {
  const Item& item = lot.items[index];
  PlacedItem placed;
  placed.lot = lot.id;
  placed.lane = lot.spec.lane;
  placed.item = index;
  placed.attempt = item.attempt;
  placed.failures = item.failures;
  placed.batch = lot.spec.batch;
  placed.host = lot.spec.host;
  placed.request = lot.spec.items[index];
  placed.part = item.part;
  return placed;
}

void Lots::deliver_started_items(Lot& lot, const std::vector<LotEntry>& starts, bool durable, ItemsReply& reply) {
  for (const auto& entry : starts) {
    Item& item = lot.items[entry.item];
    if (item.state != ItemState::starting || item.attempt != entry.attempt) continue;
    // Without a majority the start may or may not be stored, but the item was not handed out, so it is pending again.
    if (!durable || lot.cancelled) {
      requeue(lot, entry.item);
      continue;
    }
    item.state = ItemState::started;
    reply.items.push_back(make_placed_item(lot, entry.item));
  }
}

bool Lots::is_newest_placer(const Address& placer, std::uint64_t incarnation, const FetchItems& fetch) {
  const auto configuration = shared_state_.configuration.get();
  Placer& known = newest_placers_[fetch.runner];
  if (auto circle = configuration->circles.find(fetch.runner_kind); circle != configuration->circles.end())
    if (auto named = circle->second.spec.placers.find(fetch.runner);
        named != circle->second.spec.placers.end() && named->second.term > known.term)
      known = named->second;
  const Placer requester{placer, incarnation, fetch.term};
  if (fetch.term > known.term) known = requester;
  return known == requester;
}

void Lots::requeue(Lot& lot, std::uint32_t index) {
  Item& item = lot.items[index];
  item.state = ItemState::pending;
  item.placer_missing_since.reset();
  lot.in_progress.erase(index);
  lot.pending.insert(index);
  update_queue(lot);
  publish_soon_ = true;
}

void Lots::count_run_without_progress(Lot& lot, std::uint32_t index) {
  const std::uint32_t runs_without_progress = ++lot.items[index].runs_without_progress;
  if (runs_without_progress < runs_before_backoff) return;
  const std::uint32_t doublings = std::min(runs_without_progress - runs_before_backoff, max_backoff_doublings);
  lot.backoff_until[index] = messenger_.timers().now() + first_backoff * (1 << doublings);
  ++counts_.items_rested;
}

}  // namespace mothwalk
