// Sends operators' calls to the machines of a simulated cluster, each of which has a handler of the platform's API.
#pragma once
#include "platform/api_handler.hpp"
#include "simulate/cluster.hpp"

namespace mothwalk::simulate {

// The response to an operator's call; status 0 means that none came.
struct OperatorResponse {
  int status = 0;
  std::string body;
};
using ResponseCallback = std::function<void(OperatorResponse)>;

// An operator's call as an HTTP request.
struct OperatorRequest {
  std::string method = "POST", target;
  std::vector<Header> headers = {};
  Bytes body = {};
};

// Replaces the configuration with one without routes. The note distinguishes documents with the same revision.
OperatorRequest replace_request(std::uint64_t base, std::uint64_t number, const std::string& note);

// Delivers calls and responses with a network delay, and loses a share of the responses.
class OperatorApis {
 public:
  explicit OperatorApis(SimulatedCluster& cluster) : cluster_(cluster) {}

  // Sends a call to a machine. The callback is never called if the machine is down, goes down before it responds, or
  // its response is lost, so callers need a timeout of their own. If `cancelled` is given and true when the call
  // arrives, the operator has closed the connection and the machine ignores the call.
  void send(Machine& machine, OperatorRequest request, ResponseCallback callback,
            std::shared_ptr<const bool> cancelled = {}) {
    World& world = cluster_.world;
    if (!machine.alive()) return;
    world.at(network_delay, machine.process(), [this, &machine, request, callback, cancelled] {
      if (machine.control_messenger() == nullptr || (cancelled && *cancelled)) return;
      ControlRequest call{request.method, request.target, request.body, false, request.headers};
      handler_of(machine).handle(std::move(call), [this, callback](ControlReply reply) {
        OperatorResponse response{reply.status, reply.raw ? *reply.raw : json::serialize(reply.body)};
        if (cluster_.world.random.uniform() < lost_responses) return;
        cluster_.world.after(network_delay, [callback, response] { callback(response); });
      });
    });
  }

  // Sends a call to a machine and runs the simulation until the response comes, for at most `span`.
  OperatorResponse call(Machine& machine, const OperatorRequest& request, Duration span = std::chrono::seconds(5)) {
    auto response = std::make_shared<std::optional<OperatorResponse>>();
    send(machine, request, [response](OperatorResponse received) { *response = std::move(received); });
    const TimePoint until = cluster_.world.now() + span;
    while (!*response && cluster_.world.now() < until)
      cluster_.world.run_until(cluster_.world.now() + std::chrono::milliseconds(5));
    return response->value_or(OperatorResponse{});
  }

  double lost_responses = 0;    // the share of responses that never reach the operator
  std::set<std::string> zones;  // the zones that the settings name, for handlers that are created from now on

 private:
  static constexpr Duration network_delay = std::chrono::microseconds(300);

  platform::PlatformApiHandler& handler_of(Machine& machine) {
    auto& handler = handlers_[machine.name + "/" + std::to_string(machine.incarnation())];
    if (!handler)
      handler =
          std::make_unique<platform::PlatformApiHandler>(*machine.control_messenger(), machine.shared_state(), zones);
    return *handler;
  }

  SimulatedCluster& cluster_;
  std::map<std::string, std::unique_ptr<platform::PlatformApiHandler>> handlers_;  // by machine name and incarnation
};

// Starts the cluster and waits until its initial resources are applied; returns false if that takes over 40 s.
inline bool start_and_wait(SimulatedCluster& cluster) {
  cluster.start();
  for (int count = 0; count < 400 && !cluster.ready(); ++count)
    cluster.world.run_until(cluster.world.now() + std::chrono::milliseconds(100));
  return cluster.ready();
}

}  // namespace mothwalk::simulate
