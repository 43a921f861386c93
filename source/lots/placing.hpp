// The placing side of kept lots. The runners outside the circle are shared out by an agreed order, each to one daemon,
// which fetches items from the owners that have some, sends each within its short permit, and reports until heard.
#pragma once
#include "circle/circle.hpp"
#include "seams/dialect.hpp"
#include "lots/messages.hpp"

namespace mothwalk {

class Placing {
 public:
  Placing(Post& post, Board& board, Exchange& exchange, Chance& chance, const Dialect& dialect = plain_dialect());
  void start();
  std::size_t open() const { return attempts_.size(); }

 private:
  struct Work {
    std::uint32_t open = 0;
    bool fetching = false;
    Moment not_before;
    std::uint32_t failures = 0;
    std::optional<Moment> inside_since, outside_since;
    Moment last_sent;
    std::uint64_t term = 0;
  };
  struct Attempt {
    std::string runner;
    PlacedItem item;
    Exchange::Id exchange = 0;
    bool repeatable = false;
  };
  struct Source {
    std::map<std::string, std::uint32_t> kinds;
    Moment heard;
  };
  class Watcher;
  void tick();
  void work();
  bool outside(const PolicyView& policy, const std::string& name, const Runner& runner) const;
  // This daemon's term as the runner's placer, or none.
  std::optional<std::uint64_t> appointed(const PolicyView& policy, const std::string& name, const Runner& runner) const;
  std::uint32_t room(const std::string& name, const Runner& runner, const Work& state) const;
  void report_usage();
  void send(const std::string& runner, const PlacedItem& item);
  void ended(std::uint64_t attempt, const std::string& outcome, int status, Bytes body);
  void report(FinishItem finish);

  Post& post_;
  Board& board_;
  Exchange& exchange_;
  Chance& chance_;
  const Dialect& dialect_;
  KeptClient client_;
  std::map<std::string, Work> works_;
  std::map<std::uint64_t, Attempt> attempts_;
  std::set<ItemName> held_;          // from the fetch until the owner has heard the report
  std::map<Address, Source> sources_;
  std::uint64_t last_attempt_ = 0, ticks_ = 0;
};

}  // namespace mothwalk
