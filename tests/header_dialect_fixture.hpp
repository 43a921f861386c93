// A router fixture whose dialect reads and writes more headers than the plain dialect: attempt ids, time budgets,
// prompt prefixes, versions of weights and loads of runners.
#pragma once
#include "router_fixture.hpp"

namespace {

// A dialect such as a platform's adapter could provide.
class HeaderDialect : public PlainDialect {
 public:
  RequestInfo read_request(const std::vector<Header>& headers) const override {
    RequestInfo info = PlainDialect::read_request(headers);
    if (const auto* id = header_of(headers, "Id")) info.id = *id;
    if (const auto* budget = header_of(headers, "Budget")) info.budget = std::chrono::milliseconds(std::stoi(*budget));
    if (const auto* last = header_of(headers, "Last")) info.last_event = std::stoull(*last);
    if (const auto* prefix = header_of(headers, "Prefix")) info.parts = {{*prefix, 4000}, {"own", 1000}};
    if (!info.parts.empty()) info.prompt_tokens = 5000, info.output_tokens = 100;
    if (const auto* length = header_of(headers, "Long"))
      info.prompt_tokens = static_cast<std::uint32_t>(std::stoul(*length));
    return info;
  }
  void write_attempt(AttemptRequest& request, const RequestInfo&, const AttemptInfo& attempt) const override {
    request.headers.push_back({"Runner", attempt.runner});
    request.headers.push_back({"Left", std::to_string(attempt.left.count() / 1000)});
    if (!attempt.version.empty()) request.headers.push_back({"Expected", attempt.version});
    if (attempt.last_event) request.headers.push_back({"After", std::to_string(*attempt.last_event)});
  }
  ResponseInfo read_response(int status, const std::vector<Header>& headers, const RequestInfo& info) const override {
    ResponseInfo response;
    response.not_run = header_of(headers, "Not-Run") != nullptr || status == 421;
    response.other_instance = status == 421;
    const auto* id = header_of(headers, "Id");
    response.mismatched = id != nullptr && *id != info.id;
    response.false_refusal = header_of(headers, "False") != nullptr;
    if (const auto* version = header_of(headers, "Version")) response.version = *version;
    if (const auto* load = header_of(headers, "Load"))
      response.load = RunnerLoad{static_cast<std::uint32_t>(std::stoul(*load)), 0, 2};
    return response;
  }
  StringView version_field() const override { return "weights"; }
};
const HeaderDialect header_dialect;

struct HeaderDialectFixture : Fixture {
  HeaderDialectFixture() : Fixture(header_dialect) {
    put("lane/pay", R"({"path":"/pay","kind":"model","attempts":2,"waiting":500,"whole":5000})");
    put("lane/stream",
        R"({"path":"/stream","kind":"model","streaming":true,"resumable":true,"attempts":2,"waiting":500,"whole":5000})");
  }
  std::shared_ptr<ReceivedResponse> send_request(const std::string& target, std::vector<Header> headers,
                                                 Router::Id* id = nullptr) {
    auto seen = std::make_shared<ReceivedResponse>();
    const auto request_id =
        router.submit(LiveRequest{"POST", target, std::move(headers), std::make_shared<const Bytes>("body")},
                      std::make_shared<RecordingSink>(seen));
    if (id != nullptr) *id = request_id;
    return seen;
  }
  std::string attempt_header(std::size_t attempt, StringView name) const {
    const auto* value = header_of(attempts.at(attempt).request.headers, name);
    return value == nullptr ? "" : *value;
  }
  void complete_attempt(std::size_t attempt, int status = 200, std::vector<Header> headers = {}) {
    attempts.at(attempt).observer->on_head(status, headers);
    attempts.at(attempt).observer->on_end(AttemptOutcome::complete);
  }
};

}  // namespace
