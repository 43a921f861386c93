// Fixtures for the tests of lots: an owner of lots on a scripted replicated store, and an item placer whose runners the
// test simulates.
#pragma once
#include <catch2/catch.hpp>

#include "lots/item_placer.hpp"
#include "lots/lots.hpp"
#include "simulate/world.hpp"

namespace mothwalk {

inline Error error_in(const Envelope& envelope) {
  const auto error = from_cbor<WireError>(envelope.body);
  REQUIRE(error);
  return Error{static_cast<ErrorKind>(error->kind), error->field, error->message, error->remedy};
}

// The replicated store. It outlives the fixtures: two owners on one store are an owner and its successor.
struct ScriptedStore {
  std::map<std::string, Record> records;
  bool majority = true;                                 // Whether writes and ownership confirmations succeed.
  Duration write_delay = std::chrono::milliseconds(1);  // The time until a write is answered.
};

// Runs an owner that owns all slots, and plays the store and the placers that it talks to.
class OwnerFixture : public Transport {
 public:
  OwnerFixture(ScriptedStore& scripted_store, std::uint64_t epoch)
      : store(scripted_store), epoch_(epoch), lots(messenger, shared_state) {
    for (const char* address : {"10.0.0.1:1", "10.0.0.2:1"}) {
      Member member;
      member.address = Address(address);
      member.incarnation = 7;
      member.holder = StorageNodeId(address);
      member.keeps = "lots";
      members.all[member.address] = member;
    }
    shared_state.members.set(members);
    put("kind/model", "{}");
    put("lane/bulk", R"({"path":"/bulk/","kind":"model","batch":true})");
    Ownership owned;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) owned.slots[slot] = Epoch{epoch};
    shared_state.owned.set(owned);
    lots.start();
    wait_until_loaded(slot_count);
  }
  // Waits until the given number of slots has been loaded since the start.
  void wait_until_loaded(std::uint64_t slots) {
    for (int count = 0; count < 300 && lots.counts().slots_loaded < slots; ++count) wait(std::chrono::milliseconds(1));
    REQUIRE(lots.counts().slots_loaded == slots);
  }
  // Releases all slots and takes them over again under a higher epoch.
  void regain_slots(std::uint64_t epoch, Duration between = {}) {
    shared_state.owned.set(Ownership{});
    wait(std::chrono::milliseconds(60) + between);
    epoch_ = epoch;
    Ownership owned;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) owned.slots[slot] = Epoch{epoch};
    shared_state.owned.set(owned);
    const std::uint64_t before = lots.counts().slots_loaded;
    wait(std::chrono::milliseconds(60));
    wait_until_loaded(before + slot_count);
  }
  ~OwnerFixture() override { incarnation->alive = false; }
  void put(const std::string& key, const Bytes& value) {
    REQUIRE(apply_to_view(view, key, &value, Stamp{}));
    shared_state.configuration.set(view);
  }
  void send(const Address& to, Envelope envelope) override {
    if (envelope.kind.starts_with("store."))
      return world.at(envelope.kind == "store.write" ? store.write_delay : std::chrono::milliseconds(1), incarnation,
                      [this, envelope] { handle_store_request(envelope); });
    if (!envelope.reply && envelope.kind == "placing.slot") {
      placers_asked.push_back(to);
      if (placers_reply) send_placer_reply(envelope, to_cbor(HeldItems{7, held_items}), to);
      return;
    }
    sent.push_back(std::move(envelope));
  }
  void send_placer_reply(const Envelope& request, Bytes body, const Address& from) {
    world.at(std::chrono::milliseconds(1), incarnation, [this, request, body, from] {
      messenger.receive(Envelope{from, 1, "lots", "placing", "reply", request.call, true, body, protocol_number});
    });
  }
  void handle_store_request(const Envelope& request) {
    auto send_reply = [&](Bytes body, bool error = false) {
      messenger.receive(Envelope{self, 1, "lots", "store", error ? "fault" : "reply", request.call, true,
                                 std::move(body), protocol_number});
    };
    auto send_error = [&](ErrorKind kind) {
      send_reply(to_cbor(WireError{static_cast<std::int32_t>(kind), "slot", "no", "ask again"}), true);
    };
    if (request.kind == "store.list") {
      const auto list = *from_cbor<ListSlot>(request.body);
      ListSlotReply records;
      for (const auto& [key, record] : store.records) {
        if (slot_of(key) != list.slot || record.removed) continue;
        const bool known = std::any_of(list.known.begin(), list.known.end(), [&](const WrittenKey& each) {
          return each.key == key && each.written == record.written;
        });
        known ? records.unchanged.push_back(key) : records.records.push_back(record);
      }
      return send_reply(to_cbor(records));
    }
    if (request.kind == "store.confirmslot")
      return store.majority ? send_reply(to_cbor(ConfirmReply{})) : send_error(ErrorKind::busy);
    if (!store.majority) return send_error(ErrorKind::unknown);
    const auto write = *from_cbor<Write>(request.body);
    expected_growth = write.growth;
    ++writes;
    Record& record = store.records[write.key];
    if (write.expected && *write.expected != record.stamp.version.value)
      return record.token == write.token ? send_reply(to_cbor(WriteReply{record.stamp, record.entries.size()}))
                                         : send_error(ErrorKind::stale);
    record.key = write.key;
    record.removed = write.removed;
    record.token = write.token;
    if (write.head) record.head = *write.head;
    record.entries.insert(record.entries.end(), write.appends.begin(), write.appends.end());
    record.stamp = record.written = Stamp{Epoch{epoch_}, record.stamp.version.next()};
    send_reply(to_cbor(WriteReply{record.stamp, record.entries.size()}));
  }
  void wait(Duration span) { world.run_until(world.now() + span); }
  // Sends a request to the owner and returns the number of the call.
  template <class Message>
  std::uint64_t send_request(const Message& message, const Address& from = Address("10.0.0.2:1")) {
    messenger.receive(Envelope{from, 7, "lots", "placing", std::string(Message::kind), ++calls, false, to_cbor(message),
                               protocol_number});
    return calls;
  }
  const Envelope* reply_to_call(std::uint64_t number) const {
    for (const auto& each : sent)
      if (each.reply && each.call == number) return &each;
    return nullptr;
  }
  template <class Message>
  Result<typename Message::Reply> request(const Message& message, Duration span = std::chrono::milliseconds(50)) {
    const std::uint64_t number = send_request(message);
    wait(span);
    const Envelope* reply = reply_to_call(number);
    REQUIRE(reply != nullptr);
    if (reply->kind == "fault") return error_in(*reply);
    auto content = from_cbor<typename Message::Reply>(reply->body);
    REQUIRE(content);
    return *content;
  }
  template <class Message>
  typename Message::Reply request_ok(const Message& message, Duration span = std::chrono::milliseconds(50)) {
    auto result = request(message, span);
    if (auto error = error_of(result)) FAIL(error->message);
    return std::get<0>(result);
  }
  template <class Message>
  ErrorKind request_error_kind(const Message& message) {
    auto result = request(message);
    REQUIRE(error_of(result) != nullptr);
    return error_of(result)->kind;
  }
  static LotSpecification make_batch(std::size_t count, const Bytes& body = "body") {
    LotSpecification spec;
    spec.lane = "bulk";
    spec.batch = true;
    spec.host = "host.example";
    spec.completion = std::chrono::seconds(8);
    spec.retention = std::chrono::seconds(20);
    spec.attempts = 2;
    for (std::size_t index = 0; index < count; ++index)
      spec.items.push_back(LotItem{"item-" + std::to_string(index), "/bulk/" + std::to_string(index), {}, body, 10});
    return spec;
  }
  std::vector<PlacedItem> fetch(std::uint32_t count) {
    return request_ok(FetchItems{"model", "model-1", count, 1, 0}).items;
  }
  // Reports the item's outcome, and returns whether the owner has acknowledged the report.
  bool report(const PlacedItem& item, const std::string& outcome, const Bytes& body = {}, PartialStream part = {},
              std::uint32_t failures = 0) {
    auto result = request(
        ReportItems{{ItemReport{item.lot, item.item, item.attempt, outcome, 200, body, std::move(part), failures}}});
    return error_of(result) == nullptr && std::get<ReportItemsReply>(result).acknowledged.size() == 1;
  }
  LotPage read(const std::string& id, std::uint32_t after = 0, std::uint32_t limit = 1000) {
    return request_ok(ReadLot{id, after, limit, {}});
  }

  const Address self{"10.0.0.1:1"};
  ScriptedStore& store;
  simulate::World world{3};
  simulate::ProcessPointer incarnation = std::make_shared<simulate::ProcessState>();
  simulate::SimulatedTimers timers{world, incarnation};
  SharedState shared_state;
  Members members;
  ConfigurationView view;
  Messenger messenger{*this, timers, self, 1, "lots"};
  std::vector<Envelope> sent;
  std::vector<Address> placers_asked;
  bool placers_reply = true;
  std::vector<ItemAttemptId> held_items;  // The items that the placers report to hold.
  std::uint64_t calls = 1000, writes = 0;
  std::uint64_t expected_growth = 0;  // The value stated by the last write.

 private:
  std::uint64_t epoch_;

 public:
  Lots lots;
};

// A dialect with simple headers for the item's id, the runner, the expected version and the last event.
class TestDialect : public PlainDialect {
 public:
  void write_attempt(AttemptRequest& request, const RequestInfo& request_info,
                     const AttemptInfo& attempt) const override {
    request.headers.push_back({"Id", request_info.id});
    request.headers.push_back({"For", attempt.runner});
    if (!attempt.version.empty()) request.headers.push_back({"Expected", attempt.version});
    if (attempt.last_event) request.headers.push_back({"After", std::to_string(*attempt.last_event)});
  }
  ResponseInfo read_response(int status, const std::vector<Header>& headers,
                             const RequestInfo& request_info) const override {
    ResponseInfo response;
    response.not_run = header_of(headers, "Not-Run") != nullptr;
    if (const auto* id = header_of(headers, "Id")) response.mismatched = *id != request_info.id;
    if (const auto* version = header_of(headers, "Version")) response.version = *version;
    response.other_instance = status == 421;
    return response;
  }
  StringView version_field() const override { return "weights"; }
};

// Records the attempts; the test plays the runners through the observers.
class FakeRunnerClient : public RunnerClient {
 public:
  struct Attempt {
    AttemptRequest request;
    std::shared_ptr<AttemptObserver> observer;
    bool cancelled = false;
    std::string header(StringView name) const {
      const auto* value = header_of(request.headers, name);
      return value == nullptr ? "" : *value;
    }
  };
  Id start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> observer) override {
    attempts.push_back(Attempt{request, std::move(observer), false});
    return attempts.size();
  }
  void cancel(Id id) override { attempts[id - 1].cancelled = true; }
  void set_paused(Id, bool) override {}
  std::deque<Attempt> attempts;
};

// Runs an item placer for one runner, and plays the owner of the lots.
class PlacerFixture : public Transport {
 public:
  PlacerFixture() : placer(messenger, shared_state, runner_client, world.random, dialect) {
    Member member;
    member.address = self;
    member.incarnation = 7;
    member.holder = StorageNodeId("holder");
    Members members;
    members.all[self] = member;
    shared_state.members.set(members);
    put("roster", R"({"version":1,"seats":[{"holder":"holder","address":"10.0.0.2:1","zone":"h"}]})");
    put("kind/model", "{}");
    put("lane/bulk", R"({"path":"/bulk/","kind":"model","batch":true})");
    put("runner/model-1", R"({"kind":"model","address":"10.0.1.1:80","zone":"h","slots":4})");
    put("circle/model", R"({"placers":{"model-1":{"address":"10.0.0.2:1","incarnation":7,"term":1}},"term":1})");
    shared_state.lease_until = std::chrono::microseconds(std::chrono::hours(1)).count();
    placer.start();
    for (int second = 0; second < 3; ++second) advance_second();
  }
  ~PlacerFixture() override { incarnation->alive = false; }
  void put(const std::string& key, const Bytes& value) {
    REQUIRE(apply_to_view(view, key, &value, Stamp{}));
    shared_state.configuration.set(view);
  }
  // Lets a second pass and then refreshes the load totals.
  void advance_second() {
    wait(std::chrono::seconds(1));
    shared_state.load.set({{"model", KindTotals{world.now(), {}}}});
  }
  void wait(Duration span) { world.run_until(world.now() + span); }
  void send(const Address&, Envelope envelope) override {
    if (!envelope.reply && envelope.kind == "lots.fetch") {
      ++fetches;
      ItemsReply reply;
      const auto count = std::min<std::size_t>(offered.size(), from_cbor<FetchItems>(envelope.body)->count);
      reply.items.assign(offered.begin(), offered.begin() + static_cast<std::ptrdiff_t>(count));
      offered.erase(offered.begin(), offered.begin() + static_cast<std::ptrdiff_t>(count));
      return send_reply(envelope, to_cbor(reply), fetch_reply_delay);
    }
    if (!envelope.reply && envelope.kind == "lots.finish") {
      const auto message = *from_cbor<ReportItems>(envelope.body);
      ReportItemsReply reply;
      for (std::uint32_t index = 0; index < message.items.size() && acknowledges; ++index) {
        reports.push_back(message.items[index]);
        reply.acknowledged.push_back(index);
      }
      return send_reply(envelope, to_cbor(reply));
    }
    sent.push_back(std::move(envelope));
  }
  void send_reply(const Envelope& request, Bytes body, Duration after = std::chrono::milliseconds(1)) {
    world.at(after, incarnation, [this, request, body] {
      messenger.receive(Envelope{self, 1, "placing", "lots", "reply", request.call, true, body, protocol_number});
    });
  }
  template <class Message>
  void send_message(const Message& message) {
    messenger.receive(
        Envelope{self, 7, "placing", "lots", std::string(Message::kind), 0, false, to_cbor(message), protocol_number});
  }
  static PlacedItem make_item(std::uint32_t index = 0, PartialStream part = {}) {
    return PlacedItem{"lot",
                      "bulk",
                      index,
                      65536,
                      0,
                      true,
                      "host.example",
                      LotItem{"item-" + std::to_string(index), "/bulk/x", {{"Model", "m"}}, "body", 10},
                      std::move(part)};
  }
  // Lets the placer fetch the item and send it to the runner, and returns the attempt.
  FakeRunnerClient::Attempt& dispatch(PlacedItem placed) {
    offered.push_back(std::move(placed));
    send_message(PendingItems{{{"model", 1}}, {}});
    wait(std::chrono::milliseconds(200));
    REQUIRE_FALSE(runner_client.attempts.empty());
    return runner_client.attempts.back();
  }
  // Plays the runner's response to the attempt, and returns the placer's report.
  ItemReport complete(FakeRunnerClient::Attempt& attempt, int status, const Bytes& bytes,
                      AttemptOutcome outcome = AttemptOutcome::complete, std::vector<Header> headers = {}) {
    if (status > 0) attempt.observer->on_head(status, headers);
    // Small chunks split the events.
    for (std::size_t at = 0; at < bytes.size(); at += 7) attempt.observer->on_chunk(StringView(bytes).substr(at, 7));
    attempt.observer->on_end(outcome);
    wait(std::chrono::milliseconds(200));
    REQUIRE_FALSE(reports.empty());
    return reports.back();
  }

  const Address self{"10.0.0.2:1"};
  simulate::World world{3};
  simulate::ProcessPointer incarnation = std::make_shared<simulate::ProcessState>();
  simulate::SimulatedTimers timers{world, incarnation};
  SharedState shared_state;
  ConfigurationView view;
  TestDialect dialect;
  FakeRunnerClient runner_client;
  Messenger messenger{*this, timers, self, 7, "placing"};
  std::vector<Envelope> sent;
  std::vector<PlacedItem> offered;
  std::vector<ItemReport> reports;
  Duration fetch_reply_delay = std::chrono::milliseconds(1);  // The time until a fetch is answered.
  bool acknowledges = true;
  int fetches = 0;
  ItemPlacer placer;
};

}  // namespace mothwalk
