// Computes the differences between tables of members and the digests that identify their states.
#include "sessions/member_changes.hpp"

#include <algorithm>

#include "coding/cbor.hpp"

namespace mothwalk {

std::uint64_t digest_of(const Member& member) {
  return hash_of(to_cbor(member));
}

MemberChanges changes_between(const MemberTable& before, const MemberTable& after) {
  MemberChanges changes;
  for (const auto& [address, member] : after) {
    const auto known = before.find(address);
    if (known == before.end() || known->second != member) changes.members.push_back(member);
  }
  for (const auto& [address, member] : before)
    if (!after.contains(address)) changes.gone.push_back(address);
  return changes;
}

std::uint64_t apply(const MemberChanges& changes, MemberTable& table, std::uint64_t digest) {
  auto remove = [&](const Address& address) {
    const auto found = table.find(address);
    if (found == table.end()) return;
    digest ^= digest_of(found->second);
    table.erase(found);
  };
  for (const Address& address : changes.gone) remove(address);
  for (const Member& member : changes.members) {
    remove(member.address);
    digest ^= digest_of(member);
    table.emplace(member.address, member);
  }
  return digest;
}

void MemberHistory::add(std::uint64_t digest_before, const MemberChanges& changes) {
  Change change{digest_before, changes.gone};
  for (const Member& member : changes.members) change.changed.push_back(member.address);
  address_count_ += change.changed.size();
  changes_.push_back(std::move(change));
  while (address_count_ > max_addresses) {
    address_count_ -= changes_.front().changed.size();
    changes_.pop_front();
  }
}

std::optional<MemberChanges> MemberHistory::since(std::uint64_t digest, const MemberTable& table) const {
  const auto from = std::find_if(changes_.rbegin(), changes_.rend(),
                                 [&](const Change& change) { return change.digest_before == digest; });
  if (from == changes_.rend()) return std::nullopt;
  std::set<Address> changed;
  for (auto change = std::prev(from.base()); change != changes_.end(); ++change)
    changed.insert(change->changed.begin(), change->changed.end());
  MemberChanges changes;
  for (const Address& address : changed) {
    const auto member = table.find(address);
    if (member == table.end())
      changes.gone.push_back(address);
    else
      changes.members.push_back(member->second);
  }
  return changes;
}

}  // namespace mothwalk
