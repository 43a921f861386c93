// Only this file includes easylogging++.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#include "host/logs.hpp"

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#include <easylogging++.h>
#include <easylogging++.cc>
#pragma GCC diagnostic pop
#include <atomic>

INITIALIZE_EASYLOGGINGPP

namespace mothwalk::logs {
namespace {
std::atomic<int> threshold{2};
}
void start(StringView level, StringView file) {
  threshold = level == "quiet" ? 2 : level == "warnings" ? 1 : 0;
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  settings.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
  if (!file.empty()) settings.setGlobally(el::ConfigurationType::Filename, std::string(file));
  el::Loggers::reconfigureLogger("default", settings);
}
void info(StringView component, StringView message) {
  if (threshold <= 0) LOG(INFO) << "[" << component << "] " << message;
}
void warn(StringView component, StringView message) {
  if (threshold <= 1) LOG(WARNING) << "[" << component << "] " << message;
}
}  // namespace mothwalk::logs
