// stand-in-caller: an open-loop load generator for all kinds of client load, described by a plan in JSON. It verifies
// each piece of each response and each result of each lot, and writes its observations to a ledger for the judge.
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
  // The daemons' addresses for clients.
  std::vector<Address> targets;
  std::string ledger;
  // How long new requests are sent, and how long afterwards the results of lots are awaited.
  Duration length = std::chrono::seconds(10), settle = std::chrono::seconds(15);
  // The number of requests or lots after which each load ends. Zero means no limit.
  std::uint32_t most = 0;
  std::vector<StreamLoad> streams;
  std::vector<LotLoad> lots;
  MOTHWALK_FIELDS(targets, ledger, length, settle, most, streams, lots)
};

class LoadGenerator;

// One HTTP request over its own connection, whose response body is passed on as it arrives.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  using BodyHandler = std::function<void(StringView)>;
  using EndHandler = std::function<void(bool complete, bool connected)>;
  HttpCall(boost::asio::io_context& context, const Address& target) : stream_(context), target_(target) {}
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::buffer_body>> parser;
  BodyHandler on_body = [](StringView) {
  };
  EndHandler on_end;

  void start(Duration limit) {
    request.version(11);
    request.set(http::field::host, target_.text);
    request.set(http::field::connection, "close");
    request.prepare_payload();
    stream_.expires_after(limit);
    stream_.async_connect(*endpoint_of(target_), [self = shared_from_this()](const beast::error_code& error) {
      if (error) return self->finish(false);
      self->connected_ = true;
      http::async_write(self->stream_, self->request, [self](const beast::error_code& write_error, std::size_t) {
        if (write_error) return self->finish(false);
        self->parser.emplace();
        self->parser->body_limit(boost::none);
        http::async_read_header(self->stream_, self->buffer_, *self->parser,
                                [self](const beast::error_code& read_error, std::size_t) {
                                  if (read_error) return self->finish(false);
                                  if (self->parser->is_done()) return self->finish(true);
                                  self->read();
                                });
      });
    });
  }

 private:
  void read() {
    parser->get().body().data = read_buffer_.data();
    parser->get().body().size = read_buffer_.size();
    http::async_read_some(stream_, buffer_, *parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
      if (error == http::error::need_buffer) error = {};
      const std::size_t count = self->read_buffer_.size() - self->parser->get().body().size;
      if (count > 0) self->on_body(StringView(self->read_buffer_.data(), count));
      if (error) return self->finish(false);
      if (self->parser->is_done()) return self->finish(true);
      self->read();
    });
  }
  void finish(bool complete) {
    if (on_end) on_end(complete, connected_);
    on_end = nullptr;
    on_body = [](StringView) {
    };
  }
  beast::tcp_stream stream_;
  Address target_;
  beast::flat_buffer buffer_;
  std::array<char, 16384> read_buffer_{};
  bool connected_ = false;
};

// Sends the load of a plan and writes each outcome to the ledger.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& context, Plan plan)
      : context_(context),
        plan_(std::move(plan)),
        ledger_(plan_.ledger),
        random_state_(1 + static_cast<std::uint64_t>(::getpid())) {}

  void start() {
    load_ends_at_ = Ledger::milliseconds_now() + plan_.length.count() / 1000;
    for (const auto& load : plan_.streams)
      schedule_arrivals(load.rate, [this, &load](std::uint64_t number) { send_stream(load, number); });
    for (const auto& load : plan_.lots)
      schedule_arrivals(load.rate, [this, &load](std::uint64_t number) { create_lot(load, number); });
  }

 private:
  struct LotState {
    std::string id;
    const LotLoad* load;
    std::string body;
    bool acknowledged = false, cancelled = false;
    // The results by position, as they were first read.
    std::vector<std::string> listed_results;
    std::int64_t submitted_at = 0, retry_until = 0, acknowledged_at = 0;
    std::uint32_t attempts = 0;
  };

  // Returns a random number from 0 to 1 (xorshift).
  double draw_uniform() {
    random_state_ ^= random_state_ << 13;
    random_state_ ^= random_state_ >> 7;
    random_state_ ^= random_state_ << 17;
    return static_cast<double>(random_state_ >> 11) / 9007199254740992.0;
  }
  const Address& pick_target() {
    return plan_.targets[static_cast<std::size_t>(draw_uniform() * static_cast<double>(plan_.targets.size())) %
                         plan_.targets.size()];
  }
  void run_after(double milliseconds, std::function<void()> callback) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000)));
    timer->async_wait([timer, callback](const boost::system::error_code&) { callback(); });
  }
  // Sends requests with exponentially distributed gaps. The load is open-loop: no request waits for an earlier
  // response.
  void schedule_arrivals(double rate, std::function<void(std::uint64_t)> send, std::uint64_t number = 0) {
    if (rate <= 0) return;
    run_after(-std::log(1.0 - draw_uniform()) * 1000.0 / rate, [this, rate, send, number] {
      if (Ledger::milliseconds_now() >= load_ends_at_ || (plan_.most > 0 && number >= plan_.most)) return;
      send(number);
      schedule_arrivals(rate, send, number + 1);
    });
  }

  void send_stream(const StreamLoad& load, std::uint64_t number) {
    const std::string id = load.name + "-" + std::to_string(::getpid()) + "-" + std::to_string(number);
    auto call = std::make_shared<HttpCall>(context_, pick_target());
    call->request.method(http::verb::post);
    call->request.target(load.path);
    call->request.set("X-Request-Id", id);
    if (load.pieces > 0) call->request.set("X-Pieces", std::to_string(load.pieces));
    std::string body;
    if (load.prefix_bytes > 0) {
      const std::string word =
          load.name + "-prefix-" + std::to_string(static_cast<std::uint32_t>(draw_uniform() * load.prefixes)) + " ";
      while (body.size() < load.prefix_bytes) body += word;
      body.resize(load.prefix_bytes);
    }
    while (body.size() < load.prefix_bytes + load.body_bytes) body += id + " ";
    call->request.body() = std::move(body);
    const std::int64_t sent_at = Ledger::milliseconds_now();
    auto text = std::make_shared<std::string>();
    auto first_piece_at = std::make_shared<std::int64_t>(0);
    call->on_body = [text, first_piece_at](StringView chunk) {
      if (*first_piece_at == 0) *first_piece_at = Ledger::milliseconds_now();
      text->append(chunk);
    };
    call->on_end = [this, &load, id, sent_at, text, first_piece_at, weak_call = std::weak_ptr(call)](bool complete,
                                                                                                     bool connected) {
      auto finished_call = weak_call.lock();
      json::object line{{"what", "request"},
                        {"id", id},
                        {"load", load.name},
                        {"repeatable", load.repeatable},
                        {"sent", sent_at},
                        {"first", *first_piece_at == 0 ? 0 : *first_piece_at - sent_at},
                        {"took", Ledger::milliseconds_now() - sent_at}};
      std::string outcome = connected ? "broken" : "unreachable", fault, run;
      if (finished_call && finished_call->parser && finished_call->parser->is_header_done()) {
        const auto& response = finished_call->parser->get();
        line["status"] = response.result_int();
        const std::string outcome_header(response["X-Mothwalk-Outcome"]);
        if (outcome_header == "refused" || outcome_header == "unknown") {
          outcome = outcome_header;
          line["retry_after"] = std::string(response["Retry-After"]);
          line["reason"] = *text;
        } else if (complete && outcome_header == "answer") {
          outcome = "answer";
        }
        if (outcome_header == "answer" && response.result_int() == 200)
          fault = load.pieces > 0 ? check_streamed_response(id, load.pieces, *text, complete, run)
                  : complete      ? check_plain_response(id, *text, run)
                                  : "";
      }
      line["outcome"] = outcome;
      line["fault"] = fault;
      line["run"] = run;
      ledger_.write(std::move(line));
    };
    call->start(std::chrono::seconds(90));
  }

  // Returns what is wrong with a streamed response, or an empty text. Each line is "id run index count". All lines of
  // one response have to come from one run and be in order, and a complete response has to have all of them.
  static std::string check_streamed_response(const std::string& id, std::uint32_t pieces, const std::string& text,
                                             bool complete, std::string& run) {
    std::istringstream lines(text);
    std::string line;
    std::uint32_t expected_index = 0;
    while (std::getline(lines, line)) {
      if (lines.eof() && !complete) break;
      std::istringstream fields(line);
      std::string piece_id, piece_run;
      std::uint32_t index = 0, count = 0;
      if (!(fields >> piece_id >> piece_run >> index >> count)) return "garbled piece: " + line;
      if (piece_id != id) return "another's answer: " + line;
      if (run.empty()) run = piece_run;
      if (piece_run != run) return "spliced runs: " + run + " and " + piece_run;
      if (index != expected_index) return index < expected_index ? "repeated piece" : "lost piece";
      ++expected_index;
    }
    if (complete && expected_index != pieces)
      return "a partial answer looks whole: " + std::to_string(expected_index) + " of " + std::to_string(pieces);
    return "";
  }
  // Returns what is wrong with a response that is one JSON document, or an empty text.
  static std::string check_plain_response(const std::string& id, const std::string& text, std::string& run) {
    auto parsed = parse_json(text);
    if (error_of(parsed)) return "garbled answer";
    const auto& value = std::get<json::value>(parsed);
    if (!value.is_object() || !value.as_object().contains("id") || value.at("id").as_string() != id)
      return "another's answer: " + text;
    run = std::string(value.at("run").as_string());
    return "";
  }

  void send_request(const std::string& method, const std::string& target_path, const std::string& body,
                    std::function<void(int, std::string)> callback) {
    auto call = std::make_shared<HttpCall>(context_, pick_target());
    call->request.method_string(method);
    call->request.target(target_path);
    call->request.body() = body;
    auto text = std::make_shared<std::string>();
    call->on_body = [text](StringView chunk) {
      text->append(chunk);
    };
    call->on_end = [text, callback, weak_call = std::weak_ptr(call)](bool complete, bool) {
      auto finished_call = weak_call.lock();
      callback(complete && finished_call && finished_call->parser
                   ? static_cast<int>(finished_call->parser->get().result_int())
                   : 0,
               *text);
    };
    call->start(std::chrono::seconds(8));
  }

  void create_lot(const LotLoad& load, std::uint64_t number) {
    auto lot = std::make_shared<LotState>();
    lot->id = load.name + "-" + std::to_string(::getpid()) + "-" + std::to_string(number);
    lot->load = &load;
    json::array items;
    for (std::uint32_t item = 0; item < load.items; ++item)
      items.push_back(
          json::value(json::string(lot->id + "/" + std::to_string(item) + " " + std::string(load.item_bytes, 'x'))));
    lot->body = json::serialize(
        json::object{{"lane", load.lane}, {"deadline", load.deadline.count() / 1000}, {"items", items}});
    lot->submitted_at = Ledger::milliseconds_now();
    lot->retry_until = load_ends_at_ + plan_.settle.count() / 1000;
    submit_lot(lot);
    if (load.cancel_every > 0 && number % load.cancel_every == load.cancel_every - 1)
      run_after(300, [this, lot] { cancel_lot(lot); });
  }

  void submit_lot(std::shared_ptr<LotState> lot) {
    send_request("PUT", "/lots/" + lot->id, lot->body, [this, lot](int status, std::string text) {
      if (status == 200) {
        lot->acknowledged = true;
        lot->acknowledged_at = Ledger::milliseconds_now();
        ledger_.write({{"what", "lot"},
                       {"id", lot->id},
                       {"items", lot->load->items},
                       {"repeatable", lot->load->repeatable},
                       {"took", lot->acknowledged_at - lot->submitted_at},
                       {"tries", lot->attempts}});
        return poll_results(lot);
      }
      ledger_.write({{"what", "lot_try"}, {"id", lot->id}, {"status", status}, {"reason", text}});
      // The lot was refused, its outcome is unknown or the daemon was unreachable. Sending the same id and body again
      // is safe, since it creates the lot only if it does not exist.
      if (Ledger::milliseconds_now() < lot->retry_until && ++lot->attempts < 200)
        return run_after(300, [this, lot] { submit_lot(lot); });
      ledger_.write({{"what", "lot_given_up"}, {"id", lot->id}});
    });
  }

  void cancel_lot(std::shared_ptr<LotState> lot) {
    if (!lot->acknowledged) return;
    send_request("DELETE", "/lots/" + lot->id, "", [this, lot](int status, std::string) {
      if (status == 200)
        ledger_.write({{"what", "cancelled"}, {"id", lot->id}});
      else if (Ledger::milliseconds_now() < lot->retry_until)
        run_after(300, [this, lot] { cancel_lot(lot); });
    });
  }

  void poll_results(std::shared_ptr<LotState> lot) {
    send_request("GET",
                 "/lots/" + lot->id + "/results?after=" + std::to_string(lot->listed_results.size()) + "&limit=500", "",
                 [this, lot](int status, std::string text) {
                   if (status == 404) ledger_.write({{"what", "lot_vanished"}, {"id", lot->id}});
                   if (status == 200) record_results(lot, text, lot->listed_results.size());
                   if (status == 200 && lot->listed_results.size() >= lot->load->items) return read_results_again(lot);
                   if (Ledger::milliseconds_now() >= lot->retry_until) {
                     ledger_.write({{"what", "lot_unfinished"},
                                    {"id", lot->id},
                                    {"results", lot->listed_results.size()},
                                    {"items", lot->load->items}});
                     return;
                   }
                   run_after(250, [this, lot] { poll_results(lot); });
                 });
  }

  // Writes new results to the ledger, and each result that differs from the one first read at its position.
  void record_results(std::shared_ptr<LotState> lot, const std::string& text, std::size_t first_position) {
    auto parsed = parse_json(text);
    if (error_of(parsed)) return;
    for (const auto& value : std::get<json::value>(parsed).at("results").as_array()) {
      const std::size_t position = value.at("position").to_number<std::size_t>();
      const std::string serialized = json::serialize(value);
      if (position < lot->listed_results.size()) {
        if (lot->listed_results[position] != serialized)
          ledger_.write({{"what", "result_moved"},
                         {"id", lot->id},
                         {"before", lot->listed_results[position]},
                         {"after", serialized}});
        continue;
      }
      if (position != lot->listed_results.size()) {
        ledger_.write({{"what", "result_moved"}, {"id", lot->id}, {"before", first_position}, {"after", serialized}});
        return;
      }
      lot->listed_results.push_back(serialized);
      const std::string item = lot->id + "/" + std::to_string(value.at("item").to_number<std::size_t>());
      std::string run, fault;
      const std::string outcome(value.at("outcome").as_string());
      if (outcome == "answer" && value.at("status").as_int64() == 200)
        fault = check_plain_response(item, std::string(value.at("body").as_string()), run);
      ledger_.write({{"what", "result"},
                     {"id", item},
                     {"lot", lot->id},
                     {"repeatable", lot->load->repeatable},
                     {"outcome", outcome},
                     {"run", run},
                     {"fault", fault},
                     {"after", Ledger::milliseconds_now() - lot->submitted_at}});
    }
  }

  // Reads the complete list once more, from a daemon drawn at random, since a listed result must neither change nor
  // move to another position.
  void read_results_again(std::shared_ptr<LotState> lot) {
    send_request(
        "GET", "/lots/" + lot->id + "/results?after=0&limit=1000", "", [this, lot](int status, std::string text) {
          if (status == 200) {
            record_results(lot, text, 0);
            ledger_.write(
                {{"what", "lot_done"}, {"id", lot->id}, {"took", Ledger::milliseconds_now() - lot->submitted_at}});
          } else if (status == 404) {
            ledger_.write({{"what", "lot_vanished"}, {"id", lot->id}});
          } else if (Ledger::milliseconds_now() < lot->retry_until) {
            run_after(300, [this, lot] { read_results_again(lot); });
          }
        });
  }

  boost::asio::io_context& context_;
  Plan plan_;
  Ledger ledger_;
  std::uint64_t random_state_;
  std::int64_t load_ends_at_ = 0;
};

}  // namespace

int main(int argument_count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argument_count != 2)
    return std::cerr << "stand-in-caller: expected exactly one argument, the path of a plan file\n", 2;
  std::ifstream stream(arguments[1]);
  const std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
  auto plan = from_json<Plan>(text);
  if (auto error = error_of(plan))
    return std::cerr << "stand-in-caller: " << error->field << ": " << error->message << "\n", 2;
  if (std::get<Plan>(plan).targets.empty())
    return std::cerr << "stand-in-caller: the plan has no targets; list at least one address of a daemon\n", 2;
  boost::asio::io_context context(1);
  LoadGenerator generator(context, std::move(std::get<Plan>(plan)));
  generator.start();
  context.run();
  return 0;
}
