// The table of live requests: arrival, time, callers that leave, and reports of load to the circle duty.
#include "routes/router.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration tick_span = milliseconds(20);  // between looks at what waits or is held
constexpr Duration report_span = std::chrono::seconds(1), soon_span = milliseconds(80);
constexpr std::uint64_t warned_wait_milliseconds = 100;  // of all requests together, in the time of a report
}  // namespace

Router::Router(Messenger& messenger, SharedState& shared_state, RunnerClient& exchange, RandomSource& random,
               Member self, const Dialect& dialect)
    : messenger_(messenger),
      shared_state_(shared_state),
      runner_client_(exchange),
      random_(random),
      self_(self),
      dialect_(dialect),
      runner_table_(messenger, shared_state, random, std::move(self)) {
  runner_table_.subset_left = [this](const Address& to, const std::string& runner) {
    runner_client_.close_idle(to, runner);
  };
}

namespace {
class DiscardingCaller : public ResponseSink {
 public:
  void head(int, const std::vector<Header>&) override {}
  void piece(StringView) override {}
  void end() override {}
  void break_off() override {}
  std::size_t backlog() const override { return 0; }
};
}  // namespace

void Router::start() {
  messenger_.timers().after(report_span, [this] { report_each(); });
}

void Router::arm_tick() {
  if (tick_armed_ || (waiting_.empty() && held_.empty())) return;
  tick_armed_ = true;
  messenger_.timers().after(tick_span, [this] {
    tick_armed_ = false;
    tick();
  });
}

void Router::tick() {
  const TimePoint now = messenger_.timers().now();
  for (const Id id : std::vector<Id>(held_.begin(), held_.end())) {
    Record& record = table_.at(id);
    if (!follow_slow(record, now)) break_off(record, "slow caller");
  }
  passes();
}

void Router::arm_deadline() {
  if (deadlines_.empty()) return;
  const TimePoint first = deadlines_.begin()->first;
  if (deadline_timer_) {
    if (deadline_timer_->first <= first) return;
    messenger_.timers().cancel(deadline_timer_->second);
  }
  const auto timer = messenger_.timers().after(std::max(Duration{}, first - messenger_.timers().now()), [this] {
    deadline_timer_.reset();
    const TimePoint now = messenger_.timers().now();
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
  const bool ending = answer_by_ && messenger_.timers().now() >= *answer_by_;
  const std::string reason = ending ? "draining" : "whole";
  const std::string span = ending ? "before this daemon shut down" : "within the lane's whole budget";
  if (record.state == State::waiting) return refuse(record, reason, "no runner was free " + span);
  if (record.state == State::relaying) return ending ? void() : break_off(record, reason);  // it may end in time
  leave(record);
  give_unknown(record, 504, reason, "the runner did not answer " + span);
}

void Router::set_state(Record& record, State state) {
  const Place place{record.lane.rank, record.arrived, record.id};
  if (record.state == State::waiting && state != State::waiting) {
    waiting_.erase(place);
    count_wait(record);
  }
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

Router::Id Router::arrive(LiveRequest request, std::shared_ptr<ResponseSink> caller) {
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

void Router::finish_pass() {
  for (const Id id : std::exchange(finished_, {})) table_.erase(id);
}

std::size_t Router::waiting_in(const std::string& lane) const {
  return static_cast<std::size_t>(std::count_if(waiting_.begin(), waiting_.end(), [&](const Place& place) {
    return table_.at(std::get<Id>(place)).lane_name == lane;
  }));
}

// The caller of a run that may be repeated, or of a stream, takes its runner's work with it.
void Router::gone(Id id) {
  auto found = table_.find(id);
  if (found == table_.end() || found->second.state == State::finished) return;
  Record& record = found->second;
  ++counts_.callers_gone;
  if (record.state != State::waiting && !record.repeatable && !record.lane.streaming) return abandon(record);
  if (record.state != State::waiting) leave(record);
  set_state(record, State::finished);
  passes();
}

// Work that may not be repeated is not stopped halfway where it may have begun: its run ends unseen, and is not sent
// to another runner.
void Router::abandon(Record& record) {
  record.abandoned = true;
  record.caller = std::make_shared<DiscardingCaller>();
}

void Router::count_wait(const Record& record) {
  const Duration waited = messenger_.timers().now() - record.waiting_since;
  if (record.obstacle == Obstacle::none || record.kinds.empty() || waited <= Duration{}) return;
  Waits& waits = counts_.waits[record.kinds.front() + " " + std::string(name_of(record.obstacle))];
  ++waits.requests;
  waits.milliseconds += static_cast<std::uint64_t>(waited.count() / 1000);
}

// What has held requests up since the last warning, where that is worth a line.
void Router::warn_of_troubles() {
  std::string sentence;
  for (const auto& [what, waits] : counts_.waits) {
    Waits& told = waits_told_[what];
    const std::uint64_t requests = waits.requests - told.requests, span = waits.milliseconds - told.milliseconds;
    if (span >= warned_wait_milliseconds)
      sentence +=
          " " + std::to_string(requests) + " requests waited " + std::to_string(span) + " ms for '" + what + "'.";
    told = waits;
  }
  for (const auto& [what, count] : counts_.attempts_failed) {
    std::uint64_t& told = attempts_failed_told_[what];
    if (count > told) sentence += " " + std::to_string(count - told) + " attempts ended: " + what + ".";
    told = count;
  }
  if (counts_.strays > strays_told_)
    sentence +=
        " " + std::to_string(counts_.strays - strays_told_) + " requests went over connections without a right.";
  strays_told_ = counts_.strays;
  if (!sentence.empty()) warn(StringView(sentence).substr(1));
}

void Router::report_each() {
  answered_last_ = std::exchange(answered_now_, {});
  warn_of_troubles();
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
  std::map<std::string, std::size_t> strays;
  for (const auto& [id, record] : table_)
    if (record.stray && (record.state == State::sent || record.state == State::relaying)) ++strays[record.runner];
  for (const auto& [kind, entry] : configuration->kinds) {
    const Voter* seat = slot_owner(configuration->roster, *members, slot_of("circle/" + kind));
    if (seat == nullptr) continue;
    LoadReport report;
    report.runner_kind = kind;
    report.incarnation = messenger_.incarnation();
    report.runners = runner_table_.load(*configuration, kind, entry.spec);
    for (auto& [name, load] : report.runners) {
      const std::size_t open = runner_client_.connections(configuration->runners.at(name).spec.address, name);
      load.connections = static_cast<std::uint32_t>(open - std::min(open, strays[name]));
    }
    report.queued = queued[kind];
    messenger_.send(seat->address, report);
  }
  runner_table_.forget_gone(*configuration);
}

}  // namespace mothwalk
