"""Tests how balancers learn of the operator's evacuations, on loopback, with
the stand-in platform."""

import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import events_of, wait_until  # noqa: E402
from platform_fleet import (  # noqa: E402
    NET, OBJECTS, OPEN, RESET, ROUTE, System)

EVACUATION_SECONDS = 5  # The platform's evacuationMs.
OPENING_SECONDS = 0.02  # Keeps the caller's ports from running out.
SETTINGS = [f"bounds.evacuationMs={EVACUATION_SECONDS * 1000}"]
REVISIONS_OF_AN_ERA = 1_000_000_000_000  # See object_store.h.
# Objects without a readable name.
MALFORMED = [None, 7, "text", [], {}, {"meta": 7, "spec": {}},
             {"meta": {"revision": 3}, "spec": {}},
             {"meta": {"name": 7, "revision": 3}, "spec": {}}]


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.system = System(SETTINGS)
        self.addCleanup(self.system.close)
        for balancer in self.system.balancers:
            self.wait_first_list(balancer)

    def full_status(self, host):
        """Returns the status page, or None if the process has not started."""
        try:
            return self.system.status_of(host)
        except OSError:
            return None

    def status(self, balancer):
        """Returns the status of the evacuations service, or None if the
        balancer has not started."""
        return (self.full_status(balancer) or {}).get("evacuations")

    def wait_first_list(self, balancer):
        wait_until(lambda: (self.status(balancer) or {}).get("revision"), 20,
                   "the first list")

    def names(self, balancer):
        return [entry["name"]
                for entry in self.status(balancer)["data_centres"]]

    def assert_in_force(self, names, balancers=None):
        """Asserts that balancers have these names within the bound."""
        for balancer in balancers or self.system.balancers:
            wait_until(lambda b=balancer: self.names(b) == names,
                       EVACUATION_SECONDS, f"{names} in force at {balancer}")

    def changes(self, balancer):
        """Returns the logged changes of the list after the first one."""
        text = (self.system.folder / f"{balancer}.log").read_text()
        return events_of(text, "evacuations_in_force")[1:]

    def assert_logged(self, added, removed):
        for balancer in self.system.balancers:
            last = wait_until(lambda b=balancer: self.changes(b), 5,
                              "a logged change")[-1]
            self.assertEqual((last["added"], last["removed"]),
                             (added, removed))

    def test_entry_takes_effect_and_ends(self):
        revision = self.system.evacuate("there")
        self.assert_in_force(["there"])
        self.assert_logged("there", "")
        for balancer in self.system.balancers:
            status = self.status(balancer)
            entry = status["data_centres"][0]
            self.assertEqual(entry["revision"] % REVISIONS_OF_AN_ERA, revision)
            self.assertGreaterEqual(status["revision"], entry["revision"])
            self.assertLess(entry["in_force_ms"], EVACUATION_SECONDS * 1000)
            self.assertEqual(
                self.system.metric(balancer, "evacuations_in_force"), 1)
        self.system.evacuate("elsewhere")
        self.assert_in_force(["elsewhere", "there"])
        self.system.end_evacuation("there")
        self.assert_in_force(["elsewhere"])
        self.assert_logged("", "there")

    # Guards against the event of the removal being applied after the one of the
    # write, and against a list of an older revision than the entry's.
    def test_entry_removed_and_written_again_stays_in_force(self):
        system = self.system
        system.evacuate("there")
        self.assert_in_force(["there"])
        for _ in range(5):
            system.end_evacuation("there")
            revision = system.evacuate("there")
        for balancer in system.balancers:
            def rewritten(b=balancer):
                entries = self.status(b)["data_centres"]
                return entries and (entries[0]["revision"] %
                                    REVISIONS_OF_AN_ERA == revision)
            wait_until(rewritten, EVACUATION_SECONDS, "the last write is seen")
            status = self.status(balancer)
            self.assertGreaterEqual(status["revision"],
                                    status["data_centres"][0]["revision"])
            logged = self.changes(balancer)
            self.assertEqual(logged[-1]["data_centres"], "there")
            self.assertEqual(logged[-1]["revision"], status["revision"])

    # Guards against one malformed object that hides all others.
    def test_malformed_objects_beside_entries_are_skipped(self):
        system = self.system
        system.set_platform_faults(extra_objects=MALFORMED)
        system.evacuate("there")
        self.assert_in_force(["there"])
        system.evacuate("elsewhere")
        self.assert_in_force(["elsewhere", "there"])
        system.end_evacuation("there")
        self.assert_in_force(["elsewhere"])
        for balancer in system.balancers:
            self.assertGreaterEqual(
                system.metric(balancer, "evacuations_malformed"),
                len(MALFORMED))
        restarted = system.balancers[1]
        system.kill(restarted)
        system.start(restarted, "balancer", first_start="false")
        self.wait_first_list(restarted)
        self.assert_in_force(["elsewhere"], [restarted])
        # The configuration is read from a list with such objects as well.
        wait_until(lambda: system.status_of(restarted)["config"]["revision"],
                   EVACUATION_SECONDS, "a configuration")

    def test_list_replaces_entries_if_history_is_gone(self):
        system = self.system
        system.evacuate("there")
        self.assert_in_force(["there"])
        # The balancers call again after 0.25 s at the earliest.
        system.set_platform_faults(down=True)
        system.set_platform_faults()
        system.end_evacuation("there")
        system.evacuate("elsewhere")
        system.compact_store()
        self.assert_in_force(["elsewhere"])
        # Waiting watches get 410, too.
        system.configure([ROUTE])
        system.compact_store()
        system.evacuate("there")
        self.assert_in_force(["elsewhere", "there"])

    def test_entry_that_a_restored_store_lost_is_logged(self):
        system = self.system
        system.evacuate("elsewhere")
        system.copy_store()
        system.evacuate("there")
        self.assert_in_force(["elsewhere", "there"])
        system.restore_store()
        self.assert_in_force(["elsewhere"])
        for balancer in system.balancers:
            text = (system.folder / f"{balancer}.log").read_text()
            lost = events_of(text, "evacuation_lost")
            self.assertEqual([line["data_centres"] for line in lost],
                             ["there"])
        system.evacuate("there")
        self.assert_in_force(["elsewhere", "there"])

    def test_list_survives_an_outage_of_the_store(self):
        system = self.system
        system.evacuate("there")
        self.assert_in_force(["there"])
        system.set_platform_faults(down=True)
        wait_until(lambda: all(not self.status(b)["platform_reachable"]
                               for b in system.balancers), 5, "outage is seen")
        self.assert_in_force(["there"])
        system.set_platform_faults()
        system.end_evacuation("there")
        self.assert_in_force([])

    def test_store_unreachable_at_the_start(self):
        system, restarted = self.system, self.system.balancers[1]
        system.evacuate("there")
        self.assert_in_force(["there"])
        system.kill(restarted)
        system.set_platform_faults(down=True)
        system.start(restarted, "balancer", first_start="false")
        wait_until(lambda: self.status(restarted), 20, "the status page")
        time.sleep(1)
        status = self.status(restarted)
        self.assertEqual((status["revision"], status["platform_reachable"]),
                         (0, False))
        system.set_platform_faults()
        self.assert_in_force(["there"], [restarted])

    # Guards against calls for entries of balancers whose platform has none, and
    # of agents.
    def test_service_runs_only_if_the_settings_ask_for_it(self):
        system, restarted = self.system, self.system.balancers[1]
        system.extra_settings = []
        system.kill(restarted)
        system.start(restarted, "balancer", first_start="false")
        system.extra_settings = SETTINGS
        agent = system.add_upstream(0).host
        for host in (restarted, agent):
            status = wait_until(lambda h=host: self.full_status(h), 20,
                                "the status page")
            self.assertIn("config", status)
            self.assertNotIn("evacuations", status)


class EvacuatedFlowsTest(unittest.TestCase):
    """The only upstream is in the data centre "here"."""

    def setUp(self):
        self.system = System(SETTINGS)
        self.addCleanup(self.system.close)
        self.upstream = self.system.add_upstream(0)
        self.system.wait_ready()
        for balancer in self.system.balancers:
            self.assert_soon(balancer, OPEN)

    def flags_of_open(self, balancer):
        answer = self.system.caller.open(balancer, seconds=0.5)[1]
        return answer.flags if answer is not None else 0

    def assert_soon(self, balancer, flag):
        """Asserts that new flows get an answer with this flag in time."""
        wait_until(lambda: self.flags_of_open(balancer) & flag,
                   EVACUATION_SECONDS, f"flag {flag} through {balancer}")

    def assert_refused_as_evacuated(self, balancer):
        self.assert_soon(balancer, RESET)
        text = (self.system.folder / f"{balancer}.log").read_text()
        self.assertEqual(events_of(text, "flow_reset")[-1]["reason"],
                         "evacuated")

    def test_new_flows_are_refused_and_open_flows_continue(self):
        system, balancer = self.system, self.system.balancers[0]
        port, accepted = system.caller.open(balancer)
        system.evacuate("here")
        for each in system.balancers:
            self.assert_refused_as_evacuated(each)
        opened = self.upstream.opened
        self.assertEqual(system.caller.send_request(
            balancer, port, accepted, b"a").data, b"answer to a")
        for each in system.balancers:
            self.assertEqual(self.flags_of_open(each), RESET)
        self.assertEqual(self.upstream.opened, opened)
        progress = system.status_of(balancer)["packets"]["evacuations"]
        self.assertEqual([entry["name"] for entry in
                          progress["data_centres"]], ["here"])
        system.end_evacuation("here")
        for each in system.balancers:
            self.assert_soon(each, OPEN)

    # Guards against a balancer that waits for the store while its peers know.
    def test_balancer_without_the_store_learns_from_peers(self):
        system, cut_off = self.system, self.system.balancers[1]
        system.kill(cut_off)
        system.write_settings(cut_off, "balancer", "false",
                              system.balancers[0], f"{NET}.99:9")
        system.start_process(cut_off, "balancer")
        wait_until(lambda: system.ready(cut_off), 20, "ready again")
        system.evacuate("here")
        self.assert_refused_as_evacuated(cut_off)
        system.end_evacuation("here")
        self.assert_soon(cut_off, OPEN)

    # Guards against flows that are placed between the first configuration and
    # the first list.
    def test_evacuation_holds_when_everything_restarts_without_the_store(self):
        system = self.system
        system.evacuate("here")
        for balancer in system.balancers:
            self.assert_refused_as_evacuated(balancer)
        opened = self.upstream.opened
        agent = self.upstream.host
        for host in [*system.balancers, agent]:
            system.kill(host)
        system.set_platform_faults(down=True)
        for balancer in system.balancers:
            system.start(balancer, "balancer", first_start="false")
        system.start(agent, "agent", first_start="false")
        time.sleep(1)
        system.set_platform_faults()
        end = time.monotonic() + 3
        while time.monotonic() < end:
            for balancer in system.balancers:
                self.assertFalse(self.flags_of_open(balancer) & OPEN)
            time.sleep(OPENING_SECONDS)
        for balancer in system.balancers:
            self.assert_refused_as_evacuated(balancer)
        self.assertEqual(self.upstream.opened, opened)


if __name__ == "__main__":
    unittest.main()
