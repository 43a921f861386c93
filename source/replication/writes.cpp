// Writes at the owner of a key: one change at a time per key, each replied to once a majority has it on disk.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;

// Only control state is distributed by gossip, lots are not.
bool is_gossiped(StringView key) {
  return !is_lot_key(key);
}
}  // namespace

void ReplicatedStore::write(Write request, ReplyCallback<WriteReply> respond) {
  const std::uint32_t slot = slot_of(request.key);
  SlotOwnership& ownership = slot_ownership_[slot];
  if (ownership.state != SlotOwnership::State::owned || ownership.roster != roster_.version || !stores_key(request.key))
    return respond(not_owner());
  if (request.fence && *request.fence != ownership.epoch.value)
    return respond(
        Error{ErrorKind::stale, "fence", "the slot is now owned under another epoch", "read the state again"});
  Queue& queue = ownership.queues[request.key];
  if (queue.pending.size() >= 4096)
    return respond(
        Error{ErrorKind::refused, "key", "4096 changes of this key are already waiting", "try again in a second"});
  const std::string key = request.key;
  queue.pending.push_back(PendingWrite{std::move(request), std::move(respond)});
  process_queue(slot, key);
}

void ReplicatedStore::process_queue(std::uint32_t slot, const std::string& key) {
  SlotOwnership& ownership = slot_ownership_[slot];
  Queue& queue = ownership.queues[key];
  if (queue.busy) return;
  while (!queue.pending.empty()) {
    auto found = slot_replicas_[slot].records.find(key);
    const Record* record = found == slot_replicas_[slot].records.end() ? nullptr : &found->second;
    const Stamp before = record == nullptr ? Stamp{} : record->stamp;
    PendingWrite first = std::move(queue.pending.front());
    queue.pending.pop_front();
    const bool absent = record == nullptr || record->removed;
    if (!first.write.token.empty() && record != nullptr && record->token == first.write.token) {
      first.respond(WriteReply{record->stamp, record->entries.size()});
      continue;
    }
    if (first.write.expected && *first.write.expected != (absent ? 0 : before.version.value)) {
      first.respond(Error{ErrorKind::stale, "version",
                          "the version is not current; it is " + std::to_string(absent ? 0 : before.version.value),
                          "read the resource again and apply your change to that version"});
      continue;
    }
    if (absent && (first.write.removed || (!first.write.head && !first.write.appends.empty()))) {
      first.respond(Error{ErrorKind::unknown_name, "name", "the name does not exist", "check the name"});
      continue;
    }
    if (absent && !key.starts_with("roster") && !log_.has_room(first.write.growth)) {
      ++counts_.refused_for_room;
      first.respond(Error{ErrorKind::refused, "disk", "the disk has no room for new records",
                          "try again later; existing records can still be changed and removed"});
      continue;
    }
    Change change{key,
                  before,
                  Stamp{ownership.epoch, before.version.next()},
                  false,
                  first.write.removed,
                  first.write.head,
                  first.write.appends,
                  first.write.token,
                  {}};
    if ((absent && record != nullptr) || (first.write.replaces_entries && first.write.head)) change.full = true;
    std::vector<ReplyCallback<WriteReply>> callbacks{first.respond};
    // Waiting writes that only append, without a condition or a token, are combined into one change.
    const bool only_appends = !first.write.head && !first.write.removed;
    while (only_appends && !queue.pending.empty() && !queue.pending.front().write.head &&
           !queue.pending.front().write.removed && !queue.pending.front().write.expected &&
           queue.pending.front().write.token.empty()) {
      for (auto& each : queue.pending.front().write.appends) change.appends.push_back(std::move(each));
      callbacks.push_back(std::move(queue.pending.front().respond));
      queue.pending.pop_front();
    }
    Roster new_roster;
    if (key == "roster" && change.head)
      if (auto next = from_json<Roster>(*change.head); !error_of(next)) new_roster = std::get<Roster>(next);
    queue.busy = true;
    const Epoch epoch = ownership.epoch;
    commit(slot, change, new_roster, [this, slot, key, epoch, callbacks, stamp = change.stamp](bool succeeded) {
      SlotOwnership& current_ownership = slot_ownership_[slot];
      if (!succeeded || current_ownership.state != SlotOwnership::State::owned || current_ownership.epoch != epoch) {
        if (current_ownership.state == SlotOwnership::State::owned && current_ownership.epoch == epoch)
          step_down(slot, Duration{});
        for (auto& respond : callbacks) respond(ownership_lost());
        return;
      }
      ++commits_;
      const Record& record = slot_replicas_[slot].records[key];
      if (is_gossiped(key)) push_to_gossip({&record});
      Queue& queue_done = current_ownership.queues[key];
      queue_done.busy = false;
      auto waiting_reads = std::move(queue_done.waiting_reads);
      queue_done.waiting_reads.clear();
      for (auto& respond : callbacks) respond(WriteReply{stamp, record.entries.size()});
      for (auto& reader : waiting_reads) reader();
      if (slot_ownership_[slot].state == SlotOwnership::State::owned) {
        process_queue(slot, key);
        auto idle_queue = slot_ownership_[slot].queues.find(key);
        if (idle_queue != slot_ownership_[slot].queues.end() && !idle_queue->second.busy &&
            idle_queue->second.pending.empty() && idle_queue->second.waiting_reads.empty())
          slot_ownership_[slot].queues.erase(idle_queue);
      }
    });
    return;
  }
}

void ReplicatedStore::commit(std::uint32_t slot, const Change& change, const Roster& new_roster,
                             std::function<void(bool)> done) {
  struct Acknowledgements {
    std::size_t old_acks = 0, new_acks = 0, outstanding = 0;
    bool finished = false;
    Roster old_roster, new_roster;
  };
  auto acks = std::make_shared<Acknowledgements>();
  acks->old_roster = roster_;
  acks->new_roster = new_roster;
  std::vector<Voter> voters = roster_.voters;
  for (const auto& voter : new_roster.voters)
    if (!roster_.has_voter(voter.holder)) voters.push_back(voter);
  acks->outstanding = voters.size();
  const Epoch epoch = slot_ownership_[slot].epoch;
  auto on_voter_done = [this, acks, slot, epoch, done](const Voter& voter, bool succeeded) {
    --acks->outstanding;
    if (acks->finished) return;
    if (succeeded) {
      acks->old_acks += acks->old_roster.has_voter(voter.holder);
      acks->new_acks += acks->new_roster.has_voter(voter.holder);
    }
    const bool enough = acks->old_acks >= acks->old_roster.majority() &&
                        (acks->new_roster.voters.empty() || acks->new_acks >= acks->new_roster.majority());
    if (!enough && acks->outstanding > 0) return;
    acks->finished = true;
    done(enough);
  };
  const Version roster_version = roster_.version;
  for (const auto& voter : voters) {
    Store store{{}, {}, slot, epoch, roster_version, change};
    request_voter(voter, store, peer_timeout,
                  [this, voter, slot, epoch, change, roster_version, on_voter_done](Result<StoreReply> result) {
                    auto* reply = std::get_if<StoreReply>(&result);
                    if (reply == nullptr) return on_voter_done(voter, false);
                    if (reply->outcome == "refused" && reply->epoch > epoch &&
                        slot_ownership_[slot].state == SlotOwnership::State::owned &&
                        slot_ownership_[slot].epoch == epoch) {
                      step_down(slot, milliseconds(500));
                      return on_voter_done(voter, false);
                    }
                    if (reply->outcome == "roster" && reply->roster.version < roster_version)
                      messenger_.send(voter.address, RosterUpdate{roster_, self_.keeps});
                    if (reply->outcome == "roster" && reply->roster.version > roster_.version)
                      adopt_roster(reply->roster);
                    if (reply->outcome == "stored") return on_voter_done(voter, true);
                    if (reply->outcome == "refused") return on_voter_done(voter, false);
                    // The voter's record is behind, or its roster is older: send the complete record once more.
                    auto found = slot_replicas_[slot].records.find(change.key);
                    if (found == slot_replicas_[slot].records.end() || found->second.stamp != change.stamp)
                      return on_voter_done(voter, false);
                    const Record& record = found->second;
                    Change full{record.key,     {},           record.stamp,  true, record.removed, record.head,
                                record.entries, record.token, record.written};
                    request_voter(voter, Store{{}, {}, slot, epoch, roster_version, full}, peer_timeout,
                                  [voter, on_voter_done](Result<StoreReply> second) {
                                    auto* stored = std::get_if<StoreReply>(&second);
                                    on_voter_done(voter, stored != nullptr && stored->outcome == "stored");
                                  });
                  });
  }
}

}  // namespace mothwalk
