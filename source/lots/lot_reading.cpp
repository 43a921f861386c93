// Reads of lots: pages of results, reads that wait for a result, and request bodies of items without a result.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
constexpr Duration max_read_wait = std::chrono::milliseconds(1000);
constexpr std::size_t max_page_results = 1000, max_page_bytes = 900000;

// An upper bound for the size of a result with this body in JSON.
std::size_t max_json_size(const Bytes& text) {
  std::size_t size = 96;
  for (const char each : text) size += static_cast<unsigned char>(each) < 32 ? 6 : each == '"' || each == '\\' ? 2 : 1;
  return size;
}
}  // namespace

LotPage Lots::make_page(const Lot& lot, const ReadLot& read) const {
  LotPage page;
  page.lot = status_of(lot);
  const std::size_t limit = std::min<std::size_t>(read.limit, max_page_results);
  std::size_t bytes = 0;
  std::size_t position = read.after;
  for (; position < lot.results.size() && position - read.after < limit; ++position) {
    const LotEntry& entry = lot.results[position];
    bytes += max_json_size(entry.body);
    if (bytes > max_page_bytes && position > read.after) break;
    const std::string& id = lot.spec.items[entry.item].id;
    page.results.push_back(LotResult{static_cast<std::uint32_t>(position), entry.item, entry.outcome, entry.status,
                                     entry.body, id.empty() ? std::to_string(entry.item) : id});
  }
  page.next = static_cast<std::uint32_t>(position);
  return page;
}

void Lots::read(ReadLot read, ReplyCallback<LotPage> respond) {
  bool ready = false;
  const Lot* lot = find_lot(read.id, &ready);
  if (!ready) return respond(slot_loading_error());
  confirm_and_find(read.id, lot != nullptr, [this, read, respond](bool succeeded, Lot* current_lot) {
    if (!succeeded) return respond(slot_loading_error());
    if (current_lot == nullptr) return respond(lot_not_found_error());
    if (read.wait <= Duration{} || read.after < current_lot->results.size() || current_lot->closed())
      return respond(make_page(*current_lot, read));
    wait_for_result(*current_lot, read, respond);
  });
}

void Lots::wait_for_result(Lot& lot, const ReadLot& read, const ReplyCallback<LotPage>& respond) {
  const std::uint64_t number = ++last_waiter_number_;
  lot.waiters.push_back(Waiter{number, read, respond});
  messenger_.timers().after(std::min(read.wait, max_read_wait),
                            [this, id = read.id, number] { on_wait_expired(id, number); });
}

void Lots::on_wait_expired(const std::string& id, std::uint64_t number) {
  bool ready = false;
  Lot* lot = find_lot(id, &ready);
  if (lot == nullptr) return;
  auto waiter =
      std::find_if(lot->waiters.begin(), lot->waiters.end(), [&](const Waiter& each) { return each.number == number; });
  if (waiter == lot->waiters.end()) return;
  const Waiter expired = std::move(*waiter);
  lot->waiters.erase(waiter);
  confirm_and_find(id, true, [this, expired](bool succeeded, Lot* current_lot) {
    succeeded&& current_lot != nullptr ? expired.respond(make_page(*current_lot, expired.read))
                                       : expired.respond(slot_loading_error());
  });
}

void Lots::reply_to_waiters(Lot& lot) {
  std::vector<Waiter> ready;
  for (auto waiter = lot.waiters.begin(); waiter != lot.waiters.end();) {
    if (waiter->read.after >= lot.results.size() && !lot.closed()) {
      ++waiter;
      continue;
    }
    ready.push_back(std::move(*waiter));
    waiter = lot.waiters.erase(waiter);
  }
  for (auto& waiter : ready) waiter.respond(make_page(lot, waiter.read));
}

void Lots::read_item_body(ReadItem read, ReplyCallback<ItemBody> respond) {
  bool ready = false;
  const Lot* lot = find_lot(read.id, &ready);
  if (!ready) return respond(slot_loading_error());
  auto find_unfinished_body = [](const Lot& from, const std::string& id) -> const Bytes* {
    for (std::size_t index = 0; index < from.items.size() && !from.cancelled; ++index)
      if (from.spec.items[index].id == id)
        return from.items[index].state == ItemState::finished ? nullptr : &from.spec.items[index].body;
    return nullptr;
  };
  const bool is_unfinished = lot != nullptr && find_unfinished_body(*lot, read.item) != nullptr;
  confirm_and_find(read.id, is_unfinished, [read, respond, find_unfinished_body](bool succeeded, Lot* current_lot) {
    if (!succeeded) return respond(slot_loading_error());
    if (current_lot == nullptr) return respond(lot_not_found_error());
    if (const Bytes* body = find_unfinished_body(*current_lot, read.item)) return respond(ItemBody{*body});
    respond(Error{ErrorKind::unknown_name, "item", "the lot has no item with this id that is still without a result",
                  "read the lot's results"});
  });
}

}  // namespace mothwalk
