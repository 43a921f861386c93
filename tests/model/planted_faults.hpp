// Faults that the model check plants to show that it can find them. Each disables one safeguard of the protocol from
// outside, by rewriting messages or by a disk that acknowledges too early or keeps data, so the product has no code for
// them.
#pragma once
#include "interfaces/interfaces.hpp"
#include "model/disk.hpp"

namespace mothwalk::model {

enum class PlantedFault {
  none,
  epoch_check_off,         // replicas accept messages of owners with lower epochs
  installed_ignored,       // a new owner doesn't see which complete transfer of records a replica has
  old_roster_majority,     // an owner counts the newest voter without its reply
  stale_session_server,    // a control daemon grants leases without reaching a majority
  sync_not_awaited,        // disks acknowledge writes before they are synced
  wiped_keeps_identity,    // a wiped data folder keeps its identity
  order_identity_ignored,  // a resent change is treated as a new one
};

// A fault by its name on the command line, and the shape on which a search finds it.
struct FaultPlan {
  StringView name;
  PlantedFault fault;
  StringView shape;  // the shape on which it is searched for
};
inline constexpr FaultPlan planted_faults[] = {
    {"none", PlantedFault::none, ""},
    {"epoch-check-off", PlantedFault::epoch_check_off, "steady"},
    {"installed-ignored", PlantedFault::installed_ignored, "removal"},
    {"old-roster-majority", PlantedFault::old_roster_majority, "roster-change"},
    {"stale-home", PlantedFault::stale_session_server, "home-cut"},
    {"sync-not-awaited", PlantedFault::sync_not_awaited, "steady"},
    {"wiped-keeps-identity", PlantedFault::wiped_keeps_identity, "steady"},
    {"order-identity-ignored", PlantedFault::order_identity_ignored, "steady"}};

// A request that is kept until its reply passes, since the reply can only be interpreted together with it.
struct Request {
  std::string kind;
  Bytes body;
  Address to;
  TimePoint sent;
};

// Rewrites an envelope when it is received, given the content of the receiver's disk and, for a reply, its request.
void rewrite_received(PlantedFault fault, const DecodedFile& receiver, const Request* request, Envelope& envelope);

// Returns the reply that stands in for the newest voter's own if the fault makes the owner count it without asking it.
std::optional<Envelope> assumed_reply_to(PlantedFault fault, const DecodedFile& sender, const Address& to,
                                         const Envelope& envelope);

}  // namespace mothwalk::model
