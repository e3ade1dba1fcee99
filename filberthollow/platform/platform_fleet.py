"""Runs a small pass-through system on loopback: real balancers and agents and
the stand-in platform, with a caller and upstreams that exchange packets.

    system = System()
    upstream = system.add_upstream(0)
    system.wait_ready()
    port, accepted = system.caller.open(system.balancers[0])
"""

import json
import os
import pathlib
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import BIN, Process, http, wait_until  # noqa: E402

HEADER = struct.Struct("<IIIIHHHIBBI")
ACK, RESET, FINISH, OPEN, BOUNCED = 1, 8, 16, 32, 128
ROUTE, OTHER_ROUTE = "198.18.0.1", "198.18.0.2"
ROUTE_PORT = 443
OBJECTS = "/filberthollow/objects"
HEARTBEAT_SECONDS = 0.3
# Derived from the process id, so that several runs at the same time have
# different addresses.
NET = f"127.{100 + os.getpid() // 200 % 100}.{os.getpid() % 200}"
PORTS = {"peers": 21000, "packets": 21001, "outbound": 21002, "ready": 21003,
         "control": 21004, "app": 21005}
METRICS_PORT = 9464  # Not in the settings file (node_settings.cc).


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def packet(source, destination, flags, seq=0, ack=0, data=b""):
    return HEADER.pack(seq, ack, ip_number(source[0]),
                       ip_number(destination[0]), destination[1], source[1],
                       len(data), 0, flags, 0, 0) + data


class Packet:
    """A received packet, with its header parsed."""

    def __init__(self, raw):
        (self.seq, self.ack, src, dst, self.dport, self.sport, self.size, _,
         self.flags, _, _) = HEADER.unpack(raw[:HEADER.size])
        self.src = socket.inet_ntoa(struct.pack(">I", src))
        self.dst = socket.inet_ntoa(struct.pack(">I", dst))
        self.data = raw[HEADER.size:]
        self.raw = raw

    def flow(self):
        return (self.src, self.sport, self.dst, self.dport)


def replace_file(path, text):
    """Replaces a file atomically, so that no reader sees a partial file."""
    new = path.with_suffix(".new")
    new.write_text(text)
    new.rename(path)


def bind_udp_socket(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(address)
    sock.settimeout(0.05)
    return sock


class Upstream:
    """An upstream that answers packets and sends heartbeats to its agent.

    It accepts every flow with sequence number `first_seq`, by which tests tell
    upstreams apart.
    """

    def __init__(self, host, service, first_seq, identifier=None,
                 start_ms=None):
        self.host = host
        self.service = service
        self.first_seq = first_seq
        self.state = "ready"
        self.sequence = 0
        self.identifier = identifier or f"i-{first_seq}"
        self.start_ms = start_ms or int(time.time() * 1000)
        self.flows = set()
        self.opened = 0
        self.requests = []
        self.socket = bind_udp_socket((host, PORTS["app"]))
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=loop, daemon=True)
                        for loop in (self._receive_loop, self._heartbeat_loop)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        self.socket.close()

    def heartbeat(self):
        """Returns the fields of the next heartbeat."""
        self.sequence += 1
        return {"service": self.service, "address": f"{self.host}:1",
                "zone": "here", "version": "v1", "slots": 4,
                "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.start_ms}

    def send_heartbeat(self, body=None, identifier=None, method="PUT"):
        """Sends a heartbeat, or `body`, and returns the HTTP status."""
        text = json.dumps(self.heartbeat()) if body is None else body
        return http(f"{self.host}:{PORTS['control']}",
                    f"/filberthollow/instances/{identifier or self.identifier}",
                    text, method)[0]

    def _heartbeat_loop(self):
        while not self.stopping.wait(HEARTBEAT_SECONDS):
            try:
                self.send_heartbeat()
            except OSError:
                pass  # The agent is down. The next heartbeat is sent anyway.

    def _receive_loop(self):
        while not self.stopping.is_set():
            try:
                received = Packet(self.socket.recv(2048))
            except socket.timeout:
                continue
            self._handle_packet(received)

    def _handle_packet(self, received):
        route_address, caller = (received.dst, received.dport), (
            received.src, received.sport)
        if received.flags & OPEN:
            # Copies of an opening packet belong to the same flow.
            self.opened += 0 if received.flow() in self.flows else 1
            self.flows.add(received.flow())
            self.send(packet(route_address, caller, OPEN | ACK,
                             self.first_seq, 1))
        elif received.flow() not in self.flows:
            raw = bytearray(received.raw)
            raw[26] |= BOUNCED
            self.send(bytes(raw))
        elif received.data:
            self.requests.append(received.data)
            self.send(packet(route_address, caller, ACK, self.first_seq + 1, 1,
                              b"answer to " + received.data))

    def send(self, raw):
        self.socket.sendto(raw, (self.host, PORTS["outbound"]))


# Opens flows and sends packets to balancers, from a host of its own.
# Time in seconds from each opening packet to its next copy, or until the caller
# gives up.
OPENING_COPY_DELAYS = (0.2, 0.4, 0.8)


class Caller:
    def __init__(self, host):
        self.host = host
        self.socket = bind_udp_socket((host, PORTS["packets"]))
        self.next_port = 40000
        self.answered_ports = set()  # of openings

    def send(self, balancer, port, flags, data=b"", route=ROUTE, ack=0):
        raw = packet((self.host, port), (route, ROUTE_PORT), flags, 100, ack,
                     data)
        self.socket.sendto(raw, (balancer, PORTS["packets"]))

    def receive(self, port, seconds=3):
        """Returns the next packet to a port, or None if there is none in time.

        Packets to other ports, and answers to copies of an opening packet that
        was answered, are discarded.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                received = Packet(self.socket.recv(2048))
            except socket.timeout:
                continue
            repeated = received.flags & OPEN and port in self.answered_ports
            if received.dport == port and not repeated:
                return received
        return None

    def open(self, balancer, route=ROUTE, seconds=3):
        """Opens a flow from a new port; returns the port and the answer.

        Sends copies of the opening packet like the callers of the platform: a
        balancer drops it, and relies on the next copy, if a peer has a newer
        configuration, which may have the route. The answer is None if none
        arrives in time.
        """
        self.next_port += 1
        port, end = self.next_port, time.monotonic() + seconds
        for copy, delay in enumerate(OPENING_COPY_DELAYS):
            self.send(balancer, port, OPEN, route=route, ack=copy)
            left = end - time.monotonic()
            answer = self.receive(port, min(delay, left))
            if answer is not None or delay >= left:
                break
        else:
            answer = self.receive(port, end - time.monotonic())
        if answer is not None:
            self.answered_ports.add(port)
        return port, answer

    def send_request(self, balancer, port, accepted, data, route=ROUTE):
        # Sends data on a flow and returns the answer, or None. `accepted` is
        # the packet by which the upstream accepted the flow.
        self.send(balancer, port, ACK, data, route, accepted.seq + 1)
        return self.receive(port)


class System:
    """The stand-in platform, two balancers, and agents with upstreams.

    `extra_settings` are lines that each process's settings file gets, too.
    """

    def __init__(self, extra_settings=()):
        self.extra_settings = list(extra_settings)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="filberthollow-"))
        self.balancers = [f"{NET}.10", f"{NET}.11"]
        self.platform = Process("platform", [
            BIN / "filberthollow-standin", "--role", "platform", "--address",
            f"{NET}.1:0"], self.folder)
        self.running = {}
        self.upstreams = []
        self.caller = Caller(f"{NET}.50")
        self.version = 0
        self.configured_hosts = []
        self.configure([ROUTE])
        for host in self.balancers:
            self.start(host, "balancer")

    def close(self):
        for host in self.running:
            self.kill(host)
        for upstream in self.upstreams:
            upstream.stop()
        self.platform.kill()
        self.caller.socket.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, hosts):
        """Writes an operator's configuration with a route for each host.

        Returns the revision that the store gave it.
        """
        self.version += 1
        self.configured_hosts = hosts
        return self.configure_again()

    def configure_again(self):
        """Writes the last configuration again, with the same version.

        An operator does so after a restore. Returns the revision.
        """
        spec = {"version": self.version,
                "routes": [{"name": f"r-{host}", "host": host,
                            "pathPrefix": f"/{ROUTE_PORT}/", "kind": "safe",
                            "service": "desk"}
                           for host in self.configured_hosts],
                "services": [{"name": "desk", "healthPath": "/health",
                              "connectionLimit": 100}],
                "limits": {"idleTimeoutMs": 15000}}
        path = f"{OBJECTS}/config"
        meta = {"name": "main"}
        status, text = self.call_platform(f"{path}/main")
        exists = status == 200
        if exists:
            path += "/main"
            meta["revision"] = json.loads(text)["meta"]["revision"]
        status, text = self.call_platform(
            path, {"meta": meta, "spec": spec}, "PUT" if exists else "POST")
        if status not in (200, 201):
            raise RuntimeError(f"configuration refused: {status} {text}")
        return json.loads(text)["meta"]["revision"]

    def call_platform(self, path, body=None, method=None):
        """Returns (status, text) of a call to the platform."""
        return http(self.platform.addresses["http"], path,
                    None if body is None else json.dumps(body), method)

    def copy_store(self):
        """Copies the platform's store, for restore_store()."""
        self._control_platform("/copy")

    def restore_store(self):
        """Returns the platform's store to its copy."""
        self._control_platform("/restore")

    def compact_store(self):
        """Makes the platform's store forget all changes so far."""
        self._control_platform("/compact")

    def set_platform_faults(self, **faults):
        """Replaces the platform's faults (platform_task.h)."""
        self._control_platform("/faults", faults)

    def _control_platform(self, path, body=None):
        status, _ = self.call_platform(path, body or {}, "POST")
        if status != 200:
            raise RuntimeError(f"POST {path} refused: {status}")

    def platform_calls(self):
        """Returns the number of object calls by kind (platform_task.h)."""
        return json.loads(self.call_platform("/calls")[1])

    def bootstrap_entries(self):
        """Returns the names of the balancers' entries at the platform."""
        text = self.call_platform(f"{OBJECTS}/filberthollow-bootstrap")[1]
        return {item["meta"]["name"] for item in json.loads(text)["items"]}

    def evacuate(self, data_centre):
        """Writes the entry that evacuates a data centre.

        Returns the revision that the store gave it.
        """
        status, text = self.call_platform(
            f"{OBJECTS}/evacuations",
            {"meta": {"name": data_centre}, "spec": {}}, "POST")
        if status != 201:
            raise RuntimeError(f"evacuation refused: {status} {text}")
        return json.loads(text)["meta"]["revision"]

    def end_evacuation(self, data_centre):
        """Removes the entry that evacuates a data centre."""
        path = f"{OBJECTS}/evacuations/{data_centre}"
        entry = json.loads(self.call_platform(path)[1])
        revision = entry["meta"]["revision"]
        status, text = self.call_platform(f"{path}?revision={revision}",
                                          method="DELETE")
        if status != 200:
            raise RuntimeError(f"removal refused: {status} {text}")

    def status_of(self, host):
        """Returns the status page of a host's process, by service."""
        return json.loads(http(f"{host}:{METRICS_PORT}", "/status")[1])

    def metric(self, host, name):
        """Returns the value of a metric at a host, or None."""
        for line in http(f"{host}:{METRICS_PORT}",
                         "/metrics")[1].splitlines():
            if line.split(" ")[0] in (name, f"filberthollow_{name}"):
                return int(float(line.split(" ")[1]))
        return None

    def kill(self, host):
        """Kills the process of a host and waits for its end."""
        self.running[host].kill()
        self.running[host].wait(10)

    def start(self, host, role, first_start="true"):
        self.write_settings(host, role, first_start, self.balancers[0],
                            self.platform.addresses["http"])
        self.start_process(host, role)

    def start_lost_agent(self, host, service):
        """Starts an agent whose seed is stale, and which the store turns away.

        It gets to know the fleet only by what the fleet sends to its address.
        """
        nobody = f"{NET}.90"
        self.write_settings(host, "agent", "false", nobody, f"{nobody}:1",
                            service)
        self.start_process(host, "agent")

    def start_process(self, host, role):
        with open(self.folder / f"{host}.log", "ab") as log:
            self.running[host] = subprocess.Popen(
                [str(BIN / f"filberthollow-{role}"), "--passthrough"],
                stdout=log, stderr=log, env={"FILBERTHOLLOW_BOOT": str(
                    self.folder / f"{host}.conf")})

    def write_settings(self, host, role, first_start, seed, platform,
                       service="desk"):
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
                      f"app={host}:{PORTS['app']}", f"service={service}"]
        lines += self.extra_settings
        settings = self.folder / f"{host}.conf"
        replace_file(settings, "\n".join(lines) + "\n")

    def add_upstream(self, number):
        host = f"{NET}.{20 + number}"
        self.start(host, "agent")
        self.upstreams.append(Upstream(host, "desk", 10_000_000 * (number + 1)))
        return self.upstreams[-1]

    def restart_upstream(self, upstream, identifier, start_ms):
        """Ends an upstream as a crash does and starts it again in place."""
        upstream.stop()
        self.upstreams.remove(upstream)
        self.upstreams.append(Upstream(
            upstream.host, upstream.service, upstream.first_seq + 1_000_000,
            identifier, start_ms))
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

    def open_flow_at(self, balancer, upstream):
        """Opens flows until the upstream accepts one.

        Returns the port of the flow and the packet that accepted it.
        """
        for _ in range(50):
            port, accepted = self.caller.open(balancer)
            if accepted and accepted.seq == upstream.first_seq:
                return port, accepted
        raise RuntimeError("none of 50 flows was placed on the upstream")

    def logs(self):
        return "".join(f.read_text() for f in self.folder.glob("*.log"))
