// Validates the operators' documents and shows what applying them would change. Uses the same code as the daemons, so
// that both agree.
#pragma once
#include "configuration/resources.hpp"

namespace mothwalk {

// A resource as an operator wrote it in a file.
struct Document {
  std::string type, name;
  Bytes canonical;  // The spec in the form in which it would be stored. Set by plan().
  json::value spec;
  std::optional<std::uint64_t> version;  // The version that the document names. None means the current version.
};

// What applying documents would change, and warnings about the result, as sentences for operators.
struct Plan {
  std::vector<std::string> changes, warnings;
  MOTHWALK_FIELDS(changes, warnings)
};

// Parses one document or a list of documents.
Result<std::vector<Document>> read_documents(StringView text);
// Validates the documents in order, each against the configuration that the ones before it would produce, and returns
// what would change.
Result<Plan> plan(std::vector<Document>& documents, const ConfigurationView& view);

}  // namespace mothwalk
