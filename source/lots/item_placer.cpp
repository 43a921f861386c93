// Fetches items, sends them to runners and reports their outcomes.
#include "lots/item_placer.hpp"

#include <algorithm>

#include "routes/events.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration tick_interval = milliseconds(100);
// An item is sent to its runner only within this time after its fetch began.
constexpr Duration start_lease = milliseconds(1000);
constexpr Duration fetch_timeout = milliseconds(1500);
// Short delays, so that items that end together are replaced by one fetch and reported in one message.
constexpr Duration fetch_delay = milliseconds(20);
constexpr Duration report_delay = milliseconds(15);
constexpr Duration report_timeout = milliseconds(1000);
constexpr std::size_t max_reports_per_message = 64;
constexpr std::size_t max_report_bytes = 1u << 20;
// An owner is no longer asked for items this long after its last PendingItems message.
constexpr Duration pending_owner_lifetime = milliseconds(1500);
// How long repeatable items may still run on a runner that may no longer get items.
constexpr Duration stop_delay = milliseconds(2000);
// Load totals that are received this long after a change are based only on reports sent after the change.
constexpr Duration totals_lag = milliseconds(1500);
constexpr std::uint64_t load_report_ticks = 10;
constexpr std::size_t max_body_bytes = 4u << 20;
// A runner that stays silent for longer is given up. The events received until then are kept.
constexpr Duration first_event_timeout = milliseconds(5000), next_event_timeout = milliseconds(3000);
// The shares of a cold runner's rate limit that items may use on a runner that is cold or shared with live requests,
// and on any other runner. The rest of the former is left to live requests.
constexpr double cold_share = 0.35, warm_share = 1.2;
// The time budget that the attempts at items of a batch state to the runner.
constexpr Duration run_budget = milliseconds(30000);

bool lane_uses_kind(const Lane& lane, const KindId& kind) {
  for (const auto& share : lane.kinds())
    if (share.kind == kind && share.weight > 0) return true;
  return false;
}
}  // namespace

// Collects the response to an item of a plain lot, which becomes the result unchanged.
class ItemPlacer::PlainResponseReader : public AttemptObserver {
 public:
  PlainResponseReader(ItemPlacer& placer, std::uint64_t attempt, std::vector<std::uint32_t> refusals)
      : placer_(placer), attempt_(attempt), refusals_(std::move(refusals)) {}
  void on_head(int status, const std::vector<Header>&) override { status_ = status; }
  void on_chunk(StringView chunk) override {
    if (body_.size() + chunk.size() <= max_body_bytes)
      body_.append(chunk);
    else
      too_large_ = true;
  }
  void on_end(AttemptOutcome outcome) override {
    if (outcome == AttemptOutcome::not_sent) return placer_.on_attempt_ended(attempt_, {"not_run", 0, {}, {}});
    if (outcome != AttemptOutcome::complete || too_large_)
      return placer_.on_attempt_ended(attempt_, {"lost", 0, {}, {}});
    if (std::find(refusals_.begin(), refusals_.end(), static_cast<std::uint32_t>(status_)) != refusals_.end())
      return placer_.on_attempt_ended(attempt_, {"not_run", status_, {}, {}});
    placer_.on_attempt_ended(attempt_, {"answer", status_, std::move(body_), {}});
  }

 private:
  ItemPlacer& placer_;
  std::uint64_t attempt_;
  std::vector<std::uint32_t> refusals_;
  int status_ = 0;
  Bytes body_;
  bool too_large_ = false;
};

// Collects the response to an item of a batch: an event stream whose data is the text. Only a complete stream is a
// result.
class ItemPlacer::BatchResponseReader : public AttemptObserver {
 public:
  BatchResponseReader(ItemPlacer& placer, std::uint64_t attempt, RequestInfo request_info, PartialStream part)
      : placer_(placer),
        attempt_(attempt),
        request_info_(std::move(request_info)),
        part_(std::move(part)),
        reader_(placer.dialect_.version_field()) {
    reader_.begin(part_.last_event > 0 ? std::optional(part_.last_event) : std::nullopt);
  }
  void on_head(int status, const std::vector<Header>& headers) override {
    status_ = status;
    response_ = placer_.dialect_.read_response(status, headers, request_info_);
    if (response_.mismatched) return placer_.abort_attempt(attempt_, "lost", 0);
    const bool resumed = part_.last_event > 0;
    // Text of different model weights must not be joined. A runner with other weights refuses to resume with status
    // 421.
    if (resumed && status == 421 && !part_.version.empty()) damaged_ = true;
    if (resumed && is_success() && response_.version != part_.version) damaged_ = true;
    if (damaged_) return placer_.abort_attempt(attempt_, "damaged", status);
    if (is_success()) part_.version = response_.version;
  }
  void on_chunk(StringView chunk) override {
    if (!is_success() || damaged_) return;
    Bytes events;
    const bool consistent = reader_.take(chunk, events);
    append_data(events);
    if (reader_.last()) part_.last_event = *reader_.last();
    if (reader_.version()) part_.version = *reader_.version();
    damaged_ = !consistent || part_.text.size() > max_body_bytes;
    if (damaged_) placer_.abort_attempt(attempt_, "damaged", status_);
  }
  void on_end(AttemptOutcome outcome) override {
    if (outcome == AttemptOutcome::not_sent) return finish("not_run");
    if (status_ == 0 || response_.mismatched) return finish("lost");
    if (response_.not_run || response_.other_instance) return finish("not_run");
    if (outcome != AttemptOutcome::complete) return finish("lost");
    if (status_ == 500) return finish("failed");
    if (status_ == 422) return finish("impossible");
    if (!is_success() || !reader_.rest().empty()) return finish("lost");
    placer_.on_attempt_ended(attempt_, {"answer", status_, std::move(part_.text), {}});
  }
  PartialStream part() const { return part_.last_event > 0 && !damaged_ ? part_ : PartialStream{}; }

 private:
  bool is_success() const {
    return status_ >= 200 && status_ < 300 && !response_.mismatched && !response_.not_run && !response_.other_instance;
  }
  void finish(const char* outcome) { placer_.on_attempt_ended(attempt_, {outcome, status_, {}, part()}); }
  void append_data(StringView events) {
    while (!events.empty()) {
      const auto end = std::min(events.find('\n'), events.size());
      StringView line = events.substr(0, end);
      events.remove_prefix(std::min(end + 1, events.size()));
      if (line.ends_with('\r')) line.remove_suffix(1);
      if (!line.starts_with("data:")) continue;
      line.remove_prefix(5);
      if (line.starts_with(' ')) line.remove_prefix(1);
      if (has_data_ || part_.last_event > 0) part_.text += '\n';
      part_.text += line;
      has_data_ = true;
    }
  }

  ItemPlacer& placer_;
  std::uint64_t attempt_;
  RequestInfo request_info_;
  PartialStream part_;
  EventReader reader_;
  ResponseInfo response_;
  int status_ = 0;
  bool has_data_ = false, damaged_ = false;
};

ItemPlacer::ItemPlacer(Messenger& messenger, SharedState& shared_state, RunnerClient& runner_client,
                       RandomSource& random, const Dialect& dialect)
    : messenger_(messenger),
      shared_state_(shared_state),
      runner_client_(runner_client),
      random_(random),
      dialect_(dialect) {
  messenger_.on_message<PendingItems>([this](const Address& from, PendingItems pending) {
    pending_owners_[from] = PendingOwner{std::move(pending.kinds), std::move(pending.late), messenger_.timers().now()};
    schedule_fetch();
  });
  messenger_.on_message<PlacerTotals>([this](const Address&, PlacerTotals message) {
    shared_state_.set_totals(message.totals.runner_kind,
                             KindTotals{messenger_.timers().now(), std::move(message.totals.runners)});
  });
  messenger_.on_request<CheckHeldItems>(
      [this](const Address&, CheckHeldItems request, ReplyCallback<CheckHeldItemsReply> respond) {
        if (request.incarnation != messenger_.incarnation())
          return respond(Error{ErrorKind::stale, "incarnation", "the placer has restarted", "treat its items as lost"});
        CheckHeldItemsReply reply;
        for (auto& item : request.items)
          if (!held_items_.contains(item)) reply.missing.push_back(std::move(item));
        respond(std::move(reply));
      });
  messenger_.on_request<ListHeldItems>([this](const Address&, ListHeldItems request, ReplyCallback<HeldItems> respond) {
    HeldItems reply{messenger_.incarnation(), {}};
    for (const auto& name : held_items_)
      if (slot_of("lot/" + name.lot) == request.slot) reply.items.push_back(name);
    respond(std::move(reply));
  });
  messenger_.on_message<StopLotItems>([this](const Address&, StopLotItems stop) {
    std::vector<std::uint64_t> stopped;
    for (const auto& [number, attempt] : attempts_)
      if (attempt.item.lot == stop.lot) stopped.push_back(number);
    stop_attempts(stopped);
  });
}

void ItemPlacer::start() {
  tick();
}

bool ItemPlacer::accepts_items(const ConfigurationView& configuration, const std::string& runner_name,
                               const Runner& runner) const {
  if (runner.leaving || configuration.evacuated(runner.zone)) return false;
  auto circle = configuration.circles.find(runner.kind.text);
  if (circle == configuration.circles.end()) return false;
  if (circle->second.spec.has(runner_name) && !circle->second.spec.takes_lot_items(runner_name)) return false;
  const auto& unreachable = circle->second.spec.dark;
  return std::find(unreachable.begin(), unreachable.end(), RunnerId(runner_name)) == unreachable.end();
}

std::optional<std::uint64_t> ItemPlacer::appointed_term(const ConfigurationView& configuration,
                                                        const std::string& runner_name, const Runner& runner) const {
  auto circle = configuration.circles.find(runner.kind.text);
  if (circle == configuration.circles.end()) return std::nullopt;
  const auto& placers = circle->second.spec.placers;
  auto placer = placers.find(runner_name);
  if (placer == placers.end() || placer->second.address != messenger_.self() ||
      placer->second.incarnation != messenger_.incarnation())
    return std::nullopt;
  if (!accepts_items(configuration, runner_name, runner)) return std::nullopt;
  return placer->second.term;
}

// The runner's slots that are used neither by items nor by streams that began while the runner was in the circle. Half
// of them stay free until the totals are based on reports that are newer than this daemon's appointment as placer. A
// member of the circle keeps half of its slots for live prompts. If the kind limits the rate at which a cold runner is
// sent requests, the limit always applies, because any runner may turn cold at any moment.
std::uint32_t ItemPlacer::free_capacity(const std::string& runner_name, const Runner& runner, const Kind& kind,
                                        bool shared, RunnerState& state) {
  const auto load = shared_state_.load.get();
  auto totals = load->find(runner.kind.text);
  if (totals == load->end() || !state.appointed_since) return 0;
  auto found = totals->second.runners.find(runner_name);
  // Older totals do not include the prompts that were sent to the runner shortly before the appointment.
  if (totals->second.received < *state.appointed_since) return 0;
  const std::uint32_t used_slots =
      state.open_items + (found == totals->second.runners.end() ? 0 : found->second.open + found->second.foreign);
  std::uint32_t free_slots = used_slots < runner.slots ? runner.slots - used_slots : 0;
  if (totals->second.received < *state.appointed_since + totals_lag)
    free_slots = free_slots > runner.slots / 2 ? free_slots - runner.slots / 2 : 0;
  if (shared) {
    const std::uint32_t item_limit = items_beside_prompts(kind, runner);
    free_slots = std::min(free_slots, item_limit - std::min(item_limit, used_slots));
  }
  if (kind.cold_rate > 0) {
    const TimePoint now = messenger_.timers().now();
    // The window is slightly longer than the second for which the rate limit is stated.
    while (!state.recent_sends.empty() && now - state.recent_sends.front() > milliseconds(1100))
      state.recent_sends.pop_front();
    const double rate_share = shared || runner.cold > Duration{} ? cold_share : warm_share;
    const auto max_sends = static_cast<std::size_t>(std::max(1.0, kind.cold_rate * rate_share));
    free_slots =
        std::min(free_slots, static_cast<std::uint32_t>(max_sends - std::min(max_sends, state.recent_sends.size())));
  }
  return free_slots;
}

void ItemPlacer::report_load() {
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  const TimePoint now = messenger_.timers().now();
  std::map<std::string, LoadReport> reports;
  for (const auto& [runner_name, state] : runner_states_) {
    auto runner = configuration->runners.find(runner_name);
    const bool tried = state.last_send.microseconds > 0 && now - state.last_send < std::chrono::seconds(10);
    if (runner == configuration->runners.end() || (state.open_items == 0 && !tried)) continue;
    const bool failing = state.failures > 0 && now < state.next_fetch_at + std::chrono::seconds(1);
    reports[runner->second.spec.kind.text].runners[runner_name] =
        ObservedLoad{state.open_items,
                     failing && state.failures >= 2,
                     tried,
                     failing ? std::optional(Duration{}) : std::nullopt,
                     std::nullopt,
                     false,
                     static_cast<std::uint32_t>(runner_client_.connections(runner->second.spec.address, runner_name))};
  }
  for (auto& [kind, report] : reports) {
    report.runner_kind = kind;
    report.incarnation = messenger_.incarnation();
    report.items = true;
    if (const Voter* owner = slot_owner(configuration->roster, *members, slot_of("circle/" + kind)))
      messenger_.send(owner->address, report);
  }
}

void ItemPlacer::tick() {
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  own_runners_.clear();
  for (const auto& [kind, circle] : configuration->circles)
    for (const auto& [runner_name, placer] : circle.spec.placers)
      if (placer.address == messenger_.self()) runner_states_.try_emplace(runner_name);
  // If a runner may no longer get items, for example because it entered the circle, its items get a bounded time to
  // end. The repeatable ones are then stopped.
  for (auto each = runner_states_.begin(); each != runner_states_.end();) {
    auto& [runner_name, state] = *each;
    auto runner = configuration->runners.find(runner_name);
    if (runner == configuration->runners.end() && state.open_items == 0 && !state.fetching) {
      each = runner_states_.erase(each);
      continue;
    }
    const bool accepts =
        runner != configuration->runners.end() && accepts_items(*configuration, runner_name, runner->second.spec);
    if (accepts)
      state.rejecting_since.reset();
    else if (!state.rejecting_since)
      state.rejecting_since = now;
    const auto term = accepts ? appointed_term(*configuration, runner_name, runner->second.spec) : std::nullopt;
    if (!term)
      state.appointed_since.reset();
    else if (!state.appointed_since || state.term != *term)
      state.appointed_since = now;
    state.term = term.value_or(0);
    if (term) own_runners_.insert(runner_name);
    ++each;
  }
  if (++ticks_ % load_report_ticks == 0) report_load();
  std::vector<std::uint64_t> overdue;
  for (const auto& [number, attempt] : attempts_)
    if (const RunnerState& state = runner_states_[attempt.runner];
        attempt.repeatable && state.rejecting_since && now - *state.rejecting_since > stop_delay)
      overdue.push_back(number);
  stop_attempts(overdue);
  std::erase_if(pending_owners_,
                [&](const auto& entry) { return now - entry.second.received_at > pending_owner_lifetime; });
  fetch_for_runners();
  if (!reports_.empty()) send_reports();
  messenger_.timers().after(tick_interval, [this] { tick(); });
}

void ItemPlacer::stop_attempts(const std::vector<std::uint64_t>& numbers) {
  for (const std::uint64_t number : numbers) {
    auto found = attempts_.find(number);
    if (found == attempts_.end()) continue;
    runner_client_.cancel(found->second.request_id);
    on_attempt_ended(number, {"stopped", 0, {}, found->second.batch ? found->second.batch->part() : PartialStream{}});
  }
}

void ItemPlacer::abort_attempt(std::uint64_t number, const std::string& outcome, int status) {
  auto found = attempts_.find(number);
  if (found == attempts_.end()) return;
  runner_client_.cancel(found->second.request_id);
  on_attempt_ended(number, {outcome, status, {}, {}});
}

void ItemPlacer::schedule_fetch() {
  if (fetch_scheduled_) return;
  fetch_scheduled_ = true;
  messenger_.timers().after(fetch_delay, [this] {
    fetch_scheduled_ = false;
    fetch_for_runners();
  });
}

void ItemPlacer::fetch_for_runners() {
  const TimePoint now = messenger_.timers().now();
  if (pending_owners_.empty() || own_runners_.empty() || !shared_state_.has_lease(now) || shared_state_.draining)
    return;
  const auto configuration = shared_state_.configuration.get();
  for (const auto& runner_name : own_runners_) {
    auto entry = configuration->runners.find(runner_name);
    if (entry == configuration->runners.end()) continue;
    const Runner& runner = entry->second.spec;
    auto kind = configuration->kinds.find(runner.kind.text);
    if (kind == configuration->kinds.end()) continue;
    RunnerState& state = runner_states_[runner_name];
    if (state.fetching || now < state.next_fetch_at) continue;
    const auto term = appointed_term(*configuration, runner_name, runner);
    if (!term) continue;
    const bool shared = configuration->circles.at(runner.kind.text).spec.takes_lot_items(runner_name);
    const std::uint32_t free_slots = free_capacity(runner_name, runner, kind->second.spec, shared, state);
    // A runner that failed recently gets a single item as a probe.
    if (free_slots > 0 && (state.failures == 0 || state.open_items == 0))
      fetch_items(runner_name, runner, state, *term, state.failures > 0 ? 1 : free_slots, kind->second.spec);
  }
}

void ItemPlacer::fetch_items(const std::string& runner_name, const Runner& runner, RunnerState& state,
                             std::uint64_t term, std::uint32_t count, const Kind& kind) {
  FetchItems request{runner.kind.text, runner_name, count, term, 0};
  if (kind.engine.memory_tokens > 0) {
    if (state.open_tokens >= kind.engine.memory_tokens) return;
    request.tokens = kind.engine.memory_tokens - state.open_tokens;
  }
  std::vector<Address> owners;
  for (const bool late : {false, true})
    for (const auto& [address, pending] : pending_owners_) {
      const auto& counts = late ? pending.late : pending.kinds;
      if (late && !owners.empty()) break;
      if (auto found = counts.find(runner.kind.text); found != counts.end() && found->second > 0)
        owners.push_back(address);
    }
  if (owners.empty()) return;
  const Address owner = owners[random_.below(owners.size())];
  state.fetching = true;
  messenger_.request(
      owner, request, fetch_timeout,
      [this, runner_name, owner, kind = runner.kind.text,
       began = messenger_.timers().now()](Result<ItemsReply> result) {
        runner_states_[runner_name].fetching = false;
        auto* reply = std::get_if<ItemsReply>(&result);
        if (reply == nullptr) {
          pending_owners_.erase(owner);
          return;
        }
        if (auto pending = pending_owners_.find(owner); pending != pending_owners_.end())
          pending->second.kinds[kind] = reply->remaining, pending->second.late[kind] = reply->late;
        const TimePoint now = messenger_.timers().now();
        const auto configuration = shared_state_.configuration.get();
        auto found = configuration->runners.find(runner_name);
        const bool may_send = found != configuration->runners.end() &&
                              appointed_term(*configuration, runner_name, found->second.spec) &&
                              shared_state_.has_lease(now) && now - began < start_lease;
        for (const auto& item : reply->items) {
          held_items_.insert(ItemAttemptId{item.lot, item.item, item.attempt});
          if (may_send)
            send_item(runner_name, item);
          else
            queue_report(ItemReport{item.lot, item.item, item.attempt, "not_run", 0, {}, {}, item.failures});
        }
        schedule_fetch();
      });
}

void ItemPlacer::send_item(const std::string& runner_name, const PlacedItem& item) {
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(item.lane);
  auto runner = configuration->runners.find(runner_name);
  auto kind = runner == configuration->runners.end() ? configuration->kinds.end()
                                                     : configuration->kinds.find(runner->second.spec.kind.text);
  if (lane == configuration->lanes.end() || kind == configuration->kinds.end() ||
      !lane_uses_kind(lane->second.spec, runner->second.spec.kind))
    return queue_report(ItemReport{item.lot, item.item, item.attempt, "not_run", 0, {}, {}, item.failures});
  const std::uint64_t number = ++last_attempt_;
  const TimePoint now = messenger_.timers().now();
  RunnerState& state = runner_states_[runner_name];
  ++state.open_items;
  state.open_tokens += item.request.tokens;
  state.last_send = now;
  if (kind->second.spec.cold_rate > 0) state.recent_sends.push_back(now);
  Attempt& attempt = attempts_[number];
  attempt = Attempt{runner_name, item, 0, item.batch || lane->second.spec.repeatable, nullptr};
  AttemptRequest request;
  request.to = runner->second.spec.address;
  request.method = "POST";
  request.body = std::make_shared<const Bytes>(std::move(attempt.item.request.body));
  request.connecting = lane->second.spec.connecting;
  request.first_piece = lane->second.spec.first_piece;
  request.between_pieces = lane->second.spec.between_pieces;
  request.runner = runner_name;
  request.repeatable = attempt.repeatable;
  std::shared_ptr<AttemptObserver> observer;
  if (item.batch) {
    request.target = item.request.path;
    request.headers = item.request.headers;
    request.first_piece = std::min(request.first_piece, first_event_timeout);
    request.between_pieces = std::min(request.between_pieces, next_event_timeout);
    RequestInfo request_info = dialect_.read_request(request.headers);
    request_info.id = item.request.id;
    request_info.host = item.host;
    request.id = request_info.id;
    AttemptInfo attempt_info{runner_name, run_budget, std::nullopt, {}};
    if (item.part.last_event > 0) {
      attempt_info.last_event = item.part.last_event;
      attempt_info.version = item.part.version;
    }
    dialect_.write_attempt(request, request_info, attempt_info);
    observer = attempt.batch =
        std::make_shared<BatchResponseReader>(*this, number, std::move(request_info), std::move(attempt.item.part));
  } else {
    request.target = lane->second.spec.path;
    request.id = item.lot + "/" + std::to_string(item.item);
    request.headers = {
        {"Content-Type", "application/json"}, {"X-Request-Id", request.id}, {"X-Mothwalk-Lot", item.lot}};
    observer = std::make_shared<PlainResponseReader>(*this, number, kind->second.spec.refusals);
  }
  attempt.request_id = runner_client_.start(request, observer);
}

void ItemPlacer::on_attempt_ended(std::uint64_t number, AttemptResult result) {
  auto found = attempts_.find(number);
  if (found == attempts_.end()) return;
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  const std::string& outcome = result.outcome;
  const TimePoint now = messenger_.timers().now();
  RunnerState& state = runner_states_[attempt.runner];
  --state.open_items;
  state.open_tokens -= std::min<std::uint64_t>(state.open_tokens, attempt.item.request.tokens);
  if (outcome == "answer" || outcome == "failed" || outcome == "impossible") {
    state.failures = 0;
  } else if (outcome == "not_run" && result.status != 0 && result.status != 421) {
    state.next_fetch_at = now + milliseconds(200);  // The runner is busy but healthy.
  } else if (outcome != "stopped" && !(outcome == "damaged" && result.status == 421)) {
    state.failures = std::min(state.failures + 1, 5u);
    state.next_fetch_at = now + milliseconds(200 << state.failures);
  }
  ItemReport report{attempt.item.lot, attempt.item.item,      attempt.item.attempt,   outcome,
                    result.status,    std::move(result.body), std::move(result.part), attempt.item.failures};
  report.failures += outcome == "failed";
  queue_report(std::move(report));
  schedule_fetch();
}

// Reports are sent until the owner acknowledges them. Until then the item counts as held by this placer.

void ItemPlacer::queue_report(ItemReport report) {
  const ItemAttemptId name{report.lot, report.item, report.attempt};
  reports_[name] = Report{std::move(report), false};
  schedule_reports();
}

void ItemPlacer::schedule_reports() {
  if (reports_scheduled_) return;
  reports_scheduled_ = true;
  messenger_.timers().after(report_delay, [this] {
    reports_scheduled_ = false;
    send_reports();
  });
}

void ItemPlacer::send_reports() {
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  struct ReportBatch {
    ReportItems message;
    std::vector<ItemAttemptId> names;
    std::size_t bytes = 0;
  };
  std::map<Address, ReportBatch> batches;
  for (auto& [name, report] : reports_) {
    if (report.in_flight) continue;
    const std::string key = "lot/" + name.lot;
    const Voter* owner = slot_owner(configuration->roster_of(key), *members, slot_of(key));
    if (owner == nullptr) continue;
    ReportBatch& batch = batches[owner->address];
    if (batch.names.size() >= max_reports_per_message || batch.bytes >= max_report_bytes) continue;
    report.in_flight = true;
    batch.bytes += report.item.body.size() + report.item.part.text.size();
    batch.names.push_back(name);
    batch.message.items.push_back(report.item);
  }
  for (auto& [owner, batch] : batches)
    messenger_.request(owner, batch.message, report_timeout,
                       [this, names = std::move(batch.names)](Result<ReportItemsReply> result) {
                         for (const auto& name : names)
                           if (auto found = reports_.find(name); found != reports_.end())
                             found->second.in_flight = false;
                         auto* reply = std::get_if<ReportItemsReply>(&result);
                         if (reply == nullptr) return;  // The next tick sends the reports again.
                         for (const std::uint32_t index : reply->acknowledged) {
                           if (index >= names.size()) continue;
                           reports_.erase(names[index]);
                           held_items_.erase(names[index]);
                         }
                       });
}

}  // namespace mothwalk
