"""Tests what balancers do when the platform's store comes back from a copy, on
loopback, with the stand-in platform."""

import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import wait_until  # noqa: E402
from platform_fleet import (  # noqa: E402
    ACK, NET, OBJECTS, OPEN, OTHER_ROUTE, ROUTE, System)

THIRD_ROUTE = "198.18.0.3"
CONFIGURATION_SECONDS = 3  # The platform's configurationMs.
ANSWER_SECONDS = 0.5
LOST_CHANGES = 12
OPENING_SECONDS = 0.1  # Keeps open flows below the configured connectionLimit.


class StoreRestoredTest(unittest.TestCase):
    def setUp(self):
        self.system = System()
        self.addCleanup(self.system.close)
        self.upstream = self.system.add_upstream(0)
        self.system.wait_ready()
        for balancer in self.system.balancers:
            wait_until(lambda b=balancer: self.opens(b, ROUTE), 10,
                       "flows open")
        wait_until(lambda: self.system.bootstrap_entries() ==
                   self.names(self.system.balancers), 10,
                   "each balancer has a bootstrap entry")

    @staticmethod
    def names(balancers):
        return {f"balancer-{balancer}" for balancer in balancers}

    def opens(self, balancer, route):
        """Returns whether the upstream accepts a new flow."""
        _, answer = self.system.caller.open(balancer, route, ANSWER_SECONDS)
        return (answer is not None and answer.flags & OPEN != 0
                and answer.seq == self.upstream.first_seq)

    def assert_opens(self, balancer, route):
        """Asserts that the upstream accepts a new flow at the first attempt."""
        _, answer = self.system.caller.open(balancer, route)
        self.assertIsNotNone(answer, f"no answer through {balancer}")
        self.assertEqual((answer.flags, answer.seq),
                         (OPEN | ACK, self.upstream.first_seq),
                         f"answer through {balancer}")

    def assert_in_force(self, route, balancers):
        start = time.monotonic()
        wait_until(lambda: all(self.opens(b, route) for b in balancers),
                   CONFIGURATION_SECONDS, f"{route} is in force")
        self.assertLess(time.monotonic() - start, CONFIGURATION_SECONDS)

    def add_route_and_lose_it(self):
        """Puts OTHER_ROUTE in force, then restores a copy without it.

        Returns the platform's counts of calls just before the restore.
        """
        self.system.copy_store()
        self.system.configure([ROUTE, OTHER_ROUTE])
        self.assert_in_force(OTHER_ROUTE, self.system.balancers)
        calls = self.system.platform_calls()
        self.system.restore_store()
        return calls

    # Guards against an order of configurations by the store's revisions, which
    # go back.
    def test_change_after_restore_takes_effect(self):
        system = self.system
        system.copy_store()
        system.configure([ROUTE, OTHER_ROUTE])
        for _ in range(LOST_CHANGES):
            before_restore = system.configure([ROUTE])
        wait_until(lambda: not any(self.opens(b, OTHER_ROUTE)
                                   for b in system.balancers), 5,
                   "the last change before the restore is in force")
        system.restore_store()
        system.configure_again()
        revision = system.configure([ROUTE, THIRD_ROUTE])
        self.assert_in_force(THIRD_ROUTE, system.balancers)
        self.assertLess(revision, before_restore)
        for balancer in system.balancers:
            port, accepted = system.caller.open(balancer, THIRD_ROUTE)
            answer = system.caller.send_request(balancer, port, accepted, b"a",
                                                THIRD_ROUTE)
            self.assertEqual(answer.data, b"answer to a")

    # Guards against a watch that is held back: the store has given out the
    # watched revision again before the balancers call, to other objects.
    def test_change_made_before_balancers_return_takes_effect(self):
        system = self.system
        system.copy_store()
        for _ in range(LOST_CHANGES):
            system.configure([ROUTE])
        time.sleep(1)  # Longer than a balancer takes to see a change.
        system.restore_store()
        system.configure([ROUTE, THIRD_ROUTE])
        for number in range(LOST_CHANGES):
            status, _ = system.call_platform(
                f"{OBJECTS}/others", {"meta": {"name": f"o-{number}"},
                                      "spec": {}}, "POST")
            self.assertEqual(status, 201)
        self.assert_in_force(THIRD_ROUTE, system.balancers)

    def test_older_configuration_does_not_return(self):
        system = self.system
        reads_before = self.add_route_and_lose_it()["reads"]
        end = time.monotonic() + 2
        while time.monotonic() < end:
            for balancer in system.balancers:
                self.assert_opens(balancer, OTHER_ROUTE)
            time.sleep(OPENING_SECONDS)
        # Each balancer lists the objects anew once it has seen the restore.
        wait_until(lambda: system.platform_calls()["reads"] - reads_before >=
                   len(system.balancers), 5, "balancers have seen the restore")
        for balancer in system.balancers:
            self.assert_opens(balancer, OTHER_ROUTE)

    def test_restarted_balancer_gets_configuration_that_store_lost(self):
        self.add_route_and_lose_it()
        restarted = self.system.balancers[1]
        self.system.kill(restarted)
        self.system.start(restarted, "balancer", first_start="false")
        wait_until(lambda: self.system.ready(restarted), 20, "ready again")
        self.assert_in_force(OTHER_ROUTE, [restarted])

    def test_bootstrap_entry_is_written_again(self):
        system, added = self.system, f"{NET}.12"
        system.copy_store()
        system.balancers.append(added)
        system.start(added, "balancer", first_start="false")
        everyone = self.names(system.balancers)
        wait_until(lambda: system.bootstrap_entries() == everyone, 10,
                   "the new balancer has an entry")
        system.restore_store()
        wait_until(lambda: system.bootstrap_entries() == everyone, 5,
                   "the lost entry is back")

    def test_restore_causes_few_calls(self):
        before = sum(self.add_route_and_lose_it().values())
        time.sleep(3)
        calls = sum(self.system.platform_calls().values()) - before
        self.assertLess(calls, 20 * len(self.system.balancers))


if __name__ == "__main__":
    unittest.main()
