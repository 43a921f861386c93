// What only the daemon's own host code can show, with real files and streams on this machine.
#include <sys/stat.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "host/file_disk.hpp"
#include "host/front.hpp"
#include "replication/record_file.hpp"
#include "simulate/world.hpp"

using namespace mothwalk;

namespace {
struct Folder {
  std::string path;
  Folder() : path(std::filesystem::temp_directory_path() / "mothwalk-XXXXXX") { path = ::mkdtemp(path.data()); }
  ~Folder() { std::filesystem::remove_all(path); }
};

class NoExchange : public RunnerClient {
 public:
  Id start(const AttemptRequest&, std::shared_ptr<AttemptObserver>) override { return 1; }
  void cancel(Id) override {}
  void hold(Id, bool) override {}
};

class SilentWire : public Transport {
 public:
  void send(const Address&, Envelope) override {}
};
}  // namespace

TEST_CASE("a rewrite that a crash cut short leaves the records as they were, and the next one goes through") {
  Folder folder;
  std::ofstream(folder.path + "/records") << "old";
  std::ofstream(folder.path + "/records.new") << "half of a rewr";
  FileDisk disk(folder.path, [](Task task) { task(); });
  REQUIRE(error_of(disk.open()) == nullptr);
  CHECK(std::get<Bytes>(disk.read_all()) == "old");
  int good = 0;
  auto count = [&](bool done) {
    good += done;
  };
  disk.order(DiskOrder{DiskOrder::Kind::begin_next, {}, 0, count});
  disk.order(DiskOrder{DiskOrder::Kind::write_next, "fresh", 0, count});
  disk.order(DiskOrder{DiskOrder::Kind::switch_to_next, {}, 0, count});
  disk.order(DiskOrder{DiskOrder::Kind::append, " and more", 0, count});
  disk.stop();
  CHECK(good == 4);
  CHECK(std::get<Bytes>(disk.read_all()) == "fresh and more");
  FileDisk again(folder.path, [](Task task) { task(); });
  CHECK(error_of(again.open()) != nullptr);  // the first still holds the folder
}

TEST_CASE("records that can't be read are a fault, never an empty folder") {
  Folder folder;
  std::filesystem::create_directory(folder.path + "/records");
  FileDisk disk(folder.path, [](Task task) { task(); });
  const auto opened = disk.open();
  REQUIRE(error_of(opened) != nullptr);
  CHECK(error_of(opened)->field == "data_folder");
}

TEST_CASE("a connection over the limit is told when to come back") {
  boost::asio::io_context context;
  simulate::World world{7};
  simulate::SimulatedTimers timers{world, std::make_shared<simulate::Life>()};
  SilentWire wire;
  Messenger messenger{wire, timers, Address("10.0.0.1:1"), 1, "routes"};
  SharedState shared_state;
  NoExchange exchange;
  Router entries{messenger, shared_state, exchange, world.random, Member{}};
  Front front(
      context, entries,
      [](ControlRequest, ControlAnswer answer) {
        return answer(ControlReply{200, json::object{{"good", true}}, false}), true;
      },
      1);
  boost::asio::ip::tcp::acceptor probe(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const auto endpoint = probe.local_endpoint();
  probe.close();
  REQUIRE(error_of(front.listen(Address("127.0.0.1:" + std::to_string(endpoint.port())), false)) == nullptr);
  auto ask = [&](boost::asio::ip::tcp::socket& socket) {
    socket.connect(endpoint);
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /v1/health HTTP/1.1\r\nHost: here\r\n\r\n")));
    std::string text(4096, '\0');
    std::size_t length = 0;
    socket.async_read_some(boost::asio::buffer(text),
                           [&](const boost::system::error_code&, std::size_t count) { length = count; });
    while (length == 0) context.run_one();
    return text.substr(0, length);
  };
  boost::asio::ip::tcp::socket first(context), second(context);
  CHECK(ask(first).starts_with("HTTP/1.1 200"));
  const std::string refused = ask(second);
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(refused.find("X-Mothwalk-Outcome: refused") != std::string::npos);
  front.close();
}
