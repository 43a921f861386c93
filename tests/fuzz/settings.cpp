// Settings: the platform's file, and the product's own by a flag. What is taken is whole.
#include <sys/mman.h>
#include <unistd.h>

#include "entry.hpp"
#include "host/tcp_transport.hpp"
#include "platform/settings.hpp"

namespace mothwalk::fuzz {

namespace {
void check(const Settings& settings) {
  expect(endpoint_of(settings.address).has_value(), "the address can be listened on");
  expect(endpoint_of(settings.callers).has_value(), "the callers' address can be listened on");
  expect(endpoint_of(settings.control).has_value(), "the operators' address can be listened on");
  expect(!settings.zone.empty(), "there is a zone");
  expect(settings.seeds.size() == 3, "there are three seeds");
}

void read_json_file(StringView text) {
  const int file = memfd_create("settings", 0);
  expect(file >= 0 && write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()), "a file is written");
  std::string program = "mothwalk-daemon", flag = "--settings", path = "/proc/self/fd/" + std::to_string(file);
  char* words[] = {program.data(), flag.data(), path.data(), nullptr};
  auto line = read_command_line(3, words);
  close(file);
  if (!error_of(line)) check(std::get<CommandLine>(line).settings);
}
}  // namespace

void run(StringView bytes) {
  if (bytes.starts_with('{')) return read_json_file(bytes);
  auto file = platform::read_node_text(bytes);
  if (!error_of(file)) check(std::get<platform::NodeFile>(file).settings);
}

}  // namespace mothwalk::fuzz
