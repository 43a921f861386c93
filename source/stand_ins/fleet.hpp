// A fleet on one machine: daemons, runners and load generators as real processes on the loopback interface, and the
// calls of an operator to them. stand-in-platform is the only program that starts other processes.
#pragma once
#include <sys/types.h>

#include "coding/json.hpp"
#include "configuration/resources.hpp"
#include "host/http_client.hpp"
#include "stand_ins/ledger.hpp"
#include "stand_ins/shapes.hpp"

namespace mothwalk {

// Starts and stops the processes of a shape. A "machine" is one daemon with its data folder. The destructor kills all
// processes that still run.
class Fleet {
 public:
  Fleet(Shape shape, std::string programs_folder, std::string folder);
  ~Fleet();
  Shape shape;
  std::string folder;

  void start_all();
  void start_machine(std::size_t index);
  void start_runner(std::size_t index, double cold_milliseconds);
  // These two send the signal and wait until the process has ended.
  void stop_machine(std::size_t index, int signal);
  void stop_runner(std::size_t index, int signal);
  void delete_data_folder(std::size_t index);
  void signal_machine(std::size_t index, int signal);
  // Sends SIGTERM, waits until the daemon has drained and ended, and returns its exit code.
  int drain_machine(std::size_t index);
  // Starts a program of the programs folder and returns its process id, or 0 on failure.
  pid_t start_process(const std::vector<std::string>& command_line);
  // Returns the exit code, or 128 plus the number of the signal that ended the process.
  int wait_for_exit(pid_t pid);

  // Polls until the condition holds. Returns false if it does not hold before the timeout, which is long enough that
  // slow machines do not fail the tests.
  static bool wait_until(std::function<bool()> condition, Duration timeout = std::chrono::seconds(60));
  // Sends a GET request to the operators' API of a machine. Returns the body if the status is 200.
  std::optional<json::value> get_json(std::size_t machine, const std::string& target);
  // Creates or updates a resource at the version that the machine reports. Returns true when the change is
  // acknowledged.
  bool apply(std::size_t machine, const std::string& type, const std::string& name, const json::object& spec);
  // Returns whether the daemon reports that it serves and knows at least one voter.
  bool is_serving(std::size_t machine);
  // Checks only the machines whose daemon runs.
  bool all_machines_serve();
  // Returns whether this machine reports that all members have applied the resource.
  bool applied_by_all(std::size_t machine, const std::string& type, const std::string& name);
  std::optional<Circle> read_circle(std::size_t machine, const std::string& kind);
  std::string runner_ledger() const { return folder + "/runners.ledger"; }
  std::string platform_ledger() const { return folder + "/platform.ledger"; }
  std::string caller_ledger() const { return folder + "/callers.ledger"; }
  // Writes the plan file for stand-in-caller and returns its path. `max_requests` limits each load; zero means no
  // limit.
  std::string write_load_plan(Duration duration, Duration settling_time, std::uint32_t max_requests);
  // Applies all resources and runners of the shape, each through another machine.
  bool apply_configuration();

 private:
  std::string programs_folder_;
  std::set<pid_t> child_processes_;
};

}  // namespace mothwalk
