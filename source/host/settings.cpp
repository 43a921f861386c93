// Reading and checking of settings and flags.
#include "host/settings.hpp"

#include <getopt.h>

#include <fstream>
#include <iterator>

#include "host/tcp_transport.hpp"

namespace mothwalk {

namespace {

struct Flag {
  const char* name;
  const char* field;  // of Settings, or empty
  const char* help;
};

constexpr Flag flags[] = {
    {"settings", "", "FILE   a settings file (JSON); flags override it"},
    {"address", "address", "IP:PORT   where other daemons reach this one"},
    {"callers", "callers", "IP:PORT   where callers reach it (HTTP)"},
    {"control", "control", "IP:PORT   where operators reach it (HTTP)"},
    {"zone", "zone", "NAME   the zone it stands in"},
    {"hall", "zone", "NAME   the former name of --zone, understood for one release"},
    {"seeds", "seeds", "IP:PORT,IP:PORT,IP:PORT   three other daemons' addresses, or its own among them"},
    {"data-folder", "data_folder", "FOLDER   where it holds state; without one it holds none"},
    {"name", "name", "NAME   of the machine, as operators know it"},
    {"keeps", "keeps", "control|lots   what the data folder holds (default: both)"},
    {"health", "health", "IP:PORT   where watchers ask whether callers may come"},
    {"log-level", "log_level", "notes|warnings|quiet"},
    {"log-file", "log_file", "FILE   instead of standard output"},
    {"drain", "drain", "MILLISECONDS   how long SIGTERM waits for open requests (default 20000)"},
    {"check-settings", "", "  checks the settings and ends"},
    {"version", "", "  prints the version and ends"},
    {"help", "", "  prints this and ends"},
};

Error wrong(std::string field, std::string message, std::string remedy) {
  return Error{ErrorKind::invalid, std::move(field), std::move(message), std::move(remedy)};
}

std::optional<Error> check(const Settings& settings) {
  for (auto [name, address] : {std::pair<const char*, const Address*>{"address", &settings.address},
                               {"callers", &settings.callers},
                               {"control", &settings.control}})
    if (!endpoint_of(*address) || endpoint_of(*address)->port() == 0)
      return wrong(name, "'" + address->text + "' is not an address", "give ip:port with a port from 1 to 65535");
  if (settings.address == settings.callers || settings.address == settings.control ||
      settings.callers == settings.control)
    return wrong("address", "two sides have the same address", "give address, callers and control a port each");
  if (settings.zone.empty()) return wrong("zone", "the zone is missing", "name the zone that this machine stands in");
  if (settings.seeds.size() != 3)
    return wrong("seeds", std::to_string(settings.seeds.size()) + " seeds are given", "give three addresses");
  for (std::size_t index = 0; index < settings.seeds.size(); ++index) {
    if (!endpoint_of(settings.seeds[index]))
      return wrong("seeds[" + std::to_string(index) + "]", "'" + settings.seeds[index].text + "' is not an address",
                   "give ip:port");
    for (std::size_t other = 0; other < index; ++other)
      if (settings.seeds[other] == settings.seeds[index])
        return wrong("seeds[" + std::to_string(index) + "]", "the seed is given twice",
                     "give three different addresses");
  }
  if (!settings.keeps.empty() && settings.keeps != "control" && settings.keeps != "lots")
    return wrong("keeps", "'" + settings.keeps + "' is not known", "give control or lots, or leave it out");
  if (!settings.health.empty() && !endpoint_of(settings.health))
    return wrong("health", "'" + settings.health.text + "' is not an address", "give ip:port");
  if (settings.log_level != "notes" && settings.log_level != "warnings" && settings.log_level != "quiet")
    return wrong("log_level", "'" + settings.log_level + "' is not a log level", "give notes, warnings or quiet");
  return std::nullopt;
}

}  // namespace

std::string daemon_help() {
  std::string text =
      "mothwalk-daemon: carries callers' traffic, takes operators' calls and, with a data folder, holds state.\n\n";
  for (const auto& flag : flags) text += "  --" + std::string(flag.name) + " " + flag.help + "\n";
  text += "\nExit codes: 0 ended as asked, 2 settings at fault, 3 data folder at fault, 4 can't listen.\n";
  return text;
}

Result<CommandLine> read_command_line(int count, char** words) {
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
  for (int found = 0; (found = getopt_long(count, words, "", options.data(), &index)) != -1;) {
    if (found != 0)
      return wrong("flags", std::string("'") + words[optind - 1] + "' is not a flag, or lacks its value", "see --help");
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
        return wrong("drain", "'" + value + "' is not a number", "give milliseconds");
      overrides["drain"] = std::stoll(value);
    } else {
      overrides[flags[index].field] = value;
    }
  }
  if (optind < count) return wrong("flags", std::string("'") + words[optind] + "' is not a flag", "see --help");
  if (line.help || line.version) return line;
  json::value document = json::object{};
  if (!file.empty()) {
    std::ifstream stream(file);
    if (!stream) return wrong("settings", "the file '" + file + "' can't be read", "give a readable settings file");
    const std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    auto parsed = parse_json(text);
    if (auto error = error_of(parsed)) return *error;
    document = std::get<json::value>(parsed);
    if (!document.is_object())
      return wrong("settings", "the file is not a JSON object", "see the operators' page for an example");
  }
  for (const auto& each : overrides) document.as_object()[each.key()] = each.value();
  if (auto error = JsonReader::read(document, line.settings, "")) return *error;
  if (auto error = check(line.settings)) return *error;
  return line;
}

Result<std::vector<Address>> seeds_read_again(const Settings& running, const Result<Settings>& again) {
  if (auto error = error_of(again)) return *error;
  const Settings& settings = std::get<Settings>(again);
  if (settings.address != running.address || settings.zone != running.zone)
    return Error{ErrorKind::invalid, "settings", "they describe another daemon than this one",
                 "start this daemon again to move it"};
  if (settings.seeds.empty()) return Error{ErrorKind::invalid, "seeds", "no seed is given", "name up to three daemons"};
  return settings.seeds;
}

}  // namespace mothwalk
