// The replica's side of the protocol: promises to one owner under an epoch, and storing what that owner sends.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
}  // namespace

void ReplicatedStore::on_identify(ReplyCallback<IdentifyReply> respond) {
  respond(IdentifyReply{identity_, self_.address, self_.zone, roster_});
}

void ReplicatedStore::on_promise(Promise promise, ReplyCallback<PromiseReply> respond) {
  if (promise.target != identity_) return respond(wrong_target());
  if (promise.slot >= slot_count) return respond(wrong_target());
  SlotReplica& replica = slot_replicas_[promise.slot];
  if (promise.roster.version > roster_.version) adopt_roster(promise.roster);
  if (promise.roster.version < roster_.version || promise.epoch <= replica.promised)
    return respond(PromiseReply{false, replica.promised, replica.installed, roster_, {}, {}});
  replica.promised = promise.epoch;
  replica.promised_to = promise.owner;
  if (promise.owner != identity_ && slot_ownership_[promise.slot].state != SlotOwnership::State::none)
    step_down(promise.slot, milliseconds(500));
  DiskEntry entry{.what = "promise", .holder = promise.owner, .slot = promise.slot, .epoch = promise.epoch};
  append_to_log(std::move(entry), [this, promise, respond] {
    const SlotReplica& current_replica = slot_replicas_[promise.slot];
    PromiseReply reply{current_replica.promised == promise.epoch,
                       current_replica.promised,
                       current_replica.installed,
                       roster_,
                       {},
                       {}};
    std::map<StringView, const RecordStamp*> have;
    for (const auto& each : promise.have) have[each.key] = &each;
    std::size_t size = 0;
    for (const auto& [key, record] : current_replica.records) {
      auto found = have.find(key);
      if (found != have.end() && found->second->stamp >= record.stamp) continue;
      const bool same = found != have.end() && found->second->written == record.written;
      if (!same) size += size_of(record);
      if (!same && size <= max_promise_bytes)
        reply.records.push_back(record);
      else
        reply.more.push_back(RecordStamp{key, record.stamp, record.written});
    }
    respond(std::move(reply));
  });
}

bool ReplicatedStore::accepts(const StorageNodeId& target, const StorageNodeId& owner, std::uint32_t slot, Epoch epoch,
                              Version roster, const ReplyCallback<StoreReply>& respond) {
  if (target != identity_ || slot >= slot_count) {
    respond(wrong_target());
    return false;
  }
  SlotReplica& replica = slot_replicas_[slot];
  if (epoch < replica.promised || (epoch == replica.promised && owner != replica.promised_to)) {
    respond(StoreReply{"refused", replica.promised, {}, {}});
    return false;
  }
  if (roster != roster_.version) {
    respond(StoreReply{"roster", replica.promised, roster_, {}});
    return false;
  }
  return true;
}

// Refuses a change because the disk is full. The node goes on serving the records that it has.
StoreReply ReplicatedStore::refuse_no_room(const SlotReplica& replica) {
  ++counts_.stores_refused_for_room;
  return StoreReply{"refused", replica.promised, {}, {}};
}

void ReplicatedStore::raise_promise(std::uint32_t slot, Epoch epoch, const StorageNodeId& owner) {
  SlotReplica& replica = slot_replicas_[slot];
  if (epoch <= replica.promised) return;
  replica.promised = epoch;
  replica.promised_to = owner;
  if (owner != identity_ && slot_ownership_[slot].state != SlotOwnership::State::none)
    step_down(slot, milliseconds(500));
  append_to_log(DiskEntry{.what = "promise", .holder = owner, .slot = slot, .epoch = epoch}, [] {});
}

void ReplicatedStore::on_store(Store store, ReplyCallback<StoreReply> respond) {
  if (!accepts(store.target, store.owner, store.slot, store.epoch, store.roster, respond)) return;
  raise_promise(store.slot, store.epoch, store.owner);
  SlotReplica& replica = slot_replicas_[store.slot];
  auto found = replica.records.find(store.change.key);
  const Stamp have = found == replica.records.end() ? Stamp{} : found->second.stamp;
  if (have >= store.change.stamp) return log_.when_synced([respond] { respond(StoreReply{"stored", {}, {}, {}}); });
  if (!store.change.full && have != store.change.before) return respond(StoreReply{"behind", replica.promised, {}, {}});
  if (!has_room(size_of(store.change))) return respond(refuse_no_room(replica));
  apply(replica, store.change);
  const bool roster_change = store.change.key == "roster" && store.change.head;
  DiskEntry entry{.what = "change", .slot = store.slot, .epoch = store.epoch, .change = std::move(store.change)};
  if (roster_change)
    if (auto next = from_json<Roster>(*entry.change.head); !error_of(next)) adopt_roster(std::get<Roster>(next));
  append_to_log(std::move(entry), [respond] { respond(StoreReply{"stored", {}, {}, {}}); });
}

void ReplicatedStore::on_install(Install install, ReplyCallback<StoreReply> respond) {
  if (!accepts(install.target, install.owner, install.slot, install.epoch, install.roster, respond)) return;
  raise_promise(install.slot, install.epoch, install.owner);
  SlotReplica& replica = slot_replicas_[install.slot];
  auto missing = this->install(replica, install.epoch, install.content);
  if (!missing.empty()) return respond(StoreReply{"behind", replica.promised, {}, std::move(missing)});
  DiskEntry entry{.what = "handover",
                  .holder = install.owner,
                  .slot = install.slot,
                  .epoch = install.epoch,
                  .content = std::move(install.content)};
  append_to_log(std::move(entry), [respond] { respond(StoreReply{"stored", {}, {}, {}}); });
}

void ReplicatedStore::on_copies(CopyRecords copies, ReplyCallback<StoreReply> respond) {
  if (!accepts(copies.target, copies.owner, copies.slot, copies.epoch, copies.roster, respond)) return;
  raise_promise(copies.slot, copies.epoch, copies.owner);
  SlotReplica& replica = slot_replicas_[copies.slot];
  std::erase_if(copies.records, [&](const Record& record) { return !is_newer(replica, record); });
  std::size_t size = 0;
  for (const auto& record : copies.records) size += size_of(record);
  if (!has_room(size)) return respond(refuse_no_room(replica));
  DiskEntry entry{.what = "copies", .holder = copies.owner, .slot = copies.slot, .epoch = copies.epoch};
  entry.records = copies.records;
  put_newer_records(replica, std::move(copies.records));
  append_to_log(std::move(entry), [respond] { respond(StoreReply{"stored", {}, {}, {}}); });
}

void ReplicatedStore::on_confirm(Confirm confirm, ReplyCallback<StoreReply> respond) {
  if (accepts(confirm.target, confirm.owner, confirm.slot, confirm.epoch, confirm.roster, respond))
    respond(StoreReply{"stored", {}, {}, {}});
}

void ReplicatedStore::on_roster_update(RosterUpdate update) {
  if (update.keeps == self_.keeps && update.roster.version > roster_.version) adopt_roster(update.roster);
}

void ReplicatedStore::on_sync_status(SyncStatus sync_status, ReplyCallback<SyncStatusReply> respond) {
  SyncStatusReply reply;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    if (slot_ownership_[slot].state == SlotOwnership::State::owned &&
        slot_ownership_[slot].roster == sync_status.roster) {
      reply.slots.push_back(slot);
      reply.epochs.push_back(slot_ownership_[slot].epoch);
    }
  for (const auto& replica : slot_replicas_) {
    reply.installed.push_back(replica.installed);
    reply.digests.push_back(replica.digest);
  }
  respond(std::move(reply));
}

void ReplicatedStore::on_digests(ReplyCallback<DigestsReply> respond) {
  DigestsReply reply;
  for (const auto& replica : slot_replicas_) reply.digests.push_back(replica.digest);
  respond(std::move(reply));
}

void ReplicatedStore::on_range(ListStamps range, ReplyCallback<ListStampsReply> respond) {
  ListStampsReply reply;
  if (range.slot < slot_count)
    for (const auto& [key, record] : slot_replicas_[range.slot].records)
      reply.stamps.push_back(Record{key, record.stamp, record.removed, {}, {}, {}, record.written});
  respond(std::move(reply));
}

void ReplicatedStore::on_fetch_records(FetchRecords fetch, ReplyCallback<RecordsReply> respond) {
  RecordsReply reply;
  std::size_t size = 0;
  if (fetch.slot < slot_count)
    for (const auto& key : fetch.keys) {
      auto found = slot_replicas_[fetch.slot].records.find(key);
      if (found == slot_replicas_[fetch.slot].records.end()) continue;
      size += size_of(found->second);
      if (size > max_message_bytes && !reply.records.empty()) break;  // The requester asks again for the rest.
      reply.records.push_back(found->second);
    }
  respond(std::move(reply));
}

}  // namespace mothwalk
