// Beats, shares and the table of members that follows from them.
#include "sessions/sessions.hpp"

#include <algorithm>

namespace mothwalk {

Sessions::Sessions(Messenger& messenger, SharedState& shared_state, Member self, std::vector<Address> seeds)
    : messenger_(messenger), shared_state_(shared_state), self_(std::move(self)) {
  shared_state_.seeds.set(std::move(seeds));
  messenger_.on_request<Heartbeat>([this](const Address& from, Heartbeat beat, ReplyCallback<HeartbeatReply> answer) {
    if (beat.member.address != from)
      return answer(Error{ErrorKind::invalid, "member.address", "the beat comes from another address than it names",
                          "give each daemon the address that it is reached by"});
    answer(take_beat(from, std::move(beat)));
  });
  messenger_.on_message<SessionExchange>(
      [this](const Address& from, SessionExchange share) { take_share(from, std::move(share)); });
  messenger_.on_message<SessionExchangeRequest>([this](const Address& from, SessionExchangeRequest) {
    if (control()) messenger_.send(from, SessionExchange{self_, true, 0, shared_digest_, changes_between({}, shared_)});
  });
  messenger_.on_message<Introduction>([this](const Address&, Introduction introduction) {
    for (const auto& member : introduction.members) remember(member);
  });
}

void Sessions::take_share(const Address& from, SessionExchange share) {
  if (!share.member.keeps_control() || share.member.address != from || from == self_.address) return;
  // Who is new here is told of the others; one that keeps no control state only passes the word on.
  if (!control() || !peers_.contains(from)) {
    Introduction introduction{known_control()};
    std::erase_if(introduction.members, [&](const Member& each) { return each.address == from; });
    if (!introduction.members.empty()) messenger_.send(from, introduction);
  }
  if (!control()) return void(remember(share.member));
  Peer& peer = peers_[from];
  if (peer.member.incarnation > share.member.incarnation) return;
  if (peer.member.incarnation < share.member.incarnation || share.whole) peer = Peer{};
  peer.member = std::move(share.member);
  peer.heard = messenger_.timers().now();
  if (!share.whole && share.before != peer.digest)
    messenger_.send(from, SessionExchangeRequest{});
  else
    peer.digest = apply(share.changes, peer.sessions, peer.digest);
  rebuild();
}

void Sessions::start() {
  tick();
}

// A home vouches for the table of members, so it has to be in touch with a majority. Before the first roster there is
// none to be in touch with; that is believed only by a member that knows of no roster either.
bool Sessions::may_be_home(const Member& member) const {
  if (!control()) return false;
  if (shared_state_.has_lease(messenger_.timers().now())) return true;
  const bool knows_roster =
      !shared_state_.configuration.get()->roster.seats.empty() || !shared_state_.control_seats.get()->empty();
  return !knows_roster && member.roster == Version{};
}

// Whether this control daemon has been without contact to a majority for so long that it should own nothing. Others may
// still hear it, and would otherwise wait for it as the owner of its slots.
bool Sessions::out_of_contact() const {
  if (!control() || shared_state_.configuration.get()->roster.seats.empty()) return false;
  const TimePoint lapsed{shared_state_.lease_until.load()};
  return messenger_.timers().now() - lapsed > contact_slack;
}

HeartbeatReply Sessions::take_beat(const Address& from, Heartbeat beat) {
  HeartbeatReply reply;
  reply.accepted = may_be_home(beat.member);
  if (reply.accepted) {
    Session& session = sessions_[from];
    const bool fresh = session.member != beat.member;
    session = Session{std::move(beat.member), messenger_.timers().now()};
    if (fresh) rebuild();
  } else {
    sessions_.erase(from);
  }
  reply.before = beat.digest;
  if (reply.accepted)
    tell_changes(reply);
  else
    reply.control_daemons = known_control();
  return reply;
}

void Sessions::tell_changes(HeartbeatReply& reply) const {
  reply.digest = digest_;
  if (reply.before == digest_) return;
  if (auto changes = history_.since(reply.before, table_)) {
    reply.changes = std::move(*changes);
  } else {
    reply.whole = true;
    reply.changes = changes_between({}, table_);
  }
}

bool Sessions::remember(const Member& member) {
  if (!member.keeps_control() || member.address == self_.address) return false;
  const bool fresh = !heard_.contains(member.address);
  Session& place = heard_[member.address];
  if (place.member.incarnation <= member.incarnation) place = Session{member, messenger_.timers().now()};
  return fresh;
}

std::vector<Member> Sessions::known_control() const {
  std::map<Address, Member> known;
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.keeps_control()) known[address] = member;
  for (const auto& [address, heard] : heard_) known.try_emplace(address, heard.member);
  std::vector<Member> list;
  for (auto& [address, member] : known) list.push_back(std::move(member));
  return list;
}

std::vector<Address> Sessions::candidates() const {
  std::vector<Address> list = control_candidates(shared_state_, self_.address, self_.zone);
  for (const auto& [address, heard] : heard_) add_candidate(list, address, self_.address);
  // A control daemon in touch with others goes back to the seeds now and then, so that no two parts stay apart.
  if (!control() || peers_.size() < 2 || ticks_ % ticks_to_seeds == 0)
    for (const auto snapshot = shared_state_.seeds.get(); const auto& seed : *snapshot)
      add_candidate(list, seed, self_.address);
  return list;
}

void Sessions::tick() {
  self_.stalled = shared_state_.stalled.load() || out_of_contact();
  self_.roster = shared_state_.configuration.get()->roster.version;
  ++ticks_;
  std::erase_if(heard_, [now = messenger_.timers().now()](const auto& each) {
    return now - each.second.heard > remembered_span;
  });
  if (control()) {
    share();
    rebuild();
  } else
    beat();
  messenger_.timers().after(beat_span, [this] { tick(); });
}

void Sessions::share() {
  const TimePoint now = messenger_.timers().now();
  std::erase_if(sessions_, [&](const auto& each) { return now - each.second.heard > stand_span; });
  MemberTable standing;
  for (const auto& [address, session] : sessions_) standing.emplace(address, session.member);
  SessionExchange share{self_, false, shared_digest_, 0, changes_between(shared_, standing)};
  shared_digest_ = share.digest = apply(share.changes, shared_, shared_digest_);
  for (const Address& address : candidates()) messenger_.send(address, share);
}

void Sessions::rebuild() {
  const TimePoint now = messenger_.timers().now();
  MemberTable table;
  table[self_.address] = self_;
  auto add = [&](const Member& member) {
    Member& place = table[member.address];
    if (place.incarnation <= member.incarnation) place = member;
  };
  for (const auto& [address, session] : sessions_)
    if (now - session.heard <= stand_span) add(session.member);
  std::erase_if(peers_, [&](const auto& each) { return now - each.second.heard > stand_span; });
  for (const auto& [address, peer] : peers_) {
    add(peer.member);
    for (const auto& [member_address, member] : peer.sessions)
      if (member_address != self_.address) add(member);
  }
  publish(std::move(table));
}

void Sessions::publish(MemberTable table) {
  const MemberChanges changes = changes_between(table_, table);
  if (changes.empty()) return;
  history_.add(digest_, changes);
  digest_ = apply(changes, table_, digest_);
  set_members(self_.address, std::move(table));
}

void Sessions::set_members(const Address& session_server, MemberTable all) {
  Members members;
  members.session_server = session_server;
  for (const auto& [address, member] : all) members.control_daemons += member.keeps_control();
  members.all = std::move(all);
  shared_state_.members.set(std::move(members));
}

bool Sessions::has_home() const {
  return !home_.empty() && messenger_.timers().now() - home_heard_ < stand_span;
}

void Sessions::lose_home(const Address& session_server) {
  if (session_server != home_) return;
  home_ = Address{};
  turn_ = 0;
}

// Beats to the home or, without one, to the next few candidates at once, of whom the first to accept becomes the home.
void Sessions::beat() {
  if (has_home()) return beat_to(home_);
  const auto list = candidates();
  for (std::size_t count = 0; count < std::min(search_width, list.size()); ++count)
    beat_to(list[turn_++ % list.size()]);
}

void Sessions::beat_to(const Address& to) {
  if (!asking_.insert(to).second) return;
  messenger_.request(to, Heartbeat{self_, digest_}, std::chrono::milliseconds(300),
                     [this, to](Result<HeartbeatReply> result) { finish_beat(to, std::move(result)); });
}

void Sessions::finish_beat(const Address& to, Result<HeartbeatReply> result) {
  asking_.erase(to);
  auto* reply = std::get_if<HeartbeatReply>(&result);
  if (reply == nullptr) return lose_home(to);
  if (reply->accepted) {
    if (!has_home() || home_ == to) enter_home(to, *reply);
    return;
  }
  const bool was_home = to == home_;
  lose_home(to);
  bool fresh = false;
  for (const auto& member : reply->control_daemons) fresh = remember(member) || fresh;
  if (fresh) turn_ = 0;
  if ((was_home || fresh) && !has_home()) beat();
}

void Sessions::enter_home(const Address& session_server, const HeartbeatReply& reply) {
  home_ = session_server;
  home_heard_ = messenger_.timers().now();
  turn_ = 0;
  const bool changed = take_members(reply);
  if (!changed && shared_state_.members.get()->session_server == session_server) return;
  MemberTable all = table_;
  all[self_.address] = self_;
  set_members(session_server, std::move(all));
}

// False where nothing changed. Changes since a digest that is no longer that of the table here are left for the next
// beat.
bool Sessions::take_members(const HeartbeatReply& reply) {
  if (reply.digest == digest_ || (!reply.whole && reply.before != digest_)) return false;
  if (reply.whole) {
    table_.clear();
    digest_ = 0;
  }
  digest_ = apply(reply.changes, table_, digest_);
  return true;
}

}  // namespace mothwalk
