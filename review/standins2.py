"""Stand-ins for the script cases of the second review: the platform's store,
targets and clients, as far as PROTOCOL.md describes them, and a helper that
starts the project's programs with the commands of the deploy file.

All addresses are loopback addresses. A process is only signalled through the
Popen object that started it.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import socket
import socketserver
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[1]
HEADER = struct.Struct("<IIIIHHHIBBI")  # PROTOCOL.md, Packets
ACK, RST, FIN, SYN, BOUNCED = 1, 8, 16, 32, 128
PORTS = {"peers": 7720, "packets": 8172, "outbound": 8162, "ready": 8167,
         "control": 8166, "app": 8165, "store": 8169}
HEARTBEAT_S = 0.77
ROUTE_PORT = 443


def loopback_net():
    """Returns a /24 of 127/8 in which no process listens on our ports."""
    for _ in range(200):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for last in (1, 10, 20):
                with socket.socket() as probe:
                    probe.bind((f"{net}.{last}", PORTS["store"]))
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(value):
    return socket.inet_ntoa(struct.pack(">I", value))


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, line):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {line}\n")
            self.file.flush()


class Packet:
    def __init__(self, raw):
        (self.seq, self.ack, src, dst, self.dport, self.sport, self.size,
         self.echo, self.flags, _, self.sum) = HEADER.unpack(raw[:32])
        self.src, self.dst, self.raw = text(src), text(dst), raw
        self.data = raw[32:]

    def names(self):
        bits = (("SYN", SYN), ("ACK", ACK), ("FIN", FIN), ("RST", RST),
                ("BOUNCED", BOUNCED))
        return "+".join(n for n, bit in bits if self.flags & bit) or "-"


def packet(src, dst, flags, seq=0, ack=0, data=b""):
    head = HEADER.pack(seq % 2**32, ack % 2**32, number(src[0]), number(dst[0]),
                       dst[1], src[1], len(data), 0, flags, 0, 0)
    total = zlib.crc32(b"key of the stand-ins" + head[:22] + data) or 1
    return head[:28] + struct.pack("<I", total) + data


class Store:
    """The platform's metadata store (PROTOCOL.md).

    Balancers call it at `address`, agents at `agents_address`, so that it can be
    silent to the ones and serve the others: while `silent` holds "balancer" or
    "agent", none of their calls is answered, and a connection whose answer is
    lost returns nothing further.
    """

    HISTORY_S = 20

    def __init__(self, address, agents_address):
        self.silent = ""
        self.lost_answers = 0
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, time, kind, event)
        self.revision = 10
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                raw = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else {}
                try:
                    status, answer = store.call(self.command, self.path, body)
                    role = ("balancer" if self.server is store.servers[0]
                            else "agent")
                    if role == store.silent:
                        store.lost_answers += 1
                        self.connection.recv(1)  # until the caller closes it
                        self.close_connection = True
                        return
                    self.answer(status, answer)
                except (BrokenPipeError, ConnectionResetError):
                    pass

            do_GET = do_POST = do_PUT = do_DELETE = handle_call

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass

        self.servers = [Server(a, Handler) for a in (address, agents_address)]
        for server in self.servers:
            threading.Thread(target=server.serve_forever, daemon=True).start()

    def close(self):
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def call(self, method, path, body):
        path, _, query = path.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        parts = path.removeprefix("/filberthollow/objects/").split("/")
        time.sleep(0.004)
        with self.changed:
            if method == "GET" and len(parts) == 1:
                return self.watch(parts[0], args) if "watch" in args else (
                    200, {"items": [o for (k, _), o in sorted(
                        self.objects.items()) if k == parts[0]],
                        "hasMore": False, "at": self.revision})
            name = parts[1] if len(parts) > 1 else body["meta"]["name"]
            key = (parts[0], name)
            held = self.objects.get(key)
            if method == "POST":
                if held:
                    return 409, {"object": held}
            elif held is None:
                return 404, {}
            elif method == "GET":
                return 200, held
            asked = args.get("revision", body.get("meta", {}).get("revision"))
            if held and asked is not None and int(asked) != held["meta"][
                    "revision"]:
                return 409, {"object": held}
            if method == "PUT" and held["spec"] == body.get("spec"):
                return 200, held
            self.revision += 1
            if method == "DELETE":
                new = self.objects.pop(key)
            else:
                created = held["meta"]["created"] if held else self.revision
                new = {"meta": {"name": name, "revision": self.revision,
                                "created": created, "finalizers": [],
                                "deleting": False},
                       "spec": body.get("spec"), "status": None}
                self.objects[key] = new
            self.events.append((self.revision, time.monotonic(), parts[0],
                                {"removed": method == "DELETE",
                                 "object": new}))
            self.changed.notify_all()
            return 201 if method == "POST" else 200, new

    def watch(self, kind, args):
        after = int(args["watch"])
        end = time.monotonic() + int(args.get("waitMs", 0)) / 1000
        while True:
            old = time.monotonic() - self.HISTORY_S
            dropped = [e for e in self.events if e[1] < old]
            if dropped and dropped[-1][0] > after:
                return 410, {}
            events = [e[3] for e in self.events if e[0] > after and e[2] == kind]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "at": self.revision}
            self.changed.wait(min(1.0, max(0.01, end - time.monotonic())))


class Target:
    """One run of a target on the machine `host`, beside its agent.

    It heartbeats every HEARTBEAT_S, answers health checks at `app` over TCP, and
    each request with one packet.
    """

    def __init__(self, host, service, identifier, record):
        self.host, self.service, self.identifier = host, service, identifier
        self.record = record
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.flows = {}  # flow -> [own seq, next seq of the client, open]
        self.runs = []
        self.acked = threading.Event()
        self.ended = threading.Event()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, PORTS["app"]))
        self.socket.settimeout(0.05)
        self.health = socket.socket()
        self.health.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.health.bind((host, PORTS["app"]))
        self.health.listen(16)
        self.health.settimeout(0.05)
        self.threads = [threading.Thread(target=t, daemon=True) for t in (
            self.receive_loop, self.heartbeat_loop, self.health_loop)]
        for thread in self.threads:
            thread.start()
        record(f"target {identifier} starts at {host}, born {self.born}")

    def crash(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()
        self.socket.close()
        self.health.close()
        self.record(f"target {self.identifier} has crashed")

    def next_heartbeat(self):
        self.sequence += 1
        return {"service": self.service, "zone": "riga-a", "version": "v1",
                "address": f"{self.host}:{PORTS['app']}", "slots": 4,
                "state": self.state, "coldRemainingMs": 0, "born": self.born,
                "sequence": self.sequence}

    def send_heartbeat(self, body, timeout=1.0):
        """Sends a heartbeat; returns the status, or None without an answer."""
        call = http.client.HTTPConnection(self.host, PORTS["control"],
                                          timeout=timeout)
        try:
            call.request("PUT", f"/filberthollow/instances/{self.identifier}",
                         json.dumps(body), {"Content-Type": "application/json"})
            return call.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            call.close()

    def heartbeat_loop(self):
        due = time.monotonic()
        while not self.ended.wait(max(0, due - time.monotonic())):
            due += HEARTBEAT_S
            body = self.next_heartbeat()
            status = self.send_heartbeat(body)
            self.record(f"heartbeat {self.identifier} #{body['sequence']}: "
                        f"{status}")
            if status == 200:
                self.acked.set()

    def health_loop(self):
        while not self.ended.is_set():
            try:
                call, _ = self.health.accept()
            except OSError:
                continue
            with call:
                call.settimeout(1)
                try:
                    call.recv(4096)
                    call.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                 b"Connection: close\r\n\r\n{}")
                except OSError:
                    pass

    def send(self, raw):
        self.socket.sendto(raw, (self.host, PORTS["outbound"]))

    def receive_loop(self):
        while not self.ended.is_set():
            try:
                self.on_packet(Packet(self.socket.recv(2048)))
            except socket.timeout:
                continue

    def on_packet(self, got):
        flow = (got.src, got.sport, got.dst, got.dport)
        here, client = (got.dst, got.dport), (got.src, got.sport)
        state = self.flows.get(flow)
        if got.flags & SYN:
            if state is None:
                state = [random.randrange(2**32), (got.seq + 1) % 2**32, False]
                self.flows[flow] = state
            self.send(packet(here, client, SYN | ACK, state[0], state[1]))
            return
        acked = state and (got.ack - state[0]) % 2**32
        if state is None or not 1 <= acked <= 2**20:
            raw = bytearray(got.raw)
            raw[26] |= BOUNCED
            self.send(bytes(raw))
            self.record(f"target {self.identifier} bounces {got.names()} of "
                        f"port {got.sport}")
            return
        if not state[2]:
            state[2] = True
            self.record(f"target {self.identifier}: flow of port {got.sport} "
                        "is open")
        if got.flags & RST:
            del self.flows[flow]
            return
        if got.data and got.seq == state[1]:
            state[1] = (state[1] + len(got.data)) % 2**32
            self.runs.append(got.data.decode())
            self.record(f"target {self.identifier} runs {got.data.decode()}")
            state.append(b"answer to " + got.data)
        if got.data and len(state) > 3:
            sent = sum(len(a) for a in state[3:-1])
            self.send(packet(here, client, ACK, state[0] + 1 + sent, state[1],
                             state[-1]))


class Flow:
    """A client's flow. `reset` is set if a reset has arrived."""

    def __init__(self, port):
        self.port = port
        self.seq = random.randrange(2**32)
        self.ack = None
        self.reset = None  # the packet
        self.answers = []


class Client:
    def __init__(self, host, route, record):
        self.host, self.route, self.record = host, route, record
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, PORTS["packets"]))
        self.socket.settimeout(0.02)
        self.flows = {}
        self.next_port = 40000

    def send(self, balancer, flow, flags, ack, seq, data=b""):
        self.socket.sendto(
            packet((self.host, flow.port), (self.route, ROUTE_PORT), flags, seq,
                   ack, data), (balancer, PORTS["packets"]))

    def receive(self):
        """Reads one packet; returns its flow, or None."""
        try:
            got = Packet(self.socket.recv(2048))
        except socket.timeout:
            return None
        flow = self.flows.get(got.dport)
        if flow is None:
            return None
        if got.flags & RST:
            flow.reset = got
            who = "the system" if got.sum == 0 else "the target"
            self.record(f"client gets a reset of port {flow.port} from {who}")
        elif got.flags & SYN:
            if flow.ack is None:
                flow.ack = (got.seq + 1) % 2**32
        elif got.data and got.seq == flow.ack:
            flow.ack = (flow.ack + len(got.data)) % 2**32
            flow.answers.append(got.data.decode())
        return flow

    def open(self, balancer):
        """Opens a flow; returns it, or None if it does not open."""
        self.next_port += 1
        flow = self.flows[self.next_port] = Flow(self.next_port)
        start = time.monotonic()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.send(balancer, flow, SYN, copy, flow.seq)
            while time.monotonic() < start + until:
                self.receive()
                if flow.reset:
                    return None
                if flow.ack is not None:
                    flow.seq = (flow.seq + 1) % 2**32
                    self.send(balancer, flow, ACK, flow.ack, flow.seq)
                    return flow
        return None

    def request(self, balancer, flow, data, deadline=2.0):
        """Sends a request; returns the answer, or None."""
        had, wait = len(flow.answers), 0.2
        end = time.monotonic() + deadline
        self.record(f"client sends {data} on port {flow.port} through "
                    f"{balancer}")
        while time.monotonic() < end and not flow.reset:
            self.send(balancer, flow, ACK, flow.ack, flow.seq, data.encode())
            again = min(end, time.monotonic() + wait)
            wait = min(1.6, wait * 2)
            while time.monotonic() < again and not flow.reset:
                self.receive()
                if len(flow.answers) > had:
                    flow.seq = (flow.seq + len(data)) % 2**32
                    self.send(balancer, flow, ACK, flow.ack, flow.seq)
                    self.record(f"client gets '{flow.answers[-1]}'")
                    return flow.answers[-1]
        self.record(f"client gets no answer to {data}")
        return None


class System:
    """The project's processes, and a store. Hosts are numbers in the /24."""

    def __init__(self, record, bounds=()):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {role: deploy["roles"][role]["run"].split(" ")
                         for role in ("balancer", "agent")}
        for command in self.commands.values():
            if not (ROOT / command[0]).exists():
                raise FileNotFoundError(command[0])
        self.record = record
        self.net = loopback_net()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = list(bounds)
        self.running = {}
        self.seeds = []
        self.store = Store((self.host(1), PORTS["store"]),
                           (self.host(2), PORTS["store"]))

    def host(self, last):
        return f"{self.net}.{last}"

    def configure(self, version, routes, services):
        spec = {"version": version, "routes": routes,
                "services": [{"name": s, "healthPath": "/health",
                              "connectionLimit": 2000, "protocol": "h1",
                              "tls": False} for s in services],
                "limits": {"headerBytes": 16384, "bodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        kind = "/filberthollow/objects/config"
        status, _ = self.store.call("POST", kind,
                                    {"meta": {"name": "main"}, "spec": spec})
        if status == 409:
            self.store.call("PUT", kind + "/main", {"meta": {}, "spec": spec})
        self.record(f"configuration {version} is acknowledged")

    def start(self, host, role, zone="riga-a", service="", first=True):
        store = self.host(1 if role == "balancer" else 2)
        lines = [f"node={role}-{host}", f"role={role}", f"ipAddress={host}",
                 f"zone={zone}", "region=riga",
                 f"internalPorts={PORTS['peers']},{PORTS['peers'] + 15}",
                 "seeds=" + ",".join(f"{s}:{PORTS['control']}"
                                     for s in self.seeds),
                 f"bootstrap={'true' if first else 'false'}",
                 f"heartbeatMs={int(HEARTBEAT_S * 1000)}",
                 "flowHash=mod", "forwardingMode=agent",
                 "bounds.stableWindowMs=4000", "bounds.drainMs=3000",
                 "bounds.graceS=6", "bounds.configurationMs=3000",
                 "bounds.flowStrayMs=2000", "bounds.flowLifetimeS=60",
                 f"platform.address={store}:{PORTS['store']}",
                 "platform.forwardingMode=objects", "platform.writesPerS=400",
                 "platform.readsPerS=2000", "platform.historyS=20",
                 "platform.valueBytes=1048576"] + self.bounds
        lines += [f"listenAddresses.{n}={host}:{PORTS[n]}"
                  for n in ("packets", "ready", "control")]
        if role == "agent":
            lines += [f"listenAddresses.outbound={host}:{PORTS['outbound']}",
                      f"app={host}:{PORTS['app']}", f"service={service}"]
        settings = self.folder / f"{host}.conf"
        settings.write_text("\n".join(lines) + "\n")
        with open(self.folder / f"{host}.log", "ab") as log:
            self.running[host] = subprocess.Popen(
                self.commands[role], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "FILBERTHOLLOW_BOOT": str(settings)})
        self.record(f"{role} {host} starts")

    def terminate(self, host):
        """SIGTERM, as at planned work; SIGKILL after graceS."""
        process = self.running[host]
        process.terminate()
        self.record(f"{host} gets SIGTERM")
        try:
            process.wait(6)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.record(f"{host} has ended")

    def ready(self, host):
        call = http.client.HTTPConnection(host, PORTS["ready"], timeout=1)
        try:
            call.request("GET", "/filberthollow/readiness")
            return call.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            call.close()

    def wait(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(what)
            time.sleep(0.05)

    def logs(self, host, words):
        for line in (self.folder / f"{host}.log").read_text(
                errors="replace").splitlines():
            if any(word in line for word in words):
                self.record(f"log of {host}: {line[:400]}")

    def close(self):
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)
