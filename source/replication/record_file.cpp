// A frame has a magic number, the payload's length, the synced length, a CRC-32 over both lengths and the payload, and
// the payload. Files of earlier versions have frames without a synced length; such a frame implies that all bytes
// before it had been synced.
#include "replication/record_file.hpp"

#include <boost/crc.hpp>

namespace mothwalk {
namespace {

constexpr StringView magic = "MWK2", magic_without_synced = "MWK1";
constexpr std::size_t length_offset = 4, length_size = 4, synced_size = 8, checksum_size = 4;

void put_number(Bytes& out, std::uint64_t value, std::size_t size) {
  for (std::size_t index = 0; index < size; ++index) out.push_back(static_cast<char>((value >> (8 * index)) & 255));
}

std::uint64_t get_number(StringView bytes, std::size_t at, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t index = size; index > 0; --index)
    value = (value << 8) | static_cast<unsigned char>(bytes[at + index - 1]);
  return value;
}

std::uint32_t checksum(StringView lengths, StringView payload) {
  boost::crc_32_type crc;
  crc.process_bytes(lengths.data(), lengths.size());
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

struct Frame {
  std::size_t size = 0;  // Of the complete frame, in bytes.
  std::uint64_t synced = 0;
  StringView payload;
};

std::optional<Frame> frame_at(StringView bytes, std::size_t at) {
  const StringView rest = bytes.substr(at);
  const bool without_synced = rest.starts_with(magic_without_synced);
  if (!without_synced && !rest.starts_with(magic)) return std::nullopt;
  const std::size_t lengths = length_size + (without_synced ? 0 : synced_size);
  const std::size_t header_size = length_offset + lengths + checksum_size;
  if (rest.size() < header_size) return std::nullopt;
  const std::size_t length = get_number(rest, length_offset, length_size);
  if (rest.size() - header_size < length) return std::nullopt;
  Frame frame;
  frame.size = header_size + length;
  frame.synced = without_synced ? at : get_number(rest, length_offset + length_size, synced_size);
  frame.payload = rest.substr(header_size, length);
  const std::uint64_t stated = get_number(rest, length_offset + lengths, checksum_size);
  if (checksum(rest.substr(length_offset, lengths), frame.payload) != stated) return std::nullopt;
  return frame;
}

// Whether a valid frame after an invalid one states that the place of the invalid one had been synced.
bool synced_beyond(StringView bytes, std::size_t invalid_at) {
  const StringView common_prefix = magic.substr(0, 3);
  for (std::size_t next = bytes.find(common_prefix, invalid_at + 1); next != StringView::npos;
       next = bytes.find(common_prefix, next + 1)) {
    const auto frame = frame_at(bytes, next);
    if (frame && frame->synced > invalid_at) return true;
  }
  return false;
}

}  // namespace

Bytes frame_payload(StringView payload, std::uint64_t synced) {
  Bytes lengths;
  put_number(lengths, payload.size(), length_size);
  put_number(lengths, synced, synced_size);
  Bytes frame(magic);
  frame += lengths;
  put_number(frame, checksum(lengths, payload), checksum_size);
  return frame.append(payload);
}

Bytes frame_entry(const DiskEntry& entry, std::uint64_t synced) {
  return frame_payload(to_cbor(entry), synced);
}

RecordFileContents read_frames(StringView bytes) {
  RecordFileContents file;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto frame = frame_at(bytes, at);
    std::optional<DiskEntry> entry;
    if (frame) entry = from_cbor<DiskEntry>(frame->payload);
    if (!entry) break;
    file.entries.push_back(std::move(*entry));
    at += frame->size;
  }
  file.valid_bytes = at;
  file.torn = at < bytes.size();
  file.damaged = file.torn && synced_beyond(bytes, at);
  return file;
}

}  // namespace mothwalk
