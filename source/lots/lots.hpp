// The owner's side of kept lots. A lot is a kept key: its head is what was handed in, its entries are the starts,
// results and the end. A start of an item that may not run twice is on a majority of disks before the item leaves; for
// the others a new owner asks the placers what they hold. Results keep the positions in which they were appended, and
// are shown once they are on a majority of disks; whatever a new owner takes over it rebuilds from the record.
#pragma once
#include "lots/messages.hpp"
#include "replication/replicated_store.hpp"

namespace mothwalk {

struct LotCounts {
  std::uint64_t slots_loaded = 0, lots_rebuilt = 0;  // rebuilt: read from their records
  std::uint64_t lots_kept = 0;                       // taken over as they were, under the owner's next epoch
  std::uint64_t items_too_large = 0;  // handed in here, and larger than a runner's memory: no runner can hold them
  std::uint64_t items_rested = 0;     // times that an item rested since its runs brought nothing
  MOTHWALK_FIELDS(slots_loaded, lots_rebuilt, lots_kept, items_too_large, items_rested)
};

class Lots {
 public:
  Lots(Messenger& messenger, SharedState& shared_state);
  void start();
  const LotCounts& counts() const { return counts_; }

 private:
  enum class ItemState { pending, starting, started, finishing, finished };
  struct Item {
    ItemState state = ItemState::pending;
    std::uint64_t attempt = 0;
    std::uint32_t tries = 0, failures = 0;
    std::uint32_t setbacks = 0;  // runs in a row that a runner turned away or broke off, and that brought no new part
    Address placer;
    std::uint64_t incarnation = 0;
    TimePoint since;
    std::optional<TimePoint> placer_missing;
    StreamPart part;
  };
  struct Waiter {  // a read held until there is a result at its position
    std::uint64_t number = 0;
    ReadLot read;
    ReplyCallback<LotPage> answer;
  };
  struct Lot {
    std::string id;
    Epoch epoch;
    Stamp written;  // of its record, when it was last known
    LotSpecification head;
    std::string content;  // names what was handed in: equal for a lot handed in again
    std::vector<Item> items;
    std::vector<LotEntry> results;               // on a majority of disks
    std::set<std::uint32_t> pending, busy;       // items: free to run; with a placer or with a result being written
    std::map<std::uint32_t, TimePoint> resting;  // of the pending: until then they go behind all others
    std::uint32_t largest_item = 0;              // tokens
    std::vector<Waiter> waiters;
    bool cancelled = false, cancelling = false, removing = false;
    TimePoint begun;  // such that now - begun is the time since submission
    TimePoint due;    // lots due earlier go first
    TimePoint closed_at;
    bool finished() const { return results.size() == items.size(); }
    bool closed() const { return finished() || (head.batch && cancelled && busy.empty()); }
  };
  using SlotLots = std::map<std::string, Lot>;
  struct Slot {
    Epoch epoch;
    bool ready = false;
    bool adopting = false;  // placers are asked what they hold; nothing is handed out meanwhile
    std::optional<TimePoint>
        confirmed;  // when the last question began that a majority answered: this daemon owns the slot
    bool confirming = false;
    std::vector<std::function<void(bool)>> waiting;
    SlotLots lots;
    SlotLots former;  // as they were when the slot was left, until it is loaded again
    TimePoint left;
  };
  struct Finishing;
  struct Fetching;
  struct Demand {  // of the circles and of the placers
    std::map<std::string, LotDemand> kinds;
    PendingItems pending;
  };

  void tick();
  void follow_ownership();
  void leave(std::uint32_t slot);
  void forget_former(Slot& slot) const;
  // One slot after the other, and with rests, so that other work of this daemon goes between.
  void load_next();
  void rest_after_load(Duration took);
  void load(std::uint32_t slot);
  void loaded(std::uint32_t slot, ListSlotReply reply);
  // Nothing of the lot is being written: it is as its record is.
  static bool settled(const Lot& lot);
  void adopt(std::uint32_t slot);
  void adopted(std::uint32_t slot, const Address& placer, const SlotItems& held);
  static void replay(Lot& lot, LotEntry entry, TimePoint now);
  Lot rebuild(const Record& record, Epoch epoch) const;
  Lot* find(const std::string& id, bool* ready);
  Lot* find_under(const std::string& id, Epoch epoch);
  void append(const Lot& lot, const std::vector<LotEntry>& entries, std::function<void(Lot*, bool)> then);
  // Goes on once a majority has said that the slot still is owned under the epoch that the lots were read in: after
  // this call began, or within the lease before it.
  void confirm(std::uint32_t slot, std::function<void(bool)> then);
  void lease(std::uint32_t slot, std::function<void(bool)> then);
  bool leased(const Slot& slot) const;
  void when_owner(const std::string& id, bool within_lease, std::function<void(bool, Lot*)> then);
  void submit(SubmitLot submit, ReplyCallback<LotStatus> answer);
  std::uint64_t expected_growth(std::size_t items) const;
  std::uint32_t too_large(const Lot& lot) const;  // pending items that no runner of the lot's lane can hold
  std::optional<Error> not_accepted(const LotSpecification& head, const ConfigurationView& configuration) const;
  void submitted(const std::string& id, const Bytes& head, const std::string& content, Epoch epoch,
                 const Result<WriteReply>& result, const ReplyCallback<LotStatus>& answer);
  void cancel(const std::string& id, ReplyCallback<LotStatus> answer);
  void read(ReadLot read, ReplyCallback<LotPage> answer);
  LotPage page(const Lot& lot, const ReadLot& read) const;
  void wait_for_result(Lot& lot, const ReadLot& read, const ReplyCallback<LotPage>& answer);
  void end_wait(const std::string& id, std::uint64_t number);
  void answer_waiters(Lot& lot);
  void body(ReadItem read, ReplyCallback<ItemBody> answer);
  void fetch(const Address& placer, std::uint64_t incarnation, FetchItems fetch, ReplyCallback<ItemsReply> answer,
             bool again);
  // The lots that the items of a fetch come from, in their order; what waits in all of them is counted in the reply.
  std::vector<Lot*> lots_to_start(const FetchItems& fetch, TimePoint awake, ItemsReply& reply);
  // How many pending items a runner with this memory can hold, and how many of these rest no longer than until then.
  static std::uint32_t holdable(const Lot& lot, std::uint64_t memory_tokens);
  static std::uint32_t startable(const Lot& lot, std::uint64_t memory_tokens, TimePoint awake);
  void start_items(Lot& lot, const std::shared_ptr<Fetching>& fetching);
  LotEntry start_entry(const Lot& lot, std::uint32_t index) const;
  PlacedItem placed_item(const Lot& lot, std::uint32_t index) const;
  void hand_out_started(Lot& lot, const std::vector<LotEntry>& starts, bool durable, ItemsReply& reply);
  void finish(FinishItems finish, ReplyCallback<FinishReply> answer);
  // Whether the report is settled now; where not, either a result is being written or a majority has to be asked first.
  enum class Settled { now, writing, later, unsure };
  Settled take_report(FinishItem& finish, std::map<std::string, std::vector<LotEntry>>& results);
  // The result that a report amounts to, or none where the item goes on or runs again.
  std::optional<LotEntry> batch_result(Lot& lot, FinishItem& finish);
  std::optional<LotEntry> plain_result(Lot& lot, FinishItem& finish);
  bool may_run_again(const Lot& lot, const Item& item, bool stopped_by_us) const;
  void learn_run_time(const Lot& lot, const Item& item);
  void give_results(Lot& lot, std::vector<LotEntry> entries, std::function<void(bool)> then);
  void give_up(Lot& lot, const std::string& outcome);
  // Whether the fetch comes from the newest placer of the runner that this owner has heard of.
  bool newest_placer(const Address& placer, std::uint64_t incarnation, const FetchItems& fetch);
  void requeue(Lot& lot, std::uint32_t index);
  // Counts a run that brought nothing; after some in a row the item rests, so that others go before it.
  void count_setback(Lot& lot, std::uint32_t index);
  double took(const Lot& lot) const;               // seconds that an item of its lane runs, about
  bool late(const Lot& lot, TimePoint now) const;  // an item begun now would miss the time that the lot was promised
  void queue(const Lot& lot);                      // puts the lot among those that have items to run, or takes it out
  bool leads(const ConfigurationView& configuration, const Lot& lot, const std::string& kind) const;
  bool repeatable(const Lot& lot) const;
  void sweep(Lot& lot, TimePoint now);
  void sweep_batch(Lot& lot, TimePoint now);
  void free_lost_items(Lot& lot, TimePoint now);
  std::vector<std::uint32_t> lost_items(Lot& lot, TimePoint now) const;
  void remove(Lot& lot);
  void ask_placers(TimePoint now);
  void announce();
  void add_demand(const ConfigurationView& configuration, const Slot& slot, const Lot& lot, TimePoint now,
                  Demand& demand) const;
  // How many items of a batch have to run at once so that it is in time.
  double runs_at_once(const Lot& lot, std::uint32_t pending, TimePoint now) const;
  void tell_demand(const ConfigurationView& configuration, const Demand& demand);
  LotStatus status(const Lot& lot) const;

  Messenger& messenger_;
  SharedState& shared_state_;
  std::vector<Slot> slots_{slot_count};
  std::set<std::pair<TimePoint, std::string>> queue_;  // lots with items to run, by when they are due
  std::map<std::string, Placer> terms_;                // the highest known of each runner
  std::map<std::string, double> took_;                 // by lane, about how many seconds an item runs
  double result_bytes_ = 0;                            // of a result, about
  std::uint64_t ticks_ = 0, last_waiter_ = 0;
  bool announce_soon_ = false;
  bool load_under_way_ = false;
  TimePoint load_not_before_;
  LotCounts counts_;
  std::set<std::string> announced_;  // kinds
};

}  // namespace mothwalk
