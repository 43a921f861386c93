// Validates operators' documents and maintains the configuration view that all components of a daemon read.
#include "configuration/resources.hpp"

#include "coding/cbor.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace mothwalk {
namespace {

Error invalid_field(std::string field, std::string message, std::string remedy) {
  return Error{ErrorKind::invalid, std::move(field), std::move(message), std::move(remedy)};
}

using OptionalError = std::optional<Error>;

OptionalError check_positive(StringView field, Duration duration) {
  if (duration < std::chrono::milliseconds(1))
    return invalid_field(std::string(field), "the duration is shorter than 1 millisecond",
                         "give 1 millisecond or more");
  return std::nullopt;
}

OptionalError check(const Lane& lane, StringView name, const ConfigurationView& view) {
  if (lane.path.size() < 2 || lane.path[0] != '/' || lane.path.size() > 200)
    return invalid_field("path", "a lane's path has to begin with / and have 2 to 200 characters",
                         "give a path such as /audits");
  if (lane.path.starts_with("/lots"))
    return invalid_field("path", "paths that begin with /lots are reserved for the lot interface", "give another path");
  if (!view.kinds.contains(lane.kind.text))
    return invalid_field("kind", "no kind of runner has the name '" + lane.kind.text + "'",
                         "apply that kind first, or name an existing one");
  for (std::size_t index = 0; index < lane.shares.size(); ++index) {
    const std::string field = "shares[" + std::to_string(index) + "]";
    if (!view.kinds.contains(lane.shares[index].kind.text))
      return invalid_field(field + ".kind", "no kind of runner has the name '" + lane.shares[index].kind.text + "'",
                           "apply that kind first, or name an existing one");
    if (!(lane.shares[index].weight >= 0 && lane.shares[index].weight <= 1e9))
      return invalid_field(field + ".weight", "the weight is out of range", "give 0 to 1000000000");
  }
  if (!lane.shares.empty() &&
      std::none_of(lane.shares.begin(), lane.shares.end(), [](const KindShare& share) { return share.weight > 0; }))
    return invalid_field("shares", "the weights add up to 0", "give at least one kind a weight above 0");
  if (lane.attempts > 100) return invalid_field("attempts", "there are more than 100 attempts", "give 0 to 100");
  for (const auto& [other, entry] : view.lanes)
    if (other != name && entry.spec.path == lane.path && entry.spec.host == lane.host)
      return invalid_field("path", "lane '" + other + "' already has this path", "give each lane its own path");
  if (lane.retries > 10) return invalid_field("retries", "there are more than 10 retries", "give 0 to 10");
  if (lane.waiting_room > 100000)
    return invalid_field("waiting_room", "the queue length is above 100000 requests", "give 0 to 100000");
  for (auto [field, duration] : {std::pair<StringView, Duration>{"waiting", lane.waiting},
                                 {"connecting", lane.connecting},
                                 {"first_piece", lane.first_piece},
                                 {"between_pieces", lane.between_pieces},
                                 {"taking", lane.taking},
                                 {"whole", lane.whole}})
    if (auto error = check_positive(field, duration)) return error;
  if (lane.whole < lane.first_piece)
    return invalid_field("whole", "the time limit for the complete request is shorter than the one for the first chunk",
                         "set whole to at least first_piece");
  return std::nullopt;
}

OptionalError check(const Kind& kind, StringView, const ConfigurationView&) {
  const CircleSettings& circle = kind.circle;
  if (!(circle.target > 0 && circle.target <= 1))
    return invalid_field("circle.target", "the target is outside (0, 1]", "give a load between 0 and 1, such as 0.6");
  if (!(circle.high_water > circle.target && circle.high_water <= 10))
    return invalid_field("circle.high_water", "high_water is not above the target, or is above 10",
                         "give a number above target, at most 10");
  if (circle.cycle < std::chrono::seconds(1))
    return invalid_field("circle.cycle", "the cycle is shorter than one second", "give 1000 milliseconds or more");
  if (circle.floor < 1 || circle.floor > 10000)
    return invalid_field("circle.floor", "the floor is out of range", "give 1 to 10000");
  if (circle.reserve > 10000) return invalid_field("circle.reserve", "the reserve is out of range", "give 0 to 10000");
  if (!(kind.overcommit >= 1 && kind.overcommit <= 100))
    return invalid_field("overcommit", "the overcommit is out of range", "give 1 to 100");
  for (std::size_t index = 0; index < kind.refusals.size(); ++index)
    if (kind.refusals[index] < 400 || kind.refusals[index] > 599)
      return invalid_field("refusals[" + std::to_string(index) + "]", "this is not an HTTP error status",
                           "give 400 to 599");
  return std::nullopt;
}

OptionalError check_address(const Address& address, const std::string& field) {
  const auto colon = address.text.rfind(':');
  boost::system::error_code error;
  if (colon != std::string::npos) boost::asio::ip::make_address(address.text.substr(0, colon), error);
  const std::string port = colon == std::string::npos ? "" : address.text.substr(colon + 1);
  if (colon == std::string::npos || error || port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos || std::stoi(port) < 1 || std::stoi(port) > 65535)
    return invalid_field(field, "'" + address.text + "' is not an address", "give ip:port, such as 10.0.0.4:8000");
  return std::nullopt;
}

OptionalError check(const Runner& runner, StringView name, const ConfigurationView& view) {
  if (!view.kinds.contains(runner.kind.text))
    return invalid_field("kind", "no kind of runner has the name '" + runner.kind.text + "'",
                         "apply that kind first, or name an existing one");
  if (auto error = check_address(runner.address, "address")) return error;
  if (runner.zone.empty()) return invalid_field("zone", "the zone is empty", "name the zone that the runner is in");
  if (runner.slots < 1 || runner.slots > 4096)
    return invalid_field("slots", "the number of slots is out of range", "give 1 to 4096");
  if (auto before = view.runners.find(std::string(name));
      before != view.runners.end() && runner.generation < before->second.spec.generation)
    return invalid_field(
        "generation", "the generation is lower than the current one, " + std::to_string(before->second.spec.generation),
        "give that one, or a higher one after a restart of the runner");
  return std::nullopt;
}

// A zone with runners may only be evacuated if another zone has runners that may get work.
OptionalError check(const Zone& zone, StringView name, const ConfigurationView& view) {
  if (!zone.evacuated) return std::nullopt;
  std::set<std::string> other_zones;
  for (const auto& [id, runner] : view.runners)
    if (runner.spec.zone.text != name && !view.evacuated(runner.spec.zone) && !runner.spec.leaving)
      other_zones.insert(runner.spec.zone.text);
  bool has_runners = false;
  for (const auto& [id, runner] : view.runners) has_runners = has_runners || runner.spec.zone.text == name;
  if (has_runners && other_zones.empty())
    return Error{ErrorKind::conflict, "evacuated", "no runner would be left outside evacuated zones",
                 "restore another zone first"};
  return std::nullopt;
}

OptionalError check(const LotSettings& lots, StringView name, const ConfigurationView&) {
  if (name != "default")
    return invalid_field("name", "the lot settings are a single document named 'default'", "apply lots/default");
  if (lots.items < 1 || lots.items > 100000)
    return invalid_field("items", "the number of items is out of range", "give 1 to 100000");
  if (lots.lots < 1 || lots.lots > 1000000)
    return invalid_field("lots", "the number of lots is out of range", "give 1 to 1000000");
  return std::nullopt;
}

// A voter may only be retired if at least three others remain that are not retired, because two of three voters are
// still a majority when one more fails.
OptionalError check(const StorageNodeMark& mark, StringView name, const ConfigurationView& view) {
  if (!mark.retired) return std::nullopt;
  bool is_voter = false;
  std::size_t other_voters = 0;
  for (const Roster* roster : {&view.roster, &view.lot_roster}) {
    if (is_voter) break;
    other_voters = 0;
    for (const auto& voter : roster->voters) {
      auto mark_of_other = view.holders.find(voter.address.text);
      if (voter.address.text == name)
        is_voter = true;
      else
        other_voters += mark_of_other == view.holders.end() || !mark_of_other->second.spec.retired;
    }
  }
  if (is_voter && other_voters < 3)
    return Error{ErrorKind::conflict, "retired",
                 "only " + std::to_string(other_voters) + " voters would remain, too few to tolerate a failure",
                 "start another storage node and wait until it is a voter"};
  return std::nullopt;
}

OptionalError check(const Aim& aim, StringView, const ConfigurationView& view) {
  if (!view.lanes.contains(aim.lane))
    return invalid_field("lane", "there is no lane '" + aim.lane + "'",
                         "apply that lane first, or name an existing one");
  for (auto [field, fraction] : {std::pair<StringView, double>{"answered", aim.answered}, {"in_time", aim.in_time}})
    if (!(fraction > 0 && fraction <= 1))
      return invalid_field(std::string(field), "the fraction is outside (0, 1]", "give a fraction such as 0.99");
  return check_positive("first_piece", aim.first_piece);
}

template <class T>
Result<Bytes> check_as(StringView name, StringView text, const ConfigurationView& view) {
  auto read = from_json<T>(text);
  if (auto error = error_of(read)) return *error;
  if (auto error = check(std::get<T>(read), name, view)) return *error;
  return json::serialize(to_json(std::get<T>(read)));
}

template <class T>
bool store_in(Table<T>& table, const std::string& name, const Bytes* value, Stamp stamp) {
  if (value == nullptr) return table.erase(name), true;
  auto read = from_json<T>(*value);
  if (error_of(read)) return false;
  table[name] = Named<T>{stamp, std::move(std::get<T>(read))};
  return true;
}

}  // namespace

bool Roster::has_voter(const StorageNodeId& holder) const {
  for (const auto& voter : voters)
    if (voter.holder == holder) return true;
  return false;
}

bool Circle::has(const std::string& runner) const {
  return std::find(members.begin(), members.end(), RunnerId(runner)) != members.end();
}

bool Circle::takes_full_share(const std::string& runner, std::uint64_t generation) const {
  auto known = generations.find(runner);
  return std::find(warm.begin(), warm.end(), RunnerId(runner)) != warm.end() &&
         (known == generations.end() ? 0 : known->second) == generation;
}

bool ConfigurationView::evacuated(const ZoneId& zone) const {
  auto found = zones.find(zone.text);
  return found != zones.end() && found->second.spec.evacuated;
}

const Lane* ConfigurationView::lane_for(StringView path, std::string* name, StringView host) const {
  const Lane* best = nullptr;
  for (const auto& [lane_name, entry] : lanes) {
    const std::string& prefix = entry.spec.path;
    if (!path.starts_with(prefix) || (!entry.spec.host.empty() && entry.spec.host != host)) continue;
    if (path.size() > prefix.size() && path[prefix.size()] != '/' && path[prefix.size()] != '?' && prefix.back() != '/')
      continue;
    const auto specificity = std::make_pair(!entry.spec.host.empty(), prefix.size());
    if (best != nullptr && std::make_pair(!best->host.empty(), best->path.size()) >= specificity) continue;
    best = &entry.spec;
    if (name != nullptr) *name = lane_name;
  }
  return best;
}

LotSettings ConfigurationView::lot_settings() const {
  auto found = lots.find("default");
  return found == lots.end() ? LotSettings{} : found->second.spec;
}

std::string current_type(StringView type) {
  return std::string(type == "hall" ? StringView("zone") : type);
}

bool is_resource_type(StringView type) {
  return type == "lane" || type == "kind" || type == "runner" || type == "zone" || type == "lots" || type == "holder" ||
         type == "aim";
}

bool is_resource_name(StringView name) {
  return !name.empty() && name.size() <= 100 &&
         name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") ==
             StringView::npos;
}

std::string resource_types() {
  return "lane, kind, runner, zone, lots, holder, aim";
}

namespace {
// Removes the entries of a table that an earlier document added, then adds the new ones. Entries that operators
// declared as resources of their own take precedence over entries of the document with the same name.
template <class T>
void replace_entries(Table<T>& table, std::set<std::string>& names, std::map<std::string, T> entries, Stamp stamp) {
  for (const auto& name : names) table.erase(name);
  names.clear();
  for (auto& [name, spec] : entries)
    if (table.try_emplace(name, Named<T>{stamp, std::move(spec)}).second) names.insert(name);
}

bool apply_fleet_configuration(ConfigurationView& view, const Bytes* value, Stamp stamp,
                               const ConfigurationFormat* format) {
  auto read = value == nullptr ? std::optional(FleetConfiguration{}) : from_cbor<FleetConfiguration>(*value);
  if (!read || format == nullptr) return false;
  ConfigurationContent content;
  if (read->revision > 0) {
    auto parsed = format->read(read->document);
    if (error_of(parsed)) return false;
    content = std::move(std::get<ConfigurationContent>(parsed));
  }
  replace_entries(view.lanes, view.configured_lanes, std::move(content.lanes), stamp);
  replace_entries(view.kinds, view.configured_kinds, std::move(content.kinds), stamp);
  view.limits = content.limits;
  view.fleet = Named<FleetConfiguration>{stamp, std::move(*read)};
  return true;
}
}  // namespace

bool apply_to_view(ConfigurationView& view, StringView key, const Bytes* value, Stamp stamp,
                   const ConfigurationFormat* format) {
  if (key == "roster" || key == lot_roster_key) {
    if (value == nullptr) return false;
    auto read = from_json<Roster>(*value);
    if (error_of(read)) return false;
    (key == "roster" ? view.roster : view.lot_roster) = std::move(std::get<Roster>(read));
    return true;
  }
  if (key == configuration_key) return apply_fleet_configuration(view, value, stamp, format);
  if (key == listing_key) {
    auto read = value == nullptr ? std::optional(RunnerListing{}) : from_cbor<RunnerListing>(*value);
    if (!read) return false;
    replace_entries(view.runners, view.listed, std::move(read->runners), stamp);
    view.listing = stamp;
    return true;
  }
  const auto slash = key.find('/');
  if (slash == StringView::npos) return false;
  const std::string type = current_type(key.substr(0, slash));
  const std::string name(key.substr(slash + 1));
  if (type == "lane") return store_in(view.lanes, name, value, stamp);
  if (type == "kind") return store_in(view.kinds, name, value, stamp);
  if (type == "runner") return store_in(view.runners, name, value, stamp);
  if (type == "zone") return store_in(view.zones, name, value, stamp);
  if (type == "lots") return store_in(view.lots, name, value, stamp);
  if (type == "holder") return store_in(view.holders, name, value, stamp);
  if (type == "aim") return store_in(view.aims, name, value, stamp);
  if (type == "circle") return store_in(view.circles, name, value, stamp);
  return false;
}

Result<Bytes> check_document(StringView type, StringView name, StringView text, const ConfigurationView& view) {
  if (!is_resource_type(type))
    return Error{ErrorKind::unknown_name, "type", "no resource has the type '" + std::string(type) + "'",
                 "use one of: " + resource_types()};
  if (!is_resource_name(name))
    return invalid_field("name", "the name has characters that are not allowed, or a length outside 1 to 100",
                         "use letters, digits, - _ . :");
  if (type == "lane") return check_as<Lane>(name, text, view);
  if (type == "kind") return check_as<Kind>(name, text, view);
  if (type == "runner") return check_as<Runner>(name, text, view);
  if (type == "zone") return check_as<Zone>(name, text, view);
  if (type == "lots") return check_as<LotSettings>(name, text, view);
  if (type == "aim") return check_as<Aim>(name, text, view);
  return check_as<StorageNodeMark>(name, text, view);
}

Result<Success> check_removal(StringView type, StringView name, const ConfigurationView& view) {
  if (!is_resource_type(type))
    return Error{ErrorKind::unknown_name, "type", "no resource has the type '" + std::string(type) + "'",
                 "use one of: " + resource_types()};
  if (type == "kind") {
    for (const auto& [lane, entry] : view.lanes)
      if (entry.spec.kind.text == name)
        return Error{ErrorKind::conflict, "name", "lane '" + lane + "' uses this kind",
                     "delete or change that lane first"};
    for (const auto& [runner, entry] : view.runners)
      if (entry.spec.kind.text == name)
        return Error{ErrorKind::conflict, "name", "runner '" + runner + "' is of this kind",
                     "delete that runner first"};
  }
  if (type == "lane")
    for (const auto& [aim, entry] : view.aims)
      if (entry.spec.lane == name)
        return Error{ErrorKind::conflict, "name", "aim '" + aim + "' refers to this lane",
                     "delete or change that aim first"};
  return Success{};
}

}  // namespace mothwalk
