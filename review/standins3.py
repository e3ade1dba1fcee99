"""Stand-ins of review 3: the platform's store, targets, clients and the start of
the project's programs, on loopback addresses. They follow PROTOCOL.md and
DEPLOY.md; where these are silent they behave like sound ones.

    fleet = Fleet(folder, fronts=2, services={"desk": 3})
    fleet.start()
    flow = fleet.client.open(fleet.front(0), fleet.route("desk"))
    status = fleet.client.request(flow, "r-1")
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import zlib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[1]
HEADER = struct.Struct("<IIIIHHHIBBI")
ACK, RST, FIN, SYN, BOUNCED = 1, 8, 16, 32, 128
HEARTBEAT_MS = 770  # stiklotava-lb; a case may set another
STABLE_WINDOW_S = 4.0
IDLE_TIMEOUT_MS = 15000
RESTART_DELAY_S = 0.6
KEY = b"key of the two ends"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: a line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def keyed_sum(fields, data):
    return zlib.crc32(KEY + repr(fields).encode() + data)


class Packet:
    def __init__(self, src, dst, flags, seq=0, ack=0, data=b""):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data

    def encode(self, total=None):
        if total is None:
            total = keyed_sum((self.src, self.dst, self.flags & ~BOUNCED,
                               self.seq, self.ack), self.data)
        return HEADER.pack(self.seq, self.ack, ip_number(self.src[0]),
                           ip_number(self.dst[0]), self.dst[1], self.src[1],
                           len(self.data), 0, self.flags, 0, total) + self.data

    @staticmethod
    def decode(raw):
        (seq, ack, src, dst, dport, sport, size, _, flags, _,
         total) = HEADER.unpack(raw[:HEADER.size])
        packet = Packet((ip_text(src), sport), (ip_text(dst), dport), flags,
                        seq, ack, raw[HEADER.size:HEADER.size + size])
        packet.total = total
        packet.sound = total == keyed_sum(
            (packet.src, packet.dst, flags & ~BOUNCED, seq, ack), packet.data)
        return packet


def udp_socket(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(address)
    sock.settimeout(0.05)
    return sock


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        pass


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def loses_answer(self):
        """Whether this answer is lost; its connection stays silent then."""
        return False

    def reply(self, status, body):
        if self.loses_answer():
            self.close_connection = True
            self.connection.settimeout(60)
            try:
                self.connection.recv(1)  # until the caller closes
            except OSError:
                pass
            return
        text = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)


class Store:
    """The platform's metadata store, as far as the programs use it."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, event)
        self.revision = 100
        store = self

        self.lost_share = 0.0  # of the answers
        self.lost_calls = ""
        self.answers = self.lost = 0

        class StoreHandler(Handler):
            def loses_answer(self):
                return store.loses_answer(self.path)

            def do_GET(self):
                store.get(self)

            def do_POST(self):
                store.change(self, "POST")

            def do_PUT(self):
                store.change(self, "PUT")

            def do_DELETE(self):
                store.change(self, "DELETE")

        self.server = Server(address, StoreHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def loses_answer(self, path):
        """Loses as many answers as the share allows, and never more; only those
        to calls whose path contains `lost_calls`."""
        with self.changed:
            if not self.lost_share:
                return False
            self.answers += 1
            lost = (self.lost_calls in path and
                    self.lost + 1 <= self.lost_share * self.answers)
            self.lost += lost
            return lost

    def put(self, kind, name, spec, removed=False):
        with self.changed:
            self.revision += 1
            entry = {"meta": {"name": name, "revision": self.revision,
                              "created": 1, "finalizers": [],
                              "deleting": False}, "spec": spec, "status": None}
            if removed:
                self.objects.pop((kind, name), None)
            else:
                self.objects[(kind, name)] = entry
            self.events.append((self.revision, kind,
                                {"removed": removed, "object": entry}))
            self.changed.notify_all()
            return entry

    @staticmethod
    def split(path):
        path, _, query = path.partition("?")
        parts = path[len("/filberthollow/objects/"):].split("/")
        fields = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        return parts[0], parts[1] if len(parts) > 1 else None, fields

    def get(self, call):
        kind, name, fields = self.split(call.path)
        if name is not None:
            with self.changed:
                entry = self.objects.get((kind, name))
            call.reply(200 if entry else 404, entry or {})
            return
        if "watch" not in fields:
            after = fields.get("after", "")
            with self.changed:
                items = [entry for (k, n), entry in sorted(self.objects.items())
                         if k == kind and n > after]
                answer = {"items": items, "hasMore": False,
                          "at": self.revision}
            call.reply(200, answer)
            return
        since = int(fields["watch"])
        end = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
        with self.changed:
            while True:
                events = [e for r, k, e in self.events
                          if r > since and k == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                self.changed.wait(min(left, 0.5))
            answer = {"events": events, "at": self.revision}
        call.reply(200, answer)

    def change(self, call, method):
        kind, name, fields = self.split(call.path)
        size = int(call.headers.get("Content-Length", "0"))
        body = json.loads(call.rfile.read(size)) if size else {}
        meta = body.get("meta", {})
        wanted = fields.get("revision", meta.get("revision"))
        with self.changed:
            key = (kind, name or meta.get("name"))
            held = self.objects.get(key)
            if method == "POST" and held:
                answer = (409, held)
            elif method != "POST" and not held:
                answer = (404, {})
            elif method != "POST" and wanted is not None and int(
                    wanted) != held["meta"]["revision"]:
                answer = (409, held)
            else:
                entry = self.put(*key, body.get("spec"), method == "DELETE")
                answer = (201 if method == "POST" else 200, entry)
        call.reply(*answer)


class Target:
    """One incarnation of a target beside an agent. It runs each request that
    it takes and writes that down."""

    def __init__(self, host, ports, service, zone, record, identifier=None,
                 born=None, first_sequence=1, cut=False):
        self.host, self.ports, self.service, self.zone = (host, ports, service,
                                                          zone)
        self.record = record
        self.identifier = identifier or f"i-{random.getrandbits(40):010x}"
        self.born = born or int(time.time() * 1000)
        self.sequence = first_sequence - 1
        self.state = "ready"
        self.half_open = {}  # flow -> own sequence number
        self.flows = {}  # flow -> [next own seq, next expected seq, answers]
        self.runs = []  # (time, request)
        self.strays = 0
        self.cut = cut  # behind a partition: nothing passes
        self.work_s = 0.03
        # Chooses the own sequence number of a flow.
        self.first_seq = lambda: random.getrandbits(32)
        self.beats = []  # (time, status)
        self.beat_every_s = HEARTBEAT_MS / 1000
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.stop_beats = threading.Event()
        self.socket = udp_socket((host, ports["app"]))
        target = self

        class HealthHandler(Handler):
            def do_GET(self):
                if target.cut:
                    time.sleep(5)
                    return
                self.reply(200 if target.state == "ready" else 503, {})

        self.health = Server((host, ports["app"]), HealthHandler)
        self.threads = [threading.Thread(target=f, daemon=True) for f in (
            self._packets, self._heartbeats, self.health.serve_forever)]
        for thread in self.threads:
            thread.start()

    def crash(self):
        """Ends at once; nothing of it stays but what is on the way."""
        self.stopping.set()
        self.health.shutdown()
        self.health.server_close()
        for thread in self.threads:
            thread.join(3)
        self.socket.close()

    def holds(self, flow):
        with self.lock:
            return flow in self.flows

    def heartbeat(self):
        """Returns (path, body) of the next heartbeat."""
        self.sequence += 1
        return (f"/filberthollow/instances/{self.identifier}", json.dumps(
            {"service": self.service, "address": f"{self.host}:"
             f"{self.ports['app']}", "zone": self.zone, "version": "v1",
             "slots": 4, "state": self.state, "coldRemainingMs": 0,
             "sequence": self.sequence, "born": self.born}))

    def call(self, method, path, body=None, timeout=1.0):
        """Calls the control address; returns the status or None."""
        return call(self.host, self.ports["control"], method, path, body,
                    timeout)

    def _heartbeats(self):
        while not self.stopping.is_set():
            if not self.cut and not self.stop_beats.is_set():
                status = self.call("PUT", *self.heartbeat())
                self.beats.append((time.monotonic(), status))
            self.stopping.wait(self.beat_every_s * random.uniform(0.95, 1.05))

    def _packets(self):
        while not self.stopping.is_set():
            try:
                raw = self.socket.recv(2048)
            except socket.timeout:
                continue
            if not self.cut:
                self._take(raw)

    def _send(self, packet):
        if not self.cut and not self.stopping.is_set():
            self.socket.sendto(packet.encode(),
                               (self.host, self.ports["outbound"]))

    def _bounce(self, raw):
        raw = bytearray(raw)
        raw[26] |= BOUNCED
        raw[27] = 0
        self.socket.sendto(bytes(raw), (self.host, self.ports["outbound"]))

    def _take(self, raw):
        packet = Packet.decode(raw)
        flow = (packet.src, packet.dst)
        if not packet.sound:
            self.record(f"target {self.identifier}: FORGED packet {flow}")
            return
        with self.lock:
            if packet.flags & SYN:
                seq = self.half_open.setdefault(flow, self.first_seq())
                self._send(Packet(packet.dst, packet.src, SYN | ACK, seq,
                                  packet.seq + 1))
                return
            if flow not in self.flows:
                seq = self.half_open.get(flow)
                if seq is None or packet.ack != (seq + 1) & 0xFFFFFFFF:
                    self.strays += 1
                    self._bounce(raw)
                    return
                del self.half_open[flow]
                self.flows[flow] = [(seq + 1) & 0xFFFFFFFF, packet.seq, {}]
                self.record(f"target {self.identifier}: flow open {flow}")
            state = self.flows[flow]
            if packet.flags & (RST | FIN):
                del self.flows[flow]
                return
            if not packet.data:
                return
            if packet.seq in state[2]:  # a copy
                if state[2][packet.seq]:
                    self._send(state[2][packet.seq])
                return
            if packet.seq != state[1]:
                return
            state[1] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            state[2][packet.seq] = None
        request = packet.data.decode()
        self.runs.append((time.monotonic(), request))
        self.record(f"target {self.identifier}: runs {request}")
        threading.Timer(self.work_s, self._answer,
                        (flow, packet.seq, request)).start()

    def _answer(self, flow, seq, request):
        with self.lock:
            state = self.flows.get(flow)
            if state is None or self.stopping.is_set():
                return
            data = f"answer to {request}".encode()
            answer = Packet(flow[1], flow[0], ACK, state[0], state[1], data)
            state[0] = (state[0] + len(data)) & 0xFFFFFFFF
            state[2][seq] = answer
            self._send(answer)


def call(host, port, method, path, body=None, timeout=1.0):
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Flow:
    def __init__(self, ends, front):
        self.ends = ends  # ((client, port), (route, port))
        self.front = front
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.open = False
        self.resets = []  # (time, by the system)
        self.lose_acceptances = 0  # SYN+ACK that don't arrive
        self.inbox = []


class Client:
    """Opens flows and sends requests as PROTOCOL.md tells it."""

    def __init__(self, host, port, record):
        self.host, self.port, self.record = host, port, record
        self.socket = udp_socket((host, port))
        self.flows = {}
        self.arrived = threading.Condition()
        self.next_port = 20000
        self.datagrams = 0  # sent and received
        self.stopping = threading.Event()
        threading.Thread(target=self._receive, daemon=True).start()

    def close(self):
        self.stopping.set()

    def _receive(self):
        while not self.stopping.is_set():
            try:
                raw = self.socket.recv(2048)
            except socket.timeout:
                continue
            packet = Packet.decode(raw)
            self.datagrams += 1
            with self.arrived:
                flow = self.flows.get((packet.dst, packet.src))
                if flow is None:
                    continue
                if packet.flags & SYN and flow.lose_acceptances > 0:
                    flow.lose_acceptances -= 1
                    self.record(f"network: loses a SYN+ACK to {flow.ends}")
                    continue
                if packet.flags & RST:
                    own = not packet.sound
                    flow.resets.append((time.monotonic(), own))
                    self.record(f"client: reset on {flow.ends} of the "
                                f"{'system' if own else 'target'}")
                elif not packet.sound:
                    self.record(f"client: FORGED packet on {flow.ends}")
                else:
                    flow.inbox.append(packet)
                self.arrived.notify_all()

    def _send(self, flow, packet):
        self.datagrams += 1
        self.socket.sendto(packet.encode(), (flow.front(), self.port))

    def _wait(self, flow, matches, until):
        with self.arrived:
            while True:
                for packet in flow.inbox:
                    if matches(packet):
                        return packet
                left = until - time.monotonic()
                if flow.resets or left <= 0:
                    return None
                self.arrived.wait(left)

    def open(self, front, route, port=None, lose_acceptances=0):
        """Opens a flow; returns it, or None. `front` returns the address of
        the node that the platform's router selects now."""
        if port is None:
            self.next_port += 1
            port = self.next_port
        flow = Flow(((self.host, port), route), front)
        flow.lose_acceptances = lose_acceptances
        with self.arrived:
            self.flows[flow.ends] = flow
        began = time.monotonic()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self._send(flow, Packet(*flow.ends, SYN, flow.seq, copy))
            answer = self._wait(flow, lambda p: p.flags & SYN, began + until)
            if answer or flow.resets:
                break
        if not answer or flow.resets:
            return None
        flow.seq = (flow.seq + 1) & 0xFFFFFFFF
        flow.ack = (answer.seq + 1) & 0xFFFFFFFF
        flow.open = True
        self._send(flow, Packet(*flow.ends, ACK, flow.seq, flow.ack))
        return flow

    def request(self, flow, name, deadline_s=2.5):
        """Sends a request; returns "answered", "reset" or "deadline"."""
        data = name.encode()
        packet = Packet(*flow.ends, ACK, flow.seq, flow.ack, data)
        self.record(f"client: sends {name} on {flow.ends}")
        end = time.monotonic() + deadline_s
        pause, known = 0.2, flow.ack
        outcome = "deadline"
        while time.monotonic() < end and not flow.resets:
            self._send(flow, packet)
            answer = self._wait(flow, lambda p: p.data and p.seq == known,
                                min(end, time.monotonic() + pause))
            if answer:
                flow.ack = (answer.seq + len(answer.data)) & 0xFFFFFFFF
                right = answer.data == b"answer to " + data
                outcome = "answered" if right else "FOREIGN"
                break
            pause = min(pause * 2, 1.6)
        if outcome == "deadline" and flow.resets:
            outcome = "reset"
        flow.seq = (flow.seq + len(data)) & 0xFFFFFFFF
        self.record(f"client: {name}: {outcome}")
        return outcome


class Fleet:
    """The programs of the deploy file, with a store, targets and a client."""

    def __init__(self, folder, fronts=2, services=None, kinds=None,
                 zones=None, bounds=None):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case / "record.txt")
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.net = self._free_net()
        ports = random.sample(range(21000, 30000, 20), 7)
        self.ports = dict(zip(("packets", "ready", "control", "outbound", "app",
                               "internal", "platform"), ports))
        self.store = Store((f"{self.net}.1", self.ports["platform"]))
        self.processes = {}
        self.roles = {}
        self.fronts = [f"{self.net}.{10 + i}" for i in range(fronts)]
        self.services = services or {"desk": 3}
        self.kinds = kinds or {}
        self.sides = {}
        number = 20
        for service, count in self.services.items():
            for _ in range(count):
                self.sides[f"{self.net}.{number}"] = service
                number += 1
        # The zone of each host; zone-a unless said otherwise.
        self.zones = zones(self) if zones else {}
        self.bounds = bounds or {}  # lines that replace those of the settings
        self.targets = {}
        self.client = Client(f"{self.net}.200", self.ports["packets"],
                             self.record)
        self.version = 0

    @staticmethod
    def _free_net():
        for _ in range(100):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                socket.create_server((f"{net}.10", 9464)).close()
                return net
            except OSError:
                continue
        raise RuntimeError("no free loopback net")

    def route(self, service):
        return ("198.18.0.1", 8000 + list(self.services).index(service))

    def front(self, index):
        return lambda: self.fronts[index]

    def configure(self, timeout_ms=2000, without=()):
        """Writes a configuration with a route for each service but those of
        `without`. The store's answer is the acknowledgement."""
        self.version += random.randint(1, 5)
        routes = [s for s in self.services if s not in without]
        self.record(f"operator: writes version {self.version}, routes "
                    f"{routes}, timeout {timeout_ms} ms")
        self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"name": f"r-{s}", "host": self.route(s)[0],
                        "pathPrefix": f"/{self.route(s)[1]}/",
                        "kind": self.kinds.get(s, "unsafe"),
                        "timeoutMs": timeout_ms, "aimMs": 250, "priority": 1,
                        "service": s, "attempts": 2} for s in routes],
            "services": [{"name": s, "healthPath": "/health",
                          "connectionLimit": 2000, "protocol": "h1",
                          "tls": False} for s in self.services],
            "limits": {"headerBytes": 16384, "bodyBytes": 262144,
                       "headerTimeoutMs": 3000,
                       "idleTimeoutMs": IDLE_TIMEOUT_MS}})

    def write_settings(self, host, bootstrap):
        side = host in self.sides
        ports = self.ports
        lines = [f"node={'side' if side else 'front'}-{host}",
                 f"role={'agent' if side else 'balancer'}",
                 f"machineClass={'side' if side else 'front'}",
                 f"serves={'side' if side else 'front,control'}",
                 f"ipAddress={host}", f"zone={self.zone(host)}", "region=here",
                 *(f"zones.{z}=here" for z in
                   sorted({"zone-a", *self.zones.values()})),
                 f"listenAddresses.packets={host}:{ports['packets']}",
                 f"listenAddresses.ready={host}:{ports['ready']}",
                 f"listenAddresses.control={host}:{ports['control']}",
                 f"internalPorts={ports['internal']},{ports['internal'] + 15}",
                 "seeds=" + ",".join(f"{f}:{ports['control']}"
                                     for f in self.fronts[:3]),
                 f"bootstrap={'true' if bootstrap else 'false'}",
                 "countsTowardLosses=false", "limits.cpuShare=0.25",
                 "limits.cores=1", "limits.memoryMb=260",
                 "limits.fileDescriptors=4100", "limits.linkMbps=1000.0",
                 "limits.diskMb=0", "discovery=local", "entry=announcement",
                 f"heartbeatMs={HEARTBEAT_MS}",
                 "contracts=base,drain,config,cost,recover,flows,platform",
                 "tolerance.machines=1", "tolerance.zones=0",
                 "tolerance.regions=0", "bounds.seedLagS=3",
                 "bounds.reuseAfterS=2", "bounds.stableWindowMs=4000",
                 "bounds.acknowledgeMs=5000", "bounds.catchUpS=4",
                 "bounds.drainMs=3000", "bounds.graceS=6",
                 "bounds.lossSlackMs=200", "bounds.configurationMs=3000",
                 "bounds.rollbackSlackMs=250", "bounds.outerBoundMs=12000",
                 "bounds.recoveryS=12", "bounds.flowStrayMs=2000",
                 "bounds.flowLifetimeS=60", "flowHash=mod",
                 "forwardingMode=agent",
                 f"platform.address={self.net}.1:{ports['platform']}",
                 "platform.forwardingMode=objects", "platform.writesPerS=400",
                 "platform.readsPerS=2000", "platform.historyS=20",
                 "platform.valueBytes=1048576", "platform.ttlMinimumMs=1000"]
        if side:
            lines += [f"listenAddresses.outbound={host}:{ports['outbound']}",
                      f"app={host}:{ports['app']}",
                      f"service={self.sides[host]}"]
        lines = [line for line in lines
                 if line.split("=")[0] not in self.bounds]
        lines += [f"{name}={value}" for name, value in self.bounds.items()]
        path = self.work / f"{host}.conf"
        path.with_suffix(".new").write_text("\n".join(lines) + "\n")
        path.with_suffix(".new").rename(path)
        return path

    def run(self, host, bootstrap=False):
        path = self.write_settings(host, bootstrap)
        role = "agent" if host in self.sides else "balancer"
        with open(self.work / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                [f"target/filberthollow-{role}", "--passthrough"], cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.work),
                     "LANG": "C", "FILBERTHOLLOW_BOOT": str(path)})
        self.record(f"platform: starts the process of {host}")

    def zone(self, host):
        return self.zones.get(host, "zone-a")

    def add_target(self, host, **fields):
        self.targets[host] = Target(host, self.ports, self.sides[host],
                                    self.zone(host), self.record, **fields)
        return self.targets[host]

    def start(self):
        self.configure()
        for host in [*self.fronts, *self.sides]:
            self.run(host, bootstrap=True)
        time.sleep(0.5)
        for host in self.sides:
            self.add_target(host)
        self.wait(lambda: all(self.ready(f) for f in self.fronts), 10,
                  "fronts are ready")
        self.wait(lambda: all(any(s == 200 for _, s in t.beats)
                              for t in self.targets.values()), 10,
                  "targets are acknowledged")
        time.sleep(1.5)

    def ready(self, host):
        return call(host, self.ports["ready"], "GET",
                    "/filberthollow/readiness") == 200

    @staticmethod
    def wait(condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise RuntimeError(f"not within {seconds} s: {what}")

    def term(self, host):
        """SIGTERM; SIGKILL after the grace time."""
        self.record(f"platform: SIGTERM to the process of {host}")
        process = self.processes[host]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(6)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait(5)

    def kill(self, host):
        self.record(f"platform: SIGKILL to the process of {host}")
        self.processes[host].kill()
        self.processes[host].wait(5)

    def holder(self, flow):
        """Returns the target that holds the flow, or None."""
        for target in self.targets.values():
            if target.holds(flow.ends):
                return target
        return None

    def logs(self):
        return {f.stem: f.read_text(errors="replace")
                for f in self.work.glob("*.log")}

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(5)
        for target in self.targets.values():
            target.crash()
        self.client.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def main(case):
    """Runs a case: `case(fleet)` returns a list of what broke the rule."""
    import sys
    fleet = None
    try:
        fleet, play = case()
        fleet.start()
        broken = play(fleet)
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}")
        if fleet:
            fleet.record(f"could not run: {error!r}")
            fleet.close()
        sys.exit(2)
    for line in broken:
        fleet.record(f"BROKEN: {line}")
        print(line)
    fleet.record("rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    fleet.close()
    sys.exit(1 if broken else 0)
