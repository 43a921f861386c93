// Sessions: reading with limits, answering in whole or in pieces, and noticing callers that leave.
#include "host/front.hpp"

#include <sys/socket.h>

#include <cerrno>

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include "host/http_reader.hpp"
#include "host/tcp_transport.hpp"

namespace mothwalk {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {
constexpr std::size_t spare_sessions = 200;  // over the limit, in which callers are told to come back
constexpr std::size_t input_bytes = 4096, long_input_bytes = 32768, kept_output_bytes = 16384;
constexpr Duration lingering = std::chrono::seconds(1);

bool for_lots(StringView, StringView target, const std::vector<Header>&) {
  return target == "/lots" || target.starts_with("/lots/") || target.starts_with("/lots?");
}

void put_hex(std::string& out, std::size_t value) {
  char digits[16];
  std::size_t count = 0;
  do digits[count++] = "0123456789abcdef"[value % 16];
  while (value /= 16);
  while (count > 0) out.push_back(digits[--count]);
}
StringView name_of(CloseCause cause) {
  switch (cause) {
    case CloseCause::caller_left:
      return "caller left";
    case CloseCause::broken_off:
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

class Front::Session : public std::enable_shared_from_this<Front::Session> {
 public:
  Session(Front& front, tcp::socket socket, bool callers, std::uint64_t number)
      : front_(front),
        alive_(front.alive_),
        socket_(std::move(socket)),
        number_(number),
        callers_(callers),
        over_(front.sessions_.size() >= front.most_sessions_) {}
  ~Session() {
    if (*alive_) front_.sessions_.erase(number_);
  }
  void run() { expect(); }
  void due() { close(CloseCause::deadline); }
  // A request is read or answered, or bytes of an answer are on their way.
  bool busy() const { return !closed_ && (headed_ || answering_ || done_ || writing_); }
  void close_idle() {
    if (!busy()) close(CloseCause::idle);
  }
  // What becomes of its request now, as an end of the process would cut it.
  const char* phase() const { return answering_ ? "answering" : done_ || writing_ ? "writing" : "reading"; }

 private:
  // What the entries write to; it outlives neither its request nor the session's connection.
  class Caller : public ResponseSink {
   public:
    Caller(std::shared_ptr<Session> session, std::uint64_t turn) : session_(std::move(session)), turn_(turn) {}
    void head(int status, const std::vector<Header>& headers) override {
      if (!current()) return;
      std::string& out = session_->start_head(status);
      bool length = false;
      for (const auto& header : headers) {
        length = length || same_name(header.name, "Content-Length");
        out.append(header.name).append(": ").append(header.value).append("\r\n");
      }
      // These statuses have no body by definition.
      bodiless_ = status == 204 || status == 304 || session_->head_request_;
      chunked_ = !length && !bodiless_;
      if (chunked_) out.append("Transfer-Encoding: chunked\r\n");
      out.append("\r\n");
    }
    void piece(StringView piece) override {
      if (!current() || piece.empty() || bodiless_) return;
      std::string& out = session_->output_;
      if (chunked_) {
        put_hex(out, piece.size());
        out.append("\r\n").append(piece).append("\r\n");
      } else {
        out.append(piece);
      }
    }
    void flush() override {
      if (current()) session_->flush();
    }
    void end() override {
      if (!current()) return;
      if (chunked_) session_->output_.append("0\r\n\r\n");
      session_->answered();
    }
    void break_off() override {
      if (!current()) return;
      session_->flush();
      session_->close(CloseCause::broken_off);
    }
    std::size_t backlog() const override {
      return session_->output_.size() + session_->in_flight_.size() - session_->written_;
    }

   private:
    bool current() const { return session_->turn_ == turn_ && !session_->closed_; }
    std::shared_ptr<Session> session_;
    std::uint64_t turn_;
    bool bodiless_ = false, chunked_ = false;
  };

  // A next request is awaited; it may have come already.
  void expect() {
    limits_ = front_.router_.limits();
    reader_.emplace();
    reader_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    reader_->body_limit(limits_.body_bytes);
    headed_ = false;
    // A little longer than callers count on, so that none meets a connection that is just closing.
    set_deadline(limits_.idle_time + lingering);
    if (filled_ > 0)
      parse();
    else
      read();
  }

  void set_deadline(Duration span) { front_.deadlines_.set(number_, steady_now() + span); }

  void read() {
    if (reading_ || closed_ || (input_.size() > 0 && filled_ == input_.size())) return;
    if (input_.empty()) input_.resize(input_bytes);
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(input_.data() + filled_, input_.size() - filled_),
                            [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                              self->reading_ = false;
                              if (self->closed_) return;
                              if (error) return self->close(CloseCause::caller_left);
                              self->filled_ += count;
                              if (self->lingering_) {
                                self->filled_ = 0;
                                return self->read();
                              }
                              if (!self->answering_ && !self->done_) return self->parse();
                              // What is sent ahead of an answer waits, and the caller's leaving is still noticed.
                              if (self->input_.size() < long_input_bytes) self->input_.resize(long_input_bytes);
                              self->read();
                            });
  }

  void parse() {
    boost::system::error_code error;
    const bool first = !reader_->got_some();
    const std::size_t used = reader_->feed(StringView(input_.data(), filled_), error);
    std::copy(input_.begin() + static_cast<std::ptrdiff_t>(used), input_.begin() + static_cast<std::ptrdiff_t>(filled_),
              input_.begin());
    filled_ -= used;
    if (error) return failed(error);
    if (reader_->is_header_done() && !headed_) {
      headed_ = true;
      if (over_) return busy("this daemon serves as many connections as it may");
      if (reader_->version != 11)
        return reply_with_error(505, Error{ErrorKind::invalid, "version", "only HTTP/1.1 is served", "use HTTP/1.1"});
      const std::string* expectation = header_of(reader_->headers, "Expect");
      if (expectation != nullptr && same_name(*expectation, "100-continue") && !reader_->is_done()) {
        output_.append("HTTP/1.1 100 Continue\r\n\r\n");
        flush();
      }
    }
    if (reader_->is_done()) return dispatch();
    if (headed_)
      set_deadline(limits_.idle_time);
    else if (first)
      set_deadline(limits_.header_time);
    const std::size_t room = headed_ ? long_input_bytes : std::max(input_bytes, filled_ + input_bytes / 2);
    if (input_.size() < room) input_.resize(room);
    read();
  }

  void failed(const boost::system::error_code& error) {
    if (error == http::error::header_limit)
      return reply_with_error(431,
                              Error{ErrorKind::too_large, "headers",
                                    "the headers are longer than " + std::to_string(limits_.header_bytes) + " bytes",
                                    "send fewer headers"});
    if (error == http::error::body_limit)
      return reply_with_error(
          413, Error{ErrorKind::too_large, "body",
                     "the body is longer than " + std::to_string(limits_.body_bytes) + " bytes", "send a shorter one"});
    reply_with_error(400, Error{ErrorKind::invalid, "request", "this is not an HTTP/1.1 request: " + error.message(),
                                "send a well-formed request"});
  }

  void dispatch() {
    front_.deadlines_.clear(number_);
    if (input_.size() > input_bytes && filled_ < input_bytes) {
      input_.resize(input_bytes);
      input_.shrink_to_fit();
    }
    ++front_.counts_.read;
    keep_ = reader_->keep_alive();
    head_request_ = reader_->method == "HEAD";
    ++turn_;
    answering_ = true;
    read();
    if (front_.closed_) return busy("this daemon is shutting down");
    const bool to_control =
        !callers_ ||
        (front_.to_control_side_ ? front_.to_control_side_(reader_->method, reader_->target, reader_->headers)
                                 : for_lots(reader_->method, reader_->target, reader_->headers));
    if (to_control) {
      if (!callers_ && caller_left()) return close(CloseCause::caller_left);
      ControlRequest control{std::move(reader_->method), std::move(reader_->target), std::move(reader_->body), callers_,
                             std::move(reader_->headers)};
      // Another thread gets no share in this session, which must end on its own thread.
      held_ = shared_from_this();
      const bool taken = front_.control_(
          std::move(control), [weak = weak_from_this(), &context = front_.context_, turn = turn_](ControlReply reply) {
            boost::asio::post(context, [weak, turn, reply = std::move(reply)] {
              if (auto self = weak.lock(); self && self->turn_ == turn && !self->closed_) self->whole(reply);
            });
          });
      if (!taken) busy("this daemon's control is busy");
      return;
    }
    LiveRequest live{std::move(reader_->method), std::move(reader_->target), std::move(reader_->headers),
                     std::make_shared<const Bytes>(std::move(reader_->body))};
    const auto turn = turn_;
    live_ = true;
    const Router::Id id = front_.router_.arrive(std::move(live), std::make_shared<Caller>(shared_from_this(), turn));
    if (turn_ == turn && answering_)
      entry_ = id;
    else
      live_ = false;
  }

  // An operator that closed the connection before its order was read (this process may have been frozen) has sent it to
  // another daemon by now, and may have sent later ones: the order is not to come after those.
  bool caller_left() {
    char next = 0;
    const auto count = ::recv(socket_.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }

  // The status line and what this side says of the connection.
  std::string& start_head(int status) {
    keep_ = keep_ && !front_.router_.draining();
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    output_.append("HTTP/1.1 ")
        .append(std::to_string(status))
        .append(" ")
        .append(reason.data(), reason.size())
        .append("\r\n");
    if (!keep_) output_.append("Connection: close\r\n");
    return output_;
  }

  void whole(const ControlReply& reply) {
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
    if (!head_request_) out.append(body);
    answered();
  }

  void reply_with_error(int status, const Error& error) {
    keep_ = false;
    head_request_ = false;
    refuse(status, error, false);
  }

  void busy(const std::string& why) {
    keep_ = keep_ && reader_->is_done() && !over_;
    refuse(
        503,
        Error{ErrorKind::refused, "request", why + "; nothing was done", "send it again after the time in Retry-After"},
        true);
  }

  void refuse(int status, const Error& error, bool retry_after) {
    json::value body = error_to_json(error);
    body.as_object()["outcome"] = "refused";
    answering_ = true;
    whole(ControlReply{status, std::move(body), retry_after});
  }

  // Writes at once what the connection takes, and the rest as it takes more.
  void flush() {
    if (writing_ || closed_ || output_.empty()) return;
    boost::system::error_code error;
    std::size_t count = socket_.write_some(boost::asio::buffer(output_), error);
    if (error && error != boost::asio::error::would_block) return close(CloseCause::caller_left);
    if (error) count = 0;
    if (count == output_.size()) {
      output_.clear();
      if (output_.capacity() > kept_output_bytes) output_.shrink_to_fit();
      return;
    }
    in_flight_ = std::exchange(output_, {});
    written_ = count;
    writing_ = true;
    write_on();
  }

  void write_on() {
    socket_.async_write_some(boost::asio::buffer(in_flight_) + written_,
                             [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                               if (self->closed_) return;
                               if (error) return self->close(CloseCause::caller_left);
                               self->written_ += count;
                               if (self->done_) self->set_deadline(self->limits_.idle_time);
                               if (self->written_ < self->in_flight_.size()) return self->write_on();
                               self->writing_ = false;
                               self->in_flight_ = {};
                               self->written_ = 0;
                               self->flush();
                               if (self->done_ && !self->writing_ && !self->closed_) self->next();
                             });
  }

  void answered() {
    held_.reset();
    answering_ = live_ = false;
    done_ = true;
    // A caller that takes nothing of its answer for that long is left.
    set_deadline(limits_.idle_time);
    flush();
    if (!writing_ && !closed_) next();
  }

  void next() {
    done_ = false;
    ++front_.counts_.answered;
    if (!keep_) {
      boost::system::error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      if (reader_->is_done() && filled_ == 0) return close(CloseCause::answered);
      // Closing over bytes that were not read would reset the connection, and could take the answer with it.
      lingering_ = true;
      filled_ = 0;
      set_deadline(lingering);
      return read();
    }
    if (filled_ == 0) return expect();
    // On an event of its own: the entries may still be in the pass that answered.
    boost::asio::post(front_.context_, [self = shared_from_this()] {
      if (!self->closed_) self->expect();
    });
  }

  void close(CloseCause cause) {
    if (closed_) return;
    closed_ = true;
    if (answering_ || writing_ || done_) front_.count_cut(cause, phase());
    held_.reset();
    front_.deadlines_.clear(number_);
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (live_ && answering_)
      boost::asio::post(front_.context_, [self = shared_from_this()] { self->front_.router_.gone(self->entry_); });
  }

  Front& front_;
  std::shared_ptr<bool> alive_;
  tcp::socket socket_;
  std::uint64_t number_;
  bool callers_, over_;
  CallerLimits limits_;
  std::string input_;  // its first `filled_` bytes are to be read
  std::size_t filled_ = 0;
  std::optional<HttpReader<true>> reader_;
  std::string output_, in_flight_;  // not given to the connection yet, and being given
  std::size_t written_ = 0;
  std::uint64_t turn_ = 0;
  Router::Id entry_ = 0;
  std::shared_ptr<Session> held_;  // itself, while control answers
  bool keep_ = true, head_request_ = false, headed_ = false, reading_ = false, writing_ = false, done_ = false,
       lingering_ = false, closed_ = false, answering_ = false, live_ = false;
};

Front::Front(boost::asio::io_context& context, Router& router, ToControl control, std::size_t most_sessions,
             ToControlSide to_control_side)
    : context_(context),
      router_(router),
      control_(std::move(control)),
      most_sessions_(most_sessions),
      to_control_side_(std::move(to_control_side)),
      deadlines_(context, [this](std::uint64_t number) {
        auto found = sessions_.find(number);
        if (found == sessions_.end()) return;
        if (auto session = found->second.lock()) session->due();
      }) {}

Front::~Front() {
  *alive_ = false;
}

Result<Success> Front::listen(const Address& address, bool callers) {
  const auto endpoint = endpoint_of(address);
  const std::string field = callers ? "callers" : "control";
  if (!endpoint) return Error{ErrorKind::invalid, field, "'" + address.text + "' is not an address", "give ip:port"};
  auto listener = std::make_shared<Listener>(Listener{tcp::acceptor(context_), callers});
  boost::system::error_code error;
  listener->acceptor.open(endpoint->protocol(), error);
  if (!error) listener->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) listener->acceptor.bind(*endpoint, error);
  if (!error) listener->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error)
    return Error{ErrorKind::conflict, field, "can't listen on " + address.text + ": " + error.message(),
                 "give an address of this machine with a free port"};
  listeners_.push_back(listener);
  accept(listener);
  return Success{};
}

void Front::accept(std::shared_ptr<Listener> listener) {
  listener->acceptor.async_accept([this, listener](const boost::system::error_code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error && sessions_.size() < most_sessions_ + spare_sessions) {
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      socket.non_blocking(true, ignored);
      const auto session = std::make_shared<Session>(*this, std::move(socket), listener->callers, ++last_session_);
      sessions_[last_session_] = session;
      session->run();
    }
    if (error) {
      // Out of file descriptors: accept again a little later.
      auto timer = std::make_shared<boost::asio::steady_timer>(context_, std::chrono::milliseconds(50));
      timer->async_wait([this, listener, timer](const boost::system::error_code&) { accept(listener); });
      return;
    }
    accept(listener);
  });
}

void Front::close() {
  closed_ = true;
  for (auto& listener : listeners_) {
    boost::system::error_code ignored;
    listener->acceptor.close(ignored);
  }
  for (const auto& session : sessions()) session->close_idle();
}

void Front::count_cut(CloseCause cause, const char* phase) {
  ++counts_.cut[std::string(name_of(cause)) + ", " + phase];
}

std::map<std::string, std::size_t> Front::busy_phases() const {
  std::map<std::string, std::size_t> phases;
  for (const auto& session : sessions())
    if (session->busy()) ++phases[session->phase()];
  return phases;
}

std::size_t Front::busy() const {
  const auto all = sessions();
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [](const auto& session) { return session->busy(); }));
}

std::vector<std::shared_ptr<Front::Session>> Front::sessions() const {
  std::vector<std::shared_ptr<Session>> all;
  for (const auto& [number, session] : sessions_)
    if (auto living = session.lock()) all.push_back(std::move(living));
  return all;
}

}  // namespace mothwalk
