// The record log and its compaction, with a power failure at every step, and on disks that are full or fail.
#include <catch2/catch.hpp>

#include "replication/record_log.hpp"
#include "simulate/world.hpp"

using namespace mothwalk;
using namespace mothwalk::simulate;

namespace {

constexpr std::uint64_t draws = 24;  // Random draws per step of what a power failure keeps.

DiskEntry change_of(int number) {
  DiskEntry entry;
  entry.what = "change";
  entry.slot = static_cast<std::uint32_t>(number) % slot_count;
  entry.change.key = "lane/" + std::to_string(number);
  entry.change.full = true;
  entry.change.head = std::to_string(number) + Bytes(300, 'x');
  return entry;
}

// Writes numbered changes. Its state in memory is the set of the numbers written.
struct Writer {
  explicit Writer(SimulatedVolume& volume) : volume_(volume), files_(volume) {}

  // Queues disk requests and executes them all when run() is called.
  struct DirectDisk : Disk {
    explicit DirectDisk(LogFiles& files) : files_(files) {}
    Result<Bytes> read_all() override { return files_.read_all(); }
    void submit(DiskRequest request) override { requests.push_back(std::move(request)); }
    bool run() {
      const std::deque<DiskRequest> batch = std::exchange(requests, {});
      const std::vector<bool> results = files_.execute(batch);
      for (std::size_t index = 0; index < batch.size(); ++index) batch[index].done(results[index]);
      return !batch.empty();
    }
    LogFiles& files_;
    std::deque<DiskRequest> requests;
  };

  RecordLog::Contents contents() {
    RecordLog::Contents contents;
    contents.header = [] {
      return std::vector<DiskEntry>{DiskEntry{.what = "identity", .holder = StorageNodeId("mine")}};
    };
    contents.slot_entries = [this](std::uint32_t slot) {
      std::vector<DiskEntry> entries;
      for (const int number : numbers)
        if (change_of(number).slot == slot) entries.push_back(change_of(number));
      return entries;
    };
    contents.total_bytes = [this] {
      return numbers.size() * 350;
    };
    return contents;
  }

  // Opens the existing files. Returns false if the record file is damaged.
  bool open() {
    if (!files_.open()) return true;
    auto file = log.load();
    REQUIRE(error_of(file) == nullptr);
    RecordFileContents& read = std::get<RecordFileContents>(file);
    for (const auto& entry : read.entries)
      if (entry.what == "change") numbers.insert(std::stoi(entry.change.key.substr(5)));
    log.start(read);
    return !read.damaged;
  }

  void write(int number) {
    numbers.insert(number);
    log.append(change_of(number), [this, number] { durable.insert(number); });
  }

  SimulatedVolume& volume_;
  LogFiles files_;
  DirectDisk disk{files_};
  World world{3};
  SimulatedTimers timers{world, std::make_shared<ProcessState>()};
  RecordLog log{disk, timers, contents(), 0};
  std::set<int> numbers, durable;
};

void pass_time(Writer& writer) {
  writer.world.run_until(writer.world.now() + std::chrono::milliseconds(1100));
}

// Writes changes, several per sync, then fills the disk, and compacts the file, after which appends succeed again.
void run_workload(Writer& writer) {
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

TEST_CASE("after a power failure at any step of writing and compaction, every durable change is still there") {
  std::uint64_t steps = 0;
  {
    SimulatedVolume volume;
    Writer writer(volume);
    REQUIRE(writer.open());
    run_workload(writer);
    CHECK(writer.log.compactions() == 1);
    CHECK_FALSE(writer.log.failed());
    steps = volume.operations;
  }
  REQUIRE(steps > 60);
  std::size_t compactions = 0;
  for (std::uint64_t step = 0; step <= steps; ++step)
    for (std::uint64_t draw = 1; draw <= draws; ++draw) {
      SimulatedVolume volume;
      SeededRandom random(step * 1000 + draw);
      std::set<int> durable;
      {
        Writer writer(volume);
        volume.stop_after = step;
        writer.open();
        run_workload(writer);
        durable = writer.durable;
        compactions += writer.log.compactions();
      }
      volume.lose_power(random);
      Writer reopened(volume);
      INFO("step " << step << ", draw " << draw);
      REQUIRE(reopened.open());
      REQUIRE(std::includes(reopened.numbers.begin(), reopened.numbers.end(), durable.begin(), durable.end()));
      reopened.write(1000);
      reopened.disk.run();
      REQUIRE(reopened.durable.contains(1000));
      volume.lose_power(random);
      Writer reopened_again(volume);
      REQUIRE(reopened_again.open());
      REQUIRE(reopened_again.numbers.contains(1000));
    }
  CHECK(compactions > 0);
}

TEST_CASE("after a failed sync nothing is reported as durable until a new file has replaced the current one") {
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
  CHECK(writer.durable == std::set<int>{1});
  pass_time(writer);
  writer.log.tick();
  while (writer.disk.run()) {}
  CHECK_FALSE(writer.log.stalled());
  CHECK(writer.log.compactions() == 1);
  writer.write(4);
  writer.disk.run();
  CHECK(writer.durable == std::set<int>{1, 4});
  Writer reopened(volume);
  REQUIRE(reopened.open());
  CHECK(reopened.numbers == std::set<int>{1, 2, 3, 4});
}

TEST_CASE("the next process does not read bytes from a failed sync as if they were durable") {
  SimulatedVolume volume;
  Writer writer(volume);
  REQUIRE(writer.open());
  writer.write(1);
  writer.disk.run();
  volume.sync_failing = true;
  writer.write(2);
  writer.disk.run();
  CHECK(writer.durable == std::set<int>{1});
  volume.sync_failing = false;
  Writer reopened(volume);
  REQUIRE(reopened.open());
  CHECK(reopened.numbers == std::set<int>{1});
}

TEST_CASE("a compaction writes chunks of bounded size, and appends become durable between them") {
  SimulatedVolume volume;
  Writer writer(volume);
  REQUIRE(writer.open());
  int number = 0;
  while (writer.log.file_size() < (25u << 20)) writer.write(++number);
  writer.numbers.clear();  // Most of the records have been removed since.
  for (int kept = 1; kept <= 9000; ++kept) writer.numbers.insert(kept);
  writer.disk.run();
  writer.log.tick();
  std::size_t chunks = 0, largest = 0;
  for (int turn = 0; !writer.disk.requests.empty(); ++turn) {
    for (const auto& request : writer.disk.requests) largest = std::max(largest, request.bytes.size());
    ++chunks;
    const int between = 100000 + turn;
    writer.write(between);
    writer.disk.run();
    REQUIRE(writer.durable.contains(between));
  }
  CHECK(writer.log.compactions() == 1);
  CHECK(chunks > 3);
  CHECK(largest <= (1u << 20) + 1000);
  CHECK(writer.log.file_size() < (5u << 20));
  Writer reopened(volume);
  REQUIRE(reopened.open());
  CHECK(reopened.numbers == writer.numbers);
}

TEST_CASE("a short valid file is not compacted at the start") {
  SimulatedVolume volume;
  {
    Writer writer(volume);
    REQUIRE(writer.open());
    for (int number = 1; number <= 100; ++number) writer.write(number);
    writer.disk.run();
  }
  const std::uint64_t before = volume.operations;
  Writer reopened(volume);
  REQUIRE(reopened.open());
  reopened.log.tick();
  CHECK_FALSE(reopened.disk.run());
  CHECK(volume.operations - before == 2);  // One sync of the file and one of its folder.
}

TEST_CASE(
    "with a disk limit, room for a compaction is reserved: no new records beyond it, and a grown file is compacted") {
  constexpr std::size_t limit = 40u << 20;
  SimulatedVolume volume;
  LogFiles files(volume);
  Writer::DirectDisk disk(files);
  World world(5);
  SimulatedTimers timers(world, std::make_shared<ProcessState>());
  std::size_t live_bytes = 1u << 20;
  RecordLog::Contents contents;
  contents.header = [] {
    return std::vector<DiskEntry>{};
  };
  contents.slot_entries = [&](std::uint32_t) {
    DiskEntry entry = change_of(1);
    entry.change.head = Bytes(live_bytes / slot_count, 'h');
    return std::vector<DiskEntry>{entry};
  };
  contents.total_bytes = [&] {
    return live_bytes;
  };
  RecordLog log(disk, timers, contents, limit);
  REQUIRE(files.open());
  log.start(std::get<RecordFileContents>(log.load()));
  CHECK(log.has_room());
  live_bytes = 18u << 20;  // Twice this size plus the reserve exceeds the limit.
  CHECK_FALSE(log.has_room());
  live_bytes = 12u << 20;
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
  CHECK(log.compactions() == 1);
  CHECK(volume.total() < (14u << 20));
  CHECK(log.has_room());
}

namespace {
// A log on a disk of limited size. The size of its records in memory is set by the test.
struct LimitedLog {
  explicit LimitedLog(std::size_t initial_bytes) : live_bytes(initial_bytes) {
    volume.capacity = limit;
    REQUIRE(files.open());
    log.start(std::get<RecordFileContents>(log.load()));
  }
  RecordLog::Contents contents() {
    RecordLog::Contents contents;
    contents.header = [] {
      return std::vector<DiskEntry>{};
    };
    contents.slot_entries = [this](std::uint32_t) {
      DiskEntry entry = change_of(1);
      entry.change.head = Bytes(live_bytes / slot_count, 'h');
      return std::vector<DiskEntry>{entry};
    };
    contents.total_bytes = [this] {
      return live_bytes;
    };
    return contents;
  }
  void append_megabyte() {
    DiskEntry large = change_of(2);
    large.change.head = Bytes(1u << 20, 'l');
    ++appended;
    log.append(large, [this] { ++durable; });
  }
  static constexpr std::size_t limit = 40u << 20;
  std::size_t live_bytes;
  SimulatedVolume volume;
  LogFiles files{volume};
  Writer::DirectDisk disk{files};
  World world{5};
  SimulatedTimers timers{world, std::make_shared<ProcessState>()};
  RecordLog log{disk, timers, contents(), limit};
  int appended = 0, durable = 0;
};
}  // namespace

TEST_CASE("a compaction that would fill the disk is abandoned, and no append fails because of it") {
  LimitedLog limited(12u << 20);
  while (limited.log.file_size() < (24u << 20)) limited.append_megabyte();
  limited.disk.run();
  limited.log.tick();
  REQUIRE_FALSE(limited.disk.requests.empty());
  // Many more appends come during the compaction than there is room for.
  while (limited.log.file_size() < (36u << 20)) {
    limited.append_megabyte();
    limited.append_megabyte();
    limited.disk.run();
  }
  while (limited.disk.run()) {}
  CHECK_FALSE(limited.log.failed());
  CHECK(limited.durable == limited.appended);
  CHECK(limited.log.compactions() == 0);
  limited.log.tick();
  CHECK_FALSE(limited.disk.run());
  CHECK(limited.volume.total() == limited.log.file_size());
}

TEST_CASE("with a disk limit, new records are accepted only if their announced growth fits as well") {
  LimitedLog limited(4u << 20);
  while (limited.log.file_size() < (10u << 20)) limited.append_megabyte();
  limited.disk.run();
  CHECK(limited.log.has_room());
  CHECK(limited.log.has_room(20u << 20));
  CHECK_FALSE(limited.log.has_room(30u << 20));
  CHECK(limited.log.has_room_for_entry(20u << 20));
  CHECK_FALSE(limited.log.has_room_for_entry(30u << 20));
}

TEST_CASE("an unfinished compaction of an earlier process is removed at the start, which frees its room for appends") {
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

TEST_CASE("no compaction starts without room for it on the disk, and the file grows up to its limit instead") {
  LimitedLog limited(19u << 20);
  while (limited.log.file_size() < (34u << 20)) {
    limited.append_megabyte();
    limited.disk.run();
    if (limited.log.file_size() > (20u << 20)) limited.log.tick();
    while (limited.disk.run()) REQUIRE(limited.volume.total() < LimitedLog::limit);
  }
  CHECK_FALSE(limited.log.failed());
  CHECK(limited.durable == limited.appended);
  CHECK(limited.log.compactions() == 0);
}
