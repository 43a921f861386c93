// Fetching, sending and reporting of items.
#include "lots/placing.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Span tick_span = milliseconds(100);
constexpr Span start_permit = milliseconds(1500);
constexpr Span source_span = milliseconds(1000);
constexpr Span leave_span = milliseconds(2000);
constexpr Span account_span = milliseconds(1500);  // totals told so long after a change are made of reports after it
constexpr std::uint64_t usage_ticks = 10;
constexpr std::size_t longest_body = 4u << 20;
}  // namespace

class Placing::Watcher : public AttemptWatcher {
 public:
  Watcher(Placing& placing, std::uint64_t attempt, std::vector<std::uint32_t> refusals) : placing_(placing), attempt_(attempt), refusals_(std::move(refusals)) {}
  void on_head(int status, const std::vector<Header>&) override { status_ = status; }
  void on_piece(View piece) override {
    if (body_.size() + piece.size() <= longest_body) body_.append(piece);
    else too_long_ = true;
  }
  void on_end(AttemptEnd end) override {
    if (end == AttemptEnd::not_sent) return placing_.ended(attempt_, "not_run", 0, {});
    if (end != AttemptEnd::whole || too_long_) return placing_.ended(attempt_, "lost", 0, {});
    if (std::find(refusals_.begin(), refusals_.end(), static_cast<std::uint32_t>(status_)) != refusals_.end()) return placing_.ended(attempt_, "not_run", status_, {});
    placing_.ended(attempt_, "answer", status_, std::move(body_));
  }

 private:
  Placing& placing_;
  std::uint64_t attempt_;
  std::vector<std::uint32_t> refusals_;
  int status_ = 0;
  Bytes body_;
  bool too_long_ = false;
};

Placing::Placing(Post& post, Board& board, Exchange& exchange, Chance& chance, const Dialect& dialect)
    : post_(post), board_(board), exchange_(exchange), chance_(chance), dialect_(dialect), client_(post, board) {
  post_.on_tell<PendingItems>([this](const Address& from, PendingItems pending) {
    sources_[from] = Source{std::move(pending.kinds), post_.schedule().now()};
    work();
  });
  post_.on_ask<AskHeld>([this](const Address&, AskHeld ask, Answer<HeldReply> answer) {
    if (ask.incarnation != post_.incarnation()) return answer(Fault{FaultKind::stale, "incarnation", "the placer was started anew", "take its items as lost"});
    HeldReply reply;
    for (auto& item : ask.items)
      if (!held_.contains(item)) reply.missing.push_back(std::move(item));
    answer(std::move(reply));
  });
}

void Placing::start() { tick(); }

bool Placing::outside(const PolicyView& policy, const std::string& name, const Runner& runner) const {
  if (runner.leaving || policy.evacuated(runner.hall)) return false;
  auto circle = policy.circles.find(runner.kind.text);
  if (circle == policy.circles.end() || circle->second.spec.has(name)) return false;
  const auto& dark = circle->second.spec.dark;
  return std::find(dark.begin(), dark.end(), RunnerId(name)) == dark.end();
}

std::optional<std::uint64_t> Placing::appointed(const PolicyView& policy, const std::string& name, const Runner& runner) const {
  if (!outside(policy, name, runner)) return std::nullopt;
  const auto& placers = policy.circles.at(runner.kind.text).spec.placers;
  auto placer = placers.find(name);
  if (placer == placers.end() || placer->second.address != post_.self() || placer->second.incarnation != post_.incarnation()) return std::nullopt;
  return placer->second.term;
}

// Slots free of items and of streams that began while the runner was in the circle; none until the totals are newer
// than the change that made this daemon its placer.
std::uint32_t Placing::room(const std::string& name, const Runner& runner, const Work& state) const {
  const auto usage = board_.usage.get();
  auto kind = usage->find(runner.kind.text);
  if (kind == usage->end() || !state.outside_since || kind->second.heard < *state.outside_since + account_span) return 0;
  auto found = kind->second.runners.find(name);
  const std::uint32_t taken = state.open + (found == kind->second.runners.end() ? 0 : found->second.open + found->second.foreign);
  return taken < runner.slots ? runner.slots - taken : 0;
}

void Placing::report_usage() {
  const auto policy = board_.policy.get();
  const auto members = board_.members.get();
  const Moment now = post_.schedule().now();
  std::map<std::string, UsageReport> reports;
  for (const auto& [name, state] : works_) {
    auto runner = policy->runners.find(name);
    const bool tried = state.last_sent.microseconds > 0 && now - state.last_sent < std::chrono::seconds(10);
    if (runner == policy->runners.end() || (state.open == 0 && !tried)) continue;
    const bool failing = state.failures > 0 && now < state.not_before + std::chrono::seconds(1);
    reports[runner->second.spec.kind.text].runners[name] = RunnerUsage{state.open, failing && state.failures >= 2, tried, failing ? std::optional(Span{}) : std::nullopt};
  }
  for (auto& [kind, report] : reports) {
    report.runner_kind = kind;
    report.incarnation = post_.incarnation();
    report.items = true;
    if (const Seat* seat = slot_owner(policy->roster, *members, slot_of("circle/" + kind))) post_.tell(seat->address, report);
  }
}

void Placing::tick() {
  const Moment now = post_.schedule().now();
  const auto policy = board_.policy.get();
  // Items on a runner that entered the circle get a bounded time to end; repeatable ones are then stopped.
  for (auto& [name, state] : works_) {
    auto runner = policy->runners.find(name);
    const bool out = runner != policy->runners.end() && outside(*policy, name, runner->second.spec);
    if (out) state.inside_since.reset();
    else if (!state.inside_since) state.inside_since = now;
    const auto term = out ? appointed(*policy, name, runner->second.spec) : std::nullopt;
    if (!term) state.outside_since.reset();
    else if (!state.outside_since || state.term != *term) state.outside_since = now;
    state.term = term.value_or(0);
  }
  if (++ticks_ % usage_ticks == 0) report_usage();
  std::vector<std::uint64_t> stop;
  for (const auto& [number, attempt] : attempts_)
    if (const Work& state = works_[attempt.runner]; attempt.repeatable && state.inside_since && now - *state.inside_since > leave_span) stop.push_back(number);
  for (const std::uint64_t number : stop) {
    exchange_.cancel(attempts_[number].exchange);
    ended(number, "stopped", 0, {});
  }
  std::erase_if(sources_, [&](const auto& entry) { return now - entry.second.heard > source_span; });
  work();
  post_.schedule().after(tick_span, [this] { tick(); });
}

void Placing::work() {
  const Moment now = post_.schedule().now();
  if (sources_.empty() || !board_.permitted(now) || board_.draining) return;
  const auto policy = board_.policy.get();
  for (const auto& [name, entry] : policy->runners) {
    const Runner& runner = entry.spec;
    const auto term = appointed(*policy, name, runner);
    if (!term) continue;
    Work& state = works_[name];
    const std::uint32_t free = room(name, runner, state);
    if (state.fetching || free == 0 || now < state.not_before) continue;
    std::vector<Address> owners;
    for (const auto& [address, source] : sources_)
      if (auto found = source.kinds.find(runner.kind.text); found != source.kinds.end() && found->second > 0) owners.push_back(address);
    if (owners.empty()) continue;
    const Address owner = owners[chance_.below(owners.size())];
    state.fetching = true;
    // A runner that failed lately gets one item to prove itself with.
    const std::uint32_t count = state.failures > 0 ? 1 : free;
    post_.ask(owner, FetchItems{runner.kind.text, name, count, *term}, milliseconds(3000), [this, name, owner, kind = runner.kind.text, began = now](Result<ItemsReply> result) {
      Work& now_state = works_[name];
      now_state.fetching = false;
      auto* reply = std::get_if<ItemsReply>(&result);
      if (reply == nullptr) {
        sources_.erase(owner);
        return;
      }
      if (auto source = sources_.find(owner); source != sources_.end()) source->second.kinds[kind] = reply->remaining;
      const Moment now_moment = post_.schedule().now();
      const auto now_policy = board_.policy.get();
      auto found = now_policy->runners.find(name);
      const bool good = found != now_policy->runners.end() && appointed(*now_policy, name, found->second.spec) && board_.permitted(now_moment) && now_moment - began < start_permit;
      for (const auto& item : reply->items) {
        held_.insert(ItemName{item.lot, item.item, item.attempt});
        if (good) send(name, item);
        else report(FinishItem{item.lot, item.item, item.attempt, "not_run", 0, {}});
      }
      if (!reply->items.empty()) work();
    });
  }
}

void Placing::send(const std::string& name, const PlacedItem& item) {
  const auto policy = board_.policy.get();
  auto lane = policy->lanes.find(item.lane);
  auto runner = policy->runners.find(name);
  if (lane == policy->lanes.end() || runner == policy->runners.end()) return report(FinishItem{item.lot, item.item, item.attempt, "not_run", 0, {}});
  auto kind = policy->kinds.find(runner->second.spec.kind.text);
  const std::uint64_t number = ++last_attempt_;
  ++works_[name].open;
  works_[name].last_sent = post_.schedule().now();
  Attempt& attempt = attempts_[number];
  attempt = Attempt{name, item, 0, lane->second.spec.repeatable};
  AttemptRequest request;
  request.to = runner->second.spec.address;
  request.method = "POST";
  request.target = lane->second.spec.path;
  request.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", item.lot + "/" + std::to_string(item.item)}, {"X-Mothwalk-Lot", item.lot}};
  request.body = std::make_shared<const Bytes>(item.body);
  request.connecting = lane->second.spec.connecting;
  request.first_piece = lane->second.spec.first_piece;
  request.between_pieces = lane->second.spec.between_pieces;
  auto watcher = std::make_shared<Watcher>(*this, number, kind == policy->kinds.end() ? std::vector<std::uint32_t>{} : kind->second.spec.refusals);
  attempt.exchange = exchange_.start(request, watcher);
}

void Placing::ended(std::uint64_t number, const std::string& outcome, int status, Bytes body) {
  auto found = attempts_.find(number);
  if (found == attempts_.end()) return;
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  Work& state = works_[attempt.runner];
  --state.open;
  if (outcome == "answer") {
    state.failures = 0;
  } else if (outcome == "not_run" && status != 0) {
    state.not_before = post_.schedule().now() + milliseconds(200);  // it is busy, and sound
  } else if (outcome != "stopped") {
    state.failures = std::min(state.failures + 1, 5u);
    state.not_before = post_.schedule().now() + milliseconds(200 << state.failures);
  }
  report(FinishItem{attempt.item.lot, attempt.item.item, attempt.item.attempt, outcome, status, std::move(body)});
  work();
}

// A report goes on until the owner has heard it: until then the item counts as held.
void Placing::report(FinishItem finish) {
  const std::string key = "lot/" + finish.lot;
  const ItemName name{finish.lot, finish.item, finish.attempt};
  const auto copy = std::make_shared<FinishItem>(finish);
  client_.ask_owner<FinishItem>(key, std::move(finish), post_.schedule().now() + std::chrono::seconds(30), false, [this, name, copy](Result<FinishReply> result) {
    if (fault_of(result)) return report(std::move(*copy));
    held_.erase(name);
  });
}

}  // namespace mothwalk
