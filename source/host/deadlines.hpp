// Deadlines of many connections on one timer. The timer is armed for the earliest deadline and armed again only after
// it has fired, so moving a deadline to a later time needs no system call.
#pragma once
#include "host/event_loop.hpp"

namespace mothwalk {

// Calls `on_expired` with the key of each deadline that passes. Each key has at most one deadline.
class Deadlines {
 public:
  Deadlines(boost::asio::io_context& context, std::function<void(std::uint64_t)> on_expired)
      : timer_(context), on_expired_(std::move(on_expired)) {}
  void set(std::uint64_t key, TimePoint at) {
    clear(key);
    deadline_by_key_[key] = at;
    queue_.emplace(at, key);
    if (!armed_ || at < *armed_) arm();
  }
  void clear(std::uint64_t key) {
    auto found = deadline_by_key_.find(key);
    if (found == deadline_by_key_.end()) return;
    queue_.erase({found->second, key});
    deadline_by_key_.erase(found);
  }

 private:
  void arm() {
    armed_.reset();
    if (queue_.empty()) return;
    armed_ = queue_.begin()->first;
    timer_.expires_after(std::max(Duration{}, *armed_ - steady_now()));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      const TimePoint now = steady_now();
      std::vector<std::uint64_t> keys;
      while (!queue_.empty() && queue_.begin()->first <= now) {
        keys.push_back(queue_.begin()->second);
        clear(keys.back());
      }
      for (const auto key : keys)
        if (!deadline_by_key_.contains(key)) on_expired_(key);
      arm();
    });
  }
  boost::asio::steady_timer timer_;
  std::function<void(std::uint64_t)> on_expired_;
  std::unordered_map<std::uint64_t, TimePoint> deadline_by_key_;
  std::set<std::pair<TimePoint, std::uint64_t>> queue_;
  std::optional<TimePoint> armed_;
};

}  // namespace mothwalk
