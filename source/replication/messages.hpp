// The records of the replicated store and the messages that read, write and replicate them. Control state and lots are
// stored as records under string keys; every key belongs to one slot, and every slot has one owner at a time.
#pragma once
#include "sessions/messenger.hpp"
#include "sessions/shared_state.hpp"

namespace mothwalk {

// The value of a key: a head, which each write replaces, and entries, to which writes append. The token is that of the
// last write.
struct Record {
  std::string key;
  Stamp stamp;
  bool removed = false;
  Bytes head;
  std::vector<Bytes> entries;
  std::string token;
  // The stamp of the last write. A takeover raises only `stamp` to the new epoch, so two records of one key with the
  // same `written` have the same content.
  Stamp written{};
  MOTHWALK_FIELDS(key, stamp, removed, head, entries, token, written)
};

// A replicated change to one record. A partial change applies only to the record whose stamp is `before`; a full change
// carries the complete record and replaces any older one.
struct Change {
  std::string key;
  Stamp before, stamp;
  bool full = false, removed = false;
  std::optional<Bytes> head;
  std::vector<Bytes> appends;
  std::string token;
  Stamp written{};  // The stamp of the last write, if this change only copies an existing record; otherwise unset.
  MOTHWALK_FIELDS(key, before, stamp, full, removed, head, appends, token, written)
};

struct WriteReply {
  Stamp stamp;
  std::uint64_t entries = 0;
  MOTHWALK_FIELDS(stamp, entries)
};
// Asks the owner of a key to change its record.
struct Write {
  static constexpr StringView kind = "store.write";
  using Reply = WriteReply;
  std::string key;
  std::optional<Bytes> head;
  std::vector<Bytes> appends;
  bool removed = false;
  std::optional<std::uint64_t> expected;  // The version that the record must have; zero means that it must not exist.
  std::optional<std::uint64_t> fence;     // The epoch under which the receiver must own the slot.
  std::string token;              // Makes the write idempotent: a retry with the same token returns the earlier result.
  bool replaces_entries = false;  // The appends replace the existing entries.
  // The number of bytes by which the stored state is still going to grow, this write included. A new key is refused
  // unless the disk has room for them.
  std::uint64_t growth = 0;
  MOTHWALK_FIELDS(key, head, appends, removed, expected, fence, token, replaces_entries, growth)
};
struct ReadReply {
  bool found = false;
  Record record;
  std::uint64_t entries = 0;  // The number of entries in the record, even if the reply leaves them out.
  MOTHWALK_FIELDS(found, record, entries)
};
struct Read {
  static constexpr StringView kind = "store.read";
  using Reply = ReadReply;
  std::string key;
  bool head_only = false;  // The reply leaves out the record's entries.
  MOTHWALK_FIELDS(key, head_only)
};
struct RecordsReply {
  std::vector<Record> records;
  MOTHWALK_FIELDS(records)
};
// A key and the stamp of its last write.
struct WrittenKey {
  std::string key;
  Stamp written;
  MOTHWALK_FIELDS(key, written)
};
struct ListSlotReply {
  std::vector<Record> records;
  std::vector<std::string> unchanged;  // The keys of records that the requester already has in this form.
  MOTHWALK_FIELDS(records, unchanged)
};
// Lists the records of an owned slot whose keys have a prefix, except those that the requester already has. Accepted
// only from a component of the same daemon.
struct ListSlot {
  static constexpr StringView kind = "store.list";
  using Reply = ListSlotReply;
  std::uint32_t slot = 0;
  Epoch epoch;
  std::string prefix;
  std::vector<WrittenKey> known{};
  MOTHWALK_FIELDS(slot, epoch, prefix, known)
};
struct ConfirmReply {
  bool good = true;
  MOTHWALK_FIELDS(good)
};
// Asks a daemon whether it still owns the slot under the epoch. It replies after a majority of the voters has confirmed
// this.
struct ConfirmSlot {
  static constexpr StringView kind = "store.confirmslot";
  using Reply = ConfirmReply;
  std::uint32_t slot = 0;
  Epoch epoch;
  MOTHWALK_FIELDS(slot, epoch)
};

// The messages below go between storage nodes. Those sent by a slot's owner name the identity of the node that they are
// meant for, so that a node whose data folder was wiped never replies in place of the former node at its address.

// The key of a record, its stamp and the stamp of its last write: identifies content without sending it.
struct RecordStamp {
  std::string key;
  Stamp stamp, written;
  MOTHWALK_FIELDS(key, stamp, written)
};
// The size in bytes up to which records are gathered into one message. A larger record is sent alone.
inline constexpr std::size_t max_message_bytes = 1u << 20;
// The number of bytes of records that a reply to a promise request carries. The new owner fetches further records from
// one of the replicas that have them.
inline constexpr std::size_t max_promise_bytes = 64u << 10;

struct PromiseReply {
  bool granted = false;
  // The highest epoch that the replica has promised, and that of the last takeover whose content it has installed.
  Epoch epoch, installed;
  Roster roster;
  std::vector<Record> records;      // Records that are newer than those of the new owner.
  std::vector<RecordStamp> more{};  // Newer ones whose content the new owner has already, or that did not fit in.
  MOTHWALK_FIELDS(granted, epoch, installed, roster, records, more)
};
// Asks a replica to promise a slot to a new owner under a higher epoch, as in the first phase of Paxos: after that the
// replica refuses messages of lower epochs. `have` lists the records of the new owner.
struct Promise {
  static constexpr StringView kind = "store.promise";
  using Reply = PromiseReply;
  StorageNodeId target, owner;
  std::uint32_t slot = 0;
  Epoch epoch;
  Roster roster;
  std::vector<RecordStamp> have{};
  MOTHWALK_FIELDS(target, owner, slot, epoch, roster, have)
};
// A replica's reply to a request of a slot's owner.
struct StoreReply {
  // "stored": the request is executed and durable. "behind": the replica lacks records or earlier changes. "refused":
  // it has promised a higher epoch, or its disk is full. "roster": its roster version differs from the owner's.
  std::string outcome;
  Epoch epoch;
  Roster roster;
  std::vector<std::string> missing{};  // The keys of records that the replica lacks for an installation.
  MOTHWALK_FIELDS(outcome, epoch, roster, missing)
};
// Replicates one change of the slot's owner to a replica.
struct Store {
  static constexpr StringView kind = "store.store";
  using Reply = StoreReply;
  StorageNodeId target, owner;
  std::uint32_t slot = 0;
  Epoch epoch;
  Version roster;
  Change change;
  MOTHWALK_FIELDS(target, owner, slot, epoch, roster, change)
};
// Sends a replica records that it lacks for the installation of the owner's epoch.
struct CopyRecords {
  static constexpr StringView kind = "store.copies";
  using Reply = StoreReply;
  StorageNodeId target, owner;
  std::uint32_t slot = 0;
  Epoch epoch;
  Version roster;
  std::vector<Record> records;
  MOTHWALK_FIELDS(target, owner, slot, epoch, roster, records)
};
// Installs the complete content of a slot under a new owner's epoch; `content` lists the records by key and stamp of
// the last write. The replica raises the listed records to the epoch and drops all others of lower epochs.
struct Install {
  static constexpr StringView kind = "store.install";
  using Reply = StoreReply;
  StorageNodeId target, owner;
  std::uint32_t slot = 0;
  Epoch epoch;
  Version roster;
  std::vector<RecordStamp> content;
  MOTHWALK_FIELDS(target, owner, slot, epoch, roster, content)
};
// Asks a replica whether the sender is still the latest owner that it promised the slot to.
struct Confirm {
  static constexpr StringView kind = "store.confirm";
  using Reply = StoreReply;
  StorageNodeId target, owner;
  std::uint32_t slot = 0;
  Epoch epoch;
  Version roster;
  MOTHWALK_FIELDS(target, owner, slot, epoch, roster)
};
// Announces a newer roster to a voter.
struct RosterUpdate {
  static constexpr StringView kind = "store.roster";
  Roster roster;
  std::string keeps;  // The group of storage nodes that the roster belongs to, as in Member::keeps.
  MOTHWALK_FIELDS(roster, keeps)
};
struct IdentifyReply {
  StorageNodeId holder;
  Address address;
  ZoneId zone;
  Roster roster;
  MOTHWALK_FIELDS(holder, address, zone, roster)
};
// Asks for the identity of the storage node at an address and the roster that it knows.
struct IdentifyRequest {
  static constexpr StringView kind = "store.who";
  using Reply = IdentifyReply;
  bool ask = true;
  MOTHWALK_FIELDS(ask)
};
// Gives the first roster of a new fleet to one of its voters.
struct FoundRoster {
  static constexpr StringView kind = "store.found";
  using Reply = IdentifyReply;
  Roster roster;
  MOTHWALK_FIELDS(roster)
};
struct SyncStatusReply {
  std::vector<std::uint32_t> slots;    // The slots that the storage node owns under the roster.
  std::vector<Epoch> epochs;           // The epoch of each slot in `slots`.
  std::vector<Epoch> installed;        // For every slot, the epoch of the last complete installation.
  std::vector<std::uint64_t> digests;  // For every slot, the digest of its records.
  MOTHWALK_FIELDS(slots, epochs, installed, digests)
};
// Asks a voter which slots it owns under a roster version and how far its replicas of all slots are in sync.
struct SyncStatus {
  static constexpr StringView kind = "store.settled";
  using Reply = SyncStatusReply;
  Version roster;
  MOTHWALK_FIELDS(roster)
};
struct RetirementReply {
  // `known`: the node is known. `retired`: it is marked as retired in the configuration. `seated`: it is still a voter
  // of the roster. `complete`: the roster no longer contains the node, and each remaining voter has been seen with all
  // records of every slot under that roster, so that one more disk may be lost.
  bool known = false, retired = false, seated = false, complete = false;
  Address holder;              // The node's address, even if the request gave only its name; empty if unknown.
  bool enough_remain = false;  // Enough storage nodes remain without it.
  MOTHWALK_FIELDS(known, retired, seated, complete, holder, enough_remain)
};
// Asks the owner of a roster's key how far the retirement of a storage node is.
struct Retirement {
  static constexpr StringView kind = "store.retirement";
  using Reply = RetirementReply;
  std::string roster;  // The roster's key: "roster" or "roster/lots".
  Address holder;      // Empty if only the node's name is known.
  std::string name{};
  bool begins = false;  // The sender is going to mark the node as retired if the reply allows it.
  MOTHWALK_FIELDS(roster, holder, name, begins)
};
struct DigestsReply {
  std::vector<std::uint64_t> digests;
  MOTHWALK_FIELDS(digests)
};
// Anti-entropy repair: asks a replica for the digests of all its slots.
struct Digests {
  static constexpr StringView kind = "store.digests";
  using Reply = DigestsReply;
  bool ask = true;
  MOTHWALK_FIELDS(ask)
};
struct ListStampsReply {
  std::vector<Record> stamps;  // Records without their content: only keys, stamps and removal marks.
  MOTHWALK_FIELDS(stamps)
};
// Anti-entropy repair: asks a replica for the keys and stamps of all records of a slot.
struct ListStamps {
  static constexpr StringView kind = "store.range";
  using Reply = ListStampsReply;
  std::uint32_t slot = 0;
  MOTHWALK_FIELDS(slot)
};
// Asks a replica for the records of some keys of a slot.
struct FetchRecords {
  static constexpr StringView kind = "store.fetch";
  using Reply = RecordsReply;
  std::uint32_t slot = 0;
  std::vector<std::string> keys;
  MOTHWALK_FIELDS(slot, keys)
};

}  // namespace mothwalk
