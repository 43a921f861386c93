// What a process is told about its place: a settings file in JSON, with a flag that overrides each setting.
#pragma once
#include "coding/json.hpp"

namespace mothwalk {

struct Settings {
  Address address, callers, control;
  ZoneId hall;
  std::vector<Address> seeds;
  std::string data_folder;             // empty: this daemon holds no state
  std::string log_level = "notes";     // notes, warnings, quiet
  std::string log_file;                // empty: standard output
  Span drain = std::chrono::seconds(20);
  MOTHWALK_FIELDS(address, callers, control, hall, seeds, data_folder, log_level, log_file, drain)
};

struct CommandLine {
  Settings settings;
  bool help = false, version = false, check = false;
};

std::string daemon_help();
Result<CommandLine> read_command_line(int count, char** words);

}  // namespace mothwalk
