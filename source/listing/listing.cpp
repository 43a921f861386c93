// Fetches the pages of the list, collects the runners, and publishes the list when it has changed.
#include "listing/listing.hpp"

#include "gossip/configuration_gossip.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration page_timeout = milliseconds(600);
constexpr std::size_t max_pages = 200;  // Stops the read of a list whose page cursors form a loop.
constexpr std::size_t max_page_bytes = 4u << 20;

// Whether the list is unchanged. The remaining cold time decreases steadily, so a decrease does not count as a change;
// only its beginning, its end and an increase do.
bool same_listing(const RunnerListing& published, const RunnerListing& current) {
  if (published.runners.size() != current.runners.size()) return false;
  for (const auto& [name, runner] : current.runners) {
    auto found = published.runners.find(name);
    if (found == published.runners.end()) return false;
    const Runner& before = found->second;
    if (before.address != runner.address || before.kind != runner.kind || before.zone != runner.zone ||
        before.slots != runner.slots || before.leaving != runner.leaving)
      return false;
    if ((before.cold > Duration{}) != (runner.cold > Duration{}) || runner.cold > before.cold) return false;
  }
  return true;
}
}  // namespace

class RunnerList::PageReceiver : public AttemptObserver {
 public:
  explicit PageReceiver(std::function<void(std::optional<ListBody>)> on_result) : on_result_(std::move(on_result)) {}
  void on_head(int status, const std::vector<Header>&) override { body_.status = status; }
  // A page above the size limit counts as failed: its status is set to 0.
  void on_chunk(StringView chunk) override {
    if (body_.body.size() + chunk.size() <= max_page_bytes)
      body_.body.append(chunk);
    else
      body_.status = 0;
  }
  void on_end(AttemptOutcome outcome) override {
    outcome == AttemptOutcome::complete ? on_result_(std::move(body_)) : on_result_(std::nullopt);
  }

 private:
  std::function<void(std::optional<ListBody>)> on_result_;
  ListBody body_;
};

RunnerList::RunnerList(Messenger& messenger, SharedState& shared_state, RunnerClient& runner_client,
                       RandomSource& random, ListSource& source)
    : messenger_(messenger),
      shared_state_(shared_state),
      runner_client_(runner_client),
      random_(random),
      source_(source) {
  messenger_.on_request<FetchListPage>([this](const Address&, FetchListPage page, ReplyCallback<ListBody> send_reply) {
    fetch(page.target, [send_reply](std::optional<ListBody> body) {
      if (body)
        send_reply(std::move(*body));
      else
        send_reply(
            Error{ErrorKind::lost, "list", "this daemon can't reach the runner list either", "ask another daemon"});
    });
  });
}

void RunnerList::start() {
  run_round();
}

void RunnerList::run_round() {
  const auto owned = shared_state_.owned.get();
  auto slot = owned->slots.find(slot_of(listing_key));
  const Epoch epoch = slot == owned->slots.end() ? Epoch{} : slot->second;
  if (epoch != epoch_) {
    epoch_ = epoch;
    version_ = 0;
    failures_ = 0;
    published_.reset();
  }
  if (epoch_.value > 0 && !reading_) {
    reading_ = true;
    pages_ = 0;
    collected_ = RunnerListing{};
    read_page(std::nullopt);
  }
  messenger_.timers().after(epoch_.value > 0 ? source_.period() : Duration(milliseconds(200)), [this] { run_round(); });
}

void RunnerList::fetch(const std::string& target, std::function<void(std::optional<ListBody>)> on_result) {
  AttemptRequest request;
  request.to = source_.address();
  request.method = "GET";
  request.target = target;
  request.headers = {{"Host", source_.address().text}};
  request.body = std::make_shared<const Bytes>();
  request.connecting = request.first_piece = request.between_pieces = page_timeout;
  ++reads_;
  runner_client_.start(request, std::make_shared<PageReceiver>(std::move(on_result)));
}

void RunnerList::read_page(std::optional<std::string> next) {
  const std::string target = source_.target(next);
  const auto members = shared_state_.members.get();
  std::vector<Address> others;
  // After two failures on the direct way, other daemons fetch the pages. Every eighth read goes the direct way again,
  // to find out whether that works.
  through_other_daemon_ = failures_ >= 2 && reads_ % 8 != 0;
  if (through_other_daemon_)
    for (const auto& [address, member] : members->all)
      if (address != messenger_.self()) others.push_back(address);
  if (others.empty()) through_other_daemon_ = false;
  if (!through_other_daemon_)
    return fetch(target, [this](std::optional<ListBody> body) { handle_page(std::move(body)); });
  ++reads_;
  messenger_.request(others[random_.below(others.size())], FetchListPage{target}, page_timeout + milliseconds(200),
                     [this](Result<ListBody> result) {
                       if (auto* body = std::get_if<ListBody>(&result))
                         handle_page(std::move(*body));
                       else
                         handle_failure();
                     });
}

void RunnerList::handle_failure() {
  ++failures_;
  reading_ = false;
}

void RunnerList::handle_page(std::optional<ListBody> body) {
  if (!body || body->status != 200) return handle_failure();
  auto page = source_.read(body->body);
  if (error_of(page) || ++pages_ > max_pages) return handle_failure();
  auto& parsed = std::get<ListPage>(page);
  collected_.runners.merge(parsed.runners);
  if (parsed.next) return read_page(std::move(parsed.next));
  reading_ = false;
  if (!through_other_daemon_) failures_ = 0;
  publish();
}

void RunnerList::publish() {
  const auto owned = shared_state_.owned.get();
  auto slot = owned->slots.find(slot_of(listing_key));
  if (slot == owned->slots.end() || slot->second != epoch_ || (published_ && same_listing(*published_, collected_)))
    return;
  published_ = collected_;
  messenger_.send(messenger_.self(),
                  PushUpdates{{ConfigurationUpdate{std::string(listing_key), Stamp{epoch_, Version{++version_}}, false,
                                                   to_cbor(collected_)}}});
}

}  // namespace mothwalk
