// Starts and stops the processes of a fleet and sends the operator's calls to them.
#include "stand_ins/fleet.hpp"

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

extern char** environ;

namespace mothwalk {

namespace {

// The ports lie below the range from which systems choose ephemeral ports.
constexpr int first_port = 10240, port_block_count = 160, ports_per_block = 128;

// Returns ports that are free at the time of the call, from a block of ports for this process. All of them stay bound
// until the last one is found, so that no port is returned twice.
std::vector<int> free_ports(std::size_t count) {
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::acceptor> bound_acceptors;
  std::vector<int> ports;
  const int first = first_port + static_cast<int>(::getpid()) % port_block_count * ports_per_block;
  for (int port = first; ports.size() < count && port < first_port + (port_block_count + 4) * ports_per_block; ++port) {
    boost::asio::ip::tcp::acceptor acceptor(context, boost::asio::ip::tcp::v4());
    boost::system::error_code bind_error;
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)}, bind_error);
    if (bind_error) continue;
    bound_acceptors.push_back(std::move(acceptor));
    ports.push_back(port);
  }
  if (ports.size() < count)
    throw std::runtime_error("too few free TCP ports on 127.0.0.1 for the fleet; end other fleets on this machine");
  return ports;
}

Address loopback_address(int port) {
  return Address("127.0.0.1:" + std::to_string(port));
}

}  // namespace

Fleet::Fleet(Shape given_shape, std::string programs_folder, std::string fleet_folder)
    : shape(std::move(given_shape)), folder(std::move(fleet_folder)), programs_folder_(std::move(programs_folder)) {
  std::filesystem::create_directories(folder);
  const auto ports = free_ports(shape.machines.size() * 3 + shape.runners.size() * 2);
  std::size_t next_port = 0;
  for (std::size_t index = 0; index < shape.machines.size(); ++index) {
    MachineShape& machine = shape.machines[index];
    machine.address = loopback_address(ports[next_port++]);
    machine.client_address = loopback_address(ports[next_port++]);
    machine.control_address = loopback_address(ports[next_port++]);
    machine.folder = folder + "/data-" + std::to_string(index);
  }
  for (auto& runner : shape.runners) {
    runner.address = loopback_address(ports[next_port++]);
    runner.control_address = loopback_address(ports[next_port++]);
  }
}

Fleet::~Fleet() {
  for (const pid_t pid : child_processes_) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
  }
  for (const pid_t pid : child_processes_) ::waitpid(pid, nullptr, 0);
}

pid_t Fleet::start_process(const std::vector<std::string>& command_line) {
  std::vector<char*> arguments;
  for (const auto& word : command_line) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const std::string program = programs_folder_ + "/" + command_line[0];
  if (::posix_spawn(&pid, program.c_str(), nullptr, nullptr, arguments.data(), environ) != 0) return 0;
  child_processes_.insert(pid);
  return pid;
}

int Fleet::wait_for_exit(pid_t pid) {
  int status = 0;
  ::waitpid(pid, &status, 0);
  child_processes_.erase(pid);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void Fleet::start_machine(std::size_t index) {
  MachineShape& machine = shape.machines[index];
  // The first three machines, which all have disks, are the seeds.
  const std::string seeds =
      shape.machines[0].address.text + "," + shape.machines[1].address.text + "," + shape.machines[2].address.text;
  std::vector<std::string> command_line{"mothwalk-daemon",
                                        "--address",
                                        machine.address.text,
                                        "--callers",
                                        machine.client_address.text,
                                        "--control",
                                        machine.control_address.text,
                                        "--zone",
                                        machine.zone,
                                        "--seeds",
                                        seeds,
                                        "--log-file",
                                        folder + "/daemon-" + std::to_string(index) + ".log",
                                        "--drain",
                                        "5000"};
  if (machine.disk) {
    command_line.push_back("--data-folder");
    command_line.push_back(machine.folder);
  }
  machine.pid = start_process(command_line);
}

void Fleet::start_runner(std::size_t index, double cold_milliseconds) {
  RunnerShape& runner = shape.runners[index];
  runner.pid =
      start_process({"stand-in-runner", "--address", runner.address.text, "--name", runner.name, "--slots",
                     std::to_string(runner.slots), "--ledger", runner_ledger(), "--cold",
                     std::to_string(cold_milliseconds), "--connections", std::to_string(runner.connections), "--idle",
                     std::to_string(runner.idle.count() / 1000), "--control", runner.control_address.text});
}

void Fleet::start_all() {
  for (std::size_t index = 0; index < shape.runners.size(); ++index) start_runner(index, 0);
  for (std::size_t index = 0; index < shape.machines.size(); ++index) start_machine(index);
}

void Fleet::signal_machine(std::size_t index, int signal) {
  if (shape.machines[index].pid > 0) ::kill(shape.machines[index].pid, signal);
}

void Fleet::stop_machine(std::size_t index, int signal) {
  MachineShape& machine = shape.machines[index];
  if (machine.pid == 0) return;
  ::kill(machine.pid, signal);
  wait_for_exit(machine.pid);
  machine.pid = 0;
}

void Fleet::stop_runner(std::size_t index, int signal) {
  RunnerShape& runner = shape.runners[index];
  if (runner.pid == 0) return;
  ::kill(runner.pid, signal);
  wait_for_exit(runner.pid);
  runner.pid = 0;
}

int Fleet::drain_machine(std::size_t index) {
  MachineShape& machine = shape.machines[index];
  ::kill(machine.pid, SIGTERM);
  const int code = wait_for_exit(machine.pid);
  machine.pid = 0;
  return code;
}

void Fleet::delete_data_folder(std::size_t index) {
  std::filesystem::remove_all(shape.machines[index].folder);
}

bool Fleet::wait_until(std::function<bool()> condition, Duration timeout) {
  const TimePoint end = steady_now() + timeout;
  while (!condition()) {
    if (steady_now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::optional<json::value> Fleet::get_json(std::size_t machine, const std::string& target) {
  auto response = http_call(shape.machines[machine].control_address, "GET", target, "", std::chrono::seconds(5));
  if (error_of(response) || std::get<HttpResponse>(response).status != 200) return std::nullopt;
  auto parsed = parse_json(std::get<HttpResponse>(response).body);
  if (error_of(parsed)) return std::nullopt;
  return std::get<json::value>(parsed);
}

bool Fleet::apply(std::size_t machine, const std::string& type, const std::string& name, const json::object& spec) {
  const std::string path = "/v1/resources/" + type + "/" + name;
  std::uint64_t version = 0;
  auto current = http_call(shape.machines[machine].control_address, "GET", path, "", std::chrono::seconds(6));
  if (error_of(current)) return false;
  if (std::get<HttpResponse>(current).status == 200) {
    auto parsed = parse_json(std::get<HttpResponse>(current).body);
    if (error_of(parsed)) return false;
    version = std::get<json::value>(parsed).at("version").to_number<std::uint64_t>();
  } else if (std::get<HttpResponse>(current).status != 404) {
    return false;
  }
  auto response =
      http_call(shape.machines[machine].control_address, "PUT", path + "?version=" + std::to_string(version),
                json::serialize(spec), std::chrono::seconds(8));
  return !error_of(response) && std::get<HttpResponse>(response).status == 200;
}

bool Fleet::is_serving(std::size_t machine) {
  auto health = get_json(machine, "/v1/health");
  return health && health->at("state").as_string() == "serving" && health->at("seats").to_number<int>() > 0;
}

bool Fleet::all_machines_serve() {
  for (std::size_t index = 0; index < shape.machines.size(); ++index)
    if (shape.machines[index].pid > 0 && !is_serving(index)) return false;
  return true;
}

bool Fleet::applied_by_all(std::size_t machine, const std::string& type, const std::string& name) {
  auto resource = get_json(machine, "/v1/resources/" + type + "/" + name);
  return resource && resource->at("status").at("taken") == resource->at("status").at("members") &&
         resource->at("status").at("waiting").as_array().empty();
}

std::optional<Circle> Fleet::read_circle(std::size_t machine, const std::string& kind) {
  auto resource = get_json(machine, "/v1/resources/circle/" + kind);
  if (!resource) return std::nullopt;
  Circle circle;
  if (JsonReader::read(resource->at("spec"), circle, "")) return std::nullopt;
  return circle;
}

bool Fleet::apply_configuration() {
  std::size_t machine = 0;
  auto apply_through_next_machine = [&](const std::string& type, const std::string& name, const json::object& spec) {
    // Each call goes to another daemon, since every daemon accepts changes.
    return wait_until([&] { return apply(machine++ % shape.machines.size(), type, name, spec); });
  };
  for (const auto& [key, spec] : shape.resources) {
    const auto slash = key.find('/');
    if (!apply_through_next_machine(key.substr(0, slash), key.substr(slash + 1), spec)) return false;
  }
  for (const auto& runner : shape.runners)
    if (!apply_through_next_machine("runner", runner.name,
                                    json::object{{"kind", runner.kind},
                                                 {"address", runner.address.text},
                                                 {"zone", runner.zone},
                                                 {"slots", runner.slots}}))
      return false;
  return true;
}

std::string Fleet::write_load_plan(Duration duration, Duration settling_time, std::uint32_t max_requests) {
  json::array targets;
  for (const auto& machine : shape.machines) targets.push_back(json::value(json::string(machine.client_address.text)));
  const json::object plan{{"targets", targets},
                          {"ledger", caller_ledger()},
                          {"length", duration.count() / 1000},
                          {"settle", settling_time.count() / 1000},
                          {"most", max_requests},
                          {"streams", to_json(shape.streams)},
                          {"lots", to_json(shape.lots)}};
  const std::string path = folder + "/plan.json";
  std::ofstream(path) << json::serialize(plan);
  return path;
}

}  // namespace mothwalk
