// The balancers that a process knows, and when it last heard from each.
//
//   BalancerSet balancers(own_address);
//   balancers.OnHello(from, run, leaving, now);
//   for (base::Address to : balancers.Live(now)) { ... }
#ifndef FILBERTHOLLOW_DECISION_MEMBERSHIP_BALANCER_SET_H_
#define FILBERTHOLLOW_DECISION_MEMBERSHIP_BALANCER_SET_H_

#include <map>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"
#include "filberthollow/decision/membership/watch_schedule.h"

namespace filberthollow::decision::membership {

// Reports that a balancer has become silent or has been heard from again.
struct BalancerLivenessChange {
  base::Address balancer;
  bool silent = false;
  // Time since the last hello from the balancer.
  base::Millis heard_ago;
  friend bool operator==(const BalancerLivenessChange&,
                         const BalancerLivenessChange&) = default;
};

// Not thread-safe: a set is owned and used by a single task.
class BalancerSet {
 public:
  // A balancer is silent after kMissedHellos hello intervals without a hello,
  // but no sooner than after kMinSilenceTimeout, so that a short network
  // interruption does not make its peers search for it.
  static constexpr base::Millis kMinSilenceTimeout{5000};
  static constexpr int64_t kMissedHellos = 3;
  // A balancer is removed after kMissedHellosToForget hello intervals without a
  // hello, but no sooner than after kMinForgetTimeout. If it returns later, it
  // is rediscovered through the other balancers.
  static constexpr base::Millis kMinForgetTimeout{30'000};
  static constexpr int64_t kMissedHellosToForget = 10;

  // `self` is the address of this process, which is never added to the set.
  explicit BalancerSet(base::Address self) : m_self(self) {}

  // Sets the interval at which hellos are expected from each balancer. It grows
  // with the fleet.
  void SetHelloInterval(base::Millis interval) { m_interval = interval; }

  // Adds a balancer that was advertised by another one. It is silent until its
  // first hello. Returns whether it is new.
  bool Add(base::Address balancer, base::Millis now);
  // Records a hello. `run` identifies one run of the balancer's process.
  // Returns whether this is the first hello of the balancer or of that run. A
  // balancer that is leaving still forwards packets and must keep receiving all
  // updates.
  bool OnHello(base::Address balancer,
               uint64_t run,
               bool leaving,
               base::Millis now);
  // Records whether the balancer takes turns at the object store; see
  // WatchSchedule. Balancers of earlier releases don't.
  void SetTakesTurns(base::Address balancer, bool takes_turns);
  // Returns the place of this balancer among those that take turns.
  StoreTurn Turn(base::Millis now) const;
  // Removes the balancers that have been silent for too long.
  void Forget(base::Millis now);

  // Returns the balancers that have become silent, or have been heard from
  // again, since the last call. A balancer that has never sent a hello is left
  // out.
  std::vector<BalancerLivenessChange> TakeLivenessChanges(base::Millis now);

  // Returns whether the balancer is known and not silent.
  bool IsLive(base::Address balancer, base::Millis now) const;
  // Returns the balancers that are not silent.
  std::vector<base::Address> Live(base::Millis now) const;
  // Returns the balancers that are silent or have never sent a hello.
  std::vector<base::Address> Silent(base::Millis now) const;
  // How long a balancer counts as a newcomer after its first hello. It may not
  // know all agents yet.
  static constexpr base::Millis kNewcomerTime{5000};
  // Returns the live balancers that have started recently.
  std::vector<base::Address> Newcomers(base::Millis now) const;
  // Returns the live balancers that are not leaving.
  std::vector<base::Address> LiveNotLeaving(base::Millis now) const;
  // Maximum number of balancers that a hello advertises.
  static constexpr size_t kMaxAdvertised = 16;
  // Returns the balancers to advertise in a hello to `peer`: all that are live
  // and not leaving, or in a larger fleet a batch of kMaxAdvertised of them, so
  // that a hello stays small. Different balancers advertise different batches
  // to a peer. An agent that joins therefore knows the whole fleet after three
  // exchanges and can report to it; a balancer that it does not know would take
  // the flows of its upstream for lost.
  std::vector<base::Address> Advertised(base::Address peer,
                                        base::Millis now) const;
  // Moves on to the next batches. Call it only after every peer has been sent a
  // hello with its current batch, so that every peer eventually learns of all
  // balancers.
  void AdvanceAdvertised() { ++m_advertised_round; }
  // Number of balancers that notify a peer of a new balancer.
  static constexpr size_t kNotifiersPerPeer = 3;
  // Returns whether this balancer is one of the kNotifiersPerPeer that send
  // notifications to `peer`. Balancers that know the same fleet agree on them
  // by rendezvous hashing. Without this limit, every balancer would send each
  // notification to every peer.
  bool IsNotifierFor(base::Address peer, base::Millis now) const;
  // Returns whether this balancer is one of the kNotifiersPerPeer that tell the
  // newcomer `peer` what they know. Other newcomers are left out, since they
  // know as little.
  bool IntroducesTo(base::Address peer, base::Millis now) const;
  size_t size() const { return m_balancers.size(); }

 private:
  struct Entry {
    // Time of the last hello, or of Add() if there was none.
    base::Millis heard_at;
    base::Millis run_heard_at;  // time of the first hello of `run`
    uint64_t run = 0;
    // Whether the balancer has ever sent a hello.
    bool heard = false;
    bool leaving = false;
    bool takes_turns = false;
    // The state last reported by TakeLivenessChanges().
    bool silent = false;
  };

  bool IsLive(const Entry& entry, base::Millis now) const;
  bool IsNewcomer(const Entry& entry, base::Millis now) const;
  // Returns whether fewer than kNotifiersPerPeer of `balancers` rank above this
  // one for `peer`.
  bool RanksHighFor(base::Address peer,
                    const std::vector<base::Address>& balancers) const;
  template <class Predicate>
  std::vector<base::Address> Select(Predicate predicate) const;

  const base::Address m_self;
  base::Millis m_interval{1000};
  std::map<base::Address, Entry> m_balancers;
  uint64_t m_advertised_round = 0;
};

}  // namespace filberthollow::decision::membership

#endif  // FILBERTHOLLOW_DECISION_MEMBERSHIP_BALANCER_SET_H_
