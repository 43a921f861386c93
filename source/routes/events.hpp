// Reads a stream of server-sent events (text/event-stream) that is relayed to a client. Only complete events are passed
// on, and their ids tell from where another runner can resume the stream without losing or repeating an event.
#pragma once
#include "mothwalk.hpp"

namespace mothwalk {

class EventReader {
 public:
  // `version_field` is the field name of an event line that announces a new version of the model weights. If it is
  // empty, events do not announce versions.
  explicit EventReader(StringView version_field = {}) : version_field_(version_field) {}
  // Starts reading the stream of another run, whose first event follows the id `last`. The buffered bytes of an
  // incomplete event are dropped.
  void begin(std::optional<std::uint64_t> last);
  // Reads `bytes` and appends all events that are now complete to `out`, unchanged. Returns false if their ids are not
  // consecutive.
  bool take(StringView bytes, Bytes& out);
  // Returns the id of the last complete event.
  std::optional<std::uint64_t> last() const { return last_id_; }
  // Returns the version announced last by a complete event, if any.
  const std::optional<std::string>& version() const { return version_; }
  // Returns the buffered bytes of an incomplete event.
  const Bytes& rest() const { return buffer_; }

 private:
  void read_line(StringView line);
  Bytes buffer_;
  std::string version_field_;
  // The versions announced by the complete events and by the event that is being read.
  std::optional<std::string> version_, next_version_;
  std::size_t line_start_ = 0;  // The position in `buffer_` of the line that is being read.
  // The ids of the last complete event and of the event that is being read.
  std::optional<std::uint64_t> last_id_, current_id_;
};

}  // namespace mothwalk
