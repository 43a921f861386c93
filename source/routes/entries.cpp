// Admission, matching over the circle, attempts, relaying and the three outcomes.
#include "routes/entries.hpp"

#include <algorithm>
#include <cmath>

#include "coding/json.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Span tick_span = milliseconds(20);
constexpr std::uint64_t report_ticks = 50, soon_ticks = 4;
constexpr Span starting_span = milliseconds(2500);
constexpr Span static_after = milliseconds(1000);
constexpr std::size_t high_backlog = 256u << 10, low_backlog = 64u << 10;
constexpr double bounded_load = 1.25;

bool hop_by_hop(View name) {
  static const std::set<std::string> names{"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "proxy-authenticate", "proxy-authorization", "proxy-connection", "content-length", "host", "expect"};
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return names.contains(lower);
}
}  // namespace

class Entries::Watcher : public AttemptWatcher {
 public:
  Watcher(Entries& entries, Id id, std::uint64_t attempt) : entries_(entries), id_(id), attempt_(attempt) {}
  void on_head(int status, const std::vector<Header>& headers) override { entries_.attempt_head(id_, attempt_, status, headers); }
  void on_piece(View piece) override { entries_.attempt_piece(id_, attempt_, piece); }
  void on_end(AttemptEnd end) override { entries_.attempt_end(id_, attempt_, end); }

 private:
  Entries& entries_;
  Id id_;
  std::uint64_t attempt_;
};

Entries::Entries(Post& post, Board& board, Exchange& exchange, Chance& chance, Member self, const Dialect& dialect)
    : post_(post), board_(board), exchange_(exchange), chance_(chance), self_(std::move(self)), dialect_(dialect) {
  post_.on_tell<UsageTotals>([this](const Address&, UsageTotals totals) {
    const auto policy = board_.policy.get();
    for (const auto& [name, runner] : policy->runners) {
      if (runner.spec.kind.text != totals.runner_kind) continue;
      Sight& sight = sights_[name];
      auto found = totals.runners.find(name);
      const RunnerTotal total = found == totals.runners.end() ? RunnerTotal{} : found->second;
      sight.others = total.open > sight.open ? total.open - sight.open : 0;
      sight.items = total.items;
    }
    auto usage = *board_.usage.get();
    usage[totals.runner_kind] = KindTotals{post_.schedule().now(), std::move(totals.runners)};
    board_.usage.set(std::move(usage));
  });
}

void Entries::start() { tick(); }

void Entries::tick() {
  const Moment now = post_.schedule().now();
  for (auto& [id, record] : table_) {
    if (record.held_since && record.state == State::relaying && !follow_slow(record, now)) {
      break_off(record);
      continue;
    }
    if (record.state == State::finished || now - record.arrived < record.lane.whole) continue;
    if (record.state == State::waiting) { refuse(record, "whole", "no runner was free within the lane's whole budget"); continue; }
    if (record.state == State::relaying) {
      break_off(record);
    } else {
      exchange_.cancel(record.exchange);
      release(record, true);
      give_unknown(record, 504, "the runner did not answer within the lane's whole budget");
    }
  }
  passes();
  if (ticks_ % report_ticks == 0) answered_last_ = std::exchange(answered_now_, {});
  if (++ticks_ - reported_tick_ >= (report_soon_ ? soon_ticks : report_ticks)) report();
  post_.schedule().after(tick_span, [this] { tick(); });
}

Entries::Id Entries::arrive(LiveRequest request, std::shared_ptr<CallerSide> caller) {
  ++counts_.arrived;
  const Id id = ++last_id_;
  Record& record = table_[id];
  record.id = id;
  record.request = std::move(request);
  record.caller = std::move(caller);
  record.arrived = record.waiting_since = post_.schedule().now();
  retry_tokens_ = std::min(100.0, retry_tokens_ + 0.2);
  if (admit(record)) passes();
  else finish_pass();
  return id;
}

bool Entries::admit(Record& record) {
  // A daemon that has just started takes the policy in within a second or two: requests may wait for it a little.
  const bool starting = board_.permit_until.load() < 0;
  if (!starting) {
    const auto policy = board_.policy.get();
    const Lane* lane = policy->lane_for(record.request.target, &record.lane_name);
    if (lane == nullptr) {
      answer(record, 404, "refused", Fault{FaultKind::unknown_name, "path", "no lane has this path", "use the path of a declared lane"}, false);
      return false;
    }
    record.lane = *lane;
    record.waiting_since = post_.schedule().now();
  }
  if (board_.draining) return refuse(record, "draining", "this daemon is shutting down"), false;
  if (waiting_in(record.lane_name) > record.lane.waiting_room) return refuse(record, "crowded", "too many requests of this lane wait in this daemon"), false;
  const std::size_t begin = std::min<std::size_t>(record.lane.affinity_bytes, record.request.body ? record.request.body->size() : 0);
  if (begin > 0) record.affinity = hash_of(View(*record.request.body).substr(0, begin)) | 1;
  return true;
}

void Entries::passes() {
  if (in_passes_) { passes_wanted_ = true; return; }
  in_passes_ = true;
  do {
    passes_wanted_ = false;
    match_pass();
    finish_pass();
  } while (passes_wanted_);
  in_passes_ = false;
}

void Entries::match_pass() {
  const Moment now = post_.schedule().now();
  const auto policy = board_.policy.get();
  const std::int64_t sought = board_.permit_sought.load();
  // A lapsed permit is sought for a moment; when no control daemon can be had, the newest policy known stays in force.
  const bool awake = now - Moment{board_.news_tick.load()} < milliseconds(600);
  const bool may_send = board_.permitted(now) || (awake && sought >= 0 && now - Moment{sought} > static_after);
  std::set<std::string> full;
  for (auto& [id, record] : table_) {
    if (record.state != State::waiting) continue;
    if (record.lane_name.empty()) {
      if (board_.permit_until.load() < 0) {
        if (now - record.arrived >= starting_span) refuse(record, "starting", "this daemon has not taken the policy in yet");
        continue;
      }
      if (!admit(record)) continue;
    }
    std::string why = may_send ? "busy" : "permit";
    if (may_send && !full.contains(record.lane_name)) {
      if (auto runner = match(record, *policy, &why)) {
        send(record, *runner, *policy);
        continue;
      }
      if (record.tried.empty()) full.insert(record.lane_name);
    }
    if (now - record.waiting_since >= record.lane.waiting) refuse(record, why, "no runner was free within the lane's waiting budget");
  }
}

void Entries::finish_pass() {
  std::erase_if(table_, [](const auto& entry) { return entry.second.state == State::finished; });
}

bool Entries::takes(const PolicyView& policy, const std::string& name, const Runner& runner, const Kind& kind, const Circle* circle, Moment now) {
  const bool warm = circle == nullptr || circle->bears(name, runner.generation);
  if (runner.leaving || policy.evacuated(runner.hall)) return false;
  Sight& sight = sights_[name];
  if (now < sight.not_before || (sight.failures > 0 && sight.open > 0)) return false;
  const double limit = runner.slots * kind.overcommit;
  if (warm && sight.came_back && now - *sight.ramp_since >= kind.circle.ramp) sight.came_back = false;
  if (warm && !sight.came_back) {
    sight.ramp_since.reset();
    return sight.taken() < limit;
  }
  if (circle != nullptr)
    if (auto ramp = circle->ramps.find(name); ramp != circle->ramps.end() && ramp->second != sight.ramp) {
      sight.ramp = ramp->second;
      sight.ramp_since.reset();
    }
  // A warming or returning runner: its limit grows from a quarter over the ramp, and each daemon keeps within a share of it that
  // does not depend on news of the others, so the sum over all daemons stays below the limit.
  if (!sight.ramp_since) sight.ramp_since = now;
  const double progress = std::min(1.0, static_cast<double>((now - *sight.ramp_since).count()) / static_cast<double>(std::max<std::int64_t>(1, kind.circle.ramp.count())));
  const std::size_t allowed = static_cast<std::size_t>(std::max(1.0, std::floor(runner.slots * (0.25 + 0.75 * progress)) - sight.items));
  const auto members = board_.members.get();
  const std::size_t daemons = std::max<std::size_t>(1, members->all.size());
  const auto order = duty_order(*members, "warm/" + name, runner.hall);
  std::size_t rank = 0;
  while (rank < order.size() && order[rank]->address != post_.self()) ++rank;
  return sight.open < allowed / daemons + (rank < allowed % daemons ? 1 : 0);
}

std::optional<std::string> Entries::match(const Record& record, const PolicyView& policy, std::string* why) {
  auto kind = policy.kinds.find(record.lane.kind.text);
  auto circle = policy.circles.find(record.lane.kind.text);
  *why = "circle";
  if (kind == policy.kinds.end() || (circle == policy.circles.end() && !even_over_all)) return std::nullopt;
  const Moment now = post_.schedule().now();
  struct Choice {
    const std::string* name;
    const Runner* runner;
    double usage;
    bool here;
  };
  std::vector<Choice> choices;
  auto consider = [&](const std::string& name, const Circle* circle) {
    auto runner = policy.runners.find(name);
    if (runner == policy.runners.end() || record.tried.contains(name)) return;
    if (!takes(policy, name, runner->second.spec, kind->second.spec, circle, now)) return;
    const Sight& sight = sights_[name];
    choices.push_back(Choice{&runner->first, &runner->second.spec, static_cast<double>(sight.taken()) / runner->second.spec.slots, runner->second.spec.hall == self_.hall});
  };
  if (even_over_all) {
    for (const auto& [name, runner] : policy.runners)
      if (runner.spec.kind == record.lane.kind) consider(name, nullptr);
    *why = "busy";
    if (choices.empty()) return std::nullopt;
    return *choices[turn_++ % choices.size()].name;
  }
  const Circle& members = circle->second.spec;
  for (const auto& member : members.members) consider(member.text, &members);
  *why = "busy";
  if (choices.empty()) return std::nullopt;
  double mean = 0;
  for (const auto& each : choices) mean += each.usage / static_cast<double>(choices.size());
  if (record.affinity != 0) {
    std::sort(choices.begin(), choices.end(), [&](const Choice& left, const Choice& right) {
      return hash_of(*left.name, record.affinity) < hash_of(*right.name, record.affinity);
    });
    for (const auto& each : choices)
      if (each.usage <= mean * bounded_load + 1.0 / each.runner->slots && each.usage < 1.0) return *each.name;
  }
  double least = choices.front().usage;
  for (const auto& each : choices) least = std::min(least, each.usage);
  std::vector<const Choice*> near, own;
  for (const auto& each : choices) {
    if (each.usage > least + 1e-9 && !each.here) continue;
    if (each.usage > least + 1.0 / each.runner->slots + 1e-9) continue;
    near.push_back(&each);
    if (each.here) own.push_back(&each);
  }
  const auto& from = own.empty() ? near : own;
  std::vector<const Choice*> best;
  double best_usage = from.front()->usage;
  for (const auto* each : from) best_usage = std::min(best_usage, each->usage);
  for (const auto* each : from)
    if (each->usage <= best_usage + 1e-9) best.push_back(each);
  return *best[chance_.below(best.size())]->name;
}

void Entries::send(Record& record, const std::string& name, const PolicyView& policy) {
  const Runner& runner = policy.runners.at(name).spec;
  record.state = State::sent;
  record.runner = name;
  record.attempt = ++last_attempt_;
  ++record.attempts;
  ++counts_.attempts;
  ++(runner.hall == self_.hall ? counts_.own_hall : counts_.other_hall);
  Sight& sight = sights_[name];
  ++sight.open;
  sight.last_sent = post_.schedule().now();
  AttemptRequest request;
  request.to = runner.address;
  request.method = record.request.method;
  request.target = record.request.target;
  for (const auto& header : record.request.headers)
    if (!hop_by_hop(header.name)) request.headers.push_back(header);
  request.body = record.request.body;
  request.connecting = record.lane.connecting;
  request.first_piece = record.lane.first_piece;
  request.between_pieces = record.lane.between_pieces;
  record.exchange = exchange_.start(request, std::make_shared<Watcher>(*this, record.id, record.attempt));
}

void Entries::release(Record& record, bool sound) {
  Sight& sight = sights_[record.runner];
  if (sight.open > 0) --sight.open;
  if (sound) {
    // It failed and answers again: it may have been started anew, with nothing cached.
    if (sight.failures > 0) {
      sight.came_back = true;
      sight.ramp_since = sight.failed = post_.schedule().now();
      report_soon_ = true;
    }
    sight.failures = 0;
  } else {
    sight.failures = std::min(sight.failures + 1, 6u);
    sight.failed = post_.schedule().now();
    report_soon_ = true;
    sight.not_before = post_.schedule().now() + milliseconds(150 << sight.failures);
  }
}

void Entries::attempt_head(Id id, std::uint64_t attempt, int status, const std::vector<Header>& headers) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.attempt != attempt || found->second.state != State::sent) return;
  Record& record = found->second;
  const auto policy = board_.policy.get();
  auto kind = policy->kinds.find(record.lane.kind.text);
  if (kind != policy->kinds.end()) {
    const auto& refusals = kind->second.spec.refusals;
    if (std::find(refusals.begin(), refusals.end(), static_cast<std::uint32_t>(status)) != refusals.end()) {
      exchange_.cancel(record.exchange);
      release(record, true);
      sights_[record.runner].not_before = post_.schedule().now() + milliseconds(100);
      again_or(record, false, 503, "runner", "the runners refused the request");
      return passes();
    }
  }
  std::vector<Header> given{{"X-Mothwalk-Outcome", "answer"}};
  for (const auto& header : headers)
    if (!hop_by_hop(header.name)) given.push_back(header);
  record.state = State::relaying;
  record.first_piece = post_.schedule().now() - record.arrived;
  record.caller->head(status, given);
}

void Entries::attempt_piece(Id id, std::uint64_t attempt, View piece) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.attempt != attempt || found->second.state != State::relaying) return;
  Record& record = found->second;
  record.caller->piece(piece);
  record.backlog = record.caller->backlog();
  if (record.backlog <= high_backlog || record.held_since) return;
  record.held_since = post_.schedule().now();
  exchange_.hold(record.exchange, true);
}

// Back-pressure: a runner that is held goes on once its caller has taken most of what waits; false where the caller took
// nothing within its budget.
bool Entries::follow_slow(Record& record, Moment now) {
  const std::size_t backlog = record.caller->backlog();
  if (backlog < record.backlog) record.held_since = now;
  record.backlog = backlog;
  if (backlog <= low_backlog) {
    record.held_since.reset();
    exchange_.hold(record.exchange, false);
    return true;
  }
  return now - *record.held_since < record.lane.taking;
}

void Entries::break_off(Record& record) {
  exchange_.cancel(record.exchange);
  release(record, true);
  count_for_aims(record, false);
  ++counts_.broken;
  record.caller->break_off();
  record.state = State::finished;
}

void Entries::count_for_aims(const Record& record, bool answered) {
  for (const auto& [name, aim] : board_.policy.get()->aims) {
    if (aim.spec.lane != record.lane_name) continue;
    AimCounts& counts = counts_.aims[name];
    ++counts.ended;
    counts.answered += answered;
    counts.in_time += answered && record.first_piece && *record.first_piece <= aim.spec.first_piece;
  }
}

void Entries::attempt_end(Id id, std::uint64_t attempt, AttemptEnd end) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.attempt != attempt) return;
  Record& record = found->second;
  if (record.state == State::relaying) {
    release(record, end == AttemptEnd::whole);
    count_for_aims(record, end == AttemptEnd::whole);
    if (end == AttemptEnd::whole) {
      ++counts_.answered;
      ++answered_now_[record.lane_name];
      record.caller->end();
    } else {
      ++counts_.broken;
      record.caller->break_off();
    }
    record.state = State::finished;
  } else if (record.state == State::sent) {
    release(record, false);
    if (end == AttemptEnd::not_sent) again_or(record, false, 503, "unreachable", "the runners could not be reached");
    else if (end == AttemptEnd::late) again_or(record, true, 504, "late", "the runner gave no answer within the lane's budget");
    else again_or(record, true, 502, "broken", "the runner broke off or answered nonsense before its answer began");
  }
  passes();
}

// Another attempt is allowed if nothing ran, or if the lane may be repeated; both within the lane's retries.
void Entries::again_or(Record& record, bool ran, int status, const std::string& reason, const std::string& message) {
  const bool allowed = record.attempts <= record.lane.retries && (!ran || (record.lane.repeatable && retry_tokens_ >= 1));
  record.tried.insert(record.runner);
  if (!allowed) {
    if (ran) give_unknown(record, status, message);
    else refuse(record, reason, message);
    return;
  }
  if (ran) retry_tokens_ -= 1;
  ++counts_.retries;
  record.state = State::waiting;
  record.waiting_since = post_.schedule().now();
  passes_wanted_ = true;
  // When every runner of the circle was tried, all may be tried again.
  const auto policy = board_.policy.get();
  auto circle = policy->circles.find(record.lane.kind.text);
  if (circle != policy->circles.end() && record.tried.size() >= circle->second.spec.members.size()) record.tried.clear();
}

void Entries::refuse(Record& record, const std::string& reason, const std::string& message) {
  ++counts_.refusals[reason];
  answer(record, 503, "refused", Fault{FaultKind::refused, "request", message + "; it was not run and never will be", "send it again after the time in Retry-After"}, true);
}

void Entries::give_unknown(Record& record, int status, const std::string& message) {
  answer(record, status, "unknown", Fault{FaultKind::unknown, "request", message + "; whether it ran is not known", record.lane.repeatable ? "send it again after the time in Retry-After" : "find out whether it took effect before you send it again"}, true);
}

void Entries::answer(Record& record, int status, const std::string& outcome, const Fault& fault, bool retry_after) {
  ++(outcome == "unknown" ? counts_.unknown : counts_.refused);
  count_for_aims(record, false);
  json::value body = fault_to_json(fault);
  body.as_object()["outcome"] = outcome;
  std::vector<Header> headers{{"X-Mothwalk-Outcome", outcome}, {"Content-Type", "application/json"}};
  if (retry_after) headers.push_back({"Retry-After", std::to_string(come_back(record))});
  record.caller->head(status, headers);
  record.caller->piece(json::serialize(body) + "\n");
  record.caller->end();
  record.state = State::finished;
}

std::size_t Entries::waiting_in(const std::string& lane) const {
  return static_cast<std::size_t>(std::count_if(table_.begin(), table_.end(), [&](const auto& each) { return each.second.state == State::waiting && each.second.lane_name == lane; }));
}

std::uint64_t Entries::come_back(const Record& record) {
  auto answered = answered_last_.find(record.lane_name);
  const std::uint64_t pace = std::max<std::uint64_t>(1, answered == answered_last_.end() ? 0 : answered->second);
  const std::uint64_t wait = std::min<std::uint64_t>(30, 1 + waiting_in(record.lane_name) / pace);
  // Spread a little, so that those who were refused together do not come back together.
  return wait + chance_.below(1 + wait);
}

void Entries::gone(Id id) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.state == State::finished) return;
  Record& record = found->second;
  ++counts_.callers_gone;
  if (record.state != State::waiting) {
    exchange_.cancel(record.exchange);
    release(record, true);
  }
  record.state = State::finished;
  passes();
}

void Entries::report() {
  reported_tick_ = ticks_;
  report_soon_ = false;
  const auto policy = board_.policy.get();
  const auto members = board_.members.get();
  const Moment now = post_.schedule().now();
  for (const auto& [kind, entry] : policy->kinds) {
    const Seat* seat = slot_owner(policy->roster, *members, slot_of("circle/" + kind));
    if (seat == nullptr) continue;
    UsageReport report;
    report.runner_kind = kind;
    report.incarnation = post_.incarnation();
    for (const auto& [name, runner] : policy->runners) {
      if (runner.spec.kind.text != kind) continue;
      auto sight = sights_.find(name);
      if (sight == sights_.end()) continue;
      const bool tried = now - sight->second.last_sent < std::chrono::seconds(10) && sight->second.last_sent.microseconds > 0;
      // It counts as failing while it is left alone after a failure, and a moment longer for another try.
      const bool failing = sight->second.failures > 0 && now < sight->second.not_before + std::chrono::seconds(1);
      std::optional<Span> failed;
      if (failing) failed = Span{};
      else if (sight->second.failed && now - *sight->second.failed < entry.spec.circle.ramp) failed = now - *sight->second.failed;
      if (sight->second.open > 0 || tried || failed) report.runners[name] = RunnerUsage{sight->second.open, failing && sight->second.failures >= 2, tried, failed};
    }
    for (const auto& [id, record] : table_) report.queued += record.state == State::waiting && record.lane.kind.text == kind;
    post_.tell(seat->address, report);
  }
  std::erase_if(sights_, [&](const auto& each) { return !policy->runners.contains(each.first) && each.second.open == 0; });
}

}  // namespace mothwalk
