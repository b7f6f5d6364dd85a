"""What a node costs: latency, processor time, memory, control traffic."""

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
MAX_CONTROL_CORE = 0.02
MAX_CONTROL_BYTES_S = 29_000
NODES_PER_SERVICE = 4
SETTLE_S = 5
QUIET_S = 10
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
    """The two-node path beside direct calls, in the same seconds."""
    deployment = dataclasses.replace(context.deployment("ch-mitte"),
                                     caller_latency_ms=0)
    result = context.result("latency")
    with context.fleet(deployment, "latency") as fleet:
        fleet.start()
        fleet.load_ranks()
        phases = [Phase("load", 15, {"ping": 200})]
        service = "duty-desk"
        others = [u.caller_address for u in fleet.upstreams
                  if u.service.name != service]
        own = [u.upstream_address for u in fleet.upstreams_of(service)]
        two_nodes = Load(fleet, context.seed, phases, NO_RETRY,
                         _ping(service), "caller-two-nodes")
        direct = Load(fleet, context.seed + 1, phases, NO_RETRY,
                      _ping(service), "caller-direct")
        two_nodes.start(others)
        direct.start(own)
        two_nodes.finish()
        direct.finish()
        for share in (0.5, 0.99):
            with_nodes = percentile(_latencies(two_nodes), share)
            without = percentile(_latencies(direct), share)
            name = f"p{round(share * 100)}"
            result.add(f"direct {name}", without, "ms")
            result.add(f"two nodes {name}", with_nodes, "ms")
            result.add(f"added at {name}", with_nodes - without, "ms",
                       ("<=", MAX_ADDED_MS))
        result.add("answers through two nodes", len(_latencies(two_nodes)))
        result.add("direct answers", len(_latencies(direct)))
    return result


def throughput(context):
    """Processor time a request of one node in front of its own upstream."""
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
        began = fleet.processes.cpu_s(name)
        idle = _idle_cpu_share(fleet, name)
        began = fleet.processes.cpu_s(name)
        started = time.monotonic()
        load.run(entrances=[entrance.caller_address])
        used = (fleet.processes.cpu_s(name) - began
                - idle * (time.monotonic() - started))
        whole = len(_latencies(load))
        result.add("requests sent", len(load.records))
        result.add("whole answers", whole)
        result.add("processor time of the entrance a request",
                   used / max(1, whole) * 1e6, "us")
        result.add("requests a second of one core, from that",
                   whole / used if used > 0 else None, "1/s")
    return result


def _idle_cpu_share(fleet, name):
    began = fleet.processes.cpu_s(name)
    time.sleep(SETTLE_S)
    return (fleet.processes.cpu_s(name) - began) / SETTLE_S


def memory(context):
    """Resident memory of idle and of busy nodes."""
    deployment = context.deployment("ch-mitte")
    result = context.result("memory")
    with context.fleet(deployment, "memory") as fleet:
        fleet.start()
        fleet.load_ranks()
        time.sleep(SETTLE_S)
        idle = fleet.nodes_rss_mb().values()
        load = Load(fleet, context.seed, [Phase("load", 15, {
            "browse": 200, "export": 40, "booking": 60, "swap": 20})])
        load.start()
        time.sleep(load.run_s - 1)
        busy = fleet.nodes_rss_mb().values()
        load.finish()
        result.add("idle node, most", max(idle), "MB", ("<=", MAX_IDLE_MB))
        result.add("busy node, most", max(busy), "MB", ("<=", MAX_IDLE_MB))
        result.add("all nodes, busy", sum(busy), "MB")
    return result


def _scaled(deployment, nodes):
    """The same zones with this many upstreams, in services of a few."""
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


def _control_sums(fleet):
    """Mean of the nodes' control counters by (metric, direction, kind)."""
    sums = {}
    for upstream in fleet.upstreams:
        for sample, value in http_json.metrics(
                upstream.local_address).items():
            found = CONTROL_SAMPLE.match(sample)
            if found:
                labels = dict(LABEL.findall(found["labels"]))
                key = (found["metric"], labels.get("direction", ""),
                       labels.get("kind", ""))
                sums[key] = sums.get(key, 0) + value / len(fleet.upstreams)
    return sums


def _add_control(result, before, after):
    """Adds rates of control messages and bytes, in all and by kind."""
    rates = {key: (value - before.get(key, 0)) / QUIET_S
             for key, value in after.items()}
    for metric, direction in sorted({key[:2] for key in rates}):
        total = sum(rate for key, rate in rates.items()
                    if key[:2] == (metric, direction))
        target = ("<=", MAX_CONTROL_BYTES_S) if metric == "bytes" else None
        result.add(f"control {metric} {direction}, a node", total, "1/s",
                   target)
    for (metric, direction, kind), rate in sorted(rates.items()):
        if metric == "bytes" and direction == "sent" and rate > 0:
            result.add(f"control bytes sent, {kind}", rate, "1/s")


def fleet_size(context):
    """Quiet nodes: control traffic, processor time, memory, spreading."""
    deployment = _scaled(context.deployment("ch-mitte"), context.nodes)
    result = context.result(f"fleet of {context.nodes}")
    with context.fleet(deployment, f"fleet{context.nodes}") as fleet:
        began = time.monotonic()
        fleet.start()
        result.add("time until every node reaches every service",
                   time.monotonic() - began, "s")
        fleet.load_ranks()
        time.sleep(SETTLE_S)
        control, cpu = _control_sums(fleet), fleet.nodes_cpu_s()
        calls = http_json.get(deployment.platform_address, "/v1/counters")
        time.sleep(QUIET_S)
        _add_control(result, control, _control_sums(fleet))
        used = [(after - cpu[name]) / QUIET_S
                for name, after in fleet.nodes_cpu_s().items()]
        result.add("processor, mean node", sum(used) / len(used), "cores",
                   ("<=", MAX_CONTROL_CORE))
        result.add("processor, busiest node", max(used), "cores",
                   ("<=", MAX_CONTROL_CORE))
        later = http_json.get(deployment.platform_address, "/v1/counters")
        for name in ("reads", "writes", "watches", "lease_calls"):
            result.add(f"platform {name}",
                       (later[name] - calls[name]) / QUIET_S, "1/s")
        rss = fleet.nodes_rss_mb().values()
        result.add("memory, largest node", max(rss), "MB",
                   ("<=", MAX_IDLE_MB))
        result.add("memory, all nodes", sum(rss), "MB",
                   ("<=", _machine_memory_mb() / 2))
        began = time.monotonic()
        code, output = fleet.command("alter rank browsing worth 21")
        result.add("time until a change is in force", time.monotonic() - began,
                   "s", ("<=", 2))
        result.add("exit code of the change", code)
        print(output.strip())
    return result


def slopes(context):
    """Prints the reducer's slopes, from the program that measures them."""
    result = context.result("slopes")
    programs = sorted(context.build.glob("**/membership_slopes"))
    if not programs:
        raise FileNotFoundError("membership_slopes is not built")
    output = subprocess.run([str(programs[0])], capture_output=True,
                            text=True, check=True, timeout=60).stdout
    print(output)
    result.add("lines of membership_slopes", len(output.splitlines()))
    return result
