// The owner's side of lots: stores submitted lots, hands their items out to placers and records the results.
//
// A lot is a key of the replicated store. The record's head is the submitted specification; its entries are the starts,
// the results and the cancellation. The start of an item that must not run twice is on a majority of disks before the
// item is handed out. Other starts are not stored; a new owner asks the placers which items they hold. Results keep the
// positions in which they were appended and become visible once they are on a majority of disks. A new owner rebuilds
// its lots from their records.
#pragma once
#include "lots/messages.hpp"
#include "replication/replicated_store.hpp"

namespace mothwalk {

struct LotCounts {
  std::uint64_t slots_loaded = 0, lots_rebuilt = 0;  // Rebuilt lots were read from their records.
  std::uint64_t lots_kept = 0;        // These lots were still in memory when this owner regained their slot.
  std::uint64_t items_too_large = 0;  // No runner of their lane has enough memory for these submitted items.
  std::uint64_t items_rested = 0;     // Counts the backoffs of items whose runs made no progress.
  MOTHWALK_FIELDS(slots_loaded, lots_rebuilt, lots_kept, items_too_large, items_rested)
};

// Owns the lots of all slots that the replicated store assigns to this daemon.
class Lots {
 public:
  Lots(Messenger& messenger, SharedState& shared_state);
  void start();
  const LotCounts& counts() const { return counts_; }

 private:
  // An item is `starting` while its start is being written, and `finishing` while its result is being written.
  enum class ItemState { pending, starting, started, finishing, finished };
  struct Item {
    ItemState state = ItemState::pending;
    std::uint64_t attempt = 0;
    std::uint32_t tries = 0, failures = 0;  // Counts of runs started and of responses with status 500.
    // Consecutive runs that a runner refused or broke off and that added nothing to the partial response.
    std::uint32_t runs_without_progress = 0;
    Address placer;
    std::uint64_t placer_incarnation = 0;
    TimePoint started_at;
    std::optional<TimePoint> placer_missing_since;
    PartialStream part;
  };
  // A read request that waits for a result at its position.
  struct Waiter {
    std::uint64_t number = 0;
    ReadLot read;
    ReplyCallback<LotPage> respond;
  };
  struct Lot {
    std::string id;
    Epoch epoch;
    Stamp record_stamp;  // The stamp of the record's last write that this owner knows of.
    LotSpecification spec;
    std::string content_digest;  // It is equal if the same content is submitted again.
    std::vector<Item> items;
    std::vector<LotEntry> results;  // They are on a majority of disks and indexed by position.
    // Items that are free to run, and items that a placer has or whose start or result is being written.
    std::set<std::uint32_t> pending, in_progress;
    std::map<std::uint32_t, TimePoint> backoff_until;  // Until then a pending item is handed out after all others.
    std::uint32_t largest_item_tokens = 0;
    std::vector<Waiter> waiters;
    bool cancelled = false, cancelling = false, removing = false;
    TimePoint submitted_at;  // Derived from the elapsed time in the record, on this process's clock.
    TimePoint due;           // Lots that are due earlier are served first.
    TimePoint closed_at;
    bool finished() const { return results.size() == items.size(); }
    bool closed() const { return finished() || (spec.batch && cancelled && in_progress.empty()); }
  };
  using SlotLots = std::map<std::string, Lot>;
  struct Slot {
    Epoch epoch;
    bool ready = false;
    bool awaiting_held_items = false;  // Nothing is handed out until the placers have reported which items they hold.
    // When the latest request was sent by which a majority confirmed that this daemon owns the slot.
    std::optional<TimePoint> confirmed_at;
    bool confirmation_in_progress = false;
    std::vector<std::function<void(bool)>> lease_waiters;
    SlotLots lots;
    SlotLots former_lots;  // The lots when the slot was released. They are kept until it is loaded again.
    TimePoint released_at;
  };
  struct ReportBatch;
  struct FetchInProgress;
  // What is sent to the circles' components (by kind) and to the placers.
  struct Demand {
    std::map<std::string, LotDemand> kinds;
    PendingItems pending;
  };

  void tick();
  void update_owned_slots();
  void release_slot(std::uint32_t slot);
  void expire_former_lots(Slot& slot) const;
  // Slots are loaded one at a time with pauses in between, so that other work of this daemon is not delayed.
  void load_next_slot();
  void pause_after_load(Duration load_duration);
  void load_slot(std::uint32_t slot);
  void on_slot_loaded(std::uint32_t slot, ListSlotReply reply);
  // Whether no write of the lot is in flight, so that its state in memory matches its record.
  static bool has_no_pending_write(const Lot& lot);
  void request_held_items(std::uint32_t slot);
  void on_held_items(std::uint32_t slot, const Address& placer, const HeldItems& held);
  static void apply_entry(Lot& lot, LotEntry entry, TimePoint now);
  Lot rebuild_lot(const Record& record, Epoch epoch) const;
  // Also tells whether the lot's slot is loaded. If it is not, a null result does not mean that the lot does not exist.
  Lot* find_lot(const std::string& id, bool* ready);
  Lot* find_lot_at_epoch(const std::string& id, Epoch epoch);
  // Calls `then` with the lot, or null if it is no longer owned under the same epoch, and whether the write succeeded.
  void append_entries(const Lot& lot, const std::vector<LotEntry>& entries, std::function<void(Lot*, bool)> then);
  // Calls `then` once a majority has confirmed, or failed to confirm, that this daemon owns the slot under the epoch in
  // which its lots were loaded. confirm_ownership always sends a new request; ensure_lease also accepts a confirmation
  // that was requested within the lease duration before the call.
  void confirm_ownership(std::uint32_t slot, std::function<void(bool)> then);
  void ensure_lease(std::uint32_t slot, std::function<void(bool)> then);
  bool has_owner_lease(const Slot& slot) const;
  // Confirms the ownership of the lot's slot (or ensures the lease) and then looks the lot up.
  void confirm_and_find(const std::string& id, bool within_lease, std::function<void(bool, Lot*)> then);
  void submit(SubmitLot submit, ReplyCallback<LotStatus> respond);
  std::uint64_t expected_result_bytes(std::size_t items) const;
  // The number of pending items that no runner of the lot's lane has enough memory for.
  std::uint32_t count_items_too_large(const Lot& lot) const;
  std::optional<Error> submission_error(const LotSpecification& spec, const ConfigurationView& configuration) const;
  void on_submission_written(const std::string& id, const Bytes& head, const std::string& content, Epoch epoch,
                             const Result<WriteReply>& result, const ReplyCallback<LotStatus>& respond);
  void cancel(const std::string& id, ReplyCallback<LotStatus> respond);
  void read(ReadLot read, ReplyCallback<LotPage> respond);
  LotPage make_page(const Lot& lot, const ReadLot& read) const;
  void wait_for_result(Lot& lot, const ReadLot& read, const ReplyCallback<LotPage>& respond);
  void on_wait_expired(const std::string& id, std::uint64_t number);
  void reply_to_waiters(Lot& lot);
  void read_item_body(ReadItem read, ReplyCallback<ItemBody> respond);
  void handle_fetch(const Address& placer, std::uint64_t incarnation, FetchItems fetch,
                    ReplyCallback<ItemsReply> respond, bool lease_requested);
  // The lots that the items of a fetch are taken from, in order. Counts the startable items of all lots in the reply.
  std::vector<Lot*> select_lots(const FetchItems& fetch, TimePoint backoff_horizon, ItemsReply& reply);
  // The number of pending items that fit into the memory.
  static std::uint32_t count_fitting_items(const Lot& lot, std::uint64_t memory_tokens);
  // The number of pending items that fit into the memory and whose backoff ends at the horizon or before.
  static std::uint32_t count_startable_items(const Lot& lot, std::uint64_t memory_tokens, TimePoint backoff_horizon);
  void start_items(Lot& lot, const std::shared_ptr<FetchInProgress>& fetching);
  LotEntry make_start_entry(const Lot& lot, std::uint32_t index) const;
  PlacedItem make_placed_item(const Lot& lot, std::uint32_t index) const;
  void deliver_started_items(Lot& lot, const std::vector<LotEntry>& starts, bool durable, ItemsReply& reply);
  void handle_reports(ReportItems message, ReplyCallback<ReportItemsReply> respond);
  // What becomes of a report: it is resolved; its result is being written; the placer has to send it again; or a
  // majority has to confirm this owner before the report may be dismissed.
  enum class ReportState { resolved, being_written, send_again, needs_confirmation };
  ReportState process_report(ItemReport& report, std::map<std::string, std::vector<LotEntry>>& results);
  // The result that follows from a report, or none if the item keeps running or is run again.
  std::optional<LotEntry> batch_result_of(Lot& lot, ItemReport& report);
  std::optional<LotEntry> plain_result_of(Lot& lot, ItemReport& report);
  bool may_retry(const Lot& lot, const Item& item, bool stopped_by_placer) const;
  void update_run_time(const Lot& lot, const Item& item);
  void write_results(Lot& lot, std::vector<LotEntry> entries, std::function<void(bool)> then);
  // Writes the outcome as the result of every pending item.
  void end_pending_items(Lot& lot, const std::string& outcome);
  // Whether the fetch comes from the placer with the highest term that this owner knows for the runner.
  bool is_newest_placer(const Address& placer, std::uint64_t incarnation, const FetchItems& fetch);
  void requeue(Lot& lot, std::uint32_t index);
  // Counts a run that made no progress. After several in a row the item backs off, so that others are handed out first.
  void count_run_without_progress(Lot& lot, std::uint32_t index);
  double expected_run_seconds(const Lot& lot) const;
  // Whether an item of a batch that is started now is expected to finish after the lot's due time.
  bool is_late(const Lot& lot, TimePoint now) const;
  // Adds the lot to the queue if it has items to hand out, and else removes it.
  void update_queue(const Lot& lot);
  bool lane_uses_kind(const ConfigurationView& configuration, const Lot& lot, const std::string& kind) const;
  bool is_repeatable(const Lot& lot) const;
  void check_lot(Lot& lot, TimePoint now);
  void check_batch(Lot& lot, TimePoint now);
  void release_lost_items(Lot& lot, TimePoint now);
  std::vector<std::uint32_t> find_lost_items(Lot& lot, TimePoint now) const;
  void remove_lot(Lot& lot);
  void check_items_with_placers(TimePoint now);
  void publish_demand();
  void add_demand(const ConfigurationView& configuration, const Slot& slot, const Lot& lot, TimePoint now,
                  Demand& demand) const;
  // How many items of a batch have to run at once for the batch to finish in time.
  double required_concurrency(const Lot& lot, std::uint32_t pending, TimePoint now) const;
  void send_demand(const ConfigurationView& configuration, const Demand& demand);
  LotStatus status_of(const Lot& lot) const;

  Messenger& messenger_;
  SharedState& shared_state_;
  std::vector<Slot> slots_{slot_count};
  std::set<std::pair<TimePoint, std::string>> queue_;  // The lots with items to hand out, ordered by due time.
  std::map<std::string, Placer> newest_placers_;       // The placer with the highest known term, by runner.
  std::map<std::string, double> mean_run_seconds_;     // A moving mean of the items' run times, by lane.
  double mean_result_bytes_ = 0;                       // A moving mean of the results' sizes.
  std::uint64_t ticks_ = 0, last_waiter_number_ = 0;
  bool publish_soon_ = false;  // Demand has changed and is published earlier than its regular interval requires.
  bool load_in_progress_ = false;
  TimePoint next_load_at_;
  LotCounts counts_;
  std::set<std::string> published_kinds_;
};

}  // namespace mothwalk
