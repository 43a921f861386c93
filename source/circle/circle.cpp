// Collects load reports, computes the size of each circle and writes the decision to the replicated store.
#include "circle/circle.hpp"

#include <algorithm>
#include <cmath>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration tick_interval = milliseconds(250);
constexpr Duration totals_interval = milliseconds(1000);
// Load reports older than this do not count as recent. Those of daemons that are no longer members are dropped.
// Pending lots reported longer ago are ignored.
constexpr Duration report_max_age = milliseconds(3000);
// Each daemon sends at least one load report within this interval.
constexpr Duration report_interval = milliseconds(1500);
constexpr Duration early_cycle_min_interval = milliseconds(2000);  // The time from one cycle to an early one.
constexpr Duration startup_delay = milliseconds(2500);  // A new owner collects reports before its first cycle.
constexpr Duration unreachable_duration = std::chrono::seconds(5);  // How long an unreachable runner is excluded.
constexpr std::size_t recent_sample_count = 8;  // An early cycle judges the mean load of this many samples.
constexpr std::size_t max_samples = 4096;
// While lots need runners, the circle may still have as many members as the live prompts need at this load, or at the
// target load if that is higher.
constexpr double live_load_beside_lots = 0.6;
// Minimum time between two writes of decisions that change nothing but the controller's state.
constexpr Duration unchanged_write_interval = std::chrono::seconds(15);
// A circle that got no prompts may shrink after this time, and sooner if lots wait for runners.
constexpr Duration idle_time_before_shrink = std::chrono::seconds(60);
constexpr Duration idle_time_beside_lots = std::chrono::seconds(10);
}  // namespace

double relative_load(const std::map<std::string, std::uint32_t>& open, std::uint32_t queued,
                     const std::vector<RunnerId>& members, const Table<Runner>& runners, std::uint32_t concurrency) {
  double prompts = queued, slots = 0;
  for (const auto& member : members) {
    auto runner = runners.find(member.text);
    if (runner == runners.end()) continue;
    slots += concurrency == 0 ? runner->second.spec.slots : std::min(concurrency, runner->second.spec.slots);
    if (auto found = open.find(member.text); found != open.end()) prompts += found->second;
  }
  return slots == 0 ? 0 : prompts / slots;
}

bool CircleManager::State::failed_recently(const std::string& runner, Duration ramp, TimePoint now) const {
  const auto found = failed.find(runner);
  return found != failed.end() && now - found->second < ramp;
}

// A daemon that rarely sends requests to a runner learns late that the runner has recovered. Its report of a failure
// that precedes the runner's first response to another daemon therefore starts no new ramp.
bool CircleManager::State::record_failure(const std::string& runner, const ObservedLoad& observed, TimePoint now) {
  if (!observed.failed) return false;
  const TimePoint failure = now + -observed.failure.value_or(Duration{}), at = now + -*observed.failed;
  if (auto known = returned.find(runner); known != returned.end() && failure <= known->second) return false;
  if (observed.returned) returned[runner] = at;
  TimePoint& last = failed[runner];
  // Times within 100 ms of each other are taken as the same failure.
  const bool is_new = at > last + milliseconds(100);
  last = std::max(last, at);
  return is_new;
}

CircleManager::CircleManager(Messenger& messenger, SharedState& shared_state)
    : messenger_(messenger), shared_state_(shared_state) {
  messenger_.on_message<LoadReport>([this](const Address& from, LoadReport load) {
    auto found = states_.find(load.runner_kind);
    if (found == states_.end()) return;
    State& state = found->second;
    const TimePoint now = messenger_.timers().now();
    // A failed attempt may mean that the runner was restarted and is cold. The new ramp is published at once, so that
    // the other daemons do not have to detect the restart by failed attempts of their own.
    bool new_failure = false;
    for (const auto& [runner, observed] : load.runners)
      new_failure = state.record_failure(runner, observed, now) || new_failure;
    state.reports[{from, load.items}] = Report{std::move(load), now};
    if (new_failure) update_circles();
  });
  messenger_.on_message<KindPending>([this](const Address& from, KindPending pending) {
    for (const auto& [kind, demand] : pending.kinds)
      if (auto found = states_.find(kind); found != states_.end())
        found->second.lot_demands[from] = Demand{demand, messenger_.timers().now()};
  });
}

void CircleManager::start() {
  tick();
}

void CircleManager::tick() {
  update_circles();
  messenger_.timers().after(tick_interval, [this] { tick(); });
}

void CircleManager::update_circles() {
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
      state.started = state.last_cycle = state.last_prompt = messenger_.timers().now();
    }
    update_circle(kind, entry.spec, state);
  }
  std::erase_if(states_, [&](const auto& entry) { return !configuration->kinds.contains(entry.first); });
}

bool CircleManager::is_unreachable(const State& state, const std::string& runner, TimePoint now) const {
  std::size_t tried = 0, unhealthy = 0;
  for (const auto& [address, report] : state.reports) {
    if (now - report.received > report_max_age) continue;
    auto found = report.load.runners.find(runner);
    if (found == report.load.runners.end() || !found->second.tried) continue;
    ++tried;
    unhealthy += found->second.unhealthy;
  }
  return unhealthy > 0 && unhealthy * 2 >= tried;
}

// The connection limits of all daemons must add up to at most what the runner accepts. Logs and counts each violation
// once, until the runner is back within its limit.
void CircleManager::check_connection_limit(const std::string& kind, std::uint32_t limit, State& state, TimePoint now) {
  if (limit == 0) return;
  std::map<std::string, std::uint32_t> connections;
  for (const auto& [from, report] : state.reports)
    if (now - report.received <= report_interval)
      for (const auto& [name, load] : report.load.runners) connections[name] += load.connections;
  std::set<std::string> runners_over_limit;
  for (const auto& [name, count] : connections) {
    if (count <= limit) continue;
    runners_over_limit.insert(name);
    if (state.over_limit.contains(name)) continue;
    ++counts_.connections_over_limit;
    log("Invariant violated: runner '" + name + "' of kind '" + kind + "' accepts " + std::to_string(limit) +
        " connections, but the daemons report " + std::to_string(count) + ".");
  }
  state.over_limit = std::move(runners_over_limit);
}

std::set<std::string> CircleManager::available_runners(const ConfigurationView& configuration, const std::string& kind,
                                                       State& state, TimePoint now) const {
  std::set<std::string> available;
  for (const auto& [name, runner] : configuration.runners) {
    if (runner.spec.kind.text != kind || runner.spec.leaving || configuration.evacuated(runner.spec.zone)) continue;
    // An unreachable runner is excluded for a while. After that it may serve items of lots or become a member again,
    // which shows whether it responds.
    if (is_unreachable(state, name, now)) state.unreachable_until[name] = now + unreachable_duration;
    if (auto found = state.unreachable_until.find(name); found != state.unreachable_until.end() && found->second > now)
      continue;
    available.insert(name);
  }
  return available;
}

CircleManager::LoadSummary CircleManager::summarize_reports(const Members& members, const Circle& before, State& state,
                                                            TimePoint now) {
  LoadSummary summary;
  for (auto entry = state.reports.begin(); entry != state.reports.end();) {
    auto member = members.all.find(entry->first.first);
    const bool is_member = member != members.all.end() && member->second.incarnation == entry->second.load.incarnation;
    if (!is_member && now - entry->second.received > report_max_age) {
      entry = state.reports.erase(entry);
      continue;
    }
    const bool items = entry->second.load.items;
    summary.daemons_reporting += !items && now - entry->second.received <= report_max_age;
    summary.queued_prompts += entry->second.load.queued;
    for (const auto& [name, load] : entry->second.load.runners) {
      if (!items) {
        summary.open[name] += load.open;
        summary.live_prompts += load.open;
        if (is_member) summary.live_by_zone[member->second.zone.text] += load.open;
      }
      RunnerTotal& total = summary.totals[name];
      (items ? total.items : total.open) += load.open;
      auto placer = before.placers.find(name);
      if (items && (placer == before.placers.end() || placer->second.address != entry->first.first))
        total.foreign += load.open;
    }
    ++entry;
  }
  std::erase_if(state.lot_demands, [&](const auto& each) { return now - each.second.received > report_max_age; });
  for (const auto& [owner, each] : state.lot_demands) {
    summary.lots.pending += each.lots.pending;
    summary.lots.at_once += each.lots.at_once;
  }
  return summary;
}

// Sends the totals to all daemons, no more often than the load reports that they are computed from.
void CircleManager::send_totals(const std::string& kind, const Members& members, const LoadSummary& summary,
                                State& state, TimePoint now) {
  if (now - state.totals_sent < totals_interval) return;
  state.totals_sent = now;
  const LoadTotals totals{kind, summary.totals};
  for (const auto& [address, member] : members.all)
    member.routes() ? messenger_.send(address, totals) : messenger_.send(address, PlacerTotals{totals});
}

CircleManager::SizeBounds CircleManager::size_bounds(const Table<Runner>& runners,
                                                     const std::set<std::string>& available,
                                                     const CircleSettings& circle, const LoadSummary& summary) {
  double mean_slots = 0;
  for (const auto& name : available) mean_slots += runners.at(name).spec.slots / static_cast<double>(available.size());
  // If there are few runners, the configured floor may claim only half of them; the rest is left to waiting lots.
  const std::size_t max_floor =
      summary.has_waiting_lots() ? std::max<std::size_t>(1, available.size() / 2) : available.size();
  const std::size_t lowest = std::min<std::size_t>(circle.floor, max_floor);
  const std::size_t available_count = available.size();
  if (!summary.has_waiting_lots() || available_count <= lowest) return {lowest, available_count};
  // Lots get the runners that they need to finish in time, except those that the live prompts need.
  const auto lot_runners = std::max<std::size_t>(
      circle.reserve, mean_slots == 0 ? 0 : static_cast<std::size_t>(std::ceil(summary.lots.at_once / mean_slots)));
  const double usable_slots = circle.concurrency == 0 ? mean_slots : std::min<double>(circle.concurrency, mean_slots);
  const auto live_runners =
      summary.lots.at_once > 0 && usable_slots > 0
          ? static_cast<std::size_t>(std::ceil((summary.live_prompts + summary.queued_prompts) /
                                               (std::max(circle.target, live_load_beside_lots) * usable_slots)))
          : 0;
  return {lowest, std::max({lowest, std::min(live_runners, available_count),
                            available_count - std::min(lot_runners, available_count)})};
}

void CircleManager::State::add_sample(double load) {
  samples.push_back(load);
  nonzero_samples += load > 0;
  const std::size_t recent = std::min(samples.size(), recent_sample_count);
  recent_load = mean_load = 0;
  for (std::size_t index = 0; index < samples.size(); ++index) {
    mean_load += samples[index] / static_cast<double>(samples.size());
    if (index + recent >= samples.size()) recent_load += samples[index] / static_cast<double>(recent);
  }
  if (samples.size() > max_samples) samples.erase(samples.begin(), samples.begin() + max_samples / 2);
}

std::size_t CircleManager::next_size(const CircleSettings& circle, const SizeBounds& limits, const LoadSummary& summary,
                                     std::size_t routing, std::size_t size, State& state, TimePoint now, Circle& next) {
  const std::size_t missing_reports = routing > summary.daemons_reporting ? routing - summary.daemons_reporting : 0;
  // The absence of load in one cycle does not show that few runners are needed; only a longer idle time does.
  const Duration idle_time = summary.has_waiting_lots() ? idle_time_beside_lots : idle_time_before_shrink;
  const bool load_known = state.nonzero_samples > 0 || now - state.last_prompt >= idle_time;
  const bool insufficient_data = now - state.started < startup_delay || missing_reports * 3 > routing || !load_known;
  const bool early = state.recent_load > circle.high_water && now - state.last_cycle >= early_cycle_min_interval;
  if (!insufficient_data && !state.writing && (early || now - state.last_cycle >= circle.cycle)) {
    const double load = early ? state.recent_load : state.mean_load;
    size = state.controller.next_size(load, circle.target, size, limits.lowest, limits.highest,
                                      missing_reports == 0 && !early, early);
    next.load = load;
    next.law = state.controller.size;
    next.error = state.controller.last_error;
    ++next.cycle;
    next.reason = early ? "early" : "cycle";
    state.last_cycle = now;
    state.samples.clear();
    state.nonzero_samples = 0;
  }
  return summary.has_waiting_lots() ? std::min(size, limits.highest) : size;
}

// Names the most important change between two decisions; empty if nothing changed. The text is stored as the circle's
// reason.
std::string CircleManager::reason_for_change(const Circle& before, const Circle& next) {
  if (next.reason == "all" && next.members != before.members) return next.reason;
  if (!next.reason.empty() && next.reason != "all") return next.reason;
  if (next.members != before.members) return "replaced";
  if (next.dark != before.dark) return "dark";
  if (next.warm != before.warm || next.generations != before.generations || next.ramps != before.ramps) return "warmed";
  if (next.placers != before.placers) return "placers";
  if (next.daemons != before.daemons) return "daemons";
  return {};
}

void CircleManager::update_circle(const std::string& kind, const Kind& settings, State& state) {
  const TimePoint now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  const Table<Runner>& runners = configuration->runners;
  auto record = configuration->circles.find(kind);
  const bool circle_exists = record != configuration->circles.end();
  const Circle before = circle_exists ? record->second.spec : Circle{};
  if (!state.controller_loaded && circle_exists) {
    state.controller.size = before.law;
    state.controller.last_error = before.error;
    state.controller_loaded = true;
  }
  const std::set<std::string> available = available_runners(*configuration, kind, state, now);
  const bool any_known = std::any_of(runners.begin(), runners.end(),
                                     [&](const auto& runner) { return runner.second.spec.kind.text == kind; });
  // After a restart this daemon may receive the circle before the runners. Without any runner of the kind, the list is
  // taken as not yet received rather than empty, so the circle stays as it is.
  if (!before.members.empty() && !any_known) return;
  const LoadSummary summary = summarize_reports(*members, before, state, now);
  check_connection_limit(kind, settings.connections, state, now);
  send_totals(kind, *members, summary, state, now);
  const CircleSettings& circle = settings.circle;
  const double load = relative_load(summary.open, summary.queued_prompts, before.members, runners, circle.concurrency);
  state.add_sample(load);
  if (summary.live_prompts + summary.queued_prompts > 0) state.last_prompt = now;

  const SizeBounds limits = size_bounds(runners, available, circle, summary);
  Circle next = before;
  next.reason.clear();
  std::size_t size = before.members.size() - std::min(before.members.size(), state.extra_members);
  if (!circle_exists || (!circle.all && before.cycle == 0 && state.nonzero_samples == 0)) {
    // Before any load is measured, the circle gets all known runners except the reserve. The PI controller shrinks it
    // once load is measured.
    size = std::max<std::size_t>(limits.lowest,
                                 available.size() - std::min<std::size_t>(circle.reserve, available.size()));
    if (!circle_exists) next.reason = "first";
  } else if (circle.all) {
    size = available.size();
    next.reason = "all";
  } else {
    size = next_size(circle, limits, summary, members->routing_count(), size, state, now, next);
  }
  if (!circle.all && !state.writing) state.extra_members = extra_members_for(before.members, state, circle.ramp, now);
  size = std::clamp(size + state.extra_members, limits.lowest, std::max(limits.lowest, available.size()));
  next.members = choose_members(*configuration, available, size, before, summary.live_by_zone);
  update_ramps(runners, circle.ramp, before, state, now, next);
  next.daemons = count_routing_daemons(*members, before, state, now);
  next.dark.clear();
  for (const auto& [name, until] : state.unreachable_until)
    if (until > now && runners.contains(name)) next.dark.push_back(RunnerId(name));
  const auto shared_members = members_shared_with_lots(runners, settings, available, next, summary, state, now);
  assign_placers(*configuration, *members, available, shared_members, state, next);
  std::erase_if(state.joined, [&](const auto& entry) { return !next.has(entry.first); });
  next.reason = reason_for_change(before, next);
  if (next.reason.empty() || state.writing) return;
  const bool unchanged = next.members == before.members && next.warm == before.warm && next.dark == before.dark &&
                         next.generations == before.generations && next.ramps == before.ramps &&
                         next.placers == before.placers && next.daemons == before.daemons;
  if (unchanged && next.reason == "cycle" && now - state.written < unchanged_write_interval) return;
  state.written = now;
  log("Kind '" + kind + "', " + next.reason + ": " + std::to_string(next.members.size()) + " members, " +
      std::to_string(next.warm.size()) + " of them past their ramp, of " + std::to_string(available.size()) +
      " available runners; " + std::to_string(next.dark.size()) + " unreachable, load " + std::to_string(load) + ", " +
      std::to_string(summary.live_prompts) + " live prompts, " + std::to_string(summary.queued_prompts) +
      " queued prompts; items of lots need " + std::to_string(summary.lots.at_once) + " slots.");
  write(kind, state, std::move(next));
}

void CircleManager::write(const std::string& kind, State& state, Circle circle) {
  state.writing = true;
  Write write;
  write.key = "circle/" + kind;
  write.head = json::serialize(to_json(circle));
  write.fence = state.epoch.value;
  messenger_.request(messenger_.self(), write, milliseconds(2500),
                     [this, kind, epoch = state.epoch](Result<WriteReply>) {
                       // Gossip delivers the written decision to this daemon within one round. A second write before
                       // then would only repeat it.
                       messenger_.timers().after(milliseconds(100), [this, kind, epoch] {
                         auto found = states_.find(kind);
                         if (found != states_.end() && found->second.epoch == epoch) found->second.writing = false;
                       });
                     });
}

}  // namespace mothwalk
