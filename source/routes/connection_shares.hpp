// Divides the connections that each runner of a kind accepts among the daemons that send requests to it.
//
// Every daemon computes the shares on its own, from the daemons and runners that it knows. If a runner accepts enough
// connections for all daemons, each daemon has the same share of every runner; otherwise each daemon uses only a subset
// of the runners. Connections of a runner that the shares leave over are granted, one each, to daemons as extra
// connections: such a daemon may open one connection beyond its share for a single request. The shares and extra
// connections of one runner never add up to more than it accepts.
#pragma once
#include "sessions/shared_state.hpp"

namespace mothwalk {

struct ConnectionLimit {
  // The number of connections that one runner accepts from all daemons together; 0 means no limit.
  std::uint32_t per_runner = 0;
  // The number of these that are kept out of the shares, as long as at least half remains for the shares.
  std::uint32_t reserved = 0;
  // The shares are computed for at least this many daemons, even if fewer are known by name.
  std::size_t daemons = 0;
};

class ConnectionShares {
 public:
  struct Endpoint {
    std::string name;  // The name of a runner, or the address of a daemon.
    ZoneId zone;
  };
  ConnectionShares() = default;
  ConnectionShares(const std::vector<Endpoint>& daemons, const std::vector<Endpoint>& runners,
                   const ConnectionLimit& limit);

  bool limited() const { return even_share_ > 0 || !subsets_.empty(); }
  // Returns how many connections the daemon may keep to the runner; 0 if the runner is not in its subset.
  std::uint32_t share_of(const std::string& daemon, const std::string& runner) const;
  // Returns the runners that are divided into subsets; empty if all daemons share all runners.
  std::vector<std::string> subset_runners() const;
  // Returns whether the daemon may open one connection beyond its share, for a single request.
  bool has_extra_connection(const std::string& daemon, const std::string& runner) const;
  // Returns the daemons whose subset contains the runner; nullptr if all daemons share all runners.
  const std::set<std::string>* users_of(const std::string& runner) const;

 private:
  struct Ranking;
  void assign_subsets(const Ranking& ranking, std::uint32_t shared, std::size_t count);
  void grant_extra_beside_even_shares(const Ranking& ranking, std::size_t room);
  void grant_extra_beside_subsets(const Ranking& ranking, std::size_t usable, std::size_t count);

  std::uint32_t even_share_ = 0;
  std::map<std::string, std::set<std::string>> subsets_;      // By runner: the daemons that have one connection to it.
  std::map<std::string, std::set<std::string>> extra_users_;  // By runner: the daemons with an extra connection.
};

}  // namespace mothwalk
