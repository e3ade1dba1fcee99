"""A heartbeat of another writer resets the open flows of a living target."""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import (SAFE_ROUTE, STABLE_WINDOW_S, UNSAFE_ROUTE,  # noqa: E402
                      CannotRun, Flow, call, main, now)

FLOWS = 12
REQUEST_PAUSE_S = 0.3
FOREIGN_AT_S = 8.0  # more than stableWindowMs after the last start
END_AT_S = 14.0


def use_flow(deployment, flow, number, end):
    """Sends requests on one long flow, with pauses, until `end`."""
    method = "POST" if flow.dst[0] == UNSAFE_ROUTE else "GET"
    count = 0
    while now() < end and not flow.reset:
        count += 1
        attempt = f"f{number}-{count}"
        deployment.record("sent", attempt=attempt, method=method)
        outcome = flow.request(method, attempt, 2.0)
        deployment.record("answered", attempt=attempt, outcome=outcome,
                          ran=len(deployment.runs.get(attempt, [])))
        time.sleep(REQUEST_PAUSE_S)
    flow.close()


def case(deployment, trouble):
    targets = [deployment.add_side(number) for number in range(3)]
    deployment.wait_ready()
    flows = []
    opening_ends = now() + 5
    while len(flows) < FLOWS and now() < opening_ends:
        flow = Flow(deployment.client,
                    UNSAFE_ROUTE if len(flows) % 2 else SAFE_ROUTE)
        if flow.open():
            flows.append(flow)
    if len(flows) < FLOWS:
        raise CannotRun("the flows could not be opened")
    begin = now()
    threads = [threading.Thread(target=use_flow, args=(
        deployment, flow, number, begin + END_AT_S))
               for number, flow in enumerate(flows)]
    for thread in threads:
        thread.start()
    time.sleep(FOREIGN_AT_S)
    if trouble:
        # From another writer: `address` and `version` are missing. It is sent
        # to the machine whose target holds the most flows.
        target = max(targets, key=lambda target: sum(
            target.holds(flow.key) for flow in flows))
        body = {"service": "desk", "zone": deployment.zone, "slots": 4,
                "state": "ready", "coldRemainingMs": 0, "sequence": 1,
                "born": int(time.time() * 1000)}
        status = call(target.control, "PUT",
                      "/filberthollow/instances/i-other", json.dumps(body))
        deployment.record("foreign_heartbeat", host=target.host,
                          status=status)
    for thread in threads:
        thread.join()
    for target in targets:
        if now() - target.started < STABLE_WINDOW_S:
            raise CannotRun("a target was too young")
    return [f"flow {flow.src[0]}:{flow.port} open at {','.join(holders)} got a "
            f"reset that its target did not send"
            for _, flow, sender, holders in deployment.client.resets
            if sender == "system" and holders]


main(pathlib.Path(__file__).resolve().parent, case)
