// Admission of a live request: its lane in the configuration in force, its deadline and what it asks of a runner.
#include <algorithm>

#include "routes/router.hpp"

namespace mothwalk {

// Finds the record's lane in the configuration in force; false where it was answered.
bool Router::admit(Record& record) {
  const bool first = record.configuration == nullptr;
  // A daemon that has just started takes the configuration in within a second or two: requests may wait for it a
  // little.
  if (shared_state_.was_ever_fresh()) {
    auto configuration = shared_state_.configuration.get();
    std::string name;
    const Lane* lane = configuration->lane_for(record.request.target, &name, record.facts.host);
    if (lane == nullptr || lane->batch) return without_lane(record, *configuration);
    record.configuration = std::move(configuration);
    take_lane(record, name, *lane);
  }
  if (!first) return true;
  if (shared_state_.draining && !serves_while_draining)
    return refuse(record, "draining", "this daemon is shutting down"), false;
  if (waiting_in(record.lane_name) + 1 > record.lane.waiting_room)
    return refuse(record, "crowded", "too many requests of this lane wait in this daemon"), false;
  record.demand = demand_of(record);
  return true;
}

// A daemon that may not have heard of the newest configuration, or of any, can't say that there is no lane.
bool Router::without_lane(Record& record, const ConfigurationView& configuration) {
  if (!shared_state_.has_lease(messenger_.timers().now()) || configuration.lanes.empty()) {
    record.lane_name.clear();
    return true;
  }
  if (record.may_have_run)
    give_unknown(record, 502, "lane", "the request's lane was removed");
  else
    answer(record,
           Refusal{404, "refused", "lane", false,
                   Error{ErrorKind::unknown_name, "path", "no lane has this path", "use the path of a declared lane"}});
  return false;
}

void Router::take_lane(Record& record, const std::string& name, const Lane& lane) {
  const bool listed = waiting_.erase(Place{record.lane.rank, record.arrived, record.id}) > 0;
  if (listed) waiting_.insert(Place{lane.rank, record.arrived, record.id});
  if (record.lane_name.empty()) record.waiting_since = messenger_.timers().now();
  record.lane_name = name;
  record.lane = lane;
  record.repeatable = lane.repeatable || (lane.streaming && lane.resumable);
  share(record);
  set_deadline(record);
}

void Router::set_deadline(Record& record) {
  deadlines_.erase({record.deadline, record.id});
  const Duration whole = record.lane.whole;
  record.deadline = record.arrived + std::min(whole, record.facts.budget.value_or(whole));
  if (answer_by_) record.deadline = std::min(record.deadline, *answer_by_);
  deadlines_.emplace(record.deadline, record.id);
}

void Router::answer_all_by(TimePoint end) {
  answer_by_ = end;
  for (auto& [id, record] : table_)
    if (record.state != State::finished && !record.lane_name.empty()) set_deadline(record);
  arm_deadline();
}

Demand Router::demand_of(const Record& record) {
  Demand demand;
  demand.prompt_tokens = record.facts.prompt_tokens;
  demand.tokens = record.facts.prompt_tokens + record.facts.output_tokens;
  const auto& parts = record.facts.parts;
  const std::size_t body_bytes = record.request.body ? record.request.body->size() : 0;
  const std::size_t begin = std::min<std::size_t>(record.lane.affinity_bytes, body_bytes);
  if (record.lane.affinity && !parts.empty()) {
    // All parts but the last are shared among requests.
    demand.affinity = hash_of(parts[parts.size() > 1 ? parts.size() - 2 : 0].id) | 1;
    demand.near = true;
  } else if (begin > 0) {
    demand.affinity = hash_of(StringView(*record.request.body).substr(0, begin)) | 1;
  }
  return demand;
}

// A lane's requests go to its kinds by their weights, evenly in any row of them; the others stand in where none of the
// kind's runners is able to take anything.
void Router::share(Record& record) {
  record.kinds.clear();
  double whole = 0;
  const auto kinds = record.lane.kinds();
  auto& credits = credits_[record.lane_name];
  std::vector<std::pair<double, std::string>> order;
  for (const auto& each : kinds) {
    if (!(each.weight > 0)) continue;
    whole += each.weight;
    const double credit = kinds.size() == 1 ? 0 : credits[each.kind.text] += each.weight;
    order.emplace_back(-credit, each.kind.text);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [credit, kind] : order) record.kinds.push_back(kind);
  if (kinds.size() > 1 && !record.kinds.empty()) credits[record.kinds.front()] -= whole;
}

}  // namespace mothwalk
