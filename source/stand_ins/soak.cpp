// Draws the faults of a soak test and injects them.
#include "stand_ins/soak.hpp"

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <thread>

#include "host/tcp_transport.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr std::size_t max_simultaneous_faults = 3;
constexpr Duration earliest_start = milliseconds(2000), final_quiet_time = milliseconds(3000);
constexpr Duration shortest_fault = milliseconds(500), longest_fault = milliseconds(5000);
constexpr Duration mean_start_interval = milliseconds(900);
const std::vector<std::string> daemon_fault_kinds{"kill", "stop", "freeze"};
const std::vector<std::string> runner_fault_kinds{"runner-kill", "dark", "slow", "truncate", "lost"};

bool targets_daemon(const InjectedFault& fault) {
  return std::find(daemon_fault_kinds.begin(), daemon_fault_kinds.end(), fault.kind) != daemon_fault_kinds.end();
}

Duration draw_duration(std::mt19937_64& random, Duration shortest, Duration longest) {
  return Duration(std::uniform_int_distribution<std::int64_t>(shortest.count(), longest.count())(random));
}

template <class T>
const T& draw_one(std::mt19937_64& random, const std::vector<T>& list) {
  return list[random() % list.size()];
}
}  // namespace

std::string InjectedFault::description() const {
  return kind + " " + std::to_string(target) + " from " + std::to_string(start.count() / 1000) + " ms for " +
         std::to_string(length.count() / 1000) + " ms";
}

std::vector<InjectedFault> draw_faults(const Shape& shape, std::uint64_t seed, Duration soak_length) {
  std::mt19937_64 random(seed);
  const auto disk_machines = static_cast<std::size_t>(
      std::count_if(shape.machines.begin(), shape.machines.end(), [](const auto& machine) { return machine.disk; }));
  const std::size_t tolerated_disk_faults = (disk_machines - 1) / 2;
  std::vector<InjectedFault> faults;
  for (Duration start = earliest_start; start < soak_length - final_quiet_time - shortest_fault;
       start += draw_duration(random, Duration{}, mean_start_interval * 2)) {
    InjectedFault fault;
    fault.kind = random() % 2 == 0 ? draw_one(random, daemon_fault_kinds) : draw_one(random, runner_fault_kinds);
    fault.target = random() % (targets_daemon(fault) ? shape.machines.size() : shape.runners.size());
    fault.start = start;
    fault.length =
        std::min(draw_duration(random, shortest_fault, longest_fault), soak_length - final_quiet_time - start);
    std::size_t simultaneous_faults = 0, disk_faults = 0;
    bool target_busy = false;
    for (const InjectedFault& earlier : faults) {
      if (earlier.start + earlier.length + milliseconds(500) < start) continue;
      ++simultaneous_faults;
      target_busy = target_busy || (targets_daemon(earlier) == targets_daemon(fault) && earlier.target == fault.target);
      disk_faults += targets_daemon(earlier) && shape.machines[earlier.target].disk;
    }
    const bool hits_disk = targets_daemon(fault) && shape.machines[fault.target].disk;
    if (target_busy || simultaneous_faults >= max_simultaneous_faults ||
        (hits_disk && disk_faults >= tolerated_disk_faults))
      continue;
    faults.push_back(fault);
  }
  return faults;
}

void Soak::set_runner_mode(std::size_t runner, const std::string& mode) {
  http_call(fleet_.shape.runners[runner].control_address, "POST", "/stand-in/mode/" + mode, "", milliseconds(1000));
}

void Soak::inject(const InjectedFault& fault) {
  if (fault.kind == "kill")
    fleet_.stop_machine(fault.target, SIGKILL);
  else if (fault.kind == "stop")
    fleet_.signal_machine(fault.target, SIGTERM);
  else if (fault.kind == "freeze")
    fleet_.signal_machine(fault.target, SIGSTOP);
  else if (fault.kind == "runner-kill")
    fleet_.stop_runner(fault.target, SIGKILL);
  else
    set_runner_mode(fault.target, fault.kind);
}

void Soak::clear(const InjectedFault& fault) {
  if (fault.kind == "kill" || fault.kind == "stop") {
    fleet_.stop_machine(fault.target, SIGKILL);
    fleet_.start_machine(fault.target);
  } else if (fault.kind == "freeze") {
    fleet_.signal_machine(fault.target, SIGCONT);
  } else if (fault.kind == "runner-kill") {
    fleet_.start_runner(fault.target, 0);
  } else {
    set_runner_mode(fault.target, "sound");
  }
}

void Soak::run() {
  struct Event {
    Duration start;
    bool starts;
    const InjectedFault* fault;
  };
  std::vector<Event> events;
  for (const InjectedFault& fault : faults_) {
    events.push_back({fault.start, true, &fault});
    events.push_back({fault.start + fault.length, false, &fault});
  }
  std::sort(events.begin(), events.end(),
            [](const Event& left, const Event& right) { return left.start < right.start; });
  const TimePoint soak_start = steady_now();
  for (const Event& event : events) {
    const Duration wait = event.start - (steady_now() - soak_start);
    if (wait > Duration{}) std::this_thread::sleep_for(wait);
    event.starts ? inject(*event.fault) : clear(*event.fault);
  }
}

std::uint64_t over_share_requests_in_logs(const Fleet& fleet) {
  const std::string log_text = " requests went over connections without a right.";
  std::uint64_t sum = 0;
  for (const auto& line : log_lines_containing(fleet, log_text)) {
    const auto count_end = line.find(log_text), count_begin = line.rfind(' ', count_end - 1) + 1;
    sum += std::stoull(line.substr(count_begin, count_end - count_begin));
  }
  return sum;
}

std::vector<std::string> log_lines_containing(const Fleet& fleet, const std::string& text) {
  std::vector<std::string> matching_lines;
  for (std::size_t index = 0; index < fleet.shape.machines.size(); ++index) {
    std::ifstream log(fleet.folder + "/daemon-" + std::to_string(index) + ".log");
    for (std::string line; std::getline(log, line);)
      if (line.find(text) != std::string::npos)
        matching_lines.push_back("daemon " + std::to_string(index) + ": " + line);
  }
  return matching_lines;
}

}  // namespace mothwalk
