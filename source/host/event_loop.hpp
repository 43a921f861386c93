// The event loop of one component, with a bounded queue for tasks from other threads, steady timers and a random
// source. The loop has a thread of its own, or is shared by several components: then no task has to wake another
// thread, which costs less processor time on a small machine.
#pragma once
#include <atomic>
#include <boost/asio.hpp>
#include <thread>
#include <unordered_map>

#include "host/bounded_queue.hpp"
#include "interfaces/interfaces.hpp"

namespace mothwalk {

// Timers on an Asio event loop. Time includes suspension of the machine, see steady_now().
class AsioTimers : public Timers {
 public:
  explicit AsioTimers(boost::asio::io_context& context) : context_(context) {}
  TimePoint now() const override;
  Id after(Duration delay, Task task) override;
  void cancel(Id id) override;

 private:
  boost::asio::io_context& context_;
  std::unordered_map<Id, std::unique_ptr<boost::asio::steady_timer>> timers_;
  Id last_ = 0;
};

// Random numbers seeded by the operating system's random device and a salt.
class SystemRandom : public RandomSource {
 public:
  explicit SystemRandom(std::uint64_t salt);
  std::uint64_t next() override;

 private:
  std::uint64_t state_;
};

// The event loop of one component. Tasks from other threads pass through a bounded queue.
class EventLoop {
 public:
  // Without a shared context the loop has a context and a thread of its own.
  explicit EventLoop(std::string name, boost::asio::io_context* shared = nullptr)
      : name_(std::move(name)),
        own_context_(shared == nullptr ? std::make_unique<boost::asio::io_context>(1) : nullptr),
        context_(shared == nullptr ? *own_context_ : *shared),
        timers_(context_),
        random_(hash_of(name_)),
        queue_(8192) {
    if (own_context_) work_guard_.emplace(own_context_->get_executor());
  }
  ~EventLoop() { stop(); }
  boost::asio::io_context& context() { return context_; }
  AsioTimers& timers() { return timers_; }
  RandomSource& random() { return random_; }
  // Queues a task from any thread. Returns false, and counts the task as dropped, if the queue is full.
  bool try_post(Task task);
  void start();
  void stop();
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::string name_;
  std::unique_ptr<boost::asio::io_context> own_context_;
  boost::asio::io_context& context_;
  std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work_guard_;
  AsioTimers timers_;
  SystemRandom random_;
  BoundedQueue<Task> queue_;
  std::thread thread_;
  std::atomic<std::uint64_t> dropped_{0};
};

// The time since boot, including the time during which the machine was suspended.
TimePoint steady_now();

}  // namespace mothwalk
