// Fuzzes pages of the platform's runner list: each runner that is read has usable values.
#include "platform/runner_list.hpp"
#include "entry.hpp"
#include "host/tcp_transport.hpp"

namespace mothwalk::fuzz {

void run(StringView bytes) {
  const platform::PlatformRunnerList list(Address("127.0.0.1:1"), std::chrono::seconds(1));
  auto page = list.read(bytes);
  if (error_of(page)) return;
  const ListPage& read = std::get<ListPage>(page);
  for (const auto& [name, runner] : read.runners) {
    expect(!name.empty() && !runner.kind.empty(), "a runner has a name and a kind");
    expect(endpoint_of(runner.address).has_value(), "a runner has an address");
    expect(runner.slots >= 1, "a runner has at least one slot");
    expect(runner.cold >= Duration{}, "a runner's remaining warm-up time is not negative");
  }
  for (const char character : list.target(read.next))
    expect(character > ' ' && character < 127, "the request target of the next page has only printable characters");
}

}  // namespace mothwalk::fuzz
