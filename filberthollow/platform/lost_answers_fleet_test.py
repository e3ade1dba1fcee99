"""Tests that balancers notice lost answers of the platform's store, on loopback,
with the stand-in platform."""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import wait_until  # noqa: E402
from platform_fleet import System  # noqa: E402

EVACUATION_SECONDS = 5  # The platform's evacuationMs.
STABLE_WINDOW_SECONDS = 5  # The platform's stableWindowMs.
START_SECONDS = 20


class LostEvacuationAnswersTest(unittest.TestCase):
    def setUp(self):
        self.system = System([
            f"bounds.evacuationMs={EVACUATION_SECONDS * 1000}",
            f"bounds.stableWindowMs={STABLE_WINDOW_SECONDS * 1000}"])
        self.addCleanup(self.system.close)
        for balancer in self.system.balancers:
            wait_until(lambda b=balancer: self.status(b).get("revision"),
                       START_SECONDS, "the first list")

    def status(self, balancer):
        """Returns the status of the evacuations service; empty if the balancer
        has not started."""
        try:
            return self.system.status_of(balancer)["evacuations"]
        except OSError:
            return {}

    def names(self, balancer):
        """Returns the data centres to which new flows are not sent."""
        packets = self.system.status_of(balancer)["packets"]
        return [entry["name"]
                for entry in packets["evacuations"]["data_centres"]]

    def assert_in_force(self, names, seconds):
        for balancer in self.system.balancers:
            wait_until(lambda b=balancer: self.names(b) == names, seconds,
                       f"{names} in force at {balancer}")

    def lose_answers_that_tell_of(self, data_centre):
        """Loses the answer of the watch of each balancer."""
        lost_before = self.system.platform_calls()["silenced"]
        self.system.set_platform_faults(silent_kind="evacuations")
        self.system.evacuate(data_centre)
        wait_until(lambda: self.system.platform_calls()["silenced"] >=
                   lost_before + len(self.system.balancers), 5,
                   "the answer to each balancer is lost")
        self.system.set_platform_faults()

    # Guards against watches whose answers were lost, and that the balancers take
    # for waiting ones for 33 s.
    def test_evacuation_after_lost_answers(self):
        self.lose_answers_that_tell_of("elsewhere")
        self.system.evacuate("there")
        self.assert_in_force(["elsewhere", "there"], EVACUATION_SECONDS)

    # Guards against an evacuation that was itself told of by lost answers only.
    def test_evacuation_told_of_by_lost_answers(self):
        self.lose_answers_that_tell_of("there")
        self.assert_in_force(["there"], STABLE_WINDOW_SECONDS)

    # Guards against a store that is reported as reachable while it is silent.
    def test_silent_store_is_reported(self):
        system = self.system
        system.set_platform_faults(silent_kind="evacuations")
        for balancer in system.balancers:
            wait_until(lambda b=balancer: not
                       self.status(b)["platform_reachable"],
                       EVACUATION_SECONDS, "the silence is reported")
            self.assertGreater(
                system.metric(balancer, "evacuation_watches_overdue"), 0)
        system.set_platform_faults()
        for balancer in system.balancers:
            wait_until(lambda b=balancer: self.status(b)["platform_reachable"],
                       EVACUATION_SECONDS, "the end of the silence is reported")


if __name__ == "__main__":
    unittest.main()
