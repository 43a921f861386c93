// Admission of a live request: finds its lane in the current configuration, its deadline and its demand on a runner.
#include <algorithm>

#include "routes/router.hpp"

namespace mothwalk {

// Finds the request's lane in the current configuration. Returns false if an error reply was sent.
bool Router::admit(Record& record) {
  const bool is_new = record.configuration == nullptr;
  // A daemon that has just started receives the configuration within a second or two, so requests wait for it for a
  // short time.
  if (shared_state_.has_had_lease()) {
    // Read before the configuration, which may change meanwhile.
    const bool has_lease = shared_state_.has_lease(messenger_.timers().now());
    auto configuration = shared_state_.configuration.get();
    std::string name;
    const Lane* lane = configuration->lane_for(record.request.target, &name, record.info.host);
    if (lane != nullptr && lane->batch && is_new && take_back_lot(record)) return false;
    if (lane == nullptr || lane->batch) return handle_missing_lane(record, has_lease && !configuration->lanes.empty());
    record.configuration = std::move(configuration);
    assign_lane(record, name, *lane);
  }
  if (!is_new) return true;
  if (shared_state_.draining && !serves_while_draining)
    return refuse(record, "draining", "this daemon is shutting down"), false;
  if (waiting_in(record.lane_name) + 1 > record.lane.waiting_room)
    return refuse(record, "crowded", "too many requests of this lane are waiting in this daemon"), false;
  record.demand = demand_of(record);
  return true;
}

// Ends the record of a request whose lane takes lots if the sender of the request takes it back. Such a request was
// taken for a live one because no configuration was known at its arrival.
bool Router::take_back_lot(Record& record) {
  if (!record.sink->take_back_lot(record.request)) return false;
  ++counts_.lots_taken_back;
  set_state(record, State::finished);
  return true;
}

// Without a lease this daemon may not have the newest configuration, and it may have none at all. Only a daemon that
// has all lanes can tell that no lane exists for a path.
bool Router::handle_missing_lane(Record& record, bool has_all_lanes) {
  if (!has_all_lanes) {
    record.lane_name.clear();
    return true;
  }
  if (record.may_have_run)
    reply_unknown(record, 502, "lane", "the request's lane was removed");
  else
    reply_error(record, ErrorReply{404, "refused", "lane", false,
                                   Error{ErrorKind::unknown_name, "path", "no lane has this path",
                                         "use the path of a declared lane"}});
  return false;
}

void Router::assign_lane(Record& record, const std::string& name, const Lane& lane) {
  const bool was_waiting = waiting_.erase(QueueKey{record.lane.rank, record.arrived, record.id}) > 0;
  if (was_waiting) waiting_.insert(QueueKey{lane.rank, record.arrived, record.id});
  if (record.lane_name.empty()) record.waiting_since = messenger_.timers().now();
  record.lane_name = name;
  record.lane = lane;
  record.repeatable = lane.repeatable || (lane.streaming && lane.resumable);
  assign_kinds(record);
  set_deadline(record);
}

void Router::set_deadline(Record& record) {
  deadlines_.erase({record.deadline, record.id});
  const Duration total = record.lane.whole;
  record.deadline = record.arrived + std::min(total, record.info.budget.value_or(total));
  if (drain_deadline_) record.deadline = std::min(record.deadline, *drain_deadline_);
  deadlines_.emplace(record.deadline, record.id);
}

void Router::set_drain_deadline(TimePoint end) {
  drain_deadline_ = end;
  for (auto& [id, record] : requests_)
    if (record.state != State::finished && !record.lane_name.empty()) set_deadline(record);
  arm_deadline();
}

Demand Router::demand_of(const Record& record) {
  Demand demand;
  demand.prompt_tokens = record.info.prompt_tokens;
  demand.tokens = record.info.prompt_tokens + record.info.output_tokens;
  const auto& prompt_parts = record.info.parts;
  const std::size_t body_bytes = record.request.body ? record.request.body->size() : 0;
  const std::size_t prefix_bytes = std::min<std::size_t>(record.lane.affinity_bytes, body_bytes);
  if (record.lane.affinity && !prompt_parts.empty()) {
    // All parts of a prompt but the last are shared among requests.
    demand.affinity = hash_of(prompt_parts[prompt_parts.size() > 1 ? prompt_parts.size() - 2 : 0].id) | 1;
    demand.prefer_own_zone = true;
  } else if (prefix_bytes > 0) {
    demand.affinity = hash_of(StringView(*record.request.body).substr(0, prefix_bytes)) | 1;
  }
  return demand;
}

// Distributes a lane's requests over its kinds of runners by smooth weighted round-robin. The other kinds follow in the
// list as replacements, for the case that no runner of the first kind can take a request.
void Router::assign_kinds(Record& record) {
  record.kinds.clear();
  double total = 0;
  const auto kinds = record.lane.kinds();
  auto& credits = kind_credits_[record.lane_name];
  std::vector<std::pair<double, std::string>> order;
  for (const auto& share : kinds) {
    if (!(share.weight > 0)) continue;
    total += share.weight;
    const double credit = kinds.size() == 1 ? 0 : credits[share.kind.text] += share.weight;
    order.emplace_back(-credit, share.kind.text);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [credit, kind] : order) record.kinds.push_back(kind);
  if (kinds.size() > 1 && !record.kinds.empty()) credits[record.kinds.front()] -= total;
}

}  // namespace mothwalk
