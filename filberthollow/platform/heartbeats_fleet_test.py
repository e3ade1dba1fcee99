"""Tests which heartbeats an agent takes for those of its upstream, with real
processes on loopback."""

import json
import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import events_of, wait_until  # noqa: E402
from platform_fleet import ACK, OPEN, RESET, System  # noqa: E402

CLOCK_STEP_MS = 2400
ACKNOWLEDGE_SECONDS = 5
REMOVED = object()
# Changes to a valid heartbeat that make it one of another writer.
FOREIGN_FIELDS = (
    {"address": REMOVED, "version": REMOVED}, {"address": REMOVED},
    {"address": 7}, {"address": "nowhere"}, {"address": "127.0.0.9:80"},
    {"zone": REMOVED}, {"zone": 7}, {"version": REMOVED}, {"version": None},
    {"service": REMOVED}, {"service": "maps"}, {"service": ["desk"]},
    {"slots": REMOVED}, {"slots": True}, {"slots": "4"}, {"slots": 4.5},
    {"state": REMOVED}, {"state": "asleep"}, {"state": True},
    {"coldRemainingMs": REMOVED}, {"coldRemainingMs": "0"},
    {"sequence": REMOVED}, {"sequence": -1}, {"sequence": True},
    {"born": REMOVED}, {"born": "1700000000000"}, {"born": 1.5e12})


class HeartbeatsTest(unittest.TestCase):
    def setUp(self):
        self.system = System()
        self.addCleanup(self.system.close)
        self.upstream = self.system.add_upstream(0)
        self.system.wait_ready()
        self.balancer = self.system.balancers[0]
        wait_until(lambda: self.opens_flow(), 10, "flows open")

    def opens_flow(self):
        answer = self.system.caller.open(self.balancer)[1]
        return answer is not None and answer.flags & OPEN

    def open_flow_in_use(self):
        port, accepted = self.system.open_flow_at(self.balancer, self.upstream)
        self.assert_flow_is_served(port, accepted, b"first")
        return port, accepted

    def assert_flow_is_served(self, port, accepted, data):
        answer = self.system.caller.send_request(self.balancer, port, accepted,
                                                 data)
        self.assertIsNotNone(answer)
        self.assertEqual((answer.flags, answer.data),
                         (ACK, b"answer to " + data))

    # Guards against acknowledging a heartbeat that has no effect: an upstream
    # that was told that its draining is known went on getting new flows.
    def test_heartbeat_without_effect_is_not_acknowledged(self):
        late = dict(self.upstream.heartbeat(), sequence=0)
        for changes, status in (({"state": "draining"}, 409),
                                ({"state": "ready"}, 200),
                                ({"state": "draining", "service": "maps"}, 404),
                                ({"state": "draining", "born": 1}, 503)):
            with self.subTest(changes=changes):
                self.assertEqual(self.upstream.send_heartbeat(
                    json.dumps(dict(late, **changes))), status)
        self.assertTrue(self.opens_flow())

    # Guards against a heartbeat of another writer that is taken for a new run
    # of the upstream, whose open flows are then reset.
    def test_heartbeat_of_another_writer_resets_no_flow(self):
        port, accepted = self.open_flow_in_use()
        for number, changes in enumerate(FOREIGN_FIELDS):
            fields = self.upstream.heartbeat()
            fields["born"] = int(time.time() * 1000)
            for name, value in changes.items():
                fields[name] = value
                if value is REMOVED:
                    del fields[name]
            with self.subTest(changes=changes):
                status = self.upstream.send_heartbeat(json.dumps(fields),
                                                      "i-other")
                self.assertIn(status, (400, 404))
                self.assert_flow_is_served(port, accepted,
                                           f"request {number}".encode())
        self.assertTrue(self.opens_flow())
        refused = events_of(self.system.logs(), "heartbeat_malformed")
        ignored = events_of(self.system.logs(), "heartbeat_ignored")
        self.assertEqual(len(refused) + len(ignored), len(FOREIGN_FIELDS))

    # Guards against an upstream that is started again after the clock of its
    # host was set back, and gets new flows after its draining was acknowledged.
    def test_upstream_drains_after_clock_was_set_back(self):
        port, accepted = self.open_flow_in_use()
        second = self.system.restart_upstream(
            self.upstream, "i-again", self.upstream.start_ms - CLOCK_STEP_MS)
        self.assertEqual(self.system.caller.send_request(
            self.balancer, port, accepted, b"lost").flags, RESET)
        port, accepted = self.system.open_flow_at(self.balancer, second)
        second.state = "draining"
        wait_until(lambda: second.send_heartbeat() == 200, ACKNOWLEDGE_SECONDS,
                   "the draining is acknowledged")
        for _ in range(5):
            self.assertEqual(self.system.caller.open(self.balancer)[1].flags,
                             RESET)
        self.assert_flow_is_served(port, accepted, b"kept")
        self.assertEqual(len(events_of(self.system.logs(), "upstream_run")), 2)

    # Callers that wait for an answer send nothing that could be bounced.
    def test_restart_in_place_resets_flows_of_ended_run_at_once(self):
        port, _ = self.open_flow_in_use()
        self.assertEqual(self.upstream.send_heartbeat(), 200)
        second = self.system.restart_upstream(
            self.upstream, "i-again", int(time.time() * 1000))
        self.assertEqual(second.send_heartbeat(), 200)
        self.assertEqual(self.system.caller.receive(port, 0.5).flags, RESET)
        self.assertTrue(self.opens_flow())

    # Guards against a late heartbeat of a run that has ended.
    def test_late_heartbeat_of_ended_run_changes_nothing(self):
        late = dict(self.upstream.heartbeat(), sequence=1000)
        second = self.system.restart_upstream(
            self.upstream, self.upstream.identifier,
            int(time.time() * 1000))
        port, accepted = self.system.open_flow_at(self.balancer, second)
        self.assertEqual(second.send_heartbeat(), 200)
        self.assert_flow_is_served(port, accepted, b"before the heartbeat")
        for sequence, state in ((1000, "ready"), (1001, "draining")):
            self.assertEqual(second.send_heartbeat(json.dumps(
                dict(late, state=state, sequence=sequence))), 503)
            self.assert_flow_is_served(port, accepted, state.encode())
        self.assertTrue(self.opens_flow())

    # Guards against a DELETE of an earlier run that arrives late and resets the
    # flows of the run that has started under the same identifier.
    def test_late_delete_of_earlier_run_resets_no_flow(self):
        late = {"born": self.upstream.start_ms, "sequence": 1000}
        second = self.system.restart_upstream(
            self.upstream, self.upstream.identifier, int(time.time() * 1000))
        port, accepted = self.system.open_flow_at(self.balancer, second)
        self.assertEqual(second.send_heartbeat(), 200)
        self.assertEqual(second.send_heartbeat(json.dumps(late),
                                               method="DELETE"), 404)
        for number in range(4):  # beyond the time that an upstream has to exit
            time.sleep(0.25)
            self.assert_flow_is_served(port, accepted, f"{number}".encode())
        self.assertTrue(self.opens_flow())


if __name__ == "__main__":
    unittest.main()
