// The common header of the project: aliases for bytes and views, types for identities, versions and times, and the
// error type that all components use. An error names the field, what is wrong with it and the remedy.
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

// A string of its own type, so that, for example, a zone cannot be passed as a runner.
template <class Tag>
struct StrongString {
  std::string text;
  StrongString() = default;
  explicit StrongString(std::string value) : text(std::move(value)) {}
  bool empty() const { return text.empty(); }
  auto operator<=>(const StrongString&) const = default;
};

// An unsigned integer of its own type.
template <class Tag>
struct StrongInteger {
  std::uint64_t value = 0;
  auto operator<=>(const StrongInteger&) const = default;
  StrongInteger next() const { return StrongInteger{value + 1}; }
};

using Address = StrongString<struct AddressTag>;  // The ip:port of a runner, or of a daemon for other daemons.
using ZoneId = StrongString<struct ZoneTag>;      // A failure domain, such as a hall of a data centre.
using RunnerId = StrongString<struct RunnerTag>;  // A server that runs models.
using KindId = StrongString<struct KindTag>;      // A group of interchangeable runners.
using StorageNodeId = StrongString<struct StorageNodeTag>;  // The random identity of a data folder.
using Epoch = StrongInteger<struct EpochTag>;               // Grows each time the owner of a slot of keys changes.
using Version = StrongInteger<struct VersionTag>;           // Counts the changes of a record or list.

// The position of a stored value in the history of its key: the epoch of the owner that wrote it, and its version.
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

using Duration = std::chrono::microseconds;

// A time on the steady clock, which also counts the time during which the machine is suspended.
struct TimePoint {
  std::int64_t microseconds = 0;
  auto operator<=>(const TimePoint&) const = default;
  TimePoint operator+(Duration span) const { return TimePoint{microseconds + span.count()}; }
  Duration operator-(TimePoint other) const { return Duration{microseconds - other.microseconds}; }
};

// What kind of error it is. The numeric values are sent between daemons, so new kinds are added at the end.
enum class ErrorKind {
  invalid,       // The request or a field of it is not valid.
  unknown_name,  // The resource does not exist.
  conflict,      // The request contradicts the current state.
  stale,         // The request refers to an outdated version, term or incarnation.
  refused,       // The request was not processed and can be retried.
  unknown,       // The outcome is unknown: the request may have been processed.
  too_large,     // A limit on size is exceeded.
  damaged,       // Stored or received data cannot be read.
  busy,          // The component cannot process the request now, for example during a takeover.
  lost           // The other side cannot be reached or did not reply in time.
};

// An error: the field that it concerns, what is wrong, and what the caller can do about it.
struct Error {
  ErrorKind kind = ErrorKind::invalid;
  std::string field;
  std::string message;
  std::string remedy;
};

// A value or an error.
template <class Value>
using Result = std::variant<Value, Error>;
// The value of a Result that carries no data.
struct Success {};

// Returns the error of a result, or null if the result is a value.
template <class Value>
const Error* error_of(const Result<Value>& result) {
  return std::get_if<Error>(&result);
}

// The name of an error kind in JSON, and its HTTP status.
std::string_view error_name(ErrorKind kind);
int error_status(ErrorKind kind);
// A 64-bit hash that is the same on all daemons (FNV-1a with a finalizer).
std::uint64_t hash_of(StringView text, std::uint64_t seed = 0);

}  // namespace mothwalk
