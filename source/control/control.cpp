// Implements the HTTP calls of operators and of clients that use lots.
#include "control/control.hpp"

#include <algorithm>

#include "gossip/configuration_gossip.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration write_timeout = milliseconds(5000);

// The reply for an error. Its "outcome" tells whether nothing was changed ("refused") or the call may have taken effect
// ("unknown").
ControlReply error_reply(const Error& error) {
  const bool may_retry = error.kind == ErrorKind::refused || error.kind == ErrorKind::unknown ||
                         error.kind == ErrorKind::busy || error.kind == ErrorKind::lost;
  json::value body = error_to_json(error);
  body.as_object()["outcome"] =
      error.kind == ErrorKind::unknown || error.kind == ErrorKind::lost ? "unknown" : "refused";
  return ControlReply{error_status(error.kind), std::move(body), may_retry};
}

Error unknown_call(const ControlRequest& request) {
  return Error{ErrorKind::unknown_name, "path", "there is no call " + request.method + " " + request.target,
               "see the documentation for operators for the available calls"};
}

std::optional<std::uint64_t> parse_integer(const std::string& text) {
  if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return std::stoull(text);
}

template <class T>
const Named<T>* find_in(const Table<T>& table, const std::string& name) {
  auto found = table.find(name);
  return found == table.end() ? nullptr : &found->second;
}

// Calls the function with the table of the given resource type. Returns false where there is no such type.
template <class Callback>
bool with_table(const ConfigurationView& view, StringView type, Callback callback) {
  if (type == "lane") return callback(view.lanes), true;
  if (type == "kind") return callback(view.kinds), true;
  if (type == "runner") return callback(view.runners), true;
  if (type == "zone") return callback(view.zones), true;
  if (type == "lots") return callback(view.lots), true;
  if (type == "holder") return callback(view.holders), true;
  if (type == "aim") return callback(view.aims), true;
  if (type == "circle") return callback(view.circles), true;
  return false;
}

template <class T>
json::object resource_json(StringView type, const std::string& name, const Named<T>& entry) {
  return json::object{{"type", type},
                      {"name", name},
                      {"version", entry.stamp.version.value},
                      {"epoch", entry.stamp.epoch.value},
                      {"spec", to_json(entry.spec)}};
}

Error unknown_type(const std::string& type) {
  return Error{ErrorKind::unknown_name, "type", "no resource has the type '" + type + "'",
               "use one of: " + resource_types() + ", circle"};
}
}  // namespace

Result<LotSpecification> read_lot(StringView body) {
  auto parsed = parse_json(body);
  if (auto error = error_of(parsed)) return *error;
  const json::value& value = std::get<json::value>(parsed);
  if (!value.is_object())
    return Error{ErrorKind::invalid, "body", "the lot is not a JSON object",
                 "give an object with lane, deadline and items"};
  LotSpecification lot;
  const json::value* items = nullptr;
  for (const auto& each : value.as_object()) {
    std::optional<Error> error;
    if (each.key() == "lane")
      error = JsonReader::read(each.value(), lot.lane, "lane");
    else if (each.key() == "deadline" || each.key() == former_name("deadline"))
      error = JsonReader::read(each.value(), lot.deadline, "deadline");
    else if (each.key() == "items")
      items = &each.value();
    else
      error = Error{ErrorKind::invalid, std::string(each.key()), "this field is not known",
                    "use only: lane, deadline, items"};
    if (error) return *error;
  }
  if (lot.lane.empty())
    return Error{ErrorKind::invalid, "lane", "the lot names no lane", "name the lane that its items belong to"};
  if (items == nullptr || !items->is_array())
    return Error{ErrorKind::invalid, "items", "the items are missing or not a list", "give a list of JSON values"};
  for (const auto& item : items->as_array())
    lot.items.push_back(
        LotItem{"", "", {}, item.is_string() ? std::string(item.as_string()) : json::serialize(item), 0});
  return lot;
}

Control::Control(Messenger& messenger, SharedState& shared_state, RandomSource& random, Member self,
                 std::function<json::value()> load_json)
    : messenger_(messenger),
      shared_state_(shared_state),
      random_(random),
      self_(std::move(self)),
      load_json_(std::move(load_json)),
      client_(messenger, shared_state),
      lots_(messenger, shared_state) {}

std::optional<Control::Target> Control::parse_target(StringView target) {
  Target parsed;
  const auto question_mark = target.find('?');
  StringView path = target.substr(0, question_mark);
  if (path.empty() || path[0] != '/') return std::nullopt;
  path.remove_prefix(1);
  while (!path.empty()) {
    const auto slash = path.find('/');
    parsed.parts.emplace_back(path.substr(0, slash));
    if (slash == StringView::npos) break;
    path.remove_prefix(slash + 1);
  }
  // The names used before release 0.2 are accepted for one more release.
  if (parsed.parts.size() > 1 && parsed.parts[1] == "soundness") parsed.parts[1] = "health";
  if (parsed.parts.size() > 1 && parsed.parts[1] == "usage") parsed.parts[1] = "load";
  if (parsed.parts.size() > 2) parsed.parts[2] = current_type(parsed.parts[2]);
  StringView query = question_mark == StringView::npos ? StringView{} : target.substr(question_mark + 1);
  while (!query.empty()) {
    const auto end = query.find('&');
    const StringView pair = query.substr(0, end);
    const auto equals = pair.find('=');
    parsed.query[std::string(pair.substr(0, equals))] =
        equals == StringView::npos ? "" : std::string(pair.substr(equals + 1));
    if (end == StringView::npos) break;
    query.remove_prefix(end + 1);
  }
  return parsed;
}

void Control::handle(ControlRequest request, ControlReplyCallback respond) {
  const auto target = parse_target(request.target);
  if (!target || target->parts.empty()) return respond(error_reply(unknown_call(request)));
  const auto& parts = target->parts;
  if (parts[0] == "lots") return handle_lots(request, *target, std::move(respond));
  if (request.from_clients || parts[0] != "v1" || parts.size() < 2) return respond(error_reply(unknown_call(request)));
  if (parts[1] == "resources" && (parts.size() == 3 || parts.size() == 4))
    return handle_resources(request, *target, std::move(respond));
  if (request.method != "GET" || parts.size() != 2) return respond(error_reply(unknown_call(request)));
  if (parts[1] == "health") return respond(ControlReply{200, health_json(), false});
  if (parts[1] == "load") return respond(ControlReply{200, load_json_(), false});
  if (parts[1] == "members") {
    json::array list;
    for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
      list.push_back(to_json(member));
    return respond(ControlReply{200, json::object{{"members", list}}, false});
  }
  if (parts[1] == "roster")
    return respond(ControlReply{200, to_json(shared_state_.configuration.get()->roster), false});
  if (parts[1] == "watch") return watch(*target, messenger_.timers().now() + milliseconds(20000), std::move(respond));
  respond(error_reply(unknown_call(request)));
}

void Control::handle_resources(const ControlRequest& request, const Target& target, ControlReplyCallback respond) {
  const std::string& type = target.parts[2];
  if (!is_resource_type(type) && type != "circle") return respond(error_reply(unknown_type(type)));
  if (target.parts.size() == 3) {
    if (request.method != "GET") return respond(error_reply(unknown_call(request)));
    return respond(ControlReply{200, list_resources(type), false});
  }
  const std::string& name = target.parts[3];
  if (request.method == "GET") return get_resource(type, name, std::move(respond));
  if (type == "circle")
    return respond(
        error_reply(Error{ErrorKind::conflict, "type", "circles are managed by the system and can't be written",
                          "change the circle settings of the kind instead"}));
  if (request.method == "PUT") return put_resource(type, name, request, target, std::move(respond), true);
  if (request.method == "DELETE") return delete_resource(type, name, target, std::move(respond));
  respond(error_reply(unknown_call(request)));
}

json::value Control::list_resources(const std::string& type) const {
  const auto configuration = shared_state_.configuration.get();
  json::array list;
  with_table(*configuration, type, [&](const auto& table) {
    for (const auto& [name, entry] : table) list.push_back(resource_json(type, name, entry));
  });
  return json::object{{"digest", std::to_string(configuration->digest)}, {"resources", list}};
}

void Control::put_resource(const std::string& type, const std::string& name, const ControlRequest& request,
                           const Target& target, ControlReplyCallback respond, bool retry_once) {
  const auto configuration = shared_state_.configuration.get();
  auto checked = check_document(type, name, request.body, *configuration);
  if (auto error = error_of(checked)) {
    if (!retry_once) return respond(error_reply(*error));
    // A resource that the document refers to may have been written at another daemon and not have arrived here yet. The
    // check is repeated once, after a round of gossip.
    messenger_.timers().after(milliseconds(400), [this, type, name, request, target, respond] {
      put_resource(type, name, request, target, respond, false);
    });
    return;
  }
  std::uint64_t expected = 0;
  if (auto parameter = target.query.find("version"); parameter != target.query.end()) {
    auto number = parse_integer(parameter->second);
    if (!number)
      return respond(error_reply(Error{ErrorKind::invalid, "version", "the version is not an integer",
                                       "give the version that you read, or 0 to create"}));
    expected = *number;
  }
  Write change;
  change.key = type + "/" + name;
  change.head = std::move(std::get<Bytes>(checked));
  change.expected = expected;
  write(std::move(change), std::move(respond));
}

void Control::delete_resource(const std::string& type, const std::string& name, const Target& target,
                              ControlReplyCallback respond) {
  const auto configuration = shared_state_.configuration.get();
  auto checked = check_removal(type, name, *configuration);
  if (auto error = error_of(checked)) return respond(error_reply(*error));
  Write change;
  change.key = type + "/" + name;
  change.removed = true;
  auto parameter = target.query.find("version");
  if (parameter == target.query.end() || !parse_integer(parameter->second))
    return respond(
        error_reply(Error{ErrorKind::invalid, "version", "the version to be removed is missing or not an integer",
                          "add ?version=N with the version that you read"}));
  change.expected = *parse_integer(parameter->second);
  if (*change.expected == 0)
    return respond(
        error_reply(Error{ErrorKind::unknown_name, "name", "there is no resource with this name", "check the name"}));
  write(std::move(change), std::move(respond));
}

void Control::write(Write change, ControlReplyCallback respond) {
  change.token = self_.address.text + "/" + std::to_string(self_.incarnation) + "/" + std::to_string(random_.next());
  const std::string key = change.key;
  client_.write(std::move(change), write_timeout, [this, key, respond](Result<WriteReply> result) {
    if (auto error = error_of(result)) return respond(error_reply(*error));
    respond_when_applied(key, std::get<WriteReply>(result).stamp, messenger_.timers().now() + milliseconds(1000),
                         respond);
  });
}

// Delays the response until the change has arrived here by gossip, but not beyond the deadline, so that the next call
// to this daemon sees the change.
void Control::respond_when_applied(const std::string& key, Stamp stamp, TimePoint deadline,
                                   ControlReplyCallback respond) {
  const auto configuration = shared_state_.configuration.get();
  const auto slash = key.find('/');
  const std::string type = key.substr(0, slash), name = key.substr(slash + 1);
  bool applied = true;
  with_table(*configuration, type, [&](const auto& table) {
    auto* entry = find_in(table, name);
    applied = entry != nullptr && entry->stamp >= stamp;
  });
  if (!applied && messenger_.timers().now() < deadline) {
    messenger_.timers().after(milliseconds(10), [this, key, stamp, deadline, respond] {
      respond_when_applied(key, stamp, deadline, respond);
    });
    return;
  }
  respond(ControlReply{
      200, json::object{{"type", type}, {"name", name}, {"version", stamp.version.value}, {"epoch", stamp.epoch.value}},
      false});
}

void Control::get_resource(const std::string& type, const std::string& name, ControlReplyCallback respond) {
  // Reads the record from its owner, which has it confirmed by a majority, and asks each member whether it has applied
  // that version.
  client_.read(type + "/" + name, milliseconds(3000), [this, type, name, respond](Result<ReadReply> result) {
    if (auto error = error_of(result)) return respond(error_reply(*error));
    const ReadReply reply = std::get<ReadReply>(result);
    if (!reply.found || reply.record.removed)
      return respond(error_reply(
          Error{ErrorKind::unknown_name, "name", "there is no " + type + " named '" + name + "'", "check the name"}));
    const auto members = shared_state_.members.get();
    struct Progress {
      std::size_t replies_missing = 0, applied = 0;
      json::array not_applied;
    };
    auto progress = std::make_shared<Progress>();
    progress->replies_missing = members->all.size();
    const std::size_t all = members->all.size();
    auto finish = [progress, all, type, name, reply, respond] {
      auto spec = parse_json(reply.record.head);
      json::object body{{"type", type},
                        {"name", name},
                        {"version", reply.record.stamp.version.value},
                        {"epoch", reply.record.stamp.epoch.value},
                        {"spec", error_of(spec) ? json::value(nullptr) : std::get<json::value>(spec)}};
      body["status"] = json::object{{"taken", progress->applied}, {"members", all}, {"waiting", progress->not_applied}};
      respond(ControlReply{200, body, false});
    };
    for (const auto& [address, member] : members->all)
      messenger_.request(
          address, AppliedStamp{type + "/" + name}, milliseconds(500),
          [progress, address = address, stamp = reply.record.stamp, finish](Result<AppliedStampReply> member_result) {
            auto* member_reply = std::get_if<AppliedStampReply>(&member_result);
            if (member_reply != nullptr && member_reply->found && member_reply->stamp >= stamp)
              ++progress->applied;
            else
              progress->not_applied.push_back(json::value(json::string(address.text)));
            if (--progress->replies_missing == 0) finish();
          });
  });
}

void Control::watch(const Target& target, TimePoint deadline, ControlReplyCallback respond) {
  const auto configuration = shared_state_.configuration.get();
  auto parameter = target.query.find("digest");
  if (parameter != target.query.end() && parameter->second == std::to_string(configuration->digest) &&
      messenger_.timers().now() < deadline) {
    messenger_.timers().after(milliseconds(100),
                              [this, target, deadline, respond] { watch(target, deadline, respond); });
    return;
  }
  json::object body{{"digest", std::to_string(configuration->digest)}};
  json::array list;
  for (const StringView type : {"lane", "kind", "runner", "zone", "lots", "holder", "aim", "circle"})
    with_table(*configuration, type, [&](const auto& table) {
      for (const auto& [name, entry] : table) list.push_back(resource_json(type, name, entry));
    });
  body["resources"] = std::move(list);
  respond(ControlReply{200, body, false});
}

json::value Control::health_json() const {
  const TimePoint now = messenger_.timers().now();
  const auto members = shared_state_.members.get();
  const auto configuration = shared_state_.configuration.get();
  const auto owned = shared_state_.owned.get();
  const bool has_lease = shared_state_.has_lease(now);
  json::array zones;
  for (const auto& [name, zone] : configuration->zones)
    if (zone.spec.evacuated) zones.push_back(json::value(json::string(name)));
  return json::object{{"address", self_.address.text},
                      {"zone", self_.zone.text},
                      {"version", self_.version},
                      {"state", shared_state_.draining                 ? "draining"
                                : has_lease                            ? "serving"
                                : shared_state_.lease_until.load() < 0 ? "starting"
                                                                       : "static"},
                      {"holder", self_.holder.text},
                      {"stalled", shared_state_.stalled.load()},
                      {"seated", configuration->roster.has_voter(self_.holder)},
                      {"slots", owned->slots.size()},
                      {"members", members->all.size()},
                      {"control", members->control_daemons},
                      {"roster", configuration->roster.version.value},
                      {"seats", configuration->roster.voters.size()},
                      {"digest", std::to_string(configuration->digest)},
                      {"evacuated", zones}};
}

json::value page_json(const LotPage& page) {
  json::value text = to_json(page);
  for (auto& result : text.at("results").as_array()) {
    const auto& body = result.at("body").as_string();
    if (is_text(body)) continue;
    const std::string encoded = base64(body);
    result.as_object()["body"] = encoded;
    result.as_object()["encoding"] = "base64";
  }
  return text;
}

void Control::handle_lots(const ControlRequest& request, const Target& target, ControlReplyCallback respond) {
  const auto& parts = target.parts;
  auto respond_with = [respond](auto result) {
    if (auto error = error_of(result)) return respond(error_reply(*error));
    respond(ControlReply{200, to_json(std::get<0>(result)), false});
  };
  if (parts.size() == 1 && request.method == "GET") return list_lots(std::move(respond));
  if (parts.size() < 2) return respond(error_reply(unknown_call(request)));
  const std::string& id = parts[1];
  if (id.empty() || id.size() > 100 ||
      id.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") != std::string::npos)
    return respond(error_reply(Error{ErrorKind::invalid, "id",
                                     "the id has characters that are not allowed, or a length outside 1 to 100",
                                     "use letters, digits, - _ . :"}));
  if (parts.size() == 2 && request.method == "PUT") {
    if (shared_state_.draining)
      return respond(
          error_reply(Error{ErrorKind::refused, "lots", "this daemon is shutting down and did not accept the lot",
                            "submit it again to another daemon"}));
    auto lot = read_lot(request.body);
    if (auto error = error_of(lot)) return respond(error_reply(*error));
    return lots_.submit(SubmitLot{id, std::move(std::get<LotSpecification>(lot))}, write_timeout, respond_with);
  }
  if (parts.size() == 2 && request.method == "DELETE") return lots_.cancel(id, write_timeout, respond_with);
  if (parts.size() == 2 && request.method == "GET")
    return lots_.read(ReadLot{id, 0, 0, {}}, write_timeout, [respond](Result<LotPage> result) {
      if (auto error = error_of(result)) return respond(error_reply(*error));
      respond(ControlReply{200, to_json(std::get<LotPage>(result).lot), false});
    });
  if (parts.size() == 3 && parts[2] == "results" && request.method == "GET") {
    std::uint32_t after = 0, limit = 100;
    for (auto [name, value] : {std::pair<const char*, std::uint32_t*>{"after", &after}, {"limit", &limit}})
      if (auto parameter = target.query.find(name); parameter != target.query.end()) {
        auto number = parse_integer(parameter->second);
        if (!number || *number > 1000000)
          return respond(error_reply(
              Error{ErrorKind::invalid, name, "this is not an integer in the allowed range", "give 0 to 1000000"}));
        *value = static_cast<std::uint32_t>(*number);
      }
    return lots_.read(ReadLot{id, after, limit, {}}, write_timeout, [respond](Result<LotPage> result) {
      if (auto error = error_of(result)) return respond(error_reply(*error));
      respond(ControlReply{200, page_json(std::get<LotPage>(result)), false});
    });
  }
  respond(error_reply(unknown_call(request)));
}

void Control::list_lots(ControlReplyCallback respond) {
  const auto configuration = shared_state_.configuration.get();
  struct Collected {
    std::size_t replies_missing = 0;
    std::map<std::string, LotStatus> lots;
    bool complete = true;
  };
  auto collected = std::make_shared<Collected>();
  const auto& voters = configuration->roster_of("lot/").voters;
  collected->replies_missing = voters.size();
  if (collected->replies_missing == 0)
    return respond(error_reply(
        Error{ErrorKind::refused, "lots", "this daemon does not know any storage node yet", "try again in a second"}));
  for (const auto& voter : voters)
    messenger_.request(voter.address, ListLots{}, milliseconds(1000), [collected, respond](Result<LotList> result) {
      if (auto* list = std::get_if<LotList>(&result))
        for (auto& lot : list->lots) collected->lots[lot.id] = lot;
      else
        collected->complete = false;
      if (--collected->replies_missing > 0) return;
      json::array lots;
      for (const auto& [id, lot] : collected->lots) lots.push_back(to_json(lot));
      respond(ControlReply{200, json::object{{"whole", collected->complete}, {"lots", lots}}, false});
    });
}

}  // namespace mothwalk
