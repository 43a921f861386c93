// The placing side of lots: fetches items from the owners of lots, sends them to runners and reports the outcomes.
//
// Items run on the runners outside their circle (the active set of runners that take live requests), and on the members
// that the circle shares with lots. The circle appoints one daemon as the placer of each such runner. An item that was
// fetched is sent within a short start lease or not at all, and its outcome is reported until the owner acknowledges
// it. If a response that is an event stream breaks off, its complete events are reported, so that any runner can resume
// it.
#pragma once
#include <deque>

#include "circle/circle.hpp"
#include "interfaces/dialect.hpp"
#include "lots/messages.hpp"

namespace mothwalk {

// Dispatches items to the runners whose placer this daemon is.
class ItemPlacer {
 public:
  ItemPlacer(Messenger& messenger, SharedState& shared_state, RunnerClient& runner_client, RandomSource& random,
             const Dialect& dialect = plain_dialect());
  void start();
  // The number of attempts in progress.
  std::size_t open() const { return attempts_.size(); }

 private:
  class PlainResponseReader;
  class BatchResponseReader;
  // What this daemon knows of a runner that it is, or was, the placer of.
  struct RunnerState {
    std::uint32_t open_items = 0;
    std::uint64_t open_tokens = 0;  // The sum over the open items.
    bool fetching = false;
    TimePoint next_fetch_at;
    std::uint32_t failures = 0;
    // Since when the runner must not get items, and since when this daemon is its placer under the current term.
    std::optional<TimePoint> rejecting_since, appointed_since;
    TimePoint last_send;
    std::deque<TimePoint> recent_sends;  // Filled only if the kind limits the rate of sends; kept for about a second.
    std::uint64_t term = 0;
  };
  struct Attempt {
    std::string runner;
    PlacedItem item;
    RunnerClient::Id request_id = 0;
    bool repeatable = false;
    std::shared_ptr<BatchResponseReader> batch;
  };
  // The numbers of items, by kind, that an owner last published.
  struct PendingOwner {
    std::map<std::string, std::uint32_t> kinds, late;
    TimePoint received_at;
  };
  struct AttemptResult {
    std::string outcome;
    int status = 0;
    Bytes body;
    PartialStream part;
  };
  void tick();
  void fetch_for_runners();
  void schedule_fetch();
  void fetch_items(const std::string& runner_name, const Runner& runner, RunnerState& state, std::uint64_t term,
                   std::uint32_t count, const Kind& kind);
  // Whether the runner may get items: it is outside its circle or a member shared with lots, and is reachable.
  bool accepts_items(const ConfigurationView& configuration, const std::string& runner_name,
                     const Runner& runner) const;
  // The term under which this daemon is the runner's placer, or none if it is not.
  std::optional<std::uint64_t> appointed_term(const ConfigurationView& configuration, const std::string& runner_name,
                                              const Runner& runner) const;
  std::uint32_t free_capacity(const std::string& runner_name, const Runner& runner, const Kind& kind, bool shared,
                              RunnerState& state);
  void report_load();
  void send_item(const std::string& runner_name, const PlacedItem& item);
  // Ends an attempt whose response can't be used, and closes its connection.
  void abort_attempt(std::uint64_t attempt, const std::string& outcome, int status);
  void stop_attempts(const std::vector<std::uint64_t>& attempts);
  void on_attempt_ended(std::uint64_t attempt, AttemptResult result);
  void queue_report(ItemReport report);
  void schedule_reports();
  void send_reports();

  Messenger& messenger_;
  SharedState& shared_state_;
  RunnerClient& runner_client_;
  RandomSource& random_;
  const Dialect& dialect_;
  std::map<std::string, RunnerState> runner_states_;
  std::set<std::string> own_runners_;  // The runners whose placer this daemon was at the last tick.
  std::map<std::uint64_t, Attempt> attempts_;
  std::set<ItemAttemptId> held_items_;  // An item is held from its fetch until the owner has acknowledged the report.
  struct Report {
    ItemReport item;
    bool in_flight = false;
  };
  std::map<ItemAttemptId, Report> reports_;
  std::map<Address, PendingOwner> pending_owners_;
  std::uint64_t last_attempt_ = 0, ticks_ = 0;
  bool fetch_scheduled_ = false, reports_scheduled_ = false;
};

}  // namespace mothwalk
