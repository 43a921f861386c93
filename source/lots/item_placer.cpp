// Fetching, sending and reporting of items.
#include "lots/item_placer.hpp"

#include <algorithm>

#include "routes/events.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration tick_span = milliseconds(100);
constexpr Duration start_lease = milliseconds(1000);
constexpr Duration fetch_limit = milliseconds(1500);
constexpr Duration work_gap = milliseconds(20);    // so that items that end together are replaced by one fetch
constexpr Duration report_gap = milliseconds(15);  // and reported by one message
constexpr Duration report_limit = milliseconds(1000);
constexpr std::size_t most_reports = 64;
constexpr std::size_t report_bytes = 1u << 20;
constexpr Duration source_span = milliseconds(1500);
constexpr Duration leave_span = milliseconds(2000);
constexpr Duration account_span =
    milliseconds(1500);  // totals told so long after a change are made of reports after it
constexpr std::uint64_t load_ticks = 10;
constexpr std::size_t longest_body = 4u << 20;
constexpr Duration first_event_limit = milliseconds(5000),
                   next_event_limit = milliseconds(3000);  // silence; what came is kept
constexpr double cold_share = 0.35, warm_share = 1.2;  // of what a cold runner bears; live requests may take the rest
constexpr Duration run_budget = milliseconds(30000);

bool leads(const Lane& lane, const KindId& kind) {
  for (const auto& share : lane.kinds())
    if (share.kind == kind && share.weight > 0) return true;
  return false;
}
}  // namespace

// The answer is taken as it is.
class ItemPlacer::Watcher : public AttemptObserver {
 public:
  Watcher(ItemPlacer& placing, std::uint64_t attempt, std::vector<std::uint32_t> refusals)
      : placing_(placing), attempt_(attempt), refusals_(std::move(refusals)) {}
  void on_head(int status, const std::vector<Header>&) override { status_ = status; }
  void on_chunk(StringView piece) override {
    if (body_.size() + piece.size() <= longest_body)
      body_.append(piece);
    else
      too_long_ = true;
  }
  void on_end(AttemptOutcome end) override {
    if (end == AttemptOutcome::not_sent) return placing_.ended(attempt_, {"not_run", 0, {}, {}});
    if (end != AttemptOutcome::whole || too_long_) return placing_.ended(attempt_, {"lost", 0, {}, {}});
    if (std::find(refusals_.begin(), refusals_.end(), static_cast<std::uint32_t>(status_)) != refusals_.end())
      return placing_.ended(attempt_, {"not_run", status_, {}, {}});
    placing_.ended(attempt_, {"answer", status_, std::move(body_), {}});
  }

 private:
  ItemPlacer& placing_;
  std::uint64_t attempt_;
  std::vector<std::uint32_t> refusals_;
  int status_ = 0;
  Bytes body_;
  bool too_long_ = false;
};

// The answer is a series of events: their data is the text, and only a whole answer ends it.
class ItemPlacer::BatchWatcher : public AttemptObserver {
 public:
  BatchWatcher(ItemPlacer& placing, std::uint64_t attempt, RequestInfo facts, StreamPart part)
      : placing_(placing),
        attempt_(attempt),
        facts_(std::move(facts)),
        part_(std::move(part)),
        reader_(placing.dialect_.version_field()) {
    reader_.begin(part_.last_event > 0 ? std::optional(part_.last_event) : std::nullopt);
  }
  void on_head(int status, const std::vector<Header>& headers) override {
    status_ = status;
    answer_ = placing_.dialect_.read_answer(status, headers, facts_);
    if (answer_.foreign) return placing_.leave(attempt_, "lost", 0);
    const bool continued = part_.last_event > 0;
    // Under other weights the text would not be one; a runner with others turns the continuation away.
    if (continued && status == 421 && !part_.version.empty()) damaged_ = true;
    if (continued && good() && answer_.version != part_.version) damaged_ = true;
    if (damaged_) return placing_.leave(attempt_, "damaged", status);
    if (good()) part_.version = answer_.version;
  }
  void on_chunk(StringView piece) override {
    if (!good() || damaged_) return;
    Bytes events;
    const bool sound = reader_.take(piece, events);
    add(events);
    if (reader_.last()) part_.last_event = *reader_.last();
    if (reader_.version()) part_.version = *reader_.version();
    damaged_ = !sound || part_.text.size() > longest_body;
    if (damaged_) placing_.leave(attempt_, "damaged", status_);
  }
  void on_end(AttemptOutcome end) override {
    if (end == AttemptOutcome::not_sent) return give("not_run");
    if (status_ == 0 || answer_.foreign) return give("lost");
    if (answer_.not_run || answer_.other_instance) return give("not_run");
    if (end != AttemptOutcome::whole) return give("lost");
    if (status_ == 500) return give("failed");
    if (status_ == 422) return give("impossible");
    if (!good() || !reader_.rest().empty()) return give("lost");
    placing_.ended(attempt_, {"answer", status_, std::move(part_.text), {}});
  }
  StreamPart part() const { return part_.last_event > 0 && !damaged_ ? part_ : StreamPart{}; }

 private:
  bool good() const {
    return status_ >= 200 && status_ < 300 && !answer_.foreign && !answer_.not_run && !answer_.other_instance;
  }
  void give(const char* outcome) { placing_.ended(attempt_, {outcome, status_, {}, part()}); }
  void add(StringView events) {
    while (!events.empty()) {
      const auto end = std::min(events.find('\n'), events.size());
      StringView line = events.substr(0, end);
      events.remove_prefix(std::min(end + 1, events.size()));
      if (line.ends_with('\r')) line.remove_suffix(1);
      if (!line.starts_with("data:")) continue;
      line.remove_prefix(5);
      if (line.starts_with(' ')) line.remove_prefix(1);
      if (any_ || part_.last_event > 0) part_.text += '\n';
      part_.text += line;
      any_ = true;
    }
  }

  ItemPlacer& placing_;
  std::uint64_t attempt_;
  RequestInfo facts_;
  StreamPart part_;
  EventReader reader_;
  ResponseInfo answer_;
  int status_ = 0;
  bool any_ = false, damaged_ = false;
};

ItemPlacer::ItemPlacer(Messenger& messenger, SharedState& shared_state, RunnerClient& exchange, RandomSource& random,
                       const Dialect& dialect)
    : messenger_(messenger), shared_state_(shared_state), runner_client_(exchange), random_(random), dialect_(dialect) {
  messenger_.on_message<PendingItems>([this](const Address& from, PendingItems pending) {
    sources_[from] = Source{std::move(pending.kinds), std::move(pending.late), messenger_.timers().now()};
    work_soon();
  });
  messenger_.on_message<PlacerTotals>([this](const Address&, PlacerTotals told) {
    shared_state_.take_totals(told.totals.runner_kind,
                              KindTotals{messenger_.timers().now(), std::move(told.totals.runners)});
  });
  messenger_.on_request<AskHeld>([this](const Address&, AskHeld ask, ReplyCallback<HeldReply> answer) {
    if (ask.incarnation != messenger_.incarnation())
      return answer(Error{ErrorKind::stale, "incarnation", "the placer was started anew", "take its items as lost"});
    HeldReply reply;
    for (auto& item : ask.items)
      if (!held_.contains(item)) reply.missing.push_back(std::move(item));
    answer(std::move(reply));
  });
  messenger_.on_request<AskSlot>([this](const Address&, AskSlot ask, ReplyCallback<SlotItems> answer) {
    SlotItems reply{messenger_.incarnation(), {}};
    for (const auto& name : held_)
      if (slot_of("lot/" + name.lot) == ask.slot) reply.items.push_back(name);
    answer(std::move(reply));
  });
  messenger_.on_message<StopLot>([this](const Address&, StopLot ended) {
    std::vector<std::uint64_t> stopped;
    for (const auto& [number, attempt] : attempts_)
      if (attempt.item.lot == ended.lot) stopped.push_back(number);
    stop(stopped);
  });
}

void ItemPlacer::start() {
  tick();
}

bool ItemPlacer::takes_items(const ConfigurationView& configuration, const std::string& name,
                             const Runner& runner) const {
  if (runner.leaving || configuration.evacuated(runner.zone)) return false;
  auto circle = configuration.circles.find(runner.kind.text);
  if (circle == configuration.circles.end()) return false;
  if (circle->second.spec.has(name) && !circle->second.spec.shares(name)) return false;
  const auto& dark = circle->second.spec.dark;
  return std::find(dark.begin(), dark.end(), RunnerId(name)) == dark.end();
}

std::optional<std::uint64_t> ItemPlacer::appointed(const ConfigurationView& configuration, const std::string& name,
                                                   const Runner& runner) const {
  auto circle = configuration.circles.find(runner.kind.text);
  if (circle == configuration.circles.end()) return std::nullopt;
  const auto& placers = circle->second.spec.placers;
  auto placer = placers.find(name);
  if (placer == placers.end() || placer->second.address != messenger_.self() ||
      placer->second.incarnation != messenger_.incarnation())
    return std::nullopt;
  if (!takes_items(configuration, name, runner)) return std::nullopt;
  return placer->second.term;
}

// Slots free of items and of streams that began while the runner was in the circle; half of them stay free until the
// totals are newer than the change that made this daemon its placer. A member of the circle has half of its slots for
// prompts alone. A runner that may turn cold at any moment is never given more in a second than a cold one bears.
std::uint32_t ItemPlacer::room(const std::string& name, const Runner& runner, const Kind& kind, bool shared,
                               Work& state) {
  const auto load = shared_state_.load.get();
  auto totals = load->find(runner.kind.text);
  if (totals == load->end() || !state.taking_since) return 0;
  auto found = totals->second.runners.find(name);
  // Totals from before it came out do not tell the prompts that were sent to it last.
  if (totals->second.heard < *state.taking_since) return 0;
  const std::uint32_t taken =
      state.open + (found == totals->second.runners.end() ? 0 : found->second.open + found->second.foreign);
  std::uint32_t free = taken < runner.slots ? runner.slots - taken : 0;
  if (totals->second.heard < *state.taking_since + account_span)
    free = free > runner.slots / 2 ? free - runner.slots / 2 : 0;
  if (shared) {
    const std::uint32_t most = items_beside_prompts(kind, runner);
    free = std::min(free, most - std::min(most, taken));
  }
  if (kind.cold_rate > 0) {
    const TimePoint now = messenger_.timers().now();
    while (!state.sent.empty() && now - state.sent.front() > milliseconds(1100)) state.sent.pop_front();
    const double share = shared || runner.cold > Duration{} ? cold_share : warm_share;
    const auto bound = static_cast<std::size_t>(std::max(1.0, kind.cold_rate * share));
    free = std::min(free, static_cast<std::uint32_t>(bound - std::min(bound, state.sent.size())));
  }
  return free;
}

void ItemPlacer::report_load() {
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  const TimePoint now = messenger_.timers().now();
  std::map<std::string, LoadReport> reports;
  for (const auto& [name, state] : works_) {
    auto runner = configuration->runners.find(name);
    const bool tried = state.last_sent.microseconds > 0 && now - state.last_sent < std::chrono::seconds(10);
    if (runner == configuration->runners.end() || (state.open == 0 && !tried)) continue;
    const bool failing = state.failures > 0 && now < state.not_before + std::chrono::seconds(1);
    reports[runner->second.spec.kind.text].runners[name] =
        ObservedLoad{state.open,
                     failing && state.failures >= 2,
                     tried,
                     failing ? std::optional(Duration{}) : std::nullopt,
                     std::nullopt,
                     false,
                     static_cast<std::uint32_t>(runner_client_.connections(runner->second.spec.address, name))};
  }
  for (auto& [kind, report] : reports) {
    report.runner_kind = kind;
    report.incarnation = messenger_.incarnation();
    report.items = true;
    if (const Voter* seat = slot_owner(configuration->roster, *members, slot_of("circle/" + kind)))
      messenger_.send(seat->address, report);
  }
}

void ItemPlacer::tick() {
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  mine_.clear();
  for (const auto& [kind, circle] : configuration->circles)
    for (const auto& [name, placer] : circle.spec.placers)
      if (placer.address == messenger_.self()) works_.try_emplace(name);
  // Items on a runner that entered the circle get a bounded time to end; those that may run again are then stopped.
  for (auto each = works_.begin(); each != works_.end();) {
    auto& [name, state] = *each;
    auto runner = configuration->runners.find(name);
    if (runner == configuration->runners.end() && state.open == 0 && !state.fetching) {
      each = works_.erase(each);
      continue;
    }
    const bool out = runner != configuration->runners.end() && takes_items(*configuration, name, runner->second.spec);
    if (out)
      state.barred_since.reset();
    else if (!state.barred_since)
      state.barred_since = now;
    const auto term = out ? appointed(*configuration, name, runner->second.spec) : std::nullopt;
    if (!term)
      state.taking_since.reset();
    else if (!state.taking_since || state.term != *term)
      state.taking_since = now;
    state.term = term.value_or(0);
    if (term) mine_.insert(name);
    ++each;
  }
  if (++ticks_ % load_ticks == 0) report_load();
  std::vector<std::uint64_t> late;
  for (const auto& [number, attempt] : attempts_)
    if (const Work& state = works_[attempt.runner];
        attempt.repeatable && state.barred_since && now - *state.barred_since > leave_span)
      late.push_back(number);
  stop(late);
  std::erase_if(sources_, [&](const auto& entry) { return now - entry.second.heard > source_span; });
  work();
  if (!reports_.empty()) flush();
  messenger_.timers().after(tick_span, [this] { tick(); });
}

void ItemPlacer::stop(const std::vector<std::uint64_t>& numbers) {
  for (const std::uint64_t number : numbers) {
    auto found = attempts_.find(number);
    if (found == attempts_.end()) continue;
    runner_client_.cancel(found->second.exchange);
    ended(number, {"stopped", 0, {}, found->second.batch ? found->second.batch->part() : StreamPart{}});
  }
}

void ItemPlacer::leave(std::uint64_t number, const std::string& outcome, int status) {
  auto found = attempts_.find(number);
  if (found == attempts_.end()) return;
  runner_client_.cancel(found->second.exchange);
  ended(number, {outcome, status, {}, {}});
}

void ItemPlacer::work_soon() {
  if (work_soon_) return;
  work_soon_ = true;
  messenger_.timers().after(work_gap, [this] {
    work_soon_ = false;
    work();
  });
}

void ItemPlacer::work() {
  const TimePoint now = messenger_.timers().now();
  if (sources_.empty() || mine_.empty() || !shared_state_.has_lease(now) || shared_state_.draining) return;
  const auto configuration = shared_state_.configuration.get();
  for (const auto& name : mine_) {
    auto entry = configuration->runners.find(name);
    if (entry == configuration->runners.end()) continue;
    const Runner& runner = entry->second.spec;
    auto kind = configuration->kinds.find(runner.kind.text);
    if (kind == configuration->kinds.end()) continue;
    Work& state = works_[name];
    if (state.fetching || now < state.not_before) continue;
    const auto term = appointed(*configuration, name, runner);
    if (!term) continue;
    const bool shared = configuration->circles.at(runner.kind.text).spec.shares(name);
    const std::uint32_t free = room(name, runner, kind->second.spec, shared, state);
    // A runner that failed lately gets one item to prove itself with.
    if (free > 0 && (state.failures == 0 || state.open == 0))
      fetch(name, runner, state, *term, state.failures > 0 ? 1 : free, kind->second.spec);
  }
}

void ItemPlacer::fetch(const std::string& name, const Runner& runner, Work& state, std::uint64_t term,
                       std::uint32_t count, const Kind& kind) {
  FetchItems ask{runner.kind.text, name, count, term, 0};
  if (kind.engine.memory_tokens > 0) {
    if (state.tokens >= kind.engine.memory_tokens) return;
    ask.tokens = kind.engine.memory_tokens - state.tokens;
  }
  std::vector<Address> owners;
  for (const bool late : {false, true})
    for (const auto& [address, source] : sources_) {
      const auto& counts = late ? source.late : source.kinds;
      if (late && !owners.empty()) break;
      if (auto found = counts.find(runner.kind.text); found != counts.end() && found->second > 0)
        owners.push_back(address);
    }
  if (owners.empty()) return;
  const Address owner = owners[random_.below(owners.size())];
  state.fetching = true;
  messenger_.request(
      owner, ask, fetch_limit,
      [this, name, owner, kind = runner.kind.text, began = messenger_.timers().now()](Result<ItemsReply> result) {
        works_[name].fetching = false;
        auto* reply = std::get_if<ItemsReply>(&result);
        if (reply == nullptr) {
          sources_.erase(owner);
          return;
        }
        if (auto source = sources_.find(owner); source != sources_.end())
          source->second.kinds[kind] = reply->remaining, source->second.late[kind] = reply->late;
        const TimePoint now = messenger_.timers().now();
        const auto configuration = shared_state_.configuration.get();
        auto found = configuration->runners.find(name);
        const bool good = found != configuration->runners.end() &&
                          appointed(*configuration, name, found->second.spec) && shared_state_.has_lease(now) &&
                          now - began < start_lease;
        for (const auto& item : reply->items) {
          held_.insert(ItemName{item.lot, item.item, item.attempt});
          if (good)
            send(name, item);
          else
            report(FinishItem{item.lot, item.item, item.attempt, "not_run", 0, {}, {}, item.failures});
        }
        work_soon();
      });
}

void ItemPlacer::send(const std::string& name, const PlacedItem& item) {
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(item.lane);
  auto runner = configuration->runners.find(name);
  auto kind = runner == configuration->runners.end() ? configuration->kinds.end()
                                                     : configuration->kinds.find(runner->second.spec.kind.text);
  if (lane == configuration->lanes.end() || kind == configuration->kinds.end() ||
      !leads(lane->second.spec, runner->second.spec.kind))
    return report(FinishItem{item.lot, item.item, item.attempt, "not_run", 0, {}, {}, item.failures});
  const std::uint64_t number = ++last_attempt_;
  const TimePoint now = messenger_.timers().now();
  Work& state = works_[name];
  ++state.open;
  state.tokens += item.request.tokens;
  state.last_sent = now;
  if (kind->second.spec.cold_rate > 0) state.sent.push_back(now);
  Attempt& attempt = attempts_[number];
  attempt = Attempt{name, item, 0, item.batch || lane->second.spec.repeatable, nullptr};
  AttemptRequest request;
  request.to = runner->second.spec.address;
  request.method = "POST";
  request.body = std::make_shared<const Bytes>(std::move(attempt.item.request.body));
  request.connecting = lane->second.spec.connecting;
  request.first_piece = lane->second.spec.first_piece;
  request.between_pieces = lane->second.spec.between_pieces;
  request.runner = name;
  request.repeatable = attempt.repeatable;
  std::shared_ptr<AttemptObserver> watcher;
  if (item.batch) {
    request.target = item.request.path;
    request.headers = item.request.headers;
    request.first_piece = std::min(request.first_piece, first_event_limit);
    request.between_pieces = std::min(request.between_pieces, next_event_limit);
    RequestInfo facts = dialect_.read_request(request.headers);
    facts.id = item.request.id;
    facts.host = item.host;
    AttemptInfo given{name, run_budget, std::nullopt, {}};
    if (item.part.last_event > 0) {
      given.last_event = item.part.last_event;
      given.version = item.part.version;
    }
    dialect_.write_attempt(request, facts, given);
    watcher = attempt.batch =
        std::make_shared<BatchWatcher>(*this, number, std::move(facts), std::move(attempt.item.part));
  } else {
    request.target = lane->second.spec.path;
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Request-Id", item.lot + "/" + std::to_string(item.item)},
                       {"X-Mothwalk-Lot", item.lot}};
    watcher = std::make_shared<Watcher>(*this, number, kind->second.spec.refusals);
  }
  attempt.exchange = runner_client_.start(request, watcher);
}

void ItemPlacer::ended(std::uint64_t number, Ending ending) {
  auto found = attempts_.find(number);
  if (found == attempts_.end()) return;
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  const std::string& outcome = ending.outcome;
  const TimePoint now = messenger_.timers().now();
  Work& state = works_[attempt.runner];
  --state.open;
  state.tokens -= std::min<std::uint64_t>(state.tokens, attempt.item.request.tokens);
  if (outcome == "answer" || outcome == "failed" || outcome == "impossible") {
    state.failures = 0;
  } else if (outcome == "not_run" && ending.status != 0 && ending.status != 421) {
    state.not_before = now + milliseconds(200);  // it is busy, and sound
  } else if (outcome != "stopped" && !(outcome == "damaged" && ending.status == 421)) {
    state.failures = std::min(state.failures + 1, 5u);
    state.not_before = now + milliseconds(200 << state.failures);
  }
  FinishItem finish{attempt.item.lot, attempt.item.item,      attempt.item.attempt,   outcome,
                    ending.status,    std::move(ending.body), std::move(ending.part), attempt.item.failures};
  finish.failures += outcome == "failed";
  report(std::move(finish));
  work_soon();
}

// ---- reports: each goes on until the owner has heard it; until then the item counts as held

void ItemPlacer::report(FinishItem finish) {
  const ItemName name{finish.lot, finish.item, finish.attempt};
  reports_[name] = Report{std::move(finish), false};
  report_soon();
}

void ItemPlacer::report_soon() {
  if (report_soon_) return;
  report_soon_ = true;
  messenger_.timers().after(report_gap, [this] {
    report_soon_ = false;
    flush();
  });
}

void ItemPlacer::flush() {
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  struct Parcel {
    FinishItems message;
    std::vector<ItemName> names;
    std::size_t bytes = 0;
  };
  std::map<Address, Parcel> parcels;
  for (auto& [name, report] : reports_) {
    if (report.on_its_way) continue;
    const std::string key = "lot/" + name.lot;
    const Voter* seat = slot_owner(configuration->roster_of(key), *members, slot_of(key));
    if (seat == nullptr) continue;
    Parcel& parcel = parcels[seat->address];
    if (parcel.names.size() >= most_reports || parcel.bytes >= report_bytes) continue;
    report.on_its_way = true;
    parcel.bytes += report.finish.body.size() + report.finish.part.text.size();
    parcel.names.push_back(name);
    parcel.message.items.push_back(report.finish);
  }
  for (auto& [owner, parcel] : parcels)
    messenger_.request(owner, parcel.message, report_limit,
                       [this, names = std::move(parcel.names)](Result<FinishReply> result) {
                         for (const auto& name : names)
                           if (auto found = reports_.find(name); found != reports_.end())
                             found->second.on_its_way = false;
                         auto* reply = std::get_if<FinishReply>(&result);
                         if (reply == nullptr) return;  // the next tick sends them again
                         for (const std::uint32_t place : reply->heard) {
                           if (place >= names.size()) continue;
                           reports_.erase(names[place]);
                           held_.erase(names[place]);
                         }
                       });
}

}  // namespace mothwalk
