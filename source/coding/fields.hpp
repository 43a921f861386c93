// Descriptions of a record's fields, for CBOR between daemons and on disk and for JSON in HTTP APIs and settings files.
// A record lists its fields once with MOTHWALK_FIELDS; the writers and readers of both formats visit that list.
#pragma once
#include "mothwalk.hpp"

// MOTHWALK_VISIT calls itself for the rest of the list. The preprocessor does not expand a macro within itself, so each
// call is deferred, and MOTHWALK_EXPAND rescans the result often enough for the longest list of fields.
#define MOTHWALK_EXPAND(...) MOTHWALK_EXPAND3(MOTHWALK_EXPAND3(MOTHWALK_EXPAND3(__VA_ARGS__)))
#define MOTHWALK_EXPAND3(...) MOTHWALK_EXPAND2(MOTHWALK_EXPAND2(MOTHWALK_EXPAND2(__VA_ARGS__)))
#define MOTHWALK_EXPAND2(...) MOTHWALK_EXPAND1(MOTHWALK_EXPAND1(MOTHWALK_EXPAND1(__VA_ARGS__)))
#define MOTHWALK_EXPAND1(...) __VA_ARGS__
#define MOTHWALK_PARENS ()
#define MOTHWALK_VISIT(field, ...) \
  visit(#field, field);            \
  __VA_OPT__(MOTHWALK_VISIT_DEFERRED MOTHWALK_PARENS(__VA_ARGS__))
#define MOTHWALK_VISIT_DEFERRED() MOTHWALK_VISIT
#define MOTHWALK_FIELDS(...)                     \
  template <class Visitor>                       \
  void fields(Visitor&& visit) {                 \
    MOTHWALK_EXPAND(MOTHWALK_VISIT(__VA_ARGS__)) \
  }                                              \
  template <class Visitor>                       \
  void fields(Visitor&& visit) const {           \
    MOTHWALK_EXPAND(MOTHWALK_VISIT(__VA_ARGS__)) \
  }
#define MOTHWALK_VISIT_AS(external, member, ...) \
  visit(external, member);                       \
  __VA_OPT__(MOTHWALK_VISIT_AS_DEFERRED MOTHWALK_PARENS(__VA_ARGS__))
#define MOTHWALK_VISIT_AS_DEFERRED() MOTHWALK_VISIT_AS
// Lists a record's fields as pairs of an external name and a member:
// MOTHWALK_FIELDS_AS("seats", voters, "version", version). CBOR and JSON contain only the external names, so a
// member can be renamed without a change to stored or sent data.
#define MOTHWALK_FIELDS_AS(...)                     \
  template <class Visitor>                          \
  void fields(Visitor&& visit) {                    \
    MOTHWALK_EXPAND(MOTHWALK_VISIT_AS(__VA_ARGS__)) \
  }                                                 \
  template <class Visitor>                          \
  void fields(Visitor&& visit) const {              \
    MOTHWALK_EXPAND(MOTHWALK_VISIT_AS(__VA_ARGS__)) \
  }

namespace mothwalk {
template <class T>
struct is_strong_string : std::false_type {};
template <class Tag>
struct is_strong_string<StrongString<Tag>> : std::true_type {};
template <class T>
struct is_strong_integer : std::false_type {};
template <class Tag>
struct is_strong_integer<StrongInteger<Tag>> : std::true_type {};
template <class T>
struct is_vector : std::false_type {};
template <class T>
struct is_vector<std::vector<T>> : std::true_type {};
template <class T>
struct is_map : std::false_type {};
template <class T>
struct is_map<std::map<std::string, T>> : std::true_type {};
template <class T>
struct is_optional : std::false_type {};
template <class T>
struct is_optional<std::optional<T>> : std::true_type {};

// A renamed field and its name before release 0.2. Readers accept both names for one release.
struct RenamedField {
  StringView name, former;
};
inline constexpr RenamedField renamed_fields[] = {
    {"zone", "hall"}, {"deadline", "horizon"}, {"lease", "permit"}, {"load", "usage"}, {"unhealthy", "unsound"}};

// The former name of a field, or an empty view where it was never renamed.
constexpr StringView former_name(StringView name) {
  for (const auto& renamed : renamed_fields)
    if (renamed.name == name) return renamed.former;
  return {};
}
}  // namespace mothwalk
