// A fleet at a size: all duties of all its daemons in one process, on virtual time, without sockets or disks. What is
// counted (messages, bytes, spans of virtual time) is the same in every run; processor time and memory are measured.
#pragma once
#include "simulate/cluster.hpp"

namespace mothwalk::scale {

struct Size {
  std::size_t daemons = 20, control = 5, storage = 6, zones = 7;  // control and storage are among the daemons
  std::size_t runners = 600, kinds = 4, lanes = 12;
  double requests = 0;       // live requests a second, of all callers
  std::size_t changes = 10;  // of a lane, one after another
  Duration window = std::chrono::seconds(10);
  std::uint64_t seed = 1;
};

struct Times {                                   // of spans, in milliseconds
  std::int64_t median = 0, most = 0, worst = 0;  // most: 99 in 100
};

struct Role {
  double processor = 0, bytes_out = 0, bytes_in = 0;  // a daemon and second: microseconds, bytes
};

struct Figures {
  Size size;
  std::map<std::string, simulate::World::Traffic> messages;  // in the window, of all daemons, by message
  double seconds = 0;                                        // of the window
  Role edge, control, storage;
  double memory = 0;                             // bytes of the process for a daemon
  Times change;                                  // from a change's acknowledgement until a daemon has it
  std::int64_t lost_edge = 0, lost_control = 0;  // until all others know that the daemon is gone
  double requests_answered = 0;                  // a second
  std::vector<std::string> broken;               // what the run could not do
};

// Whether a size fits this machine and the run: the fault names the bound and the remedy.
Result<Success> check_size(const Size& size, std::uint64_t memory);
Figures run(const Size& size);

}  // namespace mothwalk::scale
