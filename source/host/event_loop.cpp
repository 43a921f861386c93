// Time is read from CLOCK_BOOTTIME, which counts the time during which the machine is suspended. A lease therefore
// cannot stay valid past its end because the machine was suspended.
#include "host/event_loop.hpp"

#include <pthread.h>
#include <time.h>

#include <random>

namespace mothwalk {

TimePoint steady_now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{static_cast<std::int64_t>(time.tv_sec) * 1000000 + time.tv_nsec / 1000};
}

TimePoint AsioTimers::now() const {
  return steady_now();
}

Timers::Id AsioTimers::after(Duration delay, Task task) {
  const Id id = ++last_;
  auto timer = std::make_unique<boost::asio::steady_timer>(context_, delay);
  timer->async_wait([this, id, task = std::move(task)](const boost::system::error_code& error) {
    if (error || timers_.erase(id) == 0) return;
    task();
  });
  timers_[id] = std::move(timer);
  return id;
}

void AsioTimers::cancel(Id id) {
  timers_.erase(id);
}

SystemRandom::SystemRandom(std::uint64_t salt) {
  std::random_device device;
  state_ = (static_cast<std::uint64_t>(device()) << 32 | device()) ^ salt;
}

std::uint64_t SystemRandom::next() {
  state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

bool EventLoop::try_post(Task task) {
  bool needs_drain = false;
  if (!queue_.try_push(task, needs_drain)) {
    ++dropped_;
    return false;
  }
  if (needs_drain)
    boost::asio::post(context_, [this] {
      std::vector<Task> tasks;
      queue_.drain(tasks);
      for (auto& queued_task : tasks) queued_task();
    });
  return true;
}

void EventLoop::start() {
  if (!own_context_) return;
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
    context_.run();
  });
}

void EventLoop::stop() {
  if (!own_context_) return;
  own_context_->stop();
  if (thread_.joinable()) thread_.join();
}

}  // namespace mothwalk
