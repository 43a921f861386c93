// The common header of the project: byte and view aliases, the small types for ids, versions and times, and the
// typed faults that every part answers with. A fault names the field at fault, says what is wrong and what mends it.
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
using View = std::string_view;

template <class Tag>
struct Name {
  std::string text;
  Name() = default;
  explicit Name(std::string given) : text(std::move(given)) {}
  bool empty() const { return text.empty(); }
  auto operator<=>(const Name&) const = default;
};

template <class Tag>
struct Number {
  std::uint64_t value = 0;
  auto operator<=>(const Number&) const = default;
  Number next() const { return Number{value + 1}; }
};

using Address = Name<struct AddressTag>;  // ip:port of a daemon's peer side or of a runner
using ZoneId = Name<struct ZoneTag>;      // a zone
using RunnerId = Name<struct RunnerTag>;
using KindId = Name<struct KindTag>;
using HolderId = Name<struct HolderTag>;  // random identity of a data folder
using Epoch = Number<struct EpochTag>;
using Version = Number<struct VersionTag>;

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

using Span = std::chrono::microseconds;  // a length of time
struct Moment {                          // a point on the steady clock that counts suspended time
  std::int64_t microseconds = 0;
  auto operator<=>(const Moment&) const = default;
  Moment operator+(Span span) const { return Moment{microseconds + span.count()}; }
  Span operator-(Moment other) const { return Span{microseconds - other.microseconds}; }
};

enum class FaultKind { invalid, unknown_name, conflict, stale, refused, unknown, too_large, damaged, busy, lost };

struct Fault {
  FaultKind kind = FaultKind::invalid;
  std::string field;
  std::string message;
  std::string remedy;
};

template <class Value>
using Result = std::variant<Value, Fault>;
struct Done {};

template <class Value>
const Fault* fault_of(const Result<Value>& result) {
  return std::get_if<Fault>(&result);
}

std::string_view fault_name(FaultKind kind);
int fault_status(FaultKind kind);
std::uint64_t hash_of(View text, std::uint64_t seed = 0);

}  // namespace mothwalk
