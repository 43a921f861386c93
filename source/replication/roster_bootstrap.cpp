// Creation of the first roster of a new fleet, in one of two ways: the seeds are storage nodes and make the roster
// themselves, or the seeds may have no disk and vote on a roster that a candidate proposes.
#include <algorithm>

#include "replication/replicated_store.hpp"
#include "replication/store_internals.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration bootstrap_delay = milliseconds(1500);  // After the start, so that the members are known.
// A roster is proposed after the collection time, once the candidates have been the same for the stable time; with
// fewer than min_voters candidates only after the longer wait. A vote whose proposer may have died is completed by
// another candidate after abandoned_vote_wait.
constexpr Duration candidate_collection_time = milliseconds(1200), candidates_stable_time = milliseconds(700),
                   few_candidates_wait = milliseconds(4000), abandoned_vote_wait = milliseconds(2500);
constexpr std::size_t wanted_voters = 5, min_voters = 3;
}  // namespace

void ReplicatedStore::on_found_roster(FoundRoster found, ReplyCallback<IdentifyReply> respond) {
  if (!stores_only_lots() && roster_.voters.empty() && found.roster.has_voter(identity_)) {
    roster_ = found.roster;
    publish_voters();
    return append_to_log(DiskEntry{.what = "roster", .roster = roster_}, [this, respond] {
      respond(IdentifyReply{identity_, self_.address, self_.zone, roster_});
    });
  }
  respond(IdentifyReply{identity_, self_.address, self_.zone, roster_});
}

void ReplicatedStore::bootstrap_from_seeds() {
  if (bootstrapping_ || std::find(seeds_.begin(), seeds_.end(), self_.address) == seeds_.end()) return;
  if (messenger_.timers().now() - started_ < bootstrap_delay) return;
  // If any member knows a roster, the fleet already exists and this node joins it.
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.roster.value > 0) return;
  bootstrapping_ = true;
  auto replies = std::make_shared<std::vector<IdentifyReply>>();
  auto outstanding = std::make_shared<std::size_t>(seeds_.size());
  for (const Address& seed : seeds_)
    messenger_.request(
        seed, IdentifyRequest{}, milliseconds(500), [this, replies, outstanding](Result<IdentifyReply> result) {
          if (auto* reply = std::get_if<IdentifyReply>(&result)) replies->push_back(std::move(*reply));
          if (--*outstanding > 0) return;
          bootstrapping_ = false;
          for (const auto& reply : *replies)
            if (!reply.roster.voters.empty()) {
              if (roster_.voters.empty()) adopt_roster(reply.roster);
              return;
            }
          if (replies->size() != seeds_.size() || !roster_.voters.empty()) return;
          Roster roster{Version{1}, {}};
          for (const auto& reply : *replies) {
            if (reply.holder.empty()) return;
            roster.voters.push_back(Voter{reply.holder, reply.address, reply.zone});
          }
          std::sort(roster.voters.begin(), roster.voters.end(),
                    [](const Voter& first, const Voter& second) { return first.address < second.address; });
          if (roster.voters.front().address != self_.address) return;
          for (const auto& voter : roster.voters)
            messenger_.request(voter.address, FoundRoster{roster}, milliseconds(500), [](Result<IdentifyReply>) {});
        });
}

// The storage nodes of control state report to the seeds as candidates. The candidate with the lowest address proposes
// a roster of all candidates to the seeds, one after the other, so that the first seed's vote decides.
void ReplicatedStore::bootstrap_from_candidates() {
  if (!*first_start_ || bootstrapping_ || seeds_.empty()) return;
  const TimePoint now = messenger_.timers().now();
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.roster.value > 0) return;
  bootstrapping_ = true;
  struct Round {
    std::vector<ReportReply> replies;
    std::size_t outstanding = 0;
  };
  auto round = std::make_shared<Round>();
  round->outstanding = seeds_.size();
  const Voter self_as_voter{identity_, self_.address, self_.zone, self_.name};
  for (const Address& seed : seeds_)
    messenger_.request(
        seed, ReportCandidate{self_as_voter}, milliseconds(400), [this, round, now](Result<ReportReply> result) {
          if (auto* reply = std::get_if<ReportReply>(&result)) round->replies.push_back(std::move(*reply));
          if (--round->outstanding > 0) return;
          bootstrapping_ = false;
          std::map<StorageNodeId, Voter> candidates;
          Roster vote;
          for (auto& reply : round->replies) {
            if (reply.known || !reply.first_start) return;
            for (auto& voter : reply.candidates) candidates[voter.holder] = voter;
            if (!reply.vote.voters.empty()) vote = std::move(reply.vote);
          }
          if (round->replies.size() != seeds_.size() || !roster_.voters.empty()) return;
          if (candidates != candidates_) candidates_since_ = now;
          candidates_ = std::move(candidates);
          // The proposer may have died: if a seed has voted but no roster appears, any candidate completes the
          // proposal.
          if (!vote.voters.empty()) {
            if (now - candidates_since_ < abandoned_vote_wait) return;
            bootstrapping_ = true;
            return propose_roster(std::move(vote), 0);
          }
          if (now - started_ < candidate_collection_time || now - candidates_since_ < candidates_stable_time ||
              (candidates_.size() < min_voters && now - started_ < few_candidates_wait))
            return;
          Roster roster{Version{1}, {}};
          for (const auto& [node, voter] : candidates_) roster.voters.push_back(voter);
          std::sort(roster.voters.begin(), roster.voters.end(),
                    [](const Voter& first, const Voter& second) { return first.address < second.address; });
          if (roster.voters.front().holder != identity_) return;
          bootstrapping_ = true;
          propose_roster(std::move(roster), 0);
        });
}

void ReplicatedStore::propose_roster(Roster roster, std::size_t seed) {
  if (seed == seeds_.size()) {
    bootstrapping_ = false;
    report_.log("Created the first roster with " + std::to_string(roster.voters.size()) +
                " voters; all seeds have voted for it.");
    for (const auto& voter : roster.voters)
      messenger_.request(voter.address, FoundRoster{roster}, milliseconds(500), [](Result<IdentifyReply>) {});
    return;
  }
  std::vector<Address> order = seeds_;
  std::sort(order.begin(), order.end());
  messenger_.request(order[seed], VoteRequest{roster}, milliseconds(500),
                     [this, roster, seed](Result<VoteReply> result) {
                       auto* reply = std::get_if<VoteReply>(&result);
                       // Only the first seed chooses the roster. If another seed has voted for a different one, this
                       // attempt ends.
                       if (reply == nullptr || !reply->granted || (seed > 0 && reply->roster.voters != roster.voters)) {
                         bootstrapping_ = false;
                         return;
                       }
                       propose_roster(std::move(reply->roster), seed + 1);
                     });
}

}  // namespace mothwalk
