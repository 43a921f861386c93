// The calls for kept lots that any daemon can make on a client's behalf: each goes to the lot's owner, wherever that
// is, and again and again until the limit. What the faults say:
//   refused, invalid, too_large  it was not taken and never will be by this call
//   conflict                     a lot of this id was handed in with other content
//   unknown                      whether it was taken is not known; the same call again settles it
//   unknown_name                 there is no such lot (or no such unlisted item): a majority has confirmed the owner's
//   word busy, lost, ...              not now; for reads, refused and unknown mean no more than that either
#pragma once
#include "lots/messages.hpp"
#include "replication/store_client.hpp"

namespace mothwalk {

class LotCalls {
 public:
  LotCalls(Messenger& messenger, SharedState& shared_state) : messenger_(messenger), client_(messenger, shared_state) {}
  void submit(SubmitLot submit, Duration limit, ReplyCallback<LotStatus> answer);
  void read(ReadLot read, Duration limit, ReplyCallback<LotPage> answer);
  void body(std::string id, std::string item, Duration limit, ReplyCallback<ItemBody> answer);
  void end(std::string id, Duration limit, ReplyCallback<LotStatus> answer);

 private:
  Messenger& messenger_;
  StoreClient client_;
};

}  // namespace mothwalk
