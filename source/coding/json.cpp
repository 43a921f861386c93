// Parsing of JSON text with bounds, and the names and HTTP statuses of faults.
#include "coding/json.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace mothwalk {

Result<json::value> parse_json(View text) {
  boost::system::error_code error;
  json::parse_options options;
  options.max_depth = 32;
  json::value value = json::parse(text, error, {}, options);
  if (error)
    return Fault{FaultKind::invalid, "body", "the text is not JSON: " + error.message(),
                 "send one well-formed JSON document"};
  return value;
}

json::value fault_to_json(const Fault& fault) {
  return json::object{
      {"kind", fault_name(fault.kind)}, {"field", fault.field}, {"message", fault.message}, {"remedy", fault.remedy}};
}

std::string_view fault_name(FaultKind kind) {
  switch (kind) {
    case FaultKind::invalid:
      return "invalid";
    case FaultKind::unknown_name:
      return "unknown-name";
    case FaultKind::conflict:
      return "conflict";
    case FaultKind::stale:
      return "stale";
    case FaultKind::refused:
      return "refused";
    case FaultKind::unknown:
      return "unknown";
    case FaultKind::too_large:
      return "too-large";
    case FaultKind::damaged:
      return "damaged";
    case FaultKind::busy:
      return "busy";
    case FaultKind::lost:
      return "lost";
  }
  return "unknown";
}

int fault_status(FaultKind kind) {
  switch (kind) {
    case FaultKind::invalid:
      return 400;
    case FaultKind::unknown_name:
      return 404;
    case FaultKind::conflict:
      return 409;
    case FaultKind::stale:
      return 412;
    case FaultKind::refused:
      return 503;
    case FaultKind::unknown:
      return 504;
    case FaultKind::too_large:
      return 413;
    case FaultKind::damaged:
      return 500;
    case FaultKind::busy:
      return 503;
    case FaultKind::lost:
      return 504;
  }
  return 500;
}

std::uint64_t hash_of(View text, std::uint64_t seed) {
  std::uint64_t hash = 14695981039346656037ULL ^ (seed * 0x9E3779B97F4A7C15ULL);
  for (unsigned char byte : text) hash = (hash ^ byte) * 1099511628211ULL;
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

bool is_text(View bytes) {
  return fault_of(parse_json(json::serialize(json::value(json::string(bytes))))) == nullptr;
}

std::string base64(View bytes) {
  using namespace boost::archive::iterators;
  using Letters = base64_from_binary<transform_width<View::const_iterator, 6, 8>>;
  std::string text(Letters(bytes.begin()), Letters(bytes.end()));
  text.append((3 - bytes.size() % 3) % 3, '=');
  return text;
}

std::optional<Bytes> base64_bytes(View text) {
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
