// Collection of load, the cycle, replacement inside a cycle, and the choice of who enters and who leaves.
#include "circle/circle.hpp"

#include <algorithm>
#include <cmath>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Span tick_span = milliseconds(250);
constexpr Span totals_span = milliseconds(1000);
constexpr Span aged = milliseconds(3000);
constexpr Span report_span = milliseconds(1500);  // in which each daemon reports once at least
constexpr Span early_gap = milliseconds(2000);
constexpr Span settle = milliseconds(2500);
constexpr Span dark_span = std::chrono::seconds(5);
constexpr Span appoint_after = milliseconds(1000);
constexpr double squeezed = 0.6;                     // load that live work bears while lots need what runners there are
constexpr Span law_kept = std::chrono::seconds(15);  // a cycle that changes nothing is written no oftener
constexpr Span quiet_span = std::chrono::seconds(60);         // without any prompt, after which little is needed
constexpr Span quiet_beside_lots = std::chrono::seconds(10);  // the same while lots wait for runners
constexpr Span fewer_span = std::chrono::seconds(60);  // that fewer daemons route before shares are made for fewer
constexpr Span share_after = milliseconds(1000);       // that no runner is outside before members take items
constexpr Span share_kept = std::chrono::seconds(5);   // after lots had use for it last
}  // namespace

namespace {
std::set<std::string> names_of(const std::vector<RunnerId>& runners) {
  std::set<std::string> names;
  for (const auto& runner : runners) names.insert(runner.text);
  return names;
}
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

bool CircleDuty::State::shaken(const std::string& runner, Span ramp, Moment now) const {
  const auto found = failed.find(runner);
  return found != failed.end() && now - found->second < ramp;
}

// A daemon that tries seldom learns late that a runner is back: what it saw fail before the runner answered another one
// begins no ramp once more.
bool CircleDuty::State::take_absence(const std::string& runner, const ObservedLoad& seen, Moment now) {
  if (!seen.failed) return false;
  const Moment failure = now + -seen.failure.value_or(Span{}), at = now + -*seen.failed;
  if (auto known = returned.find(runner); known != returned.end() && failure <= known->second) return false;
  if (seen.returned) returned[runner] = at;
  Moment& last = failed[runner];
  const bool fresh = at > last + milliseconds(100);
  last = std::max(last, at);
  return fresh;
}

// Where half of the members or more have failed of late, and take only the share of their ramp, as many others stand in
// for them: the law sees the load too late, and counts their slots as whole.
std::size_t CircleDuty::substitutes_for(const std::vector<RunnerId>& members, const State& state, Span ramp,
                                        Moment now) {
  const auto shaken = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [&](const RunnerId& member) { return state.shaken(member.text, ramp, now); }));
  const std::size_t wanted = members.size() - std::min(members.size(), state.substitutes);
  return shaken * 2 >= wanted ? shaken : 0;
}

CircleDuty::CircleDuty(Messenger& messenger, SharedState& shared_state)
    : messenger_(messenger), shared_state_(shared_state) {
  messenger_.on_tell<LoadReport>([this](const Address& from, LoadReport load) {
    auto found = states_.find(load.runner_kind);
    if (found == states_.end()) return;
    State& state = found->second;
    const Moment now = messenger_.timers().now();
    // A attempt that failed may mean a new start of the runner: that it is cold is told to all, not found out by each.
    bool fresh = false;
    for (const auto& [runner, seen] : load.runners) fresh = state.take_absence(runner, seen, now) || fresh;
    state.reports[{from, load.items}] = Report{std::move(load), now};
    if (fresh) pass();
  });
  messenger_.on_tell<KindPending>([this](const Address& from, KindPending pending) {
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

bool CircleDuty::dark(const State& state, const std::string& runner, Moment now) const {
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
void CircleDuty::check_connections(const std::string& kind, std::uint32_t limit, State& state, Moment now) {
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

// A ramp begins with a new member, one that was started anew and one that failed or came back, and lasts from when the
// circle tells it: daemons that did not see the failure themselves begin it then.
void CircleDuty::follow_ramps(const Table<Runner>& runners, Span ramp, const Circle& before, State& state, Moment now,
                              Circle& next) {
  next.warm.clear();
  next.generations.clear();
  next.ramps.clear();
  for (const auto& member : next.members) {
    const std::string& name = member.text;
    const std::uint64_t generation = runners.at(name).spec.generation;
    const auto known = before.generations.find(name);
    const bool anew = before.has(name) && (known == before.generations.end() ? 0 : known->second) != generation;
    if (anew) state.entered[name] = now;
    const Moment entered = state.entered.try_emplace(name, now).first->second;
    const bool shaken = state.shaken(name, ramp, now);
    const Moment cause = shaken ? std::max(entered, state.failed.at(name)) : entered;
    Ramp& latest = state.ramps[name];
    const auto count = before.ramps.find(name);
    next.ramps[name] = count == before.ramps.end() ? 0 : count->second;
    if (cause > latest.cause + ramp / 8 || count == before.ramps.end()) {
      latest = Ramp{cause, now};
      ++next.ramps[name];
    }
    const bool over = now - entered >= ramp && now - latest.told >= ramp;
    if (!shaken && !anew && (before.bears(name, generation) || over)) next.warm.push_back(member);
    if (generation > 0) next.generations[name] = generation;
  }
}

void CircleDuty::run(const std::string& kind, const Kind& settings, State& state) {
  const Moment now = messenger_.timers().now();
  const auto configuration = shared_state_.configuration.get();
  const auto members = shared_state_.members.get();
  auto record = configuration->circles.find(kind);
  const Circle before = record == configuration->circles.end() ? Circle{} : record->second.spec;
  if (!state.law_loaded && record != configuration->circles.end()) {
    state.law.size = before.law;
    state.law.last_error = before.error;
    state.law_loaded = true;
  }
  std::set<std::string> able;
  std::size_t runners_known = 0;
  for (const auto& [name, runner] : configuration->runners) {
    if (runner.spec.kind.text != kind) continue;
    ++runners_known;
    if (runner.spec.leaving || configuration->evacuated(runner.spec.zone)) continue;
    // A dark runner is left out for a while, then may show again that it answers (through lots or a new entry).
    if (dark(state, name, now)) state.dark_until[name] = now + dark_span;
    if (auto found = state.dark_until.find(name); found != state.dark_until.end() && found->second > now) continue;
    able.insert(name);
  }
  // After a start the runners come to be known later than the circle does: a list that has not come is no empty one.
  if (!before.members.empty() && runners_known == 0) return;
  std::map<std::string, std::uint32_t> open;
  std::map<std::string, RunnerTotal> totals;
  std::map<std::string, double> demand;  // live work by the zone that it came to
  std::uint32_t queued = 0, live = 0;
  std::size_t fresh = 0;
  for (auto entry = state.reports.begin(); entry != state.reports.end();) {
    auto member = members->all.find(entry->first.first);
    const bool there = member != members->all.end() && member->second.incarnation == entry->second.load.incarnation;
    if (!there && now - entry->second.heard > aged) {
      entry = state.reports.erase(entry);
      continue;
    }
    const bool items = entry->second.load.items;
    fresh += !items && now - entry->second.heard <= aged;
    queued += entry->second.load.queued;
    for (const auto& [name, load] : entry->second.load.runners) {
      if (!items) {
        open[name] += load.open;
        live += load.open;
        if (there) demand[member->second.zone.text] += load.open;
      }
      RunnerTotal& total = totals[name];
      (items ? total.items : total.open) += load.open;
      auto placer = before.placers.find(name);
      if (items && (placer == before.placers.end() || placer->second.address != entry->first.first))
        total.foreign += load.open;
    }
    ++entry;
  }
  check_connections(kind, settings.connections, state, now);
  // No oftener than the reports that the totals are made of.
  if (now - state.totals_told >= totals_span) {
    state.totals_told = now;
    const LoadTotals told{kind, totals};
    for (const auto& [address, member] : members->all)
      member.routes() ? messenger_.tell(address, told) : messenger_.tell(address, PlacerTotals{told});
  }

  std::vector<std::string> current;
  for (const auto& member : before.members)
    if (able.contains(member.text)) current.push_back(member.text);
  const double load = load_of(open, queued, before.members, configuration->runners, settings.circle.concurrency);
  state.samples.push_back(load);
  state.samples_loaded += load > 0;
  const std::size_t recent = std::min<std::size_t>(state.samples.size(), 8);
  double recent_load = 0, mean_load = 0;
  for (std::size_t index = 0; index < state.samples.size(); ++index) {
    mean_load += state.samples[index] / static_cast<double>(state.samples.size());
    if (index + recent >= state.samples.size()) recent_load += state.samples[index] / static_cast<double>(recent);
  }
  if (state.samples.size() > 4096) state.samples.erase(state.samples.begin(), state.samples.begin() + 2048);

  const CircleSettings& circle = settings.circle;
  std::erase_if(state.demands, [&](const auto& each) { return now - each.second.heard > aged; });
  LotDemand lots;
  for (const auto& [owner, each] : state.demands) {
    lots.pending += each.lots.pending;
    lots.at_once += each.lots.at_once;
  }
  const bool lots_wait = lots.pending > 0 || lots.at_once > 0;
  double slots = 0;
  for (const auto& name : able) slots += configuration->runners.at(name).spec.slots / static_cast<double>(able.size());
  // Where there are few runners, the floor leaves the lots half of them.
  const std::size_t most_floor = lots_wait ? std::max<std::size_t>(1, able.size() / 2) : able.size();
  const std::size_t lowest = std::min<std::size_t>(circle.floor, most_floor);
  std::size_t highest = able.size();
  if (lots_wait && highest > lowest) {
    // The lots get what they need to be in time, but for what live work takes at medium load.
    const auto wanted = std::max<std::size_t>(
        circle.reserve, slots == 0 ? 0 : static_cast<std::size_t>(std::ceil(lots.at_once / slots)));
    const double full = circle.concurrency == 0 ? slots : std::min<double>(circle.concurrency, slots);
    const auto needed =
        lots.at_once > 0 && full > 0
            ? static_cast<std::size_t>(std::ceil((live + queued) / (std::max(circle.target, squeezed) * full)))
            : 0;
    highest = std::max({lowest, std::min(needed, highest), highest - std::min(wanted, highest)});
  }
  Circle next = before;
  std::size_t size = before.members.size() - std::min(before.members.size(), state.substitutes);
  std::string reason;
  if (live + queued > 0) state.last_live = now;
  const bool unloaded = state.samples_loaded == 0;
  if (record == configuration->circles.end() || (!circle.all && before.cycle == 0 && unloaded)) {
    // No load was ever seen: all but the reserve, as the runners become known, and the law shrinks it on what it sees.
    size = std::max<std::size_t>(lowest, able.size() - std::min<std::size_t>(circle.reserve, able.size()));
    if (record == configuration->circles.end()) reason = "first";
  } else if (circle.all) {
    size = able.size();
    reason = "all";
  } else {
    const std::size_t routing = members->routing();
    const std::size_t missing = routing > fresh ? routing - fresh : 0;
    // No load seen is no sign that little is needed, unless it stays so.
    const bool evidence = !unloaded || now - state.last_live >= (lots_wait ? quiet_beside_lots : quiet_span);
    const bool blind = now - state.since < settle || missing * 3 > routing || !evidence;
    const bool early = recent_load > circle.high_water && now - state.last_cycle >= early_gap;
    if (!blind && !state.writing && (early || now - state.last_cycle >= circle.cycle)) {
      const double seen = early ? recent_load : mean_load;
      size = state.law.step(seen, circle.target, size, lowest, highest, missing == 0 && !early, early);
      next.load = seen;
      next.law = state.law.size;
      next.error = state.law.last_error;
      next.cycle = before.cycle + 1;
      reason = early ? "early" : "cycle";
      state.last_cycle = now;
      state.samples.clear();
      state.samples_loaded = 0;
    }
    if (size > highest && lots_wait) size = highest;
  }
  if (!circle.all && !state.writing) state.substitutes = substitutes_for(before.members, state, circle.ramp, now);
  size = std::clamp(size + state.substitutes, lowest, std::max(lowest, able.size()));
  std::vector<std::string> chosen = match_members(*configuration, able, current, size, before, demand);
  next.members.clear();
  for (const auto& name : chosen) next.members.push_back(RunnerId(name));
  follow_ramps(configuration->runners, circle.ramp, before, state, now, next);
  next.daemons = count_daemons(*members, before, state, now);
  next.dark.clear();
  for (const auto& [name, until] : state.dark_until)
    if (until > now && configuration->runners.contains(name)) next.dark.push_back(RunnerId(name));
  const auto shared = shared_with_lots(configuration->runners, settings, able, next, lots, totals, state, now);
  appoint(*configuration, *members, able, shared, state, next);
  std::erase_if(state.entered, [&](const auto& entry) {
    return std::find(chosen.begin(), chosen.end(), entry.first) == chosen.end();
  });
  if (next.members != before.members && reason.empty()) reason = "replaced";
  if (reason == "all" && next.members == before.members) reason.clear();
  if (reason.empty() && next.dark != before.dark) reason = "dark";
  if (reason.empty() &&
      (next.warm != before.warm || next.generations != before.generations || next.ramps != before.ramps))
    reason = "warmed";
  if (reason.empty() && next.placers != before.placers) reason = "placers";
  if (reason.empty() && next.daemons != before.daemons) reason = "daemons";
  if (reason.empty() || state.writing) return;
  const bool same = next.members == before.members && next.warm == before.warm && next.dark == before.dark &&
                    next.generations == before.generations && next.ramps == before.ramps &&
                    next.placers == before.placers && next.daemons == before.daemons;
  if (same && reason == "cycle" && now - state.written < law_kept) return;
  state.written = now;
  next.reason = reason;
  note("Kind '" + kind + "', " + reason + ": " + std::to_string(next.members.size()) + " members, " +
       std::to_string(next.warm.size()) + " of them past their ramp, of " + std::to_string(able.size()) +
       " able runners; " + std::to_string(next.dark.size()) + " dark, load " + std::to_string(load) + ", " +
       std::to_string(live) + " live, " + std::to_string(queued) + " queued, items for " +
       std::to_string(lots.at_once) + " slots.");
  write(kind, state, std::move(next));
}

// More are counted at once, fewer only where it stays so: the shares of those that are away a moment are not given
// away.
std::uint32_t CircleDuty::count_daemons(const Members& members, const Circle& before, State& state, Moment now) {
  const auto routing = static_cast<std::uint32_t>(members.routing());
  if (routing >= before.daemons) {
    state.fewer_since.reset();
    return routing;
  }
  if (!state.fewer_since) state.fewer_since = now;
  return now - *state.fewer_since >= fewer_span ? routing : before.daemons;
}

// With no runner outside, lots would wait for as long as that lasts, which is for ever where a kind has one runner or
// keeps all in its circle. What a member may be given of them beside its prompts is bounded where items are placed.
std::set<std::string> CircleDuty::shared_with_lots(const Table<Runner>& runners, const Kind& kind,
                                                   const std::set<std::string>& able, const Circle& next,
                                                   const LotDemand& lots,
                                                   const std::map<std::string, RunnerTotal>& totals, State& state,
                                                   Moment now) {
  if (able.empty() || next.members.size() < able.size()) {
    state.all_inside_since.reset();
    state.shared_for.reset();
    return {};
  }
  if (!state.all_inside_since) state.all_inside_since = now;
  const bool running = std::any_of(next.members.begin(), next.members.end(), [&](const RunnerId& member) {
    const auto total = totals.find(member.text);
    return total != totals.end() && total->second.items > 0 && next.placers.contains(member.text);
  });
  if (running || lots.pending > 0 || lots.at_once > 0) state.shared_for = now;
  const bool wanted = state.shared_for && now - *state.shared_for < share_kept;
  if (!wanted || now - *state.all_inside_since < share_after) return {};
  std::vector<std::string> order(able.begin(), able.end());
  auto rank = [&](const std::string& name) {
    const bool cold = runners.at(name).spec.cold > Span{};
    return std::make_tuple(cold, !next.placers.contains(name), hash_of(name));
  };
  std::sort(order.begin(), order.end(),
            [&](const std::string& left, const std::string& right) { return rank(left) < rank(right); });
  std::set<std::string> shared;
  double room = 0;
  for (const auto& name : order) {
    if (!shared.empty() && room >= lots.at_once) break;
    shared.insert(name);
    room += items_beside_prompts(kind, runners.at(name).spec);
  }
  return shared;
}

// Each runner outside has one placer, and each member that lots share: the one it had while that one lives, else
// another, under a higher term. Where some daemons keep nothing but lots, these place: in the runner's zone first, and
// evenly.
void CircleDuty::appoint(const ConfigurationView& configuration, const Members& members,
                         const std::set<std::string>& able, const std::set<std::string>& shared, const State& state,
                         Circle& next) const {
  const bool settled = messenger_.timers().now() - state.since > appoint_after;
  std::map<Address, std::size_t> busy;
  for (const auto& [address, member] : members.all)
    if (member.keeps == "lots") busy[address] = 0;
  const std::set<std::string> inside = names_of(next.members);
  const bool warm_outside = std::any_of(able.begin(), able.end(), [&](const std::string& name) {
    return !inside.contains(name) && configuration.runners.at(name).spec.cold <= Span{};
  });
  std::map<std::string, Placer> placers;
  std::vector<std::string> open;
  for (const auto& name : able) {
    if ((inside.contains(name) && !shared.contains(name)) ||
        (warm_outside && configuration.runners.at(name).spec.cold > Span{}))
      continue;
    auto had = next.placers.find(name);
    auto member = had == next.placers.end() ? members.all.end() : members.all.find(had->second.address);
    const bool lives = member != members.all.end() && member->second.incarnation == had->second.incarnation &&
                       (busy.empty() || busy.contains(member->first));
    if (had != next.placers.end() && (lives || !settled)) {
      placers[name] = had->second;
      if (auto found = busy.find(had->second.address); found != busy.end()) ++found->second;
    } else {
      open.push_back(name);
    }
  }
  const std::size_t share = busy.empty() ? 0 : (placers.size() + open.size() + busy.size() - 1) / busy.size();
  for (const auto& name : open) {
    const ZoneId& zone = configuration.runners.at(name).spec.zone;
    const Member* first = nullptr;
    const auto order = duty_order(members, "place/" + name, zone);
    auto rank = [&](const Member* member) {
      const std::size_t taken = busy.at(member->address);
      return std::make_tuple(taken >= share, member->zone != zone, taken);
    };
    for (const Member* member : order) {
      if (busy.empty()) {
        first = member;
        break;
      }
      if (busy.contains(member->address) && (first == nullptr || rank(member) < rank(first))) first = member;
    }
    if (first == nullptr) continue;
    if (!busy.empty()) ++busy[first->address];
    placers[name] = Placer{first->address, first->incarnation, ++next.term};
  }
  next.placers = std::move(placers);
}

std::vector<std::string> CircleDuty::match_members(const ConfigurationView& configuration,
                                                   const std::set<std::string>& able, std::vector<std::string> members,
                                                   std::size_t size, const Circle& before,
                                                   const std::map<std::string, double>& demand) const {
  std::map<std::string, std::size_t> in_zone;
  std::map<std::string, double> share;
  double all = 0;
  for (const auto& [zone, work] : demand) all += work;
  auto zone = [&](const std::string& name) -> const std::string& {
    return configuration.runners.at(name).spec.zone.text;
  };
  for (const auto& name : able) share[zone(name)] = 0;
  for (auto& [name, part] : share) {
    auto work = demand.find(name);
    // Evenly as far as nothing is known; work moves, so that the known part never is all.
    part =
        all < 1 ? 1 : 0.3 / static_cast<double>(share.size()) + 0.7 * (work == demand.end() ? 0 : work->second / all);
  }
  const std::set<std::string> warm_ones = names_of(before.warm);
  auto warm = [&](const std::string& name) {
    return warm_ones.contains(name);
  };
  auto cold = [&](const std::string& name) {
    return configuration.runners.at(name).spec.cold > Span{};
  };
  for (const auto& name : members) ++in_zone[zone(name)];
  auto leave = [&](auto better) {
    auto leaver = std::max_element(members.begin(), members.end(), better);
    --in_zone[zone(*leaver)];
    members.erase(leaver);
  };
  // A cold runner has no place in the circle while there are warm ones outside it.
  std::set<std::string> outside = able;
  for (const auto& name : members) outside.erase(name);
  std::size_t warm_outside = static_cast<std::size_t>(
      std::count_if(outside.begin(), outside.end(), [&](const std::string& name) { return !cold(name); }));
  for (; warm_outside > 0 && std::any_of(members.begin(), members.end(), cold); --warm_outside)
    leave([&](const std::string& left, const std::string& right) {
      return std::make_pair(cold(left), hash_of(left)) < std::make_pair(cold(right), hash_of(right));
    });
  while (members.size() > size)
    leave([&](const std::string& left, const std::string& right) {
      auto crowd = [&](const std::string& name) {
        return static_cast<double>(in_zone[zone(name)]) / share[zone(name)];
      };
      return std::make_tuple(cold(left), crowd(left), !warm(left), hash_of(left)) <
             std::make_tuple(cold(right), crowd(right), !warm(right), hash_of(right));
    });
  while (members.size() < size && !outside.empty()) {
    auto entrant =
        std::min_element(outside.begin(), outside.end(), [&](const std::string& left, const std::string& right) {
          auto crowd = [&](const std::string& name) {
            return static_cast<double>(in_zone[zone(name)] + (in_zone[zone(name)] > 0)) / share[zone(name)];
          };
          return std::make_tuple(cold(left), crowd(left), hash_of(left)) <
                 std::make_tuple(cold(right), crowd(right), hash_of(right));
        });
    ++in_zone[zone(*entrant)];
    members.push_back(*entrant);
    outside.erase(entrant);
  }
  std::sort(members.begin(), members.end());
  return members;
}

void CircleDuty::write(const std::string& kind, State& state, Circle circle) {
  state.writing = true;
  Write write;
  write.key = "circle/" + kind;
  write.head = json::serialize(to_json(circle));
  write.fence = state.epoch.value;
  messenger_.ask(messenger_.self(), write, milliseconds(2500), [this, kind, epoch = state.epoch](Result<WriteReply>) {
    // The news brings the decision back within a round; writing again before that would only repeat it.
    messenger_.timers().after(milliseconds(100), [this, kind, epoch] {
      auto found = states_.find(kind);
      if (found != states_.end() && found->second.epoch == epoch) found->second.writing = false;
    });
  });
}

}  // namespace mothwalk
