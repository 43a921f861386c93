// Fuzzes the settings files: the platform's (TOML) and the product's own (JSON, named by --settings). Settings that are
// accepted are complete.
#include <sys/mman.h>
#include <unistd.h>

#include "entry.hpp"
#include "host/tcp_transport.hpp"
#include "platform/settings.hpp"

namespace mothwalk::fuzz {

namespace {
void check(const Settings& settings) {
  expect(endpoint_of(settings.address).has_value(), "the address can be listened on");
  expect(endpoint_of(settings.callers).has_value(), "the clients' address can be listened on");
  expect(endpoint_of(settings.control).has_value(), "the operators' address can be listened on");
  expect(!settings.zone.empty(), "the settings name a zone");
  expect(settings.seeds.size() == 3, "the settings name three seeds");
}

void read_json_file(StringView text) {
  const int file = memfd_create("settings", 0);
  expect(file >= 0 && write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()),
         "the settings file is written to memory");
  std::string program = "mothwalk-daemon", flag = "--settings", path = "/proc/self/fd/" + std::to_string(file);
  char* arguments[] = {program.data(), flag.data(), path.data(), nullptr};
  auto command_line = read_command_line(3, arguments);
  close(file);
  if (!error_of(command_line)) check(std::get<CommandLine>(command_line).settings);
}
}  // namespace

void run(StringView bytes) {
  if (bytes.starts_with('{')) return read_json_file(bytes);
  auto file = platform::parse_node_file(bytes);
  if (!error_of(file)) check(std::get<platform::NodeFile>(file).settings);
}

}  // namespace mothwalk::fuzz
