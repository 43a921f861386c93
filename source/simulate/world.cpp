// Implements the event loop, network delays and partitions, timers and disks.
#include "simulate/world.hpp"

#include <ctime>

#include <algorithm>

namespace mothwalk::simulate {

namespace {
std::uint64_t processor_time() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<std::uint64_t>(time.tv_sec) * 1000000000 + static_cast<std::uint64_t>(time.tv_nsec);
}
}  // namespace

void World::at(Duration delay, ProcessPointer process, Task task) {
  queue_.push(Event{now_ + std::max(delay, Duration{0}), ++last_order_, std::move(process),
                    std::make_shared<Task>(std::move(task))});
}

void World::run_until(TimePoint end) {
  while (!queue_.empty() && queue_.top().time <= end) {
    Event event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.time);
    if (event.process && !event.process->alive) continue;
    if (event.process && event.process->suspended) {
      event.process->deferred.emplace_back(event.order, std::move(*event.task));
      continue;
    }
    ++events;
    const std::uint64_t started_at = measuring && event.process ? processor_time() : 0;
    (*event.task)();
    event.task.reset();
    if (started_at > 0) event.process->processor += processor_time() - started_at;
    destroyed_objects.clear();
  }
  now_ = std::max(now_, end);
}

void World::resume(const ProcessPointer& process) {
  process->suspended = false;
  auto tasks = std::move(process->deferred);
  process->deferred.clear();
  std::sort(tasks.begin(), tasks.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
  for (auto& [order, task] : tasks) at(Duration{0}, process, std::move(task));
}

Duration World::shortest_delay(const std::string& from_zone, const std::string& to_zone) {
  return Duration(from_zone == to_zone ? 80 : 900);
}

Duration World::delay(const std::string& from_zone, const std::string& to_zone) {
  const std::int64_t base = shortest_delay(from_zone, to_zone).count();
  // One message in 400 takes 20 ms longer, as if a packet had been retransmitted.
  const std::int64_t slow = random.below(400) == 0 ? 20000 : 0;
  return Duration(base + static_cast<std::int64_t>(random.below(static_cast<std::size_t>(base))) + slow);
}

bool World::is_blocked(const std::string& from, const std::string& from_zone, const std::string& to,
                       const std::string& to_zone) const {
  if (partitions_.empty()) return false;
  for (const auto& sender : {from, from_zone, std::string("*")})
    for (const auto& receiver : {to, to_zone, std::string("*")})
      if (partitions_.contains({sender, receiver})) return true;
  return false;
}

void World::write_ledger(json::object line) {
  line["at"] = milliseconds();
  ledger_.push_back(std::move(line));
}

void World::log_event(const std::string& line) {
  if (event_log_.size() < 2000) event_log_.push_back(std::to_string(milliseconds()) + " ms  " + line);
}

void World::pass_fault_point(const std::string& kind, const std::string& machine_name) {
  const std::uint64_t number = ++fault_point_counts[kind];
  if (kind != armed_kind || number != armed_number) return;
  // The fault is injected in an event of its own, because the machine that passed the point is still on the stack.
  after(Duration{0}, [this, machine_name] { inject_fault(machine_name); });
}

Timers::Id SimulatedTimers::after(Duration delay, Task task) {
  const Id id = ++last_id_;
  active_->insert(id);
  world_.at(delay, process_, [active = active_, id, task = std::move(task)] {
    if (active->erase(id) > 0) task();
  });
  return id;
}

void SimulatedDisk::attach(ProcessPointer process) {
  process_ = std::move(process);
  busy_ = false;
  requests_.clear();
  syncing_.clear();
  log_files_ = std::make_unique<LogFiles>(volume_);
  log_files_->open();
}

Result<Bytes> SimulatedDisk::read_all() {
  if (unreadable_starts > 0)
    return Error{ErrorKind::damaged, "data_folder", "the records can't be read", "check the disk"};
  return log_files_->read_all();
}

void SimulatedDisk::pass_fault_point(const DiskRequest& request, bool done) {
  if (request.kind == DiskRequest::Kind::append) world_.pass_fault_point(done ? "synced" : "append", machine_name_);
  if (request.kind == DiskRequest::Kind::write_next)
    world_.pass_fault_point(done ? "rewritten" : "rewrite", machine_name_);
  if (request.kind == DiskRequest::Kind::switch_to_next)
    world_.pass_fault_point(done ? "switched" : "switch", machine_name_);
}

void SimulatedDisk::submit(DiskRequest request) {
  pass_fault_point(request, false);
  requests_.push_back(std::move(request));
  if (!busy_) begin_sync();
}

// One sync covers all requests that were submitted before it begins, as in the daemon's own disk (host/file_disk.cpp).
void SimulatedDisk::begin_sync() {
  busy_ = true;
  syncing_.swap(requests_);
  world_.at(Duration(sync_time.count() / 2 +
                     static_cast<std::int64_t>(world_.random.below(static_cast<std::size_t>(sync_time.count())))),
            process_, [this] { complete_sync(); });
}

void SimulatedDisk::complete_sync() {
  if (stalled) return world_.at(std::chrono::milliseconds(50), process_, [this] { complete_sync(); });
  const ProcessPointer process = process_;
  const std::deque<DiskRequest> executed = std::exchange(syncing_, {});
  const std::vector<bool> results = log_files_->execute(executed);
  for (std::size_t index = 0; index < executed.size(); ++index) {
    if (results[index]) pass_fault_point(executed[index], true);
    executed[index].done(results[index]);
    if (!process->alive) return;
  }
  busy_ = false;
  if (!requests_.empty()) begin_sync();
}

// A random number of the first steps of the sync in progress is executed; then any part of the unsynced data is lost.
void SimulatedDisk::crash() {
  constexpr std::size_t steps_per_order = 4;
  if (!syncing_.empty()) {
    volume_.stop_after = volume_.operations + world_.random.below(steps_per_order * syncing_.size() + 1);
    log_files_->execute(std::exchange(syncing_, {}));
  }
  volume_.lose_power(world_.random);
}

}  // namespace mothwalk::simulate
