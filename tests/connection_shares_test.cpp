// How daemons share the limited connections of runners, in deployments of many sizes.
#include "routes/connection_shares.hpp"

#include <catch2/catch.hpp>

using namespace mothwalk;

namespace {

using Endpoints = std::vector<ConnectionShares::Endpoint>;

Endpoints endpoints(const std::string& prefix, std::size_t count, std::size_t zones) {
  Endpoints list;
  for (std::size_t index = 0; index < count; ++index)
    list.push_back({prefix + std::to_string(index), ZoneId("zone-" + std::to_string(index % zones))});
  return list;
}

std::uint32_t sum_at(const ConnectionShares& shares, const Endpoints& daemons, const std::string& runner) {
  std::uint32_t sum = 0;
  for (const auto& daemon : daemons)
    sum += shares.share_of(daemon.name, runner) + shares.has_extra_connection(daemon.name, runner);
  return sum;
}

std::size_t subset_of(const ConnectionShares& shares, const std::string& daemon, const Endpoints& runners) {
  return static_cast<std::size_t>(std::count_if(
      runners.begin(), runners.end(), [&](const auto& runner) { return shares.share_of(daemon, runner.name) > 0; }));
}

}  // namespace

TEST_CASE("the shares and extra connections of a runner never add up to more connections than it accepts") {
  for (const std::size_t daemon_count : {1u, 9u, 24u, 61u, 72u, 370u})
    for (const std::size_t runner_count : {1u, 2u, 5u, 60u})
      for (const std::uint32_t per_runner : {1u, 2u, 24u, 82u, 650u})
        for (const std::uint32_t reserved : {0u, 6u, 128u}) {
          const Endpoints daemons = endpoints("daemon-", daemon_count, 5),
                          runners = endpoints("runner-", runner_count, 5);
          const ConnectionShares shares(daemons, runners, ConnectionLimit{per_runner, reserved, 0});
          INFO(daemon_count << " daemons, " << runner_count << " runners of " << per_runner << ", reserved "
                            << reserved);
          for (const auto& runner : runners) CHECK(sum_at(shares, daemons, runner.name) <= per_runner);
        }
}

TEST_CASE("every daemon has a runner, and the daemons are spread evenly, if the runners accept enough connections") {
  const Endpoints daemons = endpoints("daemon-", 61, 5), runners = endpoints("runner-", 5, 5);
  const ConnectionShares shares(daemons, runners, ConnectionLimit{24, 6, 0});
  for (const auto& daemon : daemons) CHECK(subset_of(shares, daemon.name, runners) >= 1);
  for (const auto& runner : runners) {
    CHECK(shares.users_of(runner.name)->size() >= 8);
    CHECK(shares.users_of(runner.name)->size() <= 18);
    CHECK(sum_at(shares, daemons, runner.name) == 21);
  }
}

TEST_CASE("a daemon's first runner is in its own zone if a runner there has room") {
  const Endpoints daemons = endpoints("daemon-", 50, 5), runners = endpoints("runner-", 5, 5);
  const ConnectionShares shares(daemons, runners, ConnectionLimit{24, 10, 0});
  for (std::size_t index = 0; index < daemons.size(); ++index)
    CHECK(shares.share_of(daemons[index].name, runners[index % 5].name) == 1);
}

TEST_CASE("shares are set aside for daemons that are counted but not known by name") {
  const Endpoints few = endpoints("daemon-", 10, 5), runners = endpoints("runner-", 5, 5);
  const ConnectionShares shares(few, runners, ConnectionLimit{24, 6, 61});
  for (const auto& daemon : few) CHECK(subset_of(shares, daemon.name, runners) == 1);
  const ConnectionShares even(few, runners, ConnectionLimit{650, 0, 61});
  for (const auto& daemon : few) CHECK(even.share_of(daemon.name, "runner-0") == 9);
}

TEST_CASE("removing a daemon or runner changes few shares of the other daemons") {
  const Endpoints daemons = endpoints("daemon-", 61, 5), runners = endpoints("runner-", 5, 1);
  const ConnectionShares before(daemons, runners, ConnectionLimit{24, 6, 61});
  auto lost_shares = [&](const ConnectionShares& after, const std::string& removed) {
    std::size_t count = 0;
    for (const auto& daemon : daemons)
      for (const auto& runner : runners)
        count += daemon.name != removed && runner.name != removed && before.share_of(daemon.name, runner.name) > 0 &&
                 after.share_of(daemon.name, runner.name) == 0;
    return count;
  };
  for (const auto& removed : daemons) {
    Endpoints rest = daemons;
    std::erase_if(rest, [&](const auto& daemon) { return daemon.name == removed.name; });
    CHECK(lost_shares(ConnectionShares(rest, runners, ConnectionLimit{24, 6, 61}), removed.name) <= 3);
  }
  for (const auto& removed : runners) {
    Endpoints rest = runners;
    std::erase_if(rest, [&](const auto& runner) { return runner.name == removed.name; });
    CHECK(lost_shares(ConnectionShares(daemons, rest, ConnectionLimit{24, 6, 61}), removed.name) <= 12);
  }
}

TEST_CASE("shares for the largest deployment are computed within two seconds") {
  const Endpoints daemons = endpoints("daemon-", 370, 7), runners = endpoints("runner-", 600, 7);
  const auto began = std::chrono::steady_clock::now();
  const ConnectionShares shares(daemons, runners, ConnectionLimit{500, 16, 0});
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(2));
  CHECK(shares.share_of("daemon-1", "runner-1") == 1);
}
