// Message handlers, start and periodic work of the replicated store, and how it gives up slots.
#include "replication/replicated_store.hpp"

#include <algorithm>

#include "gossip/configuration_gossip.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration tick_interval = milliseconds(100);
constexpr std::size_t max_removed_lots = 200;  // Tombstones per slot before they are purged.

// Only control state is distributed by gossip, lots are not.
bool is_gossiped(StringView key) {
  return !is_lot_key(key);
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
  messenger_.on_request<IdentifyRequest>([this](const Address&, IdentifyRequest, ReplyCallback<IdentifyReply> respond) {
    on_identify(std::move(respond));
  });
  messenger_.on_request<FoundRoster>([this](const Address&, FoundRoster message, ReplyCallback<IdentifyReply> respond) {
    on_found_roster(std::move(message), std::move(respond));
  });
  messenger_.on_request<Promise>([this](const Address&, Promise message, ReplyCallback<PromiseReply> respond) {
    on_promise(std::move(message), std::move(respond));
  });
  messenger_.on_request<Store>([this](const Address&, Store message, ReplyCallback<StoreReply> respond) {
    on_store(std::move(message), std::move(respond));
  });
  messenger_.on_request<Install>([this](const Address&, Install message, ReplyCallback<StoreReply> respond) {
    on_install(std::move(message), std::move(respond));
  });
  messenger_.on_request<CopyRecords>([this](const Address&, CopyRecords message, ReplyCallback<StoreReply> respond) {
    on_copies(std::move(message), std::move(respond));
  });
  messenger_.on_request<Confirm>([this](const Address&, Confirm message, ReplyCallback<StoreReply> respond) {
    on_confirm(std::move(message), std::move(respond));
  });
  messenger_.on_message<RosterUpdate>(
      [this](const Address&, RosterUpdate message) { on_roster_update(std::move(message)); });
  messenger_.on_request<SyncStatus>([this](const Address&, SyncStatus message, ReplyCallback<SyncStatusReply> respond) {
    on_sync_status(std::move(message), std::move(respond));
  });
  messenger_.on_request<Retirement>([this](const Address&, Retirement request, ReplyCallback<RetirementReply> respond) {
    on_retirement(std::move(request), std::move(respond));
  });
  messenger_.on_request<Digests>(
      [this](const Address&, Digests, ReplyCallback<DigestsReply> respond) { on_digests(std::move(respond)); });
  messenger_.on_request<ListStamps>([this](const Address&, ListStamps message, ReplyCallback<ListStampsReply> respond) {
    on_range(std::move(message), std::move(respond));
  });
  messenger_.on_request<FetchRecords>(
      [this](const Address&, FetchRecords message, ReplyCallback<RecordsReply> respond) {
        on_fetch_records(std::move(message), std::move(respond));
      });
  messenger_.on_request<Write>([this](const Address&, Write request, ReplyCallback<WriteReply> respond) {
    write(std::move(request), std::move(respond));
  });
  messenger_.on_request<Read>([this](const Address&, Read message, ReplyCallback<ReadReply> respond) {
    on_read(std::move(message), std::move(respond));
  });
  messenger_.on_request<ListSlot>([this](const Address& from, ListSlot message, ReplyCallback<ListSlotReply> respond) {
    on_list_slot(from, std::move(message), std::move(respond));
  });
  messenger_.on_request<ConfirmSlot>([this](const Address&, ConfirmSlot message, ReplyCallback<ConfirmReply> respond) {
    on_confirm_slot(std::move(message), std::move(respond));
  });
}

void ReplicatedStore::start() {
  started_ = messenger_.timers().now();
  log_.start(loaded_file_);
  auto durable = [this] {
    durable_ = true;
  };
  if (loaded_file_.valid_bytes == 0)
    append_to_log(DiskEntry{.what = "identity", .holder = identity_, .address = self_.address}, durable);
  else
    log_.when_synced(durable);
  tick();
}

void ReplicatedStore::tick() {
  const TimePoint now = messenger_.timers().now();
  ++ticks_;
  check_disk();
  const auto configuration = shared_state_.configuration.get();
  if (const Roster& known_roster = stores_only_lots() ? configuration->lot_roster : configuration->roster;
      known_roster.version > roster_.version)
    adopt_roster(known_roster);
  const bool stalled = shared_state_.stalled.load();
  if (roster_.voters.empty()) {
    if (!stores_only_lots() && durable_) first_start_ ? bootstrap_from_candidates() : bootstrap_from_seeds();
  } else if (!stalled && now - started_ > milliseconds(1000) && roster_.has_voter(identity_)) {
    const auto members = shared_state_.members.get();
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
      SlotOwnership& ownership = slot_ownership_[slot];
      if (ownership.state == SlotOwnership::State::owned && ownership.roster != roster_.version)
        step_down(slot, Duration{});
      if (ownership.state != SlotOwnership::State::none || now < ownership.not_before) continue;
      const Voter* first_available = slot_owner(roster_, *members, slot);
      if (first_available != nullptr && first_available->holder == identity_) start_takeover(slot);
    }
    resume_transfers();
    if (ticks_ % 10 == 0) {
      install_at_lagging_voters();
      repair();
      purge_removed_lots();
    }
    // While a roster change is pending, it is retried on every tick: until it is complete, no further node may fail.
    if (!stores_only_lots() && (ticks_ % 3 == 0 || !awaiting_sync_.empty())) {
      maintain_roster();
      maintain_lot_roster();
    }
  }
  log_.tick();
  messenger_.timers().after(tick_interval, [this] { tick(); });
}

// A storage node whose disk can't make anything durable gives up its slots and reports this in its heartbeats until the
// disk has recovered.
void ReplicatedStore::check_disk() {
  durable_ = durable_ || log_.compactions() > 0;
  const bool stalled = log_.stalled();
  if (stalled && !shared_state_.stalled.load())
    report_.log(log_.failed() ? "Writing to the disk failed; this storage node gives up the slots that it owns."
                              : "The disk does not respond; this storage node gives up the slots that it owns.");
  if (!stalled && shared_state_.stalled.load()) report_.log("The disk responds again.");
  shared_state_.stalled = stalled;
  if (!stalled) return;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    if (slot_ownership_[slot].state != SlotOwnership::State::none) step_down(slot, milliseconds(1000));
}

void ReplicatedStore::publish_ownership() {
  Ownership ownership;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    if (slot_ownership_[slot].state == SlotOwnership::State::owned) ownership.slots[slot] = slot_ownership_[slot].epoch;
  shared_state_.owned.set(std::move(ownership));
}

void ReplicatedStore::adopt_roster(const Roster& roster) {
  if (roster.version <= roster_.version) return;
  roster_ = roster;
  roster_adopted_at_ = messenger_.timers().now();
  publish_voters();
  append_to_log(DiskEntry{.what = "roster", .roster = roster_}, [] {});
}

void ReplicatedStore::publish_voters() {
  if (stores_only_lots()) return;
  std::vector<Address> voters;
  for (const auto& voter : roster_.voters) voters.push_back(voter.address);
  shared_state_.known_control_voters.set(std::move(voters));
}

void ReplicatedStore::push_to_gossip(const std::vector<const Record*>& records) {
  PushUpdates updates;
  for (const Record* record : records)
    if (is_gossiped(record->key))
      updates.items.push_back(ConfigurationUpdate{record->key, record->stamp, record->removed, record->head});
  if (!updates.items.empty()) messenger_.send(self_.address, updates);
}

void ReplicatedStore::step_down(std::uint32_t slot, Duration pause) {
  SlotOwnership& ownership = slot_ownership_[slot];
  const bool was_owned = ownership.state == SlotOwnership::State::owned;
  ownership.state = SlotOwnership::State::none;
  ownership.not_before = messenger_.timers().now() + pause;
  auto queues = std::move(ownership.queues);
  ownership.queues.clear();
  auto confirmations = std::move(ownership.confirm_callbacks);
  for (auto& each : ownership.next_confirm_callbacks) confirmations.push_back(std::move(each));
  ownership.confirm_callbacks.clear();
  ownership.next_confirm_callbacks.clear();
  ownership.confirming = false;
  if (was_owned) publish_ownership();
  for (auto& [key, queue] : queues) {
    for (auto& pending : queue.pending) pending.respond(not_owner());
    for (auto& reader : queue.waiting_reads) reader();
  }
  for (auto& each : confirmations) each(false);
}

ReplicatedStore::SlotView ReplicatedStore::slot_view(std::uint32_t slot) const {
  const SlotOwnership& ownership = slot_ownership_[slot];
  return SlotView{slot_replicas_[slot].installed,
                  ownership.state == SlotOwnership::State::owned ? ownership.epoch : Epoch{},
                  slot_replicas_[slot].digest};
}

std::size_t ReplicatedStore::removed_lots() const {
  std::size_t count = 0;
  for (const auto& replica : slot_replicas_) count += replica.removed_lots;
  return count;
}

// The owner of a slot with many tombstones of lots takes the slot over again under a higher epoch, which drops them.
void ReplicatedStore::purge_removed_lots() {
  for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    if (slot_ownership_[slot].state == SlotOwnership::State::owned &&
        slot_replicas_[slot].removed_lots >= max_removed_lots)
      step_down(slot, Duration{});
}

}  // namespace mothwalk
