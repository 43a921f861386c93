// Decides which runners of each kind form its circle: the active set of runners that take live prompts. The runners
// outside the circle process the items of lots (batches). For each kind, the control daemon that owns the circle's key
// decides once per cycle, and earlier under high load. The load figures come from the daemons that route requests;
// runners report nothing.
#pragma once
#include "circle/pi_controller.hpp"
#include "lots/messages.hpp"
#include "replication/replicated_store.hpp"

namespace mothwalk {

// What one daemon has observed of one runner.
struct ObservedLoad {
  std::uint32_t open = 0;  // Counts prompts or items that were dispatched and have not ended, including streams.
  bool unhealthy = false;  // Whether this daemon's attempts to reach the runner fail.
  bool tried = false;      // Whether this daemon has recently sent a request to the runner.
  // How long ago the runner was last unreachable or became reachable again. It may have been restarted since.
  std::optional<Duration> failed;
  std::optional<Duration> failure;  // If `failed` is set: how long ago an attempt to reach the runner last failed.
  bool returned = false;            // Whether the runner was unreachable and responds to this daemon again.
  // This daemon's connections to the runner, in use or idle, except those that it opened beyond its own share of the
  // runner's connection limit.
  std::uint32_t connections = 0;
  MOTHWALK_FIELDS(open, unhealthy, tried, failed, failure, returned, connections)
};
// Sent by each daemon to the owner of the circle's key, about once a second and soon after an attempt failed. One
// report covers live prompts; a separate one, sent by the component that dispatches items of lots, covers the items.
struct LoadReport {
  static constexpr StringView kind = "circle.load";
  std::string runner_kind;
  std::uint64_t incarnation = 0;                // Of the sending process.
  std::map<std::string, ObservedLoad> runners;  // By the runner's name.
  std::uint32_t queued = 0;                     // Live prompts that wait for a runner.
  bool items = false;                           // Whether the report covers items of lots instead of live prompts.
  MOTHWALK_FIELDS(runner_kind, incarnation, runners, queued, items)
};
// Sent by CircleManager to all daemons that route requests: what all daemons together have open on each runner.
struct LoadTotals {
  static constexpr StringView kind = "routes.totals";
  std::string runner_kind;
  std::map<std::string, RunnerTotal> runners;
  MOTHWALK_FIELDS(runner_kind, runners)
};
// Carries the same totals to daemons that keep only lots: they route no live prompts, but dispatch items.
struct PlacerTotals {
  static constexpr StringView kind = "placing.totals";
  LoadTotals totals;
  MOTHWALK_FIELDS(totals)
};

// Violations of invariants over all daemons together, as far as their reports show them.
struct CircleCounts {
  std::uint64_t connections_over_limit = 0;  // How often a runner came to have more connections than it accepts.
  MOTHWALK_FIELDS(connections_over_limit)
};

// Collects load reports, and writes a new circle to the replicated store whenever its members or their state change.
class CircleManager {
 public:
  CircleManager(Messenger& messenger, SharedState& shared_state);
  void start();
  const CircleCounts& counts() const { return counts_; }
  // Receives a log message for each decision that is written and for each violated invariant.
  std::function<void(StringView message)> log = [](StringView) {
  };

 private:
  struct Report {
    LoadReport load;
    TimePoint received;
  };
  // The demand of one daemon's waiting lots for runners.
  struct Demand {
    LotDemand lots;
    TimePoint received;
  };
  // A ramp is the warm-up period in which a runner's share of the requests rises to its full share.
  struct Ramp {
    TimePoint cause;      // When the runner joined the circle, failed or became reachable again.
    TimePoint announced;  // When the circle first listed this ramp.
  };
  // The state that the owner of a circle keeps of it. It starts empty with each new epoch of the ownership.
  struct State {
    Epoch epoch;
    PiController controller;
    // Whether the controller has taken its state from the stored circle, and whether a write is in progress.
    bool controller_loaded = false, writing = false;
    // The latest reports, by their sender and by whether they cover items instead of live prompts.
    std::map<std::pair<Address, bool>, Report> reports;
    std::vector<double> samples;  // The load at each tick since the last cycle.
    // When this daemon became the owner of the circle, and when it last ran a cycle.
    TimePoint started, last_cycle;
    // By runner: when it joined the circle, and when it last failed or became reachable again.
    std::map<std::string, TimePoint> joined, failed;
    std::map<std::string, Ramp> ramps;  // The latest ramp of each runner.
    // When each runner last responded again to a daemon that had found it unreachable.
    std::map<std::string, TimePoint> returned;
    std::map<Address, Demand> lot_demands;  // By the daemon that owns the lots.
    TimePoint written;                      // When the circle was last written.
    // Until when each unreachable runner is excluded.
    std::map<std::string, TimePoint> unreachable_until;
    std::set<std::string> over_limit;  // Runners that have more connections than they accept.
    TimePoint totals_sent;             // When the totals were last sent.
    std::size_t nonzero_samples = 0;   // How many of the samples show any load.
    TimePoint last_prompt;             // When any live prompt last ran or waited.
    // Since when fewer daemons route requests than the circle states.
    std::optional<TimePoint> fewer_daemons_since;
    std::size_t extra_members = 0;               // Members added to make up for members that failed recently.
    std::optional<TimePoint> all_members_since;  // Since when every available runner is a member.
    std::optional<TimePoint> last_lot_use;       // When lots last needed members to take items.
    // The mean of the latest samples, and the mean of all samples since the last cycle.
    double recent_load = 0, mean_load = 0;
    void add_sample(double load);
    // Records a daemon's report that a runner was unreachable. Returns false if the report adds nothing new.
    bool record_failure(const std::string& runner, const ObservedLoad& observed, TimePoint now);
    // Whether the runner has failed within the last ramp period.
    bool failed_recently(const std::string& runner, Duration ramp, TimePoint now) const;
  };
  // The sum of the reports of all daemons.
  struct LoadSummary {
    std::map<std::string, std::uint32_t> open;   // Live prompts by runner.
    std::map<std::string, RunnerTotal> totals;   // What all daemons together have open, by runner.
    std::map<std::string, double> live_by_zone;  // Live prompts by the zone of the daemon that received them.
    // Live prompts that wait for a runner, and those that are dispatched.
    std::uint32_t queued_prompts = 0, live_prompts = 0;
    std::size_t daemons_reporting = 0;  // How many routing daemons sent a report recently.
    LotDemand lots;
    bool has_waiting_lots() const { return lots.pending > 0 || lots.at_once > 0; }
  };
  // Bounds on the number of members.
  struct SizeBounds {
    std::size_t lowest = 0, highest = 0;
  };
  void tick();
  void update_circles();
  std::set<std::string> available_runners(const ConfigurationView& configuration, const std::string& kind, State& state,
                                          TimePoint now) const;
  static LoadSummary summarize_reports(const Members& members, const Circle& before, State& state, TimePoint now);
  void send_totals(const std::string& kind, const Members& members, const LoadSummary& summary, State& state,
                   TimePoint now);
  static SizeBounds size_bounds(const Table<Runner>& runners, const std::set<std::string>& available,
                                const CircleSettings& circle, const LoadSummary& summary);
  // Returns the PI controller's size if a cycle is due and the load is known well enough, otherwise the given size.
  static std::size_t next_size(const CircleSettings& circle, const SizeBounds& limits, const LoadSummary& summary,
                               std::size_t routing, std::size_t size, State& state, TimePoint now, Circle& next);
  static std::string reason_for_change(const Circle& before, const Circle& next);
  // Returns the members that take items of lots in addition to live prompts. There are such members only while every
  // available runner is a member and lots wait.
  static std::set<std::string> members_shared_with_lots(const Table<Runner>& runners, const Kind& kind,
                                                        const std::set<std::string>& available, const Circle& next,
                                                        const LoadSummary& summary, State& state, TimePoint now);
  // Assigns a placer, the daemon that dispatches items, to each runner that takes items of lots.
  void assign_placers(const ConfigurationView& configuration, const Members& members,
                      const std::set<std::string>& available, const std::set<std::string>& shared_members,
                      const State& state, Circle& next) const;
  void update_circle(const std::string& kind, const Kind& settings, State& state);
  // Whether at least half of the daemons that recently sent requests to the runner report it as unhealthy.
  bool is_unreachable(const State& state, const std::string& runner, TimePoint now) const;
  void check_connection_limit(const std::string& kind, std::uint32_t limit, State& state, TimePoint now);
  // Returns how many extra members make up for members that failed recently.
  static std::size_t extra_members_for(const std::vector<RunnerId>& members, const State& state, Duration ramp,
                                       TimePoint now);
  // Updates the ramps of the members, and lists those that are warm: members whose ramp is over.
  static void update_ramps(const Table<Runner>& runners, Duration ramp, const Circle& before, State& state,
                           TimePoint now, Circle& next);
  static std::uint32_t count_routing_daemons(const Members& members, const Circle& before, State& state, TimePoint now);
  // Spreads the members over the zones in proportion to the live prompts. Every zone with prompts gets one member
  // before any zone gets a second one.
  static std::vector<RunnerId> choose_members(const ConfigurationView& configuration,
                                              const std::set<std::string>& available, std::size_t size,
                                              const Circle& before, const std::map<std::string, double>& live_by_zone);
  void write(const std::string& kind, State& state, Circle circle);

  Messenger& messenger_;
  SharedState& shared_state_;
  std::map<std::string, State> states_;
  CircleCounts counts_;
};

// The load of the members: their open prompts plus all queued prompts, divided by the number of their slots. A nonzero
// `concurrency` limits how many slots of each runner count.
double relative_load(const std::map<std::string, std::uint32_t>& open, std::uint32_t queued,
                     const std::vector<RunnerId>& members, const Table<Runner>& runners, std::uint32_t concurrency = 0);

}  // namespace mothwalk
