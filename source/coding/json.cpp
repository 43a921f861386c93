// Parses JSON text with a limit on nesting, and defines the names and HTTP statuses of errors, hashes and base64.
#include "coding/json.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace mothwalk {

Result<json::value> parse_json(StringView text) {
  boost::system::error_code error;
  json::parse_options options;
  options.max_depth = 32;
  json::value value = json::parse(text, error, {}, options);
  if (error)
    return Error{ErrorKind::invalid, "body", "the text is not JSON: " + error.message(),
                 "send one well-formed JSON document"};
  return value;
}

json::value error_to_json(const Error& error) {
  return json::object{
      {"kind", error_name(error.kind)}, {"field", error.field}, {"message", error.message}, {"remedy", error.remedy}};
}

std::string_view error_name(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::invalid:
      return "invalid";
    case ErrorKind::unknown_name:
      return "unknown-name";
    case ErrorKind::conflict:
      return "conflict";
    case ErrorKind::stale:
      return "stale";
    case ErrorKind::refused:
      return "refused";
    case ErrorKind::unknown:
      return "unknown";
    case ErrorKind::too_large:
      return "too-large";
    case ErrorKind::damaged:
      return "damaged";
    case ErrorKind::busy:
      return "busy";
    case ErrorKind::lost:
      return "lost";
  }
  return "unknown";
}

int error_status(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::invalid:
      return 400;
    case ErrorKind::unknown_name:
      return 404;
    case ErrorKind::conflict:
      return 409;
    case ErrorKind::stale:
      return 412;
    case ErrorKind::refused:
      return 503;
    case ErrorKind::unknown:
      return 504;
    case ErrorKind::too_large:
      return 413;
    case ErrorKind::damaged:
      return 500;
    case ErrorKind::busy:
      return 503;
    case ErrorKind::lost:
      return 504;
  }
  return 500;
}

std::uint64_t hash_of(StringView text, std::uint64_t seed) {
  std::uint64_t hash = 14695981039346656037ULL ^ (seed * 0x9E3779B97F4A7C15ULL);
  for (unsigned char byte : text) hash = (hash ^ byte) * 1099511628211ULL;
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

bool is_text(StringView bytes) {
  return error_of(parse_json(json::serialize(json::value(json::string(bytes))))) == nullptr;
}

std::string base64(StringView bytes) {
  using namespace boost::archive::iterators;
  using Letters = base64_from_binary<transform_width<StringView::const_iterator, 6, 8>>;
  std::string text(Letters(bytes.begin()), Letters(bytes.end()));
  text.append((3 - bytes.size() % 3) % 3, '=');
  return text;
}

std::optional<Bytes> base64_bytes(StringView text) {
  Bytes out;
  std::uint32_t bits = 0;
  int count = 0;
  std::size_t padding = 0;
  if (text.size() % 4 != 0) return std::nullopt;
  for (const char letter : text) {
    int value = -1;
    if (letter >= 'A' && letter <= 'Z')
      value = letter - 'A';
    else if (letter >= 'a' && letter <= 'z')
      value = letter - 'a' + 26;
    else if (letter >= '0' && letter <= '9')
      value = letter - '0' + 52;
    else if (letter == '+')
      value = 62;
    else if (letter == '/')
      value = 63;
    else if (letter == '=' && ++padding <= 2)
      continue;
    if (value < 0 || padding > 0) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    if ((count += 6) >= 8) {
      count -= 8;
      out.push_back(static_cast<char>(bits >> count & 255));
    }
  }
  return out;
}

}  // namespace mothwalk
