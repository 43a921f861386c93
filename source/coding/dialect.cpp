// The plain dialect, and the lookup of headers that all dialects use.
#include "interfaces/dialect.hpp"

#include <algorithm>

namespace mothwalk {

const Dialect& plain_dialect() {
  static const PlainDialect dialect;
  return dialect;
}

bool same_name(StringView left, StringView right) {
  auto lower = [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter;
  };
  return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(),
                                                   [&](char one, char other) { return lower(one) == lower(other); });
}

const std::string* header_of(const std::vector<Header>& headers, StringView name) {
  for (const auto& header : headers)
    if (same_name(header.name, name)) return &header.value;
  return nullptr;
}

RequestInfo PlainDialect::read_request(const std::vector<Header>& headers) const {
  RequestInfo request;
  if (const auto* host = header_of(headers, "Host")) {
    request.host = host->substr(0, host->find(':'));
    std::transform(request.host.begin(), request.host.end(), request.host.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  }
  return request;
}

void PlainDialect::write_attempt(AttemptRequest&, const RequestInfo&, const AttemptInfo&) const {}

ResponseInfo PlainDialect::read_response(int, const std::vector<Header>& headers, const RequestInfo&) const {
  ResponseInfo response;
  if (const auto* connection = header_of(headers, "Connection")) response.closing = same_name(*connection, "close");
  return response;
}

std::string PlainDialect::retry_after(Duration span) const {
  return std::to_string(std::max<std::int64_t>(1, (span.count() + 999999) / 1000000));
}

}  // namespace mothwalk
