// A small service on a large fleet: what share of its requests is answered within their aim, and whether its runners'
// limits of connections hold. Each second of a run leaves a line in its history that shows what requests waited for.
#include "simulate/service_scenarios.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string small_kind = "notice", small_load = "notices", model_kind = "model";
constexpr Duration quiet_load = seconds(12), failing_load = seconds(14), settle = seconds(3);
constexpr Duration failures_begin = seconds(2), failures_last = seconds(8);
constexpr double failing_share = 0.03;  // of the answers that the small service's runners break off
constexpr double least_quiet_share = 0.95, least_failing_share = 0.85;
constexpr double least_model_share = 0.9;
constexpr Duration model_start = seconds(3);              // that the circle of model runners may take to grow
constexpr std::int64_t small_aim = 200, model_aim = 500;  // milliseconds, as the shape's lanes have them

std::string percent(double share) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << share * 100 << " %";
  return text.str();
}

struct InTime {
  std::uint64_t requests = 0, in_time = 0;
  double share() const { return requests == 0 ? 0 : static_cast<double>(in_time) / static_cast<double>(requests); }
  std::string text() const {
    return percent(share()) + " (" + std::to_string(in_time) + " of " + std::to_string(requests) + ")";
  }
};

// What all daemons and runners have counted so far.
struct ServiceCounts {
  std::uint64_t resets = 0, broken_attempts = 0, ramps = 0;
  std::map<std::string, Waits> waits;  // by kind and obstacle
};

class ServiceWatch : public std::enable_shared_from_this<ServiceWatch> {
 public:
  explicit ServiceWatch(SimulatedCluster& cluster) : cluster_(cluster), began_(cluster.world.milliseconds()) {}

  void begin() {
    told_ = counts();
    tell_each_second();
  }

  // Once all requests have ended.
  void conclude(double least_share, bool resets_allowed) {
    concluded_ = true;
    const InTime small = in_time({small_load}, began_, small_aim, "took");
    const InTime model = in_time({"audits", "suggestions"}, began_ + model_start.count() / 1000, model_aim, "first");
    const ServiceCounts now = counts();
    tell("small service: " + small.text() + " answered within " + std::to_string(small_aim) + " ms; " +
         std::to_string(now.resets) + " connections reset, " + std::to_string(most_open()) +
         " open at most at one runner; " + std::to_string(now.broken_attempts) + " attempts broken; " +
         std::to_string(now.ramps) + " ramps begun; waits:" + waits_since(now, ServiceCounts{}));
    tell("model lanes: " + model.text() + " had their first piece within " + std::to_string(model_aim) + " ms, from " +
         std::to_string(model_start.count() / 1000) + " ms on; the circle has " +
         std::to_string(circle(model_kind).members.size()) + " members at the end");
    require(small.share() >= least_share, "small service: less than " + percent(least_share) +
                                              " of its requests answered within their aim: " + small.text());
    require(resets_allowed || now.resets == 0, "small service: " + std::to_string(now.resets) +
                                                   " connections over the runners' limit, though nothing "
                                                   "fails");
    require(model.share() >= least_model_share,
            "model lanes: less than " + percent(least_model_share) +
                " of the prompts had their first piece within their aim: " + model.text());
  }

 private:
  void require(bool holds, const std::string& rule) {
    if (!holds) cluster_.broken.push_back(rule);
  }

  void tell(const std::string& figure) {
    cluster_.figures.push_back(figure);
    cluster_.world.history(figure);
  }

  const Circle& circle(const std::string& kind) {
    static const Circle none;
    snapshot_ = cluster_.machines.front()->shared_state().configuration.get();
    auto found = snapshot_->circles.find(kind);
    return found == snapshot_->circles.end() ? none : found->second.spec;
  }

  std::uint32_t most_open() const {
    std::uint32_t most = 0;
    for (const auto& runner : cluster_.runners) most = std::max(most, runner->connections.most_open());
    return most;
  }

  ServiceCounts counts() {
    ServiceCounts counts;
    for (const auto& runner : cluster_.runners) counts.resets += runner->connections.resets();
    for (const auto& [name, ramps] : circle(small_kind).ramps) counts.ramps += ramps;
    for (const auto& machine : cluster_.machines) {
      if (machine->entries() == nullptr) continue;
      const RouterCounts& entries = machine->entries()->counts();
      for (const auto& [what, waits] : entries.waits) {
        if (!what.starts_with(small_kind + " ")) continue;
        Waits& sum = counts.waits[what.substr(small_kind.size() + 1)];
        sum.requests += waits.requests;
        sum.milliseconds += waits.milliseconds;
      }
      if (auto found = entries.attempts_failed.find(small_kind + " broken"); found != entries.attempts_failed.end())
        counts.broken_attempts += found->second;
    }
    return counts;
  }

  static std::string waits_since(const ServiceCounts& now, const ServiceCounts& before) {
    std::string text;
    for (const auto& [obstacle, waits] : now.waits) {
      auto found = before.waits.find(obstacle);
      const Waits known = found == before.waits.end() ? Waits{} : found->second;
      if (waits.requests == known.requests) continue;
      text += " " + obstacle + " " + std::to_string(waits.requests - known.requests) + " (" +
              std::to_string(waits.milliseconds - known.milliseconds) + " ms)";
    }
    return text.empty() ? " none" : text;
  }

  // Of the loads' requests that were sent from a moment on: how many were answered within the aim, by the given time.
  InTime in_time(const std::set<std::string>& loads, std::int64_t from, std::int64_t aim, StringView time) const {
    InTime result;
    for (const auto& line : cluster_.world.ledger()) {
      if (line.at("what").as_string() != "request" || !loads.contains(std::string(line.at("load").as_string())) ||
          line.at("sent").as_int64() < from)
        continue;
      const std::int64_t taken = line.at(time).as_int64();
      const bool answered = line.at("outcome").as_string() == "answer";
      ++result.requests;
      result.in_time += answered && taken <= aim;
    }
    return result;
  }

  void tell_each_second() {
    cluster_.world.after(seconds(1), [self = shared_from_this()] {
      if (self->concluded_) return;
      self->tell_second();
      self->tell_each_second();
    });
  }

  void tell_second() {
    const ServiceCounts now = counts();
    const Circle small = circle(small_kind);
    std::uint32_t running = 0;
    for (const auto& runner : cluster_.runners)
      if (runner->kind == small_kind) running += runner->active;
    cluster_.world.history("small service: " + std::to_string(now.resets - told_.resets) + " connections reset, " +
                           std::to_string(now.broken_attempts - told_.broken_attempts) + " attempts broken, " +
                           std::to_string(now.ramps - told_.ramps) + " ramps begun in this second; " +
                           std::to_string(small.warm.size()) + " of " + std::to_string(small.members.size()) +
                           " members past their ramp; " + std::to_string(running) +
                           " requests run; waits:" + waits_since(now, told_));
    cluster_.world.history("model circle: " + std::to_string(circle(model_kind).members.size()) + " members");
    told_ = now;
  }

  SimulatedCluster& cluster_;
  const std::int64_t began_;
  std::shared_ptr<const ConfigurationView> snapshot_;
  ServiceCounts told_;
  bool concluded_ = false;
};

void watch_service(SimulatedCluster& cluster, Duration load, double least_share, bool resets_allowed) {
  auto watch = std::make_shared<ServiceWatch>(cluster);
  watch->begin();
  cluster.world.after(load + settle - milliseconds(1),
                      [watch, least_share, resets_allowed] { watch->conclude(least_share, resets_allowed); });
}

void set_broken_share(SimulatedCluster& cluster, double share) {
  for (auto& runner : cluster.runners)
    if (runner->kind == small_kind) runner->broken_share = share;
}

void quiet(SimulatedCluster& cluster) {
  watch_service(cluster, quiet_load, least_quiet_share, false);
}

void failures(SimulatedCluster& cluster) {
  watch_service(cluster, failing_load, least_failing_share, true);
  cluster.world.after(failures_begin, [&cluster] {
    cluster.world.history("the small service's runners break off some of their answers");
    set_broken_share(cluster, failing_share);
  });
  cluster.world.after(failures_begin + failures_last, [&cluster] {
    cluster.world.history("the small service's runners are sound again");
    set_broken_share(cluster, 0);
  });
}

}  // namespace

std::vector<Scenario> service_scenarios() {
  // The shares of requests in time, which refused ones are not, are the stricter measure.
  const Limits limits{INT64_MAX, 1000};
  std::vector<Scenario> list;
  auto add = [&](std::string name, std::string about, std::function<void(SimulatedCluster&)> faults, Duration load) {
    Scenario scenario{std::move(name), std::move(about), std::move(faults), load, settle, limits};
    scenario.shape = "grown";
    list.push_back(std::move(scenario));
  };
  add("small-service", "load alone, on a fleet with more daemons than a small service's runners take connections",
      quiet, quiet_load);
  add("small-service-failures", "the same, and the small service's runners break off some of their answers", failures,
      failing_load);
  return list;
}

}  // namespace mothwalk::simulate
