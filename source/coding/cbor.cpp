// The parts of the CBOR reader that need no template: text and whole numbers out of a libcbor item.
#include "coding/cbor.hpp"

namespace mothwalk {

bool CborReader::claims_fit_input(StringView bytes) {
  std::uint64_t claimed = 0;
  for (std::size_t at = 0; at < bytes.size();) {
    const unsigned char head = static_cast<unsigned char>(bytes[at++]);
    const unsigned major = head >> 5, more = head & 31;
    std::uint64_t value = more < 24 ? more : 0;
    if (more >= 24 && more < 28) {
      const std::size_t width = std::size_t{1} << (more - 24);
      if (bytes.size() - at < width) return false;
      for (std::size_t index = 0; index < width; ++index) value = value << 8 | static_cast<unsigned char>(bytes[at++]);
    }
    if (major < 2 || major > 5) continue;
    if (value > bytes.size() - at) return false;
    if (major < 4)
      at += value;
    else if ((claimed += major == 4 ? value : 2 * value) > bytes.size())
      return false;
  }
  return true;
}

bool CborReader::decode_text(const cbor_item_t* item, StringView& out) {
  if (cbor_isa_string(item) && cbor_string_is_definite(item)) {
    out = StringView(reinterpret_cast<const char*>(cbor_string_handle(item)), cbor_string_length(item));
    return true;
  }
  if (cbor_isa_bytestring(item) && cbor_bytestring_is_definite(item)) {
    out = StringView(reinterpret_cast<const char*>(cbor_bytestring_handle(item)), cbor_bytestring_length(item));
    return true;
  }
  return false;
}

bool CborReader::decode_integer(const cbor_item_t* item, std::int64_t& out, std::uint64_t& plain) {
  if (!cbor_is_int(item)) return false;
  plain = cbor_get_int(item);
  if (cbor_isa_negint(item)) {
    if (plain > static_cast<std::uint64_t>(INT64_MAX)) return false;
    out = -1 - static_cast<std::int64_t>(plain);
    return true;
  }
  out = static_cast<std::int64_t>(plain);
  return true;
}

}  // namespace mothwalk
