"""Passed-through flows between real processes on loopback: balancers, agents,
the stand-in platform, and a caller and upstreams played by this test."""

import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import BIN, Process, events_of, http, wait_until  # noqa: E402

HEAD = struct.Struct("<IIIIHHHIBBI")
ACK, RESET, FINISH, OPEN, BOUNCED = 1, 8, 16, 32, 128
ROUTE, OTHER_ROUTE = "198.18.0.1", "198.18.0.2"
ROUTE_PORT = 443
BEAT_SECONDS = 0.3
# Each run has addresses of its own, so that several can run at one time.
NET = f"127.{100 + os.getpid() // 200 % 100}.{os.getpid() % 200}"
PORTS = {"peers": 21000, "packets": 21001, "outbound": 21002, "ready": 21003,
         "control": 21004, "app": 21005}


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def packet(source, destination, flags, seq=0, ack=0, data=b""):
    return HEAD.pack(seq, ack, ip_number(source[0]), ip_number(destination[0]),
                     destination[1], source[1], len(data), 0, flags, 0,
                     0) + data


class Packet:
    """A packet that was received."""

    def __init__(self, raw):
        (self.seq, self.ack, src, dst, self.dport, self.sport, self.size, _,
         self.flags, _, _) = HEAD.unpack(raw[:HEAD.size])
        self.src = socket.inet_ntoa(struct.pack(">I", src))
        self.dst = socket.inet_ntoa(struct.pack(">I", dst))
        self.data = raw[HEAD.size:]
        self.raw = raw

    def flow(self):
        return (self.src, self.sport, self.dst, self.dport)


def replace(path, text):
    """Changes a file at once, so that nobody reads half of it."""
    new = path.with_suffix(".new")
    new.write_text(text)
    new.rename(path)


def bound(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(address)
    sock.settimeout(0.05)
    return sock


class Upstream:
    """Speaks the upstream's side of the packet protocol and sends heartbeats."""

    def __init__(self, host, service, first_seq):
        self.host = host
        self.service = service
        self.first_seq = first_seq
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.flows = set()
        self.opened = 0
        self.requests = []
        self.socket = bound((host, PORTS["app"]))
        self.ending = threading.Event()
        self.threads = [threading.Thread(target=run, daemon=True)
                        for run in (self._serve, self._beat)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()
        self.socket.close()

    def beat(self, body=None):
        """Sends a heartbeat and returns the status of the answer."""
        self.sequence += 1
        beat = {"service": self.service, "address": f"{self.host}:1",
                "zone": "here", "version": "v1", "slots": 4,
                "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}
        text = json.dumps(beat) if body is None else body
        return http(f"{self.host}:{PORTS['control']}",
                    f"/filberthollow/instances/i-{self.first_seq}", text,
                    "PUT")[0]

    def _beat(self):
        while not self.ending.wait(BEAT_SECONDS):
            try:
                self.beat()
            except OSError:
                pass  # the agent is down; the next heartbeat follows

    def _serve(self):
        while not self.ending.is_set():
            try:
                got = Packet(self.socket.recv(2048))
            except socket.timeout:
                continue
            self._answer(got)

    def _answer(self, got):
        me, caller = (got.dst, got.dport), (got.src, got.sport)
        if got.flags & OPEN:
            self.flows.add(got.flow())
            self.opened += 1
            self._send(packet(me, caller, OPEN | ACK, self.first_seq, 1))
        elif got.flow() not in self.flows:
            raw = bytearray(got.raw)
            raw[26] |= BOUNCED
            self._send(bytes(raw))
        elif got.data:
            self.requests.append(got.data)
            self._send(packet(me, caller, ACK, self.first_seq + 1, 1,
                              b"answer to " + got.data))

    def _send(self, raw):
        self.socket.sendto(raw, (self.host, PORTS["outbound"]))


class Caller:
    def __init__(self, host):
        self.host = host
        self.socket = bound((host, PORTS["packets"]))
        self.next_port = 40000

    def send(self, balancer, port, flags, data=b"", route=ROUTE, ack=0):
        raw = packet((self.host, port), (route, ROUTE_PORT), flags, 100, ack,
                     data)
        self.socket.sendto(raw, (balancer, PORTS["packets"]))

    def receive(self, port, seconds=3):
        """Returns the next packet to a port; none means that none came."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                got = Packet(self.socket.recv(2048))
            except socket.timeout:
                continue
            if got.dport == port:
                return got
        return None

    def open(self, balancer, route=ROUTE):
        """Returns the port and the answer to a new flow's packet."""
        self.next_port += 1
        self.send(balancer, self.next_port, OPEN, route=route)
        return self.next_port, self.receive(self.next_port)

    def ask(self, balancer, port, accepted, data):
        self.send(balancer, port, ACK, data, ack=accepted.seq + 1)
        return self.receive(port)


class System:
    """Two balancers, and agents with their upstreams."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="filberthollow-"))
        self.balancers = [f"{NET}.10", f"{NET}.11"]
        self.platform = Process("platform", [
            BIN / "filberthollow-standin", "--role", "platform", "--address",
            f"{NET}.1:0"], self.folder)
        self.running = {}
        self.upstreams = []
        self.caller = Caller(f"{NET}.50")
        self.version = 0
        self.configure([ROUTE])
        for host in self.balancers:
            self.start(host, "balancer")

    def close(self):
        for process in self.running.values():
            process.kill()
            process.wait(10)
        for upstream in self.upstreams:
            upstream.stop()
        self.platform.kill()
        self.caller.socket.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, hosts):
        self.version += 1
        spec = {"version": self.version,
                "routes": [{"name": f"r-{host}", "host": host,
                            "pathPrefix": f"/{ROUTE_PORT}/", "kind": "safe",
                            "service": "desk"} for host in hosts],
                "services": [{"name": "desk", "healthPath": "/health",
                              "connectionLimit": 100}],
                "limits": {"idleTimeoutMs": 15000}}
        path = "/filberthollow/objects/config"
        meta = {"name": "main"}
        if self.version > 1:
            path += "/main"
            text = http(self.platform.at["http"], path)[1]
            meta["revision"] = json.loads(text)["meta"]["revision"]
        status, text = http(self.platform.at["http"], path,
                            json.dumps({"meta": meta, "spec": spec}),
                            "PUT" if self.version > 1 else "POST")
        if status not in (200, 201):
            raise RuntimeError(f"configuration refused: {status} {text}")

    def start(self, host, role, first_start="true"):
        self.write_settings(host, role, first_start, self.balancers[0],
                            self.platform.at["http"])
        self.run(host, role)

    def run(self, host, role):
        with open(self.folder / f"{host}.log", "ab") as log:
            self.running[host] = subprocess.Popen(
                [str(BIN / f"filberthollow-{role}"), "--passthrough"],
                stdout=log, stderr=log, env={"FILBERTHOLLOW_BOOT": str(
                    self.folder / f"{host}.conf")})

    def write_settings(self, host, role, first_start, seed, platform):
        lines = [f"node={role}-{host}", "zone=here", "region=here",
                 f"internalPorts={PORTS['peers']},{PORTS['peers'] + 1}",
                 f"seeds={seed}:{PORTS['control']}",
                 f"bootstrap={first_start}", "heartbeatMs=300",
                 f"platform.address={platform}",
                 "bounds.graceS=6"]
        lines += [f"listenAddresses.{name}={host}:{PORTS[name]}"
                  for name in ("packets", "ready", "control")]
        if role == "agent":
            lines += [f"listenAddresses.outbound={host}:{PORTS['outbound']}",
                      f"app={host}:{PORTS['app']}", "service=desk"]
        settings = self.folder / f"{host}.conf"
        replace(settings, "\n".join(lines) + "\n")

    def add_upstream(self, number):
        host = f"{NET}.{20 + number}"
        self.start(host, "agent")
        self.upstreams.append(Upstream(host, "desk", 10_000_000 * (number + 1)))
        return self.upstreams[-1]

    def ready(self, host):
        try:
            return http(f"{host}:{PORTS['ready']}",
                        "/filberthollow/readiness")[0] == 200
        except OSError:
            return False

    def wait_ready(self):
        wait_until(lambda: all(self.ready(b) for b in self.balancers), 20,
                   "balancers are ready")

    def open_at(self, balancer, upstream):
        """Opens flows until one lies at the upstream; returns it."""
        for _ in range(50):
            port, accepted = self.caller.open(balancer)
            if accepted and accepted.seq == upstream.first_seq:
                return port, accepted
        raise RuntimeError("no flow was placed there")

    def logs(self):
        return "".join(f.read_text() for f in self.folder.glob("*.log"))


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.system = System()
        self.addCleanup(self.system.close)
        self.first = self.system.add_upstream(0)
        self.system.wait_ready()
        wait_until(lambda: self.system.caller.open(
            self.system.balancers[0])[1].flags & OPEN, 10, "flows open")

    def test_a_flow_goes_on_through_a_balancer_that_does_not_know_it(self):
        one, two = self.system.balancers
        caller = self.system.caller
        port, accepted = caller.open(one)
        self.assertEqual(accepted.flags, OPEN | ACK)
        self.assertEqual(caller.ask(one, port, accepted, b"a").data,
                         b"answer to a")
        self.assertEqual(caller.ask(two, port, accepted, b"b").data,
                         b"answer to b")
        self.assertEqual(self.first.requests, [b"a", b"b"])

    def test_an_address_without_a_route_is_reset(self):
        _, answer = self.system.caller.open(self.system.balancers[0],
                                            OTHER_ROUTE)
        self.assertEqual(answer.flags, RESET)
        self.assertEqual(self.first.opened, 1)

    def test_a_new_route_is_in_force_within_three_seconds(self):
        self.system.configure([ROUTE, OTHER_ROUTE])
        for balancer in self.system.balancers:
            wait_until(lambda b=balancer: self.system.caller.open(
                b, OTHER_ROUTE)[1].flags & OPEN, 3, "the route is in force")

    def test_a_draining_upstream_keeps_its_flows_and_gets_no_new_one(self):
        balancer = self.system.balancers[0]
        port, accepted = self.system.open_at(balancer, self.first)
        second = self.system.add_upstream(1)
        wait_until(lambda: self.system.caller.open(balancer)[1].seq ==
                   second.first_seq, 10, "the second upstream takes flows")
        self.first.state = "draining"
        self.assertEqual(self.first.beat(), 200)
        before = self.first.opened
        for _ in range(20):
            self.assertEqual(self.system.caller.open(balancer)[1].seq,
                             second.first_seq)
        self.assertEqual(self.first.opened, before)
        self.assertEqual(self.system.caller.ask(
            balancer, port, accepted, b"late").data, b"answer to late")

    def test_a_flow_outlives_the_agent_beside_its_upstream(self):
        balancer = self.system.balancers[0]
        caller = self.system.caller
        port, accepted = caller.open(balancer)
        self.assertIsNotNone(caller.ask(balancer, port, accepted, b"a"))
        agent = self.system.running[self.first.host]
        agent.kill()
        agent.wait(10)
        self.system.start(self.first.host, "agent", first_start="false")
        wait_until(lambda: caller.ask(balancer, port, accepted, b"b"), 10,
                   "the flow is answered again")

    def test_an_agent_stops_at_once_beside_a_living_upstream(self):
        # Nobody reaches the upstream until an agent stands there again.
        balancer = self.system.balancers[0]
        caller = self.system.caller
        port, accepted = caller.open(balancer)
        self.assertIsNotNone(caller.ask(balancer, port, accepted, b"a"))
        agent = self.system.running[self.first.host]
        agent.send_signal(signal.SIGTERM)
        self.assertEqual(agent.wait(3), 0)
        time.sleep(1)  # longer than it takes to call an agent silent
        caller.send(balancer, port, ACK, b"b", ack=accepted.seq + 1)
        self.assertIsNone(caller.receive(port, 0.5))
        self.system.start(self.first.host, "agent", first_start="false")
        wait_until(lambda: caller.ask(balancer, port, accepted, b"c"), 10,
                   "the flow is answered again")

    def test_a_stopping_balancer_is_not_ready_and_forwards_to_the_last(self):
        balancer = self.system.balancers[0]
        caller = self.system.caller
        port, accepted = caller.open(balancer)
        process = self.system.running[balancer]
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: not self.system.ready(balancer), 2, "not ready")
        self.assertIsNotNone(caller.ask(balancer, port, accepted, b"a"))
        self.assertEqual(process.wait(6), 0)

    def test_new_seeds_are_used_without_a_signal(self):
        # It finds neither the platform nor a balancer until its seeds change.
        system, host, nobody = self.system, f"{NET}.12", f"{NET}.99"
        system.balancers.append(host)
        system.write_settings(host, "balancer", "false", nobody,
                              f"{nobody}:1")
        system.run(host, "balancer")
        time.sleep(1.5)
        self.assertFalse(system.ready(host))
        settings = system.folder / f"{host}.conf"
        good = settings.read_text().replace(
            f"seeds={nobody}", f"seeds={system.balancers[0]}")
        replace(settings, "seeds=nonsense\n")
        wait_until(lambda: events_of(system.logs(), "settings_refused"), 5,
                   "settings that are wrong are refused")
        replace(settings, good)
        wait_until(lambda: system.ready(host), 5, "the new seeds are used")
        self.assertEqual(len(events_of(system.logs(), "settings_refused")), 1)
        self.assertEqual(len(events_of(system.logs(), "settings_changed")), 1)

    def test_check_names_the_field_that_is_wrong(self):
        host = f"{NET}.13"
        settings = self.system.folder / f"{host}.conf"
        self.system.write_settings(host, "agent", "true", host, f"{host}:1")
        check = [str(BIN / "filberthollow-agent"), "--passthrough", "--check"]
        where = {"FILBERTHOLLOW_BOOT": str(settings)}
        self.assertEqual(subprocess.run(check, env=where, timeout=10,
                                        check=False).returncode, 0)
        replace(settings, settings.read_text().replace(
            f"app={host}:", f"app={host}:x"))
        refused = subprocess.run(check, env=where, timeout=10, check=False,
                                 capture_output=True, text=True)
        self.assertEqual(refused.returncode, 2)
        self.assertIn(f"{settings}: app", refused.stderr)

    def test_a_silent_balancer_is_noted_by_the_others(self):
        one, two = self.system.balancers
        process = self.system.running[two]
        process.kill()
        process.wait(10)
        wait_until(lambda: self.silences("balancer_silent") ==
                   {f"balancer-{one}", f"agent-{self.first.host}"}, 10,
                   "the silence is noted")
        self.system.start(two, "balancer")
        wait_until(lambda: self.silences("balancer_heard") ==
                   {f"balancer-{one}", f"agent-{self.first.host}"}, 10,
                   "the return is noted")

    def silences(self, event):
        """Returns the processes that noted it of the second balancer."""
        lost = f"{self.system.balancers[1]}:{PORTS['peers']}"
        return {line["process"] for line in
                events_of(self.system.logs(), event)
                if line["balancer"] == lost}

    def test_strange_heartbeats_name_no_upstream(self):
        for body in ("", "{", "[1]", "{\"state\":\"ready\"}", "\xff" * 40):
            self.assertEqual(self.first.beat(body), 400)
        self.assertEqual(self.system.caller.open(
            self.system.balancers[0])[1].flags, OPEN | ACK)

    def test_logs_are_json_and_tell_a_flows_story(self):
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
        story = subprocess.run(
            [str(BIN / "filberthollow"), "explain", flow, "-"],
            input=self.system.logs(), capture_output=True, text=True,
            timeout=10, check=True).stdout
        self.assertIn("flow_offered", story)
        self.assertIn("flow_taken", story)

    def metric(self, host, name):
        _, text = http(f"{host}:9464", "/metrics")
        values = [line.rsplit(" ", 1)[1] for line in text.splitlines()
                  if line.startswith(f"filberthollow_{name} ")]
        return float(values[0]) if values else 0.0

    def test_a_flood_is_counted_whole_and_logged_in_part(self):
        balancer, flood = self.system.balancers[0], 3000
        no_route = 'refused_total{reason="no_route"}'
        caller = self.system.caller
        before = self.metric(balancer, no_route)
        for sent in range(1, flood + 1):
            caller.send(balancer, 20000 + sent, OPEN, route=OTHER_ROUTE)
            if sent % 100 == 0:  # the socket's buffer holds a few hundred
                wait_until(lambda n=sent: self.metric(
                    balancer, no_route) - before == n, 10,
                    "each refusal is counted")
        time.sleep(1.1)  # the budget of the next second
        caller.open(balancer, OTHER_ROUTE)
        lines = wait_until(lambda: [
            line for line in events_of(self.system.logs(), "flow_reset")
            if line["process"] == f"balancer-{balancer}"
            and line.get("held_back")], 5, "held back lines are told")
        written = len([line for line in events_of(self.system.logs(),
                                                  "flow_reset")
                       if line["process"] == f"balancer-{balancer}"])
        held_back = sum(int(line["held_back"]) for line in lines)
        self.assertEqual(written + held_back, flood + 1)
        self.assertLess(written, flood)

    def test_a_reset_of_the_upstream_is_told_apart_from_ours(self):
        balancer = self.system.balancers[0]
        port, accepted = self.system.caller.open(balancer)
        self.system.caller.ask(balancer, port, accepted, b"a")
        me, caller = (ROUTE, ROUTE_PORT), (self.system.caller.host, port)
        self.first._send(packet(me, caller, RESET, self.first.first_seq + 20))
        flow = f"{caller[0]}:{port}>{ROUTE}:{ROUTE_PORT}"
        line = wait_until(lambda: [
            line for line in events_of(self.system.logs(), "upstream_reset")
            if line["flow"] == flow], 5, "the reset is logged")[0]
        self.assertTrue({"busy", "busy_for_ms", "opened_ago_ms", "revision"}
                        <= line.keys())
        self.assertEqual(self.metric(self.first.host, "upstream_resets"), 1)

    def test_a_configuration_learnt_from_a_peer_is_told(self):
        # Agents do not watch the store; a balancer's hello tells them.
        self.system.configure([ROUTE, OTHER_ROUTE])
        line = wait_until(lambda: [
            line for line in events_of(self.system.logs(), "config_behind")
            if line["process"] == f"agent-{self.first.host}"
            and line["revision"] > 0], 5, "the agent is behind")[0]
        self.assertGreater(line["peer_revision"], line["revision"])
        self.assertIn(line["peer"].split(":")[0], self.system.balancers)
        wait_until(lambda: [
            line for line in events_of(self.system.logs(), "config_in_force")
            if line["process"] == f"agent-{self.first.host}"
            and line["revision"] > 1], 5, "the configuration is in force")

    def test_metrics_are_served(self):
        status, text = http(f"{self.first.host}:9464", "/metrics")
        self.assertEqual(status, 200)
        self.assertIn("filberthollow_open_ms", text)


if __name__ == "__main__":
    unittest.main()
