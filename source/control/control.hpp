// The operators' interface to the configuration resources, and the clients' interface to lots, both over HTTP with JSON
// bodies. Every daemon accepts every call, and forwards it to the owner of the record where that is another daemon.
#pragma once
#include "coding/json.hpp"
#include "lots/lot_client.hpp"
#include "replication/store_client.hpp"

namespace mothwalk {

// An HTTP request to the control interface.
struct ControlRequest {
  std::string method, target;
  Bytes body;
  bool from_clients = false;  // The request came in on the clients' address, where only the lot interface is available.
  std::vector<Header> headers = {};
};
struct ControlReply {
  int status = 200;
  json::value body;
  bool retry_after = false;          // The response states when the client may try again (Retry-After).
  std::vector<Header> headers = {};  // Headers beside those that the HTTP server sets.

  // Replaces the body where that is not JSON, or was not made by this program.
  std::optional<Bytes> raw = {};
};
using ControlReplyCallback = std::function<void(ControlReply)>;

// A page of a lot's results as clients receive it. A result body that is not text is encoded in base64, which the field
// "encoding" states.
json::value page_json(const LotPage& page);

// Handles the HTTP calls of operators, and those of clients that concern lots.
class Control {
 public:
  // load_json returns the load of this daemon, which is the reply to /v1/load.
  Control(Messenger& messenger, SharedState& shared_state, RandomSource& random, Member self,
          std::function<json::value()> load_json);
  void handle(ControlRequest request, ControlReplyCallback respond);

 private:
  // The path segments and the query parameters of a request target.
  struct Target {
    std::vector<std::string> parts;
    std::map<std::string, std::string> query;
  };
  static std::optional<Target> parse_target(StringView target);
  void handle_resources(const ControlRequest& request, const Target& target, ControlReplyCallback respond);
  // With retry_once, an invalid document is checked a second time after a delay.
  void put_resource(const std::string& type, const std::string& name, const ControlRequest& request,
                    const Target& target, ControlReplyCallback respond, bool retry_once);
  void get_resource(const std::string& type, const std::string& name, ControlReplyCallback respond);
  void delete_resource(const std::string& type, const std::string& name, const Target& target,
                       ControlReplyCallback respond);
  // Sends the write to the owner of the record.
  void write(Write write, ControlReplyCallback respond);
  // Responds to a write once this daemon has applied it, or at the deadline.
  void respond_when_applied(const std::string& key, Stamp stamp, TimePoint deadline, ControlReplyCallback respond);
  // A long poll: responds once the configuration's digest differs from the one in the query, or at the deadline.
  void watch(const Target& target, TimePoint deadline, ControlReplyCallback respond);
  void handle_lots(const ControlRequest& request, const Target& target, ControlReplyCallback respond);
  void list_lots(ControlReplyCallback respond);
  json::value health_json() const;
  json::value list_resources(const std::string& type) const;

  Messenger& messenger_;
  SharedState& shared_state_;
  RandomSource& random_;
  Member self_;
  std::function<json::value()> load_json_;
  StoreClient client_;
  LotClient lots_;
};

// Parses the JSON body by which a client submits a lot.
Result<LotSpecification> read_lot(StringView body);

}  // namespace mothwalk
