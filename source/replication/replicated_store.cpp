// Holding, promising, taking over, writing, reading, repairing, and the changing of the roster.
#include "replication/replicated_store.hpp"

#include <algorithm>

#include "news/news.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr Span tick_span = milliseconds(100);
constexpr Span peer_timeout = milliseconds(1000);
constexpr Span stall_span = milliseconds(1000);
constexpr Span founding_pause = milliseconds(1500);
constexpr Span replace_after = std::chrono::seconds(10);
constexpr Span replaced_after = milliseconds(1000);  // where another holder came meanwhile
constexpr Span lots_founding_pause = milliseconds(1500);
constexpr Span gathering_pause = milliseconds(1200), candidates_pause = milliseconds(700),
               few_candidates_pause = milliseconds(4000), stranded_pause = milliseconds(2500);
constexpr std::size_t wanted_seats = 5, fewest_seats = 3;
constexpr std::size_t most_removed_lots = 200;
constexpr std::size_t rewrite_floor = 8u << 20;

bool newsy(View key) {
  return !lot_key(key);
}

std::size_t size_of(const Record& record) {
  std::size_t size = record.key.size() + record.head.size() + 64;
  for (const auto& entry : record.entries) size += entry.size() + 8;
  return size;
}

std::uint64_t record_hash(const Record& record) {
  return hash_of(record.key, record.stamp.epoch.value * 1000003 + record.stamp.version.value * 2 + record.removed);
}

Fault moved() {
  return Fault{FaultKind::busy, "slot", "this holder does not own the slot of the key just now",
               "ask again; another holder will answer"};
}
Fault stood_down() {
  return Fault{FaultKind::unknown, "slot", "the slot moved while the change was on its way; the outcome is not known",
               "send the same request again to settle it"};
}
Fault not_me() {
  return Fault{FaultKind::stale, "target", "the data folder at this address is another one",
               "wait for the roster to name it"};
}
}  // namespace

ReplicatedStore::ReplicatedStore(Messenger& messenger, SharedState& shared_state, Disk& disk, RandomSource& random,
                                 Member self, std::vector<Address> seeds, Report report,
                                 std::optional<bool> first_start)
    : messenger_(messenger),
      shared_state_(shared_state),
      disk_(disk),
      random_(random),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      report_(std::move(report)),
      first_start_(first_start) {
  messenger_.on_ask<Who>([this](const Address&, Who, Answer<WhoReply> answer) {
    answer(WhoReply{identity_, self_.address, self_.zone, roster_});
  });
  messenger_.on_ask<Found>([this](const Address&, Found found, Answer<WhoReply> answer) {
    if (!lots_only() && roster_.seats.empty() && found.roster.seated(identity_)) {
      roster_ = found.roster;
      tell_seats();
      return persist(DiskEntry{.what = "roster",
                               .holder = {},
                               .roster = roster_,
                               .slot = 0,
                               .epoch = {},
                               .change = {},
                               .records = {},
                               .address = {},
                               .content = {}},
                     [this, answer] {
                       answer(WhoReply{identity_, self_.address, self_.zone, roster_});
                     });
    }
    answer(WhoReply{identity_, self_.address, self_.zone, roster_});
  });
  messenger_.on_ask<Promise>([this](const Address&, Promise promise, Answer<PromiseReply> answer) {
    if (promise.target != identity_) return answer(not_me());
    if (promise.slot >= slot_count) return answer(not_me());
    Held& held = held_[promise.slot];
    if (promise.roster.version > roster_.version) adopt(promise.roster);
    if (promise.roster.version < roster_.version || promise.epoch <= held.promised)
      return answer(PromiseReply{false, held.promised, held.installed, roster_, {}, {}});
    held.promised = promise.epoch;
    held.promised_to = promise.owner;
    if (promise.owner != identity_ && owned_[promise.slot].state != Owned::State::none)
      step_down(promise.slot, milliseconds(500));
    DiskEntry entry{.what = "promise",
                    .holder = promise.owner,
                    .roster = {},
                    .slot = promise.slot,
                    .epoch = promise.epoch,
                    .change = {},
                    .records = {},
                    .address = {},
                    .content = {}};
    persist(std::move(entry), [this, promise, answer] {
      const Held& kept = held_[promise.slot];
      PromiseReply reply{kept.promised == promise.epoch, kept.promised, kept.installed, roster_, {}, {}};
      std::map<View, const RecordStamp*> have;
      for (const auto& each : promise.have) have[each.key] = &each;
      std::size_t size = 0;
      for (const auto& [key, record] : kept.records) {
        auto found = have.find(key);
        if (found != have.end() && found->second->stamp >= record.stamp) continue;
        const bool same = found != have.end() && found->second->written == record.written;
        if (!same) size += size_of(record);
        if (!same && size <= longest_message)
          reply.records.push_back(record);
        else
          reply.more.push_back(RecordStamp{key, record.stamp, record.written});
      }
      answer(std::move(reply));
    });
  });
  auto gate = [this](const HolderId& target, const HolderId& owner, std::uint32_t slot, Epoch epoch, Version roster,
                     Answer<StoreReply>& answer) {
    if (target != identity_ || slot >= slot_count) return answer(not_me()), false;
    Held& held = held_[slot];
    if (epoch < held.promised || (epoch == held.promised && owner != held.promised_to))
      return answer(StoreReply{"refused", held.promised, {}, {}}), false;
    if (roster != roster_.version) return answer(StoreReply{"roster", held.promised, roster_, {}}), false;
    return true;
  };
  auto raise = [this](std::uint32_t slot, Epoch epoch, const HolderId& owner) {
    Held& held = held_[slot];
    if (epoch <= held.promised) return;
    held.promised = epoch;
    held.promised_to = owner;
    if (owner != identity_ && owned_[slot].state != Owned::State::none) step_down(slot, milliseconds(500));
    persist(DiskEntry{.what = "promise",
                      .holder = owner,
                      .roster = {},
                      .slot = slot,
                      .epoch = epoch,
                      .change = {},
                      .records = {},
                      .address = {},
                      .content = {}},
            [] {});
  };
  messenger_.on_ask<Store>([this, gate, raise](const Address&, Store store, Answer<StoreReply> answer) {
    if (!gate(store.target, store.owner, store.slot, store.epoch, store.roster, answer)) return;
    raise(store.slot, store.epoch, store.owner);
    Held& held = held_[store.slot];
    auto found = held.records.find(store.change.key);
    const Stamp have = found == held.records.end() ? Stamp{} : found->second.stamp;
    if (have >= store.change.stamp) return append({}, [answer] { answer(StoreReply{"stored", {}, {}, {}}); });
    if (!store.change.full && have != store.change.before) return answer(StoreReply{"behind", held.promised, {}, {}});
    apply(held, store.change);
    const bool roster_change = store.change.key == "roster" && store.change.head;
    DiskEntry entry{.what = "change",
                    .holder = {},
                    .roster = {},
                    .slot = store.slot,
                    .epoch = store.epoch,
                    .change = std::move(store.change),
                    .records = {},
                    .address = {},
                    .content = {}};
    if (roster_change)
      if (auto next = from_json<Roster>(*entry.change.head); !fault_of(next)) adopt(std::get<Roster>(next));
    persist(std::move(entry), [answer] { answer(StoreReply{"stored", {}, {}, {}}); });
  });
  messenger_.on_ask<Install>([this, gate, raise](const Address&, Install install, Answer<StoreReply> answer) {
    if (!gate(install.target, install.owner, install.slot, install.epoch, install.roster, answer)) return;
    raise(install.slot, install.epoch, install.owner);
    Held& held = held_[install.slot];
    auto missing = this->install(held, install.epoch, install.content);
    if (!missing.empty()) return answer(StoreReply{"behind", held.promised, {}, std::move(missing)});
    DiskEntry entry{.what = "handover",
                    .holder = install.owner,
                    .roster = {},
                    .slot = install.slot,
                    .epoch = install.epoch,
                    .change = {},
                    .records = {},
                    .address = {},
                    .content = std::move(install.content)};
    persist(std::move(entry), [answer] { answer(StoreReply{"stored", {}, {}, {}}); });
  });
  messenger_.on_ask<Copies>([this, gate, raise](const Address&, Copies copies, Answer<StoreReply> answer) {
    if (!gate(copies.target, copies.owner, copies.slot, copies.epoch, copies.roster, answer)) return;
    raise(copies.slot, copies.epoch, copies.owner);
    DiskEntry entry{.what = "copies",
                    .holder = copies.owner,
                    .roster = {},
                    .slot = copies.slot,
                    .epoch = copies.epoch,
                    .change = {},
                    .records = {},
                    .address = {},
                    .content = {}};
    entry.records = copies.records;
    put_copies(held_[copies.slot], std::move(copies.records));
    persist(std::move(entry), [answer] { answer(StoreReply{"stored", {}, {}, {}}); });
  });
  messenger_.on_ask<Confirm>([gate](const Address&, Confirm confirm, Answer<StoreReply> answer) {
    if (gate(confirm.target, confirm.owner, confirm.slot, confirm.epoch, confirm.roster, answer))
      answer(StoreReply{"stored", {}, {}, {}});
  });
  messenger_.on_tell<RosterNews>([this](const Address&, RosterNews news) {
    if (news.keeps == self_.keeps && news.roster.version > roster_.version) adopt(news.roster);
  });
  messenger_.on_ask<Settled>([this](const Address&, Settled settled, Answer<SettledReply> answer) {
    SettledReply reply;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot)
      if (owned_[slot].state == Owned::State::owned && owned_[slot].roster == settled.roster) {
        reply.slots.push_back(slot);
        reply.epochs.push_back(owned_[slot].epoch);
      }
    for (const auto& held : held_) {
      reply.installed.push_back(held.installed);
      reply.digests.push_back(held.digest);
    }
    answer(std::move(reply));
  });
  messenger_.on_ask<Retirement>([this](const Address&, Retirement asked, Answer<RetirementReply> answer) {
    retirement(asked, std::move(answer));
  });
  messenger_.on_ask<Digests>([this](const Address&, Digests, Answer<DigestsReply> answer) {
    DigestsReply reply;
    for (const auto& held : held_) reply.digests.push_back(held.digest);
    answer(std::move(reply));
  });
  messenger_.on_ask<Range>([this](const Address&, Range range, Answer<RangeReply> answer) {
    RangeReply reply;
    if (range.slot < slot_count)
      for (const auto& [key, record] : held_[range.slot].records)
        reply.stamps.push_back(Record{key, record.stamp, record.removed, {}, {}, {}, record.written});
    answer(std::move(reply));
  });
  messenger_.on_ask<FetchRecords>([this](const Address&, FetchRecords fetch, Answer<RecordsReply> answer) {
    RecordsReply reply;
    std::size_t size = 0;
    if (fetch.slot < slot_count)
      for (const auto& key : fetch.keys) {
        auto found = held_[fetch.slot].records.find(key);
        if (found == held_[fetch.slot].records.end()) continue;
        size += size_of(found->second);
        if (size > longest_message && !reply.records.empty()) break;  // the rest is asked for again
        reply.records.push_back(found->second);
      }
    answer(std::move(reply));
  });
  messenger_.on_ask<Write>([this](const Address&, Write request, Answer<WriteReply> answer) {
    write(std::move(request), std::move(answer));
  });
  messenger_.on_ask<Read>([this](const Address&, Read read, Answer<ReadReply> answer) {
    const std::uint32_t slot = slot_of(read.key);
    if (owned_[slot].state != Owned::State::owned || !keeps_key(read.key)) return answer(moved());
    confirm(slot, [this, slot, key = read.key, answer](bool good) {
      if (!good || owned_[slot].state != Owned::State::owned) return answer(moved());
      auto finish = [this, slot, key, answer] {
        if (owned_[slot].state != Owned::State::owned) return answer(moved());
        auto found = held_[slot].records.find(key);
        if (found == held_[slot].records.end()) return answer(ReadReply{});
        answer(ReadReply{true, found->second});
      };
      auto queue = owned_[slot].queues.find(key);
      if (queue != owned_[slot].queues.end() && queue->second.busy)
        queue->second.readers.push_back(finish);
      else
        finish();
    });
  });
  messenger_.on_ask<ListSlot>([this](const Address& from, ListSlot list, Answer<RecordsReply> answer) {
    if (from != self_.address || list.slot >= slot_count || owned_[list.slot].state != Owned::State::owned ||
        owned_[list.slot].epoch != list.epoch)
      return answer(moved());
    RecordsReply reply;
    for (const auto& [key, record] : held_[list.slot].records)
      if (key.starts_with(list.prefix) && !record.removed) reply.records.push_back(record);
    answer(std::move(reply));
  });
  messenger_.on_ask<ConfirmSlot>([this](const Address&, ConfirmSlot request, Answer<ConfirmReply> answer) {
    if (request.slot >= slot_count || owned_[request.slot].state != Owned::State::owned ||
        owned_[request.slot].epoch != request.epoch)
      return answer(moved());
    confirm(request.slot, [answer](bool good) { good ? answer(ConfirmReply{}) : answer(moved()); });
  });
}

Result<Done> ReplicatedStore::load() {
  auto bytes = disk_.read_all();
  if (auto fault = fault_of(bytes)) return *fault;
  ReadFile file = read_frames(std::get<Bytes>(bytes));
  if (file.damaged) {
    report_.note(
        "The record file is damaged in the middle; its copies come back from peers and this folder takes a new "
        "identity.");
    file = ReadFile{};
  } else if (file.torn) {
    report_.note("A torn tail of the record file was cut.");
  }
  for (auto& entry : file.entries) {
    if (entry.slot >= slot_count)
      return Fault{FaultKind::damaged, "record_file", "a record names slot " + std::to_string(entry.slot),
                   "empty the data folder so that this machine joins as a new holder"};
    Held& held = held_[entry.slot];
    if (entry.what == "identity") {
      if (entry.address != self_.address)
        return Fault{FaultKind::conflict, "data_folder", "the folder belongs to the holder at " + entry.address.text,
                     "give this machine its own folder, or empty this one so that it joins as a new holder"};
      identity_ = entry.holder;
    } else if (entry.what == "roster")
      roster_ = entry.roster;
    else if (entry.what == "promise") {
      held.promised = entry.epoch;
      held.promised_to = entry.holder;
    } else if (entry.what == "change")
      apply(held, entry.change);
    else if (entry.what == "install") {
      held.installed = entry.epoch;
      held.records.clear();
      held.digest = held.removed_lots = 0;
      for (auto& record : entry.records) put_record(held, std::move(record));
    } else if (entry.what == "copies")
      put_copies(held, std::move(entry.records));
    else if (entry.what == "handover") {
      if (!install(held, entry.epoch, entry.content).empty())
        return Fault{FaultKind::damaged, "record_file", "a hand-over names records that the file does not have",
                     "empty the data folder so that this machine joins as a new holder"};
    } else
      return Fault{FaultKind::damaged, "record_file", "a record is of the unknown kind '" + entry.what + "'",
                   "run the version of mothwalk that wrote this folder"};
  }
  if (identity_.empty()) {
    Bytes text;
    for (int count = 0; count < 2; ++count) {
      const std::uint64_t number = random_.next();
      for (int shift = 60; shift >= 0; shift -= 4) text.push_back("0123456789abcdef"[(number >> shift) & 15]);
    }
    identity_ = HolderId(text);
    roster_ = Roster{};
    held_.assign(slot_count, Held{});
  }
  self_.holder = identity_;
  tell_seats();
  return Done{};
}

void ReplicatedStore::start() {
  started_ = messenger_.timers().now();
  // The file is written anew at every start: it drops what is torn, and the identity is on disk before any promise.
  const Bytes whole = snapshot();
  file_bytes_ = file_base_ = whole.size();
  appending_.push_back(started_);
  disk_.rewrite(whole, [this](bool good) {
    appending_.pop_front();
    if (!good) return report_.fatal();
    tick();
  });
}

Bytes ReplicatedStore::snapshot() const {
  Bytes whole = frame_entry(DiskEntry{.what = "identity",
                                      .holder = identity_,
                                      .roster = {},
                                      .slot = 0,
                                      .epoch = {},
                                      .change = {},
                                      .records = {},
                                      .address = self_.address,
                                      .content = {}});
  if (!roster_.seats.empty())
    whole += frame_entry(DiskEntry{.what = "roster",
                                   .holder = {},
                                   .roster = roster_,
                                   .slot = 0,
                                   .epoch = {},
                                   .change = {},
                                   .records = {},
                                   .address = {},
                                   .content = {}});
  for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
    const Held& held = held_[slot];
    DiskEntry install{.what = "install",
                      .holder = {},
                      .roster = {},
                      .slot = slot,
                      .epoch = held.installed,
                      .change = {},
                      .records = {},
                      .address = {},
                      .content = {}};
    for (const auto& [key, record] : held.records) install.records.push_back(record);
    if (!install.records.empty() || held.installed.value > 0) whole += frame_entry(install);
    if (held.promised.value > 0)
      whole += frame_entry(DiskEntry{.what = "promise",
                                     .holder = held.promised_to,
                                     .roster = {},
                                     .slot = slot,
                                     .epoch = held.promised,
                                     .change = {},
                                     .records = {},
                                     .address = {},
                                     .content = {}});
  }
  return whole;
}

void ReplicatedStore::append(Bytes bytes, std::function<void()> then) {
  file_bytes_ += bytes.size();
  ++syncs_;
  appending_.push_back(messenger_.timers().now());
  disk_.append(std::move(bytes), [this, then](bool good) {
    appending_.pop_front();
    if (!good) return report_.fatal();
    then();
  });
}

void ReplicatedStore::persist(DiskEntry entry, std::function<void()> then) {
  append(frame_entry(entry), std::move(then));
}

void ReplicatedStore::rewrite_when_long() {
  if (file_bytes_ < rewrite_floor || file_bytes_ < 3 * file_base_) return;
  const Bytes whole = snapshot();
  file_bytes_ = file_base_ = whole.size();
  appending_.push_back(messenger_.timers().now());
  disk_.rewrite(whole, [this](bool good) {
    appending_.pop_front();
    if (!good) report_.fatal();
  });
}

void ReplicatedStore::put_record(Held& held, Record record) {
  if (record.written == Stamp{}) record.written = record.stamp;
  Record& place = held.records[record.key];
  if (!place.key.empty()) held.digest ^= record_hash(place);
  if (record.key.starts_with("lot/"))
    held.removed_lots += static_cast<std::size_t>(record.removed) - static_cast<std::size_t>(place.removed);
  held.digest ^= record_hash(record);
  place = std::move(record);
}

void ReplicatedStore::erase_record(Held& held, const std::string& key) {
  auto found = held.records.find(key);
  if (found == held.records.end()) return;
  held.digest ^= record_hash(found->second);
  if (lot_key(key)) held.removed_lots -= found->second.removed;
  held.records.erase(found);
}

void ReplicatedStore::put_copies(Held& held, std::vector<Record> records) {
  for (auto& record : records) {
    auto mine = held.records.find(record.key);
    if (mine == held.records.end() || mine->second.stamp < record.stamp) put_record(held, std::move(record));
  }
}

std::vector<std::string> ReplicatedStore::install(Held& held, Epoch epoch, const std::vector<RecordStamp>& content) {
  std::vector<std::string> missing;
  for (const auto& each : content) {
    auto mine = held.records.find(each.key);
    if (mine == held.records.end() || (mine->second.written != each.written && mine->second.stamp.epoch != epoch))
      missing.push_back(each.key);
  }
  if (!missing.empty()) return missing;
  std::set<View> named;
  for (const auto& each : content) {
    named.insert(each.key);
    Record& mine = held.records[each.key];
    held.digest ^= record_hash(mine);
    if (mine.stamp.epoch != epoch) mine.stamp = Stamp{epoch, each.stamp.version};
    held.digest ^= record_hash(mine);
  }
  std::vector<std::string> others;
  for (const auto& [key, record] : held.records)
    if (!named.contains(key) && record.stamp.epoch != epoch) others.push_back(key);
  for (const auto& key : others) erase_record(held, key);
  held.installed = epoch;
  return missing;
}

void ReplicatedStore::apply(Held& held, const Change& change) {
  Record record;
  if (auto found = held.records.find(change.key); found != held.records.end() && !change.full) record = found->second;
  record.key = change.key;
  record.stamp = change.stamp;
  record.written = change.written == Stamp{} ? change.stamp : change.written;
  record.removed = change.removed;
  if (change.head) record.head = *change.head;
  if (change.removed) {
    record.head.clear();
    record.entries.clear();
  }
  record.entries.insert(record.entries.end(), change.appends.begin(), change.appends.end());
  record.token = change.token;
  put_record(held, std::move(record));
}

void ReplicatedStore::adopt(const Roster& roster) {
  if (roster.version <= roster_.version) return;
  roster_ = roster;
  tell_seats();
  persist(DiskEntry{.what = "roster",
                    .holder = {},
                    .roster = roster_,
                    .slot = 0,
                    .epoch = {},
                    .change = {},
                    .records = {},
                    .address = {},
                    .content = {}},
          [] {});
}

void ReplicatedStore::tell_seats() {
  if (lots_only()) return;
  std::vector<Address> seats;
  for (const auto& seat : roster_.seats) seats.push_back(seat.address);
  shared_state_.control_seats.set(std::move(seats));
}

template <class Message, class Then>
void ReplicatedStore::ask_seat(const Seat& seat, Message message, Span timeout, Then then) {
  message.target = seat.holder;
  message.owner = identity_;
  messenger_.ask(seat.address, message, timeout, then);
}

void ReplicatedStore::publish() {
  Ownership ownership;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    if (owned_[slot].state == Owned::State::owned) ownership.slots[slot] = owned_[slot].epoch;
  shared_state_.owned.set(std::move(ownership));
}

void ReplicatedStore::tick() {
  const Moment now = messenger_.timers().now();
  ++ticks_;
  const bool stalled = !appending_.empty() && now - appending_.front() > stall_span;
  if (stalled && !shared_state_.stalled.load())
    report_.note("The disk does not answer; this holder gives up what it owns.");
  shared_state_.stalled = stalled;
  if (stalled)
    for (std::uint32_t slot = 0; slot < slot_count; ++slot)
      if (owned_[slot].state != Owned::State::none) step_down(slot, milliseconds(1000));
  const auto configuration = shared_state_.configuration.get();
  if (const Roster& told = lots_only() ? configuration->lot_roster : configuration->roster;
      told.version > roster_.version)
    adopt(told);
  if (roster_.seats.empty()) {
    if (!lots_only()) first_start_ ? gather() : found();
  } else if (!stalled && now - started_ > milliseconds(1000) && roster_.seated(identity_)) {
    const auto members = shared_state_.members.get();
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
      Owned& owned = owned_[slot];
      if (owned.state == Owned::State::owned && owned.roster != roster_.version) step_down(slot, Span{});
      if (owned.state != Owned::State::none || now < owned.not_before) continue;
      const Seat* first = slot_owner(roster_, *members, slot);
      if (first != nullptr && first->holder == identity_) take(slot);
    }
    if (ticks_ % 10 == 0) {
      install_at_returned();
      repair();
      forget_removed_lots();
    }
    if (!lots_only() && ticks_ % 3 == 0) {
      roster_duty();
      lot_roster_duty();
    }
  }
  rewrite_when_long();
  messenger_.timers().after(tick_span, [this] { tick(); });
}

void ReplicatedStore::found() {
  if (founding_ || std::find(seeds_.begin(), seeds_.end(), self_.address) == seeds_.end()) return;
  if (messenger_.timers().now() - started_ < founding_pause) return;
  // Any member that knows of a roster vetoes: this folder then joins.
  for (const auto& [address, member] : shared_state_.members.get()->all)
    if (member.roster.value > 0) return;
  founding_ = true;
  auto replies = std::make_shared<std::vector<WhoReply>>();
  auto left = std::make_shared<std::size_t>(seeds_.size());
  for (const Address& seed : seeds_)
    messenger_.ask(seed, Who{}, milliseconds(500), [this, replies, left](Result<WhoReply> result) {
      if (auto* reply = std::get_if<WhoReply>(&result)) replies->push_back(std::move(*reply));
      if (--*left > 0) return;
      founding_ = false;
      for (const auto& reply : *replies)
        if (!reply.roster.seats.empty()) {
          if (roster_.seats.empty()) adopt(reply.roster);
          return;
        }
      if (replies->size() != seeds_.size() || !roster_.seats.empty()) return;
      Roster roster{Version{1}, {}};
      for (const auto& reply : *replies) {
        if (reply.holder.empty()) return;
        roster.seats.push_back(Seat{reply.holder, reply.address, reply.zone});
      }
      std::sort(roster.seats.begin(), roster.seats.end(),
                [](const Seat& first, const Seat& second) { return first.address < second.address; });
      if (roster.seats.front().address != self_.address) return;
      for (const auto& seat : roster.seats)
        messenger_.ask(seat.address, Found{roster}, milliseconds(500), [](Result<WhoReply>) {});
    });
}

// The holders of control state gather at the seeds; the lowest of them proposes a roster of all to the seeds, one after
// the other, so that the first seed's word decides.
void ReplicatedStore::gather() {
  if (!*first_start_ || founding_ || seeds_.empty()) return;
  const Moment now = messenger_.timers().now();
  for (const auto& [address, member] : shared_state_.members.get()->all)
    if (member.roster.value > 0) return;
  founding_ = true;
  struct Round {
    std::vector<ReportReply> replies;
    std::size_t left = 0;
  };
  auto round = std::make_shared<Round>();
  round->left = seeds_.size();
  const Seat mine{identity_, self_.address, self_.zone, self_.name};
  for (const Address& seed : seeds_)
    messenger_.ask(seed, ReportCandidate{mine}, milliseconds(400), [this, round, now](Result<ReportReply> result) {
      if (auto* reply = std::get_if<ReportReply>(&result)) round->replies.push_back(std::move(*reply));
      if (--round->left > 0) return;
      founding_ = false;
      std::map<HolderId, Seat> candidates;
      Roster word;
      for (auto& reply : round->replies) {
        if (reply.known || !reply.first_start) return;
        for (auto& seat : reply.candidates) candidates[seat.holder] = seat;
        if (!reply.word.seats.empty()) word = std::move(reply.word);
      }
      if (round->replies.size() != seeds_.size() || !roster_.seats.empty()) return;
      if (candidates != candidates_) candidates_since_ = now;
      candidates_ = std::move(candidates);
      // Whoever proposed may be gone: a word that stays without a roster is completed by any candidate.
      if (!word.seats.empty()) {
        if (now - candidates_since_ < stranded_pause) return;
        founding_ = true;
        return propose(std::move(word), 0);
      }
      if (now - started_ < gathering_pause || now - candidates_since_ < candidates_pause ||
          (candidates_.size() < fewest_seats && now - started_ < few_candidates_pause))
        return;
      Roster roster{Version{1}, {}};
      for (const auto& [holder, seat] : candidates_) roster.seats.push_back(seat);
      std::sort(roster.seats.begin(), roster.seats.end(),
                [](const Seat& first, const Seat& second) { return first.address < second.address; });
      if (roster.seats.front().holder != identity_) return;
      founding_ = true;
      propose(std::move(roster), 0);
    });
}

void ReplicatedStore::propose(Roster roster, std::size_t seed) {
  if (seed == seeds_.size()) {
    founding_ = false;
    report_.note("A roster of " + std::to_string(roster.seats.size()) +
                 " seats is founded with the word of all seeds.");
    for (const auto& seat : roster.seats)
      messenger_.ask(seat.address, Found{roster}, milliseconds(500), [](Result<WhoReply>) {});
    return;
  }
  std::vector<Address> order = seeds_;
  std::sort(order.begin(), order.end());
  messenger_.ask(order[seed], AskWord{roster}, milliseconds(500), [this, roster, seed](Result<WordReply> result) {
    auto* reply = std::get_if<WordReply>(&result);
    // Only the first seed chooses: another one whose word stands for something else ends this attempt.
    if (reply == nullptr || !reply->given || (seed > 0 && reply->roster.seats != roster.seats)) {
      founding_ = false;
      return;
    }
    propose(std::move(reply->roster), seed + 1);
  });
}

void ReplicatedStore::take(std::uint32_t slot) {
  Owned& owned = owned_[slot];
  owned.state = Owned::State::taking;
  owned.roster = roster_.version;
  const Epoch epoch{std::max(held_[slot].promised, owned.epoch).value + 1};
  owned.epoch = epoch;
  struct Round {
    std::vector<std::pair<Seat, PromiseReply>> replies;
    std::size_t left = 0;
    bool enough = false, own = false;
  };
  auto round = std::make_shared<Round>();
  round->left = roster_.seats.size();
  const std::size_t majority = roster_.majority();
  Promise promise{{}, {}, slot, epoch, roster_, {}};
  for (const auto& [key, record] : held_[slot].records)
    promise.have.push_back(RecordStamp{key, record.stamp, record.written});
  for (const auto& seat : roster_.seats)
    ask_seat(seat, promise, peer_timeout, [this, seat, slot, epoch, round, majority](Result<PromiseReply> result) {
      --round->left;
      Owned& now_owned = owned_[slot];
      if (round->enough || now_owned.state != Owned::State::taking || now_owned.epoch != epoch) return;
      if (auto* reply = std::get_if<PromiseReply>(&result)) {
        if (reply->granted) {
          round->replies.emplace_back(seat, std::move(*reply));
          round->own = round->own || seat.holder == identity_;
          // Its own promise is among them, so that what it has itself does not change any more.
          if (round->replies.size() >= majority && round->own) {
            round->enough = true;
            auto taking = std::make_shared<Taking>();
            for (auto& [from, given] : round->replies) {
              taking->installed = std::max(taking->installed, given.installed);
              for (auto& record : given.records)
                if (Record& place = taking->newer[record.key]; place.key.empty() || place.stamp < record.stamp)
                  place = std::move(record);
              for (auto& each : given.more)
                if (auto& place = taking->lacking[each.key]; place.first.stamp < each.stamp)
                  place = {std::move(each), from};
            }
            return taken(slot, epoch, taking);
          }
        } else {
          if (reply->roster.version > roster_.version) adopt(reply->roster);
          if (reply->epoch > now_owned.epoch) now_owned.epoch = reply->epoch;
          if (reply->epoch >= epoch) return step_down(slot, milliseconds(200 + random_.below(600)));
        }
      }
      if (round->left == 0) step_down(slot, milliseconds(100 + random_.below(300)));
    });
}

// Fetches what did not fit into the promises' replies; then the slot's content is known.
void ReplicatedStore::taken(std::uint32_t slot, Epoch epoch, TakingPointer taking) {
  if (owned_[slot].state != Owned::State::taking || owned_[slot].epoch != epoch) return;
  const Records& mine = held_[slot].records;
  taking->installed = std::max(taking->installed, held_[slot].installed);
  std::erase_if(taking->lacking, [&](const auto& each) {
    auto newer = taking->newer.find(each.first);
    auto own = mine.find(each.first);
    const auto& [key, stamp, written] = each.second.first;
    if (stamp.epoch < taking->installed || (newer != taking->newer.end() && newer->second.stamp >= stamp) ||
        (own != mine.end() && own->second.stamp >= stamp))
      return true;
    if (own == mine.end() || own->second.written != written) return false;
    taking->raised[key] = stamp;
    return true;
  });
  if (taking->lacking.empty()) return hand_over(slot, epoch, taking);
  const Seat from = taking->lacking.begin()->second.second;
  FetchRecords fetch{slot, {}};
  for (const auto& [key, each] : taking->lacking)
    if (each.second == from) fetch.keys.push_back(key);
  messenger_.ask(from.address, fetch, peer_timeout, [this, slot, epoch, taking](Result<RecordsReply> result) {
    if (owned_[slot].state != Owned::State::taking || owned_[slot].epoch != epoch) return;
    auto* reply = std::get_if<RecordsReply>(&result);
    const std::size_t before = taking->lacking.size();
    if (reply != nullptr)
      for (auto& record : reply->records) {
        auto wanted = taking->lacking.find(record.key);
        if (wanted == taking->lacking.end() || wanted->second.first.stamp != record.stamp) continue;
        taking->lacking.erase(wanted);
        taking->newer[record.key] = std::move(record);
      }
    if (taking->lacking.size() == before) return step_down(slot, milliseconds(100 + random_.below(300)));
    taken(slot, epoch, taking);
  });
}

// Each seat is told the whole content by key and stamp, and given the records that it says it lacks.
void ReplicatedStore::hand_over(std::uint32_t slot, Epoch epoch, TakingPointer taking) {
  const Records& mine = held_[slot].records;
  std::map<std::string, std::pair<Stamp, const Record*>> newest;
  for (const auto& [key, record] : mine) newest[key] = {std::max(record.stamp, taking->raised[key]), &record};
  for (const auto& [key, record] : taking->newer)
    if (auto& place = newest[key]; place.first < record.stamp) place = {record.stamp, &record};
  for (const auto& [key, each] : newest) {
    const auto& [stamp, record] = each;
    if (stamp.epoch < taking->installed) continue;  // not in the last whole hand-over, so never on a majority
    // The hand-over forgets removed lots: what older copies still hold of them is below its epoch and counts no more.
    if (record->removed && lot_key(key)) continue;
    taking->content.push_back(RecordStamp{key, stamp, record->written});
  }
  // What this holder has itself is sent from its own copy.
  std::erase_if(taking->newer, [&](const auto& each) { return newest[each.first].second != &each.second; });
  owned_[slot].whole.clear();
  taking->left = roster_.seats.size();
  const Version roster = roster_.version;
  for (const auto& seat : std::vector<Seat>(roster_.seats)) install_at(seat, slot, epoch, roster, taking, 3);
}

void ReplicatedStore::install_at(const Seat& seat, std::uint32_t slot, Epoch epoch, Version roster,
                                 TakingPointer taking, int times) {
  ask_seat(seat, Install{{}, {}, slot, epoch, roster, taking->content}, peer_timeout,
           [this, seat, slot, epoch, roster, taking, times](Result<StoreReply> result) {
             Owned& owned = owned_[slot];
             if (owned.state == Owned::State::none || owned.epoch != epoch) return;
             auto* reply = std::get_if<StoreReply>(&result);
             if (reply != nullptr && reply->outcome == "behind" && times > 1) {
               Copies copies{{}, {}, slot, epoch, roster, {}};
               std::size_t size = 0;
               auto send = [&] {
                 if (!copies.records.empty()) ask_seat(seat, copies, peer_timeout, [](Result<StoreReply>) {});
                 copies.records.clear();
                 size = 0;
               };
               for (const auto& key : reply->missing) {
                 auto newer = taking->newer.find(key);
                 auto own = held_[slot].records.find(key);
                 const Record* record = newer != taking->newer.end()       ? &newer->second
                                        : own != held_[slot].records.end() ? &own->second
                                                                           : nullptr;
                 if (own != held_[slot].records.end() && own->second.stamp.epoch == epoch) record = &own->second;
                 if (record == nullptr) continue;
                 if (size + size_of(*record) > longest_message) send();
                 size += size_of(*record);
                 copies.records.push_back(*record);
                 copies.records.back().stamp.epoch = epoch;
               }
               send();
               return install_at(seat, slot, epoch, roster, taking, times - 1);
             }
             --taking->left;
             if (reply != nullptr && reply->outcome == "stored") {
               ++taking->stored;
               owned.whole.insert(seat.holder);
             }
             if (reply != nullptr && reply->roster.version > roster_.version) adopt(reply->roster);
             if (owned.state != Owned::State::taking) return;
             if (taking->stored >= roster_.majority() && roster_.version == roster) {
               if (held_[slot].installed != epoch) {
                 if (taking->left == 0) step_down(slot, milliseconds(100));
                 return;
               }
               owned.state = Owned::State::owned;
               publish();
               std::vector<const Record*> news;
               for (const auto& [key, record] : held_[slot].records) news.push_back(&record);
               return spread(news);
             }
             if (taking->left == 0) step_down(slot, milliseconds(100 + random_.below(300)));
           });
}

// A seat that missed a hand-over gets it once it is back.
void ReplicatedStore::install_at_returned() {
  const auto members = shared_state_.members.get();
  for (const auto& seat : roster_.seats) {
    const Member* member = members->holder(seat.holder);
    if (member == nullptr || member->stalled) continue;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
      Owned& owned = owned_[slot];
      if (owned.state != Owned::State::owned || owned.roster != roster_.version || owned.whole.contains(seat.holder))
        continue;
      auto taking = std::make_shared<Taking>();
      for (const auto& [key, record] : held_[slot].records)
        taking->content.push_back(RecordStamp{key, record.stamp, record.written});
      taking->left = 1;
      install_at(seat, slot, owned.epoch, roster_.version, taking, 2);
    }
  }
}

void ReplicatedStore::step_down(std::uint32_t slot, Span pause) {
  Owned& owned = owned_[slot];
  const bool was = owned.state == Owned::State::owned;
  owned.state = Owned::State::none;
  owned.not_before = messenger_.timers().now() + pause;
  auto queues = std::move(owned.queues);
  owned.queues.clear();
  auto confirms = std::move(owned.confirm_now);
  for (auto& each : owned.confirm_next) confirms.push_back(std::move(each));
  owned.confirm_now.clear();
  owned.confirm_next.clear();
  owned.confirming = false;
  if (was) publish();
  for (auto& [key, queue] : queues) {
    for (auto& pending : queue.pending) pending.answer(moved());
    for (auto& reader : queue.readers) reader();
  }
  for (auto& each : confirms) each(false);
}

void ReplicatedStore::spread(const std::vector<const Record*>& records) {
  Spread news;
  for (const Record* record : records)
    if (newsy(record->key)) news.items.push_back(NewsItem{record->key, record->stamp, record->removed, record->head});
  if (!news.items.empty()) messenger_.tell(self_.address, news);
}

void ReplicatedStore::write(Write request, Answer<WriteReply> answer) {
  const std::uint32_t slot = slot_of(request.key);
  Owned& owned = owned_[slot];
  if (owned.state != Owned::State::owned || owned.roster != roster_.version || !keeps_key(request.key))
    return answer(moved());
  if (request.fence && *request.fence != owned.epoch.value)
    return answer(Fault{FaultKind::stale, "fence", "the slot is owned under another epoch", "read the state again"});
  Queue& queue = owned.queues[request.key];
  if (queue.pending.size() >= 4096)
    return answer(Fault{FaultKind::refused, "key", "too many changes of this key wait", "try again in a second"});
  const std::string key = request.key;
  queue.pending.push_back(Pending{std::move(request), std::move(answer)});
  run(slot, key);
}

void ReplicatedStore::run(std::uint32_t slot, const std::string& key) {
  Owned& owned = owned_[slot];
  Queue& queue = owned.queues[key];
  if (queue.busy) return;
  while (!queue.pending.empty()) {
    auto found = held_[slot].records.find(key);
    const Record* record = found == held_[slot].records.end() ? nullptr : &found->second;
    const Stamp before = record == nullptr ? Stamp{} : record->stamp;
    Pending first = std::move(queue.pending.front());
    queue.pending.pop_front();
    const bool absent = record == nullptr || record->removed;
    if (!first.write.token.empty() && record != nullptr && record->token == first.write.token) {
      first.answer(WriteReply{record->stamp, record->entries.size()});
      continue;
    }
    if (first.write.expected && *first.write.expected != (absent ? 0 : before.version.value)) {
      first.answer(Fault{FaultKind::stale, "version",
                         "the version is not current; it is " + std::to_string(absent ? 0 : before.version.value),
                         "read the resource again and apply your change to that version"});
      continue;
    }
    if (absent && (first.write.removed || (!first.write.head && !first.write.appends.empty()))) {
      first.answer(Fault{FaultKind::unknown_name, "name", "there is nothing of this name", "check the name"});
      continue;
    }
    Change change{key,
                  before,
                  Stamp{owned.epoch, before.version.next()},
                  false,
                  first.write.removed,
                  first.write.head,
                  first.write.appends,
                  first.write.token,
                  {}};
    if (absent && record != nullptr) change.full = true;
    std::vector<Answer<WriteReply>> answers{first.answer};
    const bool only_appends = !first.write.head && !first.write.removed;
    while (only_appends && !queue.pending.empty() && !queue.pending.front().write.head &&
           !queue.pending.front().write.removed && !queue.pending.front().write.expected &&
           queue.pending.front().write.token.empty()) {
      for (auto& each : queue.pending.front().write.appends) change.appends.push_back(std::move(each));
      answers.push_back(std::move(queue.pending.front().answer));
      queue.pending.pop_front();
    }
    Roster also;
    if (key == "roster" && change.head)
      if (auto next = from_json<Roster>(*change.head); !fault_of(next)) also = std::get<Roster>(next);
    queue.busy = true;
    const Epoch epoch = owned.epoch;
    commit(slot, change, also, [this, slot, key, epoch, answers, stamp = change.stamp](bool good) {
      Owned& now_owned = owned_[slot];
      if (!good || now_owned.state != Owned::State::owned || now_owned.epoch != epoch) {
        if (now_owned.state == Owned::State::owned && now_owned.epoch == epoch) step_down(slot, Span{});
        for (auto& answer : answers) answer(stood_down());
        return;
      }
      ++commits_;
      const Record& record = held_[slot].records[key];
      if (newsy(key)) spread({&record});
      Queue& done = now_owned.queues[key];
      done.busy = false;
      auto readers = std::move(done.readers);
      done.readers.clear();
      for (auto& answer : answers) answer(WriteReply{stamp, record.entries.size()});
      for (auto& reader : readers) reader();
      if (owned_[slot].state == Owned::State::owned) {
        run(slot, key);
        auto idle = owned_[slot].queues.find(key);
        if (idle != owned_[slot].queues.end() && !idle->second.busy && idle->second.pending.empty() &&
            idle->second.readers.empty())
          owned_[slot].queues.erase(idle);
      }
    });
    return;
  }
}

void ReplicatedStore::commit(std::uint32_t slot, const Change& change, const Roster& also,
                             std::function<void(bool)> done) {
  struct Count {
    std::size_t old_acks = 0, new_acks = 0, left = 0;
    bool over = false;
    Roster old_roster, new_roster;
  };
  auto count = std::make_shared<Count>();
  count->old_roster = roster_;
  count->new_roster = also;
  std::vector<Seat> seats = roster_.seats;
  for (const auto& seat : also.seats)
    if (!roster_.seated(seat.holder)) seats.push_back(seat);
  count->left = seats.size();
  const Epoch epoch = owned_[slot].epoch;
  auto acknowledged = [this, count, slot, epoch, done](const Seat& seat, bool good) {
    --count->left;
    if (count->over) return;
    if (good) {
      count->old_acks += count->old_roster.seated(seat.holder);
      count->new_acks += count->new_roster.seated(seat.holder);
    }
    const bool enough = count->old_acks >= count->old_roster.majority() &&
                        (count->new_roster.seats.empty() || count->new_acks >= count->new_roster.majority());
    if (!enough && count->left > 0) return;
    count->over = true;
    done(enough);
  };
  const Version roster_version = roster_.version;
  for (const auto& seat : seats) {
    Store store{{}, {}, slot, epoch, roster_version, change};
    ask_seat(seat, store, peer_timeout,
             [this, seat, slot, epoch, change, roster_version, acknowledged](Result<StoreReply> result) {
               auto* reply = std::get_if<StoreReply>(&result);
               if (reply == nullptr) return acknowledged(seat, false);
               if (reply->outcome == "refused" && reply->epoch > epoch && owned_[slot].state == Owned::State::owned &&
                   owned_[slot].epoch == epoch) {
                 step_down(slot, milliseconds(500));
                 return acknowledged(seat, false);
               }
               if (reply->outcome == "roster" && reply->roster.version < roster_version)
                 messenger_.tell(seat.address, RosterNews{roster_, self_.keeps});
               if (reply->outcome == "roster" && reply->roster.version > roster_.version) adopt(reply->roster);
               if (reply->outcome == "stored") return acknowledged(seat, true);
               if (reply->outcome == "refused") return acknowledged(seat, false);
               // Behind or of an older roster: the whole record goes once more.
               auto found = held_[slot].records.find(change.key);
               if (found == held_[slot].records.end() || found->second.stamp != change.stamp)
                 return acknowledged(seat, false);
               const Record& record = found->second;
               Change full{record.key,     {},           record.stamp,  true, record.removed, record.head,
                           record.entries, record.token, record.written};
               ask_seat(seat, Store{{}, {}, slot, epoch, roster_version, full}, peer_timeout,
                        [seat, acknowledged](Result<StoreReply> second) {
                          auto* stored = std::get_if<StoreReply>(&second);
                          acknowledged(seat, stored != nullptr && stored->outcome == "stored");
                        });
             });
  }
}

void ReplicatedStore::confirm(std::uint32_t slot, std::function<void(bool)> then) {
  Owned& owned = owned_[slot];
  owned.confirm_next.push_back(std::move(then));
  if (!owned.confirming) confirm_round(slot);
}

void ReplicatedStore::confirm_round(std::uint32_t slot) {
  Owned& owned = owned_[slot];
  owned.confirming = true;
  owned.confirm_now = std::move(owned.confirm_next);
  owned.confirm_next.clear();
  const Epoch epoch = owned.epoch;
  auto acks = std::make_shared<std::size_t>(0);
  auto left = std::make_shared<std::size_t>(roster_.seats.size());
  const std::size_t majority = roster_.majority();
  for (const auto& seat : roster_.seats)
    ask_seat(seat, Confirm{{}, {}, slot, epoch, owned.roster}, peer_timeout,
             [this, slot, epoch, acks, left, majority](Result<StoreReply> result) {
               --*left;
               Owned& now_owned = owned_[slot];
               if (now_owned.state != Owned::State::owned || now_owned.epoch != epoch || *acks >= majority) return;
               auto* reply = std::get_if<StoreReply>(&result);
               if (reply != nullptr && reply->outcome == "stored") ++*acks;
               if (const bool enough = *acks >= majority; !enough && *left > 0) return;
               if (*acks < majority) return step_down(slot, milliseconds(200));
               auto waiting = std::move(now_owned.confirm_now);
               now_owned.confirm_now.clear();
               now_owned.confirming = false;
               for (auto& each : waiting) each(true);
               if (owned_[slot].state == Owned::State::owned && !owned_[slot].confirming &&
                   !owned_[slot].confirm_next.empty())
                 confirm_round(slot);
             });
}

std::size_t ReplicatedStore::removed_lots() const {
  std::size_t count = 0;
  for (const auto& held : held_) count += held.removed_lots;
  return count;
}

// A slot with many removed lots is handed over to its owner itself, under a higher epoch, which forgets them.
void ReplicatedStore::forget_removed_lots() {
  for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    if (owned_[slot].state == Owned::State::owned && held_[slot].removed_lots >= most_removed_lots)
      step_down(slot, Span{});
}

void ReplicatedStore::repair() {
  std::vector<Seat> others;
  for (const auto& seat : roster_.seats)
    if (seat.holder != identity_) others.push_back(seat);
  if (others.empty()) return;
  const Seat peer = others[random_.below(others.size())];
  messenger_.ask(peer.address, Digests{}, peer_timeout, [this, peer](Result<DigestsReply> result) {
    auto* reply = std::get_if<DigestsReply>(&result);
    if (reply == nullptr || reply->digests.size() != slot_count) return;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
      if (reply->digests[slot] == held_[slot].digest || owned_[slot].state != Owned::State::none) continue;
      messenger_.ask(peer.address, Range{slot}, peer_timeout, [this, peer, slot](Result<RangeReply> ranged) {
        auto* range = std::get_if<RangeReply>(&ranged);
        if (range == nullptr) return;
        FetchRecords fetch{slot, {}};
        for (const auto& theirs : range->stamps) {
          auto mine = held_[slot].records.find(theirs.key);
          if (theirs.stamp.epoch == held_[slot].promised &&
              (mine == held_[slot].records.end() || mine->second.stamp < theirs.stamp))
            fetch.keys.push_back(theirs.key);
        }
        if (fetch.keys.empty()) return;
        messenger_.ask(peer.address, fetch, peer_timeout, [this, slot](Result<RecordsReply> fetched) {
          auto* records = std::get_if<RecordsReply>(&fetched);
          if (records == nullptr) return;
          for (auto& record : records->records) {
            Held& held = held_[slot];
            auto mine = held.records.find(record.key);
            if (record.stamp.epoch != held.promised ||
                (mine != held.records.end() && mine->second.stamp >= record.stamp) || slot_of(record.key) != slot)
              continue;
            Change change{record.key,     {},           record.stamp,  true, record.removed, record.head,
                          record.entries, record.token, record.written};
            apply(held, change);
            persist(DiskEntry{.what = "change",
                              .holder = {},
                              .roster = {},
                              .slot = slot,
                              .epoch = record.stamp.epoch,
                              .change = std::move(change),
                              .records = {},
                              .address = {},
                              .content = {}},
                    [] {});
          }
        });
      });
    }
  });
}

// One change at a time, only when every slot has been handed over whole under the roster in force: then any majority of
// the next roster meets any majority that a change was acknowledged by.
void ReplicatedStore::roster_duty() {
  const std::uint32_t slot = slot_of("roster");
  if (owned_[slot].state != Owned::State::owned) return void(watched_.erase("roster"));
  if (changing_.contains("roster")) return;
  if (!held_[slot].records.contains("roster")) return change_roster("roster", roster_);
  if (auto next = next_roster("roster", roster_, self_.keeps)) change_when_settled("roster", roster_, std::move(*next));
}

// The roster of those that hold lots alone: a key of the control state, founded once there are such holders.
void ReplicatedStore::lot_roster_duty() {
  const std::string key(lot_roster_key);
  const std::uint32_t slot = slot_of(key);
  if (self_.keeps != "control" || owned_[slot].state != Owned::State::owned) return void(watched_.erase(key));
  if (changing_.contains(key)) return;
  if (auto found = held_[slot].records.find(key); found != held_[slot].records.end()) {
    auto current = from_json<Roster>(found->second.head);
    if (fault_of(current) != nullptr) return;
    if (auto next = next_roster(key, std::get<Roster>(current), "lots"))
      change_when_settled(key, std::get<Roster>(current), std::move(*next));
    return;
  }
  std::size_t seen = 0;
  for (const auto& [address, member] : shared_state_.members.get()->all)
    seen += member.keeps_lots() && !member.keeps_control();
  const Moment now = messenger_.timers().now();
  if (seen != newcomers_) newcomers_since_ = now;
  newcomers_ = seen;
  if (seen == 0 || now - newcomers_since_ < (seen < fewest_seats ? seconds(6) : lots_founding_pause)) return;
  Roster first;
  while (auto next = next_roster(key, first, "lots")) first.seats = std::move(next->seats);
  first.version = Version{1};
  if (!first.seats.empty()) change_roster(key, std::move(first));
}

// The roster with one seat more or less, where the members call for it.
std::optional<Roster> ReplicatedStore::next_roster(const std::string& key, const Roster& current,
                                                   const std::string& keeps) {
  Watched& watched = watched_[key];
  const auto members = shared_state_.members.get();
  const auto configuration = shared_state_.configuration.get();
  const Moment now = messenger_.timers().now();
  auto belongs = [&](const Member& member) {
    return !member.holder.empty() && member.keeps == keeps;
  };
  auto retired = [&](const Address& address) {
    auto found = configuration->holders.find(address.text);
    return found != configuration->holders.end() && found->second.spec.retired;
  };
  Moment newest;  // when the last holder came that was never seen before
  for (const auto& [address, member] : members->all)
    if (belongs(member)) newest = std::max(newest, watched.first_seen.try_emplace(member.holder, now).first->second);
  std::vector<const Member*> spares;
  std::map<ZoneId, std::size_t> seats_in;
  const Seat* gone = nullptr;
  int most_gone = 0;
  for (const auto& seat : current.seats) {
    ++seats_in[seat.zone];
    const Member* member = members->holder(seat.holder);
    const bool there = member != nullptr && !member->stalled;
    if (there) watched.missing_since.erase(seat.holder);
    const Moment since = there ? now : watched.missing_since.try_emplace(seat.holder, now).first->second;
    // A wiped machine is back under another identity, so its old seat has nobody to wait for. A holder that came after
    // one went missing stands in for it.
    auto at_address = members->all.find(seat.address);
    const bool wiped = member == nullptr && at_address != members->all.end() && !at_address->second.holder.empty();
    const bool late = !there && (now - since > replace_after || (now - since > replaced_after && newest > since));
    const int how = wiped ? 3 : retired(seat.address) ? 2 : late ? 1 : 0;
    if (how > most_gone) {
      gone = &seat;
      most_gone = how;
    }
  }
  for (const auto& [address, member] : members->all)
    if (belongs(member) && !member.stalled && !current.seated(member.holder) && !retired(address))
      spares.push_back(&member);
  std::sort(spares.begin(), spares.end(), [&](const Member* left, const Member* right) {
    return std::make_tuple(seats_in[left->zone], left->address) <
           std::make_tuple(seats_in[right->zone], right->address);
  });
  Roster next = current;
  next.version = current.version.next();
  const std::size_t left = current.seats.size() - (gone != nullptr);
  const bool may_drop = gone != nullptr && left >= fewest_seats;
  if (may_drop && (left >= wanted_seats || spares.empty()))
    std::erase_if(next.seats, [&](const Seat& seat) { return seat.holder == gone->holder; });
  else if (!spares.empty() && left < wanted_seats)
    next.seats.push_back(Seat{spares[0]->holder, spares[0]->address, spares[0]->zone, spares[0]->name});
  else
    return std::nullopt;
  return next;
}

void ReplicatedStore::retirement(const Retirement& asked, Answer<RetirementReply> answer) {
  const std::uint32_t slot = slot_of(asked.roster);
  if ((asked.roster != "roster" && asked.roster != lot_roster_key) || owned_[slot].state != Owned::State::owned ||
      !keeps_key(asked.roster))
    return answer(moved());
  confirm(slot, [this, slot, asked, answer](bool good) {
    auto found = held_[slot].records.find(asked.roster);
    if (!good || owned_[slot].state != Owned::State::owned || found == held_[slot].records.end() ||
        changing_.contains(asked.roster))
      return answer(moved());
    auto read = from_json<Roster>(found->second.head);
    if (fault_of(read) != nullptr) return answer(moved());
    const Roster roster = std::get<Roster>(std::move(read));
    const auto configuration = shared_state_.configuration.get();
    RetirementReply reply;
    if (auto mark = configuration->holders.find(asked.holder.text); mark != configuration->holders.end())
      reply.known = true, reply.retired = mark->second.spec.retired;
    if (asked.holder.empty()) reply.retired = true;
    for (const auto& seat : roster.seats)
      reply.seated = reply.seated || seat.address == asked.holder || (!asked.name.empty() && seat.name == asked.name);
    reply.known = reply.known || reply.seated || shared_state_.members.get()->all.contains(asked.holder);
    Copied& copied = copied_[asked.roster];
    if (copied.roster != roster.version) copied = Copied{roster.version, {}};
    reply.complete = reply.retired && !reply.seated && copied.slots.size() == slot_count;
    if (reply.complete || reply.seated || !reply.retired) return answer(reply);
    auto replies = std::make_shared<std::vector<SettledReply>>();
    auto left = std::make_shared<std::size_t>(roster.seats.size());
    for (const auto& seat : roster.seats)
      messenger_.ask(seat.address, Settled{roster.version}, peer_timeout,
                     [this, replies, left, reply, answer, key = asked.roster, version = roster.version,
                      seats = roster.seats.size()](Result<SettledReply> result) {
                       if (auto* settled = std::get_if<SettledReply>(&result);
                           settled != nullptr && settled->installed.size() == slot_count &&
                           settled->digests.size() == slot_count && settled->epochs.size() == settled->slots.size())
                         replies->push_back(std::move(*settled));
                       if (--*left > 0) return;
                       Copied& now_copied = copied_[key];
                       if (now_copied.roster != version || replies->size() != seats) return answer(reply);
                       for (const auto& owner : *replies)
                         for (std::size_t index = 0; index < owner.slots.size(); ++index) {
                           const std::uint32_t number = owner.slots[index];
                           bool whole = number < slot_count;
                           for (const auto& copy : *replies)
                             whole = whole && (copy.installed[number] >= owner.epochs[index] ||
                                               copy.digests[number] == owner.digests[number]);
                           if (whole) now_copied.slots.insert(number);
                         }
                       RetirementReply final_reply = reply;
                       final_reply.complete = now_copied.slots.size() == slot_count;
                       answer(final_reply);
                     });
  });
}

void ReplicatedStore::change_when_settled(const std::string& key, const Roster& current, Roster next) {
  changing_.insert(key);
  struct Count {
    std::set<std::uint32_t> covered;
    std::size_t left = 0;
    bool over = false;
  };
  auto count = std::make_shared<Count>();
  count->left = current.seats.size();
  for (const auto& seat : current.seats)
    messenger_.ask(seat.address, Settled{current.version}, peer_timeout,
                   [this, count, key, next, version = current.version](Result<SettledReply> result) {
                     --count->left;
                     if (count->over) return;
                     if (auto* reply = std::get_if<SettledReply>(&result))
                       count->covered.insert(reply->slots.begin(), reply->slots.end());
                     count->over = count->covered.size() == slot_count;
                     if (count->over && (key != "roster" || roster_.version == version))
                       return change_roster(key, next);
                     if (count->over || count->left == 0) changing_.erase(key);
                   });
}

void ReplicatedStore::change_roster(const std::string& key, Roster next) {
  const std::uint32_t slot = slot_of(key);
  changing_.insert(key);
  if (owned_[slot].state != Owned::State::owned) return void(changing_.erase(key));
  report_.note("The roster " + key + " goes to version " + std::to_string(next.version.value) + " with " +
               std::to_string(next.seats.size()) + " seats.");
  Write request;
  request.key = key;
  request.head = json::serialize(to_json(next));
  request.fence = owned_[slot].epoch.value;
  write(std::move(request), [this, key, next](Result<WriteReply> result) {
    changing_.erase(key);
    if (fault_of(result) == nullptr && key == lot_roster_key)
      for (const auto& seat : next.seats) messenger_.tell(seat.address, RosterNews{next, "lots"});
  });
}

void StoreClient::write(Write write, Span timeout, Answer<WriteReply> answer) {
  const std::string key = write.key;
  ask_owner<Write>(key, std::move(write), messenger_.timers().now() + timeout, false, std::move(answer));
}

void StoreClient::read(const std::string& key, Span timeout, Answer<ReadReply> answer) {
  ask_owner<Read>(key, Read{key}, messenger_.timers().now() + timeout, false, std::move(answer));
}

}  // namespace mothwalk
