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

  get TYPE [NAME]        resources of a type, or one with who has taken it
  apply FILE             documents {"type","name","spec"[,"version"]}, one or a list; "-" reads standard input
  delete TYPE NAME
  watch [COUNT]          prints changes as they come; ends after COUNT of them
  evacuate ZONE          no work to the zone's runners; "restore ZONE" takes it back
  restore ZONE
  retire ADDRESS         takes the holder's seat away; "reinstate ADDRESS" takes it back
  reinstate ADDRESS
  lots [ID]              kept lots, or one
  cancel ID              cancels a lot
  circle [KIND]          who takes live prompts, and why
  health              every daemon's state
  aims                   service-level aims against what was counted; exit code 1 if one is not met
  members                who is there
  check FILE             checks documents with the daemon's own code, without changing anything
  plan FILE              shows what applying the documents would change

Types: lane, kind, runner, zone, lots, holder, circle. The control addresses may also stand in MOTHWALK_CONTROL.
Exit codes: 0 done, 1 refused or not found, 2 wrong use, 3 no daemon answered, 4 the outcome is not known.
)";

// Sends calls to the daemons and prints results.
struct Tool {
  std::vector<Address> controls;
  bool as_json = false;

  // Prints the error and returns the exit code for it.
  int say(const Error& error) const {
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
    Error last{ErrorKind::lost, "control", "no control address is given",
               "name one with --control or MOTHWALK_CONTROL"};
    for (const auto& control : controls) {
      auto answer = http_call(control, method, target, body, std::chrono::seconds(25));
      if (auto error = error_of(answer)) {
        last = *error;
        if (error->kind != ErrorKind::lost && method != "GET") return last;
        continue;
      }
      const HttpAnswer& given = std::get<HttpAnswer>(answer);
      auto parsed = parse_json(given.body);
      if (auto error = error_of(parsed)) return *error;
      json::value value = std::get<json::value>(parsed);
      if (given.status == 200) return value;
      Error error{given.status == 404   ? ErrorKind::unknown_name
                  : given.status == 504 ? ErrorKind::unknown
                                        : ErrorKind::refused,
                  "", "the daemon answered " + std::to_string(given.status), "see its logs"};
      if (value.is_object() && value.as_object().contains("message")) {
        error.field = std::string(value.at("field").as_string());
        error.message = std::string(value.at("message").as_string());
        error.remedy = std::string(value.at("remedy").as_string());
      }
      return error;
    }
    return last;
  }

  void table(const std::vector<std::vector<std::string>>& rows) const {
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

std::string plain(const json::value& value) {
  return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

// Prints the given fields of a list of objects as a table, or the complete reply as JSON.
int show_list(const Tool& tool, const json::value& whole, const json::array& list,
              const std::vector<std::string>& fields) {
  if (tool.as_json) return std::cout << json::serialize(whole) << "\n", 0;
  std::vector<std::vector<std::string>> rows{fields};
  for (const auto& each : list) {
    std::vector<std::string> row;
    for (const auto& field : fields) row.push_back(each.as_object().contains(field) ? plain(each.at(field)) : "");
    rows.push_back(row);
  }
  tool.table(rows);
  return 0;
}

int get(const Tool& tool, const std::string& type, const std::string& name) {
  auto answer = tool.call("GET", "/v1/resources/" + type + (name.empty() ? "" : "/" + name));
  if (auto error = error_of(answer)) return tool.say(*error);
  const json::value& value = std::get<json::value>(answer);
  if (name.empty())
    return show_list(tool, value, value.at("resources").as_array(), {"type", "name", "version", "spec"});
  if (tool.as_json) return std::cout << json::serialize(value) << "\n", 0;
  tool.table({{"type", plain(value.at("type"))},
              {"name", plain(value.at("name"))},
              {"version", plain(value.at("version"))},
              {"spec", plain(value.at("spec"))},
              {"taken", plain(value.at("status").at("taken")) + " of " + plain(value.at("status").at("members"))},
              {"waiting", plain(value.at("status").at("waiting"))}});
  return 0;
}

// Writes a resource. Without a version, the current one is read first, and nothing is written if the spec is the same.
int put(const Tool& tool, const std::string& type, const std::string& name, const json::value& spec,
        std::optional<std::uint64_t> version) {
  const std::string path = "/v1/resources/" + type + "/" + name;
  if (!version) {
    auto current = tool.call("GET", path);
    if (auto error = error_of(current)) {
      if (error->kind != ErrorKind::unknown_name || error->field != "name") return tool.say(*error);
      version = 0;
    } else {
      const json::value& value = std::get<json::value>(current);
      version = value.at("version").to_number<std::uint64_t>();
      if (value.at("spec") == spec)
        return std::cout << type << "/" << name << " is so already, at version " << *version << "\n", 0;
    }
  }
  auto answer = tool.call("PUT", path + "?version=" + std::to_string(*version), json::serialize(spec));
  if (auto error = error_of(answer)) return tool.say(*error);
  const json::value& value = std::get<json::value>(answer);
  if (tool.as_json)
    std::cout << json::serialize(value) << "\n";
  else
    std::cout << type << "/" << name << " is at version " << plain(value.at("version")) << "\n";
  return 0;
}

Result<std::vector<Document>> documents_of(const std::string& file) {
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

std::string share_text(double share, double wanted) {
  char text[48];
  std::snprintf(text, sizeof text, "%.2f%% of %.2f%%", share * 100, wanted * 100);
  return text;
}

Result<ConfigurationView> current_view(const Tool& tool) {
  auto answer = tool.call("GET", "/v1/watch");
  if (auto error = error_of(answer)) return *error;
  ConfigurationView view;
  for (const auto& each : std::get<json::value>(answer).at("resources").as_array()) {
    const Bytes spec = json::serialize(each.at("spec"));
    put_in_view(view, plain(each.at("type")) + "/" + plain(each.at("name")), &spec,
                Stamp{Epoch{}, Version{each.at("version").to_number<std::uint64_t>()}});
  }
  return view;
}

int check_or_plan(const Tool& tool, const std::string& file, bool plan_it) {
  auto documents = documents_of(file);
  if (auto error = error_of(documents)) return tool.say(*error);
  ConfigurationView view;
  if (plan_it || !tool.controls.empty()) {
    auto current = current_view(tool);
    if (auto error = error_of(current)) return tool.say(*error);
    view = std::get<ConfigurationView>(current);
  }
  auto made = plan(std::get<std::vector<Document>>(documents), view);
  if (auto error = error_of(made)) return tool.say(*error);
  const Plan& found = std::get<Plan>(made);
  if (!plan_it) return std::cout << std::get<std::vector<Document>>(documents).size() << " documents are good.\n", 0;
  if (tool.as_json) return std::cout << json::serialize(to_json(found)) << "\n", 0;
  for (const auto& line : found.changes) std::cout << line << "\n";
  for (const auto& line : found.warnings) std::cout << "beware: " << line << "\n";
  if (found.changes.empty()) std::cout << "Nothing would change.\n";
  return 0;
}

int apply(const Tool& tool, const std::string& file) {
  auto documents = documents_of(file);
  if (auto error = error_of(documents)) return tool.say(*error);
  // All documents are validated before the first one is sent, so that an invalid file changes nothing.
  auto view = current_view(tool);
  if (auto error = error_of(view)) return tool.say(*error);
  auto made = plan(std::get<std::vector<Document>>(documents), std::get<ConfigurationView>(view));
  if (auto error = error_of(made)) return tool.say(*error);
  for (const auto& document : std::get<std::vector<Document>>(documents)) {
    auto checked = parse_json(document.canonical);
    if (const int code = put(tool, document.type, document.name, std::get<json::value>(checked), document.version);
        code != 0)
      return code;
  }
  return 0;
}

int remove(const Tool& tool, const std::string& type, const std::string& name) {
  const std::string path = "/v1/resources/" + type + "/" + name;
  auto current = tool.call("GET", path);
  if (auto error = error_of(current)) return tool.say(*error);
  auto answer = tool.call("DELETE", path + "?version=" + plain(std::get<json::value>(current).at("version")));
  if (auto error = error_of(answer)) return tool.say(*error);
  return std::cout << type << "/" << name << " is removed\n", 0;
}

int watch(const Tool& tool, std::uint64_t count) {
  std::map<std::string, std::string> known;
  std::string digest;
  for (bool first = true; count > 0; first = false) {
    auto answer = tool.call("GET", "/v1/watch" + (digest.empty() ? "" : "?digest=" + digest));
    if (auto error = error_of(answer)) return tool.say(*error);
    const json::value& value = std::get<json::value>(answer);
    digest = plain(value.at("digest"));
    std::map<std::string, std::string> now;
    for (const auto& each : value.at("resources").as_array())
      now[plain(each.at("type")) + "/" + plain(each.at("name"))] =
          plain(each.at("version")) + " " + plain(each.at("spec"));
    auto print = [&](const std::string& line) {
      if (count == 0) return;
      std::cout << line << std::endl;
      if (!first) --count;
    };
    for (const auto& [key, text] : now)
      if (auto before = known.find(key); before == known.end() || before->second != text)
        print(key + " version " + text);
    for (const auto& [key, text] : known)
      if (!now.contains(key)) print(key + " removed");
    known = std::move(now);
  }
  return 0;
}

// Compares each aim with the requests that all daemons have counted since they started. Returns 1 if one is not met.
int aims(const Tool& tool) {
  auto view = current_view(tool);
  if (auto error = error_of(view)) return tool.say(*error);
  auto members = tool.call("GET", "/v1/members");
  if (auto error = error_of(members)) return tool.say(*error);
  std::map<std::string, AimCounts> sums;
  std::size_t silent = 0;
  for (const auto& member : std::get<json::value>(members).at("members").as_array()) {
    Tool one = tool;
    one.controls = {Address(plain(member.at("control")))};
    auto load = one.call("GET", "/v1/load");
    if (error_of(load)) {
      ++silent;
      continue;
    }
    auto counts = from_json<std::map<std::string, AimCounts>>(
        json::serialize(std::get<json::value>(load).at("entries").at("aims")));
    if (error_of(counts)) {
      ++silent;
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
                                {"answered", share_text(answered, aim.spec.answered)},
                                {"in_time", share_text(in_time, aim.spec.in_time)},
                                {"met", met}});
  }
  if (silent > 0) std::cerr << "mothwalk-operator: " << silent << " daemons did not answer and are not counted.\n";
  show_list(tool, json::value(list), list, {"aim", "lane", "requests", "answered", "in_time", "met"});
  return all_met ? 0 : 1;
}

int health(const Tool& tool) {
  auto members = tool.call("GET", "/v1/members");
  if (auto error = error_of(members)) return tool.say(*error);
  json::array list;
  int code = 0;
  for (const auto& member : std::get<json::value>(members).at("members").as_array()) {
    Tool one{{Address(plain(member.at("control")))}, tool.as_json};
    auto answer = one.call("GET", "/v1/health");
    if (error_of(answer)) {
      list.push_back(
          json::object{{"address", member.at("address")}, {"zone", member.at("zone")}, {"state", "no answer"}});
      code = 1;
      continue;
    }
    list.push_back(std::get<json::value>(answer));
    if (plain(list.back().at("state")) != "serving") code = 1;
  }
  show_list(tool, json::value(list), list,
            {"address", "zone", "state", "seated", "slots", "members", "roster", "stalled", "digest"});
  return code;
}

int run(const Tool& tool, const std::vector<std::string>& words) {
  const std::string& command = words[0];
  auto wrong = [&](const std::string& what) {
    return tool.say(Error{ErrorKind::invalid, "command", what, "see mothwalk-operator --help"});
  };
  const std::string first = words.size() > 1 ? words[1] : "", second = words.size() > 2 ? words[2] : "";
  auto needs = [&](std::size_t least, std::size_t most) {
    return words.size() - 1 >= least && words.size() - 1 <= most;
  };
  if (command == "get" && needs(1, 2)) return get(tool, first, second);
  if (command == "apply" && needs(1, 1)) return apply(tool, first);
  if (command == "check" && needs(1, 1)) return check_or_plan(tool, first, false);
  if (command == "plan" && needs(1, 1)) return check_or_plan(tool, first, true);
  if (command == "delete" && needs(2, 2)) return remove(tool, first, second);
  if (command == "evacuate" && needs(1, 1))
    return put(tool, "zone", first, json::object{{"evacuated", true}}, std::nullopt);
  if (command == "restore" && needs(1, 1))
    return put(tool, "zone", first, json::object{{"evacuated", false}}, std::nullopt);
  if (command == "retire" && needs(1, 1))
    return put(tool, "holder", first, json::object{{"retired", true}}, std::nullopt);
  if (command == "reinstate" && needs(1, 1))
    return put(tool, "holder", first, json::object{{"retired", false}}, std::nullopt);
  if (command == "circle" && needs(0, 1)) return get(tool, "circle", first);
  if ((command == "health" || command == "soundness") && needs(0, 0)) return health(tool);
  if (command == "aims" && needs(0, 0)) return aims(tool);
  if (command == "watch" && needs(0, 1)) {
    if (!first.empty() && (first.size() > 9 || first.find_first_not_of("0123456789") != std::string::npos))
      return wrong("'" + first + "' is not a count");
    return watch(tool, first.empty() ? UINT64_MAX : std::stoull(first));
  }
  if (command == "members" && needs(0, 0)) {
    auto answer = tool.call("GET", "/v1/members");
    if (auto error = error_of(answer)) return tool.say(*error);
    const json::value& value = std::get<json::value>(answer);
    return show_list(tool, value, value.at("members").as_array(),
                     {"address", "zone", "callers", "control", "holder", "roster", "version"});
  }
  if (command == "lots" && needs(0, 1)) {
    auto answer = tool.call("GET", "/lots" + (first.empty() ? "" : "/" + first));
    if (auto error = error_of(answer)) return tool.say(*error);
    const json::value& value = std::get<json::value>(answer);
    if (first.empty()) {
      if (!tool.as_json && !value.at("whole").as_bool())
        std::cerr << "mothwalk-operator: some holders did not answer; the list is not whole.\n";
      const int code =
          show_list(tool, value, value.at("lots").as_array(), {"id", "lane", "state", "items", "results", "started"});
      return value.at("whole").as_bool() ? code : 1;
    }
    return show_list(tool, value, json::array{value}, {"id", "lane", "state", "items", "results", "started"});
  }
  if (command == "cancel" && needs(1, 1)) {
    auto answer = tool.call("DELETE", "/lots/" + first);
    if (auto error = error_of(answer)) return tool.say(*error);
    return std::cout << "lot " << first << " is " << plain(std::get<json::value>(answer).at("state")) << "\n", 0;
  }
  return wrong("'" + command + "' is not a command, or its words are too few or too many");
}

}  // namespace

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  Tool tool;
  std::string controls = ::getenv("MOTHWALK_CONTROL") == nullptr ? "" : ::getenv("MOTHWALK_CONTROL");
  const option flags[] = {
      {"control", 1, nullptr, 'c'}, {"json", 0, nullptr, 'j'}, {"help", 0, nullptr, 'h'}, {nullptr, 0, nullptr, 0}};
  for (int found = 0; (found = getopt_long(count, words, "", flags, nullptr)) != -1;) {
    if (found == 'c')
      controls = optarg;
    else if (found == 'j')
      tool.as_json = true;
    else if (found == 'h')
      return std::cout << help, 0;
    else
      return 2;
  }
  while (!controls.empty()) {
    const auto comma = std::min(controls.find(','), controls.size());
    tool.controls.push_back(Address(controls.substr(0, comma)));
    controls.erase(0, comma + 1);
  }
  if (optind >= count) return std::cerr << help, 2;
  return run(tool, std::vector<std::string>(words + optind, words + count));
}
