// Submission of lots. Submissions are idempotent: the same id with the same content is the same lot.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
std::optional<Error> content_conflict(const std::string& id, const std::string& known_digest,
                                      const std::string& given_digest) {
  if (known_digest == given_digest) return std::nullopt;
  return Error{ErrorKind::conflict, "id", "lot '" + id + "' already exists with different content",
               "use a new id for a new lot"};
}
}  // namespace

std::string content_digest_of(const LotSpecification& spec) {
  const Bytes encoded = spec.batch ? to_cbor(spec.items) : to_cbor(spec);
  return std::to_string(hash_of(encoded)) + "-" + std::to_string(hash_of(encoded, 1)) + "-" +
         std::to_string(encoded.size());
}

void Lots::submit(SubmitLot submit, ReplyCallback<LotStatus> respond) {
  const std::uint32_t slot_number = slot_of(lot_record_key(submit.id));
  Slot& slot = slots_[slot_number];
  if (!slot.ready) return respond(slot_loading_error());
  const std::string content = content_digest_of(submit.head);
  if (auto found = slot.lots.find(submit.id); found != slot.lots.end()) {
    if (auto error = content_conflict(submit.id, found->second.content_digest, content)) return respond(*error);
    if (!found->second.removing)
      return confirm_and_find(submit.id, false, [this, respond](bool succeeded, Lot* lot) {
        succeeded&& lot != nullptr ? respond(status_of(*lot)) : respond(slot_loading_error());
      });
  }
  const auto configuration = shared_state_.configuration.get();
  if (auto error = submission_error(submit.head, *configuration)) return respond(*error);
  submit.head.revision = std::max(submit.head.revision, configuration->fleet.spec.revision);
  Write write;
  write.key = lot_record_key(submit.id);
  write.head = to_cbor(submit.head);
  write.expected = 0;
  write.fence = slot.epoch.value;
  write.token = content;
  write.growth = expected_result_bytes(submit.head.items.size());
  messenger_.request(
      messenger_.self(), write, lot_write_timeout,
      [this, id = submit.id, head = to_cbor(submit.head), content, epoch = slot.epoch,
       respond](Result<WriteReply> result) { on_submission_written(id, head, content, epoch, result, respond); });
}

// Estimates the size of the results that are still to come in all slots. An owner knows only the lots of its own slots,
// so it extrapolates from them to the other slots.
std::uint64_t Lots::expected_result_bytes(std::size_t items) const {
  std::size_t owned = 0, unfinished = items;
  for (const auto& slot : slots_) {
    owned += slot.ready;
    for (const auto& [id, lot] : slot.lots) unfinished += lot.items.size() - lot.results.size();
  }
  if (owned == 0) return 0;
  return static_cast<std::uint64_t>(mean_result_bytes_ * static_cast<double>(unfinished)) * slot_count / owned;
}

std::optional<Error> Lots::submission_error(const LotSpecification& spec,
                                            const ConfigurationView& configuration) const {
  const LotSettings settings = configuration.lot_settings();
  if (!configuration.lanes.contains(spec.lane)) {
    // This daemon may not have received the configuration with the lane yet.
    if (spec.revision > configuration.fleet.spec.revision) return slot_loading_error();
    return Error{ErrorKind::invalid, "lane", "no lane is named '" + spec.lane + "'", "name an existing lane"};
  }
  if (spec.items.empty() || spec.items.size() > settings.items)
    return Error{ErrorKind::invalid, "items", "a lot must have 1 to " + std::to_string(settings.items) + " items",
                 "submit the items in several lots"};
  std::size_t lot_count = 0;
  for (const auto& slot : slots_) lot_count += slot.lots.size();
  if (lot_count >= settings.lots)
    return Error{ErrorKind::refused, "lots", "this daemon stores the maximum number of lots; the lot was not accepted",
                 "submit it again later, or raise the setting lots in lots/default"};
  return std::nullopt;
}

std::uint32_t Lots::count_items_too_large(const Lot& lot) const {
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(lot.spec.lane);
  if (lane == configuration->lanes.end()) return 0;
  std::uint32_t runnable = 0;
  for (const auto& share : lane->second.spec.kinds())
    if (share.weight > 0)
      runnable = std::max(runnable, count_fitting_items(lot, runner_memory_tokens(*configuration, share.kind.text)));
  return static_cast<std::uint32_t>(lot.pending.size()) - runnable;
}

void Lots::on_submission_written(const std::string& id, const Bytes& head, const std::string& content, Epoch epoch,
                                 const Result<WriteReply>& result, const ReplyCallback<LotStatus>& respond) {
  Slot& slot = slots_[slot_of(lot_record_key(id))];
  const Error outcome_unknown{ErrorKind::unknown, "id", "it is unknown whether the lot was accepted",
                              "submit it again under the same id"};
  const Error* error = error_of(result);
  if (error != nullptr && error->kind != ErrorKind::stale) return respond(*error);
  // A write under a past epoch may have been stored, and a write that was refused because a record exists may have
  // found this same lot from an earlier submission.
  if (slot.epoch != epoch || !slot.ready) return respond(outcome_unknown);
  if (auto found = slot.lots.find(id); found != slot.lots.end()) {
    if (auto other = content_conflict(id, found->second.content_digest, content)) return respond(*other);
    return respond(status_of(found->second));
  }
  if (error != nullptr) return respond(outcome_unknown);
  Record record;
  record.key = lot_record_key(id);
  record.head = head;
  record.written = std::get<WriteReply>(result).stamp;
  Lot& lot = slot.lots.emplace(id, rebuild_lot(record, epoch)).first->second;
  counts_.items_too_large += count_items_too_large(lot);
  update_queue(lot);
  publish_soon_ = true;
  respond(status_of(lot));
}

}  // namespace mothwalk
