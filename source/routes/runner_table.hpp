// What this daemon sees of the runners, from its own attempts, from the circle duty's totals and from what runners tell
// of their load, and the choice of a runner by it.
#pragma once
#include "circle/circle.hpp"
#include "routes/obstacles.hpp"
#include "seams/dialect.hpp"

namespace mothwalk {

// What a request asks of a runner.
struct Demand {
  std::uint64_t affinity = 0;                   // of the prefix that a runner may have kept; zero: any runner will do
  bool near = false;                            // a runner of the own zone that has the prefix goes before others
  std::uint32_t prompt_tokens = 0, tokens = 0;  // to be read; these and those that may come out
};

struct RunnerState {
  std::uint32_t open = 0, others = 0, items = 0, failures = 0;
  std::uint32_t taken() const { return open + others + items; }
  std::uint64_t tokens = 0, unread = 0;  // of the own open requests; of those that gave no piece yet
  Moment not_before, last_sent, heard;   // heard: its last answer began
  std::optional<Moment> failed;
  std::uint64_t ramp = 0;            // the circle's count of its ramps
  std::optional<Moment> ramp_since;  // since when it warms, as a new member or as one that came back
  bool came_back = false;
  Moment cold_until, cold_next;  // when it is warm; when this daemon may send to it while it is cold
  Span cold_told{};              // what its source last said of that
};

class RunnerTable {
 public:
  RunnerTable(Messenger& messenger, SharedState& shared_state, RandomSource& random, Member self);
  // Chooses among the circle's members. The reason says why there is none: "circle" (none decided), "none" (no member
  // is able to take anything), "busy"; main_obstacle() then tells what most members lacked.
  std::optional<std::string> choose(const ConfigurationView& configuration, const std::string& kind,
                                    const Demand& demand, const std::set<std::string>& tried, std::string* why);
  Obstacle main_obstacle() const { return main_obstacle_; }
  void sent(const std::string& runner, const Kind& kind, const Demand& demand);
  void read(const std::string& runner, const Demand& demand,
            bool first);  // something of its answer came, the first piece
  // Sound: it answered as it should; not sound: it failed; neither: the attempt says nothing of it.
  void ended(const std::string& runner, const Demand& demand, std::optional<bool> sound, bool was_read);
  void suspect(const std::string& runner);          // it keeps silent
  void rest(const std::string& runner, Span span);  // nothing is sent to it for that long
  void told(const std::string& runner, const RunnerLoad& load);
  // Whether a report of failures should leave sooner than the next one.
  bool report_soon = false;
  bool even_over_all = false;  // bench only: plain round-robin over all runners, circle ignored
  std::map<std::string, ObservedLoad> load(const ConfigurationView& configuration, const std::string& kind,
                                           const Kind& settings);
  void forget_gone(const ConfigurationView& configuration);
  Moment heard(const std::string& runner) const;
  std::size_t daemons();

 private:
  struct Choice {
    const std::string* name;
    const Runner* runner;
    double load;
    bool here, apart;
  };
  void follow(const ConfigurationView& configuration);
  void failed(RunnerState& runner_state, Moment now);
  Obstacle obstacle_at(const std::string& name, const Runner& runner, const Kind& kind, const Circle* circle,
                       const Demand& demand, Moment now);
  bool cold(const RunnerState& runner_state, const Kind& kind, Moment now) const {
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
  std::size_t turn_ = 0, most_daemons_ = 1;
  double mean_tokens_ = 0, mean_prompt_ = 0;                              // of the requests that tell them
  std::map<std::string, std::pair<Stamp, std::set<std::string>>> apart_;  // by kind
};

}  // namespace mothwalk
