"""Tests pass-through flows between real balancers and agents on loopback, with
the stand-in platform, and a caller and upstreams simulated by the test."""

import json
import pathlib
import signal
import subprocess
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import BIN, events_of, http, wait_until  # noqa: E402
from platform_fleet import (  # noqa: E402
    ACK, NET, OPEN, OTHER_ROUTE, PORTS, RESET, ROUTE, ROUTE_PORT, System,
    packet, replace_file)


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.system = System()
        self.addCleanup(self.system.close)
        self.upstream = self.system.add_upstream(0)
        self.system.wait_ready()
        wait_until(lambda: self.system.caller.open(
            self.system.balancers[0])[1].flags & OPEN, 10, "flows open")

    def test_flow_continues_through_another_balancer(self):
        first, second = self.system.balancers
        caller = self.system.caller
        port, accepted = caller.open(first)
        self.assertEqual(accepted.flags, OPEN | ACK)
        self.assertEqual(caller.send_request(first, port, accepted, b"a").data,
                         b"answer to a")
        self.assertEqual(caller.send_request(second, port, accepted, b"b").data,
                         b"answer to b")
        self.assertEqual(self.upstream.requests, [b"a", b"b"])

    def test_flow_to_address_without_route_is_reset(self):
        _, answer = self.system.caller.open(self.system.balancers[0],
                                            OTHER_ROUTE)
        self.assertEqual(answer.flags, RESET)
        self.assertEqual(self.upstream.opened, 1)

    def test_new_route_takes_effect_within_three_seconds(self):
        self.system.configure([ROUTE, OTHER_ROUTE])
        for balancer in self.system.balancers:
            wait_until(lambda b=balancer: self.system.caller.open(
                b, OTHER_ROUTE)[1].flags & OPEN, 3, "the route is in force")

    def test_draining_upstream_keeps_flows_and_gets_no_new_ones(self):
        balancer = self.system.balancers[0]
        port, accepted = self.system.open_flow_at(balancer, self.upstream)
        second = self.system.add_upstream(1)
        wait_until(lambda: self.system.caller.open(balancer)[1].seq ==
                   second.first_seq, 10, "the second upstream takes flows")
        self.upstream.state = "draining"
        self.assertEqual(self.upstream.send_heartbeat(), 200)
        before = self.upstream.opened
        for _ in range(20):
            self.assertEqual(self.system.caller.open(balancer)[1].seq,
                             second.first_seq)
        self.assertEqual(self.upstream.opened, before)
        self.assertEqual(self.system.caller.send_request(
            balancer, port, accepted, b"late").data, b"answer to late")

    def flow_in_use(self):
        """Opens a flow at the first balancer and completes one request on it.

        Returns the caller, the balancer, the port of the flow and the packet
        that accepted it.
        """
        balancer = self.system.balancers[0]
        port, accepted = self.system.caller.open(balancer)
        self.assertIsNotNone(
            self.system.caller.send_request(balancer, port, accepted, b"a"))
        return self.system.caller, balancer, port, accepted

    def test_flow_survives_kill_of_its_agent(self):
        caller, balancer, port, accepted = self.flow_in_use()
        agent = self.system.running[self.upstream.host]
        agent.kill()
        agent.wait(10)
        self.system.start(self.upstream.host, "agent", first_start="false")
        wait_until(lambda: caller.send_request(
            balancer, port, accepted, b"b"), 10, "the flow is answered again")

    def test_agent_stops_promptly_while_upstream_runs(self):
        # No packet reaches the upstream until its agent has been restarted.
        caller, balancer, port, accepted = self.flow_in_use()
        agent = self.system.running[self.upstream.host]
        agent.send_signal(signal.SIGTERM)
        self.assertEqual(agent.wait(3), 0)
        time.sleep(1)  # Longer than the time until an agent counts as silent.
        caller.send(balancer, port, ACK, b"b", ack=accepted.seq + 1)
        self.assertIsNone(caller.receive(port, 0.5))
        self.system.start(self.upstream.host, "agent", first_start="false")
        wait_until(lambda: caller.send_request(
            balancer, port, accepted, b"c"), 10, "the flow is answered again")

    # Guards against a balancer that starts while an agent restarts as planned,
    # does not know of it and resets the flows of its upstream.
    def test_new_balancer_does_not_reset_flows_of_restarting_agent(self):
        system, caller = self.system, self.system.caller
        system.add_upstream(1)
        balancer = system.balancers[1]
        port, accepted = system.open_flow_at(balancer, self.upstream)
        agent = system.running[self.upstream.host]
        agent.send_signal(signal.SIGTERM)
        self.assertEqual(agent.wait(3), 0)
        system.running[balancer].kill()
        system.running[balancer].wait(10)
        system.start(balancer, "balancer", first_start="false")
        system.wait_ready()
        for _ in range(10):  # beyond the time until it must know all agents
            caller.send(balancer, port, ACK, b"a", ack=accepted.seq + 1)
            self.assertIsNone(caller.receive(port, 0.2))
        system.start(self.upstream.host, "agent", first_start="false")
        wait_until(lambda: caller.send_request(
            balancer, port, accepted, b"a"), 10, "the flow is answered again")

    def test_stopping_balancer_is_not_ready_but_forwards_until_exit(self):
        balancer = self.system.balancers[0]
        caller = self.system.caller
        port, accepted = caller.open(balancer)
        process = self.system.running[balancer]
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: not self.system.ready(balancer), 2, "not ready")
        self.assertIsNotNone(
            caller.send_request(balancer, port, accepted, b"a"))
        self.assertEqual(process.wait(6), 0)

    def test_changed_seeds_are_reloaded_without_signal(self):
        # The seeds and the platform address point to an unused host, so the
        # new balancer is not ready until its seeds change.
        system, host, unused_host = self.system, f"{NET}.12", f"{NET}.99"
        system.balancers.append(host)
        system.write_settings(host, "balancer", "false", unused_host,
                              f"{unused_host}:1")
        system.start_process(host, "balancer")
        time.sleep(1.5)
        self.assertFalse(system.ready(host))
        settings = system.folder / f"{host}.conf"
        valid_settings = settings.read_text().replace(
            f"seeds={unused_host}", f"seeds={system.balancers[0]}")
        replace_file(settings, "seeds=nonsense\n")
        wait_until(lambda: events_of(system.logs(), "settings_refused"), 5,
                   "invalid settings are refused")
        replace_file(settings, valid_settings)
        wait_until(lambda: system.ready(host), 5, "the new seeds are used")
        self.assertEqual(len(events_of(system.logs(), "settings_refused")), 1)
        self.assertEqual(len(events_of(system.logs(), "settings_changed")), 1)

    def test_check_option_names_invalid_field(self):
        host = f"{NET}.13"
        settings = self.system.folder / f"{host}.conf"
        self.system.write_settings(host, "agent", "true", host, f"{host}:1")
        check = [str(BIN / "filberthollow-agent"), "--passthrough", "--check"]
        environment = {"FILBERTHOLLOW_BOOT": str(settings)}
        self.assertEqual(subprocess.run(check, env=environment, timeout=10,
                                        check=False).returncode, 0)
        replace_file(settings, settings.read_text().replace(
            f"app={host}:", f"app={host}:x"))
        refused = subprocess.run(check, env=environment, timeout=10,
                                 check=False, capture_output=True, text=True)
        self.assertEqual(refused.returncode, 2)
        self.assertIn(f"{settings}: app", refused.stderr)

    def test_other_processes_log_silent_balancer(self):
        first, second = self.system.balancers
        process = self.system.running[second]
        process.kill()
        process.wait(10)
        wait_until(lambda: self.processes_logging("balancer_silent") ==
                   {f"balancer-{first}", f"agent-{self.upstream.host}"}, 10,
                   "the silent balancer is logged")
        self.system.start(second, "balancer")
        wait_until(lambda: self.processes_logging("balancer_heard") ==
                   {f"balancer-{first}", f"agent-{self.upstream.host}"}, 10,
                   "the restarted balancer is logged")

    def processes_logging(self, event):
        """Returns who logged the event about the second balancer."""
        silent_address = f"{self.system.balancers[1]}:{PORTS['peers']}"
        return {line["process"] for line in
                events_of(self.system.logs(), event)
                if line["balancer"] == silent_address}

    def test_malformed_heartbeats_are_rejected(self):
        for body in ("", "{", "[1]", "{\"state\":\"ready\"}", "\xff" * 40):
            self.assertEqual(self.upstream.send_heartbeat(body), 400)
        self.assertEqual(self.system.caller.open(
            self.system.balancers[0])[1].flags, OPEN | ACK)

    def test_logs_are_json_and_explain_a_flow(self):
        port, _ = self.system.caller.open(self.system.balancers[0])
        flow = f"{self.system.caller.host}:{port}>{ROUTE}:{ROUTE_PORT}"
        wait_until(lambda: any(
            line["flow"] == flow
            for line in events_of(self.system.logs(), "flow_taken")), 5,
            "the flow is logged")
        for line in self.system.logs().splitlines():
            self.assertTrue({"time", "up_ms", "process", "level",
                             "event"} <= json.loads(line).keys())
        offered = [line for line in events_of(self.system.logs(),
                                              "flow_offered")
                   if line["flow"] == flow][0]
        self.assertTrue({"agent", "tries", "options", "busy", "open", "slots",
                         "placed", "load_age_ms", "revision"}
                        <= offered.keys())
        explanation = subprocess.run(
            [str(BIN / "filberthollow"), "explain", flow, "-"],
            input=self.system.logs(), capture_output=True, text=True,
            timeout=10, check=True).stdout
        self.assertIn("flow_offered", explanation)
        self.assertIn("flow_taken", explanation)

    def metric(self, host, name):
        _, text = http(f"{host}:9464", "/metrics")
        values = [line.rsplit(" ", 1)[1] for line in text.splitlines()
                  if line.startswith(f"filberthollow_{name} ")]
        return float(values[0]) if values else 0.0

    def test_flood_is_counted_fully_and_logged_partially(self):
        balancer, flood = self.system.balancers[0], 3000
        no_route = 'refused_total{reason="no_route"}'
        caller = self.system.caller
        before = self.metric(balancer, no_route)
        for sent in range(1, flood + 1):
            caller.send(balancer, 20000 + sent, OPEN, route=OTHER_ROUTE)
            if sent % 100 == 0:  # The socket buffer holds a few hundred.
                wait_until(lambda n=sent: self.metric(
                    balancer, no_route) - before == n, 10,
                    "each refusal is counted")
        time.sleep(1.1)  # The log budget of the next second.
        # One packet without copies, each of which would be refused, too.
        caller.send(balancer, 30000, OPEN, route=OTHER_ROUTE)
        caller.receive(30000)
        lines = wait_until(lambda: [
            line for line in events_of(self.system.logs(), "flow_reset")
            if line["process"] == f"balancer-{balancer}"
            and line.get("held_back")], 5, "omitted lines are counted")
        written = len([line for line in events_of(self.system.logs(),
                                                  "flow_reset")
                       if line["process"] == f"balancer-{balancer}"])
        held_back = sum(int(line["held_back"]) for line in lines)
        self.assertEqual(written + held_back, flood + 1)
        self.assertLess(written, flood)

    def test_upstream_reset_is_logged_as_such(self):
        caller, _, port, _ = self.flow_in_use()
        self.upstream.send(packet(
            (ROUTE, ROUTE_PORT), (caller.host, port), RESET,
            self.upstream.first_seq + 20))
        flow = f"{caller.host}:{port}>{ROUTE}:{ROUTE_PORT}"
        line = wait_until(lambda: [
            line for line in events_of(self.system.logs(), "upstream_reset")
            if line["flow"] == flow], 5, "the reset is logged")[0]
        self.assertTrue({"busy", "busy_for_ms", "opened_ago_ms", "revision"}
                        <= line.keys())
        self.assertEqual(self.metric(self.upstream.host, "upstream_resets"), 1)

    def test_config_learned_from_peer_is_logged(self):
        # Agents do not watch the store. They learn of a new configuration from
        # a balancer's hello.
        self.system.configure([ROUTE, OTHER_ROUTE])
        line = wait_until(lambda: [
            line for line in events_of(self.system.logs(), "config_behind")
            if line["process"] == f"agent-{self.upstream.host}"
            and line["revision"] > 0], 5, "the agent is behind")[0]
        self.assertGreater(line["peer_revision"], line["revision"])
        self.assertIn(line["peer"].split(":")[0], self.system.balancers)
        wait_until(lambda: [
            line for line in events_of(self.system.logs(), "config_in_force")
            if line["process"] == f"agent-{self.upstream.host}"
            and line["revision"] > 1], 5, "the configuration is in force")
        reported_revisions = [line["peer_revision"] for line in
                events_of(self.system.logs(), "config_behind")
                if line["process"] == f"agent-{self.upstream.host}"]
        self.assertEqual(len(reported_revisions),
                         len(set(reported_revisions)), "each revision once")

    def test_bounced_and_stray_packets_are_counted(self):
        caller, balancer, port, accepted = self.flow_in_use()
        agent = self.upstream.host
        self.upstream.flows.clear()
        self.assertEqual(
            caller.send_request(balancer, port, accepted, b"b").flags, RESET)
        self.assertEqual(self.metric(agent, "packets_bounced"), 1)
        self.assertEqual(self.metric(agent, "packets_stray"), 0)
        caller.send(balancer, port, ACK, b"c", ack=accepted.seq + 1)
        wait_until(lambda: self.metric(agent, "packets_stray") == 1, 5,
                   "a packet at the wrong agent is counted")

    def test_metrics_are_served(self):
        status, text = http(f"{self.upstream.host}:9464", "/metrics")
        self.assertEqual(status, 200)
        self.assertIn("filberthollow_open_ms", text)


if __name__ == "__main__":
    unittest.main()
