// A fleet over loopback TCP: real mothwalk-daemon processes, and hollow daemons (the product's own duties without
// callers, runners or disks) that share this process.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk::scale {

struct LoopbackSize {
  std::size_t control = 5, real = 5, hollow = 20;  // control: of the real ones, those with data folders
  std::size_t runners = 600, kinds = 4, lanes = 12, changes = 10, seconds = 10, port = 21000;
  std::string program;  // mothwalk-daemon
};

Result<Success> check_size(const LoopbackSize& size, std::uint64_t memory);
// Prints its figures; gives what went wrong.
std::vector<std::string> run(const LoopbackSize& size);

}  // namespace mothwalk::scale
