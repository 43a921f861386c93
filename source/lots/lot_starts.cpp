// Starts of items: what a placer that fetches work for a runner is given.
#include "lots/lots_internals.hpp"

#include <algorithm>
#include <limits>

namespace mothwalk {

namespace {
constexpr std::uint32_t most_items_fetched = 64;
// Seconds that an item runs, where none of its lane has run yet.
constexpr double unknown_run = 1.0;
// Runs without any gain that an item may have before it rests.
constexpr std::uint32_t setbacks_before_rest = 2;
// The first rest, which doubles with each further setback.
constexpr Duration shortest_rest = std::chrono::milliseconds(250);
constexpr std::uint32_t most_rest_doublings = 3;
constexpr TimePoint end_of_all_rests{std::numeric_limits<std::int64_t>::max()};
}  // namespace

std::uint64_t memory_of(const ConfigurationView& configuration, const std::string& kind) {
  auto found = configuration.kinds.find(kind);
  return found == configuration.kinds.end() ? 0 : found->second.spec.engine.memory_tokens;
}

bool holds(std::uint64_t memory_tokens, std::uint32_t item_tokens) {
  return memory_tokens == 0 || item_tokens <= memory_tokens;
}

bool Lots::leads(const ConfigurationView& configuration, const Lot& lot, const std::string& kind) const {
  auto lane = configuration.lanes.find(lot.head.lane);
  if (lane == configuration.lanes.end()) return false;
  for (const auto& share : lane->second.spec.kinds())
    if (share.kind.text == kind && share.weight > 0) return true;
  return false;
}

double Lots::took(const Lot& lot) const {
  auto known = took_.find(lot.head.lane);
  return known == took_.end() ? unknown_run : known->second;
}

bool Lots::late(const Lot& lot, TimePoint now) const {
  return lot.head.batch && lot.head.completion > Duration{} &&
         lot.due - now < Duration(static_cast<std::int64_t>(took(lot) * 1e6));
}

// A fetch that is being answered: it is done once all starts that have to be durable are written.
struct Lots::Fetching {
  Address placer;
  std::uint64_t incarnation = 0;
  FetchItems fetch;
  ReplyCallback<ItemsReply> answer;
  ItemsReply reply;
  std::size_t left = 1;
  std::uint32_t wanted = 0;
  std::uint64_t tokens = 0;
  TimePoint awake;  // items that rest for longer stay behind

  // Whether one more item fits into what the runner's memory has left; counts it in if so. One that does not fit is
  // passed over, so that it keeps no other from the runner.
  bool take(std::uint32_t item_tokens) {
    if (fetch.tokens > 0 && tokens + item_tokens > fetch.tokens) return false;
    tokens += item_tokens;
    --wanted;
    return true;
  }
  void done() {
    if (--left == 0) answer(std::move(reply));
  }
};

void Lots::fetch(const Address& placer, std::uint64_t incarnation, FetchItems fetch, ReplyCallback<ItemsReply> answer,
                 bool again) {
  if (!newest_placer(placer, incarnation, fetch))
    return answer(Error{ErrorKind::stale, "term", "runner '" + fetch.runner + "' has another placer",
                        "wait for the news that names it"});
  auto fetching = std::make_shared<Fetching>();
  fetching->wanted = std::min(fetch.count, most_items_fetched);
  // Items that rest go where nothing else waits.
  std::vector<Lot*> choices;
  for (const TimePoint awake : {messenger_.timers().now(), end_of_all_rests}) {
    if (!choices.empty()) break;
    fetching->awake = awake;
    choices = lots_to_start(fetch, awake, fetching->reply);
  }
  std::set<std::uint32_t> unconfirmed;
  std::erase_if(choices, [&](const Lot* lot) {
    const std::uint32_t number = slot_of(lot_record_key(lot->id));
    const bool confirmed = leased(slots_[number]);
    if (!confirmed) unconfirmed.insert(number);
    return !confirmed;
  });
  // An owner that was cut off must not hand out what its successor may have ended.
  if (!unconfirmed.empty() && !again) {
    auto left = std::make_shared<std::size_t>(unconfirmed.size());
    for (const std::uint32_t number : unconfirmed)
      lease(number, [this, left, placer, incarnation, fetch, answer](bool) {
        if (--*left == 0) this->fetch(placer, incarnation, fetch, answer, true);
      });
    return;
  }
  fetching->placer = placer;
  fetching->incarnation = incarnation;
  fetching->fetch = std::move(fetch);
  fetching->answer = std::move(answer);
  for (Lot* lot : choices) start_items(*lot, fetching);
  fetching->done();
}

std::uint32_t Lots::holdable(const Lot& lot, std::uint64_t memory_tokens) {
  if (holds(memory_tokens, lot.largest_item)) return static_cast<std::uint32_t>(lot.pending.size());
  return static_cast<std::uint32_t>(std::count_if(lot.pending.begin(), lot.pending.end(), [&](std::uint32_t index) {
    return holds(memory_tokens, lot.head.items[index].tokens);
  }));
}

std::uint32_t Lots::startable(const Lot& lot, std::uint64_t memory_tokens, TimePoint awake) {
  const auto resting = std::count_if(lot.resting.begin(), lot.resting.end(), [&](const auto& each) {
    return each.second > awake && holds(memory_tokens, lot.head.items[each.first].tokens);
  });
  return holdable(lot, memory_tokens) - static_cast<std::uint32_t>(resting);
}

std::vector<Lots::Lot*> Lots::lots_to_start(const FetchItems& fetch, TimePoint awake, ItemsReply& reply) {
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  const std::uint64_t memory = memory_of(*configuration, fetch.runner_kind);
  std::vector<Lot*> choices, late_ones;
  for (const auto& [due, id] : queue_) {
    Slot& slot = slots_[slot_of(lot_record_key(id))];
    auto found = slot.lots.find(id);
    if (found == slot.lots.end() || slot.adopting || !leads(*configuration, found->second, fetch.runner_kind)) continue;
    Lot& lot = found->second;
    const bool expired = !lot.head.batch && lot.head.deadline > Duration{} && now - lot.begun >= lot.head.deadline;
    if (expired) continue;
    const std::uint32_t waiting = startable(lot, memory, awake);
    if (waiting == 0) continue;
    const bool too_late = late(lot, now);
    (too_late ? reply.late : reply.remaining) += waiting;
    (too_late ? late_ones : choices).push_back(&lot);
  }
  // What can still be in time goes first, due earlier before due later; what can't takes the room that is left.
  choices.insert(choices.end(), late_ones.begin(), late_ones.end());
  // Of the items, those that fit into what the runner has left.
  const std::uint64_t left = fetch.tokens > 0 ? fetch.tokens : memory;
  const std::uint32_t wanted = std::min(fetch.count, most_items_fetched);
  std::size_t enough = 0;
  std::uint32_t items = 0;
  while (enough < choices.size() && items < wanted) items += startable(*choices[enough++], left, awake);
  choices.resize(enough);
  return choices;
}

void Lots::start_items(Lot& lot, const std::shared_ptr<Fetching>& fetching) {
  const TimePoint now = messenger_.timers().now();
  const bool again_allowed = repeatable(lot);
  const std::uint64_t memory = memory_of(*shared_state_.configuration.get(), fetching->fetch.runner_kind);
  std::uint32_t& remaining = late(lot, now) ? fetching->reply.late : fetching->reply.remaining;
  std::vector<LotEntry> starts;
  for (auto next = lot.pending.begin(); next != lot.pending.end() && fetching->wanted > 0;) {
    const std::uint32_t index = *next++;
    const std::uint32_t tokens = lot.head.items[index].tokens;
    auto rest = lot.resting.find(index);
    if (rest != lot.resting.end() && rest->second > fetching->awake) continue;
    if (!holds(memory, tokens) || !fetching->take(tokens)) continue;
    lot.pending.erase(index);
    lot.resting.erase(index);
    lot.busy.insert(index);
    --remaining;
    Item& item = lot.items[index];
    item.state = again_allowed ? ItemState::started : ItemState::starting;
    ++item.tries;
    // Numbers of an earlier owner's attempts are never used again.
    item.attempt = std::max(item.attempt + 1, lot.epoch.value << 16);
    item.placer = fetching->placer;
    item.incarnation = fetching->incarnation;
    item.since = now;
    item.placer_missing.reset();
    if (again_allowed)
      fetching->reply.items.push_back(placed_item(lot, index));
    else
      starts.push_back(start_entry(lot, index));
  }
  queue(lot);
  if (starts.empty()) return;
  ++fetching->left;
  append(lot, starts, [this, fetching, starts](Lot* now_lot, bool good) {
    if (now_lot != nullptr) hand_out_started(*now_lot, starts, good, fetching->reply);
    fetching->done();
  });
}

LotEntry Lots::start_entry(const Lot& lot, std::uint32_t index) const {
  const Item& item = lot.items[index];
  LotEntry entry;
  entry.what = "start";
  entry.item = index;
  entry.attempt = item.attempt;
  entry.placer = item.placer;
  entry.incarnation = item.incarnation;
  entry.elapsed = item.since - lot.begun;
  return entry;
}

PlacedItem Lots::placed_item(const Lot& lot, std::uint32_t index) const {
  const Item& item = lot.items[index];
  PlacedItem placed;
  placed.lot = lot.id;
  placed.lane = lot.head.lane;
  placed.item = index;
  placed.attempt = item.attempt;
  placed.failures = item.failures;
  placed.batch = lot.head.batch;
  placed.host = lot.head.host;
  placed.request = lot.head.items[index];
  placed.part = item.part;
  return placed;
}

void Lots::hand_out_started(Lot& lot, const std::vector<LotEntry>& starts, bool durable, ItemsReply& reply) {
  for (const auto& entry : starts) {
    Item& item = lot.items[entry.item];
    if (item.state != ItemState::starting || item.attempt != entry.attempt) continue;
    // Without a majority the start may yet stand, but the item never left: it is free again.
    if (!durable || lot.cancelled) {
      requeue(lot, entry.item);
      continue;
    }
    item.state = ItemState::started;
    reply.items.push_back(placed_item(lot, entry.item));
  }
}

bool Lots::newest_placer(const Address& placer, std::uint64_t incarnation, const FetchItems& fetch) {
  const auto configuration = shared_state_.configuration.get();
  Placer& known = terms_[fetch.runner];
  if (auto circle = configuration->circles.find(fetch.runner_kind); circle != configuration->circles.end())
    if (auto named = circle->second.spec.placers.find(fetch.runner);
        named != circle->second.spec.placers.end() && named->second.term > known.term)
      known = named->second;
  const Placer given{placer, incarnation, fetch.term};
  if (fetch.term > known.term) known = given;
  return known == given;
}

void Lots::requeue(Lot& lot, std::uint32_t index) {
  Item& item = lot.items[index];
  item.state = ItemState::pending;
  item.placer_missing.reset();
  lot.busy.erase(index);
  lot.pending.insert(index);
  queue(lot);
  announce_soon_ = true;
}

void Lots::count_setback(Lot& lot, std::uint32_t index) {
  const std::uint32_t setbacks = ++lot.items[index].setbacks;
  if (setbacks < setbacks_before_rest) return;
  const std::uint32_t doublings = std::min(setbacks - setbacks_before_rest, most_rest_doublings);
  lot.resting[index] = messenger_.timers().now() + shortest_rest * (1 << doublings);
  ++counts_.items_rested;
}

}  // namespace mothwalk
