// Assigns waiting requests to runners, makes attempts, and decides whether another attempt is allowed.
#include <algorithm>

#include "routes/hop_headers.hpp"
#include "routes/router.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
// How long a request waits for the first configuration of a daemon that has just started.
constexpr Duration startup_wait = milliseconds(2500);
// A runner that sent nothing at all for this long counts as failing.
constexpr Duration silence_limit = milliseconds(1000);
// How long a limit may delay a request while a runner is idle.
constexpr Duration max_delay_beside_idle = milliseconds(500);
constexpr Duration watchdog_interval = milliseconds(100);
}  // namespace

// Forwards the events of one attempt to the router, with the ids of the request and the attempt.
class Router::AttemptListener : public AttemptObserver {
 public:
  AttemptListener(Router& router, Id id, std::uint64_t attempt) : router_(router), id_(id), attempt_(attempt) {}
  void on_head(int status, const std::vector<Header>& headers) override {
    router_.on_attempt_head(id_, attempt_, status, headers);
  }
  void on_chunk(StringView chunk) override { router_.on_attempt_chunk(id_, attempt_, chunk); }
  void on_read_complete() override { router_.on_attempt_pause(id_, attempt_); }
  void on_end(AttemptOutcome end) override { router_.on_attempt_end(id_, attempt_, end); }

 private:
  Router& router_;
  Id id_;
  std::uint64_t attempt_;
};

void Router::dispatch_waiting() {
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  // After its lease has expired, a daemon tries to renew it for a short time. If no control daemon is reachable, the
  // newest known configuration stays in use.
  const bool may_send = shared_state_.may_serve_requests(now);
  std::map<std::string, BlockReason> busy_kinds;
  for (const auto& key : std::vector<QueueKey>(waiting_.begin(), waiting_.end())) {
    auto found = requests_.find(std::get<Id>(key));
    if (found == requests_.end() || found->second.state != State::waiting) continue;
    Record& record = found->second;
    if (!update_configuration(record, configuration, now)) continue;
    std::string reason = "lease";
    if (may_send && try_send(record, *configuration, busy_kinds, &reason)) continue;
    if (may_send) check_delay_beside_idle(record, *configuration, now);
    if (now - record.waiting_since >= record.lane.waiting || (reason == "busy" && will_miss_aim(record, now)))
      refuse(record, reason, "no runner was free within the lane's waiting time limit");
  }
}

// Logs a violated invariant: a limit that the daemons share must not delay a request while a runner is idle.
void Router::check_delay_beside_idle(Record& record, const ConfigurationView& configuration, TimePoint now) {
  const bool waits_for_limit =
      record.block_reason == BlockReason::connections || record.block_reason == BlockReason::ramp;
  if (record.delayed_beside_idle || !waits_for_limit || record.kinds.empty() ||
      now - record.waiting_since < max_delay_beside_idle)
    return;
  const std::string& kind = record.kinds.front();
  if (!configuration.kinds.contains(kind)) return;
  const std::string idle = runner_table_.find_idle_member(configuration, kind, record.tried, max_delay_beside_idle);
  if (idle.empty()) return;
  record.delayed_beside_idle = true;
  ++counts_.delayed_beside_idle;
  warn("Invariant violated: a request of lane '" + record.lane_name + "' waits for '" +
       std::string(name_of(record.block_reason)) + "' while runner '" + idle + "' is idle.");
}

// Applies the newest configuration to a waiting request. Returns false if the request cannot be sent now.
bool Router::update_configuration(Record& record, const std::shared_ptr<const ConfigurationView>& configuration,
                                  TimePoint now) {
  if (record.configuration == configuration && !record.lane_name.empty()) return true;
  if (record.head_sent) return may_resume(record, *configuration);
  auto lane = configuration->lanes.find(record.lane_name);
  const bool unchanged = !record.lane_name.empty() && lane != configuration->lanes.end() &&
                         lane->second.stamp == record.configuration->lanes.at(record.lane_name).stamp &&
                         configuration->fleet.stamp == record.configuration->fleet.stamp;
  if (unchanged)
    record.configuration = configuration;
  else if (!admit(record))
    return false;
  if (!record.lane_name.empty()) return true;
  if (now - record.arrived >= startup_wait)
    refuse(record, "starting", "this daemon has not received its configuration yet");
  return false;
}

// A stream whose response has begun keeps the settings that it was admitted with, like streams that were not
// interrupted: it may resume at runners of its kinds as long as one of these kinds exists, even if its lane was changed
// or removed.
bool Router::may_resume(Record& record, const ConfigurationView& configuration) {
  const bool has_kind = std::any_of(record.kinds.begin(), record.kinds.end(),
                                    [&](const std::string& kind) { return configuration.kinds.contains(kind); });
  if (!has_kind) fail_response(record, "lane");
  return has_kind;
}

// Sends the request to a runner of one of its kinds. `busy_kinds` collects the kinds whose runners are all busy, with
// the main reason.
bool Router::try_send(Record& record, const ConfigurationView& configuration,
                      std::map<std::string, BlockReason>& busy_kinds, std::string* reason) {
  record.demand.waited = messenger_.timers().now() - record.waiting_since;
  for (const auto& kind : record.kinds) {
    *reason = "busy";
    if (auto found = busy_kinds.find(kind); found != busy_kinds.end()) {
      record.block_reason = found->second;
      return false;
    }
    if (auto choice = runner_table_.choose(configuration, kind, record.demand, record.tried, reason)) {
      record.kind = kind;
      send(record, *choice, configuration);
      return true;
    }
    record.block_reason = runner_table_.main_block_reason();
    if (*reason == "busy" && record.tried.empty() && !needs_idle_runner(configuration, kind, record.demand))
      busy_kinds[kind] = record.block_reason;
    if (*reason == "busy") return false;
  }
  return false;
}

// Returns whether so many requests wait that this one will miss the lane's target time. Such a request is refused
// early, so that its client can retry later.
bool Router::will_miss_aim(const Record& record, TimePoint now) const {
  const Duration waited = now - record.waiting_since;
  if (record.lane.aim == Duration{} || record.head_sent || waited * 5 < record.lane.aim) return false;
  auto count = [&](const auto& counts) {
    auto found = counts.find(record.lane_name);
    return found == counts.end() ? 0u : found->second;
  };
  const std::uint32_t answered_per_second = std::max(count(answered_now_), count(answered_last_));
  return answered_per_second > 0 && waited + std::chrono::seconds(1) *
                                                 static_cast<std::int64_t>(waiting_in(record.lane_name)) /
                                                 answered_per_second >
                                        record.lane.aim;
}

bool Router::attempts_left(const Record& record) const {
  return record.lane.attempts > 0 ? record.attempts < record.lane.attempts : record.attempts <= record.lane.retries;
}

void Router::send(Record& record, const RunnerChoice& choice, const ConfigurationView& configuration) {
  const Runner& runner = configuration.runners.at(choice.runner).spec;
  const Kind& kind = configuration.kinds.at(record.kind).spec;
  set_state(record, State::sent);
  record.runner = choice.runner;
  record.keep_connection = choice.keep_connection;
  record.over_share = choice.over_share;
  counts_.over_share += choice.over_share;
  record.attempt = ++last_attempt_;
  record.body_started = false;
  record.sent = messenger_.timers().now();
  ++record.attempts;
  ++counts_.attempts;
  ++(runner.zone == self_.zone ? counts_.own_zone : counts_.other_zone);
  runner_table_.attempt_started(choice.runner, kind, record.demand);
  AttemptRequest request = attempt_request(record, runner);
  request.connections = choice.connections;
  record.attempt_handle =
      runner_client_.start(request, std::make_shared<AttemptListener>(*this, record.id, record.attempt));
}

AttemptRequest Router::attempt_request(const Record& record, const Runner& runner) {
  AttemptRequest request;
  request.to = runner.address;
  request.method = record.request.method;
  request.target = record.request.target;
  request.headers = end_to_end(record.request.headers, false);
  request.body = record.request.body;
  request.connecting = record.lane.connecting;
  request.first_piece = record.lane.first_piece;
  request.between_pieces = record.lane.between_pieces;
  request.runner = record.runner;
  request.id = record.info.id;
  request.repeatable = record.repeatable;
  request.keep_connection = record.keep_connection;
  dialect_.write_attempt(request, record.info,
                         AttemptInfo{record.runner, std::max(Duration{}, record.deadline - messenger_.timers().now()),
                                     record.last_event, record.head_sent ? record.version : std::string()});
  return request;
}

// Cancels an attempt whose result is no longer needed. This does not count as a failure of the runner, unless the
// runner sent nothing for long.
void Router::cancel_attempt(Record& record) {
  runner_client_.cancel(record.attempt_handle);
  const TimePoint now = messenger_.timers().now();
  const bool silent = record.state == State::sent && now - record.arrived > silence_limit &&
                      now - runner_table_.last_received(record.runner) > silence_limit;
  runner_table_.attempt_ended(record.runner, record.demand,
                              silent ? AttemptVerdict::failed : AttemptVerdict::inconclusive, record.body_started);
}

void Router::end_attempt(Record& record, AttemptVerdict verdict) {
  runner_table_.attempt_ended(record.runner, record.demand, verdict, record.body_started);
}

// Retries the request if the lane allows another attempt and the request did not run or may be repeated; otherwise
// replies with an error.
void Router::retry_or_fail(Record& record, bool ran, int status, const std::string& reason,
                           const std::string& message) {
  record.may_have_run = record.may_have_run || ran;
  if (attempts_left(record) && (!ran || (record.repeatable && retry_tokens_ >= 1))) {
    if (ran) retry_tokens_ -= 1;
    return retry(record);
  }
  if (record.may_have_run)
    reply_unknown(record, ran ? status : 502, reason, message);
  else
    refuse(record, reason, message);
}

void Router::retry(Record& record) {
  if (record.client_detached) return set_state(record, State::finished);
  ++counts_.retries;
  record.tried.insert(record.runner);
  set_state(record, State::waiting);
  record.waiting_since = messenger_.timers().now();
  dispatch_again_ = true;
  // When every runner of the circle was tried, all of them may be tried again.
  const auto configuration = shared_state_.configuration.get();
  auto circle = configuration->circles.find(record.kind);
  if (circle != configuration->circles.end() && record.tried.size() >= circle->second.spec.members.size())
    record.tried.clear();
}

// Returns how long the runner may send nothing before the attempt is cancelled. The connections of an unreachable
// runner can stay open, so only the lack of data reveals it. If a lane has a target response time, a runner that sent
// nothing to this daemon for well over that time is abandoned, and repeatable requests are sent to another runner.
Duration Router::response_timeout(const Record& record) const {
  const Lane& lane = record.lane;
  if (record.body_started && lane.streaming)
    return lane.gap > Duration{} ? std::max<Duration>(lane.gap * 3, milliseconds(500)) : Duration::max();
  if (lane.aim == Duration{}) return Duration::max();
  return lane.streaming ? std::clamp<Duration>(lane.aim * 3, milliseconds(600), milliseconds(1500))
                        : std::clamp<Duration>(lane.aim * 5 / 2, milliseconds(250), milliseconds(1500));
}

void Router::arm_watchdog() {
  if (watchdog_armed_ || requests_.empty()) return;
  watchdog_armed_ = true;
  messenger_.timers().after(watchdog_interval, [this] {
    watchdog_armed_ = false;
    run_watchdog();
  });
}

void Router::run_watchdog() {
  const TimePoint now = messenger_.timers().now();
  std::vector<Id> unresponsive;
  for (const auto& [id, record] : requests_) {
    if ((record.state != State::sent && record.state != State::relaying) || record.paused_since) continue;
    if (now - std::max(record.sent, runner_table_.last_received(record.runner)) > response_timeout(record))
      unresponsive.push_back(id);
  }
  for (const Id id : unresponsive) {
    Record& record = requests_.at(id);
    runner_table_.report_unresponsive(record.runner);
    const bool can_resume = record.state == State::sent || record.events;
    if (!record.repeatable || !can_resume || !attempts_left(record) || retry_tokens_ < 1) continue;
    runner_client_.cancel(record.attempt_handle);
    runner_table_.attempt_ended(record.runner, record.demand, AttemptVerdict::inconclusive, record.body_started);
    record.may_have_run = true;
    retry_tokens_ -= 1;
    counts_.resumed += record.head_sent;
    ++counts_.cancelled_unresponsive;
    retry(record);
  }
  if (!unresponsive.empty()) dispatch();
  arm_watchdog();
}

}  // namespace mothwalk
