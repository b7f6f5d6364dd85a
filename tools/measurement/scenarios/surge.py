"""A deep slow service, a surge of demand, and hard retries."""

from measurement.context import Load, Phase, add_common, add_served

# concert-desk keeps a third of its slots, so that the machine is not the
# bottleneck.
SLOT_SCALE = 1 / 3
SLOW_FACTOR = 2
DEEP_SERVICE = "concert-desk"
DEEP_CLASSES = {"booking", "export"}
BROWSE_RATE = 80
MIN_GOODPUT_SHARE = 0.9
MIN_GAIN = 2
MAX_RECOVERY_S = 5


def phases(capacity, seconds=(10, 15, 15)):
    """Demand on the deep service: 60 % of its capacity, then twice the
    capacity that is left to it while it is slow, then 60 % again."""
    normal = {"browse": BROWSE_RATE, "booking": 0.4 * capacity,
              "export": 0.2 * capacity}
    slow_capacity = capacity / SLOW_FACTOR
    surge = {"browse": BROWSE_RATE, "booking": 1.4 * slow_capacity,
             "export": 0.6 * slow_capacity}
    return [Phase("before", seconds[0], normal),
            Phase("surge", seconds[1], surge),
            Phase("after", seconds[2], normal)]


def slow_down(fleet, factor):
    """Multiplies the service times of the deep service."""
    for upstream in fleet.upstreams_of(DEEP_SERVICE):
        fleet.fault(upstream, slow_factor=factor)


def run_load(fleet, seed, scale_s=(10, 15, 15)):
    """Runs the surge on a fleet that is ready."""
    capacity = fleet.deployment.service(DEEP_SERVICE).capacity("/seat")
    load = Load(fleet, seed, phases(capacity, scale_s))
    start, end = load.span("surge")
    load.run([(start, lambda: slow_down(fleet, SLOW_FACTOR)),
              (end, lambda: slow_down(fleet, 1))])
    return load, capacity


def fill(result, load, capacity):
    """Adds the figures of a surge."""
    slow_capacity = capacity / SLOW_FACTOR
    deep = load.goodput("surge", DEEP_CLASSES)
    result.add("capacity of the deep service in the surge", slow_capacity,
               "1/s")
    result.add("goodput before", load.goodput("before"), "1/s")
    result.add("goodput in the surge", load.goodput("surge"), "1/s")
    result.add("goodput through the deep service in the surge", deep, "1/s")
    result.add("share of its capacity", deep / slow_capacity, "",
               (">=", MIN_GOODPUT_SHARE))
    result.add("goodput after", load.goodput("after"), "1/s")
    result.add("recovery time", load.recovery_s("before", "surge"), "s",
               ("<=", MAX_RECOVERY_S))
    add_served(result, load, "surge")
    add_common(result, load)
    result.marks = [(load.span("surge")[0], "surge"),
                    (load.span("surge")[1], "trigger ends")]


def surge(context):
    """Goodput, recovery and service by rank in the Sunday sign-ups."""
    deployment = context.deployment("ch-mitte", SLOT_SCALE)
    result = context.result("surge")
    with context.fleet(deployment, "surge") as fleet:
        fleet.start()
        fleet.load_ranks()
        load, capacity = run_load(fleet, context.seed)
        fill(result, load, capacity)
    return result
