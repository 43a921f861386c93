// Logs: short sentences with a fixed prefix for each part, through easylogging++.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk::logs {
void start(StringView level, StringView file);
void note(StringView part, StringView sentence);
void warn(StringView part, StringView sentence);
}  // namespace mothwalk::logs
