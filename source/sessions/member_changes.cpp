// Differences of tables of members and the digests that name their states.
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
  Step step{digest_before, changes.gone};
  for (const Member& member : changes.members) step.changed.push_back(member.address);
  addresses_ += step.changed.size();
  steps_.push_back(std::move(step));
  while (addresses_ > longest) {
    addresses_ -= steps_.front().changed.size();
    steps_.pop_front();
  }
}

std::optional<MemberChanges> MemberHistory::since(std::uint64_t digest, const MemberTable& table) const {
  const auto from =
      std::find_if(steps_.rbegin(), steps_.rend(), [&](const Step& step) { return step.digest_before == digest; });
  if (from == steps_.rend()) return std::nullopt;
  std::set<Address> changed;
  for (auto step = std::prev(from.base()); step != steps_.end(); ++step)
    changed.insert(step->changed.begin(), step->changed.end());
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
