// Record files: raw, and as frames whose checksums are right but whose content is any. A store that takes a file writes
// one that it takes again as it is, and starts.
#include "replication/record_file.hpp"

#include "entry.hpp"
#include "replication/replicated_store.hpp"
#include "simulate/world.hpp"

namespace mothwalk::fuzz {

namespace {
class FileOfBytes : public Disk {
 public:
  explicit FileOfBytes(Bytes given) : bytes(std::move(given)) {}
  Result<Bytes> read_all() override { return bytes; }
  void append(Bytes more, std::function<void(bool)> done) override {
    bytes += more;
    done(true);
  }
  void rewrite(Bytes whole, std::function<void(bool)> done) override {
    bytes = std::move(whole);
    done(true);
  }
  Bytes bytes;
};

class NoPeers : public Transport {
 public:
  void send(const Address&, Envelope) override {}
};

Member holder() {
  Member self;
  self.address = Address("10.0.0.1:7000");
  self.incarnation = 1;
  return self;
}

// Whether a store takes the file; where it does, it works on it for some seconds.
bool load_and_run(FileOfBytes& file, StorageNodeId& identity) {
  simulate::World world(1);
  const auto life = std::make_shared<simulate::Life>();
  simulate::SimulatedTimers timers(world, life);
  NoPeers wire;
  SharedState shared_state;
  Messenger messenger(wire, timers, holder().address, 1, "store");
  ReplicatedStore store(messenger, shared_state, file, world.random, holder(), {}, ReplicatedStore::Report{});
  auto loaded = store.load();
  identity = store.identity();
  if (error_of(loaded)) return false;
  store.start();
  world.run_until(world.now() + std::chrono::seconds(3));
  life->alive = false;
  return true;
}
}  // namespace

void run(StringView bytes) {
  Input input(bytes);
  const bool raw = input.byte() % 2 == 0;
  Bytes file;
  while (!raw && !input.empty()) {
    const StringView payload = input.take(input.word());
    file += frame_payload(payload);
  }
  if (raw) file = Bytes(input.rest());
  const ReadFile read = read_frames(file);
  expect(read.sound_bytes <= file.size(), "what is sound is in the file");
  expect(read.torn == (read.sound_bytes < file.size()), "a torn file is one with more than what is sound");
  const ReadFile sound = read_frames(StringView(file).substr(0, read.sound_bytes));
  expect(sound.entries.size() == read.entries.size() && !sound.torn, "what is sound is read again");
  FileOfBytes disk(file);
  StorageNodeId first, second;
  if (!load_and_run(disk, first)) return;
  expect(!first.empty(), "a store has an identity");
  FileOfBytes again(disk.bytes);
  expect(load_and_run(again, second), "a store takes the file that it has written");
}

}  // namespace mothwalk::fuzz
