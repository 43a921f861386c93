// The rules of the judge.
#include <algorithm>
#include <fstream>

#include "stand_ins/judge.hpp"

namespace mothwalk {

std::vector<json::object> read_ledger(const std::string& path) {
  std::vector<json::object> lines;
  std::ifstream stream(path);
  std::string line;
  while (std::getline(stream, line)) {
    auto parsed = parse_json(line);
    // A killed writer may leave half a line; every other line is whole.
    if (!error_of(parsed) && std::get<json::value>(parsed).is_object())
      lines.push_back(std::get<json::value>(parsed).as_object());
  }
  return lines;
}

namespace {
std::string text(const json::object& line, StringView name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}
std::int64_t number(const json::object& line, StringView name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}
bool flag(const json::object& line, StringView name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool();
}
}  // namespace

Verdict judge(const std::vector<json::object>& lines, const Limits& limits) {
  Verdict verdict;

  std::map<std::string, std::vector<const json::object*>> runs;
  std::map<std::string, const json::object*> whole_runs, all_runs;
  for (const auto& line : lines) {
    if (text(line, "what") == "run") {
      runs[text(line, "id")].push_back(&line);
      all_runs[text(line, "run")] = &line;
    }
    if (text(line, "what") == "end" && text(line, "how") == "whole") whole_runs[text(line, "run")] = &line;
  }
  auto broken = [&](const std::string& rule, const std::string& evidence) {
    verdict.broken.push_back(rule + ": " + evidence);
  };
  std::set<std::string> acknowledged, done;
  for (const auto& line : lines) {
    const std::string what = text(line, "what"), id = text(line, "id");
    if (what == "request" || what == "result") {
      const std::string outcome = text(line, "outcome"), fault = text(line, "fault"), run = text(line, "run");
      const std::string load = what == "request" ? text(line, "load") : "items";
      ++verdict.counts[load + " " + outcome];
      if (what == "request" && outcome == "answer") {
        verdict.took[load].push_back(number(line, "took"));
        verdict.first[load].push_back(number(line, "first"));
      }
      if (what == "result") verdict.took["items"].push_back(number(line, "after"));
      if (!fault.empty()) broken("wrong answer", id + ": " + fault);
      const std::size_t times = runs.contains(id) ? runs[id].size() : 0;
      if (!flag(line, "repeatable") && times > 1)
        broken("unrepeatable request run twice", id + " ran " + std::to_string(times) + " times");
      if ((outcome == "refused" || outcome == "expired" || outcome == "cancelled") && times > 0 &&
          (what == "request" || !flag(line, "repeatable")))
        broken("refusal of work that runs", id + " was " + outcome + " and ran");
      if (what == "result" && outcome == "answer" && whole_runs.contains(run)) {
        const std::int64_t lag = number(line, "at") - number(*whole_runs.at(run), "at");
        verdict.took["result listed after its run's end"].push_back(lag);
        if (lag > limits.result_lag)
          broken("a new result was not readable in time",
                 id + " after " + std::to_string(lag) + " ms, over " + std::to_string(limits.result_lag) + " ms");
      }
      if (what == "request") {
        ++verdict.proper;
        verdict.refused += outcome == "refused";
      }
      if (outcome == "answer" && (what == "result" || number(line, "status") == 200) && !whole_runs.contains(run))
        broken("false success", id + " has no whole run '" + run + "'");
      if (what == "request" && outcome == "refused" && number(line, "status") == 503 &&
          text(line, "retry_after").empty())
        broken("refusal without Retry-After", id);
    } else if (what == "lot") {
      acknowledged.insert(id);
      ++verdict.counts["lots acknowledged"];
      verdict.took["lots acknowledged"].push_back(number(line, "took"));
    } else if (what == "lot_done") {
      done.insert(id);
      ++verdict.counts["lots done"];
      verdict.took["lots done"].push_back(number(line, "took"));
    } else if (what == "lot_vanished") {
      broken("lot vanished", id);
    } else if (what == "result_moved") {
      broken("listed result moved", json::serialize(line));
    } else if (what == "lot_unfinished") {
      broken("lot never finished",
             id + " has " + std::to_string(number(line, "results")) + " of " + std::to_string(number(line, "items")));
    } else if (what == "lot_given_up" || what == "lot_try") {
      ++verdict.counts[what];
    } else if (what == "cancelled") {
      for (const auto& [item, list] : runs)
        if (item.starts_with(id + "/"))
          for (const auto* run : list)
            if (number(*run, "at") > number(line, "at") + 3000) broken("item of a cancelled lot started late", item);
    } else if (what == "leaving" || what == "evacuated") {
      const std::int64_t limit = what == "leaving" ? 3000 : 5000;
      const auto* until = line.if_contains("until");
      std::int64_t last = 0;
      for (const auto& [run_id, run] : all_runs) {
        const auto* runners = line.if_contains("runners");
        bool meant = false;
        for (const auto& runner : runners->as_array()) meant = meant || text(*run, "runner") == runner.as_string();
        const std::int64_t late = number(*run, "at") - number(line, "acknowledged");
        if (!meant || (until != nullptr && number(*run, "at") > until->to_number<std::int64_t>())) continue;
        last = std::max(last, late);
        if (late > limit)
          broken(what == "leaving" ? "work to a leaving runner" : "work to an evacuated zone",
                 run_id + " after " + std::to_string(late) + " ms");
      }
      verdict.took[what + ": last work sent after"].push_back(last);
    } else if (what == "observed") {
      verdict.took[text(line, "name")].push_back(number(line, "took"));
      const auto* limit = line.if_contains("limit");
      if (limit != nullptr && number(line, "took") > limit->to_number<std::int64_t>())
        broken(text(line, "name"), std::to_string(number(line, "took")) + " ms, over " +
                                       std::to_string(limit->to_number<std::int64_t>()) + " ms");
    }
  }
  if (verdict.refused * 1000 > verdict.proper * limits.refused_per_thousand)
    broken("proper requests turned away", std::to_string(verdict.refused) + " of " + std::to_string(verdict.proper) +
                                              ", over " + std::to_string(limits.refused_per_thousand) +
                                              " in a thousand");
  for (const auto& id : acknowledged)
    if (!done.contains(id)) ++verdict.counts["lots not read to the end"];
  for (const auto& [run, line] : all_runs) (void)line, ++verdict.counts["runs"];
  return verdict;
}

}  // namespace mothwalk
