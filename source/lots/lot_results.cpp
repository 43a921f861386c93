// Results of items: those that placers report, and those that the owner determines itself.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
// The weight of one run in the moving mean of a lane's run times.
constexpr double run_time_smoothing = 0.05;
// The weight of one result in the moving mean of the results' sizes.
constexpr double result_size_smoothing = 0.02;

bool is_final_answer(const ItemReport& report) {
  return report.outcome == "answer" || report.outcome == "impossible";
}

// Whether the runner refused the item or broke off while running it, which the item itself may cause. Status 421 means
// that the runner has other model weights, which says nothing about the item.
bool may_be_caused_by_item(const ItemReport& report) {
  const bool refused = report.outcome == "not_run" && report.status != 0 && report.status != 421;
  return refused || report.outcome == "lost";
}

LotEntry make_entry(const ItemReport& report) {
  LotEntry entry;
  entry.item = report.item;
  entry.attempt = report.attempt;
  entry.status = report.status;
  return entry;
}
}  // namespace

void Lots::write_results(Lot& lot, std::vector<LotEntry> entries, std::function<void(bool)> then) {
  struct PendingResult {
    LotEntry entry;
    ItemState previous_state;
  };
  std::vector<PendingResult> pending_results;
  for (auto& entry : entries) {
    Item& item = lot.items[entry.item];
    pending_results.push_back(PendingResult{entry, item.state});
    lot.pending.erase(entry.item);
    lot.backoff_until.erase(entry.item);
    lot.in_progress.insert(entry.item);
    item.state = ItemState::finishing;
    pending_results.back().entry.what = entry.what = "result";
    pending_results.back().entry.elapsed = entry.elapsed = messenger_.timers().now() - lot.submitted_at;
  }
  update_queue(lot);
  append_entries(lot, entries,
                 [this, pending_results = std::move(pending_results), then](Lot* current_lot, bool succeeded) {
                   if (current_lot == nullptr) return then(false);
                   for (const auto& each : pending_results) {
                     Item& item = current_lot->items[each.entry.item];
                     if (item.state != ItemState::finishing) continue;
                     if (!succeeded) {
                       if (each.previous_state == ItemState::pending)
                         requeue(*current_lot, each.entry.item);
                       else
                         item.state = each.previous_state;
                       continue;
                     }
                     item.state = ItemState::finished;
                     item.part = PartialStream{};
                     current_lot->in_progress.erase(each.entry.item);
                     current_lot->spec.items[each.entry.item].body = Bytes();
                     mean_result_bytes_ +=
                         result_size_smoothing * (static_cast<double>(each.entry.body.size()) - mean_result_bytes_);
                     current_lot->results.push_back(each.entry);
                   }
                   if (succeeded && current_lot->finished()) current_lot->closed_at = messenger_.timers().now();
                   if (succeeded) reply_to_waiters(*current_lot);
                   then(succeeded);
                 });
}

// The reports of one message. The reply is sent when each report is resolved or is known to have to be sent again.
struct Lots::ReportBatch {
  ReplyCallback<ReportItemsReply> respond;
  ReportItemsReply reply;
  std::size_t pending_steps = 1;
  void finish_step() {
    if (--pending_steps > 0) return;
    if (reply.acknowledged.empty()) return respond(slot_loading_error());
    respond(std::move(reply));
  }
};

void Lots::handle_reports(ReportItems message, ReplyCallback<ReportItemsReply> respond) {
  auto batch = std::make_shared<ReportBatch>();
  batch->respond = std::move(respond);
  std::map<std::string, std::vector<LotEntry>> results;
  std::map<std::string, std::vector<std::uint32_t>> being_written, unconfirmed;
  for (std::uint32_t index = 0; index < message.items.size(); ++index) {
    ItemReport& item = message.items[index];
    switch (process_report(item, results)) {
      case ReportState::resolved:
        batch->reply.acknowledged.push_back(index);
        break;
      case ReportState::being_written:
        being_written[item.lot].push_back(index);
        break;
      case ReportState::needs_confirmation:
        unconfirmed[item.lot].push_back(index);
        break;
      case ReportState::send_again:
        break;
    }
  }
  for (auto& [id, entries] : results) {
    bool ready = false;
    Lot* lot = find_lot(id, &ready);
    ++batch->pending_steps;
    write_results(*lot, std::move(entries), [batch, indices = being_written[id]](bool succeeded) {
      if (succeeded) batch->reply.acknowledged.insert(batch->reply.acknowledged.end(), indices.begin(), indices.end());
      batch->finish_step();
    });
  }
  // These reports concern a lot that does not exist, an item that is finished or another attempt, and are dismissed. An
  // isolated owner that does not know its successor yet must not dismiss them, because the placer would then drop a
  // report that the successor waits for. Therefore a majority has to confirm the ownership first.
  for (auto& [id, indices] : unconfirmed) {
    ++batch->pending_steps;
    confirm_ownership(slot_of(lot_record_key(id)), [batch, indices = indices](bool succeeded) {
      if (succeeded) batch->reply.acknowledged.insert(batch->reply.acknowledged.end(), indices.begin(), indices.end());
      batch->finish_step();
    });
  }
  batch->finish_step();
}

Lots::ReportState Lots::process_report(ItemReport& report, std::map<std::string, std::vector<LotEntry>>& results) {
  bool ready = false;
  Lot* lot = find_lot(report.lot, &ready);
  if (!ready) return ReportState::send_again;
  if (lot == nullptr || report.item >= lot->items.size()) return ReportState::needs_confirmation;
  const Item& item = lot->items[report.item];
  if (item.state == ItemState::finished) return ReportState::needs_confirmation;
  if (item.state == ItemState::finishing || item.state == ItemState::starting) return ReportState::send_again;
  const bool is_current_attempt = item.attempt == report.attempt, final_answer = is_final_answer(report);
  if (!is_current_attempt && !(is_repeatable(*lot) && final_answer)) return ReportState::needs_confirmation;
  if (lot->spec.batch && (lot->cancelled || lot->cancelling)) {
    if (lot->cancelled) requeue(*lot, report.item);
    return lot->cancelled ? ReportState::needs_confirmation : ReportState::send_again;
  }
  if (is_current_attempt && item.state == ItemState::started && final_answer) update_run_time(*lot, item);
  auto entry = lot->spec.batch ? batch_result_of(*lot, report) : plain_result_of(*lot, report);
  if (!entry) return ReportState::resolved;
  // If one message has two reports of an item, the second one is processed when it is sent again.
  auto& entries = results[lot->id];
  if (std::any_of(entries.begin(), entries.end(), [&](const LotEntry& each) { return each.item == report.item; }))
    return ReportState::send_again;
  entries.push_back(std::move(*entry));
  return ReportState::being_written;
}

void Lots::update_run_time(const Lot& lot, const Item& item) {
  double& mean = mean_run_seconds_.try_emplace(lot.spec.lane, 1.0).first->second;
  const double seconds = static_cast<double>((messenger_.timers().now() - item.started_at).count()) / 1e6;
  mean += run_time_smoothing * (seconds - mean);
}

std::optional<LotEntry> Lots::batch_result_of(Lot& lot, ItemReport& report) {
  Item& item = lot.items[report.item];
  item.failures = std::max(item.failures, report.failures);
  const bool progressed = report.outcome != "damaged" && report.part.last_event > item.part.last_event;
  if (report.outcome == "damaged")
    item.part = PartialStream{};
  else if (progressed)
    item.part = std::move(report.part);
  if (progressed) item.runs_without_progress = 0;
  const bool attempts_exhausted = report.outcome == "failed" && item.failures >= std::max(1u, lot.spec.attempts);
  if (!is_final_answer(report) && !attempts_exhausted) {
    if (item.state != ItemState::started) return std::nullopt;
    requeue(lot, report.item);
    if (!progressed && may_be_caused_by_item(report)) count_run_without_progress(lot, report.item);
    return std::nullopt;
  }
  LotEntry entry = make_entry(report);
  entry.outcome = report.outcome == "answer" ? "answer" : "abandoned";
  if (report.outcome == "answer") entry.body = std::move(report.body);
  return entry;
}

std::optional<LotEntry> Lots::plain_result_of(Lot& lot, ItemReport& report) {
  const Item& item = lot.items[report.item];
  if (report.outcome == "not_run") {
    if (item.state != ItemState::started) return std::nullopt;
    requeue(lot, report.item);
    if (may_be_caused_by_item(report)) count_run_without_progress(lot, report.item);
    return std::nullopt;
  }
  if (report.outcome == "stopped" || report.outcome == "lost") {
    if (item.state == ItemState::pending) return std::nullopt;
    if (!lot.cancelled && may_retry(lot, item, report.outcome == "stopped")) {
      requeue(lot, report.item);
      return std::nullopt;
    }
  }
  LotEntry entry = make_entry(report);
  entry.outcome = report.outcome == "answer" ? "answer" : "unknown";
  entry.body = std::move(report.body);
  return entry;
}

bool Lots::may_retry(const Lot& lot, const Item& item, bool stopped_by_placer) const {
  if (!is_repeatable(lot)) return false;
  const auto configuration = shared_state_.configuration.get();
  return stopped_by_placer || item.tries <= configuration->lanes.at(lot.spec.lane).spec.retries;
}

void Lots::end_pending_items(Lot& lot, const std::string& outcome) {
  std::vector<LotEntry> entries;
  for (const std::uint32_t index : lot.pending) {
    LotEntry entry;
    entry.item = index;
    entry.attempt = lot.items[index].attempt;
    entry.outcome = outcome;
    entries.push_back(std::move(entry));
  }
  if (!entries.empty()) write_results(lot, std::move(entries), [](bool) {});
}

}  // namespace mothwalk
