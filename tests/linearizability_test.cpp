// The checker itself, on histories made by hand: good ones pass, and each kind of bad one is found.
#include "linearizability.hpp"

#include <catch2/catch.hpp>

using namespace mothwalk::linearizability;

namespace {

const Order first{0, 3, "a"}, rival{0, 3, "b"}, second{3, 5, "c"}, third{5, 8, "d"};

Sending taken(const Order& order, Time invoked, Time answered) {
  return Sending{order, invoked, answered, Answer::taken};
}
Sending refused(const Order& order, Time invoked, Time answered) {
  return Sending{order, invoked, answered, Answer::refused};
}
Sending lost(const Order& order, Time invoked) {
  return Sending{order, invoked, never, Answer::unknown};
}
Reading read(const Order& order, Time invoked, Time answered) {
  return Reading{order.number, order.content, invoked, answered};
}
bool good(std::vector<Sending> sendings, std::vector<Reading> readings = {}) {
  return check(ConfigurationHistory{std::move(sendings), std::move(readings)}).empty();
}

SetCall begin(Time invoked, Time answered, Time latest = never) {
  return SetCall{"zone", true, true, invoked, answered, answered != never, latest};
}
SetCall finish(Time invoked, Time answered) {
  return SetCall{"zone", true, false, invoked, answered, answered != never};
}
SetCall seen(bool present, Time invoked, Time answered) {
  return SetCall{"zone", false, present, invoked, answered};
}

}  // namespace

TEST_CASE("linearizability: good histories of a configuration", "[linearizability]") {
  CHECK(good({}));
  CHECK(good({}, {Reading{0, "", 1, 2}}));
  CHECK(good({taken(first, 1, 2), taken(second, 3, 4)}, {read(second, 5, 6)}));
  // Two on one base: the other is refused, also when it was sent first.
  CHECK(good({refused(rival, 1, 9), taken(first, 2, 3)}));
  // A lost answer: it may have been taken or not.
  CHECK(good({lost(first, 1), taken(second, 5, 6)}));
  CHECK(good({lost(first, 1), taken(rival, 2, 3)}));
  CHECK(good({lost(first, 1)}, {Reading{0, "", 2, 3}, read(first, 4, 5)}));
  // Sent again after others, it is acknowledged again.
  CHECK(good({taken(first, 1, 2), taken(second, 3, 4), taken(third, 5, 6), taken(first, 7, 8)}));
  CHECK(good({lost(first, 1), taken(second, 3, 4), taken(first, 7, 8)}));
  // A read that overlaps a change may give either.
  CHECK(good({taken(first, 1, 9)}, {Reading{0, "", 2, 3}, read(first, 4, 5)}));
  // Refused since its base is not yet there.
  CHECK(good({refused(second, 1, 2), taken(first, 3, 4)}));
}

TEST_CASE("linearizability: bad histories of a configuration are found", "[linearizability]") {
  // Both of two on one base confirmed.
  CHECK_FALSE(good({taken(first, 1, 2), taken(rival, 3, 4)}));
  CHECK_FALSE(good({taken(first, 1, 9), taken(rival, 2, 8)}));
  // Confirmed, then refused when it was sent again; also after others.
  CHECK_FALSE(good({taken(first, 1, 2), refused(first, 3, 4)}));
  CHECK_FALSE(good({taken(first, 1, 2), taken(second, 3, 4), refused(first, 5, 6)}));
  // Refused by one daemon though taken, as a later read shows.
  CHECK_FALSE(good({lost(first, 1), refused(first, 3, 4)}, {read(first, 5, 6)}));
  // Refused on the very base that is current.
  CHECK_FALSE(good({taken(first, 1, 2), refused(second, 3, 4)}, {read(first, 5, 6)}));
  // An old one read after a newer one was confirmed or read.
  CHECK_FALSE(good({taken(first, 1, 2), taken(second, 3, 4)}, {read(first, 5, 6)}));
  CHECK_FALSE(good({lost(first, 1)}, {read(first, 2, 3), Reading{0, "", 4, 5}}));
  // One that was refused, or that nobody sent, in force; one built on what never was.
  CHECK_FALSE(good({taken(first, 1, 2), refused(rival, 3, 4)}, {read(rival, 5, 6)}));
  CHECK_FALSE(good({taken(first, 1, 2)}, {read(second, 5, 6)}));
  CHECK_FALSE(good({taken(second, 1, 2)}));
  // In force before it was sent.
  CHECK_FALSE(good({lost(first, 5)}, {read(first, 1, 2)}));
}

TEST_CASE("linearizability: histories of a set", "[linearizability]") {
  CHECK(check({begin(1, 2), seen(true, 3, 4), finish(5, 6), seen(false, 7, 8)}).empty());
  CHECK(check({begin(1, never), seen(false, 2, 3), seen(true, 4, 5)}).empty());
  CHECK(check({begin(1, 2), begin(3, 4), finish(5, 6), finish(7, 8), seen(false, 9, 10)}).empty());
  // Acknowledged and not there; gone after an acknowledgement.
  CHECK_FALSE(check({begin(1, 2), seen(false, 3, 4)}).empty());
  CHECK_FALSE(check({begin(1, 2), finish(3, 4), seen(true, 5, 6)}).empty());
  CHECK_FALSE(check({begin(1, 2), seen(true, 3, 4), seen(false, 5, 6)}).empty());
  // A begin whose answer was lost may come late, but not later than it can be under way.
  CHECK(check({begin(1, never, 6), finish(3, 4), seen(true, 7, 8)}).empty());
  CHECK_FALSE(check({begin(1, never, 6), finish(9, 10), seen(true, 11, 12)}).empty());
  CHECK_FALSE(check({seen(true, 1, 2)}).empty());
}
