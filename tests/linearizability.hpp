// Checks whether a history of operators' calls is linearizable: whether all calls can be put into one sequence in which
// no call comes after one that was sent after its response, and every response follows from the calls before it.
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

// A change of the configuration. An operator may send one change several times; each send is a ChangeCall.
struct Change {
  std::uint64_t base = 0, revision = 0;
  std::string content;
  auto operator<=>(const Change&) const = default;
};

enum class Outcome { accepted, refused, unknown };

// One send of a change, with its response. The outcome is `unknown` if no response came or it left the outcome open.
struct ChangeCall {
  Change change;
  Time invoked = 0, completed = never;
  Outcome outcome = Outcome::unknown;
};

// A read of the configuration that got a response; revision 0 if there was no configuration yet.
struct ReadCall {
  std::uint64_t revision = 0;
  std::string content;
  Time invoked = 0, completed = 0;
};

struct ConfigurationHistory {
  std::vector<ChangeCall> change_calls;
  std::vector<ReadCall> read_calls;
};

// Checks the history against a compare-and-set register whose revisions rise and in which each change is applied at
// most once. Returns an empty text if the history is linearizable, otherwise a call that fits into no sequence. Each
// call with a known outcome counts, also if one change was sent several times: `accepted` means that the change has
// been applied, `refused` that it has not been and never can be.
std::string check(const ConfigurationHistory& history);

// A call that adds a member (a zone) to the set or removes it, or a read of whether it is in the set.
struct SetCall {
  std::string member;
  bool is_write = true;  // false for a read
  bool present = true;   // the state that was written or read
  Time invoked = 0, completed = never;
  bool acknowledged = false;  // for a write: whether it was acknowledged
  Time latest = never;        // for a write: the latest time at which it can take effect
};

// Checks the history of a set; returns as above. An acknowledged write took effect between its call and its response,
// or found the state already as wanted. A write that was not acknowledged may take effect at any time until `latest`.
std::string check(const std::vector<SetCall>& calls);

}  // namespace mothwalk::linearizability
