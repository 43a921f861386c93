// News: the configuration (with circles and the roster) as every daemon holds it. A change is passed on to a few
// others, gaps are mended by comparing digests, and a key never goes back to a lower stamp. A daemon that has just been
// compared whole with a control daemon in touch with a majority of the roster holds a short lease to serve.
#pragma once
#include "sessions/messenger.hpp"
#include "sessions/shared_state.hpp"

namespace mothwalk {

struct ConfigurationUpdate {
  std::string key;
  Stamp stamp;
  bool removed = false;
  Bytes value;
  MOTHWALK_FIELDS(key, stamp, removed, value)
};
struct PushUpdates {
  static constexpr StringView kind = "news.spread";
  std::vector<ConfigurationUpdate> items;
  MOTHWALK_FIELDS(items)
};
struct KeyStamp {
  std::string key;
  Stamp stamp;
  MOTHWALK_FIELDS(key, stamp)
};
struct CompareReply {
  bool same = false;
  Duration lease{};  // how long a daemon that reaches this digest may serve; zero for not at all
  std::vector<KeyStamp> listing;
  MOTHWALK_FIELDS(same, lease, listing)
};
struct Compare {
  static constexpr StringView kind = "news.compare";
  using Reply = CompareReply;
  std::uint64_t digest = 0;
  MOTHWALK_FIELDS(digest)
};
struct FetchUpdatesReply {
  std::vector<ConfigurationUpdate> items;
  MOTHWALK_FIELDS(items)
};
struct FetchUpdates {
  static constexpr StringView kind = "news.fetch";
  using Reply = FetchUpdatesReply;
  std::vector<std::string> keys;
  MOTHWALK_FIELDS(keys)
};
struct TakenReply {
  bool found = false, removed = false;
  Stamp stamp;
  MOTHWALK_FIELDS(found, removed, stamp)
};
struct Taken {
  static constexpr StringView kind = "news.taken";
  using Reply = TakenReply;
  std::string key;
  MOTHWALK_FIELDS(key)
};

class ConfigurationGossip {
 public:
  ConfigurationGossip(Messenger& messenger, SharedState& shared_state, RandomSource& random, bool control,
                      const ConfigurationFormat* format = nullptr);
  void start();

 private:
  static constexpr Duration round_span = std::chrono::milliseconds(200);
  static constexpr Duration lease_span = std::chrono::milliseconds(800);
  static constexpr Duration renewal_margin =
      std::chrono::milliseconds(300);  // what is left of a lease that is sought anew
  static constexpr std::size_t fan_out = 3;
  static constexpr std::size_t search_width = 3;  // control daemons that are asked at once for a lease
  void tick();
  void renew_lease();
  void note_search();
  void compare(const Address& peer);
  void finish(const Address& peer, TimePoint began, Duration lease);
  bool take(std::vector<ConfigurationUpdate> items, bool spread);
  void pass_on(const std::vector<ConfigurationUpdate>& items);
  Duration majority_lease() const;

  Messenger& messenger_;
  SharedState& shared_state_;
  RandomSource& random_;
  bool control_;
  const ConfigurationFormat* format_;
  std::map<std::string, ConfigurationUpdate> items_;
  ConfigurationView view_;
  std::map<Address, TimePoint> compared_;  // when the last whole comparison with that control daemon began
  std::set<Address> comparing_;
  std::size_t search_turn_ = 0;
};

}  // namespace mothwalk
