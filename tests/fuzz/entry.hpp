// The entry point that libFuzzer calls. Each target includes this file once.
#pragma once
#include "fuzz.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  mothwalk::fuzz::run(mothwalk::StringView(reinterpret_cast<const char*>(data), size));
  return 0;
}
