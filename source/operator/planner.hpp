// Checking and planning of documents before they are applied, with the very code by which the daemons check and route.
#pragma once
#include "configuration/resources.hpp"

namespace mothwalk {

struct Document {
  std::string type, name;
  Bytes canonical;  // the spec as it would be kept; filled by plan
  json::value spec;
  std::optional<std::uint64_t> version;  // as given; none means the current one
};

struct Plan {
  std::vector<std::string> changes, warnings;
  MOTHWALK_FIELDS(changes, warnings)
};

Result<std::vector<Document>> read_documents(StringView text);
// Checks all documents in order, each against what the ones before it leave, and tells what would change.
Result<Plan> plan(std::vector<Document>& documents, const ConfigurationView& view);

}  // namespace mothwalk
