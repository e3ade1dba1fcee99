// What the fleet knows of one member, a target or a balancer.
//
// Each member is the only author of its record: it raises `sequence` at every
// change, and draws a new, higher `incarnation` at every start. Of two records
// of one member, the newer one wins everywhere; see Supersedes().
#ifndef FILBERTHOLLOW_DECISION_MEMBER_RECORD_H_
#define FILBERTHOLLOW_DECISION_MEMBER_RECORD_H_

#include <compare>
#include <cstdint>

#include "filberthollow/base/address.h"
#include "filberthollow/base/ids.h"

namespace filberthollow::decision {

// MemberId names a member across restarts: a target's TargetId, or the hash of
// a balancer's name.
enum class MemberId : uint64_t {};

// MemberKind tells the two kinds of member apart.
enum class MemberKind : uint8_t { kTarget, kBalancer };

// MemberState orders the stages of one incarnation.
enum class MemberState : uint8_t {
  kStarting,  // not ready for work
  kReady,
  kDraining,  // takes no new work, finishes what it has
  kLeft,      // ended as planned
  kDead,      // found silent by its observers
};

// MemberRecord is a value; it travels in gossip.
struct MemberRecord {
  MemberId id{};
  MemberKind kind{};
  MemberState state{};
  base::Incarnation incarnation{};
  uint32_t sequence = 0;
  base::ServiceId service{};  // of a target
  uint64_t data_centre = 0;   // hash of its name
  base::Address address;      // relay address of a target, or control
                              // address of a balancer
  uint32_t weight = 0;        // of a target
  uint32_t load = 0;          // requests queued or running at a target
  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// Supersedes returns whether `record` is news to someone who holds `held`. At
// equal sequence, an observer's kDead wins over what the author last said; the
// author refutes it with a higher sequence.
constexpr bool Supersedes(const MemberRecord& record,
                          const MemberRecord& held) {
  if (record.incarnation != held.incarnation) {
    return record.incarnation > held.incarnation;
  }
  if (record.sequence != held.sequence) {
    return record.sequence > held.sequence;
  }
  return record.state == MemberState::kDead && held.state < MemberState::kLeft;
}

// IsAlive returns whether the member may be given work that it holds already.
constexpr bool IsAlive(const MemberRecord& record) {
  return record.state < MemberState::kLeft;
}

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_MEMBER_RECORD_H_
