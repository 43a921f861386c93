// Membership: a daemon is a member while its session with a control daemon (one that keeps control state) stands. A
// member beats to its home control daemon; control daemons share their sessions with each other, and so all know all.
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
  void beat();
  void share();
  void rebuild();
  void publish(Members members);
  std::vector<Address> candidates() const;

  Messenger& messenger_;
  SharedState& shared_state_;
  Member self_;
  std::vector<Address> seeds_;
  std::map<Address, Session> sessions_;
  std::map<Address, Peer> peers_;
  std::map<Address, Session> heard_;  // control daemons that this one was told of
  Address home_;
  Moment home_heard_;
  std::size_t turn_ = 0;
  std::uint64_t ticks_ = 0;
  bool asking_ = false;
  std::uint64_t digest_ = 0;
};

}  // namespace mothwalk
