"""Many short requests through lossy, repeating and reordering links."""

import os
import unittest

from fleet import Fleet, check_runs
from link_relay import LinkRelay

SEED = int(os.environ.get("FILBERTHOLLOW_SEED", "7"))
TREE = {"settings": {"slots": 8}, "services": {"desk": {}}}
BAD_LINK = {"loss": 0.05, "repeat": 0.1, "delay": (0.001, 0.02)}


class BadLinksTest(unittest.TestCase):

    def test_bad_links_repeat_and_lose_nothing(self):
        with Fleet(TREE) as f:
            f.start(balancers=2, desk=2)
            first, second = (b.at["callers"] for b in f.balancers)
            with LinkRelay(first, SEED, **BAD_LINK) as a, \
                    LinkRelay(second, SEED + 1, **BAD_LINK) as b:
                result = f.call(
                    balancers=f"{a.address},{b.address}", service="desk",
                    requests=3000, flows=60, updates=60, timeout_ms=20_000)
                self.assertGreater(a.counts["lost"], 100)
                self.assertGreater(b.counts["repeated"], 100)
            self.assertEqual(result["outcomes"]["answered"], 3000)
            self.assertEqual(result["wrong_answers"], 0)
            self.assertEqual(
                check_runs(result, [t.log() for t in f.targets]), [])


if __name__ == "__main__":
    unittest.main()
