// Linking, framing and delivery.
#include "host/tcp_transport.hpp"

#include <netinet/tcp.h>

namespace mothwalk {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr std::size_t longest_frame = 64u << 20;
constexpr std::size_t longest_queue = 96u << 20;
}  // namespace

std::optional<std::size_t> frame_length(StringView head) {
  std::size_t length = 0;
  for (const char byte : head) length = length << 8 | static_cast<unsigned char>(byte);
  if (head.size() != frame_head_bytes || length == 0 || length > longest_frame) return std::nullopt;
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

struct TcpTransport::Link {
  explicit Link(asio::io_context& context, Address address) : to(std::move(address)), socket(context), timer(context) {}
  Address to;
  tcp::socket socket;
  asio::steady_timer timer;
  std::deque<Bytes> queue;
  std::size_t queued = 0;
  bool connected = false, connecting = false, writing = false, dropped = false;
  TimePoint not_before;
  Bytes in_flight;
};

struct TcpTransport::Incoming {
  explicit Incoming(tcp::socket given) : socket(std::move(given)) {}
  tcp::socket socket;
  std::array<char, frame_head_bytes> head{};
  Bytes body;
};

TcpTransport::TcpTransport(Address self, std::function<void(StringView)> note, asio::io_context* shared)
    : self_(std::move(self)), note_(std::move(note)), thread_("wire", shared), acceptor_(thread_.context()) {}

Result<Success> TcpTransport::listen() {
  const auto endpoint = endpoint_of(self_);
  boost::system::error_code error;
  if (!endpoint) return Error{ErrorKind::invalid, "address", "'" + self_.text + "' is not an address", "give ip:port"};
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return Error{ErrorKind::conflict, "address", "can't listen on " + self_.text + ": " + error.message(),
                 "give an address of this machine with a free port"};
  accept();
  return Success{};
}

void TcpTransport::accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      read(std::make_shared<Incoming>(std::move(socket)));
    }
    accept();
  });
}

void TcpTransport::read(std::shared_ptr<Incoming> incoming) {
  asio::async_read(
      incoming->socket, asio::buffer(incoming->head),
      [this, incoming](const boost::system::error_code& error, std::size_t) {
        if (error) return;
        const auto claimed = frame_length(StringView(incoming->head.data(), incoming->head.size()));
        if (!claimed) {
          ++counts_.foreign;
          return note_("A peer sent a frame of a foreign form; the stream is closed.");
        }
        const std::size_t length = *claimed;
        // The body grows as bytes arrive, so that a bare claim of length takes no memory.
        incoming->body.clear();
        auto more = std::make_shared<std::function<void()>>();
        std::weak_ptr<std::function<void()>> weak = more;
        *more = [this, incoming, length, weak] {
          const std::size_t have = incoming->body.size();
          const std::size_t step = std::min<std::size_t>(length - have, 1u << 20);
          incoming->body.resize(have + step);
          asio::async_read(
              incoming->socket, asio::buffer(incoming->body.data() + have, step),
              [this, incoming, length, next = weak.lock()](const boost::system::error_code& failed, std::size_t) {
                if (failed) return;
                if (incoming->body.size() < length) return (*next)();
                auto envelope = from_cbor<Envelope>(incoming->body);
                if (!envelope) {
                  ++counts_.foreign;
                  return note_("A peer sent a frame that can't be read; the stream is closed.");
                }
                ++counts_.frames_in;
                counts_.bytes_in += length + 4;
                deliver(std::move(*envelope));
                read(incoming);
              });
        };
        (*more)();
      });
}

void TcpTransport::deliver(Envelope envelope) {
  auto taker = takers_.find(envelope.slice);
  if (taker != takers_.end()) taker->second(std::move(envelope));
}

void TcpTransport::send(const Address& to, Envelope envelope) {
  if (to == self_) return deliver(std::move(envelope));
  const Bytes body = to_cbor(envelope);
  if (body.size() > longest_frame) return note_("A message is longer than a frame may be; it is dropped.");
  Bytes frame;
  frame.reserve(body.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8) frame.push_back(static_cast<char>((body.size() >> shift) & 255));
  frame += body;
  thread_.offer([this, to, frame = std::move(frame)]() mutable { push(to, std::move(frame)); });
}

void TcpTransport::push(const Address& to, Bytes frame) {
  auto& link = links_[to];
  const TimePoint now = steady_now();
  if (!link) link = std::make_shared<Link>(thread_.context(), to);
  if (link->dropped) {
    if (now < link->not_before) return;
    link = std::make_shared<Link>(thread_.context(), to);
  }
  if (link->queued + frame.size() > longest_queue) return drop(link);
  ++counts_.frames_out;
  counts_.bytes_out += frame.size();
  link->queued += frame.size();
  link->queue.push_back(std::move(frame));
  if (link->connected)
    write(link);
  else if (!link->connecting)
    connect(link);
}

void TcpTransport::connect(std::shared_ptr<Link> link) {
  const auto endpoint = endpoint_of(link->to);
  if (!endpoint) return drop(link);
  link->connecting = true;
  link->timer.expires_after(std::chrono::milliseconds(500));
  link->timer.async_wait([this, link](const boost::system::error_code& error) {
    if (!error && !link->connected) drop(link);
  });
  link->socket.async_connect(*endpoint, [this, link](const boost::system::error_code& error) {
    if (link->dropped) return;
    if (error) return drop(link);
    link->connecting = false;
    link->connected = true;
    link->timer.cancel();
    boost::system::error_code ignored;
    link->socket.set_option(tcp::no_delay(true), ignored);
    const int unheard = 1000;
    setsockopt(link->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unheard, sizeof unheard);
    // The peer never writes on this stream: a read that ends tells that it is gone.
    auto byte = std::make_shared<char>();
    link->socket.async_read_some(asio::buffer(byte.get(), 1),
                                 [this, link, byte](const boost::system::error_code&, std::size_t) { drop(link); });
    write(link);
  });
}

void TcpTransport::write(std::shared_ptr<Link> link) {
  if (link->writing || link->queue.empty()) return;
  link->writing = true;
  link->in_flight.clear();
  while (!link->queue.empty() && link->in_flight.size() < (256u << 10)) {
    link->in_flight += link->queue.front();
    link->queue.pop_front();
  }
  asio::async_write(link->socket, asio::buffer(link->in_flight),
                    [this, link](const boost::system::error_code& error, std::size_t) {
                      if (link->dropped) return;
                      if (error) return drop(link);
                      link->writing = false;
                      link->queued -= link->in_flight.size();
                      write(link);
                    });
}

void TcpTransport::drop(std::shared_ptr<Link> link) {
  if (link->dropped) return;
  link->dropped = true;
  link->not_before = steady_now() + std::chrono::milliseconds(50);
  link->timer.cancel();
  boost::system::error_code ignored;
  link->socket.close(ignored);
  link->queue.clear();
}

}  // namespace mothwalk
