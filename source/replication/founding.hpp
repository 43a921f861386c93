// The word of the seeds at the very first start. The seeds are any daemons that serve control, with a disk or without:
// the holders of control state report to them, and one roster is founded with the word of all three. A seed gives its
// word to one roster in its life, and only in the first life of its process: a later one neither founds nor gives its
// word, so memory is enough for it.
#pragma once
#include "sessions/messenger.hpp"
#include "sessions/shared_state.hpp"

namespace mothwalk {

struct ReportReply {
  bool first_start = false;  // a daemon started again never gives its word
  bool known = false;        // it knows of a roster that stands
  std::vector<Voter> candidates;
  Roster word;  // the roster that it gave its word for, if any
  MOTHWALK_FIELDS(first_start, known, candidates, word)
};
// A holder of control state with an empty folder offers itself.
struct ReportCandidate {
  static constexpr StringView kind = "founding.report";
  using Reply = ReportReply;
  Voter candidate;
  MOTHWALK_FIELDS(candidate)
};
struct WordReply {
  bool given = false;
  Roster roster;  // the one that the word stands for: an earlier one where there is one
  MOTHWALK_FIELDS(given, roster)
};
struct AskWord {
  static constexpr StringView kind = "founding.word";
  using Reply = WordReply;
  Roster roster;
  MOTHWALK_FIELDS(roster)
};

class Founding {
 public:
  Founding(Messenger& messenger, SharedState& shared_state, bool first_start);

 private:
  bool known() const;
  SharedState& shared_state_;
  bool first_start_;
  std::map<StorageNodeId, Voter> candidates_;
  Roster word_;
};

}  // namespace mothwalk
