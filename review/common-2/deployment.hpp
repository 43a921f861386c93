// A small deployment on loopback addresses: the daemons of the deploy file as processes of their own, each with a
// settings file as the platform writes it, and a stand-in of the platform that serves the list of runners. Every
// machine has a loopback address of its own; ports are alike on all of them.
#pragma once
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

#include "http.hpp"

namespace review {

// The case's record of what was sent, answered and run: one line an event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc), start_(Clock::now()) {}
  void line(const std::string& text) {
    std::lock_guard lock(mutex_);
    const auto now = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(now) / 1000);
    file_ << time << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

// An entry of the platform's list of runners.
struct ListedRunner {
  std::string id, pool, zone;
  Endpoint endpoint;
  int slots = 4;
};

struct Machine {
  std::string name, zone, ip, role, folder, settings;
  bool storage = false;
  pid_t process = 0;
};

class Deployment {
 public:
  // One edge machine with a disk and one storage machine in each of three zones.
  Deployment(Record& record, int zones = 3) : record_(record) {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    std::random_device random;
    network_ = 40 + static_cast<int>(random() % 160);
    for (int attempt = 0; attempt < 50; ++attempt) {
      port_ = 20000 + static_cast<int>(random() % 10000);
      if (ports_free()) break;
    }
    for (int zone = 0; zone < zones; ++zone)
      for (const bool storage : {false, true}) {
        Machine machine;
        machine.storage = storage;
        machine.zone = std::string("hall-") + static_cast<char>('a' + zone);
        machine.role = storage ? "storage" : "edge";
        machine.name = machine.role + "-" + machine.zone + "-1";
        machine.ip = ip(zone + 1, storage ? 20 : 10);
        machine.folder = folder_ + "/" + machine.name;
        machine.settings = folder_ + "/" + machine.name + ".toml";
        machines_.push_back(machine);
      }
  }
  ~Deployment() {
    for (auto& machine : machines_) end(machine, SIGKILL);
    list_server_.stop();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  std::string ip(int zone, int host) const {
    return "127." + std::to_string(network_) + "." + std::to_string(zone) + "." + std::to_string(host);
  }
  Endpoint clients_of(const Machine& machine) const { return {machine.ip, port_}; }
  Endpoint readiness_of(const Machine& machine) const { return {machine.ip, port_ + 1}; }
  Endpoint control_of(const Machine& machine) const { return {machine.ip, port_ + 2}; }
  Endpoint runner_endpoint(int zone, int number) const { return {ip(zone, 100 + number), port_ + 40}; }
  std::vector<Machine>& machines() { return machines_; }
  std::vector<Machine*> edges() {
    std::vector<Machine*> found;
    for (auto& machine : machines_)
      if (!machine.storage) found.push_back(&machine);
    return found;
  }
  std::vector<Machine*> storages() {
    std::vector<Machine*> found;
    for (auto& machine : machines_)
      if (machine.storage) found.push_back(&machine);
    return found;
  }
  void list_runner(ListedRunner runner) {
    std::lock_guard lock(mutex_);
    runners_.push_back(std::move(runner));
  }

  // Starts the platform's list and all daemons.
  bool start() {
    if (!list_server_.start(list_endpoint(), [this](Connection& connection, std::uint64_t) { serve_list(connection); }))
      return false;
    for (auto& machine : machines_) {
      std::filesystem::create_directories(machine.folder);
      write_settings(machine, true);
      run(machine);
    }
    return true;
  }

  void run(Machine& machine) {
    record_.line("start " + machine.name);
    const pid_t child = ::fork();
    if (child != 0) {
      machine.process = child;
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((machine.settings + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    const char* path = std::getenv("PATH");
    const std::string settings = "MOTHWALK_NODE_FILE=" + machine.settings,
                      search = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    std::string program = "target/mothwalk-daemon";
    char* arguments[] = {program.data(), nullptr};
    char* variables[] = {const_cast<char*>(settings.c_str()), const_cast<char*>(search.c_str()), nullptr};
    ::execve(program.c_str(), arguments, variables);
    ::_exit(127);
  }

  void signal(const Machine& machine, int number) {
    record_.line("signal " + std::to_string(number) + " to " + machine.name);
    if (machine.process > 0) ::kill(machine.process, number);
  }

  // Ends a process and waits for it.
  void end(Machine& machine, int number) {
    if (machine.process <= 0) return;
    ::kill(machine.process, SIGCONT);
    ::kill(machine.process, number);
    ::waitpid(machine.process, nullptr, 0);
    machine.process = 0;
  }

  // Whether the process has ended by itself.
  bool ended(Machine& machine) {
    if (machine.process <= 0 || ::waitpid(machine.process, nullptr, WNOHANG) != machine.process) return false;
    machine.process = 0;
    return true;
  }

  void write_settings(const Machine& machine, bool first_start) {
    std::string text =
        "node-name = \"" + machine.name + "\"\nrole = \"" + machine.role + "\"\nmachine-class = \"" + machine.role +
        "\"\nserved-planes = " + (machine.storage ? "[\"storage\"]" : "[\"edge\",\"control\"]") + "\nip-address = \"" +
        machine.ip + "\"\nzone = \"" + machine.zone + "\"\nregion = \"brno\"\ninternal-port-range = [" +
        std::to_string(port_ + 5) + "," + std::to_string(port_ + 20) + "]\nseed-list = [";
    std::size_t seeds = 0;
    for (const auto& other : machines_)
      if (!other.storage && seeds++ < 3) text += (seeds > 1 ? ",\"" : "\"") + control_of(other).text() + "\"";
    text += std::string("]\nbootstrap = ") + (first_start ? "true" : "false") +
            "\nquorum-member = true\ndata-dir = \"" + machine.folder +
            "\"\ndiscovery-source = \"cloud_api\"\nentry-type = \"virtual_ip\"\nheartbeat-ms = 1200\n"
            "enforced-contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\","
            "\"places\"]\n[zones]\n";
    std::string last;
    for (const auto& other : machines_)
      if (other.zone != last) text += (last = other.zone) + " = \"brno\"\n";
    text += "[bind-addresses]\n";
    if (!machine.storage)
      text += "data-plane = \"" + clients_of(machine).text() + "\"\nreadiness = \"" + readiness_of(machine).text() +
              "\"\ncontrol-plane = \"" + control_of(machine).text() + "\"\n";
    text += "[limits]\ncpu-share = 0.41\ncore-count = 1\nmemory-mb = 320\nmax-fds = 4100\nlink-mbps = 1000.0\n";
    text += machine.storage ? "disk-mb = 660\n" : "disk-mb = 64\n";
    text +=
        "[fault-tolerance]\nmachine-loss = 1\nzones = 1\nregion-loss = 0\n[timing-bounds]\nseed-lag-s = 3\n"
        "address-reuse-s = 2\ncontact-ms = 3000\nack-timeout-ms = 4000\nsync-time-s = 5.3\ndrain-ms = 3000\n"
        "grace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrevert-slack-ms = 250\nskew-max-ms = 5000\n"
        "warmup-overrun = 1.5\nwarmup-slack = 5\nevacuate-ms = 5000\nrecovery-s = 12\npass-interval-ms = 120\n"
        "finish-s = 10\nstatus-ttl-s = 120\ncancel-ms = 3000\nsettle-ms = 1000\nquota-overrun = 0.1\n[cloud-api]\n"
        "address = \"" +
        list_endpoint().text() + "\"\nrate-per-s = 40.0\nduty-list = []\nmax-lag-ms = 800\n";
    std::ofstream(machine.settings, std::ios::trunc) << text;
  }

  // Sends an operator's order until one daemon acknowledges it. Returns false at the deadline.
  bool order(const std::string& target, const std::string& base, const std::string& body, milliseconds limit) {
    const auto deadline = Clock::now() + limit;
    while (Clock::now() < deadline)
      for (const Machine* edge : edges()) {
        const Message reply =
            call(control_of(*edge), "POST", target,
                 {{"Host", control_of(*edge).text()}, {"Base-Version", base}, {"Content-Type", "application/json"}},
                 body, milliseconds(1000));
        if (reply.status() == 200) {
          record_.line("the operator's " + target + " is acknowledged by " + edge->name);
          return true;
        }
        std::this_thread::sleep_for(milliseconds(100));
      }
    return false;
  }

  // Waits until all edge machines are ready.
  bool wait_ready(milliseconds limit) {
    const auto deadline = Clock::now() + limit;
    for (const Machine* edge : edges())
      while (call(readiness_of(*edge), "GET", "/v1/readiness", {{"Host", readiness_of(*edge).text()}}, "",
                  milliseconds(500))
                 .status() != 200) {
        if (Clock::now() > deadline) return false;
        std::this_thread::sleep_for(milliseconds(100));
      }
    record_.line("all edge machines are ready");
    return true;
  }

  Record& record() { return record_; }

 private:
  Endpoint list_endpoint() const { return {ip(9, 4), port_ + 41}; }

  bool ports_free() const {
    for (int port = port_; port < port_ + 42; ++port) {
      const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = socket_address({"0.0.0.0", port});
      const bool is_free = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
      ::close(descriptor);
      if (!is_free) return false;
    }
    return true;
  }

  void serve_list(Connection& connection) {
    while (!list_server_.stopping()) {
      const Message request = connection.read(Clock::now() + milliseconds(200), false);
      if (!request.complete) {
        if (connection.peer_closed()) return;
        continue;
      }
      std::string body = "{\"instance-list\":[";
      {
        std::lock_guard lock(mutex_);
        for (std::size_t index = 0; index < runners_.size(); ++index) {
          const ListedRunner& each = runners_[index];
          body += std::string(index > 0 ? "," : "") + "{\"pool\":\"" + each.pool + "\",\"address\":\"" +
                  each.endpoint.text() + "\",\"zone\":\"" + each.zone +
                  "\",\"config-revision\":\"v1\",\"slot-count\":" + std::to_string(each.slots) +
                  ",\"oper-state\":\"in_service\",\"warmup-left-ms\":0,\"instance-id\":\"" + each.id + "\"}";
        }
      }
      body += "],\"next-token\":null}";
      if (!connection.send(message_text("HTTP/1.1 200 OK", {{"Content-Type", "application/json"}}, body))) return;
    }
  }

  Record& record_;
  std::string folder_;
  int network_ = 0, port_ = 0;
  std::vector<Machine> machines_;
  Server list_server_;
  std::mutex mutex_;
  std::vector<ListedRunner> runners_;
};

// Ends the case when it has run too long: the daemons end with this process.
inline void limit_run_time(unsigned seconds) {
  ::signal(SIGALRM, [](int) { ::_exit(2); });
  ::alarm(seconds);
}

inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
