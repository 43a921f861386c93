// The record file and its rewriting at every point where the power may go, and on disks that are full or broken.
#include <catch2/catch.hpp>

#include "replication/record_log.hpp"
#include "simulate/world.hpp"

using namespace mothwalk;
using namespace mothwalk::simulate;

namespace {

constexpr std::uint64_t chances = 24;  // draws of what a loss of power keeps, at each point

DiskEntry change_of(int number) {
  DiskEntry entry;
  entry.what = "change";
  entry.slot = static_cast<std::uint32_t>(number) % slot_count;
  entry.change.key = "lane/" + std::to_string(number);
  entry.change.full = true;
  entry.change.head = std::to_string(number) + Bytes(300, 'x');
  return entry;
}

// A writer of changes whose memory is the set of the numbers written, by slot.
struct Writer {
  explicit Writer(SimulatedVolume& volume) : volume_(volume), files_(volume) {}

  struct DirectDisk : Disk {  // executes each order at once, or the ones that have gathered
    explicit DirectDisk(LogFiles& files) : files_(files) {}
    Result<Bytes> read_all() override { return files_.read_all(); }
    void order(DiskOrder order) override { orders.push_back(std::move(order)); }
    bool run() {
      const std::deque<DiskOrder> batch = std::exchange(orders, {});
      const std::vector<bool> results = files_.execute(batch);
      for (std::size_t index = 0; index < batch.size(); ++index) batch[index].done(results[index]);
      return !batch.empty();
    }
    LogFiles& files_;
    std::deque<DiskOrder> orders;
  };

  RecordLog::Contents contents() {
    RecordLog::Contents contents;
    contents.head = [] {
      return std::vector<DiskEntry>{DiskEntry{.what = "identity", .holder = StorageNodeId("mine")}};
    };
    contents.slot = [this](std::uint32_t slot) {
      std::vector<DiskEntry> entries;
      for (const int number : numbers)
        if (change_of(number).slot == slot) entries.push_back(change_of(number));
      return entries;
    };
    contents.size = [this] {
      return numbers.size() * 350;
    };
    return contents;
  }

  // Opens what is there. False where the file is damaged.
  bool open() {
    if (!files_.open()) return true;
    auto file = log.load();
    REQUIRE(error_of(file) == nullptr);
    ReadFile& read = std::get<ReadFile>(file);
    for (const auto& entry : read.entries)
      if (entry.what == "change") numbers.insert(std::stoi(entry.change.key.substr(5)));
    log.start(read);
    return !read.damaged;
  }

  void write(int number) {
    numbers.insert(number);
    log.append(change_of(number), [this, number] { safe.insert(number); });
  }

  SimulatedVolume& volume_;
  LogFiles files_;
  DirectDisk disk{files_};
  World world{3};
  SimulatedTimers timers{world, std::make_shared<Life>()};
  RecordLog log{disk, timers, contents(), 0};
  std::set<int> numbers, safe;
};

void pass_time(Writer& writer) {
  writer.world.run_until(writer.world.now() + std::chrono::milliseconds(1100));
}

// Changes, several to a sync, a full disk on the way, and the rewrite that brings it back.
void play(Writer& writer) {
  int number = 0;
  auto write = [&](int count) {
    for (int index = 0; index < count; ++index) writer.write(++number);
  };
  write(2);
  writer.disk.run();
  write(3);
  writer.disk.run();
  writer.volume_.capacity = writer.volume_.total() + 100;
  write(2);
  writer.disk.run();
  writer.volume_.capacity = 0;
  pass_time(writer);
  writer.log.tick();
  for (int round = 0; writer.disk.run() && round < 200; ++round)
    if (round % 3 == 0) write(2);
  write(2);
  writer.disk.run();
}

}  // namespace

TEST_CASE("whatever a loss of power keeps, at each step of writing and rewriting, all that was safe is there") {
  std::uint64_t steps = 0;
  {
    SimulatedVolume volume;
    Writer writer(volume);
    REQUIRE(writer.open());
    play(writer);
    CHECK(writer.log.rewrites() == 1);
    CHECK_FALSE(writer.log.failed());
    steps = volume.operations;
  }
  REQUIRE(steps > 60);
  std::size_t switched = 0;
  for (std::uint64_t step = 0; step <= steps; ++step)
    for (std::uint64_t chance = 1; chance <= chances; ++chance) {
      SimulatedVolume volume;
      SeededRandom random(step * 1000 + chance);
      std::set<int> safe;
      {
        Writer writer(volume);
        volume.stop_after = step;
        writer.open();
        play(writer);
        safe = writer.safe;
        switched += writer.log.rewrites();
      }
      volume.lose_power(random);
      Writer again(volume);
      INFO("step " << step << ", chance " << chance);
      REQUIRE(again.open());
      REQUIRE(std::includes(again.numbers.begin(), again.numbers.end(), safe.begin(), safe.end()));
      again.write(1000);
      again.disk.run();
      REQUIRE(again.safe.contains(1000));
      volume.lose_power(random);
      Writer third(volume);
      REQUIRE(third.open());
      REQUIRE(third.numbers.contains(1000));
    }
  CHECK(switched > 0);
}

TEST_CASE("after a failed sync nothing is said to be safe until the state stands in a new file") {
  SimulatedVolume volume;
  Writer writer(volume);
  REQUIRE(writer.open());
  writer.write(1);
  writer.disk.run();
  volume.failing = true;
  writer.write(2);
  writer.disk.run();
  CHECK(writer.log.stalled());
  CHECK_FALSE(writer.log.has_room());
  volume.failing = false;
  writer.write(3);
  writer.disk.run();
  CHECK(writer.safe == std::set<int>{1});
  pass_time(writer);
  writer.log.tick();
  while (writer.disk.run()) {}
  CHECK_FALSE(writer.log.stalled());
  CHECK(writer.log.rewrites() == 1);
  writer.write(4);
  writer.disk.run();
  CHECK(writer.safe == std::set<int>{1, 4});
  Writer again(volume);
  REQUIRE(again.open());
  CHECK(again.numbers == std::set<int>{1, 2, 3, 4});
}

TEST_CASE("what a failed sync left in the file is not read by the next process as if it were safe") {
  SimulatedVolume volume;
  Writer writer(volume);
  REQUIRE(writer.open());
  writer.write(1);
  writer.disk.run();
  volume.sync_failing = true;
  writer.write(2);
  writer.disk.run();
  CHECK(writer.safe == std::set<int>{1});
  volume.sync_failing = false;
  Writer again(volume);
  REQUIRE(again.open());
  CHECK(again.numbers == std::set<int>{1});
}

TEST_CASE("a rewrite goes on in pieces of bounded size, and appends are safe between them") {
  SimulatedVolume volume;
  Writer writer(volume);
  REQUIRE(writer.open());
  int number = 0;
  while (writer.log.file_size() < (25u << 20)) writer.write(++number);
  writer.numbers.clear();  // most of what was written has been removed since
  for (int kept = 1; kept <= 9000; ++kept) writer.numbers.insert(kept);
  writer.disk.run();
  writer.log.tick();
  std::size_t pieces = 0, largest = 0;
  for (int turn = 0; !writer.disk.orders.empty(); ++turn) {
    for (const auto& order : writer.disk.orders) largest = std::max(largest, order.bytes.size());
    ++pieces;
    const int between = 100000 + turn;
    writer.write(between);
    writer.disk.run();
    REQUIRE(writer.safe.contains(between));
  }
  CHECK(writer.log.rewrites() == 1);
  CHECK(pieces > 3);
  CHECK(largest <= (1u << 20) + 1000);
  CHECK(writer.log.file_size() < (5u << 20));
  Writer again(volume);
  REQUIRE(again.open());
  CHECK(again.numbers == writer.numbers);
}

TEST_CASE("a sound file that is not long is not written again at a start") {
  SimulatedVolume volume;
  {
    Writer writer(volume);
    REQUIRE(writer.open());
    for (int number = 1; number <= 100; ++number) writer.write(number);
    writer.disk.run();
  }
  const std::uint64_t before = volume.operations;
  Writer again(volume);
  REQUIRE(again.open());
  again.log.tick();
  CHECK_FALSE(again.disk.run());
  CHECK(volume.operations - before == 2);  // a sync of the file and one of its folder
}

TEST_CASE(
    "a disk with a limit keeps room for a rewrite: nothing new is taken in beyond it, and what grew is rewritten") {
  constexpr std::size_t limit = 40u << 20;
  SimulatedVolume volume;
  LogFiles files(volume);
  Writer::DirectDisk disk(files);
  World world(5);
  SimulatedTimers timers(world, std::make_shared<Life>());
  std::size_t held = 1u << 20;
  RecordLog::Contents contents;
  contents.head = [] {
    return std::vector<DiskEntry>{};
  };
  contents.slot = [&](std::uint32_t) {
    DiskEntry entry = change_of(1);
    entry.change.head = Bytes(held / slot_count, 'h');
    return std::vector<DiskEntry>{entry};
  };
  contents.size = [&] {
    return held;
  };
  RecordLog log(disk, timers, contents, limit);
  REQUIRE(files.open());
  log.start(std::get<ReadFile>(log.load()));
  CHECK(log.has_room());
  held = 18u << 20;  // twice this and the reserve are more than the limit
  CHECK_FALSE(log.has_room());
  held = 12u << 20;
  CHECK(log.has_room());
  DiskEntry large = change_of(2);
  large.change.head = Bytes(1u << 20, 'l');
  while (volume.total() < (27u << 20)) {
    log.append(large, [] {});
    disk.run();
  }
  CHECK_FALSE(log.has_room());
  log.tick();
  while (disk.run()) REQUIRE(volume.total() < limit);
  CHECK(log.rewrites() == 1);
  CHECK(volume.total() < (14u << 20));
  CHECK(log.has_room());
}

namespace {
// A log on a disk of limited room, whose memory holds as many bytes as a test says.
struct LimitedLog {
  explicit LimitedLog(std::size_t held_bytes) : held(held_bytes) {
    volume.capacity = limit;
    REQUIRE(files.open());
    log.start(std::get<ReadFile>(log.load()));
  }
  RecordLog::Contents contents() {
    RecordLog::Contents made;
    made.head = [] {
      return std::vector<DiskEntry>{};
    };
    made.slot = [this](std::uint32_t) {
      DiskEntry entry = change_of(1);
      entry.change.head = Bytes(held / slot_count, 'h');
      return std::vector<DiskEntry>{entry};
    };
    made.size = [this] {
      return held;
    };
    return made;
  }
  void append_megabyte() {
    DiskEntry large = change_of(2);
    large.change.head = Bytes(1u << 20, 'l');
    ++appended;
    log.append(large, [this] { ++safe; });
  }
  static constexpr std::size_t limit = 40u << 20;
  std::size_t held;
  SimulatedVolume volume;
  LogFiles files{volume};
  Writer::DirectDisk disk{files};
  World world{5};
  SimulatedTimers timers{world, std::make_shared<Life>()};
  RecordLog log{disk, timers, contents(), limit};
  int appended = 0, safe = 0;
};
}  // namespace

TEST_CASE("a rewrite that comes to fill the disk is abandoned, and no append fails for its sake") {
  LimitedLog limited(12u << 20);
  while (limited.log.file_size() < (24u << 20)) limited.append_megabyte();
  limited.disk.run();
  limited.log.tick();
  REQUIRE_FALSE(limited.disk.orders.empty());
  // Far more comes during the rewrite than it was begun for.
  while (limited.log.file_size() < (36u << 20)) {
    limited.append_megabyte();
    limited.append_megabyte();
    limited.disk.run();
  }
  while (limited.disk.run()) {}
  CHECK_FALSE(limited.log.failed());
  CHECK(limited.safe == limited.appended);
  CHECK(limited.log.rewrites() == 0);
  limited.log.tick();
  CHECK_FALSE(limited.disk.run());
  CHECK(limited.volume.total() == limited.log.file_size());
}

TEST_CASE("a disk with a limit has room for new state only where what is still to come fits as well") {
  LimitedLog limited(4u << 20);
  while (limited.log.file_size() < (10u << 20)) limited.append_megabyte();
  limited.disk.run();
  CHECK(limited.log.has_room());
  CHECK(limited.log.has_room(20u << 20));
  CHECK_FALSE(limited.log.has_room(30u << 20));
  CHECK(limited.log.takes(20u << 20));
  CHECK_FALSE(limited.log.takes(30u << 20));
}

TEST_CASE("what an end of the process left of a rewrite is removed at the next start, and leaves its room to appends") {
  LimitedLog limited(12u << 20);
  while (limited.log.file_size() < (24u << 20)) limited.append_megabyte();
  limited.disk.run();
  limited.log.tick();
  for (int turn = 0; turn < 8; ++turn) limited.disk.run();
  REQUIRE(limited.volume.total() > limited.log.file_size() + (1u << 20));
  LogFiles after(limited.volume);
  REQUIRE(after.open());
  CHECK(limited.volume.total() == limited.log.file_size());
}

TEST_CASE("no rewrite begins for which the disk has no room, and the file grows to its limit instead") {
  LimitedLog limited(19u << 20);
  while (limited.log.file_size() < (34u << 20)) {
    limited.append_megabyte();
    limited.disk.run();
    if (limited.log.file_size() > (20u << 20)) limited.log.tick();
    while (limited.disk.run()) REQUIRE(limited.volume.total() < LimitedLog::limit);
  }
  CHECK_FALSE(limited.log.failed());
  CHECK(limited.safe == limited.appended);
  CHECK(limited.log.rewrites() == 0);
}
