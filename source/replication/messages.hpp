// The messages and records of the kept state.
#pragma once
#include "sessions/messenger.hpp"
#include "sessions/shared_state.hpp"

namespace mothwalk {

// A key's record: replaced as a whole (head) or appended to (entries). The token is that of the last write.
struct Record {
  std::string key;
  Stamp stamp;
  bool removed = false;
  Bytes head;
  std::vector<Bytes> entries;
  std::string token;
  Stamp written{};  // at its last change; a hand-over raises the stamp alone, so equal ones of a key tell equal content
  MOTHWALK_FIELDS(key, stamp, removed, head, entries, token, written)
};

// One change to a record. It applies to the record at `before`; a full change carries all and applies to anything
// older.
struct Change {
  std::string key;
  Stamp before, stamp;
  bool full = false, removed = false;
  std::optional<Bytes> head;
  std::vector<Bytes> appends;
  std::string token;
  Stamp written{};  // where it is not this change that wrote it
  MOTHWALK_FIELDS(key, before, stamp, full, removed, head, appends, token, written)
};

struct WriteReply {
  Stamp stamp;
  std::uint64_t entries = 0;
  MOTHWALK_FIELDS(stamp, entries)
};
struct Write {
  static constexpr StringView kind = "store.write";
  using Reply = WriteReply;
  std::string key;
  std::optional<Bytes> head;
  std::vector<Bytes> appends;
  bool removed = false;
  std::optional<std::uint64_t> expected;  // the version that the record must be at; zero for absent
  std::optional<std::uint64_t> fence;     // the epoch that the slot must be owned under
  std::string token;                      // the same token again settles an unknown outcome
  bool replaces_entries = false;          // the appends stand in place of the entries before them
  std::uint64_t growth = 0;               // bytes that are still to come to what is kept, this key's among them
  MOTHWALK_FIELDS(key, head, appends, removed, expected, fence, token, replaces_entries, growth)
};
struct ReadReply {
  bool found = false;
  Record record;
  std::uint64_t entries = 0;  // of the record, also where they are not sent along
  MOTHWALK_FIELDS(found, record, entries)
};
struct Read {
  static constexpr StringView kind = "store.read";
  using Reply = ReadReply;
  std::string key;
  bool head_only = false;  // without the record's entries
  MOTHWALK_FIELDS(key, head_only)
};
struct RecordsReply {
  std::vector<Record> records;
  MOTHWALK_FIELDS(records)
};
// A key and when its record was last written.
struct WrittenKey {
  std::string key;
  Stamp written;
  MOTHWALK_FIELDS(key, written)
};
struct ListSlotReply {
  std::vector<Record> records;
  std::vector<std::string> unchanged;  // keys of records that the asker has as they are
  MOTHWALK_FIELDS(records, unchanged)
};
// Local: all records of an owned slot under a prefix, but for those that the asker has.
struct ListSlot {
  static constexpr StringView kind = "store.list";
  using Reply = ListSlotReply;
  std::uint32_t slot = 0;
  Epoch epoch;
  std::string prefix;
  std::vector<WrittenKey> known{};
  MOTHWALK_FIELDS(slot, epoch, prefix, known)
};
// Asks the owner whether it still is the owner under the epoch; answered after a majority has said so.
struct ConfirmReply {
  bool good = true;
  MOTHWALK_FIELDS(good)
};
struct ConfirmSlot {
  static constexpr StringView kind = "store.confirmslot";
  using Reply = ConfirmReply;
  std::uint32_t slot = 0;
  Epoch epoch;
  MOTHWALK_FIELDS(slot, epoch)
};

// Between holders. Each names the identity it is meant for, so that a wiped folder never answers for its forerunner.
struct RecordStamp {
  std::string key;
  Stamp stamp, written;
  MOTHWALK_FIELDS(key, stamp, written)
};
// Records go in messages of about this size; one larger record goes alone.
inline constexpr std::size_t longest_message = 1u << 20;
// Records that go along with a promise: more are fetched, from one of the replicas that have them.
inline constexpr std::size_t longest_promise = 64u << 10;

// A promise comes with the records that are newer than what the taker has. Those of which it has the content already,
// or that did not fit, are only named.
struct PromiseReply {
  bool granted = false;
  Epoch epoch, installed;
  Roster roster;
  std::vector<Record> records;
  std::vector<RecordStamp> more{};
  MOTHWALK_FIELDS(granted, epoch, installed, roster, records, more)
};
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
struct StoreReply {
  std::string outcome;  // stored, behind, refused, roster
  Epoch epoch;
  Roster roster;
  std::vector<std::string> missing{};  // what an installation lacks
  MOTHWALK_FIELDS(outcome, epoch, roster, missing)
};
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
// Records of a hand-over that a seat lacks, under its epoch.
struct Copies {
  static constexpr StringView kind = "store.copies";
  using Reply = StoreReply;
  StorageNodeId target, owner;
  std::uint32_t slot = 0;
  Epoch epoch;
  Version roster;
  std::vector<Record> records;
  MOTHWALK_FIELDS(target, owner, slot, epoch, roster, records)
};
// The whole content of a slot at its hand-over, by key and by when it was written. All of it goes over to the epoch,
// and what is not named is dropped.
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
struct Confirm {
  static constexpr StringView kind = "store.confirm";
  using Reply = StoreReply;
  StorageNodeId target, owner;
  std::uint32_t slot = 0;
  Epoch epoch;
  Version roster;
  MOTHWALK_FIELDS(target, owner, slot, epoch, roster)
};
struct RosterUpdate {
  static constexpr StringView kind = "store.roster";
  Roster roster;
  std::string keeps;  // whose roster it is, as in Member
  MOTHWALK_FIELDS(roster, keeps)
};
struct IdentifyReply {
  StorageNodeId holder;
  Address address;
  ZoneId zone;
  Roster roster;
  MOTHWALK_FIELDS(holder, address, zone, roster)
};
struct IdentifyRequest {
  static constexpr StringView kind = "store.who";
  using Reply = IdentifyReply;
  bool ask = true;
  MOTHWALK_FIELDS(ask)
};
struct FoundRoster {
  static constexpr StringView kind = "store.found";
  using Reply = IdentifyReply;
  Roster roster;
  MOTHWALK_FIELDS(roster)
};
// The slots that a holder owns under the roster, and for every slot what its copy is: the last whole hand-over and
// digest.
struct SyncStatusReply {
  std::vector<std::uint32_t> slots;
  std::vector<Epoch> epochs;  // of those
  std::vector<Epoch> installed;
  std::vector<std::uint64_t> digests;
  MOTHWALK_FIELDS(slots, epochs, installed, digests)
};
struct SyncStatus {
  static constexpr StringView kind = "store.settled";
  using Reply = SyncStatusReply;
  Version roster;
  MOTHWALK_FIELDS(roster)
};
// How far the retirement of a holder is; asked of the owner of its roster's key. Complete: the roster in force is
// without it, and every remaining seat has held all of every slot under that roster, so that another disk may go as
// well.
struct RetirementReply {
  bool known = false, retired = false, seated = false, complete = false;
  Address holder;              // where it stands, also where only its name was given; empty for unknown
  bool enough_remain = false;  // without it
  MOTHWALK_FIELDS(known, retired, seated, complete, holder, enough_remain)
};
struct Retirement {
  static constexpr StringView kind = "store.retirement";
  using Reply = RetirementReply;
  std::string roster;  // the key: "roster" or "roster/lots"
  Address holder;      // empty where only its name is known
  std::string name{};
  bool begins = false;  // the holder is going to be marked as retired, if the answer allows it
  MOTHWALK_FIELDS(roster, holder, name, begins)
};
struct DigestsReply {
  std::vector<std::uint64_t> digests;
  MOTHWALK_FIELDS(digests)
};
struct Digests {
  static constexpr StringView kind = "store.digests";
  using Reply = DigestsReply;
  bool ask = true;
  MOTHWALK_FIELDS(ask)
};
struct RangeReply {
  std::vector<Record> stamps;  // keys and stamps alone
  MOTHWALK_FIELDS(stamps)
};
struct Range {
  static constexpr StringView kind = "store.range";
  using Reply = RangeReply;
  std::uint32_t slot = 0;
  MOTHWALK_FIELDS(slot)
};
struct FetchRecords {
  static constexpr StringView kind = "store.fetch";
  using Reply = RecordsReply;
  std::uint32_t slot = 0;
  std::vector<std::string> keys;
  MOTHWALK_FIELDS(slot, keys)
};

}  // namespace mothwalk
