// One attempt: connect, write, read the head, relay the body piece by piece, each step under its budget.
#include "host/beast_exchange.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "host/tcp_wire.hpp"

namespace mothwalk {

namespace beast = boost::beast;
namespace http = beast::http;

struct BeastExchange::Attempt {
  Attempt(boost::asio::io_context& context, Id number, std::shared_ptr<AttemptWatcher> given) : id(number), watcher(std::move(given)), stream(context) {}
  Id id;
  std::shared_ptr<AttemptWatcher> watcher;
  beast::tcp_stream stream;
  beast::flat_buffer buffer{256u << 10};
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::array<char, 16384> piece{};
  Span first_piece{}, between_pieces{};
  Moment began = steady_now();
  bool over = false, any_piece = false, held = false, reading = false;
};

Exchange::Id BeastExchange::start(const AttemptRequest& given, std::shared_ptr<AttemptWatcher> watcher) {
  const Id id = ++last_;
  auto attempt = std::make_shared<Attempt>(context_, id, std::move(watcher));
  attempts_[id] = attempt;
  attempt->first_piece = given.first_piece;
  attempt->between_pieces = given.between_pieces;
  attempt->request.version(11);
  attempt->request.method_string(given.method);
  attempt->request.target(given.target);
  for (const auto& header : given.headers) attempt->request.insert(header.name, header.value);
  attempt->request.set(http::field::host, given.to.text);
  attempt->request.set(http::field::connection, "close");
  if (given.body) attempt->request.body() = *given.body;
  attempt->request.prepare_payload();
  const auto endpoint = endpoint_of(given.to);
  if (!endpoint) {
    boost::asio::post(context_, [this, attempt] { finish(attempt, AttemptEnd::not_sent); });
    return id;
  }
  attempt->stream.expires_after(given.connecting);
  attempt->stream.async_connect(*endpoint, [this, attempt, connecting = given.connecting](const beast::error_code& error) {
    if (attempt->over) return;
    // A process that was frozen meanwhile wakes with a stream that stands and a policy that may be old: nothing is sent.
    if (error || steady_now() - attempt->began > connecting) return finish(attempt, AttemptEnd::not_sent);
    write(attempt);
  });
  return id;
}

void BeastExchange::write(std::shared_ptr<Attempt> attempt) {
  boost::system::error_code ignored;
  attempt->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  attempt->stream.expires_after(attempt->first_piece);
  http::async_write(attempt->stream, attempt->request, [this, attempt](const beast::error_code& error, std::size_t bytes) {
    if (attempt->over) return;
    if (error && bytes == 0) return finish(attempt, AttemptEnd::not_sent);
    if (error == beast::error::timeout) return finish(attempt, AttemptEnd::late);
    // A runner may answer and close before it has read all: its answer is read all the same.
    read_head(attempt);
  });
}

void BeastExchange::read_head(std::shared_ptr<Attempt> attempt) {
  attempt->parser.emplace();
  attempt->parser->header_limit(16384);
  attempt->parser->body_limit(boost::none);
  if (attempt->request.method() == http::verb::head) attempt->parser->skip(true);
  http::async_read_header(attempt->stream, attempt->buffer, *attempt->parser, [this, attempt](const beast::error_code& error, std::size_t) {
    if (attempt->over) return;
    if (error) return finish(attempt, error == beast::error::timeout ? AttemptEnd::late : AttemptEnd::broken);
    const auto& head = attempt->parser->get();
    if (head.result_int() < 200 || head.result_int() > 599) return finish(attempt, AttemptEnd::broken);
    // Without a length or chunks the end can't be told from a break: such an answer is not passed as whole.
    if (!attempt->parser->chunked() && !attempt->parser->content_length() && head.result_int() != 204 && head.result_int() != 304 && attempt->request.method() != http::verb::head)
      return finish(attempt, AttemptEnd::broken);
    std::vector<Header> headers;
    for (const auto& field : head) headers.push_back(Header{std::string(field.name_string()), std::string(field.value())});
    attempt->watcher->on_head(static_cast<int>(head.result_int()), headers);
    if (attempt->over) return;
    if (attempt->parser->is_done()) return finish(attempt, AttemptEnd::whole);
    read_body(attempt);
  });
}

void BeastExchange::read_body(std::shared_ptr<Attempt> attempt) {
  if (attempt->held) return;
  attempt->reading = true;
  attempt->parser->get().body().data = attempt->piece.data();
  attempt->parser->get().body().size = attempt->piece.size();
  attempt->stream.expires_after(attempt->any_piece ? attempt->between_pieces : attempt->first_piece);
  http::async_read_some(attempt->stream, attempt->buffer, *attempt->parser, [this, attempt](beast::error_code error, std::size_t) {
    attempt->reading = false;
    if (attempt->over) return;
    if (error == http::error::need_buffer) error = {};
    const std::size_t count = attempt->piece.size() - attempt->parser->get().body().size;
    if (count > 0) {
      attempt->any_piece = true;
      attempt->watcher->on_piece(View(attempt->piece.data(), count));
      if (attempt->over) return;
    }
    if (error) return finish(attempt, error == beast::error::timeout ? AttemptEnd::late : AttemptEnd::broken);
    if (attempt->parser->is_done()) return finish(attempt, AttemptEnd::whole);
    read_body(attempt);
  });
}

void BeastExchange::finish(std::shared_ptr<Attempt> attempt, AttemptEnd end) {
  if (attempt->over) return;
  attempt->over = true;
  attempts_.erase(attempt->id);
  attempt->stream.close();
  attempt->watcher->on_end(end);
}

void BeastExchange::hold(Id id, bool held) {
  auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second->held == held) return;
  found->second->held = held;
  if (!held && !found->second->reading) read_body(found->second);
}

void BeastExchange::cancel(Id id) {
  auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto attempt = found->second;
  attempts_.erase(found);
  attempt->over = true;
  attempt->stream.close();
}

}  // namespace mothwalk
