// Answers of runners: whose they are, what they promise, and their way to the caller.
#include <algorithm>

#include "routes/hop_headers.hpp"
#include "routes/router.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration stale_listing = milliseconds(1500);  // until the list of runners may have told of another instance
constexpr Duration refusal_rest = milliseconds(100), busy_rest = milliseconds(30);  // after a runner turned work away
constexpr std::size_t high_backlog = 256u << 10, low_backlog = 64u << 10;
}  // namespace

void Router::attempt_head(Id id, std::uint64_t attempt, int status, const std::vector<Header>& headers) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.attempt != attempt || found->second.state != State::sent) return;
  Record& record = found->second;
  const ResponseInfo facts = dialect_.read_answer(status, headers, record.facts);
  runner_table_.read(record.runner, record.demand, false);
  if (facts.load) runner_table_.told(record.runner, *facts.load);
  if (facts.foreign) {
    runner_client_.cancel(record.exchange);
    release(record, AttemptVerdict::sound);
    again_or(record, true, 502, "foreign", "the runner's answer belonged to another request");
    return passes();
  }
  if (turned_away(record, status, facts)) return passes();
  if (facts.false_refusal) {
    release(record, AttemptVerdict::sound);
    again_or(record, true, 502, "runner", "the runner turned the request away without a promise that it did not run");
    return passes();
  }
  const bool good = status >= 200 && status < 300;
  if (!good && record.repeatable && (status >= 500 || record.head_given) && attempts_left(record) &&
      retry_tokens_ >= 1) {
    release(record, AttemptVerdict::sound);
    record.may_have_run = true;
    retry_tokens_ -= 1;
    again(record);
    return passes();
  }
  if (record.head_given) return resumed_head(record, good, facts);
  relay_head(record, status, headers, facts);
}

// Takes an answer that promises that the request was not run: it goes to another runner, or is refused.
bool Router::turned_away(Record& record, int status, const ResponseInfo& facts) {
  const auto configuration = shared_state_.configuration.get();
  const auto kind = configuration->kinds.find(record.kind);
  bool refusal = false;
  if (kind != configuration->kinds.end()) {
    const auto& refusals = kind->second.spec.refusals;
    refusal = std::find(refusals.begin(), refusals.end(), static_cast<std::uint32_t>(status)) != refusals.end();
  }
  const bool not_run = facts.not_run && (status >= 500 || status == 429 || status == 421);
  if (!refusal && !facts.other_instance && !not_run) return false;
  // The answer's rest goes by unseen, so that the connection can be kept.
  release(record, AttemptVerdict::sound);
  // A stream that is taken up is turned away by runners with other weights as well.
  const bool other_weights = record.head_given && !record.version.empty();
  Duration rest = refusal ? refusal_rest : busy_rest;
  if (facts.other_instance && !other_weights) rest = stale_listing;
  runner_table_.rest(record.runner, rest);
  again_or(record, false, 503, "runner", "the runners refused the request");
  return true;
}

// A stream goes on at another runner under the same weights alone; its caller keeps the first runner's head.
void Router::resumed_head(Record& record, bool good, const ResponseInfo& facts) {
  if (!good || facts.version != record.version) {
    leave(record);
    ended_broken(record, good ? "version" : "resumed");
    return passes();
  }
  record.events->begin(record.last_event);
  set_state(record, State::relaying);
}

void Router::relay_head(Record& record, int status, const std::vector<Header>& headers, const ResponseInfo& facts) {
  const bool good = status >= 200 && status < 300;
  const std::string* type = header_of(headers, "Content-Type");
  if (good && record.lane.streaming && record.lane.resumable &&
      (type == nullptr || type->starts_with("text/event-stream")))
    record.events.emplace(dialect_.version_field()).begin(record.last_event);
  record.version = facts.version;
  std::vector<Header> given = end_to_end(headers, !record.events);
  given.insert(given.begin(), Header{"X-Mothwalk-Outcome", "answer"});
  set_state(record, State::relaying);
  record.head_given = true;
  record.first_piece = messenger_.timers().now() - record.arrived;
  record.caller->head(status, given);
}

void Router::attempt_piece(Id id, std::uint64_t attempt, StringView piece) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.attempt != attempt || found->second.state != State::relaying) return;
  Record& record = found->second;
  runner_table_.read(record.runner, record.demand, !std::exchange(record.read, true));
  if (!record.events) {
    record.caller->piece(piece);
  } else if (!relay_events(record, piece)) {
    break_off(record, "order");
    return passes();
  }
  record.backlog = record.caller->backlog();
  if (record.backlog <= high_backlog || record.held_since) return;
  record.held_since = messenger_.timers().now();
  held_.insert(id);
  runner_client_.hold(record.exchange, true);
  arm_tick();
}

// Passes whole events on; false where they do not go on in order.
bool Router::relay_events(Record& record, StringView piece) {
  Bytes whole;
  const bool in_order = record.events->take(piece, whole);
  if (!whole.empty()) record.caller->piece(whole);
  record.last_event = record.events->last();
  if (const auto& version = record.events->version()) record.version = *version;
  return in_order;
}

void Router::attempt_pause(Id id, std::uint64_t attempt) {
  auto found = table_.find(id);
  if (found != table_.end() && found->second.attempt == attempt && found->second.state == State::relaying)
    found->second.caller->flush();
}

// Back-pressure: a runner that is held goes on once its caller has taken most of what waits; false where the caller
// took nothing within its budget.
bool Router::follow_slow(Record& record, TimePoint now) {
  const std::size_t backlog = record.caller->backlog();
  if (backlog < record.backlog) record.held_since = now;
  record.backlog = backlog;
  if (backlog <= low_backlog) {
    record.held_since.reset();
    held_.erase(record.id);
    runner_client_.hold(record.exchange, false);
    return true;
  }
  return now - *record.held_since < record.lane.taking;
}

// A connection over the daemon's share that ends before any answer may have met the runner's limit, which is no failure
// of the runner; it is left alone for a moment.
AttemptVerdict Router::verdict_of(const Record& record, AttemptOutcome end) {
  if (end != AttemptOutcome::late && !record.keep_connection) {
    runner_table_.rest(record.runner, refusal_rest);
    counts_.strays_turned_away += record.stray;
    return AttemptVerdict::nothing;
  }
  return end == AttemptOutcome::not_sent ? AttemptVerdict::unreachable : AttemptVerdict::failed;
}

void Router::attempt_end(Id id, std::uint64_t attempt, AttemptOutcome end) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.attempt != attempt) return;
  Record& record = found->second;
  if (end != AttemptOutcome::whole) ++counts_.attempts_failed[record.kind + " " + std::string(name_of(end))];
  if (record.state == State::relaying) {
    // A series of events that ends inside an event was broken off, however its end is framed.
    const bool whole = end == AttemptOutcome::whole && !(record.events && !record.events->rest().empty());
    release(record, whole ? AttemptVerdict::sound : AttemptVerdict::failed);
    if (whole) {
      give_end(record);
    } else if (record.events && attempts_left(record) && retry_tokens_ >= 1) {
      // The next run goes on after the last whole event that the caller got.
      retry_tokens_ -= 1;
      ++counts_.resumed;
      record.caller->flush();
      again(record);
    } else {
      ended_broken(record, end == AttemptOutcome::late ? "late" : "runner");
    }
  } else if (record.state == State::sent) {
    release(record, verdict_of(record, end));
    // Nothing of it left: this runner was not one that it was sent to.
    if (end == AttemptOutcome::not_sent && record.lane.attempts > 0) --record.attempts;
    if (end == AttemptOutcome::not_sent)
      again_or(record, false, 503, "unreachable", "the runners could not be reached");
    else if (end == AttemptOutcome::late)
      again_or(record, true, 504, "late", "the runner gave no answer within the lane's budget");
    else
      again_or(record, true, 502, "broken", "the runner broke off or answered nonsense before its answer began");
  }
  passes();
}

}  // namespace mothwalk
