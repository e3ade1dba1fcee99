"""Links between real processes that lose, duplicate, delay and reorder
datagrams, and datagrams from outside the fleet."""

import os
import random
import socket
import time
import unittest

from fleet import Fleet, find_violations
from link_relay import LinkRelay, parse_address

SEED = int(os.environ.get("FILBERTHOLLOW_SEED", "7"))
TREE = {"settings": {"slots": 8}, "services": {"desk": {}, "maps": {}}}
BAD_LINK = {"loss": 0.05, "repeat": 0.1, "delay": (0.001, 0.02)}


class LinksTest(unittest.TestCase):

    def call_through(self, relay, fleet, **options):
        return fleet.call(balancers=relay.address, **options)

    def test_bad_links_lose_and_duplicate_no_requests(self):
        with Fleet(TREE) as f:
            f.start(balancers=2, desk=2)
            with LinkRelay([b.addresses["callers"] for b in f.balancers], SEED,
                           **BAD_LINK) as relay:
                result = self.call_through(
                    relay, f, service="desk", requests=3000, flows=60,
                    updates=60, timeout_ms=20_000)
            self.assertGreater(relay.counts["lost"], 100)
            self.assertGreater(relay.counts["repeated"], 100)
            for balancer in f.balancers:
                self.assertEqual(balancer.metric("dropped_total",
                                                 reason="bad_token"), 0)
            self.assertEqual(result["outcomes"]["answered"], 3000)
            self.assertEqual(result["wrong_answers"], 0)
            self.assertEqual(
                find_violations(result, [t.log() for t in f.targets]), [])

    def test_large_answers_survive_bad_links(self):
        with Fleet(TREE) as f:
            f.start(balancers=1, maps=1)
            with LinkRelay([f.balancers[0].addresses["callers"]], SEED,
                           **BAD_LINK) as relay:
                result = self.call_through(
                    relay, f, service="maps", requests=2, flows=2,
                    drawings=100, drawing_bytes=2_000_000, timeout_ms=60_000)
            self.assertEqual(result["outcomes"]["answered"], 2)
            self.assertEqual(result["bytes"], 4_000_000)
            self.assertEqual(result["wrong_answers"], 0)

    def test_a_cut_link_gives_not_run_and_recovers(self):
        with Fleet(TREE) as f:
            f.start(balancers=1, desk=1)
            with LinkRelay([f.balancers[0].addresses["callers"]],
                           SEED) as relay:
                relay.link_down = True
                cut = self.call_through(relay, f, service="desk",
                                        requests=2, timeout_ms=1500)
                # No flow was opened, so that no request can have run.
                self.assertEqual(cut["outcomes"]["not_run"], 2)
                relay.link_down = False
                healed = self.call_through(relay, f, service="desk",
                                           requests=20, updates=50, seed=2)
                self.assertEqual(healed["outcomes"]["answered"], 20)
            self.assertEqual(
                find_violations(cut, [t.log() for t in f.targets]), [])

    def test_invalid_datagrams_are_counted_and_never_answered(self):
        with Fleet(TREE) as f:
            target = f.start(balancers=1, desk=1)[0]
            generator = random.Random(SEED)
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            destinations = [f.balancers[0].addresses["callers"],
                            f.balancers[0].addresses["relay"],
                            f.balancers[0].addresses["control"],
                            target.agent.addresses["relay"],
                            target.agent.addresses["control"]]
            for _ in range(400):
                length = generator.choice([0, 1, 8, 64, 200, 1400, 1600])
                data = generator.randbytes(length)
                for destination in destinations:
                    sock.sendto(data, parse_address(destination))
            time.sleep(1)
            sock.setblocking(False)
            with self.assertRaises(BlockingIOError):
                sock.recv(2048)
            sock.close()
            balancer = f.balancers[0]
            self.assertGreater(
                balancer.metric("dropped_total", reason="malformed"), 0)
            self.assertGreater(
                balancer.metric("dropped_total", reason="oversized"), 0)
            self.assertGreater(
                balancer.metric("dropped_total", reason="unsealed"), 0)
            self.assertGreater(
                target.agent.metric("dropped_total", reason="unsealed"), 0)
            result = f.call(service="desk", requests=20, updates=50)
            self.assertEqual(result["outcomes"]["answered"], 20)


if __name__ == "__main__":
    unittest.main()
