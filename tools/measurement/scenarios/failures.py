"""Crashes, pauses and store outages under load with retries."""

import signal

from measurement.context import (
    Load, Phase, add_common_figures, add_served_shares)

SLOT_SCALE = 1 / 3
RATES = {"confirm": 40, "visit": 40, "lookup": 40, "map": 10}
# Shorter than the latency of many answers, so that the caller abandons a
# request and retries its key through another node while the first request may
# still run.
SHORT_TIMEOUT_MS = 350
RETRY = {"limit": 4, "backoff_ms": 30}
VICTIM = "bookings-1"


def _with_short_timeout(classes):
    """Returns the classes, with SHORT_TIMEOUT_MS for keyed requests."""
    return [dict(request_class, timeout_ms=SHORT_TIMEOUT_MS)
            if request_class.get("keyed") else request_class
            for request_class in classes]


def _kill(fleet, upstream):
    fleet.processes.signal(f"node-{upstream.name}", signal.SIGKILL)
    fleet.processes.signal(f"upstream-{upstream.name}", signal.SIGKILL)


def _restart(fleet, upstream):
    fleet.start_node(upstream)
    fleet.start_upstream(upstream)


def _run(context, name, seconds, make_actions):
    """Runs a steady load in three phases: before, fault and after.

    `make_actions` takes the fleet, the upstream that fails and the span of the
    fault phase, and returns the timed actions."""
    deployment = context.deployment("bagmati", SLOT_SCALE)
    result = context.result(name)
    with context.fleet(deployment, name) as fleet:
        fleet.start()
        fleet.load_ranks()
        phases = [Phase("before", seconds[0], RATES),
                  Phase("fault", seconds[1], RATES),
                  Phase("after", seconds[2], RATES)]
        load = Load(fleet, context.seed, phases, RETRY,
                    _with_short_timeout(deployment.classes))
        victim = next(u for u in fleet.upstreams if u.name == VICTIM)
        span = load.span("fault")
        load.run(make_actions(fleet, victim, span))
        add_served_shares(result, load, "before")
        add_served_shares(result, load, "fault")
        add_served_shares(result, load, "after")
        result.add("recovery time", load.recovery_s("before", "fault"), "s",
                   ("<=", 5))
        add_common_figures(result, load)
        result.marks = [(span[0], name), (span[1], "fault ends")]
    return result


def crash(context):
    """Kills a node and its upstream, and restarts them later."""
    def actions(fleet, victim, span):
        return [(span[0], lambda: _kill(fleet, victim)),
                (span[1], lambda: _restart(fleet, victim))]
    return _run(context, "crash", (8, 8, 12), actions)


def store_outage(context):
    """Takes the store down, and kills and restarts a node and its upstream
    during the outage."""
    def actions(fleet, victim, span):
        return [(span[0], lambda: fleet.set_platform_faults(down=True)),
                (span[0] + 4, lambda: _kill(fleet, victim)),
                (span[0] + 8, lambda: _restart(fleet, victim)),
                (span[1], lambda: fleet.set_platform_faults(down=False))]
    return _run(context, "store-outage", (6, 16, 14), actions)


def pause(context):
    """Pauses a node with SIGSTOP and resumes it later."""
    def actions(fleet, victim, span):
        node = f"node-{victim.name}"
        return [(span[0], lambda: fleet.processes.signal(node,
                                                         signal.SIGSTOP)),
                (span[1], lambda: fleet.processes.signal(node,
                                                         signal.SIGCONT))]
    return _run(context, "pause", (8, 10, 12), actions)
