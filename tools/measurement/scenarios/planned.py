"""Planned operations: draining an upstream, stopping a node, and changing the
configuration."""

import json
import signal
import time

from measurement.context import (
    Load, Phase, add_common_figures, add_served_shares)
from measurement.results import format_value

SLOT_SCALE = 1 / 3
RATES = {"confirm": 30, "visit": 40, "lookup": 60, "map": 10}
MAX_LAST_REQUEST_S = 3
MAX_IN_FORCE_S = 2
DRAINED_UPSTREAM = "bookings-1"
STOPPED_NODE = "slots-2"
CHANGE_COUNT = 10


def _last_report(fleet, name):
    """Returns the report that an upstream prints on exit, or None."""
    log = fleet.out / "logs" / f"upstream-{name}.log"
    lines = [line for line in log.read_text().splitlines()
             if line.startswith("{")]
    return json.loads(lines[-1]) if lines else None


def drain(context):
    """Sends SIGTERM to an upstream and to another upstream's node under
    load."""
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
        load.run([(start, lambda: stop(f"upstream-{DRAINED_UPSTREAM}")),
                  (start + 4, lambda: stop(f"node-{STOPPED_NODE}"))])
        exit_codes = fleet.processes.exit_codes()
        report = _last_report(fleet, DRAINED_UPSTREAM)
        last_request_s = None
        if report:
            last_request_s = max(
                0.0, report["last_arrival_unix_ms"] / 1000
                - sent_at[f"upstream-{DRAINED_UPSTREAM}"])
        result.add("last new request after SIGTERM of the upstream",
                   last_request_s, "s", ("<=", MAX_LAST_REQUEST_S))
        result.add("exit code of the upstream",
                   exit_codes.get(f"upstream-{DRAINED_UPSTREAM}"))
        result.add("exit code of the node",
                   exit_codes.get(f"node-{STOPPED_NODE}"))
        add_served_shares(result, load, "drain")
        add_common_figures(result, load)
        result.add("tries interrupted in the run", load.interrupted(), "",
                   ("<=", 0))
        result.marks = [(start, "upstream SIGTERM"),
                        (start + 4, "node SIGTERM")]
    return result


def config(context):
    """Measures the time until a change is in force on all nodes, for which the
    operator's tool waits."""
    deployment = context.deployment("ch-mitte")
    result = context.result("config")
    durations_s = []
    failed_count = 0
    with context.fleet(deployment, "config") as fleet:
        fleet.start()
        fleet.load_ranks()
        for number in range(CHANGE_COUNT):
            node = fleet.upstreams[number % len(fleet.upstreams)]
            started_at = time.monotonic()
            code, output = fleet.run_command(
                f"alter rank browsing worth {20 + number}", node)
            durations_s.append(time.monotonic() - started_at)
            expected = f"in force on {len(fleet.upstreams)} of"
            if code != 0 or expected not in output:
                failed_count += 1
                print(f"change {number}: exit {code}, "
                      f"{format_value(durations_s[-1])} s: {output.strip()}")
    durations_s.sort()
    result.add("changes", CHANGE_COUNT)
    result.add("changes not seen in force everywhere", failed_count, "",
               ("<=", 0))
    result.add("time until in force, median",
               durations_s[len(durations_s) // 2], "s")
    result.add("time until in force, longest", durations_s[-1], "s",
               ("<=", MAX_IN_FORCE_S))
    return result
