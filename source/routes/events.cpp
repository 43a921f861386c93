// Events are told apart by their blank lines; a run's ids rise one by one.
#include "routes/events.hpp"

namespace mothwalk {

void EventReader::begin(std::optional<std::uint64_t> last) {
  held_.clear();
  line_ = 0;
  id_.reset();
  last_ = last;
}

bool EventReader::take(View bytes, Bytes& out) {
  std::size_t from = held_.size(), whole = 0;
  held_.append(bytes);
  for (std::size_t end; (end = held_.find('\n', from)) != Bytes::npos; from = line_ = end + 1) {
    View line = View(held_).substr(line_, end - line_);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.empty()) {
      if (id_ && last_ && *id_ != *last_ + 1) {
        out.append(held_, 0, whole);
        return false;
      }
      if (id_) last_ = id_;
      id_.reset();
      whole = end + 1;
    } else if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(' ')) line.remove_prefix(1);
      std::uint64_t number = 0;
      bool good = !line.empty() && line.size() < 19;
      for (const char letter : line) {
        good = good && letter >= '0' && letter <= '9';
        number = number * 10 + static_cast<std::uint64_t>(letter - '0');
      }
      if (good) id_ = number;
    }
  }
  out.append(held_, 0, whole);
  held_.erase(0, whole);
  line_ -= whole;
  return true;
}

}  // namespace mothwalk
