// Deadlines of many connections on one timer: it is armed for the earliest and looked at again when that has passed, so
// that a deadline which moves on costs no system call.
#pragma once
#include "host/duty_thread.hpp"

namespace mothwalk {

class Deadlines {
 public:
  Deadlines(boost::asio::io_context& context, std::function<void(std::uint64_t)> due)
      : timer_(context), due_(std::move(due)) {}
  void set(std::uint64_t key, TimePoint at) {
    clear(key);
    moments_[key] = at;
    order_.emplace(at, key);
    if (!armed_ || at < *armed_) arm();
  }
  void clear(std::uint64_t key) {
    auto found = moments_.find(key);
    if (found == moments_.end()) return;
    order_.erase({found->second, key});
    moments_.erase(found);
  }

 private:
  void arm() {
    armed_.reset();
    if (order_.empty()) return;
    armed_ = order_.begin()->first;
    timer_.expires_after(std::max(Duration{}, *armed_ - steady_now()));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      const TimePoint now = steady_now();
      std::vector<std::uint64_t> keys;
      while (!order_.empty() && order_.begin()->first <= now) {
        keys.push_back(order_.begin()->second);
        clear(keys.back());
      }
      for (const auto key : keys)
        if (!moments_.contains(key)) due_(key);
      arm();
    });
  }
  boost::asio::steady_timer timer_;
  std::function<void(std::uint64_t)> due_;
  std::unordered_map<std::uint64_t, TimePoint> moments_;
  std::set<std::pair<TimePoint, std::uint64_t>> order_;
  std::optional<TimePoint> armed_;
};

}  // namespace mothwalk
