// Blank lines separate events, and the ids of one run are consecutive numbers.
#include "routes/events.hpp"

#include <utility>

namespace mothwalk {

void EventReader::begin(std::optional<std::uint64_t> last) {
  buffer_.clear();
  line_start_ = 0;
  current_id_.reset();
  next_version_.reset();
  last_id_ = last;
}

namespace {
// Returns the value of a line of the form "name: value", where the space is optional.
std::optional<StringView> value_of(StringView line, StringView name) {
  if (name.empty() || !line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':')
    return std::nullopt;
  line.remove_prefix(name.size() + 1);
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

std::optional<std::uint64_t> event_id(StringView text) {
  constexpr std::size_t max_digits = 18;
  if (text.empty() || text.size() > max_digits) return std::nullopt;
  std::uint64_t number = 0;
  for (const char digit : text) {
    if (digit < '0' || digit > '9') return std::nullopt;
    number = number * 10 + static_cast<std::uint64_t>(digit - '0');
  }
  return number;
}
}  // namespace

void EventReader::read_line(StringView line) {
  if (const auto text = value_of(line, "id")) {
    if (const auto number = event_id(*text)) current_id_ = number;
  } else if (const auto version = value_of(line, version_field_)) {
    next_version_ = std::string(*version);
  }
}

bool EventReader::take(StringView bytes, Bytes& out) {
  std::size_t from = buffer_.size(), complete = 0;
  buffer_.append(bytes);
  for (std::size_t end; (end = buffer_.find('\n', from)) != Bytes::npos; from = line_start_ = end + 1) {
    StringView line = StringView(buffer_).substr(line_start_, end - line_start_);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.empty()) {
      if (current_id_ && last_id_ && *current_id_ != *last_id_ + 1) {
        out.append(buffer_, 0, complete);
        return false;
      }
      if (current_id_) last_id_ = current_id_;
      current_id_.reset();
      if (next_version_) version_ = std::exchange(next_version_, std::nullopt);
      complete = end + 1;
    } else {
      read_line(line);
    }
  }
  out.append(buffer_, 0, complete);
  buffer_.erase(0, complete);
  line_start_ -= complete;
  return true;
}

}  // namespace mothwalk
