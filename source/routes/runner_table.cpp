// Able runners, their load by count and by tokens, and the way from load and prefix to one of them.
#include "routes/runner_table.hpp"

#include <algorithm>
#include <cmath>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr double bounded_load = 1.25;
constexpr double near_load = 0.1;   // so much more load a runner of the own zone may have than the least loaded
constexpr double cold_share = 0.6;  // of what a cold runner bears; the rest is for items of lots
constexpr double memory_share = 0.95;
constexpr Duration stray_after = milliseconds(100);  // that a request waits for the connections of this daemon
constexpr std::uint32_t absent_failures = 2;         // in a row
constexpr double large_prompt = 6;                   // times the mean: it holds up whatever else its runner does
constexpr double apart_share = 0.45;                 // of the members, for large prompts
constexpr double apart_load = 0.75;                  // of the others, above which they take everything
constexpr Duration load_news = milliseconds(1500);   // how old the news of a runner's load may be to rely on it

// What requests may take of an engine's memory together; one that has the engine to itself may take all of it.
double shared_memory(const Kind& kind) {
  return memory_share * static_cast<double>(kind.engine.memory_tokens);
}
}  // namespace

bool needs_idle_runner(const ConfigurationView& configuration, const std::string& kind, const Demand& demand) {
  auto found = configuration.kinds.find(kind);
  if (found == configuration.kinds.end() || found->second.spec.engine.memory_tokens == 0) return false;
  return static_cast<double>(demand.tokens) > shared_memory(found->second.spec);
}

RunnerTable::RunnerTable(Messenger& messenger, SharedState& shared_state, RandomSource& random, Member self)
    : messenger_(messenger), shared_state_(shared_state), random_(random), self_(std::move(self)) {
  messenger_.on_message<LoadTotals>([this](const Address&, LoadTotals totals) {
    const auto configuration = shared_state_.configuration.get();
    for (const auto& [name, runner] : configuration->runners) {
      if (runner.spec.kind.text != totals.runner_kind) continue;
      RunnerState& runner_state = runner_table_[name];
      auto found = totals.runners.find(name);
      const RunnerTotal total = found == totals.runners.end() ? RunnerTotal{} : found->second;
      runner_state.others = total.open > runner_state.open ? total.open - runner_state.open : 0;
      runner_state.items = total.items;
      runner_state.load_heard = messenger_.timers().now();
    }
    shared_state_.take_totals(totals.runner_kind, KindTotals{messenger_.timers().now(), std::move(totals.runners)});
  });
}

// A daemon that has lost sight of the others, or has just started, must not take their shares for its own: the circle
// says how many there are.
std::size_t RunnerTable::daemons(const ConfigurationView& configuration) const {
  std::size_t count = std::max<std::size_t>(1, shared_state_.members.get()->routing());
  for (const auto& [kind, circle] : configuration.circles) count = std::max<std::size_t>(count, circle.spec.daemons);
  return count;
}

const ConnectionShares& RunnerTable::shares(const ConfigurationView& configuration, const std::string& kind_name) {
  KindShares& known = shares_[kind_name];
  const auto members = shared_state_.members.get();
  const auto& kind = configuration.kinds.at(kind_name);
  const auto circle = configuration.circles.find(kind_name);
  const Stamp circle_stamp = circle == configuration.circles.end() ? Stamp{} : circle->second.stamp;
  if (known.members == members && known.circle == circle_stamp && known.kind == kind.stamp &&
      known.daemons == daemons_ && circle_stamp != Stamp{})
    return known.shares;
  std::vector<ConnectionShares::Place> users, runners;
  for (const auto& [address, member] : members->all)
    if (member.routes() || address == messenger_.self()) users.push_back({address.text, member.zone});
  std::uint32_t slots = 0;
  if (circle != configuration.circles.end())
    for (const auto& member : circle->second.spec.members)
      if (auto runner = configuration.runners.find(member.text); runner != configuration.runners.end()) {
        runners.push_back({member.text, runner->second.spec.zone});
        slots = std::max(slots, runner->second.spec.slots);
      }
  ConnectionShares shares(users, runners, ConnectionLimit{kind.spec.connections, slots, daemons_});
  leave_subset(configuration, known.shares, shares);
  known = KindShares{members, circle_stamp, kind.stamp, daemons_, std::move(shares)};
  return known.shares;
}

// Connections that stay idle outside the subset would count beside those of the daemons that have the runner in theirs.
void RunnerTable::leave_subset(const ConfigurationView& configuration, const ConnectionShares& before,
                               const ConnectionShares& after) {
  const std::string& self = messenger_.self().text;
  for (const std::string& name : before.runners())
    if (auto runner = configuration.runners.find(name);
        runner != configuration.runners.end() && before.of(self, name) > 0 && after.of(self, name) == 0)
      subset_left(runner->second.spec.address, name);
}

// The list of runners tells how much longer a runner is cold; that counts from when it came here.
void RunnerTable::follow(const ConfigurationView& configuration) {
  daemons_ = daemons(configuration);
  if (configuration.listing == listing_) return;
  listing_ = configuration.listing;
  const TimePoint now = messenger_.timers().now();
  for (const auto& [name, runner] : configuration.runners) {
    if (runner.spec.cold == Duration{} && !runner_table_.contains(name)) continue;
    RunnerState& runner_state = runner_table_[name];
    if (runner.spec.cold != runner_state.cold_told && runner.spec.cold > Duration{}) {
      const bool was_cold = now < runner_state.cold_until;
      runner_state.cold_until = now + runner.spec.cold;
      if (auto kind = configuration.kinds.find(runner.spec.kind.text);
          !was_cold && kind != configuration.kinds.end() && kind->second.spec.cold_rate > 0) {
        // The daemons begin at different moments, so that their first requests do not come together.
        const auto gap =
            static_cast<std::size_t>(1e6 * static_cast<double>(daemons_) / (kind->second.spec.cold_rate * cold_share));
        runner_state.cold_next =
            std::max(runner_state.cold_next, now + Duration(static_cast<std::int64_t>(random_.below(gap))));
      }
    }
    runner_state.cold_told = runner.spec.cold;
  }
}

double RunnerTable::load(const RunnerState& runner_state, const Runner& runner, const Kind& kind) const {
  const double by_count = static_cast<double>(runner_state.taken()) / runner.slots;
  if (kind.engine.memory_tokens == 0) return by_count;
  const double memory = static_cast<double>(kind.engine.memory_tokens);
  return std::max(by_count, (static_cast<double>(runner_state.tokens) +
                             mean_tokens_ * (runner_state.others + runner_state.items)) /
                                memory) +
         static_cast<double>(runner_state.unread) / memory;
}

// What a choice looks at each runner with.
struct RunnerTable::Considered {
  const Kind& kind;
  const Circle* circle;
  const ConnectionShares& shares;
  const Demand& demand;
  TimePoint now;
};

Obstacle RunnerTable::obstacle_at(const std::string& name, const Runner& runner, const Considered& considered) {
  const Kind& kind = considered.kind;
  const Circle* circle = considered.circle;
  const TimePoint now = considered.now;
  const bool warm = circle == nullptr || circle->bears(name, runner.generation);
  RunnerState& runner_state = runner_table_[name];
  if (now < runner_state.not_before) return runner_state.failures > 0 ? Obstacle::failing : Obstacle::resting;
  if (runner_state.failures > 0 && runner_state.open > 0) return Obstacle::failing;
  if (kind.engine.memory_tokens > 0 && runner_state.taken() > 0) {
    const double used = static_cast<double>(runner_state.tokens + considered.demand.tokens) +
                        mean_tokens_ * (runner_state.others + runner_state.items);
    if (used > shared_memory(kind)) return Obstacle::memory;
  }
  const double limit = runner.slots * kind.overcommit;
  follow_ramp(name, considered, warm, runner_state);
  if (!runner_state.ramp_since || now - *runner_state.ramp_since >= kind.circle.ramp) {
    if (runner_state.taken() >= limit) return Obstacle::slots;
  } else if (const Obstacle obstacle = ramp_obstacle(name, runner, considered, runner_state);
             obstacle != Obstacle::none) {
    return obstacle;
  }
  // The last of all: what else stands in the way can't be got round by a connection over the share.
  const bool full =
      considered.shares.limited() && runner_state.open >= considered.shares.of(messenger_.self().text, name);
  return full ? Obstacle::connections : Obstacle::none;
}

// A ramp begins as the circle says, or at the first answer after an absence. It ends by the time of this daemon, which
// may be cut off from the circle duty.
void RunnerTable::follow_ramp(const std::string& name, const Considered& considered, bool warm,
                              RunnerState& runner_state) const {
  const Circle* circle = considered.circle;
  const TimePoint now = considered.now;
  if (circle != nullptr && !warm)
    if (auto count = circle->ramps.find(name); count != circle->ramps.end() && count->second != runner_state.ramp) {
      runner_state.ramp = count->second;
      runner_state.ramp_since = now;
    }
  if (runner_state.came_back && now - *runner_state.ramp_since >= considered.kind.circle.ramp)
    runner_state.came_back = false;
  if (warm && !runner_state.came_back)
    runner_state.ramp_since.reset();
  else if (!runner_state.ramp_since)
    runner_state.ramp_since = now;
}

// A warming or returning runner: its limit grows from a quarter over the ramp, and each daemon that uses it keeps
// within a share of it that does not depend on news of the others, so the sum over all daemons stays below the limit.
Obstacle RunnerTable::ramp_obstacle(const std::string& name, const Runner& runner, const Considered& considered,
                                    RunnerState& runner_state) {
  const Duration ramp = considered.kind.circle.ramp;
  const TimePoint now = considered.now;
  const double progress =
      static_cast<double>((now - *runner_state.ramp_since).count()) / static_cast<double>(ramp.count());
  const std::size_t allowed =
      static_cast<std::size_t>(std::max(1.0, std::floor(runner.slots * (0.25 + 0.75 * progress)) - runner_state.items));
  std::size_t users = 1;
  const std::size_t rank = ramp_rank(name, runner, considered, &users);
  return runner_state.open < allowed / users + (rank < allowed % users ? 1 : 0) ? Obstacle::none : Obstacle::ramp;
}

// This daemon's place in the agreed order of those that may use the runner, and how many these are.
std::size_t RunnerTable::ramp_rank(const std::string& name, const Runner& runner, const Considered& considered,
                                   std::size_t* users) const {
  const auto members = shared_state_.members.get();
  const auto* subset = considered.shares.users_of(name);
  std::size_t count = 0, rank = 0;
  const auto order = duty_order(*members, "warm/" + name, runner.zone);
  for (const Member* member : order) {
    if (!member->routes() && member->address != messenger_.self()) continue;
    if (subset != nullptr && !subset->contains(member->address.text)) continue;
    if (member->address == messenger_.self()) rank = count;
    ++count;
  }
  if (subset != nullptr && !subset->contains(messenger_.self().text)) rank = count;
  *users = std::max<std::size_t>(1, subset != nullptr ? count : std::max(count, daemons_));
  return rank;
}

// Whether the runner has free slots, as was told a moment ago.
bool RunnerTable::known_free(const RunnerState& runner_state, const Runner& runner, TimePoint now) const {
  return now - runner_state.load_heard < load_news && runner_state.taken() < runner.slots;
}

// An engine that reads a very long prompt gives no tokens to its other requests meanwhile. Such prompts go to a few
// members that all daemons pick alike, in zones with more of them, and the rest of the requests to the others.
const std::set<std::string>& RunnerTable::apart(const ConfigurationView& configuration, const std::string& kind,
                                                const Named<Circle>& circle) {
  auto& [stamp, names] = apart_[kind];
  if (stamp == circle.stamp && stamp != Stamp{}) return names;
  stamp = circle.stamp;
  names.clear();
  std::map<std::string, std::size_t> in_zone;
  std::vector<std::pair<std::string, std::string>> members;  // zone, name
  for (const auto& member : circle.spec.members)
    if (auto runner = configuration.runners.find(member.text); runner != configuration.runners.end()) {
      ++in_zone[runner->second.spec.zone.text];
      members.emplace_back(runner->second.spec.zone.text, member.text);
    }
  // One alone would have them wait for each other.
  const auto wanted = static_cast<std::size_t>(apart_share * static_cast<double>(members.size()));
  for (std::size_t count = wanted < 2 ? 0 : wanted; count > 0; --count) {
    auto most = std::min_element(members.begin(), members.end(), [&](const auto& left, const auto& right) {
      return std::make_pair(-static_cast<std::int64_t>(in_zone[left.first]), hash_of(left.second)) <
             std::make_pair(-static_cast<std::int64_t>(in_zone[right.first]), hash_of(right.second));
    });
    --in_zone[most->first];
    names.insert(most->second);
    members.erase(most);
  }
  return names;
}

std::optional<RunnerChoice> RunnerTable::choose(const ConfigurationView& configuration, const std::string& kind_name,
                                                const Demand& demand, const std::set<std::string>& tried,
                                                std::string* why) {
  follow(configuration);
  auto kind = configuration.kinds.find(kind_name);
  auto circle = configuration.circles.find(kind_name);
  *why = "circle";
  if (kind == configuration.kinds.end() || (circle == configuration.circles.end() && !even_over_all))
    return std::nullopt;
  const TimePoint now = messenger_.timers().now();
  // In the share; over it by right; over it since no runner that this daemon has a right to can be used soon.
  std::vector<Choice> choices, visits, strays, colds;
  bool right_in_use = false;
  static const ConnectionShares unlimited;
  const ConnectionShares& connection_shares = even_over_all ? unlimited : shares(configuration, kind_name);
  static const std::set<std::string> none;
  const auto& set_apart = kind->second.spec.engine.memory_tokens > 0 && !even_over_all
                              ? apart(configuration, kind_name, circle->second)
                              : none;
  bool warm_able = false, cold_able = false;
  ObstacleTally obstacles;
  auto consider = [&](const std::string& name, const Circle* circle) {
    auto runner = configuration.runners.find(name);
    if (runner == configuration.runners.end()) return obstacles.add(Obstacle::not_listed);
    if (tried.contains(name)) return obstacles.add(Obstacle::tried);
    const Runner& spec = runner->second.spec;
    if (spec.leaving || configuration.evacuated(spec.zone)) return obstacles.add(Obstacle::not_listed);
    const RunnerState& runner_state = runner_table_[name];
    const bool is_cold = cold(runner_state, kind->second.spec, now);
    if (now >= runner_state.not_before) (is_cold ? cold_able : warm_able) = true;
    const Obstacle obstacle =
        obstacle_at(name, spec, Considered{kind->second.spec, circle, connection_shares, demand, now});
    const std::uint32_t share = connection_shares.of(messenger_.self().text, name);
    const bool over_share = obstacle == Obstacle::connections && !is_cold;
    const bool right = connection_shares.may_visit(messenger_.self().text, name);
    if (obstacle != Obstacle::none) obstacles.add(obstacle);
    if (over_share && (share > 0 || right) && runner_state.open >= share + right) right_in_use = true;
    const bool visit = over_share && runner_state.open <= share && (right || known_free(runner_state, spec, now));
    if (obstacle != Obstacle::none && !visit) return;
    if (is_cold && now < runner_state.cold_next) return obstacles.add(Obstacle::cold);
    std::vector<Choice>& list = is_cold ? colds : !visit ? choices : right ? visits : strays;
    list.push_back(Choice{&runner->first, &spec, load(runner_state, spec, kind->second.spec), spec.zone == self_.zone,
                          set_apart.contains(name), share + visit, !visit, visit && !right});
  };
  if (even_over_all) {
    for (const auto& [name, runner] : configuration.runners)
      if (runner.spec.kind.text == kind_name) consider(name, nullptr);
  } else {
    for (const auto& member : circle->second.spec.members) consider(member.text, &circle->second.spec);
  }
  main_obstacle_ = obstacles.main();
  *why = warm_able || cold_able ? "busy" : "none";
  if (choices.empty()) choices = std::move(visits);
  if (choices.empty() && (!right_in_use || demand.waited >= stray_after)) choices = std::move(strays);
  // A cold runner falls over at little: it is asked where no warm one could be.
  if (choices.empty() && !warm_able) choices = std::move(colds);
  if (choices.empty()) return std::nullopt;
  auto chosen = [&](const Choice& choice) {
    const std::uint32_t connections = connection_shares.limited() ? choice.connections : 0;
    return RunnerChoice{*choice.name, connections, choice.keep_connection, choice.stray};
  };
  if (even_over_all) return chosen(choices[turn_++ % choices.size()]);
  if (!set_apart.empty()) {
    const bool large = demand.prompt_tokens > large_prompt * mean_prompt_;
    const bool room = std::any_of(choices.begin(), choices.end(),
                                  [&](const Choice& each) { return each.apart == large && each.load < apart_load; });
    if (room) std::erase_if(choices, [&](const Choice& each) { return each.apart != large; });
    // Where it is read soonest: behind the fewest others.
    if (large && room)
      return chosen(*std::min_element(choices.begin(), choices.end(), [&](const Choice& left, const Choice& right) {
        return std::make_pair(runner_table_[*left.name].unread, left.load) <
               std::make_pair(runner_table_[*right.name].unread, right.load);
      }));
  }
  double mean = 0;
  for (const auto& each : choices) mean += each.load / static_cast<double>(choices.size());
  if (demand.affinity != 0) {
    std::sort(choices.begin(), choices.end(), [&](const Choice& left, const Choice& right) {
      return hash_of(*left.name, demand.affinity) < hash_of(*right.name, demand.affinity);
    });
    for (const bool here : {true, false}) {
      if (here && !demand.near) continue;
      for (const auto& each : choices)
        if ((each.here || !here) && each.load <= mean * bounded_load + 1.0 / each.runner->slots && each.load < 1.0)
          return chosen(each);
    }
  }
  double least = choices.front().load;
  for (const auto& each : choices) least = std::min(least, each.load);
  std::vector<const Choice*> close, own;
  for (const auto& each : choices) {
    if (each.load > least + 1e-9 && !each.here) continue;
    if (each.load > least + (each.load < 0.7 ? near_load : 0.0) + 1.0 / each.runner->slots + 1e-9) continue;
    close.push_back(&each);
    if (each.here) own.push_back(&each);
  }
  const auto& from = own.empty() ? close : own;
  std::vector<const Choice*> best;
  double best_load = from.front()->load;
  for (const auto* each : from) best_load = std::min(best_load, each->load);
  for (const auto* each : from)
    if (each->load <= best_load + 1e-9) best.push_back(each);
  return chosen(*best[random_.below(best.size())]);
}

void RunnerTable::sent(const std::string& runner, const Kind& kind, const Demand& demand) {
  RunnerState& runner_state = runner_table_[runner];
  const TimePoint now = messenger_.timers().now();
  ++runner_state.open;
  runner_state.tokens += demand.tokens;
  runner_state.unread += demand.prompt_tokens;
  runner_state.last_sent = now;
  if (demand.tokens > 0) {
    const double part = mean_tokens_ == 0 ? 1 : 1.0 / 64;
    mean_tokens_ += (demand.tokens - mean_tokens_) * part;
    mean_prompt_ += (demand.prompt_tokens - mean_prompt_) * part;
  }
  // Each daemon has its share of what a cold runner bears, evenly spaced: the sum holds whatever they know of each
  // other.
  if (cold(runner_state, kind, now))
    runner_state.cold_next =
        now + Duration(static_cast<std::int64_t>(1e6 * static_cast<double>(daemons_) / (kind.cold_rate * cold_share)));
}

void RunnerTable::read(const std::string& runner, const Demand& demand, bool first) {
  RunnerState& runner_state = runner_table_[runner];
  if (first) runner_state.unread -= std::min<std::uint64_t>(runner_state.unread, demand.prompt_tokens);
  runner_state.heard = messenger_.timers().now();
}

TimePoint RunnerTable::heard(const std::string& runner) const {
  auto found = runner_table_.find(runner);
  return found == runner_table_.end() ? TimePoint{} : found->second.heard;
}

std::string RunnerTable::idle_member(const ConfigurationView& configuration, const std::string& kind,
                                     const std::set<std::string>& but, Duration slack) const {
  auto circle = configuration.circles.find(kind);
  if (circle == configuration.circles.end()) return {};
  const Duration ramp = configuration.kinds.at(kind).spec.circle.ramp;
  const TimePoint now = messenger_.timers().now();
  for (const auto& member : circle->second.spec.members) {
    auto runner = configuration.runners.find(member.text);
    auto found = runner_table_.find(member.text);
    if (runner == configuration.runners.end() || found == runner_table_.end() || but.contains(member.text)) continue;
    const RunnerState& runner_state = found->second;
    const bool able = !runner->second.spec.leaving && !configuration.evacuated(runner->second.spec.zone) &&
                      runner_state.failures == 0 && now >= runner_state.not_before && now >= runner_state.cold_until;
    const bool warm = circle->second.spec.bears(member.text, runner->second.spec.generation) && !runner_state.came_back;
    const bool ramp_over = runner_state.ramp_since && now - *runner_state.ramp_since >= ramp + slack;
    if (able && (warm || ramp_over) && runner_state.taken() == 0 && now - runner_state.load_heard < load_news)
      return member.text;
  }
  return {};
}

void RunnerTable::ended(const std::string& runner, const Demand& demand, AttemptVerdict verdict, bool was_read) {
  RunnerState& runner_state = runner_table_[runner];
  if (runner_state.open > 0) --runner_state.open;
  runner_state.tokens -= std::min<std::uint64_t>(runner_state.tokens, demand.tokens);
  if (!was_read) runner_state.unread -= std::min<std::uint64_t>(runner_state.unread, demand.prompt_tokens);
  const TimePoint now = messenger_.timers().now();
  if (verdict == AttemptVerdict::nothing) return;
  if (verdict == AttemptVerdict::sound) {
    // It was away and answers again: it may have been started anew, with nothing cached.
    if (std::exchange(runner_state.absent, false)) {
      runner_state.came_back = true;
      runner_state.ramp_since = runner_state.returned = now;
      report_soon = true;
    }
    runner_state.failures = 0;
  } else {
    failed(runner_state, now);
    // A single answer that breaks off is no sign of a new start.
    runner_state.absent =
        runner_state.absent || verdict == AttemptVerdict::unreachable || runner_state.failures >= absent_failures;
  }
}

void RunnerTable::failed(RunnerState& runner_state, TimePoint now) {
  runner_state.failures = std::min(runner_state.failures + 1, 6u);
  runner_state.failure = now;
  report_soon = true;
  runner_state.not_before = now + milliseconds(150 << runner_state.failures);
}

void RunnerTable::suspect(const std::string& runner) {
  RunnerState& runner_state = runner_table_[runner];
  const TimePoint now = messenger_.timers().now();
  if (now < runner_state.not_before) return;
  failed(runner_state, now);
  runner_state.absent = runner_state.absent || runner_state.failures >= absent_failures;
}

void RunnerTable::rest(const std::string& runner, Duration span) {
  RunnerState& runner_state = runner_table_[runner];
  runner_state.not_before = std::max(runner_state.not_before, messenger_.timers().now() + span);
}

void RunnerTable::told(const std::string& runner, const RunnerLoad& load) {
  RunnerState& runner_state = runner_table_[runner];
  const std::uint32_t all = load.running + load.waiting, beside = all > runner_state.open ? all - runner_state.open : 0;
  runner_state.items = std::min(runner_state.items, beside);
  runner_state.others = beside - runner_state.items;
  runner_state.load_heard = messenger_.timers().now();
}

std::map<std::string, ObservedLoad> RunnerTable::load(const ConfigurationView& configuration, const std::string& kind,
                                                      const Kind& settings) {
  const TimePoint now = messenger_.timers().now();
  std::map<std::string, ObservedLoad> load;
  for (const auto& [name, runner_state] : runner_table_) {
    auto runner = configuration.runners.find(name);
    if (runner == configuration.runners.end() || runner->second.spec.kind.text != kind) continue;
    const bool tried =
        now - runner_state.last_sent < std::chrono::seconds(10) && runner_state.last_sent.microseconds > 0;
    // It counts as failing while it is left alone after a failure, and a moment longer for another try.
    const bool failing = runner_state.failures > 0 && now < runner_state.not_before + std::chrono::seconds(1);
    ObservedLoad observed{runner_state.open, failing && runner_state.failures >= 2, tried, {}, {}, false, 0};
    const bool failed_of_late =
        runner_state.absent && runner_state.failure && now - *runner_state.failure < settings.circle.ramp;
    if (failed_of_late) {
      observed.failed = now - *runner_state.failure;
    } else if (runner_state.returned && now - *runner_state.returned < settings.circle.ramp) {
      observed.failed = now - *runner_state.returned;
      observed.returned = true;
    }
    if (observed.failed && runner_state.failure) observed.failure = now - *runner_state.failure;
    if (runner_state.open > 0 || tried || failing || observed.failed) load[name] = observed;
  }
  return load;
}

void RunnerTable::forget_gone(const ConfigurationView& configuration) {
  std::erase_if(runner_table_,
                [&](const auto& each) { return !configuration.runners.contains(each.first) && each.second.open == 0; });
}

}  // namespace mothwalk
