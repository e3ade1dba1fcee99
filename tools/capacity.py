"""Measures how costs grow with size and writes the capacity pages.

Fits a line to each measured series and extrapolates it to the required fleet
size. Writes docs/CAPACITY.md and docs/MEASUREMENTS.md.

    tools/capacity.py            measures all, saves the results, writes the pages
    tools/capacity.py --render   writes the pages from the saved results
    tools/capacity.py --series   measures only the series, keeps the saved fleet
                                 and storm results, writes the pages

The results are saved in docs/capacity-results.json and docs/storm-results.json.
The tables are generated only from them, so that they always match.
"""

import json
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / "docs/capacity-results.json"
STORM = ROOT / "docs/storm-results.json"
PAGES = {ROOT / "docs/capacity-template.md": ROOT / "docs/CAPACITY.md",
         ROOT / "docs/measurements-template.md": ROOT / "docs/MEASUREMENTS.md"}
sys.path.insert(0, str(ROOT / "filberthollow/testing"))

from fleet import BIN, Fleet, http, wait_until  # noqa: E402

# The required fleet size and load, and the constants of the code that the tables
# use. NODES is the number of balancers. NEW_FLOWS are per second.
NODES = 1000
TARGETS = 5300
SERVICES = 720
FLOWS = 20_000_000
FLOWS_PER_AGENT = FLOWS / TARGETS
NEW_FLOWS = 66_000
CHANGES_A_DAY = 3100
RESTARTS_A_DAY = 1300
FAILURES_A_DAY = 30
DAY = 86_400
OBSERVERS = 3
STATES_A_RESTART = 4  # starting, ready, draining, left
MAX_HEARTBEATS_PER_SECOND = 3.0  # Observer::kMaxHeartbeatsPerSecond
TARGETS_PER_DATA_CENTRE = TARGETS // 8
OUTAGE_SECONDS = 12
NOTIFIERS_PER_PEER = 3      # BalancerSet::kNotifiersPerPeer
LOCATES_PER_SECOND = 2000   # LocateQueue::kMessagesPerMilli
REPORT_WIRE_BYTES = 150     # PacketsTask::kReportBytes
HELLO_WIRE_BYTES = 200      # PacketsTask::kHelloBytes
HEADER_BYTES = 28           # IPv4 and UDP
MAX_ADVERTISED = 16         # BalancerSet::kMaxAdvertised
# Limits: control traffic in bytes per second, memory in bytes, processor time in
# percent of a core, writes and reads of the platform per second, and seconds
# until a change is in force everywhere.
LIMITS = {"control": 3000, "memory": 256e6, "core": 4.6,
          "writes": 400, "reads": 2000, "in_force": 11}


def cpu_seconds(pid):
    values = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = values.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_bytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def platform_calls(fleet):
    return json.loads(http(fleet.platform.addresses["http"], "/calls")[1])


def delta(after, before):
    return {name: after[name] - before[name] for name in after}


def watch_calls(fleet):
    return sum(b.metric("platform_watches") for b in fleet.balancers)


def measure_outage(fleet):
    """Measures the watch calls of a balancer in a platform outage and after it.

    The outage lasts 2 * OUTAGE_SECONDS, of which only the second half counts;
    then OUTAGE_SECONDS after it count. Returns means per balancer.
    """
    fleet.faults(down=True)
    time.sleep(OUTAGE_SECONDS)
    before = watch_calls(fleet)
    time.sleep(OUTAGE_SECONDS)
    during = watch_calls(fleet) - before
    fleet.faults(down=False)
    before = watch_calls(fleet)
    time.sleep(OUTAGE_SECONDS)
    after = watch_calls(fleet) - before
    count = len(fleet.balancers)
    return {"tries_a_balancer_s": round(during / count / OUTAGE_SECONDS, 3),
            "calls_a_balancer_after": round(after / count, 2)}


def measure_fleet(balancers):
    """Runs a fleet of real processes with 4 agents.

    Returns its memory, processor time and calls to the platform.
    """
    tree = {"settings": {"slots": 8}, "services": {"desk": {}}}
    with Fleet(tree) as fleet:
        start = platform_calls(fleet)
        fleet.add_balancers(balancers)
        for index in range(4):
            fleet.add_target("desk", "riga-a", f"desk-{index}")
        fleet.wait_ready()
        time.sleep(2)
        started = delta(platform_calls(fleet), start)
        before = watch_calls(fleet)
        begun = time.monotonic()
        fleet.operator("set", "/desk", "slots", "9")
        wait_until(lambda: fleet.operator(
            "status", check=False).returncode == 0, 11, "in force")
        in_force = time.monotonic() - begun
        changed = watch_calls(fleet) - before
        outage = measure_outage(fleet)
        balancer = fleet.balancers[0].popen.pid
        agents = [t.agent.popen.pid for t in fleet.targets]
        idle_from = cpu_seconds(balancer)
        agent_idle_from = cpu_seconds(agents[0])
        time.sleep(10)
        idle = (cpu_seconds(balancer) - idle_from) / 10
        agent_idle = (cpu_seconds(agents[0]) - agent_idle_from) / 10
        busy_from = sum(cpu_seconds(b.popen.pid) for b in fleet.balancers)
        agent_from = sum(cpu_seconds(pid) for pid in agents)
        requests = 40_000
        fleet.call(service="desk", requests=requests, flows=40, updates=50)
        busy = sum(cpu_seconds(b.popen.pid) for b in fleet.balancers)
        agent_busy = sum(cpu_seconds(pid) for pid in agents)
        return {
            "balancers": balancers,
            "start_calls": started,
            "change_watches": changed,
            "in_force_s": round(in_force, 2),
            "outage": outage,
            "balancer_rss": rss_bytes(balancer),
            "agent_rss": rss_bytes(agents[0]),
            "balancer_idle_core_percent": round(idle * 100, 3),
            "agent_idle_core_percent": round(agent_idle * 100, 3),
            "balancer_us_a_request": round(
                (busy - busy_from) * 1e6 / requests, 2),
            "agent_us_a_request": round(
                (agent_busy - agent_from) * 1e6 / requests, 2),
        }


def measure_series():
    output = subprocess.run([str(BIN / "filberthollow-measure")],
                            capture_output=True, text=True, check=True,
                            timeout=300)
    return json.loads(output.stdout)


def measure_series_only():
    """Measures the series again and keeps the saved fleet measurements."""
    results = json.loads(RESULTS.read_text())
    results["series"] = measure_series()
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


def measure():
    machine = {"date": time.strftime("%Y-%m-%d"),
               "cores": os.cpu_count(), "kind": "x86_64, shared"}
    results = {"machine": machine, "series": measure_series(),
               "fleet": [measure_fleet(n) for n in (2, 4, 8)]}
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    storm = subprocess.run([str(BIN / "filberthollow-storm")],
                           capture_output=True, text=True, check=True,
                           timeout=100)
    STORM.write_text(storm.stdout)


def fit(points):
    """Fits a line by least squares; returns (slope, intercept, max relative error)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    var = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / var
    intercept = mean_y - slope * mean_x
    error = max(abs(slope * x + intercept - y) / max(abs(y), 1e-9)
                for x, y in points)
    return slope, intercept, error


def megabytes(value):
    return f"{value / 1e6:.1f} MB"


def row(role, what, mechanism, slope, figure, limit, ok):
    mark = "" if ok else " **RED**"
    return f"| {role} | {what} | {mechanism} | {slope} | {figure}{mark} | {limit} |"


def tables(results):
    series = {s["name"]: s["points"] for s in results["series"]}
    fleet = results["fleet"][-1]

    def value_at(name, size):
        slope, intercept, _ = fit(series[name])
        return slope * size + intercept

    def slope_of(name):
        return fit(series[name])[0]

    def last_value(name):
        return series[name][-1][1]

    def value_at_log_size(name, size):
        # Gossip cost grows with the logarithm of the fleet size.
        import math
        slope, intercept, _ = fit(
            [(math.log2(x), y) for x, y in series[name]])
        return slope * math.log2(size) + intercept

    change_rate = (RESTARTS_A_DAY * STATES_A_RESTART * TARGETS /
                   (TARGETS + NODES) + FAILURES_A_DAY) / DAY
    gossip_change = value_at_log_size("change_gossip", NODES)
    unlimited_heartbeat_rate = TARGETS * OBSERVERS / NODES
    heartbeat_rate = min(unlimited_heartbeat_rate, MAX_HEARTBEATS_PER_SECOND)
    heartbeat_bytes = value_at("heartbeat_bytes", 24)
    idle_gossip = last_value("idle_gossip")
    tree_change = value_at("service_object_bytes", TARGETS / SERVICES)
    control = (idle_gossip + gossip_change * change_rate +
               heartbeat_rate * heartbeat_bytes +
               tree_change * CHANGES_A_DAY / DAY)
    catch_up = value_at("snapshot_bytes", TARGETS)
    catch_up_rate = catch_up * RESTARTS_A_DAY / (NODES + TARGETS) / DAY
    memory = (fleet["balancer_rss"] +
              value_at("directory_memory", TARGETS + NODES) +
              2 * value_at("tree_memory", TARGETS) +
              3 * value_at("view_memory", TARGETS) +
              2 * catch_up)
    heartbeat_us = series["heartbeat_time"][3][1]
    view_us = value_at("view_build_time", TARGETS)
    gossip_us = series["gossip_message_time"][3][1]
    messages = 6.0  # gossip messages sent and received per second in a burst
    views = min(20.0, heartbeat_rate + change_rate)
    core = (fleet["balancer_idle_core_percent"] +
            (heartbeat_rate * heartbeat_us + views * view_us +
             messages * gossip_us) / 1e4)
    agent_memory = (fleet["agent_rss"] +
                    slope_of("flow_memory") * FLOWS_PER_AGENT)
    heartbeat_interval = unlimited_heartbeat_rate / heartbeat_rate
    agent_control = OBSERVERS * heartbeat_bytes / heartbeat_interval
    rounds = value_at_log_size("rounds_to_all_loss_20", NODES)
    rows = ["| role | row | mechanism | slope (measured) | at the letter's size "
            "| limit |", "|---|---|---|---|---|---|"]
    rows.append(row(
        "balancer", "control traffic, ordinary day",
        "gossip of news and digests; heartbeats to 3 observers, 3/s at most at each; "
        "watch by service object",
        f"{idle_gossip:.0f} B/s idle; {gossip_change:.0f} B a change; "
        f"{heartbeat_bytes:.0f} B a heartbeat and answer; "
        f"{tree_change:.0f} B a change of settings",
        f"{control:.0f} B/s", "3,000 B/s", control <= LIMITS["control"]))
    peak = max(y for _, y in series["burst_peak_rate"])
    burst = {int(x): y for x, y in series["burst_gossip"]}
    burst_rounds = {int(x): y for x, y in series["burst_rounds"]}
    rack_rate = burst[40] / (burst_rounds[40] / 2)
    rows.append(row(
        "balancer", "control traffic, a rack lost (40 changes)",
        "bounded datagrams, fan-out 2, 2 answers in 2 s",
        f"{burst[40]:.0f} B in {burst_rounds[40] / 2:.0f} s among 128; "
        f"busiest half second of any burst {peak:.0f} B/s",
        f"{rack_rate:.0f} B/s over the burst, besides heartbeats",
        "3,000 B/s",
        rack_rate + heartbeat_rate * heartbeat_bytes <= LIMITS["control"]))
    rows.append(row(
        "balancer", "control traffic, a data centre lost (660 changes)",
        "the same; it takes longer instead of more",
        f"{burst[660]:.0f} B in {burst_rounds[660] / 2:.0f} s among 128",
        f"{burst[660] / (burst_rounds[660] / 2):.0f} B/s over the burst",
        "3,000 B/s",
        burst[660] / (burst_rounds[660] / 2) + heartbeat_rate * heartbeat_bytes
        <= LIMITS["control"]))
    rows.append(row(
        "balancer", "catch-up at a start", "RPC snapshot from one peer",
        f"{slope_of('snapshot_bytes'):.0f} B a target with its settings",
        f"{catch_up / 1e3:.0f} KB, {catch_up_rate:.1f} B/s on average",
        "3,000 B/s as a daily mean", catch_up_rate <= LIMITS["control"]))
    rows.append(row(
        "balancer", "memory",
        "records, tree, view; no state per flow",
        f"{slope_of('directory_memory'):.0f} B a record; "
        f"{slope_of('tree_memory'):.0f} B a target in the tree; "
        f"{slope_of('view_memory'):.0f} B a target in the view; "
        f"process {megabytes(fleet['balancer_rss'])}",
        megabytes(memory), "256 MB", memory <= LIMITS["memory"]))
    rows.append(row(
        "balancer", "processor time for control",
        "heartbeats, gossip rounds, view at most every 20 ms",
        f"{heartbeat_us:.1f} us a heartbeat; {gossip_us:.1f} us a gossip message; "
        f"{view_us:.0f} us a view of "
        f"{TARGETS} targets; idle {fleet['balancer_idle_core_percent']} %",
        f"{core:.2f} % of a core", "4.6 %", core <= LIMITS["core"]))
    rows.append(row(
        "balancer", "data path",
        "stateless routing by token",
        f"{last_value('route_time'):.1f} us decode, decide, encode; "
        f"{fleet['balancer_us_a_request']} us a request, both ways, with "
        "system calls",
        f"{NEW_FLOWS / NODES:.0f} new flows/s a balancer: "
        f"{NEW_FLOWS / NODES * 2 * fleet['balancer_us_a_request'] / 1e4:.2f} % "
        "of a core for the opens and one request each",
        "none given", True))
    rows.append(row(
        "agent", "memory",
        "flow and ledger at the agent, answers up to 96 MB more",
        f"{slope_of('flow_memory'):.0f} B a flow with one answered request; "
        f"process {megabytes(fleet['agent_rss'])}",
        megabytes(agent_memory) + f" for {FLOWS_PER_AGENT:.0f} flows, "
        f"{megabytes(agent_memory + 96 * 2**20)} with answers", "256 MB",
        agent_memory + 96 * 2**20 <= LIMITS["memory"]))
    rows.append(row(
        "agent", "control traffic", "heartbeats to 3 observers",
        f"{heartbeat_bytes:.0f} B each, every {heartbeat_interval:.1f} s",
        f"{agent_control:.0f} B/s", "3,000 B/s",
        agent_control <= LIMITS["control"]))
    rows.append(row(
        "agent", "processor time for control",
        "heartbeats, health checks each second",
        f"idle {fleet['agent_idle_core_percent']} % measured",
        f"{fleet['agent_idle_core_percent']} % of a core", "4.6 %",
        fleet["agent_idle_core_percent"] <= LIMITS["core"]))
    rows.append(row(
        "operator command", "memory and calls",
        "one list and one read a service",
        f"{slope_of('tree_memory'):.0f} B a target in the tree",
        f"{SERVICES + 2} reads to load the tree for one edit", "2,000 reads/s "
        "for the fleet; 3,100 edits a day need "
        f"{(SERVICES + 2) * CHANGES_A_DAY / DAY:.0f}/s on average",
        (SERVICES + 2) * CHANGES_A_DAY / DAY <= LIMITS["reads"]))
    start_calls = fleet["start_calls"]
    smallest_fleet = results["fleet"][0]
    per_balancer_watch = ((start_calls["watches"] -
                           smallest_fleet["start_calls"]["watches"]) /
                          (fleet["balancers"] - smallest_fleet["balancers"]))
    per_balancer_write = ((start_calls["writes"] -
                           smallest_fleet["start_calls"]["writes"]) /
                          (fleet["balancers"] - smallest_fleet["balancers"]))
    change_watch = ((fleet["change_watches"] - smallest_fleet["change_watches"]) /
                    (fleet["balancers"] - smallest_fleet["balancers"]))
    waiting_watches = NODES / 30
    changes = CHANGES_A_DAY / DAY * NODES * change_watch
    rows.append(row(
        "platform", "calls on an ordinary day",
        "one watch a balancer, of 30 s at this size; agents read only at a start",
        f"{change_watch:.2f} watch calls a balancer a change",
        f"{waiting_watches:.0f}/s waiting and {changes:.0f}/s for changes",
        "2,000 reads/s", waiting_watches + changes <= LIMITS["reads"]))
    burst_reads = NODES * change_watch
    rows.append(row(
        "platform", "calls at the moment of one change",
        "every waiting watch is answered at once",
        f"{change_watch:.2f} a balancer", f"{burst_reads:.0f} at once",
        "2,000 reads/s", burst_reads <= LIMITS["reads"]))
    rows.append(row(
        "platform", "calls at a start of one balancer",
        "watch, bootstrap entry, list",
        f"{per_balancer_watch:.1f} watch calls, "
        f"{per_balancer_write:.1f} writes",
        f"{RESTARTS_A_DAY * (per_balancer_watch + per_balancer_write) / DAY:.2f}"
        "/s for 1,300 restarts a day", "400 writes/s", True))
    outage = fleet["outage"]
    calls_during = outage["tries_a_balancer_s"] * NODES
    calls_after = outage["calls_a_balancer_after"] * NODES / OUTAGE_SECONDS
    rows.append(row(
        "platform", "tries during an outage and calls after it",
        "backoff 0.5 to 10 s with jitter of half",
        f"{outage['tries_a_balancer_s']} tries/s a balancer; "
        f"{outage['calls_a_balancer_after']} calls a balancer in the "
        f"{OUTAGE_SECONDS} s after it, mostly watches that then wait",
        f"{calls_during:.0f}/s during, {calls_after:.0f}/s after", "2,000 reads/s",
        max(calls_during, calls_after) <= LIMITS["reads"]))
    agent_calls = 1 + start_calls["reads"] / 4
    agents_at_once = TARGETS_PER_DATA_CENTRE * agent_calls
    rows.append(row(
        "platform", "a data centre's agents start at once",
        "a read of the keys and a list each, then backoff with jitter",
        f"{start_calls['reads'] / 4:.1f} reads an agent measured, and one list by the "
        "code", f"{agents_at_once:.0f} at once",
        "2,000 reads/s", agents_at_once <= LIMITS["reads"]))
    spread_s = rounds * 0.5
    rows.append(row(
        "fleet", "a change in force everywhere",
        "watch at each balancer; heartbeat answers to agents",
        f"{fleet['in_force_s']} s with {fleet['balancers']} balancers, 4 agents",
        f"{fleet['in_force_s'] + heartbeat_interval + 3:.1f} s: watch, "
        f"{heartbeat_interval:.1f} s to the next heartbeat, 3 s for delays",
        "11 s", fleet["in_force_s"] + heartbeat_interval + 3 <= 11))
    rows.append(row(
        "fleet", "a membership change known everywhere",
        "gossip rounds of 0.5 s",
        f"{value_at_log_size('rounds_to_all_loss_0', NODES):.0f} rounds "
        "without loss, "
        f"{rounds:.0f} with 20 % loss (worst of 5)",
        f"{value_at_log_size('rounds_to_all_loss_0', NODES) / 2:.1f} to "
        f"{spread_s:.1f} s",
        "none given; a leaving target's agent refuses new work at once itself",
        True))
    series_rows = ["| quantity | size | points | slope | worst deviation from a line |",
                   "|---|---|---|---|---|"]
    for item in results["series"]:
        slope, _, error = fit(item["points"])
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in item["points"])
        series_rows.append(f"| {item['name']} ({item['value_unit']}) | "
                           f"{item['size_unit']} | {points} | {slope:.4g} | "
                           f"{error * 100:.0f} % |")
    fleet_rows = ["| balancers | start calls | balancers' watch calls for one change | in force | "
                  "balancer RSS | agent RSS | balancer us/request | agent us/request |",
                  "|---|---|---|---|---|---|---|---|"]
    for item in results["fleet"]:
        fleet_rows.append(
            f"| {item['balancers']} | {item['start_calls']} | "
            f"{item['change_watches']:.0f} | {item['in_force_s']} s | "
            f"{megabytes(item['balancer_rss'])} | "
            f"{megabytes(item['agent_rss'])} | "
            f"{item['balancer_us_a_request']} | "
            f"{item['agent_us_a_request']} |")
    rows += packet_rows(value_at, slope_of)
    return {"ROWS": "\n".join(rows), "SERIES": "\n".join(series_rows),
            "FLEET": "\n".join(fleet_rows), "MACHINE": json.dumps(
                results["machine"])}


def packet_rows(value_at, slope_of):
    """Returns the table rows for pass-through flows."""
    flows = FLOWS / NODES
    balancer_flow_bytes = slope_of("router_flow_memory")
    agent_record_bytes = slope_of("router_agent_memory")
    memory = balancer_flow_bytes * flows + agent_record_bytes * TARGETS
    agent_flow_bytes = slope_of("gate_flow_memory")
    packets = 20 * NEW_FLOWS / NODES  # caller packets per second at each balancer
    route_us = value_at("router_packet_time", flows)
    offer_us = value_at("router_offer_time", TARGETS)
    core = (packets * route_us + NEW_FLOWS / NODES * offer_us) / 1e4
    report = value_at("report_bytes", 1)
    interval = max(0.2, NODES * REPORT_WIRE_BYTES / LIMITS["control"])
    report_bytes_per_s = TARGETS / interval * REPORT_WIRE_BYTES
    hello = value_at("hello_bytes", MAX_ADVERTISED)
    hello_interval = NODES * HELLO_WIRE_BYTES / LIMITS["control"]
    hello_bytes_per_s = NODES / hello_interval * (hello + HEADER_BYTES)
    answer_bytes_per_s = TARGETS / interval * (hello + HEADER_BYTES)
    silence_s = 3 * interval
    # Configuration changes and balancer starts are announced at once.
    notifications_a_day = CHANGES_A_DAY + RESTARTS_A_DAY * NODES / (NODES + TARGETS)
    notification_bytes_per_s = (
        (NODES + TARGETS) * NOTIFIERS_PER_PEER / NODES * REPORT_WIRE_BYTES *
        notifications_a_day / DAY)
    return [
        row("balancer, passed through", "memory of agents and flows",
            "a cache of flows, which may be lost at any time; one record an agent",
            f"{balancer_flow_bytes:.0f} B a flow, "
            f"{agent_record_bytes:.0f} B an agent",
            megabytes(memory), "256 MB", memory <= LIMITS["memory"]),
        row("balancer, passed through", "processor time of decisions and encoding",
            "one hash lookup a packet; a scan of the agents for each new flow",
            f"{route_us:.2f} us a packet, {offer_us:.0f} us a new flow",
            f"{core:.2f}% of a core at {packets:.0f} packets/s", "4.6%",
            core <= LIMITS["core"]),
        row("agent, passed through", "memory of flows",
            "one record a flow, beside its upstream only",
            f"{agent_flow_bytes:.0f} B a flow",
            megabytes(agent_flow_bytes * FLOWS_PER_AGENT),
            "256 MB", agent_flow_bytes * FLOWS_PER_AGENT <= LIMITS["memory"]),
        row("agent, passed through", "reports sent",
            "to every balancer, paced by a budget of bytes",
            f"{report:.0f} B a report, {REPORT_WIRE_BYTES} B on the wire",
            f"one in {interval:.0f} s to each balancer", "3,000 B/s", True),
        row("balancer, passed through", "hellos sent to balancers",
            "to every other balancer, paced; names 16 others; news at once to "
            "the peers of which it is one of three tellers",
            f"{hello:.0f} B a hello, {hello + HEADER_BYTES:.0f} B on the wire",
            f"one in {hello_interval:.0f} s to each: {hello_bytes_per_s:.0f} B/s; "
            f"news {notification_bytes_per_s:.0f} B/s",
            "3,000 B/s", hello_bytes_per_s <= LIMITS["control"]),
        row("balancer, passed through", "hellos sent to agents",
            "in answer to each report", f"{hello + HEADER_BYTES:.0f} B",
            f"{answer_bytes_per_s:.0f} B/s", "3,000 B/s",
            answer_bytes_per_s <= LIMITS["control"]),
        row("balancer, passed through", "reports heard",
            "from every agent", f"{REPORT_WIRE_BYTES} B a report",
            f"{report_bytes_per_s:.0f} B/s", "3,000 B/s",
            report_bytes_per_s <= LIMITS["control"]),
        row("balancer, passed through", "a search for a flow among all agents",
            "questions share messages; messages are paced",
            f"{value_at('locate_bytes', 1):.0f} B for one flow, "
            f"{slope_of('locate_bytes'):.0f} B for each more; "
            f"{LOCATES_PER_SECOND} messages/s",
            f"{TARGETS / LOCATES_PER_SECOND:.1f} s, up to 64 flows at one time; "
            "the three agents where it probably is are asked first", "none given", True),
        row("balancer, passed through", "time until a silent agent is noted",
            "three reports missed; an unanswered offer shows it in 0.11 s",
            "3 intervals", f"{silence_s:.0f} s", "11 s", silence_s <= 11),
    ]


def placement_table(results):
    series = {s["name"]: dict(map(tuple, s["points"]))
              for s in results["series"]}
    rows = ["| targets | rendezvous: moved | peak / mean | us a flow | memory | "
            "Maglev 65,537: moved | peak / mean | us to build | memory |",
            "|---|---|---|---|---|---|---|---|---|"]
    for size in (7, 100, 1000):
        rows.append(
            f"| {size} | {series['rendezvous_moved'][size]:.2f} | "
            f"{series['rendezvous_peak'][size]:.2f} | "
            f"{series['placement_time'][size]:.2f} | 0 | "
            f"{series['maglev_moved'][size]:.2f} | "
            f"{series['maglev_peak'][size]:.2f} | "
            f"{series['maglev_build_time'][size]:.0f} | 262 KB |")
    times = series["flow_table_time"]
    rows += ["", "Flow table: "
            f"{fit(list(series['flow_table_memory'].items()))[0]:.0f} B a flow, "
            f"{times[max(times)]:.2f} us a lookup at {max(times):,.0f} flows."]
    return "\n".join(rows)


def flow_table_text(results):
    for item in results["series"]:
        if item["name"] == "flow_table_memory":
            return megabytes(fit(item["points"])[0] * FLOWS)
    return "not measured"


def storm_table(storm):
    rows = ["| | first attempts answered in the storm, of capacity | retries among "
            "runs at the upstreams | back to normal after |", "|---|---|---|---|"]
    for name in ("ours", "naive"):
        item = storm[name]
        recovery = (f"{item['recovery_s']} s" if item["recovery_s"] < 15
                    else "not within 15 s")
        rows.append(f"| {name} | {item['goodput_of_capacity'] * 100:.1f} % | "
                   f"{item['retry_runs']} of {item['runs']} | {recovery} |")
    rows.append("| bound | 95 % at least | 10 % at most | 10 s |")
    return "\n".join(rows)


def render():
    results = json.loads(RESULTS.read_text())
    parts = tables(results)
    parts["PLACEMENT"] = placement_table(results)
    parts["FLOW_TABLE"] = flow_table_text(results)
    parts["STORM"] = storm_table(json.loads(STORM.read_text()))
    for template, page in PAGES.items():
        text = template.read_text()
        for name, table in parts.items():
            text = text.replace("{{" + name + "}}", table)
        page.write_text(text)


if __name__ == "__main__":
    if "--series" in sys.argv:
        measure_series_only()
    elif "--render" not in sys.argv:
        measure()
    render()
