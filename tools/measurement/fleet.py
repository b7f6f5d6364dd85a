"""Runs a deployment: the platform, the upstreams and the nodes beside them."""

import json
import pathlib
import subprocess
import time

from measurement import deployment as deployments
from measurement import http_json
from measurement.processes import ProcessGroup

PLATFORM = "platform"
READY_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.1
CTL_TIMEOUT_S = 30
# Part of the error message of a node that has not read the configuration yet.
CONFIGURATION_UNKNOWN = "does not know the configuration yet"


class FleetError(Exception):
    """The deployment can't be started, or one of its programs failed."""


class Fleet:
    """Starts a deployment's processes; leaving the context stops them."""

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

    def program_path(self, name):
        """Returns the path of a program in the build folder."""
        return self.build / "apps" / name

    def start(self):
        """Starts all processes and waits until every node reaches every
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
        """Starts the stand-in for the platform."""
        self.processes.start(PLATFORM, [
            self.program_path("standin"), "platform", "--listen",
            self.deployment.platform_address, "--seed", self._seed])

    def start_node(self, upstream):
        """Starts the node beside an upstream."""
        settings = self.out / "settings" / f"{upstream.name}.ini"
        self.processes.start(f"node-{upstream.name}", [
            self.program_path("plantaintallyd"), "--settings", settings])

    def start_upstream(self, upstream, cold_start_ms=0):
        """Starts an upstream, which announces itself to its node."""
        service = upstream.service
        routes = self.out / "settings" / f"{service.name}.routes.json"
        self.processes.start(f"upstream-{upstream.name}", [
            self.program_path("standin"), "upstream",
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
        """Waits until a ping to every service succeeds through every node."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        unreachable = [(upstream, service) for upstream in self.upstreams
                       for service in self.deployment.services]
        while unreachable:
            unreachable = [pair for pair in unreachable
                           if not self._answers_ping(*pair)]
            exit_codes = self.processes.exit_codes()
            if exit_codes:
                raise FleetError("processes exited during the start, with "
                                 f"exit codes {exit_codes}")
            if time.monotonic() > deadline:
                names = sorted({f"{u.name}->{s.name}" for u, s in unreachable})
                raise FleetError("pings still fail (node->service): "
                                 + ", ".join(names[:8]))
            if unreachable:
                time.sleep(POLL_INTERVAL_S)

    @staticmethod
    def _answers_ping(upstream, service):
        try:
            status, _, _ = http_json.call(upstream.caller_address, "GET",
                                          "/ping", host=service.name)
            return status == 200
        except OSError:
            return False

    def run_command(self, text, node=None):
        """Runs an operator's command and returns (exit code, output). The
        default node is the first."""
        return self._run_ctl([text], node)

    def _run_ctl(self, arguments, node=None):
        address = (node or self.upstreams[0]).local_address
        completed = subprocess.run(
            [str(self.program_path("plantaintallyctl")), "--node", address]
            + arguments, capture_output=True, text=True, check=False,
            timeout=CTL_TIMEOUT_S)
        return completed.returncode, completed.stdout + completed.stderr

    def load_ranks(self):
        """Loads the operators' ranks and rules with the operator's tool.

        With the policies off, a node answers pings before it knows its
        configuration. It refuses the first statement until then, so the load
        is retried."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            code, output = self._run_ctl(
                ["--file", str(self.deployment.ranks_path)])
            if code == 0:
                return
            if (CONFIGURATION_UNKNOWN not in output
                    or time.monotonic() > deadline):
                raise FleetError(
                    f"can't load the ranks (exit code {code}): {output}")
            time.sleep(0.2)

    def set_faults(self, upstream, **faults):
        """Sets faults of the stand-in for an upstream."""
        http_json.post(upstream.upstream_address, "/standin/faults", faults)

    def set_platform_faults(self, **faults):
        """Sets faults of the stand-in for the platform."""
        http_json.post(self.deployment.platform_address, "/standin/faults",
                       faults)

    def upstreams_of(self, service_name):
        """Returns the upstreams of a service."""
        return [u for u in self.upstreams if u.service.name == service_name]

    def reports(self):
        """Returns the reports of all upstreams that answer, by name."""
        result = {}
        for upstream in self.upstreams:
            try:
                result[upstream.name] = http_json.get(
                    upstream.upstream_address, "/standin/report")
            except OSError:
                continue
        return result

    def count_effects(self):
        """Returns the number of effects by (service, key), from the effect
        logs."""
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
        """Starts a caller with this plan. By default its entrances are all
        nodes."""
        plan = dict(plan)
        plan["entrances"] = entrances or [u.caller_address
                                          for u in self.upstreams]
        path = self.out / f"{name}.plan.json"
        path.write_text(json.dumps(plan))
        return self.processes.start(name, [
            self.program_path("standin"), "caller", "--plan", path,
            "--report", self.out / f"{name}.json",
            "--records", self.out / f"{name}.jsonl"])

    def finish_caller(self, timeout_s, name="caller"):
        """Waits until the caller exits; returns its summary and records."""
        code = self.processes.wait(name, timeout_s)
        if code != 0:
            raise FleetError(f"{name} exited with code {code}")
        summary = json.loads((self.out / f"{name}.json").read_text())
        lines = (self.out / f"{name}.jsonl").read_text().splitlines()
        return summary, [json.loads(line) for line in lines]

    def nodes_rss_mb(self):
        """Returns the resident memory of each node in MB, by upstream name."""
        return {u.name: self.processes.rss_mb(f"node-{u.name}")
                for u in self.upstreams}

    def nodes_cpu_s(self):
        """Returns the CPU seconds used by each node, by upstream name."""
        return {u.name: self.processes.cpu_s(f"node-{u.name}")
                for u in self.upstreams}
