// Responses of runners: checks whom they belong to and what they guarantee, and relays them to the client.
#include <algorithm>

#include "routes/hop_headers.hpp"
#include "routes/router.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
// The time until the list of runners is refreshed and can name a new instance at the same address.
constexpr Duration listing_refresh_time = milliseconds(1500);
// How long a runner gets no requests after it refused one with a status of its kind's refusals, or rejected one as
// busy.
constexpr Duration refusal_pause = milliseconds(100), busy_pause = milliseconds(30);
// Reading from a runner is paused above the first and resumed below the second size of the client's unread data.
constexpr std::size_t pause_backlog = 256u << 10, resume_backlog = 64u << 10;
}  // namespace

void Router::on_attempt_head(Id id, std::uint64_t attempt, int status, const std::vector<Header>& headers) {
  auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.attempt != attempt || entry->second.state != State::sent) return;
  Record& record = entry->second;
  const ResponseInfo response = dialect_.read_response(status, headers, record.info);
  runner_table_.response_received(record.runner, record.demand, false);
  if (response.load) runner_table_.update_load(record.runner, *response.load);
  if (response.mismatched) {
    runner_client_.cancel(record.attempt_handle);
    end_attempt(record, AttemptVerdict::success);
    retry_or_fail(record, true, 502, "foreign", "the runner's response belonged to another request");
    return dispatch();
  }
  if (handle_rejection(record, status, response)) return dispatch();
  if (response.false_refusal) {
    end_attempt(record, AttemptVerdict::success);
    retry_or_fail(record, true, 502, "runner",
                  "the runner rejected the request without a guarantee that it did not run");
    return dispatch();
  }
  // A server error of a repeatable request is retried, and so is any other status where a stream should be resumed.
  const bool good = status >= 200 && status < 300;
  if (!good && record.repeatable && (status >= 500 || record.head_sent) && attempts_left(record) &&
      retry_tokens_ >= 1) {
    end_attempt(record, AttemptVerdict::success);
    record.may_have_run = true;
    retry_tokens_ -= 1;
    retry(record);
    return dispatch();
  }
  if (record.head_sent) return handle_resumed_head(record, good, response);
  relay_head(record, status, headers, response);
}

// Handles a response which guarantees that the request was not run: the request is sent to another runner or refused.
// Returns false if the response is not of that kind.
bool Router::handle_rejection(Record& record, int status, const ResponseInfo& response) {
  const auto configuration = shared_state_.configuration.get();
  const auto kind = configuration->kinds.find(record.kind);
  bool refusal = false;
  if (kind != configuration->kinds.end()) {
    const auto& refusals = kind->second.spec.refusals;
    refusal = std::find(refusals.begin(), refusals.end(), static_cast<std::uint32_t>(status)) != refusals.end();
  }
  const bool not_run = response.not_run && (status >= 500 || status == 429 || status == 421);
  if (!refusal && !response.other_instance && !not_run) return false;
  // The rest of the response is read and discarded, so that the connection can be reused.
  end_attempt(record, AttemptVerdict::success);
  // A stream that is resumed is also rejected by runners with another version of the weights.
  const bool other_weights = record.head_sent && !record.version.empty();
  Duration pause = refusal ? refusal_pause : busy_pause;
  if (response.other_instance && !other_weights) pause = listing_refresh_time;
  runner_table_.pause_sending(record.runner, pause);
  retry_or_fail(record, false, 503, "runner", "the runners refused the request");
  return true;
}

// A stream is resumed only by a runner with the same version of the weights. The client has the first runner's head.
void Router::handle_resumed_head(Record& record, bool good, const ResponseInfo& response) {
  if (!good || response.version != record.version) {
    cancel_attempt(record);
    fail_response(record, good ? "version" : "resumed");
    return dispatch();
  }
  record.events->begin(record.last_event);
  set_state(record, State::relaying);
}

void Router::relay_head(Record& record, int status, const std::vector<Header>& headers, const ResponseInfo& response) {
  const bool good = status >= 200 && status < 300;
  const std::string* content_type = header_of(headers, "Content-Type");
  if (good && record.lane.streaming && record.lane.resumable &&
      (content_type == nullptr || content_type->starts_with("text/event-stream")))
    record.events.emplace(dialect_.version_field()).begin(record.last_event);
  record.version = response.version;
  std::vector<Header> forwarded = end_to_end(headers, !record.events);
  forwarded.insert(forwarded.begin(), Header{"X-Mothwalk-Outcome", "answer"});
  set_state(record, State::relaying);
  record.head_sent = true;
  record.first_piece = messenger_.timers().now() - record.arrived;
  record.sink->head(status, forwarded);
}

void Router::on_attempt_chunk(Id id, std::uint64_t attempt, StringView chunk) {
  auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.attempt != attempt || entry->second.state != State::relaying) return;
  Record& record = entry->second;
  runner_table_.response_received(record.runner, record.demand, !std::exchange(record.body_started, true));
  if (!record.events) {
    record.sink->chunk(chunk);
  } else if (!relay_events(record, chunk)) {
    abort_response(record, "order");
    return dispatch();
  }
  record.backlog = record.sink->backlog();
  if (record.backlog <= pause_backlog || record.paused_since) return;
  record.paused_since = messenger_.timers().now();
  paused_.insert(id);
  runner_client_.set_paused(record.attempt_handle, true);
  arm_tick();
}

// Relays complete events. Returns false if they are not in order.
bool Router::relay_events(Record& record, StringView chunk) {
  Bytes complete;
  const bool in_order = record.events->take(chunk, complete);
  if (!complete.empty()) record.sink->chunk(complete);
  record.last_event = record.events->last();
  if (const auto& version = record.events->version()) record.version = *version;
  return in_order;
}

void Router::on_attempt_pause(Id id, std::uint64_t attempt) {
  auto entry = requests_.find(id);
  if (entry != requests_.end() && entry->second.attempt == attempt && entry->second.state == State::relaying)
    entry->second.sink->flush();
}

// Resumes reading from a paused runner once the client has read most of the backlog. Returns false if the client read
// nothing within the lane's time limit.
bool Router::check_backpressure(Record& record, TimePoint now) {
  const std::size_t backlog = record.sink->backlog();
  if (backlog < record.backlog) record.paused_since = now;
  record.backlog = backlog;
  if (backlog <= resume_backlog) {
    record.paused_since.reset();
    paused_.erase(record.id);
    runner_client_.set_paused(record.attempt_handle, false);
    return true;
  }
  return now - *record.paused_since < record.lane.taking;
}

// A connection beyond the daemon's share that ends before any response may have exceeded the runner's limit, which is
// not a failure of the runner. The runner gets no requests for a short time.
AttemptVerdict Router::verdict_of(const Record& record, AttemptOutcome outcome) {
  if (outcome != AttemptOutcome::timed_out && !record.keep_connection) {
    runner_table_.pause_sending(record.runner, refusal_pause);
    counts_.over_share_rejected += record.over_share;
    return AttemptVerdict::inconclusive;
  }
  return outcome == AttemptOutcome::not_sent ? AttemptVerdict::unreachable : AttemptVerdict::failed;
}

void Router::on_attempt_end(Id id, std::uint64_t attempt, AttemptOutcome outcome) {
  auto entry = requests_.find(id);
  if (entry == requests_.end() || entry->second.attempt != attempt) return;
  Record& record = entry->second;
  if (outcome != AttemptOutcome::complete) ++counts_.attempts_failed[record.kind + " " + std::string(name_of(outcome))];
  if (record.state == State::relaying) {
    // A stream that ends inside an event is incomplete, even if the HTTP message is complete.
    const bool complete = outcome == AttemptOutcome::complete && !(record.events && !record.events->rest().empty());
    end_attempt(record, complete ? AttemptVerdict::success : AttemptVerdict::failed);
    if (complete) {
      complete_response(record);
    } else if (record.events && attempts_left(record) && retry_tokens_ >= 1) {
      // The next run resumes after the last complete event that the client received.
      retry_tokens_ -= 1;
      ++counts_.resumed;
      record.sink->flush();
      retry(record);
    } else {
      fail_response(record, outcome == AttemptOutcome::timed_out ? "late" : "runner");
    }
  } else if (record.state == State::sent) {
    end_attempt(record, verdict_of(record, outcome));
    // Nothing was sent, so this attempt does not count against the lane's limit.
    if (outcome == AttemptOutcome::not_sent && record.lane.attempts > 0) --record.attempts;
    if (outcome == AttemptOutcome::not_sent)
      retry_or_fail(record, false, 503, "unreachable", "the runners could not be reached");
    else if (outcome == AttemptOutcome::timed_out)
      retry_or_fail(record, true, 504, "late", "the runner sent no response within the lane's time limit");
    else
      retry_or_fail(record, true, 502, "broken",
                    "the runner closed the connection or sent an invalid response before the response head");
  }
  dispatch();
}

}  // namespace mothwalk
