// stand-in-runner: plays a model runner with prefill and decode, a slot limit, a cache of prompt prefixes and a cold
// start, and misbehaves on demand. It logs every run by request id. Each piece names the request, the run and its place
// in the stream, so that a caller can tell loss, repetition, splicing and foreign answers.
#include <getopt.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <deque>
#include <iostream>
#include <list>

#include "host/tcp_transport.hpp"
#include "stand_ins/ledger.hpp"

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;
using namespace mothwalk;

namespace {

struct Model {
  std::string name = "runner";
  std::uint32_t slots = 4;
  double prefill_per_kilobyte = 2.0, decode = 8.0, cold = 0;  // milliseconds
  std::string mode = "sound";                                 // sound, dark, slow, truncate, nonsense, lost
  std::uint32_t connections = 0;          // that it takes from all callers together, the rest it resets; 0: no bound
  std::chrono::milliseconds idle{};       // that it keeps idle connections; 0: it closes each after an answer
  std::uint32_t open = 0, most_open = 0;  // connections of callers
  std::uint64_t resets = 0;
  std::int64_t born = Ledger::milliseconds_now();
  std::uint32_t active = 0, most_active = 0, most_active_cold = 0;
  std::uint64_t runs = 0, refused = 0, hits = 0, misses = 0;
  std::deque<std::function<void()>> waiting;
  std::list<std::uint64_t> prefixes;
  std::int64_t busy_milliseconds = 0;

  bool is_cold() const { return cold > 0 && static_cast<double>(Ledger::milliseconds_now() - born) < cold; }
  bool cached(std::uint64_t prefix) {
    auto found = std::find(prefixes.begin(), prefixes.end(), prefix);
    const bool hit = found != prefixes.end();
    if (hit) prefixes.erase(found);
    prefixes.push_front(prefix);
    if (prefixes.size() > 3) prefixes.pop_back();
    ++(hit ? hits : misses);
    return hit;
  }
};

class Call : public std::enable_shared_from_this<Call> {
 public:
  // Connections over which the stand-in itself is asked do not count.
  Call(boost::asio::io_context& context, tcp::socket socket, Model& model, Ledger& ledger, bool counted)
      : context_(context),
        stream_(std::move(socket)),
        timer_(context),
        model_(model),
        ledger_(ledger),
        counted_(counted) {
    if (counted_) model_.most_open = std::max(model_.most_open, ++model_.open);
  }
  ~Call() {
    release();
    if (counted_) --model_.open;
  }
  // Reads one request, for as long as an idle connection is kept.
  void run() {
    parser_.emplace();
    parser_->body_limit(32u << 20);
    given_ = 0;
    if (model_.idle.count() > 0) stream_.expires_after(model_.idle);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                       self->stream_.expires_never();
                       if (!error) self->take();
                     });
  }

 private:
  void take() {
    auto& request = parser_->get();
    const std::string target(request.target());
    if (target == "/stand-in/stats")
      return whole(200, json::serialize(json::object{{"name", model_.name},
                                                     {"active", model_.active},
                                                     {"waiting", model_.waiting.size()},
                                                     {"most_active", model_.most_active},
                                                     {"most_active_cold", model_.most_active_cold},
                                                     {"runs", model_.runs},
                                                     {"refused", model_.refused},
                                                     {"hits", model_.hits},
                                                     {"misses", model_.misses},
                                                     {"open", model_.open},
                                                     {"most_open", model_.most_open},
                                                     {"resets", model_.resets},
                                                     {"busy", model_.busy_milliseconds}}));
    if (target.starts_with("/stand-in/mode/")) {
      model_.mode = target.substr(15);
      return whole(200, "{}");
    }
    if (model_.mode == "dark") return hold();
    if (model_.mode == "nonsense") return raw("this is no HTTP at all\r\n\r\n");
    id_ = std::string(request["X-Request-Id"]);
    const std::string pieces(request["X-Pieces"]);
    pieces_ = pieces.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(pieces));
    if (model_.waiting.size() >= model_.slots) {
      ++model_.refused;
      return whole(429, "{\"refused\":true}");
    }
    if (model_.active < model_.slots) return begin();
    model_.waiting.push_back([weak = weak_from_this()] {
      if (auto self = weak.lock()) self->begin();
    });
    waiting_self_ = shared_from_this();
  }

  void begin() {
    waiting_self_.reset();
    held_ = true;
    ++model_.active;
    ++model_.runs;
    model_.most_active = std::max(model_.most_active, model_.active);
    if (model_.is_cold()) model_.most_active_cold = std::max(model_.most_active_cold, model_.active);
    began_ = Ledger::milliseconds_now();
    run_ = model_.name + "-" + std::to_string(::getpid()) + "-" + std::to_string(model_.runs);
    ledger_.write({{"what", "run"}, {"id", id_}, {"run", run_}, {"runner", model_.name}});
    const std::string& body = parser_->get().body();
    const bool hit = body.size() >= 512 && model_.cached(hash_of(StringView(body).substr(0, 512)));
    const double fresh = hit ? static_cast<double>(body.size()) * 0.1 : static_cast<double>(body.size());
    after(1.0 + fresh / 1024.0 * model_.prefill_per_kilobyte, [this] { decode(); });
  }

  void decode() {
    if (pieces_ == 0) {
      after(model_.decode * 4, [this] {
        if (model_.mode == "lost") return lose();
        ended("whole");
        whole(200, json::serialize(json::object{{"id", id_}, {"run", run_}, {"runner", model_.name}}));
      });
      return;
    }
    raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + connection_header() +
            "\r\n",
        [this] { next_piece(); });
  }

  void next_piece() {
    if (model_.mode == "truncate" && given_ >= pieces_ / 2) {
      ended("truncated");
      beast::error_code ignored;
      stream_.socket().close(ignored);
      return;
    }
    if (given_ == pieces_) {
      ended("whole");
      return raw("0\r\n\r\n", [this] { answered(); });
    }
    after(model_.decode, [this] {
      const std::string text = id_ + " " + run_ + " " + std::to_string(given_++) + " " + std::to_string(pieces_) + "\n";
      raw(beast::buffers_to_string(http::make_chunk(boost::asio::buffer(text))), [this] { next_piece(); });
    });
  }

  void after(double milliseconds, std::function<void()> then) {
    const double factor = (model_.mode == "slow" ? 6.0 : 1.0) * (model_.is_cold() ? 2.0 : 1.0);
    timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * factor * 1000)));
    timer_.async_wait([self = shared_from_this(), then](const boost::system::error_code& error) {
      if (!error) then();
    });
  }

  void ended(const std::string& how) {
    ledger_.write({{"what", "end"}, {"id", id_}, {"run", run_}, {"how", how}});
    release();
  }

  void release() {
    if (!held_) return;
    held_ = false;
    --model_.active;
    model_.busy_milliseconds += Ledger::milliseconds_now() - began_;
    if (model_.waiting.empty() || model_.active >= model_.slots) return;
    auto next = std::move(model_.waiting.front());
    model_.waiting.pop_front();
    boost::asio::post(context_, next);
  }

  // Nothing is answered; a caller that closes its connection frees it.
  void hold() {
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = shared_from_this()](const boost::system::error_code&) {});
  }

  void whole(int status, const std::string& body) {
    raw("HTTP/1.1 " + std::to_string(status) + " Said\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n" + connection_header() + "\r\n" + body,
        [this] { answered(); });
  }

  std::string connection_header() const {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(model_.idle).count();
    return seconds > 0 ? "Keep-Alive: timeout=" + std::to_string(seconds) + "\r\n" : "Connection: close\r\n";
  }

  void answered() { model_.idle >= std::chrono::seconds(1) ? run() : close(); }

  // The work is done, and nobody hears of it.
  void lose() {
    ended("lost");
    boost::system::error_code ignored;
    stream_.socket().close(ignored);
  }

  void raw(
      std::string text, std::function<void()> then = [] {}) {
    out_ = std::move(text);
    boost::asio::async_write(stream_.socket(), boost::asio::buffer(out_),
                             [self = shared_from_this(), then](const boost::system::error_code& error, std::size_t) {
                               if (!error) then();
                             });
  }

  void close() {
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  }

  boost::asio::io_context& context_;
  beast::tcp_stream stream_;
  boost::asio::steady_timer timer_;
  Model& model_;
  Ledger& ledger_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string out_, id_, run_;
  std::uint32_t pieces_ = 0, given_ = 0;
  bool held_ = false;
  const bool counted_;
  std::int64_t began_ = 0;
  std::shared_ptr<Call> waiting_self_;
};

}  // namespace

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  Model model;
  std::string address, control, ledger_path;
  const option options[] = {{"address", 1, nullptr, 'a'}, {"name", 1, nullptr, 'n'},        {"slots", 1, nullptr, 's'},
                            {"ledger", 1, nullptr, 'l'},  {"prefill", 1, nullptr, 'p'},     {"decode", 1, nullptr, 'd'},
                            {"cold", 1, nullptr, 'c'},    {"connections", 1, nullptr, 'm'}, {"idle", 1, nullptr, 'i'},
                            {"control", 1, nullptr, 'o'}, {nullptr, 0, nullptr, 0}};
  for (int found = 0; (found = getopt_long(count, words, "", options, nullptr)) != -1;) {
    if (found == 'a')
      address = optarg;
    else if (found == 'n')
      model.name = optarg;
    else if (found == 's')
      model.slots = static_cast<std::uint32_t>(std::stoul(optarg));
    else if (found == 'l')
      ledger_path = optarg;
    else if (found == 'p')
      model.prefill_per_kilobyte = std::stod(optarg);
    else if (found == 'd')
      model.decode = std::stod(optarg);
    else if (found == 'c')
      model.cold = std::stod(optarg);
    else if (found == 'o')
      control = optarg;
    else if (found == 'm')
      model.connections = static_cast<std::uint32_t>(std::stoul(optarg));
    else if (found == 'i')
      model.idle = std::chrono::milliseconds(std::stol(optarg));
    else
      return 2;
  }
  const auto endpoint = endpoint_of(Address(address));
  if (!endpoint) return std::cerr << "stand-in-runner: --address IP:PORT is missing\n", 2;
  boost::asio::io_context context(1);
  Ledger ledger(ledger_path);
  tcp::acceptor callers(context, *endpoint, true);
  std::optional<tcp::acceptor> own;
  if (!control.empty()) {
    const auto control_endpoint = endpoint_of(Address(control));
    if (!control_endpoint) return std::cerr << "stand-in-runner: --control is no IP:PORT\n", 2;
    own.emplace(context, *control_endpoint, true);
  }
  std::function<void(tcp::acceptor&, bool)> accept = [&](tcp::acceptor& acceptor, bool counted) {
    acceptor.async_accept([&, counted](const boost::system::error_code& error, tcp::socket socket) {
      boost::system::error_code ignored;
      if (!error && counted && model.connections > 0 && model.open >= model.connections) {
        ++model.resets;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
      } else if (!error) {
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<Call>(context, std::move(socket), model, ledger, counted)->run();
      }
      accept(acceptor, counted);
    });
  };
  accept(callers, true);
  if (own) accept(*own, false);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
