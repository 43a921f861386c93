// Determines which runners can take a request, computes their load by requests and by tokens, and chooses one of them
// by load and cached prefix.
#include "routes/runner_table.hpp"

#include <algorithm>
#include <cmath>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
// A runner with the request's prefix is chosen only while its load is below this multiple of the mean load.
constexpr double max_load_over_mean = 1.25;
// How much more load a runner of the daemon's own zone may have than the least loaded runner.
constexpr double own_zone_load_margin = 0.1;
// The part of a cold runner's request rate that live requests may use; the rest is for items of lots (batches).
constexpr double live_share_of_cold_rate = 0.6;
// The part of an engine's memory that several requests may use together.
constexpr double memory_share = 0.95;
// How long a request waits for connections that this daemon is entitled to, before it uses one beyond its share.
constexpr Duration over_share_wait = milliseconds(100);
// A runner counts as unreachable after this many consecutive failures.
constexpr std::uint32_t failures_until_unreachable = 2;
// A prompt longer than this multiple of the mean is a long prompt, which delays all other requests on its runner.
constexpr double long_prompt_factor = 6;
// The part of a circle's members that take the long prompts.
constexpr double long_prompt_member_share = 0.45;
// Long and other prompts are kept apart only while a member of their own group has less load than this.
constexpr double max_load_for_separation = 0.75;
// A load report older than this is not relied on.
constexpr Duration max_load_age = milliseconds(1500);

// Returns how many tokens of an engine's memory several requests may use together. A request that runs alone may use
// all of the memory.
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
      RunnerState& runner_state = states_[name];
      auto found = totals.runners.find(name);
      const RunnerTotal total = found == totals.runners.end() ? RunnerTotal{} : found->second;
      runner_state.others = total.open > runner_state.open ? total.open - runner_state.open : 0;
      runner_state.items = total.items;
      runner_state.load_updated = messenger_.timers().now();
    }
    shared_state_.set_totals(totals.runner_kind, KindTotals{messenger_.timers().now(), std::move(totals.runners)});
  });
}

// Returns the number of daemons that share the runners. A daemon that has just started or has lost contact with the
// others knows too few of them and must not use their shares, so the number in the circles counts as well.
std::size_t RunnerTable::count_daemons(const ConfigurationView& configuration) const {
  std::size_t count = std::max<std::size_t>(1, shared_state_.members.get()->routing_count());
  for (const auto& [kind, circle] : configuration.circles) count = std::max<std::size_t>(count, circle.spec.daemons);
  return count;
}

const ConnectionShares& RunnerTable::shares(const ConfigurationView& configuration, const std::string& kind_name) {
  KindShares& cached = shares_[kind_name];
  const auto members = shared_state_.members.get();
  const auto& kind = configuration.kinds.at(kind_name);
  const auto circle = configuration.circles.find(kind_name);
  const Stamp circle_stamp = circle == configuration.circles.end() ? Stamp{} : circle->second.stamp;
  if (cached.members == members && cached.circle == circle_stamp && cached.kind == kind.stamp &&
      cached.daemons == daemon_count_ && circle_stamp != Stamp{})
    return cached.shares;
  std::vector<ConnectionShares::Endpoint> users, runners;
  for (const auto& [address, member] : members->all)
    if (member.routes() || address == messenger_.self()) users.push_back({address.text, member.zone});
  std::uint32_t slots = 0;
  if (circle != configuration.circles.end())
    for (const auto& member : circle->second.spec.members)
      if (auto runner = configuration.runners.find(member.text); runner != configuration.runners.end()) {
        runners.push_back({member.text, runner->second.spec.zone});
        slots = std::max(slots, runner->second.spec.slots);
      }
  ConnectionShares shares(users, runners, ConnectionLimit{kind.spec.connections, slots, daemon_count_});
  notify_subset_left(configuration, cached.shares, shares);
  cached = KindShares{members, circle_stamp, kind.stamp, daemon_count_, std::move(shares)};
  return cached.shares;
}

// Reports the runners that left this daemon's subset, so that idle connections to them are closed. These would
// otherwise count against the runner's limit in addition to those of the daemons that have the runner in their subset.
void RunnerTable::notify_subset_left(const ConfigurationView& configuration, const ConnectionShares& before,
                                     const ConnectionShares& after) {
  const std::string& self = messenger_.self().text;
  for (const std::string& name : before.subset_runners())
    if (auto runner = configuration.runners.find(name);
        runner != configuration.runners.end() && before.share_of(self, name) > 0 && after.share_of(self, name) == 0)
      on_subset_left(runner->second.spec.address, name);
}

// Takes from a new list of runners how much longer each runner is cold. That time counts from when the list is
// received.
void RunnerTable::update_from_listing(const ConfigurationView& configuration) {
  daemon_count_ = count_daemons(configuration);
  if (configuration.listing == listing_stamp_) return;
  listing_stamp_ = configuration.listing;
  const TimePoint now = messenger_.timers().now();
  for (const auto& [name, runner] : configuration.runners) {
    if (runner.spec.cold == Duration{} && !states_.contains(name)) continue;
    RunnerState& runner_state = states_[name];
    if (runner.spec.cold != runner_state.reported_cold && runner.spec.cold > Duration{}) {
      const bool was_cold = now < runner_state.cold_until;
      runner_state.cold_until = now + runner.spec.cold;
      if (auto kind = configuration.kinds.find(runner.spec.kind.text);
          !was_cold && kind != configuration.kinds.end() && kind->second.spec.cold_rate > 0) {
        // The daemons start at random times, so that their first requests do not arrive together.
        const auto gap = static_cast<std::size_t>(1e6 * static_cast<double>(daemon_count_) /
                                                  (kind->second.spec.cold_rate * live_share_of_cold_rate));
        runner_state.cold_next_send =
            std::max(runner_state.cold_next_send, now + Duration(static_cast<std::int64_t>(random_.below(gap))));
      }
    }
    runner_state.reported_cold = runner.spec.cold;
  }
}

double RunnerTable::load(const RunnerState& runner_state, const Runner& runner, const Kind& kind) const {
  const double by_count = static_cast<double>(runner_state.in_progress()) / runner.slots;
  if (kind.engine.memory_tokens == 0) return by_count;
  const double memory = static_cast<double>(kind.engine.memory_tokens);
  return std::max(by_count, (static_cast<double>(runner_state.tokens) +
                             mean_tokens_ * (runner_state.others + runner_state.items)) /
                                memory) +
         static_cast<double>(runner_state.unread_tokens) / memory;
}

// The inputs of a choice that are the same for all runners.
struct RunnerTable::ChoiceContext {
  const Kind& kind;
  const Circle* circle;
  const ConnectionShares& shares;
  const Demand& demand;
  TimePoint now;
};

BlockReason RunnerTable::find_block_reason(const std::string& name, const Runner& runner,
                                           const ChoiceContext& context) {
  const Kind& kind = context.kind;
  const Circle* circle = context.circle;
  const TimePoint now = context.now;
  const bool warm = circle == nullptr || circle->takes_full_share(name, runner.generation);
  RunnerState& runner_state = states_[name];
  if (now < runner_state.not_before) return runner_state.failures > 0 ? BlockReason::failing : BlockReason::resting;
  if (runner_state.failures > 0 && runner_state.open > 0) return BlockReason::failing;
  if (kind.engine.memory_tokens > 0 && runner_state.in_progress() > 0) {
    const double used = static_cast<double>(runner_state.tokens + context.demand.tokens) +
                        mean_tokens_ * (runner_state.others + runner_state.items);
    if (used > shared_memory(kind)) return BlockReason::memory;
  }
  const double limit = runner.slots * kind.overcommit;
  update_ramp(name, context, warm, runner_state);
  if (!runner_state.ramp_since || now - *runner_state.ramp_since >= kind.circle.ramp) {
    if (runner_state.in_progress() >= limit) return BlockReason::slots;
  } else if (const BlockReason reason = ramp_block_reason(name, runner, context, runner_state);
             reason != BlockReason::none) {
    return reason;
  }
  // The connections are checked last, because a connection beyond the share helps only if there is no other block
  // reason.
  const bool full =
      context.shares.limited() && runner_state.open >= context.shares.share_of(messenger_.self().text, name);
  return full ? BlockReason::connections : BlockReason::none;
}

// A ramp begins when the circle says so, or at the first response of a runner that was unreachable. It ends by the
// clock of this daemon, which may be disconnected from the daemon that maintains the circle.
void RunnerTable::update_ramp(const std::string& name, const ChoiceContext& context, bool warm,
                              RunnerState& runner_state) const {
  const Circle* circle = context.circle;
  const TimePoint now = context.now;
  if (circle != nullptr && !warm)
    if (auto count = circle->ramps.find(name);
        count != circle->ramps.end() && count->second != runner_state.ramp_number) {
      runner_state.ramp_number = count->second;
      runner_state.ramp_since = now;
    }
  if (runner_state.recovering && now - *runner_state.ramp_since >= context.kind.circle.ramp)
    runner_state.recovering = false;
  if (warm && !runner_state.recovering)
    runner_state.ramp_since.reset();
  else if (!runner_state.ramp_since)
    runner_state.ramp_since = now;
}

// The limit of a runner that warms up or has recovered grows from a quarter of its slots to all of them during the
// ramp. Each daemon that uses the runner keeps within a share that does not depend on load reports of the others, so
// the sum over all daemons stays below the limit.
BlockReason RunnerTable::ramp_block_reason(const std::string& name, const Runner& runner, const ChoiceContext& context,
                                           RunnerState& runner_state) {
  const Duration ramp = context.kind.circle.ramp;
  const TimePoint now = context.now;
  const double progress =
      static_cast<double>((now - *runner_state.ramp_since).count()) / static_cast<double>(ramp.count());
  const std::size_t allowed =
      static_cast<std::size_t>(std::max(1.0, std::floor(runner.slots * (0.25 + 0.75 * progress)) - runner_state.items));
  std::size_t users = 1;
  const std::size_t rank = ramp_rank(name, runner, context, &users);
  return runner_state.open < allowed / users + (rank < allowed % users ? 1 : 0) ? BlockReason::none : BlockReason::ramp;
}

// Returns this daemon's position in the common order of the daemons that may use the runner, and sets `users` to their
// number.
std::size_t RunnerTable::ramp_rank(const std::string& name, const Runner& runner, const ChoiceContext& context,
                                   std::size_t* users) const {
  const auto members = shared_state_.members.get();
  const auto* subset = context.shares.users_of(name);
  std::size_t count = 0, rank = 0;
  const auto order = singleton_role_order(*members, "warm/" + name, runner.zone);
  for (const Member* member : order) {
    if (!member->routes() && member->address != messenger_.self()) continue;
    if (subset != nullptr && !subset->contains(member->address.text)) continue;
    if (member->address == messenger_.self()) rank = count;
    ++count;
  }
  if (subset != nullptr && !subset->contains(messenger_.self().text)) rank = count;
  *users = std::max<std::size_t>(1, subset != nullptr ? count : std::max(count, daemon_count_));
  return rank;
}

// Returns whether the runner was recently reported to have free slots.
bool RunnerTable::has_free_slots(const RunnerState& runner_state, const Runner& runner, TimePoint now) const {
  return now - runner_state.load_updated < max_load_age && runner_state.in_progress() < runner.slots;
}

// An engine that processes a very long prompt generates no tokens for its other requests in the meantime. Such prompts
// are therefore sent to a few members, and other requests to the rest. All daemons select the same members, from the
// zones that have the most.
const std::set<std::string>& RunnerTable::long_prompt_runners(const ConfigurationView& configuration,
                                                              const std::string& kind, const Named<Circle>& circle) {
  auto& [stamp, names] = long_prompt_runners_[kind];
  if (stamp == circle.stamp && stamp != Stamp{}) return names;
  stamp = circle.stamp;
  names.clear();
  std::map<std::string, std::size_t> members_in_zone;
  std::vector<std::pair<std::string, std::string>> members;  // Pairs of zone and name.
  for (const auto& member : circle.spec.members)
    if (auto runner = configuration.runners.find(member.text); runner != configuration.runners.end()) {
      ++members_in_zone[runner->second.spec.zone.text];
      members.emplace_back(runner->second.spec.zone.text, member.text);
    }
  // At a single member, long prompts would wait for each other.
  const auto wanted = static_cast<std::size_t>(long_prompt_member_share * static_cast<double>(members.size()));
  for (std::size_t count = wanted < 2 ? 0 : wanted; count > 0; --count) {
    auto chosen = std::min_element(members.begin(), members.end(), [&](const auto& left, const auto& right) {
      return std::make_pair(-static_cast<std::int64_t>(members_in_zone[left.first]), hash_of(left.second)) <
             std::make_pair(-static_cast<std::int64_t>(members_in_zone[right.first]), hash_of(right.second));
    });
    --members_in_zone[chosen->first];
    names.insert(chosen->second);
    members.erase(chosen);
  }
  return names;
}

std::optional<RunnerChoice> RunnerTable::choose(const ConfigurationView& configuration, const std::string& kind_name,
                                                const Demand& demand, const std::set<std::string>& tried,
                                                std::string* why) {
  update_from_listing(configuration);
  auto kind = configuration.kinds.find(kind_name);
  auto circle = configuration.circles.find(kind_name);
  *why = "circle";
  if (kind == configuration.kinds.end() || (circle == configuration.circles.end() && !round_robin_all))
    return std::nullopt;
  const TimePoint now = messenger_.timers().now();
  // Candidates within this daemon's share; those for which it has an extra connection; those beyond both, for the case
  // that no connection that it is entitled to is free soon; and cold runners.
  std::vector<Candidate> candidates, extra_candidates, over_share_candidates, cold_candidates;
  bool entitled_in_use = false;
  static const ConnectionShares unlimited;
  const ConnectionShares& connection_shares = round_robin_all ? unlimited : shares(configuration, kind_name);
  static const std::set<std::string> none;
  const auto& long_prompt_members = kind->second.spec.engine.memory_tokens > 0 && !round_robin_all
                                        ? long_prompt_runners(configuration, kind_name, circle->second)
                                        : none;
  bool warm_usable = false, cold_usable = false;
  BlockReasonTally tally;
  auto consider = [&](const std::string& name, const Circle* circle) {
    auto runner = configuration.runners.find(name);
    if (runner == configuration.runners.end()) return tally.add(BlockReason::not_listed);
    if (tried.contains(name)) return tally.add(BlockReason::tried);
    const Runner& spec = runner->second.spec;
    if (spec.leaving || configuration.evacuated(spec.zone)) return tally.add(BlockReason::not_listed);
    const RunnerState& runner_state = states_[name];
    const bool is_cold = cold(runner_state, kind->second.spec, now);
    if (now >= runner_state.not_before) (is_cold ? cold_usable : warm_usable) = true;
    const BlockReason reason =
        find_block_reason(name, spec, ChoiceContext{kind->second.spec, circle, connection_shares, demand, now});
    const std::uint32_t share = connection_shares.share_of(messenger_.self().text, name);
    const bool share_in_use = reason == BlockReason::connections && !is_cold;
    const bool has_extra = connection_shares.has_extra_connection(messenger_.self().text, name);
    if (reason != BlockReason::none) tally.add(reason);
    if (share_in_use && (share > 0 || has_extra) && runner_state.open >= share + has_extra) entitled_in_use = true;
    const bool exceeds_share =
        share_in_use && runner_state.open <= share && (has_extra || has_free_slots(runner_state, spec, now));
    if (reason != BlockReason::none && !exceeds_share) return;
    if (is_cold && now < runner_state.cold_next_send) return tally.add(BlockReason::cold);
    std::vector<Candidate>& list = is_cold          ? cold_candidates
                                   : !exceeds_share ? candidates
                                   : has_extra      ? extra_candidates
                                                    : over_share_candidates;
    list.push_back(Candidate{&runner->first, &spec, load(runner_state, spec, kind->second.spec),
                             spec.zone == self_.zone, long_prompt_members.contains(name), share + exceeds_share,
                             !exceeds_share, exceeds_share && !has_extra});
  };
  if (round_robin_all) {
    for (const auto& [name, runner] : configuration.runners)
      if (runner.spec.kind.text == kind_name) consider(name, nullptr);
  } else {
    for (const auto& member : circle->second.spec.members) consider(member.text, &circle->second.spec);
  }
  main_block_reason_ = tally.most_frequent();
  *why = warm_usable || cold_usable ? "busy" : "none";
  if (candidates.empty()) candidates = std::move(extra_candidates);
  if (candidates.empty() && (!entitled_in_use || demand.waited >= over_share_wait))
    candidates = std::move(over_share_candidates);
  // A cold runner is overloaded by few requests, so it is used only if no warm runner is able to take requests.
  if (candidates.empty() && !warm_usable) candidates = std::move(cold_candidates);
  if (candidates.empty()) return std::nullopt;
  auto chosen = [&](const Candidate& choice) {
    const std::uint32_t connections = connection_shares.limited() ? choice.connections : 0;
    return RunnerChoice{*choice.name, connections, choice.keep_connection, choice.over_share};
  };
  if (round_robin_all) return chosen(candidates[next_round_robin_++ % candidates.size()]);
  if (!long_prompt_members.empty()) {
    const bool is_long = demand.prompt_tokens > long_prompt_factor * mean_prompt_;
    const bool have_room = std::any_of(candidates.begin(), candidates.end(), [&](const Candidate& each) {
      return each.for_long_prompts == is_long && each.load < max_load_for_separation;
    });
    if (have_room) std::erase_if(candidates, [&](const Candidate& each) { return each.for_long_prompts != is_long; });
    // A long prompt is processed soonest by the runner with the fewest unread prompt tokens.
    if (is_long && have_room)
      return chosen(
          *std::min_element(candidates.begin(), candidates.end(), [&](const Candidate& left, const Candidate& right) {
            return std::make_pair(states_[*left.name].unread_tokens, left.load) <
                   std::make_pair(states_[*right.name].unread_tokens, right.load);
          }));
  }
  double mean = 0;
  for (const auto& each : candidates) mean += each.load / static_cast<double>(candidates.size());
  if (demand.affinity != 0) {
    // Rendezvous hashing: the order depends only on the prefix and the names of the runners.
    std::sort(candidates.begin(), candidates.end(), [&](const Candidate& left, const Candidate& right) {
      return hash_of(*left.name, demand.affinity) < hash_of(*right.name, demand.affinity);
    });
    for (const bool own_zone_only : {true, false}) {
      if (own_zone_only && !demand.prefer_own_zone) continue;
      for (const auto& each : candidates)
        if ((each.own_zone || !own_zone_only) && each.load <= mean * max_load_over_mean + 1.0 / each.runner->slots &&
            each.load < 1.0)
          return chosen(each);
    }
  }
  // Without a cached prefix, the choice is among the least loaded runners and the runners of the daemon's own zone
  // whose load is at most one request higher, or a margin more than that while their load is below 0.7.
  double least = candidates.front().load;
  for (const auto& each : candidates) least = std::min(least, each.load);
  std::vector<const Candidate*> close, in_own_zone;
  for (const auto& each : candidates) {
    if (each.load > least + 1e-9 && !each.own_zone) continue;
    if (each.load > least + (each.load < 0.7 ? own_zone_load_margin : 0.0) + 1.0 / each.runner->slots + 1e-9) continue;
    close.push_back(&each);
    if (each.own_zone) in_own_zone.push_back(&each);
  }
  const auto& eligible = in_own_zone.empty() ? close : in_own_zone;
  std::vector<const Candidate*> best;
  double best_load = eligible.front()->load;
  for (const auto* each : eligible) best_load = std::min(best_load, each->load);
  for (const auto* each : eligible)
    if (each->load <= best_load + 1e-9) best.push_back(each);
  return chosen(*best[random_.below(best.size())]);
}

void RunnerTable::attempt_started(const std::string& runner, const Kind& kind, const Demand& demand) {
  RunnerState& runner_state = states_[runner];
  const TimePoint now = messenger_.timers().now();
  ++runner_state.open;
  runner_state.tokens += demand.tokens;
  runner_state.unread_tokens += demand.prompt_tokens;
  runner_state.last_sent = now;
  if (demand.tokens > 0) {
    const double part = mean_tokens_ == 0 ? 1 : 1.0 / 64;
    mean_tokens_ += (demand.tokens - mean_tokens_) * part;
    mean_prompt_ += (demand.prompt_tokens - mean_prompt_) * part;
  }
  // Each daemon uses an equal share of a cold runner's request rate, evenly spaced. The sum therefore stays within the
  // rate even if the daemons know nothing of each other.
  if (cold(runner_state, kind, now))
    runner_state.cold_next_send = now + Duration(static_cast<std::int64_t>(1e6 * static_cast<double>(daemon_count_) /
                                                                           (kind.cold_rate * live_share_of_cold_rate)));
}

void RunnerTable::response_received(const std::string& runner, const Demand& demand, bool first) {
  RunnerState& runner_state = states_[runner];
  if (first) runner_state.unread_tokens -= std::min<std::uint64_t>(runner_state.unread_tokens, demand.prompt_tokens);
  runner_state.last_received = messenger_.timers().now();
}

TimePoint RunnerTable::last_received(const std::string& runner) const {
  auto found = states_.find(runner);
  return found == states_.end() ? TimePoint{} : found->second.last_received;
}

std::string RunnerTable::find_idle_member(const ConfigurationView& configuration, const std::string& kind,
                                          const std::set<std::string>& except, Duration slack) const {
  auto circle = configuration.circles.find(kind);
  if (circle == configuration.circles.end()) return {};
  const Duration ramp = configuration.kinds.at(kind).spec.circle.ramp;
  const TimePoint now = messenger_.timers().now();
  for (const auto& member : circle->second.spec.members) {
    auto runner = configuration.runners.find(member.text);
    auto found = states_.find(member.text);
    if (runner == configuration.runners.end() || found == states_.end() || except.contains(member.text)) continue;
    const RunnerState& runner_state = found->second;
    const bool usable = !runner->second.spec.leaving && !configuration.evacuated(runner->second.spec.zone) &&
                        runner_state.failures == 0 && now >= runner_state.not_before && now >= runner_state.cold_until;
    const bool warm =
        circle->second.spec.takes_full_share(member.text, runner->second.spec.generation) && !runner_state.recovering;
    const bool ramp_over = runner_state.ramp_since && now - *runner_state.ramp_since >= ramp + slack;
    if (usable && (warm || ramp_over) && runner_state.in_progress() == 0 &&
        now - runner_state.load_updated < max_load_age)
      return member.text;
  }
  return {};
}

void RunnerTable::attempt_ended(const std::string& runner, const Demand& demand, AttemptVerdict verdict,
                                bool body_started) {
  RunnerState& runner_state = states_[runner];
  if (runner_state.open > 0) --runner_state.open;
  runner_state.tokens -= std::min<std::uint64_t>(runner_state.tokens, demand.tokens);
  if (!body_started)
    runner_state.unread_tokens -= std::min<std::uint64_t>(runner_state.unread_tokens, demand.prompt_tokens);
  const TimePoint now = messenger_.timers().now();
  if (verdict == AttemptVerdict::inconclusive) return;
  if (verdict == AttemptVerdict::success) {
    // The runner was unreachable and responds again. It may have been restarted and have nothing cached.
    if (std::exchange(runner_state.unreachable, false)) {
      runner_state.recovering = true;
      runner_state.ramp_since = runner_state.recovered_at = now;
      early_report_needed = true;
    }
    runner_state.failures = 0;
  } else {
    record_failure(runner_state, now);
    // A single response that is aborted is no sign of a restart.
    runner_state.unreachable = runner_state.unreachable || verdict == AttemptVerdict::unreachable ||
                               runner_state.failures >= failures_until_unreachable;
  }
}

void RunnerTable::record_failure(RunnerState& runner_state, TimePoint now) {
  runner_state.failures = std::min(runner_state.failures + 1, 6u);
  runner_state.last_failure = now;
  early_report_needed = true;
  // The pause doubles with each failure in a row, from 300 ms to 9.6 s.
  runner_state.not_before = now + milliseconds(150 << runner_state.failures);
}

void RunnerTable::report_unresponsive(const std::string& runner) {
  RunnerState& runner_state = states_[runner];
  const TimePoint now = messenger_.timers().now();
  if (now < runner_state.not_before) return;
  record_failure(runner_state, now);
  runner_state.unreachable = runner_state.unreachable || runner_state.failures >= failures_until_unreachable;
}

void RunnerTable::pause_sending(const std::string& runner, Duration span) {
  RunnerState& runner_state = states_[runner];
  runner_state.not_before = std::max(runner_state.not_before, messenger_.timers().now() + span);
}

void RunnerTable::update_load(const std::string& runner, const RunnerLoad& load) {
  RunnerState& runner_state = states_[runner];
  const std::uint32_t total = load.running + load.waiting,
                      of_others = total > runner_state.open ? total - runner_state.open : 0;
  runner_state.items = std::min(runner_state.items, of_others);
  runner_state.others = of_others - runner_state.items;
  runner_state.load_updated = messenger_.timers().now();
}

std::map<std::string, ObservedLoad> RunnerTable::load(const ConfigurationView& configuration, const std::string& kind,
                                                      const Kind& settings) {
  const TimePoint now = messenger_.timers().now();
  std::map<std::string, ObservedLoad> load;
  for (const auto& [name, runner_state] : states_) {
    auto runner = configuration.runners.find(name);
    if (runner == configuration.runners.end() || runner->second.spec.kind.text != kind) continue;
    const bool tried =
        now - runner_state.last_sent < std::chrono::seconds(10) && runner_state.last_sent.microseconds > 0;
    // A runner counts as failing while it gets no requests after a failure, and for one more second for another
    // attempt.
    const bool failing = runner_state.failures > 0 && now < runner_state.not_before + std::chrono::seconds(1);
    ObservedLoad observed{runner_state.open, failing && runner_state.failures >= 2, tried, {}, {}, false, 0};
    const bool failed_recently = runner_state.unreachable && runner_state.last_failure &&
                                 now - *runner_state.last_failure < settings.circle.ramp;
    if (failed_recently) {
      observed.failed = now - *runner_state.last_failure;
    } else if (runner_state.recovered_at && now - *runner_state.recovered_at < settings.circle.ramp) {
      observed.failed = now - *runner_state.recovered_at;
      observed.returned = true;
    }
    if (observed.failed && runner_state.last_failure) observed.failure = now - *runner_state.last_failure;
    if (runner_state.open > 0 || tried || failing || observed.failed) load[name] = observed;
  }
  return load;
}

void RunnerTable::erase_removed(const ConfigurationView& configuration) {
  std::erase_if(states_,
                [&](const auto& each) { return !configuration.runners.contains(each.first) && each.second.open == 0; });
}

}  // namespace mothwalk
