// Fuzzes record files, given as raw bytes or as payloads that are put into frames with correct checksums. If a store
// can load a file and run on it, it can also load the file that it has then written.
#include "replication/record_file.hpp"

#include "entry.hpp"
#include "replication/replicated_store.hpp"
#include "simulate/world.hpp"

namespace mothwalk::fuzz {

namespace {
class InMemoryDisk : public Disk {
 public:
  explicit InMemoryDisk(Bytes content) : bytes(std::move(content)) {}
  Result<Bytes> read_all() override { return bytes; }
  void append(Bytes more, std::function<void(bool)> done) override {
    bytes += more;
    done(true);
  }
  void rewrite(Bytes content, std::function<void(bool)> done) override {
    bytes = std::move(content);
    done(true);
  }
  Bytes bytes;
};

class DiscardingTransport : public Transport {
 public:
  void send(const Address&, Envelope) override {}
};

Member storage_node() {
  Member self;
  self.address = Address("10.0.0.1:7000");
  self.incarnation = 1;
  return self;
}

// Loads the file into a store and, if that succeeds, runs the store for 3 s of virtual time. Returns whether it loaded.
bool load_and_run(InMemoryDisk& file, StorageNodeId& identity) {
  simulate::World world(1);
  const auto incarnation = std::make_shared<simulate::ProcessState>();
  simulate::SimulatedTimers timers(world, incarnation);
  DiscardingTransport transport;
  SharedState shared_state;
  Messenger messenger(transport, timers, storage_node().address, 1, "store");
  ReplicatedStore store(messenger, shared_state, file, world.random, storage_node(), {}, ReplicatedStore::Report{});
  auto loaded = store.load();
  identity = store.identity();
  if (error_of(loaded)) return false;
  store.start();
  world.run_until(world.now() + std::chrono::seconds(3));
  incarnation->alive = false;
  return true;
}
}  // namespace

void run(StringView bytes) {
  Input input(bytes);
  const bool is_raw = input.byte() % 2 == 0;
  Bytes file;
  while (!is_raw && !input.empty()) {
    const StringView payload = input.take(input.uint16());
    file += frame_payload(payload);
  }
  if (is_raw) file = Bytes(input.rest());
  const RecordFileContents read = read_frames(file);
  expect(read.valid_bytes <= file.size(), "the intact part is no longer than the file");
  expect(read.torn == (read.valid_bytes < file.size()),
         "a file counts as torn exactly if it continues after the intact part");
  const RecordFileContents intact = read_frames(StringView(file).substr(0, read.valid_bytes));
  expect(intact.entries.size() == read.entries.size() && !intact.torn, "the intact part is read the same on its own");
  InMemoryDisk disk(file);
  StorageNodeId first, second;
  if (!load_and_run(disk, first)) return;
  expect(!first.empty(), "a store that has loaded a file has an identity");
  InMemoryDisk reloaded_disk(disk.bytes);
  expect(load_and_run(reloaded_disk, second), "a store loads the file that it has written");
}

}  // namespace mothwalk::fuzz
