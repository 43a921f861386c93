// The building of the fleet, the window that is measured, the changes and the losses.
#include "scale/scale.hpp"

#include <unistd.h>

#include <algorithm>
#include <fstream>

#include "gossip/configuration_gossip.hpp"

namespace mothwalk::scale {

using namespace simulate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t most_daemons = 1000, most_runners = 5000;

Shape shape_of(const Size& size) {
  Shape shape;
  shape.name = "scale";
  shape.knows_first_start = true;
  for (std::size_t index = 0; index < size.daemons; ++index) {
    MachineShape machine;
    machine.zone = "zone-" + std::to_string(index % size.zones);
    machine.disk = index < size.control + size.storage;
    machine.keeps = index < size.control ? "control" : machine.disk ? "lots" : "";
    shape.machines.push_back(std::move(machine));
  }
  for (std::size_t kind = 0; kind < size.kinds; ++kind)
    shape.resources.emplace_back("kind/model-" + std::to_string(kind),
                                 json::object{{"circle", json::object{{"all", true}, {"floor", 1}, {"reserve", 0}}}});
  for (std::size_t lane = 0; lane < size.lanes; ++lane) {
    const std::string name = "lane-" + std::to_string(lane), path = "/" + name;
    shape.resources.emplace_back(
        "lane/" + name,
        json::object{{"path", path}, {"kind", "model-" + std::to_string(lane % size.kinds)}, {"repeatable", true}});
    if (size.requests > 0)
      shape.streams.push_back(
          StreamLoad{name, path, size.requests / static_cast<double>(size.lanes), 8, 800, 0, 0, true});
  }
  for (std::size_t index = 0; index < size.runners; ++index) {
    RunnerShape runner;
    runner.name = "runner-" + std::to_string(index);
    runner.kind = "model-" + std::to_string(index % size.kinds);
    runner.zone = "zone-" + std::to_string(index % size.zones);
    runner.slots = 8;
    shape.runners.push_back(std::move(runner));
  }
  return shape;
}

std::uint64_t resident() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t whole = 0, pages = 0;
  statm >> whole >> pages;
  return pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

// The runners come as one list, told to one daemon as the list's poller would tell it.
void tell_runners(SimulatedCluster& cluster) {
  RunnerListing listing;
  for (const auto& runner : cluster.runners)
    listing.runners[runner->name] =
        Runner{KindId(runner->kind), runner->address, ZoneId(runner->zone), runner->slots, false, 1, Duration{}};
  const PushUpdates spread{
      {ConfigurationUpdate{std::string(listing_key), Stamp{Epoch{1}, Version{1}}, false, to_cbor(listing)}}};
  Machine& machine = *cluster.machines.back();
  machine.receive(Envelope{Address("poller:1"), 1, "news", "listing", std::string(PushUpdates::kind), 0, false,
                           to_cbor(spread), protocol_number});
}

template <class Condition>
std::optional<std::int64_t> wait(World& world, Duration most, Condition condition) {
  const TimePoint began = world.now();
  while (!condition()) {
    if (world.now() - began > most) return std::nullopt;
    world.run_until(world.now() + milliseconds(5));
  }
  return (world.now() - began).count() / 1000;
}

Times times_of(std::vector<std::int64_t> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  return Times{values[values.size() / 2], values[values.size() * 99 / 100], values.back()};
}

void measure(SimulatedCluster& cluster, Figures& figures) {
  World& world = cluster.world;
  world.traffic.clear();
  std::map<Machine*, std::uint64_t> sent;
  for (auto& machine : cluster.machines) {
    machine->process()->processor = machine->bytes_in = 0;
    sent[machine.get()] = machine->bytes;
  }
  world.measuring = true;
  const TimePoint began = world.now();
  world.run_until(began + figures.size.window);
  world.measuring = false;
  figures.seconds = static_cast<double>((world.now() - began).count()) / 1e6;
  figures.messages = world.traffic;
  std::map<Role*, double> daemons;
  for (auto& machine : cluster.machines) {
    Role& role = machine->keeps == "control" ? figures.control
                 : machine->keeps == "lots"  ? figures.storage
                                             : figures.edge;
    daemons[&role] += 1;
    role.processor += static_cast<double>(machine->process()->processor) / 1e3 / figures.seconds;
    role.bytes_out += static_cast<double>(machine->bytes - sent[machine.get()]) / figures.seconds;
    role.bytes_in += static_cast<double>(machine->bytes_in) / figures.seconds;
  }
  for (auto& [role, count] : daemons) {
    role->processor /= count;
    role->bytes_out /= count;
    role->bytes_in /= count;
  }
}

void change_lanes(SimulatedCluster& cluster, Figures& figures) {
  std::vector<std::int64_t> spans;
  for (std::size_t change = 0; change < figures.size.changes; ++change) {
    const std::string name = "lane-" + std::to_string(change % figures.size.lanes);
    std::optional<Stamp> stamp;
    cluster.operator_change(
        "lane/" + name,
        json::serialize(json::object{
            {"path", "/" + name}, {"kind", "model-0"}, {"repeatable", true}, {"first_piece", 5000 + change}}),
        [&stamp](Stamp given) { stamp = given; });
    if (!wait(cluster.world, seconds(20), [&] { return stamp.has_value(); }))
      return figures.broken.push_back("a change was not acknowledged within 20 s");
    std::vector<Machine*> lacking;
    for (auto& machine : cluster.machines)
      if (machine->alive()) lacking.push_back(machine.get());
    const TimePoint began = cluster.world.now();
    wait(cluster.world, seconds(10), [&] {
      std::erase_if(lacking, [&](Machine* machine) {
        const auto configuration = machine->shared_state().configuration.get();
        auto lane = configuration->lanes.find(name);
        if (lane == configuration->lanes.end() || lane->second.stamp < *stamp) return false;
        spans.push_back((cluster.world.now() - began).count() / 1000);
        return true;
      });
      return lacking.empty();
    });
    if (!lacking.empty())
      return figures.broken.push_back(std::to_string(lacking.size()) + " daemons lacked a change after 10 s");
  }
  figures.change = times_of(std::move(spans));
}

std::int64_t lose(SimulatedCluster& cluster, const std::string& keeps, Figures& figures) {
  auto victim = std::find_if(cluster.machines.rbegin(), cluster.machines.rend(),
                             [&](const auto& machine) { return machine->alive() && machine->keeps == keeps; });
  if (victim == cluster.machines.rend()) return -1;
  (*victim)->kill(false);
  const auto elapsed = wait(cluster.world, seconds(20), [&] {
    return std::all_of(cluster.machines.begin(), cluster.machines.end(), [&](const auto& machine) {
      return !machine->alive() || !machine->shared_state().members.get()->all.contains((*victim)->address);
    });
  });
  if (!elapsed)
    figures.broken.push_back("a lost daemon (" + (keeps.empty() ? std::string("edge") : keeps) +
                             ") was still a member somewhere after 20 s");
  (*victim)->start();
  cluster.world.run_until(cluster.world.now() + seconds(3));
  return elapsed.value_or(-1);
}

}  // namespace

Result<Success> check_size(const Size& size, std::uint64_t memory) {
  auto wrong = [](const std::string& field, const std::string& message, const std::string& remedy) {
    return Error{ErrorKind::invalid, field, message, remedy};
  };
  if (size.control < 3)
    return wrong("control", std::to_string(size.control) + " control daemons can lose none", "give 3 or more");
  if (size.daemons < size.control + size.storage + 1)
    return wrong("daemons", std::to_string(size.daemons) + " daemons are not more than those of control and storage",
                 "give at least " + std::to_string(size.control + size.storage + 1));
  if (size.daemons > most_daemons)
    return wrong("daemons", "one process hosts at most " + std::to_string(most_daemons), "give fewer");
  if (size.zones == 0 || size.kinds == 0 || size.lanes == 0)
    return wrong("zones, kinds, lanes", "one of them is zero", "give one or more of each");
  if (size.runners > most_runners)
    return wrong("runners", "a run has at most " + std::to_string(most_runners), "give fewer");
  // Seen: less than 2 KB for each runner and 1 KB for each other daemon that a daemon knows, and 1 MB for itself.
  const std::uint64_t needed = size.daemons * ((1u << 20) + size.runners * 2048 + size.daemons * 1024);
  if (needed > memory / 2)
    return wrong("daemons",
                 "the run may need " + std::to_string(needed >> 20) + " MB, over half of the machine's " +
                     std::to_string(memory >> 20) + " MB",
                 "give fewer daemons or runners");
  return Success{};
}

Figures run(const Size& size) {
  Figures figures;
  figures.size = size;
  const std::uint64_t before = resident();
  World world(size.seed);
  SimulatedCluster cluster(world, shape_of(size));
  cluster.checks_rules = false;
  std::vector<std::unique_ptr<RunnerModel>> runners;
  std::swap(runners, cluster.runners);  // listed below, not declared one by one
  cluster.start();
  std::swap(runners, cluster.runners);
  if (!wait(world, seconds(60), [&] { return cluster.ready(); })) {
    figures.broken.push_back("the configuration was not taken within 60 s of the first start");
    return figures;
  }
  tell_runners(cluster);
  const auto listed = wait(world, seconds(30), [&] {
    return std::all_of(cluster.machines.begin(), cluster.machines.end(), [&](const auto& machine) {
      return machine->shared_state().configuration.get()->runners.size() == size.runners &&
             machine->shared_state().members.get()->all.size() == size.daemons;
    });
  });
  if (!listed) figures.broken.push_back("not every daemon knew all runners and daemons after 30 s");
  world.run_until(world.now() + seconds(15));  // the circles have warmed
  if (size.requests > 0) {
    cluster.load(size.window + seconds(3));
    world.run_until(world.now() + seconds(3));
  }
  std::uint64_t answered = 0;
  for (auto& machine : cluster.machines)
    if (machine->router() != nullptr) answered += machine->router()->counts().answered;
  measure(cluster, figures);
  for (auto& machine : cluster.machines)
    if (machine->router() != nullptr)
      figures.requests_answered += static_cast<double>(machine->router()->counts().answered);
  figures.requests_answered = (figures.requests_answered - static_cast<double>(answered)) / figures.seconds;
  figures.memory = static_cast<double>(resident() - std::min(before, resident())) / static_cast<double>(size.daemons);
  world.run_until(world.now() + seconds(3));
  change_lanes(cluster, figures);
  figures.lost_edge = lose(cluster, "", figures);
  figures.lost_control = lose(cluster, "control", figures);
  return figures;
}

}  // namespace mothwalk::scale
