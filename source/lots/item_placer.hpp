// The placing side of kept lots. The runners that take items, which are those outside the circle and members where none
// is outside, are shared out by an agreed order, each to one daemon, which fetches items from the owners that have
// some, sends each within its short lease, and reports until heard. Of an answer that is a series of events what came
// whole is kept, so that the item can go on anywhere.
#pragma once
#include <deque>

#include "circle/circle.hpp"
#include "interfaces/dialect.hpp"
#include "lots/messages.hpp"

namespace mothwalk {

class ItemPlacer {
 public:
  ItemPlacer(Messenger& messenger, SharedState& shared_state, RunnerClient& exchange, RandomSource& random,
             const Dialect& dialect = plain_dialect());
  void start();
  std::size_t open() const { return attempts_.size(); }

 private:
  class Watcher;
  class BatchWatcher;
  struct Work {
    std::uint32_t open = 0;
    std::uint64_t tokens = 0;  // of the open items
    bool fetching = false;
    TimePoint not_before;
    std::uint32_t failures = 0;
    std::optional<TimePoint> barred_since, taking_since;
    TimePoint last_sent;
    std::deque<TimePoint> sent;  // within the last second, where the kind bounds that
    std::uint64_t term = 0;
  };
  struct Attempt {
    std::string runner;
    PlacedItem item;
    RunnerClient::Id exchange = 0;
    bool repeatable = false;
    std::shared_ptr<BatchWatcher> batch;
  };
  struct Source {
    std::map<std::string, std::uint32_t> kinds, late;
    TimePoint heard;
  };
  struct Ending {
    std::string outcome;
    int status = 0;
    Bytes body;
    StreamPart part;
  };
  void tick();
  void work();
  void work_soon();
  void fetch(const std::string& name, const Runner& runner, Work& state, std::uint64_t term, std::uint32_t count,
             const Kind& kind);
  // Whether it is outside its circle, or a member that lots share, and may be sent to.
  bool takes_items(const ConfigurationView& configuration, const std::string& name, const Runner& runner) const;
  // This daemon's term as the runner's placer, or none.
  std::optional<std::uint64_t> appointed(const ConfigurationView& configuration, const std::string& name,
                                         const Runner& runner) const;
  std::uint32_t room(const std::string& name, const Runner& runner, const Kind& kind, bool shared, Work& state);
  void report_load();
  void send(const std::string& runner, const PlacedItem& item);
  // Ends an attempt whose answer can't be used, and its connection.
  void leave(std::uint64_t attempt, const std::string& outcome, int status);
  void stop(const std::vector<std::uint64_t>& attempts);
  void ended(std::uint64_t attempt, Ending ending);
  void report(FinishItem finish);
  void report_soon();
  void flush();

  Messenger& messenger_;
  SharedState& shared_state_;
  RunnerClient& runner_client_;
  RandomSource& random_;
  const Dialect& dialect_;
  std::map<std::string, Work> works_;
  std::set<std::string> mine_;  // the runners that this daemon places on, as of the last tick
  std::map<std::uint64_t, Attempt> attempts_;
  std::set<ItemName> held_;  // from the fetch until the owner has heard the report
  struct Report {
    FinishItem finish;
    bool on_its_way = false;
  };
  std::map<ItemName, Report> reports_;
  std::map<Address, Source> sources_;
  std::uint64_t last_attempt_ = 0, ticks_ = 0;
  bool work_soon_ = false, report_soon_ = false;
};

}  // namespace mothwalk
