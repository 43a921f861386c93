// The handling of a fleet's processes and the operator's calls to it.
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

constexpr int first_port = 10240, port_blocks = 160,
              block_ports = 128;  // below those that systems give out by themselves

// Ports that were free a moment ago, from a block of this process. All are held open until every one is found, so that
// none is given twice.
std::vector<int> free_ports(std::size_t count) {
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::acceptor> held;
  std::vector<int> ports;
  const int first = first_port + static_cast<int>(::getpid()) % port_blocks * block_ports;
  for (int port = first; ports.size() < count && port < first_port + (port_blocks + 4) * block_ports; ++port) {
    boost::asio::ip::tcp::acceptor acceptor(context, boost::asio::ip::tcp::v4());
    boost::system::error_code taken;
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)}, taken);
    if (taken) continue;
    held.push_back(std::move(acceptor));
    ports.push_back(port);
  }
  if (ports.size() < count) throw std::runtime_error("there are not enough free ports on this machine");
  return ports;
}

Address local(int port) {
  return Address("127.0.0.1:" + std::to_string(port));
}

}  // namespace

Fleet::Fleet(Shape given, std::string programs, std::string place)
    : shape(std::move(given)), folder(std::move(place)), programs_(std::move(programs)) {
  std::filesystem::create_directories(folder);
  const auto ports = free_ports(shape.machines.size() * 3 + shape.runners.size() * 2);
  std::size_t next = 0;
  for (std::size_t index = 0; index < shape.machines.size(); ++index) {
    MachineShape& machine = shape.machines[index];
    machine.address = local(ports[next++]);
    machine.callers = local(ports[next++]);
    machine.control = local(ports[next++]);
    machine.folder = folder + "/data-" + std::to_string(index);
  }
  for (auto& runner : shape.runners) {
    runner.address = local(ports[next++]);
    runner.control = local(ports[next++]);
  }
}

Fleet::~Fleet() {
  for (const pid_t pid : started_) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
  }
  for (const pid_t pid : started_) ::waitpid(pid, nullptr, 0);
}

pid_t Fleet::start(const std::vector<std::string>& words) {
  std::vector<char*> arguments;
  for (const auto& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const std::string program = programs_ + "/" + words[0];
  if (::posix_spawn(&pid, program.c_str(), nullptr, nullptr, arguments.data(), environ) != 0) return 0;
  started_.insert(pid);
  return pid;
}

int Fleet::wait_for(pid_t pid) {
  int status = 0;
  ::waitpid(pid, &status, 0);
  started_.erase(pid);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void Fleet::start_machine(std::size_t index) {
  MachineShape& machine = shape.machines[index];
  // The first three machines with disks are the seeds.
  const std::string seeds =
      shape.machines[0].address.text + "," + shape.machines[1].address.text + "," + shape.machines[2].address.text;
  std::vector<std::string> words{"mothwalk-daemon",
                                 "--address",
                                 machine.address.text,
                                 "--callers",
                                 machine.callers.text,
                                 "--control",
                                 machine.control.text,
                                 "--zone",
                                 machine.zone,
                                 "--seeds",
                                 seeds,
                                 "--log-file",
                                 folder + "/daemon-" + std::to_string(index) + ".log",
                                 "--drain",
                                 "5000"};
  if (machine.disk) {
    words.push_back("--data-folder");
    words.push_back(machine.folder);
  }
  machine.pid = start(words);
}

void Fleet::start_runner(std::size_t index, double cold) {
  RunnerShape& runner = shape.runners[index];
  runner.pid = start({"stand-in-runner", "--address", runner.address.text, "--name", runner.name, "--slots",
                      std::to_string(runner.slots), "--ledger", runner_ledger(), "--cold", std::to_string(cold),
                      "--connections", std::to_string(runner.connections), "--idle",
                      std::to_string(runner.idle.count() / 1000), "--control", runner.control.text});
}

void Fleet::start_all() {
  for (std::size_t index = 0; index < shape.runners.size(); ++index) start_runner(index, 0);
  for (std::size_t index = 0; index < shape.machines.size(); ++index) start_machine(index);
}

void Fleet::signal_machine(std::size_t index, int signal) {
  if (shape.machines[index].pid > 0) ::kill(shape.machines[index].pid, signal);
}

void Fleet::end_machine(std::size_t index, int signal) {
  MachineShape& machine = shape.machines[index];
  if (machine.pid == 0) return;
  ::kill(machine.pid, signal);
  wait_for(machine.pid);
  machine.pid = 0;
}

void Fleet::end_runner(std::size_t index, int signal) {
  RunnerShape& runner = shape.runners[index];
  if (runner.pid == 0) return;
  ::kill(runner.pid, signal);
  wait_for(runner.pid);
  runner.pid = 0;
}

int Fleet::end_politely(std::size_t index) {
  MachineShape& machine = shape.machines[index];
  ::kill(machine.pid, SIGTERM);
  const int code = wait_for(machine.pid);
  machine.pid = 0;
  return code;
}

void Fleet::wipe(std::size_t index) {
  std::filesystem::remove_all(shape.machines[index].folder);
}

bool Fleet::until(std::function<bool()> holds, Duration limit) {
  const TimePoint end = steady_now() + limit;
  while (!holds()) {
    if (steady_now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::optional<json::value> Fleet::get(std::size_t machine, const std::string& target) {
  auto answer = http_call(shape.machines[machine].control, "GET", target, "", std::chrono::seconds(5));
  if (error_of(answer) || std::get<HttpAnswer>(answer).status != 200) return std::nullopt;
  auto parsed = parse_json(std::get<HttpAnswer>(answer).body);
  if (error_of(parsed)) return std::nullopt;
  return std::get<json::value>(parsed);
}

bool Fleet::apply(std::size_t machine, const std::string& type, const std::string& name, const json::object& spec) {
  const std::string path = "/v1/resources/" + type + "/" + name;
  std::uint64_t version = 0;
  auto current = http_call(shape.machines[machine].control, "GET", path, "", std::chrono::seconds(6));
  if (error_of(current)) return false;
  if (std::get<HttpAnswer>(current).status == 200) {
    auto parsed = parse_json(std::get<HttpAnswer>(current).body);
    if (error_of(parsed)) return false;
    version = std::get<json::value>(parsed).at("version").to_number<std::uint64_t>();
  } else if (std::get<HttpAnswer>(current).status != 404) {
    return false;
  }
  auto answer = http_call(shape.machines[machine].control, "PUT", path + "?version=" + std::to_string(version),
                          json::serialize(spec), std::chrono::seconds(8));
  return !error_of(answer) && std::get<HttpAnswer>(answer).status == 200;
}

bool Fleet::serving(std::size_t machine) {
  auto health = get(machine, "/v1/health");
  return health && health->at("state").as_string() == "serving" && health->at("seats").to_number<int>() > 0;
}

bool Fleet::all_serving() {
  for (std::size_t index = 0; index < shape.machines.size(); ++index)
    if (shape.machines[index].pid > 0 && !serving(index)) return false;
  return true;
}

bool Fleet::taken_by_all(std::size_t machine, const std::string& type, const std::string& name) {
  auto shown = get(machine, "/v1/resources/" + type + "/" + name);
  return shown && shown->at("status").at("taken") == shown->at("status").at("members") &&
         shown->at("status").at("waiting").as_array().empty();
}

std::optional<Circle> Fleet::circle(std::size_t machine, const std::string& kind) {
  auto shown = get(machine, "/v1/resources/circle/" + kind);
  if (!shown) return std::nullopt;
  Circle circle;
  if (JsonReader::read(shown->at("spec"), circle, "")) return std::nullopt;
  return circle;
}

bool Fleet::apply_configuration() {
  std::size_t machine = 0;
  auto apply_at_any = [&](const std::string& type, const std::string& name, const json::object& spec) {
    // Each call goes to another daemon: any of them takes it.
    return until([&] { return apply(machine++ % shape.machines.size(), type, name, spec); });
  };
  for (const auto& [key, spec] : shape.resources) {
    const auto slash = key.find('/');
    if (!apply_at_any(key.substr(0, slash), key.substr(slash + 1), spec)) return false;
  }
  for (const auto& runner : shape.runners)
    if (!apply_at_any("runner", runner.name,
                      json::object{{"kind", runner.kind},
                                   {"address", runner.address.text},
                                   {"zone", runner.zone},
                                   {"slots", runner.slots}}))
      return false;
  return true;
}

std::string Fleet::write_plan(Duration length, Duration settle, std::uint32_t most) {
  json::array targets;
  for (const auto& machine : shape.machines) targets.push_back(json::value(json::string(machine.callers.text)));
  const json::object plan{{"targets", targets},
                          {"ledger", caller_ledger()},
                          {"length", length.count() / 1000},
                          {"settle", settle.count() / 1000},
                          {"most", most},
                          {"streams", to_json(shape.streams)},
                          {"lots", to_json(shape.lots)}};
  const std::string path = folder + "/plan.json";
  std::ofstream(path) << json::serialize(plan);
  return path;
}

}  // namespace mothwalk
