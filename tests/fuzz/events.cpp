// Event streams of runners: however the bytes are cut into pieces, the same whole events come out.
#include "routes/events.hpp"

#include "entry.hpp"

namespace mothwalk::fuzz {

namespace {
struct Outcome {
  Bytes events;
  bool good = true;
  std::optional<std::uint64_t> last;
};

Outcome read(StringView stream, std::size_t piece, std::optional<std::uint64_t> after) {
  EventReader reader;
  reader.begin(after);
  Outcome outcome;
  while (!stream.empty() && outcome.good) {
    outcome.good = reader.take(stream.substr(0, piece), outcome.events);
    stream.remove_prefix(std::min(piece, stream.size()));
  }
  outcome.last = reader.last();
  return outcome;
}
}  // namespace

void run(StringView bytes) {
  Input input(bytes);
  const std::uint8_t start = input.byte();
  const std::size_t piece = 1 + input.byte() % 32;
  const auto after = start == 0 ? std::nullopt : std::optional<std::uint64_t>(start);
  const StringView stream = input.rest();
  const Outcome whole = read(stream, std::max<std::size_t>(1, stream.size()), after);
  const Outcome pieces = read(stream, piece, after);
  expect(whole.good == pieces.good, "pieces are refused as the whole is");
  expect(whole.events == pieces.events, "pieces give the events of the whole");
  expect(whole.last == pieces.last, "pieces end at the event of the whole");
  expect(whole.events == stream.substr(0, whole.events.size()), "events pass unchanged");
}

}  // namespace mothwalk::fuzz
