"""Tests that balancers notice lost answers of the platform's store, on loopback,
with the stand-in platform."""

import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import wait_until  # noqa: E402
from platform_fleet import (  # noqa: E402
    NET, OPEN, OTHER_ROUTE, ROUTE, System)

CONFIGURATION_SECONDS = 3  # The platform's configurationMs.
EVACUATION_SECONDS = 5  # The platform's evacuationMs.
STABLE_WINDOW_SECONDS = 5  # The platform's stableWindowMs.
START_SECONDS = 20
ANSWER_SECONDS = 0.5
AUTHOR_VERSION_BASE = 4_000_000_000_000_000  # See object_store.h.
THIRD_ROUTE = "198.18.0.3"


def lose_answers_that_tell_of(system, kind, change):
    """Loses the answer of the watch of each balancer that tells of `change`."""
    lost_before = system.platform_calls()["silenced"]
    system.set_platform_faults(silent_kind=kind)
    change()
    wait_until(lambda: system.platform_calls()["silenced"] >=
               lost_before + len(system.balancers), 5,
               "the answer to each balancer is lost")
    system.set_platform_faults()


class LostConfigurationAnswersTest(unittest.TestCase):
    def setUp(self):
        self.system = System([
            f"bounds.configurationMs={CONFIGURATION_SECONDS * 1000}",
            f"bounds.stableWindowMs={STABLE_WINDOW_SECONDS * 1000}"])
        self.addCleanup(self.system.close)
        self.upstream = self.system.add_upstream(0)
        self.system.wait_ready()
        self.assert_opens(ROUTE, START_SECONDS)

    def opens(self, balancer, route):
        """Returns whether the upstream accepts a new flow."""
        _, answer = self.system.caller.open(balancer, route, ANSWER_SECONDS)
        return answer is not None and answer.flags & OPEN != 0

    def assert_opens(self, route, seconds):
        wait_until(lambda: all(self.opens(balancer, route)
                               for balancer in self.system.balancers),
                   seconds, f"{route} opens")

    def assert_in_force(self, route, seconds):
        """Asserts that the last version is in force within `seconds`, and that
        its route opens."""
        newest = AUTHOR_VERSION_BASE + self.system.version
        wait_until(lambda: all(
            self.system.status_of(balancer)["packets"]["revision"] == newest
            for balancer in self.system.balancers),
            seconds, f"version {self.system.version} is in force")
        self.assert_opens(route, seconds)

    # Guards against watches whose answers were lost, and that the balancers take
    # for waiting ones for 33 s.
    def test_configuration_after_lost_answers(self):
        lose_answers_that_tell_of(
            self.system, "config",
            lambda: self.system.configure([ROUTE, OTHER_ROUTE]))
        self.system.configure([ROUTE, THIRD_ROUTE])
        self.assert_in_force(THIRD_ROUTE, CONFIGURATION_SECONDS)

    # Guards against a configuration that was itself told of by lost answers only.
    def test_configuration_told_of_by_lost_answers(self):
        lose_answers_that_tell_of(
            self.system, "config",
            lambda: self.system.configure([ROUTE, OTHER_ROUTE]))
        self.assert_in_force(OTHER_ROUTE, STABLE_WINDOW_SECONDS)

    # Guards against a store that is reported as reachable while it is silent.
    def test_silent_store_is_reported(self):
        system = self.system
        system.set_platform_faults(silent_kind="config")
        for balancer in system.balancers:
            wait_until(lambda b=balancer: not system.status_of(b)["config"]
                       ["platform_reachable"], CONFIGURATION_SECONDS,
                       "the silence is reported")
            self.assertGreater(
                system.metric(balancer, "platform_watches_overdue"), 0)
        self.assert_opens(ROUTE, ANSWER_SECONDS * 4)
        system.set_platform_faults()
        for balancer in system.balancers:
            wait_until(lambda b=balancer: system.status_of(b)["config"]
                       ["platform_reachable"], CONFIGURATION_SECONDS,
                       "the end of the silence is reported")


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

    # Guards against watches whose answers were lost, and that the balancers take
    # for waiting ones for 33 s.
    def test_evacuation_after_lost_answers(self):
        lose_answers_that_tell_of(self.system, "evacuations",
                                  lambda: self.system.evacuate("elsewhere"))
        self.system.evacuate("there")
        self.assert_in_force(["elsewhere", "there"], EVACUATION_SECONDS)

    # Guards against an evacuation that was itself told of by lost answers only.
    def test_evacuation_told_of_by_lost_answers(self):
        lose_answers_that_tell_of(self.system, "evacuations",
                                  lambda: self.system.evacuate("there"))
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


class SeveralBalancersTest(unittest.TestCase):
    BALANCERS = 6
    # Turns at the store come five times within each deadline.
    CALLS_PER_SECOND = 5 / CONFIGURATION_SECONDS + 5 / EVACUATION_SECONDS
    QUIET_SECONDS = 6

    def setUp(self):
        self.system = System([
            f"bounds.configurationMs={CONFIGURATION_SECONDS * 1000}",
            f"bounds.evacuationMs={EVACUATION_SECONDS * 1000}",
            f"bounds.stableWindowMs={STABLE_WINDOW_SECONDS * 1000}"])
        self.addCleanup(self.system.close)
        for number in range(len(self.system.balancers), self.BALANCERS):
            host = f"{NET}.{10 + number}"
            self.system.balancers.append(host)
            self.system.start(host, "balancer")
        for balancer in self.system.balancers:
            wait_until(lambda b=balancer: self.packets(b).get("balancers") ==
                       self.BALANCERS - 1, START_SECONDS,
                       "each balancer knows the others")

    def packets(self, balancer):
        """Returns the status of the packets service; empty if the balancer has
        not started."""
        try:
            return self.system.status_of(balancer)["packets"]
        except OSError:
            return {}

    def watches(self):
        return self.system.platform_calls()["watches"]

    # Guards against calls that grow with the number of balancers.
    def test_balancers_share_the_calls(self):
        time.sleep(STABLE_WINDOW_SECONDS)  # Their first watches have ended.
        before, start = self.watches(), time.monotonic()
        time.sleep(self.QUIET_SECONDS)
        calls = self.watches() - before
        seconds = time.monotonic() - start
        self.assertLess(calls, 2 * self.CALLS_PER_SECOND * seconds)

    # Guards against balancers that wait for each other to notice.
    def test_answers_lost_at_all_balancers(self):
        system = self.system
        lose_answers_that_tell_of(
            system, "config", lambda: system.configure([ROUTE, OTHER_ROUTE]))
        system.configure([ROUTE])
        newest = AUTHOR_VERSION_BASE + system.version
        wait_until(lambda: all(self.packets(b)["revision"] == newest
                               for b in system.balancers),
                   CONFIGURATION_SECONDS, "the version is in force")
        lose_answers_that_tell_of(
            system, "evacuations", lambda: system.evacuate("elsewhere"))
        system.evacuate("there")
        wait_until(lambda: all(
            len(self.packets(b)["evacuations"]["data_centres"]) == 2
            for b in system.balancers),
            EVACUATION_SECONDS, "the evacuations are in force")


if __name__ == "__main__":
    unittest.main()
