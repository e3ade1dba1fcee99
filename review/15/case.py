"""Answers of the store are lost for some seconds, among them those that tell
of an evacuation; later, with everything calm, a zone is evacuated; see
claim.txt."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins3 as s  # noqa: E402

LOST_SHARE, LOST_S, CHANGE_GAP_S = 0.35, 4.5, 0.8
EVACUATION_S = 5.0
STABLE_WINDOW_S = 5.0
BOUNDS = {"bounds.evacuationMs": 5000, "bounds.stableWindowMs": 5000,
          "bounds.drainMs": 5000, "bounds.configurationMs": 5000,
          "bounds.acknowledgeMs": 8000, "bounds.catchUpS": 6,
          "bounds.outerBoundMs": 15000, "bounds.recoveryS": 15,
          "bounds.coldOvershoot": 1.5, "bounds.coldSlack": 5,
          "tolerance.zones": 1}


def zones(fleet):
    """Half of the targets are in another zone than the fronts."""
    return {host: "zone-b" for host in list(fleet.sides)[2:]}


def evacuate(fleet, zone, removed=False):
    fleet.store.put("evacuations", zone, {}, removed)
    fleet.record(f"operator: {'takes back' if removed else 'writes'} "
                 f"evacuations/{zone}")


def play(fleet):
    client, broken = fleet.client, []
    if s.TROUBLE:
        fleet.store.lost_calls = "evacuations"
        fleet.store.lost_share = LOST_SHARE
        fleet.record("platform: the store loses answers")
    end = time.monotonic() + LOST_S
    timeout = 2000
    for _ in range(3):
        timeout += 10
        fleet.configure(timeout)
        time.sleep(CHANGE_GAP_S)
    evacuate(fleet, "zone-b")
    time.sleep(0.5)
    evacuate(fleet, "zone-b", removed=True)
    time.sleep(max(0, end - time.monotonic()))
    fleet.store.lost_share = 0.0
    fleet.record(f"platform: the store is sound again; it had lost "
                 f"{fleet.store.lost} of {fleet.store.answers} answers")
    time.sleep(STABLE_WINDOW_S + 1)

    # All machines are in touch. The operator evacuates the zone of the fronts.
    evacuate(fleet, "zone-a")
    acknowledged = time.monotonic()
    time.sleep(EVACUATION_S + 0.5)
    number = 0
    while time.monotonic() < acknowledged + EVACUATION_S + 5:
        number += 1
        after = time.monotonic() - acknowledged
        flow = client.open(fleet.front(number % 2), fleet.route("desk"))
        target = fleet.holder(flow) if flow else None
        name = f"request-{number}"
        if flow and client.request(flow, name) == "answered":
            target = fleet.holder(flow)
            if target and target.zone == "zone-a":
                broken.append(f"EVAC: {after:.1f} s after the acknowledgement "
                              f"{name} reached {target.identifier} in zone-a")
        time.sleep(0.2)
    return broken


s.main(lambda: (s.Fleet(HERE, services={"desk": 4}, kinds={"desk": "unsafe"},
                        zones=zones, bounds=BOUNDS), play))
