// Submission, starts, results, ending, deadlines and retention at a lot's owner.
#include "lots/lots.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Span tick_span = milliseconds(50);
constexpr std::uint64_t sweep_ticks = 4, announce_ticks = 8, ask_ticks = 20;
constexpr Span write_limit = milliseconds(2500);
constexpr Span lease_span =
    milliseconds(700);  // with the placers' start lease well under the time in which an end takes hold
constexpr Span adopt_limit = milliseconds(1000);
constexpr Span placer_grace = milliseconds(1500);
constexpr Span settled_start = milliseconds(2500);  // well over the placers' start lease
constexpr Span longest_wait = milliseconds(1000);
constexpr std::size_t page_bytes = 900000;
std::string key_of(const std::string& id) {
  return "lot/" + id;
}
Fault loading() {
  return Fault{FaultKind::busy, "slot", "the lots of this slot are being taken over", "ask again"};
}
Fault no_lot() {
  return Fault{FaultKind::unknown_name, "id", "there is no lot of this id",
               "check the id; finished lots are kept for the retention time only"};
}

// Of a batch the items alone: what the lane promises may have changed between two sendings.
std::string content_of(const LotHead& head) {
  const Bytes form = head.batch ? to_cbor(head.items) : to_cbor(head);
  return std::to_string(hash_of(form)) + "-" + std::to_string(hash_of(form, 1)) + "-" + std::to_string(form.size());
}

// At most what the text takes in JSON.
std::size_t written_size(const Bytes& text) {
  std::size_t size = 96;
  for (const char each : text) size += static_cast<unsigned char>(each) < 32 ? 6 : each == '"' || each == '\\' ? 2 : 1;
  return size;
}
}  // namespace

Lots::Lots(Messenger& messenger, SharedState& shared_state) : messenger_(messenger), shared_state_(shared_state) {
  messenger_.on_ask<SubmitLot>([this](const Address&, SubmitLot message, Answer<LotStatus> answer) {
    submit(std::move(message), std::move(answer));
  });
  messenger_.on_ask<CancelLot>(
      [this](const Address&, CancelLot message, Answer<LotStatus> answer) { cancel(message.id, std::move(answer)); });
  messenger_.on_ask<ReadLot>(
      [this](const Address&, ReadLot message, Answer<LotPage> answer) { read(std::move(message), std::move(answer)); });
  messenger_.on_ask<ReadItem>([this](const Address&, ReadItem message, Answer<ItemBody> answer) {
    body(std::move(message), std::move(answer));
  });
  messenger_.on_ask<ListLots>([this](const Address&, ListLots, Answer<LotList> answer) {
    LotList list;
    for (const auto& slot : slots_)
      for (const auto& [id, lot] : slot.lots) list.lots.push_back(status(lot));
    answer(std::move(list));
  });
  messenger_.on_ask<FetchItems>([this](const Address& from, FetchItems message, Answer<ItemsReply> answer) {
    const auto members = shared_state_.members.get();
    auto placer = members->all.find(from);
    if (placer == members->all.end())
      return answer(
          Fault{FaultKind::refused, "placer", "this daemon is not a member", "wait until its session stands"});
    fetch(from, placer->second.incarnation, std::move(message), std::move(answer), false);
  });
  messenger_.on_ask<FinishItems>([this](const Address&, FinishItems message, Answer<FinishReply> answer) {
    finish(std::move(message), std::move(answer));
  });
}

void Lots::start() {
  tick();
}

void Lots::tick() {
  follow_ownership();
  const Moment now = messenger_.timers().now();
  if (++ticks_ % sweep_ticks == 0)
    for (auto& slot : slots_)
      for (auto& [id, lot] : slot.lots) sweep(lot, now);
  if (ticks_ % announce_ticks == 0 || (announce_soon_ && ticks_ % 2 == 0)) announce();
  if (ticks_ % ask_ticks == 0) ask_placers(now);
  messenger_.timers().after(tick_span, [this] { tick(); });
}

// ---- slots

void Lots::follow_ownership() {
  const auto owned = shared_state_.owned.get();
  // The fence of a runner that there is must never be forgotten.
  if (terms_.size() > 4096)
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
    for (auto& waiter : lot.waiters) waiter.answer(loading());
}

void Lots::load(std::uint32_t number, Epoch epoch) {
  slots_[number].loading = true;
  messenger_.ask(messenger_.self(), ListSlot{number, epoch, "lot/"}, milliseconds(1000),
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
  lot.id = record.key.substr(4);
  lot.epoch = epoch;
  if (auto head = from_cbor<LotHead>(record.head)) lot.head = std::move(*head);
  lot.content = content_of(lot.head);
  lot.items.resize(lot.head.items.size());
  Span elapsed{};
  for (const auto& bytes : record.entries) {
    auto entry = from_cbor<LotEntry>(bytes);
    if (!entry) continue;
    elapsed = std::max(elapsed, entry->elapsed);
    if (entry->what == "cancel") {
      lot.cancelled = true;
      continue;
    }
    if (entry->item >= lot.items.size()) continue;
    Item& item = lot.items[entry->item];
    if (item.state == ItemState::finished) continue;
    if (entry->what == "start") {
      item = Item{ItemState::started,
                  entry->attempt,
                  item.tries + 1,
                  0,
                  entry->placer,
                  entry->incarnation,
                  now,
                  std::nullopt,
                  {}};
    } else if (entry->what == "result") {
      item.state = ItemState::finished;
      lot.head.items[entry->item].body.clear();
      lot.results.push_back(std::move(*entry));
    }
  }
  lot.begun = now + -elapsed;
  lot.closed_at = now;
  for (std::uint32_t index = 0; index < lot.items.size(); ++index) {
    if (lot.items[index].state == ItemState::pending) lot.pending.insert(index);
    if (lot.items[index].state == ItemState::started) lot.busy.insert(index);
  }
  const Span limit = lot.head.batch ? lot.head.completion : lot.head.deadline;
  lot.due = lot.begun + (limit > Span{} ? limit : Span(std::chrono::hours(24)));
  return lot;
}

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
    messenger_.ask(placer, AskSlot{number}, adopt_limit,
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

void Lots::append(const Lot& lot, const std::vector<LotEntry>& entries, std::function<void(Lot*, bool)> then) {
  Write write;
  write.key = key_of(lot.id);
  write.fence = lot.epoch.value;
  for (const auto& entry : entries) write.appends.push_back(to_cbor(entry));
  messenger_.ask(messenger_.self(), write, write_limit,
                 [this, id = lot.id, epoch = lot.epoch, then](Result<WriteReply> result) {
                   then(find_under(id, epoch), fault_of(result) == nullptr);
                 });
}

void Lots::confirm(std::uint32_t number, std::function<void(bool)> then) {
  if (!slots_[number].ready) return then(false);
  const Epoch epoch = slots_[number].epoch;
  messenger_.ask(messenger_.self(), ConfirmSlot{number, epoch}, milliseconds(1500),
                 [this, number, epoch, began = messenger_.timers().now(), then](Result<ConfirmReply> result) {
                   Slot& slot = slots_[number];
                   const bool good = fault_of(result) == nullptr && slot.epoch == epoch && slot.ready;
                   if (good) slot.confirmed = std::max(slot.confirmed.value_or(began), began);
                   then(good);
                 });
}

bool Lots::leased(const Slot& slot) const {
  return slot.ready && slot.confirmed && messenger_.timers().now() - *slot.confirmed < lease_span;
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
  const std::uint32_t number = slot_of(key_of(id));
  const Epoch epoch = slots_[number].epoch;
  auto go_on = [this, id, epoch, then](bool good) {
    then(good, good ? find_under(id, epoch) : nullptr);
  };
  if (within_lease)
    lease(number, std::move(go_on));
  else
    confirm(number, std::move(go_on));
}

// ---- clients' calls

LotStatus Lots::status(const Lot& lot) const {
  LotStatus status{lot.id,
                   lot.head.lane,
                   lot.finished()  ? "finished"
                   : lot.cancelled ? "cancelled"
                                   : "open",
                   static_cast<std::uint32_t>(lot.items.size()),
                   static_cast<std::uint32_t>(lot.results.size()),
                   0};
  for (const std::uint32_t index : lot.busy) status.started += lot.items[index].state != ItemState::starting;
  return status;
}

void Lots::submit(SubmitLot submit, Answer<LotStatus> answer) {
  const std::uint32_t number = slot_of(key_of(submit.id));
  Slot& slot = slots_[number];
  if (!slot.ready) return answer(loading());
  const std::string content = content_of(submit.head);
  auto same = [content, id = submit.id](const Lot& lot) -> std::optional<Fault> {
    if (lot.content == content) return std::nullopt;
    return Fault{FaultKind::conflict, "id", "lot '" + id + "' was handed in with another body",
                 "use a new id for a new lot"};
  };
  if (auto found = slot.lots.find(submit.id); found != slot.lots.end()) {
    if (auto fault = same(found->second)) return answer(*fault);
    if (!found->second.removing)
      return when_owner(submit.id, false, [this, answer](bool good, Lot* lot) {
        good&& lot != nullptr ? answer(status(*lot)) : answer(loading());
      });
  }
  const auto configuration = shared_state_.configuration.get();
  const LotSettings settings = configuration->lot_settings();
  if (!configuration->lanes.contains(submit.head.lane)) {
    // The configuration that has the lane may be on its way to this daemon.
    if (submit.head.revision > configuration->fleet.spec.revision) return answer(loading());
    return answer(
        Fault{FaultKind::invalid, "lane", "no lane has the name '" + submit.head.lane + "'", "name an existing lane"});
  }
  if (submit.head.items.empty() || submit.head.items.size() > settings.items)
    return answer(Fault{FaultKind::invalid, "items", "a lot has 1 to " + std::to_string(settings.items) + " items",
                        "split the lot"});
  std::size_t kept = 0;
  for (const auto& each : slots_) kept += each.lots.size();
  if (kept >= settings.lots)
    return answer(Fault{FaultKind::refused, "lots", "the store of lots is full; the lot was not taken",
                        "hand it in again later, or raise lots in lots/default"});
  submit.head.revision = std::max(submit.head.revision, configuration->fleet.spec.revision);
  const Bytes head = to_cbor(submit.head);
  Write write;
  write.key = key_of(submit.id);
  write.head = head;
  write.expected = 0;
  write.fence = slot.epoch.value;
  write.token = content;
  messenger_.ask(messenger_.self(), write, write_limit,
                 [this, submit = std::move(submit), head, content, number, epoch = slot.epoch, answer,
                  same](Result<WriteReply> result) {
                   Slot& now_slot = slots_[number];
                   const Fault unsure{FaultKind::unknown, "id", "whether the lot was taken is not known",
                                      "hand it in again under the same id"};
                   if (auto fault = fault_of(result); fault != nullptr && fault->kind != FaultKind::stale)
                     return answer(*fault);
                   // A write under an epoch that is over may stand, and one that found a record may have found this
                   // very lot.
                   if (now_slot.epoch != epoch || !now_slot.ready) return answer(unsure);
                   if (auto found = now_slot.lots.find(submit.id); found != now_slot.lots.end()) {
                     if (auto other = same(found->second)) return answer(*other);
                     return answer(status(found->second));
                   }
                   if (fault_of(result) != nullptr) return answer(unsure);
                   Record record;
                   record.key = key_of(submit.id);
                   record.head = head;
                   Lot& lot = now_slot.lots.emplace(submit.id, rebuild(record, epoch)).first->second;
                   queue(lot);
                   announce_soon_ = true;
                   answer(status(lot));
                 });
}

void Lots::cancel(const std::string& id, Answer<LotStatus> answer) {
  bool ready = false;
  Lot* lot = find(id, &ready);
  if (!ready) return answer(loading());
  if (lot == nullptr || lot->cancelled || lot->finished())
    return when_owner(id, false, [this, answer](bool good, Lot* now_lot) {
      !good ? answer(loading()) : now_lot == nullptr ? answer(no_lot()) : answer(status(*now_lot));
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
      return answer(Fault{FaultKind::unknown, "id",
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

LotPage Lots::page(const Lot& lot, const ReadLot& read) const {
  LotPage page;
  page.lot = status(lot);
  const std::size_t limit = std::min<std::size_t>(read.limit, 1000);
  std::size_t bytes = 0;
  std::size_t position = read.after;
  for (; position < lot.results.size() && position - read.after < limit; ++position) {
    const LotEntry& entry = lot.results[position];
    bytes += written_size(entry.body);
    if (bytes > page_bytes && position > read.after) break;
    const std::string& id = lot.head.items[entry.item].id;
    page.results.push_back(LotResult{static_cast<std::uint32_t>(position), entry.item, entry.outcome, entry.status,
                                     entry.body, id.empty() ? std::to_string(entry.item) : id});
  }
  page.next = static_cast<std::uint32_t>(position);
  return page;
}

void Lots::read(ReadLot read, Answer<LotPage> answer) {
  bool ready = false;
  const Lot* lot = find(read.id, &ready);
  if (!ready) return answer(loading());
  when_owner(read.id, lot != nullptr, [this, read, answer](bool good, Lot* now_lot) {
    if (!good) return answer(loading());
    if (now_lot == nullptr) return answer(no_lot());
    if (read.wait <= Span{} || read.after < now_lot->results.size() || now_lot->closed())
      return answer(page(*now_lot, read));
    const std::uint64_t number = ++last_waiter_;
    now_lot->waiters.push_back(Waiter{number, read, answer});
    messenger_.timers().after(std::min(read.wait, longest_wait), [this, id = read.id, number] {
      bool still = false;
      Lot* then_lot = find(id, &still);
      if (then_lot == nullptr) return;
      auto waiter = std::find_if(then_lot->waiters.begin(), then_lot->waiters.end(),
                                 [&](const Waiter& each) { return each.number == number; });
      if (waiter == then_lot->waiters.end()) return;
      Waiter done = std::move(*waiter);
      then_lot->waiters.erase(waiter);
      when_owner(id, true, [this, done](bool owner, Lot* last) {
        owner&& last != nullptr ? done.answer(page(*last, done.read)) : done.answer(loading());
      });
    });
  });
}

void Lots::answer_waiters(Lot& lot) {
  std::vector<Waiter> ready;
  for (auto waiter = lot.waiters.begin(); waiter != lot.waiters.end();) {
    if (waiter->read.after >= lot.results.size() && !lot.closed()) {
      ++waiter;
      continue;
    }
    ready.push_back(std::move(*waiter));
    waiter = lot.waiters.erase(waiter);
  }
  for (auto& waiter : ready) waiter.answer(page(lot, waiter.read));
}

void Lots::body(ReadItem read, Answer<ItemBody> answer) {
  bool ready = false;
  const Lot* lot = find(read.id, &ready);
  if (!ready) return answer(loading());
  auto unlisted = [](const Lot& from, const std::string& id) -> const Bytes* {
    for (std::size_t index = 0; index < from.items.size() && !from.cancelled; ++index)
      if (from.head.items[index].id == id)
        return from.items[index].state == ItemState::finished ? nullptr : &from.head.items[index].body;
    return nullptr;
  };
  const bool there = lot != nullptr && unlisted(*lot, read.item) != nullptr;
  when_owner(read.id, there, [read, answer, unlisted](bool good, Lot* now_lot) {
    if (!good) return answer(loading());
    if (now_lot == nullptr) return answer(no_lot());
    if (const Bytes* body = unlisted(*now_lot, read.item)) return answer(ItemBody{*body});
    answer(Fault{FaultKind::unknown_name, "item", "the lot has no unlisted item of this id", "read the lot's results"});
  });
}

// ---- handing out

bool Lots::repeatable(const Lot& lot) const {
  if (lot.head.batch) return true;
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(lot.head.lane);
  return lane != configuration->lanes.end() && lane->second.spec.repeatable;
}

bool Lots::leads(const ConfigurationView& configuration, const Lot& lot, const std::string& kind) const {
  auto lane = configuration.lanes.find(lot.head.lane);
  if (lane == configuration.lanes.end()) return false;
  for (const auto& share : lane->second.spec.kinds())
    if (share.kind.text == kind && share.weight > 0) return true;
  return false;
}

void Lots::queue(const Lot& lot) {
  if (!lot.pending.empty() && !lot.cancelled && !lot.cancelling)
    queue_.emplace(lot.due, lot.id);
  else
    queue_.erase({lot.due, lot.id});
}

double Lots::took(const Lot& lot) const {
  auto known = took_.find(lot.head.lane);
  return known == took_.end() ? 1.0 : known->second;
}

bool Lots::late(const Lot& lot, Moment now) const {
  return lot.head.batch && lot.head.completion > Span{} &&
         lot.due - now < Span(static_cast<std::int64_t>(took(lot) * 1e6));
}

void Lots::fetch(const Address& placer, std::uint64_t incarnation, FetchItems fetch, Answer<ItemsReply> answer,
                 bool again) {
  if (!newest_placer(placer, incarnation, fetch))
    return answer(Fault{FaultKind::stale, "term", "runner '" + fetch.runner + "' has another placer",
                        "wait for the news that names it"});
  const Moment now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  std::vector<Lot*> choices, late_ones;
  std::set<std::uint32_t> unconfirmed;
  auto reply = std::make_shared<ItemsReply>();
  std::uint32_t wanted = std::min<std::uint32_t>(fetch.count, 64), found_items = 0;
  for (const auto& [due, id] : queue_) {
    const Slot& slot = slots_[slot_of(key_of(id))];
    auto found = slots_[slot_of(key_of(id))].lots.find(id);
    if (found == slot.lots.end() || slot.adopting || !leads(*configuration, found->second, fetch.runner_kind)) continue;
    Lot& lot = found->second;
    if (!lot.head.batch && lot.head.deadline > Span{} && now - lot.begun >= lot.head.deadline) continue;
    const bool too_late = late(lot, now);
    (too_late ? reply->late : reply->remaining) += static_cast<std::uint32_t>(lot.pending.size());
    (too_late ? late_ones : choices).push_back(&lot);
  }
  // What can still be in time goes first, due earlier before due later; what can't takes the room that is left.
  choices.insert(choices.end(), late_ones.begin(), late_ones.end());
  std::size_t enough = 0;
  while (enough < choices.size() && found_items < wanted)
    found_items += static_cast<std::uint32_t>(choices[enough++]->pending.size());
  choices.resize(enough);
  std::erase_if(choices, [&](const Lot* lot) {
    const std::uint32_t number = slot_of(key_of(lot->id));
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
  auto left = std::make_shared<std::size_t>(1);
  auto finish = [reply, left, answer] {
    if (--*left == 0) answer(std::move(*reply));
  };
  std::uint64_t tokens = 0;
  auto hand_out = [](const Lot& lot, std::uint32_t index) {
    const Item& item = lot.items[index];
    return PlacedItem{lot.id,        lot.head.lane,         index,    item.attempt, item.failures, lot.head.batch,
                      lot.head.host, lot.head.items[index], item.part};
  };
  for (Lot* choice : choices) {
    Lot& lot = *choice;
    std::vector<LotEntry> starts;
    const bool again_allowed = repeatable(lot);
    std::uint32_t& remaining = late(lot, now) ? reply->late : reply->remaining;
    for (auto next = lot.pending.begin(); next != lot.pending.end() && wanted > 0;) {
      const std::uint32_t index = *next;
      if (fetch.tokens > 0 && tokens + lot.head.items[index].tokens > fetch.tokens) {
        wanted = 0;
        break;
      }
      tokens += lot.head.items[index].tokens;
      Item& item = lot.items[index];
      item.state = again_allowed ? ItemState::started : ItemState::starting;
      ++item.tries;
      // Numbers of an earlier owner's attempts are never used again.
      item.attempt = std::max(item.attempt + 1, lot.epoch.value << 16);
      item.placer = placer;
      item.incarnation = incarnation;
      item.since = now;
      item.placer_missing.reset();
      next = lot.pending.erase(next);
      lot.busy.insert(index);
      --wanted;
      --remaining;
      if (again_allowed) {
        reply->items.push_back(hand_out(lot, index));
        continue;
      }
      LotEntry entry;
      entry.what = "start";
      entry.item = index;
      entry.attempt = item.attempt;
      entry.placer = placer;
      entry.incarnation = incarnation;
      entry.elapsed = now - lot.begun;
      starts.push_back(std::move(entry));
    }
    queue(lot);
    if (starts.empty()) continue;
    ++*left;
    append(lot, starts, [this, reply, starts, finish, hand_out](Lot* now_lot, bool good) {
      for (const auto& entry : starts) {
        if (now_lot == nullptr) break;
        Item& item = now_lot->items[entry.item];
        if (item.state != ItemState::starting || item.attempt != entry.attempt) continue;
        // Without a majority the start may yet stand, but the item never left: it is free again.
        if (!good || now_lot->cancelled) {
          requeue(*now_lot, entry.item);
          continue;
        }
        item.state = ItemState::started;
        reply->items.push_back(hand_out(*now_lot, entry.item));
      }
      finish();
    });
  }
  finish();
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

// ---- results

void Lots::give_results(Lot& lot, std::vector<LotEntry> entries, std::function<void(bool)> then) {
  struct Before {
    LotEntry entry;
    ItemState state;
  };
  std::vector<Before> given;
  for (auto& entry : entries) {
    Item& item = lot.items[entry.item];
    given.push_back(Before{entry, item.state});
    lot.pending.erase(entry.item);
    lot.busy.insert(entry.item);
    item.state = ItemState::finishing;
    given.back().entry.what = entry.what = "result";
    given.back().entry.elapsed = entry.elapsed = messenger_.timers().now() - lot.begun;
  }
  queue(lot);
  append(lot, entries, [this, given = std::move(given), then](Lot* now_lot, bool good) {
    if (now_lot == nullptr) return then(false);
    for (const auto& each : given) {
      Item& item = now_lot->items[each.entry.item];
      if (item.state != ItemState::finishing) continue;
      if (!good) {
        if (each.state == ItemState::pending)
          requeue(*now_lot, each.entry.item);
        else
          item.state = each.state;
        continue;
      }
      item.state = ItemState::finished;
      item.part = StreamPart{};
      now_lot->busy.erase(each.entry.item);
      now_lot->head.items[each.entry.item].body = Bytes();
      now_lot->results.push_back(each.entry);
    }
    if (good && now_lot->finished()) now_lot->closed_at = messenger_.timers().now();
    if (good) answer_waiters(*now_lot);
    then(good);
  });
}

// Reports that belong to one message; it is answered when each is settled or is known to need another sending.
struct Lots::Finishing {
  Answer<FinishReply> answer;
  FinishReply reply;
  std::size_t left = 1;
  void done() {
    if (--left > 0) return;
    if (reply.heard.empty()) return answer(loading());
    answer(std::move(reply));
  }
};

void Lots::finish(FinishItems finish, Answer<FinishReply> answer) {
  auto state = std::make_shared<Finishing>();
  state->answer = std::move(answer);
  std::map<std::string, std::vector<LotEntry>> results;
  std::map<std::string, std::vector<std::uint32_t>> writing, unsure;
  for (std::uint32_t place = 0; place < finish.items.size(); ++place) {
    FinishItem& item = finish.items[place];
    switch (take_report(item, results)) {
      case Settled::now:
        state->reply.heard.push_back(place);
        break;
      case Settled::writing:
        writing[item.lot].push_back(place);
        break;
      case Settled::unsure:
        unsure[item.lot].push_back(place);
        break;
      case Settled::later:
        break;
    }
  }
  for (auto& [id, entries] : results) {
    bool ready = false;
    Lot* lot = find(id, &ready);
    ++state->left;
    give_results(*lot, std::move(entries), [state, places = writing[id]](bool good) {
      if (good) state->reply.heard.insert(state->reply.heard.end(), places.begin(), places.end());
      state->done();
    });
  }
  // A lot that is gone, an item that is finished or has another attempt: the report does not count. An owner that was
  // cut off and has not heard of its successor must not say so, or the placer would drop what the successor waits for.
  for (auto& [id, places] : unsure) {
    ++state->left;
    confirm(slot_of(key_of(id)), [state, places](bool good) {
      if (good) state->reply.heard.insert(state->reply.heard.end(), places.begin(), places.end());
      state->done();
    });
  }
  state->done();
}

Lots::Settled Lots::take_report(FinishItem& finish, std::map<std::string, std::vector<LotEntry>>& results) {
  bool ready = false;
  Lot* lot = find(finish.lot, &ready);
  if (!ready) return Settled::later;
  if (lot == nullptr || finish.item >= lot->items.size()) return Settled::unsure;
  Item& item = lot->items[finish.item];
  if (item.state == ItemState::finished) return Settled::unsure;
  if (item.state == ItemState::finishing || item.state == ItemState::starting) return Settled::later;
  const bool again_allowed = repeatable(*lot), current = item.attempt == finish.attempt;
  const bool whole = finish.outcome == "answer" || finish.outcome == "impossible";
  if (!current && !(again_allowed && whole)) return Settled::unsure;
  if (lot->head.batch && (lot->cancelled || lot->cancelling)) {
    if (lot->cancelled) requeue(*lot, finish.item);
    return lot->cancelled ? Settled::unsure : Settled::later;
  }
  if (current && item.state == ItemState::started && whole) {
    double& took = took_.try_emplace(lot->head.lane, 1.0).first->second;
    took += 0.05 * (static_cast<double>((messenger_.timers().now() - item.since).count()) / 1e6 - took);
  }
  LotEntry entry;
  entry.item = finish.item;
  entry.attempt = finish.attempt;
  entry.status = finish.status;
  if (lot->head.batch) {
    item.failures = std::max(item.failures, finish.failures);
    if (finish.outcome == "damaged")
      item.part = StreamPart{};
    else if (finish.part.last_event > item.part.last_event)
      item.part = std::move(finish.part);
    const bool spent = finish.outcome == "failed" && item.failures >= std::max(1u, lot->head.attempts);
    if (!whole && !spent) {
      if (item.state == ItemState::started) requeue(*lot, finish.item);
      return Settled::now;
    }
    entry.outcome = finish.outcome == "answer" ? "answer" : "abandoned";
    if (finish.outcome == "answer") entry.body = std::move(finish.body);
  } else {
    if (finish.outcome == "not_run") {
      if (item.state == ItemState::started) requeue(*lot, finish.item);
      return Settled::now;
    }
    if (finish.outcome == "stopped" || finish.outcome == "lost") {
      if (item.state == ItemState::pending) return Settled::now;
      const auto configuration = shared_state_.configuration.get();
      auto lane = configuration->lanes.find(lot->head.lane);
      const bool more = again_allowed && (finish.outcome == "stopped" || item.tries <= lane->second.spec.retries);
      if (more && !lot->cancelled) {
        requeue(*lot, finish.item);
        return Settled::now;
      }
    }
    entry.outcome = finish.outcome == "answer" ? "answer" : "unknown";
    entry.body = std::move(finish.body);
  }
  // Two reports of one item in one message: the second waits for the first.
  auto& entries = results[lot->id];
  if (std::any_of(entries.begin(), entries.end(), [&](const LotEntry& each) { return each.item == finish.item; }))
    return Settled::later;
  entries.push_back(std::move(entry));
  return Settled::writing;
}

void Lots::give_up(Lot& lot, const std::string& outcome) {
  std::vector<LotEntry> entries;
  for (const std::uint32_t index : lot.pending) {
    LotEntry entry;
    entry.item = index;
    entry.attempt = lot.items[index].attempt;
    entry.outcome = outcome;
    entries.push_back(std::move(entry));
  }
  if (!entries.empty()) give_results(lot, std::move(entries), [](bool) {});
}

// ---- the passing of time

void Lots::remove(Lot& lot) {
  lot.removing = true;
  Write write;
  write.key = key_of(lot.id);
  write.removed = true;
  write.fence = lot.epoch.value;
  messenger_.ask(messenger_.self(), write, write_limit,
                 [this, id = lot.id, epoch = lot.epoch](Result<WriteReply> result) {
                   Lot* lot = find_under(id, epoch);
                   if (lot == nullptr) return;
                   if (fault_of(result) != nullptr) {
                     lot->removing = false;
                     return;
                   }
                   queue_.erase({lot->due, id});
                   for (auto& waiter : lot->waiters) waiter.answer(loading());
                   slots_[slot_of(key_of(id))].lots.erase(id);
                 });
}

void Lots::sweep(Lot& lot, Moment now) {
  if (lot.closed()) {
    if (!lot.removing && now - lot.closed_at > shared_state_.configuration.get()->lot_settings().retention) remove(lot);
    return;
  }
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(lot.head.lane);
  if (lot.head.batch) {
    if (lot.cancelled) {
      std::set<Address> placers;
      for (const std::uint32_t index : lot.busy) placers.insert(lot.items[index].placer);
      for (const auto& placer : placers) messenger_.tell(placer, StopLot{lot.id});
    } else if (const bool gone =
                   lane == configuration->lanes.end() && configuration->fleet.spec.revision > lot.head.revision;
               gone || (lot.head.retention > Span{} && now - lot.begun > lot.head.retention)) {
      give_up(lot, "abandoned");
    }
  } else if (lot.cancelled) {
    give_up(lot, "cancelled");
  } else if (lot.head.deadline > Span{} && now - lot.begun >= lot.head.deadline) {
    give_up(lot, "expired");
  }
  if (lot.busy.empty()) return;
  const auto members = shared_state_.members.get();
  const bool again_allowed = repeatable(lot);
  const Span longest = lane == configuration->lanes.end() ? Span(std::chrono::seconds(60)) : lane->second.spec.whole;
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
    // A placer of a batch says itself what it holds: time alone ends nothing there.
    if ((item.placer_missing && now - *item.placer_missing > placer_grace) ||
        (!lot.head.batch && now - item.since > longest + std::chrono::seconds(5)))
      lost.push_back(index);
  }
  std::vector<LotEntry> unknown;
  for (const std::uint32_t index : lost) {
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

// The answer to a fetch may be lost on its way. A placer that lives and does not hold an item whose start lease is over
// never ran it and never will: the item is free again, repeatable or not.
void Lots::ask_placers(Moment now) {
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
    messenger_.ask(placer.first, ask, milliseconds(1000), [this](Result<HeldReply> result) {
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

// Placers hear what waits, and the circles what the lots need to be in time; of a kind of which nothing waits any more,
// once.
void Lots::announce() {
  announce_soon_ = false;
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  const Moment now = messenger_.timers().now();
  std::map<std::string, LotDemand> kinds;
  PendingItems pending;
  auto count_in = [&](const Slot& slot, const Lot& lot) {
    auto lane = configuration->lanes.find(lot.head.lane);
    if (lane == configuration->lanes.end()) return;
    const auto count = queue_.contains({lot.due, lot.id}) ? static_cast<std::uint32_t>(lot.pending.size()) : 0;
    const bool too_late = late(lot, now);
    double at_once = 0;
    if (lot.head.batch && lot.head.completion > Span{}) {
      const Moment until = too_late ? lot.begun + lot.head.retention : lot.due;
      const double run = took(lot), left = static_cast<double>((until - now).count()) / 1e6;
      at_once = (count + static_cast<double>(lot.busy.size())) * run / std::max(run, left / 2);
    }
    if (count == 0 && at_once == 0) return;
    for (const auto& share : lane->second.spec.kinds()) {
      if (share.weight <= 0) continue;
      kinds[share.kind.text].pending += count;
      kinds[share.kind.text].at_once += at_once;
      if (!slot.adopting && count > 0) (too_late ? pending.late : pending.kinds)[share.kind.text] += count;
    }
  };
  for (const auto& slot : slots_)
    for (const auto& [id, lot] : slot.lots)
      if (!lot.busy.empty() || !lot.pending.empty()) count_in(slot, lot);
  std::set<std::string> told;
  for (const auto& [kind, demand] : kinds) told.insert(kind);
  for (const auto& kind : announced_) kinds.try_emplace(kind);
  announced_ = std::move(told);
  if (kinds.empty()) return;
  std::set<Address> placers;
  for (const auto& [kind, circle] : configuration->circles)
    if (pending.kinds.contains(kind) || pending.late.contains(kind))
      for (const auto& [runner, placer] : circle.spec.placers) placers.insert(placer.address);
  for (const Address& placer : placers) messenger_.tell(placer, pending);
  for (const auto& [kind, demand] : kinds)
    if (const Seat* seat = slot_owner(configuration->roster, *members, slot_of("circle/" + kind)))
      messenger_.tell(seat->address, KindPending{{{kind, demand}}});
}

}  // namespace mothwalk
