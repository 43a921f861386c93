// One daemon: the duties that its place and its folder call for, each on a thread of its own or all on one, joined by
// bounded rings and the wire.
#pragma once
#include "circle/circle.hpp"
#include "control/control.hpp"
#include "gossip/configuration_gossip.hpp"
#include "host/beast_runner_client.hpp"
#include "host/file_disk.hpp"
#include "host/front.hpp"
#include "host/place.hpp"
#include "host/settings.hpp"
#include "host/tcp_transport.hpp"
#include "lots/item_placer.hpp"
#include "lots/lots.hpp"
#include "replication/founding.hpp"
#include "routes/router.hpp"
#include "sessions/sessions.hpp"

namespace mothwalk {

class Daemon {
 public:
  Daemon(Settings settings, std::string version, std::unique_ptr<PlatformAdapter> place = nullptr);
  ~Daemon();
  Result<Success> open();
  // Runs until a signal has drained it or its disk has failed; gives the exit code.
  int run();

 private:
  struct Duty {
    DutyThread thread;
    std::unique_ptr<Messenger> messenger;
    Duty(std::string name, boost::asio::io_context* shared_context) : thread(std::move(name), shared_context) {}
  };
  void make_messenger(Duty& duty, const std::string& slice);
  Result<Success> listen();
  void handle(ControlRequest request, ControlAnswer answer);
  json::value load();
  // Takes over the seeds that the place names now; without a lease that is tried again each second.
  void read_seeds_again();
  void drain(bool long_enough, bool over);

  Settings settings_;
  std::unique_ptr<PlatformAdapter> place_;
  boost::asio::io_context main_{1};
  boost::asio::io_context* shared_context_ = settings_.single_thread ? &main_ : nullptr;
  Member self_;
  SharedState shared_state_;
  std::unique_ptr<TcpTransport> transport_;
  Duty sessions_duty_{"sessions", shared_context_}, news_duty_{"news", shared_context_},
      store_duty_{"store", shared_context_}, circle_duty_{"circle", shared_context_},
      lots_duty_{"lots", shared_context_}, placing_duty_{"placing", shared_context_},
      routes_duty_{"routes", shared_context_}, control_duty_{"control", shared_context_},
      listing_duty_{"listing", shared_context_}, founding_duty_{"founding", shared_context_};
  const std::vector<Duty*> duties_{&sessions_duty_, &news_duty_,   &store_duty_,   &circle_duty_,  &lots_duty_,
                                   &placing_duty_,  &routes_duty_, &control_duty_, &listing_duty_, &founding_duty_};
  std::unique_ptr<FileDisk> disk_;
  std::unique_ptr<BeastRunnerClient> live_exchange_, lot_exchange_, list_exchange_;
  std::unique_ptr<ListSource> list_source_;
  std::unique_ptr<RunnerList> runner_list_;
  std::unique_ptr<Sessions> sessions_;
  std::unique_ptr<ConfigurationGossip> news_;
  std::unique_ptr<Founding> founding_;
  std::unique_ptr<ReplicatedStore> store_;
  std::unique_ptr<CircleDuty> circle_;
  std::unique_ptr<Lots> lots_;
  std::unique_ptr<ItemPlacer> placing_;
  std::unique_ptr<Router> router_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<PlatformApi> surface_;
  std::unique_ptr<Front> front_;
  std::mutex counts_mutex_;
  RouterCounts counts_;
  FrontCounts front_counts_;
  CircleCounts circle_counts_;
  StoreCounts store_counts_;
  LotCounts lot_counts_;
  std::size_t open_ = 0;
  std::atomic<std::size_t> placed_{0};
  std::atomic<std::uint64_t> syncs_{0}, commits_{0};
  boost::asio::steady_timer drain_timer_{main_};
  std::function<void()> drain_again_;
  std::string refused_settings_;  // why the settings were refused when they were last read again
  TimePoint seeds_read_;
};

}  // namespace mothwalk
