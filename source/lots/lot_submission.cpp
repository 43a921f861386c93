// Submission of a lot. The same id with the same content is the same lot, however often it is handed in.
#include "lots/lots_internals.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
std::optional<Error> other_content(const std::string& id, const std::string& known, const std::string& given) {
  if (known == given) return std::nullopt;
  return Error{ErrorKind::conflict, "id", "lot '" + id + "' was handed in with another body",
               "use a new id for a new lot"};
}
}  // namespace

std::string lot_content(const LotSpecification& head) {
  const Bytes form = head.batch ? to_cbor(head.items) : to_cbor(head);
  return std::to_string(hash_of(form)) + "-" + std::to_string(hash_of(form, 1)) + "-" + std::to_string(form.size());
}

void Lots::submit(SubmitLot submit, ReplyCallback<LotStatus> answer) {
  const std::uint32_t number = slot_of(lot_record_key(submit.id));
  Slot& slot = slots_[number];
  if (!slot.ready) return answer(lots_loading());
  const std::string content = lot_content(submit.head);
  if (auto found = slot.lots.find(submit.id); found != slot.lots.end()) {
    if (auto error = other_content(submit.id, found->second.content, content)) return answer(*error);
    if (!found->second.removing)
      return when_owner(submit.id, false, [this, answer](bool good, Lot* lot) {
        good&& lot != nullptr ? answer(status(*lot)) : answer(lots_loading());
      });
  }
  const auto configuration = shared_state_.configuration.get();
  if (auto error = not_accepted(submit.head, *configuration)) return answer(*error);
  submit.head.revision = std::max(submit.head.revision, configuration->fleet.spec.revision);
  Write write;
  write.key = lot_record_key(submit.id);
  write.head = to_cbor(submit.head);
  write.expected = 0;
  write.fence = slot.epoch.value;
  write.token = content;
  write.growth = expected_growth(submit.head.items.size());
  messenger_.request(messenger_.self(), write, lot_write_limit,
                     [this, id = submit.id, head = to_cbor(submit.head), content, epoch = slot.epoch,
                      answer](Result<WriteReply> result) { submitted(id, head, content, epoch, result, answer); });
}

// The results of all items that have none yet. An owner knows its own slots' lots, and takes the others' to be like
// them.
std::uint64_t Lots::expected_growth(std::size_t items) const {
  std::size_t owned = 0, unfinished = items;
  for (const auto& slot : slots_) {
    owned += slot.ready;
    for (const auto& [id, lot] : slot.lots) unfinished += lot.items.size() - lot.results.size();
  }
  if (owned == 0) return 0;
  return static_cast<std::uint64_t>(result_bytes_ * static_cast<double>(unfinished)) * slot_count / owned;
}

std::optional<Error> Lots::not_accepted(const LotSpecification& head, const ConfigurationView& configuration) const {
  const LotSettings settings = configuration.lot_settings();
  if (!configuration.lanes.contains(head.lane)) {
    // The configuration that has the lane may be on its way to this daemon.
    if (head.revision > configuration.fleet.spec.revision) return lots_loading();
    return Error{ErrorKind::invalid, "lane", "no lane has the name '" + head.lane + "'", "name an existing lane"};
  }
  if (head.items.empty() || head.items.size() > settings.items)
    return Error{ErrorKind::invalid, "items", "a lot has 1 to " + std::to_string(settings.items) + " items",
                 "split the lot"};
  std::size_t kept = 0;
  for (const auto& slot : slots_) kept += slot.lots.size();
  if (kept >= settings.lots)
    return Error{ErrorKind::refused, "lots", "the store of lots is full; the lot was not taken",
                 "hand it in again later, or raise lots in lots/default"};
  return std::nullopt;
}

std::uint32_t Lots::too_large(const Lot& lot) const {
  const auto configuration = shared_state_.configuration.get();
  auto lane = configuration->lanes.find(lot.head.lane);
  if (lane == configuration->lanes.end()) return 0;
  std::uint32_t held = 0;
  for (const auto& share : lane->second.spec.kinds())
    if (share.weight > 0) held = std::max(held, holdable(lot, memory_of(*configuration, share.kind.text)));
  return static_cast<std::uint32_t>(lot.pending.size()) - held;
}

void Lots::submitted(const std::string& id, const Bytes& head, const std::string& content, Epoch epoch,
                     const Result<WriteReply>& result, const ReplyCallback<LotStatus>& answer) {
  Slot& slot = slots_[slot_of(lot_record_key(id))];
  const Error unsure{ErrorKind::unknown, "id", "whether the lot was taken is not known",
                     "hand it in again under the same id"};
  const Error* error = error_of(result);
  if (error != nullptr && error->kind != ErrorKind::stale) return answer(*error);
  // A write under an epoch that is over may stand, and one that found a record may have found this very lot.
  if (slot.epoch != epoch || !slot.ready) return answer(unsure);
  if (auto found = slot.lots.find(id); found != slot.lots.end()) {
    if (auto other = other_content(id, found->second.content, content)) return answer(*other);
    return answer(status(found->second));
  }
  if (error != nullptr) return answer(unsure);
  Record record;
  record.key = lot_record_key(id);
  record.head = head;
  record.written = std::get<WriteReply>(result).stamp;
  Lot& lot = slot.lots.emplace(id, rebuild(record, epoch)).first->second;
  counts_.items_too_large += too_large(lot);
  queue(lot);
  announce_soon_ = true;
  answer(status(lot));
}

}  // namespace mothwalk
