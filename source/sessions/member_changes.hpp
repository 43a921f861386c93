// What moved in a table of members since a state that its digest names, so that only this is told.
#pragma once
#include <deque>
#include <optional>
#include <set>

#include "sessions/shared_state.hpp"

namespace mothwalk {

using MemberTable = std::map<Address, Member>;

struct MemberChanges {
  std::vector<Member> members;  // new ones, and those that are known otherwise
  std::vector<Address> gone;
  bool empty() const { return members.empty() && gone.empty(); }
  MOTHWALK_FIELDS(members, gone)
};

// The digest does not depend on the order of the members, so that a change of one moves it without a look at the
// others.
std::uint64_t digest_of(const Member& member);

MemberChanges changes_between(const MemberTable& before, const MemberTable& after);
// Changes the table and returns the digest that it has then.
std::uint64_t apply(const MemberChanges& changes, MemberTable& table, std::uint64_t digest);

// Which members changed lately, by the digests of the table before each change.
class MemberHistory {
 public:
  void add(std::uint64_t digest_before, const MemberChanges& changes);
  // How the table differs from the state of that digest; none where that state is not remembered.
  std::optional<MemberChanges> since(std::uint64_t digest, const MemberTable& table) const;

 private:
  static constexpr std::size_t longest = 4096;  // addresses in all steps
  struct Step {
    std::uint64_t digest_before = 0;
    std::vector<Address> changed;
  };
  std::deque<Step> steps_;
  std::size_t addresses_ = 0;
};

}  // namespace mothwalk
