// The loop of events, the network's delays and cuts, schedules and disks.
#include "simulate/world.hpp"

#include <algorithm>

namespace mothwalk::simulate {

void World::at(Span span, LifePointer life, Task task) {
  queue_.push(Event{now_ + std::max(span, Span{0}), ++order_, std::move(life), std::make_shared<Task>(std::move(task))});
}

void World::run_until(Moment end) {
  while (!queue_.empty() && queue_.top().time <= end) {
    Event event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.time);
    if (event.life && !event.life->alive) continue;
    if (event.life && event.life->frozen) {
      event.life->deferred.emplace_back(event.order, std::move(*event.task));
      continue;
    }
    ++events;
    (*event.task)();
    event.task.reset();
    graveyard.clear();
  }
  now_ = std::max(now_, end);
}

void World::wake(const LifePointer& life) {
  life->frozen = false;
  auto tasks = std::move(life->deferred);
  life->deferred.clear();
  std::sort(tasks.begin(), tasks.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
  for (auto& [order, task] : tasks) at(Span{0}, life, std::move(task));
}

Span World::delay(const std::string& from_hall, const std::string& to_hall) {
  const std::int64_t base = from_hall == to_hall ? 80 : 900;
  // Now and then a packet is sent again.
  const std::int64_t slow = chance.below(400) == 0 ? 20000 : 0;
  return Span(base + static_cast<std::int64_t>(chance.below(static_cast<std::size_t>(base))) + slow);
}

bool World::is_cut(const std::string& from, const std::string& from_hall, const std::string& to, const std::string& to_hall) const {
  if (cuts_.empty()) return false;
  for (const auto& sender : {from, from_hall, std::string("*")})
    for (const auto& taker : {to, to_hall, std::string("*")})
      if (cuts_.contains({sender, taker})) return true;
  return false;
}

void World::write(json::object line) {
  line["at"] = milliseconds();
  ledger_.push_back(std::move(line));
}

void World::history(const std::string& line) {
  if (story_.size() < 2000) story_.push_back(std::to_string(milliseconds()) + " ms  " + line);
}

void World::point(const std::string& place) {
  ++points;
  if (!armed || points != *armed) return;
  armed.reset();
  // The strike comes as an event of its own, so that the one who passed the point is off the stack.
  after(Span{0}, [this, place] { strike(place); });
}

Schedule::Id SimulatedSchedule::after(Span span, Task task) {
  const Id id = ++last_;
  live_->insert(id);
  world_.at(span, life_, [live = live_, id, task = std::move(task)] {
    if (live->erase(id) > 0) task();
  });
  return id;
}

void SimulatedDisk::order(bool whole, Bytes bytes, std::function<void(bool)> done) {
  world_.point(place_);
  // One queue: each order ends after those before it, and a stall holds all of them up.
  busy_until_ = std::max(busy_until_, world_.now()) + Span(sync_time.count() / 2 + static_cast<std::int64_t>(world_.chance.below(static_cast<std::size_t>(sync_time.count()))));
  orders_.push_back(Order{life_, whole, std::move(bytes), std::move(done)});
  world_.at(busy_until_ - world_.now(), life_, [this] { complete(); });
}

void SimulatedDisk::complete() {
  if (orders_.empty()) return;
  if (stalled) {
    world_.at(std::chrono::milliseconds(50), life_, [this] { complete(); });
    return;
  }
  Order order = std::move(orders_.front());
  orders_.pop_front();
  if (failing) return order.done(false);
  if (order.whole) synced_ = std::move(order.bytes);
  else synced_ += order.bytes;
  world_.point(place_);
  order.done(true);
}

void SimulatedDisk::tear() {
  if (orders_.empty() || orders_.front().whole || orders_.front().bytes.empty() || world_.chance.uniform() > torn) return;
  synced_ += orders_.front().bytes.substr(0, world_.chance.below(orders_.front().bytes.size()));
}

void SimulatedDisk::damage() {
  if (synced_.size() > 200) synced_[synced_.size() / 3] = static_cast<char>(synced_[synced_.size() / 3] ^ 0x5a);
}

}  // namespace mothwalk::simulate
