// The replicated store of a storage node. It holds control state, lots, or both; the storage nodes of each of these
// groups have their own roster of voters. Keys hash into slots, and each slot has one owner at a time: the first
// available voter in the slot's order. A new owner takes a slot over under a higher epoch that a majority of voters has
// promised to it, as in Paxos, and installs the newest records on a majority. After that it replies to each write once
// a majority of the voters has the change on disk. There is neither a log nor a leader common to all slots.
#pragma once
#include <deque>

#include "replication/founding.hpp"
#include "replication/messages.hpp"
#include "replication/record_log.hpp"
#include "replication/store_counts.hpp"

namespace mothwalk {

class ReplicatedStore {
 public:
  // Callback for log messages.
  struct Report {
    std::function<void(StringView)> log = [](StringView) {
    };
  };
  // first_start: whether the whole fleet starts for the first time, as the platform has told this host. Absent if the
  // platform says nothing about it; then the seeds must be storage nodes, which agree on the first roster among
  // themselves. disk_limit: the room on the disk in bytes; zero if unknown.
  ReplicatedStore(Messenger& messenger, SharedState& shared_state, Disk& disk, RandomSource& random, Member self,
                  std::vector<Address> seeds, Report report, std::optional<bool> first_start = std::nullopt,
                  std::size_t disk_limit = 0);
  // Reads the record file. Returns an error if its data can't be used.
  Result<Success> load();
  StorageNodeId identity() const { return identity_; }
  void start();
  std::uint64_t syncs() const { return log_.appends(); }
  const RecordLog& log() const { return log_; }
  std::uint64_t commits() const { return commits_; }
  const StoreCounts& counts() const { return counts_; }
  // The number of removal records (tombstones) of lots.
  std::size_t removed_lots() const;
  // The state of one slot, for tests that compare replicas.
  struct SlotView {
    // The epoch of the last complete installation, and the epoch under which this storage node owns the slot; the
    // latter is zero if it does not own the slot.
    Epoch installed, owned;
    std::uint64_t digest = 0;
  };
  SlotView slot_view(std::uint32_t slot) const;
  const Roster& roster() const { return roster_; }

 private:
  using Records = std::map<std::string, Record>;
  // This storage node's replica of a slot.
  struct SlotReplica {
    Records records;
    // The highest epoch that this replica has promised, and that of the last complete installation.
    Epoch promised, installed;
    StorageNodeId promised_to;
    std::uint64_t digest = 0;
    // The number of tombstones of lots, and the approximate size of all records.
    std::size_t removed_lots = 0, bytes = 0;
  };
  // A write that waits for its turn.
  struct PendingWrite {
    Write write;
    ReplyCallback<WriteReply> respond;
  };
  // The writes and reads of one key at its owner.
  struct Queue {
    bool busy = false;  // A change is being replicated.
    std::deque<PendingWrite> pending;
    std::vector<Task> waiting_reads;  // Reads that wait until that change is committed.
  };
  // The state of this storage node as the owner, or future owner, of a slot.
  struct SlotOwnership {
    enum class State { none, taking_over, owned } state = State::none;
    Epoch epoch;
    Version roster;
    TimePoint not_before;  // The earliest time of the next takeover attempt.
    std::map<std::string, Queue> queues;
    std::set<StorageNodeId> installed_voters;  // Voters that have installed this epoch.
    std::uint32_t refusals = 0;  // Consecutive takeover attempts refused because of a higher promised epoch.
    bool confirming = false;     // A confirmation round is in progress.
    // Callbacks of the current round and of the next one.
    std::vector<std::function<void(bool)>> confirm_callbacks, next_confirm_callbacks;
  };

  // Handlers of messages from other storage nodes and daemons. Each calls `respond` once.
  void on_identify(ReplyCallback<IdentifyReply> respond);
  void on_found_roster(FoundRoster found, ReplyCallback<IdentifyReply> respond);
  void on_promise(Promise promise, ReplyCallback<PromiseReply> respond);
  void on_store(Store store, ReplyCallback<StoreReply> respond);
  void on_install(Install install, ReplyCallback<StoreReply> respond);
  void on_copies(CopyRecords copies, ReplyCallback<StoreReply> respond);
  void on_confirm(Confirm confirm, ReplyCallback<StoreReply> respond);
  void on_roster_update(RosterUpdate update);
  void on_sync_status(SyncStatus sync_status, ReplyCallback<SyncStatusReply> respond);
  void on_digests(ReplyCallback<DigestsReply> respond);
  void on_range(ListStamps range, ReplyCallback<ListStampsReply> respond);
  void on_fetch_records(FetchRecords fetch, ReplyCallback<RecordsReply> respond);
  void on_read(Read read, ReplyCallback<ReadReply> respond);
  void on_list_slot(const Address& from, ListSlot list, ReplyCallback<ListSlotReply> respond);
  void on_confirm_slot(ConfirmSlot request, ReplyCallback<ConfirmReply> respond);
  // Whether a message of a slot's owner is valid under this replica's promise and roster. If not, replies with the
  // reason.
  bool accepts(const StorageNodeId& target, const StorageNodeId& owner, std::uint32_t slot, Epoch epoch, Version roster,
               const ReplyCallback<StoreReply>& respond);
  // Promises the epoch to the owner named in a message, if it is higher than the promised one.
  void raise_promise(std::uint32_t slot, Epoch epoch, const StorageNodeId& owner);

  // Appends an entry to the record file; `then` is called once it is durable.
  void append_to_log(DiskEntry entry, std::function<void()> then);
  RecordLog::Contents log_contents();
  // The entries that reproduce a slot's replica.
  std::vector<DiskEntry> slot_entries(std::uint32_t slot) const;
  // Applies one entry of the record file at the start.
  Result<Success> replay(DiskEntry entry);
  void assign_new_identity();
  void check_disk();
  void put_record(SlotReplica& replica, Record record);
  void erase_record(SlotReplica& replica, const std::string& key);
  static bool is_newer(const SlotReplica& replica, const Record& record);
  StoreReply refuse_no_room(const SlotReplica& replica);
  void put_newer_records(SlotReplica& replica, std::vector<Record> records);
  // Raises the listed records to the epoch and drops the others of lower epochs. If records are missing, returns their
  // keys and changes nothing.
  std::vector<std::string> install(SlotReplica& replica, Epoch epoch, const std::vector<RecordStamp>& content);
  void apply(SlotReplica& replica, const Change& change);
  // Adopts a roster if its version is higher than the current one.
  void adopt_roster(const Roster& roster);
  // Tells the other components of this daemon the addresses of the control voters.
  void publish_voters();

  void tick();
  bool stores_only_lots() const { return self_.keeps == "lots"; }
  // Only a node that stores nothing but lots refuses changes for lack of disk space.
  bool has_room(std::size_t bytes) const { return !stores_only_lots() || log_.has_room_for_entry(bytes); }
  bool stores_key(StringView key) const { return self_.keeps.empty() || is_lot_key(key) == stores_only_lots(); }
  // Creation of the first roster of a new fleet; see roster_bootstrap.cpp.
  void bootstrap_from_seeds();
  void bootstrap_from_candidates();
  void propose_roster(Roster roster, std::size_t seed);
  void start_takeover(std::uint32_t slot);
  // A takeover in progress: what a majority's replies to the promise requests contained, and the state of the
  // installation.
  struct Takeover {
    Epoch installed;        // The highest epoch that any of the replicas has installed.
    Records newer_records;  // Records of other replicas that are newer than this node's.
    // Newer records that are still to be fetched, and the voter that has them.
    std::map<std::string, std::pair<RecordStamp, Voter>> to_fetch;
    std::map<std::string, Stamp> raised_stamps;  // Newer stamps of records whose content this node already has.
    std::vector<RecordStamp> content;            // All records of the slot under the new epoch.
    // Voters that have installed the content, and voters whose installation has not ended yet.
    std::size_t installed_count = 0, outstanding = 0;
    std::size_t awaiting_records = 0;  // Of the latter, those that records are being transferred to.
  };
  using TakeoverPointer = std::shared_ptr<Takeover>;
  // A state transfer: records of a slot that a voter lacks.
  struct Transfer {
    Voter voter;
    std::uint32_t slot = 0;
    Epoch epoch;
    Version roster;
    TakeoverPointer takeover;
    std::deque<std::string> missing;
    int attempts_left = 0;  // Installation attempts that may follow the transfer.
  };
  using TransferPointer = std::shared_ptr<Transfer>;
  // The transfers to one voter, of which one message at a time is sent.
  struct VoterTransfers {
    std::deque<TransferPointer> transfers;
    bool sending = false;
  };
  // State transfer; see record_transfer.cpp.
  void queue_transfer(TransferPointer transfer);
  // Whether a transfer of the slot to the voter is queued.
  bool transferring(const StorageNodeId& node, std::uint32_t slot) const;
  // Whether the transfer still belongs to the current epoch and roster.
  bool is_current(const Transfer& transfer) const;
  bool needed_for_majority(const Transfer& transfer) const;
  void send_copies(const StorageNodeId& node);
  CopyRecords next_copies(Transfer& transfer);
  const Record* record_to_copy(const Transfer& transfer, const std::string& key) const;
  void on_copies_reply(const TransferPointer& transfer, const StoreReply* reply);
  void resume_transfers();
  // Fetches the records that did not fit into the replies to the promise requests, then installs the slot's content.
  void fetch_missing_records(std::uint32_t slot, Epoch epoch, TakeoverPointer takeover);
  void install_content(std::uint32_t slot, Epoch epoch, TakeoverPointer takeover);
  void install_at_lagging_voters();
  void install_at_voter(const Voter& voter, std::uint32_t slot, Epoch epoch, Version roster, TakeoverPointer takeover,
                        int attempts_left);
  void on_retirement(const Retirement& request, ReplyCallback<RetirementReply> respond);
  Address retiring_node(const Retirement& request, const Roster& roster) const;
  std::set<Address> remaining_storage_nodes(const Roster& roster, const Address& without) const;
  // Assesses a retirement by the roster, the members and the configuration, without the state of the replicas, and
  // approves it if it is about to begin. Returns nothing while it depends on the outcome of another retirement whether
  // this one may begin.
  std::optional<RetirementReply> assess_retirement(const Retirement& request, const Roster& roster);
  // The time to wait before the next takeover attempt after a refused promise.
  Duration pause_after_refusal(SlotOwnership& ownership);
  // Gives up the ownership of a slot, or its takeover; no new attempt starts before the pause has passed.
  void step_down(std::uint32_t slot, Duration pause);
  void fail_takeover(std::uint32_t slot, const std::string& reason, Duration pause);
  void publish_ownership();
  void write(Write write, ReplyCallback<WriteReply> respond);
  // Starts to replicate the next change of a key, unless one is in progress.
  void process_queue(std::uint32_t slot, const std::string& key);
  // Replicates a change to all voters. `done` gets whether a majority has stored it, and a majority of `new_roster` as
  // well if the change is a roster change.
  void commit(std::uint32_t slot, const Change& change, const Roster& new_roster, std::function<void(bool)> done);
  // Has a majority confirm that this node still owns the slot. Calls that come during a round share the next one.
  void confirm(std::uint32_t slot, std::function<void(bool)> then);
  void confirm_round(std::uint32_t slot);
  // Hands the records of control state to the configuration gossip of this daemon.
  void push_to_gossip(const std::vector<const Record*>& records);
  void purge_removed_lots();
  // Anti-entropy repair; see repair.cpp.
  void repair();
  void repair_slot(const Voter& peer, std::uint32_t slot);
  bool needs_repair(std::uint32_t slot, const Record& peer_record) const;
  void store_repaired(std::uint32_t slot, std::vector<Record> records);
  // Adds and removes voters of this group's roster, or of that of the lots-only nodes, if this node owns the roster's
  // key.
  void maintain_roster();
  void maintain_lot_roster();
  void stop_maintaining(const std::string& key);
  // The state of a voter's storage node. Of several voters, the one with the highest value is removed first.
  enum class VoterState {
    available,
    retired,
    unreachable,  // Not a member, or its disk is stalled; it may recover.
    lost,         // Unreachable for so long that it is replaced.
    wiped         // Its machine is back under another identity.
  };
  // What the node that maintains a roster has observed of the roster's storage nodes, by identity.
  struct RosterObservations {
    std::map<StorageNodeId, TimePoint> unreachable_since, first_seen;
    std::optional<TimePoint> short_of_voters_since;  // Since when it has lost voters, or standbys could fill vacancies.
    TimePoint last_change;                           // When this node last changed the roster.
  };
  VoterState voter_state(const Voter& voter, RosterObservations& observations, TimePoint newest) const;
  bool retired(const Address& address) const;
  std::vector<const Member*> find_standbys(const Members& members, const Roster& current, const std::string& keeps,
                                           RosterObservations& observations, TimePoint* newest) const;
  // The next version of a roster, or nothing if it needs no change at present.
  std::optional<Roster> next_roster(const std::string& key, const Roster& current, const std::string& keeps);
  // Measures for how long a roster has had lost voters or too few voters, and logs when it is complete again.
  void update_voter_shortage(const std::string& key, const Roster& current, bool short_of_voters);
  // Whether each voter has been seen with all records of every slot under this version of the roster.
  bool fully_replicated(const std::string& key, const Roster& current) const;
  void check_joining_voters(const std::string& key, const Roster& current);
  // The slots that have been seen in sync on every voter under one version of a roster.
  struct ReplicatedSlots {
    Version roster;
    std::set<std::uint32_t> slots;
  };
  static void add_replicated_slots(ReplicatedSlots& replicated, const std::vector<SyncStatusReply>& replies);
  // Asks all voters for their sync status and adds the slots that are in sync on each of them to replicated_slots_.
  void check_replication(const std::string& key, const Roster& current, std::function<void()> then);
  // Changes the roster if every slot has an owner under the current version; otherwise a later tick tries again.
  void change_when_in_sync(const std::string& key, const Roster& current, Roster next);
  void change_roster(const std::string& key, Roster next);
  // Sends a request of a slot's owner to a voter.
  template <class Message, class Then>
  void request_voter(const Voter& voter, Message message, Duration timeout, Then then) {
    message.target = voter.holder;
    message.owner = identity_;
    messenger_.request(voter.address, message, timeout, then);
  }

  Messenger& messenger_;
  SharedState& shared_state_;
  RandomSource& random_;
  Member self_;
  std::vector<Address> seeds_;
  Report report_;
  StorageNodeId identity_;
  Roster roster_;
  std::vector<SlotReplica> slot_replicas_{slot_count};
  std::vector<SlotOwnership> slot_ownership_{slot_count};
  TimePoint started_;
  RecordLog log_;
  RecordFileContents loaded_file_;  // The state of the record file at the start; its entries have been moved out.
  bool durable_ = false;            // Whether the identity is known to be on disk.
  std::uint64_t commits_ = 0, ticks_ = 0;
  StoreCounts counts_;
  std::map<StorageNodeId, VoterTransfers> transfers_;
  TimePoint roster_adopted_at_;  // When this node adopted the current roster.
  std::optional<bool> first_start_;
  bool bootstrapping_ = false;
  std::map<StorageNodeId, Voter> candidates_;  // Candidates for the first roster, as the seeds report them.
  TimePoint candidates_since_;                 // Since when the set of candidates has been the same.
  // Keys of rosters whose change waits until every slot has an owner under the current version.
  std::set<std::string> awaiting_sync_;
  std::set<std::string> changing_;                          // Keys of rosters whose change is in progress.
  std::map<std::string, RosterObservations> observations_;  // By the roster's key.
  std::map<std::string, ReplicatedSlots> replicated_slots_;
  std::map<Address, TimePoint> approved_retirements_;  // Recent approvals, which may not be in the configuration yet.
  std::size_t lot_nodes_seen_ = 0;  // The number of storage nodes of lots, counted until they have a roster.
  TimePoint lot_nodes_seen_since_;  // Since when the number has been the same.
};

}  // namespace mothwalk
