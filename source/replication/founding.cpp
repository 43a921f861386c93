// Taking reports and giving the one word.
#include "replication/founding.hpp"

namespace mothwalk {

Founding::Founding(Messenger& messenger, SharedState& shared_state, bool first_start)
    : shared_state_(shared_state), first_start_(first_start) {
  messenger.on_request<ReportCandidate>(
      [this](const Address& from, ReportCandidate report, ReplyCallback<ReportReply> answer) {
        if (first_start_ && report.candidate.address == from && !report.candidate.holder.empty()) {
          // A machine that came back empty under its address is another candidate; the one before is no more.
          std::erase_if(candidates_, [&](const auto& each) {
            return each.second.address == from && each.first != report.candidate.holder;
          });
          candidates_[report.candidate.holder] = report.candidate;
        }
        ReportReply reply{first_start_, known(), {}, word_};
        for (const auto& [holder, seat] : candidates_) reply.candidates.push_back(seat);
        answer(std::move(reply));
      });
  messenger.on_request<AskWord>([this](const Address&, AskWord ask, ReplyCallback<WordReply> answer) {
    const bool mine = first_start_ && !ask.roster.seats.empty() && (!word_.seats.empty() || !known());
    if (mine && word_.seats.empty()) word_ = std::move(ask.roster);
    answer(WordReply{mine, word_});
  });
}

bool Founding::known() const {
  if (shared_state_.configuration.get()->roster.version.value > 0) return true;
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.roster.value > 0) return true;
  return false;
}

}  // namespace mothwalk
