// Submission, starts, results, cancelling, horizons and retention at a lot's owner.
#include "lots/lots.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Span tick_span = milliseconds(50);
constexpr Span write_horizon = milliseconds(2500);
constexpr Span placer_grace = milliseconds(1500);
constexpr Span settled_start = milliseconds(2500);  // well over the placers' start permit
std::string key_of(const std::string& id) { return "lot/" + id; }
Fault loading() { return Fault{FaultKind::busy, "slot", "the lots of this slot are being taken over", "ask again"}; }
Fault no_lot() { return Fault{FaultKind::unknown_name, "id", "there is no lot of this id", "check the id; finished lots are kept for the retention time only"}; }
}  // namespace

Lots::Lots(Post& post, Board& board) : post_(post), board_(board) {
  post_.on_ask<SubmitLot>([this](const Address&, SubmitLot message, Answer<LotStatus> answer) { submit(std::move(message), std::move(answer)); });
  post_.on_ask<CancelLot>([this](const Address&, CancelLot message, Answer<LotStatus> answer) { cancel(message.id, std::move(answer)); });
  post_.on_ask<ReadLot>([this](const Address&, ReadLot message, Answer<LotPage> answer) { read(std::move(message), std::move(answer)); });
  post_.on_ask<ReadItem>([this](const Address&, ReadItem message, Answer<ItemBody> answer) { body(std::move(message), std::move(answer)); });
  post_.on_ask<ListLots>([this](const Address&, ListLots, Answer<LotList> answer) {
    LotList list;
    for (const auto& slot : slots_)
      for (const auto& [id, lot] : slot.lots) list.lots.push_back(status(lot));
    answer(std::move(list));
  });
  post_.on_ask<FetchItems>([this](const Address& from, FetchItems message, Answer<ItemsReply> answer) {
    const auto members = board_.members.get();
    auto placer = members->all.find(from);
    if (placer == members->all.end()) return answer(Fault{FaultKind::refused, "placer", "this daemon is not a member", "wait until its session stands"});
    fetch(from, placer->second.incarnation, std::move(message), std::move(answer));
  });
  post_.on_ask<FinishItem>([this](const Address&, FinishItem message, Answer<FinishReply> answer) { finish(std::move(message), std::move(answer)); });
}

void Lots::start() { tick(); }

void Lots::tick() {
  follow_ownership();
  const Moment now = post_.schedule().now();
  for (auto& slot : slots_)
    for (auto& [id, lot] : slot.lots) sweep(lot, now);
  if (++ticks_ % 4 == 0 || announce_soon_) announce();
  if (ticks_ % 20 == 0) ask_placers(now);
  post_.schedule().after(tick_span, [this] { tick(); });
}

void Lots::follow_ownership() {
  const auto owned = board_.owned.get();
  // The fence of a runner that there is must never be forgotten.
  if (terms_.size() > 4096) std::erase_if(terms_, [policy = board_.policy.get()](const auto& each) { return !policy->runners.contains(each.first); });
  for (std::uint32_t number = 0; number < slot_count; ++number) {
    Slot& slot = slots_[number];
    auto found = owned->slots.find(number);
    if (found == owned->slots.end()) {
      if (slot.epoch.value != 0) slot = Slot{};
    } else if (slot.epoch != found->second) {
      slot = Slot{};
      slot.epoch = found->second;
      load(number, found->second);
    }
  }
}

void Lots::load(std::uint32_t number, Epoch epoch) {
  slots_[number].loading = true;
  post_.ask(post_.self(), ListSlot{number, epoch, "lot/"}, milliseconds(1000), [this, number, epoch](Result<RecordsReply> result) {
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
      slot.lots.emplace(lot.id, std::move(lot));
    }
    slot.loading = false;
    slot.ready = true;
    announce_soon_ = true;
  });
}

Lots::Lot Lots::rebuild(const Record& record, Epoch epoch) const {
  const Moment now = post_.schedule().now();
  Lot lot;
  lot.id = record.key.substr(4);
  lot.epoch = epoch;
  lot.head_bytes = record.head;
  if (auto head = from_cbor<LotHead>(record.head)) lot.head = std::move(*head);
  lot.items.resize(lot.head.items.size());
  Span elapsed{};
  for (const auto& bytes : record.entries) {
    auto entry = from_cbor<LotEntry>(bytes);
    if (!entry) continue;
    elapsed = std::max(elapsed, entry->elapsed);
    if (entry->what == "cancel") { lot.cancelled = true; continue; }
    if (entry->item >= lot.items.size()) continue;
    Item& item = lot.items[entry->item];
    if (entry->what == "start" && item.state != ItemState::finished) {
      item = Item{ItemState::started, entry->attempt, entry->placer, entry->incarnation, now, std::nullopt};
    } else if (entry->what == "result" && item.state != ItemState::finished) {
      item.state = ItemState::finished;
      lot.results.push_back(std::move(*entry));
    }
  }
  lot.begun = now + -elapsed;
  lot.finished_at = now;
  for (const auto& item : lot.items) lot.pending += item.state == ItemState::pending;
  return lot;
}

Lots::Lot* Lots::find(const std::string& id, bool* ready) {
  Slot& slot = slots_[slot_of(key_of(id))];
  *ready = slot.ready;
  auto found = slot.lots.find(id);
  return found == slot.lots.end() ? nullptr : &found->second;
}

Lots::Lot* Lots::find_under(const std::string& id, Epoch epoch) {
  bool ready = false;
  Lot* lot = find(id, &ready);
  return lot != nullptr && lot->epoch == epoch ? lot : nullptr;
}

void Lots::append(const Lot& lot, std::vector<LotEntry> entries, std::function<void(Lot*, bool)> then) {
  Write write;
  write.key = key_of(lot.id);
  write.fence = lot.epoch.value;
  for (const auto& entry : entries) write.appends.push_back(to_cbor(entry));
  post_.ask(post_.self(), write, write_horizon, [this, id = lot.id, epoch = lot.epoch, then](Result<WriteReply> result) {
    then(find_under(id, epoch), fault_of(result) == nullptr);
  });
}

LotStatus Lots::status(const Lot& lot) const {
  LotStatus status{lot.id, lot.head.lane, lot.finished() ? "finished" : lot.cancelled ? "cancelled" : "open", static_cast<std::uint32_t>(lot.items.size()), static_cast<std::uint32_t>(lot.results.size()), 0};
  for (const auto& item : lot.items) status.started += item.state == ItemState::started || item.state == ItemState::finishing;
  return status;
}

void Lots::submit(SubmitLot submit, Answer<LotStatus> answer) {
  const std::uint32_t number = slot_of(key_of(submit.id));
  Slot& slot = slots_[number];
  if (!slot.ready) return answer(loading());
  const Bytes head = to_cbor(submit.head);
  auto same = [head, id = submit.id](const Lot& lot) -> std::optional<Fault> {
    if (lot.head_bytes == head) return std::nullopt;
    return Fault{FaultKind::conflict, "id", "lot '" + id + "' was handed in with another body", "use a new id for a new lot"};
  };
  if (auto found = slot.lots.find(submit.id); found != slot.lots.end()) {
    if (auto fault = same(found->second)) return answer(*fault);
    if (!found->second.removing) return answer(status(found->second));
  }
  const auto policy = board_.policy.get();
  const LotSettings settings = policy->lot_settings();
  if (!policy->lanes.contains(submit.head.lane)) return answer(Fault{FaultKind::invalid, "lane", "no lane has the name '" + submit.head.lane + "'", "name an existing lane"});
  if (submit.head.items.empty() || submit.head.items.size() > settings.items) return answer(Fault{FaultKind::invalid, "items", "a lot has 1 to " + std::to_string(settings.items) + " items", "split the lot"});
  std::size_t kept = 0;
  for (const auto& each : slots_) kept += each.lots.size();
  if (kept >= settings.lots) return answer(Fault{FaultKind::refused, "lots", "the store of lots is full; the lot was not taken", "hand it in again later, or raise lots in lots/default"});
  Write write;
  write.key = key_of(submit.id);
  write.head = head;
  write.expected = 0;
  write.fence = slot.epoch.value;
  write.token = std::to_string(hash_of(head));
  post_.ask(post_.self(), write, write_horizon, [this, submit = std::move(submit), head, number, epoch = slot.epoch, answer, same](Result<WriteReply> result) {
    Slot& now_slot = slots_[number];
    if (auto fault = fault_of(result); fault != nullptr) {
      // Two equal submissions may race: the second finds the first's record.
      if (fault->kind == FaultKind::stale && now_slot.epoch == epoch)
        if (auto found = now_slot.lots.find(submit.id); found != now_slot.lots.end()) {
          if (auto other = same(found->second)) return answer(*other);
          return answer(status(found->second));
        }
      return answer(fault->kind == FaultKind::stale ? loading() : *fault);
    }
    if (now_slot.epoch != epoch || !now_slot.ready) return answer(loading());
    if (auto found = now_slot.lots.find(submit.id); found != now_slot.lots.end()) {
      if (auto other = same(found->second)) return answer(*other);
      return answer(status(found->second));
    }
    Lot lot;
    lot.id = submit.id;
    lot.epoch = epoch;
    lot.head = submit.head;
    lot.head_bytes = head;
    lot.items.resize(lot.head.items.size());
    lot.pending = static_cast<std::uint32_t>(lot.items.size());
    lot.begun = post_.schedule().now();
    const LotStatus reply = status(lot);
    now_slot.lots.emplace(submit.id, std::move(lot));
    announce_soon_ = true;
    answer(reply);
  });
}

template <class Reply> void Lots::if_still_owner(const std::string& id, Answer<Reply> answer, std::function<void(Lot*)> then) {
  const std::uint32_t number = slot_of(key_of(id));
  if (!slots_[number].ready) return answer(loading());
  const Epoch epoch = slots_[number].epoch;
  post_.ask(post_.self(), ConfirmSlot{number, epoch}, milliseconds(1500), [this, id, number, epoch, answer, then](Result<ConfirmReply> result) {
    if (fault_of(result) != nullptr || slots_[number].epoch != epoch || !slots_[number].ready) return answer(loading());
    then(find_under(id, epoch));
  });
}

void Lots::cancel(const std::string& id, Answer<LotStatus> answer) {
  bool ready = false;
  Lot* lot = find(id, &ready);
  if (!ready) return answer(loading());
  if (lot == nullptr || lot->cancelled || lot->finished())
    return if_still_owner<LotStatus>(id, answer, [this, answer](Lot* now_lot) { now_lot == nullptr ? answer(no_lot()) : answer(status(*now_lot)); });
  lot->cancelling = true;
  LotEntry entry;
  entry.what = "cancel";
  entry.elapsed = post_.schedule().now() - lot->begun;
  append(*lot, {entry}, [this, answer](Lot* now_lot, bool good) {
    if (now_lot == nullptr || !good) {
      if (now_lot != nullptr) now_lot->cancelling = false;
      return answer(Fault{FaultKind::unknown, "id", "the cancellation got no majority in time; its outcome is not known", "send it again"});
    }
    now_lot->cancelled = true;
    answer(status(*now_lot));
  });
}

void Lots::read(ReadLot read, Answer<LotPage> answer) {
  if_still_owner<LotPage>(read.id, answer, [this, read, answer](Lot* now_lot) {
    if (now_lot == nullptr) return answer(no_lot());
    LotPage page;
    page.lot = status(*now_lot);
    const std::size_t limit = std::min<std::size_t>(read.limit, 1000);
    std::size_t bytes = 0;
    std::size_t position = read.after;
    for (; position < now_lot->results.size() && position - read.after < limit && bytes < (4u << 20); ++position) {
      const LotEntry& entry = now_lot->results[position];
      page.results.push_back(LotResult{static_cast<std::uint32_t>(position), entry.item, entry.outcome, entry.status, entry.body, now_lot->head.items[entry.item].id});
      bytes += entry.body.size();
    }
    page.next = static_cast<std::uint32_t>(std::max<std::size_t>(position, read.after));
    answer(std::move(page));
  });
}

void Lots::body(ReadItem read, Answer<ItemBody> answer) {
  if_still_owner<ItemBody>(read.id, answer, [read, answer](Lot* lot) {
    if (lot == nullptr) return answer(no_lot());
    for (std::size_t index = 0; index < lot->items.size(); ++index)
      if (lot->head.items[index].id == read.item && lot->items[index].state != ItemState::finished && !lot->cancelled) return answer(ItemBody{lot->head.items[index].body});
    answer(Fault{FaultKind::unknown_name, "item", "the lot has no unlisted item of this id", "read the lot's results"});
  });
}

void Lots::fetch(const Address& placer, std::uint64_t incarnation, FetchItems fetch, Answer<ItemsReply> answer) {
  if (!newest_placer(placer, incarnation, fetch))
    return answer(Fault{FaultKind::stale, "term", "runner '" + fetch.runner + "' has another placer", "wait for the news that names it"});
  struct Choice {
    Moment deadline;
    Lot* lot;
  };
  const Moment now = post_.schedule().now();
  const auto policy = board_.policy.get();
  std::vector<Choice> choices;
  std::uint32_t remaining = 0;
  for (auto& slot : slots_)
    for (auto& [id, lot] : slot.lots) {
      if (lot.pending == 0 || lot.cancelled || lot.cancelling) continue;
      auto lane = policy->lanes.find(lot.head.lane);
      if (lane == policy->lanes.end() || lane->second.spec.kind.text != fetch.runner_kind) continue;
      if (lot.head.deadline > Span{} && now - lot.begun >= lot.head.deadline) continue;
      remaining += lot.pending;
      choices.push_back(Choice{lot.head.deadline > Span{} ? lot.begun + lot.head.deadline : lot.begun + std::chrono::hours(24), &lot});
    }
  std::sort(choices.begin(), choices.end(), [](const Choice& left, const Choice& right) { return left.deadline < right.deadline; });
  auto reply = std::make_shared<ItemsReply>();
  auto left = std::make_shared<std::size_t>(1);
  auto finish = [reply, left, answer] {
    if (--*left == 0) answer(std::move(*reply));
  };
  std::uint32_t wanted = std::min<std::uint32_t>(fetch.count, 64);
  for (auto& choice : choices) {
    if (wanted == 0) break;
    Lot& lot = *choice.lot;
    std::vector<LotEntry> starts;
    for (std::uint32_t index = 0; index < lot.items.size() && wanted > 0; ++index) {
      Item& item = lot.items[index];
      if (item.state != ItemState::pending) continue;
      item = Item{ItemState::starting, item.attempt + 1, placer, incarnation, now, std::nullopt};
      --lot.pending;
      --wanted;
      --remaining;
      LotEntry entry;
      entry.what = "start";
      entry.item = index;
      entry.attempt = item.attempt;
      entry.placer = placer;
      entry.incarnation = incarnation;
      entry.elapsed = now - lot.begun;
      starts.push_back(std::move(entry));
    }
    if (starts.empty()) continue;
    ++*left;
    append(lot, starts, [reply, starts, finish, lane = lot.head.lane](Lot* now_lot, bool good) {
      for (const auto& entry : starts) {
        if (now_lot == nullptr) break;
        Item& item = now_lot->items[entry.item];
        if (item.state != ItemState::starting || item.attempt != entry.attempt) continue;
        // Without a majority the start may yet stand, but the item never left: it is free again.
        if (!good || now_lot->cancelled) { item.state = ItemState::pending; ++now_lot->pending; continue; }
        item.state = ItemState::started;
        reply->items.push_back(PlacedItem{now_lot->id, lane, entry.item, entry.attempt, now_lot->head.items[entry.item].body});
      }
      finish();
    });
  }
  reply->remaining = remaining;
  finish();
}

bool Lots::newest_placer(const Address& placer, std::uint64_t incarnation, const FetchItems& fetch) {
  const auto policy = board_.policy.get();
  Placer& known = terms_[fetch.runner];
  if (auto circle = policy->circles.find(fetch.runner_kind); circle != policy->circles.end())
    if (auto named = circle->second.spec.placers.find(fetch.runner); named != circle->second.spec.placers.end() && named->second.term > known.term) known = named->second;
  const Placer given{placer, incarnation, fetch.term};
  if (fetch.term > known.term) known = given;
  return known == given;
}

void Lots::requeue(Lot& lot, Item& item) {
  item.state = ItemState::pending;
  item.placer_missing.reset();
  ++lot.pending;
  announce_soon_ = true;
}

void Lots::give_result(Lot& lot, std::uint32_t index, LotEntry entry, std::function<void(bool)> then) {
  Item& item = lot.items[index];
  const ItemState before = item.state;
  if (before == ItemState::pending) --lot.pending;
  item.state = ItemState::finishing;
  entry.what = "result";
  entry.item = index;
  entry.elapsed = post_.schedule().now() - lot.begun;
  append(lot, {entry}, [this, entry, before, then](Lot* now_lot, bool good) {
    if (now_lot == nullptr) return then(false);
    Item& now_item = now_lot->items[entry.item];
    if (now_item.state != ItemState::finishing) return then(now_item.state == ItemState::finished);
    if (!good) {
      now_item.state = before;
      if (before == ItemState::pending) ++now_lot->pending;
      return then(false);
    }
    now_item.state = ItemState::finished;
    now_lot->results.push_back(entry);
    if (now_lot->finished()) now_lot->finished_at = post_.schedule().now();
    then(true);
  });
}

void Lots::finish(FinishItem finish, Answer<FinishReply> answer) {
  bool ready = false;
  Lot* lot = find(finish.lot, &ready);
  if (!ready) return answer(loading());
  // A lot that is gone, an item that is finished or has another attempt: the report does not count. An owner that was cut off
  // and has not heard of its successor must not say so, or the placer would drop what the successor waits for.
  if (lot == nullptr || finish.item >= lot->items.size() || lot->items[finish.item].state == ItemState::finished || lot->items[finish.item].attempt != finish.attempt)
    return if_still_owner<FinishReply>(finish.lot, answer, [answer](Lot*) { answer(FinishReply{false}); });
  Item& item = lot->items[finish.item];
  if (item.state == ItemState::finishing) return answer(loading());
  if (item.state == ItemState::starting) return answer(loading());
  if (finish.outcome == "not_run") {
    if (item.state == ItemState::started) requeue(*lot, item);
    return answer(FinishReply{});
  }
  const auto policy = board_.policy.get();
  auto lane = policy->lanes.find(lot->head.lane);
  const bool repeatable = lane != policy->lanes.end() && lane->second.spec.repeatable;
  if (finish.outcome == "stopped" || finish.outcome == "lost") {
    if (item.state == ItemState::pending) return answer(FinishReply{});
    const bool more = repeatable && (finish.outcome == "stopped" || item.attempt <= lane->second.spec.retries);
    if (more && !lot->cancelled) {
      requeue(*lot, item);
      return answer(FinishReply{});
    }
  }
  LotEntry entry;
  entry.attempt = finish.attempt;
  entry.outcome = finish.outcome == "answer" ? "answer" : "unknown";
  entry.status = finish.status;
  entry.body = std::move(finish.body);
  give_result(*lot, finish.item, std::move(entry), [answer](bool good) { good ? answer(FinishReply{}) : answer(loading()); });
}

void Lots::sweep(Lot& lot, Moment now) {
  const auto policy = board_.policy.get();
  if (lot.finished()) {
    if (!lot.removing && now - lot.finished_at > policy->lot_settings().retention) {
      lot.removing = true;
      Write write;
      write.key = key_of(lot.id);
      write.removed = true;
      write.fence = lot.epoch.value;
      post_.ask(post_.self(), write, write_horizon, [this, id = lot.id, epoch = lot.epoch](Result<WriteReply> result) {
        Lot* now_lot = find_under(id, epoch);
        if (now_lot == nullptr) return;
        if (fault_of(result) != nullptr) { now_lot->removing = false; return; }
        slots_[slot_of(key_of(id))].lots.erase(id);
      });
    }
    return;
  }
  const bool late = lot.head.deadline > Span{} && now - lot.begun >= lot.head.deadline;
  const auto members = board_.members.get();
  auto lane = policy->lanes.find(lot.head.lane);
  const bool repeatable = lane != policy->lanes.end() && lane->second.spec.repeatable;
  const Span longest = lane == policy->lanes.end() ? Span(std::chrono::seconds(60)) : lane->second.spec.whole;
  for (std::uint32_t index = 0; index < lot.items.size(); ++index) {
    Item& item = lot.items[index];
    if (item.state == ItemState::pending && (late || lot.cancelled)) {
      LotEntry entry;
      entry.attempt = item.attempt;
      entry.outcome = lot.cancelled ? "cancelled" : "expired";
      give_result(lot, index, std::move(entry), [](bool) {});
      continue;
    }
    if (item.state != ItemState::started) continue;
    auto placer = members->all.find(item.placer);
    const bool there = placer != members->all.end() && placer->second.incarnation == item.incarnation;
    if (there) item.placer_missing.reset();
    else if (!item.placer_missing) item.placer_missing = now;
    const bool lost = (item.placer_missing && now - *item.placer_missing > placer_grace) || now - item.since > longest + std::chrono::seconds(5);
    if (!lost) continue;
    if (repeatable) {
      requeue(lot, item);
    } else {
      LotEntry entry;
      entry.attempt = item.attempt;
      entry.outcome = "unknown";
      give_result(lot, index, std::move(entry), [](bool) {});
    }
  }
}

// The answer to a fetch may be lost on its way. A placer that lives and does not hold an item whose start permit is over
// never ran it and never will: the item is free again, repeatable or not.
void Lots::ask_placers(Moment now) {
  std::map<std::pair<Address, std::uint64_t>, AskHeld> asks;
  for (const auto& slot : slots_)
    for (const auto& [id, lot] : slot.lots)
      for (std::uint32_t index = 0; !lot.finished() && index < lot.items.size(); ++index) {
        const Item& item = lot.items[index];
        if (item.state == ItemState::started && now - item.since > settled_start) {
          AskHeld& ask = asks[{item.placer, item.incarnation}];
          ask.incarnation = item.incarnation;
          ask.items.push_back(ItemName{id, index, item.attempt});
        }
      }
  for (const auto& [placer, ask] : asks)
    post_.ask(placer.first, ask, milliseconds(1000), [this](Result<HeldReply> result) {
      auto* reply = std::get_if<HeldReply>(&result);
      if (reply == nullptr) return;
      for (const auto& name : reply->missing) {
        bool ready = false;
        Lot* lot = find(name.lot, &ready);
        if (lot == nullptr || name.item >= lot->items.size()) continue;
        Item& item = lot->items[name.item];
        if (item.state == ItemState::started && item.attempt == name.attempt) requeue(*lot, item);
      }
    });
}

std::map<std::string, std::uint32_t> Lots::pending_by_kind() const {
  std::map<std::string, std::uint32_t> kinds;
  const auto policy = board_.policy.get();
  for (const auto& slot : slots_)
    for (const auto& [id, lot] : slot.lots) {
      if (lot.pending == 0 || lot.cancelled) continue;
      auto lane = policy->lanes.find(lot.head.lane);
      if (lane != policy->lanes.end()) kinds[lane->second.spec.kind.text] += lot.pending;
    }
  return kinds;
}

void Lots::announce() {
  announce_soon_ = false;
  const auto kinds = pending_by_kind();
  if (kinds.empty()) return;
  const auto members = board_.members.get();
  const auto policy = board_.policy.get();
  std::set<Address> placers;
  for (const auto& [kind, circle] : policy->circles)
    if (kinds.contains(kind))
      for (const auto& [runner, placer] : circle.spec.placers) placers.insert(placer.address);
  for (const Address& placer : placers) post_.tell(placer, PendingItems{kinds});
  for (const auto& [kind, count] : kinds)
    if (const Seat* seat = slot_owner(policy->roster, *members, slot_of("circle/" + kind))) post_.tell(seat->address, KindPending{{{kind, count}}});
}

}  // namespace mothwalk
