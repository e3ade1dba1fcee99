"""A UDP relay that loses, duplicates, delays and reorders datagrams.

    with LinkRelay([one_balancer, another], seed=7, loss=0.1) as relay:
        call through relay.address

The relay stands between callers and balancers. Each datagram of a caller goes
to a balancer drawn at random. Each caller has one socket towards all balancers,
so that all of them see the same source address: a flow token is valid only
from the address that it was issued to. The relay's thread ends with the `with`
block.
"""

import heapq
import random
import selectors
import socket
import threading
import time

MAX_DATAGRAM = 2048
IDLE_WAIT = 0.05  # seconds; the longest delay until a stop is noticed


def parse_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


# Relays datagrams between callers, which send to `address`, and the balancers
# at `targets`. `loss` and `repeat` are probabilities, `delay` is a range in
# seconds, and random choices are drawn from `seed`. While `link_down` is set,
# all datagrams are lost. `counts` holds the totals of passed, lost and
# duplicated datagrams.
class LinkRelay:

    def __init__(self, targets, seed, loss=0.0, repeat=0.0, delay=(0.0, 0.0)):
        self.targets = [parse_address(target) for target in targets]
        self.random = random.Random(seed)
        self.loss, self.repeat, self.delay = loss, repeat, delay
        self.link_down = False
        self.counts = {"passed": 0, "lost": 0, "repeated": 0}
        self.front_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.front_socket.bind(("127.0.0.1", 0))
        self.address = "%s:%d" % self.front_socket.getsockname()
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.front_socket, selectors.EVENT_READ, None)
        self.caller_sockets = {}
        self.pending = []
        self.sequence = 0
        self.stopping = False
        self.thread = threading.Thread(target=self._run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, kind, value, trace):
        self.stopping = True
        self.thread.join()
        for sock in [self.front_socket, *self.caller_sockets.values()]:
            sock.close()

    # Returns the socket towards the balancers for the caller at `caller`.
    def _socket_of(self, caller):
        if caller not in self.caller_sockets:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            self.caller_sockets[caller] = sock
            self.selector.register(sock, selectors.EVENT_READ, caller)
        return self.caller_sockets[caller]

    # Queues the datagram for delivery once, twice, or not at all if it is lost.
    def _queue_copies(self, sock, data, destination):
        if self.link_down or self.random.random() < self.loss:
            self.counts["lost"] += 1
            return
        copies = 2 if self.random.random() < self.repeat else 1
        self.counts["repeated"] += copies - 1
        for _ in range(copies):
            self.sequence += 1
            when = time.monotonic() + self.random.uniform(*self.delay)
            heapq.heappush(
                self.pending, (when, self.sequence, sock, data, destination))

    def _run(self):
        while not self.stopping:
            wait = IDLE_WAIT
            if self.pending:
                wait = max(0.0, min(
                    wait, self.pending[0][0] - time.monotonic()))
            for key, _ in self.selector.select(wait):
                data, source = key.fileobj.recvfrom(MAX_DATAGRAM)
                if key.data is None:
                    self._queue_copies(self._socket_of(source), data,
                                       self.random.choice(self.targets))
                else:
                    self._queue_copies(self.front_socket, data, key.data)
            now = time.monotonic()
            while self.pending and self.pending[0][0] <= now:
                _, _, sock, data, destination = heapq.heappop(self.pending)
                self.counts["passed"] += 1
                sock.sendto(data, destination)
