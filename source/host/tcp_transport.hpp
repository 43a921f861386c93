// Sends envelopes between daemons over TCP: one outgoing connection to each peer, length-prefixed CBOR frames and
// bounded queues. An envelope that cannot be sent is dropped; the components retry.
#pragma once
#include <deque>

#include "coding/cbor.hpp"
#include "host/event_loop.hpp"

namespace mothwalk {

// Counts of frames and bytes, and of received frames that are not valid.
struct TransportCounts {
  std::atomic<std::uint64_t> frames_out{0}, bytes_out{0}, frames_in{0}, bytes_in{0}, invalid_frames{0};
};

// The daemon's Transport. Sending is possible from any thread.
class TcpTransport : public Transport {
 public:
  TcpTransport(Address self, std::function<void(StringView)> log, boost::asio::io_context* shared = nullptr);
  // Sets the handler of a slice's envelopes, which passes them to the component's event loop. Call it before start().
  void route(const std::string& slice, std::function<void(Envelope)> handler) { handlers_[slice] = std::move(handler); }
  Result<Success> listen();
  void start() { thread_.start(); }
  void stop() { thread_.stop(); }
  void send(const Address& to, Envelope envelope) override;
  const TransportCounts& counts() const { return counts_; }

 private:
  struct OutgoingConnection;
  struct IncomingConnection;
  void accept();
  void read(std::shared_ptr<IncomingConnection> incoming);
  void deliver(Envelope envelope);
  void push(const Address& to, Bytes frame);
  void connect(std::shared_ptr<OutgoingConnection> connection);
  void write(std::shared_ptr<OutgoingConnection> connection);
  void drop(std::shared_ptr<OutgoingConnection> connection);

  Address self_;
  std::function<void(StringView)> log_;
  EventLoop thread_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, std::function<void(Envelope)>> handlers_;
  std::map<Address, std::shared_ptr<OutgoingConnection>> outgoing_;
  TransportCounts counts_;
};

// A frame consists of a length of four bytes in big-endian order and an envelope in CBOR. Returns no length if the
// header states one that is zero or above the maximum.
inline constexpr std::size_t frame_head_bytes = 4;
std::optional<std::size_t> frame_length(StringView head);

// Parses ip:port. Returns nothing if the text is not an address.
std::optional<boost::asio::ip::tcp::endpoint> endpoint_of(const Address& address);

}  // namespace mothwalk
