// Implements the HTTP calls of operators and of clients that use lots.
#include "control/control.hpp"

#include <algorithm>

#include "gossip/configuration_gossip.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration write_timeout = milliseconds(5000);

ControlReply faulty(const Error& error) {
  const bool again = error.kind == ErrorKind::refused || error.kind == ErrorKind::unknown ||
                     error.kind == ErrorKind::busy || error.kind == ErrorKind::lost;
  json::value body = error_to_json(error);
  body.as_object()["outcome"] =
      error.kind == ErrorKind::unknown || error.kind == ErrorKind::lost ? "unknown" : "refused";
  return ControlReply{error_status(error.kind), std::move(body), again};
}

Error no_such_call(const ControlRequest& request) {
  return Error{ErrorKind::unknown_name, "path", "there is no call " + request.method + " " + request.target,
               "see the operators' page for the calls"};
}

std::optional<std::uint64_t> whole_number(const std::string& text) {
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
template <class Use>
bool with_table(const ConfigurationView& view, StringView type, Use use) {
  if (type == "lane") return use(view.lanes), true;
  if (type == "kind") return use(view.kinds), true;
  if (type == "runner") return use(view.runners), true;
  if (type == "zone") return use(view.zones), true;
  if (type == "lots") return use(view.lots), true;
  if (type == "holder") return use(view.holders), true;
  if (type == "aim") return use(view.aims), true;
  if (type == "circle") return use(view.circles), true;
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

Error no_type(const std::string& type) {
  return Error{ErrorKind::unknown_name, "type", "no resource has the type '" + type + "'",
               "use one of: " + resource_types() + ", circle"};
}
}  // namespace

Result<LotSpecification> read_lot(StringView body) {
  auto parsed = parse_json(body);
  if (auto error = error_of(parsed)) return *error;
  const json::value& value = std::get<json::value>(parsed);
  if (!value.is_object())
    return Error{ErrorKind::invalid, "body", "the lot is not an object", "give {\"lane\", \"deadline\", \"items\"}"};
  LotSpecification head;
  const json::value* items = nullptr;
  for (const auto& each : value.as_object()) {
    std::optional<Error> error;
    if (each.key() == "lane")
      error = JsonReader::read(each.value(), head.lane, "lane");
    else if (each.key() == "deadline" || each.key() == former_name("deadline"))
      error = JsonReader::read(each.value(), head.deadline, "deadline");
    else if (each.key() == "items")
      items = &each.value();
    else
      error = Error{ErrorKind::invalid, std::string(each.key()), "this field is not known",
                    "use only: lane, deadline, items"};
    if (error) return *error;
  }
  if (head.lane.empty())
    return Error{ErrorKind::invalid, "lane", "the lot names no lane", "give the lane that its items go by"};
  if (items == nullptr || !items->is_array())
    return Error{ErrorKind::invalid, "items", "the items are not a list", "give a list of JSON values"};
  for (const auto& item : items->as_array())
    head.items.push_back(
        LotItem{"", "", {}, item.is_string() ? std::string(item.as_string()) : json::serialize(item), 0});
  return head;
}

Control::Control(Messenger& messenger, SharedState& shared_state, RandomSource& random, Member self,
                 std::function<json::value()> own_load)
    : messenger_(messenger),
      shared_state_(shared_state),
      random_(random),
      self_(std::move(self)),
      own_load_(std::move(own_load)),
      client_(messenger, shared_state),
      lots_(messenger, shared_state) {}

std::optional<Control::Target> Control::split(StringView target) {
  Target split;
  const auto mark = target.find('?');
  StringView path = target.substr(0, mark);
  if (path.empty() || path[0] != '/') return std::nullopt;
  path.remove_prefix(1);
  while (!path.empty()) {
    const auto slash = path.find('/');
    split.parts.emplace_back(path.substr(0, slash));
    if (slash == StringView::npos) break;
    path.remove_prefix(slash + 1);
  }
  // The names used before release 0.2 are accepted for one more release.
  if (split.parts.size() > 1 && split.parts[1] == "soundness") split.parts[1] = "health";
  if (split.parts.size() > 1 && split.parts[1] == "usage") split.parts[1] = "load";
  if (split.parts.size() > 2) split.parts[2] = current_type(split.parts[2]);
  StringView query = mark == StringView::npos ? StringView{} : target.substr(mark + 1);
  while (!query.empty()) {
    const auto end = query.find('&');
    const StringView pair = query.substr(0, end);
    const auto equals = pair.find('=');
    split.query[std::string(pair.substr(0, equals))] =
        equals == StringView::npos ? "" : std::string(pair.substr(equals + 1));
    if (end == StringView::npos) break;
    query.remove_prefix(end + 1);
  }
  return split;
}

void Control::handle(ControlRequest request, ControlAnswer answer) {
  const auto target = split(request.target);
  if (!target || target->parts.empty()) return answer(faulty(no_such_call(request)));
  const auto& parts = target->parts;
  if (parts[0] == "lots") return lots(request, *target, std::move(answer));
  if (request.callers || parts[0] != "v1" || parts.size() < 2) return answer(faulty(no_such_call(request)));
  if (parts[1] == "resources" && (parts.size() == 3 || parts.size() == 4))
    return resources(request, *target, std::move(answer));
  if (request.method != "GET" || parts.size() != 2) return answer(faulty(no_such_call(request)));
  if (parts[1] == "health") return answer(ControlReply{200, health(), false});
  if (parts[1] == "load") return answer(ControlReply{200, own_load_(), false});
  if (parts[1] == "members") {
    json::array list;
    for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
      list.push_back(to_json(member));
    return answer(ControlReply{200, json::object{{"members", list}}, false});
  }
  if (parts[1] == "roster") return answer(ControlReply{200, to_json(shared_state_.configuration.get()->roster), false});
  if (parts[1] == "watch") return watch(*target, messenger_.timers().now() + milliseconds(20000), std::move(answer));
  answer(faulty(no_such_call(request)));
}

void Control::resources(const ControlRequest& request, const Target& target, ControlAnswer answer) {
  const std::string& type = target.parts[2];
  if (!is_resource_type(type) && type != "circle") return answer(faulty(no_type(type)));
  if (target.parts.size() == 3) {
    if (request.method != "GET") return answer(faulty(no_such_call(request)));
    return answer(ControlReply{200, listing(type), false});
  }
  const std::string& name = target.parts[3];
  if (request.method == "GET") return show(type, name, std::move(answer));
  if (type == "circle")
    return answer(faulty(Error{ErrorKind::conflict, "type", "circles are decided by the system",
                               "change the kind's circle settings instead"}));
  if (request.method == "PUT") return put(type, name, request, target, std::move(answer), true);
  if (request.method == "DELETE") return remove(type, name, target, std::move(answer));
  answer(faulty(no_such_call(request)));
}

json::value Control::listing(const std::string& type) const {
  const auto configuration = shared_state_.configuration.get();
  json::array list;
  with_table(*configuration, type, [&](const auto& table) {
    for (const auto& [name, entry] : table) list.push_back(resource_json(type, name, entry));
  });
  return json::object{{"digest", std::to_string(configuration->digest)}, {"resources", list}};
}

void Control::put(const std::string& type, const std::string& name, const ControlRequest& request, const Target& target,
                  ControlAnswer answer, bool second_look) {
  const auto configuration = shared_state_.configuration.get();
  auto checked = check_document(type, name, request.body, *configuration);
  if (auto error = error_of(checked)) {
    if (!second_look) return answer(faulty(*error));
    // A resource that the document refers to may have been written at another daemon and not have arrived here yet. The
    // check is repeated once, after a round of gossip.
    messenger_.timers().after(milliseconds(400), [this, type, name, request, target, answer] {
      put(type, name, request, target, answer, false);
    });
    return;
  }
  std::uint64_t expected = 0;
  if (auto given = target.query.find("version"); given != target.query.end()) {
    auto number = whole_number(given->second);
    if (!number)
      return answer(faulty(Error{ErrorKind::invalid, "version", "the version is not a whole number",
                                 "give the version that you read, or 0 to create"}));
    expected = *number;
  }
  Write change;
  change.key = type + "/" + name;
  change.head = std::move(std::get<Bytes>(checked));
  change.expected = expected;
  write(std::move(change), std::move(answer));
}

void Control::remove(const std::string& type, const std::string& name, const Target& target, ControlAnswer answer) {
  const auto configuration = shared_state_.configuration.get();
  auto checked = check_removal(type, name, *configuration);
  if (auto error = error_of(checked)) return answer(faulty(*error));
  Write change;
  change.key = type + "/" + name;
  change.removed = true;
  auto given = target.query.find("version");
  if (given == target.query.end() || !whole_number(given->second))
    return answer(faulty(Error{ErrorKind::invalid, "version", "a removal names the version that it removes",
                               "add ?version=N with the version that you read"}));
  change.expected = *whole_number(given->second);
  if (*change.expected == 0)
    return answer(faulty(Error{ErrorKind::unknown_name, "name", "there is nothing of this name", "check the name"}));
  write(std::move(change), std::move(answer));
}

void Control::write(Write change, ControlAnswer answer) {
  change.token = self_.address.text + "/" + std::to_string(self_.incarnation) + "/" + std::to_string(random_.next());
  const std::string key = change.key;
  client_.write(std::move(change), write_timeout, [this, key, answer](Result<WriteReply> result) {
    if (auto error = error_of(result)) return answer(faulty(*error));
    answer_when_seen(key, std::get<WriteReply>(result).stamp, messenger_.timers().now() + milliseconds(1000), answer);
  });
}

// Delays the response until the change has arrived here by gossip, but not beyond the deadline, so that the next call
// to this daemon sees the change.
void Control::answer_when_seen(const std::string& key, Stamp stamp, TimePoint until, ControlAnswer answer) {
  const auto configuration = shared_state_.configuration.get();
  const auto slash = key.find('/');
  const std::string type = key.substr(0, slash), name = key.substr(slash + 1);
  bool seen = true;
  with_table(*configuration, type, [&](const auto& table) {
    auto* entry = find_in(table, name);
    seen = entry != nullptr && entry->stamp >= stamp;
  });
  if (!seen && messenger_.timers().now() < until) {
    messenger_.timers().after(milliseconds(10),
                              [this, key, stamp, until, answer] { answer_when_seen(key, stamp, until, answer); });
    return;
  }
  answer(ControlReply{
      200, json::object{{"type", type}, {"name", name}, {"version", stamp.version.value}, {"epoch", stamp.epoch.value}},
      false});
}

void Control::show(const std::string& type, const std::string& name, ControlAnswer answer) {
  // Reads the record from its owner, which has it confirmed by a majority, and asks each member whether it has applied
  // that version.
  client_.read(type + "/" + name, milliseconds(3000), [this, type, name, answer](Result<ReadReply> result) {
    if (auto error = error_of(result)) return answer(faulty(*error));
    const ReadReply reply = std::get<ReadReply>(result);
    if (!reply.found || reply.record.removed)
      return answer(faulty(Error{ErrorKind::unknown_name, "name", "there is no " + type + " of the name '" + name + "'",
                                 "check the name"}));
    const auto members = shared_state_.members.get();
    struct Count {
      std::size_t left = 0, taken = 0;
      json::array waiting;
    };
    auto count = std::make_shared<Count>();
    count->left = members->all.size();
    const std::size_t all = members->all.size();
    auto finish = [count, all, type, name, reply, answer] {
      auto spec = parse_json(reply.record.head);
      json::object body{{"type", type},
                        {"name", name},
                        {"version", reply.record.stamp.version.value},
                        {"epoch", reply.record.stamp.epoch.value},
                        {"spec", error_of(spec) ? json::value(nullptr) : std::get<json::value>(spec)}};
      body["status"] = json::object{{"taken", count->taken}, {"members", all}, {"waiting", count->waiting}};
      answer(ControlReply{200, body, false});
    };
    for (const auto& [address, member] : members->all)
      messenger_.request(address, Taken{type + "/" + name}, milliseconds(500),
                         [count, address = address, stamp = reply.record.stamp, finish](Result<TakenReply> taken) {
                           auto* given = std::get_if<TakenReply>(&taken);
                           if (given != nullptr && given->found && given->stamp >= stamp)
                             ++count->taken;
                           else
                             count->waiting.push_back(json::value(json::string(address.text)));
                           if (--count->left == 0) finish();
                         });
  });
}

void Control::watch(const Target& target, TimePoint until, ControlAnswer answer) {
  const auto configuration = shared_state_.configuration.get();
  auto given = target.query.find("digest");
  if (given != target.query.end() && given->second == std::to_string(configuration->digest) &&
      messenger_.timers().now() < until) {
    messenger_.timers().after(milliseconds(100), [this, target, until, answer] { watch(target, until, answer); });
    return;
  }
  json::object body{{"digest", std::to_string(configuration->digest)}};
  json::array list;
  for (const StringView type : {"lane", "kind", "runner", "zone", "lots", "holder", "aim", "circle"})
    with_table(*configuration, type, [&](const auto& table) {
      for (const auto& [name, entry] : table) list.push_back(resource_json(type, name, entry));
    });
  body["resources"] = std::move(list);
  answer(ControlReply{200, body, false});
}

json::value Control::health() const {
  const TimePoint now = messenger_.timers().now();
  const auto members = shared_state_.members.get();
  const auto configuration = shared_state_.configuration.get();
  const auto owned = shared_state_.owned.get();
  const bool permitted = shared_state_.has_lease(now);
  json::array zones;
  for (const auto& [name, zone] : configuration->zones)
    if (zone.spec.evacuated) zones.push_back(json::value(json::string(name)));
  return json::object{{"address", self_.address.text},
                      {"zone", self_.zone.text},
                      {"version", self_.version},
                      {"state", shared_state_.draining                 ? "draining"
                                : permitted                            ? "serving"
                                : shared_state_.lease_until.load() < 0 ? "starting"
                                                                       : "static"},
                      {"holder", self_.holder.text},
                      {"stalled", shared_state_.stalled.load()},
                      {"seated", configuration->roster.seated(self_.holder)},
                      {"slots", owned->slots.size()},
                      {"members", members->all.size()},
                      {"control", members->control_daemons},
                      {"roster", configuration->roster.version.value},
                      {"seats", configuration->roster.seats.size()},
                      {"digest", std::to_string(configuration->digest)},
                      {"evacuated", zones}};
}

json::value page_json(const LotPage& page) {
  json::value text = to_json(page);
  for (auto& result : text.at("results").as_array()) {
    const auto& body = result.at("body").as_string();
    if (is_text(body)) continue;
    const std::string form = base64(body);
    result.as_object()["body"] = form;
    result.as_object()["encoding"] = "base64";
  }
  return text;
}

void Control::lots(const ControlRequest& request, const Target& target, ControlAnswer answer) {
  const auto& parts = target.parts;
  auto give = [answer](auto result) {
    if (auto error = error_of(result)) return answer(faulty(*error));
    answer(ControlReply{200, to_json(std::get<0>(result)), false});
  };
  if (parts.size() == 1 && request.method == "GET") return list_lots(std::move(answer));
  if (parts.size() < 2) return answer(faulty(no_such_call(request)));
  const std::string& id = parts[1];
  if (id.empty() || id.size() > 100 ||
      id.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") != std::string::npos)
    return answer(faulty(Error{ErrorKind::invalid, "id",
                               "the id has characters that are not allowed, or a length outside 1 to 100",
                               "use letters, digits, - _ . :"}));
  if (parts.size() == 2 && request.method == "PUT") {
    if (shared_state_.draining)
      return answer(faulty(Error{ErrorKind::refused, "lots", "this daemon is shutting down; the lot was not taken",
                                 "hand it in again at another daemon"}));
    auto head = read_lot(request.body);
    if (auto error = error_of(head)) return answer(faulty(*error));
    return lots_.submit(SubmitLot{id, std::move(std::get<LotSpecification>(head))}, write_timeout, give);
  }
  if (parts.size() == 2 && request.method == "DELETE") return lots_.end(id, write_timeout, give);
  if (parts.size() == 2 && request.method == "GET")
    return lots_.read(ReadLot{id, 0, 0, {}}, write_timeout, [answer](Result<LotPage> result) {
      if (auto error = error_of(result)) return answer(faulty(*error));
      answer(ControlReply{200, to_json(std::get<LotPage>(result).lot), false});
    });
  if (parts.size() == 3 && parts[2] == "results" && request.method == "GET") {
    std::uint32_t after = 0, limit = 100;
    for (auto [name, place] : {std::pair<const char*, std::uint32_t*>{"after", &after}, {"limit", &limit}})
      if (auto given = target.query.find(name); given != target.query.end()) {
        auto number = whole_number(given->second);
        if (!number || *number > 1000000)
          return answer(
              faulty(Error{ErrorKind::invalid, name, "this is not a whole number in range", "give 0 to 1000000"}));
        *place = static_cast<std::uint32_t>(*number);
      }
    return lots_.read(ReadLot{id, after, limit, {}}, write_timeout, [answer](Result<LotPage> result) {
      if (auto error = error_of(result)) return answer(faulty(*error));
      answer(ControlReply{200, page_json(std::get<LotPage>(result)), false});
    });
  }
  answer(faulty(no_such_call(request)));
}

void Control::list_lots(ControlAnswer answer) {
  const auto configuration = shared_state_.configuration.get();
  struct Gather {
    std::size_t left = 0;
    std::map<std::string, LotStatus> lots;
    bool whole = true;
  };
  auto gather = std::make_shared<Gather>();
  const auto& seats = configuration->roster_of("lot/").seats;
  gather->left = seats.size();
  if (gather->left == 0)
    return answer(
        faulty(Error{ErrorKind::refused, "lots", "this daemon knows of no holders yet", "try again in a second"}));
  for (const auto& seat : seats)
    messenger_.request(seat.address, ListLots{}, milliseconds(1000), [gather, answer](Result<LotList> result) {
      if (auto* list = std::get_if<LotList>(&result))
        for (auto& lot : list->lots) gather->lots[lot.id] = lot;
      else
        gather->whole = false;
      if (--gather->left > 0) return;
      json::array lots;
      for (const auto& [id, lot] : gather->lots) lots.push_back(to_json(lot));
      answer(ControlReply{200, json::object{{"whole", gather->whole}, {"lots", lots}}, false});
    });
}

}  // namespace mothwalk
