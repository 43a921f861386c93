// What this daemon sees of the runners, from its own attempts, from the circle duty's totals and from what runners tell
// of their load, and the choice of a runner by it.
#pragma once
#include "circle/circle.hpp"
#include "interfaces/dialect.hpp"
#include "routes/connection_shares.hpp"
#include "routes/obstacles.hpp"

namespace mothwalk {

// What a request asks of a runner.
struct Demand {
  std::uint64_t affinity = 0;                   // of the prefix that a runner may have kept; zero: any runner will do
  bool near = false;                            // a runner of the own zone that has the prefix goes before others
  std::uint32_t prompt_tokens = 0, tokens = 0;  // to be read; these and those that may come out
  Duration waited{};                            // for a runner
};

// Where a request goes, and over which connection.
struct RunnerChoice {
  std::string runner;
  std::uint32_t connections = 0;  // that this daemon may have to the runner then; 0: no bound
  bool keep_connection = true;    // false: it is over the daemon's share, and is closed after the answer
  bool stray = false;             // the daemon has no right to it either: the runner may turn it away
};

// What the end of an attempt says of its runner.
enum class AttemptVerdict {
  nothing,
  sound,        // it answered as it should
  failed,       // it broke off, kept silent or answered nonsense
  unreachable,  // it took no connection
};

struct RunnerState {
  std::uint32_t open = 0, others = 0, items = 0, failures = 0;
  std::uint32_t taken() const { return open + others + items; }
  std::uint64_t tokens = 0, unread = 0;    // of the own open requests; of those that gave no piece yet
  TimePoint not_before, last_sent, heard;  // heard: its last answer began
  TimePoint load_heard;                    // when others' work on it was told last
  std::optional<TimePoint> failure;        // when an attempt failed last
  std::optional<TimePoint> returned;       // when it answered after it had been absent
  std::uint64_t ramp = 0;                  // the circle's count of its ramps
  std::optional<TimePoint> ramp_since;     // since when it warms, as a new member or as one that came back
  bool absent = false;  // it could not be reached, or failed time after time: it may have been started anew
  bool came_back = false;
  TimePoint cold_until, cold_next;  // when it is warm; when this daemon may send to it while it is cold
  Duration cold_told{};             // what its source last said of that
};

// Whether no runner of the kind can hold the request beside others, or at all: it waits until one has no work, and says
// nothing of the room that others find.
bool needs_idle_runner(const ConfigurationView& configuration, const std::string& kind, const Demand& demand);

class RunnerTable {
 public:
  RunnerTable(Messenger& messenger, SharedState& shared_state, RandomSource& random, Member self);
  // Chooses among the circle's members. The reason says why there is none: "circle" (none decided), "none" (no member
  // is able to take anything), "busy"; main_obstacle() then tells what most members lacked.
  std::optional<RunnerChoice> choose(const ConfigurationView& configuration, const std::string& kind,
                                     const Demand& demand, const std::set<std::string>& tried, std::string* why);
  Obstacle main_obstacle() const { return main_obstacle_; }
  void sent(const std::string& runner, const Kind& kind, const Demand& demand);
  void read(const std::string& runner, const Demand& demand,
            bool first);  // something of its answer came, the first piece
  void ended(const std::string& runner, const Demand& demand, AttemptVerdict verdict, bool was_read);
  void suspect(const std::string& runner);              // it keeps silent
  void rest(const std::string& runner, Duration span);  // nothing is sent to it for that long
  void told(const std::string& runner, const RunnerLoad& load);
  // Whether a report of failures should leave sooner than the next one.
  bool report_soon = false;
  bool even_over_all = false;  // bench only: plain round-robin over all runners, circle ignored
  std::map<std::string, ObservedLoad> load(const ConfigurationView& configuration, const std::string& kind,
                                           const Kind& settings);
  void forget_gone(const ConfigurationView& configuration);
  TimePoint heard(const std::string& runner) const;
  // A member of the kind's circle, but for some, that has no work at all, as was told a moment ago, and that is past
  // its ramp or ought to be for longer than the slack; none: empty.
  std::string idle_member(const ConfigurationView& configuration, const std::string& kind,
                          const std::set<std::string>& but, Duration slack) const;
  // Told when a runner leaves the subset that this daemon keeps connections to.
  std::function<void(const Address& to, const std::string& runner)> subset_left = [](const Address&,
                                                                                     const std::string&) {
  };

 private:
  struct Choice {
    const std::string* name;
    const Runner* runner;
    double load;
    bool here, apart;
    std::uint32_t connections;
    bool keep_connection, stray;
  };
  // The shares of a kind's connections, and what they were computed from.
  struct KindShares {
    std::shared_ptr<const Members> members;
    Stamp circle, kind;
    std::size_t daemons = 0;
    ConnectionShares shares;
  };
  struct Considered;
  void follow(const ConfigurationView& configuration);
  std::size_t daemons(const ConfigurationView& configuration) const;
  const ConnectionShares& shares(const ConfigurationView& configuration, const std::string& kind);
  void leave_subset(const ConfigurationView& configuration, const ConnectionShares& before,
                    const ConnectionShares& after);
  void failed(RunnerState& runner_state, TimePoint now);
  Obstacle obstacle_at(const std::string& name, const Runner& runner, const Considered& considered);
  void follow_ramp(const std::string& name, const Considered& considered, bool warm, RunnerState& runner_state) const;
  Obstacle ramp_obstacle(const std::string& name, const Runner& runner, const Considered& considered,
                         RunnerState& runner_state);
  std::size_t ramp_rank(const std::string& name, const Runner& runner, const Considered& considered,
                        std::size_t* users) const;
  bool known_free(const RunnerState& runner_state, const Runner& runner, TimePoint now) const;
  bool cold(const RunnerState& runner_state, const Kind& kind, TimePoint now) const {
    return kind.cold_rate > 0 && now < runner_state.cold_until;
  }
  const std::set<std::string>& apart(const ConfigurationView& configuration, const std::string& kind,
                                     const Named<Circle>& circle);
  double load(const RunnerState& runner_state, const Runner& runner, const Kind& kind) const;

  Messenger& messenger_;
  SharedState& shared_state_;
  RandomSource& random_;
  Member self_;
  std::map<std::string, RunnerState> runner_table_;
  Stamp listing_;
  Obstacle main_obstacle_ = Obstacle::none;
  std::size_t turn_ = 0, daemons_ = 1;
  double mean_tokens_ = 0, mean_prompt_ = 0;                              // of the requests that tell them
  std::map<std::string, std::pair<Stamp, std::set<std::string>>> apart_;  // by kind
  std::map<std::string, KindShares> shares_;                              // by kind
};

}  // namespace mothwalk
