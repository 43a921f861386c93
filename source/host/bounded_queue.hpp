// A bounded queue between threads. A push fails when the queue is full, so that an overload becomes visible to the
// sender instead of growing the queue.
#pragma once
#include <mutex>
#include <vector>

#include "mothwalk.hpp"

namespace mothwalk {

// A multi-producer queue over a ring buffer of fixed capacity.
template <class T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : slots_(capacity) {}
  // Moves the value into the queue, unless the queue is full. Sets `needs_drain` if no drain is pending, so that the
  // caller has to schedule one.
  bool try_push(T& value, bool& needs_drain) {
    std::lock_guard lock(mutex_);
    if (count_ == slots_.size()) return false;
    needs_drain = count_ == 0 && !drain_pending_;
    if (needs_drain) drain_pending_ = true;
    slots_[(head_ + count_++) % slots_.size()] = std::move(value);
    return true;
  }
  // Moves all queued values to `out`. The next push asks for another drain.
  void drain(std::vector<T>& out) {
    std::lock_guard lock(mutex_);
    for (; count_ > 0; --count_, head_ = (head_ + 1) % slots_.size()) out.push_back(std::move(slots_[head_]));
    drain_pending_ = false;
  }

 private:
  std::mutex mutex_;
  std::vector<T> slots_;
  std::size_t head_ = 0, count_ = 0;
  bool drain_pending_ = false;
};

}  // namespace mothwalk
