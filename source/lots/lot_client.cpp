// Forwards each call to the owner of the lot's key.
#include "lots/lot_client.hpp"

namespace mothwalk {

namespace {
std::string key_of(const std::string& id) {
  return "lot/" + id;
}
}  // namespace

void LotClient::submit(SubmitLot submit, Duration timeout, ReplyCallback<LotStatus> respond) {
  const std::string key = key_of(submit.id);
  client_.request_owner<SubmitLot>(key, std::move(submit), messenger_.timers().now() + timeout, false,
                                   std::move(respond));
}

void LotClient::read(ReadLot read, Duration timeout, ReplyCallback<LotPage> respond) {
  const std::string key = key_of(read.id);
  client_.request_owner<ReadLot>(key, std::move(read), messenger_.timers().now() + timeout, false, std::move(respond));
}

void LotClient::read_item_body(std::string id, std::string item, Duration timeout, ReplyCallback<ItemBody> respond) {
  const std::string key = key_of(id);
  client_.request_owner<ReadItem>(key, ReadItem{std::move(id), std::move(item)}, messenger_.timers().now() + timeout,
                                  false, std::move(respond));
}

void LotClient::cancel(std::string id, Duration timeout, ReplyCallback<LotStatus> respond) {
  const std::string key = key_of(id);
  client_.request_owner<CancelLot>(key, CancelLot{std::move(id)}, messenger_.timers().now() + timeout, false,
                                   std::move(respond));
}

}  // namespace mothwalk
