// The way of a live request: a record in a table that passes are run over (admit, match, send, relay, finish). A caller
// gets the runner's answer as it was given, or "refused" (not run, and never will be), or "unknown"; each at once.
#pragma once
#include "circle/circle.hpp"
#include "seams/dialect.hpp"

namespace mothwalk {

// The side of a caller: one of these a request, called on the duty's thread.
class CallerSide {
 public:
  virtual ~CallerSide() = default;
  virtual void head(int status, const std::vector<Header>& headers) = 0;
  virtual void piece(View piece) = 0;
  virtual void end() = 0;
  virtual void break_off() = 0;               // the stream ends visibly broken
  virtual std::size_t backlog() const = 0;    // bytes that the caller has not taken yet
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

struct EntryCounts {
  std::uint64_t arrived = 0, answered = 0, refused = 0, unknown = 0, broken = 0, callers_gone = 0, attempts = 0, retries = 0, own_hall = 0, other_hall = 0;
  std::map<std::string, std::uint64_t> refusals;  // by reason
  std::map<std::string, AimCounts> aims;
  MOTHWALK_FIELDS(arrived, answered, refused, unknown, broken, callers_gone, attempts, retries, own_hall, other_hall, refusals, aims)
};

class Entries {
 public:
  using Id = std::uint64_t;
  Entries(Post& post, Board& board, Exchange& exchange, Chance& chance, Member self, const Dialect& dialect = plain_dialect());
  void start();
  Id arrive(LiveRequest request, std::shared_ptr<CallerSide> caller);
  void gone(Id id);                            // the caller left
  std::size_t open() const { return table_.size(); }
  const EntryCounts& counts() const { return counts_; }
  bool even_over_all = false;                  // bench only: plain round-robin over all runners, circle ignored

 private:
  enum class State { waiting, sent, relaying, finished };
  struct Record {
    Id id = 0;
    State state = State::waiting;
    LiveRequest request;
    std::shared_ptr<CallerSide> caller;
    std::string lane_name;
    Lane lane;
    std::uint64_t affinity = 0;
    Moment arrived, waiting_since;
    std::string runner;
    Exchange::Id exchange = 0;
    std::uint64_t attempt = 0;
    std::uint32_t attempts = 0;
    std::optional<Moment> held_since;          // the runner is not read: the caller takes its pieces too slowly
    std::size_t backlog = 0;
    std::optional<Span> first_piece;           // after its arrival
    std::set<std::string> tried;
  };
  struct Sight {                               // what this daemon sees of a runner
    std::uint32_t open = 0, others = 0, items = 0, failures = 0;
    std::uint32_t taken() const { return open + others + items; }
    Moment not_before, last_sent;
    std::optional<Moment> failed;
    std::uint64_t ramp = 0;                    // the circle's count of its ramps
    std::optional<Moment> ramp_since;          // since when it warms, as a new member or as one that came back
    bool came_back = false;
  };
  class Watcher;

  void tick();
  void passes();
  void match_pass();
  void finish_pass();
  bool follow_slow(Record& record, Moment now);
  void break_off(Record& record);
  void count_for_aims(const Record& record, bool answered);
  bool admit(Record& record);
  std::optional<std::string> match(const Record& record, const PolicyView& policy, std::string* why);
  bool takes(const PolicyView& policy, const std::string& name, const Runner& runner, const Kind& kind, const Circle* circle, Moment now);
  void send(Record& record, const std::string& runner, const PolicyView& policy);
  void attempt_head(Id id, std::uint64_t attempt, int status, const std::vector<Header>& headers);
  void attempt_piece(Id id, std::uint64_t attempt, View piece);
  void attempt_end(Id id, std::uint64_t attempt, AttemptEnd end);
  void release(Record& record, bool sound);
  void again_or(Record& record, bool ran, int status, const std::string& reason, const std::string& message);
  void refuse(Record& record, const std::string& reason, const std::string& message);
  void give_unknown(Record& record, int status, const std::string& message);
  void answer(Record& record, int status, const std::string& outcome, const Fault& fault, bool retry_after);
  void report();
  // Seconds after which a refused caller may find room: what waits in its lane over what the lane answers in a second.
  std::uint64_t come_back(const Record& record);
  std::size_t waiting_in(const std::string& lane) const;

  Post& post_;
  Board& board_;
  Exchange& exchange_;
  Chance& chance_;
  Member self_;
  const Dialect& dialect_;
  std::map<Id, Record> table_;
  std::map<std::string, Sight> sights_;
  EntryCounts counts_;
  Id last_id_ = 0;
  double retry_tokens_ = 20;
  std::uint64_t last_attempt_ = 0, ticks_ = 0;
  std::size_t turn_ = 0;
  std::uint64_t reported_tick_ = 0;
  std::map<std::string, std::uint32_t> answered_now_, answered_last_;  // by lane, in this second and the last
  bool report_soon_ = false, in_passes_ = false, passes_wanted_ = false;
};

}  // namespace mothwalk
