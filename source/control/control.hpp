// The operators' resource interface and the callers' interface to kept lots, over HTTP and JSON. Any daemon takes any
// call and passes on what another one owns.
#pragma once
#include "coding/json.hpp"
#include "lots/lot_calls.hpp"
#include "replication/store_client.hpp"

namespace mothwalk {

struct ControlRequest {
  std::string method, target;
  Bytes body;
  bool callers = false;  // came in on the callers' side: lots alone
  std::vector<Header> headers = {};
};
struct ControlReply {
  int status = 200;
  json::value body;
  bool retry_after = false;
  std::vector<Header> headers = {};  // beside those that the front sets
  std::optional<Bytes> raw = {};     // stands for the body where that is not JSON, or not this program's
};
using ControlAnswer = std::function<void(ControlReply)>;

// A page of results as callers read it: a body that is no text stands there in base64, and says so.
json::value page_json(const LotPage& page);

class Control {
 public:
  Control(Messenger& messenger, SharedState& shared_state, RandomSource& random, Member self,
          std::function<json::value()> own_load);
  void handle(ControlRequest request, ControlAnswer answer);

 private:
  struct Target {
    std::vector<std::string> parts;
    std::map<std::string, std::string> query;
  };
  static std::optional<Target> split(StringView target);
  void resources(const ControlRequest& request, const Target& target, ControlAnswer answer);
  void put(const std::string& type, const std::string& name, const ControlRequest& request, const Target& target,
           ControlAnswer answer, bool second_look);
  void show(const std::string& type, const std::string& name, ControlAnswer answer);
  void remove(const std::string& type, const std::string& name, const Target& target, ControlAnswer answer);
  void write(Write write, ControlAnswer answer);
  void answer_when_seen(const std::string& key, Stamp stamp, TimePoint until, ControlAnswer answer);
  void watch(const Target& target, TimePoint until, ControlAnswer answer);
  void lots(const ControlRequest& request, const Target& target, ControlAnswer answer);
  void list_lots(ControlAnswer answer);
  json::value health() const;
  json::value listing(const std::string& type) const;

  Messenger& messenger_;
  SharedState& shared_state_;
  RandomSource& random_;
  Member self_;
  std::function<json::value()> own_load_;
  StoreClient client_;
  LotCalls lots_;
};

Result<LotSpecification> read_lot(StringView body);

}  // namespace mothwalk
