// A small service on a large fleet. The checks are the fraction of its requests that is answered within the target
// time, and that no runner gets more connections than it accepts. Each second adds a line to the event log that shows
// what the requests waited for.
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
constexpr double failure_fraction = 0.03;  // The fraction of responses that the runners of the small service abort.
constexpr double min_quiet_share = 0.95, min_failing_share = 0.85;
constexpr double min_model_share = 0.9;
// The time that the circle (the active set) of model runners may take to grow.
constexpr Duration model_start = seconds(3);
// The target times of the shape's lanes.
constexpr std::int64_t small_target_milliseconds = 200, model_target_milliseconds = 500;

std::string percent(double share) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << share * 100 << " %";
  return text.str();
}

// How many requests were sent, and how many of them were answered within the target time.
struct DeadlineStatistics {
  std::uint64_t requests = 0, in_time = 0;
  double share() const { return requests == 0 ? 0 : static_cast<double>(in_time) / static_cast<double>(requests); }
  std::string text() const {
    return percent(share()) + " (" + std::to_string(in_time) + " of " + std::to_string(requests) + ")";
  }
};

// The sums of the counters of all daemons and runners so far.
struct ServiceCounts {
  std::uint64_t resets = 0, broken_attempts = 0, ramps = 0;
  std::map<std::string, Waits> waits;  // By the reason for waiting.
};

// Logs the counters of the service every second and checks the results at the end of the run.
class ServiceMonitor : public std::enable_shared_from_this<ServiceMonitor> {
 public:
  explicit ServiceMonitor(SimulatedCluster& cluster) : cluster_(cluster), started_at_(cluster.world.milliseconds()) {}

  void begin() {
    last_counts_ = counts();
    log_every_second();
  }

  // Reports the figures and checks them, after all requests have ended.
  void check_results(double min_share, bool resets_allowed) {
    finished_ = true;
    const DeadlineStatistics small = in_time({small_load}, started_at_, small_target_milliseconds, "took");
    const DeadlineStatistics model = in_time({"audits", "suggestions"}, started_at_ + model_start.count() / 1000,
                                             model_target_milliseconds, "first");
    const ServiceCounts now = counts();
    record_figure("small service: " + small.text() + " answered within " + std::to_string(small_target_milliseconds) +
                  " ms; " + std::to_string(now.resets) + " connections reset, " +
                  std::to_string(most_open_connections()) + " open at most at one runner; " +
                  std::to_string(now.broken_attempts) + " attempts broken; " + std::to_string(now.ramps) +
                  " ramps begun; waits:" + waits_since(now, ServiceCounts{}));
    record_figure("model lanes: " + model.text() + " had their first piece within " +
                  std::to_string(model_target_milliseconds) + " ms, from " +
                  std::to_string(model_start.count() / 1000) + " ms on; the circle has " +
                  std::to_string(circle(model_kind).members.size()) + " members at the end");
    require(small.share() >= min_share, "small service: less than " + percent(min_share) +
                                            " of its requests answered within their aim: " + small.text());
    require(resets_allowed || now.resets == 0, "small service: " + std::to_string(now.resets) +
                                                   " connections over the runners' limit, though nothing "
                                                   "fails");
    require(model.share() >= min_model_share,
            "model lanes: less than " + percent(min_model_share) +
                " of the prompts had their first piece within their aim: " + model.text());
  }

 private:
  void require(bool condition, const std::string& message) {
    if (!condition) cluster_.broken.push_back(message);
  }

  void record_figure(const std::string& figure) {
    cluster_.figures.push_back(figure);
    cluster_.world.log_event(figure);
  }

  const Circle& circle(const std::string& kind) {
    static const Circle none;
    snapshot_ = cluster_.machines.front()->shared_state().configuration.get();
    auto found = snapshot_->circles.find(kind);
    return found == snapshot_->circles.end() ? none : found->second.spec;
  }

  std::uint32_t most_open_connections() const {
    std::uint32_t most = 0;
    for (const auto& runner : cluster_.runners) most = std::max(most, runner->connections.most_open());
    return most;
  }

  ServiceCounts counts() {
    ServiceCounts counts;
    for (const auto& runner : cluster_.runners) counts.resets += runner->connections.resets();
    for (const auto& [name, ramps] : circle(small_kind).ramps) counts.ramps += ramps;
    for (const auto& machine : cluster_.machines) {
      if (machine->router() == nullptr) continue;
      const RouterCounts& router_counts = machine->router()->counts();
      for (const auto& [what, waits] : router_counts.waits) {
        if (!what.starts_with(small_kind + " ")) continue;
        Waits& sum = counts.waits[what.substr(small_kind.size() + 1)];
        sum.requests += waits.requests;
        sum.milliseconds += waits.milliseconds;
      }
      if (auto found = router_counts.attempts_failed.find(small_kind + " broken");
          found != router_counts.attempts_failed.end())
        counts.broken_attempts += found->second;
    }
    return counts;
  }

  static std::string waits_since(const ServiceCounts& now, const ServiceCounts& before) {
    std::string text;
    for (const auto& [waiting_reason, waits] : now.waits) {
      auto found = before.waits.find(waiting_reason);
      const Waits previous = found == before.waits.end() ? Waits{} : found->second;
      if (waits.requests == previous.requests) continue;
      text += " " + waiting_reason + " " + std::to_string(waits.requests - previous.requests) + " (" +
              std::to_string(waits.milliseconds - previous.milliseconds) + " ms)";
    }
    return text.empty() ? " none" : text;
  }

  // Counts the requests of the loads that were sent at `from` or later, and how many of them were answered within the
  // target. `time` is the ledger field that is compared with the target.
  DeadlineStatistics in_time(const std::set<std::string>& loads, std::int64_t from, std::int64_t target_milliseconds,
                             StringView time) const {
    DeadlineStatistics result;
    for (const auto& line : cluster_.world.ledger()) {
      if (line.at("what").as_string() != "request" || !loads.contains(std::string(line.at("load").as_string())) ||
          line.at("sent").as_int64() < from)
        continue;
      const std::int64_t elapsed = line.at(time).as_int64();
      const bool answered = line.at("outcome").as_string() == "answer";
      ++result.requests;
      result.in_time += answered && elapsed <= target_milliseconds;
    }
    return result;
  }

  void log_every_second() {
    cluster_.world.after(seconds(1), [self = shared_from_this()] {
      if (self->finished_) return;
      self->log_last_second();
      self->log_every_second();
    });
  }

  void log_last_second() {
    const ServiceCounts now = counts();
    const Circle small = circle(small_kind);
    std::uint32_t running = 0;
    for (const auto& runner : cluster_.runners)
      if (runner->kind == small_kind) running += runner->active;
    cluster_.world.log_event("small service: " + std::to_string(now.resets - last_counts_.resets) +
                             " connections reset, " +
                             std::to_string(now.broken_attempts - last_counts_.broken_attempts) + " attempts broken, " +
                             std::to_string(now.ramps - last_counts_.ramps) + " ramps begun in this second; " +
                             std::to_string(small.warm.size()) + " of " + std::to_string(small.members.size()) +
                             " members past their ramp; " + std::to_string(running) +
                             " requests run; waits:" + waits_since(now, last_counts_));
    cluster_.world.log_event("model circle: " + std::to_string(circle(model_kind).members.size()) + " members");
    last_counts_ = now;
  }

  SimulatedCluster& cluster_;
  const std::int64_t started_at_;
  std::shared_ptr<const ConfigurationView> snapshot_;
  ServiceCounts last_counts_;
  bool finished_ = false;
};

void monitor_service(SimulatedCluster& cluster, Duration load, double min_share, bool resets_allowed) {
  auto monitor = std::make_shared<ServiceMonitor>(cluster);
  monitor->begin();
  cluster.world.after(load + settle - milliseconds(1),
                      [monitor, min_share, resets_allowed] { monitor->check_results(min_share, resets_allowed); });
}

void set_aborted_response_fraction(SimulatedCluster& cluster, double share) {
  for (auto& runner : cluster.runners)
    if (runner->kind == small_kind) runner->aborted_response_fraction = share;
}

void run_without_failures(SimulatedCluster& cluster) {
  monitor_service(cluster, quiet_load, min_quiet_share, false);
}

void run_with_failures(SimulatedCluster& cluster) {
  monitor_service(cluster, failing_load, min_failing_share, true);
  cluster.world.after(failures_begin, [&cluster] {
    cluster.world.log_event("the small service's runners break off some of their answers");
    set_aborted_response_fraction(cluster, failure_fraction);
  });
  cluster.world.after(failures_begin + failures_last, [&cluster] {
    cluster.world.log_event("the small service's runners are sound again");
    set_aborted_response_fraction(cluster, 0);
  });
}

}  // namespace

std::vector<Scenario> service_scenarios() {
  // The fraction of requests answered in time is the stricter check, because refused requests do not count as answered
  // in time.
  const Limits limits{INT64_MAX, 1000};
  std::vector<Scenario> list;
  auto add = [&](std::string name, std::string description, std::function<void(SimulatedCluster&)> faults,
                 Duration load) {
    Scenario scenario{std::move(name), std::move(description), std::move(faults), load, settle, limits};
    scenario.shape = "grown";
    list.push_back(std::move(scenario));
  };
  add("small-service",
      "load without faults, on a fleet with more daemons than a small service's runners accept connections",
      run_without_failures, quiet_load);
  add("small-service-failures", "the same, and the small service's runners abort some of their responses",
      run_with_failures, failing_load);
  return list;
}

}  // namespace mothwalk::simulate
