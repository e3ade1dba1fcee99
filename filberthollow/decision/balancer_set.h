// The balancers that a process knows, and when each was last heard of.
//
//   BalancerSet balancers(own_address);
//   balancers.OnHello(from, now);
//   for (base::Address to : balancers.Live(now)) { ... }
#ifndef FILBERTHOLLOW_DECISION_BALANCER_SET_H_
#define FILBERTHOLLOW_DECISION_BALANCER_SET_H_

#include <map>
#include <vector>

#include "filberthollow/base/address.h"
#include "filberthollow/base/clock.h"

namespace filberthollow::decision {

// BalancerLivenessChange: a balancer has fallen silent, or is heard again.
struct BalancerLivenessChange {
  base::Address balancer;
  bool silent = false;
  base::Millis since_heard;
  friend bool operator==(const BalancerLivenessChange&,
                         const BalancerLivenessChange&) = default;
};

// BalancerSet belongs to one task.
class BalancerSet {
 public:
  // A balancer counts as silent once kMissedHellos of its hellos are missing,
  // and no sooner than kMinSilenceTimeout, so that a short cut does not send
  // its neighbours searching.
  static constexpr base::Millis kMinSilenceTimeout{5000};
  static constexpr int64_t kMissedHellos = 3;
  // A silent balancer is dropped after kMissedHellosToForget or
  // kMinForgetTimeout; one that comes back later is found again through the
  // others.
  static constexpr base::Millis kMinForgetTimeout{30'000};
  static constexpr int64_t kMissedHellosToForget = 10;

  // `self` is never added.
  explicit BalancerSet(base::Address self) : m_self(self) {}

  // SetHelloInterval tells how often balancers are expected to be heard of;
  // the larger the fleet, the less often.
  void SetHelloInterval(base::Millis interval) { m_interval = interval; }

  // Add takes a balancer that others have named; returns whether it is new.
  bool Add(base::Address balancer, base::Millis now);
  // OnHello takes a sign of life; returns whether the balancer, or its run, is
  // new. A balancer that is leaving still serves and is to be told everything.
  bool OnHello(base::Address balancer,
               uint64_t run,
               bool leaving,
               base::Millis now);
  // Forget drops those that were silent for too long.
  void Forget(base::Millis now);

  // TakeLivenessChanges returns the balancers that have fallen silent, or were
  // heard again, since the last call.
  std::vector<BalancerLivenessChange> TakeLivenessChanges(base::Millis now);

  // Live returns those that were heard of lately, Silent the others.
  std::vector<base::Address> Live(base::Millis now) const;
  std::vector<base::Address> Silent(base::Millis now) const;
  // LiveNotLeaving returns the lively ones that are not leaving.
  std::vector<base::Address> LiveNotLeaving(base::Millis now) const;
  // Advertised returns the staying balancers that hellos name at present: all
  // of them, or in a larger fleet kMaxAdvertised, so that a hello stays small.
  // After AdvanceAdvertised() they are the next ones; each peer is to be
  // greeted once a turn, and so hears of all in time.
  static constexpr size_t kMaxAdvertised = 16;
  std::vector<base::Address> Advertised(base::Millis now) const;
  void AdvanceAdvertised(base::Millis now);
  // IsNotifierFor returns whether this balancer is one of the kNotifiersPerPeer
  // that bring news to `peer`. Balancers that know the same fleet agree on
  // them, by rendezvous hashing; without it each peer would hear all news from
  // all.
  static constexpr size_t kNotifiersPerPeer = 3;
  bool IsNotifierFor(base::Address peer, base::Millis now) const;
  size_t size() const { return m_balancers.size(); }

 private:
  struct Entry {
    base::Millis heard_at;
    uint64_t run = 0;
    bool heard = false;
    bool leaving = false;
    bool silent = false;  // as was last returned by TakeLivenessChanges()
  };

  bool IsLive(const Entry& entry, base::Millis now) const;
  template <class Predicate>
  std::vector<base::Address> Select(Predicate predicate) const;

  const base::Address m_self;
  base::Millis m_interval{1000};
  std::map<base::Address, Entry> m_balancers;
  base::Address m_last_advertised;  // hellos name those after it
};

}  // namespace filberthollow::decision

#endif  // FILBERTHOLLOW_DECISION_BALANCER_SET_H_
