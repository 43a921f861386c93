// One attempt: a connection, its request, the head and the body piece by piece, each step under its budget. A
// connection is always being read, so that its end, or an answer that nobody waits for, is seen while it is idle.
#include "host/beast_runner_client.hpp"

#include <algorithm>
#include <array>

#include "host/http_reader.hpp"
#include "host/tcp_transport.hpp"
#include "interfaces/dialect.hpp"

namespace mothwalk {

using boost::asio::ip::tcp;

namespace {
constexpr Duration unstated_idle =
    std::chrono::milliseconds(800);  // where a runner does not say how long it keeps idle ones
constexpr std::size_t input_bytes = 8192;

std::string pool_key(const Address& to, const std::string& runner) {
  return to.text + " " + runner;
}

std::string head_of(const AttemptRequest& request) {
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  bool host = false;
  for (const auto& header : request.headers) {
    host = host || same_name(header.name, "Host");
    head.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!host) head.append("Host: ").append(request.to.text).append("\r\n");
  const std::size_t length = request.body ? request.body->size() : 0;
  if (length > 0 || (request.method != "GET" && request.method != "HEAD"))
    head.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
  return head += "\r\n";
}

// The seconds of "timeout=5, max=100".
std::optional<Duration> idle_of(const std::vector<Header>& headers) {
  const std::string* text = header_of(headers, "Keep-Alive");
  if (text == nullptr) return std::nullopt;
  const auto begin = text->find("timeout=");
  if (begin == std::string::npos) return std::nullopt;
  std::int64_t seconds = 0;
  for (std::size_t index = begin + 8;
       index < text->size() && (*text)[index] >= '0' && (*text)[index] <= '9' && seconds < 3600; ++index)
    seconds = seconds * 10 + ((*text)[index] - '0');
  return std::chrono::seconds(seconds);
}
}  // namespace

struct BeastRunnerClient::Connection {
  Connection(boost::asio::io_context& context, std::uint64_t given, std::string key_given)
      : number(given), key(std::move(key_given)), socket(context) {}
  std::uint64_t number;
  std::string key;
  tcp::socket socket;
  std::array<char, input_bytes> input;
  std::size_t filled = 0;
  bool closed = false, reading = false, used_before = false;
  TimePoint used;
  Duration idle = unstated_idle;

  // Of the attempt that it carries; no watcher: idle.
  Id id = 0;
  TimePoint decided;  // when its caller decided to send it
  std::shared_ptr<AttemptObserver> watcher;
  AttemptRequest request;
  std::string head;
  std::size_t sent = 0;
  bool sent_before = false;  // bytes of it left over another connection, whose runner may have run it
  bool connected = false, written = false, held = false, any_byte = false, any_piece = false, headed = false;
  std::optional<HttpReader<false>> reader;
};

BeastRunnerClient::~BeastRunnerClient() {
  for (auto& [number, connection] : connections_) {
    connection->closed = true;
    connection->watcher.reset();
    boost::system::error_code ignored;
    connection->socket.close(ignored);
  }
}

RunnerClient::Id BeastRunnerClient::start(const AttemptRequest& given, std::shared_ptr<AttemptObserver> watcher) {
  return start_decided(given, std::move(watcher), clock_());
}

RunnerClient::Id BeastRunnerClient::start_decided(const AttemptRequest& given, std::shared_ptr<AttemptObserver> watcher,
                                                  TimePoint decided) {
  const Id id = ++last_;
  const std::string key = pool_key(given.to, given.runner);
  ConnectionPointer connection = idle_for(key, given.repeatable);
  const bool kept = connection != nullptr;
  if (!kept) {
    connection = std::make_shared<Connection>(context_, ++last_connection_, key);
    connections_[connection->number] = connection;
    Pool& pool = pools_[key];
    ++pool.open;
    if (given.connections > 0 && pool.open > given.connections && !pool.idle.empty())
      close(ConnectionPointer(pool.idle.front()));
  }
  attempts_[id] = connection;
  connection->id = id;
  connection->decided = decided;
  connection->watcher = std::move(watcher);
  connection->request = given;
  connection->head = head_of(given);
  connection->sent = 0;
  connection->sent_before = false;
  connection->written = connection->held = connection->any_byte = connection->any_piece = connection->headed = false;
  connection->used_before = kept;
  connection->reader.emplace();
  connection->reader->header_limit(16384);
  connection->reader->body_limit(boost::none);
  if (given.method == "HEAD") connection->reader->skip(true);
  if (kept) {
    ++counts_.reused;
    write_first(connection);
  } else {
    connect(connection);
  }
  return id;
}

// The idle connection used last, if it is good enough for this work.
BeastRunnerClient::ConnectionPointer BeastRunnerClient::idle_for(const std::string& key, bool repeatable) {
  auto found = pools_.find(key);
  if (found == pools_.end()) return nullptr;
  const TimePoint now = clock_();
  while (!found->second.idle.empty()) {
    const ConnectionPointer connection = found->second.idle.back();
    const Duration age = now - connection->used;
    if (age * 2 > connection->idle && !repeatable && age * 4 < connection->idle * 3) return nullptr;
    boost::system::error_code error;
    char byte = 0;
    if (age * 4 < connection->idle * 3)
      connection->socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == boost::asio::error::would_block) {
      found->second.idle.pop_back();
      return connection;
    }
    close(connection);
    found = pools_.find(key);
    if (found == pools_.end()) return nullptr;
  }
  return nullptr;
}

void BeastRunnerClient::connect(const ConnectionPointer& connection) {
  const auto endpoint = endpoint_of(connection->request.to);
  boost::system::error_code error;
  if (endpoint) connection->socket.open(endpoint->protocol(), error);
  if (!endpoint || error) {
    boost::asio::post(context_, [this, connection] { finish(connection, AttemptOutcome::not_sent); });
    return;
  }
  ++counts_.opened;
  deadlines_.set(connection->number, connection->decided + connection->request.connecting);
  connection->socket.async_connect(*endpoint, [this, connection](const boost::system::error_code& failed) {
    if (connection->closed) return;
    if (failed) return finish(connection, AttemptOutcome::not_sent);
    connection->connected = true;
    boost::system::error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    connection->socket.non_blocking(true, ignored);
    write_first(connection);
    if (!connection->closed) read(connection);
  });
}

bool BeastRunnerClient::outdated(const Connection& connection) const {
  return clock_() - connection.decided > connection.request.connecting;
}

// A process that was suspended since the decision wakes with a configuration that may be old: it sends nothing. Where
// the suspension fell between the check and the end of the write, the runner may have begun, and is reset at once.
void BeastRunnerClient::write_first(const ConnectionPointer& connection) {
  auto later = [this, connection, id = connection->id](AttemptOutcome end) {
    boost::asio::post(context_, [this, connection, id, end] {
      if (connection->id == id) finish(connection, end);
    });
  };
  if (outdated(*connection)) return later(AttemptOutcome::not_sent);
  write(connection);
  if (connection->sent == 0 || !outdated(*connection)) return;
  boost::system::error_code ignored;
  connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  connection->socket.close(ignored);
  later(AttemptOutcome::broken);
}

void BeastRunnerClient::write(const ConnectionPointer& connection) {
  const std::size_t body = connection->request.body ? connection->request.body->size() : 0;
  const std::size_t whole = connection->head.size() + body;
  boost::system::error_code error;
  while (connection->sent < whole && !error) {
    std::array<boost::asio::const_buffer, 2> buffers;
    const std::size_t of_body =
        connection->sent > connection->head.size() ? connection->sent - connection->head.size() : 0;
    buffers[0] = boost::asio::buffer(connection->head) + connection->sent;
    if (body > 0) buffers[1] = boost::asio::buffer(*connection->request.body) + of_body;
    connection->sent += connection->socket.write_some(buffers, error);
  }
  deadlines_.set(connection->number, steady_now() + connection->request.first_piece);
  if (connection->sent == whole) {
    connection->written = true;
    return;
  }
  if (error == boost::asio::error::would_block) {
    connection->socket.async_wait(tcp::socket::wait_write,
                                  [this, connection, id = connection->id](const boost::system::error_code& failed) {
                                    if (failed || connection->closed || connection->id != id) return;
                                    connection->sent == 0 ? write_first(connection) : write(connection);
                                  });
    return;
  }
  // A runner may answer and close before it has read all: its answer is read all the same.
  if (connection->sent == 0)
    boost::asio::post(context_, [this, connection, id = connection->id] {
      if (connection->id == id) broken(connection);
    });
}

void BeastRunnerClient::read(const ConnectionPointer& connection) {
  if (connection->held || connection->reading || connection->closed) return;
  connection->reading = true;
  connection->socket.async_read_some(
      boost::asio::buffer(connection->input.data() + connection->filled, connection->input.size() - connection->filled),
      [this, connection](const boost::system::error_code& error, std::size_t count) {
        connection->reading = false;
        if (connection->closed) return;
        if (!connection->watcher) {
          // Its end, or an answer that nobody asked for.
          counts_.unasked += !error;
          return close(connection);
        }
        if (error) return input_ended(connection, error);
        take(connection, count);
      });
}

void BeastRunnerClient::take(const ConnectionPointer& connection, std::size_t count) {
  connection->filled += count;
  connection->any_byte = true;
  HttpReader<false>& reader = *connection->reader;
  boost::system::error_code error;
  const std::size_t used = reader.feed(StringView(connection->input.data(), connection->filled), error);
  std::copy(connection->input.begin() + static_cast<std::ptrdiff_t>(used),
            connection->input.begin() + static_cast<std::ptrdiff_t>(connection->filled), connection->input.begin());
  connection->filled -= used;
  const std::shared_ptr<AttemptObserver> watcher = connection->watcher;
  const Id id = connection->id;
  auto mine = [&] {
    return !connection->closed && connection->id == id;
  };
  if (reader.is_header_done() && !connection->headed) {
    connection->headed = true;
    if (error || reader.status < 200 || reader.status > 599) return finish(connection, AttemptOutcome::broken);
    if (const auto idle = idle_of(reader.headers)) connection->idle = *idle;
    watcher->on_head(reader.status, reader.headers);
    if (!mine()) return;
  }
  if (!reader.body.empty()) {
    connection->any_piece = true;
    const Bytes piece = std::exchange(reader.body, {});
    watcher->on_chunk(piece);
    if (!mine()) return;
  }
  if (error || (connection->filled == connection->input.size() && used == 0))
    return finish(connection, AttemptOutcome::broken);
  if (reader.is_done()) return finish(connection, AttemptOutcome::whole);
  watcher->on_pause();
  if (!mine()) return;
  if (connection->held)
    deadlines_.clear(connection->number);
  else
    deadlines_.set(connection->number, steady_now() + (connection->any_piece ? connection->request.between_pieces
                                                                             : connection->request.first_piece));
  read(connection);
}

// An answer without a length or chunks is whole where its connection ends in order; a reset is a break.
void BeastRunnerClient::input_ended(const ConnectionPointer& connection, const boost::system::error_code& error) {
  const bool unframed = connection->headed && connection->reader->need_eof();
  if (error != boost::asio::error::eof || !unframed) return broken(connection);
  finish(connection, AttemptOutcome::whole);
}

// The connection ended before the answer did. Where that was one kept since an earlier request, and no byte of an
// answer came, repeatable work goes again over a fresh one, while the decision to send it to this runner is fresh; any
// work does where nothing was written.
void BeastRunnerClient::broken(const ConnectionPointer& connection) {
  const bool again = connection->used_before && !connection->any_byte && !outdated(*connection) &&
                     (connection->request.repeatable || connection->sent == 0);
  if (!again)
    return finish(connection,
                  !connection->any_byte && connection->sent == 0 ? AttemptOutcome::not_sent : AttemptOutcome::broken);
  ++counts_.stale;
  const Id id = connection->id;
  AttemptRequest request = std::move(connection->request);
  const TimePoint decided = connection->decided;
  const bool sent_before = connection->sent_before || connection->sent > 0;
  auto watcher = std::move(connection->watcher);
  connection->watcher.reset();
  const std::string key = connection->key;
  close(connection);
  close_idle_of(key);
  const Id fresh = start_decided(request, std::move(watcher), decided);
  auto taken = attempts_.extract(fresh);
  taken.mapped()->id = id;
  taken.mapped()->sent_before = sent_before;
  taken.key() = id;
  attempts_.insert(std::move(taken));
}

void BeastRunnerClient::finish(const ConnectionPointer& connection, AttemptOutcome end) {
  if (!connection->watcher || connection->closed) return;
  const auto watcher = std::exchange(connection->watcher, nullptr);
  attempts_.erase(connection->id);
  if (end == AttemptOutcome::not_sent && connection->sent_before) end = AttemptOutcome::broken;
  const bool kept = end == AttemptOutcome::whole && connection->written && connection->filled == 0 &&
                    connection->reader->is_done() && connection->reader->keep_alive() &&
                    connection->idle > Duration{} && connection->request.keep_connection;
  if (!kept) {
    counts_.unasked += end == AttemptOutcome::whole && connection->filled > 0;
    close(connection);
  } else {
    connection->request = {};
    connection->held = false;
    connection->used = clock_();
    pools_[connection->key].idle.push_back(connection);
    deadlines_.set(connection->number, connection->used + connection->idle * 3 / 4);
    read(connection);
  }
  watcher->on_end(end);
}

void BeastRunnerClient::close(const ConnectionPointer& given) {
  const ConnectionPointer connection = given;
  if (connection->closed) return;
  connection->closed = true;
  connection->watcher.reset();
  attempts_.erase(connection->id);
  deadlines_.clear(connection->number);
  connections_.erase(connection->number);
  if (auto pool = pools_.find(connection->key); pool != pools_.end()) {
    std::erase(pool->second.idle, connection);
    if (--pool->second.open == 0) pools_.erase(pool);
  }
  boost::system::error_code ignored;
  connection->socket.close(ignored);
}

void BeastRunnerClient::close_idle_of(const std::string& key) {
  auto pool = pools_.find(key);
  while (pool != pools_.end() && !pool->second.idle.empty()) {
    close(ConnectionPointer(pool->second.idle.back()));
    pool = pools_.find(key);
  }
}

void BeastRunnerClient::close_idle(const Address& to, const std::string& runner) {
  close_idle_of(pool_key(to, runner));
}

std::size_t BeastRunnerClient::connections(const Address& to, const std::string& runner) const {
  auto pool = pools_.find(pool_key(to, runner));
  return pool == pools_.end() ? 0 : pool->second.open;
}

void BeastRunnerClient::due(std::uint64_t key) {
  auto found = connections_.find(key);
  if (found == connections_.end()) return;
  const ConnectionPointer connection = found->second;
  if (!connection->watcher) return close(connection);
  finish(connection, connection->connected ? AttemptOutcome::late : AttemptOutcome::not_sent);
}

void BeastRunnerClient::hold(Id id, bool held) {
  auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second->held == held) return;
  const ConnectionPointer connection = found->second;
  connection->held = held;
  if (held || !connection->connected) return;
  deadlines_.set(connection->number, steady_now() + connection->request.between_pieces);
  read(connection);
}

void BeastRunnerClient::cancel(Id id) {
  auto found = attempts_.find(id);
  if (found != attempts_.end()) close(ConnectionPointer(found->second));
}

}  // namespace mothwalk
