// A checker for histories of operators' calls. A history is linearizable when its observations can be put in one order
// that respects time and that the model explains.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace mothwalk::linearizability {

using Time = std::int64_t;  // microseconds
inline constexpr Time never = INT64_MAX;

// An order as its operator knows it: all sendings of it are the same order.
struct Order {
  std::uint64_t base = 0, number = 0;
  std::string content;
  auto operator<=>(const Order&) const = default;
};

enum class Answer { taken, refused, unknown };

// One sending of an order, and what was answered to it.
struct Sending {
  Order order;
  Time invoked = 0, answered = never;
  Answer answer = Answer::unknown;
};

// A read of the configuration that was answered; number 0 where there was none yet.
struct Reading {
  std::uint64_t number = 0;
  std::string content;
  Time invoked = 0, answered = 0;
};

struct ConfigurationHistory {
  std::vector<Sending> sendings;
  std::vector<Reading> readings;
};

// Why no order of the calls explains the history of a compare-and-set register whose numbers rise and whose orders are
// each made at most once; empty where one does. Every sending that was answered counts, also of one order several
// times: "taken" says that the order was made before, "refused" that it was not and never can be.
std::string check(const ConfigurationHistory& history);

// A call that sets whether a member (a zone) is in the set, or a read of that.
struct SetCall {
  std::string member;
  bool sets = true;     // false: a read
  bool present = true;  // the state that is set, or was read
  Time invoked = 0, answered = never;
  bool acknowledged = false;  // of one that sets
  Time latest = never;        // of one that sets: when it can take effect at the latest
};

// Why no order of the calls explains the history of a set; empty where one does. A call that was acknowledged has had
// its effect, or found it, between its begin and its answer. One that was not may have an effect until `latest`.
std::string check(const std::vector<SetCall>& calls);

}  // namespace mothwalk::linearizability
