// The simulated environment: virtual time, one event queue, a network whose delays and losses follow from a seed,
// disks, and the ledger that the judge (stand_ins/judge.hpp) reads. The components of all simulated daemons run on it,
// and they are the same objects that the real daemon runs.
#pragma once
#include <deque>
#include <queue>

#include "coding/json.hpp"
#include "interfaces/interfaces.hpp"
#include "replication/log_files.hpp"
#include "simulate/simulated_volume.hpp"

namespace mothwalk::simulate {

// One run of a simulated process. Events that belong to it are dropped once it has died, and are deferred while it is
// suspended.
struct ProcessState {
  bool alive = true, suspended = false;
  std::uint64_t processor = 0;  // Real processor time in nanoseconds; it is counted only while World::measuring is set.
  // The events that became due while the process was suspended, each with its position in the event order.
  std::vector<std::pair<std::uint64_t, Task>> deferred;
};
using ProcessPointer = std::shared_ptr<ProcessState>;

// The SplitMix64 generator, so that a run depends on its seed alone.
class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() override {
    state_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
  }
  double uniform() { return static_cast<double>(next() >> 11) / 9007199254740992.0; }

 private:
  std::uint64_t state_;
};

// Runs all events of a simulation in one thread. Events due at the same time run in the order in which they were
// scheduled, so a run is reproduced exactly by its seed.
class World {
 public:
  explicit World(std::uint64_t seed) : random(seed) {}
  TimePoint now() const { return now_; }
  std::int64_t milliseconds() const { return now_.microseconds / 1000; }
  // Schedules a task for the given process after the delay; with a null `process` it runs in any case.
  void at(Duration delay, ProcessPointer process, Task task);
  void after(Duration delay, Task task) { at(delay, nullptr, std::move(task)); }
  void run_until(TimePoint end);
  void suspend(const ProcessPointer& process) { process->suspended = true; }
  // Resumes a suspended process: its deferred events run now, in their original order.
  void resume(const ProcessPointer& process);

  // The network between machines and runners. The delay of one message is random; shortest_delay is its lower bound.
  // `partition` blocks messages in one direction. Each end is the name of a machine, a runner or a zone, or "*" for
  // all. `heal` removes all blocks.
  Duration delay(const std::string& from_zone, const std::string& to_zone);
  static Duration shortest_delay(const std::string& from_zone, const std::string& to_zone);
  void partition(const std::string& from, const std::string& to) { partitions_.insert({from, to}); }
  void heal() { partitions_.clear(); }
  bool is_blocked(const std::string& from, const std::string& from_zone, const std::string& to,
                  const std::string& to_zone) const;
  // The messages sent between machines and their size, by message name, counted while `measuring` is set. Then the
  // processor time of each process is counted as well.
  struct Traffic {
    std::uint64_t messages = 0, bytes = 0;
  };
  std::map<std::string, Traffic> traffic;
  bool measuring = false;
  double loss_fraction = 0;  // Fraction of the messages between machines that are lost.
  // Fraction of the messages between machines that are delivered twice, the second time possibly after later messages.
  double duplicate_fraction = 0;

  // Appends a line with the current time to the ledger.
  void write_ledger(json::object line);
  const std::vector<json::object>& ledger() const { return ledger_; }
  // Adds a line to the log of events that is printed for a failed run; it has at most 2000 lines.
  void log_event(const std::string& line);
  const std::vector<std::string>& event_log() const { return event_log_; }

  // Fault points: steps at which a fault can be injected (a message sent or received, a disk append, sync or rewrite,
  // an attempt at a runner), numbered separately for each kind. When point number `armed_number` of the
  // kind `armed_kind` is passed, `inject_fault` is called with the name of the machine that passed it.
  void pass_fault_point(const std::string& kind, const std::string& machine_name);
  std::map<std::string, std::uint64_t> fault_point_counts;  // The number of points passed, by kind.
  std::string armed_kind;
  std::uint64_t armed_number = 0;
  std::function<void(const std::string&)> inject_fault;

  SeededRandom random;
  std::uint64_t events = 0;
  // Objects that were removed while one of their own functions may be on the stack. They are destroyed between events.
  std::vector<std::shared_ptr<void>> destroyed_objects;

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order;
    ProcessPointer process;
    std::shared_ptr<Task> task;
    bool operator>(const Event& other) const { return std::tie(time, order) > std::tie(other.time, other.order); }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  TimePoint now_{1};
  std::uint64_t last_order_ = 0;
  std::set<std::pair<std::string, std::string>> partitions_;  // Blocked directions: sender and receiver.
  std::vector<json::object> ledger_;
  std::vector<std::string> event_log_;
};

// Timers of one simulated process, on virtual time.
class SimulatedTimers : public Timers {
 public:
  SimulatedTimers(World& world, ProcessPointer process) : world_(world), process_(std::move(process)) {}
  TimePoint now() const override { return world_.now(); }
  Id after(Duration delay, Task task) override;
  void cancel(Id id) override { active_->erase(id); }

 private:
  World& world_;
  ProcessPointer process_;
  std::shared_ptr<std::set<Id>> active_ = std::make_shared<std::set<Id>>();
  Id last_id_ = 0;
};

// The disk of a machine. It outlives the processes that use it. When a process dies, the disk is left as after a loss
// of power: any part of the data that was not synced may be missing.
class SimulatedDisk : public Disk {
 public:
  SimulatedDisk(World& world, std::string machine_name) : world_(world), machine_name_(std::move(machine_name)) {}
  // Attaches the disk to a new process and opens its files.
  void attach(ProcessPointer process);
  Result<Bytes> read_all() override;
  void submit(DiskRequest request) override;
  void crash();  // Called when the process has died.
  void wipe() { volume_.wipe(); }
  // Corrupts one byte at a third of the record file.
  void damage() { volume_.damage("records", size() / 3); }
  // While the disk fails (because it is full or the drive is broken), nothing can be written. The state lasts until it
  // is reset.
  void set_failing(bool failing) { volume_.failing = failing; }
  bool failing() const { return volume_.failing; }
  void set_capacity(std::size_t bytes) { volume_.capacity = bytes; }
  std::size_t size() const { return volume_.size("records"); }
  std::size_t total() const { return volume_.total(); }

  Duration sync_time = std::chrono::microseconds(400);
  bool stalled = false;       // While set, no sync completes.
  int unreadable_starts = 0;  // The number of coming starts at which the disk can't be read.

 private:
  void begin_sync();
  void complete_sync();
  void pass_fault_point(const DiskRequest& request, bool done);
  World& world_;
  std::string machine_name_;
  ProcessPointer process_;
  SimulatedVolume volume_;
  std::unique_ptr<LogFiles> log_files_;
  bool busy_ = false;
  std::deque<DiskRequest> requests_, syncing_;  // Requests that wait, and requests in the sync in progress.
};

}  // namespace mothwalk::simulate
