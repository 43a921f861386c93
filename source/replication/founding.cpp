// Handlers of candidate reports and vote requests.
#include "replication/founding.hpp"

namespace mothwalk {

RosterBootstrap::RosterBootstrap(Messenger& messenger, SharedState& shared_state, bool first_start)
    : shared_state_(shared_state), first_start_(first_start) {
  messenger.on_request<ReportCandidate>(
      [this](const Address& from, ReportCandidate report, ReplyCallback<ReportReply> respond) {
        if (first_start_ && report.candidate.address == from && !report.candidate.holder.empty()) {
          // A machine that comes back with an empty data folder is a new candidate and replaces the former one.
          std::erase_if(candidates_, [&](const auto& each) {
            return each.second.address == from && each.first != report.candidate.holder;
          });
          candidates_[report.candidate.holder] = report.candidate;
        }
        ReportReply reply{first_start_, known(), {}, vote_};
        for (const auto& [node, voter] : candidates_) reply.candidates.push_back(voter);
        respond(std::move(reply));
      });
  messenger.on_request<VoteRequest>([this](const Address&, VoteRequest request, ReplyCallback<VoteReply> respond) {
    const bool granted = first_start_ && !request.roster.voters.empty() && (!vote_.voters.empty() || !known());
    if (granted && vote_.voters.empty()) vote_ = std::move(request.roster);
    respond(VoteReply{granted, vote_});
  });
}

bool RosterBootstrap::known() const {
  if (shared_state_.configuration.get()->roster.version.value > 0) return true;
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.roster.value > 0) return true;
  return false;
}

}  // namespace mothwalk
