// The daemon's file and connection handling, tested with real files and TCP connections.
#include <sys/stat.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "host/file_disk.hpp"
#include "host/http_server.hpp"
#include "replication/record_file.hpp"
#include "simulate/world.hpp"

using namespace mothwalk;

namespace {
struct TemporaryFolder {
  std::string path;
  TemporaryFolder() : path(std::filesystem::temp_directory_path() / "mothwalk-XXXXXX") {
    path = ::mkdtemp(path.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

class NullRunnerClient : public RunnerClient {
 public:
  Id start(const AttemptRequest&, std::shared_ptr<AttemptObserver>) override { return 1; }
  void cancel(Id) override {}
  void set_paused(Id, bool) override {}
};

class NullTransport : public Transport {
 public:
  void send(const Address&, Envelope) override {}
};
}  // namespace

TEST_CASE("a rewrite interrupted by a crash leaves the records unchanged, and the next rewrite succeeds") {
  TemporaryFolder folder;
  std::ofstream(folder.path + "/records") << "old";
  std::ofstream(folder.path + "/records.new") << "half of a rewr";
  FileDisk disk(folder.path, [](Task task) { task(); });
  REQUIRE(error_of(disk.open()) == nullptr);
  CHECK(std::get<Bytes>(disk.read_all()) == "old");
  int succeeded = 0;
  auto count = [&](bool done) {
    succeeded += done;
  };
  disk.submit(DiskRequest{DiskRequest::Kind::begin_next, {}, 0, count});
  disk.submit(DiskRequest{DiskRequest::Kind::write_next, "fresh", 0, count});
  disk.submit(DiskRequest{DiskRequest::Kind::switch_to_next, {}, 0, count});
  disk.submit(DiskRequest{DiskRequest::Kind::append, " and more", 0, count});
  disk.stop();
  CHECK(succeeded == 4);
  CHECK(std::get<Bytes>(disk.read_all()) == "fresh and more");
  FileDisk second_disk(folder.path, [](Task task) { task(); });
  CHECK(error_of(second_disk.open()) != nullptr);  // The first disk still has the folder locked.
}

TEST_CASE("unreadable records are an error and are not taken for an empty folder") {
  TemporaryFolder folder;
  std::filesystem::create_directory(folder.path + "/records");
  FileDisk disk(folder.path, [](Task task) { task(); });
  const auto opened = disk.open();
  REQUIRE(error_of(opened) != nullptr);
  CHECK(error_of(opened)->field == "data_folder");
}

TEST_CASE("a connection over the limit of clients or of operators gets a 503 response with Retry-After") {
  const bool client_side = GENERATE(true, false);
  OperatorLimits operator_limits;
  if (!client_side) operator_limits.connections = 1;
  boost::asio::io_context context;
  simulate::World world{7};
  simulate::SimulatedTimers timers{world, std::make_shared<simulate::ProcessState>()};
  NullTransport transport;
  Messenger messenger{transport, timers, Address("10.0.0.1:1"), 1, "routes"};
  SharedState shared_state;
  NullRunnerClient runner_client;
  Router router{messenger, shared_state, runner_client, world.random, Member{}};
  HttpServer server(
      context, router,
      [](ControlRequest, ControlReplyCallback answer) {
        return answer(ControlReply{200, json::object{{"good", true}}, false}), true;
      },
      client_side ? 1 : 100, {}, operator_limits);
  boost::asio::ip::tcp::acceptor probe(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const auto endpoint = probe.local_endpoint();
  probe.close();
  REQUIRE(error_of(server.listen(Address("127.0.0.1:" + std::to_string(endpoint.port())), client_side)) == nullptr);
  auto send_request = [&](boost::asio::ip::tcp::socket& socket) {
    socket.connect(endpoint);
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /lots/one HTTP/1.1\r\nHost: here\r\n\r\n")));
    std::string text(4096, '\0');
    std::size_t length = 0;
    socket.async_read_some(boost::asio::buffer(text),
                           [&](const boost::system::error_code&, std::size_t count) { length = count; });
    while (length == 0) context.run_one();
    return text.substr(0, length);
  };
  boost::asio::ip::tcp::socket first(context), second(context);
  CHECK(send_request(first).starts_with("HTTP/1.1 200"));
  const std::string refused = send_request(second);
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(refused.find("X-Mothwalk-Outcome: refused") != std::string::npos);
  server.close();
}
