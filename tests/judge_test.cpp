// Guards each rule of the judge: a history that violates the rule is reported, and a correct history is not.
#include <catch2/catch.hpp>

#include "stand_ins/judge.hpp"

using namespace mothwalk;

namespace {
std::vector<json::object> parse_records(std::initializer_list<const char*> texts) {
  std::vector<json::object> records;
  for (const char* text : texts) records.push_back(std::get<json::value>(parse_json(text)).as_object());
  return records;
}
bool reports(const Verdict& verdict, const std::string& rule) {
  for (const auto& violation : verdict.violations)
    if (violation.starts_with(rule)) return true;
  return false;
}
constexpr const char* run = R"({"what":"run","id":"a","run":"r1","runner":"m","at":100})";
constexpr const char* second_run = R"({"what":"run","id":"a","run":"r2","runner":"m","at":200})";
constexpr const char* complete_end = R"({"what":"end","id":"a","run":"r1","how":"whole","at":150})";
}  // namespace

TEST_CASE("the judge reports no violation in a correct history") {
  CHECK(
      judge(
          parse_records(
              {run, complete_end,
               R"({"what":"request","id":"a","load":"l","repeatable":false,"status":200,"outcome":"answer","fault":"","run":"r1"})"}))
          .violations.empty());
  CHECK(
      judge(
          parse_records(
              {run, second_run, complete_end,
               R"({"what":"request","id":"a","load":"l","repeatable":true,"status":200,"outcome":"answer","fault":"","run":"r1"})"}))
          .violations.empty());
}

TEST_CASE("the judge reports each rule that a history violates") {
  CHECK(reports(
      judge(parse_records(
          {run, second_run,
           R"({"what":"request","id":"a","load":"l","repeatable":false,"outcome":"unknown","fault":"","run":""})"})),
      "unrepeatable request run twice"));
  CHECK(reports(
      judge(parse_records(
          {run,
           R"({"what":"request","id":"a","load":"l","repeatable":true,"status":503,"retry_after":"1","outcome":"refused","fault":"","run":""})"})),
      "refusal of work that runs"));
  CHECK(reports(
      judge(parse_records(
          {run,
           R"({"what":"request","id":"a","load":"l","repeatable":true,"status":200,"outcome":"answer","fault":"","run":"r1"})"})),
      "false success"));
  CHECK(reports(
      judge(parse_records(
          {run, complete_end,
           R"({"what":"request","id":"a","load":"l","repeatable":true,"status":200,"outcome":"answer","fault":"spliced runs","run":"r1"})"})),
      "wrong answer"));
  CHECK(reports(
      judge(parse_records(
          {R"({"what":"request","id":"a","load":"l","repeatable":true,"status":503,"retry_after":"","outcome":"refused","fault":"","run":""})"})),
      "refusal without Retry-After"));
  CHECK(reports(judge(parse_records({R"({"what":"lot_vanished","id":"x"})"})), "lot vanished"));
  CHECK(reports(judge(parse_records({R"({"what":"result_moved","id":"x"})"})), "listed result moved"));
  CHECK(reports(judge(parse_records({R"({"what":"lot_unfinished","id":"x","results":1,"items":2})"})),
                "lot never finished"));
  CHECK(reports(
      judge(parse_records(
          {run,
           R"({"what":"result","id":"a","lot":"x","repeatable":false,"outcome":"cancelled","fault":"","run":""})"})),
      "refusal of work that runs"));
  const char* late_run = R"({"what":"run","id":"x/1","run":"r9","runner":"m","at":4000})";
  CHECK(reports(judge(parse_records({late_run, R"({"what":"cancelled","id":"x","at":900})"})),
                "item of a cancelled lot started late"));
  CHECK_FALSE(reports(judge(parse_records({late_run, R"({"what":"cancelled","id":"x","at":1100})"})),
                      "item of a cancelled lot"));
  CHECK(
      reports(judge(parse_records({late_run, R"({"what":"leaving","runners":["m"],"acknowledged":900,"until":9000})"})),
              "work to a leaving runner"));
  CHECK_FALSE(reports(
      judge(parse_records({late_run, R"({"what":"leaving","runners":["other"],"acknowledged":900,"until":9000})"})),
      "work to a leaving runner"));
  CHECK(reports(judge(parse_records({R"({"what":"run","id":"x/1","run":"r9","runner":"m","at":6000})",
                                     R"({"what":"evacuated","runners":["m"],"acknowledged":900,"until":9000})"})),
                "work to an evacuated zone"));
  CHECK(reports(judge(parse_records({R"({"what":"observed","name":"service back","took":13000,"limit":12000})"})),
                "service back"));
}
