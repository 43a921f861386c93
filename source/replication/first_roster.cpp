// The first roster of a new fleet: with seeds that hold state, or by the word of seeds that may have no disk.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration founding_pause = milliseconds(1500);
constexpr Duration gathering_pause = milliseconds(1200), candidates_pause = milliseconds(700),
                   few_candidates_pause = milliseconds(4000), stranded_pause = milliseconds(2500);
constexpr std::size_t wanted_seats = 5, fewest_seats = 3;
}  // namespace

void ReplicatedStore::on_found(FoundRoster found, ReplyCallback<IdentifyReply> answer) {
  if (!lots_only() && roster_.seats.empty() && found.roster.seated(identity_)) {
    roster_ = found.roster;
    tell_seats();
    return persist(DiskEntry{.what = "roster", .roster = roster_}, [this, answer] {
      answer(IdentifyReply{identity_, self_.address, self_.zone, roster_});
    });
  }
  answer(IdentifyReply{identity_, self_.address, self_.zone, roster_});
}

void ReplicatedStore::found() {
  if (founding_ || std::find(seeds_.begin(), seeds_.end(), self_.address) == seeds_.end()) return;
  if (messenger_.timers().now() - started_ < founding_pause) return;
  // Any member that knows of a roster vetoes: this folder then joins.
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.roster.value > 0) return;
  founding_ = true;
  auto replies = std::make_shared<std::vector<IdentifyReply>>();
  auto left = std::make_shared<std::size_t>(seeds_.size());
  for (const Address& seed : seeds_)
    messenger_.request(seed, IdentifyRequest{}, milliseconds(500), [this, replies, left](Result<IdentifyReply> result) {
      if (auto* reply = std::get_if<IdentifyReply>(&result)) replies->push_back(std::move(*reply));
      if (--*left > 0) return;
      founding_ = false;
      for (const auto& reply : *replies)
        if (!reply.roster.seats.empty()) {
          if (roster_.seats.empty()) adopt(reply.roster);
          return;
        }
      if (replies->size() != seeds_.size() || !roster_.seats.empty()) return;
      Roster roster{Version{1}, {}};
      for (const auto& reply : *replies) {
        if (reply.holder.empty()) return;
        roster.seats.push_back(Voter{reply.holder, reply.address, reply.zone});
      }
      std::sort(roster.seats.begin(), roster.seats.end(),
                [](const Voter& first, const Voter& second) { return first.address < second.address; });
      if (roster.seats.front().address != self_.address) return;
      for (const auto& seat : roster.seats)
        messenger_.request(seat.address, FoundRoster{roster}, milliseconds(500), [](Result<IdentifyReply>) {});
    });
}

// The holders of control state gather at the seeds; the lowest of them proposes a roster of all to the seeds, one after
// the other, so that the first seed's word decides.
void ReplicatedStore::gather() {
  if (!*first_start_ || founding_ || seeds_.empty()) return;
  const TimePoint now = messenger_.timers().now();
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.roster.value > 0) return;
  founding_ = true;
  struct Round {
    std::vector<ReportReply> replies;
    std::size_t left = 0;
  };
  auto round = std::make_shared<Round>();
  round->left = seeds_.size();
  const Voter mine{identity_, self_.address, self_.zone, self_.name};
  for (const Address& seed : seeds_)
    messenger_.request(seed, ReportCandidate{mine}, milliseconds(400), [this, round, now](Result<ReportReply> result) {
      if (auto* reply = std::get_if<ReportReply>(&result)) round->replies.push_back(std::move(*reply));
      if (--round->left > 0) return;
      founding_ = false;
      std::map<StorageNodeId, Voter> candidates;
      Roster word;
      for (auto& reply : round->replies) {
        if (reply.known || !reply.first_start) return;
        for (auto& seat : reply.candidates) candidates[seat.holder] = seat;
        if (!reply.word.seats.empty()) word = std::move(reply.word);
      }
      if (round->replies.size() != seeds_.size() || !roster_.seats.empty()) return;
      if (candidates != candidates_) candidates_since_ = now;
      candidates_ = std::move(candidates);
      // Whoever proposed may be gone: a word that stays without a roster is completed by any candidate.
      if (!word.seats.empty()) {
        if (now - candidates_since_ < stranded_pause) return;
        founding_ = true;
        return propose(std::move(word), 0);
      }
      if (now - started_ < gathering_pause || now - candidates_since_ < candidates_pause ||
          (candidates_.size() < fewest_seats && now - started_ < few_candidates_pause))
        return;
      Roster roster{Version{1}, {}};
      for (const auto& [holder, seat] : candidates_) roster.seats.push_back(seat);
      std::sort(roster.seats.begin(), roster.seats.end(),
                [](const Voter& first, const Voter& second) { return first.address < second.address; });
      if (roster.seats.front().holder != identity_) return;
      founding_ = true;
      propose(std::move(roster), 0);
    });
}

void ReplicatedStore::propose(Roster roster, std::size_t seed) {
  if (seed == seeds_.size()) {
    founding_ = false;
    report_.note("A roster of " + std::to_string(roster.seats.size()) +
                 " seats is founded with the word of all seeds.");
    for (const auto& seat : roster.seats)
      messenger_.request(seat.address, FoundRoster{roster}, milliseconds(500), [](Result<IdentifyReply>) {});
    return;
  }
  std::vector<Address> order = seeds_;
  std::sort(order.begin(), order.end());
  messenger_.request(order[seed], AskWord{roster}, milliseconds(500), [this, roster, seed](Result<WordReply> result) {
    auto* reply = std::get_if<WordReply>(&result);
    // Only the first seed chooses: another one whose word stands for something else ends this attempt.
    if (reply == nullptr || !reply->given || (seed > 0 && reply->roster.seats != roster.seats)) {
      founding_ = false;
      return;
    }
    propose(std::move(reply->roster), seed + 1);
  });
}

}  // namespace mothwalk
