// A fleet on one machine: daemons, runners and callers as real processes on loopback, and the calls an operator would
// make. The platform stand-in is the only program that starts others.
#pragma once
#include <sys/types.h>

#include "coding/json.hpp"
#include "configuration/resources.hpp"
#include "host/http_client.hpp"
#include "stand_ins/ledger.hpp"
#include "stand_ins/shapes.hpp"

namespace mothwalk {

class Fleet {
 public:
  Fleet(Shape shape, std::string programs_folder, std::string folder);
  ~Fleet();
  Shape shape;
  std::string folder;

  void start_all();
  void start_machine(std::size_t index);
  void start_runner(std::size_t index, double cold_milliseconds);
  void stop_machine(std::size_t index, int signal);  // and waits for it
  void stop_runner(std::size_t index, int signal);
  void delete_data_folder(std::size_t index);
  void signal_machine(std::size_t index, int signal);
  int drain_machine(std::size_t index);  // SIGTERM; gives the exit code
  pid_t start_process(const std::vector<std::string>& command_line);
  int wait_for_exit(pid_t pid);

  // Waits on an event: polls until it holds; false only when the (generous) limit has passed.
  static bool wait_until(std::function<bool()> condition, Duration timeout = std::chrono::seconds(60));
  std::optional<json::value> get_json(std::size_t machine, const std::string& target);
  // Applies a resource through a machine, reading its version first; true when acknowledged.
  bool apply(std::size_t machine, const std::string& type, const std::string& name, const json::object& spec);
  bool is_serving(std::size_t machine);
  bool all_machines_serve();
  bool applied_by_all(std::size_t machine, const std::string& type, const std::string& name);
  std::optional<Circle> read_circle(std::size_t machine, const std::string& kind);
  std::string runner_ledger() const { return folder + "/runners.ledger"; }
  std::string platform_ledger() const { return folder + "/platform.ledger"; }
  std::string caller_ledger() const { return folder + "/callers.ledger"; }
  std::string write_load_plan(Duration duration, Duration settling_time, std::uint32_t max_requests);
  bool apply_configuration();

 private:
  std::string programs_folder_;
  std::set<pid_t> child_processes_;
};

}  // namespace mothwalk
