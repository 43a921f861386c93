// Selection of the headers that go from end to end.
#include "routes/hop_headers.hpp"

#include <algorithm>

namespace mothwalk {

namespace {

bool hop_by_hop(StringView name) {
  for (const StringView each :
       {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "proxy-authenticate",
        "proxy-authorization", "proxy-connection", "content-length", "expect"})
    if (same_name(name, each)) return true;
  return false;
}

StringView trimmed(StringView word) {
  while (word.starts_with(' ')) word.remove_prefix(1);
  while (word.ends_with(' ')) word.remove_suffix(1);
  return word;
}

// Whether the comma-separated list has the name, in any case.
bool lists(StringView list, StringView name) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    if (same_name(trimmed(list.substr(0, comma)), name)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

std::vector<Header> end_to_end(const std::vector<Header>& headers, bool length) {
  const std::string* connection = header_of(headers, "Connection");
  std::vector<Header> kept;
  kept.reserve(headers.size() + 4);
  for (const auto& header : headers) {
    const bool stays_behind = hop_by_hop(header.name) || (connection != nullptr && lists(*connection, header.name));
    const bool wanted_length = length && same_name(header.name, "Content-Length");
    if (!stays_behind || wanted_length) kept.push_back(header);
  }
  return kept;
}

}  // namespace mothwalk
