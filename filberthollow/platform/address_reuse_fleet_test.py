"""Tests what happens when the address of an upstream that has ended goes to an
upstream of another service, with real processes on loopback.

The new agent has no configuration: its seed is stale, and the store turns it
away."""

import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import wait_until  # noqa: E402
from platform_fleet import ACK, OPEN, System, Upstream  # noqa: E402

UPSTREAMS = 4
KEPT_FLOWS = 6
NEW_FLOWS = 30
# An address is used again no sooner than 2 s after the end.
REUSE_SECONDS = 2.5
CONFIGURATION_SECONDS = 3


class AddressReuseTest(unittest.TestCase):
    def setUp(self):
        self.system = System()
        self.addCleanup(self.system.close)
        self.first, self.second = self.system.balancers
        upstreams = [self.system.add_upstream(i) for i in range(UPSTREAMS)]
        self.system.wait_ready()
        wait_until(lambda: {self.system.caller.open(self.first)[1].seq
                            for _ in range(4 * UPSTREAMS)}
                   == {u.first_seq for u in upstreams}, 20,
                   "all upstreams get flows")
        self.ended, *staying = upstreams
        self.kept = [self.system.open_flow_at(self.first,
                                              staying[i % len(staying)])
                     for i in range(KEPT_FLOWS)]
        for port, accepted in self.kept:
            self.assert_answered(self.first, port, accepted, b"before")
        self.new = self.reuse_address_of(self.ended)

    def reuse_address_of(self, upstream):
        """Ends the upstream and its agent; starts others at their address."""
        self.system.kill(upstream.host)
        upstream.stop()
        self.system.upstreams.remove(upstream)
        time.sleep(REUSE_SECONDS)
        self.system.start_lost_agent(upstream.host, "maps")
        new = Upstream(upstream.host, "maps", 900_000_000)
        self.system.upstreams.append(new)
        wait_until(lambda: self.acknowledges(new), 10,
                   "the heartbeat of the new upstream is acknowledged")
        return new

    @staticmethod
    def acknowledges(upstream):
        try:
            return upstream.send_heartbeat() == 200
        except OSError:
            return False  # The agent is starting.

    def assert_answered(self, balancer, port, accepted, data):
        answer = self.system.caller.send_request(balancer, port, accepted,
                                                 data)
        self.assertIsNotNone(answer)
        self.assertEqual((answer.flags, answer.data),
                         (ACK, b"answer to " + data))

    def move_kept_flows(self):
        """Sends requests of the kept flows to the other balancer.

        It asks the agents for them, also the one at the reused address.
        """
        for port, accepted in self.kept:
            self.assert_answered(self.second, port, accepted, b"moved")

    # Guards against an agent that takes the flows of the service that had its
    # address before, since the balancer takes its answers for those of the
    # agent that has ended.
    def test_new_flows_stay_with_their_service(self):
        self.move_kept_flows()
        for _ in range(NEW_FLOWS):
            _, answer = self.system.caller.open(self.second)
            self.assertIsNotNone(answer)
            self.assertTrue(answer.flags & OPEN)
        self.assertEqual(self.new.opened, 0)

    # Guards against an agent that stays without a configuration although
    # balancers that have it send it messages.
    def test_agent_learns_of_the_fleet_from_a_balancer_that_asks_it(self):
        self.move_kept_flows()
        wait_until(lambda: self.system.status_of(self.new.host)["packets"][
            "revision"] > 0, CONFIGURATION_SECONDS,
            "the agent has the configuration")
        for _ in range(NEW_FLOWS):
            self.assertTrue(
                self.system.caller.open(self.second)[1].flags & OPEN)
        self.assertEqual(self.new.opened, 0)


if __name__ == "__main__":
    unittest.main()
