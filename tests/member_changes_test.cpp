// Differences of tables of members: what a beat that names a digest is answered with.
#include "sessions/member_changes.hpp"

#include <catch2/catch.hpp>

using namespace mothwalk;

namespace {

Member member(int number, std::uint64_t incarnation = 1) {
  Member made;
  made.address = Address("10.0.0." + std::to_string(number) + ":1");
  made.incarnation = incarnation;
  return made;
}

// A table that keeps its history, as a home does.
struct Home {
  MemberTable table;
  std::uint64_t digest = 0;
  MemberHistory history;
  void change(const MemberChanges& changes) {
    history.add(digest, changes);
    digest = apply(changes, table, digest);
  }
};

}  // namespace

TEST_CASE("what changed since a digest makes the old table the new one, and no more is told than that") {
  Home home;
  for (int number = 1; number <= 100; ++number) home.change({{member(number)}, {}});
  MemberTable known = home.table;
  const std::uint64_t digest = home.digest;
  home.change({{member(7, 2), member(101)}, {member(9).address}});
  home.change({{member(102)}, {member(101).address}});
  const auto changes = home.history.since(digest, home.table);
  REQUIRE(changes);
  CHECK(changes->members.size() == 2);
  CHECK(changes->gone.size() == 2);
  CHECK(apply(*changes, known, digest) == home.digest);
  CHECK(known == home.table);
}

TEST_CASE("the digest of members depends on what they are, not on the order in which they came") {
  MemberTable one, other;
  const std::uint64_t digest = apply({{member(1), member(2)}, {}}, one, 0);
  CHECK(apply({{member(2), member(1)}, {}}, other, 0) == digest);
  CHECK(apply({{member(2, 5)}, {}}, other, digest) != digest);
  CHECK(apply({{member(2)}, {}}, other, digest_of(member(1)) ^ digest_of(member(2, 5))) == digest);
  CHECK(apply({{}, {member(1).address, member(2).address}}, one, digest) == 0);
}

TEST_CASE("a state that is not remembered any more is answered with the whole table") {
  Home home;
  home.change({{member(1)}, {}});
  const std::uint64_t digest = home.digest;
  CHECK_FALSE(home.history.since(digest ^ 1, home.table));
  for (std::uint64_t life = 2; life < 6000; ++life) home.change({{member(2, life)}, {}});
  CHECK_FALSE(home.history.since(digest, home.table));
}

TEST_CASE("a table that came back to an earlier state tells nothing to one that knows that state") {
  Home home;
  home.change({{member(1)}, {}});
  const std::uint64_t digest = home.digest;
  home.change({{member(2)}, {}});
  home.change({{}, {member(2).address}});
  CHECK(home.digest == digest);
  const auto changes = home.history.since(digest, home.table);
  REQUIRE(changes);
  MemberTable known = home.table;
  CHECK(apply(*changes, known, digest) == digest);
  CHECK(known == home.table);
}
