// Fuzzes the reader of runners' event streams: however the bytes are split into chunks, it passes on the same complete
// events.
#include "routes/events.hpp"

#include "entry.hpp"

namespace mothwalk::fuzz {

namespace {
struct ReadResult {
  Bytes events;
  bool valid = true;
  std::optional<std::uint64_t> last;
};

ReadResult read(StringView stream, std::size_t chunk_size, std::optional<std::uint64_t> after) {
  EventReader reader;
  reader.begin(after);
  ReadResult result;
  while (!stream.empty() && result.valid) {
    result.valid = reader.take(stream.substr(0, chunk_size), result.events);
    stream.remove_prefix(std::min(chunk_size, stream.size()));
  }
  result.last = reader.last();
  return result;
}
}  // namespace

void run(StringView bytes) {
  Input input(bytes);
  const std::uint8_t start = input.byte();
  const std::size_t chunk_size = 1 + input.byte() % 32;
  const auto after = start == 0 ? std::nullopt : std::optional<std::uint64_t>(start);
  const StringView stream = input.rest();
  const ReadResult unchunked = read(stream, std::max<std::size_t>(1, stream.size()), after);
  const ReadResult chunked = read(stream, chunk_size, after);
  expect(unchunked.valid == chunked.valid, "a stream in chunks is valid exactly if the unsplit stream is");
  expect(unchunked.events == chunked.events, "a stream in chunks gives the same events as the unsplit stream");
  expect(unchunked.last == chunked.last, "a stream in chunks ends at the same event as the unsplit stream");
  expect(unchunked.events == stream.substr(0, unchunked.events.size()), "events are passed on unchanged");
}

}  // namespace mothwalk::fuzz
