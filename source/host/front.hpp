// The HTTP front: callers' and operators' sides. A session reads one request after the other, hands it to the live
// entries or to control, and writes what comes back as it comes, what comes together in one write.
#pragma once
#include "control/control.hpp"
#include "host/deadlines.hpp"
#include "routes/router.hpp"

namespace mothwalk {

class Front {
 public:
  // Requests for control and lots are handed to `control`; its answer may come from any thread.
  using ToControl = std::function<bool(ControlRequest, ControlAnswer)>;
  // Which requests of the callers' side are not live ones, but for control.
  using ToControlSide = std::function<bool(View method, View target, const std::vector<Header>& headers)>;
  Front(boost::asio::io_context& context, Router& router, ToControl control, std::size_t most_sessions,
        ToControlSide to_control_side = {});
  ~Front();
  // A side that is not the callers' is closed to everything but control.
  Result<Done> listen(const Address& address, bool callers);
  // Takes no new connection any more, and lets idle ones go.
  void close();
  // Connections with a request that is read or answered.
  std::size_t busy() const;

 private:
  class Session;
  struct Listener {
    boost::asio::ip::tcp::acceptor acceptor;
    bool callers;
  };
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
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // the sessions' handlers may outlive the front
};

}  // namespace mothwalk
