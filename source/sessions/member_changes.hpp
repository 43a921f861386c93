// Computes how a table of members changed since a state that is identified by its digest, so that only the changes are
// sent.
#pragma once
#include <deque>
#include <optional>
#include <set>

#include "sessions/shared_state.hpp"

namespace mothwalk {

using MemberTable = std::map<Address, Member>;

// The differences between two tables of members.
struct MemberChanges {
  std::vector<Member> members;  // New members, and members with changed fields.
  std::vector<Address> gone;    // Members that were removed.
  bool empty() const { return members.empty() && gone.empty(); }
  MOTHWALK_FIELDS(members, gone)
};

// The digest of a table is the exclusive or of the digests of its members. It does not depend on their order, and a
// change of one member updates it without the others.
std::uint64_t digest_of(const Member& member);

// Returns the changes that turn one table into the other.
MemberChanges changes_between(const MemberTable& before, const MemberTable& after);
// Applies the changes to the table. Takes the table's digest and returns its new digest.
std::uint64_t apply(const MemberChanges& changes, MemberTable& table, std::uint64_t digest);

// Records which members changed recently, together with the digest of the table before each change.
class MemberHistory {
 public:
  void add(std::uint64_t digest_before, const MemberChanges& changes);
  // Returns how the table differs from the state with this digest, or nothing if that state is no longer recorded.
  std::optional<MemberChanges> since(std::uint64_t digest, const MemberTable& table) const;

 private:
  static constexpr std::size_t max_addresses = 4096;  // Bounds the sum over all recorded changes.
  struct Change {
    std::uint64_t digest_before = 0;
    std::vector<Address> changed;
  };
  std::deque<Change> changes_;
  std::size_t address_count_ = 0;
};

}  // namespace mothwalk
