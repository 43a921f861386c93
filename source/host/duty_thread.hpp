// A thread for one duty: an event loop, a bounded ring for what other threads hand in, and the steady schedule.
#pragma once
#include <atomic>
#include <boost/asio.hpp>
#include <thread>
#include <unordered_map>

#include "host/ring.hpp"
#include "seams/seams.hpp"

namespace mothwalk {

class AsioSchedule : public Schedule {
 public:
  explicit AsioSchedule(boost::asio::io_context& context) : context_(context) {}
  Moment now() const override;
  Id after(Span span, Task task) override;
  void cancel(Id id) override;

 private:
  boost::asio::io_context& context_;
  std::unordered_map<Id, std::unique_ptr<boost::asio::steady_timer>> timers_;
  Id last_ = 0;
};

class SystemChance : public Chance {
 public:
  explicit SystemChance(std::uint64_t salt);
  std::uint64_t next() override;

 private:
  std::uint64_t state_;
};

class DutyThread {
 public:
  explicit DutyThread(std::string name) : name_(std::move(name)), schedule_(context_), chance_(hash_of(name_)), ring_(8192) {}
  ~DutyThread() { stop(); }
  boost::asio::io_context& context() { return context_; }
  AsioSchedule& schedule() { return schedule_; }
  Chance& chance() { return chance_; }
  bool offer(Task task);
  void start();
  void stop();
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::string name_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{context_.get_executor()};
  AsioSchedule schedule_;
  SystemChance chance_;
  Ring<Task> ring_;
  std::thread thread_;
  std::atomic<std::uint64_t> dropped_{0};
};

Moment steady_now();

}  // namespace mothwalk
