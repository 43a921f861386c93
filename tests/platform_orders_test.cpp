// Orders of operators through the platform's surface of any daemon: identity, resending, and who may refuse for good.
#include <catch2/catch.hpp>

#include "platform_operators.hpp"

using namespace mothwalk;
using namespace mothwalk::simulate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A small cluster with the operators' surfaces on it.
struct OperatorCluster {
  explicit OperatorCluster(std::uint64_t seed, const std::string& shape = "small")
      : world(seed), cluster(world, shape_named(shape, 1.0)), surfaces(cluster) {}
  int status(const OperatorRequest& request) { return surfaces.call(cluster.any_alive(), request).status; }

  World world;
  SimulatedCluster cluster;
  OperatorSurfaces surfaces;
};

}  // namespace

TEST_CASE("orders: one that was taken is acknowledged again after hundreds of others", "[orders]") {
  OperatorCluster operators(21);
  REQUIRE(start_and_wait(operators.cluster));
  constexpr std::uint64_t changes = 300;
  for (std::uint64_t number = 1; number <= changes; ++number)
    REQUIRE(operators.status(replace_request(number - 1, number, "first")) == 200);
  for (const std::uint64_t number : {std::uint64_t{1}, std::uint64_t{150}, changes - 40, changes})
    CHECK(operators.status(replace_request(number - 1, number, "first")) == 200);
}

TEST_CASE("orders: beyond what is remembered one is left unclear, never refused, and the record stays bounded",
          "[orders]") {
  OperatorCluster operators(27);
  REQUIRE(start_and_wait(operators.cluster));
  constexpr std::uint64_t changes = OrderHistory::most_remembered + 10;
  Machine& machine = *operators.cluster.machines[0];
  for (std::uint64_t number = 1; number <= changes; ++number)
    REQUIRE(operators.surfaces.call(machine, replace_request(number - 1, number, "first")).status == 200);
  CHECK(operators.status(replace_request(0, 1, "first")) == 504);
  CHECK(operators.status(replace_request(0, 1, "other")) == 504);
  const std::uint64_t known = changes - OrderHistory::least_remembered + 1;
  CHECK(operators.status(replace_request(known - 1, known, "first")) == 200);
  CHECK(operators.status(replace_request(known - 1, known, "other")) == 412);
  std::uint64_t entries = 0;
  machine.client()->read(
      std::string(configuration_key), seconds(2),
      [&](Result<ReadReply> result) { entries = std::get<ReadReply>(result).entries; }, true);
  operators.world.run_until(operators.world.now() + seconds(2));
  CHECK(entries >= OrderHistory::least_remembered);
  CHECK(entries < OrderHistory::most_remembered);
}

TEST_CASE("orders: of two under one number and base one is confirmed, the other is refused", "[orders]") {
  OperatorCluster operators(22);
  REQUIRE(start_and_wait(operators.cluster));
  std::map<int, int> statuses;
  for (const char* note : {"one", "other"})
    operators.surfaces.send(operators.cluster.any_alive(), replace_request(0, 7, note),
                            [&](OperatorReply reply) { ++statuses[reply.status]; });
  operators.world.run_until(operators.world.now() + seconds(4));
  CHECK(statuses[200] == 1);
  CHECK(statuses[412] == 1);
}

namespace {

OperatorRequest post(const std::string& target, const std::string& base, const Bytes& body) {
  return OperatorRequest{"POST", target, {{"Base-Version", base}}, body};
}

// A whole configuration of the text of its two tables.
Bytes tables(const std::string& number, const std::string& routes, const std::string& services) {
  return R"({"config-revision":)" + number + R"(,"route-table":[)" + routes + R"(],"pool-table":[)" + services + "]}";
}

const std::string service = R"({"name":"s","health-path":"/h"})";
const std::string route = R"({"name":"r","virtual-host":"h","path-prefix":"/a/","route-type":"idempotent","pool":"s"})";
const std::string other_route =
    R"({"name":"q","virtual-host":"h","path-prefix":"/b/","route-type":"idempotent","pool":"s"})";
const std::string whole = "/v1/Config.Replace", named = "/v1/Config.Modify";

struct BadOrder {
  const char* what;
  OperatorRequest request;
  std::set<int> allowed;
};

std::vector<BadOrder> bad_orders() {
  const Bytes good = tables("9", route, service);
  const std::string deep(100, '[');
  return {
      {"no base", OperatorRequest{"POST", whole, {}, good}, {400}},
      {"empty base", post(whole, "", good), {400}},
      {"negative base", post(whole, "-1", good), {400}},
      {"base with a sign", post(whole, "+5", good), {400}},
      {"base with a fraction", post(whole, "5.0", good), {400}},
      {"base beyond 64 bit", post(whole, "18446744073709551621", good), {400}},
      {"base that is no number", post(whole, "five", good), {400}},
      {"an older base", post(whole, "4", good), {412}},
      {"a base that is not there yet", post(whole, "8", good), {412}},
      {"no number", post(whole, "5", R"({"route-table":[],"pool-table":[]})"), {400}},
      {"number 0", post(whole, "5", tables("0", route, service)), {400}},
      {"a negative number", post(whole, "5", tables("-9", route, service)), {400}},
      {"a number with a fraction", post(whole, "5", tables("9.5", route, service)), {400}},
      {"a number beyond 64 bit", post(whole, "5", tables("18446744073709551625", route, service)), {400}},
      {"an endless number", post(whole, "5", tables("1e400", route, service)), {400}},
      {"a text as number", post(whole, "5", tables("\"9\"", route, service)), {400}},
      {"the current number", post(whole, "5", tables("5", route, service)), {400}},
      {"a lower number", post(whole, "5", tables("4", route, service)), {400}},
      {"two routes of one name", post(whole, "5", tables("9", route + "," + route, service)), {400}},
      {"two services of one name", post(whole, "5", tables("9", route, service + "," + service)), {400}},
      {"a route without a name", post(whole, "5", tables("9", R"({"path-prefix":"/a/","pool":"s"})", service)), {400}},
      {"a route that is no object", post(whole, "5", tables("9", "7", service)), {400}},
      {"a service that is not there", post(whole, "5", tables("9", route, "")), {400}},
      {"a table that is no list", post(whole, "5", R"({"config-revision":9,"route-table":{},"pool-table":[]})"), {400}},
      {"a table missing", post(whole, "5", R"({"config-revision":9,"route-table":[]})"), {400}},
      {"a list", post(whole, "5", "[]"), {400}},
      {"nothing", post(whole, "5", ""), {400}},
      {"half a text", post(whole, "5", good.substr(0, good.size() / 2)), {400}},
      {"text after the end", post(whole, "5", good + "{}"), {400}},
      {"too deep", post(whole, "5", deep), {400}},
      {"bytes that are no text", post(whole, "5", "{\"config-revision\":9,\"x\":\"\xff\xfe\"}"), {400}},
      {"a long text that is no configuration", post(whole, "5", Bytes(3000000, 'x')), {400}},
      {"changes without a number", post(named, "5", R"({"upsert":{}})"), {400}},
      {"changes as a list", post(named, "5", R"({"config-revision":9,"upsert":[]})"), {400}},
      {"a removal that is no list", post(named, "5", R"({"config-revision":9,"remove":{"route-table":"r"}})"), {400}},
      {"a removal by number", post(named, "5", R"({"config-revision":9,"remove":{"route-table":[1]}})"), {400}},
      {"a service removed under its route",
       post(named, "5", R"({"config-revision":9,"remove":{"pool-table":["s"]}})"),
       {400}},
      {"two items of one name in a change",
       post(named, "5", R"({"config-revision":9,"upsert":{"route-table":[)" + other_route + "," + other_route + "]}}"),
       {400}},
      {"evacuation of no zone", OperatorRequest{"POST", "/v1/Evacuation.Begin/"}, {400}},
      {"evacuation of a path", OperatorRequest{"POST", "/v1/Evacuation.Begin/a/b"}, {400}},
      {"evacuation of a very long name",
       OperatorRequest{"POST", "/v1/Evacuation.Begin/" + std::string(500, 'z')},
       {400}},
      {"retirement of no machine", OperatorRequest{"POST", "/v1/Retire.Begin/"}, {404}},
      {"another call", OperatorRequest{"POST", "/v1/Config.Drop"}, {404}},
  };
}

}  // namespace

TEST_CASE("orders: bad ones are refused by type and change nothing", "[orders]") {
  OperatorCluster operators(23, "platform");
  REQUIRE(start_and_wait(operators.cluster));
  operators.world.run_until(operators.world.now() + seconds(5));
  const OperatorRequest show{"GET", "/v1/Config.Show"};
  // Before the first configuration as well.
  for (const auto& bad : bad_orders()) {
    INFO(bad.what);
    const int status = operators.status(bad.request);
    CHECK((status == 400 || status == 412 || status == 404));
    CHECK(operators.status(show) == 404);
  }
  REQUIRE(operators.status(post(whole, "0", tables("5", route, service))) == 200);
  const std::string before = operators.surfaces.call(operators.cluster.any_alive(), show).body;
  for (const auto& bad : bad_orders()) {
    INFO(bad.what);
    const int status = operators.status(bad.request);
    INFO(status);
    CHECK(bad.allowed.contains(status));
    CHECK(operators.surfaces.call(operators.cluster.any_alive(), show).body == before);
  }
  // A removal of what isn't there is a valid change.
  CHECK(operators.status(post(named, "5", R"({"config-revision":9,"remove":{"route-table":["gone"]}})")) == 200);
}

TEST_CASE("orders: a zone that the settings don't name and nothing stands in can't be evacuated", "[orders]") {
  OperatorCluster operators(24);
  REQUIRE(start_and_wait(operators.cluster));
  operators.surfaces.zones = {"somewhere"};
  CHECK(operators.status(OperatorRequest{"POST", "/v1/Evacuation.Begin/nowhere"}) == 404);
  CHECK(operators.status(OperatorRequest{"POST", "/v1/Evacuation.Begin/somewhere"}) == 200);
  const std::string inhabited = operators.cluster.machines[0]->zone;
  CHECK(operators.status(OperatorRequest{"POST", "/v1/Evacuation.Begin/" + inhabited}) == 200);
}

TEST_CASE("orders: the end of an evacuation is not undone by a begin that was still under way", "[orders]") {
  OperatorCluster operators(25, "platform");
  REQUIRE(start_and_wait(operators.cluster));
  Machine& late = *operators.cluster.machines[4];  // without a disk: it owns nothing
  const OperatorRequest begin{"POST", "/v1/Evacuation.Begin/north"}, finish{"POST", "/v1/Evacuation.Finish/north"};
  Machine& other = *operators.cluster.machines[5];
  // The machine freezes when it has asked what is kept; the operator goes on to another daemon meanwhile.
  operators.world.points.clear();
  operators.world.armed_kind = "send store.read";
  operators.world.armed = 1;
  operators.world.strike = [&](const std::string& place) {
    if (place == late.name) late.freeze();
  };
  operators.surfaces.send(late, begin, [](OperatorReply) {});
  operators.world.run_until(operators.world.now() + milliseconds(100));
  REQUIRE(late.frozen());
  operators.world.armed_kind.clear();
  REQUIRE(operators.surfaces.call(other, begin).status == 200);
  REQUIRE(operators.surfaces.call(other, finish).status == 200);
  late.wake();
  operators.world.run_until(operators.world.now() + seconds(3));
  CHECK_FALSE(other.shared_state().configuration.get()->evacuated(ZoneId("north")));
}

TEST_CASE("orders: a retirement is refused for good by the owner of the roster alone", "[orders]") {
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
  // A daemon that reaches no owner says neither that a machine is unknown nor that too few would remain.
  Machine& apart = *edges.back();
  for (auto& each : operators.cluster.machines)
    if (each.get() != &apart) operators.world.cut(apart.name, each->name), operators.world.cut(each->name, apart.name);
  operators.world.run_until(operators.world.now() + seconds(8));
  for (const auto& request : {retire(*storage[0]), OperatorRequest{"POST", "/v1/Retire.Begin/nobody"}}) {
    const int status = operators.surfaces.call(apart, request, seconds(9)).status;
    INFO(status);
    CHECK(status >= 500);
  }
  operators.world.mend();
  operators.world.run_until(operators.world.now() + seconds(3));
  // Two at the same time, of which only one may go.
  std::map<int, int> statuses;
  for (std::size_t index : {0u, 1u})
    operators.surfaces.send(*edges[index], retire(*storage[index]),
                            [&](OperatorReply reply) { ++statuses[reply.status]; });
  operators.world.run_until(operators.world.now() + seconds(4));
  CHECK(statuses[200] == 1);
  std::size_t marked = 0;
  for (Machine* machine : storage)
    marked += edges[2]->shared_state().configuration.get()->holders.contains(machine->address.text);
  CHECK(marked == 1);
  // Sent again, the one that was taken is acknowledged, also where too few would remain for a new one.
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
