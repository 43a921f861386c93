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

// Limits on operators' calls. They do not depend on the configuration, so that no configuration can lock operators out.
struct OperatorLimits {
  ClientLimits calls{.header_bytes = 32u << 10,
                     .body_bytes = 16u << 20,
                     .header_time = std::chrono::seconds(60),
                     .idle_time = std::chrono::seconds(60)};
  std::size_t connections = 200;          // Open at once, in addition to those of clients.
  std::size_t all_body_bytes = 32 << 20;  // Of the bodies of all calls that are in progress.
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
             std::size_t max_client_connections, ControlRequestFilter is_control_request = {},
             OperatorLimits operator_limits = {});
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
  // The number of connections of clients or of operators, and its limit.
  std::size_t& open_connections(bool client_side) { return client_side ? client_connections_ : operator_connections_; }
  std::size_t max_connections(bool client_side) const {
    return client_side ? max_client_connections_ : operator_limits_.connections;
  }
  std::vector<std::shared_ptr<Connection>> connections() const;

  boost::asio::io_context& context_;
  Router& router_;
  ControlHandler control_handler_;
  std::size_t max_client_connections_;
  OperatorLimits operator_limits_;
  std::size_t client_connections_ = 0, operator_connections_ = 0;
  std::size_t operator_body_bytes_ = 0;  // Of the bodies of operators' calls that are in progress.
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
