// stand-in-runner: a test double of a model runner. It simulates prefill and decode times, a slot limit, a cache of
// prompt prefixes and a cold start, and it misbehaves on request. It writes each run with its request id to a ledger.
// Each piece of a streamed response contains the request id, the run id and its index, so that a client can detect
// lost, repeated and mixed pieces and responses to other requests.
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

// The settings and counters of the simulated runner, shared by all of its connections.
struct RunnerState {
  std::string name = "runner";
  std::uint32_t slots = 4;
  // The decode time is the time for each piece of a response. The cold period follows the start of the process.
  double prefill_milliseconds_per_kilobyte = 2.0, decode_milliseconds = 8.0, cold_milliseconds = 0;
  // "sound" responds normally, "dark" sends no response, "slow" takes six times as long, "truncate" closes the
  // connection in the middle of a stream, "nonsense" sends bytes that are not HTTP, and "lost" completes a run without
  // a response, except for streams.
  std::string mode = "sound";
  // Connections of clients beyond this number are reset. Zero means no limit.
  std::uint32_t max_connections = 0;
  // How long an idle connection stays open. With zero, each connection is closed after its response.
  std::chrono::milliseconds idle_timeout{};
  // Only connections of clients count here, not those for the control endpoints of the stand-in.
  std::uint32_t open_connections = 0, max_open_connections = 0;
  std::uint64_t reset_connections = 0;
  std::int64_t started_at = Ledger::milliseconds_now();
  std::uint32_t active_runs = 0, max_active_runs = 0, max_active_runs_cold = 0;
  std::uint64_t run_count = 0, refused_requests = 0, cache_hits = 0, cache_misses = 0;
  std::deque<std::function<void()>> queued_requests;
  std::list<std::uint64_t> prefixes;
  std::int64_t busy_milliseconds = 0;

  bool is_cold() const {
    return cold_milliseconds > 0 && static_cast<double>(Ledger::milliseconds_now() - started_at) < cold_milliseconds;
  }
  // Marks the prefix as the most recently used one and returns whether it was cached. The cache holds three prefixes.
  bool use_cached_prefix(std::uint64_t prefix) {
    auto position = std::find(prefixes.begin(), prefixes.end(), prefix);
    const bool hit = position != prefixes.end();
    if (hit) prefixes.erase(position);
    prefixes.push_front(prefix);
    if (prefixes.size() > 3) prefixes.pop_back();
    ++(hit ? cache_hits : cache_misses);
    return hit;
  }
};

// One connection, of a client or to the control endpoints. It reads and answers requests one after the other.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // Connections to the control endpoints (`from_client` is false) do not count toward the connection limit.
  Connection(boost::asio::io_context& context, tcp::socket socket, RunnerState& state, Ledger& ledger, bool from_client)
      : context_(context),
        stream_(std::move(socket)),
        timer_(context),
        state_(state),
        ledger_(ledger),
        from_client_(from_client) {
    if (from_client_) state_.max_open_connections = std::max(state_.max_open_connections, ++state_.open_connections);
  }
  ~Connection() {
    release_slot();
    if (from_client_) --state_.open_connections;
  }
  // Waits for one request, at most for the idle timeout if there is one.
  void read_request() {
    parser_.emplace();
    parser_->body_limit(32u << 20);
    sent_pieces_ = 0;
    if (state_.idle_timeout.count() > 0) stream_.expires_after(state_.idle_timeout);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                       self->stream_.expires_never();
                       if (!error) self->handle_request();
                     });
  }

 private:
  void handle_request() {
    auto& request = parser_->get();
    const std::string target(request.target());
    if (target == "/stand-in/stats")
      return send_response(200, json::serialize(json::object{{"name", state_.name},
                                                             {"active", state_.active_runs},
                                                             {"waiting", state_.queued_requests.size()},
                                                             {"most_active", state_.max_active_runs},
                                                             {"most_active_cold", state_.max_active_runs_cold},
                                                             {"runs", state_.run_count},
                                                             {"refused", state_.refused_requests},
                                                             {"hits", state_.cache_hits},
                                                             {"misses", state_.cache_misses},
                                                             {"open", state_.open_connections},
                                                             {"most_open", state_.max_open_connections},
                                                             {"resets", state_.reset_connections},
                                                             {"busy", state_.busy_milliseconds}}));
    if (target.starts_with("/stand-in/mode/")) {
      state_.mode = target.substr(15);
      return send_response(200, "{}");
    }
    if (state_.mode == "dark") return wait_for_disconnect();
    if (state_.mode == "nonsense") return write_bytes("this is no HTTP at all\r\n\r\n");
    id_ = std::string(request["X-Request-Id"]);
    const std::string pieces(request["X-Pieces"]);
    piece_count_ = pieces.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(pieces));
    if (state_.queued_requests.size() >= state_.slots) {
      ++state_.refused_requests;
      return send_response(429, "{\"refused\":true}");
    }
    if (state_.active_runs < state_.slots) return start_run();
    state_.queued_requests.push_back([weak_self = weak_from_this()] {
      if (auto self = weak_self.lock()) self->start_run();
    });
    self_while_queued_ = shared_from_this();
  }

  void start_run() {
    self_while_queued_.reset();
    occupies_slot_ = true;
    ++state_.active_runs;
    ++state_.run_count;
    state_.max_active_runs = std::max(state_.max_active_runs, state_.active_runs);
    if (state_.is_cold()) state_.max_active_runs_cold = std::max(state_.max_active_runs_cold, state_.active_runs);
    run_started_at_ = Ledger::milliseconds_now();
    run_ = state_.name + "-" + std::to_string(::getpid()) + "-" + std::to_string(state_.run_count);
    ledger_.write({{"what", "run"}, {"id", id_}, {"run", run_}, {"runner", state_.name}});
    const std::string& body = parser_->get().body();
    const bool hit = body.size() >= 512 && state_.use_cached_prefix(hash_of(StringView(body).substr(0, 512)));
    const double uncached_bytes = hit ? static_cast<double>(body.size()) * 0.1 : static_cast<double>(body.size());
    run_after(1.0 + uncached_bytes / 1024.0 * state_.prefill_milliseconds_per_kilobyte, [this] { decode(); });
  }

  void decode() {
    if (piece_count_ == 0) {
      run_after(state_.decode_milliseconds * 4, [this] {
        if (state_.mode == "lost") return close_without_response();
        record_end("whole");
        send_response(200, json::serialize(json::object{{"id", id_}, {"run", run_}, {"runner", state_.name}}));
      });
      return;
    }
    write_bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
                    connection_header() + "\r\n",
                [this] { send_next_piece(); });
  }

  void send_next_piece() {
    if (state_.mode == "truncate" && sent_pieces_ >= piece_count_ / 2) {
      record_end("truncated");
      beast::error_code ignored;
      stream_.socket().close(ignored);
      return;
    }
    if (sent_pieces_ == piece_count_) {
      record_end("whole");
      return write_bytes("0\r\n\r\n", [this] { finish_response(); });
    }
    run_after(state_.decode_milliseconds, [this] {
      const std::string text =
          id_ + " " + run_ + " " + std::to_string(sent_pieces_++) + " " + std::to_string(piece_count_) + "\n";
      write_bytes(beast::buffers_to_string(http::make_chunk(boost::asio::buffer(text))), [this] { send_next_piece(); });
    });
  }

  // Calls back after this time, prolonged where the mode is "slow" or the runner is cold.
  void run_after(double milliseconds, std::function<void()> callback) {
    const double factor = (state_.mode == "slow" ? 6.0 : 1.0) * (state_.is_cold() ? 2.0 : 1.0);
    timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * factor * 1000)));
    timer_.async_wait([self = shared_from_this(), callback](const boost::system::error_code& error) {
      if (!error) callback();
    });
  }

  // Writes the end of the run to the ledger and releases its slot.
  void record_end(const std::string& how) {
    ledger_.write({{"what", "end"}, {"id", id_}, {"run", run_}, {"how", how}});
    release_slot();
  }

  // Releases the slot of this run and starts the next queued request.
  void release_slot() {
    if (!occupies_slot_) return;
    occupies_slot_ = false;
    --state_.active_runs;
    state_.busy_milliseconds += Ledger::milliseconds_now() - run_started_at_;
    if (state_.queued_requests.empty() || state_.active_runs >= state_.slots) return;
    auto next = std::move(state_.queued_requests.front());
    state_.queued_requests.pop_front();
    boost::asio::post(context_, next);
  }

  // Sends no response and keeps the connection until the client closes it.
  void wait_for_disconnect() {
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = shared_from_this()](const boost::system::error_code&) {});
  }

  void send_response(int status, const std::string& body) {
    write_bytes("HTTP/1.1 " + std::to_string(status) + " Said\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n" + connection_header() + "\r\n" + body,
                [this] { finish_response(); });
  }

  std::string connection_header() const {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(state_.idle_timeout).count();
    return seconds > 0 ? "Keep-Alive: timeout=" + std::to_string(seconds) + "\r\n" : "Connection: close\r\n";
  }

  void finish_response() { state_.idle_timeout >= std::chrono::seconds(1) ? read_request() : close(); }

  // Records the run as done, but closes the connection without a response.
  void close_without_response() {
    record_end("lost");
    boost::system::error_code ignored;
    stream_.socket().close(ignored);
  }

  void write_bytes(
      std::string text, std::function<void()> callback = [] {}) {
    write_buffer_ = std::move(text);
    boost::asio::async_write(
        stream_.socket(), boost::asio::buffer(write_buffer_),
        [self = shared_from_this(), callback](const boost::system::error_code& error, std::size_t) {
          if (!error) callback();
        });
  }

  void close() {
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  }

  boost::asio::io_context& context_;
  beast::tcp_stream stream_;
  boost::asio::steady_timer timer_;
  RunnerState& state_;
  Ledger& ledger_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string write_buffer_, id_, run_;
  std::uint32_t piece_count_ = 0, sent_pieces_ = 0;
  bool occupies_slot_ = false;
  const bool from_client_;
  std::int64_t run_started_at_ = 0;
  // Keeps this connection alive while its request waits in the queue.
  std::shared_ptr<Connection> self_while_queued_;
};

}  // namespace

int main(int argument_count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  RunnerState state;
  std::string address, control, ledger_path;
  const option option_list[] = {
      {"address", 1, nullptr, 'a'}, {"name", 1, nullptr, 'n'},        {"slots", 1, nullptr, 's'},
      {"ledger", 1, nullptr, 'l'},  {"prefill", 1, nullptr, 'p'},     {"decode", 1, nullptr, 'd'},
      {"cold", 1, nullptr, 'c'},    {"connections", 1, nullptr, 'm'}, {"idle", 1, nullptr, 'i'},
      {"control", 1, nullptr, 'o'}, {nullptr, 0, nullptr, 0}};
  for (int option_code = 0; (option_code = getopt_long(argument_count, arguments, "", option_list, nullptr)) != -1;) {
    if (option_code == 'a')
      address = optarg;
    else if (option_code == 'n')
      state.name = optarg;
    else if (option_code == 's')
      state.slots = static_cast<std::uint32_t>(std::stoul(optarg));
    else if (option_code == 'l')
      ledger_path = optarg;
    else if (option_code == 'p')
      state.prefill_milliseconds_per_kilobyte = std::stod(optarg);
    else if (option_code == 'd')
      state.decode_milliseconds = std::stod(optarg);
    else if (option_code == 'c')
      state.cold_milliseconds = std::stod(optarg);
    else if (option_code == 'o')
      control = optarg;
    else if (option_code == 'm')
      state.max_connections = static_cast<std::uint32_t>(std::stoul(optarg));
    else if (option_code == 'i')
      state.idle_timeout = std::chrono::milliseconds(std::stol(optarg));
    else
      return 2;
  }
  const auto endpoint = endpoint_of(Address(address));
  if (!endpoint) return std::cerr << "stand-in-runner: --address is missing or not of the form IP:PORT\n", 2;
  boost::asio::io_context context(1);
  Ledger ledger(ledger_path);
  tcp::acceptor client_acceptor(context, *endpoint, true);
  std::optional<tcp::acceptor> control_acceptor;
  if (!control.empty()) {
    const auto control_endpoint = endpoint_of(Address(control));
    if (!control_endpoint) return std::cerr << "stand-in-runner: --control is not of the form IP:PORT\n", 2;
    control_acceptor.emplace(context, *control_endpoint, true);
  }
  std::function<void(tcp::acceptor&, bool)> accept_next = [&](tcp::acceptor& acceptor, bool from_client) {
    acceptor.async_accept([&, from_client](const boost::system::error_code& error, tcp::socket socket) {
      boost::system::error_code ignored;
      if (!error && from_client && state.max_connections > 0 && state.open_connections >= state.max_connections) {
        ++state.reset_connections;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
      } else if (!error) {
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<Connection>(context, std::move(socket), state, ledger, from_client)->read_request();
      }
      accept_next(acceptor, from_client);
    });
  };
  accept_next(client_acceptor, true);
  if (control_acceptor) accept_next(*control_acceptor, false);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
