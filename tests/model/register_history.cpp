// The linearizability search of Wing and Gong with Lowe's optimisation: combinations of linearized operations and state
// that were visited before are not searched again.
#include "model/register_history.hpp"

namespace mothwalk::model {

namespace {

constexpr std::size_t max_history_length = 63;  // each operation is a bit of a 64-bit word

struct RegisterState {
  std::string value;
  std::uint64_t revision = 0;
  auto operator<=>(const RegisterState&) const = default;
};

// Returns the state after the operation, or nullopt if the operation's outcome is impossible in the state.
std::optional<RegisterState> apply(const RegisterState& state, const Operation& operation) {
  switch (operation.kind) {
    case OperationKind::read:
      return state.value == operation.value ? std::optional(state) : std::nullopt;
    case OperationKind::write:
      return RegisterState{operation.value, state.revision + 1};
    case OperationKind::remove:
      if (operation.outcome == Outcome::refused) return state.value.empty() ? std::optional(state) : std::nullopt;
      if (state.value.empty()) return std::nullopt;
      return RegisterState{{}, state.revision + 1};
    case OperationKind::compare_and_set:
      if (operation.outcome == Outcome::refused)
        return state.revision != operation.base ? std::optional(state) : std::nullopt;
      if (state.revision != operation.base) return std::nullopt;
      return RegisterState{operation.value, state.revision + 1};
  }
  return std::nullopt;
}

class Search {
 public:
  explicit Search(std::vector<Operation> history) : history_(std::move(history)) {}
  bool run() { return search_from(0, RegisterState{}); }

 private:
  bool search_from(std::uint64_t linearized, const RegisterState& state) {
    if (!visited_.emplace(linearized, state).second) return false;
    TimePoint earliest_response{INT64_MAX};
    bool any_left = false;
    for (std::size_t index = 0; index < history_.size(); ++index) {
      if (linearized >> index & 1) continue;
      if (history_[index].outcome == Outcome::unknown) continue;
      any_left = true;
      earliest_response = std::min(earliest_response, history_[index].completed);
    }
    if (!any_left) return true;
    for (std::size_t index = 0; index < history_.size(); ++index) {
      if ((linearized >> index & 1) || history_[index].started > earliest_response) continue;
      if (auto next = apply(state, history_[index]))
        if (search_from(linearized | std::uint64_t{1} << index, *next)) return true;
    }
    return false;
  }
  std::vector<Operation> history_;
  std::set<std::pair<std::uint64_t, RegisterState>> visited_;
};

}  // namespace

bool linearizable(const std::vector<Operation>& history) {
  std::vector<Operation> relevant;
  for (const auto& each : history) {
    if (each.outcome == Outcome::no_effect) continue;
    if (each.outcome == Outcome::unknown && each.kind == OperationKind::read) continue;
    relevant.push_back(each);
  }
  if (relevant.size() > max_history_length)
    return false;  // The history is too long to search; this is reported as a failure so that it is noticed.
  return Search(std::move(relevant)).run();
}

std::string describe(const std::vector<Operation>& history) {
  static constexpr StringView kinds[] = {"read", "write", "remove", "change"};
  static constexpr StringView outcomes[] = {"acknowledged", "refused", "unclear", "nothing done"};
  std::string text;
  for (const auto& each : history) {
    const bool in_progress = each.completed.microseconds == INT64_MAX;
    text += "    " + std::to_string(each.started.microseconds / 1000) + "-" +
            (in_progress ? std::string("open") : std::to_string(each.completed.microseconds / 1000)) + " ms " +
            std::string(kinds[static_cast<std::size_t>(each.kind)]) + " '" + each.value + "' base " +
            std::to_string(each.base) + ": " + std::string(outcomes[static_cast<std::size_t>(each.outcome)]) + "\n";
  }
  return text;
}

}  // namespace mothwalk::model
