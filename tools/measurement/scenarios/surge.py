"""A demand surge with aggressive retries while a service deep in the call
chain is slow."""

from measurement.context import (
    Load, Phase, add_common_figures, add_served_shares)

# A third of the slots keeps the test machine from becoming the bottleneck.
SLOT_SCALE = 1 / 3
SLOW_FACTOR = 2
DEEP_SERVICE = "concert-desk"
DEEP_CLASSES = {"booking", "export"}
BROWSE_RATE = 80
MIN_CAPACITY_SHARE = 0.9
MIN_GAIN = 2
MAX_RECOVERY_S = 5


def phases(capacity, phase_seconds=(10, 15, 15)):
    """Returns the load phases. Demand on the deep service is 60 % of its
    capacity, then twice its reduced capacity while it is slow, then 60 %
    again."""
    normal = {"browse": BROWSE_RATE, "booking": 0.4 * capacity,
              "export": 0.2 * capacity}
    slow_capacity = capacity / SLOW_FACTOR
    surge = {"browse": BROWSE_RATE, "booking": 1.4 * slow_capacity,
             "export": 0.6 * slow_capacity}
    return [Phase("before", phase_seconds[0], normal),
            Phase("surge", phase_seconds[1], surge),
            Phase("after", phase_seconds[2], normal)]


def slow_down(fleet, factor):
    """Multiplies the service times of the deep service."""
    for upstream in fleet.upstreams_of(DEEP_SERVICE):
        fleet.set_faults(upstream, slow_factor=factor)


def run_load(fleet, seed, phase_seconds=(10, 15, 15)):
    """Runs the surge on a started fleet; returns the load and the capacity of
    the deep service."""
    capacity = fleet.deployment.service(DEEP_SERVICE).capacity("/seat")
    load = Load(fleet, seed, phases(capacity, phase_seconds))
    start, end = load.span("surge")
    load.run([(start, lambda: slow_down(fleet, SLOW_FACTOR)),
              (end, lambda: slow_down(fleet, 1))])
    return load, capacity


def add_figures(result, load, capacity):
    """Adds the figures of a surge to the result."""
    slow_capacity = capacity / SLOW_FACTOR
    deep_goodput = load.goodput("surge", DEEP_CLASSES)
    result.add("capacity of the deep service in the surge", slow_capacity,
               "1/s")
    result.add("goodput before", load.goodput("before"), "1/s")
    result.add("goodput in the surge", load.goodput("surge"), "1/s")
    result.add("goodput through the deep service in the surge", deep_goodput,
               "1/s")
    result.add("share of its capacity", deep_goodput / slow_capacity, "",
               (">=", MIN_CAPACITY_SHARE))
    result.add("goodput after", load.goodput("after"), "1/s")
    result.add("recovery time", load.recovery_s("before", "surge"), "s",
               ("<=", MAX_RECOVERY_S))
    add_served_shares(result, load, "surge")
    add_common_figures(result, load)
    result.marks = [(load.span("surge")[0], "surge"),
                    (load.span("surge")[1], "trigger ends")]


def surge(context):
    """Measures goodput, recovery and the served share of each class during
    the Sunday sign-ups."""
    deployment = context.deployment("ch-mitte", SLOT_SCALE)
    result = context.result("surge")
    with context.fleet(deployment, "surge") as fleet:
        fleet.start()
        fleet.load_ranks()
        load, capacity = run_load(fleet, context.seed)
        add_figures(result, load, capacity)
    return result
