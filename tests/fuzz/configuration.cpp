// Configuration documents, whole and as changes. What a check accepts can be read, and holds what a revision needs.
#include "platform/configuration.hpp"

#include "entry.hpp"

namespace mothwalk::fuzz {

namespace {
void check_accepted(const Bytes& text) {
  auto content = platform::ConfigurationDocument().read(text);
  expect(error_of(content) == nullptr, "an accepted document can be read");
  auto parsed = parse_json(text);
  expect(error_of(parsed) == nullptr, "an accepted document is JSON");
  auto again = platform::check_whole(std::get<json::value>(parsed));
  expect(error_of(again) == nullptr, "an accepted document is accepted again");
  auto same = platform::ConfigurationDocument().read(std::get<Bytes>(again));
  expect(error_of(same) == nullptr, "what is kept of it can be read");
}

void check_whole_document(StringView bytes) {
  auto parsed = parse_json(bytes);
  if (error_of(parsed)) return;
  platform::revision_of(std::get<json::value>(parsed));
  auto whole = platform::check_whole(std::get<json::value>(parsed));
  if (!error_of(whole)) check_accepted(std::get<Bytes>(whole));
}

void check_change(StringView current, StringView change) {
  auto parsed = parse_json(change);
  if (error_of(parsed)) return;
  auto changed = platform::change_items(current, std::get<json::value>(parsed));
  if (!error_of(changed)) check_accepted(std::get<Bytes>(changed));
}

}  // namespace

// A line is a whole document; what stands behind the first line end is a change to it.
void run(StringView bytes) {
  const auto line_end = bytes.find('\n');
  check_whole_document(bytes.substr(0, line_end));
  if (line_end != StringView::npos) check_change(bytes.substr(0, line_end), bytes.substr(line_end + 1));
}

}  // namespace mothwalk::fuzz
