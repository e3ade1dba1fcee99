#include "filberthollow/decision/membership/evacuations.h"

#include <boost/test/unit_test.hpp>

#include "filberthollow/base/ids.h"

namespace filberthollow::decision::membership {
namespace {

// Guards against a balancer that was told an older list by a peer and places
// flows in an evacuated data centre again.
BOOST_AUTO_TEST_CASE(OlderListChangesNothing) {
  Evacuations evacuations;
  BOOST_TEST(evacuations.Update({20, {"north"}}));
  BOOST_TEST(!evacuations.Update({19, {}}));
  BOOST_TEST(evacuations.Contains("north"));
  BOOST_TEST(evacuations.ContainsHash(base::HashBytes("north")));
  BOOST_TEST(evacuations.list().revision == 20U);
}

// Guards against notifications to the whole fleet for a list that is newer but
// names the same data centres, as each balancer that starts has one.
BOOST_AUTO_TEST_CASE(NewerListOfTheSameNamesIsNoChange) {
  Evacuations evacuations;
  evacuations.Update({20, {"north"}});
  BOOST_TEST(!evacuations.Update({30, {"north"}}));
  BOOST_TEST(evacuations.list().revision == 30U);
  BOOST_TEST(evacuations.changed_revision() == 20U);
}

// Guards against a process that can't tell "nothing is evacuated" from "not
// known yet".
BOOST_AUTO_TEST_CASE(FirstListIsAChangeAlsoIfEmpty) {
  Evacuations evacuations;
  BOOST_TEST(!evacuations.IsKnown());
  BOOST_TEST(evacuations.Update({20, {}}));
  BOOST_TEST(evacuations.IsKnown());
}

// Guards against two data centres that are evacuated at one time, of which one
// is taken back.
BOOST_AUTO_TEST_CASE(EachNameCountsForItself) {
  Evacuations evacuations;
  evacuations.Update({20, {"north", "south"}});
  BOOST_TEST(evacuations.Update({21, {"south"}}));
  BOOST_TEST(!evacuations.Contains("north"));
  BOOST_TEST(evacuations.Contains("south"));
}

}  // namespace
}  // namespace filberthollow::decision::membership
