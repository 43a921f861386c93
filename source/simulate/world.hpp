// The simulated world: virtual time, one queue of events, a seeded network, and the ledger that the judge reads. All
// duties of all machines run on it as the very objects that the daemon runs.
#pragma once
#include <deque>
#include <queue>

#include "coding/json.hpp"
#include "interfaces/interfaces.hpp"
#include "replication/log_files.hpp"
#include "simulate/simulated_volume.hpp"

namespace mothwalk::simulate {

// One life of a process: what belongs to it happens only while it lives, and not while it is frozen.
struct Life {
  bool alive = true, frozen = false;
  std::uint64_t processor = 0;  // nanoseconds of real processor time, while the world measures
  std::vector<std::pair<std::uint64_t, Task>> deferred;
};
using LifePointer = std::shared_ptr<Life>;

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

class World {
 public:
  explicit World(std::uint64_t seed) : random(seed) {}
  TimePoint now() const { return now_; }
  std::int64_t milliseconds() const { return now_.microseconds / 1000; }
  void at(Duration span, LifePointer life, Task task);
  void after(Duration span, Task task) { at(span, nullptr, std::move(task)); }
  void run_until(TimePoint end);
  void freeze(const LifePointer& life) { life->frozen = true; }
  void wake(const LifePointer& life);

  // The network. Places are machines and runners; a cut names groups of zones or single places, one way or both.
  Duration delay(const std::string& from_zone, const std::string& to_zone);
  static Duration shortest_delay(const std::string& from_zone, const std::string& to_zone);
  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void mend() { cuts_.clear(); }
  bool is_cut(const std::string& from, const std::string& from_zone, const std::string& to,
              const std::string& to_zone) const;
  // What was sent between machines, by message, and whether each life's processor time is counted.
  struct Traffic {
    std::uint64_t messages = 0, bytes = 0;
  };
  std::map<std::string, Traffic> traffic;
  bool measuring = false;
  double loss = 0;     // share of messages between machines that vanish
  double repeats = 0;  // share of messages between machines that come a second time, behind later ones

  void write(json::object line);
  const std::vector<json::object>& ledger() const { return ledger_; }
  void history(const std::string& line);
  const std::vector<std::string>& story() const { return story_; }

  // Numbered points of each kind: messages sent and taken, appends, syncs, rewrites, attempts. The armed number of the
  // armed kind strikes.
  void point(const std::string& kind, const std::string& place);
  std::map<std::string, std::uint64_t> points;
  std::string armed_kind;
  std::uint64_t armed = 0;
  std::function<void(const std::string&)> strike;

  SeededRandom random;
  std::uint64_t events = 0;
  std::vector<std::shared_ptr<void>> graveyard;  // what died inside its own event; cleared between events

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order;
    LifePointer life;
    std::shared_ptr<Task> task;
    bool operator>(const Event& other) const { return std::tie(time, order) > std::tie(other.time, other.order); }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  TimePoint now_{1};
  std::uint64_t order_ = 0;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::vector<json::object> ledger_;
  std::vector<std::string> story_;
};

class SimulatedTimers : public Timers {
 public:
  SimulatedTimers(World& world, LifePointer life) : world_(world), life_(std::move(life)) {}
  TimePoint now() const override { return world_.now(); }
  Id after(Duration span, Task task) override;
  void cancel(Id id) override { live_->erase(id); }

 private:
  World& world_;
  LifePointer life_;
  std::shared_ptr<std::set<Id>> live_ = std::make_shared<std::set<Id>>();
  Id last_ = 0;
};

// A disk outlives the processes that use it. A process that dies leaves it as a loss of power does: any part of what
// was not synced may be there or not.
class SimulatedDisk : public Disk {
 public:
  SimulatedDisk(World& world, std::string place) : world_(world), place_(std::move(place)) {}
  void own(LifePointer life);
  Result<Bytes> read_all() override;
  void order(DiskOrder order) override;
  void tear();  // the process has died
  void wipe() { volume_.wipe(); }
  void damage() { volume_.damage("records", size() / 3); }
  // While it is full or broken nothing can be written. Full is a state, and so is a broken drive until it is replaced.
  void set_failing(bool failing) { volume_.failing = failing; }
  bool failing() const { return volume_.failing; }
  void set_capacity(std::size_t bytes) { volume_.capacity = bytes; }
  std::size_t size() const { return volume_.size("records"); }
  std::size_t total() const { return volume_.total(); }

  Duration sync_time = std::chrono::microseconds(400);
  bool stalled = false;
  int unreadable = 0;  // so many starts find a disk that can't be read

 private:
  void begin();
  void complete();
  void point(const DiskOrder& order, bool done);
  World& world_;
  std::string place_;
  LifePointer life_;
  SimulatedVolume volume_;
  std::unique_ptr<LogFiles> files_;
  bool busy_ = false;
  std::deque<DiskOrder> orders_, syncing_;  // waiting, and in the sync under way
};

}  // namespace mothwalk::simulate
