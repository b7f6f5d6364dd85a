"""The overhead of a node: latency, CPU time, memory and control traffic."""

import dataclasses
import re
import subprocess
import time

from measurement import http_json
from measurement.analysis import percentile
from measurement.context import Load, Phase

PING = {"name": "ping", "service": "", "method": "GET", "path": "/ping",
        "timeout_ms": 2000, "deadline_ms": 1500}
NO_RETRY = {"limit": 0}
MAX_ADDED_MS = 1
MAX_IDLE_MB = 128
MAX_IDLE_CORES = 0.02
MAX_CONTROL_BYTES_PER_S = 29_000
NODES_PER_SERVICE = 4
SETTLE_S = 5
IDLE_SAMPLE_S = 10
CONTROL_SAMPLE = re.compile(
    r"plantaintally_control_(?P<metric>messages|bytes)_total"
    r"\{(?P<labels>.*)\}")
LABEL = re.compile(r'(\w+)="([^"]*)"')


def _ping(service):
    return [dict(PING, service=service)]


def _latencies(load):
    return [r["end_ms"] - r["start_ms"] for r in load.records
            if r["end"] == "whole"]


def latency(context):
    """Compares the latency through two nodes with that of direct calls, under
    both loads at the same time."""
    deployment = dataclasses.replace(context.deployment("ch-mitte"),
                                     caller_latency_ms=0)
    result = context.result("latency")
    with context.fleet(deployment, "latency") as fleet:
        fleet.start()
        fleet.load_ranks()
        phases = [Phase("load", 15, {"ping": 200})]
        service = "duty-desk"
        other_nodes = [u.caller_address for u in fleet.upstreams
                       if u.service.name != service]
        direct_entrances = [u.upstream_address
                            for u in fleet.upstreams_of(service)]
        two_nodes = Load(fleet, context.seed, phases, NO_RETRY,
                         _ping(service), "caller-two-nodes")
        direct = Load(fleet, context.seed + 1, phases, NO_RETRY,
                      _ping(service), "caller-direct")
        two_nodes.start(other_nodes)
        direct.start(direct_entrances)
        two_nodes.finish()
        direct.finish()
        for fraction in (0.5, 0.99):
            two_nodes_ms = percentile(_latencies(two_nodes), fraction)
            direct_ms = percentile(_latencies(direct), fraction)
            name = f"p{round(fraction * 100)}"
            result.add(f"direct {name}", direct_ms, "ms")
            result.add(f"two nodes {name}", two_nodes_ms, "ms")
            result.add(f"added at {name}", two_nodes_ms - direct_ms, "ms",
                       ("<=", MAX_ADDED_MS))
        result.add("answers through two nodes", len(_latencies(two_nodes)))
        result.add("direct answers", len(_latencies(direct)))
    return result


def throughput(context):
    """Measures the CPU time per request of a node that forwards to its own
    upstream, less the CPU time of the idle node."""
    deployment = dataclasses.replace(context.deployment("ch-mitte"),
                                     caller_latency_ms=0)
    result = context.result("throughput")
    with context.fleet(deployment, "throughput") as fleet:
        fleet.start()
        fleet.load_ranks()
        entrance = fleet.upstreams_of("duty-desk")[0]
        name = f"node-{entrance.name}"
        load = Load(fleet, context.seed, [Phase("load", 15, {"ping": 1500})],
                    NO_RETRY, _ping("duty-desk"))
        cpu_before_s = fleet.processes.cpu_s(name)
        idle_cores = _idle_cores(fleet, name)
        cpu_before_s = fleet.processes.cpu_s(name)
        started = time.monotonic()
        load.run(entrances=[entrance.caller_address])
        cpu_s = (fleet.processes.cpu_s(name) - cpu_before_s
                 - idle_cores * (time.monotonic() - started))
        complete_count = len(_latencies(load))
        result.add("requests sent", len(load.records))
        result.add("whole answers", complete_count)
        result.add("processor time of the entrance a request",
                   cpu_s / max(1, complete_count) * 1e6, "us")
        result.add("requests a second of one core, from that",
                   complete_count / cpu_s if cpu_s > 0 else None, "1/s")
    return result


def _idle_cores(fleet, name):
    """Measures the CPU usage of an idle node, in cores."""
    cpu_before_s = fleet.processes.cpu_s(name)
    time.sleep(SETTLE_S)
    return (fleet.processes.cpu_s(name) - cpu_before_s) / SETTLE_S


def memory(context):
    """Measures the resident memory of idle nodes and of nodes under load."""
    deployment = context.deployment("ch-mitte")
    result = context.result("memory")
    with context.fleet(deployment, "memory") as fleet:
        fleet.start()
        fleet.load_ranks()
        time.sleep(SETTLE_S)
        idle_mb = fleet.nodes_rss_mb().values()
        load = Load(fleet, context.seed, [Phase("load", 15, {
            "browse": 200, "export": 40, "booking": 60, "swap": 20})])
        load.start()
        time.sleep(load.run_s - 1)
        busy_mb = fleet.nodes_rss_mb().values()
        load.finish()
        result.add("idle node, most", max(idle_mb), "MB", ("<=", MAX_IDLE_MB))
        result.add("busy node, most", max(busy_mb), "MB", ("<=", MAX_IDLE_MB))
        result.add("all nodes, busy", sum(busy_mb), "MB")
    return result


def _scaled_deployment(deployment, nodes):
    """Returns a deployment in the same zones with this many upstreams, up to
    NODES_PER_SERVICE for each service."""
    template = deployment.services[0]
    services = []
    while nodes > 0:
        count = min(NODES_PER_SERVICE, nodes)
        services.append(dataclasses.replace(
            template, name=f"service-{len(services) + 1}", upstreams=count,
            routes=[r for r in template.routes if r["path"] == "/ping"]))
        nodes -= count
    return dataclasses.replace(deployment, services=services)


def _machine_memory_mb():
    with open("/proc/meminfo", encoding="ascii") as file:
        return int(file.readline().split()[1]) / 1024


def _mean_control_counters(fleet):
    """Averages the control counters over the nodes, by (metric, direction,
    kind)."""
    means = {}
    for upstream in fleet.upstreams:
        for sample, value in http_json.get_metrics(
                upstream.local_address).items():
            match = CONTROL_SAMPLE.match(sample)
            if match:
                labels = dict(LABEL.findall(match["labels"]))
                key = (match["metric"], labels.get("direction", ""),
                       labels.get("kind", ""))
                means[key] = means.get(key, 0) + value / len(fleet.upstreams)
    return means


def _add_control_rates(result, before, after):
    """Adds the rates of control messages and bytes: total, and the bytes sent
    by kind."""
    rates = {key: (value - before.get(key, 0)) / IDLE_SAMPLE_S
             for key, value in after.items()}
    for metric, direction in sorted({key[:2] for key in rates}):
        total = sum(rate for key, rate in rates.items()
                    if key[:2] == (metric, direction))
        target = ("<=", MAX_CONTROL_BYTES_PER_S) if metric == "bytes" else None
        result.add(f"control {metric} {direction}, a node", total, "1/s",
                   target)
    for (metric, direction, kind), rate in sorted(rates.items()):
        if metric == "bytes" and direction == "sent" and rate > 0:
            result.add(f"control bytes sent, {kind}", rate, "1/s")


def fleet_size(context):
    """Measures an idle fleet: control traffic, CPU usage, memory, and the time
    until a configuration change is in force."""
    deployment = _scaled_deployment(context.deployment("ch-mitte"),
                                    context.nodes)
    result = context.result(f"fleet of {context.nodes}")
    with context.fleet(deployment, f"fleet{context.nodes}") as fleet:
        started_at = time.monotonic()
        fleet.start()
        result.add("time until every node reaches every service",
                   time.monotonic() - started_at, "s")
        fleet.load_ranks()
        time.sleep(SETTLE_S)
        control_before, cpu_before = (_mean_control_counters(fleet),
                                      fleet.nodes_cpu_s())
        calls_before = http_json.get(deployment.platform_address,
                                     "/v1/counters")
        time.sleep(IDLE_SAMPLE_S)
        _add_control_rates(result, control_before,
                           _mean_control_counters(fleet))
        cores = [(after - cpu_before[name]) / IDLE_SAMPLE_S
                 for name, after in fleet.nodes_cpu_s().items()]
        result.add("processor, mean node", sum(cores) / len(cores), "cores",
                   ("<=", MAX_IDLE_CORES))
        result.add("processor, busiest node", max(cores), "cores",
                   ("<=", MAX_IDLE_CORES))
        calls_after = http_json.get(deployment.platform_address,
                                    "/v1/counters")
        for name in ("reads", "writes", "watches", "lease_calls"):
            result.add(f"platform {name}",
                       (calls_after[name] - calls_before[name])
                       / IDLE_SAMPLE_S, "1/s")
        rss_mb = fleet.nodes_rss_mb().values()
        result.add("memory, largest node", max(rss_mb), "MB",
                   ("<=", MAX_IDLE_MB))
        result.add("memory, all nodes", sum(rss_mb), "MB",
                   ("<=", _machine_memory_mb() / 2))
        started_at = time.monotonic()
        code, output = fleet.run_command("alter rank browsing worth 21")
        result.add("time until a change is in force",
                   time.monotonic() - started_at, "s", ("<=", 2))
        result.add("exit code of the change", code)
        print(output.strip())
    return result


def slopes(context):
    """Runs membership_slopes, which measures the costs of membership and
    configuration at a node, and prints its output."""
    result = context.result("slopes")
    programs = sorted(context.build.glob("**/membership_slopes"))
    if not programs:
        raise FileNotFoundError("membership_slopes is not built")
    output = subprocess.run([str(programs[0])], capture_output=True,
                            text=True, check=True, timeout=60).stdout
    print(output)
    result.add("lines of membership_slopes", len(output.splitlines()))
    return result
