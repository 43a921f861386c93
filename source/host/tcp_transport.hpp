// Envelopes between daemons over TCP: one outgoing stream to each peer, length-prefixed CBOR frames, bounded queues.
// What can't be sent is dropped; the duties ask again.
#pragma once
#include <deque>

#include "coding/cbor.hpp"
#include "host/duty_thread.hpp"

namespace mothwalk {

struct WireCounts {
  std::atomic<std::uint64_t> frames_out{0}, bytes_out{0}, frames_in{0}, bytes_in{0}, foreign{0};
};

class TcpTransport : public Transport {
 public:
  TcpTransport(Address self, std::function<void(StringView)> note, boost::asio::io_context* shared = nullptr);
  // Every slice's envelopes go to its duty's thread; set before start.
  void route(const std::string& slice, std::function<void(Envelope)> taker) { takers_[slice] = std::move(taker); }
  Result<Success> listen();
  void start() { thread_.start(); }
  void stop() { thread_.stop(); }
  void send(const Address& to, Envelope envelope) override;
  const WireCounts& counts() const { return counts_; }

 private:
  struct Link;
  struct Incoming;
  void accept();
  void read(std::shared_ptr<Incoming> incoming);
  void deliver(Envelope envelope);
  void push(const Address& to, Bytes frame);
  void connect(std::shared_ptr<Link> link);
  void write(std::shared_ptr<Link> link);
  void drop(std::shared_ptr<Link> link);

  Address self_;
  std::function<void(StringView)> note_;
  DutyThread thread_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, std::function<void(Envelope)>> takers_;
  std::map<Address, std::shared_ptr<Link>> links_;
  WireCounts counts_;
};

// A frame is its length in four bytes, the highest first, and an envelope in CBOR. No length is told where the head
// claims one that no frame has.
inline constexpr std::size_t frame_head_bytes = 4;
std::optional<std::size_t> frame_length(StringView head);

std::optional<boost::asio::ip::tcp::endpoint> endpoint_of(const Address& address);

}  // namespace mothwalk
