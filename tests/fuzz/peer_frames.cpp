// Frames of peers: the claim of a length, and the envelope. What can be read is written and read again unchanged.
#include "entry.hpp"
#include "host/tcp_transport.hpp"

namespace mothwalk::fuzz {

void run(StringView bytes) {
  Input input(bytes);
  while (!input.empty()) {
    const StringView head = input.take(frame_head_bytes);
    if (head.size() < frame_head_bytes) return;
    const auto length = frame_length(head);
    if (!length) return;
    const StringView body = input.take(*length);
    if (body.size() < *length) return;
    const auto envelope = from_cbor<Envelope>(body);
    if (!envelope) return;
    const Bytes form = to_cbor(*envelope);
    const auto again = from_cbor<Envelope>(form);
    expect(again.has_value(), "a written envelope can be read");
    expect(to_cbor(*again) == form, "an envelope is read as it was written");
  }
}

}  // namespace mothwalk::fuzz
