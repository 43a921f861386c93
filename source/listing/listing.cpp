// Fetches the pages of the list, collects the runners, and publishes the list when it has changed.
#include "listing/listing.hpp"

#include "gossip/configuration_gossip.hpp"

namespace mothwalk {

namespace {
using std::chrono::milliseconds;
constexpr Duration page_span = milliseconds(600);
constexpr std::size_t most_pages = 200;  // Stops the read of a list whose page cursors form a loop.
constexpr std::size_t longest_page = 4u << 20;

// Whether the list is unchanged. The remaining cold time decreases steadily, so a decrease does not count as a change;
// only its beginning, its end and an increase do.
bool same_listing(const RunnerListing& told, const RunnerListing& now) {
  if (told.runners.size() != now.runners.size()) return false;
  for (const auto& [name, runner] : now.runners) {
    auto found = told.runners.find(name);
    if (found == told.runners.end()) return false;
    const Runner& before = found->second;
    if (before.address != runner.address || before.kind != runner.kind || before.zone != runner.zone ||
        before.slots != runner.slots || before.leaving != runner.leaving)
      return false;
    if ((before.cold > Duration{}) != (runner.cold > Duration{}) || runner.cold > before.cold) return false;
  }
  return true;
}
}  // namespace

class RunnerList::Watcher : public AttemptObserver {
 public:
  explicit Watcher(std::function<void(std::optional<ListBody>)> then) : then_(std::move(then)) {}
  void on_head(int status, const std::vector<Header>&) override { body_.status = status; }
  // A page above the size limit counts as failed: its status is set to 0.
  void on_chunk(StringView piece) override {
    if (body_.body.size() + piece.size() <= longest_page)
      body_.body.append(piece);
    else
      body_.status = 0;
  }
  void on_end(AttemptOutcome end) override {
    end == AttemptOutcome::whole ? then_(std::move(body_)) : then_(std::nullopt);
  }

 private:
  std::function<void(std::optional<ListBody>)> then_;
  ListBody body_;
};

RunnerList::RunnerList(Messenger& messenger, SharedState& shared_state, RunnerClient& exchange, RandomSource& random,
                       ListSource& source)
    : messenger_(messenger), shared_state_(shared_state), runner_client_(exchange), random_(random), source_(source) {
  messenger_.on_request<FetchListPage>([this](const Address&, FetchListPage page, ReplyCallback<ListBody> answer) {
    fetch(page.target, [answer](std::optional<ListBody> body) {
      if (body)
        answer(std::move(*body));
      else
        answer(Error{ErrorKind::lost, "list", "the list can't be read from here either", "ask another daemon"});
    });
  });
}

void RunnerList::start() {
  tick();
}

void RunnerList::tick() {
  const auto owned = shared_state_.owned.get();
  auto slot = owned->slots.find(slot_of(listing_key));
  const Epoch epoch = slot == owned->slots.end() ? Epoch{} : slot->second;
  if (epoch != epoch_) {
    epoch_ = epoch;
    version_ = 0;
    failures_ = 0;
    told_.reset();
  }
  if (epoch_.value > 0 && !reading_) {
    reading_ = true;
    pages_ = 0;
    gathered_ = RunnerListing{};
    read(std::nullopt);
  }
  messenger_.timers().after(epoch_.value > 0 ? source_.period() : Duration(milliseconds(200)), [this] { tick(); });
}

void RunnerList::fetch(const std::string& target, std::function<void(std::optional<ListBody>)> then) {
  AttemptRequest request;
  request.to = source_.address();
  request.method = "GET";
  request.target = target;
  request.headers = {{"Host", source_.address().text}};
  request.body = std::make_shared<const Bytes>();
  request.connecting = request.first_piece = request.between_pieces = page_span;
  ++reads_;
  runner_client_.start(request, std::make_shared<Watcher>(std::move(then)));
}

void RunnerList::read(std::optional<std::string> next) {
  const std::string target = source_.target(next);
  const auto members = shared_state_.members.get();
  std::vector<Address> others;
  // After two failures on the direct way, other daemons fetch the pages. Every eighth read goes the direct way again,
  // to find out whether that works.
  through_others_ = failures_ >= 2 && reads_ % 8 != 0;
  if (through_others_)
    for (const auto& [address, member] : members->all)
      if (address != messenger_.self()) others.push_back(address);
  if (others.empty()) through_others_ = false;
  if (!through_others_) return fetch(target, [this](std::optional<ListBody> body) { take_page(std::move(body)); });
  ++reads_;
  messenger_.request(others[random_.below(others.size())], FetchListPage{target}, page_span + milliseconds(200),
                     [this](Result<ListBody> result) {
                       if (auto* body = std::get_if<ListBody>(&result))
                         take_page(std::move(*body));
                       else
                         failed();
                     });
}

void RunnerList::failed() {
  ++failures_;
  reading_ = false;
}

void RunnerList::take_page(std::optional<ListBody> body) {
  if (!body || body->status != 200) return failed();
  auto page = source_.read(body->body);
  if (error_of(page) || ++pages_ > most_pages) return failed();
  auto& read_page = std::get<ListPage>(page);
  gathered_.runners.merge(read_page.runners);
  if (read_page.next) return read(std::move(read_page.next));
  reading_ = false;
  if (!through_others_) failures_ = 0;
  tell();
}

void RunnerList::tell() {
  const auto owned = shared_state_.owned.get();
  auto slot = owned->slots.find(slot_of(listing_key));
  if (slot == owned->slots.end() || slot->second != epoch_ || (told_ && same_listing(*told_, gathered_))) return;
  told_ = gathered_;
  messenger_.send(messenger_.self(),
                  PushUpdates{{ConfigurationUpdate{std::string(listing_key), Stamp{epoch_, Version{++version_}}, false,
                                                   to_cbor(gathered_)}}});
}

}  // namespace mothwalk
