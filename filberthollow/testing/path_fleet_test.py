"""Requests from callers to upstreams through real processes: restarts, stops,
large answers and idle load; settings files, admin pages, operator commands."""

import json
import pathlib
import re
import subprocess
import time
import unittest

import fleet
from fleet import BIN, ROOT, Fleet, find_violations, http, wait_until

TREE = {"settings": {"slots": 4}, "services": {"desk": {}, "maps": {}}}
IDLE_SECONDS = 5


def cpu_ticks(process):
    """Returns the user and system time of a process in clock ticks."""
    fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    values = fields.rsplit(")", 1)[1].split()
    return int(values[11]) + int(values[12])


class PathTest(unittest.TestCase):

    def assert_all_answered(self, result, count):
        self.assertEqual(result["outcomes"]["answered"], count, result)
        self.assertEqual(result["wrong_answers"], 0)
        self.assertEqual(result["flows_lost"], 0)

    def test_flows_survive_a_rolling_restart_of_every_balancer(self):
        with Fleet(TREE) as f:
            f.start(balancers=3, desk=2)
            load = f.start_call(service="desk", requests=1500, flows=30,
                                updates=50, pause_ms=150, work_ms=2)
            for index in range(3):
                f.restart_balancer(index)
            self.assertIsNone(load[0].poll(),
                              "the caller ended before the restarts were done")
            result = f.finish_call(load)
            self.assert_all_answered(result, 1500)
            self.assertEqual(
                find_violations(result, [t.log() for t in f.targets]), [])
            opened = sum(
                t.agent.metric("open_flows") for t in f.targets)
            self.assertEqual(opened, 0, "the callers left flows open")

    def test_a_stopping_target_cuts_nothing_and_gets_nothing_new(self):
        with Fleet(TREE) as f:
            f.start(balancers=2, desk=3)
            load = f.start_call(service="desk", requests=1200, flows=24,
                                updates=50, pause_ms=100, work_ms=40)
            time.sleep(1)
            leaving = f.targets[0]
            self.assertEqual(leaving.agent.stop(), 0)
            after_stop = leaving.log()["started"]
            result = f.finish_call(load)
            self.assert_all_answered(result, 1200)
            self.assertEqual(
                find_violations(result, [t.log() for t in f.targets]), [])
            self.assertEqual(leaving.log()["started"], after_stop)
            self.assertNotIn("cut_requests", leaving.agent.log())

    def test_large_answers_arrive_complete_alongside_small_ones(self):
        with Fleet(TREE) as f:
            f.start(balancers=2, maps=1, desk=1)
            maps = f.start_call(service="maps", requests=20, flows=4,
                                drawings=100, drawing_bytes=5_000_000,
                                timeout_ms=60_000)
            desk = f.call(service="desk", requests=500, flows=5, updates=50)
            self.assert_all_answered(desk, 500)
            result = f.finish_call(maps)
            self.assert_all_answered(result, 20)
            self.assertEqual(result["bytes"], 100_000_000)

    def test_idle_processes_sleep(self):
        with Fleet(TREE) as f:
            f.start(balancers=2, desk=1)
            time.sleep(2)
            watched = f.balancers + [f.targets[0].agent]
            before = {p.name: cpu_ticks(p) for p in watched}
            wakes = {p.name: p.metric("relay_wakeups") +
                     p.metric("flows_wakeups") for p in watched}
            members = f.balancers[0].metric("members_wakeups")
            time.sleep(IDLE_SECONDS)
            for process in watched:
                # Tasks of the data path may wake only for the two metrics calls
                # of this test.
                now = (process.metric("relay_wakeups") +
                       process.metric("flows_wakeups"))
                self.assertLessEqual(now - wakes[process.name], 8)
                self.assertLessEqual(
                    cpu_ticks(process) - before[process.name], 5)
            rate = f.balancers[0].metric("members_wakeups") - members
            self.assertLessEqual(rate, 12 * IDLE_SECONDS)

    def test_settings_files_are_refused_with_path_found_and_expected(self):
        cases = [
            ('{"name": "b"}', "data_centre: ",
             "found nothing, expected a string that is not empty"),
            ('{"name": 7}', "name: ", "found 7"),
            ("{", "", "parse error"),
        ]
        good = json.loads((ROOT / "examples/balancer.json").read_text())
        cases.append((json.dumps({**good, "colour": "red"}), "colour: ",
                      "unknown field"))
        cases.append((json.dumps({**good, "relay_address": "here"}),
                      "relay_address: ", "A.B.C.D:PORT"))
        folder = pathlib.Path(fleet.tempfile.mkdtemp())
        for text, path, detail in cases:
            file = folder / "bad.json"
            file.write_text(text)
            done = subprocess.run(
                [str(BIN / "filberthollow-balancer"), "--check", "--settings",
                 str(file)], capture_output=True, text=True, timeout=20)
            self.assertEqual(done.returncode, 2, text)
            self.assertIn(path, done.stderr)
            self.assertIn(detail, done.stderr)
        fleet.shutil.rmtree(folder)

    def test_the_examples_are_valid(self):
        for name in ("stiklotava", "permit-office"):
            done = subprocess.run(
                [str(BIN / "filberthollow"), "check",
                 str(ROOT / f"examples/{name}.json")],
                capture_output=True, text=True, timeout=20)
            self.assertEqual(done.returncode, 0, done.stderr)
        for role in ("balancer", "agent"):
            done = subprocess.run(
                [str(BIN / f"filberthollow-{role}"), "--check", "--settings",
                 str(ROOT / f"examples/{role}.json")],
                capture_output=True, text=True, timeout=20)
            self.assertEqual(done.returncode, 0, done.stderr)

    def test_pages_and_operator_commands(self):
        with Fleet(TREE) as f:
            f.start(balancers=1, desk=1)
            result = f.call(service="desk", requests=3)
            balancer = f.balancers[0].addresses["admin"]
            self.assertEqual(http(balancer, "/healthz")[0], 200)
            self.assertEqual(http(balancer, "/nothing")[0], 404)
            _, metrics = http(balancer, "/metrics")
            self.assertIn(
                'filberthollow_dropped_total{reason="bad_token"} 0', metrics)
            _, metrics = http(f.targets[0].agent.addresses["admin"], "/metrics")
            self.assertIn("filberthollow_upstream_ms_count 3", metrics)
            f.targets[0].control(reported_load=9)
            wait_until(lambda: f.targets[0].agent.metric(
                "upstream_reported_load") == 9, 5,
                "the agent reports the load of its upstream")
            explained = f.operator("--json", "explain", result["flow"]).stdout
            self.assertIn("desk/desk-0", explained)
            self.assertEqual(
                f.operator("explain", "1234", check=False).returncode, 1)
            shown = json.loads(f.operator(
                "--json", "show", "/desk/riga-a/desk-0").stdout)
            self.assertEqual(shown["slots"], {"value": "4", "source": "/"})
            bad = f.operator("set", "/desk", "slots", "0", check=False)
            self.assertEqual(bad.returncode, 3)
            self.assertIn("found 0, expected 1 to 4096", bad.stderr)
            self.assertEqual(f.operator("nonsense", check=False).returncode, 2)
            f.operator("set", "/desk", "slots", "9")
            self.assertEqual(
                f.operator("diff", str(f.tree_path), check=False).returncode, 5)
            wait_until(
                lambda: f.operator("status", check=False).returncode == 0,
                11, "the change is in force on all members")
            for verb in ("show", "apply", "status", "explain"):
                text = f.operator("--help", verb).stdout
                self.assertIn(verb, text)

    def test_docs_list_every_reason_and_setting(self):
        page = (ROOT / "docs/OPERATIONS.md").read_text()
        listed = set(re.findall(r"^\| `(\w+)` \|", page, re.MULTILINE))
        table = (ROOT / "filberthollow/flow/reason.cc").read_text()
        reasons = set(re.findall(r'k(?:Refused|Dropped|Retried),\s*"(\w+)"',
                                 table))
        fields = subprocess.run([str(BIN / "filberthollow"), "fields"],
                                capture_output=True, text=True, timeout=20)
        names = {line.split()[0] for line in fields.stdout.splitlines()}
        self.assertGreater(len(reasons), 20)
        self.assertEqual((reasons | names) - listed, set())


if __name__ == "__main__":
    unittest.main()
