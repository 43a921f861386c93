// Attempts over keep-alive connections. The test acts as the runner, byte by byte, over real TCP connections.
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "host/beast_runner_client.hpp"

using namespace mothwalk;
using boost::asio::ip::tcp;

namespace {

struct RecordingObserver : AttemptObserver {
  int status = 0;
  std::string text;
  std::optional<AttemptOutcome> outcome;
  std::size_t chunks = 0, pauses = 0;
  std::function<void()> on_header;
  void on_head(int given, const std::vector<Header>&) override {
    status = given;
    if (on_header) on_header();
  }
  void on_chunk(StringView chunk) override {
    ++chunks;
    text.append(chunk);
  }
  void on_read_complete() override { ++pauses; }
  void on_end(AttemptOutcome given) override { outcome = given; }
};

struct Fixture {
  boost::asio::io_context context;
  tcp::acceptor acceptor{context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  // The client's clock. It simulates a suspension of the process for 10 s after the given number of clock reads.
  Duration suspended{};
  int clock_reads_until_suspension = -1;
  BeastRunnerClient runner_client{context, [this] {
                                    if (clock_reads_until_suspension >= 0 && clock_reads_until_suspension-- == 0)
                                      suspended += std::chrono::seconds(10);
                                    return steady_now() + suspended;
                                  }};
  std::vector<std::unique_ptr<tcp::socket>> connections;
  std::string next_head = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n";

  // Runs the event loop until the condition holds. Only the time limit of the whole test bounds it.
  void run(const std::function<bool()>& until) {
    while (!until()) context.run_one_for(std::chrono::seconds(5));
  }
  void run_pending() {
    while (context.poll() > 0) {}
  }
  AttemptRequest request(bool repeatable = false, const std::string& runner = "one") const {
    AttemptRequest attempt_request;
    attempt_request.to = Address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    attempt_request.method = "POST";
    attempt_request.target = "/work";
    attempt_request.headers = {{"Host", "callers.example"}};
    attempt_request.body = std::make_shared<const Bytes>("body");
    attempt_request.connecting = attempt_request.first_piece = attempt_request.between_pieces = std::chrono::seconds(4);
    attempt_request.runner = runner;
    attempt_request.repeatable = repeatable;
    return attempt_request;
  }
  std::shared_ptr<RecordingObserver> start(const AttemptRequest& given, RunnerClient::Id* id = nullptr) {
    auto observer = std::make_shared<RecordingObserver>();
    const auto number = runner_client.start(given, observer);
    if (id != nullptr) *id = number;
    return observer;
  }
  tcp::socket& accept() {
    connections.push_back(std::make_unique<tcp::socket>(context));
    bool done = false;
    acceptor.async_accept(*connections.back(), [&](const boost::system::error_code& error) { done = !error; });
    run([&] { return done; });
    return *connections.back();
  }
  std::string receive_request(tcp::socket& socket) {
    std::string text;
    bool done = false;
    boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\nbody",
                                  [&](const boost::system::error_code& error, std::size_t) { done = !error; });
    run([&] { return done; });
    return text;
  }
  void send(tcp::socket& socket, const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }
  // Completes one request, after which the connection is kept for reuse.
  tcp::socket& complete_one_request(bool repeatable = false) {
    auto observer = start(request(repeatable));
    tcp::socket& socket = accept();
    receive_request(socket);
    send(socket, next_head + "Content-Length: 2\r\n\r\nok");
    run([&] { return observer->outcome.has_value(); });
    REQUIRE((observer->outcome == AttemptOutcome::complete && observer->text == "ok"));
    return socket;
  }
};

}  // namespace

TEST_CASE("an idle connection is reused for the next request to the same runner only") {
  Fixture fixture;
  tcp::socket& socket = fixture.complete_one_request();
  auto observer = fixture.start(fixture.request());
  const std::string text = fixture.receive_request(socket);
  CHECK(text.find("Host: callers.example\r\n") != std::string::npos);
  fixture.send(socket, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
  fixture.run([&] { return observer->outcome.has_value(); });
  CHECK((observer->status == 404 && observer->outcome == AttemptOutcome::complete));
  CHECK((fixture.runner_client.counts().opened == 1 && fixture.runner_client.counts().reused == 1));
  auto other = fixture.start(fixture.request(false, "two"));
  fixture.receive_request(fixture.accept());
  CHECK(fixture.runner_client.counts().opened == 2);
}

TEST_CASE(
    "a connection that the runner closed while it was idle is not reused, even if the close was not detected yet") {
  for (const bool close_detected : {true, false}) {
    Fixture fixture;
    fixture.complete_one_request().close();
    if (close_detected) fixture.run_pending();
    auto observer = fixture.start(fixture.request());
    tcp::socket& new_connection = fixture.accept();
    fixture.receive_request(new_connection);
    fixture.send(new_connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.run([&] { return observer->outcome.has_value(); });
    CHECK(observer->outcome == AttemptOutcome::complete);
  }
}

TEST_CASE("a reused connection ends before the response: a repeatable request is sent again, another may have run") {
  for (const bool repeatable : {true, false}) {
    Fixture fixture;
    tcp::socket& socket = fixture.complete_one_request();
    auto observer = fixture.start(fixture.request(repeatable));
    fixture.receive_request(socket);
    socket.close();
    if (repeatable) {
      tcp::socket& new_connection = fixture.accept();
      fixture.receive_request(new_connection);
      fixture.send(new_connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    fixture.run([&] { return observer->outcome.has_value(); });
    CHECK(observer->outcome == (repeatable ? AttemptOutcome::complete : AttemptOutcome::broken));
    CHECK(fixture.runner_client.counts().opened == (repeatable ? 2 : 1));
  }
}

TEST_CASE("a repeatable request that the runner received before it stopped may have run, although no retry succeeds") {
  Fixture fixture;
  tcp::socket& socket = fixture.complete_one_request();
  auto observer = fixture.start(fixture.request(true));
  fixture.receive_request(socket);
  fixture.acceptor.close();
  socket.close();
  fixture.run([&] { return observer->outcome.has_value(); });
  CHECK(observer->outcome == AttemptOutcome::broken);
}

TEST_CASE("bytes after a complete response, immediate or late, are not taken as the response to a later request") {
  const std::string extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
  for (const bool late : {true, false}) {
    Fixture fixture;
    auto first = fixture.start(fixture.request());
    tcp::socket& socket = fixture.accept();
    fixture.receive_request(socket);
    fixture.send(socket, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok" +
                             (late ? std::string() : extra));
    fixture.run([&] { return first->outcome.has_value(); });
    CHECK(first->text == "ok");
    // The event loop has not read these bytes yet. The check before the connection is reused detects them.
    if (late) fixture.send(socket, extra);
    auto second = fixture.start(fixture.request());
    tcp::socket& new_connection = fixture.accept();
    fixture.receive_request(new_connection);
    fixture.send(new_connection, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    fixture.run([&] { return second->outcome.has_value(); });
    CHECK(second->text == "own");
    CHECK(fixture.runner_client.counts().opened == 2);
  }
}

// Guards against requests that run twice because a late copy of a refusal was taken for the response to a retry.
TEST_CASE("a connection carries a request only once, so that a late copy of a response is not taken for the next one") {
  Fixture fixture;
  const std::string refusal = "HTTP/1.1 503 Full\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
  auto start = [&](const std::string& id, std::uint32_t max_connections = 0) {
    AttemptRequest request = fixture.request();
    request.id = id;
    request.connections = max_connections;
    return fixture.start(request);
  };
  auto respond = [&](tcp::socket& socket, const std::string& response, const RecordingObserver& observer) {
    fixture.receive_request(socket);
    fixture.send(socket, response);
    fixture.run([&] { return observer.outcome.has_value(); });
    CHECK(observer.outcome == AttemptOutcome::complete);
  };
  auto refused = start("first");
  tcp::socket& first_connection = fixture.accept();
  respond(first_connection, refusal, *refused);
  // Other requests use the connection meanwhile.
  for (int number = 0; number < 20; ++number)
    respond(first_connection, refusal, *start("other-" + std::to_string(number)));
  REQUIRE(fixture.runner_client.counts().opened == 1);

  auto retried = start("first");
  REQUIRE(fixture.runner_client.counts().opened == 2);
  CHECK(fixture.runner_client.counts().repeated_ids == 1);
  tcp::socket& second_connection = fixture.accept();
  fixture.receive_request(second_connection);
  fixture.send(first_connection, refusal);
  fixture.run([&] { return fixture.runner_client.counts().unsolicited == 1; });
  CHECK_FALSE(retried->outcome.has_value());
  fixture.send(second_connection, fixture.next_head + "Content-Length: 3\r\n\r\nown");
  fixture.run([&] { return retried->outcome.has_value(); });
  CHECK((retried->status == 200 && retried->text == "own"));

  // At the limit of connections, the third attempt replaces the idle connection of the second one.
  auto replaced = start("first", 1);
  REQUIRE(fixture.runner_client.counts().opened == 3);
  const AttemptRequest request = fixture.request();
  CHECK(fixture.runner_client.connections(request.to, request.runner) == 1);
  respond(fixture.accept(), refusal, *replaced);
}

TEST_CASE("a connection is not kept if the runner closes it or states an idle timeout of zero") {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"}) {
    Fixture fixture;
    fixture.next_head = head;
    fixture.complete_one_request();
    auto observer = fixture.start(fixture.request());
    fixture.receive_request(fixture.accept());
    CHECK((fixture.runner_client.counts().opened == 2 && fixture.runner_client.counts().reused == 0));
  }
}

TEST_CASE("an attempt is broken if the response is not HTTP or incomplete, or the connection is reset") {
  for (const std::string text :
       {"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nto the end", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ""}) {
    Fixture fixture;
    auto observer = fixture.start(fixture.request());
    tcp::socket& socket = fixture.accept();
    fixture.receive_request(socket);
    fixture.send(socket, text);
    fixture.run_pending();
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
    fixture.run([&] { return observer->outcome.has_value(); });
    CHECK(observer->outcome == AttemptOutcome::broken);
  }
}

TEST_CASE("a response without a length is complete when the runner closes the connection, which is not reused") {
  Fixture fixture;
  auto observer = fixture.start(fixture.request());
  tcp::socket& socket = fixture.accept();
  fixture.receive_request(socket);
  fixture.send(socket, "HTTP/1.1 200 OK\r\n\r\nto the end");
  socket.close();
  fixture.run([&] { return observer->outcome.has_value(); });
  CHECK((observer->outcome == AttemptOutcome::complete && observer->status == 200 && observer->text == "to the end"));
  fixture.start(fixture.request());
  fixture.receive_request(fixture.accept());
  CHECK((fixture.runner_client.counts().opened == 2 && fixture.runner_client.counts().reused == 0));
}

TEST_CASE("a connection is not reused if the response came before the whole request was sent") {
  Fixture fixture;
  AttemptRequest request = fixture.request();
  request.body = std::make_shared<const Bytes>(std::string(64u << 20, 'b'));
  auto observer = fixture.start(request);
  tcp::socket& socket = fixture.accept();
  fixture.send(socket, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
  fixture.run([&] { return observer->outcome.has_value(); });
  CHECK((observer->outcome == AttemptOutcome::complete && observer->text == "ok"));
  auto second = fixture.start(fixture.request());
  fixture.receive_request(fixture.accept());
  CHECK(fixture.runner_client.counts().opened == 2);
  // The runner reads the rest of the body and then the end of the connection, never the next request.
  std::string buffer(1u << 20, '\0');
  boost::system::error_code error;
  std::string tail;
  while (!error) {
    const std::size_t count = socket.read_some(boost::asio::buffer(buffer), error);
    tail = (tail + buffer.substr(0, count));
    if (tail.size() > 2000) tail.erase(0, tail.size() - 2000);
  }
  CHECK(tail == std::string(tail.size(), 'b'));
}

TEST_CASE("a process that was suspended after the decision to send sends nothing, over a new or a reused connection") {
  for (const bool reused : {false, true}) {
    Fixture fixture;
    tcp::socket* socket = reused ? &fixture.complete_one_request() : nullptr;
    // The clock is read once for the decision and once more for the age of a reused connection. The next read comes
    // right before the write.
    fixture.clock_reads_until_suspension = reused ? 2 : 1;
    auto observer = fixture.start(fixture.request(true));
    if (!reused) socket = &fixture.accept();
    fixture.run([&] { return observer->outcome.has_value(); });
    CHECK(observer->outcome == AttemptOutcome::not_sent);
    CHECK(fixture.clock_reads_until_suspension == -1);
    std::string buffer(100, '\0');
    boost::system::error_code error;
    CHECK(socket->read_some(boost::asio::buffer(buffer), error) == 0);
    CHECK(error == boost::asio::error::eof);
  }
}

TEST_CASE("a process that was suspended during the write resets the connection, and the request may have run") {
  for (const bool reused : {false, true}) {
    Fixture fixture;
    tcp::socket* socket = reused ? &fixture.complete_one_request() : nullptr;
    fixture.clock_reads_until_suspension = reused ? 3 : 2;
    auto observer = fixture.start(fixture.request(true));
    if (!reused) socket = &fixture.accept();
    fixture.run([&] { return observer->outcome.has_value(); });
    CHECK(observer->outcome == AttemptOutcome::broken);
    CHECK(fixture.runner_client.counts().opened == 1);
    std::string buffer(1000, '\0');
    boost::system::error_code error;
    while (!error) socket->read_some(boost::asio::buffer(buffer), error);
    CHECK(error == boost::asio::error::connection_reset);
  }
}

TEST_CASE("a request is not sent again if the reused connection ends long after it was sent") {
  Fixture fixture;
  tcp::socket& socket = fixture.complete_one_request(true);
  auto observer = fixture.start(fixture.request(true));
  fixture.receive_request(socket);
  fixture.suspended += std::chrono::seconds(5);
  socket.close();
  fixture.run([&] { return observer->outcome.has_value(); });
  CHECK(observer->outcome == AttemptOutcome::broken);
  CHECK(fixture.runner_client.counts().opened == 1);
}

TEST_CASE("an attempt is not sent if the runner is unreachable, and late if the runner does not respond") {
  Fixture fixture;
  const AttemptRequest request = fixture.request();
  fixture.acceptor.close();
  auto refused = fixture.start(request);
  fixture.run([&] { return refused->outcome.has_value(); });
  CHECK(refused->outcome == AttemptOutcome::not_sent);
  Fixture silent;
  AttemptRequest short_limit = silent.request();
  short_limit.first_piece = std::chrono::milliseconds(30);
  auto late = silent.start(short_limit);
  silent.receive_request(silent.accept());
  silent.run([&] { return late->outcome.has_value(); });
  CHECK(late->outcome == AttemptOutcome::timed_out);
}

TEST_CASE("data of one read is passed on as one chunk, then a pause; a cancelled attempt gets no more calls") {
  Fixture fixture;
  RunnerClient::Id id = 0;
  auto observer = fixture.start(fixture.request(), &id);
  tcp::socket& socket = fixture.accept();
  fixture.receive_request(socket);
  fixture.send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n4\r\nmore\r\n");
  fixture.run([&] { return observer->pauses > 0; });
  CHECK((observer->text == "fourmore" && observer->chunks == 1));
  fixture.runner_client.cancel(id);
  fixture.send(socket, "0\r\n\r\n");
  fixture.run_pending();
  CHECK_FALSE(observer->outcome.has_value());
}

TEST_CASE("a paused attempt is not read until it is resumed") {
  Fixture fixture;
  RunnerClient::Id id = 0;
  auto observer = fixture.start(fixture.request(), &id);
  observer->on_header = [&] {
    fixture.runner_client.set_paused(id, true);
  };
  tcp::socket& socket = fixture.accept();
  fixture.receive_request(socket);
  fixture.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
  fixture.run([&] { return observer->status != 0; });
  fixture.send(socket, "eight by");
  fixture.run_pending();
  CHECK(observer->text.empty());
  fixture.runner_client.set_paused(id, false);
  fixture.run([&] { return observer->outcome.has_value(); });
  CHECK((observer->text == "eight by" && observer->outcome == AttemptOutcome::complete));
}
