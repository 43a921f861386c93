// Listening, the limits of connections, and counts of requests by how they ended.
#include "host/http_server.hpp"

#include "host/http_connection.hpp"
#include "host/tcp_transport.hpp"

namespace mothwalk {

using boost::asio::ip::tcp;

namespace {
// Connections beyond the limit that are still accepted, so that their clients get a 503 response with Retry-After.
constexpr std::size_t over_limit_connections = 200;

StringView name_of(CloseCause cause) {
  switch (cause) {
    case CloseCause::client_disconnected:
      return "caller left";
    case CloseCause::aborted:
      return "broken off";
    case CloseCause::deadline:
      return "deadline";
    case CloseCause::idle:
      return "idle";
    case CloseCause::answered:
      return "answered";
  }
  return "unknown";
}
}  // namespace

HttpServer::HttpServer(boost::asio::io_context& context, Router& router, ControlHandler control_handler,
                       std::size_t max_client_connections, ControlRequestFilter is_control_request,
                       OperatorLimits operator_limits)
    : context_(context),
      router_(router),
      control_handler_(std::move(control_handler)),
      max_client_connections_(max_client_connections),
      operator_limits_(operator_limits),
      is_control_request_(std::move(is_control_request)),
      deadlines_(context, [this](std::uint64_t id) {
        auto found = connections_.find(id);
        if (found == connections_.end()) return;
        if (auto connection = found->second.lock()) connection->on_deadline();
      }) {}

HttpServer::~HttpServer() {
  *server_alive_ = false;
}

Result<Success> HttpServer::listen(const Address& address, bool client_side) {
  const auto endpoint = endpoint_of(address);
  const std::string field = client_side ? "callers" : "control";
  if (!endpoint) return Error{ErrorKind::invalid, field, "'" + address.text + "' is not an address", "give ip:port"};
  auto listener = std::make_shared<Listener>(Listener{tcp::acceptor(context_), client_side});
  boost::system::error_code error;
  listener->acceptor.open(endpoint->protocol(), error);
  if (!error) listener->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) listener->acceptor.bind(*endpoint, error);
  if (!error) listener->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error)
    return Error{ErrorKind::conflict, field, "cannot listen on " + address.text + ": " + error.message(),
                 "use an address of this machine with a free port"};
  listeners_.push_back(listener);
  accept(listener);
  return Success{};
}

void HttpServer::accept(std::shared_ptr<Listener> listener) {
  listener->acceptor.async_accept([this, listener](const boost::system::error_code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    const bool client_side = listener->client_side;
    if (!error && open_connections(client_side) < max_connections(client_side) + over_limit_connections) {
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      socket.non_blocking(true, ignored);
      const auto connection = std::make_shared<Connection>(*this, std::move(socket), client_side, ++last_connection_);
      connections_[last_connection_] = connection;
      connection->run();
    }
    if (error) {
      // Most likely the process is out of file descriptors: accepts again after a short delay.
      auto timer = std::make_shared<boost::asio::steady_timer>(context_, std::chrono::milliseconds(50));
      timer->async_wait([this, listener, timer](const boost::system::error_code&) { accept(listener); });
      return;
    }
    accept(listener);
  });
}

void HttpServer::close() {
  closed_ = true;
  for (auto& listener : listeners_) {
    boost::system::error_code ignored;
    listener->acceptor.close(ignored);
  }
  for (const auto& connection : connections()) connection->close_idle();
}

void HttpServer::count_incomplete(CloseCause cause, const char* phase) {
  ++counts_.cut[std::string(name_of(cause)) + ", " + phase];
}

std::map<std::string, std::size_t> HttpServer::busy_phases() const {
  std::map<std::string, std::size_t> phases;
  for (const auto& connection : connections())
    if (connection->busy()) ++phases[connection->phase()];
  return phases;
}

std::size_t HttpServer::busy() const {
  const auto all = connections();
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [](const auto& connection) { return connection->busy(); }));
}

std::vector<std::shared_ptr<HttpServer::Connection>> HttpServer::connections() const {
  std::vector<std::shared_ptr<Connection>> all;
  for (const auto& [id, connection] : connections_)
    if (auto locked = connection.lock()) all.push_back(std::move(locked));
  return all;
}

}  // namespace mothwalk
