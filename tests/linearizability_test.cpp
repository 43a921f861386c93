// Tests the linearizability checker on hand-written histories: linearizable ones pass, and each kind of violation is
// found.
#include "linearizability.hpp"

#include <catch2/catch.hpp>

using namespace mothwalk::linearizability;

namespace {

const Change first{0, 3, "a"}, rival{0, 3, "b"}, second{3, 5, "c"}, third{5, 8, "d"};

ChangeCall accepted(const Change& change, Time invoked, Time completed) {
  return ChangeCall{change, invoked, completed, Outcome::accepted};
}
ChangeCall refused(const Change& change, Time invoked, Time completed) {
  return ChangeCall{change, invoked, completed, Outcome::refused};
}
ChangeCall unanswered(const Change& change, Time invoked) {
  return ChangeCall{change, invoked, never, Outcome::unknown};
}
ReadCall read_of(const Change& change, Time invoked, Time completed) {
  return ReadCall{change.revision, change.content, invoked, completed};
}
bool is_linearizable(std::vector<ChangeCall> change_calls, std::vector<ReadCall> read_calls = {}) {
  return check(ConfigurationHistory{std::move(change_calls), std::move(read_calls)}).empty();
}

SetCall begin_call(Time invoked, Time completed, Time latest = never) {
  return SetCall{"zone", true, true, invoked, completed, completed != never, latest};
}
SetCall finish_call(Time invoked, Time completed) {
  return SetCall{"zone", true, false, invoked, completed, completed != never};
}
SetCall zone_read(bool present, Time invoked, Time completed) {
  return SetCall{"zone", false, present, invoked, completed};
}

}  // namespace

TEST_CASE("linearizability: valid histories of a configuration pass", "[linearizability]") {
  CHECK(is_linearizable({}));
  CHECK(is_linearizable({}, {ReadCall{0, "", 1, 2}}));
  CHECK(is_linearizable({accepted(first, 1, 2), accepted(second, 3, 4)}, {read_of(second, 5, 6)}));
  // Of two changes with the same base one is refused, even if it was sent first.
  CHECK(is_linearizable({refused(rival, 1, 9), accepted(first, 2, 3)}));
  // A change whose response was lost may or may not have been accepted.
  CHECK(is_linearizable({unanswered(first, 1), accepted(second, 5, 6)}));
  CHECK(is_linearizable({unanswered(first, 1), accepted(rival, 2, 3)}));
  CHECK(is_linearizable({unanswered(first, 1)}, {ReadCall{0, "", 2, 3}, read_of(first, 4, 5)}));
  // A change that is resent after later changes is acknowledged again.
  CHECK(is_linearizable({accepted(first, 1, 2), accepted(second, 3, 4), accepted(third, 5, 6), accepted(first, 7, 8)}));
  CHECK(is_linearizable({unanswered(first, 1), accepted(second, 3, 4), accepted(first, 7, 8)}));
  // A read that overlaps a change may return the old or the new configuration.
  CHECK(is_linearizable({accepted(first, 1, 9)}, {ReadCall{0, "", 2, 3}, read_of(first, 4, 5)}));
  // A change is refused because its base is not the current revision yet.
  CHECK(is_linearizable({refused(second, 1, 2), accepted(first, 3, 4)}));
}

TEST_CASE("linearizability: violations in histories of a configuration are found", "[linearizability]") {
  // Two changes with the same base are both confirmed.
  CHECK_FALSE(is_linearizable({accepted(first, 1, 2), accepted(rival, 3, 4)}));
  CHECK_FALSE(is_linearizable({accepted(first, 1, 9), accepted(rival, 2, 8)}));
  // A change is confirmed, then refused when it is resent, at once or after later changes.
  CHECK_FALSE(is_linearizable({accepted(first, 1, 2), refused(first, 3, 4)}));
  CHECK_FALSE(is_linearizable({accepted(first, 1, 2), accepted(second, 3, 4), refused(first, 5, 6)}));
  // A change is refused by one daemon although it was accepted, as a later read shows.
  CHECK_FALSE(is_linearizable({unanswered(first, 1), refused(first, 3, 4)}, {read_of(first, 5, 6)}));
  // A change is refused although its base is the current revision.
  CHECK_FALSE(is_linearizable({accepted(first, 1, 2), refused(second, 3, 4)}, {read_of(first, 5, 6)}));
  // An old configuration is read after a newer one was confirmed or read.
  CHECK_FALSE(is_linearizable({accepted(first, 1, 2), accepted(second, 3, 4)}, {read_of(first, 5, 6)}));
  CHECK_FALSE(is_linearizable({unanswered(first, 1)}, {read_of(first, 2, 3), ReadCall{0, "", 4, 5}}));
  // A change that was refused or never sent has taken effect, or a change is accepted whose base never existed.
  CHECK_FALSE(is_linearizable({accepted(first, 1, 2), refused(rival, 3, 4)}, {read_of(rival, 5, 6)}));
  CHECK_FALSE(is_linearizable({accepted(first, 1, 2)}, {read_of(second, 5, 6)}));
  CHECK_FALSE(is_linearizable({accepted(second, 1, 2)}));
  // A change has taken effect before it was sent.
  CHECK_FALSE(is_linearizable({unanswered(first, 5)}, {read_of(first, 1, 2)}));
}

TEST_CASE("linearizability: histories of a set are checked", "[linearizability]") {
  CHECK(check({begin_call(1, 2), zone_read(true, 3, 4), finish_call(5, 6), zone_read(false, 7, 8)}).empty());
  CHECK(check({begin_call(1, never), zone_read(false, 2, 3), zone_read(true, 4, 5)}).empty());
  CHECK(check({begin_call(1, 2), begin_call(3, 4), finish_call(5, 6), finish_call(7, 8), zone_read(false, 9, 10)})
            .empty());
  // An acknowledged member is missing, or a member is still present after its acknowledged removal, or disappears.
  CHECK_FALSE(check({begin_call(1, 2), zone_read(false, 3, 4)}).empty());
  CHECK_FALSE(check({begin_call(1, 2), finish_call(3, 4), zone_read(true, 5, 6)}).empty());
  CHECK_FALSE(check({begin_call(1, 2), zone_read(true, 3, 4), zone_read(false, 5, 6)}).empty());
  // A begin whose response was lost may take effect late, but not after its latest time.
  CHECK(check({begin_call(1, never, 6), finish_call(3, 4), zone_read(true, 7, 8)}).empty());
  CHECK_FALSE(check({begin_call(1, never, 6), finish_call(9, 10), zone_read(true, 11, 12)}).empty());
  CHECK_FALSE(check({zone_read(true, 1, 2)}).empty());
}
