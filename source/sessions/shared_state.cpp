// Rendezvous hashing: orders the voters of the roster for each slot, and the members for each singleton role.
#include "sessions/shared_state.hpp"

#include <algorithm>

#include "sessions/messenger.hpp"

namespace mothwalk {

std::size_t Members::routing_count() const {
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [](const auto& member) { return member.second.routes(); }));
}

const Member* Members::storage_node(const StorageNodeId& id) const {
  for (const auto& [address, member] : all)
    if (member.holder == id) return &member;
  return nullptr;
}

constexpr std::uint64_t random_part_of_incarnation = 0xfffff;
void add_candidate(std::vector<Address>& list, const Address& address, const Address& self) {
  if (address != self && std::find(list.begin(), list.end(), address) == list.end()) list.push_back(address);
}

std::vector<Address> control_candidates(const SharedState& shared_state, const Address& self, const ZoneId& zone) {
  std::vector<Address> list;
  auto add = [&](const Address& address) {
    add_candidate(list, address, self);
  };
  const auto members = shared_state.members.get();
  for (const auto& [address, member] : members->all)
    if (member.keeps_control() && member.zone == zone) add(address);
  for (const auto& [address, member] : members->all)
    if (member.keeps_control()) add(address);
  for (const auto snapshot = shared_state.configuration.get(); const auto& voter : snapshot->roster.voters)
    add(voter.address);
  for (const auto snapshot = shared_state.known_control_voters.get(); const auto& address : *snapshot) add(address);
  return list;
}

std::uint64_t new_incarnation(Duration wall, RandomSource& random) {
  return static_cast<std::uint64_t>(wall.count() / 1000) << 20 | (random.next() & random_part_of_incarnation);
}

std::uint32_t slot_of(StringView key) {
  return static_cast<std::uint32_t>(hash_of(key) % slot_count);
}

std::vector<const Voter*> slot_order(const Roster& roster, std::uint32_t slot) {
  std::vector<const Voter*> order;
  for (const auto& voter : roster.voters) order.push_back(&voter);
  std::sort(order.begin(), order.end(), [&](const Voter* left, const Voter* right) {
    if (left->joining != right->joining) return right->joining;
    return hash_of(left->holder.text, slot + 1) > hash_of(right->holder.text, slot + 1);
  });
  return order;
}

const Voter* slot_owner(const Roster& roster, const Members& members, std::uint32_t slot) {
  for (const Voter* voter : slot_order(roster, slot)) {
    const Member* member = members.storage_node(voter->holder);
    if (member != nullptr && !member->stalled) return voter;
  }
  return nullptr;
}

const Voter* key_owner(const ConfigurationView& configuration, const Members& members, StringView key) {
  const Voter* voter = slot_owner(configuration.roster_of(key), members, slot_of(key));
  const Member* member = voter == nullptr ? nullptr : members.storage_node(voter->holder);
  return member != nullptr && (is_lot_key(key) ? member->keeps_lots() : member->keeps_control()) ? voter : nullptr;
}

std::vector<const Member*> singleton_role_order(const Members& members, StringView role, const ZoneId& zone) {
  std::vector<const Member*> order;
  for (const auto& [address, member] : members.all) order.push_back(&member);
  std::sort(order.begin(), order.end(), [&](const Member* left, const Member* right) {
    const bool left_here = left->zone == zone, right_here = right->zone == zone;
    if (left_here != right_here) return left_here;
    return hash_of(left->address.text, hash_of(role)) > hash_of(right->address.text, hash_of(role));
  });
  return order;
}

}  // namespace mothwalk
