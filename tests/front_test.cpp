// The front and the exchange together over real connections: a caller, the router and a runner that the test plays.
#include <sys/resource.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <iostream>
#include <thread>

#include "host/beast_runner_client.hpp"
#include "host/front.hpp"

using namespace mothwalk;
using boost::asio::ip::tcp;

namespace {

class SilentWire : public Transport {
 public:
  void send(const Address&, Envelope) override {}
};

const std::string get = "GET /pay HTTP/1.1\r\nHost: here\r\n\r\n";

struct Fixture {
  boost::asio::io_context context{1};
  AsioTimers timers{context};
  SystemRandom random{1};
  SilentWire wire;
  Messenger messenger{wire, timers, Address("127.0.0.1:1"), 1, "routes"};
  SharedState shared_state;
  BeastRunnerClient exchange{context};
  Router router{messenger, shared_state, exchange, random, Member{}};
  std::vector<ControlRequest> controls;
  ControlReply reply{200, json::object{{"good", true}}};
  Front front;
  tcp::acceptor runner{context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  tcp::endpoint callers;
  ConfigurationView view;

  explicit Fixture(Front::ToControlSide rule = {})
      : front(
            context, router,
            [this](ControlRequest request, ControlAnswer answer) {
              controls.push_back(std::move(request));
              answer(reply);
              return true;
            },
            100, std::move(rule)) {
    tcp::acceptor probe(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    callers = probe.local_endpoint();
    probe.close();
    REQUIRE(error_of(front.listen(Address("127.0.0.1:" + std::to_string(callers.port())), true)) == nullptr);
    put("kind/model", R"({"overcommit":100})");
    put("lane/pay", R"({"path":"/","kind":"model"})");
    put("runner/one", R"({"kind":"model","address":"127.0.0.1:)" + std::to_string(runner.local_endpoint().port()) +
                          R"(","zone":"north","slots":40})");
    put("circle/model", R"({"members":["one"],"warm":["one"]})");
    shared_state.lease_until = INT64_MAX / 2;
    router.start();
  }
  void put(const std::string& key, const Bytes& value) {
    REQUIRE(put_in_view(view, key, &value, Stamp{}));
    shared_state.configuration.set(view);
  }
  void run(const std::function<bool()>& until) {
    while (!until()) context.run_one_for(std::chrono::seconds(5));
  }
  void settle() {
    while (context.poll() > 0) {}
  }
  tcp::socket call(const std::string& text) {
    tcp::socket socket(context);
    socket.connect(callers);
    boost::asio::write(socket, boost::asio::buffer(text));
    return socket;
  }
  tcp::socket accepted() {
    tcp::socket socket(context);
    bool done = false;
    runner.async_accept(socket, [&](const boost::system::error_code& error) { done = !error; });
    run([&] { return done; });
    return socket;
  }
  // A plain request that the runner has whole.
  struct Relayed {
    tcp::socket caller, runner;
  };
  Relayed relayed() {
    Relayed made{call(get), accepted()};
    until(made.runner, "\r\n\r\n");
    return made;
  }
  // What comes until the text does; or until the end, where that is to come.
  std::string until(tcp::socket& socket, const std::string& end, bool* ended = nullptr) {
    std::string text;
    bool done = false;
    boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(text), end,
                                  [&](const boost::system::error_code& error, std::size_t) {
                                    done = true;
                                    if (ended != nullptr) *ended = error.failed();
                                  });
    run([&] { return done; });
    return text;
  }
  std::string to_the_end(tcp::socket& socket) {
    bool ended = false;
    const std::string text = until(socket, "\1never\1", &ended);
    REQUIRE(ended);
    return text;
  }
};

void say(tcp::socket& socket, const std::string& text) {
  boost::asio::write(socket, boost::asio::buffer(text));
}

}  // namespace

TEST_CASE("an answer passes with its length as the runner gave it, head and body in one piece") {
  Fixture fixture;
  auto [caller, runner] = fixture.relayed();
  say(runner, "HTTP/1.1 201 Made\r\nSeal: s\r\nContent-Length: 4\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\nbody");
  const std::string text = fixture.until(caller, "body");
  CHECK(text.starts_with("HTTP/1.1 201 Created\r\n"));
  CHECK((text.find("Seal: s\r\n") != std::string::npos && text.find("Content-Length: 4\r\n") != std::string::npos));
  CHECK((text.find("X-Hop") == std::string::npos && text.find("chunked") == std::string::npos));
}

TEST_CASE("a stream passes event by event as it comes, and its end is told") {
  Fixture fixture;
  auto [caller, runner] = fixture.relayed();
  say(runner, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
  CHECK(fixture.until(caller, "\r\n5\r\nfirst\r\n").find("Transfer-Encoding: chunked\r\n") != std::string::npos);
  say(runner, "6\r\nsecond\r\n");
  CHECK(fixture.until(caller, "second\r\n") == "6\r\nsecond\r\n");
  say(runner, "5\r\nthird\r\n0\r\n\r\n");
  CHECK(fixture.until(caller, "0\r\n\r\n") == "5\r\nthird\r\n0\r\n\r\n");
}

TEST_CASE("an answer that its runner broke off looks broken: no last chunk, or less than its length, and the end") {
  for (const std::string head : {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "Content-Length: 8\r\n\r\nhalf"}) {
    Fixture fixture;
    auto [caller, runner] = fixture.relayed();
    say(runner, "HTTP/1.1 200 OK\r\n" + head);
    runner.close();
    const std::string text = fixture.to_the_end(caller);
    CHECK(text.find("half") != std::string::npos);
    CHECK(text.find("\r\n0\r\n") == std::string::npos);
  }
}

TEST_CASE("a caller that leaves before or amid its answer frees the runner, also where it has sent more ahead") {
  for (const auto& [amid, ahead] : {std::pair{false, false}, {true, false}, {false, true}, {true, true}}) {
    Fixture fixture;
    fixture.put("lane/pay", R"({"path":"/","kind":"model","repeatable":true})");
    auto caller = fixture.call(get);
    if (ahead) {
      fixture.settle();
      say(caller, get);
      fixture.settle();
    }
    auto runner = fixture.accepted();
    fixture.until(runner, "\r\n\r\n");
    if (amid) {
      say(runner, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
      fixture.until(caller, "first");
    }
    caller.close();
    CHECK(fixture.to_the_end(runner).empty());
    CHECK(fixture.router.open() == 0);
  }
}

TEST_CASE("requests sent ahead over one connection are answered in turn, each with its own answer") {
  Fixture fixture;
  auto caller = fixture.call(
      "GET /a HTTP/1.1\r\nHost: here\r\n\r\nPOST /b HTTP/1.1\r\nHost: here\r\nContent-Length: 3\r\n\r\ntwo" + get);
  auto runner = fixture.accepted();
  for (const char* path : {"GET /a ", "POST /b ", "GET /pay "}) {
    const std::string asked = fixture.until(runner, "\r\n\r\n");
    CHECK(asked.starts_with(path));
    say(runner, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 1\r\n\r\n" +
                    std::string(1, path[path[0] == 'P' ? 6 : 5]));
    const std::string text = fixture.until(caller, "\r\n\r\n" + std::string(1, path[path[0] == 'P' ? 6 : 5]));
    CHECK(text.starts_with("HTTP/1.1 200"));
  }
  CHECK(fixture.exchange.counts().opened == 1);
}

TEST_CASE(
    "a large body passes unchanged, in chunks or with a length, and one over the limit is refused before it is read") {
  Fixture fixture;
  std::string body;
  for (int count = 0; body.size() < 200000; ++count) body += std::to_string(count) + " ";
  for (const bool chunked : {false, true}) {
    std::string text = "POST /pay HTTP/1.1\r\nHost: here\r\n";
    if (chunked) {
      std::ostringstream size;
      size << std::hex << body.size();
      text += "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body + "\r\n0\r\n\r\n";
    } else {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    auto caller = fixture.call(get);
    caller.close();
    tcp::socket sender(fixture.context);
    sender.connect(fixture.callers);
    bool sent = false;
    boost::asio::async_write(sender, boost::asio::buffer(text),
                             [&](const boost::system::error_code&, std::size_t) { sent = true; });
    fixture.run([&] { return sent; });
    std::string seen;
    while (seen.find(body) == std::string::npos) {
      auto runner = fixture.accepted();
      bool ended = false;
      seen = fixture.until(runner, body, &ended);
    }
    CHECK(seen.find("Content-Length: " + std::to_string(body.size()) + "\r\n") != std::string::npos);
  }
  fixture.view.limits.body_bytes = 1000;
  fixture.view.limits.header_bytes = 2000;
  fixture.shared_state.configuration.set(fixture.view);
  auto long_body =
      fixture.call("POST /pay HTTP/1.1\r\nHost: here\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'));
  CHECK(fixture.to_the_end(long_body).starts_with("HTTP/1.1 413"));
  auto long_head = fixture.call("GET /pay HTTP/1.1\r\nHost: here\r\nX-Long: " + std::string(3000, 'x') + "\r\n\r\n");
  CHECK(fixture.to_the_end(long_head).starts_with("HTTP/1.1 431"));
  auto nonsense = fixture.call("this is no request\r\n\r\n");
  CHECK(fixture.to_the_end(nonsense).starts_with("HTTP/1.1 400"));
}

TEST_CASE("while the daemon drains, a connection gets its answer and is told that it closes") {
  Fixture fixture;
  fixture.router.serves_while_draining = true;
  auto [caller, runner] = fixture.relayed();
  fixture.shared_state.draining = true;
  say(runner, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
  const std::string text = fixture.to_the_end(caller);
  CHECK((text.find("Connection: close\r\n") != std::string::npos && text.ends_with("ok")));
  // One that was open and comes now is served too.
  auto late = fixture.call(get);
  fixture.until(runner, "\r\n\r\n");
  say(runner, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CHECK(fixture.to_the_end(late).ends_with("ok"));
}

TEST_CASE("a request that comes over a kept connection after the front has closed is refused, not begun") {
  Fixture fixture;
  fixture.router.serves_while_draining = true;
  auto [caller, runner] = fixture.relayed();
  say(runner, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbo");
  CHECK(fixture.until(caller, "bo").find("Connection: close") == std::string::npos);
  fixture.shared_state.draining = true;
  fixture.front.close();
  // It crosses the close on its way.
  say(caller, get);
  say(runner, "dy");
  const std::string text = fixture.to_the_end(caller);
  CHECK(text.starts_with("dyHTTP/1.1 503"));
  CHECK(text.find("Connection: close\r\n") != std::string::npos);
  CHECK(text.find("Retry-After") != std::string::npos);
  CHECK(fixture.router.counts().arrived == 1);
}

TEST_CASE("a front that closes lets idle connections go, and counts those with a request until they are answered") {
  Fixture fixture;
  auto [caller, runner] = fixture.relayed();
  auto idle = fixture.call("");
  fixture.settle();
  CHECK(fixture.front.busy() == 1);
  fixture.front.close();
  CHECK(fixture.to_the_end(idle).empty());
  CHECK(fixture.front.busy() == 1);
  say(runner, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  CHECK(fixture.until(caller, "body").starts_with("HTTP/1.1 200 OK"));
  fixture.settle();
  CHECK(fixture.front.busy() == 0);
}

TEST_CASE("a front counts the requests that it read, and those that got no whole answer by cause") {
  Fixture fixture;
  auto [answered, runner] = fixture.relayed();
  say(runner, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  fixture.until(answered, "body");
  fixture.settle();
  CHECK(fixture.front.counts().read == 1);
  CHECK(fixture.front.counts().answered == 1);
  CHECK(fixture.front.counts().cut.empty());
  auto left = fixture.call(get);
  fixture.run([&] { return fixture.front.counts().read == 2; });
  CHECK(fixture.front.busy_phases() == std::map<std::string, std::size_t>{{"answering", 1}});
  left.close();
  fixture.run([&] { return !fixture.front.counts().cut.empty(); });
  CHECK(fixture.front.counts().cut == std::map<std::string, std::uint64_t>{{"caller left, answering", 1}});
  CHECK(fixture.front.counts().answered == 1);
}

TEST_CASE("the host's rule says which of the callers' requests control answers, with its own headers and body") {
  Fixture fixture([](StringView method, StringView target, const std::vector<Header>& headers) {
    return method == "POST" && target.starts_with("/bulk/") && header_of(headers, "Host") != nullptr;
  });
  fixture.reply.headers = {{"Content-Type", "text/plain"}, {"Retry-After", "0.25"}};
  fixture.reply.raw = "raw\n";
  fixture.reply.retry_after = true;
  auto caller = fixture.call("POST /bulk/1 HTTP/1.1\r\nHost: here\r\nId: 7\r\nContent-Length: 2\r\n\r\n{}");
  const std::string text = fixture.until(caller, "raw\n");
  CHECK((text.find("Content-Type: text/plain\r\n") != std::string::npos &&
         text.find("Content-Length: 4\r\n") != std::string::npos));
  CHECK((text.find("Retry-After: 0.25\r\n") != std::string::npos && text.find("Retry-After: 1") == std::string::npos));
  REQUIRE(fixture.controls.size() == 1);
  CHECK((fixture.controls[0].body == "{}" && fixture.controls[0].callers &&
         header_of(fixture.controls[0].headers, "Id") != nullptr));
  auto live = fixture.call(get);
  fixture.until(*std::make_unique<tcp::socket>(fixture.accepted()), "\r\n\r\n");
  CHECK(fixture.controls.size() == 1);
}

TEST_CASE("an order is not carried out whose operator has left before it was read") {
  Fixture fixture;
  tcp::acceptor probe(fixture.context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  const tcp::endpoint operators = probe.local_endpoint();
  probe.close();
  REQUIRE(error_of(fixture.front.listen(Address("127.0.0.1:" + std::to_string(operators.port())), false)) == nullptr);
  const std::string order = "POST /order HTTP/1.1\r\nHost: here\r\nContent-Length: 2\r\n\r\n{}";
  tcp::socket left(fixture.context), waits(fixture.context);
  left.connect(operators);
  say(left, order);
  left.close();
  fixture.settle();
  CHECK(fixture.controls.empty());
  waits.connect(operators);
  say(waits, order);
  fixture.until(waits, "good");
  CHECK(fixture.controls.size() == 1);
}

TEST_CASE("a caller that takes nothing holds its runner up, and both go on when it takes its answer") {
  Fixture fixture;
  auto [caller, runner] = fixture.relayed();
  const std::string body(48u << 20, 'b');
  say(runner, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
  std::size_t sent = 0;
  bool done = false;
  std::function<void()> more = [&] {
    runner.async_write_some(boost::asio::buffer(body) + sent,
                            [&](const boost::system::error_code& error, std::size_t count) {
                              sent += count;
                              if (error || sent == body.size())
                                done = true;
                              else
                                more();
                            });
  };
  more();
  // Until the runner's writes stand still: what the systems' buffers take is far less than the whole.
  for (std::size_t before = 1; before != sent;) {
    before = sent;
    for (int count = 0; count < 2000; ++count) fixture.context.poll_one();
    fixture.context.run_one_for(std::chrono::milliseconds(30));
  }
  CHECK_FALSE(done);
  std::size_t taken = 0;
  std::string buffer(1u << 20, '\0');
  caller.non_blocking(true);
  while (taken < body.size()) {
    boost::system::error_code error;
    const std::size_t count = caller.read_some(boost::asio::buffer(buffer), error);
    taken += count;
    if (error == boost::asio::error::would_block)
      fixture.context.run_for(std::chrono::milliseconds(2));
    else
      REQUIRE_FALSE(error);
  }
  CHECK(done);
}

// Not run by itself: `tests [.cost]` prints the processor time of one stream of 15 events on the daemon's side.
TEST_CASE("cost of a stream", "[.cost]") {
  const int requests = 400, events = 15;
  Fixture fixture;
  auto thread_time = [] {
    rusage load{};
    ::getrusage(RUSAGE_THREAD, &load);
    return load.ru_utime.tv_sec * 1000000 + load.ru_utime.tv_usec + load.ru_stime.tv_sec * 1000000 +
           load.ru_stime.tv_usec;
  };
  bool over = false;
  std::thread others([&] {
    boost::asio::io_context context;
    tcp::socket caller(context), runner(context);
    caller.connect(fixture.callers);
    const std::string request =
        "POST /pay HTTP/1.1\r\nHost: here\r\nRequest-No: 9c41d07be2a35f68\r\nModel: m\r\nToken-Sizes: "
        "1460,80\r\nPrompt-Pieces: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nTime-Limits: 6000\r\nContent-Length: "
        "24000\r\n\r\n" +
        std::string(24000, 'x');
    std::string buffer(65536, '\0');
    for (int count = 0; count < requests; ++count) {
      boost::asio::write(caller, boost::asio::buffer(request));
      if (count == 0) {
        boost::system::error_code error;
        fixture.runner.accept(runner, error);
      }
      std::string got;
      while (got.find("\r\n\r\n") == std::string::npos || got.size() < got.find("\r\n\r\n") + 4 + 24000)
        got.append(buffer.data(), runner.read_some(boost::asio::buffer(buffer)));
      boost::asio::write(runner, boost::asio::buffer(std::string(
                                     "HTTP/1.1 200 OK\r\nRequest-No: 9c41d07be2a35f68\r\nRunner-Mark: "
                                     "3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nKeep-Alive: "
                                     "timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n")));
      for (int event = 1; event <= events; ++event) {
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + std::string(150, 'd') + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
        if (event == events) chunk << "0\r\n\r\n";
        boost::asio::write(runner, boost::asio::buffer(chunk.str()));
        for (got.clear(); got.find(event == events ? "\r\n0\r\n\r\n" : "\n\n\r\n") == std::string::npos;)
          got.append(buffer.data(), caller.read_some(boost::asio::buffer(buffer)));
      }
    }
    boost::asio::post(fixture.context, [&] { over = true; });
  });
  const auto before = thread_time();
  fixture.run([&] { return over; });
  const auto used = thread_time() - before;
  others.join();
  std::cout << "one stream of " << events << " events, 24 kB asked: " << static_cast<double>(used) / requests
            << " us of processor time, " << fixture.exchange.counts().opened << " connections to runners\n";
}
