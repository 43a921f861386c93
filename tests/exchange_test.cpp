// Attempts over kept connections, against a runner that the test plays byte by byte over real connections.
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "host/beast_runner_client.hpp"

using namespace mothwalk;
using boost::asio::ip::tcp;

namespace {

struct Outcome : AttemptObserver {
  int status = 0;
  std::string text;
  std::optional<AttemptOutcome> end;
  std::size_t pieces = 0, pauses = 0;
  std::function<void()> headed;
  void on_head(int given, const std::vector<Header>&) override {
    status = given;
    if (headed) headed();
  }
  void on_chunk(StringView piece) override {
    ++pieces;
    text.append(piece);
  }
  void on_pause() override { ++pauses; }
  void on_end(AttemptOutcome given) override { end = given; }
};

struct Fixture {
  boost::asio::io_context context;
  tcp::acceptor acceptor{context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  // The exchange's clock: the process is suspended for a while at the given look at it.
  Duration suspended{};
  int looks_until_suspension = -1;
  BeastRunnerClient exchange{context, [this] {
                               if (looks_until_suspension >= 0 && looks_until_suspension-- == 0)
                                 suspended += std::chrono::seconds(10);
                               return steady_now() + suspended;
                             }};
  std::vector<std::unique_ptr<tcp::socket>> connections;
  std::string next_head = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n";

  // The loop runs until the condition holds; the test's own time is the only other bound.
  void run(const std::function<bool()>& until) {
    while (!until()) context.run_one_for(std::chrono::seconds(5));
  }
  void settle() {
    while (context.poll() > 0) {}
  }
  AttemptRequest request(bool repeatable = false, const std::string& runner = "one") const {
    AttemptRequest made;
    made.to = Address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    made.method = "POST";
    made.target = "/work";
    made.headers = {{"Host", "callers.example"}};
    made.body = std::make_shared<const Bytes>("body");
    made.connecting = made.first_piece = made.between_pieces = std::chrono::seconds(4);
    made.runner = runner;
    made.repeatable = repeatable;
    return made;
  }
  std::shared_ptr<Outcome> start(const AttemptRequest& given, RunnerClient::Id* id = nullptr) {
    auto outcome = std::make_shared<Outcome>();
    const auto number = exchange.start(given, outcome);
    if (id != nullptr) *id = number;
    return outcome;
  }
  tcp::socket& accepted() {
    connections.push_back(std::make_unique<tcp::socket>(context));
    bool done = false;
    acceptor.async_accept(*connections.back(), [&](const boost::system::error_code& error) { done = !error; });
    run([&] { return done; });
    return *connections.back();
  }
  std::string received(tcp::socket& socket) {
    std::string text;
    bool done = false;
    boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\nbody",
                                  [&](const boost::system::error_code& error, std::size_t) { done = !error; });
    run([&] { return done; });
    return text;
  }
  void say(tcp::socket& socket, const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }
  // One whole exchange, which leaves a kept connection.
  tcp::socket& once(bool repeatable = false) {
    auto outcome = start(request(repeatable));
    tcp::socket& socket = accepted();
    received(socket);
    say(socket, next_head + "Content-Length: 2\r\n\r\nok");
    run([&] { return outcome->end.has_value(); });
    REQUIRE((outcome->end == AttemptOutcome::whole && outcome->text == "ok"));
    return socket;
  }
};

}  // namespace

TEST_CASE("a kept connection carries the next request to the same runner, and no other's") {
  Fixture fixture;
  tcp::socket& socket = fixture.once();
  auto outcome = fixture.start(fixture.request());
  const std::string text = fixture.received(socket);
  CHECK(text.find("Host: callers.example\r\n") != std::string::npos);
  fixture.say(socket, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
  fixture.run([&] { return outcome->end.has_value(); });
  CHECK((outcome->status == 404 && outcome->end == AttemptOutcome::whole));
  CHECK((fixture.exchange.counts().opened == 1 && fixture.exchange.counts().reused == 1));
  auto other = fixture.start(fixture.request(false, "two"));
  fixture.received(fixture.accepted());
  CHECK(fixture.exchange.counts().opened == 2);
}

TEST_CASE("a connection that its runner closed while idle carries nothing more, known or not known yet") {
  for (const bool seen : {true, false}) {
    Fixture fixture;
    fixture.once().close();
    if (seen) fixture.settle();
    auto outcome = fixture.start(fixture.request());
    tcp::socket& fresh = fixture.accepted();
    fixture.received(fresh);
    fixture.say(fresh, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.run([&] { return outcome->end.has_value(); });
    CHECK(outcome->end == AttemptOutcome::whole);
  }
}

TEST_CASE("a runner that ends a kept connection under a request: repeatable work goes again, other work may have run") {
  for (const bool repeatable : {true, false}) {
    Fixture fixture;
    tcp::socket& socket = fixture.once();
    auto outcome = fixture.start(fixture.request(repeatable));
    fixture.received(socket);
    socket.close();
    if (repeatable) {
      tcp::socket& fresh = fixture.accepted();
      fixture.received(fresh);
      fixture.say(fresh, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    fixture.run([&] { return outcome->end.has_value(); });
    CHECK(outcome->end == (repeatable ? AttemptOutcome::whole : AttemptOutcome::broken));
    CHECK(fixture.exchange.counts().opened == (repeatable ? 2 : 1));
  }
}

TEST_CASE("repeatable work that a runner took before it was gone may have run, though nobody answers it any more") {
  Fixture fixture;
  tcp::socket& socket = fixture.once();
  auto outcome = fixture.start(fixture.request(true));
  fixture.received(socket);
  fixture.acceptor.close();
  socket.close();
  fixture.run([&] { return outcome->end.has_value(); });
  CHECK(outcome->end == AttemptOutcome::broken);
}

TEST_CASE("bytes after a whole answer, at once or late, are given to no later request") {
  const std::string extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
  for (const bool late : {true, false}) {
    Fixture fixture;
    auto first = fixture.start(fixture.request());
    tcp::socket& socket = fixture.accepted();
    fixture.received(socket);
    fixture.say(socket, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok" +
                            (late ? std::string() : extra));
    fixture.run([&] { return first->end.has_value(); });
    CHECK(first->text == "ok");
    // Not even noticed by the loop yet: the look at the connection before it is used finds them.
    if (late) fixture.say(socket, extra);
    auto second = fixture.start(fixture.request());
    tcp::socket& fresh = fixture.accepted();
    fixture.received(fresh);
    fixture.say(fresh, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    fixture.run([&] { return second->end.has_value(); });
    CHECK(second->text == "own");
    CHECK(fixture.exchange.counts().opened == 2);
  }
}

TEST_CASE("a connection whose runner says that it closes, or keeps idle ones for no time, is not kept") {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"}) {
    Fixture fixture;
    fixture.next_head = head;
    fixture.once();
    auto outcome = fixture.start(fixture.request());
    fixture.received(fixture.accepted());
    CHECK((fixture.exchange.counts().opened == 2 && fixture.exchange.counts().reused == 0));
  }
}

TEST_CASE("an answer that is no HTTP, or whose end can't be told, is broken; a reset before or after the head too") {
  for (const std::string text :
       {"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nto the end", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ""}) {
    Fixture fixture;
    auto outcome = fixture.start(fixture.request());
    tcp::socket& socket = fixture.accepted();
    fixture.received(socket);
    fixture.say(socket, text);
    fixture.settle();
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
    fixture.run([&] { return outcome->end.has_value(); });
    CHECK(outcome->end == AttemptOutcome::broken);
  }
}

TEST_CASE("an answer without a length ends with its connection in order, and its connection carries nothing more") {
  Fixture fixture;
  auto outcome = fixture.start(fixture.request());
  tcp::socket& socket = fixture.accepted();
  fixture.received(socket);
  fixture.say(socket, "HTTP/1.1 200 OK\r\n\r\nto the end");
  socket.close();
  fixture.run([&] { return outcome->end.has_value(); });
  CHECK((outcome->end == AttemptOutcome::whole && outcome->status == 200 && outcome->text == "to the end"));
  fixture.start(fixture.request());
  fixture.received(fixture.accepted());
  CHECK((fixture.exchange.counts().opened == 2 && fixture.exchange.counts().reused == 0));
}

TEST_CASE("an answer that comes before its long request is sent whole leaves a connection that is not used again") {
  Fixture fixture;
  AttemptRequest request = fixture.request();
  request.body = std::make_shared<const Bytes>(std::string(64u << 20, 'b'));
  auto outcome = fixture.start(request);
  tcp::socket& socket = fixture.accepted();
  fixture.say(socket, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
  fixture.run([&] { return outcome->end.has_value(); });
  CHECK((outcome->end == AttemptOutcome::whole && outcome->text == "ok"));
  auto second = fixture.start(fixture.request());
  fixture.received(fixture.accepted());
  CHECK(fixture.exchange.counts().opened == 2);
  // What the runner reads on is the body and the end of the connection, never the next request.
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

TEST_CASE("a process that was suspended after the decision to send hands over nothing, on a new or a kept connection") {
  for (const bool kept : {false, true}) {
    Fixture fixture;
    tcp::socket* socket = kept ? &fixture.once() : nullptr;
    // One look for the decision, one more for the kept connection's age; the next is right before the write.
    fixture.looks_until_suspension = kept ? 2 : 1;
    auto outcome = fixture.start(fixture.request(true));
    if (!kept) socket = &fixture.accepted();
    fixture.run([&] { return outcome->end.has_value(); });
    CHECK(outcome->end == AttemptOutcome::not_sent);
    CHECK(fixture.looks_until_suspension == -1);
    std::string buffer(100, '\0');
    boost::system::error_code error;
    CHECK(socket->read_some(boost::asio::buffer(buffer), error) == 0);
    CHECK(error == boost::asio::error::eof);
  }
}

TEST_CASE("a process that was suspended during the write resets the connection, and the request may have run") {
  for (const bool kept : {false, true}) {
    Fixture fixture;
    tcp::socket* socket = kept ? &fixture.once() : nullptr;
    fixture.looks_until_suspension = kept ? 3 : 2;
    auto outcome = fixture.start(fixture.request(true));
    if (!kept) socket = &fixture.accepted();
    fixture.run([&] { return outcome->end.has_value(); });
    CHECK(outcome->end == AttemptOutcome::broken);
    CHECK(fixture.exchange.counts().opened == 1);
    std::string buffer(1000, '\0');
    boost::system::error_code error;
    while (!error) socket->read_some(boost::asio::buffer(buffer), error);
    CHECK(error == boost::asio::error::connection_reset);
  }
}

TEST_CASE("a kept connection that ends long after the request was sent does not send it again to the same runner") {
  Fixture fixture;
  tcp::socket& socket = fixture.once(true);
  auto outcome = fixture.start(fixture.request(true));
  fixture.received(socket);
  fixture.suspended += std::chrono::seconds(5);
  socket.close();
  fixture.run([&] { return outcome->end.has_value(); });
  CHECK(outcome->end == AttemptOutcome::broken);
  CHECK(fixture.exchange.counts().opened == 1);
}

TEST_CASE("a runner that nobody can reach got no byte; one that gives nothing is late") {
  Fixture fixture;
  const AttemptRequest request = fixture.request();
  fixture.acceptor.close();
  auto refused = fixture.start(request);
  fixture.run([&] { return refused->end.has_value(); });
  CHECK(refused->end == AttemptOutcome::not_sent);
  Fixture silent;
  AttemptRequest brief = silent.request();
  brief.first_piece = std::chrono::milliseconds(30);
  auto late = silent.start(brief);
  silent.received(silent.accepted());
  silent.run([&] { return late->end.has_value(); });
  CHECK(late->end == AttemptOutcome::late);
}

TEST_CASE("what came in one read is given as one piece, then a pause; a cancelled attempt hears nothing more") {
  Fixture fixture;
  RunnerClient::Id id = 0;
  auto outcome = fixture.start(fixture.request(), &id);
  tcp::socket& socket = fixture.accepted();
  fixture.received(socket);
  fixture.say(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n4\r\nmore\r\n");
  fixture.run([&] { return outcome->pauses > 0; });
  CHECK((outcome->text == "fourmore" && outcome->pieces == 1));
  fixture.exchange.cancel(id);
  fixture.say(socket, "0\r\n\r\n");
  fixture.settle();
  CHECK_FALSE(outcome->end.has_value());
}

TEST_CASE("a held attempt is not read until it is let go") {
  Fixture fixture;
  RunnerClient::Id id = 0;
  auto outcome = fixture.start(fixture.request(), &id);
  outcome->headed = [&] {
    fixture.exchange.hold(id, true);
  };
  tcp::socket& socket = fixture.accepted();
  fixture.received(socket);
  fixture.say(socket, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
  fixture.run([&] { return outcome->status != 0; });
  fixture.say(socket, "eight by");
  fixture.settle();
  CHECK(outcome->text.empty());
  fixture.exchange.hold(id, false);
  fixture.run([&] { return outcome->end.has_value(); });
  CHECK((outcome->text == "eight by" && outcome->end == AttemptOutcome::whole));
}
