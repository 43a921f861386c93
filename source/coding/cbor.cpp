// The parts of the CBOR reader that need no template: the check of lengths, and reading text and integers from libcbor
// items.
#include "coding/cbor.hpp"

namespace mothwalk {

// Walks over the encoded items without decoding them. Major types 2 and 3 are strings with a length in bytes, 4 and 5
// are arrays and maps with a number of members or pairs.
bool CborReader::lengths_fit_input(StringView bytes) {
  std::uint64_t total_members = 0;
  for (std::size_t position = 0; position < bytes.size();) {
    const unsigned char head = static_cast<unsigned char>(bytes[position++]);
    const unsigned major_type = head >> 5, length_code = head & 31;
    std::uint64_t value = length_code < 24 ? length_code : 0;
    if (length_code >= 24 && length_code < 28) {
      const std::size_t width = std::size_t{1} << (length_code - 24);
      if (bytes.size() - position < width) return false;
      for (std::size_t index = 0; index < width; ++index)
        value = value << 8 | static_cast<unsigned char>(bytes[position++]);
    }
    if (major_type < 2 || major_type > 5) continue;
    if (value > bytes.size() - position) return false;
    if (major_type < 4)
      position += value;
    else if ((total_members += major_type == 4 ? value : 2 * value) > bytes.size())
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

bool CborReader::decode_integer(const cbor_item_t* item, std::int64_t& out, std::uint64_t& magnitude) {
  if (!cbor_is_int(item)) return false;
  magnitude = cbor_get_int(item);
  if (cbor_isa_negint(item)) {
    if (magnitude > static_cast<std::uint64_t>(INT64_MAX)) return false;
    out = -1 - static_cast<std::int64_t>(magnitude);
    return true;
  }
  out = static_cast<std::int64_t>(magnitude);
  return true;
}

}  // namespace mothwalk
