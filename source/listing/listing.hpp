// Reads an external list of runners, where there is one, and publishes it to all daemons.
// One daemon at a time reads the list: the owner of the slot of the listing's key. It publishes the list by
// configuration gossip under its epoch as the owner, so that a list from a former owner never replaces a newer one. A
// reader that can't reach the external list asks another daemon to fetch the pages.
#pragma once
#include "replication/replicated_store.hpp"

namespace mothwalk {

struct ListPage {
  std::map<std::string, Runner> runners;
  std::optional<std::string> next;  // The cursor of the next page. The last page has none.
};

// Where the external list is, how its pages are requested, and how they are parsed.
class ListSource {
 public:
  virtual ~ListSource() = default;
  virtual Address address() const = 0;
  virtual std::string target(const std::optional<std::string>& next) const = 0;
  virtual Result<ListPage> read(StringView body) const = 0;
  virtual Duration period() const = 0;  // The interval between two reads of the list.
};

// The HTTP response with one page of the list.
struct ListBody {
  std::int32_t status = 0;
  Bytes body;
  MOTHWALK_FIELDS(status, body)
};
// Asks another daemon to fetch a page.
struct FetchListPage {
  static constexpr StringView kind = "listing.fetch";
  using Reply = ListBody;
  std::string target;
  MOTHWALK_FIELDS(target)
};

// Runs in every daemon that may own the listing's slot, and reads the list while this daemon owns it.
class RunnerList {
 public:
  RunnerList(Messenger& messenger, SharedState& shared_state, RunnerClient& runner_client, RandomSource& random,
             ListSource& source);
  void start();

 private:
  class PageReceiver;
  void run_round();
  void read_page(std::optional<std::string> next);
  void fetch(const std::string& target, std::function<void(std::optional<ListBody>)> on_result);
  void handle_page(std::optional<ListBody> body);
  void handle_failure();
  void publish();

  Messenger& messenger_;
  SharedState& shared_state_;
  RunnerClient& runner_client_;
  RandomSource& random_;
  ListSource& source_;
  Epoch epoch_;  // The epoch under which this daemon reads the list. Zero while it does not.
  std::uint64_t version_ = 0, reads_ = 0;
  std::uint32_t failures_ = 0;  // Consecutive reads that failed on the direct way to the list.
  std::size_t pages_ = 0;
  bool reading_ = false, through_other_daemon_ = false;
  RunnerListing collected_;                 // The runners of the pages read so far in this round.
  std::optional<RunnerListing> published_;  // The list published last under this epoch.
};

}  // namespace mothwalk
