// Reading lots: pages of results, reads held until there is one, bodies of items that have none yet.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
constexpr Duration longest_wait = std::chrono::milliseconds(1000);
constexpr std::size_t most_results = 1000, page_bytes = 900000;

// At most what the text takes in JSON.
std::size_t written_size(const Bytes& text) {
  std::size_t size = 96;
  for (const char each : text) size += static_cast<unsigned char>(each) < 32 ? 6 : each == '"' || each == '\\' ? 2 : 1;
  return size;
}
}  // namespace

LotPage Lots::page(const Lot& lot, const ReadLot& read) const {
  LotPage page;
  page.lot = status(lot);
  const std::size_t limit = std::min<std::size_t>(read.limit, most_results);
  std::size_t bytes = 0;
  std::size_t position = read.after;
  for (; position < lot.results.size() && position - read.after < limit; ++position) {
    const LotEntry& entry = lot.results[position];
    bytes += written_size(entry.body);
    if (bytes > page_bytes && position > read.after) break;
    const std::string& id = lot.head.items[entry.item].id;
    page.results.push_back(LotResult{static_cast<std::uint32_t>(position), entry.item, entry.outcome, entry.status,
                                     entry.body, id.empty() ? std::to_string(entry.item) : id});
  }
  page.next = static_cast<std::uint32_t>(position);
  return page;
}

void Lots::read(ReadLot read, ReplyCallback<LotPage> answer) {
  bool ready = false;
  const Lot* lot = find(read.id, &ready);
  if (!ready) return answer(lots_loading());
  when_owner(read.id, lot != nullptr, [this, read, answer](bool good, Lot* now_lot) {
    if (!good) return answer(lots_loading());
    if (now_lot == nullptr) return answer(no_lot());
    if (read.wait <= Duration{} || read.after < now_lot->results.size() || now_lot->closed())
      return answer(page(*now_lot, read));
    wait_for_result(*now_lot, read, answer);
  });
}

void Lots::wait_for_result(Lot& lot, const ReadLot& read, const ReplyCallback<LotPage>& answer) {
  const std::uint64_t number = ++last_waiter_;
  lot.waiters.push_back(Waiter{number, read, answer});
  messenger_.timers().after(std::min(read.wait, longest_wait), [this, id = read.id, number] { end_wait(id, number); });
}

void Lots::end_wait(const std::string& id, std::uint64_t number) {
  bool ready = false;
  Lot* lot = find(id, &ready);
  if (lot == nullptr) return;
  auto waiter =
      std::find_if(lot->waiters.begin(), lot->waiters.end(), [&](const Waiter& each) { return each.number == number; });
  if (waiter == lot->waiters.end()) return;
  const Waiter done = std::move(*waiter);
  lot->waiters.erase(waiter);
  when_owner(id, true, [this, done](bool good, Lot* now_lot) {
    good&& now_lot != nullptr ? done.answer(page(*now_lot, done.read)) : done.answer(lots_loading());
  });
}

void Lots::answer_waiters(Lot& lot) {
  std::vector<Waiter> ready;
  for (auto waiter = lot.waiters.begin(); waiter != lot.waiters.end();) {
    if (waiter->read.after >= lot.results.size() && !lot.closed()) {
      ++waiter;
      continue;
    }
    ready.push_back(std::move(*waiter));
    waiter = lot.waiters.erase(waiter);
  }
  for (auto& waiter : ready) waiter.answer(page(lot, waiter.read));
}

void Lots::body(ReadItem read, ReplyCallback<ItemBody> answer) {
  bool ready = false;
  const Lot* lot = find(read.id, &ready);
  if (!ready) return answer(lots_loading());
  auto unlisted = [](const Lot& from, const std::string& id) -> const Bytes* {
    for (std::size_t index = 0; index < from.items.size() && !from.cancelled; ++index)
      if (from.head.items[index].id == id)
        return from.items[index].state == ItemState::finished ? nullptr : &from.head.items[index].body;
    return nullptr;
  };
  const bool there = lot != nullptr && unlisted(*lot, read.item) != nullptr;
  when_owner(read.id, there, [read, answer, unlisted](bool good, Lot* now_lot) {
    if (!good) return answer(lots_loading());
    if (now_lot == nullptr) return answer(no_lot());
    if (const Bytes* body = unlisted(*now_lot, read.item)) return answer(ItemBody{*body});
    answer(Error{ErrorKind::unknown_name, "item", "the lot has no unlisted item of this id", "read the lot's results"});
  });
}

}  // namespace mothwalk
