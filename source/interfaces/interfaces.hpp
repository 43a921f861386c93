// The interfaces between components and their environment: Timers (steady time), Transport (messages to other daemons),
// Disk (one append-only file), RunnerClient (HTTP attempts at runners) and RandomSource (random numbers). Components
// use nothing else of the environment, so the daemon and the simulator run the same component objects.
#pragma once
#include "coding/fields.hpp"
#include "interfaces/disk.hpp"

namespace mothwalk {

// A function to run on an event loop.
using Task = std::function<void()>;

// The clock and the timers of one event loop.
class Timers {
 public:
  using Id = std::uint64_t;
  virtual ~Timers() = default;
  virtual TimePoint now() const = 0;
  // Runs the task once after the given time.
  virtual Id after(Duration delay, Task task) = 0;
  virtual void cancel(Id id) = 0;
};

// The version of the protocol between daemons.
inline constexpr std::uint32_t protocol_number = 3;

// A message from a component of one daemon to a component of another. Components are addressed by their slice name,
// such as "store". A reply goes back to the sender's slice and carries the number of the call.
struct Envelope {
  Address from;
  std::uint64_t incarnation = 0;  // The sender's incarnation, which is higher after each restart.
  std::string slice,              // The component that receives the message.
      sender,                     // The component that sent it.
      kind;                       // The message type. It begins with the name of the receiving slice.
  std::uint64_t call = 0;         // The number of the call; 0 if no reply is expected.
  bool reply = false;
  Bytes body;                                // The message in CBOR.
  std::uint32_t protocol = protocol_number;  // The receiver refuses messages of another protocol version.
  MOTHWALK_FIELDS(from, incarnation, slice, sender, kind, call, reply, body, protocol)
};

// Sends messages to other daemons. A message may be lost, repeated or reordered.
class Transport {
 public:
  virtual ~Transport() = default;
  virtual void send(const Address& to, Envelope envelope) = 0;
};

// Random numbers. The simulator and tests use a fixed seed.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  virtual std::uint64_t next() = 0;
  // A number from 0 to bound - 1.
  std::size_t below(std::size_t bound) { return bound == 0 ? 0 : next() % bound; }
};

// An HTTP header.
struct Header {
  std::string name, value;
  MOTHWALK_FIELDS(name, value)
};

// One attempt to have a request served by a runner.
struct AttemptRequest {
  Address to;
  std::string method, target;
  std::vector<Header> headers;
  std::shared_ptr<const Bytes> body;
  Duration connecting{},  // The time limit for connecting, and for acting on the decision to send.
      first_piece{},      // The time limit from the request to the first chunk of the response body.
      between_pieces{};   // The time limit from one chunk to the next.
  std::string runner;     // The runner's name. A connection is reused only for the same runner.
  // The request's id, which is the same in all attempts and is repeated in the responses; empty if there is none. No
  // connection is used for two attempts at one request, since a late copy of the first response could be taken for the
  // second one.
  std::string id;
  // Whether the request may be processed twice. Only then is it sent over an idle connection that the runner might be
  // closing, and sent again if the runner was.
  bool repeatable = false;
  bool keep_connection = true;    // Whether the connection is kept for the next request after a complete response.
  std::uint32_t connections = 0;  // The limit of connections, idle and in use, to this runner; 0 means no limit.
};

enum class AttemptOutcome {
  complete,  // The response is complete.
  not_sent,  // No byte of the request can have reached the runner.
  broken,    // The connection ended, or the response was invalid, before the response was complete.
  timed_out  // A time limit passed after the connection was established.
};

constexpr StringView name_of(AttemptOutcome outcome) {
  constexpr StringView names[] = {"whole", "not_sent", "broken", "late"};
  return names[static_cast<std::size_t>(outcome)];
}

// Receives the response of an attempt as it arrives.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  virtual void on_head(int status, const std::vector<Header>& headers) = 0;
  virtual void on_chunk(StringView chunk) = 0;
  // Called after all data received so far has been passed on, while more is expected.
  virtual void on_read_complete() {}
  // The last call.
  virtual void on_end(AttemptOutcome outcome) = 0;
};

// Sends attempts to runners over HTTP.
class RunnerClient {
 public:
  using Id = std::uint64_t;
  virtual ~RunnerClient() = default;
  virtual Id start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> observer) = 0;
  // Closes the attempt's connection. The observer is not called afterwards.
  virtual void cancel(Id id) = 0;
  // Closes the idle connections to a runner. A client that keeps none need not override it.
  virtual void close_idle(const Address& /*to*/, const std::string& /*runner*/) {}
  // The number of connections to a runner, idle and in use.
  virtual std::size_t connections(const Address& /*to*/, const std::string& /*runner*/) const { return 0; }
  // Pauses or resumes reading from the runner. Data that is already waiting is passed to the observer later, never from
  // within this call.
  virtual void set_paused(Id id, bool paused) = 0;
};

}  // namespace mothwalk
