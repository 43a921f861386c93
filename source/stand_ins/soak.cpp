// Drawing and playing of a soak's troubles.
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
constexpr std::size_t most_at_once = 3;
constexpr Duration first_at = milliseconds(2000), quiet_end = milliseconds(3000);
constexpr Duration shortest = milliseconds(500), longest = milliseconds(5000);
constexpr Duration mean_gap = milliseconds(900);
const std::vector<std::string> daemon_kinds{"kill", "stop", "freeze"};
const std::vector<std::string> runner_kinds{"runner-kill", "dark", "slow", "truncate", "lost"};

bool of_daemon(const Trouble& trouble) {
  return std::find(daemon_kinds.begin(), daemon_kinds.end(), trouble.kind) != daemon_kinds.end();
}

Duration between(std::mt19937_64& random, Duration least, Duration most) {
  return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random));
}

template <class T>
const T& pick(std::mt19937_64& random, const std::vector<T>& list) {
  return list[random() % list.size()];
}
}  // namespace

std::string Trouble::text() const {
  return kind + " " + std::to_string(target) + " from " + std::to_string(at.count() / 1000) + " ms for " +
         std::to_string(length.count() / 1000) + " ms";
}

std::vector<Trouble> draw_troubles(const Shape& shape, std::uint64_t seed, Duration length) {
  std::mt19937_64 random(seed);
  const auto disks = static_cast<std::size_t>(
      std::count_if(shape.machines.begin(), shape.machines.end(), [](const auto& machine) { return machine.disk; }));
  const std::size_t bears = (disks - 1) / 2;
  std::vector<Trouble> troubles;
  for (Duration at = first_at; at < length - quiet_end - shortest; at += between(random, Duration{}, mean_gap * 2)) {
    Trouble trouble;
    trouble.kind = random() % 2 == 0 ? pick(random, daemon_kinds) : pick(random, runner_kinds);
    trouble.target = random() % (of_daemon(trouble) ? shape.machines.size() : shape.runners.size());
    trouble.at = at;
    trouble.length = std::min(between(random, shortest, longest), length - quiet_end - at);
    std::size_t at_once = 0, disks_down = 0;
    bool taken = false;
    for (const Trouble& other : troubles) {
      if (other.at + other.length + milliseconds(500) < at) continue;
      ++at_once;
      taken = taken || (of_daemon(other) == of_daemon(trouble) && other.target == trouble.target);
      disks_down += of_daemon(other) && shape.machines[other.target].disk;
    }
    const bool disk = of_daemon(trouble) && shape.machines[trouble.target].disk;
    if (taken || at_once >= most_at_once || (disk && disks_down >= bears)) continue;
    troubles.push_back(trouble);
  }
  return troubles;
}

void Soak::set_mode(std::size_t runner, const std::string& mode) {
  http_call(fleet_.shape.runners[runner].control, "POST", "/stand-in/mode/" + mode, "", milliseconds(1000));
}

void Soak::begin(const Trouble& trouble) {
  if (trouble.kind == "kill")
    fleet_.end_machine(trouble.target, SIGKILL);
  else if (trouble.kind == "stop")
    fleet_.signal_machine(trouble.target, SIGTERM);
  else if (trouble.kind == "freeze")
    fleet_.signal_machine(trouble.target, SIGSTOP);
  else if (trouble.kind == "runner-kill")
    fleet_.end_runner(trouble.target, SIGKILL);
  else
    set_mode(trouble.target, trouble.kind);
}

void Soak::end(const Trouble& trouble) {
  if (trouble.kind == "kill" || trouble.kind == "stop") {
    fleet_.end_machine(trouble.target, SIGKILL);
    fleet_.start_machine(trouble.target);
  } else if (trouble.kind == "freeze") {
    fleet_.signal_machine(trouble.target, SIGCONT);
  } else if (trouble.kind == "runner-kill") {
    fleet_.start_runner(trouble.target, 0);
  } else {
    set_mode(trouble.target, "sound");
  }
}

void Soak::play() {
  struct Event {
    Duration at;
    bool begins;
    const Trouble* trouble;
  };
  std::vector<Event> events;
  for (const Trouble& trouble : troubles_) {
    events.push_back({trouble.at, true, &trouble});
    events.push_back({trouble.at + trouble.length, false, &trouble});
  }
  std::sort(events.begin(), events.end(), [](const Event& left, const Event& right) { return left.at < right.at; });
  const TimePoint began = steady_now();
  for (const Event& event : events) {
    const Duration ahead = event.at - (steady_now() - began);
    if (ahead > Duration{}) std::this_thread::sleep_for(ahead);
    event.begins ? begin(*event.trouble) : end(*event.trouble);
  }
}

std::uint64_t strays_in_logs(const Fleet& fleet) {
  const std::string told = " requests went over connections without a right.";
  std::uint64_t sum = 0;
  for (const auto& line : lines_in_logs(fleet, told)) {
    const auto end = line.find(told), begin = line.rfind(' ', end - 1) + 1;
    sum += std::stoull(line.substr(begin, end - begin));
  }
  return sum;
}

std::vector<std::string> lines_in_logs(const Fleet& fleet, const std::string& text) {
  std::vector<std::string> found;
  for (std::size_t index = 0; index < fleet.shape.machines.size(); ++index) {
    std::ifstream log(fleet.folder + "/daemon-" + std::to_string(index) + ".log");
    for (std::string line; std::getline(log, line);)
      if (line.find(text) != std::string::npos) found.push_back("daemon " + std::to_string(index) + ": " + line);
  }
  return found;
}

}  // namespace mothwalk
