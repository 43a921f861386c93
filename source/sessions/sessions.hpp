// Cluster membership. A daemon is a member while it has a session with a control daemon, which is a daemon that keeps
// control state. Each member sends heartbeats to one control daemon, its session server. Control daemons exchange their
// sessions with each other, so that each of them knows all members.
// Heartbeats and session exchanges carry the digest of what the receiver is known to have, so that only changes are
// sent. A control daemon that is not in contact with a majority of the voters accepts no heartbeat; its members then
// move to another session server. Every other daemon remembers the control daemons that were named to it and names them
// in turn, so that any daemon can serve as a seed.
#pragma once
#include "sessions/member_changes.hpp"
#include "sessions/messenger.hpp"

namespace mothwalk {

struct HeartbeatReply {
  bool accepted = false;
  // Whether `changes` lists all members that the session server knows, instead of the changes since `base_digest`.
  bool complete = false;
  std::uint64_t base_digest = 0;  // The digest that the heartbeat carried.
  std::uint64_t digest = 0;       // The digest of the session server's table of members.
  MemberChanges changes;
  std::vector<Member> control_daemons;  // If the heartbeat is not accepted: the control daemons known to the replier.
  MOTHWALK_FIELDS_AS("accepted", accepted, "whole", complete, "before", base_digest, "digest", digest, "changes",
                     changes, "control_daemons", control_daemons)
};
struct Heartbeat {
  static constexpr StringView kind = "sessions.beat";
  using Reply = HeartbeatReply;
  Member member;             // The sender.
  std::uint64_t digest = 0;  // The digest of the sender's table of members.
  MOTHWALK_FIELDS(member, digest)
};
// The sessions of a control daemon: all of them, or the changes since its last exchange.
struct SessionExchange {
  static constexpr StringView kind = "sessions.share";
  Member member;          // The sender.
  bool complete = false;  // Whether `changes` lists all sessions.
  // The digests of the sender's sessions before and after the changes.
  std::uint64_t base_digest = 0, digest = 0;
  MemberChanges changes;
  MOTHWALK_FIELDS_AS("member", member, "whole", complete, "before", base_digest, "digest", digest, "changes", changes)
};
// Requests a complete exchange, because the last one was relative to a state that the receiver does not have.
struct SessionExchangeRequest {
  static constexpr StringView kind = "sessions.share_request";
  bool complete = true;
  MOTHWALK_FIELDS_AS("whole", complete)
};

// Names control daemons to a daemon that may not know them.
struct Introduction {
  static constexpr StringView kind = "sessions.introduction";
  std::vector<Member> members;
  MOTHWALK_FIELDS(members)
};

// Keeps this daemon's session and, on a control daemon, the sessions of other daemons. Publishes the table of members
// in the shared state.
class Sessions {
 public:
  Sessions(Messenger& messenger, SharedState& shared_state, Member self, std::vector<Address> seeds);
  void start();

 private:
  static constexpr Duration heartbeat_interval = std::chrono::milliseconds(200);
  // A session or a peer that sent nothing for this long is removed.
  static constexpr Duration session_timeout = std::chrono::milliseconds(900);
  // How long a control daemon that was named by another daemon stays a candidate.
  static constexpr Duration named_daemon_retention = std::chrono::seconds(5);
  // A control daemon with at least two peers contacts the seeds once in this many ticks.
  static constexpr std::uint64_t ticks_between_seed_contacts = 10;
  // A control daemon gives up its slots this long after its lease has expired.
  static constexpr Duration contact_loss_grace = std::chrono::milliseconds(300);
  // How many candidates for the session server receive a heartbeat at once.
  static constexpr std::size_t parallel_candidates = 3;
  struct Session {
    Member member;
    TimePoint last_received;
  };
  // Another control daemon, with the sessions that it sent.
  struct Peer {
    Member member;
    TimePoint last_received;
    MemberTable sessions;
    std::uint64_t digest = 0;
  };
  bool is_control_daemon() const { return self_.keeps_control(); }
  // Returns whether the control daemon was not known yet.
  bool record_control_daemon(const Member& member);
  std::vector<Member> known_control_daemons() const;
  void tick();
  bool lost_majority_contact() const;
  bool may_accept_session(const Member& member) const;
  HeartbeatReply handle_heartbeat(const Address& from, Heartbeat heartbeat);
  void add_member_changes(HeartbeatReply& reply) const;
  void handle_exchange(const Address& from, SessionExchange exchange);
  void send_heartbeats();
  void send_heartbeat(const Address& to);
  void handle_heartbeat_reply(const Address& to, Result<HeartbeatReply> result);
  bool has_session_server() const;
  void drop_session_server(const Address& session_server);
  void use_session_server(const Address& session_server, const HeartbeatReply& reply);
  bool apply_reply(const HeartbeatReply& reply);
  void send_exchange();
  void rebuild_table();
  void publish_table(MemberTable table);
  void set_members(const Address& session_server, MemberTable all);
  std::vector<Address> candidates() const;

  Messenger& messenger_;
  SharedState& shared_state_;
  Member self_;
  std::map<Address, Session> sessions_;
  std::map<Address, Peer> peers_;
  std::map<Address, Session> named_control_daemons_;  // Control daemons that were named or that contacted this daemon.
  Address session_server_;                            // Empty if there is none.
  TimePoint session_server_last_reply_;
  std::size_t next_candidate_ = 0;  // The index of the candidate that gets the next heartbeat.
  std::uint64_t ticks_ = 0;
  std::set<Address> heartbeats_in_flight_;  // The daemons whose reply to a heartbeat is pending.
  MemberTable table_;         // All members: built here by a control daemon, else received from the session server.
  std::uint64_t digest_ = 0;  // The digest of table_.
  MemberHistory history_;     // The past changes of table_; used only by a control daemon.
  MemberTable exchanged_;     // The sessions as last sent to the other control daemons.
  std::uint64_t exchanged_digest_ = 0;
};

}  // namespace mothwalk
