// The platform's operator calls in a simulated cluster: each live machine has a surface, and calls go to any of them.
#pragma once
#include "platform/surface.hpp"
#include "simulate/cluster.hpp"

namespace mothwalk::simulate {

// What an operator got for one call; status 0 where no answer came.
struct OperatorReply {
  int status = 0;
  std::string body;
};
using OperatorAnswer = std::function<void(OperatorReply)>;

// One call of an operator as it goes over the wire.
struct OperatorRequest {
  std::string method = "POST", target;
  std::vector<Header> headers = {};
  Bytes body = {};
};

// A whole configuration without routes; the note tells contents under one number apart.
OperatorRequest replace_request(std::uint64_t base, std::uint64_t number, const std::string& note);

class OperatorSurfaces {
 public:
  explicit OperatorSurfaces(SimulatedCluster& cluster) : cluster_(cluster) {}

  // Sends a call to a machine. Where it is down, or its answer is lost, or it goes down before it answers, the answer
  // never comes; callers have their own time limit.
  // The flag, where one is given, says that the operator has left: a machine doesn't carry out what it reads later.
  void send(Machine& machine, OperatorRequest request, OperatorAnswer answer, std::shared_ptr<const bool> left = {}) {
    World& world = cluster_.world;
    if (!machine.alive()) return;
    world.at(network_delay, machine.life(), [this, &machine, request, answer, left] {
      if (machine.control_messenger() == nullptr || (left && *left)) return;
      ControlRequest call{request.method, request.target, request.body, false, request.headers};
      surface(machine).handle(std::move(call), [this, answer](ControlReply reply) {
        OperatorReply given{reply.status, reply.raw ? *reply.raw : json::serialize(reply.body)};
        if (cluster_.world.random.uniform() < lost_answers) return;
        cluster_.world.after(network_delay, [answer, given] { answer(given); });
      });
    });
  }

  // Sends a call to a machine and runs the world until it is answered, for at most the span.
  OperatorReply call(Machine& machine, const OperatorRequest& request, Duration span = std::chrono::seconds(5)) {
    auto given = std::make_shared<std::optional<OperatorReply>>();
    send(machine, request, [given](OperatorReply reply) { *given = std::move(reply); });
    const TimePoint until = cluster_.world.now() + span;
    while (!*given && cluster_.world.now() < until)
      cluster_.world.run_until(cluster_.world.now() + std::chrono::milliseconds(5));
    return given->value_or(OperatorReply{});
  }

  double lost_answers = 0;      // share of answers that never reach the operator
  std::set<std::string> zones;  // that the settings name, for surfaces that are made from now on

 private:
  static constexpr Duration network_delay = std::chrono::microseconds(300);

  platform::PlatformApiHandler& surface(Machine& machine) {
    auto& place = surfaces_[machine.name + "/" + std::to_string(machine.incarnation())];
    if (!place)
      place =
          std::make_unique<platform::PlatformApiHandler>(*machine.control_messenger(), machine.shared_state(), zones);
    return *place;
  }

  SimulatedCluster& cluster_;
  std::map<std::string, std::unique_ptr<platform::PlatformApiHandler>> surfaces_;  // by machine and life
};

// Starts the cluster and waits until its own resources are applied.
inline bool start_and_wait(SimulatedCluster& cluster) {
  cluster.start();
  for (int count = 0; count < 400 && !cluster.ready(); ++count)
    cluster.world.run_until(cluster.world.now() + std::chrono::milliseconds(100));
  return cluster.ready();
}

}  // namespace mothwalk::simulate
