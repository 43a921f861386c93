// The faults and changes of load that scenarios are made of.
#pragma once
#include "simulate/cluster.hpp"

namespace mothwalk::simulate {

// Starts the machine after the pause, unless it is already running by then.
void restart_later(SimulatedCluster& cluster, Machine& machine, Duration pause);
// A random machine with or without a disk that is alive and not suspended.
Machine& pick_machine(SimulatedCluster& cluster, bool with_disk);
// A random runner of the kind.
RunnerModel& pick_runner(SimulatedCluster& cluster, const std::string& kind);
// The live storage node that owns the slot of the key; the first storage node if none does.
Machine& owner_of(SimulatedCluster& cluster, const std::string& key);
// The JSON document of the runner as an operator writes it.
std::string runner_document(const RunnerModel& runner, bool leaving);
// Isolates the zone from all others for the given time, in both directions or only for the messages that it sends.
void isolate_zone(SimulatedCluster& cluster, const std::string& zone, Duration length, bool both);
// Kills the machine, wipes its disk if asked to, and starts the machine again after the pause.
void kill_and_restart(SimulatedCluster& cluster, Machine& machine, bool wipe, Duration pause = std::chrono::seconds(3));
// Changes the configuration and kills the owner of the changed key as soon as the change is acknowledged.
void change_then_kill(SimulatedCluster& cluster, bool wipe);
// Calls `action` the given number of times with the number of the call (from 0), a gap apart; the first call comes
// after one gap.
void schedule_repeatedly(SimulatedCluster& cluster, Duration gap, int times, std::function<void(int)> action);
// Marks the runner as leaving for 6 s, and writes to the ledger in which interval no request may be sent to it.
void announce_leaving(SimulatedCluster& cluster, RunnerModel& runner);
// Evacuates the zone for 9 s, and writes to the ledger in which interval no request may be sent to its runners.
void evacuate_zone(
    SimulatedCluster& cluster, const std::string& zone, std::function<void()> when_acknowledged = [] {});
// Kills all machines at once and restarts them. One storage node may stay down, or come back with an empty disk.
void total_loss(SimulatedCluster& cluster, bool one_stays_down = false, bool one_wiped = false);
// Multiplies the rate of client requests by `factor` for the given time.
void increase_load(SimulatedCluster& cluster, double factor, Duration length);
// Crashes the runner and restarts it after the pause; it is cold for 2 s.
void crash_and_restart(SimulatedCluster& cluster, RunnerModel& runner, Duration pause);
// Restarts the member of the circle (the active runners of a kind) that has the fewest open streams, within 0.7 s. If
// `announced`, the platform announces the restart before; otherwise the member has at least one open stream. It comes
// back cold while the request rate is six times as high as usual.
void restart_circle_member(SimulatedCluster& cluster, bool announced);
// Sets the fault mode of the runner (see RunnerModel::mode) for the given time.
void set_runner_mode(SimulatedCluster& cluster, RunnerModel& runner, const std::string& mode, Duration length);
// Suspends the process of the machine for the given time.
void freeze_for(SimulatedCluster& cluster, Machine& machine, Duration length);
// Injects one of the faults above, a disk stall or a configuration change, chosen at random.
void inject_random_fault(SimulatedCluster& cluster);

}  // namespace mothwalk::simulate
