// mothwalk-daemon: reads its settings and runs until a signal ends it.
#include <csignal>
#include <iostream>

#include "host/daemon.hpp"
#include "host/logs.hpp"

int main(int argc, char** argv) {
  using namespace mothwalk;
  auto print_error = [](const Error& error) {
    std::cerr << "mothwalk-daemon: " << error.field << ": " << error.message << "; " << error.remedy << ".\n";
  };
  std::unique_ptr<PlatformAdapter> platform = argc == 1 ? platform_adapter_of_process() : nullptr;
  auto parsed = platform ? Result<CommandLine>(CommandLine{}) : read_command_line(argc, argv);
  if (auto error = error_of(parsed)) {
    print_error(*error);
    return 2;
  }
  CommandLine& command_line = std::get<CommandLine>(parsed);
  if (platform) {
    auto loaded = platform->settings();
    if (auto error = error_of(loaded)) return print_error(*error), 2;
    command_line.settings = std::move(std::get<Settings>(loaded));
  }
  if (command_line.help) return std::cout << daemon_help(), 0;
  if (command_line.version) return std::cout << "mothwalk-daemon " MOTHWALK_VERSION "\n", 0;
  if (command_line.check) return std::cout << "The settings are valid.\n", 0;
  std::signal(SIGPIPE, SIG_IGN);
  logs::start(command_line.settings.log_level, command_line.settings.log_file);
  Daemon daemon(command_line.settings, MOTHWALK_VERSION, std::move(platform));
  auto opened = daemon.open();
  if (auto error = error_of(opened)) {
    print_error(*error);
    return error->field == "data_folder" || error->field == "record_file" ? 3 : 4;
  }
  return daemon.run();
}
