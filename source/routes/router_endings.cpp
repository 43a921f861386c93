// Endings of live requests: the runner's answer, a break that the caller sees, "refused" and "unknown".
#include <algorithm>

#include "coding/json.hpp"
#include "routes/router.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
}  // namespace

void Router::break_off(Record& record, const std::string& reason) {
  leave(record);
  ended_broken(record, reason);
}

void Router::give_end(Record& record) {
  set_state(record, State::finished);
  if (record.abandoned) return;
  count_for_aims(record, true);
  ++counts_.answered;
  ++answered_now_[record.lane_name];
  record.caller->end();
}

void Router::ended_broken(Record& record, const std::string& reason) {
  if (record.abandoned) return set_state(record, State::finished);
  count_for_aims(record, false);
  ++counts_.broken;
  ++counts_.breaks[reason];
  record.caller->break_off();
  set_state(record, State::finished);
}

void Router::count_for_aims(const Record& record, bool answered) {
  for (const auto snapshot = shared_state_.configuration.get(); const auto& [name, aim] : snapshot->aims) {
    if (aim.spec.lane != record.lane_name) continue;
    AimCounts& counts = counts_.aims[name];
    ++counts.ended;
    counts.answered += answered;
    counts.in_time += answered && record.first_piece && *record.first_piece <= aim.spec.first_piece;
  }
}

void Router::refuse(Record& record, const std::string& reason, const std::string& message) {
  if (record.may_have_run) return give_unknown(record, 502, reason, message);
  answer(record, Refusal{503, "refused", reason, true,
                         Error{ErrorKind::refused, "request", message + "; it was not run and never will be",
                               "send it again after the time in Retry-After"}});
}

void Router::give_unknown(Record& record, int status, const std::string& reason, const std::string& message) {
  const std::string remedy = record.repeatable ? "send it again after the time in Retry-After"
                                               : "find out whether it took effect before you send it again";
  answer(record, Refusal{status, "unknown", reason, true,
                         Error{ErrorKind::unknown, "request", message + "; whether it ran is not known", remedy}});
}

// A caller that has the head of an answer can be told nothing else any more: its stream breaks off.
void Router::answer(Record& record, const Refusal& refusal) {
  if (record.head_given) return ended_broken(record, refusal.reason);
  const bool unknown = refusal.outcome == "unknown";
  ++(unknown ? counts_.unknowns : counts_.refusals)[refusal.reason];
  if (record.abandoned) return set_state(record, State::finished);
  ++(unknown ? counts_.unknown : counts_.refused);
  count_for_aims(record, false);
  json::value body = error_to_json(refusal.error);
  body.as_object()["outcome"] = refusal.outcome;
  const std::string text = json::serialize(body) + "\n";
  std::vector<Header> headers{{"X-Mothwalk-Outcome", refusal.outcome},
                              {"Content-Type", "application/json"},
                              {"Content-Length", std::to_string(text.size())}};
  if (refusal.retry_after) headers.push_back({"Retry-After", dialect_.retry_after(come_back(record))});
  record.caller->head(refusal.status, headers);
  record.caller->piece(text);
  record.caller->end();
  set_state(record, State::finished);
}

Duration Router::come_back(const Record& record) {
  auto answered = answered_last_.find(record.lane_name);
  const std::uint64_t pace = std::max<std::uint64_t>(1, answered == answered_last_.end() ? 0 : answered->second);
  const std::uint64_t waiting = waiting_in(record.lane_name);
  // Spread a little, so that those who were refused together do not come back together.
  if (record.lane.aim > Duration{}) {
    const std::uint64_t wait = std::clamp<std::uint64_t>(waiting * 1000 / pace, 50, 2000);
    return milliseconds(wait + random_.below(1 + wait));
  }
  const std::uint64_t wait = std::min<std::uint64_t>(30, 1 + waiting / pace);
  return std::chrono::seconds(wait + random_.below(1 + wait));
}

}  // namespace mothwalk
