// The deterministic scheduler under the model check: virtual time, one ordered queue of events, and the lives of
// processes that the events belong to.
#pragma once
#include "interfaces/interfaces.hpp"
#include "simulate/world.hpp"

namespace mothwalk::model {

// One life of a process. Its events are dropped once it has ended and wait while it is frozen.
struct Process {
  bool alive = true, frozen = false;
  std::string machine;
  std::vector<std::pair<std::uint64_t, Task>> deferred;
};
using ProcessPointer = std::shared_ptr<Process>;

class Scheduler {
 public:
  TimePoint now() const { return now_; }
  std::int64_t milliseconds() const { return now_.microseconds / 1000; }
  void after(Duration span, ProcessPointer process, Task task);
  void at(std::int64_t milliseconds, Task task);
  // Runs all events up to `end`; `stepped` is called after each with the machine that it belonged to.
  void run_until(TimePoint end, const std::function<bool(const std::string& machine)>& stepped);
  void wake(const ProcessPointer& process);
  std::uint64_t steps() const { return steps_; }
  std::vector<std::shared_ptr<void>> graveyard;  // what ended within its own event; cleared between events

 private:
  struct Event {
    ProcessPointer process;
    Task task;
  };
  TimePoint now_{1};
  std::uint64_t order_ = 0, steps_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Event> queue_;
};

class ModelTimers : public Timers {
 public:
  ModelTimers(Scheduler& scheduler, ProcessPointer process) : scheduler_(scheduler), process_(std::move(process)) {}
  TimePoint now() const override { return scheduler_.now(); }
  Id after(Duration span, Task task) override;
  void cancel(Id id) override { live_->erase(id); }

 private:
  Scheduler& scheduler_;
  ProcessPointer process_;
  std::shared_ptr<std::set<Id>> live_ = std::make_shared<std::set<Id>>();
  Id last_ = 0;
};

}  // namespace mothwalk::model
