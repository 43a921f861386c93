// Each call opens and closes its own connection.
#include "host/http_client.hpp"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "host/tcp_transport.hpp"

namespace mothwalk {

namespace beast = boost::beast;
namespace http = beast::http;

Result<HttpResponse> http_call(const Address& to, StringView method, StringView target, StringView body,
                               Duration limit) {
  const auto endpoint = endpoint_of(to);
  if (!endpoint) return Error{ErrorKind::invalid, "address", "'" + to.text + "' is not an address", "give ip:port"};
  boost::asio::io_context context(1);
  beast::tcp_stream stream(context);
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, to.text);
  request.set(http::field::connection, "close");
  if (!body.empty()) request.set(http::field::content_type, "application/json");
  request.body() = std::string(body);
  request.prepare_payload();
  http::response_parser<http::string_body> parser;
  parser.body_limit(64u << 20);
  std::optional<beast::error_code> outcome;
  bool sent = false;
  stream.expires_after(limit);
  stream.async_connect(*endpoint, [&](const beast::error_code& error) {
    if (error) return void(outcome = error);
    sent = true;
    http::async_write(stream, request, [&](const beast::error_code& failed, std::size_t) {
      if (failed) return void(outcome = failed);
      http::async_read(stream, buffer, parser, [&](const beast::error_code& ended, std::size_t) { outcome = ended; });
    });
  });
  context.run();
  if (!outcome || *outcome) {
    const std::string what = outcome ? outcome->message() : "the call ended without a result";
    return Error{sent ? ErrorKind::unknown : ErrorKind::lost, "address", "the call to " + to.text + " failed: " + what,
                 "check that the daemon is running, or name another daemon with --control"};
  }
  HttpResponse response;
  response.status = static_cast<int>(parser.get().result_int());
  for (const auto& field : parser.get()) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    response.headers[name] = std::string(field.value());
  }
  response.body = std::move(parser.get().body());
  return response;
}

}  // namespace mothwalk
