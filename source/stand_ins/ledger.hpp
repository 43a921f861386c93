// The ledger of a stand-in program: a file of JSON objects, one per line. Each record is written at once and has the
// steady clock's time in milliseconds, which is the same for all processes on one machine.
#pragma once
#include <fcntl.h>
#include <unistd.h>

#include "coding/json.hpp"
#include "host/event_loop.hpp"

namespace mothwalk {

// Appends records to a ledger file. With an empty path nothing is written.
class Ledger {
 public:
  explicit Ledger(const std::string& path)
      : descriptor_(path.empty() ? -1 : ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {}
  ~Ledger() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }
  void write(json::object record) {
    if (descriptor_ < 0) return;
    record["at"] = milliseconds_now();
    const std::string text = json::serialize(record) + "\n";
    if (::write(descriptor_, text.data(), text.size()) < 0) std::abort();
  }
  static std::int64_t milliseconds_now() { return steady_now().microseconds / 1000; }

 private:
  int descriptor_;
};

}  // namespace mothwalk
