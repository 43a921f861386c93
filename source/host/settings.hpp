// The settings of a daemon: a settings file in JSON, and command-line flags that override it.
#pragma once
#include "coding/json.hpp"

namespace mothwalk {

// The settings of one daemon. The member names are the keys of the settings file.
struct Settings {
  Address address,                            // The address for other daemons.
      callers,                                // The HTTP address for clients.
      control;                                // The HTTP address for operators.
  ZoneId zone;                                // The zone that this machine is in.
  std::vector<Address> seeds;                 // The daemons that this one contacts first to join the fleet.
  std::string data_folder;                    // The folder for stored state; empty if this daemon stores none.
  std::string log_level = "notes";            // One of notes, warnings and quiet.
  std::string log_file;                       // Empty for standard output.
  Duration drain = std::chrono::seconds(20);  // How long a shutdown waits for open requests.
  std::string name;                           // The machine's name for operators; may be empty.
  std::string keeps;                          // What the data folder stores: "control", "lots", or empty for both.
  // Whether the whole fleet starts for the first time, with empty folders. If absent, the seeds decide from their
  // stored state.
  std::optional<bool> first_start;
  // Runs all components on one thread, which needs fewer wake-ups on machines with little processor time.
  bool single_thread = false;
  std::uint64_t disk_limit_mb = 0;  // The size limit of the data folder in millions of bytes; 0 if there is none known.
  Address health;                   // The HTTP address for readiness checks; empty if `control` serves them.
  MOTHWALK_FIELDS(address, callers, control, zone, seeds, data_folder, log_level, log_file, drain, name, keeps,
                  first_start, single_thread, disk_limit_mb, health)
};

// Returns the seeds of settings that were reloaded while the daemon runs. Settings that are invalid, or whose address
// or zone differ from the running daemon's, are refused as a whole.
Result<std::vector<Address>> reloaded_seeds(const Settings& running, const Result<Settings>& reloaded);

// A parsed command line. With `help` or `version` the settings are not read.
struct CommandLine {
  Settings settings;
  bool help = false, version = false, check = false;
};

std::string daemon_help();
Result<CommandLine> read_command_line(int argc, char** argv);

}  // namespace mothwalk
