// Tests the changes between tables of members, which a session server sends in reply to a heartbeat.
#include "sessions/member_changes.hpp"

#include <catch2/catch.hpp>

using namespace mothwalk;

namespace {

Member member(int number, std::uint64_t incarnation = 1) {
  Member result;
  result.address = Address("10.0.0." + std::to_string(number) + ":1");
  result.incarnation = incarnation;
  return result;
}

// A table of members that records its history, as a session server does.
struct SessionServer {
  MemberTable table;
  std::uint64_t digest = 0;
  MemberHistory history;
  void change(const MemberChanges& changes) {
    history.add(digest, changes);
    digest = apply(changes, table, digest);
  }
};

}  // namespace

TEST_CASE("the changes since a digest turn the old table into the new one and contain nothing else") {
  SessionServer server;
  for (int number = 1; number <= 100; ++number) server.change({{member(number)}, {}});
  MemberTable copy = server.table;
  const std::uint64_t digest = server.digest;
  server.change({{member(7, 2), member(101)}, {member(9).address}});
  server.change({{member(102)}, {member(101).address}});
  const auto changes = server.history.since(digest, server.table);
  REQUIRE(changes);
  CHECK(changes->members.size() == 2);
  CHECK(changes->gone.size() == 2);
  CHECK(apply(*changes, copy, digest) == server.digest);
  CHECK(copy == server.table);
}

TEST_CASE("the digest of members depends on their contents, not on the order in which they were added") {
  MemberTable one, other;
  const std::uint64_t digest = apply({{member(1), member(2)}, {}}, one, 0);
  CHECK(apply({{member(2), member(1)}, {}}, other, 0) == digest);
  CHECK(apply({{member(2, 5)}, {}}, other, digest) != digest);
  CHECK(apply({{member(2)}, {}}, other, digest_of(member(1)) ^ digest_of(member(2, 5))) == digest);
  CHECK(apply({{}, {member(1).address, member(2).address}}, one, digest) == 0);
}

TEST_CASE("there are no changes to report since a state that is no longer recorded") {
  SessionServer server;
  server.change({{member(1)}, {}});
  const std::uint64_t digest = server.digest;
  CHECK_FALSE(server.history.since(digest ^ 1, server.table));
  for (std::uint64_t incarnation = 2; incarnation < 6000; ++incarnation) server.change({{member(2, incarnation)}, {}});
  CHECK_FALSE(server.history.since(digest, server.table));
}

TEST_CASE("the changes since an earlier state that the table has returned to leave a copy of that state as it is") {
  SessionServer server;
  server.change({{member(1)}, {}});
  const std::uint64_t digest = server.digest;
  server.change({{member(2)}, {}});
  server.change({{}, {member(2).address}});
  CHECK(server.digest == digest);
  const auto changes = server.history.since(digest, server.table);
  REQUIRE(changes);
  MemberTable copy = server.table;
  CHECK(apply(*changes, copy, digest) == digest);
  CHECK(copy == server.table);
}
