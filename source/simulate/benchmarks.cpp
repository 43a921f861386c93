// Implements the benchmarks of the simulator.
#include "simulate/benchmarks.hpp"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "stand_ins/judge.hpp"

namespace mothwalk::simulate {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool start_until_ready(SimulatedCluster& cluster) {
  cluster.start();
  while (!cluster.ready() && cluster.world.now() < TimePoint{} + seconds(60))
    cluster.world.run_until(cluster.world.now() + milliseconds(100));
  cluster.world.run_until(cluster.world.now() + seconds(15));
  return cluster.ready();
}

std::int64_t percentile(std::vector<std::int64_t>& list, std::size_t percent) {
  if (list.empty()) return 0;
  std::sort(list.begin(), list.end());
  return list[std::min(list.size() - 1, list.size() * percent / 100)];
}

}  // namespace

void benchmark_circle(const std::string& shape_name, std::uint64_t seed) {
  std::cout << "way         model runners with live work (mean of 1 s)  their load, mean (spread)  prefix hits  "
               "cross-zone attempts  first piece 50%/99% ms  lots done 50%/99% ms\n";
  for (const bool round_robin : {true, false}) {
    World world(seed);
    SimulatedCluster cluster(world, shape_named(shape_name, 1.0));
    if (!start_until_ready(cluster)) return;
    for (auto& machine : cluster.machines) machine->router()->set_round_robin_all(round_robin);
    cluster.load(seconds(120));
    // The controller of the circle's size settles before the measurement begins.
    world.run_until(world.now() + seconds(40));
    const std::size_t ledger_from = world.ledger().size();
    std::uint64_t same_zone = 0, other_zones = 0, prefix_hits = 0, prefix_misses = 0;
    for (auto& machine : cluster.machines) {
      same_zone -= machine->router()->counts().own_zone;
      other_zones -= machine->router()->counts().other_zone;
    }
    for (auto& runner : cluster.runners) {
      prefix_hits -= runner->prefix_hits;
      prefix_misses -= runner->prefix_misses;
    }
    const std::int64_t measured_from = world.milliseconds();
    world.run_until(world.now() + seconds(80));
    const std::int64_t measured_to = world.milliseconds();
    world.run_until(world.now() + seconds(15));
    for (auto& machine : cluster.machines) {
      same_zone += machine->router()->counts().own_zone;
      other_zones += machine->router()->counts().other_zone;
    }
    for (auto& runner : cluster.runners) {
      prefix_hits += runner->prefix_hits;
      prefix_misses += runner->prefix_misses;
    }
    // For each model runner: the total time of its live runs, and the seconds in which it began one.
    std::map<std::string, std::string> runner_of;
    std::map<std::string, std::int64_t> began, busy;
    std::map<std::int64_t, std::set<std::string>> runners_by_second;
    const auto& lines = world.ledger();
    std::vector<json::object> measured_lines(lines.begin() + static_cast<std::ptrdiff_t>(ledger_from), lines.end());
    for (const auto& line : measured_lines) {
      const std::string what(line.at("what").as_string());
      if (what != "run" && what != "end") continue;
      const std::string id(line.at("id").as_string()), run(line.at("run").as_string());
      if (id.find('/') != std::string::npos) continue;
      const std::int64_t at = line.at("at").to_number<std::int64_t>();
      if (what == "run") {
        runner_of[run] = std::string(line.at("runner").as_string());
        began[run] = at;
        if (runner_of[run].starts_with("model")) runners_by_second[at / 1000].insert(runner_of[run]);
      } else if (runner_of.contains(run) && runner_of[run].starts_with("model")) {
        busy[runner_of[run]] += at - began[run];
      }
    }
    double runners_used = 0;
    for (const auto& [second, names] : runners_by_second)
      runners_used += static_cast<double>(names.size()) / static_cast<double>(runners_by_second.size());
    std::vector<double> loads;
    for (const auto& [name, time] : busy)
      loads.push_back(static_cast<double>(time) / 4.0 / static_cast<double>(measured_to - measured_from));
    double mean = 0, variance = 0;
    for (const double load : loads) mean += load / static_cast<double>(loads.size());
    for (const double load : loads) variance += (load - mean) * (load - mean) / static_cast<double>(loads.size());
    Verdict verdict = judge(measured_lines);
    std::vector<std::int64_t> first_chunk_times;
    for (const auto& [load, list] : verdict.first_piece_times)
      if (load != "notices" && load != "lookups")
        first_chunk_times.insert(first_chunk_times.end(), list.begin(), list.end());
    auto& lots = verdict.durations["lots done"];
    std::printf(
        "%-11s %-50.1f %.3f (%.3f)                %5.1f%%       %5.1f%%           %lld/%lld                  "
        "%lld/%lld\n",
        round_robin ? "round-robin" : "circle", runners_used, mean, std::sqrt(variance),
        100.0 * static_cast<double>(prefix_hits) /
            static_cast<double>(std::max<std::uint64_t>(1, prefix_hits + prefix_misses)),
        100.0 * static_cast<double>(other_zones) /
            static_cast<double>(std::max<std::uint64_t>(1, same_zone + other_zones)),
        static_cast<long long>(percentile(first_chunk_times, 50)),
        static_cast<long long>(percentile(first_chunk_times, 99)), static_cast<long long>(percentile(lots, 50)),
        static_cast<long long>(percentile(lots, 99)));
  }
}

void benchmark_model(std::uint64_t seed) {
  std::cout << "requests a second  load of four runners (open and queued prompts over slots)  answered  refused\n";
  std::vector<std::pair<double, double>> samples;
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
    if (!start_until_ready(cluster)) return;
    cluster.load(seconds(60));
    world.run_until(world.now() + seconds(61));
    const Circle circle = cluster.any_alive().shared_state().configuration.get()->circles.at("model").spec;
    Verdict verdict = judge(world.ledger());
    samples.emplace_back(rate, circle.load);
    std::printf("%-18.0f %-60.3f %llu  %llu\n", rate, circle.load,
                static_cast<unsigned long long>(verdict.counts["suggestions answer"]),
                static_cast<unsigned long long>(verdict.counts["suggestions refused"]));
  }
  // Fits two lines to the samples, one below the knee of the curve and one above it. The knee is where the squared
  // error of both fits together is lowest.
  double best = 1e18;
  std::size_t knee = 0;
  double slopes[2] = {}, bases[2] = {};
  for (std::size_t split = 3; split + 2 <= samples.size(); ++split) {
    double total = 0, slope[2], base[2];
    for (int segment = 0; segment < 2; ++segment) {
      const std::size_t from = segment == 0 ? 0 : split, to = segment == 0 ? split : samples.size();
      double count = 0, x = 0, y = 0, xx = 0, xy = 0;
      for (std::size_t index = from; index < to; ++index) {
        count += 1;
        x += samples[index].first;
        y += samples[index].second;
        xx += samples[index].first * samples[index].first;
        xy += samples[index].first * samples[index].second;
      }
      slope[segment] = (count * xy - x * y) / (count * xx - x * x);
      base[segment] = (y - slope[segment] * x) / count;
      for (std::size_t index = from; index < to; ++index)
        total += std::pow(samples[index].second - base[segment] - slope[segment] * samples[index].first, 2);
    }
    if (total < best) {
      best = total;
      knee = split;
      for (int segment = 0; segment < 2; ++segment) {
        slopes[segment] = slope[segment];
        bases[segment] = base[segment];
      }
    }
  }
  std::printf("fit: load = %.4f + %.5f * rate up to %.0f a second, then %.4f + %.5f * rate (squared error %.5f)\n",
              bases[0], slopes[0], samples[knee - 1].first, bases[1], slopes[1], best);
}

void benchmark_costs(std::uint64_t seed) {
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
    if (!start_until_ready(cluster)) return;
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
