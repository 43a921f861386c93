// The messages and records of lots. A lot is a submitted set of requests, its items; the daemon that owns the lot's
// slot of keys stores it and hands its items out. A placer is the daemon that dispatches items to a given runner.
#pragma once
#include "replication/messages.hpp"

namespace mothwalk {

// An item of a batch is a complete request. An item of a plain lot (one that is not a batch) is only a request body: it
// is identified by its position and sent to the lane's path.
struct LotItem {
  std::string id, path;
  std::vector<Header> headers;
  Bytes body;
  std::uint32_t tokens = 0;  // The prompt's tokens plus the maximum number of output tokens.
  MOTHWALK_FIELDS(id, path, headers, body, tokens)
};
struct LotSpecification {
  std::string lane;
  Duration deadline{};  // Plain lots only: items without a result this long after the submission expire.
  std::vector<LotItem> items;
  bool batch = false;     // Items are complete requests that may run again; their responses are event streams with ids.
  std::string host;       // Batches only: the host name that the attempts carry.
  Duration completion{};  // Batches only: all results are due this long after the submission.
  Duration retention{};   // Batches only: items may be abandoned this long after the submission.
  std::uint32_t attempts = 0;  // Batches only: this many responses with status 500 end an item.
  std::uint64_t revision = 0;  // The revision of the configuration in which the lane was found.
  MOTHWALK_FIELDS(lane, deadline, items, batch, host, completion, retention, attempts, revision)
};

// An entry that is appended to a lot's record. `elapsed` is the time since submission by the owner's monotonic clock,
// so deadlines need no wall clock and survive a change of owner.
struct LotEntry {
  std::string what;  // The type of the entry: "start", "result" or "cancel".
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;
  Address placer;
  std::uint64_t incarnation = 0;
  Duration elapsed{};
  // "answer", "unknown", "expired" or "cancelled"; in a batch "answer" or "abandoned".
  std::string outcome;
  std::int32_t status = 0;
  Bytes body;
  MOTHWALK_FIELDS(what, item, attempt, placer, incarnation, elapsed, outcome, status, body)
};

struct LotStatus {
  std::string id, lane, state;  // The state is "open", "cancelled" or "finished".
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
  Bytes body;           // In a batch, the data of all events in order, joined by line feeds.
  std::string id = {};  // The item's own id, or in a plain lot its position.
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
  Duration wait{};  // How long the reply may wait for a result at position `after`, at most 1 s.
  MOTHWALK_FIELDS(id, after, limit, wait)
};
struct ItemBody {
  Bytes body;
  MOTHWALK_FIELDS(body)
};
// Reads the request body of an item that has no result yet.
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

// Sent by owners to placers: by kind of runner, how many items wait to be fetched.
struct PendingItems {
  static constexpr StringView kind = "placing.pending";
  std::map<std::string, std::uint32_t> kinds;  // Items that can still finish in time.
  std::map<std::string, std::uint32_t> late;   // Items that can no longer finish in time.
  MOTHWALK_FIELDS(kinds, late)
};
// The demand of an owner's lots for runners of a kind: how many items wait, and how many items have to run at once to
// finish in time.
struct LotDemand {
  std::uint32_t pending = 0;
  double at_once = 0;
  MOTHWALK_FIELDS(pending, at_once)
};
// Sent by owners to the component that sizes the circle, which is the active set of a kind's runners.
struct KindPending {
  static constexpr StringView kind = "circle.pending";
  std::map<std::string, LotDemand> kinds;
  MOTHWALK_FIELDS(kinds)
};
// The complete events that were received of an item's response, so that any runner can resume after the last of them.
struct PartialStream {
  Bytes text;
  std::uint64_t last_event = 0;  // The id of the last complete event, or 0 for none.
  std::string version;           // The version of the model weights that produced the text.
  MOTHWALK_FIELDS(text, last_event, version)
};
// An item as it is handed out to a placer.
struct PlacedItem {
  std::string lot, lane;
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;
  std::uint32_t failures = 0;  // The number of responses with status 500 so far.
  bool batch = false;
  std::string host;
  LotItem request;
  PartialStream part;
  MOTHWALK_FIELDS(lot, lane, item, attempt, failures, batch, host, request, part)
};
struct ItemsReply {
  std::vector<PlacedItem> items;
  std::uint32_t remaining = 0, late = 0;  // The owner's remaining items for the kind, as in PendingItems.
  MOTHWALK_FIELDS(items, remaining, late)
};
// Asks an owner for items to run on a runner.
struct FetchItems {
  static constexpr StringView kind = "lots.fetch";
  using Reply = ItemsReply;
  std::string runner_kind, runner;
  std::uint32_t count = 0;
  std::uint64_t term = 0;    // The term of the sender's appointment as this runner's placer.
  std::uint64_t tokens = 0;  // The maximum sum of the items' tokens, or 0 for no bound.
  MOTHWALK_FIELDS(runner_kind, runner, count, term, tokens)
};
// Identifies one attempt at an item.
struct ItemAttemptId {
  std::string lot;
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;
  auto operator<=>(const ItemAttemptId&) const = default;
  MOTHWALK_FIELDS(lot, item, attempt)
};
// The items of the request that the placer does not hold.
struct CheckHeldItemsReply {
  std::vector<ItemAttemptId> missing;
  MOTHWALK_FIELDS(missing)
};
// Sent by an owner to check whether a placer still holds the items that were handed to it, running or not reported yet.
struct CheckHeldItems {
  static constexpr StringView kind = "placing.held";
  using Reply = CheckHeldItemsReply;
  std::uint64_t incarnation = 0;
  std::vector<ItemAttemptId> items;
  MOTHWALK_FIELDS(incarnation, items)
};
// The reply to a new owner, which asks all possible placers which items of its slot they hold before it hands any out.
struct HeldItems {
  std::uint64_t incarnation = 0;
  std::vector<ItemAttemptId> items;
  MOTHWALK_FIELDS(incarnation, items)
};
// Asks a placer which items of a slot's lots it holds.
struct ListHeldItems {
  static constexpr StringView kind = "placing.slot";
  using Reply = HeldItems;
  std::uint32_t slot = 0;
  MOTHWALK_FIELDS(slot)
};
// Tells a placer that a lot was cancelled, so that it stops the lot's running items.
struct StopLotItems {
  static constexpr StringView kind = "placing.stop";
  std::string lot;
  MOTHWALK_FIELDS(lot)
};
// A placer's report on an attempt. Outcomes: "answer" (the runner responded), "lost" (it may have run), "stopped" (it
// may have run and was stopped by the placer), "not_run" (it did not run). In a batch also "failed" (status 500),
// "impossible" (status 422) and "damaged" (the runner did not resume after the partial response it was given).
struct ItemReport {
  std::string lot;
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;
  std::string outcome;
  std::int32_t status = 0;
  Bytes body;
  PartialStream part = {};  // In a batch, the partial response that was received.
  std::uint32_t failures = 0;
  MOTHWALK_FIELDS(lot, item, attempt, outcome, status, body, part, failures)
};
struct ReportItemsReply {
  std::vector<std::uint32_t> acknowledged;  // The indices of the reports that need not be sent again.
  MOTHWALK_FIELDS_AS("heard", acknowledged)
};
// Reports finished attempts to the owner of their lots.
struct ReportItems {
  static constexpr StringView kind = "lots.finish";
  using Reply = ReportItemsReply;
  std::vector<ItemReport> items;
  MOTHWALK_FIELDS(items)
};

}  // namespace mothwalk
