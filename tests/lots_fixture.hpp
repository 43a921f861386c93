// A lots' owner over a kept state that a test scripts, and a placer over runners that a test plays.
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

// What is kept outlives the owners: two stages over one store are an owner and its successor.
struct KeptStore {
  std::map<std::string, Record> records;
  bool majority = true;                           // writes and questions are answered
  Duration delay = std::chrono::milliseconds(1);  // of writes
};

class OwnerFixture : public Transport {
 public:
  OwnerFixture(KeptStore& kept, std::uint64_t epoch) : store(kept), epoch_(epoch), lots(messenger, shared_state) {
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
    until_loaded(slot_count);
  }
  // Until so many slots have been loaded since the start.
  void until_loaded(std::uint64_t slots) {
    for (int count = 0; count < 300 && lots.counts().slots_loaded < slots; ++count) wait(std::chrono::milliseconds(1));
    REQUIRE(lots.counts().slots_loaded == slots);
  }
  // Takes all slots again, under a higher epoch.
  void retake(std::uint64_t epoch, Duration between = {}) {
    shared_state.owned.set(Ownership{});
    wait(std::chrono::milliseconds(60) + between);
    epoch_ = epoch;
    Ownership owned;
    for (std::uint32_t slot = 0; slot < slot_count; ++slot) owned.slots[slot] = Epoch{epoch};
    shared_state.owned.set(owned);
    const std::uint64_t before = lots.counts().slots_loaded;
    wait(std::chrono::milliseconds(60));
    until_loaded(before + slot_count);
  }
  ~OwnerFixture() override { life->alive = false; }
  void put(const std::string& key, const Bytes& value) {
    REQUIRE(put_in_view(view, key, &value, Stamp{}));
    shared_state.configuration.set(view);
  }
  void send(const Address& to, Envelope envelope) override {
    if (envelope.kind.starts_with("store."))
      return world.at(envelope.kind == "store.write" ? store.delay : std::chrono::milliseconds(1), life,
                      [this, envelope] { serve(envelope); });
    if (!envelope.reply && envelope.kind == "placing.slot") {
      asked_slots.push_back(to);
      if (holds_answer) reply(envelope, to_cbor(SlotItems{7, held}), to);
      return;
    }
    sent.push_back(std::move(envelope));
  }
  void reply(const Envelope& asked, Bytes body, const Address& from) {
    world.at(std::chrono::milliseconds(1), life, [this, asked, body, from] {
      messenger.take(Envelope{from, 1, "lots", "placing", "reply", asked.call, true, body, protocol_number});
    });
  }
  void serve(const Envelope& asked) {
    auto give = [&](Bytes body, bool error = false) {
      messenger.take(Envelope{self, 1, "lots", "store", error ? "fault" : "reply", asked.call, true, std::move(body),
                              protocol_number});
    };
    auto refuse = [&](ErrorKind kind) {
      give(to_cbor(WireError{static_cast<std::int32_t>(kind), "slot", "no", "ask again"}), true);
    };
    if (asked.kind == "store.list") {
      const auto list = *from_cbor<ListSlot>(asked.body);
      ListSlotReply records;
      for (const auto& [key, record] : store.records) {
        if (slot_of(key) != list.slot || record.removed) continue;
        const bool known = std::any_of(list.known.begin(), list.known.end(), [&](const WrittenKey& each) {
          return each.key == key && each.written == record.written;
        });
        known ? records.unchanged.push_back(key) : records.records.push_back(record);
      }
      return give(to_cbor(records));
    }
    if (asked.kind == "store.confirmslot")
      return store.majority ? give(to_cbor(ConfirmReply{})) : refuse(ErrorKind::busy);
    if (!store.majority) return refuse(ErrorKind::unknown);
    const auto write = *from_cbor<Write>(asked.body);
    growth = write.growth;
    ++writes;
    Record& record = store.records[write.key];
    if (write.expected && *write.expected != record.stamp.version.value)
      return record.token == write.token ? give(to_cbor(WriteReply{record.stamp, record.entries.size()}))
                                         : refuse(ErrorKind::stale);
    record.key = write.key;
    record.removed = write.removed;
    record.token = write.token;
    if (write.head) record.head = *write.head;
    record.entries.insert(record.entries.end(), write.appends.begin(), write.appends.end());
    record.stamp = record.written = Stamp{Epoch{epoch_}, record.stamp.version.next()};
    give(to_cbor(WriteReply{record.stamp, record.entries.size()}));
  }
  void wait(Duration span) { world.run_until(world.now() + span); }
  // Asks the owner, and gives the call's number.
  template <class Message>
  std::uint64_t call(const Message& message, const Address& from = Address("10.0.0.2:1")) {
    messenger.take(Envelope{from, 7, "lots", "placing", std::string(Message::kind), ++calls, false, to_cbor(message),
                            protocol_number});
    return calls;
  }
  const Envelope* answer_to(std::uint64_t number) const {
    for (const auto& each : sent)
      if (each.reply && each.call == number) return &each;
    return nullptr;
  }
  template <class Message>
  Result<typename Message::Reply> ask(const Message& message, Duration span = std::chrono::milliseconds(50)) {
    const std::uint64_t number = call(message);
    wait(span);
    const Envelope* answer = answer_to(number);
    REQUIRE(answer != nullptr);
    if (answer->kind == "fault") return error_in(*answer);
    auto reply = from_cbor<typename Message::Reply>(answer->body);
    REQUIRE(reply);
    return *reply;
  }
  template <class Message>
  typename Message::Reply good(const Message& message, Duration span = std::chrono::milliseconds(50)) {
    auto result = ask(message, span);
    if (auto error = error_of(result)) FAIL(error->message);
    return std::get<0>(result);
  }
  template <class Message>
  ErrorKind error_kind_of(const Message& message) {
    auto result = ask(message);
    REQUIRE(error_of(result) != nullptr);
    return error_of(result)->kind;
  }
  static LotSpecification batch(std::size_t count, const Bytes& body = "body") {
    LotSpecification head;
    head.lane = "bulk";
    head.batch = true;
    head.host = "host.example";
    head.completion = std::chrono::seconds(8);
    head.retention = std::chrono::seconds(20);
    head.attempts = 2;
    for (std::size_t index = 0; index < count; ++index)
      head.items.push_back(LotItem{"item-" + std::to_string(index), "/bulk/" + std::to_string(index), {}, body, 10});
    return head;
  }
  std::vector<PlacedItem> fetch(std::uint32_t count) { return good(FetchItems{"model", "model-1", count, 1, 0}).items; }
  bool finish(const PlacedItem& item, const std::string& outcome, const Bytes& body = {}, StreamPart part = {},
              std::uint32_t failures = 0) {
    auto result = ask(
        FinishItems{{FinishItem{item.lot, item.item, item.attempt, outcome, 200, body, std::move(part), failures}}});
    return error_of(result) == nullptr && std::get<FinishReply>(result).heard.size() == 1;
  }
  LotPage read(const std::string& id, std::uint32_t after = 0, std::uint32_t limit = 1000) {
    return good(ReadLot{id, after, limit, {}});
  }

  const Address self{"10.0.0.1:1"};
  KeptStore& store;
  simulate::World world{3};
  simulate::LifePointer life = std::make_shared<simulate::Life>();
  simulate::SimulatedTimers timers{world, life};
  SharedState shared_state;
  Members members;
  ConfigurationView view;
  Messenger messenger{*this, timers, self, 1, "lots"};
  std::vector<Envelope> sent;
  std::vector<Address> asked_slots;
  bool holds_answer = true;
  std::vector<ItemName> held;  // what the placers say that they hold
  std::uint64_t calls = 1000, writes = 0;
  std::uint64_t growth = 0;  // as the last write told it

 private:
  std::uint64_t epoch_;

 public:
  Lots lots;
};

// The dialect of a test: the item's id and the last event stand in headers of their own.
class TestDialect : public PlainDialect {
 public:
  void write_attempt(AttemptRequest& request, const RequestInfo& facts, const AttemptInfo& attempt) const override {
    request.headers.push_back({"Id", facts.id});
    request.headers.push_back({"For", attempt.runner});
    if (!attempt.version.empty()) request.headers.push_back({"Expected", attempt.version});
    if (attempt.last_event) request.headers.push_back({"After", std::to_string(*attempt.last_event)});
  }
  ResponseInfo read_answer(int status, const std::vector<Header>& headers, const RequestInfo& facts) const override {
    ResponseInfo answer;
    answer.not_run = header_of(headers, "Not-Run") != nullptr;
    if (const auto* id = header_of(headers, "Id")) answer.foreign = *id != facts.id;
    if (const auto* version = header_of(headers, "Version")) answer.version = *version;
    answer.other_instance = status == 421;
    return answer;
  }
  StringView version_field() const override { return "weights"; }
};

class PlayedExchange : public RunnerClient {
 public:
  struct Attempt {
    AttemptRequest request;
    std::shared_ptr<AttemptObserver> watcher;
    bool cancelled = false;
    std::string header(StringView name) const {
      const auto* value = header_of(request.headers, name);
      return value == nullptr ? "" : *value;
    }
  };
  Id start(const AttemptRequest& request, std::shared_ptr<AttemptObserver> watcher) override {
    attempts.push_back(Attempt{request, std::move(watcher), false});
    return attempts.size();
  }
  void cancel(Id id) override { attempts[id - 1].cancelled = true; }
  void hold(Id, bool) override {}
  std::deque<Attempt> attempts;
};

class PlacerFixture : public Transport {
 public:
  PlacerFixture() : placing(messenger, shared_state, exchange, world.random, dialect) {
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
    placing.start();
    for (int second = 0; second < 3; ++second) pass_second();
  }
  ~PlacerFixture() override { life->alive = false; }
  void put(const std::string& key, const Bytes& value) {
    REQUIRE(put_in_view(view, key, &value, Stamp{}));
    shared_state.configuration.set(view);
  }
  void pass_second() {
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
      return answer(envelope, to_cbor(reply), delay);
    }
    if (!envelope.reply && envelope.kind == "lots.finish") {
      const auto message = *from_cbor<FinishItems>(envelope.body);
      FinishReply reply;
      for (std::uint32_t place = 0; place < message.items.size() && hears; ++place) {
        finished.push_back(message.items[place]);
        reply.heard.push_back(place);
      }
      return answer(envelope, to_cbor(reply));
    }
    sent.push_back(std::move(envelope));
  }
  void answer(const Envelope& asked, Bytes body, Duration after = std::chrono::milliseconds(1)) {
    world.at(after, life, [this, asked, body] {
      messenger.take(Envelope{self, 1, "placing", "lots", "reply", asked.call, true, body, protocol_number});
    });
  }
  template <class Message>
  void tell(const Message& message) {
    messenger.take(
        Envelope{self, 7, "placing", "lots", std::string(Message::kind), 0, false, to_cbor(message), protocol_number});
  }
  static PlacedItem item(std::uint32_t index = 0, StreamPart part = {}) {
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
  // Has the placer fetch and send what is offered; gives the attempt.
  PlayedExchange::Attempt& offer(PlacedItem placed) {
    offered.push_back(std::move(placed));
    tell(PendingItems{{{"model", 1}}, {}});
    wait(std::chrono::milliseconds(200));
    REQUIRE_FALSE(exchange.attempts.empty());
    return exchange.attempts.back();
  }
  FinishItem end(PlayedExchange::Attempt& attempt, int status, const Bytes& bytes,
                 AttemptOutcome how = AttemptOutcome::whole, std::vector<Header> headers = {}) {
    if (status > 0) attempt.watcher->on_head(status, headers);
    // In small pieces, so that events come in parts.
    for (std::size_t at = 0; at < bytes.size(); at += 7) attempt.watcher->on_chunk(StringView(bytes).substr(at, 7));
    attempt.watcher->on_end(how);
    wait(std::chrono::milliseconds(200));
    REQUIRE_FALSE(finished.empty());
    return finished.back();
  }

  const Address self{"10.0.0.2:1"};
  simulate::World world{3};
  simulate::LifePointer life = std::make_shared<simulate::Life>();
  simulate::SimulatedTimers timers{world, life};
  SharedState shared_state;
  ConfigurationView view;
  TestDialect dialect;
  PlayedExchange exchange;
  Messenger messenger{*this, timers, self, 7, "placing"};
  std::vector<Envelope> sent;
  std::vector<PlacedItem> offered;
  std::vector<FinishItem> finished;
  Duration delay = std::chrono::milliseconds(1);  // of the answers to fetches
  bool hears = true;
  int fetches = 0;
  ItemPlacer placing;
};

}  // namespace mothwalk
