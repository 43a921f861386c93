// Results of items: reports of placers, and results that the owner writes itself.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
// What one run counts for in the moving mean of a lane's run times.
constexpr double run_time_weight = 0.05;
// What one result counts for in the moving mean of their sizes.
constexpr double result_size_weight = 0.02;

bool whole_answer(const FinishItem& finish) {
  return finish.outcome == "answer" || finish.outcome == "impossible";
}

// Whether the runner turned the item away, or broke off while it ran it; other weights say nothing of the item.
bool may_be_its_own_fault(const FinishItem& finish) {
  const bool turned_away = finish.outcome == "not_run" && finish.status != 0 && finish.status != 421;
  return turned_away || finish.outcome == "lost";
}

LotEntry entry_of(const FinishItem& finish) {
  LotEntry entry;
  entry.item = finish.item;
  entry.attempt = finish.attempt;
  entry.status = finish.status;
  return entry;
}
}  // namespace

void Lots::give_results(Lot& lot, std::vector<LotEntry> entries, std::function<void(bool)> then) {
  struct Before {
    LotEntry entry;
    ItemState state;
  };
  std::vector<Before> given;
  for (auto& entry : entries) {
    Item& item = lot.items[entry.item];
    given.push_back(Before{entry, item.state});
    lot.pending.erase(entry.item);
    lot.resting.erase(entry.item);
    lot.busy.insert(entry.item);
    item.state = ItemState::finishing;
    given.back().entry.what = entry.what = "result";
    given.back().entry.elapsed = entry.elapsed = messenger_.timers().now() - lot.begun;
  }
  queue(lot);
  append(lot, entries, [this, given = std::move(given), then](Lot* now_lot, bool good) {
    if (now_lot == nullptr) return then(false);
    for (const auto& each : given) {
      Item& item = now_lot->items[each.entry.item];
      if (item.state != ItemState::finishing) continue;
      if (!good) {
        if (each.state == ItemState::pending)
          requeue(*now_lot, each.entry.item);
        else
          item.state = each.state;
        continue;
      }
      item.state = ItemState::finished;
      item.part = StreamPart{};
      now_lot->busy.erase(each.entry.item);
      now_lot->head.items[each.entry.item].body = Bytes();
      result_bytes_ += result_size_weight * (static_cast<double>(each.entry.body.size()) - result_bytes_);
      now_lot->results.push_back(each.entry);
    }
    if (good && now_lot->finished()) now_lot->closed_at = messenger_.timers().now();
    if (good) answer_waiters(*now_lot);
    then(good);
  });
}

// Reports that belong to one message; it is answered when each is settled or is known to need another sending.
struct Lots::Finishing {
  ReplyCallback<FinishReply> answer;
  FinishReply reply;
  std::size_t left = 1;
  void done() {
    if (--left > 0) return;
    if (reply.heard.empty()) return answer(lots_loading());
    answer(std::move(reply));
  }
};

void Lots::finish(FinishItems finish, ReplyCallback<FinishReply> answer) {
  auto state = std::make_shared<Finishing>();
  state->answer = std::move(answer);
  std::map<std::string, std::vector<LotEntry>> results;
  std::map<std::string, std::vector<std::uint32_t>> writing, unsure;
  for (std::uint32_t place = 0; place < finish.items.size(); ++place) {
    FinishItem& item = finish.items[place];
    switch (take_report(item, results)) {
      case Settled::now:
        state->reply.heard.push_back(place);
        break;
      case Settled::writing:
        writing[item.lot].push_back(place);
        break;
      case Settled::unsure:
        unsure[item.lot].push_back(place);
        break;
      case Settled::later:
        break;
    }
  }
  for (auto& [id, entries] : results) {
    bool ready = false;
    Lot* lot = find(id, &ready);
    ++state->left;
    give_results(*lot, std::move(entries), [state, places = writing[id]](bool good) {
      if (good) state->reply.heard.insert(state->reply.heard.end(), places.begin(), places.end());
      state->done();
    });
  }
  // A lot that is gone, an item that is finished or has another attempt: the report does not count. An owner that was
  // cut off and has not heard of its successor must not say so, or the placer would drop what the successor waits for.
  for (auto& [id, places] : unsure) {
    ++state->left;
    confirm(slot_of(lot_record_key(id)), [state, places = places](bool good) {
      if (good) state->reply.heard.insert(state->reply.heard.end(), places.begin(), places.end());
      state->done();
    });
  }
  state->done();
}

Lots::Settled Lots::take_report(FinishItem& finish, std::map<std::string, std::vector<LotEntry>>& results) {
  bool ready = false;
  Lot* lot = find(finish.lot, &ready);
  if (!ready) return Settled::later;
  if (lot == nullptr || finish.item >= lot->items.size()) return Settled::unsure;
  const Item& item = lot->items[finish.item];
  if (item.state == ItemState::finished) return Settled::unsure;
  if (item.state == ItemState::finishing || item.state == ItemState::starting) return Settled::later;
  const bool current = item.attempt == finish.attempt, whole = whole_answer(finish);
  if (!current && !(repeatable(*lot) && whole)) return Settled::unsure;
  if (lot->head.batch && (lot->cancelled || lot->cancelling)) {
    if (lot->cancelled) requeue(*lot, finish.item);
    return lot->cancelled ? Settled::unsure : Settled::later;
  }
  if (current && item.state == ItemState::started && whole) learn_run_time(*lot, item);
  auto entry = lot->head.batch ? batch_result(*lot, finish) : plain_result(*lot, finish);
  if (!entry) return Settled::now;
  // Two reports of one item in one message: the second waits for the first.
  auto& entries = results[lot->id];
  if (std::any_of(entries.begin(), entries.end(), [&](const LotEntry& each) { return each.item == finish.item; }))
    return Settled::later;
  entries.push_back(std::move(*entry));
  return Settled::writing;
}

void Lots::learn_run_time(const Lot& lot, const Item& item) {
  double& took = took_.try_emplace(lot.head.lane, 1.0).first->second;
  const double seconds = static_cast<double>((messenger_.timers().now() - item.since).count()) / 1e6;
  took += run_time_weight * (seconds - took);
}

std::optional<LotEntry> Lots::batch_result(Lot& lot, FinishItem& finish) {
  Item& item = lot.items[finish.item];
  item.failures = std::max(item.failures, finish.failures);
  const bool gained = finish.outcome != "damaged" && finish.part.last_event > item.part.last_event;
  if (finish.outcome == "damaged")
    item.part = StreamPart{};
  else if (gained)
    item.part = std::move(finish.part);
  if (gained) item.setbacks = 0;
  const bool spent = finish.outcome == "failed" && item.failures >= std::max(1u, lot.head.attempts);
  if (!whole_answer(finish) && !spent) {
    if (item.state != ItemState::started) return std::nullopt;
    requeue(lot, finish.item);
    if (!gained && may_be_its_own_fault(finish)) count_setback(lot, finish.item);
    return std::nullopt;
  }
  LotEntry entry = entry_of(finish);
  entry.outcome = finish.outcome == "answer" ? "answer" : "abandoned";
  if (finish.outcome == "answer") entry.body = std::move(finish.body);
  return entry;
}

std::optional<LotEntry> Lots::plain_result(Lot& lot, FinishItem& finish) {
  const Item& item = lot.items[finish.item];
  if (finish.outcome == "not_run") {
    if (item.state != ItemState::started) return std::nullopt;
    requeue(lot, finish.item);
    if (may_be_its_own_fault(finish)) count_setback(lot, finish.item);
    return std::nullopt;
  }
  if (finish.outcome == "stopped" || finish.outcome == "lost") {
    if (item.state == ItemState::pending) return std::nullopt;
    if (!lot.cancelled && may_run_again(lot, item, finish.outcome == "stopped")) {
      requeue(lot, finish.item);
      return std::nullopt;
    }
  }
  LotEntry entry = entry_of(finish);
  entry.outcome = finish.outcome == "answer" ? "answer" : "unknown";
  entry.body = std::move(finish.body);
  return entry;
}

bool Lots::may_run_again(const Lot& lot, const Item& item, bool stopped_by_us) const {
  if (!repeatable(lot)) return false;
  const auto configuration = shared_state_.configuration.get();
  return stopped_by_us || item.tries <= configuration->lanes.at(lot.head.lane).spec.retries;
}

void Lots::give_up(Lot& lot, const std::string& outcome) {
  std::vector<LotEntry> entries;
  for (const std::uint32_t index : lot.pending) {
    LotEntry entry;
    entry.item = index;
    entry.attempt = lot.items[index].attempt;
    entry.outcome = outcome;
    entries.push_back(std::move(entry));
  }
  if (!entries.empty()) give_results(lot, std::move(entries), [](bool) {});
}

}  // namespace mothwalk
