// Collection of load, the cycle, replacement inside a cycle, and the choice of who enters and who leaves.
#include "circle/circle.hpp"

#include <algorithm>
#include <cmath>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration tick_span = milliseconds(250);
constexpr Duration totals_span = milliseconds(1000);
constexpr Duration aged = milliseconds(3000);
constexpr Duration report_span = milliseconds(1500);  // in which each daemon reports once at least
constexpr Duration early_gap = milliseconds(2000);
constexpr Duration settle = milliseconds(2500);
constexpr Duration dark_span = std::chrono::seconds(5);
constexpr std::size_t recent_samples = 8;
constexpr std::size_t most_samples = 4096;
constexpr double squeezed = 0.6;  // load that live work bears while lots need what runners there are
constexpr Duration law_kept = std::chrono::seconds(15);           // a cycle that changes nothing is written no oftener
constexpr Duration quiet_span = std::chrono::seconds(60);         // without any prompt, after which little is needed
constexpr Duration quiet_beside_lots = std::chrono::seconds(10);  // the same while lots wait for runners
}  // namespace

double load_of(const std::map<std::string, std::uint32_t>& open, std::uint32_t queued,
               const std::vector<RunnerId>& members, const Table<Runner>& runners, std::uint32_t concurrency) {
  double busy = queued, slots = 0;
  for (const auto& member : members) {
    auto runner = runners.find(member.text);
    if (runner == runners.end()) continue;
    slots += concurrency == 0 ? runner->second.spec.slots : std::min(concurrency, runner->second.spec.slots);
    if (auto found = open.find(member.text); found != open.end()) busy += found->second;
  }
  return slots == 0 ? 0 : busy / slots;
}

bool CircleDuty::State::shaken(const std::string& runner, Duration ramp, TimePoint now) const {
  const auto found = failed.find(runner);
  return found != failed.end() && now - found->second < ramp;
}

// A daemon that tries seldom learns late that a runner is back: what it saw fail before the runner answered another one
// begins no ramp once more.
bool CircleDuty::State::take_absence(const std::string& runner, const ObservedLoad& seen, TimePoint now) {
  if (!seen.failed) return false;
  const TimePoint failure = now + -seen.failure.value_or(Duration{}), at = now + -*seen.failed;
  if (auto known = returned.find(runner); known != returned.end() && failure <= known->second) return false;
  if (seen.returned) returned[runner] = at;
  TimePoint& last = failed[runner];
  const bool fresh = at > last + milliseconds(100);
  last = std::max(last, at);
  return fresh;
}

CircleDuty::CircleDuty(Messenger& messenger, SharedState& shared_state)
    : messenger_(messenger), shared_state_(shared_state) {
  messenger_.on_message<LoadReport>([this](const Address& from, LoadReport load) {
    auto found = states_.find(load.runner_kind);
    if (found == states_.end()) return;
    State& state = found->second;
    const TimePoint now = messenger_.timers().now();
    // A attempt that failed may mean a new start of the runner: that it is cold is told to all, not found out by each.
    bool fresh = false;
    for (const auto& [runner, seen] : load.runners) fresh = state.take_absence(runner, seen, now) || fresh;
    state.reports[{from, load.items}] = Report{std::move(load), now};
    if (fresh) pass();
  });
  messenger_.on_message<KindPending>([this](const Address& from, KindPending pending) {
    for (const auto& [kind, demand] : pending.kinds)
      if (auto found = states_.find(kind); found != states_.end())
        found->second.demands[from] = Demand{demand, messenger_.timers().now()};
  });
}

void CircleDuty::start() {
  tick();
}

void CircleDuty::tick() {
  pass();
  messenger_.timers().after(tick_span, [this] { tick(); });
}

void CircleDuty::pass() {
  const auto owned = shared_state_.owned.get();
  const auto configuration = shared_state_.configuration.get();
  for (const auto& [kind, entry] : configuration->kinds) {
    auto slot = owned->slots.find(slot_of("circle/" + kind));
    if (slot == owned->slots.end()) {
      states_.erase(kind);
      continue;
    }
    State& state = states_[kind];
    if (state.epoch != slot->second) {
      state = State{};
      state.epoch = slot->second;
      state.since = state.last_cycle = state.last_live = messenger_.timers().now();
    }
    run(kind, entry.spec, state);
  }
  std::erase_if(states_, [&](const auto& entry) { return !configuration->kinds.contains(entry.first); });
}

bool CircleDuty::dark(const State& state, const std::string& runner, TimePoint now) const {
  std::size_t tried = 0, unhealthy = 0;
  for (const auto& [address, report] : state.reports) {
    if (now - report.heard > aged) continue;
    auto found = report.load.runners.find(runner);
    if (found == report.load.runners.end() || !found->second.tried) continue;
    ++tried;
    unhealthy += found->second.unhealthy;
  }
  return unhealthy > 0 && unhealthy * 2 >= tried;
}

// The shares of all daemons are meant to add up to no more than a runner takes.
void CircleDuty::check_connections(const std::string& kind, std::uint32_t limit, State& state, TimePoint now) {
  if (limit == 0) return;
  std::map<std::string, std::uint32_t> connections;
  for (const auto& [from, report] : state.reports)
    if (now - report.heard <= report_span)
      for (const auto& [name, load] : report.load.runners) connections[name] += load.connections;
  std::set<std::string> over;
  for (const auto& [name, count] : connections) {
    if (count <= limit) continue;
    over.insert(name);
    if (state.over_limit.contains(name)) continue;
    ++counts_.connections_over_limit;
    note("Invariant violated: runner '" + name + "' of kind '" + kind + "' takes " + std::to_string(limit) +
         " connections, and the daemons report " + std::to_string(count) + ".");
  }
  state.over_limit = std::move(over);
}

std::set<std::string> CircleDuty::able_runners(const ConfigurationView& configuration, const std::string& kind,
                                               State& state, TimePoint now) const {
  std::set<std::string> able;
  for (const auto& [name, runner] : configuration.runners) {
    if (runner.spec.kind.text != kind || runner.spec.leaving || configuration.evacuated(runner.spec.zone)) continue;
    // A dark runner is left out for a while, then may show again that it answers (through lots or a new entry).
    if (dark(state, name, now)) state.dark_until[name] = now + dark_span;
    if (auto found = state.dark_until.find(name); found != state.dark_until.end() && found->second > now) continue;
    able.insert(name);
  }
  return able;
}

CircleDuty::Observed CircleDuty::observe(const Members& members, const Circle& before, State& state, TimePoint now) {
  Observed seen;
  for (auto entry = state.reports.begin(); entry != state.reports.end();) {
    auto member = members.all.find(entry->first.first);
    const bool there = member != members.all.end() && member->second.incarnation == entry->second.load.incarnation;
    if (!there && now - entry->second.heard > aged) {
      entry = state.reports.erase(entry);
      continue;
    }
    const bool items = entry->second.load.items;
    seen.fresh += !items && now - entry->second.heard <= aged;
    seen.queued += entry->second.load.queued;
    for (const auto& [name, load] : entry->second.load.runners) {
      if (!items) {
        seen.open[name] += load.open;
        seen.live += load.open;
        if (there) seen.demand[member->second.zone.text] += load.open;
      }
      RunnerTotal& total = seen.totals[name];
      (items ? total.items : total.open) += load.open;
      auto placer = before.placers.find(name);
      if (items && (placer == before.placers.end() || placer->second.address != entry->first.first))
        total.foreign += load.open;
    }
    ++entry;
  }
  std::erase_if(state.demands, [&](const auto& each) { return now - each.second.heard > aged; });
  for (const auto& [owner, each] : state.demands) {
    seen.lots.pending += each.lots.pending;
    seen.lots.at_once += each.lots.at_once;
  }
  return seen;
}

// No oftener than the reports that the totals are made of.
void CircleDuty::tell_totals(const std::string& kind, const Members& members, const Observed& seen, State& state,
                             TimePoint now) {
  if (now - state.totals_told < totals_span) return;
  state.totals_told = now;
  const LoadTotals told{kind, seen.totals};
  for (const auto& [address, member] : members.all)
    member.routes() ? messenger_.send(address, told) : messenger_.send(address, PlacerTotals{told});
}

CircleDuty::Bounds CircleDuty::bounds(const Table<Runner>& runners, const std::set<std::string>& able,
                                      const CircleSettings& circle, const Observed& seen) {
  double slots = 0;
  for (const auto& name : able) slots += runners.at(name).spec.slots / static_cast<double>(able.size());
  // Where there are few runners, the floor leaves the lots half of them.
  const std::size_t most_floor = seen.lots_wait() ? std::max<std::size_t>(1, able.size() / 2) : able.size();
  const std::size_t lowest = std::min<std::size_t>(circle.floor, most_floor);
  const std::size_t all = able.size();
  if (!seen.lots_wait() || all <= lowest) return {lowest, all};
  // The lots get what they need to be in time, but for what live work takes at medium load.
  const auto wanted = std::max<std::size_t>(
      circle.reserve, slots == 0 ? 0 : static_cast<std::size_t>(std::ceil(seen.lots.at_once / slots)));
  const double full = circle.concurrency == 0 ? slots : std::min<double>(circle.concurrency, slots);
  const auto needed =
      seen.lots.at_once > 0 && full > 0
          ? static_cast<std::size_t>(std::ceil((seen.live + seen.queued) / (std::max(circle.target, squeezed) * full)))
          : 0;
  return {lowest, std::max({lowest, std::min(needed, all), all - std::min(wanted, all)})};
}

void CircleDuty::State::sample(double load) {
  samples.push_back(load);
  samples_loaded += load > 0;
  const std::size_t recent = std::min(samples.size(), recent_samples);
  recent_load = mean_load = 0;
  for (std::size_t index = 0; index < samples.size(); ++index) {
    mean_load += samples[index] / static_cast<double>(samples.size());
    if (index + recent >= samples.size()) recent_load += samples[index] / static_cast<double>(recent);
  }
  if (samples.size() > most_samples) samples.erase(samples.begin(), samples.begin() + most_samples / 2);
}

std::size_t CircleDuty::step(const CircleSettings& circle, const Bounds& limits, const Observed& seen,
                             std::size_t routing, std::size_t size, State& state, TimePoint now, Circle& next) {
  const std::size_t missing = routing > seen.fresh ? routing - seen.fresh : 0;
  // No load seen is no sign that little is needed, unless it stays so.
  const Duration quiet = seen.lots_wait() ? quiet_beside_lots : quiet_span;
  const bool evidence = state.samples_loaded > 0 || now - state.last_live >= quiet;
  const bool blind = now - state.since < settle || missing * 3 > routing || !evidence;
  const bool early = state.recent_load > circle.high_water && now - state.last_cycle >= early_gap;
  if (!blind && !state.writing && (early || now - state.last_cycle >= circle.cycle)) {
    const double load = early ? state.recent_load : state.mean_load;
    size = state.law.step(load, circle.target, size, limits.lowest, limits.highest, missing == 0 && !early, early);
    next.load = load;
    next.law = state.law.size;
    next.error = state.law.last_error;
    ++next.cycle;
    next.reason = early ? "early" : "cycle";
    state.last_cycle = now;
    state.samples.clear();
    state.samples_loaded = 0;
  }
  return seen.lots_wait() ? std::min(size, limits.highest) : size;
}

// What of a decision is new, the weightiest change first; empty: nothing.
std::string CircleDuty::change(const Circle& before, const Circle& next) {
  if (next.reason == "all" && next.members != before.members) return next.reason;
  if (!next.reason.empty() && next.reason != "all") return next.reason;
  if (next.members != before.members) return "replaced";
  if (next.dark != before.dark) return "dark";
  if (next.warm != before.warm || next.generations != before.generations || next.ramps != before.ramps) return "warmed";
  if (next.placers != before.placers) return "placers";
  if (next.daemons != before.daemons) return "daemons";
  return {};
}

void CircleDuty::run(const std::string& kind, const Kind& settings, State& state) {
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  const Table<Runner>& runners = configuration->runners;
  auto record = configuration->circles.find(kind);
  const bool decided = record != configuration->circles.end();
  const Circle before = decided ? record->second.spec : Circle{};
  if (!state.law_loaded && decided) {
    state.law.size = before.law;
    state.law.last_error = before.error;
    state.law_loaded = true;
  }
  const std::set<std::string> able = able_runners(*configuration, kind, state, now);
  const bool any_known = std::any_of(runners.begin(), runners.end(),
                                     [&](const auto& runner) { return runner.second.spec.kind.text == kind; });
  // After a start the runners come to be known later than the circle does: a list that has not come is no empty one.
  if (!before.members.empty() && !any_known) return;
  const Observed seen = observe(*members, before, state, now);
  check_connections(kind, settings.connections, state, now);
  tell_totals(kind, *members, seen, state, now);
  const CircleSettings& circle = settings.circle;
  const double load = load_of(seen.open, seen.queued, before.members, runners, circle.concurrency);
  state.sample(load);
  if (seen.live + seen.queued > 0) state.last_live = now;

  const Bounds limits = bounds(runners, able, circle, seen);
  Circle next = before;
  next.reason.clear();
  std::size_t size = before.members.size() - std::min(before.members.size(), state.substitutes);
  if (!decided || (!circle.all && before.cycle == 0 && state.samples_loaded == 0)) {
    // No load was ever seen: all but the reserve, as the runners become known, and the law shrinks it on what it sees.
    size = std::max<std::size_t>(limits.lowest, able.size() - std::min<std::size_t>(circle.reserve, able.size()));
    if (!decided) next.reason = "first";
  } else if (circle.all) {
    size = able.size();
    next.reason = "all";
  } else {
    size = step(circle, limits, seen, members->routing(), size, state, now, next);
  }
  if (!circle.all && !state.writing) state.substitutes = substitutes_for(before.members, state, circle.ramp, now);
  size = std::clamp(size + state.substitutes, limits.lowest, std::max(limits.lowest, able.size()));
  next.members = match_members(*configuration, able, size, before, seen.demand);
  follow_ramps(runners, circle.ramp, before, state, now, next);
  next.daemons = count_daemons(*members, before, state, now);
  next.dark.clear();
  for (const auto& [name, until] : state.dark_until)
    if (until > now && runners.contains(name)) next.dark.push_back(RunnerId(name));
  const auto shared = shared_with_lots(runners, settings, able, next, seen, state, now);
  appoint(*configuration, *members, able, shared, state, next);
  std::erase_if(state.entered, [&](const auto& entry) { return !next.has(entry.first); });
  next.reason = change(before, next);
  if (next.reason.empty() || state.writing) return;
  const bool same = next.members == before.members && next.warm == before.warm && next.dark == before.dark &&
                    next.generations == before.generations && next.ramps == before.ramps &&
                    next.placers == before.placers && next.daemons == before.daemons;
  if (same && next.reason == "cycle" && now - state.written < law_kept) return;
  state.written = now;
  note("Kind '" + kind + "', " + next.reason + ": " + std::to_string(next.members.size()) + " members, " +
       std::to_string(next.warm.size()) + " of them past their ramp, of " + std::to_string(able.size()) +
       " able runners; " + std::to_string(next.dark.size()) + " dark, load " + std::to_string(load) + ", " +
       std::to_string(seen.live) + " live, " + std::to_string(seen.queued) + " queued, items for " +
       std::to_string(seen.lots.at_once) + " slots.");
  write(kind, state, std::move(next));
}

void CircleDuty::write(const std::string& kind, State& state, Circle circle) {
  state.writing = true;
  Write write;
  write.key = "circle/" + kind;
  write.head = json::serialize(to_json(circle));
  write.fence = state.epoch.value;
  messenger_.request(messenger_.self(), write, milliseconds(2500),
                     [this, kind, epoch = state.epoch](Result<WriteReply>) {
                       // The news brings the decision back within a round; writing again before that would only repeat
                       // it.
                       messenger_.timers().after(milliseconds(100), [this, kind, epoch] {
                         auto found = states_.find(kind);
                         if (found != states_.end() && found->second.epoch == epoch) found->second.writing = false;
                       });
                     });
}

}  // namespace mothwalk
