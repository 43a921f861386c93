// Bootstrap of a new fleet, the seeds' side. The seeds are daemons that serve the control API, with or without a disk.
// The storage nodes of control state report to them as candidates, and the first roster needs the votes of all three
// seeds. A seed votes for one roster only, and only if its process has not been restarted since the fleet's first
// start; a restarted seed never votes, so votes need not be stored on disk.
#pragma once
#include "sessions/messenger.hpp"
#include "sessions/shared_state.hpp"

namespace mothwalk {

struct ReportReply {
  bool first_start = false;  // False if the daemon was restarted; then it never votes.
  bool known = false;        // The seed knows an existing roster.
  std::vector<Voter> candidates;
  Roster vote;  // The roster that the seed has voted for, if any.
  MOTHWALK_FIELDS_AS("first_start", first_start, "known", known, "candidates", candidates, "word", vote)
};
// Reports a storage node of control state with an empty data folder as a candidate.
struct ReportCandidate {
  static constexpr StringView kind = "founding.report";
  using Reply = ReportReply;
  Voter candidate;
  MOTHWALK_FIELDS(candidate)
};
struct VoteReply {
  bool granted = false;
  Roster roster;  // The roster that the seed has voted for, now or earlier.
  MOTHWALK_FIELDS_AS("given", granted, "roster", roster)
};
// Asks a seed to vote for a roster.
struct VoteRequest {
  static constexpr StringView kind = "founding.word";
  using Reply = VoteReply;
  Roster roster;
  MOTHWALK_FIELDS(roster)
};

// The state of a seed: the candidates that have reported and the vote that it has given.
class RosterBootstrap {
 public:
  RosterBootstrap(Messenger& messenger, SharedState& shared_state, bool first_start);

 private:
  bool known() const;
  SharedState& shared_state_;
  bool first_start_;
  std::map<StorageNodeId, Voter> candidates_;
  Roster vote_;
};

}  // namespace mothwalk
