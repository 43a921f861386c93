// Fuzzes the HTTP reader with messages of clients and runners: however the bytes are split into chunks, it reads the
// same message and consumes nothing after its end. The message's headers are also read by the platform's header codec,
// and its body by the event reader.
#include "host/http_reader.hpp"

#include "entry.hpp"
#include "platform/header_codec.hpp"
#include "routes/events.hpp"

namespace mothwalk::fuzz {

namespace {
constexpr std::uint32_t header_limit = 16384;
constexpr std::uint64_t body_limit = 1u << 16;

struct ReadResult {
  bool header_done = false, done = false, failed = false;
  int status = 0;
  std::string method, target;
  std::vector<Header> headers;
  Bytes body;
  std::size_t bytes_used = 0;
};

// Feeds the reader as connections do: bytes that it does not consume are given again together with the next ones.
template <bool is_request>
ReadResult read(StringView bytes, std::size_t chunk_size) {
  HttpReader<is_request> reader;
  reader.header_limit(header_limit);
  reader.body_limit(body_limit);
  boost::beast::error_code error;
  ReadResult result;
  std::size_t bytes_given = 0;
  while (bytes_given < bytes.size() && !error && !reader.is_done()) {
    bytes_given = std::min(bytes.size(), bytes_given + chunk_size);
    result.bytes_used += reader.feed(bytes.substr(result.bytes_used, bytes_given - result.bytes_used), error);
    expect(result.bytes_used <= bytes_given, "the reader consumes no more bytes than it was given");
  }
  result.header_done = reader.is_header_done();
  result.done = reader.is_done();
  result.failed = error.failed();
  result.status = reader.status;
  result.method = reader.method;
  result.target = reader.target;
  result.headers = reader.headers;
  result.body = reader.body;
  return result;
}

bool equal(const std::vector<Header>& left, const std::vector<Header>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const Header& one, const Header& other) {
    return one.name == other.name && one.value == other.value;
  });
}

template <bool is_request>
ReadResult read_and_compare(StringView bytes, std::size_t chunk_size) {
  const ReadResult unchunked = read<is_request>(bytes, std::max<std::size_t>(1, bytes.size()));
  const ReadResult chunked = read<is_request>(bytes, chunk_size);
  if (!unchunked.done) return unchunked;
  expect(chunked.done, "a message in chunks is complete if the unsplit one is");
  expect(unchunked.bytes_used == chunked.bytes_used, "a message in chunks ends at the same byte");
  expect(unchunked.status == chunked.status && unchunked.method == chunked.method && unchunked.target == chunked.target,
         "a message in chunks has the same first line");
  expect(equal(unchunked.headers, chunked.headers), "a message in chunks has the same headers");
  expect(unchunked.body == chunked.body, "a message in chunks has the same body");
  return unchunked;
}

void read_request_headers(const std::vector<Header>& headers) {
  const platform::PlatformHeaderCodec codec;
  const RequestInfo info = codec.read_request(headers);
  AttemptRequest request;
  request.headers = headers;
  AttemptInfo attempt;
  attempt.runner = "r";
  attempt.left = std::chrono::seconds(1);
  codec.write_attempt(request, info, attempt);
  for (const auto& header : request.headers)
    expect(header.value.find_first_of("\r\n") == std::string::npos, "no header of an attempt contains a line break");
}
}  // namespace

void run(StringView bytes) {
  Input input(bytes);
  const std::size_t chunk_size = 1 + input.byte() % 64;
  const bool is_request = input.byte() % 2 == 0;
  const StringView message = input.rest();
  const ReadResult result =
      is_request ? read_and_compare<true>(message, chunk_size) : read_and_compare<false>(message, chunk_size);
  if (!result.header_done) return;
  if (is_request) return read_request_headers(result.headers);
  platform::PlatformHeaderCodec().read_response(result.status, result.headers, RequestInfo{});
  EventReader events;
  Bytes out;
  events.begin(std::nullopt);
  events.take(result.body, out);
}

}  // namespace mothwalk::fuzz
