// Membership: a daemon is a member while its session with a control daemon (one that keeps control state) stands. A
// member beats to its home control daemon; control daemons share their sessions with each other, and so all know all.
// A control daemon that is not in touch with a majority of the roster accepts no beat: its members go to another home.
// Any other daemon remembers the control daemons that it heard of and names them to who asks, so that the seeds may be
// any.
#pragma once
#include "sessions/messenger.hpp"
#include "sessions/shared_state.hpp"

namespace mothwalk {

struct BeatReply {
  bool accepted = false, changed = false;
  std::vector<Member> members;
  MOTHWALK_FIELDS(accepted, changed, members)
};
struct Beat {
  static constexpr View kind = "sessions.beat";
  using Reply = BeatReply;
  Member member;
  std::uint64_t digest = 0;
  MOTHWALK_FIELDS(member, digest)
};
struct SessionShare {
  Member member;
  Span age{};
  MOTHWALK_FIELDS(member, age)
};
struct Share {
  static constexpr View kind = "sessions.share";
  Member member;
  std::vector<SessionShare> sessions;
  MOTHWALK_FIELDS(member, sessions)
};

// Names control daemons to one that does not know them.
struct Introduction {
  static constexpr View kind = "sessions.introduction";
  std::vector<Member> members;
  MOTHWALK_FIELDS(members)
};

class Sessions {
 public:
  Sessions(Messenger& messenger, SharedState& shared_state, Member self, std::vector<Address> seeds);
  void start();

 private:
  static constexpr Span beat_span = std::chrono::milliseconds(200);
  static constexpr Span stand_span = std::chrono::milliseconds(900);
  static constexpr Span remembered_span = std::chrono::seconds(5);
  static constexpr std::uint64_t ticks_to_seeds = 10;
  static constexpr Span contact_slack = std::chrono::milliseconds(300);  // past a lease, before slots are given up
  static constexpr std::size_t search_width = 3;                         // candidates that are asked at once for a home
  struct Session {
    Member member;
    Moment heard;
  };
  struct Peer {
    Member member;
    Moment heard;
    std::vector<SessionShare> sessions;
  };
  bool control() const { return self_.keeps_control(); }
  bool remember(const Member& member);
  std::vector<Member> known_control() const;
  void tick();
  bool out_of_contact() const;
  bool may_be_home(const Member& member) const;
  BeatReply take_beat(const Address& from, Beat beat);
  void beat();
  void beat_to(const Address& to);
  void finish_beat(const Address& to, Result<BeatReply> result);
  bool has_home() const;
  void lose_home(const Address& home);
  void enter_home(const Address& home, BeatReply& reply);
  void share();
  void rebuild();
  void publish(Members members);
  std::vector<Address> candidates() const;

  Messenger& messenger_;
  SharedState& shared_state_;
  Member self_;
  std::map<Address, Session> sessions_;
  std::map<Address, Peer> peers_;
  std::map<Address, Session> heard_;  // control daemons that this one was told of
  Address home_;
  Moment home_heard_;
  std::size_t turn_ = 0;
  std::uint64_t ticks_ = 0;
  std::set<Address> asking_;  // beats under way
  std::uint64_t digest_ = 0;
};

}  // namespace mothwalk
