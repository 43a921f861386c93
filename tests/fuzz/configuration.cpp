// Fuzzes the platform's configuration documents, complete ones and changes: a document that passes validation can be
// read, and passes validation again.
#include "platform/configuration.hpp"

#include "entry.hpp"

namespace mothwalk::fuzz {

namespace {
void check_accepted_document(const Bytes& text) {
  auto content = platform::ConfigurationDocument().read(text);
  expect(error_of(content) == nullptr, "an accepted document can be read");
  auto parsed = parse_json(text);
  expect(error_of(parsed) == nullptr, "an accepted document is JSON");
  auto revalidated = platform::validate_document(std::get<json::value>(parsed));
  expect(error_of(revalidated) == nullptr, "an accepted document passes validation again");
  auto reread = platform::ConfigurationDocument().read(std::get<Bytes>(revalidated));
  expect(error_of(reread) == nullptr, "the stored form of an accepted document can be read");
}

void check_complete_document(StringView bytes) {
  auto parsed = parse_json(bytes);
  if (error_of(parsed)) return;
  platform::revision_of(std::get<json::value>(parsed));
  auto document = platform::validate_document(std::get<json::value>(parsed));
  if (!error_of(document)) check_accepted_document(std::get<Bytes>(document));
}

void check_change(StringView current, StringView change) {
  auto parsed = parse_json(change);
  if (error_of(parsed)) return;
  auto changed = platform::apply_changes(current, std::get<json::value>(parsed));
  if (!error_of(changed)) check_accepted_document(std::get<Bytes>(changed));
}

}  // namespace

// The first line of the input is a complete document, the rest is a change to it.
void run(StringView bytes) {
  const auto line_end = bytes.find('\n');
  check_complete_document(bytes.substr(0, line_end));
  if (line_end != StringView::npos) check_change(bytes.substr(0, line_end), bytes.substr(line_end + 1));
}

}  // namespace mothwalk::fuzz
