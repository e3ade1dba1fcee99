// The membership record of a target or a balancer.
//
// Each member writes its own record: it increments `sequence` on every change
// and takes a new, higher `incarnation` on every start. Other processes only
// set the state to kDead. Of two records of a member, every process keeps the
// newer one; see Supersedes().
#ifndef FILBERTHOLLOW_DECISION_MEMBERSHIP_MEMBER_RECORD_H_
#define FILBERTHOLLOW_DECISION_MEMBERSHIP_MEMBER_RECORD_H_

#include <compare>
#include <cstdint>

#include "filberthollow/base/address.h"
#include "filberthollow/base/ids.h"

namespace filberthollow::decision::membership {

// Identifies a member across restarts: the TargetId of a target, or the hash
// of a balancer's name.
enum class MemberId : uint64_t {};

enum class MemberKind : uint8_t { kTarget, kBalancer };

// The states of one incarnation, in their usual order. In every state before
// kLeft the member is alive; see IsAlive().
enum class MemberState : uint8_t {
  kStarting,  // not ready for work
  kReady,
  kDraining,  // accepts no new work and finishes the work it has
  kLeft,      // stopped as planned
  kDead,      // declared dead by its observers because it was silent
};

// A member record, as exchanged in heartbeats and gossip messages.
struct MemberRecord {
  MemberId id{};
  MemberKind kind{};
  MemberState state{};
  base::Incarnation incarnation{};
  uint32_t sequence = 0;
  // Targets only.
  base::ServiceId service{};
  // Hash of the data centre's name.
  uint64_t data_centre = 0;
  // Relay address of a target, or control address of a balancer.
  base::Address address;
  // Targets only.
  uint32_t weight = 0;
  // Number of requests queued or running at a target.
  uint32_t load = 0;
  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

// Returns whether `record` is newer than `held`, a record of the same member.
// At the same sequence, kDead set by an observer supersedes the state that the
// member last announced; a member that is alive refutes it with a higher
// sequence.
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

// Returns whether the member has neither left nor been declared dead. A
// draining member is alive: it still handles the work that it already has.
constexpr bool IsAlive(const MemberRecord& record) {
  return record.state < MemberState::kLeft;
}

}  // namespace filberthollow::decision::membership

#endif  // FILBERTHOLLOW_DECISION_MEMBERSHIP_MEMBER_RECORD_H_
