// One function for each invariant.
#include "model/invariants.hpp"

#include <algorithm>

#include "coding/cbor.hpp"

namespace mothwalk::model {

namespace {
constexpr Duration oldest_news = std::chrono::seconds(2);
constexpr Duration surely_waiting = std::chrono::milliseconds(250);  // every call waits for longer

std::string text_of(Stamp stamp) {
  return std::to_string(stamp.epoch.value) + "." + std::to_string(stamp.version.value);
}

std::map<std::string, Stamp> stamps_of(const ConfigurationView& view) {
  std::map<std::string, Stamp> stamps;
  stamps[std::string(listing_key)] = view.listing;
  stamps[std::string(configuration_key)] = view.fleet.stamp;
  return stamps;
}

// Whether every majority of one roster meets every majority of the other.
bool majorities_meet(const Roster& first, const Roster& second) {
  std::set<StorageNodeId> all;
  for (const auto& seat : first.seats) all.insert(seat.holder);
  for (const auto& seat : second.seats) all.insert(seat.holder);
  return first.majority() + second.majority() > all.size();
}
}  // namespace

void Invariants::fail(const std::string& invariant, const std::string& text) {
  if (violation_) return;
  violation_ = Violation{invariant, "at " + std::to_string(cluster_->scheduler.milliseconds()) + " ms: " + text};
}

void Invariants::on_request(const Machine& from, const Machine&, const Envelope& envelope) {
  if (envelope.kind == Promise::kind) {
    if (auto promise = from_cbor<Promise>(envelope.body)) on_roster(promise->roster, from);
  } else if (envelope.kind == FoundRoster::kind) {
    if (auto found = from_cbor<FoundRoster>(envelope.body)) on_roster(found->roster, from);
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

// A caller that still waits takes no answer that was given to its former life.
void Invariants::on_former_reply(const Machine& from, const Machine& to, const Request& request,
                                 const Envelope& envelope) {
  if (request.to != from.address || cluster_->scheduler.now() - request.sent > surely_waiting) return;
  fail("answer-of-former-life", to.setup.name + " waits for an answer of " + from.setup.name + " to " + request.kind +
                                    " and gets the one to call " + std::to_string(envelope.call) +
                                    " of its former life");
}

// Promises never go back, neither over a restart nor for a folder that was wiped: the identity has them for ever.
void Invariants::on_promise_reply(const Promise& promise, const PromiseReply& reply, const Machine& replica) {
  if (!reply.granted || reply.epoch != promise.epoch) return;
  const auto [place, fresh] = granted_.try_emplace({promise.target, promise.slot}, Grant{promise.epoch, promise.owner});
  Grant& grant = place->second;
  if (!fresh && (promise.epoch < grant.epoch || (promise.epoch == grant.epoch && promise.owner != grant.owner)))
    return fail("promise-went-back", replica.setup.name + " promised epoch " + std::to_string(promise.epoch.value) +
                                         " of slot " + std::to_string(promise.slot) + " to " + promise.owner.text +
                                         " after epoch " + std::to_string(grant.epoch.value) + " to " +
                                         grant.owner.text);
  grant = Grant{promise.epoch, promise.owner};
}

template <class Message>
void Invariants::on_store_reply(const Request& request, const Envelope& envelope, const Machine& replica) {
  auto message = from_cbor<Message>(request.body);
  auto reply = from_cbor<StoreReply>(envelope.body);
  if (!message || !reply || reply->outcome != "stored") return;
  Grant& grant = granted_[{message->target, message->slot}];
  if (message->epoch < grant.epoch || (message->epoch == grant.epoch && message->owner != grant.owner))
    return fail("deposed-owner-served", replica.setup.name + " took " + std::string(Message::kind) + " of slot " +
                                            std::to_string(message->slot) + " under epoch " +
                                            std::to_string(message->epoch.value) + " after promising " +
                                            std::to_string(grant.epoch.value));
  if constexpr (!std::is_same_v<Message, Confirm>)
    if (message->epoch > grant.epoch) grant = Grant{message->epoch, message->owner};
}

// An acknowledged write is on the disks of a majority of the owner's roster, but for disks that were wiped since.
void Invariants::on_write_reply(const Write& write, const WriteReply& reply, const Machine& owner) {
  const std::uint32_t slot = slot_of(write.key);
  acknowledged_[write.key].emplace_back(cluster_->scheduler.now(), reply.stamp);
  auto version = owner_rosters_.find({owner.setup.name, slot});
  if (version == owner_rosters_.end()) return;
  auto roster = rosters_.find(version->second);
  if (roster == rosters_.end()) return;
  std::size_t holding = 0;
  for (const auto& seat : roster->second.seats) {
    const Machine* replica = cluster_->at(seat.address);
    const DecodedFile& file = replica->disk.synced();
    auto found = file.slots[slot].stamps.find(write.key);
    const bool forgotten = write.removed && lot_key(write.key);  // a later hand-over drops what is removed
    holding += file.identity == seat.holder &&
               (found == file.slots[slot].stamps.end() ? forgotten && file.slots[slot].installed > reply.stamp.epoch
                                                       : found->second >= reply.stamp);
  }
  if (holding + wipes_ < roster->second.majority())
    fail("acknowledged-before-majority", owner.setup.name + " acknowledged " + write.key + " at " +
                                             text_of(reply.stamp) + " with " + std::to_string(holding) + " of " +
                                             std::to_string(roster->second.seats.size()) + " disks holding it");
}

// One roster for each version, and majorities of neighbours meet.
void Invariants::on_roster(const Roster& roster, const Machine& machine) {
  if (roster.seats.empty()) return;
  const auto [place, fresh] = rosters_.try_emplace(roster.version, roster);
  if (!fresh && place->second.seats != roster.seats)
    return fail("two-rosters", machine.setup.name + " has another roster of version " +
                                   std::to_string(roster.version.value) + " than was seen before");
  if (!fresh) return;
  for (const auto& [version, other] : rosters_)
    if ((version.value + 1 == roster.version.value || roster.version.value + 1 == version.value) &&
        !majorities_meet(other, roster))
      fail("rosters-apart", "majorities of rosters " + std::to_string(version.value) + " and " +
                                std::to_string(roster.version.value) + " need not meet");
}

void Invariants::on_start(Machine& machine) {
  Seen& seen = seen_[machine.setup.name];
  for (const auto& [key, stamp] : seen.stamps)
    news_[key][machine.setup.name].emplace_back(cluster_->scheduler.now(), Stamp{});
  seen = Seen{};
}

void Invariants::on_wipe(Machine&) {
  ++wipes_;
}

void Invariants::check(Machine& machine) {
  if (violation_ || !machine.running()) return;
  Seen& seen = seen_[machine.setup.name];
  check_owned(machine, seen);
  check_configuration(machine, seen);
  check_lease(machine, seen);
  count_state(machine);
}

// One owner for each slot and epoch.
void Invariants::check_owned(Machine& machine, Seen& seen) {
  auto owned = machine.shared_state().owned.get();
  if (owned == seen.owned) return;
  seen.owned = owned;
  const StorageNodeId& holder = machine.disk.ordered().identity;
  std::uint64_t hash = 0;
  for (const auto& [slot, epoch] : owned->slots) {
    hash = hash * 1000003 + slot * 7919 + epoch.value;
    const auto [place, fresh] = owners_.try_emplace({slot, epoch}, holder);
    if (!fresh && place->second != holder)
      fail("two-owners", machine.setup.name + " owns slot " + std::to_string(slot) + " under epoch " +
                             std::to_string(epoch.value) + ", as " + place->second.text + " did");
  }
  seen.owned_hash = hash;
}

// No daemon applies a lower stamp for a key.
void Invariants::check_configuration(Machine& machine, Seen& seen) {
  auto configuration = machine.shared_state().configuration.get();
  if (configuration == seen.configuration) return;
  seen.configuration = configuration;
  const auto stamps = stamps_of(*configuration);
  std::uint64_t hash = configuration->roster.version.value;
  for (const auto& [key, stamp] : stamps) {
    hash = hash_of(key, hash + stamp.epoch.value * 1000003 + stamp.version.value);
    if (stamp < seen.stamps[key])
      fail("news-went-back",
           machine.setup.name + " applied " + key + " at " + text_of(stamp) + " after " + text_of(seen.stamps[key]));
    if (stamp == seen.stamps[key]) continue;
    seen.stamps[key] = stamp;
    news_[key][machine.setup.name].emplace_back(cluster_->scheduler.now(), stamp);
  }
  seen.configuration_hash = hash;
  on_roster(configuration->roster, machine);
  const Version version = configuration->roster.version;
  if (version.value > 0 && (newest_rosters_.empty() || newest_rosters_.back().second < version))
    newest_rosters_.emplace_back(cluster_->scheduler.now(), version);
}

// The newest stamp that the news of a majority of the roster's seats had at that time.
Stamp Invariants::of_majority(const std::string& key, const Roster& roster, TimePoint when) const {
  auto of_key = news_.find(key);
  if (of_key == news_.end()) return {};
  std::vector<Stamp> stamps;
  for (const auto& seat : roster.seats) {
    Stamp stamp;
    if (auto times = of_key->second.find(cluster_->at(seat.address)->setup.name); times != of_key->second.end())
      for (const auto& [since, value] : times->second)
        if (since <= when) stamp = value;
    stamps.push_back(stamp);
  }
  std::sort(stamps.rbegin(), stamps.rend());
  return stamps[roster.majority() - 1];
}

// A lease is only held with news that is not older than what a majority had two seconds ago.
void Invariants::check_lease(Machine& machine, const Seen& seen) {
  const TimePoint now = cluster_->scheduler.now();
  if (!machine.shared_state().has_lease(now)) return;
  const TimePoint then = now + -oldest_news;
  Version version;
  for (const auto& [since, each] : newest_rosters_)
    if (since <= then) version = each;
  auto roster = rosters_.find(version);
  if (roster == rosters_.end()) return;
  for (const auto& [key, machines] : news_) {
    const Stamp wanted = of_majority(key, roster->second, then);
    auto mine = seen.stamps.find(key);
    const Stamp have = mine == seen.stamps.end() ? Stamp{} : mine->second;
    if (have < wanted)
      fail("stale-lease", machine.setup.name + " holds a lease with " + key + " at " + text_of(have) +
                              "; a majority had " + text_of(wanted) + " two seconds before");
  }
  for (const auto& [key, times] : acknowledged_) {
    if (lot_key(key)) continue;
    auto mine = seen.stamps.find(key);
    const Stamp have = mine == seen.stamps.end() ? Stamp{} : mine->second;
    for (const auto& [when, stamp] : times)
      if (when <= then && have < stamp)
        return fail("stale-after-acknowledgement", machine.setup.name + " holds a lease with " + key + " at " +
                                                       text_of(have) + "; " + text_of(stamp) +
                                                       " was acknowledged more than two seconds before");
  }
}

void Invariants::count_state(Machine& machine) {
  const Seen& seen = seen_[machine.setup.name];
  const DecodedFile& file = machine.disk.ordered();
  auto members = machine.shared_state().members.get();
  if (members != seen.members) {
    Seen& place = seen_[machine.setup.name];
    place.members = members;
    place.members_hash = hash_of(members->session_server.text);
    for (const auto& [address, member] : members->all)
      place.members_hash = hash_of(address.text, place.members_hash + member.stalled + member.roster.value * 2);
  }
  std::uint64_t hash = hash_of(machine.setup.name, file.digest);
  for (const std::uint64_t part :
       {machine.disk.synced().digest, seen.owned_hash, seen.configuration_hash, seen.members_hash,
        static_cast<std::uint64_t>(machine.shared_state().has_lease(cluster_->scheduler.now()))})
    hash = (hash ^ part) * 0x9E3779B97F4A7C15ULL + (hash >> 29);
  std::uint64_t& place = machine_hashes_[machine.setup.name];
  state_ ^= place ^ hash;
  place = hash;
  states_.insert(state_);
}

}  // namespace mothwalk::model
