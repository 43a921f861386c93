// Taking a slot over under a higher epoch: promises of a majority, the newest records, and their installation.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
}  // namespace

void ReplicatedStore::take(std::uint32_t slot) {
  Owned& owned = owned_[slot];
  owned.state = Owned::State::taking;
  owned.roster = roster_.version;
  const Epoch epoch{std::max(held_[slot].promised, owned.epoch).value + 1};
  owned.epoch = epoch;
  struct Round {
    std::vector<std::pair<Voter, PromiseReply>> replies;
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
          if (reply->epoch >= epoch) return fail_takeover(slot, "refused", refused_pause(now_owned));
        }
      }
      if (round->left == 0) fail_takeover(slot, "no majority promised", milliseconds(100 + random_.below(300)));
    });
}

void ReplicatedStore::fail_takeover(std::uint32_t slot, const std::string& reason, Duration pause) {
  ++counts_.takeovers_failed[reason];
  step_down(slot, pause);
}

// A seat that is new to a slot learns the epoch in force by its first refusal and may go on at once; further refusals
// mean that another one is taking the slot as well.
Duration ReplicatedStore::refused_pause(Owned& owned) {
  if (owned.refusals++ == 0) return Duration{};
  return milliseconds(200 + random_.below(600));
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
  const Voter from = taking->lacking.begin()->second.second;
  FetchRecords fetch{slot, {}};
  for (const auto& [key, each] : taking->lacking)
    if (each.second == from) fetch.keys.push_back(key);
  messenger_.request(from.address, fetch, peer_timeout, [this, slot, epoch, taking](Result<RecordsReply> result) {
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
    if (taking->lacking.size() == before)
      return fail_takeover(slot, "records not fetched", milliseconds(100 + random_.below(300)));
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
  for (const auto& seat : std::vector<Voter>(roster_.seats)) install_at(seat, slot, epoch, roster, taking, 3);
}

void ReplicatedStore::install_at(const Voter& seat, std::uint32_t slot, Epoch epoch, Version roster,
                                 TakingPointer taking, int times) {
  ask_seat(seat, Install{{}, {}, slot, epoch, roster, taking->content}, peer_timeout,
           [this, seat, slot, epoch, roster, taking, times](Result<StoreReply> result) {
             Owned& owned = owned_[slot];
             if (owned.state == Owned::State::none || owned.epoch != epoch) return;
             auto* reply = std::get_if<StoreReply>(&result);
             if (reply != nullptr && reply->outcome == "behind" && times > 1)
               return queue_transfer(std::make_shared<Transfer>(Transfer{
                   seat, slot, epoch, roster, taking, {reply->missing.begin(), reply->missing.end()}, times - 1}));
             --taking->left;
             if (reply != nullptr && reply->outcome == "stored") {
               ++taking->stored;
               owned.whole.insert(seat.holder);
             }
             if (reply != nullptr && reply->roster.version > roster_.version) adopt(reply->roster);
             if (owned.state != Owned::State::taking) return;
             if (taking->stored >= roster_.majority() && roster_.version == roster) {
               if (held_[slot].installed != epoch) {
                 if (taking->left == 0) fail_takeover(slot, "own copy behind", milliseconds(100));
                 return;
               }
               owned.state = Owned::State::owned;
               owned.refusals = 0;
               ++counts_.takeovers;
               publish();
               std::vector<const Record*> news;
               for (const auto& [key, record] : held_[slot].records) news.push_back(&record);
               return spread(news);
             }
             if (taking->left == 0)
               fail_takeover(slot, "no majority installed", milliseconds(100 + random_.below(300)));
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
      if (owned.state != Owned::State::owned || owned.roster != roster_.version || owned.whole.contains(seat.holder) ||
          transferring(seat.holder, slot))
        continue;
      auto taking = std::make_shared<Taking>();
      for (const auto& [key, record] : held_[slot].records)
        taking->content.push_back(RecordStamp{key, record.stamp, record.written});
      taking->left = 1;
      install_at(seat, slot, owned.epoch, roster_.version, taking, 2);
    }
  }
}

}  // namespace mothwalk
