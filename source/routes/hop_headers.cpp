// Selection of the end-to-end headers of a message.
#include "routes/hop_headers.hpp"

#include <algorithm>

namespace mothwalk {

namespace {

bool always_hop_by_hop(StringView name) {
  for (const StringView candidate :
       {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "proxy-authenticate",
        "proxy-authorization", "proxy-connection", "content-length", "expect"})
    if (same_name(name, candidate)) return true;
  return false;
}

StringView trimmed(StringView word) {
  while (word.starts_with(' ')) word.remove_prefix(1);
  while (word.ends_with(' ')) word.remove_suffix(1);
  return word;
}

// Returns whether the comma-separated list contains the name, ignoring case.
bool list_contains(StringView list, StringView name) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    if (same_name(trimmed(list.substr(0, comma)), name)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

std::vector<Header> end_to_end(const std::vector<Header>& headers, bool keep_content_length) {
  const std::string* connection = header_of(headers, "Connection");
  std::vector<Header> kept;
  kept.reserve(headers.size() + 4);
  for (const auto& header : headers) {
    const bool is_hop_by_hop =
        always_hop_by_hop(header.name) || (connection != nullptr && list_contains(*connection, header.name));
    const bool wanted_length = keep_content_length && same_name(header.name, "Content-Length");
    if (!is_hop_by_hop || wanted_length) kept.push_back(header);
  }
  return kept;
}

}  // namespace mothwalk
