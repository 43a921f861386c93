// Settings and flags: errors name the invalid setting, and a flag overrides the settings file.
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include "host/file_disk.hpp"
#include "host/settings.hpp"

using namespace mothwalk;

namespace {
Result<CommandLine> parse(std::vector<std::string> words) {
  std::vector<char*> pointers;
  words.insert(words.begin(), "mothwalk-daemon");
  for (auto& word : words) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  return read_command_line(static_cast<int>(words.size()), pointers.data());
}
const std::vector<std::string> valid_flags{
    "--address",      "127.0.0.1:7001", "--callers", "127.0.0.1:7002", "--control",
    "127.0.0.1:7003", "--zone",         "north",     "--seeds",        "127.0.0.1:7001,127.0.0.1:7101,127.0.0.1:7201"};
std::vector<std::string> flags_with(std::vector<std::string> more) {
  auto words = valid_flags;
  words.insert(words.end(), more.begin(), more.end());
  return words;
}
struct TemporaryFolder {
  std::filesystem::path path = std::filesystem::temp_directory_path() / ("mothwalk-test-" + std::to_string(::getpid()));
  TemporaryFolder() { std::filesystem::create_directories(path); }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
};
}  // namespace

TEST_CASE("valid settings are accepted, and an error names the invalid one") {
  CHECK(error_of(parse(valid_flags)) == nullptr);
  CHECK(error_of(parse({}))->field == "address");
  CHECK(error_of(parse(flags_with({"--seeds", "127.0.0.1:7001"})))->field == "seeds");
  CHECK(error_of(parse(flags_with({"--seeds", "127.0.0.1:7001,nowhere,127.0.0.1:7201"})))->field == "seeds[1]");
  CHECK(error_of(parse(flags_with({"--seeds", "127.0.0.1:7001,127.0.0.1:7001,127.0.0.1:7201"})))->field == "seeds[1]");
  CHECK(error_of(parse(flags_with({"--callers", "127.0.0.1:0"})))->field == "callers");
  CHECK(error_of(parse(flags_with({"--callers", "127.0.0.1:7001"})))->field == "address");
  CHECK(error_of(parse(flags_with({"--log-level", "loud"})))->field == "log_level");
  CHECK(error_of(parse(flags_with({"--drain", "soon"})))->field == "drain");
  CHECK(error_of(parse(flags_with({"--colour", "red"})))->field == "flags");
  CHECK(error_of(parse(flags_with({"extra"})))->field == "flags");
  CHECK(error_of(parse(flags_with({"--settings", "/nowhere/at/all"})))->field == "settings");
  CHECK(std::get<CommandLine>(parse({"--help"})).help);
}

TEST_CASE("a flag overrides the settings file, and an error names an unknown key of the file") {
  TemporaryFolder folder;
  const std::string path = folder.path / "settings.json";
  std::ofstream(path)
      << R"({"address":"127.0.0.1:1001","callers":"127.0.0.1:1002","control":"127.0.0.1:1003","zone":"south","seeds":["127.0.0.1:1","127.0.0.1:2","127.0.0.1:3"],"drain":50})";
  auto line = parse({"--settings", path, "--zone", "west"});
  REQUIRE(error_of(line) == nullptr);
  CHECK(std::get<CommandLine>(line).settings.zone.text == "west");
  CHECK(std::get<CommandLine>(line).settings.drain == std::chrono::milliseconds(50));
  std::ofstream(path) << R"({"hal":"south"})";
  CHECK(error_of(parse({"--settings", path}))->field == "hal");
}

TEST_CASE("a data folder must be writable and is used by one daemon at a time") {
  TemporaryFolder folder;
  auto discard = [](Task) {
  };
  FileDisk first(folder.path / "data", discard), second(folder.path / "data", discard),
      nowhere("/proc/none/data", discard);
  CHECK(error_of(first.open()) == nullptr);
  CHECK(error_of(second.open())->field == "data_folder");
  CHECK(error_of(nowhere.open())->field == "data_folder");
}
