// The types of the messages that daemons send each other. The position in the list is the first byte of an input of the
// target peer_messages.
#pragma once
#include "circle/circle.hpp"
#include "gossip/configuration_gossip.hpp"
#include "listing/listing.hpp"
#include "lots/item_placer.hpp"
#include "replication/messages.hpp"
#include "routes/router.hpp"
#include "sessions/sessions.hpp"

namespace mothwalk::fuzz {

template <class... Messages>
struct MessageTypes {};

using PeerMessages = MessageTypes<Heartbeat, SessionExchange, Introduction, PushUpdates, Compare, FetchUpdates,
                                  AppliedStamp, Write, Read, ListSlot, ConfirmSlot, Promise, Store, CopyRecords,
                                  Install, Confirm, RosterUpdate, IdentifyRequest, FoundRoster, SyncStatus, Retirement,
                                  Digests, ListStamps, FetchRecords, SubmitLot, CancelLot, ReadLot, ReadItem, ListLots,
                                  PendingItems, KindPending, FetchItems, CheckHeldItems, ListHeldItems, StopLotItems,
                                  ReportItems, LoadReport, LoadTotals, PlacerTotals, ReportCandidate, VoteRequest>;

// The bytes before a message's body in an input: the type, the receiving machine, and the length (two bytes).
inline constexpr std::size_t message_head_bytes = 4;

}  // namespace mothwalk::fuzz
