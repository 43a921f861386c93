// Validates the documents one after another, compares each with the current resource, and then reports the effects on
// lanes, circles and zones.
#include "operator/planner.hpp"

#include <algorithm>

namespace mothwalk {

Result<std::vector<Document>> read_documents(StringView text) {
  auto parsed = parse_json(text);
  if (auto error = error_of(parsed)) return *error;
  const json::value& value = std::get<json::value>(parsed);
  json::array list;
  if (value.is_array())
    list = value.as_array();
  else
    list.push_back(value);
  std::vector<Document> documents;
  for (std::size_t index = 0; index < list.size(); ++index) {
    const std::string path =
        value.is_array() ? std::string("[").append(std::to_string(index)).append("]") : std::string();
    auto invalid_document = [&](const std::string& field, const std::string& message, const std::string& remedy) {
      return Error{ErrorKind::invalid, path + (path.empty() || field.empty() ? "" : ".") + field, message, remedy};
    };
    if (!list[index].is_object())
      return invalid_document("", "the document is not a JSON object", "give {\"type\", \"name\", \"spec\"}");
    Document document;
    bool has_spec = false;
    for (const auto& each : list[index].as_object()) {
      std::optional<Error> error;
      const std::string field(each.key());
      if (field == "type") {
        error = JsonReader::read(each.value(), document.type, field);
        document.type = current_type(document.type);
      } else if (field == "name")
        error = JsonReader::read(each.value(), document.name, field);
      else if (field == "version")
        error = JsonReader::read(each.value(), document.version, field);
      else if (field == "spec") {
        document.spec = each.value();
        has_spec = true;
      } else
        error = Error{ErrorKind::invalid, field, "this field is not known", "use only: type, name, version, spec"};
      if (error) return invalid_document(error->field, error->message, error->remedy);
    }
    if (!has_spec) return invalid_document("spec", "the spec is missing", "give the resource's fields under spec");
    documents.push_back(std::move(document));
  }
  return documents;
}

namespace {

template <class T>
std::uint64_t version_in(const Table<T>& table, const std::string& name) {
  auto found = table.find(name);
  return found == table.end() ? 0 : found->second.stamp.version.value;
}

std::uint64_t version_of(const ConfigurationView& view, const std::string& type, const std::string& name) {
  if (type == "lane") return version_in(view.lanes, name);
  if (type == "kind") return version_in(view.kinds, name);
  if (type == "runner") return version_in(view.runners, name);
  if (type == "zone") return version_in(view.zones, name);
  if (type == "lots") return version_in(view.lots, name);
  if (type == "aim") return version_in(view.aims, name);
  return version_in(view.holders, name);
}

template <class T>
std::string spec_in(const Table<T>& table, const std::string& name) {
  auto found = table.find(name);
  return found == table.end() ? "" : json::serialize(to_json(found->second.spec));
}

std::string spec_of(const ConfigurationView& view, const std::string& type, const std::string& name) {
  if (type == "lane") return spec_in(view.lanes, name);
  if (type == "kind") return spec_in(view.kinds, name);
  if (type == "runner") return spec_in(view.runners, name);
  if (type == "zone") return spec_in(view.zones, name);
  if (type == "lots") return spec_in(view.lots, name);
  if (type == "aim") return spec_in(view.aims, name);
  return spec_in(view.holders, name);
}

// The runners of a kind that may get work: those that are neither leaving nor in an evacuated zone.
struct UsableRunners {
  std::size_t runners = 0;
  std::map<std::string, std::size_t> by_zone;
};

UsableRunners usable_runners(const ConfigurationView& view, const std::string& kind) {
  UsableRunners usable;
  for (const auto& [name, runner] : view.runners) {
    if (runner.spec.kind.text != kind || runner.spec.leaving || view.evacuated(runner.spec.zone)) continue;
    ++usable.runners;
    ++usable.by_zone[runner.spec.zone.text];
  }
  return usable;
}

}  // namespace

Result<Plan> plan(std::vector<Document>& documents, const ConfigurationView& before) {
  Plan result;
  ConfigurationView after = before;
  for (std::size_t index = 0; index < documents.size(); ++index) {
    Document& document = documents[index];
    const std::string key = document.type + "/" + document.name;
    auto checked = check_document(document.type, document.name, json::serialize(document.spec), after);
    if (auto error = error_of(checked)) {
      Error named = *error;
      named.field = key + (named.field.empty() ? "" : "." + named.field);
      return named;
    }
    document.canonical = std::get<Bytes>(checked);
    const std::uint64_t current = version_of(after, document.type, document.name);
    if (document.version && *document.version != version_of(before, document.type, document.name))
      return Error{ErrorKind::stale, key + ".version",
                   "the document is for version " + std::to_string(*document.version) + ", the resource is at " +
                       std::to_string(version_of(before, document.type, document.name)),
                   "read the resource again and base your change on that version"};
    const std::string old_spec = spec_of(after, document.type, document.name);
    if (old_spec.empty())
      result.changes.push_back(key + " would be created");
    else if (old_spec != document.canonical)
      result.changes.push_back(key + " would change from version " + std::to_string(current) + " " + old_spec + " to " +
                               document.canonical);
    apply_to_view(after, key, &document.canonical, Stamp{Epoch{}, Version{current + 1}});
  }
  for (const auto& [kind, settings] : after.kinds) {
    const UsableRunners usable_before = usable_runners(before, kind), usable_after = usable_runners(after, kind);
    if (usable_before.runners != usable_after.runners)
      result.changes.push_back("kind " + kind + ": the number of runners that may get work would change from " +
                               std::to_string(usable_before.runners) + " to " + std::to_string(usable_after.runners));
    if (usable_after.runners < settings.spec.circle.floor)
      result.warnings.push_back("kind " + kind + " would have " + std::to_string(usable_after.runners) +
                                " usable runners, fewer than its floor of " +
                                std::to_string(settings.spec.circle.floor));
    auto circle = before.circles.find(kind);
    if (circle != before.circles.end()) {
      std::size_t remaining_members = 0;
      for (const auto& member : circle->second.spec.members) {
        auto runner = after.runners.find(member.text);
        remaining_members += runner != after.runners.end() && runner->second.spec.kind.text == kind &&
                             !runner->second.spec.leaving && !after.evacuated(runner->second.spec.zone);
      }
      const std::size_t size = circle->second.spec.members.size();
      if (remaining_members < size)
        result.changes.push_back("circle " + kind + ": " + std::to_string(size - remaining_members) + " of " +
                                 std::to_string(size) + " members would be replaced");
      if (usable_after.runners < size)
        result.warnings.push_back("circle " + kind + " would shrink from " + std::to_string(size) + " to " +
                                  std::to_string(usable_after.runners));
    }
    for (const auto& [zone, count] : usable_before.by_zone)
      if (!usable_after.by_zone.contains(zone))
        result.warnings.push_back("zone " + zone + " would have no runner of kind " + kind + " that may get work");
    if (usable_after.runners == 0)
      for (const auto& [name, lane] : after.lanes)
        if (lane.spec.kind.text == kind) result.warnings.push_back("lane " + name + " would have no runner");
  }
  return result;
}

}  // namespace mothwalk
