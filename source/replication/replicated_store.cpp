// The life of a replicated store: its messages, its start, its timer, and how it comes to hold and give up slots.
#include "replication/replicated_store.hpp"

#include <algorithm>

#include "gossip/configuration_gossip.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration tick_span = milliseconds(100);
constexpr std::size_t most_removed_lots = 200;

bool newsy(StringView key) {
  return !lot_key(key);
}
}  // namespace

ReplicatedStore::ReplicatedStore(Messenger& messenger, SharedState& shared_state, Disk& disk, RandomSource& random,
                                 Member self, std::vector<Address> seeds, Report report,
                                 std::optional<bool> first_start, std::size_t disk_limit)
    : messenger_(messenger),
      shared_state_(shared_state),
      random_(random),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      report_(std::move(report)),
      log_(disk, messenger.timers(), log_contents(), disk_limit),
      first_start_(first_start) {
  messenger_.on_request<IdentifyRequest>(
      [this](const Address&, IdentifyRequest, ReplyCallback<IdentifyReply> answer) { on_who(std::move(answer)); });
  messenger_.on_request<FoundRoster>([this](const Address&, FoundRoster message, ReplyCallback<IdentifyReply> answer) {
    on_found(std::move(message), std::move(answer));
  });
  messenger_.on_request<Promise>([this](const Address&, Promise message, ReplyCallback<PromiseReply> answer) {
    on_promise(std::move(message), std::move(answer));
  });
  messenger_.on_request<Store>([this](const Address&, Store message, ReplyCallback<StoreReply> answer) {
    on_store(std::move(message), std::move(answer));
  });
  messenger_.on_request<Install>([this](const Address&, Install message, ReplyCallback<StoreReply> answer) {
    on_install(std::move(message), std::move(answer));
  });
  messenger_.on_request<Copies>([this](const Address&, Copies message, ReplyCallback<StoreReply> answer) {
    on_copies(std::move(message), std::move(answer));
  });
  messenger_.on_request<Confirm>([this](const Address&, Confirm message, ReplyCallback<StoreReply> answer) {
    on_confirm(std::move(message), std::move(answer));
  });
  messenger_.on_message<RosterUpdate>(
      [this](const Address&, RosterUpdate message) { on_roster_news(std::move(message)); });
  messenger_.on_request<SyncStatus>([this](const Address&, SyncStatus message, ReplyCallback<SyncStatusReply> answer) {
    on_settled(std::move(message), std::move(answer));
  });
  messenger_.on_request<Retirement>([this](const Address&, Retirement request, ReplyCallback<RetirementReply> answer) {
    retirement(std::move(request), std::move(answer));
  });
  messenger_.on_request<Digests>(
      [this](const Address&, Digests, ReplyCallback<DigestsReply> answer) { on_digests(std::move(answer)); });
  messenger_.on_request<Range>([this](const Address&, Range message, ReplyCallback<RangeReply> answer) {
    on_range(std::move(message), std::move(answer));
  });
  messenger_.on_request<FetchRecords>([this](const Address&, FetchRecords message, ReplyCallback<RecordsReply> answer) {
    on_fetch_records(std::move(message), std::move(answer));
  });
  messenger_.on_request<Write>([this](const Address&, Write request, ReplyCallback<WriteReply> answer) {
    write(std::move(request), std::move(answer));
  });
  messenger_.on_request<Read>([this](const Address&, Read message, ReplyCallback<ReadReply> answer) {
    on_read(std::move(message), std::move(answer));
  });
  messenger_.on_request<ListSlot>([this](const Address& from, ListSlot message, ReplyCallback<ListSlotReply> answer) {
    on_list_slot(from, std::move(message), std::move(answer));
  });
  messenger_.on_request<ConfirmSlot>([this](const Address&, ConfirmSlot message, ReplyCallback<ConfirmReply> answer) {
    on_confirm_slot(std::move(message), std::move(answer));
  });
}

void ReplicatedStore::start() {
  started_ = messenger_.timers().now();
  log_.start(file_);
  auto durable = [this] {
    durable_ = true;
  };
  if (file_.sound_bytes == 0)
    persist(DiskEntry{.what = "identity", .holder = identity_, .address = self_.address}, durable);
  else
    log_.when_synced(durable);
  tick();
}

void ReplicatedStore::tick() {
  const TimePoint now = messenger_.timers().now();
  ++ticks_;
  watch_disk();
  const auto configuration = shared_state_.configuration.get();
  if (const Roster& told = lots_only() ? configuration->lot_roster : configuration->roster;
      told.version > roster_.version)
    adopt(told);
  const bool stalled = shared_state_.stalled.load();
  if (roster_.seats.empty()) {
    if (!lots_only() && durable_) first_start_ ? gather() : found();
  } else if (!stalled && now - started_ > milliseconds(1000) && roster_.seated(identity_)) {
    const auto members = shared_state_.members.get();
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
      Owned& owned = owned_[slot];
      if (owned.state == Owned::State::owned && owned.roster != roster_.version) step_down(slot, Duration{});
      if (owned.state != Owned::State::none || now < owned.not_before) continue;
      const Voter* first = slot_owner(roster_, *members, slot);
      if (first != nullptr && first->holder == identity_) take(slot);
    }
    resume_transfers();
    if (ticks_ % 10 == 0) {
      install_at_returned();
      repair();
      forget_removed_lots();
    }
    // A roster that is being changed is looked at on each tick: until it stands no further holder may go.
    if (!lots_only() && (ticks_ % 3 == 0 || !unsettled_.empty())) {
      roster_duty();
      lot_roster_duty();
    }
  }
  log_.tick();
  messenger_.timers().after(tick_span, [this] { tick(); });
}

// A holder that can make nothing safe owns nothing, and says so in its beats, until its disk has recovered.
void ReplicatedStore::watch_disk() {
  durable_ = durable_ || log_.rewrites() > 0;
  const bool stalled = log_.stalled();
  if (stalled && !shared_state_.stalled.load())
    report_.note(log_.failed() ? "The disk takes nothing more; this holder gives up what it owns."
                               : "The disk does not answer; this holder gives up what it owns.");
  if (!stalled && shared_state_.stalled.load()) report_.note("The disk answers again.");
  shared_state_.stalled = stalled;
  if (!stalled) return;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    if (owned_[slot].state != Owned::State::none) step_down(slot, milliseconds(1000));
}

void ReplicatedStore::publish() {
  Ownership ownership;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    if (owned_[slot].state == Owned::State::owned) ownership.slots[slot] = owned_[slot].epoch;
  shared_state_.owned.set(std::move(ownership));
}

void ReplicatedStore::adopt(const Roster& roster) {
  if (roster.version <= roster_.version) return;
  roster_ = roster;
  adopted_ = messenger_.timers().now();
  tell_seats();
  persist(DiskEntry{.what = "roster", .roster = roster_}, [] {});
}

void ReplicatedStore::tell_seats() {
  if (lots_only()) return;
  std::vector<Address> seats;
  for (const auto& seat : roster_.seats) seats.push_back(seat.address);
  shared_state_.control_seats.set(std::move(seats));
}

void ReplicatedStore::spread(const std::vector<const Record*>& records) {
  PushUpdates news;
  for (const Record* record : records)
    if (newsy(record->key))
      news.items.push_back(ConfigurationUpdate{record->key, record->stamp, record->removed, record->head});
  if (!news.items.empty()) messenger_.send(self_.address, news);
}

void ReplicatedStore::step_down(std::uint32_t slot, Duration pause) {
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

ReplicatedStore::SlotView ReplicatedStore::slot_view(std::uint32_t slot) const {
  const Owned& owned = owned_[slot];
  return SlotView{held_[slot].installed, owned.state == Owned::State::owned ? owned.epoch : Epoch{},
                  held_[slot].digest};
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
      step_down(slot, Duration{});
}

}  // namespace mothwalk
