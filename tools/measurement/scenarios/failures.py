"""Crashes, pauses and outages of the store under load with repeats."""

import signal

from measurement.context import Load, Phase, add_common, add_served

SLOT_SCALE = 1 / 3
RATES = {"confirm": 40, "visit": 40, "lookup": 40, "map": 10}
# Shorter than many answers take: the caller gives up and repeats the key
# through another node while the first request may still run.
IMPATIENT_MS = 350
RETRY = {"limit": 4, "backoff_ms": 30}
VICTIM = "bookings-1"


def _impatient(classes):
    return [dict(kind, timeout_ms=IMPATIENT_MS) if kind.get("keyed") else kind
            for kind in classes]


def _kill(fleet, upstream):
    fleet.processes.signal(f"node-{upstream.name}", signal.SIGKILL)
    fleet.processes.signal(f"upstream-{upstream.name}", signal.SIGKILL)


def _restart(fleet, upstream):
    fleet.start_node(upstream)
    fleet.start_upstream(upstream)


def _run(context, name, seconds, make_actions):
    """Steady load in the phases before, fault and after; `make_actions`
    takes (fleet, victim, fault span) and gives the timed actions."""
    deployment = context.deployment("bagmati", SLOT_SCALE)
    result = context.result(name)
    with context.fleet(deployment, name) as fleet:
        fleet.start()
        fleet.load_ranks()
        phases = [Phase("before", seconds[0], RATES),
                  Phase("fault", seconds[1], RATES),
                  Phase("after", seconds[2], RATES)]
        load = Load(fleet, context.seed, phases, RETRY,
                    _impatient(deployment.classes))
        victim = next(u for u in fleet.upstreams if u.name == VICTIM)
        span = load.span("fault")
        load.run(make_actions(fleet, victim, span))
        add_served(result, load, "before")
        add_served(result, load, "fault")
        add_served(result, load, "after")
        result.add("recovery time", load.recovery_s("before", "fault"), "s",
                   ("<=", 5))
        add_common(result, load)
        result.marks = [(span[0], name), (span[1], "fault ends")]
    return result


def crash(context):
    """A node and its upstream are killed, and start again later."""
    def actions(fleet, victim, span):
        return [(span[0], lambda: _kill(fleet, victim)),
                (span[1], lambda: _restart(fleet, victim))]
    return _run(context, "crash", (8, 8, 12), actions)


def store_outage(context):
    """The store is down, and a node and its upstream crash meanwhile."""
    def actions(fleet, victim, span):
        return [(span[0], lambda: fleet.platform_fault(down=True)),
                (span[0] + 4, lambda: _kill(fleet, victim)),
                (span[0] + 8, lambda: _restart(fleet, victim)),
                (span[1], lambda: fleet.platform_fault(down=False))]
    return _run(context, "store-outage", (6, 16, 14), actions)


def pause(context):
    """A node is stopped for a while and then goes on."""
    def actions(fleet, victim, span):
        node = f"node-{victim.name}"
        return [(span[0], lambda: fleet.processes.signal(node,
                                                         signal.SIGSTOP)),
                (span[1], lambda: fleet.processes.signal(node,
                                                         signal.SIGCONT))]
    return _run(context, "pause", (8, 10, 12), actions)
