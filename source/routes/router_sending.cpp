// Matching of waiting requests with runners, attempts, and whether another attempt is allowed.
#include <algorithm>

#include "routes/hop_headers.hpp"
#include "routes/router.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration starting_span = milliseconds(2500);  // that a request waits for a daemon's first configuration
constexpr Duration silence = milliseconds(1000);   // after which a runner that gave nothing at all counts as failing
constexpr Duration held_span = milliseconds(500);  // that a limit may hold a request up while a runner has no work
constexpr Duration watch_span = milliseconds(100);
constexpr Duration awake_span = milliseconds(600);  // since news ran last: the process was not suspended
}  // namespace

class Router::Watcher : public AttemptObserver {
 public:
  Watcher(Router& router, Id id, std::uint64_t attempt) : router_(router), id_(id), attempt_(attempt) {}
  void on_head(int status, const std::vector<Header>& headers) override {
    router_.attempt_head(id_, attempt_, status, headers);
  }
  void on_chunk(StringView piece) override { router_.attempt_piece(id_, attempt_, piece); }
  void on_pause() override { router_.attempt_pause(id_, attempt_); }
  void on_end(AttemptOutcome end) override { router_.attempt_end(id_, attempt_, end); }

 private:
  Router& router_;
  Id id_;
  std::uint64_t attempt_;
};

void Router::match_pass() {
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  // A lapsed lease is sought for a moment; when no control daemon can be had, the newest configuration known stays in
  // force.
  const bool may_send = shared_state_.may_serve_requests(now);
  std::map<std::string, Obstacle> full;
  for (const auto& place : std::vector<Place>(waiting_.begin(), waiting_.end())) {
    auto found = table_.find(std::get<Id>(place));
    if (found == table_.end() || found->second.state != State::waiting) continue;
    Record& record = found->second;
    if (!follow_configuration(record, configuration, now)) continue;
    std::string why = "lease";
    if (may_send && send_to_any(record, *configuration, full, &why)) continue;
    if (may_send) check_held(record, *configuration, now);
    if (now - record.waiting_since >= record.lane.waiting || (why == "busy" && hopeless(record, now)))
      refuse(record, why, "no runner was free within the lane's waiting budget");
  }
}

// A limit that all daemons share must not keep a request from a runner that nobody uses.
void Router::check_held(Record& record, const ConfigurationView& configuration, TimePoint now) {
  const bool by_limit = record.obstacle == Obstacle::connections || record.obstacle == Obstacle::ramp;
  if (record.held_beside_idle || !by_limit || record.kinds.empty() || now - record.waiting_since < held_span) return;
  const std::string& kind = record.kinds.front();
  if (!configuration.kinds.contains(kind)) return;
  const std::string idle = runner_table_.idle_member(configuration, kind, record.tried, held_span);
  if (idle.empty()) return;
  record.held_beside_idle = true;
  ++counts_.held_beside_idle;
  warn("Invariant violated: a request of lane '" + record.lane_name + "' waits for '" +
       std::string(name_of(record.obstacle)) + "' while runner '" + idle + "' has no work.");
}

// What waited goes the way of the newest configuration; false where the record can't be sent in this pass.
bool Router::follow_configuration(Record& record, const std::shared_ptr<const ConfigurationView>& configuration,
                                  TimePoint now) {
  if (record.configuration == configuration && !record.lane_name.empty()) return true;
  if (record.head_given) return may_go_on(record, *configuration);
  auto lane = configuration->lanes.find(record.lane_name);
  const bool unchanged = !record.lane_name.empty() && lane != configuration->lanes.end() &&
                         lane->second.stamp == record.configuration->lanes.at(record.lane_name).stamp &&
                         configuration->fleet.stamp == record.configuration->fleet.stamp;
  if (unchanged)
    record.configuration = configuration;
  else if (!admit(record))
    return false;
  if (!record.lane_name.empty()) return true;
  if (now - record.arrived >= starting_span)
    refuse(record, "starting", "this daemon has not taken the configuration in yet");
  return false;
}

// A stream whose answer has begun goes on as it was admitted, as do those that no runner broke off: at runners of its
// kinds while there are any, whatever becomes of its lane meanwhile.
bool Router::may_go_on(Record& record, const ConfigurationView& configuration) {
  const bool any = std::any_of(record.kinds.begin(), record.kinds.end(),
                               [&](const std::string& kind) { return configuration.kinds.contains(kind); });
  if (!any) ended_broken(record, "lane");
  return any;
}

// Sends the record to a runner of its kinds; `full` collects the kinds whose runners are all busy, and by what.
bool Router::send_to_any(Record& record, const ConfigurationView& configuration, std::map<std::string, Obstacle>& full,
                         std::string* why) {
  record.demand.waited = messenger_.timers().now() - record.waiting_since;
  for (const auto& kind : record.kinds) {
    *why = "busy";
    if (auto found = full.find(kind); found != full.end()) {
      record.obstacle = found->second;
      return false;
    }
    if (auto choice = runner_table_.choose(configuration, kind, record.demand, record.tried, why)) {
      record.kind = kind;
      send(record, *choice, configuration);
      return true;
    }
    record.obstacle = runner_table_.main_obstacle();
    if (*why == "busy" && record.tried.empty() && !needs_idle_runner(configuration, kind, record.demand))
      full[kind] = record.obstacle;
    if (*why == "busy") return false;
  }
  return false;
}

// Where so many wait that the aim will be missed, a caller does better to come back later, told so early.
bool Router::hopeless(const Record& record, TimePoint now) const {
  const Duration waited = now - record.waiting_since;
  if (record.lane.aim == Duration{} || record.head_given || waited * 5 < record.lane.aim) return false;
  auto count = [&](const auto& counts) {
    auto found = counts.find(record.lane_name);
    return found == counts.end() ? 0u : found->second;
  };
  const std::uint32_t pace = std::max(count(answered_now_), count(answered_last_));
  return pace > 0 && waited + std::chrono::seconds(1) * static_cast<std::int64_t>(waiting_in(record.lane_name)) / pace >
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
  record.stray = choice.stray;
  counts_.strays += choice.stray;
  record.attempt = ++last_attempt_;
  record.read = false;
  record.sent = messenger_.timers().now();
  ++record.attempts;
  ++counts_.attempts;
  ++(runner.zone == self_.zone ? counts_.own_zone : counts_.other_zone);
  runner_table_.sent(choice.runner, kind, record.demand);
  AttemptRequest request = attempt_request(record, runner);
  request.connections = choice.connections;
  record.exchange = runner_client_.start(request, std::make_shared<Watcher>(*this, record.id, record.attempt));
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
  request.repeatable = record.repeatable;
  request.keep_connection = record.keep_connection;
  dialect_.write_attempt(request, record.facts,
                         AttemptInfo{record.runner, std::max(Duration{}, record.deadline - messenger_.timers().now()),
                                     record.last_event, record.head_given ? record.version : std::string()});
  return request;
}

// The runner's work is of no use any more, and says nothing of the runner unless it kept silent for long.
void Router::leave(Record& record) {
  runner_client_.cancel(record.exchange);
  const TimePoint now = messenger_.timers().now();
  const bool silent = record.state == State::sent && now - record.arrived > silence &&
                      now - runner_table_.heard(record.runner) > silence;
  runner_table_.ended(record.runner, record.demand, silent ? AttemptVerdict::failed : AttemptVerdict::nothing,
                      record.read);
}

void Router::release(Record& record, AttemptVerdict verdict) {
  runner_table_.ended(record.runner, record.demand, verdict, record.read);
}

// Another attempt is allowed if nothing ran, or if the work may be repeated; both within the lane's attempts.
void Router::again_or(Record& record, bool ran, int status, const std::string& reason, const std::string& message) {
  record.may_have_run = record.may_have_run || ran;
  if (attempts_left(record) && (!ran || (record.repeatable && retry_tokens_ >= 1))) {
    if (ran) retry_tokens_ -= 1;
    return again(record);
  }
  if (record.may_have_run)
    give_unknown(record, ran ? status : 502, reason, message);
  else
    refuse(record, reason, message);
}

void Router::again(Record& record) {
  if (record.abandoned) return set_state(record, State::finished);
  ++counts_.retries;
  record.tried.insert(record.runner);
  set_state(record, State::waiting);
  record.waiting_since = messenger_.timers().now();
  passes_wanted_ = true;
  // When every runner of the circle was tried, all may be tried again.
  const auto configuration = shared_state_.configuration.get();
  auto circle = configuration->circles.find(record.kind);
  if (circle != configuration->circles.end() && record.tried.size() >= circle->second.spec.members.size())
    record.tried.clear();
}

// Runners that go dark keep their connections: nothing but their silence shows it. Where a lane says how soon its
// answers are wanted, a runner that gave nothing at all to this daemon for well over that is left, and repeatable work
// goes elsewhere.
Duration Router::patience(const Record& record) const {
  const Lane& lane = record.lane;
  if (record.read && lane.streaming)
    return lane.gap > Duration{} ? std::max<Duration>(lane.gap * 3, milliseconds(500)) : Duration::max();
  if (lane.aim == Duration{}) return Duration::max();
  return lane.streaming ? std::clamp<Duration>(lane.aim * 3, milliseconds(600), milliseconds(1500))
                        : std::clamp<Duration>(lane.aim * 5 / 2, milliseconds(250), milliseconds(1500));
}

void Router::arm_watch() {
  if (watch_armed_ || table_.empty()) return;
  watch_armed_ = true;
  messenger_.timers().after(watch_span, [this] {
    watch_armed_ = false;
    watch();
  });
}

void Router::watch() {
  const TimePoint now = messenger_.timers().now();
  std::vector<Id> dark;
  for (const auto& [id, record] : table_) {
    if ((record.state != State::sent && record.state != State::relaying) || record.held_since) continue;
    if (now - std::max(record.sent, runner_table_.heard(record.runner)) > patience(record)) dark.push_back(id);
  }
  for (const Id id : dark) {
    Record& record = table_.at(id);
    runner_table_.suspect(record.runner);
    const bool streams_on = record.state == State::sent || record.events;
    if (!record.repeatable || !streams_on || !attempts_left(record) || retry_tokens_ < 1) continue;
    runner_client_.cancel(record.exchange);
    runner_table_.ended(record.runner, record.demand, AttemptVerdict::nothing, record.read);
    record.may_have_run = true;
    retry_tokens_ -= 1;
    counts_.resumed += record.head_given;
    ++counts_.left_dark;
    again(record);
  }
  if (!dark.empty()) passes();
  arm_watch();
}

}  // namespace mothwalk
