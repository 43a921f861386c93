// HTTP messages of callers and runners: however the bytes are cut into pieces, the same message is read, and nothing
// behind its end is taken. What the dialect reads of the headers, and the events of a body, are read as well.
#include "host/http_reader.hpp"

#include "entry.hpp"
#include "platform/dialect.hpp"
#include "routes/events.hpp"

namespace mothwalk::fuzz {

namespace {
constexpr std::uint32_t header_limit = 16384;
constexpr std::uint64_t body_limit = 1u << 16;

struct Outcome {
  bool headed = false, done = false, failed = false;
  int status = 0;
  std::string method, target;
  std::vector<Header> headers;
  Bytes body;
  std::size_t used = 0;
};

// Reads as the connections do: what the reader does not take is given again with what comes next.
template <bool is_request>
Outcome read(StringView bytes, std::size_t piece) {
  HttpReader<is_request> reader;
  reader.header_limit(header_limit);
  reader.body_limit(body_limit);
  boost::beast::error_code error;
  Outcome outcome;
  std::size_t given = 0;
  while (given < bytes.size() && !error && !reader.is_done()) {
    given = std::min(bytes.size(), given + piece);
    outcome.used += reader.feed(bytes.substr(outcome.used, given - outcome.used), error);
    expect(outcome.used <= given, "no more is taken than was given");
  }
  outcome.headed = reader.is_header_done();
  outcome.done = reader.is_done();
  outcome.failed = error.failed();
  outcome.status = reader.status;
  outcome.method = reader.method;
  outcome.target = reader.target;
  outcome.headers = reader.headers;
  outcome.body = reader.body;
  return outcome;
}

bool equal(const std::vector<Header>& left, const std::vector<Header>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const Header& one, const Header& other) {
    return one.name == other.name && one.value == other.value;
  });
}

template <bool is_request>
Outcome read_both_ways(StringView bytes, std::size_t piece) {
  const Outcome whole = read<is_request>(bytes, std::max<std::size_t>(1, bytes.size()));
  const Outcome pieces = read<is_request>(bytes, piece);
  if (!whole.done) return whole;
  expect(pieces.done, "a message in pieces is whole where the message is");
  expect(whole.used == pieces.used, "a message in pieces ends where the message does");
  expect(whole.status == pieces.status && whole.method == pieces.method && whole.target == pieces.target,
         "the first line in pieces is the first line");
  expect(equal(whole.headers, pieces.headers), "headers in pieces are the headers");
  expect(whole.body == pieces.body, "a body in pieces is the body");
  return whole;
}

void read_facts(const std::vector<Header>& headers) {
  const platform::PlatformDialect dialect;
  const RequestInfo facts = dialect.read_request(headers);
  AttemptRequest request;
  request.headers = headers;
  AttemptInfo attempt;
  attempt.runner = "r";
  attempt.left = std::chrono::seconds(1);
  dialect.write_attempt(request, facts, attempt);
  for (const auto& header : request.headers)
    expect(header.value.find_first_of("\r\n") == std::string::npos, "no header of an attempt breaks its line");
}
}  // namespace

void run(StringView bytes) {
  Input input(bytes);
  const std::size_t piece = 1 + input.byte() % 64;
  const bool is_request = input.byte() % 2 == 0;
  const StringView message = input.rest();
  const Outcome outcome = is_request ? read_both_ways<true>(message, piece) : read_both_ways<false>(message, piece);
  if (!outcome.headed) return;
  if (is_request) return read_facts(outcome.headers);
  platform::PlatformDialect().read_answer(outcome.status, outcome.headers, RequestInfo{});
  EventReader events;
  Bytes out;
  events.begin(std::nullopt);
  events.take(outcome.body, out);
}

}  // namespace mothwalk::fuzz
