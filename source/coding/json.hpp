// Writes records as JSON and reads them, with Boost.JSON. Reading is strict: an unknown field, a wrong type or a number
// out of range gives an error that names the path of the field and the remedy.
#pragma once
#include <boost/json.hpp>
#include <limits>

#include "coding/fields.hpp"

namespace mothwalk {

namespace json = boost::json;

// Returns the JSON form of a value. Durations are written in milliseconds.
template <class T>
json::value to_json(const T& value) {
  if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, double> || std::is_integral_v<T>)
    return json::value(value);
  else if constexpr (std::is_same_v<T, std::string>)
    return json::value(json::string(value));
  else if constexpr (std::is_same_v<T, Duration>)
    return json::value(value.count() / 1000);
  else if constexpr (is_strong_string<T>::value)
    return json::value(json::string(value.text));
  else if constexpr (is_strong_integer<T>::value)
    return json::value(value.value);
  else if constexpr (is_optional<T>::value)
    return value ? to_json(*value) : json::value(nullptr);
  else if constexpr (is_vector<T>::value) {
    json::array array;
    for (const auto& each : value) array.push_back(to_json(each));
    return array;
  } else if constexpr (is_map<T>::value) {
    json::object object;
    for (const auto& [key, each] : value) object[key] = to_json(each);
    return object;
  } else {
    json::object object;
    value.fields([&](StringView name, const auto& field) { object[name] = to_json(field); });
    return object;
  }
}

// Reads a value from JSON into a record, strictly.
class JsonReader {
 public:
  // Returns the first error. `path` is the path of the value in the document, for use in the error.
  template <class T>
  static std::optional<Error> read(const json::value& given, T& value, const std::string& path) {
    if constexpr (std::is_same_v<T, bool>) {
      if (!given.is_bool()) return invalid_value(path, "true or false");
      value = given.as_bool();
    } else if constexpr (std::is_same_v<T, double>) {
      if (!given.is_number()) return invalid_value(path, "a number");
      value = given.to_number<double>();
    } else if constexpr (std::is_same_v<T, Duration>) {
      std::int64_t milliseconds = 0;
      if (auto error = read(given, milliseconds, path)) return error;
      if (milliseconds < 0 || milliseconds > 86'400'000) return invalid_value(path, "milliseconds from 0 to 86400000");
      value = std::chrono::milliseconds(milliseconds);
    } else if constexpr (std::is_same_v<T, std::string>) {
      if (!given.is_string()) return invalid_value(path, "a string");
      value = std::string(given.as_string());
    } else if constexpr (std::is_integral_v<T>) {
      std::optional<std::int64_t> integer;
      if (given.is_int64()) integer = given.as_int64();
      if (given.is_uint64() && given.as_uint64() <= INT64_MAX) integer = static_cast<std::int64_t>(given.as_uint64());
      const std::int64_t lowest = std::is_signed_v<T> ? std::numeric_limits<T>::min() : 0;
      const std::int64_t highest =
          sizeof(T) == 8 ? INT64_MAX : static_cast<std::int64_t>(std::numeric_limits<T>::max());
      if (!integer || *integer < lowest || *integer > highest)
        return invalid_value(path, "an integer from " + std::to_string(lowest) + " to " + std::to_string(highest));
      value = static_cast<T>(*integer);
    } else if constexpr (is_strong_string<T>::value) {
      return read(given, value.text, path);
    } else if constexpr (is_strong_integer<T>::value) {
      return read(given, value.value, path);
    } else if constexpr (is_optional<T>::value) {
      if (given.is_null())
        value.reset();
      else
        return read(given, value.emplace(), path);
    } else if constexpr (is_vector<T>::value) {
      if (!given.is_array()) return invalid_value(path, "a list");
      value.clear();
      for (const auto& each : given.as_array())
        if (auto error = read(each, value.emplace_back(), path + "[" + std::to_string(value.size() - 1) + "]"))
          return error;
    } else if constexpr (is_map<T>::value) {
      if (!given.is_object()) return invalid_value(path, "an object");
      value.clear();
      for (const auto& each : given.as_object())
        if (auto error = read(each.value(), value[std::string(each.key())], join(path, each.key()))) return error;
    } else {
      if (!given.is_object()) return invalid_value(path, "an object");
      std::optional<Error> error;
      std::string known;
      std::size_t fields_found = 0;
      value.fields([&](StringView name, auto& field) {
        known += (known.empty() ? "" : ", ") + std::string(name);
        const json::value* found = given.as_object().if_contains(name);
        if (found == nullptr && !former_name(name).empty()) found = given.as_object().if_contains(former_name(name));
        if (found == nullptr || error) return;
        ++fields_found;
        error = read(*found, field, join(path, name));
      });
      if (error) return error;
      if (fields_found != given.as_object().size())
        for (const auto& each : given.as_object())
          if ((", " + known + ", ").find(", " + std::string(each.key()) + ", ") == std::string::npos)
            return Error{ErrorKind::invalid, join(path, each.key()), "this field is not known", "use only: " + known};
    }
    return std::nullopt;
  }

 private:
  static Error invalid_value(const std::string& path, const std::string& expected) {
    return Error{ErrorKind::invalid, path, "the value has the wrong type or is out of range", "give " + expected};
  }
  static std::string join(const std::string& path, StringView name) {
    return path.empty() ? std::string(name) : path + "." + std::string(name);
  }
};

// Parses one JSON document, nested at most 32 levels deep.
Result<json::value> parse_json(StringView text);
// Returns the JSON object that describes an error in HTTP responses.
json::value error_to_json(const Error& error);

// Whether the bytes can be written as a JSON string without a change.
bool is_text(StringView bytes);
std::string base64(StringView bytes);
// Decodes base64. Returns nothing if the text is not valid base64.
std::optional<Bytes> base64_bytes(StringView text);

// Parses JSON text and reads a value from it.
template <class T>
Result<T> from_json(StringView text) {
  auto parsed = parse_json(text);
  if (auto error = error_of(parsed)) return *error;
  T value;
  if (auto error = JsonReader::read(std::get<json::value>(parsed), value, "")) return *error;
  return value;
}

}  // namespace mothwalk
