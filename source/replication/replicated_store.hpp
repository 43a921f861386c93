// The kept state of a holder: of control state, of lots, or of both; each of these groups has a roster of its own. Keys
// hash into slots; a slot has one owner at a time, the first live seat in the slot's order, which takes it over under a
// higher epoch promised by a majority, writes the newest records back, and then has each change on a majority of disks
// before it answers. There is no common log and no leader for all.
#pragma once
#include <deque>

#include "replication/founding.hpp"
#include "replication/messages.hpp"
#include "replication/record_log.hpp"
#include "replication/store_counts.hpp"

namespace mothwalk {

class ReplicatedStore {
 public:
  struct Report {
    std::function<void(StringView)> note = [](StringView) {
    };
  };
  // first_start: whether this is the first life of the whole fleet, as the host was told; absent where the host is told
  // nothing, and then the three seeds are holders that found among themselves.
  ReplicatedStore(Messenger& messenger, SharedState& shared_state, Disk& disk, RandomSource& random, Member self,
                  std::vector<Address> seeds, Report report, std::optional<bool> first_start = std::nullopt,
                  std::size_t disk_limit = 0);
  // Reads the file; false with an error where the data can't be used.
  Result<Success> load();
  StorageNodeId identity() const { return identity_; }
  void start();
  std::uint64_t syncs() const { return log_.appends(); }
  const RecordLog& log() const { return log_; }
  std::uint64_t commits() const { return commits_; }
  const StoreCounts& counts() const { return counts_; }
  std::size_t removed_lots() const;
  // What an observer may compare between replicas: a slot's last whole hand-over, its digest and its epoch as owner.
  struct SlotView {
    Epoch installed, owned;  // owned: zero where another replica owns the slot
    std::uint64_t digest = 0;
  };
  SlotView slot_view(std::uint32_t slot) const;
  const Roster& roster() const { return roster_; }

 private:
  using Records = std::map<std::string, Record>;
  struct Held {  // what this holder keeps of a slot, as any copy does
    Records records;
    Epoch promised, installed;
    StorageNodeId promised_to;
    std::uint64_t digest = 0;
    std::size_t removed_lots = 0, bytes = 0;  // bytes: of all records, about
  };
  struct Pending {
    Write write;
    ReplyCallback<WriteReply> answer;
  };
  struct Queue {
    bool busy = false;
    std::deque<Pending> pending;
    std::vector<Task> readers;  // reads that wait for the outstanding change
  };
  struct Owned {  // what this holder does with a slot as its owner or as one who would be
    enum class State { none, taking, owned } state = State::none;
    Epoch epoch;
    Version roster;
    TimePoint not_before;
    std::map<std::string, Queue> queues;
    std::set<StorageNodeId> whole;  // the seats that hold the hand-over
    std::uint32_t refusals = 0;     // of takings in a row, by seats that had promised a higher epoch
    bool confirming = false;
    std::vector<std::function<void(bool)>> confirm_now, confirm_next;
  };

  // What other replicas and daemons ask; each answers once.
  void on_who(ReplyCallback<IdentifyReply> answer);
  void on_found(FoundRoster found, ReplyCallback<IdentifyReply> answer);
  void on_promise(Promise promise, ReplyCallback<PromiseReply> answer);
  void on_store(Store store, ReplyCallback<StoreReply> answer);
  void on_install(Install install, ReplyCallback<StoreReply> answer);
  void on_copies(Copies copies, ReplyCallback<StoreReply> answer);
  void on_confirm(Confirm confirm, ReplyCallback<StoreReply> answer);
  void on_roster_news(RosterUpdate news);
  void on_settled(SyncStatus settled, ReplyCallback<SyncStatusReply> answer);
  void on_digests(ReplyCallback<DigestsReply> answer);
  void on_range(Range range, ReplyCallback<RangeReply> answer);
  void on_fetch_records(FetchRecords fetch, ReplyCallback<RecordsReply> answer);
  void on_read(Read read, ReplyCallback<ReadReply> answer);
  void on_list_slot(const Address& from, ListSlot list, ReplyCallback<ListSlotReply> answer);
  void on_confirm_slot(ConfirmSlot request, ReplyCallback<ConfirmReply> answer);
  // Whether a message of an owner is taken under the promise and the roster in force; answers it where it is not.
  bool accepts(const StorageNodeId& target, const StorageNodeId& owner, std::uint32_t slot, Epoch epoch, Version roster,
               const ReplyCallback<StoreReply>& answer);
  // Promises a higher epoch to the owner that a message names.
  void raise_promise(std::uint32_t slot, Epoch epoch, const StorageNodeId& owner);

  void persist(DiskEntry entry, std::function<void()> then);
  RecordLog::Contents log_contents();
  std::vector<DiskEntry> slot_entries(std::uint32_t slot) const;
  Result<Success> replay(DiskEntry entry);
  void take_new_identity();
  void watch_disk();
  void put_record(Held& held, Record record);
  void erase_record(Held& held, const std::string& key);
  static bool newer(const Held& held, const Record& record);
  StoreReply no_room(const Held& held);
  void put_copies(Held& held, std::vector<Record> records);
  // Takes the content over to the epoch, or names what is missing and changes nothing.
  std::vector<std::string> install(Held& held, Epoch epoch, const std::vector<RecordStamp>& content);
  void apply(Held& held, const Change& change);
  void adopt(const Roster& roster);
  void tell_seats();

  void tick();
  bool lots_only() const { return self_.keeps == "lots"; }
  bool has_room(std::size_t bytes) const { return !lots_only() || log_.takes(bytes); }
  bool keeps_key(StringView key) const { return self_.keeps.empty() || lot_key(key) == lots_only(); }
  void found();
  void gather();
  void propose(Roster roster, std::size_t seed);
  void take(std::uint32_t slot);
  struct Taking {  // what the promises of a majority brought
    Epoch installed;
    Records newer;                                                 // than what this holder has
    std::map<std::string, std::pair<RecordStamp, Voter>> lacking;  // newer still, and who has it
    std::map<std::string, Stamp> raised;                           // of what this holder has the content of
    std::vector<RecordStamp> content;
    std::size_t stored = 0, left = 0;  // seats that have all of it, and those that have not said so
    std::size_t waiting = 0;           // of the latter those that get copies
  };
  using TakingPointer = std::shared_ptr<Taking>;
  struct Transfer {  // records of a slot that a seat lacks
    Voter seat;
    std::uint32_t slot = 0;
    Epoch epoch;
    Version roster;
    TakingPointer taking;
    std::deque<std::string> missing;
    int times = 0;  // that the installation is tried after it
  };
  using TransferPointer = std::shared_ptr<Transfer>;
  struct SeatTransfers {
    std::deque<TransferPointer> waiting;
    bool sending = false;
  };
  void queue_transfer(TransferPointer transfer);
  bool transferring(const StorageNodeId& holder, std::uint32_t slot) const;
  bool current(const Transfer& transfer) const;
  bool needed(const Transfer& transfer) const;
  void send_copies(const StorageNodeId& holder);
  Copies next_copies(Transfer& transfer);
  const Record* record_to_copy(const Transfer& transfer, const std::string& key) const;
  void copied(const TransferPointer& transfer, const StoreReply* reply);
  void resume_transfers();
  void taken(std::uint32_t slot, Epoch epoch, TakingPointer taking);
  void hand_over(std::uint32_t slot, Epoch epoch, TakingPointer taking);
  void install_at_returned();
  void install_at(const Voter& seat, std::uint32_t slot, Epoch epoch, Version roster, TakingPointer taking, int times);
  void retirement(const Retirement& asked, ReplyCallback<RetirementReply> answer);
  Address retiring_holder(const Retirement& asked, const Roster& roster) const;
  std::set<Address> remaining_holders(const Roster& roster, const Address& without) const;
  // What is known of the holder, without the state of the copies; approves a retirement that begins. None while another
  // retirement's outcome decides whether this one may begin.
  std::optional<RetirementReply> review(const Retirement& asked, const Roster& roster);
  Duration refused_pause(Owned& owned);
  void step_down(std::uint32_t slot, Duration pause);
  void fail_takeover(std::uint32_t slot, const std::string& reason, Duration pause);
  void publish();
  void write(Write write, ReplyCallback<WriteReply> answer);
  void run(std::uint32_t slot, const std::string& key);
  void commit(std::uint32_t slot, const Change& change, const Roster& also, std::function<void(bool)> done);
  void confirm(std::uint32_t slot, std::function<void(bool)> then);
  void confirm_round(std::uint32_t slot);
  void spread(const std::vector<const Record*>& records);
  void forget_removed_lots();
  void repair();
  void repair_slot(const Voter& peer, std::uint32_t slot);
  bool wanted_for_repair(std::uint32_t slot, const Record& theirs) const;
  void keep_repaired(std::uint32_t slot, std::vector<Record> records);
  void roster_duty();
  void lot_roster_duty();
  void stop_watching(const std::string& key);
  enum class SeatState {
    there,
    retired,
    missing,
    lost,
    wiped
  };                // in the order in which seats are given up, the last one first
  struct Watched {  // what a roster's duty has seen of its holders, by identity
    std::map<StorageNodeId, TimePoint> missing_since, first_seen;
    std::optional<TimePoint> short_since;  // since when it lacks seats that live holders could take
    TimePoint changed;                     // when this holder last changed the roster
  };
  SeatState seat_state(const Voter& seat, Watched& watched, TimePoint newest) const;
  bool retired(const Address& address) const;
  std::vector<const Member*> spares(const Members& members, const Roster& current, const std::string& keeps,
                                    Watched& watched, TimePoint* newest) const;
  std::optional<Roster> next_roster(const std::string& key, const Roster& current, const std::string& keeps);
  // Whether dead seats or too few of them are left, and for how long they have been; tells when they no longer are.
  void watch_seats(const std::string& key, const Roster& current, bool lacking);
  // Whether every seat has been seen to hold all of every slot under the roster in force.
  bool copied_whole(const std::string& key, const Roster& current) const;
  void watch_joining(const std::string& key, const Roster& current);
  struct Copied {  // the slots seen whole on every seat under a version of a roster
    Version roster;
    std::set<std::uint32_t> slots;
  };
  static void note_whole_slots(Copied& copied, const std::vector<SyncStatusReply>& replies);
  // Asks all seats what they hold, and notes the slots that are whole on each of them.
  void look_at_copies(const std::string& key, const Roster& current, std::function<void()> then);
  void change_when_settled(const std::string& key, const Roster& current, Roster next);
  void change_roster(const std::string& key, Roster next);
  template <class Message, class Then>
  void ask_seat(const Voter& seat, Message message, Duration timeout, Then then) {
    message.target = seat.holder;
    message.owner = identity_;
    messenger_.request(seat.address, message, timeout, then);
  }

  Messenger& messenger_;
  SharedState& shared_state_;
  RandomSource& random_;
  Member self_;
  std::vector<Address> seeds_;
  Report report_;
  StorageNodeId identity_;
  Roster roster_;
  std::vector<Held> held_{slot_count};
  std::vector<Owned> owned_{slot_count};
  TimePoint started_;
  RecordLog log_;
  ReadFile file_;         // as it was found, without its entries
  bool durable_ = false;  // whether the identity is known to be on the disk
  std::uint64_t commits_ = 0, ticks_ = 0;
  StoreCounts counts_;
  std::map<StorageNodeId, SeatTransfers> transfers_;
  TimePoint adopted_;  // when the roster in force became known here
  std::optional<bool> first_start_;
  bool founding_ = false;
  std::map<StorageNodeId, Voter> candidates_;  // for the first roster, as the seeds told, and since when they are these
  TimePoint candidates_since_;
  std::set<std::string> unsettled_;         // the keys of rosters that wait for their slots before they can change
  std::set<std::string> changing_;          // the keys of rosters whose change is under way
  std::map<std::string, Watched> watched_;  // by the roster's key
  std::map<std::string, Copied> copied_;
  std::map<Address, TimePoint> approved_;  // retirements that were allowed to begin and may not be in the news yet
  std::size_t newcomers_ = 0;              // holders of lots seen before their first roster, and since when so many
  TimePoint newcomers_since_;
};

}  // namespace mothwalk
