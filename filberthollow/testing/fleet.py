"""Runs a small fleet of real processes for tests, measurements and the demo.

    with Fleet(tree) as fleet:
        fleet.add_balancers(3)
        fleet.add_target("drawings", "riga-a", "d-1")
        fleet.wait_ready()
        result = fleet.call(service="drawings", requests=100)

Every process listens on ports that the kernel chooses and logs them in its
"listening" event. A process is only signalled through the Popen object that
started it, so that no other process on the host is affected. Programs are taken
from $FILBERTHOLLOW_BIN, by default build/release.
"""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("FILBERTHOLLOW_BIN", ROOT / "build/release"))
ANY_PORT = "127.0.0.1:0"
START_SECONDS = 20


def events_of(text, event):
    """Returns the log lines of one event in `text`, as dictionaries."""
    lines = [json.loads(line) for line in text.splitlines()
             if line.startswith("{") and line.endswith("}")]
    return [line for line in lines if line.get("event") == event]


def wait_until(condition, seconds, what):
    """Polls until `condition` returns a true value and returns that value.

    Raises TimeoutError, with `what` as the expected state, after `seconds`.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise TimeoutError(f"condition not met within {seconds} s: {what}")


def http(address, path, data=None, method=None, timeout=5):
    """Returns (status, text) of an HTTP call, also for error statuses."""
    body = data.encode() if isinstance(data, str) else data
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Process:
    """A started process of the fleet, whose output goes to a log file.

    `addresses` is its "listening" event: the address of each port by name. The
    constructor waits for that event.
    """

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = [str(a) for a in arguments]
        self.log_path = folder / f"{name}-{time.monotonic_ns()}.log"
        with open(self.log_path, "wb") as log:
            self.popen = subprocess.Popen(
                self.arguments, stderr=log, stdout=log)
        self.addresses = wait_until(
            self._listening, START_SECONDS,
            f"{name} logs its listening addresses")

    def _listening(self):
        if self.popen.poll() is not None:
            raise RuntimeError(
                f"{self.name} exited during start-up: {self.log()}")
        lines = events_of(self.log(), "listening")
        return lines[0] if lines else None

    def log(self):
        return self.log_path.read_text(errors="replace")

    def running(self):
        return self.popen.poll() is None

    def signal(self, number):
        if self.running():
            self.popen.send_signal(number)

    def stop(self, seconds=40):
        """Sends SIGTERM, waits for the exit and returns the exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(seconds)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait(10)

    def metric(self, name, **labels):
        """Returns the value of a metric, or 0.0 if the page does not list it.

        Only for processes that have an admin address.
        """
        _, text = http(self.addresses["admin"], "/metrics")
        label = ",".join(f'{k}="{v}"' for k, v in labels.items())
        wanted = f"filberthollow_{name}" + (f"{{{label}}}" if label else "")
        for line in text.splitlines():
            if line.startswith(wanted + " "):
                return float(line.rsplit(" ", 1)[1])
        return 0.0

    def healthy(self):
        return http(self.addresses["admin"], "/healthz")[0] == 200

    def status(self):
        return json.loads(http(self.addresses["admin"], "/status")[1])


class Target:
    """An upstream process and its agent process."""

    def __init__(self, service, data_centre, name, upstream, agent):
        self.service = service
        self.data_centre = data_centre
        self.name = name
        self.upstream = upstream
        self.agent = agent

    # Returns the upstream's log of the requests that it ran.
    def log(self):
        return json.loads(http(self.upstream.addresses["http"], "/log")[1])

    # Replaces the overrides of health, load and work time (upstream_task.h).
    def control(self, **values):
        http(self.upstream.addresses["http"], "/control", json.dumps(values))


class Fleet:
    """A platform, balancers and targets, all on this host.

    Log files are deleted at the end of the `with` block, unless it failed or
    `keep_logs` is set.
    """

    def __init__(self, tree, keep_logs=False):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="filberthollow-"))
        self.keep_logs = keep_logs
        self.processes = []
        self.balancers = []
        self.targets = []
        self.join_key = None
        self.peers = []
        self.platform = self._start(
            "platform", BIN / "filberthollow-standin", "--role", "platform")
        self.tree_path = self.folder / "tree.json"
        self.tree_path.write_text(json.dumps(tree))
        self.operator("init")
        self.operator("apply", str(self.tree_path))

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.close()
        if kind is not None or self.keep_logs:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder)

    def _start(self, name, *arguments):
        process = Process(name, arguments, self.folder)
        self.processes.append(process)
        return process

    def _write_settings(self, name, content):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        return path

    def operator(self, *arguments, check=True):
        """Runs the operator's command and returns the completed process.

        Raises RuntimeError on a non-zero exit code if `check` is set.
        """
        done = subprocess.run(
            [str(BIN / "filberthollow"),
             "--platform", self.platform.addresses["http"],
             "--author", "tests", *arguments],
            capture_output=True, text=True, timeout=60)
        if check and done.returncode != 0:
            raise RuntimeError(f"{arguments}: {done.stderr}{done.stdout}")
        return done

    def start_balancer(self, name, data_centre="riga-a"):
        content = {
            "name": name, "data_centre": data_centre,
            "caller_address": ANY_PORT, "relay_address": ANY_PORT,
            "control_address": ANY_PORT,
            "platform": self.platform.addresses["http"]}
        if self.join_key is not None:
            content["join_key"] = self.join_key
            content["peers"] = self.peers
        path = self._write_settings(name, content)
        return self._start(
            name, BIN / "filberthollow-balancer", "--settings", path)

    def add_balancers(self, count):
        for _ in range(count):
            name = f"b{len(self.balancers) + 1}"
            self.balancers.append(self.start_balancer(name))

    def restart_balancer(self, index, stop=True):
        """Stops a balancer and starts it again on the same caller address.

        Kills it instead of stopping it if `stop` is false. Returns when the new
        process is healthy.
        """
        old = self.balancers[index]
        if stop:
            old.stop()
        else:
            old.kill()
        path = self.folder / f"{old.name}.json"
        content = json.loads(path.read_text())
        content["caller_address"] = old.addresses["callers"]
        path.write_text(json.dumps(content))
        self.balancers[index] = self._start(
            old.name, BIN / "filberthollow-balancer", "--settings", path)
        wait_until(self.balancers[index].healthy, START_SECONDS,
                   f"{old.name} is healthy after its restart")

    def start_upstream(self, service, name, address=ANY_PORT, cold_ms=0):
        return self._start(
            f"up-{name}", BIN / "filberthollow-standin", "--role", "upstream",
            "--service", service, "--address", address, "--cold-ms", cold_ms)

    def start_agent(self, service, data_centre, name, upstream,
                    relay=ANY_PORT):
        path = self._write_settings(f"agent-{name}", {
            "name": name, "data_centre": data_centre, "service": service,
            "relay_address": relay, "control_address": ANY_PORT,
            "upstream": upstream.addresses["http"],
            "platform": self.platform.addresses["http"]})
        return self._start(
            f"agent-{name}", BIN / "filberthollow-agent", "--settings", path)

    def add_target(self, service, data_centre, name, cold_ms=0):
        upstream = self.start_upstream(service, name, cold_ms=cold_ms)
        agent = self.start_agent(service, data_centre, name, upstream)
        target = Target(service, data_centre, name, upstream, agent)
        self.targets.append(target)
        return target

    def start(self, balancers, **targets):
        """Starts a number of balancers, and of targets for each service.

        Waits until the balancers know all targets and returns the targets.
        """
        self.add_balancers(balancers)
        for service, count in targets.items():
            for index in range(count):
                self.add_target(service, "riga-a", f"{service}-{index}")
        self.wait_ready()
        return self.targets

    def candidates(self, balancer):
        """Returns the agent addresses that a balancer places flows on."""
        services = balancer.status().get("relay", {}).get("candidates", {})
        return {c["agent"] for listed in services.values() for c in listed}

    def wait_ready(self, seconds=20):
        """Waits until every balancer places flows on all targets."""
        wanted = {t.agent.addresses["relay"] for t in self.targets}
        for balancer in self.balancers:
            wait_until(lambda b=balancer: self.candidates(b) == wanted, seconds,
                       f"{balancer.name} knows every target")

    def caller_arguments(self, **options):
        """Returns the command line of a caller, by default of all balancers."""
        options.setdefault(
            "balancers",
            ",".join(b.addresses["callers"] for b in self.balancers))
        arguments = [str(BIN / "filberthollow-caller")]
        for name, value in options.items():
            arguments += ["--" + name.replace("_", "-")]
            arguments += [] if value is True else [str(value)]
        return arguments

    def start_call(self, **options):
        """Starts a caller in the background, for finish_call() to wait for."""
        outcomes = self.folder / f"outcomes-{time.monotonic_ns()}.json"
        popen = subprocess.Popen(
            self.caller_arguments(json=True, outcomes=outcomes, **options),
            stdout=subprocess.PIPE, text=True)
        return popen, outcomes

    # Waits for a caller and returns its result. "tagged" in the result lists
    # the outcome of each request.
    def finish_call(self, started, seconds=150):
        popen, outcomes = started
        output, _ = popen.communicate(timeout=seconds)
        result = json.loads(output)
        result["tagged"] = json.loads(outcomes.read_text())
        return result

    # Runs a caller and returns its result, as finish_call() does.
    def call(self, **options):
        return self.finish_call(self.start_call(**options))

    def faults(self, **values):
        """Replaces the faults of the platform's stand-in (platform_task.h)."""
        http(self.platform.addresses["http"], "/faults", json.dumps(values))

    # Kills all processes, also those stopped by SIGSTOP, and waits for them.
    def close(self):
        for process in reversed(self.processes):
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.popen.wait(10)


def find_violations(result, logs):
    """Compares the outcomes of a caller's requests with the upstreams' logs.

    Returns a list of messages, one for each request that ran more than once
    though it is not idempotent, that ran though its outcome is "not run", or
    that was answered without having run.
    """
    runs = {}
    for log in logs:
        for tag, count in log["runs"].items():
            runs[tag] = runs.get(tag, 0) + count
    violations = []
    for request in result["tagged"]:
        count = runs.get(request["tag"], 0)
        outcome = request["outcome"]
        if not request["idempotent"] and count > 1:
            violations.append(
                f"{request['tag']} is not idempotent and ran {count} times")
        if outcome == "not_run" and count > 0:
            violations.append(
                f"{request['tag']} ran though its outcome is \"not run\"")
        if outcome == "answered" and count == 0:
            violations.append(
                f"{request['tag']} was answered though no upstream ran it")
    return violations
