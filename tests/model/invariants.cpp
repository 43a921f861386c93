// Each invariant has a function of its own.
#include "model/invariants.hpp"

#include <algorithm>

#include "coding/cbor.hpp"

namespace mothwalk::model {

namespace {
constexpr Duration max_gossip_age = std::chrono::seconds(2);
constexpr Duration min_call_timeout = std::chrono::milliseconds(250);  // each call waits at least this long

std::string text_of(Stamp stamp) {
  return std::to_string(stamp.epoch.value) + "." + std::to_string(stamp.version.value);
}

std::map<std::string, Stamp> stamps_of(const ConfigurationView& view) {
  std::map<std::string, Stamp> stamps;
  stamps[std::string(listing_key)] = view.listing;
  stamps[std::string(configuration_key)] = view.fleet.stamp;
  return stamps;
}

// Returns whether every majority of one roster has a voter in common with every majority of the other.
bool majorities_overlap(const Roster& first, const Roster& second) {
  std::set<StorageNodeId> all;
  for (const auto& voter : first.voters) all.insert(voter.holder);
  for (const auto& voter : second.voters) all.insert(voter.holder);
  return first.majority() + second.majority() > all.size();
}
}  // namespace

void Invariants::fail(const std::string& invariant, const std::string& text) {
  if (violation_) return;
  violation_ = Violation{invariant, "at " + std::to_string(cluster_->scheduler.milliseconds()) + " ms: " + text};
}

void Invariants::on_request(const Machine& from, const Machine&, const Envelope& envelope) {
  if (envelope.kind == Promise::kind) {
    if (auto promise = from_cbor<Promise>(envelope.body)) check_roster(promise->roster, from);
  } else if (envelope.kind == FoundRoster::kind) {
    if (auto found = from_cbor<FoundRoster>(envelope.body)) check_roster(found->roster, from);
  } else if (envelope.kind == Store::kind) {
    if (auto store = from_cbor<Store>(envelope.body)) owner_rosters_[{from.setup.name, store->slot}] = store->roster;
  }
}

void Invariants::on_reply(const Machine& from, const Machine&, const Request& request, const Envelope& envelope) {
  if (envelope.kind != "reply") return;
  if (request.kind == Promise::kind) {
    auto promise = from_cbor<Promise>(request.body);
    auto reply = from_cbor<PromiseReply>(envelope.body);
    if (promise && reply) on_promise_reply(*promise, *reply, from);
  } else if (request.kind == Store::kind) {
    on_store_reply<Store>(request, envelope, from);
  } else if (request.kind == Install::kind) {
    on_store_reply<Install>(request, envelope, from);
  } else if (request.kind == Confirm::kind) {
    on_store_reply<Confirm>(request, envelope, from);
  } else if (request.kind == Write::kind) {
    auto write = from_cbor<Write>(request.body);
    auto reply = from_cbor<WriteReply>(envelope.body);
    if (write && reply) on_write_reply(*write, *reply, from);
  }
}

// A client with a call in progress must not accept a reply to a call of its previous incarnation.
void Invariants::on_former_reply(const Machine& from, const Machine& to, const Request& request,
                                 const Envelope& envelope) {
  if (request.to != from.address || cluster_->scheduler.now() - request.sent > min_call_timeout) return;
  fail("answer-of-former-life", to.setup.name + " waits for a reply of " + from.setup.name + " to " + request.kind +
                                    " and gets the reply to call " + std::to_string(envelope.call) +
                                    " of its previous incarnation");
}

// The promised epoch of a storage node never decreases, not even after a restart. A wiped data folder gets a new
// identity, so the promises of the old one remain valid for ever.
void Invariants::on_promise_reply(const Promise& promise, const PromiseReply& reply, const Machine& replica) {
  if (!reply.granted || reply.epoch != promise.epoch) return;
  const auto [entry, inserted] =
      promises_.try_emplace({promise.target, promise.slot}, GrantedPromise{promise.epoch, promise.owner});
  GrantedPromise& granted_promise = entry->second;
  if (!inserted && (promise.epoch < granted_promise.epoch ||
                    (promise.epoch == granted_promise.epoch && promise.owner != granted_promise.owner)))
    return fail("promise-went-back", replica.setup.name + " promised epoch " + std::to_string(promise.epoch.value) +
                                         " of slot " + std::to_string(promise.slot) + " to " + promise.owner.text +
                                         " after epoch " + std::to_string(granted_promise.epoch.value) + " to " +
                                         granted_promise.owner.text);
  granted_promise = GrantedPromise{promise.epoch, promise.owner};
}

template <class Message>
void Invariants::on_store_reply(const Request& request, const Envelope& envelope, const Machine& replica) {
  auto message = from_cbor<Message>(request.body);
  auto reply = from_cbor<StoreReply>(envelope.body);
  if (!message || !reply || reply->outcome != "stored") return;
  GrantedPromise& granted_promise = promises_[{message->target, message->slot}];
  if (message->epoch < granted_promise.epoch ||
      (message->epoch == granted_promise.epoch && message->owner != granted_promise.owner))
    return fail("deposed-owner-served", replica.setup.name + " accepted " + std::string(Message::kind) + " of slot " +
                                            std::to_string(message->slot) + " under epoch " +
                                            std::to_string(message->epoch.value) + " after promising " +
                                            std::to_string(granted_promise.epoch.value));
  if constexpr (!std::is_same_v<Message, Confirm>)
    if (message->epoch > granted_promise.epoch) granted_promise = GrantedPromise{message->epoch, message->owner};
}

// An acknowledged write is on the disks of a majority of the owner's roster, not counting disks that were wiped since.
void Invariants::on_write_reply(const Write& write, const WriteReply& reply, const Machine& owner) {
  const std::uint32_t slot = slot_of(write.key);
  acknowledged_[write.key].emplace_back(cluster_->scheduler.now(), reply.stamp);
  auto version = owner_rosters_.find({owner.setup.name, slot});
  if (version == owner_rosters_.end()) return;
  auto roster = rosters_.find(version->second);
  if (roster == rosters_.end()) return;
  std::size_t copies = 0;
  for (const auto& voter : roster->second.voters) {
    const Machine* replica = cluster_->at(voter.address);
    const DecodedFile& file = replica->disk.synced();
    auto found = file.slots[slot].stamps.find(write.key);
    const bool may_be_dropped = write.removed && is_lot_key(write.key);  // a later transfer drops removed records
    copies += file.identity == voter.holder &&
              (found == file.slots[slot].stamps.end() ? may_be_dropped && file.slots[slot].installed > reply.stamp.epoch
                                                      : found->second >= reply.stamp);
  }
  if (copies + wipes_ < roster->second.majority())
    fail("acknowledged-before-majority", owner.setup.name + " acknowledged " + write.key + " at " +
                                             text_of(reply.stamp) + " with " + std::to_string(copies) + " of " +
                                             std::to_string(roster->second.voters.size()) + " disks having it");
}

// There is one roster for each version, and every two majorities of rosters with consecutive versions overlap.
void Invariants::check_roster(const Roster& roster, const Machine& machine) {
  if (roster.voters.empty()) return;
  const auto [entry, inserted] = rosters_.try_emplace(roster.version, roster);
  if (!inserted && entry->second.voters != roster.voters)
    return fail("two-rosters", machine.setup.name + " has a different roster of version " +
                                   std::to_string(roster.version.value) + " than an earlier one");
  if (!inserted) return;
  for (const auto& [version, other] : rosters_)
    if ((version.value + 1 == roster.version.value || roster.version.value + 1 == version.value) &&
        !majorities_overlap(other, roster))
      fail("rosters-apart", "majorities of rosters " + std::to_string(version.value) + " and " +
                                std::to_string(roster.version.value) + " need not overlap");
}

void Invariants::on_start(Machine& machine) {
  Snapshot& snapshot = snapshots_[machine.setup.name];
  for (const auto& [key, stamp] : snapshot.stamps)
    gossip_stamps_[key][machine.setup.name].emplace_back(cluster_->scheduler.now(), Stamp{});
  snapshot = Snapshot{};
}

void Invariants::on_wipe(Machine&) {
  ++wipes_;
}

void Invariants::check(Machine& machine) {
  if (violation_ || !machine.running()) return;
  Snapshot& snapshot = snapshots_[machine.setup.name];
  check_owned(machine, snapshot);
  check_configuration(machine, snapshot);
  check_lease(machine, snapshot);
  count_state(machine);
}

// A slot has at most one owner per epoch.
void Invariants::check_owned(Machine& machine, Snapshot& snapshot) {
  auto owned = machine.shared_state().owned.get();
  if (owned == snapshot.owned) return;
  snapshot.owned = owned;
  const StorageNodeId& storage_node = machine.disk.ordered().identity;
  std::uint64_t hash = 0;
  for (const auto& [slot, epoch] : owned->slots) {
    hash = hash * 1000003 + slot * 7919 + epoch.value;
    const auto [entry, inserted] = owners_.try_emplace({slot, epoch}, storage_node);
    if (!inserted && entry->second != storage_node)
      fail("two-owners", machine.setup.name + " owns slot " + std::to_string(slot) + " under epoch " +
                             std::to_string(epoch.value) + ", which " + entry->second.text + " owned before");
  }
  snapshot.owned_hash = hash;
}

// A daemon never replaces a record by one with a lower stamp.
void Invariants::check_configuration(Machine& machine, Snapshot& snapshot) {
  auto configuration = machine.shared_state().configuration.get();
  if (configuration == snapshot.configuration) return;
  snapshot.configuration = configuration;
  const auto stamps = stamps_of(*configuration);
  std::uint64_t hash = configuration->roster.version.value;
  for (const auto& [key, stamp] : stamps) {
    hash = hash_of(key, hash + stamp.epoch.value * 1000003 + stamp.version.value);
    if (stamp < snapshot.stamps[key])
      fail("news-went-back", machine.setup.name + " applied " + key + " at " + text_of(stamp) + " after " +
                                 text_of(snapshot.stamps[key]));
    if (stamp == snapshot.stamps[key]) continue;
    snapshot.stamps[key] = stamp;
    gossip_stamps_[key][machine.setup.name].emplace_back(cluster_->scheduler.now(), stamp);
  }
  snapshot.configuration_hash = hash;
  check_roster(configuration->roster, machine);
  const Version version = configuration->roster.version;
  if (version.value > 0 && (newest_rosters_.empty() || newest_rosters_.back().second < version))
    newest_rosters_.emplace_back(cluster_->scheduler.now(), version);
}

// Returns the newest stamp that a majority of the roster's voters had received by gossip at the given time.
Stamp Invariants::newest_of_majority(const std::string& key, const Roster& roster, TimePoint time) const {
  auto of_key = gossip_stamps_.find(key);
  if (of_key == gossip_stamps_.end()) return {};
  std::vector<Stamp> stamps;
  for (const auto& voter : roster.voters) {
    Stamp stamp;
    if (auto times = of_key->second.find(cluster_->at(voter.address)->setup.name); times != of_key->second.end())
      for (const auto& [since, value] : times->second)
        if (since <= time) stamp = value;
    stamps.push_back(stamp);
  }
  std::sort(stamps.rbegin(), stamps.rend());
  return stamps[roster.majority() - 1];
}

// A daemon with a lease has a configuration at least as new as what a majority had two seconds ago.
void Invariants::check_lease(Machine& machine, const Snapshot& snapshot) {
  const TimePoint now = cluster_->scheduler.now();
  if (!machine.shared_state().has_lease(now)) return;
  const TimePoint limit = now + -max_gossip_age;
  Version version;
  for (const auto& [since, each] : newest_rosters_)
    if (since <= limit) version = each;
  auto roster = rosters_.find(version);
  if (roster == rosters_.end()) return;
  for (const auto& [key, machines] : gossip_stamps_) {
    const Stamp required = newest_of_majority(key, roster->second, limit);
    auto own = snapshot.stamps.find(key);
    const Stamp current = own == snapshot.stamps.end() ? Stamp{} : own->second;
    if (current < required)
      fail("stale-lease", machine.setup.name + " holds a lease with " + key + " at " + text_of(current) +
                              "; a majority had " + text_of(required) + " two seconds before");
  }
  for (const auto& [key, times] : acknowledged_) {
    if (is_lot_key(key)) continue;
    auto own = snapshot.stamps.find(key);
    const Stamp current = own == snapshot.stamps.end() ? Stamp{} : own->second;
    for (const auto& [time, stamp] : times)
      if (time <= limit && current < stamp)
        return fail("stale-after-acknowledgement", machine.setup.name + " holds a lease with " + key + " at " +
                                                       text_of(current) + "; " + text_of(stamp) +
                                                       " was acknowledged more than two seconds before");
  }
}

void Invariants::count_state(Machine& machine) {
  const Snapshot& snapshot = snapshots_[machine.setup.name];
  const DecodedFile& file = machine.disk.ordered();
  auto members = machine.shared_state().members.get();
  if (members != snapshot.members) {
    Snapshot& entry = snapshots_[machine.setup.name];
    entry.members = members;
    entry.members_hash = hash_of(members->session_server.text);
    for (const auto& [address, member] : members->all)
      entry.members_hash = hash_of(address.text, entry.members_hash + member.stalled + member.roster.value * 2);
  }
  std::uint64_t hash = hash_of(machine.setup.name, file.digest);
  for (const std::uint64_t part :
       {machine.disk.synced().digest, snapshot.owned_hash, snapshot.configuration_hash, snapshot.members_hash,
        static_cast<std::uint64_t>(machine.shared_state().has_lease(cluster_->scheduler.now()))})
    hash = (hash ^ part) * 0x9E3779B97F4A7C15ULL + (hash >> 29);
  std::uint64_t& entry = machine_hashes_[machine.setup.name];
  cluster_hash_ ^= entry ^ hash;
  entry = hash;
  state_hashes_.insert(cluster_hash_);
}

}  // namespace mothwalk::model
