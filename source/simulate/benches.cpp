// The benches.
#include "simulate/benches.hpp"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "stand_ins/judge.hpp"

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool make_ready(SimulatedCluster& cluster) {
  cluster.start();
  while (!cluster.ready() && cluster.world.now() < TimePoint{} + seconds(60))
    cluster.world.run_until(cluster.world.now() + milliseconds(100));
  cluster.world.run_until(cluster.world.now() + seconds(15));
  return cluster.ready();
}

std::int64_t part_of(std::vector<std::int64_t>& list, std::size_t percent) {
  if (list.empty()) return 0;
  std::sort(list.begin(), list.end());
  return list[std::min(list.size() - 1, list.size() * percent / 100)];
}

}  // namespace

void bench_circle(const std::string& shape_name, std::uint64_t seed) {
  std::cout << "way         model runners with live work (mean of 1 s)  their load, mean (spread)  prefix hits  "
               "cross-zone attempts  first piece 50%/99% ms  lots done 50%/99% ms\n";
  for (const bool plain : {true, false}) {
    World world(seed);
    SimulatedCluster cluster(world, shape_named(shape_name, 1.0));
    if (!make_ready(cluster)) return;
    for (auto& machine : cluster.machines) machine->entries()->even_over_all(plain);
    cluster.load(seconds(120));
    // Let the law settle before measuring.
    world.run_until(world.now() + seconds(40));
    const std::size_t ledger_from = world.ledger().size();
    std::uint64_t own = 0, other = 0, hits = 0, misses = 0;
    for (auto& machine : cluster.machines) {
      own -= machine->entries()->counts().own_zone;
      other -= machine->entries()->counts().other_zone;
    }
    for (auto& runner : cluster.runners) {
      hits -= runner->hits;
      misses -= runner->misses;
    }
    const std::int64_t measured_from = world.milliseconds();
    world.run_until(world.now() + seconds(80));
    const std::int64_t measured_to = world.milliseconds();
    world.run_until(world.now() + seconds(15));
    for (auto& machine : cluster.machines) {
      own += machine->entries()->counts().own_zone;
      other += machine->entries()->counts().other_zone;
    }
    for (auto& runner : cluster.runners) {
      hits += runner->hits;
      misses += runner->misses;
    }
    // Live runs by runner: busy time and the seconds in which it had any.
    std::map<std::string, std::string> runner_of;
    std::map<std::string, std::int64_t> began, busy;
    std::map<std::int64_t, std::set<std::string>> used;
    const auto& lines = world.ledger();
    std::vector<json::object> part(lines.begin() + static_cast<std::ptrdiff_t>(ledger_from), lines.end());
    for (const auto& line : part) {
      const std::string what(line.at("what").as_string());
      if (what != "run" && what != "end") continue;
      const std::string id(line.at("id").as_string()), run(line.at("run").as_string());
      if (id.find('/') != std::string::npos) continue;
      const std::int64_t at = line.at("at").to_number<std::int64_t>();
      if (what == "run") {
        runner_of[run] = std::string(line.at("runner").as_string());
        began[run] = at;
        if (runner_of[run].starts_with("model")) used[at / 1000].insert(runner_of[run]);
      } else if (runner_of.contains(run) && runner_of[run].starts_with("model")) {
        busy[runner_of[run]] += at - began[run];
      }
    }
    double runners_used = 0;
    for (const auto& [second, names] : used)
      runners_used += static_cast<double>(names.size()) / static_cast<double>(used.size());
    std::vector<double> loads;
    for (const auto& [name, time] : busy)
      loads.push_back(static_cast<double>(time) / 4.0 / static_cast<double>(measured_to - measured_from));
    double mean = 0, variance = 0;
    for (const double load : loads) mean += load / static_cast<double>(loads.size());
    for (const double load : loads) variance += (load - mean) * (load - mean) / static_cast<double>(loads.size());
    Verdict verdict = judge(part);
    std::vector<std::int64_t> first;
    for (const auto& [load, list] : verdict.first)
      if (load != "notices" && load != "lookups") first.insert(first.end(), list.begin(), list.end());
    auto& lots = verdict.took["lots done"];
    std::printf(
        "%-11s %-50.1f %.3f (%.3f)                %5.1f%%       %5.1f%%           %lld/%lld                  "
        "%lld/%lld\n",
        plain ? "round-robin" : "circle", runners_used, mean, std::sqrt(variance),
        100.0 * static_cast<double>(hits) / static_cast<double>(std::max<std::uint64_t>(1, hits + misses)),
        100.0 * static_cast<double>(other) / static_cast<double>(std::max<std::uint64_t>(1, own + other)),
        static_cast<long long>(part_of(first, 50)), static_cast<long long>(part_of(first, 99)),
        static_cast<long long>(part_of(lots, 50)), static_cast<long long>(part_of(lots, 99)));
  }
}

void bench_model(std::uint64_t seed) {
  std::cout << "requests a second  load of four runners (open and queued prompts over slots)  answered  refused\n";
  std::vector<std::pair<double, double>> points;
  for (const double rate : {10.0, 20.0, 40.0, 60.0, 80.0, 120.0, 160.0, 200.0, 240.0}) {
    World world(seed);
    Shape shape = shape_named("small", 1.0);
    shape.lots.clear();
    shape.streams.erase(shape.streams.begin());
    shape.streams[0].rate = rate;
    shape.streams.resize(1);
    shape.runners.erase(
        std::remove_if(shape.runners.begin(), shape.runners.end(),
                       [](const RunnerShape& runner) { return runner.kind == "model" && runner.name > "model-4"; }),
        shape.runners.end());
    for (auto& [key, spec] : shape.resources)
      if (key == "kind/model") spec["circle"].as_object()["floor"] = 4;
    SimulatedCluster cluster(world, shape);
    if (!make_ready(cluster)) return;
    cluster.load(seconds(60));
    world.run_until(world.now() + seconds(61));
    const Circle circle = cluster.any_alive().shared_state().configuration.get()->circles.at("model").spec;
    Verdict verdict = judge(world.ledger());
    points.emplace_back(rate, circle.load);
    std::printf("%-18.0f %-60.3f %llu  %llu\n", rate, circle.load,
                static_cast<unsigned long long>(verdict.counts["suggestions answer"]),
                static_cast<unsigned long long>(verdict.counts["suggestions refused"]));
  }
  // Two pieces: a line through the points below the knee, another through those above it.
  double best = 1e18;
  std::size_t knee = 0;
  double slopes[2] = {}, bases[2] = {};
  for (std::size_t split = 3; split + 2 <= points.size(); ++split) {
    double total = 0, slope[2], base[2];
    for (int piece = 0; piece < 2; ++piece) {
      const std::size_t from = piece == 0 ? 0 : split, to = piece == 0 ? split : points.size();
      double count = 0, x = 0, y = 0, xx = 0, xy = 0;
      for (std::size_t index = from; index < to; ++index) {
        count += 1;
        x += points[index].first;
        y += points[index].second;
        xx += points[index].first * points[index].first;
        xy += points[index].first * points[index].second;
      }
      slope[piece] = (count * xy - x * y) / (count * xx - x * x);
      base[piece] = (y - slope[piece] * x) / count;
      for (std::size_t index = from; index < to; ++index)
        total += std::pow(points[index].second - base[piece] - slope[piece] * points[index].first, 2);
    }
    if (total < best) {
      best = total;
      knee = split;
      for (int piece = 0; piece < 2; ++piece) {
        slopes[piece] = slope[piece];
        bases[piece] = base[piece];
      }
    }
  }
  std::printf("fit: load = %.4f + %.5f * rate up to %.0f a second, then %.4f + %.5f * rate (squared error %.5f)\n",
              bases[0], slopes[0], points[knee - 1].first, bases[1], slopes[1], best);
}

void bench_costs(std::uint64_t seed) {
  std::cout << "members  frames a member a second  bytes a member a second  (no load, 30 s)\n";
  for (const int members : {10, 20, 30, 45, 60}) {
    World world(seed);
    Shape shape = shape_named("small", 1.0);
    shape.machines.clear();
    for (int index = 0; index < members; ++index)
      shape.machines.push_back(
          MachineShape{std::vector<std::string>{"north", "south", "west"}[static_cast<std::size_t>(index) % 3],
                       index < 7,
                       {},
                       {},
                       {},
                       {},
                       {},
                       0});
    SimulatedCluster cluster(world, shape);
    if (!make_ready(cluster)) return;
    std::uint64_t frames = 0, bytes = 0;
    for (auto& machine : cluster.machines) {
      frames -= machine->frames;
      bytes -= machine->bytes;
    }
    world.run_until(world.now() + seconds(30));
    for (auto& machine : cluster.machines) {
      frames += machine->frames;
      bytes += machine->bytes;
    }
    std::printf("%-8d %-25.1f %.0f\n", members, static_cast<double>(frames) / 30.0 / members,
                static_cast<double>(bytes) / 30.0 / members);
  }
}

}  // namespace mothwalk::simulate
