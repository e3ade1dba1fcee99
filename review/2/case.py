"""A draining target goes on getting new flows after its machine's clock was
set back between two starts of it."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import (DRAIN_S, STABLE_WINDOW_S, UNSAFE_ROUTE,  # noqa: E402
                      CannotRun, Flow, Target, main, now)

AHEAD_MS = 2400  # the jump of `clock_step` in the site file
STEP_BACK_AT_S = 1.0
CRASH_AT_S = 1.1
RESTART_AT_S = 1.6
DRAIN_AT_S = 10.0
SERVES_ON_S = 8.0  # after the acknowledgement
REQUESTS_PER_S = 25


class Clock:
    """The time of day of one machine."""

    def __init__(self, ahead_ms):
        self.ahead_ms = ahead_ms

    def __call__(self):
        return int(time.time() * 1000) + self.ahead_ms


def send_requests(deployment, ended):
    """Sends unsafe requests at a steady rate, each on a flow of its own."""

    def one(number):
        flow = Flow(deployment.client, UNSAFE_ROUTE)
        attempt = f"a{number}"
        deployment.record("sent", attempt=attempt, flow=flow.port)
        outcome = (flow.request("POST", attempt, 2.0) if flow.open()
                   else "not opened")
        deployment.record("answered", attempt=attempt, outcome=outcome)
        flow.close()

    number = 0
    while not ended.wait(1 / REQUESTS_PER_S):
        number += 1
        threading.Thread(target=one, args=(number,), daemon=True).start()


def sleep_until(moment):
    time.sleep(max(0, moment - now()))


def case(deployment, trouble):
    begin = now()
    clock = Clock(AHEAD_MS if trouble else 0)
    first = deployment.add_side(0, clock_ms=clock)
    for number in (1, 2):
        deployment.add_side(number)
    sleep_until(begin + STEP_BACK_AT_S)
    clock.ahead_ms = 0
    deployment.record("clock_set_back", host=first.host,
                      by_ms=AHEAD_MS if trouble else 0)
    sleep_until(begin + CRASH_AT_S)
    first.stop()
    sleep_until(begin + RESTART_AT_S)
    second = Target(deployment, first.host, "desk", "i-0again", clock_ms=clock)
    deployment.targets.append(second)
    deployment.wait_ready()
    ended = threading.Event()
    threading.Thread(target=send_requests, args=(deployment, ended),
                     daemon=True).start()
    sleep_until(begin + DRAIN_AT_S)
    if DRAIN_AT_S - RESTART_AT_S < STABLE_WINDOW_S:
        raise CannotRun("the machine is not in touch yet")
    acknowledged = second.drain()
    if acknowledged is None:
        raise CannotRun("the draining target got no acknowledgement")
    sleep_until(acknowledged + SERVES_ON_S)
    ended.set()
    return [f"an opening packet reached the target {at - acknowledged:.2f} s "
            f"after the acknowledgement that it drains"
            for at in second.openings if at - acknowledged > DRAIN_S]


main(pathlib.Path(__file__).resolve().parent, case)
