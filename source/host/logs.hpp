// Logs: short sentences with a fixed prefix for each part, through easylogging++.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk::logs {
void start(View level, View file);
void note(View part, View sentence);
void warn(View part, View sentence);
}  // namespace mothwalk::logs
