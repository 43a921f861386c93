// The circle duty: for each kind of runner one control daemon, the owner of the circle's key, decides each cycle which
// runners take live prompts. Load comes from the daemons that route; runners report nothing.
#pragma once
#include "circle/pi_controller.hpp"
#include "lots/messages.hpp"
#include "replication/replicated_store.hpp"

namespace mothwalk {

struct ObservedLoad {
  std::uint32_t open = 0;  // prompts, or items, dispatched and not ended, streams included
  bool unhealthy = false;  // this daemon's attempts to it fail
  bool tried = false;      // this daemon has sent to it of late
  // How long ago it was away last, or answered again: it may have been started anew.
  std::optional<Duration> failed;
  std::optional<Duration> failure;  // with the former: how long ago an attempt to it failed last
  bool returned = false;            // it was away, and answers this daemon again
  std::uint32_t connections = 0;    // this daemon's, in use and idle, but for those it had no right to
  MOTHWALK_FIELDS(open, unhealthy, tried, failed, failure, returned, connections)
};
// From each daemon to the owner of the circle's key, about once a second and soon after a attempt failed: of its live
// prompts or, from its placing side, of its items.
struct LoadReport {
  static constexpr StringView kind = "circle.load";
  std::string runner_kind;
  std::uint64_t incarnation = 0;
  std::map<std::string, ObservedLoad> runners;
  std::uint32_t queued = 0;
  bool items = false;
  MOTHWALK_FIELDS(runner_kind, incarnation, runners, queued, items)
};
// From the circle duty to all daemons: what all of them together have open on each runner.
struct LoadTotals {
  static constexpr StringView kind = "routes.totals";
  std::string runner_kind;
  std::map<std::string, RunnerTotal> runners;
  MOTHWALK_FIELDS(runner_kind, runners)
};
// The same to daemons that keep lots alone: they route no live prompts, but place items.
struct PlacerTotals {
  static constexpr StringView kind = "placing.totals";
  LoadTotals totals;
  MOTHWALK_FIELDS(totals)
};

// Violations of what must hold over all daemons together, as far as their reports tell.
struct CircleCounts {
  std::uint64_t connections_over_limit = 0;  // times that a runner had more connections than it takes
  MOTHWALK_FIELDS(connections_over_limit)
};

class CircleDuty {
 public:
  CircleDuty(Messenger& messenger, SharedState& shared_state);
  void start();
  const CircleCounts& counts() const { return counts_; }
  std::function<void(StringView sentence)> note = [](StringView) {
  };  // told about each decision

 private:
  struct Report {
    LoadReport load;
    TimePoint heard;
  };
  struct Demand {
    LotDemand lots;
    TimePoint heard;
  };
  struct Ramp {
    TimePoint cause;  // when the runner came in, failed or came back
    TimePoint told;
  };
  struct State {
    Epoch epoch;
    PiController law;
    bool law_loaded = false, writing = false;
    std::map<std::pair<Address, bool>, Report> reports;  // live and items apart
    std::vector<double> samples;
    TimePoint since, last_cycle;
    std::map<std::string, TimePoint> entered, failed;
    std::map<std::string, Ramp> ramps;          // the latest of each runner
    std::map<std::string, TimePoint> returned;  // when it answered a daemon again that had seen it away
    std::map<Address, Demand> demands;          // of the lots of each owner
    TimePoint written;
    std::map<std::string, TimePoint> dark_until;
    std::set<std::string> over_limit;  // runners that have more connections than they take
    TimePoint totals_told;
    std::size_t samples_loaded = 0;             // of the samples, those with any load
    TimePoint last_live;                        // when any prompt ran or waited last
    std::optional<TimePoint> fewer_since;       // that fewer daemons route than the circle says
    std::size_t substitutes = 0;                // members that stand in for others that failed of late
    std::optional<TimePoint> all_inside_since;  // that every able runner is a member
    std::optional<TimePoint> shared_for;        // when lots last had use for members that take items
    double recent_load = 0, mean_load = 0;      // of the last samples, and of all since the last cycle
    void sample(double load);
    // Takes what a daemon saw of a runner that was away; false where that says nothing new.
    bool take_absence(const std::string& runner, const ObservedLoad& seen, TimePoint now);
    // Whether an attempt to the runner has failed within the last ramp.
    bool shaken(const std::string& runner, Duration ramp, TimePoint now) const;
  };
  // What the reports of all daemons say together.
  struct Observed {
    std::map<std::string, std::uint32_t> open;  // live prompts by runner
    std::map<std::string, RunnerTotal> totals;
    std::map<std::string, double> demand;  // live work by the zone that it came to
    std::uint32_t queued = 0, live = 0;
    std::size_t fresh = 0;  // routing daemons with a report that is not aged
    LotDemand lots;
    bool lots_wait() const { return lots.pending > 0 || lots.at_once > 0; }
  };
  struct Bounds {  // of the circle's size
    std::size_t lowest = 0, highest = 0;
  };
  void tick();
  void pass();
  std::set<std::string> able_runners(const ConfigurationView& configuration, const std::string& kind, State& state,
                                     TimePoint now) const;
  static Observed observe(const Members& members, const Circle& before, State& state, TimePoint now);
  void tell_totals(const std::string& kind, const Members& members, const Observed& seen, State& state, TimePoint now);
  static Bounds bounds(const Table<Runner>& runners, const std::set<std::string>& able, const CircleSettings& circle,
                       const Observed& seen);
  // The size that the law gives, where a cycle is due and enough is known; else the one given.
  static std::size_t step(const CircleSettings& circle, const Bounds& limits, const Observed& seen, std::size_t routing,
                          std::size_t size, State& state, TimePoint now, Circle& next);
  static std::string change(const Circle& before, const Circle& next);
  // The members that take items of lots beside live prompts: some where every able runner is a member and lots wait.
  static std::set<std::string> shared_with_lots(const Table<Runner>& runners, const Kind& kind,
                                                const std::set<std::string>& able, const Circle& next,
                                                const Observed& seen, State& state, TimePoint now);
  void appoint(const ConfigurationView& configuration, const Members& members, const std::set<std::string>& able,
               const std::set<std::string>& shared, const State& state, Circle& next) const;
  void run(const std::string& kind, const Kind& settings, State& state);
  bool dark(const State& state, const std::string& runner, TimePoint now) const;
  void check_connections(const std::string& kind, std::uint32_t limit, State& state, TimePoint now);
  static std::size_t substitutes_for(const std::vector<RunnerId>& members, const State& state, Duration ramp,
                                     TimePoint now);
  static void follow_ramps(const Table<Runner>& runners, Duration ramp, const Circle& before, State& state,
                           TimePoint now, Circle& next);
  static std::uint32_t count_daemons(const Members& members, const Circle& before, State& state, TimePoint now);
  // Members spread over the zones as the live work does; every zone with work has one before any has two.
  static std::vector<RunnerId> match_members(const ConfigurationView& configuration, const std::set<std::string>& able,
                                             std::size_t size, const Circle& before,
                                             const std::map<std::string, double>& demand);
  void write(const std::string& kind, State& state, Circle circle);

  Messenger& messenger_;
  SharedState& shared_state_;
  std::map<std::string, State> states_;
  CircleCounts counts_;
};

// The load of the members: open prompts and their share of the queued ones, over their slots.
double load_of(const std::map<std::string, std::uint32_t>& open, std::uint32_t queued,
               const std::vector<RunnerId>& members, const Table<Runner>& runners, std::uint32_t concurrency = 0);

}  // namespace mothwalk
