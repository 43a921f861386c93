// Tests operators' calls through the platform's API of any daemon: resent configuration changes are recognised, invalid
// calls change nothing, and a final refusal comes only from a daemon that can be certain. A configuration change is
// identified by its base revision, its own revision and the digest of its content.
#include <catch2/catch.hpp>

#include "platform_operators.hpp"

using namespace mothwalk;
using namespace mothwalk::simulate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A simulated cluster whose machines take operators' calls.
struct OperatorCluster {
  explicit OperatorCluster(std::uint64_t seed, const std::string& shape = "small")
      : world(seed), cluster(world, shape_named(shape, 1.0)), apis(cluster) {}
  int status(const OperatorRequest& request) { return apis.call(cluster.any_alive(), request).status; }

  World world;
  SimulatedCluster cluster;
  OperatorApis apis;
};

}  // namespace

TEST_CASE("operator calls: an accepted change that is resent is acknowledged again after hundreds of others",
          "[orders]") {
  OperatorCluster operators(21);
  REQUIRE(start_and_wait(operators.cluster));
  constexpr std::uint64_t changes = 300;
  for (std::uint64_t number = 1; number <= changes; ++number)
    REQUIRE(operators.status(replace_request(number - 1, number, "first")) == 200);
  for (const std::uint64_t number : {std::uint64_t{1}, std::uint64_t{150}, changes - 40, changes})
    CHECK(operators.status(replace_request(number - 1, number, "first")) == 200);
}

TEST_CASE(
    "operator calls: a resent change older than the remembered ones gets 504, never a refusal, and the record stays "
    "bounded",
    "[orders]") {
  OperatorCluster operators(27);
  REQUIRE(start_and_wait(operators.cluster));
  constexpr std::uint64_t changes = OrderHistory::max_recorded + 10;
  Machine& machine = *operators.cluster.machines[0];
  for (std::uint64_t number = 1; number <= changes; ++number)
    REQUIRE(operators.apis.call(machine, replace_request(number - 1, number, "first")).status == 200);
  CHECK(operators.status(replace_request(0, 1, "first")) == 504);
  CHECK(operators.status(replace_request(0, 1, "other")) == 504);
  const std::uint64_t oldest_kept = changes - OrderHistory::min_recorded + 1;
  CHECK(operators.status(replace_request(oldest_kept - 1, oldest_kept, "first")) == 200);
  CHECK(operators.status(replace_request(oldest_kept - 1, oldest_kept, "other")) == 412);
  std::uint64_t entries = 0;
  machine.client()->read(
      std::string(configuration_key), seconds(2),
      [&](Result<ReadReply> result) { entries = std::get<ReadReply>(result).entries; }, true);
  operators.world.run_until(operators.world.now() + seconds(2));
  CHECK(entries >= OrderHistory::min_recorded);
  CHECK(entries < OrderHistory::max_recorded);
}

TEST_CASE("operator calls: of two different changes with one revision and base, one is confirmed and the other refused",
          "[orders]") {
  OperatorCluster operators(22);
  REQUIRE(start_and_wait(operators.cluster));
  std::map<int, int> statuses;
  for (const char* note : {"one", "other"})
    operators.apis.send(operators.cluster.any_alive(), replace_request(0, 7, note),
                        [&](OperatorResponse reply) { ++statuses[reply.status]; });
  operators.world.run_until(operators.world.now() + seconds(4));
  CHECK(statuses[200] == 1);
  CHECK(statuses[412] == 1);
}

namespace {

OperatorRequest post(const std::string& target, const std::string& base, const Bytes& body) {
  return OperatorRequest{"POST", target, {{"Base-Version", base}}, body};
}

// A complete configuration document, given the text of its two tables.
Bytes document_of(const std::string& number, const std::string& routes, const std::string& services) {
  return R"({"config-revision":)" + number + R"(,"route-table":[)" + routes + R"(],"pool-table":[)" + services + "]}";
}

const std::string service = R"({"name":"s","health-path":"/h"})";
const std::string route = R"({"name":"r","virtual-host":"h","path-prefix":"/a/","route-type":"idempotent","pool":"s"})";
const std::string second_route =
    R"({"name":"q","virtual-host":"h","path-prefix":"/b/","route-type":"idempotent","pool":"s"})";
const std::string replace_path = "/v1/Config.Replace", modify_path = "/v1/Config.Modify";

struct InvalidCall {
  const char* description;
  OperatorRequest request;
  std::set<int> allowed;
};

std::vector<InvalidCall> invalid_calls() {
  const Bytes valid_document = document_of("9", route, service);
  const std::string deeply_nested(100, '[');
  return {
      {"no base", OperatorRequest{"POST", replace_path, {}, valid_document}, {400}},
      {"an empty base", post(replace_path, "", valid_document), {400}},
      {"a negative base", post(replace_path, "-1", valid_document), {400}},
      {"a base with a sign", post(replace_path, "+5", valid_document), {400}},
      {"a base with a fraction", post(replace_path, "5.0", valid_document), {400}},
      {"a base beyond 64 bits", post(replace_path, "18446744073709551621", valid_document), {400}},
      {"a base that is not a number", post(replace_path, "five", valid_document), {400}},
      {"an older base", post(replace_path, "4", valid_document), {412}},
      {"a base above the current revision", post(replace_path, "8", valid_document), {412}},
      {"no revision", post(replace_path, "5", R"({"route-table":[],"pool-table":[]})"), {400}},
      {"revision 0", post(replace_path, "5", document_of("0", route, service)), {400}},
      {"a negative revision", post(replace_path, "5", document_of("-9", route, service)), {400}},
      {"a revision with a fraction", post(replace_path, "5", document_of("9.5", route, service)), {400}},
      {"a revision beyond 64 bits",
       post(replace_path, "5", document_of("18446744073709551625", route, service)),
       {400}},
      {"a revision beyond the range of a double", post(replace_path, "5", document_of("1e400", route, service)), {400}},
      {"a string as revision", post(replace_path, "5", document_of("\"9\"", route, service)), {400}},
      {"the current revision", post(replace_path, "5", document_of("5", route, service)), {400}},
      {"a lower revision", post(replace_path, "5", document_of("4", route, service)), {400}},
      {"two routes with the same name", post(replace_path, "5", document_of("9", route + "," + route, service)), {400}},
      {"two services with the same name",
       post(replace_path, "5", document_of("9", route, service + "," + service)),
       {400}},
      {"a route without a name",
       post(replace_path, "5", document_of("9", R"({"path-prefix":"/a/","pool":"s"})", service)),
       {400}},
      {"a route that is not an object", post(replace_path, "5", document_of("9", "7", service)), {400}},
      {"a route to an unknown service", post(replace_path, "5", document_of("9", route, "")), {400}},
      {"a table that is not a list",
       post(replace_path, "5", R"({"config-revision":9,"route-table":{},"pool-table":[]})"),
       {400}},
      {"a missing table", post(replace_path, "5", R"({"config-revision":9,"route-table":[]})"), {400}},
      {"a list instead of an object", post(replace_path, "5", "[]"), {400}},
      {"an empty body", post(replace_path, "5", ""), {400}},
      {"a truncated document", post(replace_path, "5", valid_document.substr(0, valid_document.size() / 2)), {400}},
      {"text after the end of the document", post(replace_path, "5", valid_document + "{}"), {400}},
      {"a document nested too deeply", post(replace_path, "5", deeply_nested), {400}},
      {"invalid UTF-8", post(replace_path, "5", "{\"config-revision\":9,\"x\":\"\xff\xfe\"}"), {400}},
      {"a long body that is not JSON", post(replace_path, "5", Bytes(3000000, 'x')), {400}},
      {"changes without a revision", post(modify_path, "5", R"({"upsert":{}})"), {400}},
      {"a list as \"upsert\"", post(modify_path, "5", R"({"config-revision":9,"upsert":[]})"), {400}},
      {"a removal that is not a list of names",
       post(modify_path, "5", R"({"config-revision":9,"remove":{"route-table":"r"}})"),
       {400}},
      {"a removal by a number instead of a name",
       post(modify_path, "5", R"({"config-revision":9,"remove":{"route-table":[1]}})"),
       {400}},
      {"removal of a service that a route still uses",
       post(modify_path, "5", R"({"config-revision":9,"remove":{"pool-table":["s"]}})"),
       {400}},
      {"two items with the same name in a change",
       post(modify_path, "5",
            R"({"config-revision":9,"upsert":{"route-table":[)" + second_route + "," + second_route + "]}}"),
       {400}},
      {"an evacuation without a zone", OperatorRequest{"POST", "/v1/Evacuation.Begin/"}, {400}},
      {"an evacuation whose zone contains a slash", OperatorRequest{"POST", "/v1/Evacuation.Begin/a/b"}, {400}},
      {"an evacuation of a zone with a very long name",
       OperatorRequest{"POST", "/v1/Evacuation.Begin/" + std::string(500, 'z')},
       {400}},
      {"a retirement without a machine", OperatorRequest{"POST", "/v1/Retire.Begin/"}, {404}},
      {"an unknown call", OperatorRequest{"POST", "/v1/Config.Drop"}, {404}},
  };
}

}  // namespace

TEST_CASE("operator calls: an invalid call gets the status for its error and changes nothing", "[orders]") {
  OperatorCluster operators(23, "platform");
  REQUIRE(start_and_wait(operators.cluster));
  operators.world.run_until(operators.world.now() + seconds(5));
  const OperatorRequest show{"GET", "/v1/Config.Show"};
  // Without any configuration yet, the calls are refused as well.
  for (const auto& invalid_call : invalid_calls()) {
    INFO(invalid_call.description);
    const int status = operators.status(invalid_call.request);
    CHECK((status == 400 || status == 412 || status == 404));
    CHECK(operators.status(show) == 404);
  }
  REQUIRE(operators.status(post(replace_path, "0", document_of("5", route, service))) == 200);
  const std::string before = operators.apis.call(operators.cluster.any_alive(), show).body;
  for (const auto& invalid_call : invalid_calls()) {
    INFO(invalid_call.description);
    const int status = operators.status(invalid_call.request);
    INFO(status);
    CHECK(invalid_call.allowed.contains(status));
    CHECK(operators.apis.call(operators.cluster.any_alive(), show).body == before);
  }
  // Removing an item that does not exist is a valid change.
  CHECK(operators.status(post(modify_path, "5", R"({"config-revision":9,"remove":{"route-table":["gone"]}})")) == 200);
}

TEST_CASE("operator calls: a zone that neither the settings nor any machine or runner names can't be evacuated",
          "[orders]") {
  OperatorCluster operators(24);
  REQUIRE(start_and_wait(operators.cluster));
  operators.apis.zones = {"somewhere"};
  CHECK(operators.status(OperatorRequest{"POST", "/v1/Evacuation.Begin/nowhere"}) == 404);
  CHECK(operators.status(OperatorRequest{"POST", "/v1/Evacuation.Begin/somewhere"}) == 200);
  const std::string populated_zone = operators.cluster.machines[0]->zone;
  CHECK(operators.status(OperatorRequest{"POST", "/v1/Evacuation.Begin/" + populated_zone}) == 200);
}

TEST_CASE("operator calls: a begin of an evacuation that is still in progress does not undo a later finish",
          "[orders]") {
  OperatorCluster operators(25, "platform");
  REQUIRE(start_and_wait(operators.cluster));
  Machine& suspended_machine = *operators.cluster.machines[4];  // has no disk and so owns no slots
  const OperatorRequest begin{"POST", "/v1/Evacuation.Begin/north"}, finish{"POST", "/v1/Evacuation.Finish/north"};
  Machine& other = *operators.cluster.machines[5];
  // The machine is suspended right after sending its read of the stored state; the operator then tries another daemon.
  operators.world.fault_point_counts.clear();
  operators.world.armed_kind = "send store.read";
  operators.world.armed_number = 1;
  operators.world.inject_fault = [&](const std::string& machine_name) {
    if (machine_name == suspended_machine.name) suspended_machine.suspend();
  };
  operators.apis.send(suspended_machine, begin, [](OperatorResponse) {});
  operators.world.run_until(operators.world.now() + milliseconds(100));
  REQUIRE(suspended_machine.suspended());
  operators.world.armed_kind.clear();
  REQUIRE(operators.apis.call(other, begin).status == 200);
  REQUIRE(operators.apis.call(other, finish).status == 200);
  suspended_machine.resume();
  operators.world.run_until(operators.world.now() + seconds(3));
  CHECK_FALSE(other.shared_state().configuration.get()->evacuated(ZoneId("north")));
}

TEST_CASE("operator calls: only the owner of the roster gives a final refusal of a retirement", "[orders]") {
  OperatorCluster operators(26, "platform");
  REQUIRE(start_and_wait(operators.cluster));
  operators.world.run_until(operators.world.now() + seconds(12));
  auto retire = [](const Machine& machine) {
    return OperatorRequest{"POST", "/v1/Retire.Begin/" + machine.name, {}, R"({"deadline-s":10})"};
  };
  std::vector<Machine*> storage, edges;
  for (auto& machine : operators.cluster.machines) (machine->serves() ? edges : storage).push_back(machine.get());
  REQUIRE(storage.size() == 4);
  CHECK(operators.status(OperatorRequest{"POST", "/v1/Retire.Begin/nobody"}) == 404);
  CHECK(operators.status(retire(*edges[0])) == 404);
  // A daemon that can't reach the roster's owner responds neither that a machine is unknown nor that too few would
  // remain.
  Machine& isolated = *edges.back();
  for (auto& each : operators.cluster.machines)
    if (each.get() != &isolated)
      operators.world.partition(isolated.name, each->name), operators.world.partition(each->name, isolated.name);
  operators.world.run_until(operators.world.now() + seconds(8));
  for (const auto& request : {retire(*storage[0]), OperatorRequest{"POST", "/v1/Retire.Begin/nobody"}}) {
    const int status = operators.apis.call(isolated, request, seconds(9)).status;
    INFO(status);
    CHECK(status >= 500);
  }
  operators.world.heal();
  operators.world.run_until(operators.world.now() + seconds(3));
  // Of two concurrent retirements only one may be accepted.
  std::map<int, int> statuses;
  for (std::size_t index : {0u, 1u})
    operators.apis.send(*edges[index], retire(*storage[index]),
                        [&](OperatorResponse reply) { ++statuses[reply.status]; });
  operators.world.run_until(operators.world.now() + seconds(4));
  CHECK(statuses[200] == 1);
  std::size_t marked = 0;
  for (Machine* machine : storage)
    marked += edges[2]->shared_state().configuration.get()->holders.contains(machine->address.text);
  CHECK(marked == 1);
  // The accepted retirement is acknowledged again when it is resent, although a new one would be refused because too
  // few machines would remain.
  operators.world.run_until(operators.world.now() + seconds(1));
  int acknowledged = 0, refused = 0;
  for (std::size_t index : {0u, 1u}) {
    const int status = operators.status(retire(*storage[index]));
    acknowledged += status == 200;
    refused += status == 409;
  }
  CHECK(acknowledged == 1);
  CHECK(refused == 1);
}
