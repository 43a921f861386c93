// A series of events (text/event-stream) on its way: whole events alone are passed on, and their ids tell where the
// stream can be taken up by another run without one lost or doubled.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk {

class EventReader {
 public:
  // `version_field` names the first line of an event at which the version of the weights changes; empty: none does.
  explicit EventReader(StringView version_field = {}) : version_field_(version_field) {}
  // The events that follow come from a run that goes on after `last`; what was held back of the run before is dropped.
  void begin(std::optional<std::uint64_t> last);
  // Puts the whole events among the bytes that came into `out`, unchanged; false where their ids do not go on.
  bool take(StringView bytes, Bytes& out);
  std::optional<std::uint64_t> last() const { return last_; }
  // The version that the last whole event to change it told; none: no event did.
  const std::optional<std::string>& version() const { return version_; }
  const Bytes& rest() const { return held_; }  // begun, and not ended yet

 private:
  void read_line(StringView line);
  Bytes held_;
  std::string version_field_;
  std::optional<std::string> version_, next_version_;  // of the whole events; of the event being read
  std::size_t line_ = 0;                               // where the line being read begins
  std::optional<std::uint64_t> last_, id_;             // of the last whole event; of the one being read
};

}  // namespace mothwalk
