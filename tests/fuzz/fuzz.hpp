// Helpers of the fuzz targets: a reader of inputs, and a check that aborts the run.
#pragma once
#include <cstdint>
#include <cstdio>
#include <cstdlib>

#include "mothwalk.hpp"

namespace mothwalk::fuzz {

// Aborts the run if a property does not hold, so that libFuzzer keeps the input.
inline void expect(bool holds, const char* property) {
  if (holds) return;
  std::fprintf(stderr, "does not hold: %s\n", property);
  std::abort();
}

// Reads bytes from the front of an input. At the end of the input it returns zeros and empty views.
class Input {
 public:
  explicit Input(StringView bytes) : bytes_(bytes) {}
  bool empty() const { return bytes_.empty(); }
  std::size_t size() const { return bytes_.size(); }
  std::uint8_t byte() {
    const StringView one = take(1);
    return one.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(one[0]);
  }
  std::uint16_t uint16() {
    const unsigned high = byte();
    return static_cast<std::uint16_t>(high << 8 | byte());
  }
  StringView take(std::size_t count) {
    const StringView taken = bytes_.substr(0, count);
    bytes_.remove_prefix(taken.size());
    return taken;
  }
  StringView rest() { return take(bytes_.size()); }

 private:
  StringView bytes_;
};

// Runs the target on one input. Each target defines this function.
void run(StringView bytes);

}  // namespace mothwalk::fuzz
