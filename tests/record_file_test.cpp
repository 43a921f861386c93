// Reading of record files: truncation at every length, and how damage is distinguished from an incomplete end.
#include <boost/crc.hpp>
#include <catch2/catch.hpp>

#include "replication/record_file.hpp"

using namespace mothwalk;

namespace {
DiskEntry change(int number) {
  DiskEntry entry;
  entry.what = "change";
  entry.slot = static_cast<std::uint32_t>(number);
  entry.change.key = "lane/" + std::to_string(number);
  entry.change.head = Bytes(static_cast<std::size_t>(number) * 10, 'h');
  return entry;
}
}  // namespace

TEST_CASE("a file truncated at any byte returns all complete records before that byte") {
  const Bytes first = frame_entry(change(1), 0), second = frame_entry(change(2), first.size());
  const Bytes file_bytes = first + second;
  for (std::size_t length = 0; length <= file_bytes.size(); ++length) {
    const RecordFileContents file = read_frames(StringView(file_bytes).substr(0, length));
    CHECK(file.entries.size() == (length >= file_bytes.size() ? 2 : length >= first.size() ? 1 : 0));
    CHECK_FALSE(file.damaged);
    CHECK(file.torn == (length != 0 && length != first.size() && length != file_bytes.size()));
  }
}

TEST_CASE("a flipped bit anywhere before a valid record is damage; in the last record it is an incomplete end") {
  const Bytes first = frame_entry(change(1), 0), second = frame_entry(change(2), first.size());
  const Bytes third = frame_entry(change(3), first.size() + second.size());
  const Bytes file_bytes = first + second + third;
  for (std::size_t offset = 0; offset < file_bytes.size(); ++offset) {
    Bytes damaged_bytes = file_bytes;
    damaged_bytes[offset] = static_cast<char>(damaged_bytes[offset] ^ 0x10);
    const RecordFileContents file = read_frames(damaged_bytes);
    CHECK(file.entries.size() < 3);
    CHECK(file.damaged == (offset < first.size() + second.size()));
  }
}

TEST_CASE("a gap in unsynced bytes is an incomplete end, even if a valid record follows it") {
  const Bytes first = frame_entry(change(1), 0);
  // Both records were written before either was synced, and the power failure kept only the second one.
  const Bytes lost(frame_entry(change(2), first.size()).size(), '\0');
  const Bytes kept = frame_entry(change(3), first.size());
  const RecordFileContents file = read_frames(first + lost + kept);
  CHECK(file.torn);
  CHECK_FALSE(file.damaged);
  CHECK(file.entries.size() == 1);
  CHECK(file.valid_bytes == first.size());
}

TEST_CASE("a gap is damage exactly if a later record states at least its first byte as synced") {
  const Bytes first = frame_entry(change(1), 0);
  const Bytes lost(frame_entry(change(2), 0).size(), '\0');
  CHECK_FALSE(read_frames(first + lost + frame_entry(change(3), first.size())).damaged);
  CHECK(read_frames(first + lost + frame_entry(change(3), first.size() + 1)).damaged);
}

TEST_CASE("frames of earlier versions are read, and each implies that the bytes before it were synced") {
  DiskEntry entry = change(4);
  const Bytes payload = to_cbor(entry);
  auto earlier = [&] {
    Bytes length;
    for (int shift = 0; shift < 32; shift += 8) length.push_back(static_cast<char>((payload.size() >> shift) & 255));
    boost::crc_32_type crc;
    crc.process_bytes(length.data(), length.size());
    crc.process_bytes(payload.data(), payload.size());
    Bytes frame = "MWK1" + length;
    for (int shift = 0; shift < 32; shift += 8) frame.push_back(static_cast<char>((crc.checksum() >> shift) & 255));
    return frame + payload;
  };
  const Bytes file_bytes = earlier() + earlier() + earlier();
  CHECK(read_frames(file_bytes).entries.size() == 3);
  CHECK_FALSE(read_frames(file_bytes).torn);
  Bytes damaged_bytes = file_bytes;
  damaged_bytes[earlier().size() + 20] ^= 1;
  CHECK(read_frames(damaged_bytes).damaged);
}
