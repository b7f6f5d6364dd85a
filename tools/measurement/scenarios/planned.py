"""Planned changes under load: draining, stopping, configuration."""

import json
import signal
import time

from measurement.context import Load, Phase, add_common, add_served
from measurement.results import format_value

SLOT_SCALE = 1 / 3
RATES = {"confirm": 30, "visit": 40, "lookup": 60, "map": 10}
MAX_LAST_REQUEST_S = 3
MAX_IN_FORCE_S = 2
LEAVING_UPSTREAM = "bookings-1"
STOPPED_NODE = "slots-2"
CHANGES = 10


def _last_report(fleet, name):
    """The report that an upstream prints as it exits; None if none."""
    log = fleet.out / "logs" / f"upstream-{name}.log"
    lines = [line for line in log.read_text().splitlines()
             if line.startswith("{")]
    return json.loads(lines[-1]) if lines else None


def drain(context):
    """An upstream and another upstream's node get SIGTERM under load."""
    deployment = context.deployment("bagmati", SLOT_SCALE)
    result = context.result("drain")
    with context.fleet(deployment, "drain") as fleet:
        fleet.start()
        fleet.load_ranks()
        load = Load(fleet, context.seed,
                    [Phase("before", 6, RATES), Phase("drain", 8, RATES),
                     Phase("after", 6, RATES)])
        sent_at = {}

        def stop(name):
            sent_at[name] = time.time()
            fleet.processes.signal(name, signal.SIGTERM)

        start = load.span("drain")[0]
        load.run([(start, lambda: stop(f"upstream-{LEAVING_UPSTREAM}")),
                  (start + 4, lambda: stop(f"node-{STOPPED_NODE}"))])
        ended = fleet.processes.ended()
        report = _last_report(fleet, LEAVING_UPSTREAM)
        last_s = None
        if report:
            last_s = max(0.0, report["last_arrival_unix_ms"] / 1000
                         - sent_at[f"upstream-{LEAVING_UPSTREAM}"])
        result.add("last new request after SIGTERM of the upstream", last_s,
                   "s", ("<=", MAX_LAST_REQUEST_S))
        result.add("exit code of the upstream",
                   ended.get(f"upstream-{LEAVING_UPSTREAM}"))
        result.add("exit code of the node",
                   ended.get(f"node-{STOPPED_NODE}"))
        add_served(result, load, "drain")
        add_common(result, load)
        result.add("tries interrupted in the run", load.interrupted(), "",
                   ("<=", 0))
        result.marks = [(start, "upstream SIGTERM"),
                        (start + 4, "node SIGTERM")]
    return result


def config(context):
    """Time until a change is in force on all nodes, as the tool waits."""
    deployment = context.deployment("ch-mitte")
    result = context.result("config")
    spans = []
    failed = 0
    with context.fleet(deployment, "config") as fleet:
        fleet.start()
        fleet.load_ranks()
        for number in range(CHANGES):
            node = fleet.upstreams[number % len(fleet.upstreams)]
            began = time.monotonic()
            code, output = fleet.command(
                f"alter rank browsing worth {20 + number}", node)
            spans.append(time.monotonic() - began)
            expected = f"in force on {len(fleet.upstreams)} of"
            if code != 0 or expected not in output:
                failed += 1
                print(f"change {number}: exit {code}, "
                      f"{format_value(spans[-1])} s: {output.strip()}")
    spans.sort()
    result.add("changes", CHANGES)
    result.add("changes not seen in force everywhere", failed, "", ("<=", 0))
    result.add("time until in force, median", spans[len(spans) // 2], "s")
    result.add("time until in force, longest", spans[-1], "s",
               ("<=", MAX_IN_FORCE_S))
    return result
