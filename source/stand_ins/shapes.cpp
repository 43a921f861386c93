// Defines the shapes. Where the users of a deployment state their request rates, the loads have these rates, multiplied
// by the given load factor.
#include "stand_ins/shapes.hpp"

namespace mothwalk {

namespace {

json::object kind_spec(int cycle, int floor, int reserve, bool all, int ramp) {
  return json::object{
      {"circle", json::object{{"cycle", cycle}, {"floor", floor}, {"reserve", reserve}, {"all", all}, {"ramp", ramp}}},
      {"refusals", json::array{429}}};
}

void add_machines(Shape& shape, int count, const std::vector<std::string>& zones, int disks) {
  for (int index = 0; index < count; ++index)
    shape.machines.push_back(
        MachineShape{zones[static_cast<std::size_t>(index) % zones.size()], index < disks, {}, {}, {}, {}, {}, 0});
}

void add_runners(Shape& shape, const std::string& kind, int count, const std::vector<std::string>& zones,
                 std::uint32_t slots) {
  for (int index = 0; index < count; ++index) {
    RunnerShape runner;
    runner.name = kind + "-" + std::to_string(index + 1);
    runner.kind = kind;
    runner.zone = zones[static_cast<std::size_t>(index) % zones.size()];
    runner.slots = slots;
    shape.runners.push_back(std::move(runner));
  }
}

}  // namespace

Shape thin_shape() {
  Shape shape;
  shape.name = "thin";
  add_machines(shape, 4, {"north", "south"}, 3);
  add_runners(shape, "model", 4, {"north", "south"}, 4);
  shape.resources = {{"kind/model", kind_spec(2000, 2, 1, false, 500)},
                     {"lane/audits", json::object{{"path", "/audits"}, {"kind", "model"}, {"affinity_bytes", 512}}},
                     {"lane/lines", json::object{{"path", "/lines"}, {"kind", "model"}, {"repeatable", true}}}};
  shape.streams = {StreamLoad{"audits", "/audits", 40, 6, 200, 1024, 2, false}};
  shape.lots = {LotLoad{"lines", "lines", 10, 10, 100, std::chrono::milliseconds(0), true, 0}};
  return shape;
}

Shape small_shape() {
  Shape shape;
  shape.name = "small";
  const std::vector<std::string> zones{"north", "south", "west"};
  add_machines(shape, 9, zones, 6);
  add_runners(shape, "model", 6, zones, 4);
  add_runners(shape, "notice", 3, zones, 8);
  shape.resources = {
      {"kind/model", kind_spec(5000, 2, 1, false, 2000)},
      {"kind/notice", kind_spec(5000, 1, 0, true, 500)},
      {"lane/audits", json::object{{"path", "/audits"}, {"kind", "model"}, {"affinity_bytes", 1024}}},
      {"lane/suggestions", json::object{{"path", "/suggestions"}, {"kind", "model"}}},
      {"lane/lines", json::object{{"path", "/lines"}, {"kind", "model"}, {"repeatable", true}}},
      {"lane/payments", json::object{{"path", "/payments"}, {"kind", "model"}, {"repeatable", false}}},
      {"lane/notices",
       json::object{{"path", "/notices"}, {"kind", "notice"}, {"repeatable", true}, {"first_piece", 2000}}}};
  shape.streams = {StreamLoad{"audits", "/audits", 3, 20, 200, 3000, 3, false},
                   StreamLoad{"suggestions", "/suggestions", 8, 6, 200, 0, 0, false},
                   StreamLoad{"filings", "/payments", 6, 0, 200, 0, 0, false},
                   StreamLoad{"notices", "/notices", 15, 0, 150, 0, 0, true}};
  shape.lots = {LotLoad{"lines", "lines", 0.7, 20, 100, std::chrono::milliseconds(0), true, 6},
                LotLoad{"payments", "payments", 0.4, 8, 100, std::chrono::milliseconds(0), false, 0}};
  return shape;
}

Shape altiplano_shape(double load_factor) {
  Shape shape;
  shape.name = "altiplano";
  const std::vector<std::string> zones{"alto", "bajo", "centro", "este"};
  // The first eight machines have disks: four storage machines and four edge machines. The other nine are edge machines
  // without disks.
  add_machines(shape, 17, zones, 8);
  add_runners(shape, "model", 12, zones, 4);
  add_runners(shape, "notice", 4, zones, 8);
  shape.resources = {
      {"kind/model", kind_spec(5000, 3, 2, false, 2000)},
      {"kind/notice", kind_spec(5000, 1, 0, true, 500)},
      {"lane/audits", json::object{{"path", "/audits"}, {"kind", "model"}, {"affinity_bytes", 2048}}},
      {"lane/suggestions", json::object{{"path", "/suggestions"}, {"kind", "model"}}},
      {"lane/lines", json::object{{"path", "/lines"}, {"kind", "model"}, {"repeatable", true}}},
      {"lane/notices",
       json::object{{"path", "/notices"}, {"kind", "notice"}, {"repeatable", true}, {"first_piece", 2000}}}};
  shape.streams = {StreamLoad{"audits", "/audits", 5 * load_factor, 40, 500, 6000, 4, false},
                   StreamLoad{"suggestions", "/suggestions", 18 * load_factor, 10, 200, 0, 0, false},
                   StreamLoad{"notices", "/notices", 55 * load_factor, 0, 150, 0, 0, true}};
  shape.lots = {LotLoad{"lines", "lines", 2 * load_factor, 40, 100, std::chrono::milliseconds(8000), true, 10}};
  return shape;
}

Shape sestavna_shape(double load_factor) {
  Shape shape;
  shape.name = "sestavna";
  const std::vector<std::string> zones{"one", "two", "three"};
  add_machines(shape, 15, zones, 6);
  add_runners(shape, "model", 12, zones, 4);
  add_runners(shape, "index", 3, zones, 8);
  shape.resources = {
      {"kind/model", kind_spec(5000, 3, 2, false, 2000)},
      {"kind/index", kind_spec(5000, 1, 0, true, 500)},
      {"lane/reviews", json::object{{"path", "/reviews"}, {"kind", "model"}, {"affinity_bytes", 2048}}},
      {"lane/triage", json::object{{"path", "/triage"}, {"kind", "model"}}},
      {"lane/sweeps", json::object{{"path", "/sweeps"}, {"kind", "model"}, {"repeatable", true}}},
      {"lane/lookups",
       json::object{{"path", "/lookups"}, {"kind", "index"}, {"repeatable", true}, {"first_piece", 2000}}}};
  shape.streams = {StreamLoad{"reviews", "/reviews", 4 * load_factor, 50, 2000, 8000, 3, false},
                   StreamLoad{"triage", "/triage", 16 * load_factor, 12, 300, 0, 0, false},
                   StreamLoad{"lookups", "/lookups", 55 * load_factor, 0, 80, 0, 0, true}};
  shape.lots = {LotLoad{"sweeps", "sweeps", 1 * load_factor, 80, 100, std::chrono::milliseconds(15000), true, 10}};
  return shape;
}

Shape platform_shape() {
  Shape shape = small_shape();
  shape.name = "platform";
  shape.knows_first_start = true;
  shape.machines.clear();
  const std::vector<std::string> zones{"north", "south", "west", "east"};
  shape.runners.clear();
  add_runners(shape, "model", 8, zones, 4);
  add_runners(shape, "notice", 4, zones, 8);
  add_machines(shape, 4, zones, 4);
  for (auto& machine : shape.machines) machine.keeps = "control";
  add_machines(shape, 5, zones, 0);
  add_machines(shape, 4, zones, 4);
  for (std::size_t index = 9; index < shape.machines.size(); ++index) shape.machines[index].keeps = "lots";
  return shape;
}

// Three machines that store control state, three that store nothing, and machines that store lots. Each of these groups
// spans three zones.
Shape shape_by_roles(std::string name, std::size_t lot_machines) {
  Shape shape = small_shape();
  shape.name = std::move(name);
  shape.knows_first_start = true;
  shape.machines.clear();
  const std::vector<std::string> zones{"north", "south", "west"};
  add_machines(shape, 3, zones, 3);
  for (auto& machine : shape.machines) machine.keeps = "control";
  add_machines(shape, 3, zones, 0);
  const std::size_t first_lot_machine = shape.machines.size();
  add_machines(shape, lot_machines, zones, lot_machines);
  for (std::size_t index = first_lot_machine; index < shape.machines.size(); ++index)
    shape.machines[index].keeps = "lots";
  return shape;
}

Shape farm_shape() {
  return shape_by_roles("farm", 3);
}

Shape storage_shape() {
  // How long a third of a processor core takes to handle a kilobyte of lot records on the users' platform.
  constexpr Duration storage_time_per_kilobyte = std::chrono::microseconds(80);
  Shape shape = shape_by_roles("storage", 8);
  for (auto& machine : shape.machines)
    if (machine.keeps == "lots") machine.time_per_kilobyte = storage_time_per_kilobyte;
  shape.lots = {LotLoad{"lines", "lines", 2, 40, 4000, std::chrono::milliseconds(0), true, 0}};
  return shape;
}

Shape grown_shape() {
  constexpr Duration notice_idle = std::chrono::seconds(5);
  constexpr std::uint32_t model_slots = 16, notice_slots = 6, notice_connections = 24;
  Shape shape;
  shape.name = "grown";
  shape.knows_first_start = true;
  const std::vector<std::string> zones{"north", "south", "west", "east", "core"};
  add_machines(shape, 5, zones, 5);
  for (auto& machine : shape.machines) machine.keeps = "control";
  add_machines(shape, 55, zones, 0);
  const std::size_t first_lot_machine = shape.machines.size();
  add_machines(shape, 10, zones, 10);
  for (std::size_t index = first_lot_machine; index < shape.machines.size(); ++index)
    shape.machines[index].keeps = "lots";
  add_runners(shape, "model", 24, zones, model_slots);
  add_runners(shape, "notice", 5, zones, notice_slots);
  for (auto& runner : shape.runners) {
    if (runner.kind != "notice") continue;
    runner.connections = notice_connections;
    runner.idle = notice_idle;
  }
  shape.resources = {
      {"kind/model",
       json::object{
           {"circle",
            json::object{
                {"cycle", 2000}, {"ramp", 500}, {"target", 0.35}, {"concurrency", 32}, {"floor", 4}, {"reserve", 4}}},
           {"refusals", json::array{429}},
           {"overcommit", 1.0}}},
      {"kind/notice", json::object{{"circle", json::object{{"cycle", 2000}, {"ramp", 500}, {"all", true}}},
                                   {"refusals", json::array{429}},
                                   {"overcommit", 2.0},
                                   {"connections", notice_connections}}}};
  auto add_lane = [&](const std::string& name, const std::string& kind, json::object additional_fields) {
    json::object lane{{"path", "/" + name}, {"kind", kind}, {"waiting_room", 4096}};
    for (const auto& field : additional_fields) lane[field.key()] = field.value();
    shape.resources.emplace_back("lane/" + name, std::move(lane));
  };
  // As on the users' platform, the same timeout applies to each step of a request.
  auto timeouts = [](int target, int limit) {
    return json::object{
        {"aim", target}, {"whole", limit}, {"first_piece", limit}, {"between_pieces", limit}, {"waiting", limit}};
  };
  for (const char* name : {"audits", "suggestions"}) {
    json::object settings = timeouts(500, 10000);
    settings["streaming"] = true;
    add_lane(name, "model", settings);
  }
  json::object settings = timeouts(200, 1500);
  settings["repeatable"] = true;
  add_lane("notices", "notice", settings);
  shape.streams = {StreamLoad{"audits", "/audits", 150, 80, 200, 0, 0, false},
                   StreamLoad{"suggestions", "/suggestions", 150, 25, 200, 0, 0, false},
                   StreamLoad{"notices", "/notices", 120, 0, 150, 0, 0, true}};
  return shape;
}

Shape crowded_shape() {
  constexpr std::uint32_t notice_slots = 2, notice_connections = 8;
  Shape shape = small_shape();
  shape.name = "crowded";
  shape.machines.clear();
  shape.runners.clear();
  const std::vector<std::string> zones{"north", "south", "west"};
  add_machines(shape, 14, zones, 5);
  add_runners(shape, "model", 6, zones, 4);
  add_runners(shape, "notice", 3, zones, notice_slots);
  for (auto& runner : shape.runners) {
    runner.idle = std::chrono::seconds(5);
    if (runner.kind == "notice") runner.connections = notice_connections;
  }
  for (auto& [key, spec] : shape.resources)
    if (key == "kind/notice") spec["connections"] = notice_connections;
  for (auto& load : shape.streams)
    if (load.name == "notices") load.rate = 45;
  return shape;
}

Shape shape_named(const std::string& name, double load_factor) {
  if (name == "small") return small_shape();
  if (name == "platform") return platform_shape();
  if (name == "farm") return farm_shape();
  if (name == "storage") return storage_shape();
  if (name == "grown") return grown_shape();
  if (name == "crowded") return crowded_shape();
  return name == "altiplano"  ? altiplano_shape(load_factor)
         : name == "sestavna" ? sestavna_shape(load_factor)
                              : thin_shape();
}

}  // namespace mothwalk
