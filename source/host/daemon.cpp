// Putting the duties together, draining and ending.
#include "host/daemon.hpp"

#include <sys/resource.h>

#include <algorithm>

#include "host/logs.hpp"

namespace mothwalk {

namespace {
constexpr Duration last_answers = std::chrono::milliseconds(250);  // for those that are given when a drain is over

// As many files as the system lets this process open; callers may hold half of them, since each may need a attempt.
std::size_t most_sessions() {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0) return 400;
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  return std::clamp<std::size_t>(files.rlim_cur / 2, 300, 20200) - 200;
}
}  // namespace

Daemon::Daemon(Settings settings, std::string version, std::unique_ptr<PlatformAdapter> place)
    : settings_(std::move(settings)), place_(std::move(place)) {
  self_.address = settings_.address;
  self_.zone = settings_.zone;
  self_.callers = settings_.callers;
  self_.control = settings_.control;
  self_.version = std::move(version);
  self_.keeps = settings_.keeps;
  self_.name = settings_.name;
  // Later starts at one address have higher incarnations; a clock that went back only delays the newer one's standing.
  self_.incarnation =
      new_incarnation(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()),
                      store_duty_.thread.random());
}

Daemon::~Daemon() {
  if (transport_) transport_->stop();
  for (Duty* duty : duties_) duty->thread.stop();
  if (disk_) disk_->stop();
}

void Daemon::make_messenger(Duty& duty, const std::string& slice) {
  duty.messenger =
      std::make_unique<Messenger>(*transport_, duty.thread.timers(), settings_.address, self_.incarnation, slice);
  transport_->route(slice, [&duty](Envelope envelope) {
    duty.thread.offer([&duty, envelope = std::move(envelope)]() mutable { duty.messenger->take(std::move(envelope)); });
  });
}

Result<Success> Daemon::open() {
  transport_ = std::make_unique<TcpTransport>(
      settings_.address, [](StringView sentence) { logs::warn("wire", sentence); }, shared_context_);
  const bool holder = !settings_.data_folder.empty();
  const bool keeps_control = holder && settings_.keeps != "lots", keeps_lots = holder && settings_.keeps != "control";
  const Dialect& dialect = place_ ? place_->dialect() : plain_dialect();
  const ConfigurationFormat* format = place_ ? &place_->format() : nullptr;
  make_messenger(sessions_duty_, "sessions");
  make_messenger(news_duty_, "news");
  make_messenger(control_duty_, "control");
  if (settings_.first_start) {
    make_messenger(founding_duty_, "founding");
    founding_ = std::make_unique<Founding>(*founding_duty_.messenger, shared_state_, *settings_.first_start);
  }
  if (holder) {
    make_messenger(store_duty_, "store");
    disk_ = std::make_unique<FileDisk>(
        settings_.data_folder, [this](Task task) { boost::asio::post(store_duty_.thread.context(), std::move(task)); });
    auto opened = disk_->open();
    if (auto error = error_of(opened)) return *error;
    ReplicatedStore::Report report;
    report.note = [](StringView sentence) {
      logs::note("store", sentence);
    };
    store_ = std::make_unique<ReplicatedStore>(*store_duty_.messenger, shared_state_, *disk_,
                                               store_duty_.thread.random(), self_, settings_.seeds, std::move(report),
                                               settings_.first_start, settings_.disk_limit_mb * 1000000);
    auto loaded = store_->load();
    if (auto error = error_of(loaded)) return *error;
    self_.holder = store_->identity();
  }
  if (keeps_control) {
    make_messenger(circle_duty_, "circle");
    circle_ = std::make_unique<CircleDuty>(*circle_duty_.messenger, shared_state_);
    circle_->note = [](StringView sentence) {
      logs::note("circle", sentence);
    };
  }
  if (keeps_lots) {
    make_messenger(lots_duty_, "lots");
    lots_ = std::make_unique<Lots>(*lots_duty_.messenger, shared_state_);
  }
  sessions_ = std::make_unique<Sessions>(*sessions_duty_.messenger, shared_state_, self_, settings_.seeds);
  news_ = std::make_unique<ConfigurationGossip>(*news_duty_.messenger, shared_state_, news_duty_.thread.random(),
                                                keeps_control, format);
  // Where machines hold lots alone, these place the items as well.
  if (!place_ || settings_.keeps == "lots") {
    make_messenger(placing_duty_, "placing");
    lot_exchange_ = std::make_unique<BeastRunnerClient>(placing_duty_.thread.context());
    placing_ = std::make_unique<ItemPlacer>(*placing_duty_.messenger, shared_state_, *lot_exchange_,
                                            placing_duty_.thread.random(), dialect);
  }
  if (place_ && !settings_.control.empty()) {
    make_messenger(listing_duty_, "listing");
    list_exchange_ = std::make_unique<BeastRunnerClient>(listing_duty_.thread.context());
    list_source_ = place_->list_source();
    runner_list_ = std::make_unique<RunnerList>(*listing_duty_.messenger, shared_state_, *list_exchange_,
                                                listing_duty_.thread.random(), *list_source_);
  }
  control_ = std::make_unique<Control>(*control_duty_.messenger, shared_state_, control_duty_.thread.random(), self_,
                                       [this] { return load(); });
  if (place_) surface_ = place_->surface(*control_duty_.messenger, shared_state_, control_duty_.thread.random(), self_);
  if (!settings_.callers.empty()) {
    make_messenger(routes_duty_, "routes");
    live_exchange_ = std::make_unique<BeastRunnerClient>(routes_duty_.thread.context());
    router_ = std::make_unique<Router>(*routes_duty_.messenger, shared_state_, *live_exchange_,
                                       routes_duty_.thread.random(), self_, dialect);
    front_ = std::make_unique<Front>(
        routes_duty_.thread.context(), *router_,
        [this](ControlRequest request, ControlAnswer answer) {
          return control_duty_.thread.offer([this, request = std::move(request), answer = std::move(answer)]() mutable {
            handle(std::move(request), std::move(answer));
          });
        },
        most_sessions(),
        surface_
            ? Front::ToControlSide([this](StringView method, StringView target, const std::vector<Header>& headers) {
                return surface_->takes(method, target, headers);
              })
            : Front::ToControlSide());
    router_->serves_while_draining = place_ != nullptr;
    router_->warn = [](StringView sentence) {
      logs::warn("routes", sentence);
    };
  }
  return listen();
}

Result<Success> Daemon::listen() {
  auto result = transport_->listen();
  if (front_ && !error_of(result)) result = front_->listen(settings_.callers, true);
  for (const Address& address : {settings_.control, settings_.health})
    if (front_ && !address.empty() && !error_of(result)) result = front_->listen(address, false);
  return result;
}

void Daemon::handle(ControlRequest request, ControlAnswer answer) {
  if (surface_)
    surface_->handle(std::move(request), std::move(answer));
  else
    control_->handle(std::move(request), std::move(answer));
}

json::value Daemon::load() {
  std::lock_guard lock(counts_mutex_);
  const WireCounts& wire = transport_->counts();
  json::object dropped;
  for (Duty* duty : duties_)
    if (duty->messenger && duty->thread.dropped() > 0) dropped[duty->messenger->slice()] = duty->thread.dropped();
  return json::object{
      {"entries", to_json(counts_)},
      {"callers", to_json(front_counts_)},
      {"lots", to_json(lot_counts_)},
      {"circle", to_json(circle_counts_)},
      {"open", open_},
      {"placed", placed_},
      {"wire", json::object{{"frames_out", wire.frames_out.load()},
                            {"bytes_out", wire.bytes_out.load()},
                            {"frames_in", wire.frames_in.load()},
                            {"bytes_in", wire.bytes_in.load()},
                            {"foreign", wire.foreign.load()}}},
      {"store",
       json::object{{"appends", syncs_.load()}, {"commits", commits_.load()}, {"counts", to_json(store_counts_)}}},
      {"rings_full", dropped}};
}

int Daemon::run() {
  logs::note("daemon",
             "Serving callers at " + settings_.callers.text + " and operators at " + settings_.control.text + ".");
  transport_->start();
  for (Duty* duty : duties_) duty->thread.start();
  sessions_duty_.thread.offer([this] { sessions_->start(); });
  news_duty_.thread.offer([this] { news_->start(); });
  if (placing_) placing_duty_.thread.offer([this] { placing_->start(); });
  if (router_) routes_duty_.thread.offer([this] { router_->start(); });
  if (store_) store_duty_.thread.offer([this] { store_->start(); });
  if (circle_) circle_duty_.thread.offer([this] { circle_->start(); });
  if (lots_) lots_duty_.thread.offer([this] { lots_->start(); });
  if (runner_list_) listing_duty_.thread.offer([this] { runner_list_->start(); });
  boost::asio::signal_set signals(main_, SIGTERM, SIGINT, SIGHUP);
  boost::asio::steady_timer timer(main_);
  TimePoint drain_until{}, drain_began{};
  // Watchers of a place's health answers need a moment to send new callers elsewhere.
  const Duration drain_least =
      settings_.health.empty() ? Duration(std::chrono::milliseconds(200)) : Duration(std::chrono::milliseconds(2600));
  std::string last_state;
  std::function<void()> watch = [&] {
    if (router_)
      routes_duty_.thread.offer([this] {
        std::lock_guard lock(counts_mutex_);
        counts_ = router_->counts();
        front_counts_ = front_->counts();
        open_ = router_->open();
      });
    if (circle_)
      circle_duty_.thread.offer([this] {
        std::lock_guard lock(counts_mutex_);
        circle_counts_ = circle_->counts();
      });
    if (lots_)
      lots_duty_.thread.offer([this] {
        std::lock_guard lock(counts_mutex_);
        lot_counts_ = lots_->counts();
      });
    if (placing_)
      placing_duty_.thread.offer([this] {
        std::lock_guard lock(counts_mutex_);
        placed_ = placing_->open();
      });
    if (store_)
      store_duty_.thread.offer([this] {
        syncs_ = store_->syncs();
        commits_ = store_->commits();
        std::lock_guard lock(counts_mutex_);
        store_counts_ = store_->counts();
      });
    const TimePoint now = steady_now();
    const std::string state =
        shared_state_.has_lease(now) ? "The configuration is fresh; this daemon serves."
        : shared_state_.lease_until < 0
            ? ""
            : "No control daemon in touch with a majority answers; the newest configuration known stays in force.";
    if (!state.empty() && state != last_state) logs::note("news", state);
    if (!state.empty()) last_state = state;
    if (!shared_state_.has_lease(now) && now - seeds_read_ > std::chrono::seconds(1)) read_seeds_again();
    if (drain_until.microseconds > 0) return drain(now - drain_began >= drain_least, now > drain_until);
    timer.expires_after(std::chrono::milliseconds(200));
    timer.async_wait([&](const boost::system::error_code&) { watch(); });
  };
  // Ends when nothing is open any more. What is open is counted on the thread that serves, at the moment of the end, so
  // that no request comes between.
  drain_again_ = [&] {
    watch();
  };
  std::function<void()> wait = [&] {
    signals.async_wait([&](const boost::system::error_code& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        read_seeds_again();
        return wait();
      }
      if (drain_until.microseconds > 0) return main_.stop();
      logs::note("daemon", "Draining: new requests are refused, open ones end.");
      shared_state_.draining = true;
      drain_began = steady_now();
      drain_until = drain_began + settings_.drain + std::chrono::milliseconds(place_ ? 0 : 400);
      if (router_)
        routes_duty_.thread.offer([this, end = drain_until + -last_answers] { router_->answer_all_by(end); });
      wait();
    });
  };
  wait();
  watch();
  main_.run();
  return 0;
}

void Daemon::read_seeds_again() {
  seeds_read_ = steady_now();
  if (!place_) return;
  auto seeds = seeds_read_again(settings_, place_->settings());
  if (auto error = error_of(seeds)) {
    const std::string why = error->field + ": " + error->message;
    if (why != refused_settings_) logs::warn("daemon", "The settings were read again and are refused: " + why + ".");
    refused_settings_ = why;
    return;
  }
  refused_settings_.clear();
  auto& read = std::get<std::vector<Address>>(seeds);
  if (read != *shared_state_.seeds.get()) shared_state_.seeds.set(std::move(read));
}

void Daemon::drain(bool long_enough, bool over) {
  auto count = [this, long_enough, over] {
    if (long_enough && front_) front_->close();
    const std::size_t left = (front_ ? front_->busy() : 0) + placed_;
    if ((left == 0 && long_enough) || over) {
      std::string open;
      if (front_)
        for (const auto& [phase, count] : front_->busy_phases()) open += ", " + std::to_string(count) + " " + phase;
      if (placed_ > 0) open += ", " + std::to_string(placed_) + " items placed";
      logs::note("daemon", left == 0 ? "Drained; ending."
                                     : "The drain time is over; ending with " + std::to_string(left) +
                                           " requests open" + open + ".");
      return main_.stop();
    }
    boost::asio::post(main_, [this] {
      drain_timer_.expires_after(std::chrono::milliseconds(100));
      drain_timer_.async_wait([this](const boost::system::error_code&) { drain_again_(); });
    });
  };
  if (router_ && !settings_.single_thread)
    boost::asio::post(routes_duty_.thread.context(), count);
  else
    count();
}

}  // namespace mothwalk
