// Framing: a mark, the length, a CRC-32 over length and payload, then the payload.
#include "replication/record_file.hpp"

#include <boost/crc.hpp>

namespace mothwalk {
namespace {

constexpr View mark = "MWK1";
constexpr std::size_t head_size = 12;

void put_number(Bytes& out, std::uint32_t value) {
  for (int shift = 0; shift < 32; shift += 8) out.push_back(static_cast<char>((value >> shift) & 255));
}

std::uint32_t get_number(View bytes, std::size_t at) {
  std::uint32_t value = 0;
  for (int index = 3; index >= 0; --index)
    value = (value << 8) | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(index)]);
  return value;
}

std::uint32_t checksum(View length, View payload) {
  boost::crc_32_type crc;
  crc.process_bytes(length.data(), length.size());
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

std::optional<View> frame_at(View bytes, std::size_t at) {
  if (bytes.size() - at < head_size || bytes.substr(at, mark.size()) != mark) return std::nullopt;
  const std::size_t length = get_number(bytes, at + 4);
  if (bytes.size() - at - head_size < length) return std::nullopt;
  const View payload = bytes.substr(at + head_size, length);
  if (checksum(bytes.substr(at + 4, 4), payload) != get_number(bytes, at + 8)) return std::nullopt;
  return payload;
}

}  // namespace

Bytes frame_payload(View payload) {
  Bytes length, out(mark);
  put_number(length, static_cast<std::uint32_t>(payload.size()));
  out += length;
  put_number(out, checksum(length, payload));
  return out.append(payload);
}

Bytes frame_entry(const DiskEntry& entry) {
  return frame_payload(to_cbor(entry));
}

ReadFile read_frames(View bytes) {
  ReadFile file;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto payload = frame_at(bytes, at);
    std::optional<DiskEntry> entry;
    if (payload) entry = from_cbor<DiskEntry>(*payload);
    if (!entry) break;
    file.entries.push_back(std::move(*entry));
    at += head_size + payload->size();
  }
  file.sound_bytes = at;
  file.torn = at < bytes.size();
  for (std::size_t next = bytes.find(mark, at + 1); file.torn && next != View::npos; next = bytes.find(mark, next + 1))
    if (frame_at(bytes, next)) {
      file.damaged = true;
      break;
    }
  return file;
}

}  // namespace mothwalk
