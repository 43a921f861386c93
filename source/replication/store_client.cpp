// Reads and writes as messages to the owner of the key.
#include "replication/store_client.hpp"

namespace mothwalk {

void StoreClient::write(Write write, Duration timeout, ReplyCallback<WriteReply> callback) {
  const std::string key = write.key;
  request_owner<Write>(key, std::move(write), messenger_.timers().now() + timeout, false, std::move(callback));
}

void StoreClient::read(const std::string& key, Duration timeout, ReplyCallback<ReadReply> callback, bool head_only) {
  request_owner<Read>(key, Read{key, head_only}, messenger_.timers().now() + timeout, false, std::move(callback));
}

}  // namespace mothwalk
