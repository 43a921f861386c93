// Streams of server-sent events that another runner resumes: only complete events are passed on, none is lost or
// repeated.
#include <catch2/catch.hpp>

#include "routes/events.hpp"

using namespace mothwalk;

TEST_CASE("complete events are passed on unchanged, whatever chunks their bytes arrive in") {
  const Bytes text =
      "id: 1\ndata: a\n\n: a comment\n\nid:2\r\ndata: b\r\ndata: c\r\n\r\nweights: 3\nid: 3\ndata: d\n\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    EventReader reader;
    reader.begin(std::nullopt);
    Bytes out;
    for (std::size_t from = 0; from < text.size(); from += step) {
      REQUIRE(reader.take(StringView(text).substr(from, step), out));
      CHECK((out.empty() || out.ends_with("\n\n") || out.ends_with("\n\r\n")));
    }
    CHECK(out == text);
    CHECK(reader.last() == std::optional<std::uint64_t>(3));
  }
}

TEST_CASE("the version of the weights is that of the last complete event that changed it") {
  EventReader reader("weights");
  reader.begin(std::nullopt);
  Bytes out;
  REQUIRE(reader.take("id: 1\ndata: weights: 5\n\n", out));
  CHECK_FALSE(reader.version().has_value());
  REQUIRE(reader.take("weights: 7\nid: 2\ndata: b\n\nweights: 8\nid: 3\ndata: c\n", out));
  CHECK(reader.version() == "7");
  // The event that changed the version to 8 is incomplete, so another run begins after event 2.
  reader.begin(reader.last());
  REQUIRE(reader.take("id: 3\ndata: c\n\n", out));
  CHECK(reader.version() == "7");
}

TEST_CASE("an incomplete event is dropped when its run ends, and the next run must continue with the next id") {
  EventReader reader;
  reader.begin(std::nullopt);
  Bytes out;
  REQUIRE(reader.take("id: 1\ndata: a\n\nid: 2\nda", out));
  CHECK(out == "id: 1\ndata: a\n\n");
  CHECK(reader.rest() == "id: 2\nda");
  reader.begin(reader.last());
  out.clear();
  REQUIRE(reader.take("id: 2\ndata: b\n\n", out));
  CHECK(out == "id: 2\ndata: b\n\n");
  for (const char* wrong : {"id: 2\ndata: b\n\n", "id: 4\ndata: d\n\n"}) {
    reader.begin(2);
    out.clear();
    CHECK_FALSE(reader.take(wrong, out));
    CHECK(out.empty());
  }
}
