// A fixture for tests of live requests: a router with a mocked runner client and virtual time.
#pragma once
#include <catch2/catch.hpp>
#include <trompeloeil.hpp>

#include "routes/router.hpp"
#include "simulate/world.hpp"

using namespace mothwalk;
using trompeloeil::_;

namespace {

class MockRunnerClient : public RunnerClient {
 public:
  MAKE_MOCK2(start, Id(const AttemptRequest&, std::shared_ptr<AttemptObserver>), override);
  MAKE_MOCK1(cancel, void(Id), override);
  MAKE_MOCK2(set_paused, void(Id, bool), override);
};

// Drops all messages to other daemons.
class DiscardingTransport : public Transport {
 public:
  void send(const Address&, Envelope) override {}
};

// What a client received.
struct ReceivedResponse {
  int status = 0;
  std::string outcome, retry_after, text;
  bool ended = false, broken = false;
};

// Records the response of a request in a ReceivedResponse.
class RecordingSink : public ResponseSink {
 public:
  explicit RecordingSink(std::shared_ptr<ReceivedResponse> seen) : response_(std::move(seen)) {}
  void head(int status, const std::vector<Header>& headers) override {
    CHECK(response_->status == 0);
    response_->status = status;
    for (const auto& header : headers) {
      if (header.name == "X-Mothwalk-Outcome") response_->outcome = header.value;
      if (header.name == "Retry-After") response_->retry_after = header.value;
    }
  }
  void chunk(StringView chunk) override { response_->text.append(chunk); }
  void end() override { response_->ended = true; }
  void abort() override { response_->broken = true; }
  std::size_t backlog() const override { return backlog_; }
  std::size_t backlog_ = 0;

 private:
  std::shared_ptr<ReceivedResponse> response_;
};

// A router in a daemon with a lease, with three runners in the circle of the kind "model" and one runner outside it.
// Requests of the lane "pay" may not be repeated, those of the lane "tell" may.
struct Fixture {
  simulate::World world{7};
  simulate::ProcessPointer process = std::make_shared<simulate::ProcessState>();
  simulate::SimulatedTimers timers{world, process};
  DiscardingTransport transport;
  Messenger messenger{transport, timers, Address("10.0.0.1:1"), 1, "routes"};
  SharedState shared_state;
  MockRunnerClient runner_client;
  Router router;
  struct Attempt {
    AttemptRequest request;
    std::shared_ptr<AttemptObserver> observer;
  };
  std::vector<Attempt> attempts;

  static Member self() {
    Member member;
    member.address = Address("10.0.0.1:1");
    member.callers = Address("10.0.0.1:2");
    member.zone = ZoneId("north");
    return member;
  }
  ConfigurationView view;
  // Puts a resource, given as JSON, into the router's configuration.
  void put(const std::string& key, const Bytes& value) {
    REQUIRE(apply_to_view(view, key, &value, Stamp{}));
    shared_state.configuration.set(view);
  }
  explicit Fixture(const Dialect& dialect = plain_dialect())
      : router(messenger, shared_state, runner_client, world.random, self(), dialect) {
    put("kind/model", R"({"refusals":[429]})");
    put("lane/pay", R"({"path":"/pay","kind":"model","retries":2,"waiting":500})");
    put("lane/tell", R"({"path":"/tell","kind":"model","repeatable":true,"retries":2,"waiting":500})");
    for (const char* name : {"one", "two", "three", "outside"})
      put(std::string("runner/") + name, std::string(R"({"kind":"model","address":"10.0.1.)") +
                                             std::to_string(view.runners.size() + 1) +
                                             R"(:80","zone":"north","slots":2})");
    put("circle/model", R"({"members":["one","three","two"],"warm":["one","three","two"]})");
    Members members;
    members.all[self().address] = self();
    shared_state.members.set(members);
    world.run_until(TimePoint{10000000});
    lease();
    shared_state.last_gossip_tick = 0;
    router.start();
  }
  void lease() { shared_state.lease_until = (world.now() + std::chrono::hours(1)).microseconds; }
  void wait(Duration span) { world.run_until(world.now() + span); }
  // Submits a request to the router, and returns what its client will have received.
  std::shared_ptr<ReceivedResponse> submit(const std::string& target, Router::Id* id = nullptr,
                                           std::shared_ptr<RecordingSink>* sink_out = nullptr) {
    auto seen = std::make_shared<ReceivedResponse>();
    auto sink = std::make_shared<RecordingSink>(seen);
    if (sink_out != nullptr) *sink_out = sink;
    const auto request_id = router.submit(LiveRequest{"POST",
                                                      target,
                                                      {{"Connection", "keep-alive"}, {"X-Request-Id", "r"}},
                                                      std::make_shared<const Bytes>("body")},
                                          sink);
    if (id != nullptr) *id = request_id;
    return seen;
  }
};

// Requires that the router starts exactly `count` attempts, and records them in the fixture.
#define EXPECT_ATTEMPTS(fixture, count)                       \
  REQUIRE_CALL((fixture).runner_client, start(_, _))          \
      .TIMES(count)                                           \
      .LR_SIDE_EFFECT((fixture).attempts.push_back({_1, _2})) \
      .LR_RETURN((fixture).attempts.size())

}  // namespace
