"""Stand-ins for the scripts in review/N/: the platform's store, the platform's
router, targets and clients, and the start of the project's own programs.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. All addresses are
loopback addresses: each machine of the small deployment has one of its own, and
all machines have the same ports. Only the standard library is used.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[1]
# The bounds and intervals of the users' sheet for small deployments.
HEARTBEAT_MS = 770
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
IDLE_TIMEOUT_MS = 15000
FLOW_LIFETIME_S = 60
ACK, RST, FIN, SYN, BOUNCED = 1, 8, 16, 32, 128
HEADER = struct.Struct("<IIIIHHHIBBI")
ROUTE_PORT = 8443
SAFE_ROUTE, UNSAFE_ROUTE = "198.18.0.1", "198.18.0.2"
SUM_KEY = os.urandom(8)
STARTED = time.monotonic()


def now():
    return time.monotonic() - STARTED


class Record:
    """record.txt: what was sent, answered and run, one event a line."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{now():9.3f} {event} {text}\n".rstrip() + "\n")
                self.file.flush()


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet of a flow, as PROTOCOL.md lays it out."""

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b""):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data = seq % 2**32, ack % 2**32, data
        self.echo = self.pad = 0
        self.sum = self.right_sum()

    def right_sum(self):
        fields = HEADER.pack(self.seq, self.ack, ip_number(self.src[0]),
                             ip_number(self.dst[0]), self.dst[1], self.src[1],
                             len(self.data), 0, self.flags & ~BOUNCED, 0, 0)
        return zlib.crc32(SUM_KEY + fields + self.data) or 1

    def raw(self):
        return HEADER.pack(self.seq, self.ack, ip_number(self.src[0]),
                           ip_number(self.dst[0]), self.dst[1], self.src[1],
                           len(self.data), self.echo, self.flags, self.pad,
                           self.sum) + self.data

    @staticmethod
    def read(raw):
        (seq, ack, src, dst, dport, sport, size, echo, flags, pad,
         total) = HEADER.unpack(raw[:HEADER.size])
        packet = Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq,
                        ack, raw[HEADER.size:HEADER.size + size])
        packet.echo, packet.pad, packet.sum = echo, pad, total
        return packet

    def intact(self):
        return self.sum == self.right_sum()

    def own_reset(self):
        """Whether this is a reset of the system's own (`sum` 0)."""
        return self.flags & RST and self.sum == 0


def bind_udp(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.bind(address)
    sock.settimeout(0.05)
    return sock


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # the caller has closed its connection


def serve(address, handle):
    """Serves HTTP: handle(method, path, body) returns (status, body)."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self):
            length = int(self.headers.get("Content-Length") or 0)
            status, body = handle(self.command, self.path,
                                  self.rfile.read(length))
            text = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)

        do_GET = do_PUT = do_POST = do_DELETE = answer

        def log_message(self, *args):
            pass

    server = Server(address, Handler)
    threading.Thread(target=server.serve_forever, args=(0.1,),
                     daemon=True).start()
    return server


def call(address, method, path, body=None, timeout=1.0):
    """Returns the status of a call, or None if there is no answer in time."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        headers = {} if body is None else {"Content-Type": "application/json"}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        response.read(4096)
        return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Store:
    """The platform's metadata store: objects by kind, revisions, watches."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.revision = 500
        self.objects = {}
        self.events = []
        self.server = serve(address, self.handle)

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def put(self, kind, name, spec):
        """Writes an object as the operator does."""
        with self.changed:
            return self.store(kind, name, spec)

    def store(self, kind, name, spec):
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["meta"]["created"] if old else self.revision
        item = {"meta": {"name": name, "revision": self.revision,
                         "created": created, "finalizers": [],
                         "deleting": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self.events.append((self.revision, kind, {"removed": False,
                                                  "object": item}))
        self.changed.notify_all()
        return item

    def handle(self, method, path, body):
        path, _, query = path.partition("?")
        words = dict(part.split("=", 1) for part in query.split("&") if part)
        kind, _, name = path.removeprefix(
            "/filberthollow/objects/").partition("/")
        sent = json.loads(body) if body else {}
        with self.changed:
            if method == "GET" and "watch" in words:
                return self.watch(kind, int(words["watch"]),
                                  int(words.get("waitMs", 0)))
            if method == "GET" and not name:
                items = [item for (other, _), item in sorted(
                    self.objects.items()) if other == kind]
                return 200, {"items": items, "hasMore": False,
                             "at": self.revision}
            item = self.objects.get((kind, name or sent.get("meta", {}).get(
                "name")))
            if method == "POST":
                if item:
                    return 409, item
                return 201, self.store(kind, sent["meta"]["name"], sent["spec"])
            if not item:
                return 404, {}
            if method == "GET":
                return 200, item
            wanted = sent.get("meta", {}).get("revision",
                                              words.get("revision"))
            if wanted is not None and int(wanted) != item["meta"]["revision"]:
                return 409, item
            if method == "DELETE":
                self.revision += 1
                del self.objects[(kind, name)]
                self.events.append((self.revision, kind,
                                    {"removed": True, "object": item}))
                self.changed.notify_all()
                return 200, item
            return 200, self.store(kind, name, sent["spec"])

    def watch(self, kind, after, wait_ms):
        end = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            events = [event for revision, other, event in self.events
                      if other == kind and revision > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            self.changed.wait(left)


class Relay:
    """A TCP relay before the store, whose connections can go silent.

    A silent connection stays open without a reset and passes nothing in either
    direction; connections that are made later work.
    """

    def __init__(self, address, to):
        self.to = to
        self.generation = 0
        self.listener = socket.create_server(address, backlog=64)
        self.sockets = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.to, 1.0)
            except OSError:
                return
            far.settimeout(None)
            self.sockets += [near, far]
            for pair in ((near, far), (far, near)):
                threading.Thread(target=self.copy, daemon=True,
                                 args=pair + (self.generation,)).start()

    def copy(self, source, sink, generation):
        try:
            while data := source.recv(65536):
                if generation == self.generation:
                    sink.sendall(data)
            if generation == self.generation:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def silence(self):
        self.generation += 1

    def close(self):
        for sock in [self.listener] + self.sockets:
            sock.close()


class Target:
    """A target on a `side` machine: flows, slots, health, heartbeats.

    `clock_ms()` is the time of day of its machine.
    """

    def __init__(self, deployment, host, service, identifier,
                 clock_ms=lambda: int(time.time() * 1000), work_s=0.04,
                 slots=4):
        self.deployment, self.host, self.service = deployment, host, service
        self.record = deployment.record
        self.id, self.work_s, self.slots = identifier, work_s, slots
        self.born = clock_ms()
        self.started = now()
        self.state, self.sequence = "ready", 0
        self.flows = {}  # client's end and route -> state of the flow
        self.lock = threading.RLock()
        self.busy = 0
        self.waiting = []
        self.openings = []  # when an opening packet was taken
        self.ended = threading.Event()
        ports = deployment.ports
        self.outbound = (host, ports["outbound"])
        self.control = (host, ports["control"])
        self.socket = bind_udp((host, ports["app"]))
        self.health = serve((host, ports["app"]), self.on_health)
        self.record("target_start", id=identifier, host=host, service=service,
                    born=self.born)
        self.threads = [threading.Thread(target=loop, daemon=True)
                        for loop in (self.receive, self.beat)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        """Ends the target: it forgets its flows."""
        self.ended.set()
        for thread in self.threads:
            thread.join()
        self.socket.close()
        self.health.shutdown()
        self.health.server_close()
        self.record("target_end", id=self.id)

    def on_health(self, method, path, body):
        return (200 if self.state == "ready" else 503), {}

    def heartbeat(self, state):
        self.sequence += 1
        return {"service": self.service,
                "address": f"{self.host}:{self.control[1]}",
                "zone": self.deployment.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    def announce(self, state):
        """Sends a heartbeat; returns its status, or None."""
        status = call(self.control, "PUT",
                      f"/filberthollow/instances/{self.id}",
                      json.dumps(self.heartbeat(state)))
        self.record("heartbeat", id=self.id, state=state,
                    sequence=self.sequence, status=status)
        return status

    def beat(self):
        while not self.ended.is_set():
            begun = time.monotonic()
            self.announce(self.state)
            self.ended.wait(max(0, HEARTBEAT_MS / 1000 -
                                (time.monotonic() - begun)))

    def drain(self):
        """Reports `draining` at once; returns when that was acknowledged."""
        self.state = "draining"
        status = self.announce("draining")
        at = now()
        self.record("drain_acknowledged", id=self.id, status=status)
        return at if status is not None and status // 100 == 2 else None

    def send(self, packet):
        self.socket.sendto(packet.raw(), self.outbound)

    def receive(self):
        while not self.ended.is_set():
            try:
                packet = Packet.read(self.socket.recv(2048))
            except socket.timeout:
                self.retransmit()
                continue
            with self.lock:
                self.on_packet(packet)
            self.retransmit()

    def bounce(self, packet):
        packet.flags |= BOUNCED
        packet.pad = 0
        self.send(packet)

    def on_packet(self, packet):
        key = packet.src + packet.dst
        flow = self.flows.get(key)
        if not packet.intact() or (packet.flags & SYN and packet.flags & ACK):
            self.record("FORGED", id=self.id, flags=packet.flags)
            return
        if packet.flags & SYN:
            if flow is None:
                flow = {"isn": random.getrandbits(32), "next": packet.seq + 1,
                        "open": False, "at": now(), "out": [], "requests": {},
                        "fin": False}
                self.flows[key] = flow
                self.openings.append(now())
                self.record("opening_taken", id=self.id, flow=name_of(key),
                            state=self.state)
            self.send(Packet(packet.dst, packet.src, SYN | ACK, flow["isn"],
                             packet.seq + 1))
            return
        if flow is None or (not flow["open"] and
                            packet.ack != (flow["isn"] + 1) % 2**32):
            self.bounce(packet)
            return
        if not flow["open"]:
            flow["open"] = True
            flow["seq"] = (flow["isn"] + 1) % 2**32
            flow["opened_at"] = now()
            self.record("flow_open", id=self.id, flow=name_of(key))
        if packet.flags & RST:
            del self.flows[key]
            return
        if flow["out"] and distance(packet.ack, flow["out"][0][0].seq) > 0:
            flow["out"] = [entry for entry in flow["out"] if distance(
                packet.ack, entry[0].seq + len(entry[0].data)) < 0]
        if packet.data and packet.seq == flow["next"] % 2**32:
            flow["next"] = (packet.seq + len(packet.data)) % 2**32
            attempt = packet.data.decode().split("Attempt-Id: ")[1].split()[0]
            self.waiting.append((key, attempt, packet))
            self.work()
        if packet.flags & FIN:
            self.send(Packet(packet.dst, packet.src, FIN | ACK, flow["seq"],
                             packet.seq + len(packet.data) + 1))
            del self.flows[key]

    def work(self):
        while self.waiting and self.busy < self.slots:
            key, attempt, packet = self.waiting.pop(0)
            self.busy += 1
            self.record("run", id=self.id, attempt=attempt,
                        service=self.service, route=packet.dst[0])
            self.deployment.runs.setdefault(attempt, []).append(
                (self.id, self.service, now()))
            threading.Timer(self.work_s, self.finish,
                            (key, attempt, packet)).start()

    def finish(self, key, attempt, packet):
        with self.lock:
            self.busy -= 1
            flow = self.flows.get(key)
            if self.ended.is_set() or flow is None:
                return
            body = f"done by {self.id}"
            text = (f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
                    f"X-Filberthollow-Attempt-Id: {attempt}\r\n\r\n{body}")
            answer = Packet(packet.dst, packet.src, ACK, flow["seq"],
                            flow["next"], text.encode())
            flow["seq"] = (flow["seq"] + len(answer.data)) % 2**32
            flow["out"].append([answer, now(), 0.2])
            self.send(answer)
            self.work()

    def retransmit(self):
        with self.lock:
            for flow in self.flows.values():
                for entry in flow["out"]:
                    if now() - entry[1] >= entry[2]:
                        entry[1], entry[2] = now(), min(entry[2] * 2, 1.6)
                        self.send(entry[0])

    def holds(self, key):
        """Whether the flow is open here."""
        with self.lock:
            flow = self.flows.get(key)
            return (not self.ended.is_set() and flow is not None and
                    flow["open"])


def distance(a, b):
    """a - b for sequence numbers."""
    value = (a - b) % 2**32
    return value - 2**32 if value >= 2**31 else value


def name_of(key):
    return "%s:%s>%s:%s" % key


class Flow:
    """A client's end of one flow."""

    def __init__(self, client, route):
        self.client = client
        self.port = client.new_port()
        self.src, self.dst = (client.host, self.port), (route, ROUTE_PORT)
        self.key = self.src + self.dst
        self.seq = random.getrandbits(32)
        self.ack = None
        self.inbox = []
        self.arrived = threading.Condition()
        self.reset = None  # "system" or "target" once the client got one
        client.flows[self.port] = self

    def send(self, flags, data=b"", ack=None):
        packet = Packet(self.src, self.dst, flags, self.seq,
                        self.ack if ack is None else ack, data)
        node = self.client.deployment.router.node_for(self.key)
        if node:
            self.client.socket.sendto(packet.raw(), node)

    def on_packet(self, packet):
        with self.arrived:
            if packet.flags & RST:
                self.reset = "system" if packet.own_reset() else "target"
                self.client.on_reset(self, packet)
            self.inbox.append(packet)
            self.arrived.notify_all()

    def wait(self, wanted, seconds):
        end = time.monotonic() + seconds
        with self.arrived:
            while True:
                for packet in self.inbox:
                    if wanted(packet):
                        self.inbox.remove(packet)
                        return packet
                left = end - time.monotonic()
                if left <= 0 or self.reset:
                    return None
                self.arrived.wait(left)

    def open(self):
        """Opens the flow with a SYN and copies after 200 and 600 ms."""
        for copy, patience in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, ack=copy)
            answer = self.wait(lambda p: p.flags & SYN and p.flags & ACK,
                               patience)
            if answer:
                self.seq = (self.seq + 1) % 2**32
                self.ack = (answer.seq + 1) % 2**32
                return True
            if self.reset:
                return False
        return False

    def request(self, method, attempt, deadline_s):
        """Sends a request; returns "200", "reset" or "deadline"."""
        text = (f"{method} /work HTTP/1.1\r\nHost: {self.dst[0]}\r\n"
                f"X-Filberthollow-Attempt-Id: {attempt}\r\n\r\n").encode()
        end, patience = time.monotonic() + deadline_s, 0.2
        while time.monotonic() < end:
            self.send(ACK, text)
            answer = self.wait(
                lambda p: p.data and p.seq == self.ack,
                min(patience, max(0.0, end - time.monotonic())))
            if answer:
                self.seq = (self.seq + len(text)) % 2**32
                self.ack = (self.ack + len(answer.data)) % 2**32
                self.send(ACK)
                return "200"
            if self.reset:
                return "reset"
            patience = min(patience * 2, 1.6)
        return "deadline"

    def close(self):
        """Ends the flow with a FIN."""
        if self.reset is None and self.ack is not None:
            self.send(FIN | ACK)
        self.client.flows.pop(self.port, None)


class Client:
    """A client's host: its address and the port that `packets` names."""

    def __init__(self, deployment, host):
        self.deployment, self.host = deployment, host
        self.flows = {}
        self.port = random.randrange(20000, 30000)
        self.resets = []
        self.lock = threading.Lock()
        self.socket = bind_udp((host, deployment.ports["packets"]))
        threading.Thread(target=self.receive, daemon=True).start()

    def new_port(self):
        with self.lock:
            self.port += 1
            return self.port

    def receive(self):
        while not self.deployment.closed.is_set():
            try:
                packet = Packet.read(self.socket.recv(2048))
            except socket.timeout:
                continue
            except OSError:
                return
            flow = self.flows.get(packet.dst[1])
            if flow:
                flow.on_packet(packet)

    def on_reset(self, flow, packet):
        holders = [target.id for target in self.deployment.targets
                   if target.holds(flow.key)]
        sender = "system" if packet.own_reset() else "target"
        self.deployment.record("reset_received", flow=name_of(flow.key),
                               sender=sender, open_at=",".join(holders) or "-")
        self.resets.append((now(), flow, sender, holders))


class Router:
    """The platform's router: readiness twice a second, `mod` hash."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {}
        self.stopping = deployment.closed
        threading.Thread(target=self.probe, daemon=True).start()

    def probe(self):
        while not self.stopping.wait(0.5):
            for host in self.deployment.fronts:
                status = call((host, self.deployment.ports["ready"]), "GET",
                              "/filberthollow/readiness", timeout=0.4)
                self.misses[host] = (0 if status == 200 else
                                     self.misses.get(host, 2) + 1)

    def ready(self):
        return [host for host in self.deployment.fronts
                if self.misses.get(host, 2) < 2]

    def node_for(self, key):
        hosts = self.ready()
        if len(hosts) * 2 < len(self.deployment.fronts):
            hosts = self.deployment.fronts
        host = hosts[zlib.crc32(repr(key).encode()) % len(hosts)]
        return host, self.deployment.ports["packets"]


class Deployment:
    """A small deployment on loopback, with the commands of the deploy file."""

    zone = "riga-a"

    def __init__(self, folder, fronts=2):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        self.ports = free_ports(f"{self.net}.10")
        self.processes, self.targets, self.runs = {}, [], {}
        self.closed = threading.Event()
        # The processes reach the store through the relay.
        self.platform = (f"{self.net}.1", self.ports["control"])
        store = (f"{self.net}.2", self.ports["control"])
        self.store = Store(store)
        self.relay = Relay(self.platform, store)
        self.fronts = [f"{self.net}.{10 + i}" for i in range(fronts)]
        self.version = 7
        self.configure()
        for host in self.fronts:
            self.start(host, "front")
        self.router = Router(self)
        self.client = Client(self, f"{self.net}.200")

    def configure(self, hosts=None):
        """Writes config/main with routes to `desk`; returns when it was acknowledged.

        `hosts` maps the address of each route to its kind.
        """
        hosts = hosts or {SAFE_ROUTE: "safe", UNSAFE_ROUTE: "unsafe"}
        routes = [{"name": f"r-{ip_number(host):x}", "host": host,
                   "pathPrefix": f"/{ROUTE_PORT}/", "kind": kind,
                   "timeoutMs": 2000, "aimMs": 250, "priority": 1,
                   "service": "desk", "attempts": 2}
                  for host, kind in hosts.items()]
        services = [{"name": name, "healthPath": "/health",
                     "connectionLimit": 2000, "protocol": "h1", "tls": False}
                    for name in ("desk", "archive")]
        self.version += 3
        self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"headerBytes": 16384, "bodyBytes": 262144,
                       "headerTimeoutMs": 3000,
                       "idleTimeoutMs": IDLE_TIMEOUT_MS}})
        self.record("config_acknowledged", version=self.version,
                    routes=",".join(hosts))
        return now()

    def settings(self, host, machine, service, bootstrap):
        ports = self.ports
        lines = [f"node={machine}-{host}", f"role=my-{machine}",
                 f"machineClass={machine}", f"ipAddress={host}",
                 f"zone={self.zone}", "region=riga", f"zones.{self.zone}=riga",
                 f"internalPorts={ports['peers']},{ports['peers'] + 1}",
                 "seeds=" + ",".join(f"{front}:{ports['control']}"
                                     for front in self.fronts[:3]),
                 f"bootstrap={'true' if bootstrap else 'false'}",
                 "countsTowardLosses=false", "discovery=local",
                 "entry=announcement", f"heartbeatMs={HEARTBEAT_MS}",
                 "bounds.stableWindowMs=4000", "bounds.drainMs=3000",
                 "bounds.graceS=6", "bounds.configurationMs=3000",
                 f"bounds.flowLifetimeS={FLOW_LIFETIME_S}",
                 "bounds.reuseAfterS=2", "flowHash=mod",
                 "forwardingMode=agent", "platform.forwardingMode=objects",
                 "platform.writesPerS=400", "platform.readsPerS=2000",
                 "platform.address=%s:%d" % self.platform]
        names = ["packets", "ready", "control"]
        if machine == "side":
            names.append("outbound")
            lines += [f"app={host}:{ports['app']}", f"service={service}",
                      "serves=side"]
        else:
            lines.append("serves=front,control")
        lines += [f"listenAddresses.{name}={host}:{ports[name]}"
                  for name in names]
        path = self.folder / f"{host}.conf"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start(self, host, machine, service="", bootstrap=True):
        """Starts the role of a machine with the command of the deploy file."""
        if self.closed.is_set():
            return
        path = self.settings(host, machine, service, bootstrap)
        role = "balancer" if machine == "front" else "agent"
        command = [f"target/filberthollow-{role}", "--passthrough"]
        with open(self.folder / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log,
                env={"FILBERTHOLLOW_BOOT": str(path), "LANG": "C",
                     "PATH": os.environ["PATH"], "HOME": str(self.folder)})
        self.record("process_start", host=host, command=" ".join(command))

    def signal(self, host, number):
        self.record("signal", host=host, signal=signal.Signals(number).name)
        self.processes[host].send_signal(number)

    def restart(self, host, machine, service="", after_s=1.0, grace_s=6.0):
        """Stops a process as the platform does, and starts it again."""
        process = self.processes[host]
        self.signal(host, signal.SIGTERM)
        try:
            process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.signal(host, signal.SIGKILL)
            process.wait(10)
        self.record("process_end", host=host, code=process.returncode)
        time.sleep(after_s)
        self.start(host, machine, service, bootstrap=False)

    def add_side(self, number, service="desk", **options):
        """Starts a side machine: an agent and its target."""
        host = f"{self.net}.{20 + number}"
        self.start(host, "side", service)
        target = Target(self, host, service, f"i-{number}{service}", **options)
        self.targets.append(target)
        return target

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if len(self.router.ready()) == len(self.fronts):
                return
            time.sleep(0.1)
        raise CannotRun("the front machines are not ready")

    def unexpected_ends(self):
        return [host for host, process in self.processes.items()
                if process.poll() is not None]

    def close(self):
        self.closed.set()
        for target in self.targets:
            if not target.ended.is_set():
                target.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(10)
        self.relay.close()
        self.store.close()
        self.client.socket.close()
        self.record.file.close()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(host):
    """Ports that are free at a loopback address, with one after `peers`."""
    names = ["packets", "outbound", "ready", "control", "app", "peers"]
    first = random.randrange(20000, 30000)
    ports = {name: first + 2 * i for i, name in enumerate(names)}
    for port in list(ports.values()) + [9464]:
        with socket.socket() as sock:
            sock.bind((host, port))
    return ports


class CannotRun(Exception):
    pass


def on_alarm(*_):
    raise CannotRun("it took too long")


def main(folder, case, fronts=2):
    """Runs case(deployment, trouble) and exits as issue 31 says.

    The case returns a list of lines that say how the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGALRM, on_alarm)
    signal.alarm(100)
    code, deployment = 2, None
    try:
        if not (ROOT / "target/filberthollow-balancer").exists():
            raise CannotRun("the build of the deploy file is missing")
        deployment = Deployment(pathlib.Path(folder), fronts)
        broken = case(deployment, trouble)
        ends = deployment.unexpected_ends()
        for host in ends:
            deployment.record("process_ended_by_itself", host=host)
        for line in broken:
            deployment.record("BROKEN", what=line)
            print(line)
        deployment.record("verdict", broken=len(broken))
        print("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except (CannotRun, OSError) as error:
        print(f"the case could not run: {error}", file=sys.stderr)
    finally:
        signal.alarm(0)
        if deployment:
            deployment.close()
    sys.stdout.flush()
    os._exit(code)
