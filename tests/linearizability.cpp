// The linearizability search of Wing and Gong. Calls are split into effects, which change the state, and observations,
// which only require something of it. An observation is put into the sequence as soon as it fits, so the search
// branches over the effects alone.
#include "linearizability.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace mothwalk::linearizability {

namespace {

// A response, as a condition that a state fulfils or not.
template <class State>
struct Observation {
  Time invoked = 0, completed = 0;
  std::function<bool(const State&)> holds;
  std::string text;
};

// A change of the state that may have taken place once, between `earliest` and `latest`.
template <class State>
struct Effect {
  Time earliest = 0, latest = never;
  std::function<std::optional<State>(const State&)> apply;  // nullopt: not possible in this state
};

template <class State>
class Search {
 public:
  Search(std::vector<Observation<State>> observations, std::vector<Effect<State>> effects)
      : observations_(std::move(observations)), effects_(std::move(effects)) {
    std::sort(observations_.begin(), observations_.end(),
              [](const auto& left, const auto& right) { return left.invoked < right.invoked; });
  }

  std::string run(State initial) {
    SearchNode node{std::move(initial), std::vector<bool>(observations_.size()), std::vector<bool>(effects_.size()), 0,
                    0};
    if (can_linearize(std::move(node))) return {};
    return most_linearized_ < observations_.size() ? observations_[blocking_observation_].text
                                                   : std::string("no valid sequence of the calls was found");
  }

 private:
  struct SearchNode {
    State state;
    std::vector<bool> linearized, applied_effects;
    std::size_t count = 0;
    // The latest start of the linearized elements: none that ended before this time may follow.
    Time latest_start = 0;
  };

  // The earliest response time among the observations that are not linearized yet. An element that began later must
  // come after that observation.
  Time earliest_response(const SearchNode& node, std::size_t* index_of_earliest = nullptr) const {
    Time earliest = never;
    for (std::size_t index = 0; index < observations_.size(); ++index) {
      if (node.linearized[index] || observations_[index].completed >= earliest) continue;
      earliest = observations_[index].completed;
      if (index_of_earliest != nullptr) *index_of_earliest = index;
    }
    return earliest;
  }

  void linearize_fitting_observations(SearchNode& node) const {
    for (bool progressed = true; progressed;) {
      progressed = false;
      const Time earliest = earliest_response(node);
      for (std::size_t index = 0; index < observations_.size(); ++index) {
        if (node.linearized[index]) continue;
        const auto& each = observations_[index];
        if (each.invoked > earliest) break;
        if (!each.holds(node.state)) continue;
        node.linearized[index] = progressed = true;
        node.latest_start = std::max(node.latest_start, each.invoked);
        ++node.count;
      }
    }
  }

  bool can_linearize(SearchNode node) {
    linearize_fitting_observations(node);
    if (node.count == observations_.size()) return true;
    std::size_t blocking = 0;
    const Time earliest = earliest_response(node, &blocking);
    if (node.count >= most_linearized_) most_linearized_ = node.count, blocking_observation_ = blocking;
    if (!visited_.emplace(node.state, node.linearized, node.applied_effects).second) return false;
    for (std::size_t index = 0; index < effects_.size(); ++index) {
      const auto& effect = effects_[index];
      if (node.applied_effects[index] || effect.earliest > earliest || effect.latest < node.latest_start) continue;
      auto next = effect.apply(node.state);
      if (!next) continue;
      SearchNode after = node;
      after.state = std::move(*next);
      after.applied_effects[index] = true;
      after.latest_start = std::max(after.latest_start, effect.earliest);
      if (can_linearize(std::move(after))) return true;
    }
    return false;
  }

  std::vector<Observation<State>> observations_;
  std::vector<Effect<State>> effects_;
  std::set<std::tuple<State, std::vector<bool>, std::vector<bool>>> visited_;
  std::size_t most_linearized_ = 0, blocking_observation_ = 0;
};

std::string time_span(Time invoked, Time completed) {
  return " from " + std::to_string(invoked / 1000) + " to " + std::to_string(completed / 1000) + " ms";
}

std::string text_of(const Change& change) {
  return std::to_string(change.base) + " to " + std::to_string(change.revision) + " '" + change.content + "'";
}

using AppliedChanges = std::vector<Change>;  // the changes that have taken effect, oldest first

std::uint64_t current_revision(const AppliedChanges& applied) {
  return applied.empty() ? 0 : applied.back().revision;
}

bool was_applied(const AppliedChanges& applied, const Change& change) {
  return std::find(applied.begin(), applied.end(), change) != applied.end();
}

Observation<AppliedChanges> observation_of(const ChangeCall& call) {
  const Change change = call.change;
  Observation<AppliedChanges> observation{call.invoked, call.completed, {}, {}};
  if (call.outcome == Outcome::accepted)
    observation.holds = [change](const AppliedChanges& applied) {
      return was_applied(applied, change);
    };
  else
    observation.holds = [change](const AppliedChanges& applied) {
      return !was_applied(applied, change) && current_revision(applied) != change.base;
    };
  observation.text = "the change " + text_of(change) +
                     (call.outcome == Outcome::accepted ? " was accepted" : " was refused") +
                     time_span(call.invoked, call.completed);
  return observation;
}

Observation<AppliedChanges> observation_of(const ReadCall& read) {
  Observation<AppliedChanges> observation{read.invoked, read.completed, {}, {}};
  observation.holds = [read](const AppliedChanges& applied) {
    return current_revision(applied) == read.revision && (applied.empty() || applied.back().content == read.content);
  };
  observation.text = "revision " + std::to_string(read.revision) + " '" + read.content + "' was read" +
                     time_span(read.invoked, read.completed);
  return observation;
}

Effect<AppliedChanges> effect_of(const Change& change, Time earliest) {
  return Effect<AppliedChanges>{earliest, never,
                                [change](const AppliedChanges& applied) -> std::optional<AppliedChanges> {
                                  if (current_revision(applied) != change.base || change.revision <= change.base)
                                    return std::nullopt;
                                  AppliedChanges next = applied;
                                  next.push_back(change);
                                  return next;
                                }};
}

std::string check_member(const std::vector<SetCall>& calls) {
  std::vector<Observation<bool>> observations;
  std::vector<Effect<bool>> effects;
  for (const auto& call : calls) {
    const bool present = call.present;
    if (call.is_write)
      effects.push_back(Effect<bool>{
          call.invoked, call.acknowledged ? std::min(call.completed, call.latest) : call.latest, [present](bool state) {
            return state == present ? std::nullopt : std::optional(present);
          }});
    if (call.is_write && !call.acknowledged) continue;
    observations.push_back(Observation<bool>{
        call.invoked, call.completed, [present](bool state) { return state == present; },
        call.member + (present ? " was in the set" : " was not in the set") + time_span(call.invoked, call.completed)});
  }
  return Search<bool>(std::move(observations), std::move(effects)).run(false);
}

}  // namespace

std::string check(const ConfigurationHistory& history) {
  std::vector<Observation<AppliedChanges>> observations;
  std::map<Change, Time> first_sent;
  for (const auto& call : history.change_calls) {
    const auto entry = first_sent.emplace(call.change, call.invoked).first;
    entry->second = std::min(entry->second, call.invoked);
    if (call.outcome != Outcome::unknown) observations.push_back(observation_of(call));
  }
  for (const auto& read : history.read_calls) observations.push_back(observation_of(read));
  std::vector<Effect<AppliedChanges>> effects;
  for (const auto& [change, time] : first_sent) effects.push_back(effect_of(change, time));
  return Search<AppliedChanges>(std::move(observations), std::move(effects)).run({});
}

std::string check(const std::vector<SetCall>& calls) {
  std::map<std::string, std::vector<SetCall>> by_member;
  for (const auto& call : calls) by_member[call.member].push_back(call);
  for (const auto& [member, list] : by_member)
    if (auto violation = check_member(list); !violation.empty()) return violation;
  return {};
}

}  // namespace mothwalk::linearizability
