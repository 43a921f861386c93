// The search of Wing and Gong with the memory of Lowe: states that were seen are not tried again.
#include "model/register_history.hpp"

namespace mothwalk::model {

namespace {

constexpr std::size_t longest_history = 63;  // one bit each

struct RegisterState {
  std::string value;
  std::uint64_t revision = 0;
  auto operator<=>(const RegisterState&) const = default;
};

// The state after the operation, or none where its answer doesn't fit the state.
std::optional<RegisterState> step(const RegisterState& state, const Operation& operation) {
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
  bool run() { return from(0, RegisterState{}); }

 private:
  bool from(std::uint64_t placed, const RegisterState& state) {
    if (!seen_.emplace(placed, state).second) return false;
    TimePoint first_answer{INT64_MAX};
    bool left = false;
    for (std::size_t index = 0; index < history_.size(); ++index) {
      if (placed >> index & 1) continue;
      if (history_[index].outcome == Outcome::unclear) continue;
      left = true;
      first_answer = std::min(first_answer, history_[index].answered);
    }
    if (!left) return true;
    for (std::size_t index = 0; index < history_.size(); ++index) {
      if ((placed >> index & 1) || history_[index].called > first_answer) continue;
      if (auto next = step(state, history_[index]))
        if (from(placed | std::uint64_t{1} << index, *next)) return true;
    }
    return false;
  }
  std::vector<Operation> history_;
  std::set<std::pair<std::uint64_t, RegisterState>> seen_;
};

}  // namespace

bool linearizable(const std::vector<Operation>& history) {
  std::vector<Operation> relevant;
  for (const auto& each : history) {
    if (each.outcome == Outcome::nothing) continue;
    if (each.outcome == Outcome::unclear && each.kind == OperationKind::read) continue;
    relevant.push_back(each);
  }
  if (relevant.size() > longest_history) return false;  // a shape with too many operations proves nothing
  return Search(std::move(relevant)).run();
}

std::string describe(const std::vector<Operation>& history) {
  static constexpr StringView kinds[] = {"read", "write", "remove", "change"};
  static constexpr StringView outcomes[] = {"acknowledged", "refused", "unclear", "nothing done"};
  std::string text;
  for (const auto& each : history) {
    const bool open = each.answered.microseconds == INT64_MAX;
    text += "    " + std::to_string(each.called.microseconds / 1000) + "-" +
            (open ? std::string("open") : std::to_string(each.answered.microseconds / 1000)) + " ms " +
            std::string(kinds[static_cast<std::size_t>(each.kind)]) + " '" + each.value + "' base " +
            std::to_string(each.base) + ": " + std::string(outcomes[static_cast<std::size_t>(each.outcome)]) + "\n";
  }
  return text;
}

}  // namespace mothwalk::model
