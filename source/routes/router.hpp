// Routes live requests to runners. Each request is a record in a table: it waits for a runner, is sent, and its
// response is relayed to the client. A client gets the runner's response unchanged, or the outcome "refused" (the
// request was not run and never will be) or "unknown" (the request may have run). Each outcome is reported as soon as
// it is certain.
#pragma once
#include "routes/events.hpp"
#include "routes/runner_table.hpp"

namespace mothwalk {

// A request of a client, as it was read.
struct LiveRequest {
  std::string method, target;
  std::vector<Header> headers;
  std::shared_ptr<const Bytes> body;
};

// Receives the response of one request and passes it to the client. It is called on the router's thread.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // Takes the request back unanswered if it submits a lot, which the router does not serve. Returns whether it did; no
  // other call follows then. A request reaches the router by mistake if it arrived before the configuration.
  virtual bool take_back_lot(const LiveRequest& /*request*/) { return false; }
  virtual void head(int status, const std::vector<Header>& headers) = 0;
  virtual void chunk(StringView chunk) = 0;
  // Sends the buffered part of the response now.
  virtual void flush() {}
  virtual void end() = 0;
  // Ends the response so that the client can see that it is incomplete.
  virtual void abort() = 0;
  // Returns the number of bytes that the client has not read yet.
  virtual std::size_t backlog() const = 0;
};

// Counts the finished requests of an aim's lane, without those whose client disconnected before the end. An aim is an
// operator's service-level objective.
struct AimCounts {
  std::uint64_t ended = 0, answered = 0, in_time = 0;
  MOTHWALK_FIELDS(ended, answered, in_time)
};

struct RouterCounts {
  // `cancelled_unresponsive` counts attempts that were cancelled and retried elsewhere because their runner did not
  // respond in time. `own_zone` and `other_zone` count attempts by the zone of their runner.
  std::uint64_t arrived = 0, answered = 0, refused = 0, unknown = 0, broken = 0, client_disconnects = 0, attempts = 0,
                retries = 0, resumed = 0, cancelled_unresponsive = 0, own_zone = 0, other_zone = 0;
  std::map<std::string, std::uint64_t> refusals, unknowns, breaks;  // Failed requests by reason.
  std::map<std::string, std::uint64_t> attempts_failed;             // By kind of runner and outcome of the attempt.
  std::map<std::string, Waits> waits;                               // By kind of runner and main block reason.
  std::map<std::string, AimCounts> aims;                            // By the name of the aim.
  // Attempts over connections that this daemon was not entitled to, and those of them that ended before a response.
  std::uint64_t over_share = 0, over_share_rejected = 0;
  // Requests that a limit delayed for long while a runner was idle. This must stay 0.
  std::uint64_t delayed_beside_idle = 0;
  // Submissions of lots that waited here for the first configuration.
  std::uint64_t lots_taken_back = 0;
  MOTHWALK_FIELDS_AS("arrived", arrived, "answered", answered, "refused", refused, "unknown", unknown, "broken", broken,
                     "callers_gone", client_disconnects, "attempts", attempts, "retries", retries, "resumed", resumed,
                     "left_dark", cancelled_unresponsive, "own_zone", own_zone, "other_zone", other_zone, "refusals",
                     refusals, "unknowns", unknowns, "breaks", breaks, "attempts_failed", attempts_failed, "waits",
                     waits, "aims", aims, "strays", over_share, "strays_turned_away", over_share_rejected,
                     "held_beside_idle", delayed_beside_idle, "lots_taken_back", lots_taken_back)
};

class Router {
 public:
  using Id = std::uint64_t;
  Router(Messenger& messenger, SharedState& shared_state, RunnerClient& runner_client, RandomSource& random,
         Member self, const Dialect& dialect = plain_dialect());
  void start();
  Id submit(LiveRequest request, std::shared_ptr<ResponseSink> sink);
  // Handles a client that disconnected before the end of its response.
  void on_client_disconnected(Id id);
  std::size_t open() const { return requests_.size(); }
  const RouterCounts& counts() const { return counts_; }
  ClientLimits limits() const { return shared_state_.configuration.get()->limits; }
  bool draining() const { return shared_state_.draining; }
  // Distributes requests round-robin over all runners and ignores the circle. For benchmarks only.
  void set_round_robin_all(bool enabled) { runner_table_.round_robin_all = enabled; }
  // Called at most once a second with a description of what delayed requests or made attempts fail.
  std::function<void(StringView message)> warn = [](StringView) {
  };
  // Sets the time by which every request of a known lane gets a response, including requests that arrive later.
  // Responses that have begun by then are not aborted.
  void set_drain_deadline(TimePoint end);
  // If set, requests that arrive over open connections during the drain are served instead of refused.
  bool serves_while_draining = false;

 private:
  enum class State { waiting, sent, relaying, finished };
  struct Record {
    Id id = 0;
    State state = State::waiting;
    LiveRequest request;
    RequestInfo info;
    std::shared_ptr<ResponseSink> sink;
    std::shared_ptr<const ConfigurationView> configuration;  // The configuration that `lane` was taken from.
    std::string lane_name;
    Lane lane;
    std::vector<std::string> kinds;  // The preferred kind of runner, then the kinds that may replace it.
    Demand demand;
    bool repeatable = false;
    TimePoint arrived, waiting_since, deadline, sent;
    BlockReason block_reason = BlockReason::none;  // Why no runner was found at the last search.
    bool delayed_beside_idle = false;              // The request was counted in `delayed_beside_idle`.
    std::string kind, runner;
    RunnerClient::Id attempt_handle = 0;              // The handle of the current attempt.
    bool keep_connection = true, over_share = false;  // As in RunnerChoice.
    std::uint64_t attempt = 0;                        // The number of the current attempt, unique in this daemon.
    std::uint32_t attempts = 0;
    // `body_started` is set when the current attempt has returned a part of its body.
    bool may_have_run = false, head_sent = false, body_started = false;
    bool client_detached = false;           // The client disconnected, but its unrepeatable request runs to its end.
    std::optional<TimePoint> paused_since;  // Reading from the runner is paused because the client reads too slowly.
    std::size_t backlog = 0;
    std::optional<Duration> first_piece;  // The time from the arrival to the response head.
    std::set<std::string> tried;
    std::optional<EventReader> events;  // Set if the response is a stream that another runner can resume.
    std::optional<std::uint64_t> last_event;
    std::string version;  // The version of the model weights, from the response head and its events.
  };
  // An error response that this daemon creates itself.
  struct ErrorReply {
    int status = 0;
    std::string outcome;  // "refused" or "unknown".
    std::string reason;   // The key that the reply is counted under.
    bool retry_after = false;
    Error error;
  };
  class AttemptListener;
  using QueueKey = std::tuple<std::uint32_t, TimePoint, Id>;  // The lane's rank, the time of arrival and the id.

  // Checks the paused requests for progress of their clients, and dispatches the waiting ones.
  void tick();
  void arm_tick();
  void arm_deadline();
  void arm_watchdog();
  // Retries the requests whose runners have sent nothing for too long.
  void run_watchdog();
  Duration response_timeout(const Record& record) const;
  // Ends a request whose deadline has passed.
  void expire(Record& record);
  // Sends waiting requests to runners and erases finished ones, until nothing is left to do. Nested calls only request
  // another round.
  void dispatch();
  void dispatch_waiting();
  void erase_finished();
  void set_state(Record& record, State state);
  bool check_backpressure(Record& record, TimePoint now);
  // Cancels the attempt and aborts the response.
  void abort_response(Record& record, const std::string& reason);
  void complete_response(Record& record);
  // Lets the request run to its end after its client disconnected.
  void detach_client(Record& record);
  // Aborts the response visibly, for an attempt that has ended already.
  void fail_response(Record& record, const std::string& reason);
  void count_for_aims(const Record& record, bool answered);
  bool admit(Record& record);
  bool handle_missing_lane(Record& record, bool has_all_lanes);
  bool take_back_lot(Record& record);
  void assign_lane(Record& record, const std::string& name, const Lane& lane);
  void set_deadline(Record& record);
  static Demand demand_of(const Record& record);
  bool update_configuration(Record& record, const std::shared_ptr<const ConfigurationView>& configuration,
                            TimePoint now);
  bool may_resume(Record& record, const ConfigurationView& configuration);
  bool try_send(Record& record, const ConfigurationView& configuration, std::map<std::string, BlockReason>& busy_kinds,
                std::string* why);
  void assign_kinds(Record& record);
  bool will_miss_aim(const Record& record, TimePoint now) const;
  void send(Record& record, const RunnerChoice& choice, const ConfigurationView& configuration);
  AttemptRequest attempt_request(const Record& record, const Runner& runner);
  bool attempts_left(const Record& record) const;
  void on_attempt_head(Id id, std::uint64_t attempt, int status, const std::vector<Header>& headers);
  void on_attempt_chunk(Id id, std::uint64_t attempt, StringView chunk);
  bool handle_rejection(Record& record, int status, const ResponseInfo& response);
  void handle_resumed_head(Record& record, bool good, const ResponseInfo& response);
  void relay_head(Record& record, int status, const std::vector<Header>& headers, const ResponseInfo& response);
  bool relay_events(Record& record, StringView chunk);
  void on_attempt_pause(Id id, std::uint64_t attempt);
  void on_attempt_end(Id id, std::uint64_t attempt, AttemptOutcome end);
  void cancel_attempt(Record& record);
  void end_attempt(Record& record, AttemptVerdict verdict);
  AttemptVerdict verdict_of(const Record& record, AttemptOutcome end);
  void retry_or_fail(Record& record, bool ran, int status, const std::string& reason, const std::string& message);
  void retry(Record& record);
  void refuse(Record& record, const std::string& reason, const std::string& message);
  void reply_unknown(Record& record, int status, const std::string& reason, const std::string& message);
  void reply_error(Record& record, const ErrorReply& reply);
  void count_wait(const Record& record);
  void check_delay_beside_idle(Record& record, const ConfigurationView& configuration, TimePoint now);
  void warn_about_problems();
  void report_load();
  void report_periodically();
  // Estimates when a refused client may find room: the number of requests that wait in its lane, divided by the number
  // that the lane answers in a second.
  Duration retry_delay(const Record& record);
  std::size_t waiting_in(const std::string& lane) const;

  Messenger& messenger_;
  SharedState& shared_state_;
  RunnerClient& runner_client_;
  RandomSource& random_;
  Member self_;
  const Dialect& dialect_;
  RunnerTable runner_table_;
  std::unordered_map<Id, Record> requests_;
  std::set<QueueKey> waiting_;
  std::set<Id> paused_;
  std::vector<Id> finished_;
  std::set<std::pair<TimePoint, Id>> deadlines_;
  std::optional<std::pair<TimePoint, Timers::Id>> deadline_timer_;
  std::optional<TimePoint> drain_deadline_;  // Set by set_drain_deadline().
  // The balance of each kind by lane, for the weighted distribution of a lane with several kinds.
  std::map<std::string, std::map<std::string, double>> kind_credits_;
  RouterCounts counts_;
  // The counts at the time of the last warning.
  std::map<std::string, Waits> reported_waits_;
  std::map<std::string, std::uint64_t> reported_attempts_failed_;
  std::uint64_t reported_over_share_ = 0;
  Id last_id_ = 0;
  // Limits the retries of requests that may have run: each arriving request adds 0.2 tokens, up to 100, and each such
  // retry takes one. This keeps retries from multiplying the load when many runners fail.
  double retry_tokens_ = 20;
  std::uint64_t last_attempt_ = 0;
  // The number of answered requests by lane, in the current second and in the one before.
  std::map<std::string, std::uint32_t> answered_now_, answered_last_;
  bool dispatching_ = false, dispatch_again_ = false, tick_armed_ = false, watchdog_armed_ = false,
       report_armed_ = false;
};

}  // namespace mothwalk
