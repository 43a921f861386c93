// The owner's side of kept lots. A lot is a kept key: its head is what was handed in, its entries are the starts,
// results and the cancellation. A start is on a majority of disks before the item leaves; results keep the positions
// in which they were appended; whatever a new owner takes over it rebuilds from the record.
#pragma once
#include "kept/kept.hpp"
#include "lots/messages.hpp"

namespace mothwalk {

class Lots {
 public:
  Lots(Post& post, Board& board);
  void start();

 private:
  enum class ItemState { pending, starting, started, finishing, finished };
  struct Item {
    ItemState state = ItemState::pending;
    std::uint32_t attempt = 0;
    Address placer;
    std::uint64_t incarnation = 0;
    Moment since;
    std::optional<Moment> placer_missing;
  };
  struct Lot {
    std::string id;
    Epoch epoch;
    LotHead head;
    Bytes head_bytes;
    std::vector<Item> items;
    std::vector<LotEntry> results;     // on a majority of disks
    bool cancelled = false, cancelling = false, removing = false;
    Moment begun;                      // such that now - begun is the time since submission
    Moment finished_at;
    std::uint32_t pending = 0;
    bool finished() const { return results.size() == items.size(); }
  };
  using SlotLots = std::map<std::string, Lot>;
  struct Slot {
    Epoch epoch;
    bool loading = false, ready = false;
    SlotLots lots;
  };

  void tick();
  void follow_ownership();
  void load(std::uint32_t slot, Epoch epoch);
  Lot rebuild(const Record& record, Epoch epoch) const;
  Lot* find(const std::string& id, bool* ready);
  Lot* find_under(const std::string& id, Epoch epoch);
  void append(const Lot& lot, std::vector<LotEntry> entries, std::function<void(Lot*, bool)> then);
  // Goes on only after a majority has said that the slot still is owned under the epoch that the lots were read in.
  template <class Reply> void if_still_owner(const std::string& id, Answer<Reply> answer, std::function<void(Lot*)> then);
  void submit(SubmitLot submit, Answer<LotStatus> answer);
  void cancel(const std::string& id, Answer<LotStatus> answer);
  void read(ReadLot read, Answer<LotPage> answer);
  void body(ReadItem read, Answer<ItemBody> answer);
  void fetch(const Address& placer, std::uint64_t incarnation, FetchItems fetch, Answer<ItemsReply> answer);
  void finish(FinishItem finish, Answer<FinishReply> answer);
  void give_result(Lot& lot, std::uint32_t item, LotEntry entry, std::function<void(bool)> then);
  // Whether the fetch comes from the newest placer of the runner that this owner has heard of.
  bool newest_placer(const Address& placer, std::uint64_t incarnation, const FetchItems& fetch);
  void requeue(Lot& lot, Item& item);
  void sweep(Lot& lot, Moment now);
  void ask_placers(Moment now);
  void announce();
  LotStatus status(const Lot& lot) const;
  std::map<std::string, std::uint32_t> pending_by_kind() const;

  Post& post_;
  Board& board_;
  std::vector<Slot> slots_{slot_count};
  std::map<std::string, Placer> terms_;  // the highest known of each runner
  std::uint64_t ticks_ = 0;
  bool announce_soon_ = false;
};

}  // namespace mothwalk
