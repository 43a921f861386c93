// The table of live requests: arrivals, deadlines, clients that disconnect, and load reports to the component that
// maintains the circle of a kind (the set of runners that take live requests).
#include "routes/router.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
// The interval between checks of the waiting and the paused requests.
constexpr Duration tick_interval = milliseconds(20);
// The interval between load reports, and the delay before an early report of failures.
constexpr Duration report_interval = std::chrono::seconds(1), early_report_delay = milliseconds(80);
// The total waiting time of all requests within one report interval above which a warning is logged.
constexpr std::uint64_t warned_wait_milliseconds = 100;
}  // namespace

Router::Router(Messenger& messenger, SharedState& shared_state, RunnerClient& runner_client, RandomSource& random,
               Member self, const Dialect& dialect)
    : messenger_(messenger),
      shared_state_(shared_state),
      runner_client_(runner_client),
      random_(random),
      self_(self),
      dialect_(dialect),
      runner_table_(messenger, shared_state, random, std::move(self)) {
  runner_table_.on_subset_left = [this](const Address& to, const std::string& runner) {
    runner_client_.close_idle(to, runner);
  };
}

namespace {
// Takes the place of the sink of a disconnected client.
class DiscardingSink : public ResponseSink {
 public:
  void head(int, const std::vector<Header>&) override {}
  void chunk(StringView) override {}
  void end() override {}
  void abort() override {}
  std::size_t backlog() const override { return 0; }
};
}  // namespace

void Router::start() {
  messenger_.timers().after(report_interval, [this] { report_periodically(); });
}

void Router::arm_tick() {
  if (tick_armed_ || (waiting_.empty() && paused_.empty())) return;
  tick_armed_ = true;
  messenger_.timers().after(tick_interval, [this] {
    tick_armed_ = false;
    tick();
  });
}

void Router::tick() {
  const TimePoint now = messenger_.timers().now();
  for (const Id id : std::vector<Id>(paused_.begin(), paused_.end())) {
    Record& record = requests_.at(id);
    if (!check_backpressure(record, now)) abort_response(record, "slow caller");
  }
  dispatch();
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
      expire(requests_.at(id));
    }
    dispatch();
    arm_deadline();
  });
  deadline_timer_ = std::make_pair(first, timer);
}

void Router::expire(Record& record) {
  const bool draining = drain_deadline_ && messenger_.timers().now() >= *drain_deadline_;
  const std::string reason = draining ? "draining" : "whole";
  const std::string limit = draining ? "before this daemon shut down" : "within the lane's total time limit";
  if (record.state == State::waiting) return refuse(record, reason, "no runner was free " + limit);
  if (record.state == State::relaying)
    // During a drain the response may still end in time.
    return draining ? void() : abort_response(record, reason);
  cancel_attempt(record);
  reply_unknown(record, 504, reason, "the runner did not answer " + limit);
}

void Router::set_state(Record& record, State state) {
  const QueueKey key{record.lane.rank, record.arrived, record.id};
  if (record.state == State::waiting && state != State::waiting) {
    waiting_.erase(key);
    count_wait(record);
  }
  if (state == State::waiting) waiting_.insert(key);
  if (record.paused_since && state != State::relaying) {
    record.paused_since.reset();
    paused_.erase(record.id);
  }
  if (state == State::finished && record.state != State::finished) {
    finished_.push_back(record.id);
    deadlines_.erase({record.deadline, record.id});
  }
  record.state = state;
}

Router::Id Router::submit(LiveRequest request, std::shared_ptr<ResponseSink> sink) {
  ++counts_.arrived;
  const Id id = ++last_id_;
  Record& record = requests_[id];
  record.id = id;
  record.request = std::move(request);
  record.sink = std::move(sink);
  record.arrived = record.waiting_since = messenger_.timers().now();
  record.info = dialect_.read_request(record.request.headers);
  record.last_event = record.info.last_event;
  retry_tokens_ = std::min(100.0, retry_tokens_ + 0.2);
  if (admit(record)) {
    set_state(record, State::waiting);
    dispatch();
  } else {
    erase_finished();
  }
  arm_deadline();
  arm_tick();
  arm_watchdog();
  return id;
}

void Router::dispatch() {
  if (dispatching_) {
    dispatch_again_ = true;
    return;
  }
  dispatching_ = true;
  do {
    dispatch_again_ = false;
    if (!waiting_.empty()) dispatch_waiting();
    erase_finished();
  } while (dispatch_again_);
  dispatching_ = false;
  arm_tick();
  if (runner_table_.early_report_needed && !report_armed_) {
    report_armed_ = true;
    messenger_.timers().after(early_report_delay, [this] {
      report_armed_ = false;
      if (runner_table_.early_report_needed) report_load();
    });
  }
}

void Router::erase_finished() {
  for (const Id id : std::exchange(finished_, {})) requests_.erase(id);
}

std::size_t Router::waiting_in(const std::string& lane) const {
  return static_cast<std::size_t>(std::count_if(waiting_.begin(), waiting_.end(), [&](const QueueKey& key) {
    return requests_.at(std::get<Id>(key)).lane_name == lane;
  }));
}

// The attempt is cancelled if the request may be repeated or its response is a stream.
void Router::on_client_disconnected(Id id) {
  auto found = requests_.find(id);
  if (found == requests_.end() || found->second.state == State::finished) return;
  Record& record = found->second;
  ++counts_.client_disconnects;
  if (record.state != State::waiting && !record.repeatable && !record.lane.streaming) return detach_client(record);
  if (record.state != State::waiting) cancel_attempt(record);
  set_state(record, State::finished);
  dispatch();
}

// A request that may not be repeated is not interrupted once it may have begun: its run ends without a client, and it
// is not sent to another runner.
void Router::detach_client(Record& record) {
  record.client_detached = true;
  record.sink = std::make_shared<DiscardingSink>();
}

void Router::count_wait(const Record& record) {
  const Duration waited = messenger_.timers().now() - record.waiting_since;
  if (record.block_reason == BlockReason::none || record.kinds.empty() || waited <= Duration{}) return;
  Waits& waits = counts_.waits[record.kinds.front() + " " + std::string(name_of(record.block_reason))];
  ++waits.requests;
  waits.milliseconds += static_cast<std::uint64_t>(waited.count() / 1000);
}

// Logs what delayed requests or made attempts fail since the last warning, unless it was insignificant.
void Router::warn_about_problems() {
  std::string sentence;
  for (const auto& [what, waits] : counts_.waits) {
    Waits& reported = reported_waits_[what];
    const std::uint64_t requests = waits.requests - reported.requests,
                        delay = waits.milliseconds - reported.milliseconds;
    if (delay >= warned_wait_milliseconds)
      sentence +=
          " " + std::to_string(requests) + " requests waited " + std::to_string(delay) + " ms for '" + what + "'.";
    reported = waits;
  }
  for (const auto& [what, count] : counts_.attempts_failed) {
    std::uint64_t& reported = reported_attempts_failed_[what];
    if (count > reported) sentence += " " + std::to_string(count - reported) + " attempts ended: " + what + ".";
    reported = count;
  }
  // The soak test finds these counts in the logs by the text of this message.
  if (counts_.over_share > reported_over_share_)
    sentence += " " + std::to_string(counts_.over_share - reported_over_share_) +
                " requests went over connections without a right.";
  reported_over_share_ = counts_.over_share;
  if (!sentence.empty()) warn(StringView(sentence).substr(1));
}

void Router::report_periodically() {
  answered_last_ = std::exchange(answered_now_, {});
  warn_about_problems();
  report_load();
  messenger_.timers().after(report_interval, [this] { report_periodically(); });
}

void Router::report_load() {
  runner_table_.early_report_needed = false;
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  std::map<std::string, std::uint32_t> queued;
  for (const auto& key : waiting_)
    if (const Record& record = requests_.at(std::get<Id>(key)); !record.kinds.empty()) ++queued[record.kinds.front()];
  std::map<std::string, std::size_t> over_share;
  for (const auto& [id, record] : requests_)
    if (record.over_share && (record.state == State::sent || record.state == State::relaying))
      ++over_share[record.runner];
  for (const auto& [kind, resource] : configuration->kinds) {
    const Voter* voter = slot_owner(configuration->roster, *members, slot_of("circle/" + kind));
    if (voter == nullptr) continue;
    LoadReport report;
    report.runner_kind = kind;
    report.incarnation = messenger_.incarnation();
    report.runners = runner_table_.load(*configuration, kind, resource.spec);
    for (auto& [name, load] : report.runners) {
      const std::size_t open = runner_client_.connections(configuration->runners.at(name).spec.address, name);
      load.connections = static_cast<std::uint32_t>(open - std::min(open, over_share[name]));
    }
    report.queued = queued[kind];
    messenger_.send(voter->address, report);
  }
  runner_table_.erase_removed(*configuration);
}

}  // namespace mothwalk
