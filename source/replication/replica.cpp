// The side of a replica: promises to one owner under an epoch, and what that owner sends to be stored.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
}  // namespace

void ReplicatedStore::on_who(ReplyCallback<IdentifyReply> answer) {
  answer(IdentifyReply{identity_, self_.address, self_.zone, roster_});
}

void ReplicatedStore::on_promise(Promise promise, ReplyCallback<PromiseReply> answer) {
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
  DiskEntry entry{.what = "promise", .holder = promise.owner, .slot = promise.slot, .epoch = promise.epoch};
  persist(std::move(entry), [this, promise, answer] {
    const Held& kept = held_[promise.slot];
    PromiseReply reply{kept.promised == promise.epoch, kept.promised, kept.installed, roster_, {}, {}};
    std::map<StringView, const RecordStamp*> have;
    for (const auto& each : promise.have) have[each.key] = &each;
    std::size_t size = 0;
    for (const auto& [key, record] : kept.records) {
      auto found = have.find(key);
      if (found != have.end() && found->second->stamp >= record.stamp) continue;
      const bool same = found != have.end() && found->second->written == record.written;
      if (!same) size += size_of(record);
      if (!same && size <= longest_promise)
        reply.records.push_back(record);
      else
        reply.more.push_back(RecordStamp{key, record.stamp, record.written});
    }
    answer(std::move(reply));
  });
}

bool ReplicatedStore::accepts(const StorageNodeId& target, const StorageNodeId& owner, std::uint32_t slot, Epoch epoch,
                              Version roster, const ReplyCallback<StoreReply>& answer) {
  if (target != identity_ || slot >= slot_count) {
    answer(not_me());
    return false;
  }
  Held& held = held_[slot];
  if (epoch < held.promised || (epoch == held.promised && owner != held.promised_to)) {
    answer(StoreReply{"refused", held.promised, {}, {}});
    return false;
  }
  if (roster != roster_.version) {
    answer(StoreReply{"roster", held.promised, roster_, {}});
    return false;
  }
  return true;
}

// A full disk is no broken one: the holder keeps what it has, and answers for it.
StoreReply ReplicatedStore::no_room(const Held& held) {
  ++counts_.stores_refused_for_room;
  return StoreReply{"refused", held.promised, {}, {}};
}

void ReplicatedStore::raise_promise(std::uint32_t slot, Epoch epoch, const StorageNodeId& owner) {
  Held& held = held_[slot];
  if (epoch <= held.promised) return;
  held.promised = epoch;
  held.promised_to = owner;
  if (owner != identity_ && owned_[slot].state != Owned::State::none) step_down(slot, milliseconds(500));
  persist(DiskEntry{.what = "promise", .holder = owner, .slot = slot, .epoch = epoch}, [] {});
}

void ReplicatedStore::on_store(Store store, ReplyCallback<StoreReply> answer) {
  if (!accepts(store.target, store.owner, store.slot, store.epoch, store.roster, answer)) return;
  raise_promise(store.slot, store.epoch, store.owner);
  Held& held = held_[store.slot];
  auto found = held.records.find(store.change.key);
  const Stamp have = found == held.records.end() ? Stamp{} : found->second.stamp;
  if (have >= store.change.stamp) return log_.when_synced([answer] { answer(StoreReply{"stored", {}, {}, {}}); });
  if (!store.change.full && have != store.change.before) return answer(StoreReply{"behind", held.promised, {}, {}});
  if (!has_room(size_of(store.change))) return answer(no_room(held));
  apply(held, store.change);
  const bool roster_change = store.change.key == "roster" && store.change.head;
  DiskEntry entry{.what = "change", .slot = store.slot, .epoch = store.epoch, .change = std::move(store.change)};
  if (roster_change)
    if (auto next = from_json<Roster>(*entry.change.head); !error_of(next)) adopt(std::get<Roster>(next));
  persist(std::move(entry), [answer] { answer(StoreReply{"stored", {}, {}, {}}); });
}

void ReplicatedStore::on_install(Install install, ReplyCallback<StoreReply> answer) {
  if (!accepts(install.target, install.owner, install.slot, install.epoch, install.roster, answer)) return;
  raise_promise(install.slot, install.epoch, install.owner);
  Held& held = held_[install.slot];
  auto missing = this->install(held, install.epoch, install.content);
  if (!missing.empty()) return answer(StoreReply{"behind", held.promised, {}, std::move(missing)});
  DiskEntry entry{.what = "handover",
                  .holder = install.owner,
                  .slot = install.slot,
                  .epoch = install.epoch,
                  .content = std::move(install.content)};
  persist(std::move(entry), [answer] { answer(StoreReply{"stored", {}, {}, {}}); });
}

void ReplicatedStore::on_copies(Copies copies, ReplyCallback<StoreReply> answer) {
  if (!accepts(copies.target, copies.owner, copies.slot, copies.epoch, copies.roster, answer)) return;
  raise_promise(copies.slot, copies.epoch, copies.owner);
  Held& held = held_[copies.slot];
  std::erase_if(copies.records, [&](const Record& record) { return !newer(held, record); });
  std::size_t size = 0;
  for (const auto& record : copies.records) size += size_of(record);
  if (!has_room(size)) return answer(no_room(held));
  DiskEntry entry{.what = "copies", .holder = copies.owner, .slot = copies.slot, .epoch = copies.epoch};
  entry.records = copies.records;
  put_copies(held, std::move(copies.records));
  persist(std::move(entry), [answer] { answer(StoreReply{"stored", {}, {}, {}}); });
}

void ReplicatedStore::on_confirm(Confirm confirm, ReplyCallback<StoreReply> answer) {
  if (accepts(confirm.target, confirm.owner, confirm.slot, confirm.epoch, confirm.roster, answer))
    answer(StoreReply{"stored", {}, {}, {}});
}

void ReplicatedStore::on_roster_news(RosterUpdate news) {
  if (news.keeps == self_.keeps && news.roster.version > roster_.version) adopt(news.roster);
}

void ReplicatedStore::on_settled(SyncStatus settled, ReplyCallback<SyncStatusReply> answer) {
  SyncStatusReply reply;
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
}

void ReplicatedStore::on_digests(ReplyCallback<DigestsReply> answer) {
  DigestsReply reply;
  for (const auto& held : held_) reply.digests.push_back(held.digest);
  answer(std::move(reply));
}

void ReplicatedStore::on_range(Range range, ReplyCallback<RangeReply> answer) {
  RangeReply reply;
  if (range.slot < slot_count)
    for (const auto& [key, record] : held_[range.slot].records)
      reply.stamps.push_back(Record{key, record.stamp, record.removed, {}, {}, {}, record.written});
  answer(std::move(reply));
}

void ReplicatedStore::on_fetch_records(FetchRecords fetch, ReplyCallback<RecordsReply> answer) {
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
}

}  // namespace mothwalk
