// Starting, measuring and ending of real and hollow daemons.
#include "scale/loopback.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "gossip/configuration_gossip.hpp"
#include "host/tcp_transport.hpp"
#include "replication/store_client.hpp"
#include "routes/router.hpp"
#include "sessions/sessions.hpp"

namespace mothwalk::scale {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class NoExchange : public RunnerClient {
 public:
  Id start(const AttemptRequest&, std::shared_ptr<AttemptObserver>) override { return 0; }
  void cancel(Id) override {}
  void set_paused(Id, bool) override {}
};

Address loopback_address(const LoopbackSize& size, std::size_t number, std::size_t side) {
  return Address("127.0.0.1:" + std::to_string(size.port + number * 3 + side));
}
std::string zone(std::size_t number) {
  return "zone-" + std::to_string(number % 7);
}

// The hollow daemons share a few loops, each with a thread; a daemon on the platform has one loop too.
class Loops {
 public:
  Loops() {
    for (auto& context : contexts_) threads_.emplace_back([&context] { context.run(); });
  }
  ~Loops() { stop(); }
  boost::asio::io_context& of(std::size_t number) { return contexts_[number % contexts_.size()]; }
  void stop() {
    for (auto& context : contexts_) context.stop();
    for (auto& thread : threads_)
      if (thread.joinable()) thread.join();
  }

 private:
  using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;
  std::array<boost::asio::io_context, 3> contexts_;
  std::array<Guard, 3> guards_{Guard(contexts_[0].get_executor()), Guard(contexts_[1].get_executor()),
                               Guard(contexts_[2].get_executor())};
  std::vector<std::thread> threads_;
};

class Hollow {
 public:
  Hollow(const LoopbackSize& size, std::size_t number, std::vector<Address> seeds, boost::asio::io_context& loop)
      : thread_("hollow", &loop),
        transport_(
            loopback_address(size, number, 0), [](StringView) {}, &loop) {
    Member self;
    self.address = self.callers = self.control = loopback_address(size, number, 0);
    self.zone = ZoneId(zone(number));
    self.incarnation = new_incarnation(
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()), thread_.random());
    self.version = "hollow";
    for (const char* slice : {"sessions", "news", "routes", "scale"}) {
      Messenger& messenger = *(posts_[slice] = std::make_unique<Messenger>(transport_, thread_.timers(), self.address,
                                                                           self.incarnation, slice));
      transport_.route(slice, [this, &messenger](Envelope envelope) {
        thread_.try_post(
            [&messenger, envelope = std::move(envelope)]() mutable { messenger.receive(std::move(envelope)); });
      });
    }
    sessions_ = std::make_unique<Sessions>(*posts_["sessions"], shared_state, self, std::move(seeds));
    gossip_ = std::make_unique<ConfigurationGossip>(*posts_["news"], shared_state, thread_.random(), false);
    entries_ = std::make_unique<Router>(*posts_["routes"], shared_state, runner_client_, thread_.random(), self);
    client_ = std::make_unique<StoreClient>(*posts_["scale"], shared_state);
  }
  Result<Success> start() {
    if (auto listening = transport_.listen(); error_of(listening)) return listening;
    thread_.try_post([this] {
      sessions_->start();
      gossip_->start();
      entries_->start();
    });
    return Success{};
  }
  void write(const std::string& key, const std::string& text, std::function<void(Result<WriteReply>)> then) {
    Write request;
    request.key = key;
    request.head = text;
    thread_.try_post([this, request, then] { client_->write(request, seconds(10), then); });
  }
  void tell_runners(const RunnerListing& listing) {
    thread_.try_post([this, listing] {
      posts_["scale"]->send(posts_["scale"]->self(),
                            PushUpdates{{ConfigurationUpdate{std::string(listing_key), Stamp{Epoch{1}, Version{1}},
                                                             false, to_cbor(listing)}}});
    });
  }
  const TransportCounts& counts() const { return transport_.counts(); }
  SharedState shared_state;

 private:
  EventLoop thread_;
  TcpTransport transport_;
  NoExchange runner_client_;
  std::map<std::string, std::unique_ptr<Messenger>> posts_;
  std::unique_ptr<Sessions> sessions_;
  std::unique_ptr<ConfigurationGossip> gossip_;
  std::unique_ptr<Router> entries_;
  std::unique_ptr<StoreClient> client_;
};

struct Real {
  pid_t pid = 0;
  Address address;
  bool control = false;
};

pid_t launch(const std::vector<std::string>& words) {
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // they never outlive the run
  const int nothing = ::open("/dev/null", O_RDWR);
  ::dup2(nothing, 1);
  ::dup2(nothing, 2);
  std::vector<char*> list;
  for (const auto& word : words) list.push_back(const_cast<char*>(word.c_str()));
  list.push_back(nullptr);
  ::execv(list[0], list.data());
  ::_exit(127);
}

// Processor seconds and resident bytes.
std::pair<double, double> spent(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string skipped;
  for (int index = 0; index < 11; ++index) fields >> skipped;
  double user = 0, system = 0, pages = 0;
  fields >> user >> system;
  for (int index = 0; index < 8; ++index) fields >> skipped;
  fields >> pages;
  return {(user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK)),
          pages * static_cast<double>(::sysconf(_SC_PAGESIZE))};
}

template <class Condition>
std::optional<std::int64_t> wait(Duration most, Condition condition) {
  const TimePoint began = steady_now();
  while (!condition()) {
    if (steady_now() - began > most) return std::nullopt;
    std::this_thread::sleep_for(milliseconds(2));
  }
  return (steady_now() - began).count() / 1000;
}

}  // namespace

Result<Success> check_size(const LoopbackSize& size, std::uint64_t memory) {
  auto wrong = [](const std::string& field, const std::string& message, const std::string& remedy) {
    return Error{ErrorKind::invalid, field, message, remedy};
  };
  if (size.control < 3 || size.real < size.control)
    return wrong("real", "the real daemons are fewer than those of control, or these are under 3",
                 "give 3 or more of control and at least as many real ones");
  if (size.real > 100) return wrong("real", "more than 100 processes", "give fewer, and more hollow daemons");
  if (size.hollow < 1 || size.hollow > 600)
    return wrong("hollow", "the hollow daemons are none or more than 600", "give 1 to 600");
  if (size.kinds == 0 || size.lanes == 0)
    return wrong("kinds, lanes", "one of them is zero", "give one or more of each");
  if (size.port + (size.real + size.hollow) * 3 > 32000)
    return wrong("port", "the ports reach into those that the system gives to connections",
                 "give a lower port or fewer daemons");
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  const std::uint64_t descriptors = size.hollow * (20 + 4 * size.control) + 100;
  if (descriptors > files.rlim_max)
    return wrong(
        "hollow",
        "about " + std::to_string(descriptors) + " files are needed and " + std::to_string(files.rlim_max) + " allowed",
        "give fewer hollow daemons");
  const std::uint64_t needed = size.real * (24ull << 20) + size.hollow * ((2ull << 20) + size.runners * 2048);
  if (needed > memory / 2)
    return wrong("hollow",
                 "the run may need " + std::to_string(needed >> 20) + " MB, over half of the machine's " +
                     std::to_string(memory >> 20) + " MB",
                 "give fewer daemons or runners");
  if (::access(size.program.c_str(), X_OK) != 0)
    return wrong("program", "'" + size.program + "' can't be run", "name the mothwalk-daemon to measure");
  return Success{};
}

std::vector<std::string> run(const LoopbackSize& size) {
  std::vector<std::string> broken;
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("mothwalk-scale-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  std::vector<Address> seeds;
  std::string seed_list;
  for (std::size_t index = 0; index < 3; ++index) {
    seeds.push_back(loopback_address(size, index, 0));
    seed_list += (index > 0 ? "," : "") + seeds.back().text;
  }
  std::vector<Real> reals;
  for (std::size_t index = 0; index < size.real; ++index) {
    const bool control = index < size.control;
    std::vector<std::string> words{size.program,
                                   "--address",
                                   loopback_address(size, index, 0).text,
                                   "--callers",
                                   loopback_address(size, index, 1).text,
                                   "--control",
                                   loopback_address(size, index, 2).text,
                                   "--zone",
                                   zone(index),
                                   "--seeds",
                                   seed_list,
                                   "--log-level",
                                   "quiet"};
    if (control) {
      const auto data = folder / std::to_string(index);
      std::filesystem::create_directories(data);
      words.insert(words.end(), {"--data-folder", data.string()});
    }
    reals.push_back(Real{launch(words), loopback_address(size, index, 0), control});
  }
  Loops loops;
  std::vector<std::unique_ptr<Hollow>> hollows;
  for (std::size_t index = 0; index < size.hollow; ++index) {
    hollows.push_back(std::make_unique<Hollow>(size, size.real + index, seeds, loops.of(index)));
    if (auto started = hollows.back()->start(); error_of(started)) broken.push_back(error_of(started)->message);
  }
  Hollow& first = *hollows.front();
  auto write = [&](const std::string& key, const json::object& spec) {
    auto good = std::make_shared<std::atomic<int>>(0);
    for (int attempt = 0; attempt < 6 && *good != 1; ++attempt) {
      *good = 0;
      first.write(key, json::serialize(spec),
                  [good](Result<WriteReply> result) { *good = error_of(result) == nullptr ? 1 : 2; });
      wait(seconds(12), [&] { return *good != 0; });
    }
    if (*good != 1) broken.push_back(key + " was not taken");
    return *good == 1;
  };
  auto all_hollow = [&](auto condition) {
    return std::all_of(hollows.begin(), hollows.end(), [&](const auto& hollow) { return condition(*hollow); });
  };
  const std::size_t whole = size.real + size.hollow;
  bool good = wait(seconds(30), [&] { return first.shared_state.has_lease(steady_now()); }).has_value();
  if (!good) broken.push_back("the fleet was not founded within 30 s");
  for (std::size_t kind = 0; good && kind < size.kinds; ++kind)
    good = write("kind/model-" + std::to_string(kind),
                 json::object{{"circle", json::object{{"all", true}, {"floor", 1}, {"reserve", 0}}}});
  auto lane = [&](std::size_t number, std::size_t change) {
    return json::object{
        {"path", "/lane-" + std::to_string(number)}, {"kind", "model-0"}, {"first_piece", 5000 + change}};
  };
  for (std::size_t number = 0; good && number < size.lanes; ++number)
    good = write("lane/lane-" + std::to_string(number), lane(number, 0));
  if (good) {
    RunnerListing listing;
    for (std::size_t index = 0; index < size.runners; ++index)
      listing.runners["runner-" + std::to_string(index)] = Runner{KindId("model-" + std::to_string(index % size.kinds)),
                                                                  Address("10.0.0.1:" + std::to_string(8000 + index)),
                                                                  ZoneId(zone(index)),
                                                                  8,
                                                                  false,
                                                                  1,
                                                                  Duration{}};
    first.tell_runners(listing);
    const auto known = wait(seconds(30), [&] {
      return all_hollow([&](Hollow& hollow) {
        return hollow.shared_state.members.get()->all.size() == whole &&
               hollow.shared_state.configuration.get()->runners.size() == size.runners;
      });
    });
    if (!known) broken.push_back("not every hollow daemon knew all daemons and runners after 30 s");
    std::this_thread::sleep_for(seconds(15));  // the circles warm

    auto own = [] {
      rusage usage{};
      ::getrusage(RUSAGE_SELF, &usage);
      return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
             static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
    };
    auto counted = [&] {
      double bytes = 0;
      for (const auto& hollow : hollows) bytes += static_cast<double>(hollow->counts().bytes_out.load());
      return bytes;
    };
    std::map<pid_t, double> before;
    for (const auto& real : reals) before[real.pid] = spent(real.pid).first;
    const double own_before = own(), bytes_before = counted();
    const TimePoint began = steady_now();
    std::this_thread::sleep_for(seconds(size.seconds));
    const double elapsed = static_cast<double>((steady_now() - began).count()) / 1e6;
    std::cout << std::fixed << std::setprecision(2) << "\nloopback, " << size.real << " real daemons (" << size.control
              << " of control), " << size.hollow << " hollow, " << size.runners << " runners\n"
              << "  hollow: " << (own() - own_before) / elapsed / static_cast<double>(size.hollow) * 100
              << "% of a core, " << (counted() - bytes_before) / elapsed / static_cast<double>(size.hollow)
              << " B/s out, " << spent(::getpid()).second / 1e6 / static_cast<double>(size.hollow) << " MB a daemon\n";
    for (const bool control : {true, false}) {
      double processor = 0, memory = 0, count = 0;
      for (const auto& real : reals) {
        if (real.control != control) continue;
        const auto [time, bytes] = spent(real.pid);
        processor += (time - before[real.pid]) / elapsed;
        memory += bytes;
        ++count;
      }
      if (count > 0)
        std::cout << "  real " << (control ? "control: " : "edge: ") << processor / count * 100 << "% of a core, "
                  << memory / count / 1e6 << " MB a daemon\n";
    }

    std::vector<std::int64_t> spans;
    for (std::size_t change = 1; change <= size.changes; ++change) {
      const std::size_t number = change % size.lanes;
      const TimePoint sent = steady_now();
      if (!write("lane/lane-" + std::to_string(number), lane(number, change))) break;
      std::vector<Hollow*> lacking;
      for (const auto& hollow : hollows) lacking.push_back(hollow.get());
      wait(seconds(10), [&] {
        std::erase_if(lacking, [&](Hollow* hollow) {
          const auto configuration = hollow->shared_state.configuration.get();
          auto found = configuration->lanes.find("lane-" + std::to_string(number));
          if (found == configuration->lanes.end() || found->second.spec.first_piece != milliseconds(5000 + change))
            return false;
          spans.push_back((steady_now() - sent).count() / 1000);
          return true;
        });
        return lacking.empty();
      });
      if (!lacking.empty())
        broken.push_back(std::to_string(lacking.size()) + " hollow daemons lacked a change after 10 s");
    }
    std::sort(spans.begin(), spans.end());
    if (!spans.empty())
      std::cout << "  change in force after its sending (median, 99 in 100, worst): " << spans[spans.size() / 2] << ", "
                << spans[spans.size() * 99 / 100] << ", " << spans.back() << " ms\n";

    for (const auto& real : reals)
      if (::waitpid(real.pid, nullptr, WNOHANG) != 0)
        broken.push_back("the daemon at " + real.address.text + " ended by itself");
    const Real lost = reals.back();
    ::kill(lost.pid, SIGKILL);
    ::waitpid(lost.pid, nullptr, 0);
    reals.pop_back();
    const auto known_lost = wait(seconds(20), [&] {
      return all_hollow([&](Hollow& hollow) { return !hollow.shared_state.members.get()->all.contains(lost.address); });
    });
    if (!known_lost)
      broken.push_back("a lost daemon was still a member after 20 s");
    else
      std::cout << "  loss of a real " << (lost.control ? "control" : "edge")
                << " daemon known to all hollow ones after " << *known_lost << " ms\n";
  }
  loops.stop();
  hollows.clear();
  for (const auto& real : reals) ::kill(real.pid, SIGKILL);
  for (const auto& real : reals) ::waitpid(real.pid, nullptr, 0);
  std::filesystem::remove_all(folder);
  return broken;
}

}  // namespace mothwalk::scale
