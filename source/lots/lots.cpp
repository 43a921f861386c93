// The owner of lots: message handlers, periodic tasks and look-ups.
#include "lots/lots_internals.hpp"

namespace mothwalk {

namespace {
constexpr Duration tick_interval = std::chrono::milliseconds(50);
// The intervals of the other periodic tasks, in ticks.
constexpr std::uint64_t lot_check_ticks = 4, publish_ticks = 8, placer_check_ticks = 20;
}  // namespace

Lots::Lots(Messenger& messenger, SharedState& shared_state) : messenger_(messenger), shared_state_(shared_state) {
  messenger_.on_request<SubmitLot>([this](const Address&, SubmitLot message, ReplyCallback<LotStatus> respond) {
    submit(std::move(message), std::move(respond));
  });
  messenger_.on_request<CancelLot>([this](const Address&, CancelLot message, ReplyCallback<LotStatus> respond) {
    cancel(message.id, std::move(respond));
  });
  messenger_.on_request<ReadLot>([this](const Address&, ReadLot message, ReplyCallback<LotPage> respond) {
    read(std::move(message), std::move(respond));
  });
  messenger_.on_request<ReadItem>([this](const Address&, ReadItem message, ReplyCallback<ItemBody> respond) {
    read_item_body(std::move(message), std::move(respond));
  });
  messenger_.on_request<ListLots>([this](const Address&, ListLots, ReplyCallback<LotList> respond) {
    LotList list;
    for (const auto& slot : slots_)
      for (const auto& [id, lot] : slot.lots) list.lots.push_back(status_of(lot));
    respond(std::move(list));
  });
  messenger_.on_request<FetchItems>([this](const Address& from, FetchItems message, ReplyCallback<ItemsReply> respond) {
    const auto members = shared_state_.members.get();
    auto placer = members->all.find(from);
    if (placer == members->all.end())
      return respond(Error{ErrorKind::refused, "placer", "the requesting daemon is not a member",
                           "retry after its session has been established"});
    handle_fetch(from, placer->second.incarnation, std::move(message), std::move(respond), false);
  });
  messenger_.on_request<ReportItems>(
      [this](const Address&, ReportItems message, ReplyCallback<ReportItemsReply> respond) {
        handle_reports(std::move(message), std::move(respond));
      });
}

void Lots::start() {
  tick();
}

void Lots::tick() {
  update_owned_slots();
  const TimePoint now = messenger_.timers().now();
  if (++ticks_ % lot_check_ticks == 0)
    for (auto& slot : slots_)
      for (auto& [id, lot] : slot.lots) check_lot(lot, now);
  if (ticks_ % publish_ticks == 0 || (publish_soon_ && ticks_ % 2 == 0)) publish_demand();
  if (ticks_ % placer_check_ticks == 0) check_items_with_placers(now);
  messenger_.timers().after(tick_interval, [this] { tick(); });
}

Lots::Lot* Lots::find_lot(const std::string& id, bool* ready) {
  Slot& slot = slots_[slot_of(lot_record_key(id))];
  *ready = slot.ready;
  auto found = slot.lots.find(id);
  return found == slot.lots.end() ? nullptr : &found->second;
}

Lots::Lot* Lots::find_lot_at_epoch(const std::string& id, Epoch epoch) {
  bool ready = false;
  Lot* lot = find_lot(id, &ready);
  return lot != nullptr && lot->epoch == epoch ? lot : nullptr;
}

void Lots::append_entries(const Lot& lot, const std::vector<LotEntry>& entries, std::function<void(Lot*, bool)> then) {
  Write write;
  write.key = lot_record_key(lot.id);
  write.fence = lot.epoch.value;
  for (const auto& entry : entries) write.appends.push_back(to_cbor(entry));
  messenger_.request(messenger_.self(), write, lot_write_timeout,
                     [this, id = lot.id, epoch = lot.epoch, then](Result<WriteReply> result) {
                       Lot* current_lot = find_lot_at_epoch(id, epoch);
                       const auto* reply = std::get_if<WriteReply>(&result);
                       if (current_lot != nullptr && reply != nullptr)
                         current_lot->record_stamp = std::max(current_lot->record_stamp, reply->stamp);
                       then(current_lot, reply != nullptr);
                     });
}

bool Lots::is_repeatable(const Lot& lot) const {
  if (lot.spec.batch) return true;
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(lot.spec.lane);
  return lane != configuration->lanes.end() && lane->second.spec.repeatable;
}

void Lots::update_queue(const Lot& lot) {
  if (!lot.pending.empty() && !lot.cancelled && !lot.cancelling)
    queue_.emplace(lot.due, lot.id);
  else
    queue_.erase({lot.due, lot.id});
}

LotStatus Lots::status_of(const Lot& lot) const {
  LotStatus status{lot.id,
                   lot.spec.lane,
                   lot.finished()  ? "finished"
                   : lot.cancelled ? "cancelled"
                                   : "open",
                   static_cast<std::uint32_t>(lot.items.size()),
                   static_cast<std::uint32_t>(lot.results.size()),
                   0};
  for (const std::uint32_t index : lot.in_progress) status.started += lot.items[index].state != ItemState::starting;
  return status;
}

}  // namespace mothwalk
