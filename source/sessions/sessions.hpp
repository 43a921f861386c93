// Membership: a daemon is a member while its session with a control daemon (one that keeps control state) stands. A
// member beats to its home control daemon; control daemons share their sessions with each other, and so all know all.
// Beats and shares name the digest of what the other side knows and are answered with what changed since.
// A control daemon that is not in touch with a majority of the roster accepts no beat: its members go to another home.
// Any other daemon remembers the control daemons that it heard of and names them to who asks, so that the seeds may be
// any.
#pragma once
#include "sessions/member_changes.hpp"
#include "sessions/messenger.hpp"

namespace mothwalk {

struct HeartbeatReply {
  bool accepted = false;
  bool whole = false;        // the changes are all members of the home, not what moved since the beat's digest
  std::uint64_t before = 0;  // the beat's digest
  std::uint64_t digest = 0;  // of the home's members
  MemberChanges changes;
  std::vector<Member> control_daemons;  // those known to one that accepts no beat
  MOTHWALK_FIELDS(accepted, whole, before, digest, changes, control_daemons)
};
struct Heartbeat {
  static constexpr StringView kind = "sessions.beat";
  using Reply = HeartbeatReply;
  Member member;
  std::uint64_t digest = 0;
  MOTHWALK_FIELDS(member, digest)
};
// The sessions of a control daemon: all of them, or what moved since its last share.
struct SessionExchange {
  static constexpr StringView kind = "sessions.share";
  Member member;
  bool whole = false;
  std::uint64_t before = 0, digest = 0;
  MemberChanges changes;
  MOTHWALK_FIELDS(member, whole, before, digest, changes)
};
// Asks for a whole share: the last one did not go on from what is known here.
struct SessionExchangeRequest {
  static constexpr StringView kind = "sessions.share_request";
  bool whole = true;
  MOTHWALK_FIELDS(whole)
};

// Names control daemons to one that does not know them.
struct Introduction {
  static constexpr StringView kind = "sessions.introduction";
  std::vector<Member> members;
  MOTHWALK_FIELDS(members)
};

class Sessions {
 public:
  Sessions(Messenger& messenger, SharedState& shared_state, Member self, std::vector<Address> seeds);
  void start();

 private:
  static constexpr Duration beat_span = std::chrono::milliseconds(200);
  static constexpr Duration stand_span = std::chrono::milliseconds(900);
  static constexpr Duration remembered_span = std::chrono::seconds(5);
  static constexpr std::uint64_t ticks_to_seeds = 10;
  static constexpr Duration contact_slack = std::chrono::milliseconds(300);  // past a lease, before slots are given up
  static constexpr std::size_t search_width = 3;  // candidates that are asked at once for a home
  struct Session {
    Member member;
    TimePoint heard;
  };
  struct Peer {
    Member member;
    TimePoint heard;
    MemberTable sessions;
    std::uint64_t digest = 0;
  };
  bool control() const { return self_.keeps_control(); }
  bool remember(const Member& member);
  std::vector<Member> known_control() const;
  void tick();
  bool out_of_contact() const;
  bool may_be_home(const Member& member) const;
  HeartbeatReply take_beat(const Address& from, Heartbeat beat);
  void tell_changes(HeartbeatReply& reply) const;
  void take_share(const Address& from, SessionExchange share);
  void beat();
  void beat_to(const Address& to);
  void finish_beat(const Address& to, Result<HeartbeatReply> result);
  bool has_home() const;
  void lose_home(const Address& session_server);
  void enter_home(const Address& session_server, const HeartbeatReply& reply);
  bool take_members(const HeartbeatReply& reply);
  void share();
  void rebuild();
  void publish(MemberTable table);
  void set_members(const Address& session_server, MemberTable all);
  std::vector<Address> candidates() const;

  Messenger& messenger_;
  SharedState& shared_state_;
  Member self_;
  std::map<Address, Session> sessions_;
  std::map<Address, Peer> peers_;
  std::map<Address, Session> heard_;  // control daemons that this one was told of
  Address home_;
  TimePoint home_heard_;
  std::size_t turn_ = 0;
  std::uint64_t ticks_ = 0;
  std::set<Address> asking_;  // beats under way
  MemberTable table_;         // of a control daemon its own members, of any other one those of its home
  std::uint64_t digest_ = 0;  // of that table
  MemberHistory history_;     // of a control daemon
  MemberTable shared_;        // sessions as they were shared last
  std::uint64_t shared_digest_ = 0;
};

}  // namespace mothwalk
