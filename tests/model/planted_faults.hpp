// Faults that are planted from outside, by rewriting messages and by disks that lie: each takes one guard away. A clean
// run plants none. No product code knows of them.
#pragma once
#include "interfaces/interfaces.hpp"
#include "model/disk.hpp"

namespace mothwalk::model {

enum class PlantedFault {
  none,
  epoch_check_off,         // replicas take what owners of lower epochs send
  installed_ignored,       // a new owner doesn't see which hand-over a replica holds whole
  old_roster_majority,     // an owner counts the newest seat as if it had answered
  stale_home,              // a control daemon grants leases although it reaches no majority
  sync_not_awaited,        // disks say that bytes are safe before they are
  wiped_keeps_identity,    // a wiped folder comes back under its former identity
  order_identity_ignored,  // a change that is sent again is taken for another one
};

struct FaultPlan {
  StringView name;
  PlantedFault fault;
  StringView shape;  // where it is looked for
};
inline constexpr FaultPlan planted_faults[] = {
    {"none", PlantedFault::none, ""},
    {"epoch-check-off", PlantedFault::epoch_check_off, "steady"},
    {"installed-ignored", PlantedFault::installed_ignored, "removal"},
    {"old-roster-majority", PlantedFault::old_roster_majority, "roster-change"},
    {"stale-home", PlantedFault::stale_home, "home-cut"},
    {"sync-not-awaited", PlantedFault::sync_not_awaited, "steady"},
    {"wiped-keeps-identity", PlantedFault::wiped_keeps_identity, "steady"},
    {"order-identity-ignored", PlantedFault::order_identity_ignored, "steady"}};

// What a request asked for, as its reply is read later.
struct Request {
  std::string kind;
  Bytes body;
  Address to;
  TimePoint sent;
};

// Rewrites an envelope as it is taken, given the taker's file and, for a reply, the request that it answers.
void rewrite_taken(PlantedFault fault, const DecodedFile& taker, const Request* request, Envelope& envelope);

// The answer that a seat is assumed to have given, where the fault makes the owner count it without asking.
std::optional<Envelope> assumed_answer(PlantedFault fault, const DecodedFile& sender, const Address& to,
                                       const Envelope& envelope);

}  // namespace mothwalk::model
