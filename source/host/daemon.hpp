// One daemon: its duties, each on a thread of its own, joined by bounded rings and the wire.
#pragma once
#include "circle/circle.hpp"
#include "control/control.hpp"
#include "host/beast_exchange.hpp"
#include "host/file_disk.hpp"
#include "host/front.hpp"
#include "host/settings.hpp"
#include "host/tcp_wire.hpp"
#include "lots/lots.hpp"
#include "lots/placing.hpp"
#include "news/news.hpp"
#include "routes/entries.hpp"
#include "sessions/sessions.hpp"

namespace mothwalk {

class Daemon {
 public:
  Daemon(Settings settings, std::string version);
  ~Daemon();
  Result<Done> open();
  // Runs until a signal has drained it or its disk has failed; gives the exit code.
  int run();

 private:
  struct Duty {
    DutyThread thread;
    std::unique_ptr<Post> post;
    explicit Duty(std::string name) : thread(std::move(name)) {}
  };
  void make_post(Duty& duty, const std::string& slice);
  json::value usage();

  Settings settings_;
  Member self_;
  Board board_;
  std::unique_ptr<TcpWire> wire_;
  Duty sessions_duty_{"sessions"}, news_duty_{"news"}, kept_duty_{"kept"}, circle_duty_{"circle"}, lots_duty_{"lots"}, placing_duty_{"placing"}, routes_duty_{"routes"}, control_duty_{"control"};
  std::unique_ptr<FileDisk> disk_;
  std::unique_ptr<BeastExchange> live_exchange_, lot_exchange_;
  std::unique_ptr<Sessions> sessions_;
  std::unique_ptr<News> news_;
  std::unique_ptr<Kept> kept_;
  std::unique_ptr<CircleDuty> circle_;
  std::unique_ptr<Lots> lots_;
  std::unique_ptr<Placing> placing_;
  std::unique_ptr<Entries> entries_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<Front> front_;
  boost::asio::io_context main_{1};
  std::mutex counts_mutex_;
  EntryCounts counts_;
  std::size_t open_ = 0, placed_ = 0;
  std::atomic<std::uint64_t> syncs_{0}, commits_{0};
  int exit_code_ = 0;
};

}  // namespace mothwalk
