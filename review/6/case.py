"""The address of a target goes to another service, while the new agent cannot
reach the store. See claim.txt."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (ROUTE_PORT, Client, Record, System,  # noqa: E402
                       Target)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REUSE_AFTER_S, STABLE_WINDOW_S = 2, 4
FLOWS = 40


def run(record):
    system = System(record)
    targets = []
    try:
        balancers = [system.host(10), system.host(11)]
        agents = [system.host(20 + i) for i in range(10)]
        services = ["configurator"] * 7 + ["drawings"] * 3
        route = system.host(200)
        system.seeds = balancers
        system.configure(7, [{
            "name": "r-1", "host": route, "pathPrefix": f"/{ROUTE_PORT}/",
            "kind": "unsafe", "timeoutMs": 2000, "aimMs": 250, "priority": 1,
            "service": "configurator", "attempts": 2}],
            ["configurator", "drawings"])
        for host in balancers:
            system.start(host, "balancer")
        for host, service in zip(agents, services):
            system.start(host, "agent", service=service)
        client = Client(system.host(50), route, record)
        for host, service in zip(agents, services):
            targets.append(Target(host, service, f"{service}-{host}", record))
        system.wait(lambda: all(system.ready(b) for b in balancers), 20,
                    "balancers are ready")
        system.wait(lambda: all(t.acked.is_set() for t in targets), 10,
                    "heartbeats are acknowledged")
        time.sleep(1)

        # Long flows of clients, at the targets that stay.
        kept = []
        for _ in range(60):
            flow = client.open(balancers[0])
            name = f"before-{client.next_port}"
            if flow and client.request(balancers[0], flow, name):
                if name not in targets[0].runs:
                    kept.append(flow)
            if len(kept) == 8:
                break
        if len(kept) < 8:
            record("too few flows were served: the case could not run")
            return 2
        time.sleep(1)

        # A target and its machine end for good; the address goes to another
        # service. The new machine's seeds are stale.
        system.running[agents[0]].kill()
        system.running[agents[0]].wait()
        record(f"the machine {agents[0]} ends for good")
        targets[0].crash()
        time.sleep(REUSE_AFTER_S + 0.5)
        if TROUBLE:
            system.store.silent = "agent"
            record("the store turns the new machine away (silence)")
        system.seeds = [system.host(90)]
        record(f"the seeds of the new machine are stale: {system.seeds[0]}")
        system.start(agents[0], "agent", service="drawings", first=False)
        new = Target(agents[0], "drawings", f"drawings-{agents[0]}", record)
        targets[0] = new
        system.wait(new.acked.is_set, 10, "the new target is acknowledged")
        time.sleep(1)

        # The routers hand the long flows to the other balancer, which looks for
        # them, and clients open further flows through it.
        for number, flow in enumerate(kept):
            answer = client.request(balancers[1], flow,
                                    f"moved-{number}-{flow.port}")
            record(f"moved flow: {answer}")
        opened = 0
        for _ in range(FLOWS):
            flow = client.open(balancers[1])
            if flow:
                opened += 1
                client.request(balancers[1], flow, f"new-{flow.port}")
        system.store.silent = ""
        wrong = [r for t in targets if t.service == "drawings" for r in t.runs]
        taken = sum(len(t.flows) for t in targets if t.service == "drawings")
        for name in wrong:
            record(f"ROUTE: {name} was sent to configurator's route, and was run "
                   "by drawings")
        for host in balancers + [agents[0]]:
            system.logs(host, ["agent_silent", "agent_heard", "offer_refused",
                               "config_in_force", "started", "flow_taken",
                               "flow_refused"])
        record(f"{opened} of {FLOWS} new flows opened; drawings took {taken} "
               f"flows and ran {len(wrong)} requests of the route")
        return 1 if wrong else 0
    finally:
        for target in targets:
            if not target.ended.is_set():
                target.crash()
        system.close()


def main():
    record = Record(FOLDER)
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    try:
        code = run(record)
    except (OSError, RuntimeError, TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        code = 2
    record(f"exit code {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
