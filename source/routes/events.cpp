// Events are told apart by their blank lines; a run's ids rise one by one.
#include "routes/events.hpp"

#include <utility>

namespace mothwalk {

void EventReader::begin(std::optional<std::uint64_t> last) {
  held_.clear();
  line_ = 0;
  id_.reset();
  next_version_.reset();
  last_ = last;
}

namespace {
// The value after "name:" and at most one space, where the line begins with that.
std::optional<StringView> value_of(StringView line, StringView name) {
  if (name.empty() || !line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':')
    return std::nullopt;
  line.remove_prefix(name.size() + 1);
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

std::optional<std::uint64_t> event_id(StringView text) {
  constexpr std::size_t most_digits = 18;
  if (text.empty() || text.size() > most_digits) return std::nullopt;
  std::uint64_t number = 0;
  for (const char letter : text) {
    if (letter < '0' || letter > '9') return std::nullopt;
    number = number * 10 + static_cast<std::uint64_t>(letter - '0');
  }
  return number;
}
}  // namespace

void EventReader::read_line(StringView line) {
  if (const auto text = value_of(line, "id")) {
    if (const auto number = event_id(*text)) id_ = number;
  } else if (const auto version = value_of(line, version_field_)) {
    next_version_ = std::string(*version);
  }
}

bool EventReader::take(StringView bytes, Bytes& out) {
  std::size_t from = held_.size(), whole = 0;
  held_.append(bytes);
  for (std::size_t end; (end = held_.find('\n', from)) != Bytes::npos; from = line_ = end + 1) {
    StringView line = StringView(held_).substr(line_, end - line_);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.empty()) {
      if (id_ && last_ && *id_ != *last_ + 1) {
        out.append(held_, 0, whole);
        return false;
      }
      if (id_) last_ = id_;
      id_.reset();
      if (next_version_) version_ = std::exchange(next_version_, std::nullopt);
      whole = end + 1;
    } else {
      read_line(line);
    }
  }
  out.append(held_, 0, whole);
  held_.erase(0, whole);
  line_ -= whole;
  return true;
}

}  // namespace mothwalk
