// Changes of keys at their owner: one at a time for each key, answered when a majority has them on disk.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;

bool newsy(StringView key) {
  return !lot_key(key);
}
}  // namespace

void ReplicatedStore::write(Write request, ReplyCallback<WriteReply> answer) {
  const std::uint32_t slot = slot_of(request.key);
  Owned& owned = owned_[slot];
  if (owned.state != Owned::State::owned || owned.roster != roster_.version || !keeps_key(request.key))
    return answer(moved());
  if (request.fence && *request.fence != owned.epoch.value)
    return answer(Error{ErrorKind::stale, "fence", "the slot is owned under another epoch", "read the state again"});
  Queue& queue = owned.queues[request.key];
  if (queue.pending.size() >= 4096)
    return answer(Error{ErrorKind::refused, "key", "too many changes of this key wait", "try again in a second"});
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
      first.answer(Error{ErrorKind::stale, "version",
                         "the version is not current; it is " + std::to_string(absent ? 0 : before.version.value),
                         "read the resource again and apply your change to that version"});
      continue;
    }
    if (absent && (first.write.removed || (!first.write.head && !first.write.appends.empty()))) {
      first.answer(Error{ErrorKind::unknown_name, "name", "there is nothing of this name", "check the name"});
      continue;
    }
    if (absent && !key.starts_with("roster") && !log_.has_room(first.write.growth)) {
      ++counts_.refused_for_room;
      first.answer(Error{ErrorKind::refused, "disk", "there is no room on the disk for anything new",
                         "try again later; what is kept may be changed and removed meanwhile"});
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
    if ((absent && record != nullptr) || (first.write.replaces_entries && first.write.head)) change.full = true;
    std::vector<ReplyCallback<WriteReply>> answers{first.answer};
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
      if (auto next = from_json<Roster>(*change.head); !error_of(next)) also = std::get<Roster>(next);
    queue.busy = true;
    const Epoch epoch = owned.epoch;
    commit(slot, change, also, [this, slot, key, epoch, answers, stamp = change.stamp](bool good) {
      Owned& now_owned = owned_[slot];
      if (!good || now_owned.state != Owned::State::owned || now_owned.epoch != epoch) {
        if (now_owned.state == Owned::State::owned && now_owned.epoch == epoch) step_down(slot, Duration{});
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
  std::vector<Voter> seats = roster_.seats;
  for (const auto& seat : also.seats)
    if (!roster_.seated(seat.holder)) seats.push_back(seat);
  count->left = seats.size();
  const Epoch epoch = owned_[slot].epoch;
  auto acknowledged = [this, count, slot, epoch, done](const Voter& seat, bool good) {
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
                 messenger_.send(seat.address, RosterUpdate{roster_, self_.keeps});
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

}  // namespace mothwalk
