// Reads ledgers and checks their records against the rules.
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
    // A process that was killed while writing may leave an incomplete line, which is skipped.
    if (!error_of(parsed) && std::get<json::value>(parsed).is_object())
      lines.push_back(std::get<json::value>(parsed).as_object());
  }
  return lines;
}

namespace {
std::string string_field(const json::object& line, StringView name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}
std::int64_t integer_field(const json::object& line, StringView name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}
bool boolean_field(const json::object& line, StringView name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool();
}
}  // namespace

Verdict judge(const std::vector<json::object>& lines, const Limits& limits) {
  Verdict verdict;

  std::map<std::string, std::vector<const json::object*>> runs_by_request;
  std::map<std::string, const json::object*> completed_runs, all_runs;
  for (const auto& line : lines) {
    if (string_field(line, "what") == "run") {
      runs_by_request[string_field(line, "id")].push_back(&line);
      all_runs[string_field(line, "run")] = &line;
    }
    if (string_field(line, "what") == "end" && string_field(line, "how") == "whole")
      completed_runs[string_field(line, "run")] = &line;
  }
  auto report_violation = [&](const std::string& rule, const std::string& evidence) {
    verdict.violations.push_back(rule + ": " + evidence);
  };
  std::set<std::string> acknowledged_lots, finished_lots;
  for (const auto& line : lines) {
    const std::string event = string_field(line, "what"), id = string_field(line, "id");
    if (event == "request" || event == "result") {
      const std::string outcome = string_field(line, "outcome"), fault = string_field(line, "fault"),
                        run = string_field(line, "run");
      const std::string load = event == "request" ? string_field(line, "load") : "items";
      ++verdict.counts[load + " " + outcome];
      if (event == "request" && outcome == "answer") {
        verdict.durations[load].push_back(integer_field(line, "took"));
        verdict.first_piece_times[load].push_back(integer_field(line, "first"));
      }
      if (event == "result") verdict.durations["items"].push_back(integer_field(line, "after"));
      if (!fault.empty()) report_violation("wrong answer", id + ": " + fault);
      const std::size_t run_count = runs_by_request.contains(id) ? runs_by_request[id].size() : 0;
      if (!boolean_field(line, "repeatable") && run_count > 1)
        report_violation("unrepeatable request run twice", id + " ran " + std::to_string(run_count) + " times");
      if ((outcome == "refused" || outcome == "expired" || outcome == "cancelled") && run_count > 0 &&
          (event == "request" || !boolean_field(line, "repeatable")))
        report_violation("refusal of work that runs", id + " was " + outcome + " and ran");
      if (event == "result" && outcome == "answer" && completed_runs.contains(run)) {
        const std::int64_t lag = integer_field(line, "at") - integer_field(*completed_runs.at(run), "at");
        verdict.durations["result listed after its run's end"].push_back(lag);
        if (lag > limits.max_result_lag)
          report_violation(
              "a new result was not readable in time",
              id + " after " + std::to_string(lag) + " ms, over " + std::to_string(limits.max_result_lag) + " ms");
      }
      if (event == "request") {
        ++verdict.live_requests;
        verdict.refused += outcome == "refused";
      }
      if (outcome == "answer" && (event == "result" || integer_field(line, "status") == 200) &&
          !completed_runs.contains(run))
        report_violation("false success", id + " has no whole run '" + run + "'");
      if (event == "request" && outcome == "refused" && integer_field(line, "status") == 503 &&
          string_field(line, "retry_after").empty())
        report_violation("refusal without Retry-After", id);
    } else if (event == "lot") {
      acknowledged_lots.insert(id);
      ++verdict.counts["lots acknowledged"];
      verdict.durations["lots acknowledged"].push_back(integer_field(line, "took"));
    } else if (event == "lot_done") {
      finished_lots.insert(id);
      ++verdict.counts["lots done"];
      verdict.durations["lots done"].push_back(integer_field(line, "took"));
    } else if (event == "lot_vanished") {
      report_violation("lot vanished", id);
    } else if (event == "result_moved") {
      report_violation("listed result moved", json::serialize(line));
    } else if (event == "lot_unfinished") {
      report_violation("lot never finished", id + " has " + std::to_string(integer_field(line, "results")) + " of " +
                                                 std::to_string(integer_field(line, "items")));
    } else if (event == "lot_given_up" || event == "lot_try") {
      ++verdict.counts[event];
    } else if (event == "cancelled") {
      for (const auto& [item, request_runs] : runs_by_request)
        if (item.starts_with(id + "/"))
          for (const auto* run : request_runs)
            if (integer_field(*run, "at") > integer_field(line, "at") + 3000)
              report_violation("item of a cancelled lot started late", item);
    } else if (event == "leaving" || event == "evacuated") {
      // Runners may get work for at most this long after the acknowledgement of the operator's change, in milliseconds.
      const std::int64_t limit = event == "leaving" ? 3000 : 5000;
      const auto* until = line.if_contains("until");
      std::int64_t longest_delay = 0;
      for (const auto& [run_id, run] : all_runs) {
        const auto* runners = line.if_contains("runners");
        bool affected = false;
        for (const auto& runner : runners->as_array())
          affected = affected || string_field(*run, "runner") == runner.as_string();
        const std::int64_t delay = integer_field(*run, "at") - integer_field(line, "acknowledged");
        if (!affected || (until != nullptr && integer_field(*run, "at") > until->to_number<std::int64_t>())) continue;
        longest_delay = std::max(longest_delay, delay);
        if (delay > limit)
          report_violation(event == "leaving" ? "work to a leaving runner" : "work to an evacuated zone",
                           run_id + " after " + std::to_string(delay) + " ms");
      }
      verdict.durations[event + ": last work sent after"].push_back(longest_delay);
    } else if (event == "observed") {
      verdict.durations[string_field(line, "name")].push_back(integer_field(line, "took"));
      const auto* limit = line.if_contains("limit");
      if (limit != nullptr && integer_field(line, "took") > limit->to_number<std::int64_t>())
        report_violation(string_field(line, "name"), std::to_string(integer_field(line, "took")) + " ms, over " +
                                                         std::to_string(limit->to_number<std::int64_t>()) + " ms");
    }
  }
  if (verdict.refused * 1000 > verdict.live_requests * limits.max_refused_per_thousand)
    report_violation("proper requests turned away",
                     std::to_string(verdict.refused) + " of " + std::to_string(verdict.live_requests) + ", over " +
                         std::to_string(limits.max_refused_per_thousand) + " in a thousand");
  for (const auto& id : acknowledged_lots)
    if (!finished_lots.contains(id)) ++verdict.counts["lots not read to the end"];
  for (const auto& [run, line] : all_runs) (void)line, ++verdict.counts["runs"];
  return verdict;
}

}  // namespace mothwalk
