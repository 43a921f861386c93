// The kept state of a holder: of control state, of lots, or of both; each of these groups has a roster of its own. Keys
// hash into slots; a slot has one owner at a time, the first live seat in the slot's order, which takes it over under a
// higher epoch promised by a majority, writes the newest records back, and then has each change on a majority of disks
// before it answers. There is no common log and no leader for all.
#pragma once
#include <deque>

#include "replication/founding.hpp"
#include "replication/messages.hpp"
#include "replication/record_file.hpp"

namespace mothwalk {

class ReplicatedStore {
 public:
  struct Report {
    std::function<void(View)> note = [](View) {
    };
    std::function<void()> fatal = [] {
    };  // a sync failed: this holder must end
  };
  // first_start: whether this is the first life of the whole fleet, as the host was told; absent where the host is told
  // nothing, and then the three seeds are holders that found among themselves.
  ReplicatedStore(Messenger& messenger, SharedState& shared_state, Disk& disk, RandomSource& random, Member self,
                  std::vector<Address> seeds, Report report, std::optional<bool> first_start = std::nullopt);
  // Reads the file; false with a fault where the data can't be used.
  Result<Done> load();
  HolderId identity() const { return identity_; }
  void start();
  std::uint64_t syncs() const { return syncs_; }
  std::uint64_t commits() const { return commits_; }
  std::size_t removed_lots() const;

 private:
  using Records = std::map<std::string, Record>;
  struct Held {  // what this holder keeps of a slot, as any copy does
    Records records;
    Epoch promised, installed;
    HolderId promised_to;
    std::uint64_t digest = 0;
    std::size_t removed_lots = 0;
  };
  struct Pending {
    Write write;
    Answer<WriteReply> answer;
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
    Moment not_before;
    std::map<std::string, Queue> queues;
    std::set<HolderId> whole;  // the seats that hold the hand-over
    bool confirming = false;
    std::vector<std::function<void(bool)>> confirm_now, confirm_next;
  };

  void persist(DiskEntry entry, std::function<void()> then);
  void append(Bytes bytes, std::function<void()> then);
  void rewrite_when_long();
  Bytes snapshot() const;
  void put_record(Held& held, Record record);
  void erase_record(Held& held, const std::string& key);
  void put_copies(Held& held, std::vector<Record> records);
  // Takes the content over to the epoch, or names what is missing and changes nothing.
  std::vector<std::string> install(Held& held, Epoch epoch, const std::vector<RecordStamp>& content);
  void apply(Held& held, const Change& change);
  void adopt(const Roster& roster);
  void tell_seats();

  void tick();
  bool lots_only() const { return self_.keeps == "lots"; }
  bool keeps_key(View key) const { return self_.keeps.empty() || lot_key(key) == lots_only(); }
  void found();
  void gather();
  void propose(Roster roster, std::size_t seed);
  void take(std::uint32_t slot);
  struct Taking {  // what the promises of a majority brought
    Epoch installed;
    Records newer;                                                // than what this holder has
    std::map<std::string, std::pair<RecordStamp, Seat>> lacking;  // newer still, and who has it
    std::map<std::string, Stamp> raised;                          // of what this holder has the content of
    std::vector<RecordStamp> content;
    std::size_t stored = 0, left = 0;
  };
  using TakingPointer = std::shared_ptr<Taking>;
  void taken(std::uint32_t slot, Epoch epoch, TakingPointer taking);
  void hand_over(std::uint32_t slot, Epoch epoch, TakingPointer taking);
  void install_at_returned();
  void install_at(const Seat& seat, std::uint32_t slot, Epoch epoch, Version roster, TakingPointer taking, int times);
  void retirement(const Retirement& asked, Answer<RetirementReply> answer);
  void step_down(std::uint32_t slot, Span pause);
  void publish();
  void write(Write write, Answer<WriteReply> answer);
  void run(std::uint32_t slot, const std::string& key);
  void commit(std::uint32_t slot, const Change& change, const Roster& also, std::function<void(bool)> done);
  void confirm(std::uint32_t slot, std::function<void(bool)> then);
  void confirm_round(std::uint32_t slot);
  void spread(const std::vector<const Record*>& records);
  void forget_removed_lots();
  void repair();
  void roster_duty();
  void lot_roster_duty();
  std::optional<Roster> next_roster(const std::string& key, const Roster& current, const std::string& keeps);
  void change_when_settled(const std::string& key, const Roster& current, Roster next);
  void change_roster(const std::string& key, Roster next);
  template <class Message, class Then>
  void ask_seat(const Seat& seat, Message message, Span timeout, Then then);

  Messenger& messenger_;
  SharedState& shared_state_;
  Disk& disk_;
  RandomSource& random_;
  Member self_;
  std::vector<Address> seeds_;
  Report report_;
  HolderId identity_;
  Roster roster_;
  std::vector<Held> held_{slot_count};
  std::vector<Owned> owned_{slot_count};
  Moment started_;
  std::size_t file_bytes_ = 0, file_base_ = 0;
  std::deque<Moment> appending_;
  std::uint64_t syncs_ = 0, commits_ = 0, ticks_ = 0;
  std::optional<bool> first_start_;
  bool founding_ = false;
  std::map<HolderId, Seat> candidates_;  // for the first roster, as the seeds told, and since when they are these
  Moment candidates_since_;
  std::set<std::string> changing_;  // the keys of rosters whose change is under way
  struct Watched {                  // what a roster's duty has seen of its holders, by identity
    std::map<HolderId, Moment> missing_since, first_seen;
  };
  std::map<std::string, Watched> watched_;
  struct Copied {  // the slots seen whole on every seat under a version of a roster
    Version roster;
    std::set<std::uint32_t> slots;
  };
  std::map<std::string, Copied> copied_;
  std::size_t newcomers_ = 0;  // holders of lots seen before their first roster, and since when so many
  Moment newcomers_since_;
};

// Asks the owner of a key's slot, wherever it is, again and again until the timeout.
class StoreClient {
 public:
  StoreClient(Messenger& messenger, SharedState& shared_state) : messenger_(messenger), shared_state_(shared_state) {}
  void write(Write write, Span timeout, Answer<WriteReply> answer);
  void read(const std::string& key, Span timeout, Answer<ReadReply> answer);
  template <class Message>
  void ask_owner(const std::string& key, Message message, Moment until, bool sent,
                 Answer<typename Message::Reply> answer) {
    using Reply = typename Message::Reply;
    const Moment now = messenger_.timers().now();
    if (now >= until) {
      if (sent)
        return answer(Fault{FaultKind::unknown, key,
                            "no majority of holders answered in time; the outcome is not known",
                            "send the same request again to settle it"});
      return answer(Fault{FaultKind::refused, key, "no holder owns this key just now; nothing was done",
                          "try again in a second"});
    }
    const auto configuration = shared_state_.configuration.get();
    const Seat* seat = key_owner(*configuration, *shared_state_.members.get(), key);
    auto again = [this, key, message, until, answer](bool was_sent) {
      messenger_.timers().after(std::chrono::milliseconds(100), [this, key, message, until, was_sent, answer] {
        ask_owner<Message>(key, message, until, was_sent, answer);
      });
    };
    if (seat == nullptr) return again(sent);
    const Span timeout = std::min<Span>(until - now, std::chrono::milliseconds(2000));
    auto over = std::make_shared<bool>(false);
    watch_owner(key, seat->address, over, again);
    messenger_.ask(seat->address, message, timeout, [again, key, sent, answer, over](Result<Reply> result) {
      if (std::exchange(*over, true)) return;
      auto fault = fault_of(result);
      if (fault != nullptr && fault->kind == FaultKind::busy) return again(sent);
      if (fault != nullptr && (fault->kind == FaultKind::lost || fault->kind == FaultKind::unknown)) return again(true);
      // A second sending that comes too late for its version may be the first one's own success.
      // Likewise a later refusal says nothing of an earlier sending.
      if (fault != nullptr && (fault->kind == FaultKind::stale || fault->kind == FaultKind::refused) && sent)
        return answer(Fault{FaultKind::unknown, key, "an earlier sending may have taken effect and been changed since",
                            "read the resource again"});
      answer(std::move(result));
    });
  }

 private:
  // An owner that is gone answers nobody: as soon as another comes to own the key, that one is asked.
  void watch_owner(const std::string& key, const Address& asked, std::shared_ptr<bool> over,
                   std::function<void(bool)> again) {
    messenger_.timers().after(std::chrono::milliseconds(100), [this, key, asked, over, again] {
      if (*over) return;
      const auto configuration = shared_state_.configuration.get();
      const Seat* seat = key_owner(*configuration, *shared_state_.members.get(), key);
      if (seat == nullptr || seat->address == asked) return watch_owner(key, asked, over, again);
      *over = true;
      again(true);
    });
  }

  Messenger& messenger_;
  SharedState& shared_state_;
};

}  // namespace mothwalk
