// Computes even shares, or subsets by rendezvous hashing with bounded loads: when a daemon or runner is added or
// removed, few shares of the others change.
#include "routes/connection_shares.hpp"

#include <algorithm>
#include <cmath>

namespace mothwalk {

namespace {
// No runner gets more than this multiple of the mean number of daemons per runner.
constexpr double max_load_over_mean = 1.25;
// One in this many connections is left free, for connections that a daemon has closed but the runner still counts.
constexpr std::uint32_t closing_fraction = 8;

// Returns how many connections all daemons together may have open to a runner.
std::uint32_t usable_connections(const ConnectionLimit& limit) {
  if (limit.per_runner < 2) return limit.per_runner;
  return limit.per_runner - std::max(1u, limit.per_runner / closing_fraction);
}

// Returns how many connections of a runner are divided into shares.
std::uint32_t shared_part(const ConnectionLimit& limit) {
  const std::uint32_t without_reserved = limit.per_runner - std::min(limit.per_runner, limit.reserved);
  return std::max({1u, limit.per_runner / 2, std::min(without_reserved, usable_connections(limit))});
}

// Mixes the bits of a hash value (the finalizer of splitmix64).
std::uint64_t mix_bits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
  return value ^ (value >> 31);
}
}  // namespace

// The daemons and runners with the hashes of their names, so that each hash is computed only once.
struct ConnectionShares::Ranking {
  struct Hashed {
    const Endpoint* endpoint;
    std::uint64_t hash;
  };
  Ranking(const std::vector<Endpoint>& all_daemons, const std::vector<Endpoint>& all_runners)
      : daemons(hashed(all_daemons)), runners(hashed(all_runners)) {
    std::sort(daemons.begin(), daemons.end(),
              [](const Hashed& left, const Hashed& right) { return left.hash < right.hash; });
  }
  static std::vector<Hashed> hashed(const std::vector<Endpoint>& endpoints) {
    std::vector<Hashed> list;
    for (const Endpoint& endpoint : endpoints) list.push_back({&endpoint, hash_of(endpoint.name)});
    return list;
  }
  // Returns the allowed runner that ranks highest for the daemon: runners of its own zone first, then by hash.
  template <class IsAllowed>
  const Endpoint* best_runner(const Hashed& daemon, IsAllowed is_allowed) const {
    const Endpoint* best = nullptr;
    std::pair<bool, std::uint64_t> best_rank;
    for (const Hashed& runner : runners) {
      if (!is_allowed(*runner.endpoint)) continue;
      const auto rank =
          std::make_pair(runner.endpoint->zone == daemon.endpoint->zone, mix_bits(runner.hash ^ daemon.hash));
      if (best != nullptr && rank <= best_rank) continue;
      best = runner.endpoint;
      best_rank = rank;
    }
    return best;
  }
  std::vector<Hashed> daemons, runners;
};

ConnectionShares::ConnectionShares(const std::vector<Endpoint>& daemons, const std::vector<Endpoint>& runners,
                                   const ConnectionLimit& limit) {
  if (limit.per_runner == 0) return;
  const std::uint32_t shared = shared_part(limit);
  const std::size_t count = std::max({std::size_t{1}, limit.daemons, daemons.size()});
  if (shared >= count) even_share_ = static_cast<std::uint32_t>(shared / count);
  // A daemon that has several connections to every runner needs no extra connection.
  if (even_share_ > 1) return;
  const Ranking ranking(daemons, runners);
  if (even_share_ == 1) {
    grant_extra_beside_even_shares(ranking,
                                   usable_connections(limit) - std::min<std::size_t>(usable_connections(limit), count));
  } else {
    assign_subsets(ranking, shared, count);
    grant_extra_beside_subsets(ranking, usable_connections(limit), count);
  }
}

// Gives every daemon one runner before any daemon gets a second one, and prefers runners of the daemon's own zone.
void ConnectionShares::assign_subsets(const Ranking& ranking, std::uint32_t shared, std::size_t count) {
  const std::size_t runner_count = ranking.runners.size();
  for (const auto& runner : ranking.runners) subsets_[runner.endpoint->name];
  const std::size_t rounds = std::clamp<std::size_t>(shared * runner_count / count, 1, runner_count);
  for (std::size_t round = 1; round <= rounds; ++round) {
    const double mean = static_cast<double>(round * count) / static_cast<double>(runner_count);
    const auto bound = std::min<std::size_t>(shared, static_cast<std::size_t>(std::ceil(max_load_over_mean * mean)));
    for (const auto& daemon : ranking.daemons) {
      const Endpoint* best = ranking.best_runner(daemon, [&](const Endpoint& runner) {
        const auto& users = subsets_.at(runner.name);
        return users.size() < bound && !users.contains(daemon.endpoint->name);
      });
      if (best != nullptr) subsets_.at(best->name).insert(daemon.endpoint->name);
    }
  }
}

// Grants one extra connection to each of the `room` daemons that rank first for each runner.
void ConnectionShares::grant_extra_beside_even_shares(const Ranking& ranking, std::size_t room) {
  room = std::min(room, ranking.daemons.size());
  for (const auto& runner : ranking.runners) {
    auto order = ranking.daemons;
    std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(room), order.end(),
                     [&](const auto& left, const auto& right) {
                       return mix_bits(left.hash ^ runner.hash) < mix_bits(right.hash ^ runner.hash);
                     });
    for (std::size_t index = 0; index < room; ++index)
      extra_users_[runner.endpoint->name].insert(order[index].endpoint->name);
  }
}

// Grants every daemon one extra connection before any daemon gets a second one. Daemons that are counted but not known
// by name keep their part of the room.
void ConnectionShares::grant_extra_beside_subsets(const Ranking& ranking, std::size_t usable, std::size_t count) {
  std::map<std::string, std::size_t> room;
  for (const auto& [runner, users] : subsets_)
    room[runner] = (usable - std::min(usable, users.size())) * ranking.daemons.size() / count;
  for (bool granted = true; granted;) {
    granted = false;
    for (const auto& daemon : ranking.daemons) {
      const std::string& name = daemon.endpoint->name;
      const Endpoint* best = ranking.best_runner(daemon, [&](const Endpoint& runner) {
        return room.at(runner.name) > 0 && !has_extra_connection(name, runner.name) &&
               !subsets_.at(runner.name).contains(name);
      });
      if (best == nullptr) continue;
      --room.at(best->name);
      extra_users_[best->name].insert(name);
      granted = true;
    }
  }
}

bool ConnectionShares::has_extra_connection(const std::string& daemon, const std::string& runner) const {
  auto found = extra_users_.find(runner);
  return found != extra_users_.end() && found->second.contains(daemon);
}

std::uint32_t ConnectionShares::share_of(const std::string& daemon, const std::string& runner) const {
  if (even_share_ > 0) return even_share_;
  const auto* users = users_of(runner);
  return users != nullptr && users->contains(daemon) ? 1 : 0;
}

std::vector<std::string> ConnectionShares::subset_runners() const {
  std::vector<std::string> names;
  for (const auto& [name, users] : subsets_) names.push_back(name);
  return names;
}

const std::set<std::string>* ConnectionShares::users_of(const std::string& runner) const {
  auto found = subsets_.find(runner);
  return found == subsets_.end() ? nullptr : &found->second;
}

}  // namespace mothwalk
