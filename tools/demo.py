"""Demonstrates rolling balancer restarts under load on a small local fleet.

The first part sends requests with the caller library and prints a table of
outcomes. The second part passes flows through as packets and prints how many
of them were lost or answered wrongly. Exits with 1 if either part fails.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "filberthollow/testing"),
                str(ROOT / "filberthollow/platform")]

from fleet import BIN, Fleet, find_violations, wait_until  # noqa: E402
from platform_fleet import OPEN, ROUTE, ROUTE_PORT, System  # noqa: E402

TREE = {
    "settings": {"slots": 4},
    "services": {"configurator": {}, "drawings": {}},
}
REQUESTS = {"configurator": 4000, "drawings": 400}
FLOWS = 30  # opened in the pass-through part


def show_caller_library_path():
    """Restarts each balancer in turn while the caller library sends requests.

    Returns the number of failures: violations found in the upstreams' logs,
    lost flows, unanswered requests and processes that exit with an error.
    """
    print("Starting a platform stand-in, 3 balancers, 4 upstreams and agents")
    with Fleet(TREE) as fleet:
        fleet.add_balancers(3)
        for index, data_centre in enumerate(("riga-a", "riga-b")):
            fleet.add_target("configurator", data_centre,
                             f"configurator-{index + 1}")
            fleet.add_target("drawings", data_centre, f"drawings-{index + 1}")
        fleet.wait_ready()
        print("Sending requests, each datagram to a random balancer")
        calls = {
            "configurator": fleet.start_call(
                service="configurator", requests=REQUESTS["configurator"],
                flows=40, updates=50, pause_ms=80, work_ms=2, seed=1),
            "drawings": fleet.start_call(
                service="drawings", requests=REQUESTS["drawings"], flows=8,
                drawings=50, drawing_bytes=500000, pause_ms=120, seed=2),
        }
        for index in range(3):
            print(f"Restarting balancer {index + 1} of 3")
            fleet.restart_balancer(index)
        results = {name: fleet.finish_call(call)
                   for name, call in calls.items()}
        print(fleet.operator("status", check=False).stdout)
        logs = [target.log() for target in fleet.targets]
        names = ("answered", "not_run", "unknown", "corrupt")
        print(f"{'service':<14}" + "".join(f"{n:>10}" for n in names) +
              f"{'wrong':>8}{'flows lost':>12}{'p99 ms':>8}")
        failure_count = 0
        for name, result in results.items():
            counts = result["outcomes"]
            print(f"{name:<14}" + "".join(f"{counts[n]:>10}" for n in names) +
                  f"{result['wrong_answers']:>8}{result['flows_lost']:>12}"
                  f"{result['p99_ms']:>8.0f}")
            violations = find_violations(result, logs)
            failure_count += len(violations) + result["flows_lost"]
            failure_count += REQUESTS[name] - counts["answered"]
        print("Checked against the upstreams' own logs: "
              f"{failure_count} violations")
        codes = [p.stop() for p in reversed(fleet.processes) if p.running()]
        print(f"Stopped {len(codes)} processes, exit codes {sorted(set(codes))}")
        return failure_count + sum(code != 0 for code in codes)


def show_passed_through_path():
    """Restarts each balancer in turn while the other one carries its flows.

    Returns the number of flows that were not accepted plus the number of
    requests that were lost or answered wrongly.
    """
    print("\nPassed-through flows: 2 balancers, 3 agents beside upstreams that "
          "speak in packets")
    system = System()
    try:
        upstreams = [system.add_upstream(i) for i in range(3)]
        system.wait_ready()
        first, second = system.balancers
        wait_until(lambda: {system.caller.open(first)[1].seq
                            for _ in range(FLOWS)} ==
                   {u.first_seq for u in upstreams}, 20, "all take flows")
        flows = [system.caller.open(first) for _ in range(FLOWS)]
        wrong = sum(accepted is None or not accepted.flags & OPEN
                    for _, accepted in flows)
        for balancer, other in ((first, second), (second, first)):
            print(f"Restarting {balancer}; its flows go through {other}")
            system.running[balancer].terminate()
            for port, accepted in flows:
                wrong += not is_request_answered(system.caller, other, port,
                                                 accepted)
            system.running[balancer].wait(10)
            system.start(balancer, "balancer", first_start="false")
            system.wait_ready()
        print(f"{FLOWS} flows, {2 * FLOWS} requests, {wrong} lost or wrong")
        port, _ = flows[0]
        flow = f"{system.caller.host}:{port}>{ROUTE}:{ROUTE_PORT}"
        print(f"filberthollow explain '{flow}' -")
        print(subprocess.run([str(BIN / "filberthollow"), "explain", flow, "-"],
                             input=system.logs(), capture_output=True,
                             text=True, check=False).stdout)
        return wrong
    finally:
        system.close()


def is_request_answered(caller, balancer, port, accepted):
    """Sends a request on an open flow and checks its answer.

    Like a caller, sends the request again if no answer arrives, up to 4 times
    in all.
    """
    data = f"request on {port}".encode()
    for _ in range(4):
        answer = caller.send_request(balancer, port, accepted, data)
        if answer is not None:
            return answer.data == b"answer to " + data
    return False


def main():
    return 1 if show_caller_library_path() + show_passed_through_path() else 0


if __name__ == "__main__":
    sys.exit(main())
