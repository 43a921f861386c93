// The record file: a torn tail is cut at every length, damage in the middle is told apart from it.
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
  const Bytes first = frame_entry(change(1)), second = frame_entry(change(2));
  const Bytes whole = first + second;
  for (std::size_t length = 0; length <= whole.size(); ++length) {
    const ReadFile file = read_frames(View(whole).substr(0, length));
    CHECK(file.entries.size() == (length >= whole.size() ? 2 : length >= first.size() ? 1 : 0));
    CHECK_FALSE(file.damaged);
    CHECK(file.torn == (length != 0 && length != first.size() && length != whole.size()));
  }
}

TEST_CASE("a flipped byte anywhere before a sound record is damage; in the last record it is a torn tail") {
  const Bytes first = frame_entry(change(1)), second = frame_entry(change(2)), third = frame_entry(change(3));
  const Bytes whole = first + second + third;
  for (std::size_t at = 0; at < whole.size(); ++at) {
    Bytes bad = whole;
    bad[at] = static_cast<char>(bad[at] ^ 0x10);
    const ReadFile file = read_frames(bad);
    CHECK(file.entries.size() < 3);
    CHECK(file.damaged == (at < first.size() + second.size()));
  }
}
