// Ledgers of the stand-ins: one JSON object a line, written through at once, with the steady time in milliseconds that
// all processes of one machine share.
#pragma once
#include <fcntl.h>
#include <unistd.h>

#include "coding/json.hpp"
#include "host/event_loop.hpp"

namespace mothwalk {

class Ledger {
 public:
  explicit Ledger(const std::string& path)
      : file_(path.empty() ? -1 : ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {}
  ~Ledger() {
    if (file_ >= 0) ::close(file_);
  }
  void write(json::object line) {
    if (file_ < 0) return;
    line["at"] = milliseconds_now();
    const std::string text = json::serialize(line) + "\n";
    if (::write(file_, text.data(), text.size()) < 0) std::abort();
  }
  static std::int64_t milliseconds_now() { return steady_now().microseconds / 1000; }

 private:
  int file_;
};

}  // namespace mothwalk
