// Configuration documents, whole and as changes. What a check accepts can be read, and holds what a revision needs.
#include "platform/configuration.hpp"

#include "entry.hpp"

namespace mothwalk::fuzz {

namespace {
constexpr View current = R"({"config-revision":1,"route-table":[{"name":"r-a","virtual-host":"a.example",)"
                         R"("path-prefix":"/a/","route-type":"streaming","timeout-ms":6000,"target-latency-ms":400,)"
                         R"("traffic-class":0,"pool":"p1","max-tries":2}],"pool-table":[{"name":"p1",)"
                         R"("health-path":"/health","max-connections":650,"warmup-s":3.0,"warmup-per-s":35.0}],)"
                         R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
                         R"("idle-timeout-ms":15000}})";

void check_accepted(const Bytes& text) {
  auto content = platform::ConfigurationDocument().read(text);
  expect(fault_of(content) == nullptr, "an accepted document can be read");
  auto parsed = parse_json(text);
  expect(fault_of(parsed) == nullptr, "an accepted document is JSON");
  auto again = platform::check_whole(std::get<json::value>(parsed));
  expect(fault_of(again) == nullptr, "an accepted document is accepted again");
  auto same = platform::ConfigurationDocument().read(std::get<Bytes>(again));
  expect(fault_of(same) == nullptr, "what is kept of it can be read");
}
}  // namespace

void run(View bytes) {
  auto parsed = parse_json(bytes);
  if (fault_of(parsed)) return;
  const json::value& value = std::get<json::value>(parsed);
  platform::revision_of(value);
  auto whole = platform::check_whole(value);
  if (!fault_of(whole)) check_accepted(std::get<Bytes>(whole));
  auto changed = platform::change_items(current, value);
  if (!fault_of(changed)) check_accepted(std::get<Bytes>(changed));
}

}  // namespace mothwalk::fuzz
