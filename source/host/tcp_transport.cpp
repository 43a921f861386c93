// Connects to peers, writes and reads frames, and passes received envelopes to the components.
#include "host/tcp_transport.hpp"

#include <netinet/tcp.h>

namespace mothwalk {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr std::size_t max_frame_bytes = 64u << 20;
constexpr std::size_t max_queue_bytes = 96u << 20;
}  // namespace

std::optional<std::size_t> frame_length(StringView head) {
  std::size_t length = 0;
  for (const char byte : head) length = length << 8 | static_cast<unsigned char>(byte);
  if (head.size() != frame_head_bytes || length == 0 || length > max_frame_bytes) return std::nullopt;
  return length;
}

std::optional<tcp::endpoint> endpoint_of(const Address& address) {
  const auto colon = address.text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.text.substr(0, colon), error);
  const std::string port = address.text.substr(colon + 1);
  if (error || port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  const int number = std::stoi(port);
  if (number > 65535) return std::nullopt;
  return tcp::endpoint(ip, static_cast<unsigned short>(number));
}

struct TcpTransport::OutgoingConnection {
  explicit OutgoingConnection(asio::io_context& context, Address address)
      : to(std::move(address)), socket(context), timer(context) {}
  Address to;
  tcp::socket socket;
  asio::steady_timer timer;
  std::deque<Bytes> queue;
  std::size_t queued_bytes = 0;
  bool connected = false, connecting = false, writing = false, dropped = false;
  TimePoint retry_at;
  Bytes in_flight;
};

struct TcpTransport::IncomingConnection {
  explicit IncomingConnection(tcp::socket given) : socket(std::move(given)) {}
  tcp::socket socket;
  std::array<char, frame_head_bytes> head{};
  Bytes body;
};

TcpTransport::TcpTransport(Address self, std::function<void(StringView)> log, asio::io_context* shared)
    : self_(std::move(self)), log_(std::move(log)), thread_("wire", shared), acceptor_(thread_.context()) {}

Result<Success> TcpTransport::listen() {
  const auto endpoint = endpoint_of(self_);
  boost::system::error_code error;
  if (!endpoint) return Error{ErrorKind::invalid, "address", "'" + self_.text + "' is not an address", "give ip:port"};
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return Error{ErrorKind::conflict, "address", "cannot listen on " + self_.text + ": " + error.message(),
                 "use an address of this machine with a free port"};
  accept();
  return Success{};
}

void TcpTransport::accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      read(std::make_shared<IncomingConnection>(std::move(socket)));
    }
    accept();
  });
}

void TcpTransport::read(std::shared_ptr<IncomingConnection> incoming) {
  asio::async_read(
      incoming->socket, asio::buffer(incoming->head),
      [this, incoming](const boost::system::error_code& error, std::size_t) {
        if (error) return;
        const auto frame_size = frame_length(StringView(incoming->head.data(), incoming->head.size()));
        if (!frame_size) {
          ++counts_.invalid_frames;
          return log_("A peer sent a frame header with an invalid length; the connection is closed.");
        }
        const std::size_t length = *frame_size;
        // The body buffer grows as bytes arrive, so that a large length alone allocates no memory.
        incoming->body.clear();
        auto read_chunk = std::make_shared<std::function<void()>>();
        std::weak_ptr<std::function<void()>> weak_read_chunk = read_chunk;
        *read_chunk = [this, incoming, length, weak_read_chunk] {
          const std::size_t received = incoming->body.size();
          const std::size_t step = std::min<std::size_t>(length - received, 1u << 20);
          incoming->body.resize(received + step);
          asio::async_read(
              incoming->socket, asio::buffer(incoming->body.data() + received, step),
              [this, incoming, length, read_next = weak_read_chunk.lock()](const boost::system::error_code& failed,
                                                                           std::size_t) {
                if (failed) return;
                if (incoming->body.size() < length) return (*read_next)();
                auto envelope = from_cbor<Envelope>(incoming->body);
                if (!envelope) {
                  ++counts_.invalid_frames;
                  return log_("A peer sent a frame that is not a valid envelope; the connection is closed.");
                }
                ++counts_.frames_in;
                counts_.bytes_in += length + 4;
                deliver(std::move(*envelope));
                read(incoming);
              });
        };
        (*read_chunk)();
      });
}

void TcpTransport::deliver(Envelope envelope) {
  auto handler = handlers_.find(envelope.slice);
  if (handler != handlers_.end()) handler->second(std::move(envelope));
}

void TcpTransport::send(const Address& to, Envelope envelope) {
  if (to == self_) return deliver(std::move(envelope));
  const Bytes body = to_cbor(envelope);
  if (body.size() > max_frame_bytes) return log_("A message exceeds the maximum frame size and is dropped.");
  Bytes frame;
  frame.reserve(body.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8) frame.push_back(static_cast<char>((body.size() >> shift) & 255));
  frame += body;
  thread_.try_post([this, to, frame = std::move(frame)]() mutable { push(to, std::move(frame)); });
}

void TcpTransport::push(const Address& to, Bytes frame) {
  auto& connection = outgoing_[to];
  const TimePoint now = steady_now();
  if (!connection) connection = std::make_shared<OutgoingConnection>(thread_.context(), to);
  if (connection->dropped) {
    if (now < connection->retry_at) return;
    connection = std::make_shared<OutgoingConnection>(thread_.context(), to);
  }
  if (connection->queued_bytes + frame.size() > max_queue_bytes) return drop(connection);
  ++counts_.frames_out;
  counts_.bytes_out += frame.size();
  connection->queued_bytes += frame.size();
  connection->queue.push_back(std::move(frame));
  if (connection->connected)
    write(connection);
  else if (!connection->connecting)
    connect(connection);
}

void TcpTransport::connect(std::shared_ptr<OutgoingConnection> connection) {
  const auto endpoint = endpoint_of(connection->to);
  if (!endpoint) return drop(connection);
  connection->connecting = true;
  connection->timer.expires_after(std::chrono::milliseconds(500));
  connection->timer.async_wait([this, connection](const boost::system::error_code& error) {
    if (!error && !connection->connected) drop(connection);
  });
  connection->socket.async_connect(*endpoint, [this, connection](const boost::system::error_code& error) {
    if (connection->dropped) return;
    if (error) return drop(connection);
    connection->connecting = false;
    connection->connected = true;
    connection->timer.cancel();
    boost::system::error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    const int unacknowledged_ms = 1000;
    setsockopt(connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof unacknowledged_ms);
    // The peer never writes on this connection, so a read completes only when the connection has ended.
    auto byte = std::make_shared<char>();
    connection->socket.async_read_some(
        asio::buffer(byte.get(), 1),
        [this, connection, byte](const boost::system::error_code&, std::size_t) { drop(connection); });
    write(connection);
  });
}

void TcpTransport::write(std::shared_ptr<OutgoingConnection> connection) {
  if (connection->writing || connection->queue.empty()) return;
  connection->writing = true;
  connection->in_flight.clear();
  while (!connection->queue.empty() && connection->in_flight.size() < (256u << 10)) {
    connection->in_flight += connection->queue.front();
    connection->queue.pop_front();
  }
  asio::async_write(connection->socket, asio::buffer(connection->in_flight),
                    [this, connection](const boost::system::error_code& error, std::size_t) {
                      if (connection->dropped) return;
                      if (error) return drop(connection);
                      connection->writing = false;
                      connection->queued_bytes -= connection->in_flight.size();
                      write(connection);
                    });
}

void TcpTransport::drop(std::shared_ptr<OutgoingConnection> connection) {
  if (connection->dropped) return;
  connection->dropped = true;
  connection->retry_at = steady_now() + std::chrono::milliseconds(50);
  connection->timer.cancel();
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  connection->queue.clear();
}

}  // namespace mothwalk
