// stand-in-caller: open-loop load from every kind of caller, told by a plan in JSON. It verifies each answer piece by
// piece and each lot result by result, and writes what it saw to a ledger for the judge.
#include <getopt.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include "host/tcp_transport.hpp"
#include "stand_ins/ledger.hpp"
#include "stand_ins/shapes.hpp"

namespace beast = boost::beast;
namespace http = beast::http;
using namespace mothwalk;

namespace {

struct Plan {
  std::vector<Address> targets;
  std::string ledger;
  Duration length = std::chrono::seconds(10), settle = std::chrono::seconds(15);
  std::uint32_t most = 0;  // stop after so many of each load; zero for no such limit
  std::vector<StreamLoad> streams;
  std::vector<LotLoad> lots;
  MOTHWALK_FIELDS(targets, ledger, length, settle, most, streams, lots)
};

class Client;

// One HTTP call with pieces.
class Call : public std::enable_shared_from_this<Call> {
 public:
  using Piece = std::function<void(StringView)>;
  using Over = std::function<void(bool whole, bool connected)>;
  Call(boost::asio::io_context& context, const Address& to) : stream_(context), to_(to) {}
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::buffer_body>> parser;
  Piece piece = [](StringView) {
  };
  Over over;

  void start(Duration limit) {
    request.version(11);
    request.set(http::field::host, to_.text);
    request.set(http::field::connection, "close");
    request.prepare_payload();
    stream_.expires_after(limit);
    stream_.async_connect(*endpoint_of(to_), [self = shared_from_this()](const beast::error_code& error) {
      if (error) return self->finish(false);
      self->connected_ = true;
      http::async_write(self->stream_, self->request, [self](const beast::error_code& failed, std::size_t) {
        if (failed) return self->finish(false);
        self->parser.emplace();
        self->parser->body_limit(boost::none);
        http::async_read_header(self->stream_, self->buffer_, *self->parser,
                                [self](const beast::error_code& ended, std::size_t) {
                                  if (ended) return self->finish(false);
                                  if (self->parser->is_done()) return self->finish(true);
                                  self->read();
                                });
      });
    });
  }

 private:
  void read() {
    parser->get().body().data = space_.data();
    parser->get().body().size = space_.size();
    http::async_read_some(stream_, buffer_, *parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
      if (error == http::error::need_buffer) error = {};
      const std::size_t count = self->space_.size() - self->parser->get().body().size;
      if (count > 0) self->piece(StringView(self->space_.data(), count));
      if (error) return self->finish(false);
      if (self->parser->is_done()) return self->finish(true);
      self->read();
    });
  }
  void finish(bool whole) {
    if (over) over(whole, connected_);
    over = nullptr;
    piece = [](StringView) {
    };
  }
  beast::tcp_stream stream_;
  Address to_;
  beast::flat_buffer buffer_;
  std::array<char, 16384> space_{};
  bool connected_ = false;
};

class Client {
 public:
  Client(boost::asio::io_context& context, Plan plan)
      : context_(context),
        plan_(std::move(plan)),
        ledger_(plan_.ledger),
        state_(1 + static_cast<std::uint64_t>(::getpid())) {}

  void start() {
    end_ = Ledger::milliseconds_now() + plan_.length.count() / 1000;
    for (const auto& load : plan_.streams)
      pace(load.rate, [this, &load](std::uint64_t number) { send_stream(load, number); });
    for (const auto& load : plan_.lots) pace(load.rate, [this, &load](std::uint64_t number) { hand_in(load, number); });
  }

 private:
  struct LotState {
    std::string id;
    const LotLoad* load;
    std::string body;
    bool acknowledged = false, cancelled = false;
    std::vector<std::string> seen;  // results by position, as first read
    std::int64_t handed_in = 0, give_up = 0, acknowledged_at = 0;
    std::uint32_t tries = 0;
  };

  double uniform() {
    state_ ^= state_ << 13;
    state_ ^= state_ >> 7;
    state_ ^= state_ << 17;
    return static_cast<double>(state_ >> 11) / 9007199254740992.0;
  }
  const Address& target() {
    return plan_.targets[static_cast<std::size_t>(uniform() * static_cast<double>(plan_.targets.size())) %
                         plan_.targets.size()];
  }
  void later(double milliseconds, std::function<void()> then) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000)));
    timer->async_wait([timer, then](const boost::system::error_code&) { then(); });
  }
  // Open loop: the next arrival does not wait for the last answer.
  void pace(double rate, std::function<void(std::uint64_t)> send, std::uint64_t number = 0) {
    if (rate <= 0) return;
    later(-std::log(1.0 - uniform()) * 1000.0 / rate, [this, rate, send, number] {
      if (Ledger::milliseconds_now() >= end_ || (plan_.most > 0 && number >= plan_.most)) return;
      send(number);
      pace(rate, send, number + 1);
    });
  }

  void send_stream(const StreamLoad& load, std::uint64_t number) {
    const std::string id = load.name + "-" + std::to_string(::getpid()) + "-" + std::to_string(number);
    auto call = std::make_shared<Call>(context_, target());
    call->request.method(http::verb::post);
    call->request.target(load.path);
    call->request.set("X-Request-Id", id);
    if (load.pieces > 0) call->request.set("X-Pieces", std::to_string(load.pieces));
    std::string body;
    if (load.prefix_bytes > 0) {
      const std::string word =
          load.name + "-prefix-" + std::to_string(static_cast<std::uint32_t>(uniform() * load.prefixes)) + " ";
      while (body.size() < load.prefix_bytes) body += word;
      body.resize(load.prefix_bytes);
    }
    while (body.size() < load.prefix_bytes + load.body_bytes) body += id + " ";
    call->request.body() = std::move(body);
    const std::int64_t sent = Ledger::milliseconds_now();
    auto text = std::make_shared<std::string>();
    auto first = std::make_shared<std::int64_t>(0);
    call->piece = [text, first](StringView piece) {
      if (*first == 0) *first = Ledger::milliseconds_now();
      text->append(piece);
    };
    call->over = [this, &load, id, sent, text, first, weak = std::weak_ptr(call)](bool whole, bool connected) {
      auto done = weak.lock();
      json::object line{{"what", "request"},
                        {"id", id},
                        {"load", load.name},
                        {"repeatable", load.repeatable},
                        {"sent", sent},
                        {"first", *first == 0 ? 0 : *first - sent},
                        {"took", Ledger::milliseconds_now() - sent}};
      std::string outcome = connected ? "broken" : "unreachable", fault, run;
      if (done && done->parser && done->parser->is_header_done()) {
        const auto& head = done->parser->get();
        line["status"] = head.result_int();
        const std::string given(head["X-Mothwalk-Outcome"]);
        if (given == "refused" || given == "unknown") {
          outcome = given;
          line["retry_after"] = std::string(head["Retry-After"]);
          line["reason"] = *text;
        } else if (whole && given == "answer") {
          outcome = "answer";
        }
        if (given == "answer" && head.result_int() == 200)
          fault = load.pieces > 0 ? check_pieces(id, load.pieces, *text, whole, run)
                  : whole         ? check_plain(id, *text, run)
                                  : "";
      }
      line["outcome"] = outcome;
      line["fault"] = fault;
      line["run"] = run;
      ledger_.write(std::move(line));
    };
    call->start(std::chrono::seconds(90));
  }

  // Each line is "id run index count"; the lines of one answer come from one run, in order, and all where it is whole.
  static std::string check_pieces(const std::string& id, std::uint32_t pieces, const std::string& text, bool whole,
                                  std::string& run) {
    std::istringstream lines(text);
    std::string line;
    std::uint32_t next = 0;
    while (std::getline(lines, line)) {
      if (lines.eof() && !whole) break;
      std::istringstream words(line);
      std::string got_id, got_run;
      std::uint32_t index = 0, count = 0;
      if (!(words >> got_id >> got_run >> index >> count)) return "garbled piece: " + line;
      if (got_id != id) return "another's answer: " + line;
      if (run.empty()) run = got_run;
      if (got_run != run) return "spliced runs: " + run + " and " + got_run;
      if (index != next) return index < next ? "repeated piece" : "lost piece";
      ++next;
    }
    if (whole && next != pieces)
      return "a partial answer looks whole: " + std::to_string(next) + " of " + std::to_string(pieces);
    return "";
  }
  static std::string check_plain(const std::string& id, const std::string& text, std::string& run) {
    auto parsed = parse_json(text);
    if (error_of(parsed)) return "garbled answer";
    const auto& value = std::get<json::value>(parsed);
    if (!value.is_object() || !value.as_object().contains("id") || value.at("id").as_string() != id)
      return "another's answer: " + text;
    run = std::string(value.at("run").as_string());
    return "";
  }

  void simple(const std::string& method, const std::string& target_path, const std::string& body,
              std::function<void(int, std::string)> then) {
    auto call = std::make_shared<Call>(context_, target());
    call->request.method_string(method);
    call->request.target(target_path);
    call->request.body() = body;
    auto text = std::make_shared<std::string>();
    call->piece = [text](StringView piece) {
      text->append(piece);
    };
    call->over = [text, then, weak = std::weak_ptr(call)](bool whole, bool) {
      auto done = weak.lock();
      then(whole && done && done->parser ? static_cast<int>(done->parser->get().result_int()) : 0, *text);
    };
    call->start(std::chrono::seconds(8));
  }

  void hand_in(const LotLoad& load, std::uint64_t number) {
    auto lot = std::make_shared<LotState>();
    lot->id = load.name + "-" + std::to_string(::getpid()) + "-" + std::to_string(number);
    lot->load = &load;
    json::array items;
    for (std::uint32_t item = 0; item < load.items; ++item)
      items.push_back(
          json::value(json::string(lot->id + "/" + std::to_string(item) + " " + std::string(load.item_bytes, 'x'))));
    lot->body = json::serialize(
        json::object{{"lane", load.lane}, {"deadline", load.deadline.count() / 1000}, {"items", items}});
    lot->handed_in = Ledger::milliseconds_now();
    lot->give_up = end_ + plan_.settle.count() / 1000;
    submit(lot);
    if (load.cancel_every > 0 && number % load.cancel_every == load.cancel_every - 1)
      later(300, [this, lot] { cancel(lot); });
  }

  void submit(std::shared_ptr<LotState> lot) {
    simple("PUT", "/lots/" + lot->id, lot->body, [this, lot](int status, std::string text) {
      if (status == 200) {
        lot->acknowledged = true;
        lot->acknowledged_at = Ledger::milliseconds_now();
        ledger_.write({{"what", "lot"},
                       {"id", lot->id},
                       {"items", lot->load->items},
                       {"repeatable", lot->load->repeatable},
                       {"took", lot->acknowledged_at - lot->handed_in},
                       {"tries", lot->tries}});
        return poll(lot);
      }
      ledger_.write({{"what", "lot_try"}, {"id", lot->id}, {"status", status}, {"reason", text}});
      // Refused, unknown or unreachable: the same id and body again settles it.
      if (Ledger::milliseconds_now() < lot->give_up && ++lot->tries < 200)
        return later(300, [this, lot] { submit(lot); });
      ledger_.write({{"what", "lot_given_up"}, {"id", lot->id}});
    });
  }

  void cancel(std::shared_ptr<LotState> lot) {
    if (!lot->acknowledged) return;
    simple("DELETE", "/lots/" + lot->id, "", [this, lot](int status, std::string) {
      if (status == 200)
        ledger_.write({{"what", "cancelled"}, {"id", lot->id}});
      else if (Ledger::milliseconds_now() < lot->give_up)
        later(300, [this, lot] { cancel(lot); });
    });
  }

  void poll(std::shared_ptr<LotState> lot) {
    simple("GET", "/lots/" + lot->id + "/results?after=" + std::to_string(lot->seen.size()) + "&limit=500", "",
           [this, lot](int status, std::string text) {
             if (status == 404) ledger_.write({{"what", "lot_vanished"}, {"id", lot->id}});
             if (status == 200) take(lot, text, lot->seen.size());
             if (status == 200 && lot->seen.size() >= lot->load->items) return check_again(lot);
             if (Ledger::milliseconds_now() >= lot->give_up) {
               ledger_.write({{"what", "lot_unfinished"},
                              {"id", lot->id},
                              {"results", lot->seen.size()},
                              {"items", lot->load->items}});
               return;
             }
             later(250, [this, lot] { poll(lot); });
           });
  }

  void take(std::shared_ptr<LotState> lot, const std::string& text, std::size_t from) {
    auto parsed = parse_json(text);
    if (error_of(parsed)) return;
    for (const auto& value : std::get<json::value>(parsed).at("results").as_array()) {
      const std::size_t position = value.at("position").to_number<std::size_t>();
      const std::string whole = json::serialize(value);
      if (position < lot->seen.size()) {
        if (lot->seen[position] != whole)
          ledger_.write({{"what", "result_moved"}, {"id", lot->id}, {"before", lot->seen[position]}, {"after", whole}});
        continue;
      }
      if (position != lot->seen.size()) {
        ledger_.write({{"what", "result_moved"}, {"id", lot->id}, {"before", from}, {"after", whole}});
        return;
      }
      lot->seen.push_back(whole);
      const std::string item = lot->id + "/" + std::to_string(value.at("item").to_number<std::size_t>());
      std::string run, fault;
      const std::string outcome(value.at("outcome").as_string());
      if (outcome == "answer" && value.at("status").as_int64() == 200)
        fault = check_plain(item, std::string(value.at("body").as_string()), run);
      ledger_.write({{"what", "result"},
                     {"id", item},
                     {"lot", lot->id},
                     {"repeatable", lot->load->repeatable},
                     {"outcome", outcome},
                     {"run", run},
                     {"fault", fault},
                     {"after", Ledger::milliseconds_now() - lot->handed_in}});
    }
  }

  // A listed result neither moves nor changes: the whole list is read once more from another daemon.
  void check_again(std::shared_ptr<LotState> lot) {
    simple("GET", "/lots/" + lot->id + "/results?after=0&limit=1000", "", [this, lot](int status, std::string text) {
      if (status == 200) {
        take(lot, text, 0);
        ledger_.write({{"what", "lot_done"}, {"id", lot->id}, {"took", Ledger::milliseconds_now() - lot->handed_in}});
      } else if (status == 404) {
        ledger_.write({{"what", "lot_vanished"}, {"id", lot->id}});
      } else if (Ledger::milliseconds_now() < lot->give_up) {
        later(300, [this, lot] { check_again(lot); });
      }
    });
  }

  boost::asio::io_context& context_;
  Plan plan_;
  Ledger ledger_;
  std::uint64_t state_;
  std::int64_t end_ = 0;
};

}  // namespace

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  if (count != 2) return std::cerr << "stand-in-caller: give one plan file\n", 2;
  std::ifstream stream(words[1]);
  const std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
  auto plan = from_json<Plan>(text);
  if (auto fault = error_of(plan))
    return std::cerr << "stand-in-caller: " << fault->field << ": " << fault->message << "\n", 2;
  if (std::get<Plan>(plan).targets.empty()) return std::cerr << "stand-in-caller: the plan has no targets\n", 2;
  boost::asio::io_context context(1);
  Client client(context, std::move(std::get<Plan>(plan)));
  client.start();
  context.run();
  return 0;
}
