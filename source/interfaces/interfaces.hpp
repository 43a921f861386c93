// The interfaces between duties and the world: Timers (steady time), Transport (envelopes to peers), Disk (one
// append-only file), RunnerClient (HTTP attempts to runners) and RandomSource (seeded numbers). A duty reaches nothing
// else, so the daemon and the simulator run the same duty objects.
#pragma once
#include "coding/fields.hpp"
#include "interfaces/disk.hpp"

namespace mothwalk {

using Task = std::function<void()>;

class Timers {
 public:
  using Id = std::uint64_t;
  virtual ~Timers() = default;
  virtual TimePoint now() const = 0;
  virtual Id after(Duration span, Task task) = 0;
  virtual void cancel(Id id) = 0;
};

// An envelope goes to one slice of one daemon; its kind begins with the slice it is for. Replies go back to the
// sender's slice under the call's number.
inline constexpr std::uint32_t protocol_number = 3;

struct Envelope {
  Address from;
  std::uint64_t incarnation = 0;
  std::string slice, sender, kind;
  std::uint64_t call = 0;
  bool reply = false;
  Bytes body;
  std::uint32_t protocol = protocol_number;  // what daemons of other versions may not speak
  MOTHWALK_FIELDS(from, incarnation, slice, sender, kind, call, reply, body, protocol)
};

class Transport {
 public:
  virtual ~Transport() = default;
  virtual void send(const Address& to, Envelope envelope) = 0;
};

class RandomSource {
 public:
  virtual ~RandomSource() = default;
  virtual std::uint64_t next() = 0;
  std::size_t below(std::size_t bound) { return bound == 0 ? 0 : next() % bound; }
};

struct Header {
  std::string name, value;
  MOTHWALK_FIELDS(name, value)
};

struct AttemptRequest {
  Address to;
  std::string method, target;
  std::vector<Header> headers;
  std::shared_ptr<const Bytes> body;
  Duration connecting{}, first_piece{}, between_pieces{};
  std::string runner;             // a kept connection is used again for the same runner alone
  bool repeatable = false;        // may go over a kept connection that could be closing, and again if it was
  bool keep_connection = true;    // after a whole answer, for the next request
  std::uint32_t connections = 0;  // kept and in use, that this runner takes from this daemon; 0: no bound
};

enum class AttemptOutcome { whole, not_sent, broken, late };  // not_sent: no byte can have reached the runner

constexpr StringView name_of(AttemptOutcome end) {
  constexpr StringView names[] = {"whole", "not_sent", "broken", "late"};
  return names[static_cast<std::size_t>(end)];
}

class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  virtual void on_head(int status, const std::vector<Header>& headers) = 0;
  virtual void on_chunk(StringView piece) = 0;
  virtual void on_pause() {}  // all that came for now was given
  virtual void on_end(AttemptOutcome end) = 0;
};

class RunnerClient {
 public:
  using Id = std::uint64_t;
  virtual ~RunnerClient() = default;
  virtual Id start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> watcher) = 0;
  virtual void cancel(Id id) = 0;  // no call reaches the watcher afterwards
  // Ends the idle connections to a runner; one that keeps none has nothing to do.
  virtual void close_idle(const Address& /*to*/, const std::string& /*runner*/) {}
  // Those in use and idle ones to a runner.
  virtual std::size_t connections(const Address& /*to*/, const std::string& /*runner*/) const { return 0; }
  // While held, nothing more is read from the runner; what waits comes later, never out of this call.
  virtual void hold(Id id, bool held) = 0;
};

}  // namespace mothwalk
