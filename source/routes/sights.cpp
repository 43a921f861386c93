// Able runners, their load by count and by tokens, and the way from load and prefix to one of them.
#include "routes/sights.hpp"

#include <algorithm>
#include <cmath>

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr double bounded_load = 1.25;
constexpr double near_load = 0.1;    // so much more load a runner of the own zone may have than the least loaded
constexpr double cold_share = 0.6;   // of what a cold runner bears; the rest is for items of lots
constexpr double memory_share = 0.95;
constexpr double large_prompt = 6;   // times the mean: it holds up whatever else its runner does
constexpr double apart_share = 0.45; // of the members, for large prompts
constexpr double apart_load = 0.75;  // of the others, above which they take everything
}  // namespace

Sights::Sights(Post& post, Board& board, Chance& chance, Member self) : post_(post), board_(board), chance_(chance), self_(std::move(self)) {
  post_.on_tell<UsageTotals>([this](const Address&, UsageTotals totals) {
    const auto policy = board_.policy.get();
    for (const auto& [name, runner] : policy->runners) {
      if (runner.spec.kind.text != totals.runner_kind) continue;
      Sight& sight = sights_[name];
      auto found = totals.runners.find(name);
      const RunnerTotal total = found == totals.runners.end() ? RunnerTotal{} : found->second;
      sight.others = total.open > sight.open ? total.open - sight.open : 0;
      sight.items = total.items;
    }
    board_.take_totals(totals.runner_kind, KindTotals{post_.schedule().now(), std::move(totals.runners)});
  });
}

std::size_t Sights::daemons() {
  // A daemon that loses sight of the others must not take their share for its own.
  return most_daemons_ = std::max(most_daemons_, board_.members.get()->all.size());
}

// The list of runners tells how much longer a runner is cold; that counts from when it came here.
void Sights::follow(const PolicyView& policy) {
  if (policy.listing == listing_) return;
  listing_ = policy.listing;
  const Moment now = post_.schedule().now();
  for (const auto& [name, runner] : policy.runners) {
    if (runner.spec.cold == Span{} && !sights_.contains(name)) continue;
    Sight& sight = sights_[name];
    if (runner.spec.cold != sight.cold_told && runner.spec.cold > Span{}) {
      const bool was_cold = now < sight.cold_until;
      sight.cold_until = now + runner.spec.cold;
      if (auto kind = policy.kinds.find(runner.spec.kind.text); !was_cold && kind != policy.kinds.end() && kind->second.spec.cold_rate > 0) {
        // The daemons begin at different moments, so that their first requests do not come together.
        const auto gap = static_cast<std::size_t>(1e6 * static_cast<double>(daemons()) / (kind->second.spec.cold_rate * cold_share));
        sight.cold_next = std::max(sight.cold_next, now + Span(static_cast<std::int64_t>(chance_.below(gap))));
      }
    }
    sight.cold_told = runner.spec.cold;
  }
}

double Sights::load(const Sight& sight, const Runner& runner, const Kind& kind) const {
  const double by_count = static_cast<double>(sight.taken()) / runner.slots;
  if (kind.engine.memory_tokens == 0) return by_count;
  const double memory = static_cast<double>(kind.engine.memory_tokens);
  return std::max(by_count, (static_cast<double>(sight.tokens) + mean_tokens_ * (sight.others + sight.items)) / memory) + static_cast<double>(sight.unread) / memory;
}

bool Sights::takes(const std::string& name, const Runner& runner, const Kind& kind, const Circle* circle, const Demand& demand, Moment now) {
  const bool warm = circle == nullptr || circle->bears(name, runner.generation);
  Sight& sight = sights_[name];
  if (now < sight.not_before || (sight.failures > 0 && sight.open > 0)) return false;
  if (kind.connections > 0 && sight.open >= std::max<std::size_t>(1, kind.connections / daemons())) return false;
  if (kind.engine.memory_tokens > 0 && sight.taken() > 0) {
    const double used = static_cast<double>(sight.tokens + demand.tokens) + mean_tokens_ * (sight.others + sight.items);
    if (used > memory_share * static_cast<double>(kind.engine.memory_tokens)) return false;
  }
  const double limit = runner.slots * kind.overcommit;
  if (warm && sight.came_back && now - *sight.ramp_since >= kind.circle.ramp) sight.came_back = false;
  if (warm && !sight.came_back) {
    sight.ramp_since.reset();
    return sight.taken() < limit;
  }
  if (circle != nullptr)
    if (auto ramp = circle->ramps.find(name); ramp != circle->ramps.end() && ramp->second != sight.ramp) {
      sight.ramp = ramp->second;
      sight.ramp_since.reset();
    }
  // A warming or returning runner: its limit grows from a quarter over the ramp, and each daemon keeps within a share of it that
  // does not depend on news of the others, so the sum over all daemons stays below the limit.
  if (!sight.ramp_since) sight.ramp_since = now;
  const double progress = std::min(1.0, static_cast<double>((now - *sight.ramp_since).count()) / static_cast<double>(std::max<std::int64_t>(1, kind.circle.ramp.count())));
  const std::size_t allowed = static_cast<std::size_t>(std::max(1.0, std::floor(runner.slots * (0.25 + 0.75 * progress)) - sight.items));
  const auto members = board_.members.get();
  const std::size_t all = std::max<std::size_t>(1, members->all.size());
  const auto order = duty_order(*members, "warm/" + name, runner.hall);
  std::size_t rank = 0;
  while (rank < order.size() && order[rank]->address != post_.self()) ++rank;
  return sight.open < allowed / all + (rank < allowed % all ? 1 : 0);
}

// An engine that reads a very long prompt gives no tokens to its other requests meanwhile. Such prompts go to a few members
// that all daemons pick alike, in zones with more of them, and the rest of the requests to the others.
const std::set<std::string>& Sights::apart(const PolicyView& policy, const std::string& kind, const Named<Circle>& circle) {
  auto& [stamp, names] = apart_[kind];
  if (stamp == circle.stamp && stamp != Stamp{}) return names;
  stamp = circle.stamp;
  names.clear();
  std::map<std::string, std::size_t> in_zone;
  std::vector<std::pair<std::string, std::string>> members;  // zone, name
  for (const auto& member : circle.spec.members)
    if (auto runner = policy.runners.find(member.text); runner != policy.runners.end()) {
      ++in_zone[runner->second.spec.hall.text];
      members.emplace_back(runner->second.spec.hall.text, member.text);
    }
  // One alone would have them wait for each other.
  const auto wanted = static_cast<std::size_t>(apart_share * static_cast<double>(members.size()));
  for (std::size_t count = wanted < 2 ? 0 : wanted; count > 0; --count) {
    auto most = std::min_element(members.begin(), members.end(), [&](const auto& left, const auto& right) { return std::make_pair(-static_cast<std::int64_t>(in_zone[left.first]), hash_of(left.second)) < std::make_pair(-static_cast<std::int64_t>(in_zone[right.first]), hash_of(right.second)); });
    --in_zone[most->first];
    names.insert(most->second);
    members.erase(most);
  }
  return names;
}

std::optional<std::string> Sights::choose(const PolicyView& policy, const std::string& kind_name, const Demand& demand, const std::set<std::string>& tried, std::string* why) {
  follow(policy);
  auto kind = policy.kinds.find(kind_name);
  auto circle = policy.circles.find(kind_name);
  *why = "circle";
  if (kind == policy.kinds.end() || (circle == policy.circles.end() && !even_over_all)) return std::nullopt;
  const Moment now = post_.schedule().now();
  std::vector<Choice> choices, colds;
  static const std::set<std::string> none;
  const auto& set_apart = kind->second.spec.engine.memory_tokens > 0 && !even_over_all ? apart(policy, kind_name, circle->second) : none;
  bool warm_able = false, cold_able = false;
  auto consider = [&](const std::string& name, const Circle* circle) {
    auto runner = policy.runners.find(name);
    if (runner == policy.runners.end() || tried.contains(name)) return;
    const Runner& spec = runner->second.spec;
    if (spec.leaving || policy.evacuated(spec.hall)) return;
    const Sight& sight = sights_[name];
    const bool is_cold = cold(sight, kind->second.spec, now);
    if (now >= sight.not_before) (is_cold ? cold_able : warm_able) = true;
    if (!takes(name, spec, kind->second.spec, circle, demand, now) || (is_cold && now < sight.cold_next)) return;
    (is_cold ? colds : choices).push_back(Choice{&runner->first, &spec, load(sight, spec, kind->second.spec), spec.hall == self_.hall, set_apart.contains(name)});
  };
  if (even_over_all) {
    for (const auto& [name, runner] : policy.runners)
      if (runner.spec.kind.text == kind_name) consider(name, nullptr);
  } else {
    for (const auto& member : circle->second.spec.members) consider(member.text, &circle->second.spec);
  }
  *why = warm_able || cold_able ? "busy" : "none";
  // A cold runner falls over at little: it is asked where no warm one could be.
  if (choices.empty() && !warm_able) choices = std::move(colds);
  if (choices.empty()) return std::nullopt;
  if (even_over_all) return *choices[turn_++ % choices.size()].name;
  if (!set_apart.empty()) {
    const bool large = demand.prompt_tokens > large_prompt * mean_prompt_;
    const bool room = std::any_of(choices.begin(), choices.end(), [&](const Choice& each) { return each.apart == large && each.usage < apart_load; });
    if (room) std::erase_if(choices, [&](const Choice& each) { return each.apart != large; });
    // Where it is read soonest: behind the fewest others.
    if (large && room) return *std::min_element(choices.begin(), choices.end(), [&](const Choice& left, const Choice& right) { return std::make_pair(sights_[*left.name].unread, left.usage) < std::make_pair(sights_[*right.name].unread, right.usage); })->name;
  }
  double mean = 0;
  for (const auto& each : choices) mean += each.usage / static_cast<double>(choices.size());
  if (demand.affinity != 0) {
    std::sort(choices.begin(), choices.end(), [&](const Choice& left, const Choice& right) {
      return hash_of(*left.name, demand.affinity) < hash_of(*right.name, demand.affinity);
    });
    for (const bool here : {true, false}) {
      if (here && !demand.near) continue;
      for (const auto& each : choices)
        if ((each.here || !here) && each.usage <= mean * bounded_load + 1.0 / each.runner->slots && each.usage < 1.0) return *each.name;
    }
  }
  double least = choices.front().usage;
  for (const auto& each : choices) least = std::min(least, each.usage);
  std::vector<const Choice*> close, own;
  for (const auto& each : choices) {
    if (each.usage > least + 1e-9 && !each.here) continue;
    if (each.usage > least + (each.usage < 0.7 ? near_load : 0.0) + 1.0 / each.runner->slots + 1e-9) continue;
    close.push_back(&each);
    if (each.here) own.push_back(&each);
  }
  const auto& from = own.empty() ? close : own;
  std::vector<const Choice*> best;
  double best_usage = from.front()->usage;
  for (const auto* each : from) best_usage = std::min(best_usage, each->usage);
  for (const auto* each : from)
    if (each->usage <= best_usage + 1e-9) best.push_back(each);
  return *best[chance_.below(best.size())]->name;
}

void Sights::sent(const std::string& runner, const Kind& kind, const Demand& demand) {
  Sight& sight = sights_[runner];
  const Moment now = post_.schedule().now();
  ++sight.open;
  sight.tokens += demand.tokens;
  sight.unread += demand.prompt_tokens;
  sight.last_sent = now;
  if (demand.tokens > 0) {
    const double part = mean_tokens_ == 0 ? 1 : 1.0 / 64;
    mean_tokens_ += (demand.tokens - mean_tokens_) * part;
    mean_prompt_ += (demand.prompt_tokens - mean_prompt_) * part;
  }
  // Each daemon has its share of what a cold runner bears, evenly spaced: the sum holds whatever they know of each other.
  if (cold(sight, kind, now)) sight.cold_next = now + Span(static_cast<std::int64_t>(1e6 * static_cast<double>(daemons()) / (kind.cold_rate * cold_share)));
}

void Sights::read(const std::string& runner, const Demand& demand, bool first) {
  Sight& sight = sights_[runner];
  if (first) sight.unread -= std::min<std::uint64_t>(sight.unread, demand.prompt_tokens);
  sight.heard = post_.schedule().now();
}

Moment Sights::heard(const std::string& runner) const {
  auto found = sights_.find(runner);
  return found == sights_.end() ? Moment{} : found->second.heard;
}

void Sights::ended(const std::string& runner, const Demand& demand, std::optional<bool> sound, bool was_read) {
  Sight& sight = sights_[runner];
  if (sight.open > 0) --sight.open;
  sight.tokens -= std::min<std::uint64_t>(sight.tokens, demand.tokens);
  if (!was_read) sight.unread -= std::min<std::uint64_t>(sight.unread, demand.prompt_tokens);
  const Moment now = post_.schedule().now();
  if (!sound) return;
  if (*sound) {
    // It failed and answers again: it may have been started anew, with nothing cached.
    if (sight.failures > 0) {
      sight.came_back = true;
      sight.ramp_since = sight.failed = now;
      report_soon = true;
    }
    sight.failures = 0;
  } else {
    failed(sight, now);
  }
}

void Sights::failed(Sight& sight, Moment now) {
  sight.failures = std::min(sight.failures + 1, 6u);
  sight.failed = now;
  report_soon = true;
  sight.not_before = now + milliseconds(150 << sight.failures);
}

void Sights::suspect(const std::string& runner) {
  Sight& sight = sights_[runner];
  const Moment now = post_.schedule().now();
  if (now >= sight.not_before) failed(sight, now);
}

void Sights::rest(const std::string& runner, Span span) {
  Sight& sight = sights_[runner];
  sight.not_before = std::max(sight.not_before, post_.schedule().now() + span);
}

void Sights::told(const std::string& runner, const RunnerLoad& load) {
  Sight& sight = sights_[runner];
  const std::uint32_t all = load.running + load.waiting, beside = all > sight.open ? all - sight.open : 0;
  sight.items = std::min(sight.items, beside);
  sight.others = beside - sight.items;
}

std::map<std::string, RunnerUsage> Sights::usage(const PolicyView& policy, const std::string& kind, const Kind& settings) {
  const Moment now = post_.schedule().now();
  std::map<std::string, RunnerUsage> usage;
  for (const auto& [name, sight] : sights_) {
    auto runner = policy.runners.find(name);
    if (runner == policy.runners.end() || runner->second.spec.kind.text != kind) continue;
    const bool tried = now - sight.last_sent < std::chrono::seconds(10) && sight.last_sent.microseconds > 0;
    // It counts as failing while it is left alone after a failure, and a moment longer for another try.
    const bool failing = sight.failures > 0 && now < sight.not_before + std::chrono::seconds(1);
    std::optional<Span> failed;
    if (failing) failed = Span{};
    else if (sight.failed && now - *sight.failed < settings.circle.ramp) failed = now - *sight.failed;
    if (sight.open > 0 || tried || failed) usage[name] = RunnerUsage{sight.open, failing && sight.failures >= 2, tried, failed};
  }
  return usage;
}

void Sights::forget_gone(const PolicyView& policy) {
  std::erase_if(sights_, [&](const auto& each) { return !policy.runners.contains(each.first) && each.second.open == 0; });
}

}  // namespace mothwalk
