// Writes records as CBOR and reads them, with libcbor. Records are maps with text keys, so that a daemon of another
// version skips fields that it does not know and uses the defaults for fields that it does not receive.
#pragma once
#include <cbor.h>

#include "coding/fields.hpp"

namespace mothwalk {

// Appends values to `out` in CBOR.
class CborWriter {
 public:
  explicit CborWriter(Bytes& out) : out_(out) {}
  template <class T>
  void put(const T& value) {
    if constexpr (std::is_same_v<T, bool>)
      head(cbor_encode_bool, value);
    else if constexpr (std::is_same_v<T, double>)
      head(cbor_encode_double, value);
    else if constexpr (std::is_same_v<T, Duration>)
      put(static_cast<std::int64_t>(value.count()));
    else if constexpr (std::is_same_v<T, std::string>) {
      head(cbor_encode_bytestring_start, value.size());
      out_ += value;
    } else if constexpr (std::is_integral_v<T>) {
      if (value < 0)
        head(cbor_encode_negint, static_cast<std::uint64_t>(-(static_cast<std::int64_t>(value) + 1)));
      else
        head(cbor_encode_uint, static_cast<std::uint64_t>(value));
    } else if constexpr (is_strong_string<T>::value)
      put(value.text);
    else if constexpr (is_strong_integer<T>::value)
      put(value.value);
    else if constexpr (is_optional<T>::value) {
      if (value)
        put(*value);
      else
        head(cbor_encode_null);
    } else if constexpr (is_vector<T>::value) {
      head(cbor_encode_array_start, value.size());
      for (const auto& each : value) put(each);
    } else if constexpr (is_map<T>::value) {
      head(cbor_encode_map_start, value.size());
      for (const auto& [key, each] : value) {
        put(key);
        put(each);
      }
    } else {
      std::size_t count = 0;
      value.fields([&](StringView, const auto&) { ++count; });
      head(cbor_encode_map_start, count);
      value.fields([&](StringView name, const auto& field) {
        head(cbor_encode_string_start, name.size());
        out_.append(name);
        put(field);
      });
    }
  }

 private:
  template <class Encode, class... Arguments>
  void head(Encode encode, Arguments... arguments) {
    unsigned char buffer[16];
    out_.append(reinterpret_cast<char*>(buffer), encode(arguments..., buffer, sizeof buffer));
  }
  Bytes& out_;
};

// Reads one value from CBOR.
class CborReader {
 public:
  // Returns false if the input is not the encoding of exactly one value of this type.
  template <class T>
  static bool read(StringView bytes, T& value) {
    if (!lengths_fit_input(bytes)) return false;
    cbor_load_result outcome;
    cbor_item_t* item = cbor_load(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), &outcome);
    if (item == nullptr) return false;
    bool valid = outcome.read == bytes.size() && decode(item, value);
    cbor_decref(&item);
    return valid;
  }

 private:
  // Whether the lengths and member counts that the encoded items state fit into the input. libcbor allocates memory for
  // as many members as an item states, so the counts of all items together must not exceed the number of input bytes.
  static bool lengths_fit_input(StringView bytes);
  static bool decode_text(const cbor_item_t* item, StringView& out);
  static bool decode_integer(const cbor_item_t* item, std::int64_t& out, std::uint64_t& magnitude);
  template <class T>
  static bool decode(cbor_item_t* item, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      if (!cbor_is_bool(item)) return false;
      value = cbor_get_bool(item);
      return true;
    } else if constexpr (std::is_same_v<T, double>) {
      if (!cbor_isa_float_ctrl(item) || cbor_float_ctrl_is_ctrl(item)) return false;
      value = cbor_float_get_float(item);
      return true;
    } else if constexpr (std::is_same_v<T, Duration>) {
      std::int64_t count = 0;
      if (!decode(item, count)) return false;
      value = Duration{count};
      return true;
    } else if constexpr (std::is_same_v<T, std::string>) {
      StringView view;
      if (!decode_text(item, view)) return false;
      value.assign(view);
      return true;
    } else if constexpr (std::is_integral_v<T>) {
      std::int64_t signed_value = 0;
      std::uint64_t magnitude = 0;
      if (!decode_integer(item, signed_value, magnitude)) return false;
      value = std::is_signed_v<T> ? static_cast<T>(signed_value) : static_cast<T>(magnitude);
      return true;
    } else if constexpr (is_strong_string<T>::value) {
      return decode(item, value.text);
    } else if constexpr (is_strong_integer<T>::value) {
      return decode(item, value.value);
    } else if constexpr (is_optional<T>::value) {
      if (cbor_is_null(item)) {
        value.reset();
        return true;
      }
      return decode(item, value.emplace());
    } else if constexpr (is_vector<T>::value) {
      if (!cbor_isa_array(item)) return false;
      value.clear();
      for (std::size_t index = 0; index < cbor_array_size(item); ++index)
        if (!decode(cbor_array_handle(item)[index], value.emplace_back())) return false;
      return true;
    } else if constexpr (is_map<T>::value) {
      if (!cbor_isa_map(item)) return false;
      value.clear();
      for (std::size_t index = 0; index < cbor_map_size(item); ++index) {
        std::string key;
        if (!decode(cbor_map_handle(item)[index].key, key) || !decode(cbor_map_handle(item)[index].value, value[key]))
          return false;
      }
      return true;
    } else {
      if (!cbor_isa_map(item)) return false;
      bool valid = true;
      value.fields([&](StringView name, auto& field) {
        for (std::size_t index = 0; valid && index < cbor_map_size(item); ++index) {
          StringView key;
          if (decode_text(cbor_map_handle(item)[index].key, key) && (key == name || key == former_name(name))) {
            valid = decode(cbor_map_handle(item)[index].value, field);
            return;
          }
        }
      });
      return valid;
    }
  }
};

// Returns the CBOR encoding of a value.
template <class T>
Bytes to_cbor(const T& value) {
  Bytes out;
  CborWriter(out).put(value);
  return out;
}

// Returns the value, or nothing if the bytes are not its complete encoding.
template <class T>
std::optional<T> from_cbor(StringView bytes) {
  T value;
  if (!CborReader::read(bytes, value)) return std::nullopt;
  return value;
}

}  // namespace mothwalk
