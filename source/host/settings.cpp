// Reads and checks settings files and command-line flags.
#include "host/settings.hpp"

#include <getopt.h>

#include <fstream>
#include <iterator>

#include "host/tcp_transport.hpp"

namespace mothwalk {

namespace {

struct Flag {
  const char* name;
  const char* field;  // The member of Settings that the flag sets; empty if it sets none.
  const char* help;
};

constexpr Flag flags[] = {
    {"settings", "", "FILE   a settings file in JSON; flags override its values"},
    {"address", "address", "IP:PORT   the address that other daemons connect to"},
    {"callers", "callers", "IP:PORT   the address for clients (HTTP)"},
    {"control", "control", "IP:PORT   the address for operators (HTTP)"},
    {"zone", "zone", "NAME   the zone that this machine is in"},
    {"hall", "zone", "NAME   the former name of --zone, accepted for one release"},
    {"seeds", "seeds", "IP:PORT,IP:PORT,IP:PORT   the addresses of three daemons; this daemon may be one of them"},
    {"data-folder", "data_folder", "FOLDER   the folder for stored state; without it this daemon stores nothing"},
    {"name", "name", "NAME   the machine's name for operators"},
    {"keeps", "keeps", "control|lots   what the data folder stores (default: both)"},
    {"health", "health", "IP:PORT   the address for readiness checks (HTTP)"},
    {"log-level", "log_level", "notes|warnings|quiet"},
    {"log-file", "log_file", "FILE   the log file (default: standard output)"},
    {"drain", "drain", "MILLISECONDS   how long a shutdown waits for open requests (default 20000)"},
    {"check-settings", "", "  check the settings and exit"},
    {"version", "", "  print the version and exit"},
    {"help", "", "  print this help and exit"},
};

Error invalid_setting(std::string field, std::string message, std::string remedy) {
  return Error{ErrorKind::invalid, std::move(field), std::move(message), std::move(remedy)};
}

std::optional<Error> check(const Settings& settings) {
  for (auto [name, address] : {std::pair<const char*, const Address*>{"address", &settings.address},
                               {"callers", &settings.callers},
                               {"control", &settings.control}})
    if (!endpoint_of(*address) || endpoint_of(*address)->port() == 0)
      return invalid_setting(name, "'" + address->text + "' is not an address",
                             "give ip:port with a port from 1 to 65535");
  if (settings.address == settings.callers || settings.address == settings.control ||
      settings.callers == settings.control)
    return invalid_setting("address", "two of address, callers and control are the same",
                           "use a different port for each");
  if (settings.zone.empty())
    return invalid_setting("zone", "the zone is missing", "name the zone that this machine is in");
  if (settings.seeds.size() != 3)
    return invalid_setting("seeds", std::to_string(settings.seeds.size()) + " seeds are given instead of three",
                           "give three addresses");
  for (std::size_t index = 0; index < settings.seeds.size(); ++index) {
    if (!endpoint_of(settings.seeds[index]))
      return invalid_setting("seeds[" + std::to_string(index) + "]",
                             "'" + settings.seeds[index].text + "' is not an address", "give ip:port");
    for (std::size_t other = 0; other < index; ++other)
      if (settings.seeds[other] == settings.seeds[index])
        return invalid_setting("seeds[" + std::to_string(index) + "]", "the seed is given twice",
                               "give three different addresses");
  }
  if (!settings.keeps.empty() && settings.keeps != "control" && settings.keeps != "lots")
    return invalid_setting("keeps", "'" + settings.keeps + "' is not a known value",
                           "give control or lots, or omit the setting");
  if (!settings.health.empty() && !endpoint_of(settings.health))
    return invalid_setting("health", "'" + settings.health.text + "' is not an address", "give ip:port");
  if (settings.log_level != "notes" && settings.log_level != "warnings" && settings.log_level != "quiet")
    return invalid_setting("log_level", "'" + settings.log_level + "' is not a log level",
                           "give notes, warnings or quiet");
  return std::nullopt;
}

}  // namespace

std::string daemon_help() {
  std::string text =
      "mothwalk-daemon: serves clients' and operators' requests and, with a data folder, stores state.\n\n";
  for (const auto& flag : flags) text += "  --" + std::string(flag.name) + " " + flag.help + "\n";
  text += "\nExit codes: 0 normal end, 2 invalid settings, 3 unusable data folder, 4 cannot listen.\n";
  return text;
}

Result<CommandLine> read_command_line(int argc, char** argv) {
  std::vector<option> options;
  for (const auto& flag : flags) {
    const StringView name = flag.name;
    options.push_back(option{
        flag.name, name == "check-settings" || name == "version" || name == "help" ? no_argument : required_argument,
        nullptr, 0});
  }
  options.push_back(option{nullptr, 0, nullptr, 0});
  CommandLine line;
  json::object overrides;
  std::string file;
  optind = 1;
  opterr = 0;
  int index = 0;
  for (int result = 0; (result = getopt_long(argc, argv, "", options.data(), &index)) != -1;) {
    if (result != 0)
      return invalid_setting("flags",
                             std::string("'") + argv[optind - 1] + "' is not a known flag, or its value is missing",
                             "see --help");
    const StringView name = flags[index].name;
    const std::string value = optarg == nullptr ? "" : optarg;
    if (name == "help")
      line.help = true;
    else if (name == "version")
      line.version = true;
    else if (name == "check-settings")
      line.check = true;
    else if (name == "settings")
      file = value;
    else if (name == "seeds") {
      json::array list;
      std::size_t at = 0;
      while (at <= value.size()) {
        const auto comma = std::min(value.find(',', at), value.size());
        list.push_back(json::value(json::string(value.substr(at, comma - at))));
        at = comma + 1;
      }
      overrides["seeds"] = list;
    } else if (name == "drain") {
      if (value.empty() || value.size() > 9 || value.find_first_not_of("0123456789") != std::string::npos)
        return invalid_setting("drain", "'" + value + "' is not a number", "give milliseconds");
      overrides["drain"] = std::stoll(value);
    } else {
      overrides[flags[index].field] = value;
    }
  }
  if (optind < argc)
    return invalid_setting("flags", std::string("'") + argv[optind] + "' is not a known flag", "see --help");
  if (line.help || line.version) return line;
  json::value document = json::object{};
  if (!file.empty()) {
    std::ifstream stream(file);
    if (!stream)
      return invalid_setting("settings", "the file '" + file + "' cannot be read", "give a readable settings file");
    const std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    auto parsed = parse_json(text);
    if (auto error = error_of(parsed)) return *error;
    document = std::get<json::value>(parsed);
    if (!document.is_object())
      return invalid_setting("settings", "the file is not a JSON object", "give one JSON object with the settings");
  }
  for (const auto& each : overrides) document.as_object()[each.key()] = each.value();
  if (auto error = JsonReader::read(document, line.settings, "")) return *error;
  if (auto error = check(line.settings)) return *error;
  return line;
}

Result<std::vector<Address>> reloaded_seeds(const Settings& running, const Result<Settings>& reloaded) {
  if (auto error = error_of(reloaded)) return *error;
  const Settings& settings = std::get<Settings>(reloaded);
  if (settings.address != running.address || settings.zone != running.zone)
    return Error{ErrorKind::invalid, "settings", "the address or the zone differs from that of the running daemon",
                 "restart the daemon to change its address or zone"};
  if (settings.seeds.empty())
    return Error{ErrorKind::invalid, "seeds", "no seed is given", "give the addresses of up to three daemons"};
  return settings.seeds;
}

}  // namespace mothwalk
