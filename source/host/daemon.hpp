// The daemon process: creates the components that its settings and its platform call for, each on an event-loop thread
// of its own or all on one shared loop. Components communicate through bounded queues and, between daemons, over TCP.
#pragma once
#include "circle/circle.hpp"
#include "control/control.hpp"
#include "gossip/configuration_gossip.hpp"
#include "host/beast_runner_client.hpp"
#include "host/file_disk.hpp"
#include "host/http_server.hpp"
#include "host/platform_adapter.hpp"
#include "host/settings.hpp"
#include "host/tcp_transport.hpp"
#include "lots/item_placer.hpp"
#include "lots/lots.hpp"
#include "replication/founding.hpp"
#include "routes/router.hpp"
#include "sessions/sessions.hpp"

namespace mothwalk {

// One daemon process.
class Daemon {
 public:
  Daemon(Settings settings, std::string version, std::unique_ptr<PlatformAdapter> platform = nullptr);
  ~Daemon();
  // Creates the components, opens the data folder and starts to listen.
  Result<Success> open();
  // Runs until the drain that a signal starts is complete, and returns the exit code.
  int run();

 private:
  // The event loop of one component, and its messenger for messages to and from other daemons.
  struct Worker {
    EventLoop loop;
    std::unique_ptr<Messenger> messenger;
    Worker(std::string name, boost::asio::io_context* shared_context) : loop(std::move(name), shared_context) {}
  };
  // Creates the component's messenger and routes messages for the slice to the component's loop.
  void make_messenger(Worker& worker, const std::string& slice);
  Result<Success> listen();
  void handle(ControlRequest request, ControlReplyCallback send_reply);
  // The counters of all components, as the control API reports them.
  json::value load();
  // Takes over the seeds that the platform's settings now name. While this daemon has no lease, this is repeated each
  // second.
  void reload_seeds();
  // Ends the daemon if no request is open and the minimum drain time has passed, or if the drain time has expired;
  // otherwise schedules the next check.
  void check_drain_progress(bool min_time_passed, bool time_expired);

  Settings settings_;
  std::unique_ptr<PlatformAdapter> platform_;
  boost::asio::io_context main_{1};
  boost::asio::io_context* shared_context_ = settings_.single_thread ? &main_ : nullptr;
  Member self_;
  SharedState shared_state_;
  std::unique_ptr<TcpTransport> transport_;
  Worker sessions_worker_{"sessions", shared_context_}, gossip_worker_{"news", shared_context_},
      store_worker_{"store", shared_context_}, circle_worker_{"circle", shared_context_},
      lots_worker_{"lots", shared_context_}, placing_worker_{"placing", shared_context_},
      router_worker_{"routes", shared_context_}, control_worker_{"control", shared_context_},
      listing_worker_{"listing", shared_context_}, roster_bootstrap_worker_{"founding", shared_context_};
  const std::vector<Worker*> workers_{&sessions_worker_, &gossip_worker_,          &store_worker_,  &circle_worker_,
                                      &lots_worker_,     &placing_worker_,         &router_worker_, &control_worker_,
                                      &listing_worker_,  &roster_bootstrap_worker_};
  std::unique_ptr<FileDisk> disk_;
  std::unique_ptr<BeastRunnerClient> live_runner_client_, lot_runner_client_, list_runner_client_;
  std::unique_ptr<ListSource> list_source_;
  std::unique_ptr<RunnerList> runner_list_;
  std::unique_ptr<Sessions> sessions_;
  std::unique_ptr<ConfigurationGossip> gossip_;
  std::unique_ptr<RosterBootstrap> roster_bootstrap_;
  std::unique_ptr<ReplicatedStore> store_;
  std::unique_ptr<CircleManager> circle_;
  std::unique_ptr<Lots> lots_;
  std::unique_ptr<ItemPlacer> item_placer_;
  std::unique_ptr<Router> router_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<PlatformApi> platform_api_;
  std::unique_ptr<HttpServer> http_server_;
  std::mutex counts_mutex_;
  RouterCounts counts_;
  HttpServerCounts http_server_counts_;
  CircleCounts circle_counts_;
  StoreCounts store_counts_;
  LotCounts lot_counts_;
  std::size_t open_requests_ = 0;
  std::atomic<std::size_t> placed_items_{0};
  std::atomic<std::uint64_t> store_appends_{0}, commits_{0};
  boost::asio::steady_timer drain_timer_{main_};
  std::function<void()> check_drain_;
  std::string refused_settings_;  // Why the reloaded settings were refused last time; empty if they were accepted.
  TimePoint seeds_reloaded_at_;
};

}  // namespace mothwalk
