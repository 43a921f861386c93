// The list of runners, where something outside the product keeps one. A single duty reads it, at the owner of the
// listing's slot, and tells it as news under that owner's epoch, so that a former owner's word never falls behind the
// newer one's. A reader that can't reach the list has another daemon read it.
#pragma once
#include "replication/replicated_store.hpp"

namespace mothwalk {

struct ListPage {
  std::map<std::string, Runner> runners;
  std::optional<std::string> next;  // what to ask the next page with; none on the last
};

// How the outside list is asked for and read.
class ListSource {
 public:
  virtual ~ListSource() = default;
  virtual Address address() const = 0;
  virtual std::string target(const std::optional<std::string>& next) const = 0;
  virtual Result<ListPage> read(StringView body) const = 0;
  virtual Duration period() const = 0;  // between two readings
};

struct ListBody {
  std::int32_t status = 0;
  Bytes body;
  MOTHWALK_FIELDS(status, body)
};
// Asks another daemon to read a page.
struct FetchListPage {
  static constexpr StringView kind = "listing.fetch";
  using Reply = ListBody;
  std::string target;
  MOTHWALK_FIELDS(target)
};

class RunnerList {
 public:
  RunnerList(Messenger& messenger, SharedState& shared_state, RunnerClient& exchange, RandomSource& random,
             ListSource& source);
  void start();

 private:
  class Watcher;
  void tick();
  void read(std::optional<std::string> next);
  void fetch(const std::string& target, std::function<void(std::optional<ListBody>)> then);
  void take_page(std::optional<ListBody> body);
  void failed();
  void tell();

  Messenger& messenger_;
  SharedState& shared_state_;
  RunnerClient& runner_client_;
  RandomSource& random_;
  ListSource& source_;
  Epoch epoch_;  // under which this daemon reads; zero while it does not
  std::uint64_t version_ = 0, reads_ = 0;
  std::uint32_t failures_ = 0;  // in a row, over this daemon's own way to the list
  std::size_t pages_ = 0;
  bool reading_ = false, through_others_ = false;
  RunnerListing gathered_;
  std::optional<RunnerListing> told_;
};

}  // namespace mothwalk
