// Encoding of records: round trips, strict reading with field paths, and invalid input.
#include <catch2/catch.hpp>

#include "coding/cbor.hpp"
#include "coding/json.hpp"
#include "control/control.hpp"
#include "interfaces/interfaces.hpp"
#include "lots/messages.hpp"

using namespace mothwalk;

TEST_CASE("a record is unchanged by a round trip through CBOR, and unknown fields are skipped") {
  LotEntry entry;
  entry.what = "result";
  entry.item = 7;
  entry.elapsed = Duration{-5};
  entry.status = -3;
  entry.body = Bytes("a\0b", 3);
  auto decoded = from_cbor<LotEntry>(to_cbor(entry));
  REQUIRE(decoded);
  CHECK(decoded->what == "result");
  CHECK(decoded->elapsed == Duration{-5});
  CHECK(decoded->status == -3);
  CHECK(decoded->body == Bytes("a\0b", 3));
  // As when an older daemon reads the message of a newer one: only the fields that both know are read.
  auto shorter = from_cbor<ItemAttemptId>(to_cbor(entry));
  REQUIRE(shorter);
  CHECK(shorter->item == 7);
}

namespace {
struct RenamedMembers {
  std::uint32_t count = 0;
  std::vector<std::string> labels;
  std::optional<bool> enabled;
  MOTHWALK_FIELDS_AS("number", count, "names", labels, "on", enabled)
};
// The same record, whose members have the external names of the one above.
struct OwnNames {
  std::uint32_t number = 0;
  std::vector<std::string> names;
  std::optional<bool> on;
  MOTHWALK_FIELDS(number, names, on)
};
}  // namespace

TEST_CASE("a record with external names that differ from its members writes and reads only the external names") {
  const RenamedMembers renamed{7, {"a", "b"}, true};
  const OwnNames own{7, {"a", "b"}, true};
  CHECK(to_cbor(renamed) == to_cbor(own));
  const auto from_own = from_cbor<RenamedMembers>(to_cbor(own));
  REQUIRE(from_own);
  CHECK(from_own->count == 7);
  CHECK(from_own->labels == std::vector<std::string>{"a", "b"});
  CHECK(from_own->enabled == true);
  CHECK(to_cbor(renamed).find("count") == Bytes::npos);
  CHECK(to_cbor(renamed).find("number") != Bytes::npos);

  CHECK(json::serialize(to_json(renamed)) == R"({"number":7,"names":["a","b"],"on":true})");
  const auto read = from_json<RenamedMembers>(R"({"number":9,"names":["c"],"on":false})");
  REQUIRE(std::holds_alternative<RenamedMembers>(read));
  CHECK(std::get<RenamedMembers>(read).count == 9);
  CHECK(std::get<RenamedMembers>(read).labels == std::vector<std::string>{"c"});
  CHECK(std::get<RenamedMembers>(read).enabled == false);
  const auto inner = from_json<RenamedMembers>(R"({"count":9})");
  REQUIRE(error_of(inner) != nullptr);
  CHECK(error_of(inner)->field == "count");
  CHECK(error_of(inner)->remedy == "use only: number, names, on");
}

TEST_CASE("truncated and corrupted envelopes are refused or read, without a crash") {
  Envelope envelope{Address("10.0.0.1:1"), 5, "store", "lots", "store.write", 9, false, Bytes(40, 'x'),
                    protocol_number};
  const Bytes bytes = to_cbor(envelope);
  for (std::size_t length = 0; length < bytes.size(); ++length)
    CHECK_FALSE(from_cbor<Envelope>(StringView(bytes).substr(0, length)));
  for (std::size_t at = 0; at < bytes.size(); ++at)
    for (int mask : {0x01, 0x20, 0x80, 0xff}) {
      Bytes corrupted = bytes;
      corrupted[at] = static_cast<char>(corrupted[at] ^ mask);
      (void)from_cbor<Envelope>(corrupted);
    }
  CHECK_FALSE(from_cbor<Envelope>("GET / HTTP/1.1\r\n\r\n"));
  // An array that states 2^60 members.
  CHECK_FALSE(from_cbor<std::vector<std::string>>(Bytes("\x9b\x10\x00\x00\x00\x00\x00\x00\x00", 9)));
}

TEST_CASE("JSON is read strictly, and an error names the field and the remedy") {
  const ConfigurationView empty;
  ConfigurationView view;
  const Bytes kind = R"({})";
  REQUIRE(apply_to_view(view, "kind/model", &kind, Stamp{}));
  struct InvalidDocument {
    std::string type, name, text, field;
  };
  const std::vector<InvalidDocument> cases{
      {"lane", "a", R"({"path":"/a","kind":"model","retires":1})", "retires"},
      {"lane", "a", R"({"path":7,"kind":"model"})", "path"},
      {"lane", "a", R"({"path":"a","kind":"model"})", "path"},
      {"lane", "a", R"({"path":"/lots/x","kind":"model"})", "path"},
      {"lane", "a", R"({"path":"/a","kind":"nobody"})", "kind"},
      {"lane", "a", R"({"path":"/a","kind":"model","retries":11})", "retries"},
      {"lane", "a", R"({"path":"/a","kind":"model","retries":-1})", "retries"},
      {"lane", "a", R"({"path":"/a","kind":"model","waiting":0})", "waiting"},
      {"lane", "a", R"({"path":"/a","kind":"model","first_piece":9000,"whole":100})", "whole"},
      {"lane", "b c", R"({"path":"/a","kind":"model"})", "name"},
      {"kind", "k", R"({"circle":{"target":0}})", "circle.target"},
      {"kind", "k", R"({"circle":{"flor":1}})", "circle.flor"},
      {"kind", "k", R"({"refusals":[429,200]})", "refusals[1]"},
      {"runner", "r", R"({"kind":"model","address":"somewhere:80","zone":"h"})", "address"},
      {"runner", "r", R"({"kind":"model","address":"10.0.0.1:99999","zone":"h"})", "address"},
      {"runner", "r", R"({"kind":"model","address":"10.0.0.1:80","zone":""})", "zone"},
      {"runner", "r", R"({"kind":"model","address":"10.0.0.1:80","zone":"h","slots":0})", "slots"},
      {"lots", "other", R"({})", "name"},
      {"lane", "a", R"({"path":)", "body"},
      {"lane", "a", R"([])", ""},
  };
  for (const auto& each : cases) {
    auto checked = check_document(each.type, each.name, each.text, view);
    INFO(each.text);
    REQUIRE(error_of(checked) != nullptr);
    CHECK(error_of(checked)->field == each.field);
    CHECK_FALSE(error_of(checked)->remedy.empty());
  }
  CHECK(error_of(check_document("lane", "a", R"({"path":"/a","kind":"model"})", view)) == nullptr);
  CHECK(error_of(check_document("lane", "a", R"({"path":"/a","kind":"model"})", empty)) != nullptr);
  CHECK(error_of(check_document("teapot", "a", "{}", view))->kind == ErrorKind::unknown_name);
  CHECK(error_of(read_lot(R"({"lane":"a","items":[1],"due":5})"))->field == "due");
  CHECK(error_of(read_lot(R"({"lane":"a"})"))->field == "items");
  std::string deep(100, '[');
  CHECK(error_of(parse_json(deep)) != nullptr);
}

TEST_CASE("the last zone that has runners can't be evacuated, and a kind in use can't be removed") {
  ConfigurationView view;
  const Bytes kind = "{}", runner = R"({"kind":"model","address":"10.0.0.1:80","zone":"north"})",
              lane = R"({"path":"/a","kind":"model"})";
  REQUIRE(apply_to_view(view, "kind/model", &kind, Stamp{}));
  REQUIRE(apply_to_view(view, "runner/one", &runner, Stamp{}));
  CHECK(error_of(check_document("zone", "north", R"({"evacuated":true})", view))->kind == ErrorKind::conflict);
  CHECK(error_of(check_document("zone", "south", R"({"evacuated":true})", view)) == nullptr);
  CHECK(error_of(check_removal("kind", "model", view))->kind == ErrorKind::conflict);
  REQUIRE(apply_to_view(view, "lane/a", &lane, Stamp{}));
  REQUIRE(apply_to_view(view, "runner/one", nullptr, Stamp{}));
  CHECK(error_of(check_removal("kind", "model", view))->message.find("lane 'a'") != std::string::npos);
}

TEST_CASE("a storage node is not retired if fewer than three voters would remain") {
  ConfigurationView view;
  for (const char* address : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
    view.roster.voters.push_back(Voter{StorageNodeId(address), Address(address), ZoneId("h")});
  CHECK(error_of(check_document("holder", "10.0.0.1:1", R"({"retired":true})", view))->kind == ErrorKind::conflict);
  CHECK(error_of(check_document("holder", "10.0.0.9:1", R"({"retired":true})", view)) == nullptr);
  view.roster.voters.push_back(Voter{StorageNodeId("x"), Address("10.0.0.4:1"), ZoneId("h")});
  CHECK(error_of(check_document("holder", "10.0.0.1:1", R"({"retired":true})", view)) == nullptr);
  const Bytes retired = R"({"retired":true})";
  REQUIRE(apply_to_view(view, "holder/10.0.0.4:1", &retired, Stamp{}));
  CHECK(error_of(check_document("holder", "10.0.0.1:1", R"({"retired":true})", view)) != nullptr);
}

TEST_CASE("a voter that is joining owns a slot only if no other voter can") {
  Roster roster{Version{3}, {}};
  Members members;
  for (const char* name : {"a", "b", "c"}) {
    roster.voters.push_back(Voter{StorageNodeId(name), Address(name), ZoneId("h")});
    members.all[Address(name)].holder = StorageNodeId(name);
  }
  roster.voters[1].joining = true;
  for (std::uint32_t slot = 0; slot < slot_count; ++slot) {
    CHECK(slot_order(roster, slot).back()->holder == StorageNodeId("b"));
    CHECK(slot_owner(roster, members, slot)->holder != StorageNodeId("b"));
  }
  members.all.erase(Address("a"));
  members.all.erase(Address("c"));
  CHECK(slot_owner(roster, members, 0)->holder == StorageNodeId("b"));
}

TEST_CASE("a path leads to the lane with the longest matching path") {
  ConfigurationView view;
  for (auto [key, value] : {std::pair<const char*, const char*>{"lane/a", R"({"path":"/a","kind":"k"})"},
                            {"lane/ab", R"({"path":"/a/b","kind":"k"})"}}) {
    const Bytes bytes = value;
    REQUIRE(apply_to_view(view, key, &bytes, Stamp{}));
  }
  std::string name;
  REQUIRE(view.lane_for("/a/b/c", &name));
  CHECK(name == "ab");
  REQUIRE(view.lane_for("/a?x=1", &name));
  CHECK(name == "a");
  CHECK(view.lane_for("/abc", &name) == nullptr);
}

TEST_CASE("a runner's generation never decreases, and one that the circle does not know makes the runner cold") {
  ConfigurationView view;
  const Bytes kind = "{}", spec = R"({"kind":"model","address":"10.0.0.1:80","zone":"h","generation":4})";
  REQUIRE(apply_to_view(view, "kind/model", &kind, Stamp{}));
  REQUIRE(apply_to_view(view, "runner/one", &spec, Stamp{}));
  const auto lower_generation =
      check_document("runner", "one", R"({"kind":"model","address":"10.0.0.1:80","zone":"h","generation":3})", view);
  REQUIRE(error_of(lower_generation) != nullptr);
  CHECK(error_of(lower_generation)->field == "generation");
  CHECK(error_of(check_document("runner", "one", spec, view)) == nullptr);
  Circle circle;
  circle.members = circle.warm = {RunnerId("one")};
  CHECK(circle.takes_full_share("one", 0));
  CHECK_FALSE(circle.takes_full_share("one", 4));
  circle.generations["one"] = 4;
  CHECK(circle.takes_full_share("one", 4));
}

TEST_CASE("a result that is not text is listed completely, in base64") {
  CHECK(base64("a") == "YQ==");
  CHECK(base64("ab") == "YWI=");
  CHECK(base64("abc") == "YWJj");
  LotPage page;
  page.results = {LotResult{0, 0, "answer", 200, "plain \u00e9"},
                  LotResult{1, 1, "answer", 200, Bytes("\xff\x00z", 3)}};
  const auto carried = from_cbor<LotPage>(to_cbor(page));
  REQUIRE(carried);
  const json::value text = page_json(*carried);
  CHECK(text.at("results").at(0).at("body") == "plain \u00e9");
  CHECK(text.at("results").at(0).as_object().if_contains("encoding") == nullptr);
  CHECK(text.at("results").at(1).at("body") == "/wB6");
  CHECK(text.at("results").at(1).at("encoding") == "base64");
}

TEST_CASE("an aim names an existing lane and valid fractions, and its lane cannot be removed") {
  ConfigurationView view;
  const Bytes kind = "{}", lane = R"({"path":"/pay","kind":"model"})", aim = R"({"lane":"pay"})";
  REQUIRE(apply_to_view(view, "kind/model", &kind, Stamp{}));
  REQUIRE(apply_to_view(view, "lane/pay", &lane, Stamp{}));
  for (const auto& [text, field] : {std::pair<StringView, StringView>{R"({"lane":"none"})", "lane"},
                                    {R"({"lane":"pay","answered":1.1})", "answered"},
                                    {R"({"lane":"pay","in_time":0})", "in_time"},
                                    {R"({"lane":"pay","first_piece":0})", "first_piece"}}) {
    const auto checked = check_document("aim", "swift", text, view);
    REQUIRE(error_of(checked) != nullptr);
    CHECK(error_of(checked)->field == field);
  }
  CHECK(error_of(check_document("aim", "swift", aim, view)) == nullptr);
  CHECK(error_of(check_removal("lane", "pay", view)) == nullptr);
  REQUIRE(apply_to_view(view, "aim/swift", &aim, Stamp{}));
  CHECK(error_of(check_removal("lane", "pay", view)) != nullptr);
}
