"""A running deployment: platform, upstreams and the nodes beside them."""

import json
import pathlib
import subprocess
import time

from measurement import deployment as deployments
from measurement import http_json
from measurement.processes import ProcessGroup

PLATFORM = "platform"
READY_TIMEOUT_S = 30
POLL_S = 0.1
CTL_TIMEOUT_S = 30
NOT_READY = "does not know the configuration yet"


class FleetError(Exception):
    """The deployment can't be started or does not answer."""


class Fleet:
    """Starts a deployment's processes; leaving the context ends them."""

    def __init__(self, deployment, build, out, seed=1, overrides=None):
        self.deployment = deployment
        self.out = pathlib.Path(out)
        self.out.mkdir(parents=True, exist_ok=True)
        self.build = pathlib.Path(build)
        self.processes = ProcessGroup(self.out / "logs")
        self.upstreams = deployment.upstreams()
        self._seed = seed
        self._overrides = overrides

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.processes.stop_all()

    def program(self, name):
        """The path of a program of this repository."""
        return self.build / "apps" / name

    def start(self):
        """Starts everything and waits until every node reaches every
        service."""
        self.start_platform()
        deployments.write_files(self.deployment, self.out / "settings",
                                self._overrides)
        for upstream in self.upstreams:
            self.start_node(upstream)
        for upstream in self.upstreams:
            self.start_upstream(upstream)
        self.wait_ready()

    def start_platform(self):
        """Starts the platform's stand-in."""
        self.processes.start(PLATFORM, [
            self.program("standin"), "platform", "--listen",
            self.deployment.platform_address, "--seed", self._seed])

    def start_node(self, upstream):
        """Starts the node beside an upstream."""
        settings = self.out / "settings" / f"{upstream.name}.ini"
        self.processes.start(f"node-{upstream.name}", [
            self.program("plantaintallyd"), "--settings", settings])

    def start_upstream(self, upstream, cold_start_ms=0):
        """Starts an upstream, which announces itself to its node."""
        service = upstream.service
        routes = self.out / "settings" / f"{service.name}.routes.json"
        self.processes.start(f"upstream-{upstream.name}", [
            self.program("standin"), "upstream",
            "--listen", upstream.upstream_address,
            "--service", service.name, "--name", upstream.name,
            "--node", upstream.local_address, "--routes", routes,
            "--slots", service.slots, "--connections", service.connections,
            "--backlog", service.slots * deployments.BACKLOG_PER_SLOT,
            "--cold_start_ms", cold_start_ms,
            "--contention", deployments.CONTENTION,
            "--seed", self._seed + upstream.first_port,
            "--effects_log", self.out / f"{upstream.name}.effects"])

    def wait_ready(self):
        """Waits until every node answers a ping of every service."""
        end = time.monotonic() + READY_TIMEOUT_S
        waiting = [(upstream, service) for upstream in self.upstreams
                   for service in self.deployment.services]
        while waiting:
            waiting = [pair for pair in waiting if not self._answers(*pair)]
            ended = self.processes.ended()
            if ended:
                raise FleetError(f"ended at the start: {ended}")
            if time.monotonic() > end:
                names = sorted({f"{u.name}->{s.name}" for u, s in waiting})
                raise FleetError("no answer from " + ", ".join(names[:8]))
            if waiting:
                time.sleep(POLL_S)

    @staticmethod
    def _answers(upstream, service):
        try:
            status, _, _ = http_json.call(upstream.caller_address, "GET",
                                          "/ping", host=service.name)
            return status == 200
        except OSError:
            return False

    def command(self, text, node=None):
        """Runs an operator's command; (exit code, output)."""
        return self._run_ctl([text], node)

    def _run_ctl(self, arguments, node=None):
        address = (node or self.upstreams[0]).local_address
        done = subprocess.run(
            [str(self.program("plantaintallyctl")), "--node", address]
            + arguments, capture_output=True, text=True, check=False,
            timeout=CTL_TIMEOUT_S)
        return done.returncode, done.stdout + done.stderr

    def load_ranks(self):
        """Issues the operators' ranks and rules with the tool.

        With the policies off, pings are answered before the node knows its
        configuration; until then it refuses the first statement."""
        end = time.monotonic() + READY_TIMEOUT_S
        while True:
            code, output = self._run_ctl(
                ["--file", str(self.deployment.ranks_path)])
            if code == 0:
                return
            if NOT_READY not in output or time.monotonic() > end:
                raise FleetError(f"ranks refused ({code}): {output}")
            time.sleep(0.2)

    def fault(self, upstream, **faults):
        """Switches faults of an upstream's stand-in."""
        http_json.post(upstream.upstream_address, "/standin/faults", faults)

    def platform_fault(self, **faults):
        """Switches faults of the platform's stand-in."""
        http_json.post(self.deployment.platform_address, "/standin/faults",
                       faults)

    def upstreams_of(self, service_name):
        """The upstreams of a service."""
        return [u for u in self.upstreams if u.service.name == service_name]

    def reports(self):
        """The reports of all upstreams that answer, by name."""
        result = {}
        for upstream in self.upstreams:
            try:
                result[upstream.name] = http_json.get(
                    upstream.upstream_address, "/standin/report")
            except OSError:
                continue
        return result

    def effects(self):
        """Number of effects by (service, key), from the effect logs."""
        counts = {}
        for upstream in self.upstreams:
            path = self.out / f"{upstream.name}.effects"
            if not path.exists():
                continue
            for line in path.read_text().splitlines():
                key = (upstream.service.name, line.split()[0])
                counts[key] = counts.get(key, 0) + 1
        return counts

    def start_caller(self, plan, entrances=None, name="caller"):
        """Starts a caller with this plan; by default through every node."""
        plan = dict(plan)
        plan["entrances"] = entrances or [u.caller_address
                                          for u in self.upstreams]
        path = self.out / f"{name}.plan.json"
        path.write_text(json.dumps(plan))
        return self.processes.start(name, [
            self.program("standin"), "caller", "--plan", path,
            "--report", self.out / f"{name}.json",
            "--records", self.out / f"{name}.jsonl"])

    def finish_caller(self, timeout_s, name="caller"):
        """Waits for the caller; its summary and its records."""
        code = self.processes.wait(name, timeout_s)
        if code != 0:
            raise FleetError(f"{name} ended with {code}")
        summary = json.loads((self.out / f"{name}.json").read_text())
        lines = (self.out / f"{name}.jsonl").read_text().splitlines()
        return summary, [json.loads(line) for line in lines]

    def nodes_rss_mb(self):
        """Resident memory of each node in MB, by name."""
        return {u.name: self.processes.rss_mb(f"node-{u.name}")
                for u in self.upstreams}

    def nodes_cpu_s(self):
        """Processor seconds of each node, by name."""
        return {u.name: self.processes.cpu_s(f"node-{u.name}")
                for u in self.upstreams}
