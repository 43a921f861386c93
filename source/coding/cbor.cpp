// The parts of the CBOR reader that need no template: text and whole numbers out of a libcbor item.
#include "coding/cbor.hpp"

namespace mothwalk {

bool CborReader::text(const cbor_item_t* item, View& out) {
  if (cbor_isa_string(item) && cbor_string_is_definite(item)) {
    out = View(reinterpret_cast<const char*>(cbor_string_handle(item)), cbor_string_length(item));
    return true;
  }
  if (cbor_isa_bytestring(item) && cbor_bytestring_is_definite(item)) {
    out = View(reinterpret_cast<const char*>(cbor_bytestring_handle(item)), cbor_bytestring_length(item));
    return true;
  }
  return false;
}

bool CborReader::whole(const cbor_item_t* item, std::int64_t& out, std::uint64_t& plain) {
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
