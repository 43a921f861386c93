// The steps of an attempt: connecting, writing the request, reading the response header and the body in chunks, each
// with its own time limit. An idle connection is being read as well, so that its end, or data that answers no request,
// is detected at once.
#include "host/beast_runner_client.hpp"

#include <algorithm>
#include <array>

#include "host/http_reader.hpp"
#include "host/tcp_transport.hpp"
#include "interfaces/dialect.hpp"

namespace mothwalk {

using boost::asio::ip::tcp;

namespace {
// Assumed where a runner's response does not state how long the runner keeps idle connections.
constexpr Duration default_idle_timeout = std::chrono::milliseconds(800);
constexpr std::size_t input_bytes = 8192;
// How many ids a connection remembers. A late copy of a response comes in the place of one of the next responses.
constexpr std::size_t remembered_ids = 128;

std::string pool_key(const Address& to, const std::string& runner) {
  return to.text + " " + runner;
}

std::string request_header(const AttemptRequest& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  bool host = false;
  for (const auto& header : request.headers) {
    host = host || same_name(header.name, "Host");
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!host) text.append("Host: ").append(request.to.text).append("\r\n");
  const std::size_t length = request.body ? request.body->size() : 0;
  if (length > 0 || (request.method != "GET" && request.method != "HEAD"))
    text.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
  return text += "\r\n";
}

// Returns the timeout of a Keep-Alive header such as "timeout=5, max=100". The value is in seconds.
std::optional<Duration> keep_alive_timeout(const std::vector<Header>& headers) {
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

// The ids of the last requests of a connection, as hashes. Another id with the same hash costs a new connection.
class RecentIds {
 public:
  void add(const std::string& id) {
    if (id.empty()) return;
    if (hashes_.size() < remembered_ids) {
      hashes_.push_back(hash_of(id));
      return;
    }
    hashes_[oldest_] = hash_of(id);
    oldest_ = (oldest_ + 1) % remembered_ids;
  }
  bool contains(const std::string& id) const {
    return !id.empty() && std::find(hashes_.begin(), hashes_.end(), hash_of(id)) != hashes_.end();
  }

 private:
  std::vector<std::uint64_t> hashes_;
  std::size_t oldest_ = 0;  // The index of the oldest hash once the vector is full.
};
}  // namespace

struct BeastRunnerClient::Connection {
  Connection(boost::asio::io_context& context, std::uint64_t connection_id, std::string pool)
      : id(connection_id), key(std::move(pool)), socket(context) {}
  std::uint64_t id;
  std::string key;
  tcp::socket socket;
  std::array<char, input_bytes> input;
  std::size_t input_size = 0;
  bool closed = false, reading = false, reused = false;
  TimePoint last_used;
  Duration idle_timeout = default_idle_timeout;
  RecentIds ids;

  // The state of the attempt that uses the connection. Without an observer the connection is idle.
  Id attempt_id = 0;
  TimePoint decided_at;  // When the user of this client decided to send the attempt.
  std::shared_ptr<AttemptObserver> observer;
  AttemptRequest request;
  std::string header;
  std::size_t bytes_sent = 0;
  // Whether bytes of the request were sent over an earlier connection, so that the runner may have run it.
  bool sent_earlier = false;
  bool connected = false, request_written = false, paused = false, received_any = false, body_received = false,
       header_received = false;
  std::optional<HttpReader<false>> reader;
};

BeastRunnerClient::~BeastRunnerClient() {
  for (auto& [id, connection] : connections_) {
    connection->closed = true;
    connection->observer.reset();
    boost::system::error_code ignored;
    connection->socket.close(ignored);
  }
}

RunnerClient::Id BeastRunnerClient::start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> observer) {
  return start_decided_at(request, std::move(observer), clock_());
}

RunnerClient::Id BeastRunnerClient::start_decided_at(const AttemptRequest& request,
                                                     std::shared_ptr<AttemptObserver> observer, TimePoint decided_at) {
  const Id attempt_id = ++last_attempt_id_;
  const std::string key = pool_key(request.to, request.runner);
  ConnectionPointer connection = take_idle_connection(key, request);
  const bool reuse = connection != nullptr;
  if (!reuse) {
    connection = std::make_shared<Connection>(context_, ++last_connection_, key);
    connections_[connection->id] = connection;
    Pool& pool = pools_[key];
    ++pool.open;
    if (request.connections > 0 && pool.open > request.connections && !pool.idle.empty())
      close(ConnectionPointer(pool.idle.front()));
  }
  attempts_[attempt_id] = connection;
  connection->attempt_id = attempt_id;
  connection->decided_at = decided_at;
  connection->observer = std::move(observer);
  connection->request = request;
  connection->ids.add(request.id);
  connection->header = request_header(request);
  connection->bytes_sent = 0;
  connection->sent_earlier = false;
  connection->request_written = connection->paused = connection->received_any = connection->body_received =
      connection->header_received = false;
  connection->reused = reuse;
  connection->reader.emplace();
  connection->reader->header_limit(16384);
  connection->reader->body_limit(boost::none);
  if (request.method == "HEAD") connection->reader->skip(true);
  if (reuse) {
    ++counts_.reused;
    start_write(connection);
  } else {
    connect(connection);
  }
  return attempt_id;
}

// Takes the idle connection that was used last, provided it is young enough and has not carried the request before. The
// runner closes a connection when its idle timeout has passed, and the close may cross the next request. A connection
// is therefore used for three quarters of the idle timeout by repeatable requests, and for half of it by others.
BeastRunnerClient::ConnectionPointer BeastRunnerClient::take_idle_connection(const std::string& key,
                                                                             const AttemptRequest& request) {
  auto found = pools_.find(key);
  if (found == pools_.end()) return nullptr;
  const TimePoint now = clock_();
  std::size_t passed_over = 0;
  while (passed_over < found->second.idle.size()) {
    const auto position = found->second.idle.end() - 1 - static_cast<std::ptrdiff_t>(passed_over);
    const ConnectionPointer connection = *position;
    if (connection->ids.contains(request.id)) {
      ++passed_over;
      ++counts_.repeated_ids;
      continue;
    }
    const Duration age = now - connection->last_used;
    const bool is_young = age * 4 < connection->idle_timeout * 3;
    if (age * 2 > connection->idle_timeout && !request.repeatable && is_young) return nullptr;
    boost::system::error_code error;
    char byte = 0;
    if (is_young) connection->socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == boost::asio::error::would_block) {
      found->second.idle.erase(position);
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
  deadlines_.set(connection->id, connection->decided_at + connection->request.connecting);
  connection->socket.async_connect(*endpoint, [this, connection](const boost::system::error_code& failed) {
    if (connection->closed) return;
    if (failed) return finish(connection, AttemptOutcome::not_sent);
    connection->connected = true;
    boost::system::error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    connection->socket.non_blocking(true, ignored);
    start_write(connection);
    if (!connection->closed) read(connection);
  });
}

bool BeastRunnerClient::decision_expired(const Connection& connection) const {
  return clock_() - connection.decided_at > connection.request.connecting;
}

// A process that was suspended after the decision to send may resume with an outdated configuration, so it sends
// nothing. If the suspension fell between the check and the end of the write, the runner may have started on the
// request; the connection is then reset at once.
void BeastRunnerClient::start_write(const ConnectionPointer& connection) {
  auto finish_later = [this, connection, attempt_id = connection->attempt_id](AttemptOutcome outcome) {
    boost::asio::post(context_, [this, connection, attempt_id, outcome] {
      if (connection->attempt_id == attempt_id) finish(connection, outcome);
    });
  };
  if (decision_expired(*connection)) return finish_later(AttemptOutcome::not_sent);
  write(connection);
  if (connection->bytes_sent == 0 || !decision_expired(*connection)) return;
  boost::system::error_code ignored;
  connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  connection->socket.close(ignored);
  finish_later(AttemptOutcome::broken);
}

void BeastRunnerClient::write(const ConnectionPointer& connection) {
  const std::size_t body = connection->request.body ? connection->request.body->size() : 0;
  const std::size_t total = connection->header.size() + body;
  boost::system::error_code error;
  while (connection->bytes_sent < total && !error) {
    std::array<boost::asio::const_buffer, 2> buffers;
    const std::size_t body_offset =
        connection->bytes_sent > connection->header.size() ? connection->bytes_sent - connection->header.size() : 0;
    buffers[0] = boost::asio::buffer(connection->header) + connection->bytes_sent;
    if (body > 0) buffers[1] = boost::asio::buffer(*connection->request.body) + body_offset;
    connection->bytes_sent += connection->socket.write_some(buffers, error);
  }
  deadlines_.set(connection->id, steady_now() + connection->request.first_piece);
  if (connection->bytes_sent == total) {
    connection->request_written = true;
    return;
  }
  if (error == boost::asio::error::would_block) {
    connection->socket.async_wait(tcp::socket::wait_write, [this, connection, attempt_id = connection->attempt_id](
                                                               const boost::system::error_code& failed) {
      if (failed || connection->closed || connection->attempt_id != attempt_id) return;
      connection->bytes_sent == 0 ? start_write(connection) : write(connection);
    });
    return;
  }
  // A runner may respond and close the connection before it has read the whole request, so after a partial write the
  // response is still read.
  if (connection->bytes_sent == 0)
    boost::asio::post(context_, [this, connection, attempt_id = connection->attempt_id] {
      if (connection->attempt_id == attempt_id) handle_broken_connection(connection);
    });
}

void BeastRunnerClient::read(const ConnectionPointer& connection) {
  if (connection->paused || connection->reading || connection->closed) return;
  connection->reading = true;
  connection->socket.async_read_some(boost::asio::buffer(connection->input.data() + connection->input_size,
                                                         connection->input.size() - connection->input_size),
                                     [this, connection](const boost::system::error_code& error, std::size_t count) {
                                       connection->reading = false;
                                       if (connection->closed) return;
                                       if (!connection->observer) {
                                         // The runner closed the idle connection, or sent data that answers no request.
                                         counts_.unsolicited += !error;
                                         return close(connection);
                                       }
                                       if (error) return handle_end_of_input(connection, error);
                                       process_input(connection, count);
                                     });
}

void BeastRunnerClient::process_input(const ConnectionPointer& connection, std::size_t count) {
  connection->input_size += count;
  connection->received_any = true;
  HttpReader<false>& reader = *connection->reader;
  boost::system::error_code error;
  const std::size_t consumed = reader.feed(StringView(connection->input.data(), connection->input_size), error);
  std::copy(connection->input.begin() + static_cast<std::ptrdiff_t>(consumed),
            connection->input.begin() + static_cast<std::ptrdiff_t>(connection->input_size), connection->input.begin());
  connection->input_size -= consumed;
  const std::shared_ptr<AttemptObserver> observer = connection->observer;
  const Id attempt_id = connection->attempt_id;
  auto still_current = [&] {
    return !connection->closed && connection->attempt_id == attempt_id;
  };
  if (reader.is_header_done() && !connection->header_received) {
    connection->header_received = true;
    if (error || reader.status < 200 || reader.status > 599) return finish(connection, AttemptOutcome::broken);
    if (const auto timeout = keep_alive_timeout(reader.headers)) connection->idle_timeout = *timeout;
    observer->on_head(reader.status, reader.headers);
    if (!still_current()) return;
  }
  if (!reader.body.empty()) {
    connection->body_received = true;
    const Bytes chunk = std::exchange(reader.body, {});
    observer->on_chunk(chunk);
    if (!still_current()) return;
  }
  if (error || (connection->input_size == connection->input.size() && consumed == 0))
    return finish(connection, AttemptOutcome::broken);
  if (reader.is_done()) return finish(connection, AttemptOutcome::complete);
  observer->on_read_complete();
  if (!still_current()) return;
  if (connection->paused)
    deadlines_.clear(connection->id);
  else
    deadlines_.set(connection->id, steady_now() + (connection->body_received ? connection->request.between_pieces
                                                                             : connection->request.first_piece));
  read(connection);
}

// A response with neither a length nor chunked encoding is complete when the runner closes the connection in order.
// After a reset it is incomplete.
void BeastRunnerClient::handle_end_of_input(const ConnectionPointer& connection,
                                            const boost::system::error_code& error) {
  const bool unframed = connection->header_received && connection->reader->need_eof();
  if (error != boost::asio::error::eof || !unframed) return handle_broken_connection(connection);
  finish(connection, AttemptOutcome::complete);
}

// Handles a connection that ended before the response was complete. If the connection was reused and no byte of a
// response has been received, the request is sent once more over a new connection, provided that it is repeatable or
// nothing of it was written, and that the decision to send it has not expired.
void BeastRunnerClient::handle_broken_connection(const ConnectionPointer& connection) {
  const bool retry = connection->reused && !connection->received_any && !decision_expired(*connection) &&
                     (connection->request.repeatable || connection->bytes_sent == 0);
  if (!retry)
    return finish(connection, !connection->received_any && connection->bytes_sent == 0 ? AttemptOutcome::not_sent
                                                                                       : AttemptOutcome::broken);
  ++counts_.stale_connections;
  const Id attempt_id = connection->attempt_id;
  AttemptRequest request = std::move(connection->request);
  const TimePoint decided_at = connection->decided_at;
  const bool sent_earlier = connection->sent_earlier || connection->bytes_sent > 0;
  auto observer = std::move(connection->observer);
  connection->observer.reset();
  const std::string key = connection->key;
  close(connection);
  close_idle_in_pool(key);
  const Id new_id = start_decided_at(request, std::move(observer), decided_at);
  auto node = attempts_.extract(new_id);
  node.mapped()->attempt_id = attempt_id;
  node.mapped()->sent_earlier = sent_earlier;
  node.key() = attempt_id;
  attempts_.insert(std::move(node));
}

void BeastRunnerClient::finish(const ConnectionPointer& connection, AttemptOutcome outcome) {
  if (!connection->observer || connection->closed) return;
  const auto observer = std::exchange(connection->observer, nullptr);
  attempts_.erase(connection->attempt_id);
  if (outcome == AttemptOutcome::not_sent && connection->sent_earlier) outcome = AttemptOutcome::broken;
  const bool reuse = outcome == AttemptOutcome::complete && connection->request_written &&
                     connection->input_size == 0 && connection->reader->is_done() && connection->reader->keep_alive() &&
                     connection->idle_timeout > Duration{} && connection->request.keep_connection;
  if (!reuse) {
    counts_.unsolicited += outcome == AttemptOutcome::complete && connection->input_size > 0;
    close(connection);
  } else {
    connection->request = {};
    connection->paused = false;
    connection->last_used = clock_();
    pools_[connection->key].idle.push_back(connection);
    deadlines_.set(connection->id, connection->last_used + connection->idle_timeout * 3 / 4);
    read(connection);
  }
  observer->on_end(outcome);
}

void BeastRunnerClient::close(const ConnectionPointer& to_close) {
  // Copied, because the reference may be to an element of a container that this function changes.
  const ConnectionPointer connection = to_close;
  if (connection->closed) return;
  connection->closed = true;
  connection->observer.reset();
  attempts_.erase(connection->attempt_id);
  deadlines_.clear(connection->id);
  connections_.erase(connection->id);
  if (auto pool = pools_.find(connection->key); pool != pools_.end()) {
    std::erase(pool->second.idle, connection);
    if (--pool->second.open == 0) pools_.erase(pool);
  }
  boost::system::error_code ignored;
  connection->socket.close(ignored);
}

void BeastRunnerClient::close_idle_in_pool(const std::string& key) {
  auto pool = pools_.find(key);
  while (pool != pools_.end() && !pool->second.idle.empty()) {
    close(ConnectionPointer(pool->second.idle.back()));
    pool = pools_.find(key);
  }
}

void BeastRunnerClient::close_idle(const Address& to, const std::string& runner) {
  close_idle_in_pool(pool_key(to, runner));
}

std::size_t BeastRunnerClient::connections(const Address& to, const std::string& runner) const {
  auto pool = pools_.find(pool_key(to, runner));
  return pool == pools_.end() ? 0 : pool->second.open;
}

void BeastRunnerClient::on_deadline(std::uint64_t key) {
  auto found = connections_.find(key);
  if (found == connections_.end()) return;
  const ConnectionPointer connection = found->second;
  if (!connection->observer) return close(connection);
  finish(connection, connection->connected ? AttemptOutcome::timed_out : AttemptOutcome::not_sent);
}

void BeastRunnerClient::set_paused(Id attempt_id, bool paused) {
  auto found = attempts_.find(attempt_id);
  if (found == attempts_.end() || found->second->paused == paused) return;
  const ConnectionPointer connection = found->second;
  connection->paused = paused;
  if (paused || !connection->connected) return;
  deadlines_.set(connection->id, steady_now() + connection->request.between_pieces);
  read(connection);
}

void BeastRunnerClient::cancel(Id attempt_id) {
  auto found = attempts_.find(attempt_id);
  if (found != attempts_.end()) close(ConnectionPointer(found->second));
}

}  // namespace mothwalk
