// Takeover of a slot under a higher epoch: the new owner gets promises from a majority, collects the newest records,
// and installs them at the voters.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
}  // namespace

void ReplicatedStore::start_takeover(std::uint32_t slot) {
  SlotOwnership& ownership = slot_ownership_[slot];
  ownership.state = SlotOwnership::State::taking_over;
  ownership.roster = roster_.version;
  const Epoch epoch{std::max(slot_replicas_[slot].promised, ownership.epoch).value + 1};
  ownership.epoch = epoch;
  struct Round {
    std::vector<std::pair<Voter, PromiseReply>> replies;
    std::size_t outstanding = 0;
    bool enough = false, own_granted = false;
  };
  auto round = std::make_shared<Round>();
  round->outstanding = roster_.voters.size();
  const std::size_t majority = roster_.majority();
  Promise promise{{}, {}, slot, epoch, roster_, {}};
  for (const auto& [key, record] : slot_replicas_[slot].records)
    promise.have.push_back(RecordStamp{key, record.stamp, record.written});
  for (const auto& voter : roster_.voters)
    request_voter(voter, promise, peer_timeout,
                  [this, voter, slot, epoch, round, majority](Result<PromiseReply> result) {
                    --round->outstanding;
                    SlotOwnership& current_ownership = slot_ownership_[slot];
                    if (round->enough || current_ownership.state != SlotOwnership::State::taking_over ||
                        current_ownership.epoch != epoch)
                      return;
                    if (auto* reply = std::get_if<PromiseReply>(&result)) {
                      if (reply->granted) {
                        round->replies.emplace_back(voter, std::move(*reply));
                        round->own_granted = round->own_granted || voter.holder == identity_;
                        // The node's own promise has to be among them, so that its own replica does not change any
                        // more.
                        if (round->replies.size() >= majority && round->own_granted) {
                          round->enough = true;
                          auto takeover = std::make_shared<Takeover>();
                          for (auto& [from, promise_reply] : round->replies) {
                            takeover->installed = std::max(takeover->installed, promise_reply.installed);
                            for (auto& record : promise_reply.records)
                              if (Record& candidate = takeover->newer_records[record.key];
                                  candidate.key.empty() || candidate.stamp < record.stamp)
                                candidate = std::move(record);
                            for (auto& each : promise_reply.more)
                              if (auto& candidate = takeover->to_fetch[each.key]; candidate.first.stamp < each.stamp)
                                candidate = {std::move(each), from};
                          }
                          return fetch_missing_records(slot, epoch, takeover);
                        }
                      } else {
                        if (reply->roster.version > roster_.version) adopt_roster(reply->roster);
                        if (reply->epoch > current_ownership.epoch) current_ownership.epoch = reply->epoch;
                        if (reply->epoch >= epoch)
                          return fail_takeover(slot, "refused", pause_after_refusal(current_ownership));
                      }
                    }
                    if (round->outstanding == 0)
                      fail_takeover(slot, "no majority promised", milliseconds(100 + random_.below(300)));
                  });
}

void ReplicatedStore::fail_takeover(std::uint32_t slot, const std::string& reason, Duration pause) {
  ++counts_.takeovers_failed[reason];
  step_down(slot, pause);
}

// A node that is new to a slot learns the current epoch from its first refusal and may retry at once. Further refusals
// mean that another node is taking over the same slot, so it waits for a random time.
Duration ReplicatedStore::pause_after_refusal(SlotOwnership& ownership) {
  if (ownership.refusals++ == 0) return Duration{};
  return milliseconds(200 + random_.below(600));
}

void ReplicatedStore::fetch_missing_records(std::uint32_t slot, Epoch epoch, TakeoverPointer takeover) {
  if (slot_ownership_[slot].state != SlotOwnership::State::taking_over || slot_ownership_[slot].epoch != epoch) return;
  const Records& own_records = slot_replicas_[slot].records;
  takeover->installed = std::max(takeover->installed, slot_replicas_[slot].installed);
  std::erase_if(takeover->to_fetch, [&](const auto& each) {
    auto newer_record = takeover->newer_records.find(each.first);
    auto own_record = own_records.find(each.first);
    const auto& [key, stamp, written] = each.second.first;
    if (stamp.epoch < takeover->installed ||
        (newer_record != takeover->newer_records.end() && newer_record->second.stamp >= stamp) ||
        (own_record != own_records.end() && own_record->second.stamp >= stamp))
      return true;
    if (own_record == own_records.end() || own_record->second.written != written) return false;
    takeover->raised_stamps[key] = stamp;
    return true;
  });
  if (takeover->to_fetch.empty()) return install_content(slot, epoch, takeover);
  const Voter from = takeover->to_fetch.begin()->second.second;
  FetchRecords fetch{slot, {}};
  for (const auto& [key, each] : takeover->to_fetch)
    if (each.second == from) fetch.keys.push_back(key);
  messenger_.request(from.address, fetch, peer_timeout, [this, slot, epoch, takeover](Result<RecordsReply> result) {
    if (slot_ownership_[slot].state != SlotOwnership::State::taking_over || slot_ownership_[slot].epoch != epoch)
      return;
    auto* reply = std::get_if<RecordsReply>(&result);
    const std::size_t before = takeover->to_fetch.size();
    if (reply != nullptr)
      for (auto& record : reply->records) {
        auto wanted = takeover->to_fetch.find(record.key);
        if (wanted == takeover->to_fetch.end() || wanted->second.first.stamp != record.stamp) continue;
        takeover->to_fetch.erase(wanted);
        takeover->newer_records[record.key] = std::move(record);
      }
    if (takeover->to_fetch.size() == before)
      return fail_takeover(slot, "records not fetched", milliseconds(100 + random_.below(300)));
    fetch_missing_records(slot, epoch, takeover);
  });
}

// Determines the complete content of the slot and sends each voter its keys and stamps. Voters that lack records get
// them by a state transfer.
void ReplicatedStore::install_content(std::uint32_t slot, Epoch epoch, TakeoverPointer takeover) {
  const Records& own_records = slot_replicas_[slot].records;
  std::map<std::string, std::pair<Stamp, const Record*>> newest;
  for (const auto& [key, record] : own_records)
    newest[key] = {std::max(record.stamp, takeover->raised_stamps[key]), &record};
  for (const auto& [key, record] : takeover->newer_records)
    if (auto& candidate = newest[key]; candidate.first < record.stamp) candidate = {record.stamp, &record};
  for (const auto& [key, each] : newest) {
    const auto& [stamp, record] = each;
    if (stamp.epoch < takeover->installed)
      continue;  // Not part of the last completed takeover, so never on a majority.
    // The takeover drops the tombstones of removed lots: older replicas of these lots are below the new epoch and are
    // ignored from now on.
    if (record->removed && is_lot_key(key)) continue;
    takeover->content.push_back(RecordStamp{key, stamp, record->written});
  }
  // Records that this node has itself are sent from its own replica.
  std::erase_if(takeover->newer_records, [&](const auto& each) { return newest[each.first].second != &each.second; });
  slot_ownership_[slot].installed_voters.clear();
  takeover->outstanding = roster_.voters.size();
  const Version roster = roster_.version;
  for (const auto& voter : std::vector<Voter>(roster_.voters))
    install_at_voter(voter, slot, epoch, roster, takeover, 3);
}

void ReplicatedStore::install_at_voter(const Voter& voter, std::uint32_t slot, Epoch epoch, Version roster,
                                       TakeoverPointer takeover, int attempts_left) {
  request_voter(
      voter, Install{{}, {}, slot, epoch, roster, takeover->content}, peer_timeout,
      [this, voter, slot, epoch, roster, takeover, attempts_left](Result<StoreReply> result) {
        SlotOwnership& ownership = slot_ownership_[slot];
        if (ownership.state == SlotOwnership::State::none || ownership.epoch != epoch) return;
        auto* reply = std::get_if<StoreReply>(&result);
        if (reply != nullptr && reply->outcome == "behind" && attempts_left > 1)
          return queue_transfer(std::make_shared<Transfer>(Transfer{voter,
                                                                    slot,
                                                                    epoch,
                                                                    roster,
                                                                    takeover,
                                                                    {reply->missing.begin(), reply->missing.end()},
                                                                    attempts_left - 1}));
        --takeover->outstanding;
        if (reply != nullptr && reply->outcome == "stored") {
          ++takeover->installed_count;
          ownership.installed_voters.insert(voter.holder);
        }
        if (reply != nullptr && reply->roster.version > roster_.version) adopt_roster(reply->roster);
        if (ownership.state != SlotOwnership::State::taking_over) return;
        if (takeover->installed_count >= roster_.majority() && roster_.version == roster) {
          if (slot_replicas_[slot].installed != epoch) {
            if (takeover->outstanding == 0) fail_takeover(slot, "own copy behind", milliseconds(100));
            return;
          }
          ownership.state = SlotOwnership::State::owned;
          ownership.refusals = 0;
          ++counts_.takeovers;
          publish_ownership();
          std::vector<const Record*> records;
          for (const auto& [key, record] : slot_replicas_[slot].records) records.push_back(&record);
          return push_to_gossip(records);
        }
        if (takeover->outstanding == 0)
          fail_takeover(slot, "no majority installed", milliseconds(100 + random_.below(300)));
      });
}

// Installs the owned slots at voters that missed the takeover, once they are reachable again.
void ReplicatedStore::install_at_lagging_voters() {
  const auto members = shared_state_.members.get();
  for (const auto& voter : roster_.voters) {
    const Member* member = members->storage_node(voter.holder);
    if (member == nullptr || member->stalled) continue;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
      SlotOwnership& ownership = slot_ownership_[slot];
      if (ownership.state != SlotOwnership::State::owned || ownership.roster != roster_.version ||
          ownership.installed_voters.contains(voter.holder) || transferring(voter.holder, slot))
        continue;
      auto takeover = std::make_shared<Takeover>();
      for (const auto& [key, record] : slot_replicas_[slot].records)
        takeover->content.push_back(RecordStamp{key, record.stamp, record.written});
      takeover->outstanding = 1;
      install_at_voter(voter, slot, ownership.epoch, roster_.version, takeover, 2);
    }
  }
}

}  // namespace mothwalk
