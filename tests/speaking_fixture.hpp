// A router whose callers and runners say more than the plain dialect does.
#pragma once
#include "router_fixture.hpp"

namespace {

// A dialect as a platform might bring one.
class Speaking : public PlainDialect {
 public:
  RequestInfo read_request(const std::vector<Header>& headers) const override {
    RequestInfo facts = PlainDialect::read_request(headers);
    if (const auto* id = header_of(headers, "Id")) facts.id = *id;
    if (const auto* budget = header_of(headers, "Budget")) facts.budget = std::chrono::milliseconds(std::stoi(*budget));
    if (const auto* last = header_of(headers, "Last")) facts.last_event = std::stoull(*last);
    if (const auto* prefix = header_of(headers, "Prefix")) facts.parts = {{*prefix, 4000}, {"own", 1000}};
    if (!facts.parts.empty()) facts.prompt_tokens = 5000, facts.output_tokens = 100;
    if (const auto* length = header_of(headers, "Long"))
      facts.prompt_tokens = static_cast<std::uint32_t>(std::stoul(*length));
    return facts;
  }
  void write_attempt(AttemptRequest& request, const RequestInfo&, const AttemptInfo& attempt) const override {
    request.headers.push_back({"Runner", attempt.runner});
    request.headers.push_back({"Left", std::to_string(attempt.left.count() / 1000)});
    if (!attempt.version.empty()) request.headers.push_back({"Expected", attempt.version});
    if (attempt.last_event) request.headers.push_back({"After", std::to_string(*attempt.last_event)});
  }
  ResponseInfo read_answer(int status, const std::vector<Header>& headers, const RequestInfo& facts) const override {
    ResponseInfo answer;
    answer.not_run = header_of(headers, "Not-Run") != nullptr || status == 421;
    answer.other_instance = status == 421;
    const auto* id = header_of(headers, "Id");
    answer.foreign = id != nullptr && *id != facts.id;
    answer.false_refusal = header_of(headers, "False") != nullptr;
    if (const auto* version = header_of(headers, "Version")) answer.version = *version;
    if (const auto* load = header_of(headers, "Load"))
      answer.load = RunnerLoad{static_cast<std::uint32_t>(std::stoul(*load)), 0, 2};
    return answer;
  }
  StringView version_field() const override { return "weights"; }
};
const Speaking speaking;

struct SpeakingFixture : Fixture {
  SpeakingFixture() : Fixture(speaking) {
    put("lane/pay", R"({"path":"/pay","kind":"model","attempts":2,"waiting":500,"whole":5000})");
    put("lane/stream",
        R"({"path":"/stream","kind":"model","streaming":true,"resumable":true,"attempts":2,"waiting":500,"whole":5000})");
  }
  std::shared_ptr<Seen> say(const std::string& target, std::vector<Header> headers, Router::Id* id = nullptr) {
    auto seen = std::make_shared<Seen>();
    const auto given =
        router.arrive(LiveRequest{"POST", target, std::move(headers), std::make_shared<const Bytes>("body")},
                      std::make_shared<SeeingCaller>(seen));
    if (id != nullptr) *id = given;
    return seen;
  }
  std::string told(std::size_t attempt, StringView name) const {
    const auto* value = header_of(attempts.at(attempt).request.headers, name);
    return value == nullptr ? "" : *value;
  }
  void whole(std::size_t attempt, int status = 200, std::vector<Header> headers = {}) {
    attempts.at(attempt).watcher->on_head(status, headers);
    attempts.at(attempt).watcher->on_end(AttemptOutcome::whole);
  }
};

}  // namespace
