// One connection of the HTTP server. It reads one request after the other, passes each to the router or to the control
// handler, and writes the response as it arrives.
#pragma once
#include "host/http_reader.hpp"
#include "host/http_server.hpp"

namespace mothwalk {

using TcpSocket = boost::asio::ip::tcp::socket;

class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  Connection(HttpServer& server, TcpSocket socket, bool client_side, std::uint64_t id);
  ~Connection();
  // Starts to read the first request.
  void run() { await_request(); }
  void on_deadline() { close(CloseCause::deadline); }
  // Whether a request is being read or processed, or bytes of a response are still to be sent.
  bool busy() const { return !closed_ && (header_read_ || awaiting_response_ || response_complete_ || writing_); }
  // Closes the connection unless it is busy.
  void close_idle();
  // The phase of the current request. It is reported for a request whose connection closes before the response is
  // complete, for example at the end of the process.
  const char* phase() const;

 private:
  class ConnectionSink;

  // Prepares for the next request, whose bytes may already be in the input buffer.
  void await_request();
  void set_deadline(Duration span) { server_.deadlines_.set(id_, steady_now() + span); }
  void read();
  void parse();
  // Counts the bytes of the body received so far. Returns false if operators' calls have too many together.
  bool account_body();
  // Ends the count of the body's bytes, and frees what was received of it.
  void release_body();
  void reply_with_parse_error(const boost::system::error_code& error);
  void dispatch();
  bool is_control_request(StringView method, StringView target, const std::vector<Header>& headers) const;
  void send_to_control(ControlRequest request);
  // Sends a request that the router took for a live one to the control handler, if that is where it belongs by now.
  bool redirect_to_control(const LiveRequest& request);
  // An operator that closed the connection before its request was read (this process may have been suspended) has sent
  // the request to another daemon by now, possibly followed by later ones. This request must not be applied after
  // those.
  bool client_disconnected();

  // Starts the response header: the status line, and `Connection: close` where this is the last response.
  std::string& start_head(int status);
  void write_reply(const ControlReply& reply);
  void reply_with_error(int status, const Error& error);
  void refuse_temporarily(const std::string& why);
  void refuse(int status, const Error& error, bool retry_after);

  // Writes as much as the socket accepts at once, and the rest as it becomes writable.
  void flush();
  void continue_write();
  void finish_response();
  void finish_request();
  void close(CloseCause cause);

  HttpServer& server_;
  std::shared_ptr<bool> server_alive_;
  TcpSocket socket_;
  std::uint64_t id_;
  bool client_side_, over_limit_;
  ClientLimits limits_;
  std::string input_;  // Its first `input_size_` bytes have been received and not parsed yet.
  std::size_t input_size_ = 0;
  std::optional<HttpReader<true>> reader_;
  std::string output_,  // Bytes that no write has been started for.
      in_flight_;       // Bytes of the write in progress.
  std::size_t in_flight_written_ = 0, accounted_body_bytes_ = 0;
  std::uint64_t request_number_ = 0;
  Router::Id route_id_ = 0;
  // Keeps the connection alive while the control handler has not replied yet.
  std::shared_ptr<Connection> self_while_control_replies_;
  bool keep_alive_ = true, is_head_request_ = false, header_read_ = false, reading_ = false, writing_ = false,
       response_complete_ = false, discarding_input_ = false, closed_ = false, awaiting_response_ = false,
       routed_ = false;
};

}  // namespace mothwalk
