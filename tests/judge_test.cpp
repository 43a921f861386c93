// Tests the judge, which reads the ledger of a run and reports violated rules: each rule gets a ledger that violates
// it, and some also one that does not.
#include <catch2/catch.hpp>

#include "stand_ins/judge.hpp"

using namespace mothwalk;

namespace {
std::vector<json::object> ledger(std::initializer_list<const char*> texts) {
  std::vector<json::object> list;
  for (const char* text : texts) list.push_back(std::get<json::value>(parse_json(text)).as_object());
  return list;
}
bool reports(const Verdict& verdict, const std::string& rule) {
  for (const auto& each : verdict.broken)
    if (each.starts_with(rule)) return true;
  return false;
}
constexpr const char* first_run = R"({"what":"run","id":"a","run":"r1","runner":"m","at":100})";
constexpr const char* second_run = R"({"what":"run","id":"a","run":"r2","runner":"m","at":200})";
constexpr const char* first_run_complete = R"({"what":"end","id":"a","run":"r1","how":"whole","at":150})";
}  // namespace

TEST_CASE("a ledger without violations gives an empty verdict") {
  CHECK(
      judge(
          ledger(
              {first_run, first_run_complete,
               R"({"what":"request","id":"a","load":"l","repeatable":false,"status":200,"outcome":"answer","fault":"","run":"r1"})"}))
          .broken.empty());
  CHECK(
      judge(
          ledger(
              {first_run, second_run, first_run_complete,
               R"({"what":"request","id":"a","load":"l","repeatable":true,"status":200,"outcome":"answer","fault":"","run":"r1"})"}))
          .broken.empty());
}

TEST_CASE("each violated rule is reported by its name") {
  CHECK(reports(
      judge(ledger(
          {first_run, second_run,
           R"({"what":"request","id":"a","load":"l","repeatable":false,"outcome":"unknown","fault":"","run":""})"})),
      "unrepeatable request run twice"));
  CHECK(reports(
      judge(ledger(
          {first_run,
           R"({"what":"request","id":"a","load":"l","repeatable":true,"status":503,"retry_after":"1","outcome":"refused","fault":"","run":""})"})),
      "refusal of work that runs"));
  CHECK(reports(
      judge(ledger(
          {first_run,
           R"({"what":"request","id":"a","load":"l","repeatable":true,"status":200,"outcome":"answer","fault":"","run":"r1"})"})),
      "false success"));
  CHECK(reports(
      judge(ledger(
          {first_run, first_run_complete,
           R"({"what":"request","id":"a","load":"l","repeatable":true,"status":200,"outcome":"answer","fault":"spliced runs","run":"r1"})"})),
      "wrong answer"));
  CHECK(reports(
      judge(ledger(
          {R"({"what":"request","id":"a","load":"l","repeatable":true,"status":503,"retry_after":"","outcome":"refused","fault":"","run":""})"})),
      "refusal without Retry-After"));
  CHECK(reports(judge(ledger({R"({"what":"lot_vanished","id":"x"})"})), "lot vanished"));
  CHECK(reports(judge(ledger({R"({"what":"result_moved","id":"x"})"})), "listed result moved"));
  CHECK(reports(judge(ledger({R"({"what":"lot_unfinished","id":"x","results":1,"items":2})"})), "lot never finished"));
  CHECK(reports(
      judge(ledger(
          {first_run,
           R"({"what":"result","id":"a","lot":"x","repeatable":false,"outcome":"cancelled","fault":"","run":""})"})),
      "refusal of work that runs"));
  const char* late_run = R"({"what":"run","id":"x/1","run":"r9","runner":"m","at":4000})";
  CHECK(reports(judge(ledger({late_run, R"({"what":"cancelled","id":"x","at":900})"})),
                "item of a cancelled lot started late"));
  CHECK_FALSE(
      reports(judge(ledger({late_run, R"({"what":"cancelled","id":"x","at":1100})"})), "item of a cancelled lot"));
  CHECK(reports(judge(ledger({late_run, R"({"what":"leaving","runners":["m"],"acknowledged":900,"until":9000})"})),
                "work to a leaving runner"));
  CHECK_FALSE(
      reports(judge(ledger({late_run, R"({"what":"leaving","runners":["other"],"acknowledged":900,"until":9000})"})),
              "work to a leaving runner"));
  CHECK(reports(judge(ledger({R"({"what":"run","id":"x/1","run":"r9","runner":"m","at":6000})",
                              R"({"what":"evacuated","runners":["m"],"acknowledged":900,"until":9000})"})),
                "work to an evacuated zone"));
  CHECK(reports(judge(ledger({R"({"what":"observed","name":"service back","took":13000,"limit":12000})"})),
                "service back"));
}
