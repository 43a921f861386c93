// Reading requests within limits, writing responses whole or chunk by chunk, and detecting clients that disconnect.
#include "host/http_connection.hpp"

#include <sys/socket.h>

#include <cerrno>

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace mothwalk {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {
// The input buffer has the small size between requests. It grows to the large size for a request body and for pipelined
// requests. An output buffer above the kept size is freed when it is empty.
constexpr std::size_t small_input_bytes = 4096, large_input_bytes = 32768, max_kept_output_bytes = 16384;
// How much longer than announced a connection stays open, and how long unread input is discarded before a close.
constexpr Duration close_grace = std::chrono::seconds(1);

bool is_lot_request(StringView, StringView target, const std::vector<Header>&) {
  return target == "/lots" || target.starts_with("/lots/") || target.starts_with("/lots?");
}

void put_hex(std::string& out, std::size_t value) {
  char digits[16];
  std::size_t count = 0;
  do digits[count++] = "0123456789abcdef"[value % 16];
  while (value /= 16);
  while (count > 0) out.push_back(digits[--count]);
}
}  // namespace

// The response sink that the router writes to. Once its request has ended or the connection is closed, its calls have
// no effect.
class HttpServer::Connection::ConnectionSink : public ResponseSink {
 public:
  ConnectionSink(std::shared_ptr<Connection> connection, std::uint64_t request_number)
      : connection_(std::move(connection)), request_number_(request_number) {}
  bool take_back_lot(const LiveRequest& request) override {
    return current() && connection_->redirect_to_control(request);
  }
  void head(int status, const std::vector<Header>& headers) override {
    if (!current()) return;
    std::string& out = connection_->start_head(status);
    bool length = false;
    for (const auto& header : headers) {
      length = length || same_name(header.name, "Content-Length");
      out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    // HTTP defines responses with these statuses, and responses to HEAD, to have no body.
    bodiless_ = status == 204 || status == 304 || connection_->is_head_request_;
    chunked_ = !length && !bodiless_;
    if (chunked_) out.append("Transfer-Encoding: chunked\r\n");
    out.append("\r\n");
  }
  void chunk(StringView chunk) override {
    if (!current() || chunk.empty() || bodiless_) return;
    std::string& out = connection_->output_;
    if (chunked_) {
      put_hex(out, chunk.size());
      out.append("\r\n").append(chunk).append("\r\n");
    } else {
      out.append(chunk);
    }
  }
  void flush() override {
    if (current()) connection_->flush();
  }
  void end() override {
    if (!current()) return;
    if (chunked_) connection_->output_.append("0\r\n\r\n");
    connection_->finish_response();
  }
  void abort() override {
    if (!current()) return;
    connection_->flush();
    connection_->close(CloseCause::aborted);
  }
  std::size_t backlog() const override {
    return connection_->output_.size() + connection_->in_flight_.size() - connection_->in_flight_written_;
  }

 private:
  bool current() const { return connection_->request_number_ == request_number_ && !connection_->closed_; }
  std::shared_ptr<Connection> connection_;
  std::uint64_t request_number_;
  bool bodiless_ = false, chunked_ = false;
};

HttpServer::Connection::Connection(HttpServer& server, TcpSocket socket, bool client_side, std::uint64_t id)
    : server_(server),
      server_alive_(server.server_alive_),
      socket_(std::move(socket)),
      id_(id),
      client_side_(client_side),
      over_limit_(server.open_connections(client_side) >= server.max_connections(client_side)) {
  ++server_.open_connections(client_side_);
}

HttpServer::Connection::~Connection() {
  if (!*server_alive_) return;
  release_body();
  --server_.open_connections(client_side_);
  server_.connections_.erase(id_);
}

void HttpServer::Connection::close_idle() {
  if (!busy()) close(CloseCause::idle);
}

const char* HttpServer::Connection::phase() const {
  return awaiting_response_ ? "answering" : response_complete_ || writing_ ? "writing" : "reading";
}

void HttpServer::Connection::await_request() {
  limits_ = client_side_ ? server_.router_.limits() : server_.operator_limits_.calls;
  reader_.emplace();
  reader_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  reader_->body_limit(limits_.body_bytes);
  header_read_ = false;
  // The grace period keeps the connection open a little longer than clients assume, so that no client sends a request
  // over a connection that is being closed.
  set_deadline(limits_.idle_time + close_grace);
  if (input_size_ > 0)
    parse();
  else
    read();
}

void HttpServer::Connection::read() {
  if (reading_ || closed_ || (input_.size() > 0 && input_size_ == input_.size())) return;
  if (input_.empty()) input_.resize(small_input_bytes);
  reading_ = true;
  socket_.async_read_some(boost::asio::buffer(input_.data() + input_size_, input_.size() - input_size_),
                          [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                            self->reading_ = false;
                            if (self->closed_) return;
                            if (error) return self->close(CloseCause::client_disconnected);
                            self->input_size_ += count;
                            if (self->discarding_input_) {
                              self->input_size_ = 0;
                              return self->read();
                            }
                            if (!self->awaiting_response_ && !self->response_complete_) return self->parse();
                            // Pipelined requests wait in the buffer until the response is complete. Reading goes on
                            // so that a disconnect of the client is detected meanwhile.
                            if (self->input_.size() < large_input_bytes) self->input_.resize(large_input_bytes);
                            self->read();
                          });
}

void HttpServer::Connection::parse() {
  boost::system::error_code error;
  const bool first = !reader_->got_some();
  const std::size_t used = reader_->feed(StringView(input_.data(), input_size_), error);
  std::copy(input_.begin() + static_cast<std::ptrdiff_t>(used),
            input_.begin() + static_cast<std::ptrdiff_t>(input_size_), input_.begin());
  input_size_ -= used;
  if (error) return reply_with_parse_error(error);
  if (reader_->is_header_done() && !header_read_) {
    header_read_ = true;
    if (over_limit_) return refuse_temporarily("this daemon has reached its limit of connections");
    if (reader_->version != 11)
      return reply_with_error(505, Error{ErrorKind::invalid, "version", "only HTTP/1.1 is supported", "use HTTP/1.1"});
    const std::string* expectation = header_of(reader_->headers, "Expect");
    if (expectation != nullptr && same_name(*expectation, "100-continue") && !reader_->is_done()) {
      output_.append("HTTP/1.1 100 Continue\r\n\r\n");
      flush();
    }
  }
  if (!client_side_ && !account_body())
    return refuse_temporarily("the calls of operators in progress have more than " +
                              std::to_string(server_.operator_limits_.all_body_bytes) + " bytes together");
  if (reader_->is_done()) return dispatch();
  if (header_read_)
    set_deadline(limits_.idle_time);
  else if (first)
    set_deadline(limits_.header_time);
  const std::size_t wanted_size =
      header_read_ ? large_input_bytes : std::max(small_input_bytes, input_size_ + small_input_bytes / 2);
  if (input_.size() < wanted_size) input_.resize(wanted_size);
  read();
}

bool HttpServer::Connection::account_body() {
  server_.operator_body_bytes_ += reader_->body.size() - accounted_body_bytes_;
  accounted_body_bytes_ = reader_->body.size();
  return server_.operator_body_bytes_ <= server_.operator_limits_.all_body_bytes;
}

void HttpServer::Connection::release_body() {
  server_.operator_body_bytes_ -= std::exchange(accounted_body_bytes_, 0);
  if (!client_side_ && reader_) reader_->body = {};
}

void HttpServer::Connection::reply_with_parse_error(const boost::system::error_code& error) {
  if (error == http::error::header_limit)
    return reply_with_error(431, Error{ErrorKind::too_large, "headers",
                                       "the headers are longer than " + std::to_string(limits_.header_bytes) + " bytes",
                                       "send fewer headers"});
  if (error == http::error::body_limit)
    return reply_with_error(
        413, Error{ErrorKind::too_large, "body",
                   "the body is longer than " + std::to_string(limits_.body_bytes) + " bytes", "send a shorter body"});
  reply_with_error(400,
                   Error{ErrorKind::invalid, "request", "the input is not a valid HTTP/1.1 request: " + error.message(),
                         "send a well-formed request"});
}

void HttpServer::Connection::dispatch() {
  server_.deadlines_.clear(id_);
  if (input_.size() > small_input_bytes && input_size_ < small_input_bytes) {
    input_.resize(small_input_bytes);
    input_.shrink_to_fit();
  }
  ++server_.counts_.read;
  keep_alive_ = reader_->keep_alive();
  is_head_request_ = reader_->method == "HEAD";
  ++request_number_;
  awaiting_response_ = true;
  read();
  if (server_.closed_) return refuse_temporarily("this daemon is shutting down");
  if (!client_side_ || is_control_request(reader_->method, reader_->target, reader_->headers)) {
    if (!client_side_ && client_disconnected()) return close(CloseCause::client_disconnected);
    return send_to_control(ControlRequest{std::move(reader_->method), std::move(reader_->target),
                                          std::move(reader_->body), client_side_, std::move(reader_->headers)});
  }
  LiveRequest live{std::move(reader_->method), std::move(reader_->target), std::move(reader_->headers),
                   std::make_shared<const Bytes>(std::move(reader_->body))};
  const auto request_number = request_number_;
  routed_ = true;
  const Router::Id id =
      server_.router_.submit(std::move(live), std::make_shared<ConnectionSink>(shared_from_this(), request_number));
  if (request_number_ == request_number && awaiting_response_)
    route_id_ = id;
  else
    routed_ = false;
}

bool HttpServer::Connection::is_control_request(StringView method, StringView target,
                                                const std::vector<Header>& headers) const {
  return server_.is_control_request_ ? server_.is_control_request_(method, target, headers)
                                     : is_lot_request(method, target, headers);
}

void HttpServer::Connection::send_to_control(ControlRequest request) {
  // The handler may reply from another thread, so it gets a weak pointer only: the connection has to be destroyed
  // on its own thread. Until the reply, the connection keeps itself alive.
  self_while_control_replies_ = shared_from_this();
  const bool accepted = server_.control_handler_(
      std::move(request),
      [weak = weak_from_this(), &context = server_.context_, request_number = request_number_](ControlReply reply) {
        boost::asio::post(context, [weak, request_number, reply = std::move(reply)] {
          if (auto self = weak.lock(); self && self->request_number_ == request_number && !self->closed_)
            self->write_reply(reply);
        });
      });
  if (!accepted) refuse_temporarily("the queue of this daemon's control component is full");
}

bool HttpServer::Connection::redirect_to_control(const LiveRequest& request) {
  if (!is_control_request(request.method, request.target, request.headers)) return false;
  routed_ = false;
  send_to_control(ControlRequest{request.method, request.target, *request.body, client_side_, request.headers});
  return true;
}

bool HttpServer::Connection::client_disconnected() {
  char next_byte = 0;
  const auto count = ::recv(socket_.native_handle(), &next_byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::string& HttpServer::Connection::start_head(int status) {
  keep_alive_ = keep_alive_ && !server_.router_.draining();
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  output_.append("HTTP/1.1 ")
      .append(std::to_string(status))
      .append(" ")
      .append(reason.data(), reason.size())
      .append("\r\n");
  if (!keep_alive_) output_.append("Connection: close\r\n");
  return output_;
}

void HttpServer::Connection::write_reply(const ControlReply& reply) {
  std::string& out = start_head(reply.status);
  bool type = false, retry = false;
  for (const auto& header : reply.headers) {
    type = type || same_name(header.name, "Content-Type");
    retry = retry || same_name(header.name, "Retry-After");
    out.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!type && !reply.raw) out.append("Content-Type: application/json\r\n");
  if (reply.retry_after && !retry) out.append("Retry-After: 1\r\n");
  if (const auto* object = reply.body.if_object(); object != nullptr && object->contains("outcome"))
    out.append("X-Mothwalk-Outcome: ").append(std::string(object->at("outcome").as_string())).append("\r\n");
  const Bytes body = reply.raw ? *reply.raw : json::serialize(reply.body) + "\n";
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  if (!is_head_request_) out.append(body);
  finish_response();
}

void HttpServer::Connection::reply_with_error(int status, const Error& error) {
  keep_alive_ = false;
  is_head_request_ = false;
  refuse(status, error, false);
}

void HttpServer::Connection::refuse_temporarily(const std::string& why) {
  keep_alive_ = keep_alive_ && reader_->is_done() && !over_limit_;
  refuse(503,
         Error{ErrorKind::refused, "request", why + "; the request was not processed",
               "retry after the time in Retry-After"},
         true);
}

void HttpServer::Connection::refuse(int status, const Error& error, bool retry_after) {
  json::value body = error_to_json(error);
  body.as_object()["outcome"] = "refused";
  awaiting_response_ = true;
  write_reply(ControlReply{status, std::move(body), retry_after});
}

void HttpServer::Connection::flush() {
  if (writing_ || closed_ || output_.empty()) return;
  boost::system::error_code error;
  std::size_t count = socket_.write_some(boost::asio::buffer(output_), error);
  if (error && error != boost::asio::error::would_block) return close(CloseCause::client_disconnected);
  if (error) count = 0;
  if (count == output_.size()) {
    output_.clear();
    if (output_.capacity() > max_kept_output_bytes) output_.shrink_to_fit();
    return;
  }
  in_flight_ = std::exchange(output_, {});
  in_flight_written_ = count;
  writing_ = true;
  continue_write();
}

void HttpServer::Connection::continue_write() {
  socket_.async_write_some(boost::asio::buffer(in_flight_) + in_flight_written_,
                           [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                             if (self->closed_) return;
                             if (error) return self->close(CloseCause::client_disconnected);
                             self->in_flight_written_ += count;
                             if (self->response_complete_) self->set_deadline(self->limits_.idle_time);
                             if (self->in_flight_written_ < self->in_flight_.size()) return self->continue_write();
                             self->writing_ = false;
                             self->in_flight_ = {};
                             self->in_flight_written_ = 0;
                             self->flush();
                             if (self->response_complete_ && !self->writing_ && !self->closed_) self->finish_request();
                           });
}

void HttpServer::Connection::finish_response() {
  self_while_control_replies_.reset();
  release_body();
  awaiting_response_ = routed_ = false;
  response_complete_ = true;
  // Closes the connection if the client reads nothing of its response for this time.
  set_deadline(limits_.idle_time);
  flush();
  if (!writing_ && !closed_) finish_request();
}

void HttpServer::Connection::finish_request() {
  response_complete_ = false;
  ++server_.counts_.answered;
  if (!keep_alive_) {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (reader_->is_done() && input_size_ == 0) return close(CloseCause::answered);
    // Closing a socket with unread input resets the connection, which could discard the response before the client
    // has read it. The rest of the input is read and discarded for a short time first.
    discarding_input_ = true;
    input_size_ = 0;
    set_deadline(close_grace);
    return read();
  }
  if (input_size_ == 0) return await_request();
  // Posted, because the router may still be in the call that ended the response.
  boost::asio::post(server_.context_, [self = shared_from_this()] {
    if (!self->closed_) self->await_request();
  });
}

void HttpServer::Connection::close(CloseCause cause) {
  if (closed_) return;
  closed_ = true;
  if (awaiting_response_ || writing_ || response_complete_) server_.count_incomplete(cause, phase());
  self_while_control_replies_.reset();
  release_body();
  server_.deadlines_.clear(id_);
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (routed_ && awaiting_response_)
    boost::asio::post(server_.context_,
                      [self = shared_from_this()] { self->server_.router_.on_client_disconnected(self->route_id_); });
}

}  // namespace mothwalk
