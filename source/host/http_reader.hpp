// Reads one HTTP/1.1 message incrementally with Beast's parser. Headers are stored in the type that the components use,
// and body bytes as they arrive. Bytes after the end of the message are not consumed.
#pragma once
#include <boost/beast/http/basic_parser.hpp>

#include "interfaces/interfaces.hpp"

namespace mothwalk {

// A parser for a request or a response.
template <bool is_request>
class HttpReader : public boost::beast::http::basic_parser<is_request> {
 public:
  using ErrorCode = boost::beast::error_code;
  HttpReader() { this->eager(true); }
  std::string method, target;
  int status = 0, version = 0;
  std::vector<Header> headers;
  Bytes body;  // The body bytes received since the owner last moved them out.
  // Parses as much as possible and returns the number of bytes consumed. The caller has to pass the remaining bytes
  // again, followed by further input.
  std::size_t feed(StringView bytes, ErrorCode& error) {
    std::size_t used = 0;
    while (used < bytes.size() && !this->is_done()) {
      const std::size_t count = this->put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), error);
      used += count;
      if (error == boost::beast::http::error::need_more) {
        error = {};
        break;
      }
      if (error || count == 0) break;
    }
    return used;
  }

 private:
  using Text = boost::beast::string_view;
  void on_request_impl(boost::beast::http::verb, Text method_text, Text target_text, int number, ErrorCode&) override {
    method.assign(method_text.data(), method_text.size());
    target.assign(target_text.data(), target_text.size());
    version = number;
  }
  void on_response_impl(int code, Text, int number, ErrorCode&) override {
    status = code;
    version = number;
  }
  void on_field_impl(boost::beast::http::field, Text name, Text value, ErrorCode&) override {
    if (!this->is_header_done())
      headers.push_back(Header{std::string(name.data(), name.size()), std::string(value.data(), value.size())});
  }
  void on_header_impl(ErrorCode&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode&) override {
    if (is_request && length) body.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, 1u << 20)));
  }
  std::size_t on_body_impl(Text text, ErrorCode&) override {
    body.append(text.data(), text.size());
    return text.size();
  }
  void on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, Text text, ErrorCode&) override {
    body.append(text.data(), text.size());
    return text.size();
  }
  void on_finish_impl(ErrorCode&) override {}
};

}  // namespace mothwalk
