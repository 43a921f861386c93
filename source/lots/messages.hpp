// The messages between those who hand lots in, the lots' owners and the daemons that place items on outside runners.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

// An item is a request of its own. In a lot that is no batch it is a plain text: its id is its position, its path the
// lane's.
struct LotItem {
  std::string id, path;
  std::vector<Header> headers;
  Bytes body;
  std::uint32_t tokens = 0;  // of the prompt and the most that may come out
  MOTHWALK_FIELDS(id, path, headers, body, tokens)
};
struct LotSpecification {
  std::string lane;
  Duration deadline{};  // of lots that are no batch: items without a result by then expire
  std::vector<LotItem> items;
  bool batch = false;     // items are whole requests that may run again, their answers series of events with rising ids
  std::string host;       // of a batch, as its attempts carry it
  Duration completion{};  // of a batch, since its submission: by when all results are due
  Duration retention{};   // of a batch, since its submission: from when items may be given up
  std::uint32_t attempts = 0;  // of a batch: answers of 500 that end an item
  std::uint64_t revision = 0;  // of the configuration that the lane was found in
  MOTHWALK_FIELDS(lane, deadline, items, batch, host, completion, retention, attempts, revision)
};

// What is appended to a lot's record. Elapsed is the steady time since submission as the owner knew it, so a deadline
// needs no wall clock and survives a change of owner.
struct LotEntry {
  std::string what;  // start, result, cancel
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;
  Address placer;
  std::uint64_t incarnation = 0;
  Duration elapsed{};
  std::string outcome;  // answer, unknown, expired, cancelled; of a batch answer or abandoned
  std::int32_t status = 0;
  Bytes body;
  MOTHWALK_FIELDS(what, item, attempt, placer, incarnation, elapsed, outcome, status, body)
};

struct LotStatus {
  std::string id, lane, state;  // open, cancelled, finished
  std::uint32_t items = 0, results = 0, started = 0;
  MOTHWALK_FIELDS(id, lane, state, items, results, started)
};
struct SubmitLot {
  static constexpr StringView kind = "lots.submit";
  using Reply = LotStatus;
  std::string id;
  LotSpecification head;
  MOTHWALK_FIELDS(id, head)
};
struct CancelLot {
  static constexpr StringView kind = "lots.cancel";
  using Reply = LotStatus;
  std::string id;
  MOTHWALK_FIELDS(id)
};
struct LotResult {
  std::uint32_t position = 0, item = 0;
  std::string outcome;
  std::int32_t status = 0;
  Bytes body;           // of a batch: the data of all events in order, joined by line feeds
  std::string id = {};  // of a batch's item
  MOTHWALK_FIELDS(position, item, outcome, status, body, id)
};
struct LotPage {
  LotStatus lot;
  std::vector<LotResult> results;
  std::uint32_t next = 0;
  MOTHWALK_FIELDS(lot, results, next)
};
struct ReadLot {
  static constexpr StringView kind = "lots.read";
  using Reply = LotPage;
  std::string id;
  std::uint32_t after = 0, limit = 0;
  Duration wait{};  // how long the answer may be held until there is a result at that position; at most a second
  MOTHWALK_FIELDS(id, after, limit, wait)
};
struct ItemBody {
  Bytes body;
  MOTHWALK_FIELDS(body)
};
// The body of an item that is not listed yet.
struct ReadItem {
  static constexpr StringView kind = "lots.item";
  using Reply = ItemBody;
  std::string id, item;
  MOTHWALK_FIELDS(id, item)
};
struct LotList {
  std::vector<LotStatus> lots;
  MOTHWALK_FIELDS(lots)
};
struct ListLots {
  static constexpr StringView kind = "lots.list";
  using Reply = LotList;
  bool ask = true;
  MOTHWALK_FIELDS(ask)
};

// Between owners and placing daemons.
struct PendingItems {
  static constexpr StringView kind = "placing.pending";
  std::map<std::string, std::uint32_t> kinds;  // items that can be in time
  std::map<std::string, std::uint32_t> late;   // and those that can't any more
  MOTHWALK_FIELDS(kinds, late)
};
// What an owner's lots ask of a kind's runners: items that wait, and how many have to run at once to be in time.
struct LotDemand {
  std::uint32_t pending = 0;
  double at_once = 0;
  MOTHWALK_FIELDS(pending, at_once)
};
struct KindPending {
  static constexpr StringView kind = "circle.pending";
  std::map<std::string, LotDemand> kinds;
  MOTHWALK_FIELDS(kinds)
};
// What whole events have come of an item's answer, so that any runner can go on after the last of them.
struct StreamPart {
  Bytes text;
  std::uint64_t last_event = 0;  // 0: none
  std::string version;           // of the weights that answered
  MOTHWALK_FIELDS(text, last_event, version)
};
struct PlacedItem {
  std::string lot, lane;
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;
  std::uint32_t failures = 0;  // answers of 500 so far
  bool batch = false;
  std::string host;
  LotItem request;
  StreamPart part;
  MOTHWALK_FIELDS(lot, lane, item, attempt, failures, batch, host, request, part)
};
struct ItemsReply {
  std::vector<PlacedItem> items;
  std::uint32_t remaining = 0, late = 0;  // of the kind with this owner, as in PendingItems
  MOTHWALK_FIELDS(items, remaining, late)
};
struct FetchItems {
  static constexpr StringView kind = "lots.fetch";
  using Reply = ItemsReply;
  std::string runner_kind, runner;
  std::uint32_t count = 0;
  std::uint64_t term = 0;    // the placer's, for this runner
  std::uint64_t tokens = 0;  // that the items may have together; 0: no bound
  MOTHWALK_FIELDS(runner_kind, runner, count, term, tokens)
};
// An owner asks a placer which of the items that it takes to be with it are in its hands (running or being reported).
struct ItemName {
  std::string lot;
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;
  auto operator<=>(const ItemName&) const = default;
  MOTHWALK_FIELDS(lot, item, attempt)
};
struct HeldReply {
  std::vector<ItemName> missing;
  MOTHWALK_FIELDS(missing)
};
struct AskHeld {
  static constexpr StringView kind = "placing.held";
  using Reply = HeldReply;
  std::uint64_t incarnation = 0;
  std::vector<ItemName> items;
  MOTHWALK_FIELDS(incarnation, items)
};
// A new owner asks all who may place which items of a slot's lots are in their hands, before it hands any out.
struct SlotItems {
  std::uint64_t incarnation = 0;
  std::vector<ItemName> items;
  MOTHWALK_FIELDS(incarnation, items)
};
struct AskSlot {
  static constexpr StringView kind = "placing.slot";
  using Reply = SlotItems;
  std::uint32_t slot = 0;
  MOTHWALK_FIELDS(slot)
};
// The lot was ended: its running items are of no use.
struct StopLot {
  static constexpr StringView kind = "placing.stop";
  std::string lot;
  MOTHWALK_FIELDS(lot)
};
// Outcome: answer (the runner's), lost (may have run), stopped (may have run, stopped by us), not_run (did not run); of
// a batch also failed (500), impossible (422) and damaged (it did not go on after the part it was given).
struct FinishItem {
  std::string lot;
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;
  std::string outcome;
  std::int32_t status = 0;
  Bytes body;
  StreamPart part = {};  // of a batch, what came before the end
  std::uint32_t failures = 0;
  MOTHWALK_FIELDS(lot, item, attempt, outcome, status, body, part, failures)
};
struct FinishReply {
  std::vector<std::uint32_t> heard;  // which of the reports are settled, by place in the list
  MOTHWALK_FIELDS(heard)
};
struct FinishItems {
  static constexpr StringView kind = "lots.finish";
  using Reply = FinishReply;
  std::vector<FinishItem> items;
  MOTHWALK_FIELDS(items)
};

}  // namespace mothwalk
