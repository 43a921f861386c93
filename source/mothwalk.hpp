// The common header of the project: byte and view aliases, the small types for ids, versions and times, and the
// typed errors that every part replies with. An error names the invalid field, says what is wrong and what mends it.
#pragma once
#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mothwalk {

using Bytes = std::string;
using StringView = std::string_view;

template <class Tag>
struct StrongString {
  std::string text;
  StrongString() = default;
  explicit StrongString(std::string given) : text(std::move(given)) {}
  bool empty() const { return text.empty(); }
  auto operator<=>(const StrongString&) const = default;
};

template <class Tag>
struct StrongInteger {
  std::uint64_t value = 0;
  auto operator<=>(const StrongInteger&) const = default;
  StrongInteger next() const { return StrongInteger{value + 1}; }
};

using Address = StrongString<struct AddressTag>;  // ip:port of a daemon's peer side or of a runner
using ZoneId = StrongString<struct ZoneTag>;      // a zone
using RunnerId = StrongString<struct RunnerTag>;
using KindId = StrongString<struct KindTag>;
using StorageNodeId = StrongString<struct StorageNodeTag>;  // random identity of a data folder
using Epoch = StrongInteger<struct EpochTag>;
using Version = StrongInteger<struct VersionTag>;

struct Stamp {
  Epoch epoch;
  Version version;
  template <class Visitor>
  void fields(Visitor&& visit) {
    visit("epoch", epoch);
    visit("version", version);
  }
  template <class Visitor>
  void fields(Visitor&& visit) const {
    visit("epoch", epoch);
    visit("version", version);
  }
  auto operator<=>(const Stamp&) const = default;
};

using Duration = std::chrono::microseconds;  // a length of time
struct TimePoint {                           // a point on the steady clock that counts suspended time
  std::int64_t microseconds = 0;
  auto operator<=>(const TimePoint&) const = default;
  TimePoint operator+(Duration span) const { return TimePoint{microseconds + span.count()}; }
  Duration operator-(TimePoint other) const { return Duration{microseconds - other.microseconds}; }
};

enum class ErrorKind { invalid, unknown_name, conflict, stale, refused, unknown, too_large, damaged, busy, lost };

struct Error {
  ErrorKind kind = ErrorKind::invalid;
  std::string field;
  std::string message;
  std::string remedy;
};

template <class Value>
using Result = std::variant<Value, Error>;
struct Success {};

template <class Value>
const Error* error_of(const Result<Value>& result) {
  return std::get_if<Error>(&result);
}

std::string_view error_name(ErrorKind kind);
int error_status(ErrorKind kind);
std::uint64_t hash_of(StringView text, std::uint64_t seed = 0);

}  // namespace mothwalk
