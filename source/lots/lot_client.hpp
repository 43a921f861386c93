// The client side of lots, which any daemon uses on behalf of its clients. Each call is sent to the lot's owner,
// whichever daemon that is, and is retried until the timeout. Errors mean:
//   refused, invalid, too_large  the lot was not accepted, and this call will not be carried out later either
//   conflict                     a lot with this id exists with different content
//   unknown                      it is unknown whether the lot was accepted; repeating the same call resolves it
//   unknown_name                 the lot, or an item without a result, does not exist; a majority has confirmed that
//                                the replying daemon is the owner
//   busy, lost and others        the call failed for now
// For reads, refused and unknown also mean only that the call failed for now.
#pragma once
#include "lots/messages.hpp"
#include "replication/store_client.hpp"

namespace mothwalk {

// Submits, reads and cancels lots.
class LotClient {
 public:
  LotClient(Messenger& messenger, SharedState& shared_state)
      : messenger_(messenger), client_(messenger, shared_state) {}
  void submit(SubmitLot submit, Duration timeout, ReplyCallback<LotStatus> respond);
  void read(ReadLot read, Duration timeout, ReplyCallback<LotPage> respond);
  // Reads the request body of an item that has no result yet.
  void read_item_body(std::string id, std::string item, Duration timeout, ReplyCallback<ItemBody> respond);
  // Cancels the lot.
  void cancel(std::string id, Duration timeout, ReplyCallback<LotStatus> respond);

 private:
  Messenger& messenger_;
  StoreClient client_;
};

}  // namespace mothwalk
