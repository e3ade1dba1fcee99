#include "filberthollow/decision/membership/first_reports.h"

#include <boost/test/unit_test.hpp>

namespace filberthollow::decision::membership {
namespace {

using base::Address;
using base::Millis;

constexpr Address kBalancer{7, 7000};
constexpr Address kOtherBalancer{8, 7000};
constexpr Millis kStart{10'000};

BOOST_AUTO_TEST_CASE(FirstReportIsRepeatedUntilConfirmed) {
  FirstReports reports;
  reports.Begin(kBalancer, kStart);
  reports.Begin(kOtherBalancer, kStart);
  Millis now = kStart + FirstReports::kRepeatDelay;
  BOOST_TEST(reports.TakeDue(now - Millis(1)).empty());
  BOOST_TEST(reports.TakeDue(now).size() == 2U);
  BOOST_TEST(reports.TakeDue(now).empty());
  reports.OnConfirmed(kBalancer, kStart);
  BOOST_TEST(!reports.IsPending(kBalancer));
  auto due = reports.TakeDue(now + FirstReports::kRepeatDelay);
  BOOST_REQUIRE(due.size() == 1U);
  BOOST_TEST((due[0] == kOtherBalancer));
}

// A balancer of the previous release confirms nothing.
BOOST_AUTO_TEST_CASE(RepetitionsAreLimited) {
  FirstReports reports;
  reports.Begin(kBalancer, kStart);
  size_t repeated = 0;
  Millis now = kStart;
  for (; now < kStart + Millis(5000); now = now + Millis(100)) {
    repeated += reports.TakeDue(now).size();
  }
  BOOST_TEST(repeated == FirstReports::kMaxRepeats);
  BOOST_TEST(!reports.IsPending(kBalancer));
}

BOOST_AUTO_TEST_CASE(RestartedBalancerIsAskedAgain) {
  FirstReports reports;
  reports.Begin(kBalancer, kStart);
  reports.OnConfirmed(kBalancer, kStart);
  BOOST_TEST(reports.Begin(kBalancer, kStart + Millis(500)));
  BOOST_TEST(reports.IsPending(kBalancer));
  BOOST_TEST(reports.TakeDue(kStart + Millis(700)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(StartAnnouncedByThreeBalancersIsAnsweredByOneReport) {
  FirstReports reports;
  BOOST_TEST(reports.Begin(kBalancer, kStart));
  BOOST_TEST(!reports.Begin(kBalancer, kStart + Millis(5)));
  reports.OnConfirmed(kBalancer, kStart + Millis(10));
  BOOST_TEST(!reports.Begin(kBalancer, kStart + Millis(15)));
}

// A balancer may still have the report of an agent that had the address before.
BOOST_AUTO_TEST_CASE(OnlyAReportThatWasSentIsConfirmed) {
  FirstReports reports;
  reports.OnConfirmed(kBalancer, kStart);
  BOOST_TEST(!reports.HasConfirmed(kBalancer));
  reports.OnSent(kBalancer);
  BOOST_TEST(!reports.HasConfirmed(kBalancer));
  reports.OnConfirmed(kBalancer, kStart);
  BOOST_TEST(reports.HasConfirmed(kBalancer));
  BOOST_TEST(!reports.HasConfirmed(kOtherBalancer));
}

BOOST_AUTO_TEST_CASE(ConfirmationLastsUntilTheBalancerRestartsOrIsForgotten) {
  FirstReports reports;
  reports.OnSent(kBalancer);
  reports.OnConfirmed(kBalancer, kStart);
  reports.OnSent(kBalancer);
  reports.TakeDue(kStart + Millis(5000));
  BOOST_TEST(reports.HasConfirmed(kBalancer));
  reports.KeepConfirmationsOf({kBalancer, kOtherBalancer});
  BOOST_TEST(reports.HasConfirmed(kBalancer));
  reports.Begin(kBalancer, kStart + Millis(6000));
  BOOST_TEST(!reports.HasConfirmed(kBalancer));
  reports.OnSent(kBalancer);
  reports.OnConfirmed(kBalancer, kStart + Millis(6010));
  reports.KeepConfirmationsOf({kOtherBalancer});
  BOOST_TEST(!reports.HasConfirmed(kBalancer));
}

}  // namespace
}  // namespace filberthollow::decision::membership
