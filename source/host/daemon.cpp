// Assembles the daemon from its components, runs it, and drains it at the end.
#include "host/daemon.hpp"

#include <sys/resource.h>

#include <algorithm>

#include "host/logs.hpp"

namespace mothwalk {

namespace {
// Requests that are still open this long before the end of the drain time get their final response then, so that it can
// still be sent.
constexpr Duration final_response_time = std::chrono::milliseconds(250);

// Raises the limit of open files to the maximum that the system allows. Client connections may use half of it, because
// each of them may need a connection to a runner too; the 200 of HttpServer's over_limit_connections come out of that
// half.
std::size_t max_client_connections() {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0) return 400;
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  return std::clamp<std::size_t>(files.rlim_cur / 2, 300, 20200) - 200;
}
}  // namespace

Daemon::Daemon(Settings settings, std::string version, std::unique_ptr<PlatformAdapter> platform)
    : settings_(std::move(settings)), platform_(std::move(platform)) {
  self_.address = settings_.address;
  self_.zone = settings_.zone;
  self_.callers = settings_.callers;
  self_.control = settings_.control;
  self_.version = std::move(version);
  self_.keeps = settings_.keeps;
  self_.name = settings_.name;
  // A later start at the same address gets a higher incarnation. If the clock went back, other daemons only take longer
  // to accept the newer incarnation.
  self_.incarnation =
      new_incarnation(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()),
                      store_worker_.loop.random());
}

Daemon::~Daemon() {
  if (transport_) transport_->stop();
  for (Worker* worker : workers_) worker->loop.stop();
  if (disk_) disk_->stop();
}

void Daemon::make_messenger(Worker& worker, const std::string& slice) {
  worker.messenger =
      std::make_unique<Messenger>(*transport_, worker.loop.timers(), settings_.address, self_.incarnation, slice);
  transport_->route(slice, [&worker](Envelope envelope) {
    worker.loop.try_post(
        [&worker, envelope = std::move(envelope)]() mutable { worker.messenger->receive(std::move(envelope)); });
  });
}

Result<Success> Daemon::open() {
  transport_ = std::make_unique<TcpTransport>(
      settings_.address, [](StringView message) { logs::warn("wire", message); }, shared_context_);
  const bool has_data_folder = !settings_.data_folder.empty();
  const bool stores_control_state = has_data_folder && settings_.keeps != "lots",
             stores_lots = has_data_folder && settings_.keeps != "control";
  const Dialect& dialect = platform_ ? platform_->dialect() : plain_dialect();
  const ConfigurationFormat* format = platform_ ? &platform_->format() : nullptr;
  make_messenger(sessions_worker_, "sessions");
  make_messenger(gossip_worker_, "news");
  make_messenger(control_worker_, "control");
  if (settings_.first_start) {
    make_messenger(roster_bootstrap_worker_, "founding");
    roster_bootstrap_ =
        std::make_unique<RosterBootstrap>(*roster_bootstrap_worker_.messenger, shared_state_, *settings_.first_start);
  }
  if (has_data_folder) {
    make_messenger(store_worker_, "store");
    disk_ = std::make_unique<FileDisk>(
        settings_.data_folder, [this](Task task) { boost::asio::post(store_worker_.loop.context(), std::move(task)); });
    auto opened = disk_->open();
    if (auto error = error_of(opened)) return *error;
    ReplicatedStore::Report report;
    report.log = [](StringView message) {
      logs::info("store", message);
    };
    store_ = std::make_unique<ReplicatedStore>(*store_worker_.messenger, shared_state_, *disk_,
                                               store_worker_.loop.random(), self_, settings_.seeds, std::move(report),
                                               settings_.first_start, settings_.disk_limit_mb * 1000000);
    auto loaded = store_->load();
    if (auto error = error_of(loaded)) return *error;
    self_.holder = store_->identity();
  }
  if (stores_control_state) {
    make_messenger(circle_worker_, "circle");
    circle_ = std::make_unique<CircleManager>(*circle_worker_.messenger, shared_state_);
    circle_->log = [](StringView message) {
      logs::info("circle", message);
    };
  }
  if (stores_lots) {
    make_messenger(lots_worker_, "lots");
    lots_ = std::make_unique<Lots>(*lots_worker_.messenger, shared_state_);
  }
  sessions_ = std::make_unique<Sessions>(*sessions_worker_.messenger, shared_state_, self_, settings_.seeds);
  gossip_ = std::make_unique<ConfigurationGossip>(*gossip_worker_.messenger, shared_state_,
                                                  gossip_worker_.loop.random(), stores_control_state, format);
  // On a platform, only the daemons that store nothing but lots place items; without one, every daemon does.
  if (!platform_ || settings_.keeps == "lots") {
    make_messenger(placing_worker_, "placing");
    lot_runner_client_ = std::make_unique<BeastRunnerClient>(placing_worker_.loop.context());
    item_placer_ = std::make_unique<ItemPlacer>(*placing_worker_.messenger, shared_state_, *lot_runner_client_,
                                                placing_worker_.loop.random(), dialect);
  }
  if (platform_ && !settings_.control.empty()) {
    make_messenger(listing_worker_, "listing");
    list_runner_client_ = std::make_unique<BeastRunnerClient>(listing_worker_.loop.context());
    list_source_ = platform_->list_source();
    runner_list_ = std::make_unique<RunnerList>(*listing_worker_.messenger, shared_state_, *list_runner_client_,
                                                listing_worker_.loop.random(), *list_source_);
  }
  control_ = std::make_unique<Control>(*control_worker_.messenger, shared_state_, control_worker_.loop.random(), self_,
                                       [this] { return load(); });
  if (platform_)
    platform_api_ =
        platform_->make_api(*control_worker_.messenger, shared_state_, control_worker_.loop.random(), self_);
  if (!settings_.callers.empty()) {
    make_messenger(router_worker_, "routes");
    live_runner_client_ = std::make_unique<BeastRunnerClient>(router_worker_.loop.context());
    router_ = std::make_unique<Router>(*router_worker_.messenger, shared_state_, *live_runner_client_,
                                       router_worker_.loop.random(), self_, dialect);
    http_server_ = std::make_unique<HttpServer>(
        router_worker_.loop.context(), *router_,
        [this](ControlRequest request, ControlReplyCallback send_reply) {
          return control_worker_.loop.try_post(
              [this, request = std::move(request), send_reply = std::move(send_reply)]() mutable {
                handle(std::move(request), std::move(send_reply));
              });
        },
        max_client_connections(),
        platform_api_ ? HttpServer::ControlRequestFilter(
                            [this](StringView method, StringView target, const std::vector<Header>& headers) {
                              return platform_api_->is_api_request(method, target, headers);
                            })
                      : HttpServer::ControlRequestFilter());
    router_->serves_while_draining = platform_ != nullptr;
    router_->warn = [](StringView message) {
      logs::warn("routes", message);
    };
  }
  return listen();
}

Result<Success> Daemon::listen() {
  auto result = transport_->listen();
  if (http_server_ && !error_of(result)) result = http_server_->listen(settings_.callers, true);
  for (const Address& address : {settings_.control, settings_.health})
    if (http_server_ && !address.empty() && !error_of(result)) result = http_server_->listen(address, false);
  return result;
}

void Daemon::handle(ControlRequest request, ControlReplyCallback send_reply) {
  if (platform_api_)
    platform_api_->handle(std::move(request), std::move(send_reply));
  else
    control_->handle(std::move(request), std::move(send_reply));
}

json::value Daemon::load() {
  std::lock_guard lock(counts_mutex_);
  const TransportCounts& transport_counts = transport_->counts();
  json::object dropped;
  for (Worker* worker : workers_)
    if (worker->messenger && worker->loop.dropped() > 0) dropped[worker->messenger->slice()] = worker->loop.dropped();
  return json::object{{"entries", to_json(counts_)},
                      {"callers", to_json(http_server_counts_)},
                      {"lots", to_json(lot_counts_)},
                      {"circle", to_json(circle_counts_)},
                      {"open", open_requests_},
                      {"placed", placed_items_},
                      {"wire", json::object{{"frames_out", transport_counts.frames_out.load()},
                                            {"bytes_out", transport_counts.bytes_out.load()},
                                            {"frames_in", transport_counts.frames_in.load()},
                                            {"bytes_in", transport_counts.bytes_in.load()},
                                            {"foreign", transport_counts.invalid_frames.load()}}},
                      {"store", json::object{{"appends", store_appends_.load()},
                                             {"commits", commits_.load()},
                                             {"counts", to_json(store_counts_)}}},
                      {"rings_full", dropped}};
}

int Daemon::run() {
  logs::info("daemon",
             "Serving clients at " + settings_.callers.text + " and operators at " + settings_.control.text + ".");
  transport_->start();
  for (Worker* worker : workers_) worker->loop.start();
  sessions_worker_.loop.try_post([this] { sessions_->start(); });
  gossip_worker_.loop.try_post([this] { gossip_->start(); });
  if (item_placer_) placing_worker_.loop.try_post([this] { item_placer_->start(); });
  if (router_) router_worker_.loop.try_post([this] { router_->start(); });
  if (store_) store_worker_.loop.try_post([this] { store_->start(); });
  if (circle_) circle_worker_.loop.try_post([this] { circle_->start(); });
  if (lots_) lots_worker_.loop.try_post([this] { lots_->start(); });
  if (runner_list_) listing_worker_.loop.try_post([this] { runner_list_->start(); });
  boost::asio::signal_set signals(main_, SIGTERM, SIGINT, SIGHUP);
  boost::asio::steady_timer timer(main_);
  TimePoint drain_until{}, drain_began{};
  // Load balancers that poll the health address need some time to send new clients to other daemons.
  const Duration min_drain_time =
      settings_.health.empty() ? Duration(std::chrono::milliseconds(200)) : Duration(std::chrono::milliseconds(2600));
  std::string last_state;
  std::function<void()> update = [&] {
    if (router_)
      router_worker_.loop.try_post([this] {
        std::lock_guard lock(counts_mutex_);
        counts_ = router_->counts();
        http_server_counts_ = http_server_->counts();
        open_requests_ = router_->open();
      });
    if (circle_)
      circle_worker_.loop.try_post([this] {
        std::lock_guard lock(counts_mutex_);
        circle_counts_ = circle_->counts();
      });
    if (lots_)
      lots_worker_.loop.try_post([this] {
        std::lock_guard lock(counts_mutex_);
        lot_counts_ = lots_->counts();
      });
    if (item_placer_)
      placing_worker_.loop.try_post([this] {
        std::lock_guard lock(counts_mutex_);
        placed_items_ = item_placer_->open();
      });
    if (store_)
      store_worker_.loop.try_post([this] {
        store_appends_ = store_->syncs();
        commits_ = store_->commits();
        std::lock_guard lock(counts_mutex_);
        store_counts_ = store_->counts();
      });
    const TimePoint now = steady_now();
    const std::string state =
        shared_state_.has_lease(now)    ? "This daemon holds a valid configuration lease and serves requests."
        : shared_state_.lease_until < 0 ? ""
                                        : "The configuration lease has expired: no control daemon with a majority "
                                          "replies. The last known configuration stays in use.";
    if (!state.empty() && state != last_state) logs::info("news", state);
    if (!state.empty()) last_state = state;
    if (!shared_state_.has_lease(now) && now - seeds_reloaded_at_ > std::chrono::seconds(1)) reload_seeds();
    if (drain_until.microseconds > 0)
      return check_drain_progress(now - drain_began >= min_drain_time, now > drain_until);
    timer.expires_after(std::chrono::milliseconds(200));
    timer.async_wait([&](const boost::system::error_code&) { update(); });
  };
  // The daemon ends when no request is open. Open requests are counted on the router's thread at that moment, so that
  // no request can arrive between the count and the end.
  check_drain_ = [&] {
    update();
  };
  std::function<void()> wait_for_signal = [&] {
    signals.async_wait([&](const boost::system::error_code& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        reload_seeds();
        return wait_for_signal();
      }
      if (drain_until.microseconds > 0) return main_.stop();
      logs::info("daemon", "Draining: new requests are refused, open requests are completed.");
      shared_state_.draining = true;
      drain_began = steady_now();
      drain_until = drain_began + settings_.drain + std::chrono::milliseconds(platform_ ? 0 : 400);
      if (router_)
        router_worker_.loop.try_post(
            [this, end = drain_until + -final_response_time] { router_->set_drain_deadline(end); });
      wait_for_signal();
    });
  };
  wait_for_signal();
  update();
  main_.run();
  return 0;
}

void Daemon::reload_seeds() {
  seeds_reloaded_at_ = steady_now();
  if (!platform_) return;
  auto seeds = reloaded_seeds(settings_, platform_->settings());
  if (auto error = error_of(seeds)) {
    const std::string why = error->field + ": " + error->message;
    if (why != refused_settings_)
      logs::warn("daemon", "Reloaded settings are refused and the current ones stay in use: " + why + ".");
    refused_settings_ = why;
    return;
  }
  refused_settings_.clear();
  auto& reloaded = std::get<std::vector<Address>>(seeds);
  if (reloaded != *shared_state_.seeds.get()) shared_state_.seeds.set(std::move(reloaded));
}

void Daemon::check_drain_progress(bool min_time_passed, bool time_expired) {
  auto check = [this, min_time_passed, time_expired] {
    if (min_time_passed && http_server_) http_server_->close();
    const std::size_t open_requests = (http_server_ ? http_server_->busy() : 0) + placed_items_;
    if ((open_requests == 0 && min_time_passed) || time_expired) {
      std::string open;
      if (http_server_)
        for (const auto& [phase, count] : http_server_->busy_phases())
          open += ", " + std::to_string(count) + " " + phase;
      if (placed_items_ > 0) open += ", " + std::to_string(placed_items_) + " items placed";
      logs::info("daemon", open_requests == 0 ? "Drained; ending."
                                              : "The drain time has expired; ending with " +
                                                    std::to_string(open_requests) + " requests open" + open + ".");
      return main_.stop();
    }
    boost::asio::post(main_, [this] {
      drain_timer_.expires_after(std::chrono::milliseconds(100));
      drain_timer_.async_wait([this](const boost::system::error_code&) { check_drain_(); });
    });
  };
  if (router_ && !settings_.single_thread)
    boost::asio::post(router_worker_.loop.context(), check);
  else
    check();
}

}  // namespace mothwalk
