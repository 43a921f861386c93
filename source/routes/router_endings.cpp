// Outcomes of live requests: a complete response, a response that is visibly aborted, "refused" and "unknown".
#include <algorithm>

#include "coding/json.hpp"
#include "routes/router.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
}  // namespace

void Router::abort_response(Record& record, const std::string& reason) {
  cancel_attempt(record);
  fail_response(record, reason);
}

void Router::complete_response(Record& record) {
  set_state(record, State::finished);
  if (record.client_detached) return;
  count_for_aims(record, true);
  ++counts_.answered;
  ++answered_now_[record.lane_name];
  record.sink->end();
}

void Router::fail_response(Record& record, const std::string& reason) {
  if (record.client_detached) return set_state(record, State::finished);
  count_for_aims(record, false);
  ++counts_.broken;
  ++counts_.breaks[reason];
  record.sink->abort();
  set_state(record, State::finished);
}

void Router::count_for_aims(const Record& record, bool answered) {
  for (const auto configuration = shared_state_.configuration.get(); const auto& [name, aim] : configuration->aims) {
    if (aim.spec.lane != record.lane_name) continue;
    AimCounts& counts = counts_.aims[name];
    ++counts.ended;
    counts.answered += answered;
    counts.in_time += answered && record.first_piece && *record.first_piece <= aim.spec.first_piece;
  }
}

void Router::refuse(Record& record, const std::string& reason, const std::string& message) {
  if (record.may_have_run) return reply_unknown(record, 502, reason, message);
  reply_error(record,
              ErrorReply{503, "refused", reason, true,
                         Error{ErrorKind::refused, "request", message + "; the request was not run and never will be",
                               "send the request again after the time in Retry-After"}});
}

void Router::reply_unknown(Record& record, int status, const std::string& reason, const std::string& message) {
  const std::string remedy = record.repeatable ? "send the request again after the time in Retry-After"
                                               : "check whether the request took effect before sending it again";
  reply_error(record, ErrorReply{status, "unknown", reason, true,
                                 Error{ErrorKind::unknown, "request",
                                       message + "; it is not known whether the request ran", remedy}});
}

// A client that has received a response head cannot get another status, so its response is aborted instead.
void Router::reply_error(Record& record, const ErrorReply& reply) {
  if (record.head_sent) return fail_response(record, reply.reason);
  const bool unknown = reply.outcome == "unknown";
  ++(unknown ? counts_.unknowns : counts_.refusals)[reply.reason];
  if (record.client_detached) return set_state(record, State::finished);
  ++(unknown ? counts_.unknown : counts_.refused);
  count_for_aims(record, false);
  json::value body = error_to_json(reply.error);
  body.as_object()["outcome"] = reply.outcome;
  const std::string body_text = json::serialize(body) + "\n";
  std::vector<Header> headers{{"X-Mothwalk-Outcome", reply.outcome},
                              {"Content-Type", "application/json"},
                              {"Content-Length", std::to_string(body_text.size())}};
  if (reply.retry_after) headers.push_back({"Retry-After", dialect_.retry_after(retry_delay(record))});
  record.sink->head(reply.status, headers);
  record.sink->chunk(body_text);
  record.sink->end();
  set_state(record, State::finished);
}

Duration Router::retry_delay(const Record& record) {
  auto answered = answered_last_.find(record.lane_name);
  const std::uint64_t answered_per_second =
      std::max<std::uint64_t>(1, answered == answered_last_.end() ? 0 : answered->second);
  const std::uint64_t waiting = waiting_in(record.lane_name);
  // The delay is randomized, so that clients that were refused together do not retry together.
  if (record.lane.aim > Duration{}) {
    const std::uint64_t wait = std::clamp<std::uint64_t>(waiting * 1000 / answered_per_second, 50, 2000);
    return milliseconds(wait + random_.below(1 + wait));
  }
  const std::uint64_t wait = std::min<std::uint64_t>(30, 1 + waiting / answered_per_second);
  return std::chrono::seconds(wait + random_.below(1 + wait));
}

}  // namespace mothwalk
