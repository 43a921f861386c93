// Pushes and compares the configuration, and grants and renews the leases that depend on it.
#include "gossip/configuration_gossip.hpp"

#include <algorithm>

namespace mothwalk {

namespace {
// The digest of a copy is the XOR of these hashes, so that it can be updated key by key.
std::uint64_t item_hash(const ConfigurationUpdate& item) {
  return hash_of(item.key, item.stamp.epoch.value * 1000003 + item.stamp.version.value);
}
}  // namespace

ConfigurationGossip::ConfigurationGossip(Messenger& messenger, SharedState& shared_state, RandomSource& random,
                                         bool control, const ConfigurationFormat* format)
    : messenger_(messenger), shared_state_(shared_state), random_(random), control_(control), format_(format) {
  messenger_.on_message<PushUpdates>(
      [this](const Address&, PushUpdates pushed) { apply(std::move(pushed.items), true); });
  messenger_.on_request<Compare>([this](const Address&, Compare compare, ReplyCallback<CompareReply> send_reply) {
    CompareReply reply{compare.digest == view_.digest, majority_lease(), {}};
    if (!reply.same)
      for (const auto& [key, item] : items_) reply.listing.push_back(KeyStamp{key, item.stamp});
    send_reply(std::move(reply));
  });
  messenger_.on_request<FetchUpdates>(
      [this](const Address&, FetchUpdates fetch, ReplyCallback<FetchUpdatesReply> send_reply) {
        FetchUpdatesReply reply;
        for (const auto& key : fetch.keys)
          if (auto found = items_.find(key); found != items_.end()) reply.items.push_back(found->second);
        send_reply(std::move(reply));
      });
  messenger_.on_request<AppliedStamp>(
      [this](const Address&, AppliedStamp query, ReplyCallback<AppliedStampReply> send_reply) {
        auto found = items_.find(query.key);
        if (found == items_.end()) return send_reply(AppliedStampReply{});
        send_reply(AppliedStampReply{true, found->second.removed, found->second.stamp});
      });
}

void ConfigurationGossip::start() {
  run_round();
}

// Applies the updates that are newer than the stored ones. Returns whether there were any.
bool ConfigurationGossip::apply(std::vector<ConfigurationUpdate> items, bool push) {
  std::vector<ConfigurationUpdate> applied;
  for (auto& item : items) {
    auto found = items_.find(item.key);
    if (found != items_.end() && item.stamp <= found->second.stamp) continue;
    if (found != items_.end()) view_.digest ^= item_hash(found->second);
    view_.digest ^= item_hash(item);
    apply_to_view(view_, item.key, item.removed ? nullptr : &item.value, item.stamp, format_);
    applied.push_back(item);
    items_[item.key] = std::move(item);
  }
  if (applied.empty()) return false;
  shared_state_.configuration.set(view_);
  if (push) push_to_peers(applied);
  return true;
}

void ConfigurationGossip::push_to_peers(const std::vector<ConfigurationUpdate>& items) {
  const auto members = shared_state_.members.get();
  std::vector<Address> others;
  for (const auto& [address, member] : members->all)
    if (address != messenger_.self()) others.push_back(address);
  for (std::size_t count = 0; count < fan_out && !others.empty(); ++count) {
    const std::size_t index = random_.below(others.size());
    messenger_.send(others[index], PushUpdates{items});
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

// The lease that this daemon can grant: how long its latest comparisons with a majority of the voters stay valid. Zero
// where that is over, or where this is not a control daemon.
Duration ConfigurationGossip::majority_lease() const {
  if (!control_ || view_.roster.voters.empty()) return Duration{};
  const TimePoint now = messenger_.timers().now();
  std::vector<Duration> remaining;
  for (const auto& voter : view_.roster.voters) {
    if (voter.address == messenger_.self())
      remaining.push_back(lease_duration);
    else if (auto found = compared_.find(voter.address); found != compared_.end())
      remaining.push_back(found->second + lease_duration - now);
  }
  std::sort(remaining.rbegin(), remaining.rend());
  const std::size_t majority = view_.roster.majority();
  if (remaining.size() < majority || remaining[majority - 1] <= Duration{}) return Duration{};
  return remaining[majority - 1];
}

void ConfigurationGossip::run_round() {
  const auto members = shared_state_.members.get();
  const TimePoint now = messenger_.timers().now();
  if (control_) {
    for (const auto& [address, member] : members->all)
      if (member.keeps_control() && address != messenger_.self()) compare(address);
    if (const Duration lease = majority_lease(); lease > Duration{})
      shared_state_.lease_until = (now + lease).microseconds;
  } else if (!members->session_server.empty()) {
    compare(members->session_server);
    renew_lease();
  }
  track_lease_search();
  messenger_.timers().after(round_interval, [this] { run_round(); });
}

// The session server renews the lease in each round. If it has not done so in time, the next few other candidates are
// asked, and further ones in each following round, so that all of them have been asked well before this daemon counts
// as isolated.
void ConfigurationGossip::renew_lease() {
  const Duration remaining = TimePoint{shared_state_.lease_until.load()} - messenger_.timers().now();
  if (remaining > renewal_margin) return void(next_candidate_ = 0);
  auto candidates = control_candidates(shared_state_, messenger_.self(), ZoneId{});
  for (const auto snapshot = shared_state_.seeds.get(); const auto& seed : *snapshot)
    add_candidate(candidates, seed, messenger_.self());
  for (std::size_t count = 0; count < std::min(search_width, candidates.size()); ++count)
    compare(candidates[next_candidate_++ % candidates.size()]);
}

// Records since when this daemon has been without a lease. A gap between two rounds means that the process was
// suspended; the time without a lease is then counted from now.
void ConfigurationGossip::track_lease_search() {
  const TimePoint now = messenger_.timers().now();
  const bool suspended = now.microseconds - shared_state_.last_gossip_tick.load() > 3 * round_interval.count();
  if (shared_state_.has_lease(now))
    shared_state_.lease_renewal_since = -1;
  else if (shared_state_.lease_renewal_since.load() < 0 || suspended)
    shared_state_.lease_renewal_since = now.microseconds;
  shared_state_.last_gossip_tick = now.microseconds;
}

// Compares the copies of both daemons, sends the peer what is newer here, and fetches what is newer there.
void ConfigurationGossip::compare(const Address& peer) {
  if (!comparing_.insert(peer).second) return;
  const TimePoint began = messenger_.timers().now();
  messenger_.request(
      peer, Compare{view_.digest}, std::chrono::milliseconds(500), [this, peer, began](Result<CompareReply> result) {
        auto* reply = std::get_if<CompareReply>(&result);
        if (reply == nullptr) return void(comparing_.erase(peer));
        if (reply->same) return finish_comparison(peer, began, reply->lease);
        FetchUpdates newer_at_peer;
        PushUpdates newer_here;
        std::map<std::string, Stamp> peer_stamps;
        for (const auto& each : reply->listing) {
          peer_stamps[each.key] = each.stamp;
          auto found = items_.find(each.key);
          if (found == items_.end() || found->second.stamp < each.stamp) newer_at_peer.keys.push_back(each.key);
        }
        for (const auto& [key, item] : items_)
          if (auto found = peer_stamps.find(key); found == peer_stamps.end() || found->second < item.stamp)
            newer_here.items.push_back(item);
        if (!newer_here.items.empty()) messenger_.send(peer, newer_here);
        if (newer_at_peer.keys.empty()) return finish_comparison(peer, began, reply->lease);
        messenger_.request(peer, newer_at_peer, std::chrono::milliseconds(500),
                           [this, peer, began, lease = reply->lease](Result<FetchUpdatesReply> fetched) {
                             auto* items = std::get_if<FetchUpdatesReply>(&fetched);
                             if (items == nullptr) return void(comparing_.erase(peer));
                             apply(std::move(items->items), false);
                             finish_comparison(peer, began, lease);
                           });
      });
}

// Both copies are equal now as far as the peer's reply tells, so a lease that it granted takes effect. The lease counts
// from the time when the comparison began, and is never longer than the regular one.
void ConfigurationGossip::finish_comparison(const Address& peer, TimePoint began, Duration lease) {
  comparing_.erase(peer);
  compared_[peer] = began;
  if (control_ || lease <= Duration{}) return;
  const std::int64_t until = (began + std::min(lease, lease_duration)).microseconds;
  if (until > shared_state_.lease_until.load()) shared_state_.lease_until = until;
}

}  // namespace mothwalk
