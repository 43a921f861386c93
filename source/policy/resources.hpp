// The operators' resources: what a lane, a kind, a runner, a hall, the lot settings and a holder's mark hold, and what
// the system itself writes (circle, roster). Each document is checked whole before it is taken.
#pragma once
#include "coding/json.hpp"
#include "mothwalk.hpp"

namespace mothwalk {

struct CircleSettings {
  bool all = false;                 // plain kinds may put every runner in the circle
  double target = 0.6;              // medium usage (ours)
  double high_water = 0.9;          // an early cycle above this usage (ours)
  Span cycle = std::chrono::seconds(60);
  std::uint32_t floor = 2;
  std::uint32_t reserve = 1;        // runners kept outside while lots are pending (ours)
  Span ramp = std::chrono::seconds(10);
  MOTHWALK_FIELDS(all, target, high_water, cycle, floor, reserve, ramp)
};

struct Kind {
  CircleSettings circle;
  std::vector<std::uint32_t> refusals;  // statuses that these runners give only for work that was not and never will be run
  double overcommit = 1.5;              // prompts per slot that a runner may be given before callers wait
  MOTHWALK_FIELDS(circle, refusals, overcommit)
};

struct Runner {
  KindId kind;
  Address address;
  ZoneId hall;
  std::uint32_t slots = 4;
  bool leaving = false;
  std::uint64_t generation = 0;       // raised by the platform with each new start of the runner's process
  MOTHWALK_FIELDS(kind, address, hall, slots, leaving, generation)
};

struct Lane {
  std::string path;
  KindId kind;
  bool repeatable = false;
  std::uint32_t retries = 2;
  std::uint32_t affinity_bytes = 0;   // so many bytes of the body's beginning choose the runner that has them cached
  std::uint32_t waiting_room = 256;   // requests of this lane that may wait in one daemon
  Span waiting = std::chrono::milliseconds(2000);
  Span connecting = std::chrono::milliseconds(500);
  Span first_piece = std::chrono::milliseconds(10000);
  Span between_pieces = std::chrono::milliseconds(5000);
  Span taking = std::chrono::milliseconds(10000);  // in which a caller with a full backlog takes something
  Span whole = std::chrono::milliseconds(60000);
  MOTHWALK_FIELDS(path, kind, repeatable, retries, affinity_bytes, waiting_room, waiting, connecting, first_piece, between_pieces, taking, whole)
};

struct Hall {
  bool evacuated = false;
  MOTHWALK_FIELDS(evacuated)
};

struct LotSettings {
  std::uint32_t items = 1000;            // items in one lot
  std::uint32_t lots = 4096;             // lots kept at once by one holder's slots
  Span retention = std::chrono::minutes(10);  // a finished lot stays readable so long
  MOTHWALK_FIELDS(items, lots, retention)
};

struct HolderMark {
  bool retired = false;
  MOTHWALK_FIELDS(retired)
};

// The one daemon that places items on a runner outside the circle. Terms rise; lots' owners refuse to go below.
struct Placer {
  Address address;
  std::uint64_t incarnation = 0, term = 0;
  auto operator<=>(const Placer&) const = default;
  MOTHWALK_FIELDS(address, incarnation, term)
};

// A service-level aim for a lane: what share of its requests is to be answered, and how many of all within what time.
struct Aim {
  std::string lane;
  double answered = 0.99;
  Span first_piece = std::chrono::milliseconds(2000);
  double in_time = 0.95;
  MOTHWALK_FIELDS(lane, answered, first_piece, in_time)
};

struct Circle {
  std::vector<RunnerId> members;
  std::vector<RunnerId> warm;       // members whose ramp is over
  std::vector<RunnerId> dark;       // runners that do not answer: neither members nor workers of lots
  std::map<std::string, std::uint64_t> generations;  // of the members: another one in force means a cold runner
  std::map<std::string, std::uint64_t> ramps;        // of the members: counts up when the ramp begins anew
  std::map<std::string, Placer> placers;             // of the runners outside
  std::uint64_t term = 0;
  double usage = 0;
  double law = 0;                   // the PI law's unrounded size
  double error = 0;
  std::uint64_t cycle = 0;
  std::string reason;
  MOTHWALK_FIELDS(members, warm, dark, generations, ramps, placers, term, usage, law, error, cycle, reason)
  bool has(const std::string& runner) const;
  // Whether the runner may bear its whole share: its ramp is over, and it was not started anew since.
  bool bears(const std::string& runner, std::uint64_t generation) const;
};

struct Seat {
  HolderId holder;
  Address address;
  ZoneId hall;
  auto operator<=>(const Seat&) const = default;
  MOTHWALK_FIELDS(holder, address, hall)
};

struct Roster {
  Version version;
  std::vector<Seat> seats;
  MOTHWALK_FIELDS(version, seats)
  std::size_t majority() const { return seats.size() / 2 + 1; }
  bool seated(const HolderId& holder) const;
};

template <class T> struct Named {
  Stamp stamp;
  T spec;
};

template <class T> using Table = std::map<std::string, Named<T>>;

struct PolicyView {
  Table<Lane> lanes;
  Table<Kind> kinds;
  Table<Runner> runners;
  Table<Hall> halls;
  Table<LotSettings> lots;
  Table<HolderMark> holders;
  Table<Aim> aims;
  Table<Circle> circles;
  Roster roster;
  std::uint64_t digest = 0;
  bool evacuated(const ZoneId& hall) const;
  const Lane* lane_for(View path, std::string* name) const;
  LotSettings lot_settings() const;
};

// Puts a value under its key ("lane/audits") into the view, or takes it out; false where the value cannot be read.
bool put_in_view(PolicyView& view, View key, const Bytes* value, Stamp stamp);

// Checks an operator's document for a key against the view; gives the canonical text to keep.
Result<Bytes> check_document(View type, View name, View text, const PolicyView& view);
// Checks that a resource may be deleted.
Result<Done> check_removal(View type, View name, const PolicyView& view);
bool is_resource_type(View type);
std::string resource_types();

}  // namespace mothwalk
