// Pages of the list of runners: each runner that is taken can be used.
#include "entry.hpp"
#include "host/tcp_transport.hpp"
#include "platform/list_source.hpp"

namespace mothwalk::fuzz {

void run(StringView bytes) {
  const platform::PlatformList list(Address("127.0.0.1:1"), std::chrono::seconds(1));
  auto page = list.read(bytes);
  if (error_of(page)) return;
  const ListPage& read = std::get<ListPage>(page);
  for (const auto& [name, runner] : read.runners) {
    expect(!name.empty() && !runner.kind.empty(), "a runner has a name and a kind");
    expect(endpoint_of(runner.address).has_value(), "a runner has an address");
    expect(runner.slots >= 1, "a runner has a slot");
    expect(runner.cold >= Duration{}, "a runner's warm-up does not end in the past");
  }
  for (const char letter : list.target(read.next))
    expect(letter > ' ' && letter < 127, "the next page's target can be sent");
}

}  // namespace mothwalk::fuzz
