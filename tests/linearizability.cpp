// The search of Wing and Gong: observations change nothing and are placed as soon as they fit, so that the search
// branches over the effects alone.
#include "linearizability.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace mothwalk::linearizability {

namespace {

// Something that was answered, and that holds in a state or not.
template <class State>
struct Observation {
  Time invoked = 0, answered = 0;
  std::function<bool(const State&)> holds;
  std::string text;
};

// Something that may have happened once, within a span of time.
template <class State>
struct Effect {
  Time earliest = 0, latest = never;
  std::function<std::optional<State>(const State&)> apply;  // none: not possible in this state
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
    Place place{std::move(initial), std::vector<bool>(observations_.size()), std::vector<bool>(effects_.size()), 0, 0};
    if (explains(std::move(place))) return {};
    return furthest_ < observations_.size() ? observations_[stuck_].text : std::string("no order was found");
  }

 private:
  struct Place {
    State state;
    std::vector<bool> placed, happened;
    std::size_t count = 0;
    Time reached = 0;  // the latest begin of what was placed: nothing that ended earlier may follow
  };

  // When the first observation that is not placed yet was answered: what begins later has to wait for it.
  Time first_answer(const Place& place, std::size_t* which = nullptr) const {
    Time first = never;
    for (std::size_t index = 0; index < observations_.size(); ++index) {
      if (place.placed[index] || observations_[index].answered >= first) continue;
      first = observations_[index].answered;
      if (which != nullptr) *which = index;
    }
    return first;
  }

  void place_all_that_fit(Place& place) const {
    for (bool again = true; again;) {
      again = false;
      const Time first = first_answer(place);
      for (std::size_t index = 0; index < observations_.size(); ++index) {
        if (place.placed[index]) continue;
        const auto& each = observations_[index];
        if (each.invoked > first) break;
        if (!each.holds(place.state)) continue;
        place.placed[index] = again = true;
        place.reached = std::max(place.reached, each.invoked);
        ++place.count;
      }
    }
  }

  bool explains(Place place) {
    place_all_that_fit(place);
    if (place.count == observations_.size()) return true;
    std::size_t blocking = 0;
    const Time first = first_answer(place, &blocking);
    if (place.count >= furthest_) furthest_ = place.count, stuck_ = blocking;
    if (!seen_.emplace(place.state, place.placed, place.happened).second) return false;
    for (std::size_t index = 0; index < effects_.size(); ++index) {
      const auto& effect = effects_[index];
      if (place.happened[index] || effect.earliest > first || effect.latest < place.reached) continue;
      auto next = effect.apply(place.state);
      if (!next) continue;
      Place after = place;
      after.state = std::move(*next);
      after.happened[index] = true;
      after.reached = std::max(after.reached, effect.earliest);
      if (explains(std::move(after))) return true;
    }
    return false;
  }

  std::vector<Observation<State>> observations_;
  std::vector<Effect<State>> effects_;
  std::set<std::tuple<State, std::vector<bool>, std::vector<bool>>> seen_;
  std::size_t furthest_ = 0, stuck_ = 0;
};

std::string times(Time invoked, Time answered) {
  return " from " + std::to_string(invoked / 1000) + " to " + std::to_string(answered / 1000) + " ms";
}

std::string text_of(const Order& order) {
  return std::to_string(order.base) + " to " + std::to_string(order.number) + " '" + order.content + "'";
}

using Chain = std::vector<Order>;  // those that were made, oldest first

std::uint64_t current(const Chain& chain) {
  return chain.empty() ? 0 : chain.back().number;
}

bool made(const Chain& chain, const Order& order) {
  return std::find(chain.begin(), chain.end(), order) != chain.end();
}

Observation<Chain> observation_of(const Sending& sending) {
  const Order order = sending.order;
  Observation<Chain> seen{sending.invoked, sending.answered, {}, {}};
  if (sending.answer == Answer::taken)
    seen.holds = [order](const Chain& chain) {
      return made(chain, order);
    };
  else
    seen.holds = [order](const Chain& chain) {
      return !made(chain, order) && current(chain) != order.base;
    };
  seen.text = "the order " + text_of(order) + (sending.answer == Answer::taken ? " was taken" : " was refused") +
              times(sending.invoked, sending.answered);
  return seen;
}

Observation<Chain> observation_of(const Reading& reading) {
  Observation<Chain> seen{reading.invoked, reading.answered, {}, {}};
  seen.holds = [reading](const Chain& chain) {
    return current(chain) == reading.number && (chain.empty() || chain.back().content == reading.content);
  };
  seen.text = "number " + std::to_string(reading.number) + " '" + reading.content + "' was read" +
              times(reading.invoked, reading.answered);
  return seen;
}

Effect<Chain> effect_of(const Order& order, Time earliest) {
  return Effect<Chain>{earliest, never, [order](const Chain& chain) -> std::optional<Chain> {
                         if (current(chain) != order.base || order.number <= order.base) return std::nullopt;
                         Chain next = chain;
                         next.push_back(order);
                         return next;
                       }};
}

std::string check_member(const std::vector<SetCall>& calls) {
  std::vector<Observation<bool>> observations;
  std::vector<Effect<bool>> effects;
  for (const auto& call : calls) {
    const bool present = call.present;
    if (call.sets)
      effects.push_back(Effect<bool>{
          call.invoked, call.acknowledged ? std::min(call.answered, call.latest) : call.latest, [present](bool state) {
            return state == present ? std::nullopt : std::optional(present);
          }});
    if (call.sets && !call.acknowledged) continue;
    observations.push_back(Observation<bool>{
        call.invoked, call.answered, [present](bool state) { return state == present; },
        call.member + (present ? " was in the set" : " was not in the set") + times(call.invoked, call.answered)});
  }
  return Search<bool>(std::move(observations), std::move(effects)).run(false);
}

}  // namespace

std::string check(const ConfigurationHistory& history) {
  std::vector<Observation<Chain>> observations;
  std::map<Order, Time> first_sent;
  for (const auto& sending : history.sendings) {
    const auto found = first_sent.emplace(sending.order, sending.invoked).first;
    found->second = std::min(found->second, sending.invoked);
    if (sending.answer != Answer::unknown) observations.push_back(observation_of(sending));
  }
  for (const auto& reading : history.readings) observations.push_back(observation_of(reading));
  std::vector<Effect<Chain>> effects;
  for (const auto& [order, time] : first_sent) effects.push_back(effect_of(order, time));
  return Search<Chain>(std::move(observations), std::move(effects)).run({});
}

std::string check(const std::vector<SetCall>& calls) {
  std::map<std::string, std::vector<SetCall>> by_member;
  for (const auto& call : calls) by_member[call.member].push_back(call);
  for (const auto& [member, list] : by_member)
    if (auto wrong = check_member(list); !wrong.empty()) return wrong;
  return {};
}

}  // namespace mothwalk::linearizability
