// The owner of kept lots: its messages, its periodic duties and its look-ups.
#include "lots/lots_internals.hpp"

namespace mothwalk {

namespace {
constexpr Duration tick_span = std::chrono::milliseconds(50);
// The other duties by number of ticks.
constexpr std::uint64_t sweep_ticks = 4, announce_ticks = 8, ask_ticks = 20;
}  // namespace

Lots::Lots(Messenger& messenger, SharedState& shared_state) : messenger_(messenger), shared_state_(shared_state) {
  messenger_.on_request<SubmitLot>([this](const Address&, SubmitLot message, ReplyCallback<LotStatus> answer) {
    submit(std::move(message), std::move(answer));
  });
  messenger_.on_request<CancelLot>([this](const Address&, CancelLot message, ReplyCallback<LotStatus> answer) {
    cancel(message.id, std::move(answer));
  });
  messenger_.on_request<ReadLot>([this](const Address&, ReadLot message, ReplyCallback<LotPage> answer) {
    read(std::move(message), std::move(answer));
  });
  messenger_.on_request<ReadItem>([this](const Address&, ReadItem message, ReplyCallback<ItemBody> answer) {
    body(std::move(message), std::move(answer));
  });
  messenger_.on_request<ListLots>([this](const Address&, ListLots, ReplyCallback<LotList> answer) {
    LotList list;
    for (const auto& slot : slots_)
      for (const auto& [id, lot] : slot.lots) list.lots.push_back(status(lot));
    answer(std::move(list));
  });
  messenger_.on_request<FetchItems>([this](const Address& from, FetchItems message, ReplyCallback<ItemsReply> answer) {
    const auto members = shared_state_.members.get();
    auto placer = members->all.find(from);
    if (placer == members->all.end())
      return answer(
          Error{ErrorKind::refused, "placer", "this daemon is not a member", "wait until its session stands"});
    fetch(from, placer->second.incarnation, std::move(message), std::move(answer), false);
  });
  messenger_.on_request<FinishItems>([this](const Address&, FinishItems message, ReplyCallback<FinishReply> answer) {
    finish(std::move(message), std::move(answer));
  });
}

void Lots::start() {
  tick();
}

void Lots::tick() {
  follow_ownership();
  const TimePoint now = messenger_.timers().now();
  if (++ticks_ % sweep_ticks == 0)
    for (auto& slot : slots_)
      for (auto& [id, lot] : slot.lots) sweep(lot, now);
  if (ticks_ % announce_ticks == 0 || (announce_soon_ && ticks_ % 2 == 0)) announce();
  if (ticks_ % ask_ticks == 0) ask_placers(now);
  messenger_.timers().after(tick_span, [this] { tick(); });
}

Lots::Lot* Lots::find(const std::string& id, bool* ready) {
  Slot& slot = slots_[slot_of(lot_record_key(id))];
  *ready = slot.ready;
  auto found = slot.lots.find(id);
  return found == slot.lots.end() ? nullptr : &found->second;
}

Lots::Lot* Lots::find_under(const std::string& id, Epoch epoch) {
  bool ready = false;
  Lot* lot = find(id, &ready);
  return lot != nullptr && lot->epoch == epoch ? lot : nullptr;
}

void Lots::append(const Lot& lot, const std::vector<LotEntry>& entries, std::function<void(Lot*, bool)> then) {
  Write write;
  write.key = lot_record_key(lot.id);
  write.fence = lot.epoch.value;
  for (const auto& entry : entries) write.appends.push_back(to_cbor(entry));
  messenger_.request(messenger_.self(), write, lot_write_limit,
                     [this, id = lot.id, epoch = lot.epoch, then](Result<WriteReply> result) {
                       Lot* now_lot = find_under(id, epoch);
                       const auto* reply = std::get_if<WriteReply>(&result);
                       if (now_lot != nullptr && reply != nullptr)
                         now_lot->written = std::max(now_lot->written, reply->stamp);
                       then(now_lot, reply != nullptr);
                     });
}

bool Lots::repeatable(const Lot& lot) const {
  if (lot.head.batch) return true;
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(lot.head.lane);
  return lane != configuration->lanes.end() && lane->second.spec.repeatable;
}

void Lots::queue(const Lot& lot) {
  if (!lot.pending.empty() && !lot.cancelled && !lot.cancelling)
    queue_.emplace(lot.due, lot.id);
  else
    queue_.erase({lot.due, lot.id});
}

LotStatus Lots::status(const Lot& lot) const {
  LotStatus status{lot.id,
                   lot.head.lane,
                   lot.finished()  ? "finished"
                   : lot.cancelled ? "cancelled"
                                   : "open",
                   static_cast<std::uint32_t>(lot.items.size()),
                   static_cast<std::uint32_t>(lot.results.size()),
                   0};
  for (const std::uint32_t index : lot.busy) status.started += lot.items[index].state != ItemState::starting;
  return status;
}

}  // namespace mothwalk
