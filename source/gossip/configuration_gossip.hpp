// Configuration gossip keeps a copy of the configuration, with the circles and the rosters, in every daemon. A daemon
// that receives an update pushes it to a few others. Daemons also compare the digests of their copies and fetch what
// they miss (anti-entropy). An update whose stamp is not above the stored one is ignored, so a key never returns to an
// older value.
// Gossip also grants the leases under which daemons serve requests. A daemon gets a short lease when it has completed a
// comparison with a control daemon which is itself in contact with a majority of the voters.
#pragma once
#include "sessions/messenger.hpp"
#include "sessions/shared_state.hpp"

namespace mothwalk {

// One write of a key: its new value, or its removal.
struct ConfigurationUpdate {
  std::string key;
  Stamp stamp;
  bool removed = false;
  Bytes value;
  MOTHWALK_FIELDS(key, stamp, removed, value)
};
// Sends new updates to another daemon without being asked.
struct PushUpdates {
  static constexpr StringView kind = "news.spread";
  std::vector<ConfigurationUpdate> items;
  MOTHWALK_FIELDS(items)
};
// The stamp of the current value of a key.
struct KeyStamp {
  std::string key;
  Stamp stamp;
  MOTHWALK_FIELDS(key, stamp)
};
struct CompareReply {
  bool same = false;              // The digests are equal.
  Duration lease{};               // The lease of a daemon that reaches the replier's digest. Zero means no lease.
  std::vector<KeyStamp> listing;  // The stamps of all keys that the replier has; empty if the digests are equal.
  MOTHWALK_FIELDS(same, lease, listing)
};
// Compares the sender's digest with the receiver's.
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
// Requests the current values of some keys.
struct FetchUpdates {
  static constexpr StringView kind = "news.fetch";
  using Reply = FetchUpdatesReply;
  std::vector<std::string> keys;
  MOTHWALK_FIELDS(keys)
};
struct AppliedStampReply {
  bool found = false, removed = false;
  Stamp stamp;
  MOTHWALK_FIELDS(found, removed, stamp)
};
// Asks for the stamp up to which the receiver has applied the updates of one key.
struct AppliedStamp {
  static constexpr StringView kind = "news.taken";
  using Reply = AppliedStampReply;
  std::string key;
  MOTHWALK_FIELDS(key)
};

// The gossip component of one daemon.
class ConfigurationGossip {
 public:
  // With `control` true this is a control daemon, which grants leases. The format reads the fleet configuration
  // document; without one, that document is passed on but not applied.
  ConfigurationGossip(Messenger& messenger, SharedState& shared_state, RandomSource& random, bool control,
                      const ConfigurationFormat* format = nullptr);
  void start();

 private:
  static constexpr Duration round_interval = std::chrono::milliseconds(200);
  static constexpr Duration lease_duration = std::chrono::milliseconds(800);
  // A lease is renewed elsewhere when no more than this is left of it.
  static constexpr Duration renewal_margin = std::chrono::milliseconds(300);
  static constexpr std::size_t fan_out = 3;       // The number of daemons that an update is pushed to.
  static constexpr std::size_t search_width = 3;  // The number of control daemons asked for a lease in one round.
  void run_round();
  void renew_lease();
  void track_lease_search();
  void compare(const Address& peer);
  void finish_comparison(const Address& peer, TimePoint began, Duration lease);
  // With push, the applied updates are also pushed to other daemons.
  bool apply(std::vector<ConfigurationUpdate> items, bool push);
  void push_to_peers(const std::vector<ConfigurationUpdate>& items);
  Duration majority_lease() const;

  Messenger& messenger_;
  SharedState& shared_state_;
  RandomSource& random_;
  bool control_;
  const ConfigurationFormat* format_;
  std::map<std::string, ConfigurationUpdate> items_;
  ConfigurationView view_;
  std::map<Address, TimePoint> compared_;  // The start of the last completed comparison with each control daemon.
  std::set<Address> comparing_;            // The peers with a comparison in progress.
  std::size_t next_candidate_ = 0;         // The position in the list of candidates for a lease.
};

}  // namespace mothwalk
