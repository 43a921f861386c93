// Each call finds the owner by the lot's key.
#include "lots/lot_calls.hpp"

namespace mothwalk {

namespace {
std::string key_of(const std::string& id) {
  return "lot/" + id;
}
}  // namespace

void LotCalls::submit(SubmitLot submit, Duration limit, ReplyCallback<LotStatus> answer) {
  const std::string key = key_of(submit.id);
  client_.ask_owner<SubmitLot>(key, std::move(submit), messenger_.timers().now() + limit, false, std::move(answer));
}

void LotCalls::read(ReadLot read, Duration limit, ReplyCallback<LotPage> answer) {
  const std::string key = key_of(read.id);
  client_.ask_owner<ReadLot>(key, std::move(read), messenger_.timers().now() + limit, false, std::move(answer));
}

void LotCalls::body(std::string id, std::string item, Duration limit, ReplyCallback<ItemBody> answer) {
  const std::string key = key_of(id);
  client_.ask_owner<ReadItem>(key, ReadItem{std::move(id), std::move(item)}, messenger_.timers().now() + limit, false,
                              std::move(answer));
}

void LotCalls::end(std::string id, Duration limit, ReplyCallback<LotStatus> answer) {
  const std::string key = key_of(id);
  client_.ask_owner<CancelLot>(key, CancelLot{std::move(id)}, messenger_.timers().now() + limit, false,
                               std::move(answer));
}

}  // namespace mothwalk
