// The deterministic scheduler of the model check: virtual time, one ordered queue of events, and the processes that the
// events belong to.
#pragma once
#include "interfaces/interfaces.hpp"
#include "simulate/world.hpp"

namespace mothwalk::model {

// One incarnation of a process. Its events are dropped after it has ended, and deferred while it is suspended.
struct Process {
  bool alive = true, suspended = false;
  std::string machine;
  std::vector<std::pair<std::uint64_t, Task>> deferred;
};
using ProcessPointer = std::shared_ptr<Process>;

// Runs tasks in the order of their virtual times, and in order of insertion at the same time.
class Scheduler {
 public:
  TimePoint now() const { return now_; }
  std::int64_t milliseconds() const { return now_.microseconds / 1000; }
  void after(Duration span, ProcessPointer process, Task task);
  void at(std::int64_t milliseconds, Task task);
  // Runs all events up to `end`. Calls `on_step` after each with the name of its machine, which is empty for events
  // without a process, and stops early if that returns false.
  void run_until(TimePoint end, const std::function<bool(const std::string& machine)>& on_step);
  void resume(const ProcessPointer& process);
  std::uint64_t steps() const { return steps_; }
  // The objects of a process that crashed during an event of its own. They are destroyed after that event, which may
  // still use them.
  std::vector<std::shared_ptr<void>> deferred_destruction;

 private:
  struct Event {
    ProcessPointer process;
    Task task;
  };
  TimePoint now_{1};
  std::uint64_t sequence_ = 0, steps_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Event> queue_;
};

// The timers of one process. A cancelled timer's event stays in the queue and does nothing.
class ModelTimers : public Timers {
 public:
  ModelTimers(Scheduler& scheduler, ProcessPointer process) : scheduler_(scheduler), process_(std::move(process)) {}
  TimePoint now() const override { return scheduler_.now(); }
  Id after(Duration span, Task task) override;
  void cancel(Id id) override { pending_ids_->erase(id); }

 private:
  Scheduler& scheduler_;
  ProcessPointer process_;
  std::shared_ptr<std::set<Id>> pending_ids_ = std::make_shared<std::set<Id>>();
  Id last_ = 0;
};

}  // namespace mothwalk::model
