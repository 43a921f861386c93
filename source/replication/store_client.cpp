// Writing and reading of keys at their owner.
#include "replication/store_client.hpp"

namespace mothwalk {

void StoreClient::write(Write write, Duration timeout, ReplyCallback<WriteReply> answer) {
  const std::string key = write.key;
  ask_owner<Write>(key, std::move(write), messenger_.timers().now() + timeout, false, std::move(answer));
}

void StoreClient::read(const std::string& key, Duration timeout, ReplyCallback<ReadReply> answer, bool head_only) {
  ask_owner<Read>(key, Read{key, head_only}, messenger_.timers().now() + timeout, false, std::move(answer));
}

}  // namespace mothwalk
