// Heartbeats, session exchanges, and the table of members that is built from them.
#include "sessions/sessions.hpp"

#include <algorithm>

namespace mothwalk {

Sessions::Sessions(Messenger& messenger, SharedState& shared_state, Member self, std::vector<Address> seeds)
    : messenger_(messenger), shared_state_(shared_state), self_(std::move(self)) {
  shared_state_.seeds.set(std::move(seeds));
  messenger_.on_request<Heartbeat>(
      [this](const Address& from, Heartbeat heartbeat, ReplyCallback<HeartbeatReply> respond) {
        if (heartbeat.member.address != from)
          return respond(Error{ErrorKind::invalid, "member.address",
                               "the heartbeat comes from an address other than the member address that it states",
                               "set each daemon's address to the one by which the other daemons reach it"});
        respond(handle_heartbeat(from, std::move(heartbeat)));
      });
  messenger_.on_message<SessionExchange>(
      [this](const Address& from, SessionExchange exchange) { handle_exchange(from, std::move(exchange)); });
  messenger_.on_message<SessionExchangeRequest>([this](const Address& from, SessionExchangeRequest) {
    if (is_control_daemon())
      messenger_.send(from, SessionExchange{self_, true, 0, exchanged_digest_, changes_between({}, exchanged_)});
  });
  messenger_.on_message<Introduction>([this](const Address&, Introduction introduction) {
    for (const auto& member : introduction.members) record_control_daemon(member);
  });
}

void Sessions::handle_exchange(const Address& from, SessionExchange exchange) {
  if (!exchange.member.keeps_control() || exchange.member.address != from || from == self_.address) return;
  // A control daemon that is new here receives the addresses of the others. A daemon without control state keeps no
  // sessions of others: it only names the control daemons that it knows.
  if (!is_control_daemon() || !peers_.contains(from)) {
    Introduction introduction{known_control_daemons()};
    std::erase_if(introduction.members, [&](const Member& each) { return each.address == from; });
    if (!introduction.members.empty()) messenger_.send(from, introduction);
  }
  if (!is_control_daemon()) return void(record_control_daemon(exchange.member));
  Peer& peer = peers_[from];
  if (peer.member.incarnation > exchange.member.incarnation) return;
  if (peer.member.incarnation < exchange.member.incarnation || exchange.complete) peer = Peer{};
  peer.member = std::move(exchange.member);
  peer.last_received = messenger_.timers().now();
  if (!exchange.complete && exchange.base_digest != peer.digest)
    messenger_.send(from, SessionExchangeRequest{});
  else
    peer.digest = apply(exchange.changes, peer.sessions, peer.digest);
  rebuild_table();
}

void Sessions::start() {
  tick();
}

// A session server vouches for the table of members, so it has to be in contact with a majority of the voters. Before
// the first roster there are no voters; then a session is accepted only from a member that knows of no roster either.
bool Sessions::may_accept_session(const Member& member) const {
  if (!is_control_daemon()) return false;
  if (shared_state_.has_lease(messenger_.timers().now())) return true;
  const bool knows_roster =
      !shared_state_.configuration.get()->roster.voters.empty() || !shared_state_.known_control_voters.get()->empty();
  return !knows_roster && member.roster == Version{};
}

// Whether this control daemon has been without contact to a majority for so long that it must not own any slots. Other
// daemons may still receive its messages, and would otherwise wait for it as the owner of its slots.
bool Sessions::lost_majority_contact() const {
  if (!is_control_daemon() || shared_state_.configuration.get()->roster.voters.empty()) return false;
  const TimePoint lease_end{shared_state_.lease_until.load()};
  return messenger_.timers().now() - lease_end > contact_loss_grace;
}

HeartbeatReply Sessions::handle_heartbeat(const Address& from, Heartbeat heartbeat) {
  HeartbeatReply reply;
  reply.accepted = may_accept_session(heartbeat.member);
  if (reply.accepted) {
    Session& session = sessions_[from];
    const bool changed = session.member != heartbeat.member;
    session = Session{std::move(heartbeat.member), messenger_.timers().now()};
    if (changed) rebuild_table();
  } else {
    sessions_.erase(from);
  }
  reply.base_digest = heartbeat.digest;
  if (reply.accepted)
    add_member_changes(reply);
  else
    reply.control_daemons = known_control_daemons();
  return reply;
}

void Sessions::add_member_changes(HeartbeatReply& reply) const {
  reply.digest = digest_;
  if (reply.base_digest == digest_) return;
  if (auto changes = history_.since(reply.base_digest, table_)) {
    reply.changes = std::move(*changes);
  } else {
    reply.complete = true;
    reply.changes = changes_between({}, table_);
  }
}

bool Sessions::record_control_daemon(const Member& member) {
  if (!member.keeps_control() || member.address == self_.address) return false;
  const bool is_new = !named_control_daemons_.contains(member.address);
  Session& known = named_control_daemons_[member.address];
  if (known.member.incarnation <= member.incarnation) known = Session{member, messenger_.timers().now()};
  return is_new;
}

std::vector<Member> Sessions::known_control_daemons() const {
  std::map<Address, Member> known;
  for (const auto snapshot = shared_state_.members.get(); const auto& [address, member] : snapshot->all)
    if (member.keeps_control()) known[address] = member;
  for (const auto& [address, named] : named_control_daemons_) known.try_emplace(address, named.member);
  std::vector<Member> list;
  for (auto& [address, member] : known) list.push_back(std::move(member));
  return list;
}

std::vector<Address> Sessions::candidates() const {
  std::vector<Address> list = control_candidates(shared_state_, self_.address, self_.zone);
  for (const auto& [address, named] : named_control_daemons_) add_candidate(list, address, self_.address);
  // A control daemon that is in contact with others still contacts the seeds from time to time. Otherwise two groups of
  // daemons that do not know each other could stay separate.
  if (!is_control_daemon() || peers_.size() < 2 || ticks_ % ticks_between_seed_contacts == 0)
    for (const auto snapshot = shared_state_.seeds.get(); const auto& seed : *snapshot)
      add_candidate(list, seed, self_.address);
  return list;
}

void Sessions::tick() {
  self_.stalled = shared_state_.stalled.load() || lost_majority_contact();
  self_.roster = shared_state_.configuration.get()->roster.version;
  ++ticks_;
  std::erase_if(named_control_daemons_, [now = messenger_.timers().now()](const auto& each) {
    return now - each.second.last_received > named_daemon_retention;
  });
  if (is_control_daemon()) {
    send_exchange();
    rebuild_table();
  } else
    send_heartbeats();
  messenger_.timers().after(heartbeat_interval, [this] { tick(); });
}

void Sessions::send_exchange() {
  const TimePoint now = messenger_.timers().now();
  std::erase_if(sessions_, [&](const auto& each) { return now - each.second.last_received > session_timeout; });
  MemberTable current;
  for (const auto& [address, session] : sessions_) current.emplace(address, session.member);
  SessionExchange exchange{self_, false, exchanged_digest_, 0, changes_between(exchanged_, current)};
  exchanged_digest_ = exchange.digest = apply(exchange.changes, exchanged_, exchanged_digest_);
  for (const Address& address : candidates()) messenger_.send(address, exchange);
}

void Sessions::rebuild_table() {
  const TimePoint now = messenger_.timers().now();
  MemberTable table;
  table[self_.address] = self_;
  auto add = [&](const Member& member) {
    Member& known = table[member.address];
    if (known.incarnation <= member.incarnation) known = member;
  };
  for (const auto& [address, session] : sessions_)
    if (now - session.last_received <= session_timeout) add(session.member);
  std::erase_if(peers_, [&](const auto& each) { return now - each.second.last_received > session_timeout; });
  for (const auto& [address, peer] : peers_) {
    add(peer.member);
    for (const auto& [member_address, member] : peer.sessions)
      if (member_address != self_.address) add(member);
  }
  publish_table(std::move(table));
}

void Sessions::publish_table(MemberTable table) {
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

bool Sessions::has_session_server() const {
  return !session_server_.empty() && messenger_.timers().now() - session_server_last_reply_ < session_timeout;
}

void Sessions::drop_session_server(const Address& session_server) {
  if (session_server != session_server_) return;
  session_server_ = Address{};
  next_candidate_ = 0;
}

// Sends a heartbeat to the session server or, without one, to the next few candidates at once. The first candidate that
// accepts becomes the session server.
void Sessions::send_heartbeats() {
  if (has_session_server()) return send_heartbeat(session_server_);
  const auto list = candidates();
  for (std::size_t count = 0; count < std::min(parallel_candidates, list.size()); ++count)
    send_heartbeat(list[next_candidate_++ % list.size()]);
}

void Sessions::send_heartbeat(const Address& to) {
  if (!heartbeats_in_flight_.insert(to).second) return;
  messenger_.request(to, Heartbeat{self_, digest_}, std::chrono::milliseconds(300),
                     [this, to](Result<HeartbeatReply> result) { handle_heartbeat_reply(to, std::move(result)); });
}

void Sessions::handle_heartbeat_reply(const Address& to, Result<HeartbeatReply> result) {
  heartbeats_in_flight_.erase(to);
  auto* reply = std::get_if<HeartbeatReply>(&result);
  if (reply == nullptr) return drop_session_server(to);
  if (reply->accepted) {
    if (!has_session_server() || session_server_ == to) use_session_server(to, *reply);
    return;
  }
  const bool was_session_server = to == session_server_;
  drop_session_server(to);
  bool any_new = false;
  for (const auto& member : reply->control_daemons) any_new = record_control_daemon(member) || any_new;
  if (any_new) next_candidate_ = 0;
  if ((was_session_server || any_new) && !has_session_server()) send_heartbeats();
}

void Sessions::use_session_server(const Address& session_server, const HeartbeatReply& reply) {
  session_server_ = session_server;
  session_server_last_reply_ = messenger_.timers().now();
  next_candidate_ = 0;
  const bool changed = apply_reply(reply);
  if (!changed && shared_state_.members.get()->session_server == session_server) return;
  MemberTable all = table_;
  all[self_.address] = self_;
  set_members(session_server, std::move(all));
}

// Returns false if the table did not change. Changes relative to a digest that the table no longer has are ignored; the
// next heartbeat requests them again.
bool Sessions::apply_reply(const HeartbeatReply& reply) {
  if (reply.digest == digest_ || (!reply.complete && reply.base_digest != digest_)) return false;
  if (reply.complete) {
    table_.clear();
    digest_ = 0;
  }
  digest_ = apply(reply.changes, table_, digest_);
  return true;
}

}  // namespace mothwalk
