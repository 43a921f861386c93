// Chooses a runner for each request. The choice is based on what this daemon knows about the runners: the results of
// its own attempts, the load totals of all daemons, and the load that runners report in their responses.
#pragma once
#include "circle/circle.hpp"
#include "interfaces/dialect.hpp"
#include "routes/block_reasons.hpp"
#include "routes/connection_shares.hpp"

namespace mothwalk {

// What a request requires of a runner.
struct Demand {
  // The hash of the prompt's prefix, which a runner may have cached. Zero means that the request has no prefix.
  std::uint64_t affinity = 0;
  // If set, a runner of the daemon's own zone that has the prefix cached is preferred to runners of other zones.
  bool prefer_own_zone = false;
  // The tokens of the prompt, and the tokens of the prompt and the longest output together.
  std::uint32_t prompt_tokens = 0, tokens = 0;
  Duration waited{};  // How long the request has waited for a runner.
};

// The chosen runner, and the connection that the request may use.
struct RunnerChoice {
  std::string runner;
  std::uint32_t connections = 0;  // How many connections this daemon may have to the runner; 0 means no limit.
  bool keep_connection = true;  // If false, the connection exceeds the daemon's share and is closed after the response.
  bool over_share = false;      // The daemon is not entitled to the connection, so the runner may reject it.
};

// What the end of an attempt tells about its runner.
enum class AttemptVerdict {
  inconclusive,
  success,      // The runner responded correctly.
  failed,       // The runner closed the connection early, timed out or sent an invalid response.
  unreachable,  // The runner did not accept a connection.
};

struct RunnerState {
  // The requests of this daemon, the requests of other daemons, and the items of lots (members of batches) that run on
  // the runner; and the number of consecutive failures.
  std::uint32_t open = 0, others = 0, items = 0, failures = 0;
  std::uint32_t in_progress() const { return open + others + items; }
  // The tokens of this daemon's open requests, and the prompt tokens of those without a first body chunk.
  std::uint64_t tokens = 0, unread_tokens = 0;
  // Requests are sent to the runner only from `not_before` on. The other times are those of the last request sent and
  // of the last response data received.
  TimePoint not_before, last_sent, last_received;
  TimePoint load_updated;                 // When the load by other daemons was last reported.
  std::optional<TimePoint> last_failure;  // When an attempt last failed.
  std::optional<TimePoint> recovered_at;  // When it responded again after it had been unreachable.
  std::uint64_t ramp_number = 0;          // The circle's number of the current ramp (warm-up period).
  std::optional<TimePoint> ramp_since;    // The start of its ramp, as a new member or after a recovery.
  bool unreachable = false;               // It was unreachable or failed repeatedly, and may have been restarted.
  bool recovering = false;                // It is in a ramp after a recovery.
  // The runner is cold until `cold_until`. While it is cold, this daemon may send to it from `cold_next_send` on.
  TimePoint cold_until, cold_next_send;
  Duration reported_cold{};  // The remaining cold time that the list of runners last reported.
};

// Returns whether no runner of the kind has enough memory to run the request together with others, or at all. Such a
// request waits for an idle runner, so its waiting does not show that the runners have no room for other requests.
bool needs_idle_runner(const ConfigurationView& configuration, const std::string& kind, const Demand& demand);

class RunnerTable {
 public:
  RunnerTable(Messenger& messenger, SharedState& shared_state, RandomSource& random, Member self);
  // Chooses among the members of the kind's circle. If there is no choice, `why` is "circle" (the kind has no circle
  // yet), "none" (no member is able to take any request) or "busy". main_block_reason() then returns the reason for
  // which most members were ruled out.
  std::optional<RunnerChoice> choose(const ConfigurationView& configuration, const std::string& kind,
                                     const Demand& demand, const std::set<std::string>& tried, std::string* why);
  BlockReason main_block_reason() const { return main_block_reason_; }
  void attempt_started(const std::string& runner, const Kind& kind, const Demand& demand);
  // Records that response data came from the runner. `first` marks the first chunk of a response body.
  void response_received(const std::string& runner, const Demand& demand, bool first);
  void attempt_ended(const std::string& runner, const Demand& demand, AttemptVerdict verdict, bool body_started);
  // Records that the runner sent nothing for too long.
  void report_unresponsive(const std::string& runner);
  // Sends nothing to the runner for the given time.
  void pause_sending(const std::string& runner, Duration span);
  // Takes the load that the runner reported in a response.
  void update_load(const std::string& runner, const RunnerLoad& load);
  // Set if failures or a recovery are to be reported before the next periodic report.
  bool early_report_needed = false;
  // Distributes requests round-robin over all runners and ignores the circle. For benchmarks only.
  bool round_robin_all = false;
  std::map<std::string, ObservedLoad> load(const ConfigurationView& configuration, const std::string& kind,
                                           const Kind& settings);
  // Erases runners that are no longer in the configuration and have no open requests.
  void erase_removed(const ConfigurationView& configuration);
  TimePoint last_received(const std::string& runner) const;
  // Returns a member of the kind's circle, other than those in `except`, that was recently reported to have no work at
  // all. The member's ramp is over, or should have been over for longer than `slack`. Returns an empty string if there
  // is none.
  std::string find_idle_member(const ConfigurationView& configuration, const std::string& kind,
                               const std::set<std::string>& except, Duration slack) const;
  // Called when a runner leaves the subset that this daemon keeps connections to.
  std::function<void(const Address& to, const std::string& runner)> on_subset_left = [](const Address&,
                                                                                        const std::string&) {
  };

 private:
  struct Candidate {
    const std::string* name;
    const Runner* runner;
    double load;
    bool own_zone, for_long_prompts;
    std::uint32_t connections;
    bool keep_connection, over_share;
  };
  // The connection shares of a kind, and the inputs that they were computed from.
  struct KindShares {
    std::shared_ptr<const Members> members;
    Stamp circle, kind;
    std::size_t daemons = 0;
    ConnectionShares shares;
  };
  struct ChoiceContext;
  void update_from_listing(const ConfigurationView& configuration);
  std::size_t count_daemons(const ConfigurationView& configuration) const;
  const ConnectionShares& shares(const ConfigurationView& configuration, const std::string& kind);
  void notify_subset_left(const ConfigurationView& configuration, const ConnectionShares& before,
                          const ConnectionShares& after);
  void record_failure(RunnerState& runner_state, TimePoint now);
  BlockReason find_block_reason(const std::string& name, const Runner& runner, const ChoiceContext& context);
  void update_ramp(const std::string& name, const ChoiceContext& context, bool warm, RunnerState& runner_state) const;
  BlockReason ramp_block_reason(const std::string& name, const Runner& runner, const ChoiceContext& context,
                                RunnerState& runner_state);
  std::size_t ramp_rank(const std::string& name, const Runner& runner, const ChoiceContext& context,
                        std::size_t* users) const;
  bool has_free_slots(const RunnerState& runner_state, const Runner& runner, TimePoint now) const;
  bool cold(const RunnerState& runner_state, const Kind& kind, TimePoint now) const {
    return kind.cold_rate > 0 && now < runner_state.cold_until;
  }
  const std::set<std::string>& long_prompt_runners(const ConfigurationView& configuration, const std::string& kind,
                                                   const Named<Circle>& circle);
  double load(const RunnerState& runner_state, const Runner& runner, const Kind& kind) const;

  Messenger& messenger_;
  SharedState& shared_state_;
  RandomSource& random_;
  Member self_;
  std::map<std::string, RunnerState> states_;
  Stamp listing_stamp_;
  BlockReason main_block_reason_ = BlockReason::none;
  std::size_t next_round_robin_ = 0, daemon_count_ = 1;
  // Moving averages over the requests whose number of tokens is known.
  double mean_tokens_ = 0, mean_prompt_ = 0;
  std::map<std::string, std::pair<Stamp, std::set<std::string>>> long_prompt_runners_;  // By kind.
  std::map<std::string, KindShares> shares_;                                            // By kind.
};

}  // namespace mothwalk
