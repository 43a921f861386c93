// The way of a live request: a record in a table that waits for a runner, is sent, and is relayed. A caller gets the
// runner's answer as it was given, or "refused" (not run, and never will be), or "unknown"; each at once.
#pragma once
#include "routes/events.hpp"
#include "routes/runner_table.hpp"

namespace mothwalk {

// The side of a caller: one of these a request, called on the duty's thread.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void head(int status, const std::vector<Header>& headers) = 0;
  virtual void piece(StringView piece) = 0;
  virtual void flush() {}  // what was given so far is to leave now
  virtual void end() = 0;
  virtual void break_off() = 0;             // the stream ends visibly broken
  virtual std::size_t backlog() const = 0;  // bytes that the caller has not taken yet
};

struct LiveRequest {
  std::string method, target;
  std::vector<Header> headers;
  std::shared_ptr<const Bytes> body;
};

// Of the requests of an aim's lane that ended, callers that left aside.
struct AimCounts {
  std::uint64_t ended = 0, answered = 0, in_time = 0;
  MOTHWALK_FIELDS(ended, answered, in_time)
};

struct RouterCounts {
  std::uint64_t arrived = 0, answered = 0, refused = 0, unknown = 0, broken = 0, callers_gone = 0, attempts = 0,
                retries = 0, resumed = 0, left_dark = 0, own_zone = 0, other_zone = 0;
  std::map<std::string, std::uint64_t> refusals, unknowns, breaks;  // by reason
  std::map<std::string, std::uint64_t> attempts_failed;             // by kind and how they ended
  std::map<std::string, Waits> waits;                               // for a runner, by kind and main obstacle
  std::map<std::string, AimCounts> aims;
  std::uint64_t strays = 0, strays_turned_away = 0;  // sent over connections that this daemon had no right to
  std::uint64_t held_beside_idle = 0;  // requests that a limit held up for long while a runner had no work
  MOTHWALK_FIELDS(arrived, answered, refused, unknown, broken, callers_gone, attempts, retries, resumed, left_dark,
                  own_zone, other_zone, refusals, unknowns, breaks, attempts_failed, waits, aims, strays,
                  strays_turned_away, held_beside_idle)
};

class Router {
 public:
  using Id = std::uint64_t;
  Router(Messenger& messenger, SharedState& shared_state, RunnerClient& exchange, RandomSource& random, Member self,
         const Dialect& dialect = plain_dialect());
  void start();
  Id arrive(LiveRequest request, std::shared_ptr<ResponseSink> caller);
  void gone(Id id);  // the caller left
  std::size_t open() const { return table_.size(); }
  const RouterCounts& counts() const { return counts_; }
  CallerLimits limits() const { return shared_state_.configuration.get()->limits; }
  bool draining() const { return shared_state_.draining; }
  void even_over_all(bool even) { runner_table_.even_over_all = even; }  // bench only
  std::function<void(StringView sentence)> warn = [](StringView) {
  };  // told about what holds requests up, at most once a second
  // Every request of a known lane is answered by then, those that come yet as well; answers that have begun go on.
  void answer_all_by(TimePoint end);
  bool serves_while_draining = false;  // requests over connections that are open still are served, not refused

 private:
  enum class State { waiting, sent, relaying, finished };
  struct Record {
    Id id = 0;
    State state = State::waiting;
    LiveRequest request;
    RequestInfo facts;
    std::shared_ptr<ResponseSink> caller;
    std::shared_ptr<const ConfigurationView> configuration;  // that its lane was found in
    std::string lane_name;
    Lane lane;
    std::vector<std::string> kinds;  // the one whose share it is, then those that may stand in
    Demand demand;
    bool repeatable = false;
    TimePoint arrived, waiting_since, deadline, sent;
    Obstacle obstacle = Obstacle::none;  // what kept it from a runner when it was last looked for one
    bool held_beside_idle = false;
    std::string kind, runner;
    RunnerClient::Id exchange = 0;
    bool keep_connection = true, stray = false;  // of the connection that it goes over
    std::uint64_t attempt = 0;
    std::uint32_t attempts = 0;
    bool may_have_run = false, head_given = false, read = false;
    bool abandoned = false;               // its caller left, and its run goes on: it may not be repeated
    std::optional<TimePoint> held_since;  // the runner is not read: the caller takes its pieces too slowly
    std::size_t backlog = 0;
    std::optional<Duration> first_piece;  // after its arrival
    std::set<std::string> tried;
    std::optional<EventReader> events;  // of an answer that may go on at another runner
    std::optional<std::uint64_t> last_event;
    std::string version;  // of the weights that the answer comes from, as its head and its events tell
  };
  // An answer of this daemon's own.
  struct Refusal {
    int status = 0;
    std::string outcome;  // refused: not run, and never will be; or unknown
    std::string reason;   // that it is counted by
    bool retry_after = false;
    Error error;
  };
  class Watcher;
  using Place = std::tuple<std::uint32_t, TimePoint, Id>;  // rank, arrival

  void tick();
  void arm_tick();
  void arm_deadline();
  void arm_watch();
  void watch();
  Duration patience(const Record& record) const;
  void expire(Record& record);
  void passes();
  void match_pass();
  void finish_pass();
  void wait(Record& record);
  void set_state(Record& record, State state);
  bool follow_slow(Record& record, TimePoint now);
  void break_off(Record& record, const std::string& reason);
  void give_end(Record& record);
  void abandon(Record& record);
  void ended_broken(Record& record, const std::string& reason);
  void count_for_aims(const Record& record, bool answered);
  bool admit(Record& record);
  bool without_lane(Record& record, const ConfigurationView& configuration);
  void take_lane(Record& record, const std::string& name, const Lane& lane);
  void set_deadline(Record& record);
  static Demand demand_of(const Record& record);
  bool follow_configuration(Record& record, const std::shared_ptr<const ConfigurationView>& configuration,
                            TimePoint now);
  bool may_go_on(Record& record, const ConfigurationView& configuration);
  bool send_to_any(Record& record, const ConfigurationView& configuration, std::map<std::string, Obstacle>& full,
                   std::string* why);
  void share(Record& record);
  bool hopeless(const Record& record, TimePoint now) const;
  void send(Record& record, const RunnerChoice& choice, const ConfigurationView& configuration);
  AttemptRequest attempt_request(const Record& record, const Runner& runner);
  bool attempts_left(const Record& record) const;
  void attempt_head(Id id, std::uint64_t attempt, int status, const std::vector<Header>& headers);
  void attempt_piece(Id id, std::uint64_t attempt, StringView piece);
  bool turned_away(Record& record, int status, const ResponseInfo& facts);
  void resumed_head(Record& record, bool good, const ResponseInfo& facts);
  void relay_head(Record& record, int status, const std::vector<Header>& headers, const ResponseInfo& facts);
  bool relay_events(Record& record, StringView piece);
  void attempt_pause(Id id, std::uint64_t attempt);
  void attempt_end(Id id, std::uint64_t attempt, AttemptOutcome end);
  void go_on(Record& record, const std::string& reason);
  void leave(Record& record);
  void release(Record& record, AttemptVerdict verdict);
  AttemptVerdict verdict_of(const Record& record, AttemptOutcome end);
  void again_or(Record& record, bool ran, int status, const std::string& reason, const std::string& message);
  void again(Record& record);
  void refuse(Record& record, const std::string& reason, const std::string& message);
  void give_unknown(Record& record, int status, const std::string& reason, const std::string& message);
  void answer(Record& record, const Refusal& refusal);
  void count_wait(const Record& record);
  void check_held(Record& record, const ConfigurationView& configuration, TimePoint now);
  void warn_of_troubles();
  void report();
  void report_each();
  // After which a refused caller may find room: what waits in its lane over what the lane answers in a second.
  Duration come_back(const Record& record);
  std::size_t waiting_in(const std::string& lane) const;

  Messenger& messenger_;
  SharedState& shared_state_;
  RunnerClient& runner_client_;
  RandomSource& random_;
  Member self_;
  const Dialect& dialect_;
  RunnerTable runner_table_;
  std::unordered_map<Id, Record> table_;
  std::set<Place> waiting_;
  std::set<Id> held_;
  std::vector<Id> finished_;
  std::set<std::pair<TimePoint, Id>> deadlines_;
  std::optional<std::pair<TimePoint, Timers::Id>> deadline_timer_;
  std::optional<TimePoint> answer_by_;                            // where this daemon ends then
  std::map<std::string, std::map<std::string, double>> credits_;  // of the kinds of a lane that has several
  RouterCounts counts_;
  std::map<std::string, Waits> waits_told_;  // as of the last warning
  std::map<std::string, std::uint64_t> attempts_failed_told_;
  std::uint64_t strays_told_ = 0;
  Id last_id_ = 0;
  double retry_tokens_ = 20;
  std::uint64_t last_attempt_ = 0;
  std::map<std::string, std::uint32_t> answered_now_, answered_last_;  // by lane, in this second and the last
  bool in_passes_ = false, passes_wanted_ = false, tick_armed_ = false, watch_armed_ = false, report_armed_ = false;
};

}  // namespace mothwalk
