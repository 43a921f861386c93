// The record file: a torn tail is cut at every length, damage in the middle is told apart from it.
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

TEST_CASE("a file torn at any byte gives back all whole records before it") {
  const Bytes first = frame_entry(change(1), 0), second = frame_entry(change(2), first.size());
  const Bytes whole = first + second;
  for (std::size_t length = 0; length <= whole.size(); ++length) {
    const ReadFile file = read_frames(StringView(whole).substr(0, length));
    CHECK(file.entries.size() == (length >= whole.size() ? 2 : length >= first.size() ? 1 : 0));
    CHECK_FALSE(file.damaged);
    CHECK(file.torn == (length != 0 && length != first.size() && length != whole.size()));
  }
}

TEST_CASE("a flipped byte anywhere before a sound record is damage; in the last record it is a torn tail") {
  const Bytes first = frame_entry(change(1), 0), second = frame_entry(change(2), first.size());
  const Bytes third = frame_entry(change(3), first.size() + second.size());
  const Bytes whole = first + second + third;
  for (std::size_t at = 0; at < whole.size(); ++at) {
    Bytes bad = whole;
    bad[at] = static_cast<char>(bad[at] ^ 0x10);
    const ReadFile file = read_frames(bad);
    CHECK(file.entries.size() < 3);
    CHECK(file.damaged == (at < first.size() + second.size()));
  }
}

TEST_CASE("a hole in what was never synced is a torn tail, though a sound record stands behind it") {
  const Bytes first = frame_entry(change(1), 0);
  // Both were written before either was synced, and the loss of power kept only the later one.
  const Bytes lost(frame_entry(change(2), first.size()).size(), '\0');
  const Bytes kept = frame_entry(change(3), first.size());
  const ReadFile file = read_frames(first + lost + kept);
  CHECK(file.torn);
  CHECK_FALSE(file.damaged);
  CHECK(file.entries.size() == 1);
  CHECK(file.sound_bytes == first.size());
}

TEST_CASE("a hole in what a later record states as synced is damage, by a byte more or less") {
  const Bytes first = frame_entry(change(1), 0);
  const Bytes lost(frame_entry(change(2), 0).size(), '\0');
  CHECK_FALSE(read_frames(first + lost + frame_entry(change(3), first.size())).damaged);
  CHECK(read_frames(first + lost + frame_entry(change(3), first.size() + 1)).damaged);
}

TEST_CASE("frames of earlier versions are read, and each stands for the bytes before it") {
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
  const Bytes whole = earlier() + earlier() + earlier();
  CHECK(read_frames(whole).entries.size() == 3);
  CHECK_FALSE(read_frames(whole).torn);
  Bytes bad = whole;
  bad[earlier().size() + 20] ^= 1;
  CHECK(read_frames(bad).damaged);
}
