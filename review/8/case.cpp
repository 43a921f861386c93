// Lots come in while every process is killed and started again within a second; all disks remain.
#include "../common-2/deployment.hpp"

using namespace review;

namespace {
constexpr int submitters = 15, troubles = 2;
constexpr auto pause_between_lots = milliseconds(1000);

std::string lot_body(const std::string& id) {
  std::string items;
  for (int number = 0; number < 5; ++number)
    items += std::string(number > 0 ? "," : "") + R"({"instance-id":")" + id + "-" + std::to_string(number) +
             R"(","path":"/sweep/)" + std::to_string(number) +
             R"(","header-map":{"Model":"m","Token-Count":"540,400","Prompt-Prefix":"9c2e41:300,5d07b8:240"},)" +
             R"("payload":"q83vEjRWeJA=","token-count":940})";
  return "{\"batch-items\":[" + items + "]}";
}
}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  limit_run_time(110);
  const bool trouble = with_trouble();
  Record record(std::string(argv[1]) + "/record.txt");
  record.line(trouble ? "with the disruption" : "without the disruption");
  Deployment deployment(record);
  if (!deployment.start()) return 2;
  const std::string configuration =
      R"({"config-revision":1,"route-table":[{"name":"sweep","virtual-host":"farm.example","path-prefix":"/sweep/",)"
      R"("route-type":"bulk","timeout-ms":20000,"target-latency-ms":400,"traffic-class":2,"pool":"models",)"
      R"("max-tries":3,"session-affinity":true,"resumable":true,"completion-target-ms":12000,"retention-s":40.0}],)"
      R"("pool-table":[{"name":"models","health-path":"/health","max-connections":130,"protocol":"h1",)"
      R"("tls-enabled":false,"warmup-s":0.0,"warmup-per-s":0.0}],)"
      R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
      R"("idle-timeout-ms":15000}})";
  if (!deployment.order("/v1/Config.Replace", "0", configuration, milliseconds(20000)) ||
      !deployment.wait_ready(milliseconds(20000)))
    return 2;
  std::this_thread::sleep_for(milliseconds(4000));

  std::mutex mutex;
  std::map<int, int> statuses;
  std::atomic<bool> ending{false};
  std::vector<std::thread> threads;
  const auto edges = deployment.edges();
  for (int number = 0; number < submitters; ++number)
    threads.emplace_back([&, number] {
      std::this_thread::sleep_for(pause_between_lots * number / submitters);
      for (int count = 0; !ending; ++count) {
        const std::string id = "lot-" + std::to_string(number) + "-" + std::to_string(count);
        // A client sends a lot again after 429, 503, another 5xx, silence or a cut, and never after 404.
        for (int attempt = 0; attempt < 8 && !ending; ++attempt) {
          const Machine& edge = *edges[static_cast<std::size_t>(number + count + attempt) % edges.size()];
          const int status = call(deployment.clients_of(edge), "POST", "/sweep/" + id,
                                  {{"Host", "farm.example"}, {"Attempt-Id", id}, {"Content-Type", "application/json"}},
                                  lot_body(id), milliseconds(4000))
                                 .status();
          record.line("client: " + id + " sent to " + edge.name + " is answered " +
                      (status == 0 ? "not at all" : std::to_string(status)));
          {
            std::lock_guard lock(mutex);
            ++statuses[status];
          }
          if (status == 202 || status == 404) break;
          std::this_thread::sleep_for(milliseconds(200));
        }
        std::this_thread::sleep_for(pause_between_lots);
      }
    });
  std::this_thread::sleep_for(milliseconds(3000));
  for (int time = 0; time < troubles; ++time) {
    if (trouble) {
      for (const Machine& machine : deployment.machines()) deployment.signal(machine, SIGKILL);
      for (Machine& machine : deployment.machines()) deployment.end(machine, SIGKILL);
      std::this_thread::sleep_for(milliseconds(900));
      for (Machine& machine : deployment.machines()) {
        deployment.write_settings(machine, false);
        deployment.run(machine);
      }
    }
    std::this_thread::sleep_for(milliseconds(12000));
  }
  ending = true;
  for (auto& thread : threads) thread.join();

  std::string result = "answers:";
  for (const auto& [status, count] : statuses)
    result += " " + (status == 0 ? std::string("none") : std::to_string(status)) + " x " + std::to_string(count);
  result += "; DENIED (404 for a route of every configuration) " + std::to_string(statuses[404]);
  record.line(result);
  std::puts(result.c_str());
  if (statuses[202] < 50) return 2;
  return statuses[404] > 10 ? 1 : 0;
}
