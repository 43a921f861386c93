// Faults and loads that scenarios bring about.
#pragma once
#include "simulate/cluster.hpp"

namespace mothwalk::simulate {

// Starts the machine after the pause, unless something else did.
void restart_later(SimulatedCluster& cluster, Machine& machine, Duration pause);
// Any live machine with or without a disk.
Machine& pick(SimulatedCluster& cluster, bool holder);
// Any runner of the kind.
RunnerModel& pick_runner(SimulatedCluster& cluster, const std::string& kind);
// The machine that owns the slot of a key, as most see it.
Machine& owner_of(SimulatedCluster& cluster, const std::string& key);
// The runner as the platform states it.
std::string runner_document(const RunnerModel& runner, bool leaving);
// Parts the zone from all others, in both directions or in that of its own messages alone.
void cut_zone(SimulatedCluster& cluster, const std::string& zone, Duration length, bool both);
// Kills the machine, with its disk if it is wiped, and starts it after the pause.
void kill_and_restart(SimulatedCluster& cluster, Machine& machine, bool wipe, Duration pause = std::chrono::seconds(3));
// A change of configuration and, the moment it is acknowledged, the death of the one who owned its key.
void change_then_kill(SimulatedCluster& cluster, bool wipe);
// Calls `act` with its turn so many times, a gap apart, the first time after one gap.
void every(SimulatedCluster& cluster, Duration gap, int times, std::function<void(int)> act);
// Replaces the runner as a platform does: it leaves, goes down and comes back cold.
void leaving(SimulatedCluster& cluster, RunnerModel& runner);
// Empties the zone of requests for a while, and notes from when to when nothing may be sent there.
void evacuate(
    SimulatedCluster& cluster, const std::string& zone, std::function<void()> when_acknowledged = [] {});
// Everything goes down at once. One holder may stay away, or come back empty.
void total_loss(SimulatedCluster& cluster, bool one_away = false, bool one_empty = false);
// Callers come so many times as often for that long.
void crowd(SimulatedCluster& cluster, double factor, Duration length);
// The runner crashes and comes back cold after the pause.
void crash_and_return(SimulatedCluster& cluster, RunnerModel& runner, Duration pause);
// A member of the circle restarts within 0.7 s, idle and stated by the platform or with few streams and unstated; it
// comes back cold into a crowd.
void bounce(SimulatedCluster& cluster, bool stated);
// The runner is in the mode for that long.
void misbehave(SimulatedCluster& cluster, RunnerModel& runner, const std::string& mode, Duration length);
// The machine's processes stand still for that long.
void freeze(SimulatedCluster& cluster, Machine& machine, Duration length);
// One of the faults above, or of a disk or network, drawn by the cluster's random.
void random_fault(SimulatedCluster& cluster);

}  // namespace mothwalk::simulate
