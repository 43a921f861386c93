// What a process is told about its place: a settings file in JSON, with a flag that overrides each setting.
#pragma once
#include "coding/json.hpp"

namespace mothwalk {

struct Settings {
  Address address, callers, control;
  ZoneId zone;
  std::vector<Address> seeds;
  std::string data_folder;          // empty: this daemon holds no state
  std::string log_level = "notes";  // notes, warnings, quiet
  std::string log_file;             // empty: standard output
  Duration drain = std::chrono::seconds(20);
  std::string name;   // of the machine, as operators know it; may be empty
  std::string keeps;  // what the data folder holds: empty for control state and lots, or "control", "lots"
  std::optional<bool>
      first_start;  // whether the whole fleet starts with empty folders; absent: the seeds hold state and know
  bool single_thread = false;       // all duties on one thread: fewer wake-ups where processor time is dear
  std::uint64_t disk_limit_mb = 0;  // room that the data folder may take, in millions of bytes; 0: not known
  Address health;                   // where watchers ask whether callers may come; empty: at control alone
  MOTHWALK_FIELDS(address, callers, control, zone, seeds, data_folder, log_level, log_file, drain, name, keeps,
                  first_start, single_thread, disk_limit_mb, health)
};

// The seeds of settings that were read again while the daemon runs. Settings that are faulty, or that describe another
// daemon than the running one, are refused whole.
Result<std::vector<Address>> seeds_read_again(const Settings& running, const Result<Settings>& again);

struct CommandLine {
  Settings settings;
  bool help = false, version = false, check = false;
};

std::string daemon_help();
Result<CommandLine> read_command_line(int count, char** words);

}  // namespace mothwalk
