// The daemon's HTTP server, for clients and for operators. A connection reads one request after the other, passes each
// to the router or to the control handler, and writes the response as it arrives; data that arrives together is written
// together.
#pragma once
#include "control/control.hpp"
#include "host/deadlines.hpp"
#include "routes/router.hpp"

namespace mothwalk {

// Why this daemon closed a connection.
enum class CloseCause { answered, idle, client_disconnected, deadline, aborted };

// Counts of requests that were read completely and dispatched, and of how they ended. A request that is in neither
// `answered` nor `cut` is still in progress.
struct HttpServerCounts {
  std::uint64_t read = 0, answered = 0;
  std::map<std::string, std::uint64_t> cut;  // Requests that got no complete response, by close cause and phase.
  MOTHWALK_FIELDS(read, answered, cut)
};

// The HTTP server. All its connections run on one event loop.
class HttpServer {
 public:
  // Handles a request for the control API or for lots, and returns whether it took the request. It may reply from any
  // thread.
  using ControlHandler = std::function<bool(ControlRequest, ControlReplyCallback)>;
  // Returns whether a request from a client goes to the control handler instead of the router.
  using ControlRequestFilter =
      std::function<bool(StringView method, StringView target, const std::vector<Header>& headers)>;
  HttpServer(boost::asio::io_context& context, Router& router, ControlHandler control_handler,
             std::size_t max_connections, ControlRequestFilter is_control_request = {});
  ~HttpServer();
  // Starts to listen. `client_side` says whether this address serves clients; at any other address all requests go to
  // the control handler.
  Result<Success> listen(const Address& address, bool client_side);
  // Stops accepting connections, closes idle ones and refuses further requests that arrive over the others.
  void close();
  // The number of connections with a request in progress.
  std::size_t busy() const;
  // The number of those connections in each phase of a request: reading, answering or writing.
  std::map<std::string, std::size_t> busy_phases() const;
  const HttpServerCounts& counts() const { return counts_; }

 private:
  class Connection;
  struct Listener {
    boost::asio::ip::tcp::acceptor acceptor;
    bool client_side;
  };
  void count_incomplete(CloseCause cause, const char* phase);
  void accept(std::shared_ptr<Listener> listener);
  std::vector<std::shared_ptr<Connection>> connections() const;

  boost::asio::io_context& context_;
  Router& router_;
  ControlHandler control_handler_;
  std::size_t max_connections_;
  ControlRequestFilter is_control_request_;
  Deadlines deadlines_;
  std::vector<std::shared_ptr<Listener>> listeners_;
  std::unordered_map<std::uint64_t, std::weak_ptr<Connection>> connections_;
  std::uint64_t last_connection_ = 0;
  HttpServerCounts counts_;
  bool closed_ = false;
  // False once the server is destroyed. Completion handlers may keep connections alive longer than the server.
  std::shared_ptr<bool> server_alive_ = std::make_shared<bool>(true);
};

}  // namespace mothwalk
