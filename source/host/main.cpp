// mothwalk-daemon: reads its settings and runs until it is told to end.
#include <csignal>
#include <iostream>

#include "host/daemon.hpp"
#include "host/logs.hpp"

int main(int count, char** words) {
  using namespace mothwalk;
  auto complain = [](const Error& error) {
    std::cerr << "mothwalk-daemon: " << error.field << ": " << error.message << "; " << error.remedy << ".\n";
  };
  std::unique_ptr<PlatformAdapter> place = count == 1 ? platform_adapter_of_process() : nullptr;
  auto line = place ? Result<CommandLine>(CommandLine{}) : read_command_line(count, words);
  if (auto error = error_of(line)) {
    complain(*error);
    return 2;
  }
  CommandLine& given = std::get<CommandLine>(line);
  if (place) {
    auto told = place->settings();
    if (auto error = error_of(told)) return complain(*error), 2;
    given.settings = std::move(std::get<Settings>(told));
  }
  if (given.help) return std::cout << daemon_help(), 0;
  if (given.version) return std::cout << "mothwalk-daemon " MOTHWALK_VERSION "\n", 0;
  if (given.check) return std::cout << "The settings are good.\n", 0;
  std::signal(SIGPIPE, SIG_IGN);
  logs::start(given.settings.log_level, given.settings.log_file);
  Daemon daemon(given.settings, MOTHWALK_VERSION, std::move(place));
  auto opened = daemon.open();
  if (auto error = error_of(opened)) {
    complain(*error);
    return error->field == "data_folder" || error->field == "record_file" ? 3 : 4;
  }
  return daemon.run();
}
