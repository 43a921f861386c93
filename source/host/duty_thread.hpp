// An event loop for one duty, a bounded ring for what others hand in, and the steady timers. The loop has a thread of
// its own, or is one that several duties share: then nothing wakes another thread, which is cheaper on a small machine.
#pragma once
#include <atomic>
#include <boost/asio.hpp>
#include <thread>
#include <unordered_map>

#include "host/ring.hpp"
#include "interfaces/interfaces.hpp"

namespace mothwalk {

class AsioTimers : public Timers {
 public:
  explicit AsioTimers(boost::asio::io_context& context) : context_(context) {}
  TimePoint now() const override;
  Id after(Duration span, Task task) override;
  void cancel(Id id) override;

 private:
  boost::asio::io_context& context_;
  std::unordered_map<Id, std::unique_ptr<boost::asio::steady_timer>> timers_;
  Id last_ = 0;
};

class SystemRandom : public RandomSource {
 public:
  explicit SystemRandom(std::uint64_t salt);
  std::uint64_t next() override;

 private:
  std::uint64_t state_;
};

class DutyThread {
 public:
  // Runs on the shared loop where one is given.
  explicit DutyThread(std::string name, boost::asio::io_context* shared = nullptr)
      : name_(std::move(name)),
        own_(shared == nullptr ? std::make_unique<boost::asio::io_context>(1) : nullptr),
        context_(shared == nullptr ? *own_ : *shared),
        timers_(context_),
        random_(hash_of(name_)),
        ring_(8192) {
    if (own_) work_.emplace(own_->get_executor());
  }
  ~DutyThread() { stop(); }
  boost::asio::io_context& context() { return context_; }
  AsioTimers& timers() { return timers_; }
  RandomSource& random() { return random_; }
  bool offer(Task task);
  void start();
  void stop();
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::string name_;
  std::unique_ptr<boost::asio::io_context> own_;
  boost::asio::io_context& context_;
  std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work_;
  AsioTimers timers_;
  SystemRandom random_;
  Ring<Task> ring_;
  std::thread thread_;
  std::atomic<std::uint64_t> dropped_{0};
};

TimePoint steady_now();

}  // namespace mothwalk
