// Lots at two model runners. One item in ten fails once, with status 500, and would be done at the next run. One of the
// two runners repeats some of its answers: the copy comes late, in the place where the next answer is due.
#include <set>

#include "../common-2/deployment.hpp"

using namespace review;

namespace {
constexpr int slots = 8, lots = 110, items_in_lot = 50, troubles = 6;
constexpr double share_of_answers = 0.03;

struct Ledger {
  std::mutex mutex;
  std::map<std::string, int> runs, failures;  // Runs of an item, and those that were answered with status 500.
  std::uint64_t answers = 0, copies = 0;      // Of the runner in trouble, while it is in trouble.
};

// Whether the item is one of those that fail once.
bool fails_once(const std::string& item) {
  return std::stoi(item.substr(item.rfind('-') + 1)) % 10 == 3;
}

class Runner {
 public:
  Runner(Ledger& ledger, Record& record, std::string id) : ledger_(ledger), record_(record), id_(std::move(id)) {}
  bool start(const Endpoint& endpoint) {
    return server_.start(endpoint, [this](Connection& connection, std::uint64_t number) { serve(connection, number); });
  }
  void stop() { server_.stop(); }
  std::atomic<bool> repeats_answers{false};

 private:
  void note(std::uint64_t number, const std::string& what) {
    record_.line("runner " + id_ + " connection " + std::to_string(number) + ": " + what);
  }
  bool may_copy() {
    std::lock_guard lock(ledger_.mutex);
    if (!repeats_answers ||
        static_cast<double>(ledger_.copies + 1) > share_of_answers * static_cast<double>(ledger_.answers))
      return false;
    ++ledger_.copies;
    return true;
  }
  Headers headers_for(const std::string& item) {
    return {{"Attempt-Id", item},
            {"Weight-Versions", "1"},
            {"Keep-Alive", "timeout=5"},
            {"Instance-Load", std::to_string(running_) + ",0," + std::to_string(slots)}};
  }
  void serve(Connection& connection, std::uint64_t number) {
    std::string failed_item, failed_answer;
    while (!server_.stopping()) {
      const Message request = connection.read(Clock::now() + milliseconds(100), false);
      if (!request.complete) {
        if (connection.peer_closed()) return;
        continue;
      }
      const std::string item = request.header("Attempt-Id");
      Headers headers = headers_for(item);
      if (request.header("Target-Instance") != id_ || running_ >= slots) {
        headers.emplace_back("Not-Executed", "1");
        const bool other = request.header("Target-Instance") != id_;
        const std::string line = other ? "HTTP/1.1 421 Misdirected Request" : "HTTP/1.1 503 Service Unavailable";
        if (!connection.send(message_text(line, headers, ""))) return;
        continue;
      }
      ++running_;
      bool fails = false;
      {
        std::lock_guard lock(ledger_.mutex);
        ++ledger_.runs[item];
        fails = fails_once(item) && ledger_.failures[item] == 0;
        ledger_.failures[item] += fails;
        ledger_.answers += repeats_answers;
      }
      if (!failed_item.empty() && may_copy()) {
        note(number, "a copy of the 500 to " + failed_item + " comes late, while " + item + " is due and runs");
        connection.send(failed_answer);
      }
      failed_item.clear();
      std::this_thread::sleep_for(milliseconds(30));
      --running_;
      headers.emplace_back("Server-Seal", "seal." + item);
      std::string answer;
      if (fails) {
        note(number, item + " is run and answered 500");
        answer = message_text("HTTP/1.1 500 Internal Server Error", headers, "failed");
        failed_item = item;
        failed_answer = answer;
      } else {
        headers.emplace_back("Content-Type", "text/event-stream");
        answer = message_text("HTTP/1.1 200 OK", headers, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
      }
      if (!connection.send(answer)) return;
    }
  }

  Ledger& ledger_;
  Record& record_;
  std::string id_;
  std::atomic<int> running_{0};
  Server server_;
};

// The items that a page of results lists as abandoned, and how many it lists in all.
std::set<std::string> abandoned_in(const std::string& page, int& listed) {
  std::set<std::string> found;
  const std::string name = "\"instance-id\":\"";
  for (auto at = page.find(name); at != std::string::npos; at = page.find(name, at + 1)) {
    const auto begin = at + name.size();
    const std::string item = page.substr(begin, page.find('"', begin) - begin);
    ++listed;
    if (page.compare(page.find("\"oper-state\":\"", begin) + 14, 9, "abandoned") == 0) found.insert(item);
  }
  return found;
}
}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  limit_run_time(115);
  const bool trouble = with_trouble();
  Record record(std::string(argv[1]) + "/record.txt");
  record.line(trouble ? "with the disruption" : "without the disruption");
  Deployment deployment(record);
  Ledger ledger;
  Runner first(ledger, record, "i-first"), second(ledger, record, "i-second");
  if (!first.start(deployment.runner_endpoint(1, 1)) || !second.start(deployment.runner_endpoint(2, 2))) return 2;
  deployment.list_runner({"i-first", "models", "hall-a", deployment.runner_endpoint(1, 1), slots});
  deployment.list_runner({"i-second", "models", "hall-b", deployment.runner_endpoint(2, 2), slots});
  if (!deployment.start()) return 2;
  const std::string configuration =
      R"({"config-revision":1,"route-table":[{"name":"sweep","virtual-host":"farm.example","path-prefix":"/sweep/",)"
      R"("route-type":"bulk","timeout-ms":20000,"target-latency-ms":400,"traffic-class":2,"pool":"models",)"
      R"("max-tries":2,"session-affinity":true,"resumable":true,"completion-target-ms":12000,"retention-s":400.0}],)"
      R"("pool-table":[{"name":"models","health-path":"/health","max-connections":130,"protocol":"h1",)"
      R"("tls-enabled":false,"warmup-s":0.0,"warmup-per-s":0.0,"engine":{"slot-count":8,"kv-token-cap":779602,)"
      R"("kv-token-bytes":18432,"link-mbps":260000.0,"stride":19,"model-list":[{"name":"m"}]}}],)"
      R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
      R"("idle-timeout-ms":15000}})";
  if (!deployment.order("/v1/Config.Replace", "0", configuration, milliseconds(20000)) ||
      !deployment.wait_ready(milliseconds(20000)))
    return 2;
  std::this_thread::sleep_for(milliseconds(3000));

  const auto edges = deployment.edges();
  auto edge_for = [&](int number) {
    return deployment.clients_of(*edges[static_cast<std::size_t>(number) % edges.size()]);
  };
  std::thread troubled([&] {
    for (int time = 0; time < troubles; ++time) {
      record.line("runner i-first is in trouble from now on: " + std::string(trouble ? "yes" : "no"));
      first.repeats_answers = trouble;
      std::this_thread::sleep_for(milliseconds(5000));
      first.repeats_answers = false;
      record.line("the trouble is over");
      std::this_thread::sleep_for(milliseconds(1000));
    }
  });
  std::vector<std::string> accepted;
  for (int number = 0; number < lots; ++number) {
    const std::string lot = "lot-" + std::to_string(number);
    std::string items;
    for (int item = 0; item < items_in_lot; ++item)
      items += std::string(item > 0 ? "," : "") + R"({"instance-id":")" + lot + "-" + std::to_string(item) +
               R"(","path":"/sweep/)" + std::to_string(item) +
               R"(","header-map":{"Model":"m","Token-Count":"540,400","Prompt-Prefix":"9c2e41:300,5d07b8:240"},)" +
               R"("payload":"q83vEjRWeJA=","token-count":940})";
    for (int attempt = 0; attempt < 20; ++attempt) {
      const int status = call(edge_for(number + attempt), "POST", "/sweep/" + lot,
                              {{"Host", "farm.example"}, {"Attempt-Id", lot}, {"Content-Type", "application/json"}},
                              "{\"batch-items\":[" + items + "]}", milliseconds(3000))
                             .status();
      record.line("client: " + lot + " is answered " + std::to_string(status));
      if (status == 202) accepted.push_back(lot);
      if (status == 202) break;
      std::this_thread::sleep_for(milliseconds(200));
    }
  }
  troubled.join();
  if (accepted.size() != lots) return 2;
  int listed = 0, early = 0;
  const auto deadline = Clock::now() + milliseconds(80000);
  std::set<std::string> abandoned;
  for (const auto& lot : accepted) {
    int in_lot = 0;
    while (Clock::now() < deadline) {
      in_lot = 0;
      const Message page = call(edge_for(0), "GET", "/v1/lots/" + lot + "?page-cursor=0", {{"Host", "farm.example"}},
                                "", milliseconds(3000));
      const auto found = abandoned_in(page.body, in_lot);
      if (page.status() != 200 || in_lot < items_in_lot) {
        std::this_thread::sleep_for(milliseconds(200));
        continue;
      }
      abandoned.insert(found.begin(), found.end());
      break;
    }
    listed += in_lot;
  }
  first.stop();
  second.stop();
  for (const auto& item : abandoned) {
    record.line("MIXED: " + item + " is listed as abandoned after " + std::to_string(ledger.failures[item]) +
                " answer of 500 in " + std::to_string(ledger.runs[item]) + " runs; max-tries is 2");
    early += ledger.failures[item] < 2;
  }
  const std::string result = std::to_string(listed) + " of " + std::to_string(lots * items_in_lot) + " items listed; " +
                             std::to_string(ledger.copies) + " copies among " + std::to_string(ledger.answers) +
                             " answers; MIXED (abandoned too early) " + std::to_string(early);
  record.line(result);
  std::puts(result.c_str());
  if (listed < lots * items_in_lot) return 2;
  return early > 0 ? 1 : 0;
}
