// Admission, waiting, attempts, relaying, streams that go on at another runner, and the three outcomes.
#include "routes/router.hpp"

#include <algorithm>

#include "coding/json.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Span tick_span = milliseconds(20);
constexpr Span report_span = std::chrono::seconds(1), soon_span = milliseconds(80);
constexpr Span starting_span = milliseconds(2500);
constexpr Span silence = milliseconds(1000);  // after which a runner that gave nothing at all counts as failing
constexpr Span watch_span = milliseconds(100);
constexpr Span stale_listing = milliseconds(1500);
constexpr std::size_t high_backlog = 256u << 10, low_backlog = 64u << 10;

bool hop_by_hop(View name) {
  for (const View each : {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade",
                          "proxy-authenticate", "proxy-authorization", "proxy-connection", "content-length", "expect"})
    if (same_name(name, each)) return true;
  return false;
}

// Headers that concern one connection only, those that the Connection header names among them, are not passed on.
std::vector<Header> end_to_end(const std::vector<Header>& headers, bool length) {
  const std::string* connection = header_of(headers, "Connection");
  auto named = [&](View name) {
    for (View rest = connection == nullptr ? View() : View(*connection); !rest.empty();) {
      const auto comma = rest.find(',');
      View word = rest.substr(0, comma);
      while (word.starts_with(' ')) word.remove_prefix(1);
      while (word.ends_with(' ')) word.remove_suffix(1);
      if (same_name(word, name)) return true;
      rest = comma == View::npos ? View() : rest.substr(comma + 1);
    }
    return false;
  };
  std::vector<Header> kept;
  kept.reserve(headers.size() + 4);
  for (const auto& header : headers)
    if (length && same_name(header.name, "Content-Length") ? true : !hop_by_hop(header.name) && !named(header.name))
      kept.push_back(header);
  return kept;
}
}  // namespace

class Router::Watcher : public AttemptWatcher {
 public:
  Watcher(Router& router, Id id, std::uint64_t attempt) : router_(router), id_(id), attempt_(attempt) {}
  void on_head(int status, const std::vector<Header>& headers) override {
    router_.attempt_head(id_, attempt_, status, headers);
  }
  void on_piece(View piece) override { router_.attempt_piece(id_, attempt_, piece); }
  void on_pause() override { router_.attempt_pause(id_, attempt_); }
  void on_end(AttemptEnd end) override { router_.attempt_end(id_, attempt_, end); }

 private:
  Router& router_;
  Id id_;
  std::uint64_t attempt_;
};

Router::Router(Messenger& messenger, SharedState& shared_state, Exchange& exchange, RandomSource& random, Member self,
               const Dialect& dialect)
    : messenger_(messenger),
      shared_state_(shared_state),
      exchange_(exchange),
      random_(random),
      self_(self),
      dialect_(dialect),
      runner_table_(messenger, shared_state, random, std::move(self)) {}

void Router::start() {
  messenger_.timers().after(report_span, [this] { report_each(); });
}

// ---- time: a tick while something waits or is held, and one timer for the deadlines

void Router::arm_tick() {
  if (tick_armed_ || (waiting_.empty() && held_.empty())) return;
  tick_armed_ = true;
  messenger_.timers().after(tick_span, [this] {
    tick_armed_ = false;
    tick();
  });
}

void Router::tick() {
  const Moment now = messenger_.timers().now();
  for (const Id id : std::vector<Id>(held_.begin(), held_.end())) {
    Record& record = table_.at(id);
    if (!follow_slow(record, now)) break_off(record, "slow caller");
  }
  passes();
}

// Runners that go dark keep their connections: nothing but their silence shows it. Where a lane says how soon its
// answers are wanted, a runner that gave nothing at all to this daemon for well over that is left, and repeatable work
// goes elsewhere.
Span Router::patience(const Record& record) const {
  const Lane& lane = record.lane;
  if (record.read && lane.streaming)
    return lane.gap > Span{} ? std::max<Span>(lane.gap * 3, milliseconds(500)) : Span::max();
  if (lane.aim == Span{}) return Span::max();
  return lane.streaming ? std::clamp<Span>(lane.aim * 3, milliseconds(600), milliseconds(1500))
                        : std::clamp<Span>(lane.aim * 5 / 2, milliseconds(250), milliseconds(1500));
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
  const Moment now = messenger_.timers().now();
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
    exchange_.cancel(record.exchange);
    runner_table_.ended(record.runner, record.demand, std::nullopt, record.read);
    record.may_have_run = true;
    retry_tokens_ -= 1;
    counts_.resumed += record.head_given;
    ++counts_.left_dark;
    again(record);
  }
  if (!dark.empty()) passes();
  arm_watch();
}

void Router::arm_deadline() {
  if (deadlines_.empty()) return;
  const Moment first = deadlines_.begin()->first;
  if (deadline_timer_) {
    if (deadline_timer_->first <= first) return;
    messenger_.timers().cancel(deadline_timer_->second);
  }
  const auto timer = messenger_.timers().after(std::max(Span{}, first - messenger_.timers().now()), [this] {
    deadline_timer_.reset();
    const Moment now = messenger_.timers().now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      const Id id = deadlines_.begin()->second;
      deadlines_.erase(deadlines_.begin());
      expire(table_.at(id));
    }
    passes();
    arm_deadline();
  });
  deadline_timer_ = std::make_pair(first, timer);
}

void Router::expire(Record& record) {
  if (record.state == State::waiting)
    return refuse(record, "whole", "no runner was free within the lane's whole budget");
  if (record.state == State::relaying) return break_off(record, "whole");
  leave(record);
  give_unknown(record, 504, "whole", "the runner did not answer within the lane's whole budget");
}

void Router::set_state(Record& record, State state) {
  const Place place{record.lane.rank, record.arrived, record.id};
  if (record.state == State::waiting && state != State::waiting) waiting_.erase(place);
  if (state == State::waiting) waiting_.insert(place);
  if (record.held_since && state != State::relaying) {
    record.held_since.reset();
    held_.erase(record.id);
  }
  if (state == State::finished && record.state != State::finished) {
    finished_.push_back(record.id);
    deadlines_.erase({record.deadline, record.id});
  }
  record.state = state;
}

// ---- arrival and waiting

Router::Id Router::arrive(LiveRequest request, std::shared_ptr<CallerSide> caller) {
  ++counts_.arrived;
  const Id id = ++last_id_;
  Record& record = table_[id];
  record.id = id;
  record.request = std::move(request);
  record.caller = std::move(caller);
  record.arrived = record.waiting_since = messenger_.timers().now();
  record.facts = dialect_.read_request(record.request.headers);
  record.last_event = record.facts.last_event;
  retry_tokens_ = std::min(100.0, retry_tokens_ + 0.2);
  if (admit(record)) {
    set_state(record, State::waiting);
    passes();
  } else {
    finish_pass();
  }
  arm_deadline();
  arm_tick();
  arm_watch();
  return id;
}

// Finds the record's lane in the configuration in force; false where it was answered.
bool Router::admit(Record& record) {
  const bool first = record.configuration == nullptr;
  // A daemon that has just started takes the configuration in within a second or two: requests may wait for it a
  // little.
  if (shared_state_.was_fresh()) {
    auto configuration = shared_state_.configuration.get();
    std::string name;
    const Lane* lane = configuration->lane_for(record.request.target, &name, record.facts.host);
    if (lane != nullptr && lane->batch) lane = nullptr;
    if (lane == nullptr) {
      // A daemon that may not have heard of the newest configuration, or of any, can't say that there is none.
      if (!shared_state_.has_lease(messenger_.timers().now()) || configuration->lanes.empty()) {
        record.lane_name.clear();
        return true;
      }
      answer(record, 404, "refused",
             Fault{FaultKind::unknown_name, "path", "no lane has this path", "use the path of a declared lane"}, false);
      return false;
    }
    record.configuration = std::move(configuration);
    const bool listed = waiting_.erase(Place{record.lane.rank, record.arrived, record.id}) > 0;
    if (listed) waiting_.insert(Place{lane->rank, record.arrived, record.id});
    if (record.lane_name.empty()) record.waiting_since = messenger_.timers().now();
    record.lane_name = name;
    record.lane = *lane;
    record.repeatable = lane->repeatable || (lane->streaming && lane->resumable);
    share(record);
    deadlines_.erase({record.deadline, record.id});
    record.deadline = record.arrived + std::min(lane->whole, record.facts.budget.value_or(lane->whole));
    deadlines_.emplace(record.deadline, record.id);
  }
  if (!first) return true;
  if (shared_state_.draining && !serves_while_draining)
    return refuse(record, "draining", "this daemon is shutting down"), false;
  if (waiting_in(record.lane_name) + 1 > record.lane.waiting_room)
    return refuse(record, "crowded", "too many requests of this lane wait in this daemon"), false;
  record.demand.prompt_tokens = record.facts.prompt_tokens;
  record.demand.tokens = record.facts.prompt_tokens + record.facts.output_tokens;
  const auto& parts = record.facts.parts;
  const std::size_t begin =
      std::min<std::size_t>(record.lane.affinity_bytes, record.request.body ? record.request.body->size() : 0);
  if (record.lane.affinity && !parts.empty()) {
    // All parts but the last are shared among requests.
    record.demand.affinity = hash_of(parts[parts.size() > 1 ? parts.size() - 2 : 0].id) | 1;
    record.demand.near = true;
  } else if (begin > 0) {
    record.demand.affinity = hash_of(View(*record.request.body).substr(0, begin)) | 1;
  }
  return true;
}

// A lane's requests go to its kinds by their weights, evenly in any row of them; the others stand in where none of the
// kind's runners is able to take anything.
void Router::share(Record& record) {
  record.kinds.clear();
  double whole = 0;
  const auto kinds = record.lane.kinds();
  auto& credits = credits_[record.lane_name];
  std::vector<std::pair<double, std::string>> order;
  for (const auto& each : kinds) {
    if (!(each.weight > 0)) continue;
    whole += each.weight;
    const double credit = kinds.size() == 1 ? 0 : credits[each.kind.text] += each.weight;
    order.emplace_back(-credit, each.kind.text);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [credit, kind] : order) record.kinds.push_back(kind);
  if (kinds.size() > 1 && !record.kinds.empty()) credits[record.kinds.front()] -= whole;
}

void Router::passes() {
  if (in_passes_) {
    passes_wanted_ = true;
    return;
  }
  in_passes_ = true;
  do {
    passes_wanted_ = false;
    if (!waiting_.empty()) match_pass();
    finish_pass();
  } while (passes_wanted_);
  in_passes_ = false;
  arm_tick();
  if (runner_table_.report_soon && !report_armed_) {
    report_armed_ = true;
    messenger_.timers().after(soon_span, [this] {
      report_armed_ = false;
      if (runner_table_.report_soon) report();
    });
  }
}

void Router::match_pass() {
  const Moment now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  // A lapsed lease is sought for a moment; when no control daemon can be had, the newest configuration known stays in
  // force.
  const bool may_send = shared_state_.may_serve(now);
  std::set<std::string> full;
  for (const auto& place : std::vector<Place>(waiting_.begin(), waiting_.end())) {
    auto found = table_.find(std::get<Id>(place));
    if (found == table_.end() || found->second.state != State::waiting) continue;
    Record& record = found->second;
    if (record.configuration != configuration || record.lane_name.empty()) {
      // What waited goes the way of the newest configuration.
      auto lane = configuration->lanes.find(record.lane_name);
      if (!record.lane_name.empty() && lane != configuration->lanes.end() &&
          lane->second.stamp == record.configuration->lanes.at(record.lane_name).stamp &&
          configuration->fleet.stamp == record.configuration->fleet.stamp)
        record.configuration = configuration;
      else if (!admit(record))
        continue;
      if (record.lane_name.empty()) {
        if (now - record.arrived >= starting_span)
          refuse(record, "starting", "this daemon has not taken the configuration in yet");
        continue;
      }
    }
    std::string why = "lease";
    bool sent = false;
    for (const auto& kind : record.kinds) {
      if (!may_send) break;
      why = "busy";
      if (full.contains(kind)) break;
      if (auto runner = runner_table_.choose(*configuration, kind, record.demand, record.tried, &why)) {
        record.kind = kind;
        send(record, *runner, *configuration);
        sent = true;
        break;
      }
      if (why == "busy" && record.tried.empty()) full.insert(kind);
      if (why == "busy") break;
    }
    if (sent) continue;
    if (now - record.waiting_since >= record.lane.waiting || (why == "busy" && hopeless(record, now)))
      refuse(record, why, "no runner was free within the lane's waiting budget");
  }
}

// Where so many wait that the aim will be missed, a caller does better to come back later, told so early.
bool Router::hopeless(const Record& record, Moment now) const {
  const Span waited = now - record.waiting_since;
  if (record.lane.aim == Span{} || record.head_given || waited * 5 < record.lane.aim) return false;
  auto count = [&](const auto& counts) {
    auto found = counts.find(record.lane_name);
    return found == counts.end() ? 0u : found->second;
  };
  const std::uint32_t pace = std::max(count(answered_now_), count(answered_last_));
  return pace > 0 && waited + std::chrono::seconds(1) * static_cast<std::int64_t>(waiting_in(record.lane_name)) / pace >
                         record.lane.aim;
}

void Router::finish_pass() {
  for (const Id id : std::exchange(finished_, {})) table_.erase(id);
}

// ---- attempts

bool Router::attempts_left(const Record& record) const {
  return record.lane.attempts > 0 ? record.attempts < record.lane.attempts : record.attempts <= record.lane.retries;
}

void Router::send(Record& record, const std::string& name, const ConfigurationView& configuration) {
  const Runner& runner = configuration.runners.at(name).spec;
  const Kind& kind = configuration.kinds.at(record.kind).spec;
  set_state(record, State::sent);
  record.runner = name;
  record.attempt = ++last_attempt_;
  record.read = false;
  record.sent = messenger_.timers().now();
  ++record.attempts;
  ++counts_.attempts;
  ++(runner.zone == self_.zone ? counts_.own_zone : counts_.other_zone);
  runner_table_.sent(name, kind, record.demand);
  AttemptRequest request;
  request.to = runner.address;
  request.method = record.request.method;
  request.target = record.request.target;
  request.headers = end_to_end(record.request.headers, false);
  request.body = record.request.body;
  request.connecting = record.lane.connecting;
  request.first_piece = record.lane.first_piece;
  request.between_pieces = record.lane.between_pieces;
  request.runner = name;
  request.repeatable = record.repeatable;
  if (kind.connections > 0)
    request.connections =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, kind.connections / runner_table_.daemons()));
  dialect_.write_attempt(
      request, record.facts,
      AttemptFacts{name, std::max(Span{}, record.deadline - messenger_.timers().now()), record.last_event});
  record.exchange = exchange_.start(request, std::make_shared<Watcher>(*this, record.id, record.attempt));
}

// The runner's work is of no use any more, and says nothing of the runner unless it kept silent for long.
void Router::leave(Record& record) {
  exchange_.cancel(record.exchange);
  const Moment now = messenger_.timers().now();
  const bool silent = record.state == State::sent && now - record.arrived > silence &&
                      now - runner_table_.heard(record.runner) > silence;
  runner_table_.ended(record.runner, record.demand, silent ? std::optional(false) : std::nullopt, record.read);
}

void Router::release(Record& record, bool sound) {
  runner_table_.ended(record.runner, record.demand, sound, record.read);
}

void Router::attempt_head(Id id, std::uint64_t attempt, int status, const std::vector<Header>& headers) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.attempt != attempt || found->second.state != State::sent) return;
  Record& record = found->second;
  const AnswerFacts facts = dialect_.read_answer(status, headers, record.facts);
  runner_table_.read(record.runner, record.demand, false);
  if (facts.load) runner_table_.told(record.runner, *facts.load);
  if (facts.foreign) {
    exchange_.cancel(record.exchange);
    release(record, true);
    again_or(record, true, 502, "foreign", "the runner's answer belonged to another request");
    return passes();
  }
  const auto configuration = shared_state_.configuration.get();
  auto kind = configuration->kinds.find(record.kind);
  const bool refusal = kind != configuration->kinds.end() &&
                       std::find(kind->second.spec.refusals.begin(), kind->second.spec.refusals.end(),
                                 static_cast<std::uint32_t>(status)) != kind->second.spec.refusals.end();
  if (refusal || facts.other_instance || (facts.not_run && (status >= 500 || status == 429 || status == 421))) {
    // The answer's rest goes by unseen, so that the connection can be kept.
    release(record, true);
    runner_table_.rest(record.runner, facts.other_instance ? stale_listing
                                      : refusal            ? milliseconds(100)
                                                           : milliseconds(30));
    again_or(record, false, 503, "runner", "the runners refused the request");
    return passes();
  }
  const bool good = status >= 200 && status < 300;
  if (!good && record.repeatable && (status >= 500 || record.head_given) && attempts_left(record) &&
      retry_tokens_ >= 1) {
    release(record, true);
    record.may_have_run = true;
    retry_tokens_ -= 1;
    again(record);
    return passes();
  }
  if (record.head_given) {
    if (!good || facts.version != record.version) {
      leave(record);
      ended_broken(record, good ? "version" : "resumed");
      return passes();
    }
    record.events->begin(record.last_event);
    set_state(record, State::relaying);
    return;
  }
  const std::string* type = header_of(headers, "Content-Type");
  if (good && record.lane.streaming && record.lane.resumable &&
      (type == nullptr || type->starts_with("text/event-stream")))
    record.events.emplace().begin(record.last_event);
  record.version = facts.version;
  std::vector<Header> given = end_to_end(headers, !record.events);
  given.insert(given.begin(), Header{"X-Mothwalk-Outcome", "answer"});
  set_state(record, State::relaying);
  record.head_given = true;
  record.first_piece = messenger_.timers().now() - record.arrived;
  record.caller->head(status, given);
}

void Router::attempt_piece(Id id, std::uint64_t attempt, View piece) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.attempt != attempt || found->second.state != State::relaying) return;
  Record& record = found->second;
  runner_table_.read(record.runner, record.demand, !std::exchange(record.read, true));
  if (record.events) {
    Bytes whole;
    const bool in_order = record.events->take(piece, whole);
    if (!whole.empty()) record.caller->piece(whole);
    record.last_event = record.events->last();
    if (!in_order) {
      break_off(record, "order");
      return passes();
    }
  } else {
    record.caller->piece(piece);
  }
  record.backlog = record.caller->backlog();
  if (record.backlog <= high_backlog || record.held_since) return;
  record.held_since = messenger_.timers().now();
  held_.insert(id);
  exchange_.hold(record.exchange, true);
  arm_tick();
}

void Router::attempt_pause(Id id, std::uint64_t attempt) {
  auto found = table_.find(id);
  if (found != table_.end() && found->second.attempt == attempt && found->second.state == State::relaying)
    found->second.caller->flush();
}

// Back-pressure: a runner that is held goes on once its caller has taken most of what waits; false where the caller
// took nothing within its budget.
bool Router::follow_slow(Record& record, Moment now) {
  const std::size_t backlog = record.caller->backlog();
  if (backlog < record.backlog) record.held_since = now;
  record.backlog = backlog;
  if (backlog <= low_backlog) {
    record.held_since.reset();
    held_.erase(record.id);
    exchange_.hold(record.exchange, false);
    return true;
  }
  return now - *record.held_since < record.lane.taking;
}

void Router::break_off(Record& record, const std::string& reason) {
  leave(record);
  ended_broken(record, reason);
}

void Router::ended_broken(Record& record, const std::string& reason) {
  count_for_aims(record, false);
  ++counts_.broken;
  ++counts_.breaks[reason];
  record.caller->break_off();
  set_state(record, State::finished);
}

void Router::count_for_aims(const Record& record, bool answered) {
  for (const auto& [name, aim] : shared_state_.configuration.get()->aims) {
    if (aim.spec.lane != record.lane_name) continue;
    AimCounts& counts = counts_.aims[name];
    ++counts.ended;
    counts.answered += answered;
    counts.in_time += answered && record.first_piece && *record.first_piece <= aim.spec.first_piece;
  }
}

void Router::attempt_end(Id id, std::uint64_t attempt, AttemptEnd end) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.attempt != attempt) return;
  Record& record = found->second;
  if (record.state == State::relaying) {
    release(record, end == AttemptEnd::whole);
    if (end == AttemptEnd::whole) {
      count_for_aims(record, true);
      ++counts_.answered;
      ++answered_now_[record.lane_name];
      if (record.events && !record.events->rest().empty()) record.caller->piece(record.events->rest());
      record.caller->end();
      set_state(record, State::finished);
    } else if (record.events && attempts_left(record) && retry_tokens_ >= 1) {
      // The next run goes on after the last whole event that the caller got.
      retry_tokens_ -= 1;
      ++counts_.resumed;
      record.caller->flush();
      again(record);
    } else {
      ended_broken(record, end == AttemptEnd::late ? "late" : "runner");
    }
  } else if (record.state == State::sent) {
    release(record, false);
    // Nothing of it left: this runner was not one that it was sent to.
    if (end == AttemptEnd::not_sent && record.lane.attempts > 0) --record.attempts;
    if (end == AttemptEnd::not_sent)
      again_or(record, false, 503, "unreachable", "the runners could not be reached");
    else if (end == AttemptEnd::late)
      again_or(record, true, 504, "late", "the runner gave no answer within the lane's budget");
    else
      again_or(record, true, 502, "broken", "the runner broke off or answered nonsense before its answer began");
  }
  passes();
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

// ---- outcomes

void Router::refuse(Record& record, const std::string& reason, const std::string& message) {
  if (record.may_have_run && !record.head_given) return give_unknown(record, 502, reason, message);
  if (record.head_given) return ended_broken(record, reason);
  ++counts_.refusals[reason];
  answer(record, 503, "refused",
         Fault{FaultKind::refused, "request", message + "; it was not run and never will be",
               "send it again after the time in Retry-After"},
         true);
}

void Router::give_unknown(Record& record, int status, const std::string& reason, const std::string& message) {
  if (record.head_given) return ended_broken(record, reason);
  ++counts_.unknowns[reason];
  answer(record, status, "unknown",
         Fault{FaultKind::unknown, "request", message + "; whether it ran is not known",
               record.repeatable ? "send it again after the time in Retry-After"
                                 : "find out whether it took effect before you send it again"},
         true);
}

void Router::answer(Record& record, int status, const std::string& outcome, const Fault& fault, bool retry_after) {
  ++(outcome == "unknown" ? counts_.unknown : counts_.refused);
  count_for_aims(record, false);
  json::value body = fault_to_json(fault);
  body.as_object()["outcome"] = outcome;
  const std::string text = json::serialize(body) + "\n";
  std::vector<Header> headers{{"X-Mothwalk-Outcome", outcome},
                              {"Content-Type", "application/json"},
                              {"Content-Length", std::to_string(text.size())}};
  if (retry_after) headers.push_back({"Retry-After", dialect_.retry_after(come_back(record))});
  record.caller->head(status, headers);
  record.caller->piece(text);
  record.caller->end();
  set_state(record, State::finished);
}

std::size_t Router::waiting_in(const std::string& lane) const {
  return static_cast<std::size_t>(std::count_if(waiting_.begin(), waiting_.end(), [&](const Place& place) {
    return table_.at(std::get<Id>(place)).lane_name == lane;
  }));
}

Span Router::come_back(const Record& record) {
  auto answered = answered_last_.find(record.lane_name);
  const std::uint64_t pace = std::max<std::uint64_t>(1, answered == answered_last_.end() ? 0 : answered->second);
  const std::uint64_t waiting = waiting_in(record.lane_name);
  // Spread a little, so that those who were refused together do not come back together.
  if (record.lane.aim > Span{}) {
    const std::uint64_t wait = std::clamp<std::uint64_t>(waiting * 1000 / pace, 50, 2000);
    return milliseconds(wait + random_.below(1 + wait));
  }
  const std::uint64_t wait = std::min<std::uint64_t>(30, 1 + waiting / pace);
  return std::chrono::seconds(wait + random_.below(1 + wait));
}

void Router::gone(Id id) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.state == State::finished) return;
  Record& record = found->second;
  ++counts_.callers_gone;
  if (record.state != State::waiting) leave(record);
  set_state(record, State::finished);
  passes();
}

// ---- reports to the circle duty

void Router::report_each() {
  answered_last_ = std::exchange(answered_now_, {});
  report();
  messenger_.timers().after(report_span, [this] { report_each(); });
}

void Router::report() {
  runner_table_.report_soon = false;
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  std::map<std::string, std::uint32_t> queued;
  for (const auto& place : waiting_)
    if (const Record& record = table_.at(std::get<Id>(place)); !record.kinds.empty()) ++queued[record.kinds.front()];
  for (const auto& [kind, entry] : configuration->kinds) {
    const Seat* seat = slot_owner(configuration->roster, *members, slot_of("circle/" + kind));
    if (seat == nullptr) continue;
    LoadReport report;
    report.runner_kind = kind;
    report.incarnation = messenger_.incarnation();
    report.runners = runner_table_.load(*configuration, kind, entry.spec);
    report.queued = queued[kind];
    messenger_.tell(seat->address, report);
  }
  runner_table_.forget_gone(*configuration);
}

}  // namespace mothwalk
