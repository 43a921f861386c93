// stand-in-platform: starts a fleet on this machine, acts as its operator and as the platform around it, injects faults
// and checks the ledgers with the judge.
#include <getopt.h>
#include <csignal>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <thread>

#include "host/tcp_transport.hpp"
#include "stand_ins/fleet.hpp"
#include "stand_ins/judge.hpp"
#include "stand_ins/soak.hpp"

using namespace mothwalk;

namespace {

struct Options {
  std::string fleet = "thin", programs, folder, faults;
  int seconds = 20;
  double load_factor = 1.0;
  bool keep = false;
  // The seed of a soak test. Zero means that there is none.
  std::uint64_t seed = 0;
};

int failed_checks = 0;
// Prints the result of a check and counts it if it failed.
bool check(bool passed, const std::string& description) {
  std::cout << (passed ? "ok      " : "FAILED  ") << description << std::endl;
  failed_checks += !passed;
  return passed;
}

std::vector<json::object> all_ledgers(const Fleet& fleet) {
  std::vector<json::object> lines;
  for (const auto& path : {fleet.runner_ledger(), fleet.caller_ledger(), fleet.platform_ledger()})
    for (auto& line : read_ledger(path)) lines.push_back(std::move(line));
  return lines;
}

// Sends the bytes and returns what is received until the other side closes the connection.
std::string exchange_bytes(const Address& address, const std::string& bytes) {
  boost::asio::io_context context(1);
  boost::asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(*endpoint_of(address), error);
  if (error) return "no connection";
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
  std::string response;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
  return response;
}

// Checks that no input ends a daemon and that each kind of bad input gets its own error response.
void check_bad_input(Fleet& fleet) {
  const MachineShape& machine = fleet.shape.machines[1];
  auto response_status = [&](const Address& address, StringView method, const std::string& target, StringView body) {
    auto response = http_call(address, method, target, body, std::chrono::seconds(30));
    return error_of(response) ? 0 : std::get<HttpResponse>(response).status;
  };
  exchange_bytes(machine.address, std::string("\xff\xff\xff\xff nonsense", 13));
  exchange_bytes(machine.address, std::string("\0\0\0\x05hello", 9));
  exchange_bytes(machine.address, std::string("\0\0\x01\0truncated", 13));
  exchange_bytes(machine.address, "GET / HTTP/1.1\r\n\r\n");
  check(exchange_bytes(machine.client_address, "this is no HTTP\r\n\r\n").find("400") != std::string::npos,
        "what is no HTTP is answered 400");
  check(exchange_bytes(machine.client_address, "POST /audits HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n")
                .find("413") != std::string::npos,
        "a body that is too long is refused before it is read");
  check(exchange_bytes(machine.client_address, "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n").find("431") !=
            std::string::npos,
        "headers that are too long are refused");
  check(response_status(machine.client_address, "POST", "/nowhere", "x") == 404,
        "a path without a lane is answered 404");
  check(response_status(machine.client_address, "PUT", "/lots/bad", "{\"lane\":") == 400, "a malformed lot is refused");
  check(response_status(machine.client_address, "PUT", "/lots/bad", R"({"lane":"nobody","items":[1]})") == 400,
        "a lot for no lane is refused");
  check(response_status(machine.client_address, "PUT", "/lots/lines-x", R"({"lane":"lines","items":["a"]})") == 200 &&
            response_status(machine.client_address, "PUT", "/lots/lines-x", R"({"lane":"lines","items":["b"]})") == 409,
        "another body under a lot's id is a conflict");
  check(response_status(machine.client_address, "GET", "/lots/unknown", "") == 404,
        "a lot that is not there is answered 404");
  check(response_status(machine.client_address, "GET", "/v1/members", "") == 404,
        "operators' calls are not taken on the callers' side");
  check(response_status(machine.control_address, "DELETE", "/v1/resources/kind/model?version=1", "") == 409,
        "a kind that lanes lead to can't be removed");
  check(response_status(machine.control_address, "PUT", "/v1/resources/teapot/x", "{}") == 404,
        "an unknown type is refused");
  // If a runner's response is not HTTP, the client gets an error with the outcome "unknown", never a success.
  for (const auto& runner : fleet.shape.runners)
    response_status(runner.control_address, "POST", "/stand-in/mode/nonsense", "");
  auto nonsense_response = http_call(machine.client_address, "POST", "/audits", "x", std::chrono::seconds(30));
  check(!error_of(nonsense_response) && std::get<HttpResponse>(nonsense_response).status == 502 &&
            std::get<HttpResponse>(nonsense_response).headers["x-mothwalk-outcome"] == "unknown",
        "a runner's nonsense is a bad gateway, marked unknown");
  for (const auto& runner : fleet.shape.runners)
    response_status(runner.control_address, "POST", "/stand-in/mode/sound", "");
  check(Fleet::wait_until([&] { return response_status(machine.client_address, "POST", "/audits", "x") == 200; }),
        "and the path is back when the runners are sound");
  check(Fleet::wait_until([&] { return fleet.all_machines_serve(); }), "all daemons serve after the bad input");
}

// Tests each basic function once. Each step waits for the event that it needs, so that no check depends on speed.
void run_thin_fleet(Fleet& fleet) {
  fleet.start_all();
  check(Fleet::wait_until([&] { return fleet.all_machines_serve(); }),
        "four daemons in two zones found each other and hold leases");
  check(fleet.apply_configuration(), "kinds, lanes and runners were taken, each at another daemon");
  for (const auto& name : {"audits", "lines"})
    check(Fleet::wait_until([&] { return fleet.applied_by_all(3, "lane", name); }),
          std::string("lane ") + name + " reached every member");
  check(Fleet::wait_until([&] {
          auto circle = fleet.read_circle(1, "model");
          return circle && circle->members.size() >= 2 && circle->members.size() <= 3 &&
                 circle->warm.size() == circle->members.size();
        }),
        "the circle stands, with the floor inside and the reserve outside");
  for (std::size_t machine = 0; machine < fleet.shape.machines.size(); ++machine) {
    // The HTTP client of this program sends a request through each daemon.
    auto response = http_call(fleet.shape.machines[machine].client_address, "POST", "/audits", "a receipt",
                              std::chrono::seconds(30));
    const bool passed = !error_of(response) && std::get<HttpResponse>(response).status == 200 &&
                        std::get<HttpResponse>(response).headers["x-mothwalk-outcome"] == "answer";
    check(passed, "daemon " + std::to_string(machine) + " carried a request to a runner");
  }
  const pid_t load_generator = fleet.start_process(
      {"stand-in-caller", fleet.write_load_plan(std::chrono::seconds(60), std::chrono::seconds(60), 3)});
  check(fleet.wait_for_exit(load_generator) == 0, "the callers streamed and handed in lots");
  const auto lines = all_ledgers(fleet);
  Verdict verdict = judge(lines);
  for (const auto& each : verdict.violations) check(false, each);
  check(verdict.violations.empty(), "the judge finds nothing");
  check(verdict.counts["audits answer"] == 3, "three streams were answered whole");
  check(verdict.counts["lots done"] == 3 && verdict.counts["items answer"] == 30,
        "three lots of ten items were worked off and read");
  std::set<std::string> lot_runners;
  for (const auto& line : lines)
    if (const auto* event = line.if_contains("what");
        event != nullptr && event->as_string() == "run" && std::string(line.at("id").as_string()).starts_with("lines-"))
      lot_runners.insert(std::string(line.at("runner").as_string()));
  auto circle = fleet.read_circle(0, "model");
  bool all_outside_circle = circle.has_value() && !lot_runners.empty();
  for (const auto& name : lot_runners)
    all_outside_circle = all_outside_circle && std::find(circle->members.begin(), circle->members.end(),
                                                         RunnerId(name)) == circle->members.end();
  check(all_outside_circle, "the items ran on runners outside the circle alone");
  // An update with a stale version and an invalid document are refused and change nothing.
  const std::string path = "/v1/resources/lane/audits";
  auto stale_response = http_call(fleet.shape.machines[2].control_address, "PUT", path + "?version=0",
                                  R"({"path":"/audits","kind":"model"})", std::chrono::seconds(10));
  check(!error_of(stale_response) && std::get<HttpResponse>(stale_response).status == 412,
        "a stale version is refused");
  auto faulty_response = http_call(fleet.shape.machines[2].control_address, "PUT", path + "?version=1",
                                   R"({"path":"/audits","kind":"model","retires":2})", std::chrono::seconds(10));
  check(!error_of(faulty_response) && std::get<HttpResponse>(faulty_response).status == 400 &&
            std::get<HttpResponse>(faulty_response).body.find("retires") != std::string::npos,
        "an unknown field is refused by its name");
  check_bad_input(fleet);
  // All daemons are killed and started again.
  for (std::size_t machine = 0; machine < fleet.shape.machines.size(); ++machine) fleet.stop_machine(machine, SIGKILL);
  for (std::size_t machine = 0; machine < fleet.shape.machines.size(); ++machine) fleet.start_machine(machine);
  check(Fleet::wait_until([&] { return fleet.all_machines_serve() && fleet.applied_by_all(0, "lane", "audits"); }),
        "after a total loss the configuration is back");
  check(Fleet::wait_until([&] {
          auto response =
              http_call(fleet.shape.machines[3].client_address, "GET", "/lots", "", std::chrono::seconds(10));
          if (error_of(response)) return false;
          auto parsed = parse_json(std::get<HttpResponse>(response).body);
          if (error_of(parsed) || !std::get<json::value>(parsed).as_object().contains("lots")) return false;
          return std::get<json::value>(parsed).at("lots").as_array().size() == 4;
        }),
        "after a total loss the lots are back");
  for (std::size_t machine = 0; machine < fleet.shape.machines.size(); ++machine)
    check(fleet.drain_machine(machine) == 0, "daemon " + std::to_string(machine) + " drained and ended with 0");
}

// Prints a measured duration and writes it to the ledger. The judge reports one over the limit.
void record_observation(Ledger& ledger, const std::string& name, std::int64_t milliseconds,
                        std::optional<std::int64_t> limit) {
  json::object line{{"what", "observed"}, {"name", name}, {"took", milliseconds}};
  if (limit) line["limit"] = *limit;
  std::cout << "        " << name << ": " << milliseconds << " ms" << std::endl;
  ledger.write(std::move(line));
}

// Returns the milliseconds until the condition holds, at most a minute.
std::int64_t time_until(std::function<bool()> condition) {
  const std::int64_t began = Ledger::milliseconds_now();
  Fleet::wait_until(std::move(condition), std::chrono::seconds(60));
  return Ledger::milliseconds_now() - began;
}

// Returns the first machine with a running daemon, starting at this index.
std::size_t next_running_machine(const Fleet& fleet, std::size_t from) {
  for (std::size_t step = 0; step < fleet.shape.machines.size(); ++step)
    if (const std::size_t index = (from + step) % fleet.shape.machines.size(); fleet.shape.machines[index].pid > 0)
      return index;
  return 0;
}

// Returns whether each running daemon lists the resource with at least this version.
bool visible_everywhere(Fleet& fleet, const std::string& type, const std::string& name, std::uint64_t version) {
  for (std::size_t index = 0; index < fleet.shape.machines.size(); ++index) {
    if (fleet.shape.machines[index].pid == 0) continue;
    auto resources = fleet.get_json(index, "/v1/resources/" + type);
    bool visible = false;
    if (resources)
      for (const auto& each : resources->at("resources").as_array())
        visible = visible ||
                  (each.at("name").as_string() == name && each.at("version").to_number<std::uint64_t>() >= version);
    if (!visible) return false;
  }
  return true;
}

// Changes a lane and measures how long the change takes to reach all daemons.
void measure_configuration_change(Fleet& fleet, Ledger& ledger, int round) {
  json::object spec;
  for (const auto& [key, given] : fleet.shape.resources)
    if (key.starts_with("lane/")) spec = given;
  spec["path"] = "/changed-" + std::to_string(round);
  const std::size_t machine = next_running_machine(fleet, static_cast<std::size_t>(round) * 5);
  if (!Fleet::wait_until([&] { return fleet.apply(machine, "lane", "changing", spec); }, std::chrono::seconds(20)))
    return;
  auto resource = fleet.get_json(machine, "/v1/resources/lane/changing");
  const std::uint64_t version = resource ? resource->at("version").to_number<std::uint64_t>() : 1;
  record_observation(ledger, "configuration change everywhere",
                     time_until([&] { return visible_everywhere(fleet, "lane", "changing", version); }), 2000);
}

void inject_fault(Fleet& fleet, Ledger& ledger, const std::string& fault, int round) {
  std::cout << "fault   " << fault << std::endl;
  const std::size_t storage_node_count =
      static_cast<std::size_t>(std::count_if(fleet.shape.machines.begin(), fleet.shape.machines.end(),
                                             [](const MachineShape& machine) { return machine.disk; }));
  const std::size_t storage_node = static_cast<std::size_t>(round) % storage_node_count;
  if (fault == "kill" || fault == "wipe") {
    fleet.stop_machine(storage_node, SIGKILL);
    if (fault == "wipe") fleet.delete_data_folder(storage_node);
    measure_configuration_change(fleet, ledger, round);
    fleet.start_machine(storage_node);
    record_observation(ledger, "killed daemon serves again", time_until([&] { return fleet.is_serving(storage_node); }),
                       std::nullopt);
  } else if (fault == "freeze") {
    fleet.signal_machine(storage_node, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    fleet.signal_machine(storage_node, SIGCONT);
    record_observation(ledger, "frozen daemon serves again", time_until([&] { return fleet.is_serving(storage_node); }),
                       std::nullopt);
  } else if (fault == "configuration") {
    measure_configuration_change(fleet, ledger, round);
  } else if (fault == "runner-crash") {
    const std::size_t runner = static_cast<std::size_t>(round) % 12;
    fleet.stop_runner(runner, SIGKILL);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    fleet.start_runner(runner, 2000);
  } else if (fault == "leaving" || fault == "evacuate") {
    json::array affected_runners;
    const std::string zone = fleet.shape.runners[static_cast<std::size_t>(round) % 3].zone;
    const RunnerShape leaving_runner = fleet.shape.runners[static_cast<std::size_t>(round + 5) % 12];
    const std::size_t machine = next_running_machine(fleet, static_cast<std::size_t>(round) * 3);
    json::object runner_spec{{"kind", leaving_runner.kind},
                             {"address", leaving_runner.address.text},
                             {"zone", leaving_runner.zone},
                             {"slots", leaving_runner.slots},
                             {"leaving", true}};
    const bool evacuation = fault == "evacuate";
    Fleet::wait_until(
        [&] {
          return evacuation ? fleet.apply(machine, "zone", zone, json::object{{"evacuated", true}})
                            : fleet.apply(machine, "runner", leaving_runner.name, runner_spec);
        },
        std::chrono::seconds(20));
    const std::int64_t acknowledged = Ledger::milliseconds_now();
    std::this_thread::sleep_for(std::chrono::seconds(7));
    for (const auto& each : fleet.shape.runners)
      if (evacuation ? each.zone == zone : each.name == leaving_runner.name)
        affected_runners.push_back(json::value(json::string(each.name)));
    ledger.write({{"what", evacuation ? "evacuated" : "leaving"},
                  {"runners", affected_runners},
                  {"acknowledged", acknowledged},
                  {"until", Ledger::milliseconds_now()}});
    runner_spec["leaving"] = false;
    Fleet::wait_until(
        [&] {
          return evacuation ? fleet.apply(machine, "zone", zone, json::object{{"evacuated", false}})
                            : fleet.apply(machine, "runner", leaving_runner.name, runner_spec);
        },
        std::chrono::seconds(20));
  } else if (fault == "total-loss") {
    for (std::size_t machine = 0; machine < fleet.shape.machines.size(); ++machine)
      fleet.stop_machine(machine, SIGKILL);
    for (std::size_t machine = 0; machine < fleet.shape.machines.size(); ++machine) fleet.start_machine(machine);
    const std::string path = fleet.shape.name == "altiplano" ? "/suggestions" : "/triage";
    record_observation(ledger, "service back after a total loss", time_until([&] {
                         for (const auto& machine : fleet.shape.machines) {
                           auto response =
                               http_call(machine.client_address, "POST", path, "hello", std::chrono::seconds(5));
                           if (error_of(response) || std::get<HttpResponse>(response).status != 200) return false;
                         }
                         return true;
                       }),
                       12000);
  } else {
    check(false, "unknown fault '" + fault +
                     "'; use kill, wipe, freeze, configuration, runner-crash, leaving, evacuate, total-loss");
  }
}

void run_soak(Fleet& fleet, const Options& options) {
  const auto injected_faults = draw_faults(fleet.shape, options.seed, std::chrono::seconds(options.seconds));
  for (const auto& injected_fault : injected_faults)
    std::cout << "trouble " << injected_fault.description() << std::endl;
  Soak(fleet, injected_faults).run();
}

// Checks what must hold for all daemons together, whatever faults were injected.
void check_invariants(Fleet& fleet) {
  for (const auto& violation : log_lines_containing(fleet, "Invariant violated")) check(false, violation);
  std::uint64_t reset_connections = 0;
  for (const auto& runner : fleet.shape.runners) {
    auto response = http_call(runner.control_address, "GET", "/stand-in/stats", "", std::chrono::seconds(5));
    if (!check(!error_of(response), "runner " + runner.name + " tells its counts")) continue;
    auto parsed = parse_json(std::get<HttpResponse>(response).body);
    if (error_of(parsed) || runner.connections == 0) continue;
    const json::value& counts = std::get<json::value>(parsed);
    reset_connections += counts.at("resets").to_number<std::uint64_t>();
    std::cout << "        " << runner.name << ": " << counts.at("most_open") << " connections at most of "
              << runner.connections << ", " << counts.at("resets") << " reset\n";
  }
  // A daemon whose share of a runner's connections is zero may still try one connection and may thereby take one that
  // belongs to another daemon's share. All other connections are within the limits, so only these requests can cause
  // resets.
  const std::uint64_t over_share_requests = over_share_requests_in_logs(fleet);
  check(reset_connections <= over_share_requests,
        std::to_string(reset_connections) + " connections were reset over a runner's limit, and " +
            std::to_string(over_share_requests) + " requests went over connections without a right");
}

// Starts a fleet, sends load to it, injects faults meanwhile and checks the invariants at the end.
void run_loaded_fleet(Fleet& fleet, const Options& options) {
  fleet.start_all();
  if (!check(Fleet::wait_until([&] { return fleet.all_machines_serve(); }), "all daemons serve")) return;
  if (!check(fleet.apply_configuration(), "the configuration was taken")) return;
  check(Fleet::wait_until([&] {
          for (std::size_t machine = 0; machine < fleet.shape.machines.size(); ++machine) {
            auto circle = fleet.read_circle(machine, "model");
            if (!circle || circle->members.empty() || circle->warm.size() < circle->members.size()) return false;
          }
          return true;
        }),
        "the circle is warm");
  Ledger ledger(fleet.platform_ledger());
  const pid_t load_generator = fleet.start_process(
      {"stand-in-caller", fleet.write_load_plan(std::chrono::seconds(options.seconds), std::chrono::seconds(30), 0)});
  const std::int64_t end = Ledger::milliseconds_now() + options.seconds * 1000;
  std::vector<std::string> faults;
  std::string unread_faults = options.faults;
  while (!unread_faults.empty()) {
    const auto comma = std::min(unread_faults.find(','), unread_faults.size());
    faults.push_back(unread_faults.substr(0, comma));
    unread_faults.erase(0, comma + 1);
  }
  if (options.seed > 0) run_soak(fleet, options);
  for (int round = 0; !faults.empty() && Ledger::milliseconds_now() < end - 6000; ++round) {
    std::this_thread::sleep_for(std::chrono::seconds(3));
    inject_fault(fleet, ledger, faults[static_cast<std::size_t>(round) % faults.size()], round);
  }
  check(fleet.wait_for_exit(load_generator) == 0, "the callers ended");
  if (options.seed > 0)
    check(Fleet::wait_until([&] { return fleet.all_machines_serve(); }), "all daemons serve after the soak");
  check_invariants(fleet);
  json::object refusals_by_reason;
  std::uint64_t own_zone_attempts = 0, other_zone_attempts = 0;
  for (std::size_t machine = 0; machine < fleet.shape.machines.size(); ++machine)
    if (auto load = fleet.get_json(machine, "/v1/load")) {
      own_zone_attempts += load->at("entries").at("own_zone").to_number<std::uint64_t>();
      other_zone_attempts += load->at("entries").at("other_zone").to_number<std::uint64_t>();
      for (const auto& each : load->at("entries").at("refusals").as_object())
        refusals_by_reason[each.key()] =
            (refusals_by_reason.contains(each.key()) ? refusals_by_reason[each.key()].as_uint64() : 0) +
            each.value().to_number<std::uint64_t>();
    }
  std::cout << "refusals by reason: " << json::serialize(refusals_by_reason)
            << "\nattempts in the own zone: " << own_zone_attempts << ", in other zones: " << other_zone_attempts
            << "\n";
  if (auto circle = fleet.read_circle(next_running_machine(fleet, 0), "model"))
    std::cout << "circle: " << circle->members.size() << " members, load " << circle->load << ", " << circle->cycle
              << " cycles\n";
}

}  // namespace

int main(int argument_count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Options options;
  const option option_list[] = {{"fleet", 1, nullptr, 'f'},  {"programs", 1, nullptr, 'p'}, {"folder", 1, nullptr, 'd'},
                                {"faults", 1, nullptr, 'x'}, {"seconds", 1, nullptr, 's'},  {"share", 1, nullptr, 'r'},
                                {"seed", 1, nullptr, 'e'},   {"keep", 0, nullptr, 'k'},     {nullptr, 0, nullptr, 0}};
  for (int option_code = 0; (option_code = getopt_long(argument_count, arguments, "", option_list, nullptr)) != -1;) {
    if (option_code == 'f')
      options.fleet = optarg;
    else if (option_code == 'p')
      options.programs = optarg;
    else if (option_code == 'd')
      options.folder = optarg;
    else if (option_code == 'x')
      options.faults = optarg;
    else if (option_code == 's')
      options.seconds = std::stoi(optarg);
    else if (option_code == 'r')
      options.load_factor = std::stod(optarg);
    else if (option_code == 'e')
      options.seed = std::stoull(optarg);
    else if (option_code == 'k')
      options.keep = true;
    else
      return std::cerr
                 << "stand-in-platform --fleet thin|altiplano|sestavna|crowded [--programs FOLDER] [--folder FOLDER] "
                    "[--seconds N] [--share X] [--faults a,b,c] [--seed N (runs a soak test)] [--keep]\n",
             2;
  }
  if (options.programs.empty()) options.programs = std::filesystem::path(arguments[0]).parent_path().string();
  if (options.folder.empty())
    options.folder = (std::filesystem::temp_directory_path() / ("mothwalk-" + std::to_string(::getpid()))).string();
  if (options.fleet != "thin" && options.fleet != "altiplano" && options.fleet != "sestavna" &&
      options.fleet != "crowded")
    return std::cerr << "stand-in-platform: unknown fleet; --fleet has to be thin, altiplano, sestavna or crowded\n", 2;
  {
    Fleet fleet(shape_named(options.fleet, options.load_factor), options.programs, options.folder);
    if (options.fleet == "thin") {
      run_thin_fleet(fleet);
    } else {
      run_loaded_fleet(fleet, options);
      const pid_t judge_process =
          fleet.start_process({"judge", fleet.runner_ledger(), fleet.caller_ledger(), fleet.platform_ledger()});
      check(fleet.wait_for_exit(judge_process) == 0, "the judge finds nothing");
    }
  }
  if (!options.keep && failed_checks == 0)
    std::filesystem::remove_all(options.folder);
  else
    std::cout << "the ledgers and logs are in " << options.folder << "\n";
  std::cout << (failed_checks == 0 ? "All checks hold.\n" : std::to_string(failed_checks) + " checks failed.\n");
  return failed_checks == 0 ? 0 : 1;
}
