// mothwalk-operator: the command line tool for operators. It calls any daemon's control address, prints tables or JSON,
// and reports by its exit code what went wrong.
#include <getopt.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include "coding/json.hpp"
#include "configuration/resources.hpp"
#include "host/http_client.hpp"
#include "operator/planner.hpp"
#include "routes/router.hpp"

using namespace mothwalk;

namespace {

constexpr const char* help = R"(mothwalk-operator [--control IP:PORT[,IP:PORT...]] [--json] COMMAND

  get TYPE [NAME]        lists the resources of a type, or shows one and how many daemons have applied it
  apply FILE             applies documents {"type","name","spec"[,"version"]}, one or a list; "-" reads standard input
  delete TYPE NAME       deletes a resource
  watch [COUNT]          prints changes as they occur; ends after COUNT of them
  evacuate ZONE          stops sending work to the zone's runners
  restore ZONE           ends the evacuation
  retire ADDRESS         takes a storage node's vote away and moves its records to others
  reinstate ADDRESS      ends the retirement
  lots [ID]              lists the stored lots, or shows one
  cancel ID              cancels a lot
  circle [KIND]          shows which runners take live requests, and why
  health                 shows the state of each daemon
  aims                   compares service-level aims with the counted requests; exit code 1 if one is not met
  members                lists the daemons
  check FILE             validates documents with the daemons' own code, without changing anything
  plan FILE              shows what applying the documents would change

Types: lane, kind, runner, zone, lots, holder, circle. The control addresses may also be set in MOTHWALK_CONTROL.
Exit codes: 0 success, 1 refused or not found, 2 wrong usage, 3 no daemon replied, 4 the outcome is not known.
)";

// Sends calls to the daemons and prints results.
struct OperatorClient {
  std::vector<Address> control_addresses;
  bool as_json = false;

  // Prints the error and returns the exit code for it.
  int report_error(const Error& error) const {
    if (as_json)
      std::cerr << json::serialize(error_to_json(error)) << "\n";
    else
      std::cerr << "mothwalk-operator: " << (error.field.empty() ? "" : error.field + ": ") << error.message << "; "
                << error.remedy << ".\n";
    return error.kind == ErrorKind::lost                                  ? 3
           : error.kind == ErrorKind::unknown                             ? 4
           : error.kind == ErrorKind::invalid && error.field == "command" ? 2
                                                                          : 1;
  }

  // Calls the first daemon that replies. A call that may have taken effect is not sent to a second daemon.
  Result<json::value> call(StringView method, const std::string& target, StringView body = "") const {
    Error last_error{ErrorKind::lost, "control", "no control address is given",
                     "name one with --control or MOTHWALK_CONTROL"};
    for (const auto& address : control_addresses) {
      auto reply = http_call(address, method, target, body, std::chrono::seconds(25));
      if (auto error = error_of(reply)) {
        last_error = *error;
        if (error->kind != ErrorKind::lost && method != "GET") return last_error;
        continue;
      }
      const HttpResponse& response = std::get<HttpResponse>(reply);
      auto parsed = parse_json(response.body);
      if (auto error = error_of(parsed)) return *error;
      json::value value = std::get<json::value>(parsed);
      if (response.status == 200) return value;
      Error error{response.status == 404   ? ErrorKind::unknown_name
                  : response.status == 504 ? ErrorKind::unknown
                                           : ErrorKind::refused,
                  "", "the daemon replied with HTTP status " + std::to_string(response.status), "see the daemon's log"};
      if (value.is_object() && value.as_object().contains("message")) {
        error.field = std::string(value.at("field").as_string());
        error.message = std::string(value.at("message").as_string());
        error.remedy = std::string(value.at("remedy").as_string());
      }
      return error;
    }
    return last_error;
  }

  void print_table(const std::vector<std::vector<std::string>>& rows) const {
    std::vector<std::size_t> widths;
    for (const auto& row : rows)
      for (std::size_t column = 0; column < row.size(); ++column) {
        if (widths.size() <= column) widths.push_back(0);
        widths[column] = std::max(widths[column], row[column].size());
      }
    for (const auto& row : rows) {
      std::string line;
      for (std::size_t column = 0; column < row.size(); ++column)
        line +=
            row[column] + (column + 1 < row.size() ? std::string(widths[column] - row[column].size() + 2, ' ') : "");
      std::cout << line << "\n";
    }
  }
};

std::string to_text(const json::value& value) {
  return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

// Prints the given fields of a list of objects as a table, or the complete reply as JSON.
int show_list(const OperatorClient& client, const json::value& reply, const json::array& list,
              const std::vector<std::string>& fields) {
  if (client.as_json) return std::cout << json::serialize(reply) << "\n", 0;
  std::vector<std::vector<std::string>> rows{fields};
  for (const auto& each : list) {
    std::vector<std::string> row;
    for (const auto& field : fields) row.push_back(each.as_object().contains(field) ? to_text(each.at(field)) : "");
    rows.push_back(row);
  }
  client.print_table(rows);
  return 0;
}

int get(const OperatorClient& client, const std::string& type, const std::string& name) {
  auto reply = client.call("GET", "/v1/resources/" + type + (name.empty() ? "" : "/" + name));
  if (auto error = error_of(reply)) return client.report_error(*error);
  const json::value& value = std::get<json::value>(reply);
  if (name.empty())
    return show_list(client, value, value.at("resources").as_array(), {"type", "name", "version", "spec"});
  if (client.as_json) return std::cout << json::serialize(value) << "\n", 0;
  client.print_table(
      {{"type", to_text(value.at("type"))},
       {"name", to_text(value.at("name"))},
       {"version", to_text(value.at("version"))},
       {"spec", to_text(value.at("spec"))},
       {"taken", to_text(value.at("status").at("taken")) + " of " + to_text(value.at("status").at("members"))},
       {"waiting", to_text(value.at("status").at("waiting"))}});
  return 0;
}

// Writes a resource. Without a version, the current one is read first, and nothing is written if the spec is the same.
int put(const OperatorClient& client, const std::string& type, const std::string& name, const json::value& spec,
        std::optional<std::uint64_t> version) {
  const std::string path = "/v1/resources/" + type + "/" + name;
  if (!version) {
    auto current = client.call("GET", path);
    if (auto error = error_of(current)) {
      if (error->kind != ErrorKind::unknown_name || error->field != "name") return client.report_error(*error);
      version = 0;
    } else {
      const json::value& value = std::get<json::value>(current);
      version = value.at("version").to_number<std::uint64_t>();
      if (value.at("spec") == spec)
        return std::cout << type << "/" << name << " is unchanged, at version " << *version << "\n", 0;
    }
  }
  auto reply = client.call("PUT", path + "?version=" + std::to_string(*version), json::serialize(spec));
  if (auto error = error_of(reply)) return client.report_error(*error);
  const json::value& value = std::get<json::value>(reply);
  if (client.as_json)
    std::cout << json::serialize(value) << "\n";
  else
    std::cout << type << "/" << name << " is now at version " << to_text(value.at("version")) << "\n";
  return 0;
}

Result<std::vector<Document>> read_document_file(const std::string& file) {
  std::string text;
  if (file == "-") {
    text.assign(std::istreambuf_iterator<char>(std::cin), {});
  } else {
    std::ifstream stream(file);
    if (!stream)
      return Error{ErrorKind::invalid, "command", "the file '" + file + "' can't be read", "give a readable file"};
    text.assign(std::istreambuf_iterator<char>(stream), {});
  }
  return read_documents(text);
}

std::string fraction_text(double fraction, double target) {
  char text[48];
  std::snprintf(text, sizeof text, "%.2f%% of %.2f%%", fraction * 100, target * 100);
  return text;
}

// Reads the current configuration from a daemon.
Result<ConfigurationView> current_view(const OperatorClient& client) {
  auto reply = client.call("GET", "/v1/watch");
  if (auto error = error_of(reply)) return *error;
  ConfigurationView view;
  for (const auto& each : std::get<json::value>(reply).at("resources").as_array()) {
    const Bytes spec = json::serialize(each.at("spec"));
    apply_to_view(view, to_text(each.at("type")) + "/" + to_text(each.at("name")), &spec,
                  Stamp{Epoch{}, Version{each.at("version").to_number<std::uint64_t>()}});
  }
  return view;
}

// Validates a file against the current configuration, or against an empty one if no control address is given. With
// show_plan, prints what applying the file would change.
int check_or_plan(const OperatorClient& client, const std::string& file, bool show_plan) {
  auto documents = read_document_file(file);
  if (auto error = error_of(documents)) return client.report_error(*error);
  ConfigurationView view;
  if (show_plan || !client.control_addresses.empty()) {
    auto current = current_view(client);
    if (auto error = error_of(current)) return client.report_error(*error);
    view = std::get<ConfigurationView>(current);
  }
  auto planned = plan(std::get<std::vector<Document>>(documents), view);
  if (auto error = error_of(planned)) return client.report_error(*error);
  const Plan& found = std::get<Plan>(planned);
  if (!show_plan) return std::cout << std::get<std::vector<Document>>(documents).size() << " documents are valid.\n", 0;
  if (client.as_json) return std::cout << json::serialize(to_json(found)) << "\n", 0;
  for (const auto& line : found.changes) std::cout << line << "\n";
  for (const auto& line : found.warnings) std::cout << "warning: " << line << "\n";
  if (found.changes.empty()) std::cout << "Nothing would change.\n";
  return 0;
}

int apply(const OperatorClient& client, const std::string& file) {
  auto documents = read_document_file(file);
  if (auto error = error_of(documents)) return client.report_error(*error);
  // All documents are validated before the first one is sent, so that an invalid file changes nothing.
  auto view = current_view(client);
  if (auto error = error_of(view)) return client.report_error(*error);
  auto planned = plan(std::get<std::vector<Document>>(documents), std::get<ConfigurationView>(view));
  if (auto error = error_of(planned)) return client.report_error(*error);
  for (const auto& document : std::get<std::vector<Document>>(documents)) {
    auto checked = parse_json(document.canonical);
    if (const int code = put(client, document.type, document.name, std::get<json::value>(checked), document.version);
        code != 0)
      return code;
  }
  return 0;
}

int remove(const OperatorClient& client, const std::string& type, const std::string& name) {
  const std::string path = "/v1/resources/" + type + "/" + name;
  auto current = client.call("GET", path);
  if (auto error = error_of(current)) return client.report_error(*error);
  auto reply = client.call("DELETE", path + "?version=" + to_text(std::get<json::value>(current).at("version")));
  if (auto error = error_of(reply)) return client.report_error(*error);
  return std::cout << type << "/" << name << " is deleted\n", 0;
}

// Prints all resources first, and then each change. Only changes count towards the given number.
int watch(const OperatorClient& client, std::uint64_t count) {
  std::map<std::string, std::string> previous;
  std::string digest;
  for (bool first = true; count > 0; first = false) {
    auto reply = client.call("GET", "/v1/watch" + (digest.empty() ? "" : "?digest=" + digest));
    if (auto error = error_of(reply)) return client.report_error(*error);
    const json::value& value = std::get<json::value>(reply);
    digest = to_text(value.at("digest"));
    std::map<std::string, std::string> current;
    for (const auto& each : value.at("resources").as_array())
      current[to_text(each.at("type")) + "/" + to_text(each.at("name"))] =
          to_text(each.at("version")) + " " + to_text(each.at("spec"));
    auto print = [&](const std::string& line) {
      if (count == 0) return;
      std::cout << line << std::endl;
      if (!first) --count;
    };
    for (const auto& [key, version_and_spec] : current)
      if (auto before = previous.find(key); before == previous.end() || before->second != version_and_spec)
        print(key + " version " + version_and_spec);
    for (const auto& [key, version_and_spec] : previous)
      if (!current.contains(key)) print(key + " removed");
    previous = std::move(current);
  }
  return 0;
}

// Compares each aim with the requests that all daemons have counted since they started. Returns 1 if one is not met.
int aims(const OperatorClient& client) {
  auto view = current_view(client);
  if (auto error = error_of(view)) return client.report_error(*error);
  auto members = client.call("GET", "/v1/members");
  if (auto error = error_of(members)) return client.report_error(*error);
  std::map<std::string, AimCounts> sums;
  std::size_t without_reply = 0;
  for (const auto& member : std::get<json::value>(members).at("members").as_array()) {
    OperatorClient member_client = client;
    member_client.control_addresses = {Address(to_text(member.at("control")))};
    auto load = member_client.call("GET", "/v1/load");
    if (error_of(load)) {
      ++without_reply;
      continue;
    }
    auto counts = from_json<std::map<std::string, AimCounts>>(
        json::serialize(std::get<json::value>(load).at("entries").at("aims")));
    if (error_of(counts)) {
      ++without_reply;
      continue;
    }
    for (const auto& [name, each] : std::get<0>(counts)) {
      sums[name].ended += each.ended;
      sums[name].answered += each.answered;
      sums[name].in_time += each.in_time;
    }
  }
  json::array list;
  bool all_met = true;
  for (const auto& [name, aim] : std::get<ConfigurationView>(view).aims) {
    const AimCounts& sum = sums[name];
    const double ended = static_cast<double>(std::max<std::uint64_t>(1, sum.ended));
    const double answered = static_cast<double>(sum.answered) / ended,
                 in_time = static_cast<double>(sum.in_time) / ended;
    const bool met = sum.ended == 0 || (answered >= aim.spec.answered && in_time >= aim.spec.in_time);
    all_met = all_met && met;
    list.push_back(json::object{{"aim", name},
                                {"lane", aim.spec.lane},
                                {"requests", sum.ended},
                                {"answered", fraction_text(answered, aim.spec.answered)},
                                {"in_time", fraction_text(in_time, aim.spec.in_time)},
                                {"met", met}});
  }
  if (without_reply > 0)
    std::cerr << "mothwalk-operator: " << without_reply << " daemons did not reply and are not counted.\n";
  show_list(client, json::value(list), list, {"aim", "lane", "requests", "answered", "in_time", "met"});
  return all_met ? 0 : 1;
}

// Prints the state of each daemon. Returns 1 if one is not serving.
int health(const OperatorClient& client) {
  auto members = client.call("GET", "/v1/members");
  if (auto error = error_of(members)) return client.report_error(*error);
  json::array list;
  int code = 0;
  for (const auto& member : std::get<json::value>(members).at("members").as_array()) {
    OperatorClient member_client{{Address(to_text(member.at("control")))}, client.as_json};
    auto reply = member_client.call("GET", "/v1/health");
    if (error_of(reply)) {
      list.push_back(
          json::object{{"address", member.at("address")}, {"zone", member.at("zone")}, {"state", "no answer"}});
      code = 1;
      continue;
    }
    list.push_back(std::get<json::value>(reply));
    if (to_text(list.back().at("state")) != "serving") code = 1;
  }
  show_list(client, json::value(list), list,
            {"address", "zone", "state", "seated", "slots", "members", "roster", "stalled", "digest"});
  return code;
}

int run(const OperatorClient& client, const std::vector<std::string>& arguments) {
  const std::string& command = arguments[0];
  auto usage_error = [&](const std::string& what) {
    return client.report_error(Error{ErrorKind::invalid, "command", what, "see mothwalk-operator --help"});
  };
  const std::string first = arguments.size() > 1 ? arguments[1] : "", second = arguments.size() > 2 ? arguments[2] : "";
  auto has_arguments = [&](std::size_t min_count, std::size_t max_count) {
    return arguments.size() - 1 >= min_count && arguments.size() - 1 <= max_count;
  };
  if (command == "get" && has_arguments(1, 2)) return get(client, first, second);
  if (command == "apply" && has_arguments(1, 1)) return apply(client, first);
  if (command == "check" && has_arguments(1, 1)) return check_or_plan(client, first, false);
  if (command == "plan" && has_arguments(1, 1)) return check_or_plan(client, first, true);
  if (command == "delete" && has_arguments(2, 2)) return remove(client, first, second);
  if (command == "evacuate" && has_arguments(1, 1))
    return put(client, "zone", first, json::object{{"evacuated", true}}, std::nullopt);
  if (command == "restore" && has_arguments(1, 1))
    return put(client, "zone", first, json::object{{"evacuated", false}}, std::nullopt);
  if (command == "retire" && has_arguments(1, 1))
    return put(client, "holder", first, json::object{{"retired", true}}, std::nullopt);
  if (command == "reinstate" && has_arguments(1, 1))
    return put(client, "holder", first, json::object{{"retired", false}}, std::nullopt);
  if (command == "circle" && has_arguments(0, 1)) return get(client, "circle", first);
  if ((command == "health" || command == "soundness") && has_arguments(0, 0)) return health(client);
  if (command == "aims" && has_arguments(0, 0)) return aims(client);
  if (command == "watch" && has_arguments(0, 1)) {
    if (!first.empty() && (first.size() > 9 || first.find_first_not_of("0123456789") != std::string::npos))
      return usage_error("'" + first + "' is not a count");
    return watch(client, first.empty() ? UINT64_MAX : std::stoull(first));
  }
  if (command == "members" && has_arguments(0, 0)) {
    auto reply = client.call("GET", "/v1/members");
    if (auto error = error_of(reply)) return client.report_error(*error);
    const json::value& value = std::get<json::value>(reply);
    return show_list(client, value, value.at("members").as_array(),
                     {"address", "zone", "callers", "control", "holder", "roster", "version"});
  }
  if (command == "lots" && has_arguments(0, 1)) {
    auto reply = client.call("GET", "/lots" + (first.empty() ? "" : "/" + first));
    if (auto error = error_of(reply)) return client.report_error(*error);
    const json::value& value = std::get<json::value>(reply);
    if (first.empty()) {
      if (!client.as_json && !value.at("whole").as_bool())
        std::cerr << "mothwalk-operator: some storage nodes did not reply; the list is incomplete.\n";
      const int code =
          show_list(client, value, value.at("lots").as_array(), {"id", "lane", "state", "items", "results", "started"});
      return value.at("whole").as_bool() ? code : 1;
    }
    return show_list(client, value, json::array{value}, {"id", "lane", "state", "items", "results", "started"});
  }
  if (command == "cancel" && has_arguments(1, 1)) {
    auto reply = client.call("DELETE", "/lots/" + first);
    if (auto error = error_of(reply)) return client.report_error(*error);
    return std::cout << "lot " << first << " is " << to_text(std::get<json::value>(reply).at("state")) << "\n", 0;
  }
  return usage_error("'" + command + "' is not a command, or it has too few or too many arguments");
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  OperatorClient client;
  std::string control_addresses = ::getenv("MOTHWALK_CONTROL") == nullptr ? "" : ::getenv("MOTHWALK_CONTROL");
  const option flags[] = {
      {"control", 1, nullptr, 'c'}, {"json", 0, nullptr, 'j'}, {"help", 0, nullptr, 'h'}, {nullptr, 0, nullptr, 0}};
  for (int found = 0; (found = getopt_long(count, arguments, "", flags, nullptr)) != -1;) {
    if (found == 'c')
      control_addresses = optarg;
    else if (found == 'j')
      client.as_json = true;
    else if (found == 'h')
      return std::cout << help, 0;
    else
      return 2;
  }
  while (!control_addresses.empty()) {
    const auto comma = std::min(control_addresses.find(','), control_addresses.size());
    client.control_addresses.push_back(Address(control_addresses.substr(0, comma)));
    control_addresses.erase(0, comma + 1);
  }
  if (optind >= count) return std::cerr << help, 2;
  return run(client, std::vector<std::string>(arguments + optind, arguments + count));
}
