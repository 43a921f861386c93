// The daemon's log, written through easylogging++. Each line names the component it comes from.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk::logs {
// Sets the level (notes, warnings or quiet) and the file; an empty file name means standard output.
void start(StringView level, StringView file);
void info(StringView component, StringView message);
void warn(StringView component, StringView message);
}  // namespace mothwalk::logs
