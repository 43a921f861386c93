// A bounded ring between threads: offers fail when it is full, so that pressure shows instead of growing a queue.
#pragma once
#include <mutex>
#include <vector>

#include "mothwalk.hpp"

namespace mothwalk {

template <class T>
class Ring {
 public:
  explicit Ring(std::size_t capacity) : places_(capacity) {}
  // Tells whether the ring was empty before, in `first`.
  bool offer(T& value, bool& first) {
    std::lock_guard lock(mutex_);
    if (count_ == places_.size()) return false;
    first = count_ == 0 && !drain_due_;
    if (first) drain_due_ = true;
    places_[(head_ + count_++) % places_.size()] = std::move(value);
    return true;
  }
  // Takes all that is there; the next offer asks for a drain again.
  void drain(std::vector<T>& out) {
    std::lock_guard lock(mutex_);
    for (; count_ > 0; --count_, head_ = (head_ + 1) % places_.size()) out.push_back(std::move(places_[head_]));
    drain_due_ = false;
  }

 private:
  std::mutex mutex_;
  std::vector<T> places_;
  std::size_t head_ = 0, count_ = 0;
  bool drain_due_ = false;
};

}  // namespace mothwalk
