// Fuzzes the frames that daemons exchange, which are a length and an envelope: an envelope that can be read is
// unchanged after writing and reading it again.
#include "entry.hpp"
#include "host/tcp_transport.hpp"

namespace mothwalk::fuzz {

void run(StringView bytes) {
  Input input(bytes);
  while (!input.empty()) {
    const StringView header = input.take(frame_head_bytes);
    if (header.size() < frame_head_bytes) return;
    const auto length = frame_length(header);
    if (!length) return;
    const StringView body = input.take(*length);
    if (body.size() < *length) return;
    const auto envelope = from_cbor<Envelope>(body);
    if (!envelope) return;
    const Bytes encoded = to_cbor(*envelope);
    const auto reread = from_cbor<Envelope>(encoded);
    expect(reread.has_value(), "an envelope that was written can be read");
    expect(to_cbor(*reread) == encoded, "an envelope is unchanged after writing and reading it");
  }
}

}  // namespace mothwalk::fuzz
