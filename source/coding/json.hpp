// Records to JSON and back, over Boost.JSON. Reading is strict: an unknown field, a wrong type or a number out of range
// gives a fault that names the path to the field and what would mend it.
#pragma once
#include <boost/json.hpp>
#include <limits>

#include "coding/fields.hpp"

namespace mothwalk {

namespace json = boost::json;

template <class T>
json::value to_json(const T& value) {
  if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, double> || std::is_integral_v<T>)
    return json::value(value);
  else if constexpr (std::is_same_v<T, std::string>)
    return json::value(json::string(value));
  else if constexpr (std::is_same_v<T, Span>)
    return json::value(value.count() / 1000);
  else if constexpr (is_name<T>::value)
    return json::value(json::string(value.text));
  else if constexpr (is_number<T>::value)
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
    value.fields([&](View name, const auto& field) { object[name] = to_json(field); });
    return object;
  }
}

class JsonReader {
 public:
  template <class T>
  static std::optional<Fault> read(const json::value& given, T& value, const std::string& path) {
    if constexpr (std::is_same_v<T, bool>) {
      if (!given.is_bool()) return wrong(path, "true or false");
      value = given.as_bool();
    } else if constexpr (std::is_same_v<T, double>) {
      if (!given.is_number()) return wrong(path, "a number");
      value = given.to_number<double>();
    } else if constexpr (std::is_same_v<T, Span>) {
      std::int64_t milliseconds = 0;
      if (auto fault = read(given, milliseconds, path)) return fault;
      if (milliseconds < 0 || milliseconds > 86'400'000) return wrong(path, "milliseconds from 0 to 86400000");
      value = std::chrono::milliseconds(milliseconds);
    } else if constexpr (std::is_same_v<T, std::string>) {
      if (!given.is_string()) return wrong(path, "a text");
      value = std::string(given.as_string());
    } else if constexpr (std::is_integral_v<T>) {
      std::optional<std::int64_t> whole;
      if (given.is_int64()) whole = given.as_int64();
      if (given.is_uint64() && given.as_uint64() <= INT64_MAX) whole = static_cast<std::int64_t>(given.as_uint64());
      const std::int64_t lowest = std::is_signed_v<T> ? std::numeric_limits<T>::min() : 0;
      const std::int64_t highest =
          sizeof(T) == 8 ? INT64_MAX : static_cast<std::int64_t>(std::numeric_limits<T>::max());
      if (!whole || *whole < lowest || *whole > highest)
        return wrong(path, "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
      value = static_cast<T>(*whole);
    } else if constexpr (is_name<T>::value) {
      return read(given, value.text, path);
    } else if constexpr (is_number<T>::value) {
      return read(given, value.value, path);
    } else if constexpr (is_optional<T>::value) {
      if (given.is_null())
        value.reset();
      else
        return read(given, value.emplace(), path);
    } else if constexpr (is_vector<T>::value) {
      if (!given.is_array()) return wrong(path, "a list");
      value.clear();
      for (const auto& each : given.as_array())
        if (auto fault = read(each, value.emplace_back(), path + "[" + std::to_string(value.size() - 1) + "]"))
          return fault;
    } else if constexpr (is_map<T>::value) {
      if (!given.is_object()) return wrong(path, "an object");
      value.clear();
      for (const auto& each : given.as_object())
        if (auto fault = read(each.value(), value[std::string(each.key())], join(path, each.key()))) return fault;
    } else {
      if (!given.is_object()) return wrong(path, "an object");
      std::optional<Fault> fault;
      std::string known;
      std::size_t taken = 0;
      value.fields([&](View name, auto& field) {
        known += (known.empty() ? "" : ", ") + std::string(name);
        const json::value* found = given.as_object().if_contains(name);
        if (found == nullptr && !former_name(name).empty()) found = given.as_object().if_contains(former_name(name));
        if (found == nullptr || fault) return;
        ++taken;
        fault = read(*found, field, join(path, name));
      });
      if (fault) return fault;
      if (taken != given.as_object().size())
        for (const auto& each : given.as_object())
          if ((", " + known + ", ").find(", " + std::string(each.key()) + ", ") == std::string::npos)
            return Fault{FaultKind::invalid, join(path, each.key()), "this field is not known", "use only: " + known};
    }
    return std::nullopt;
  }

 private:
  static Fault wrong(const std::string& path, const std::string& wanted) {
    return Fault{FaultKind::invalid, path, "the value is of the wrong kind or out of range", "give " + wanted};
  }
  static std::string join(const std::string& path, View name) {
    return path.empty() ? std::string(name) : path + "." + std::string(name);
  }
};

Result<json::value> parse_json(View text);
json::value fault_to_json(const Fault& fault);

// Whether the bytes can stand in JSON as a text, as they are; and their form where they can't.
bool is_text(View bytes);
std::string base64(View bytes);
// The bytes that a text in base64 stands for; none where it is not such a text.
std::optional<Bytes> base64_bytes(View text);

template <class T>
Result<T> from_json(View text) {
  auto parsed = parse_json(text);
  if (auto fault = fault_of(parsed)) return *fault;
  T value;
  if (auto fault = JsonReader::read(std::get<json::value>(parsed), value, "")) return *fault;
  return value;
}

}  // namespace mothwalk
