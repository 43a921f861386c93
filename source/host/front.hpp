// The HTTP front: callers' and operators' sides. A session reads one request after the other, hands it to the live
// entries or to control, and writes what comes back as it comes, what comes together in one write.
#pragma once
#include "control/control.hpp"
#include "host/deadlines.hpp"
#include "routes/router.hpp"

namespace mothwalk {

// Why a connection was closed from this side.
enum class CloseCause { answered, idle, caller_left, deadline, broken_off };

// Requests that were read whole and dispatched, and what became of them; what is neither answered nor cut is open.
struct FrontCounts {
  std::uint64_t read = 0, answered = 0;
  std::map<std::string, std::uint64_t> cut;  // without a complete answer, by cause and phase
  MOTHWALK_FIELDS(read, answered, cut)
};

class Front {
 public:
  // Requests for control and lots are handed to `control`; its answer may come from any thread.
  using ToControl = std::function<bool(ControlRequest, ControlAnswer)>;
  // Which requests of the callers' side are not live ones, but for control.
  using ToControlSide = std::function<bool(StringView method, StringView target, const std::vector<Header>& headers)>;
  Front(boost::asio::io_context& context, Router& router, ToControl control, std::size_t most_sessions,
        ToControlSide to_control_side = {});
  ~Front();
  // A side that is not the callers' is closed to everything but control.
  Result<Success> listen(const Address& address, bool callers);
  // Takes no new connection any more, lets idle ones go and refuses what still comes over the others.
  void close();
  // Connections with a request that is read or answered.
  std::size_t busy() const;
  // Those connections, by what becomes of their requests.
  std::map<std::string, std::size_t> busy_phases() const;
  const FrontCounts& counts() const { return counts_; }

 private:
  class Session;
  struct Listener {
    boost::asio::ip::tcp::acceptor acceptor;
    bool callers;
  };
  void count_cut(CloseCause cause, const char* phase);
  void accept(std::shared_ptr<Listener> listener);
  std::vector<std::shared_ptr<Session>> sessions() const;

  boost::asio::io_context& context_;
  Router& router_;
  ToControl control_;
  std::size_t most_sessions_;
  ToControlSide to_control_side_;
  Deadlines deadlines_;
  std::vector<std::shared_ptr<Listener>> listeners_;
  std::unordered_map<std::uint64_t, std::weak_ptr<Session>> sessions_;
  std::uint64_t last_session_ = 0;
  FrontCounts counts_;
  bool closed_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // the sessions' handlers may outlive the front
};

}  // namespace mothwalk
