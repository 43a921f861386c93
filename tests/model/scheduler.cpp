// The event queue, ordered by virtual time and then by insertion.
#include "model/scheduler.hpp"

#include <algorithm>

namespace mothwalk::model {

void Scheduler::after(Duration span, ProcessPointer process, Task task) {
  queue_.emplace(std::make_pair(now_ + std::max(span, Duration{0}), ++sequence_),
                 Event{std::move(process), std::move(task)});
}

void Scheduler::at(std::int64_t milliseconds, Task task) {
  after(TimePoint{milliseconds * 1000} - now_, nullptr, std::move(task));
}

void Scheduler::run_until(TimePoint end, const std::function<bool(const std::string&)>& on_step) {
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto node = queue_.extract(queue_.begin());
    now_ = std::max(now_, node.key().first);
    Event& event = node.mapped();
    if (event.process && !event.process->alive) continue;
    if (event.process && event.process->suspended) {
      event.process->deferred.emplace_back(node.key().second, std::move(event.task));
      continue;
    }
    ++steps_;
    event.task();
    event.task = nullptr;
    deferred_destruction.clear();
    if (!on_step(event.process ? event.process->machine : std::string())) return;
  }
  now_ = std::max(now_, end);
}

void Scheduler::resume(const ProcessPointer& process) {
  process->suspended = false;
  auto tasks = std::move(process->deferred);
  process->deferred.clear();
  std::sort(tasks.begin(), tasks.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
  for (auto& [sequence, task] : tasks) after(Duration{0}, process, std::move(task));
}

Timers::Id ModelTimers::after(Duration span, Task task) {
  const Id id = ++last_;
  pending_ids_->insert(id);
  scheduler_.after(span, process_, [pending_ids = pending_ids_, id, task = std::move(task)] {
    if (pending_ids->erase(id) > 0) task();
  });
  return id;
}

}  // namespace mothwalk::model
