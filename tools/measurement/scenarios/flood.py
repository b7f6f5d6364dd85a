"""Floods of requests of the least or the most urgent rank, at ten times the
capacity."""

from measurement.context import (
    Load, Phase, add_common_figures, add_served_shares)

SLOT_SCALE = 1 / 6
FLOOD_FACTOR = 10
# A single retry keeps the load within what the test machine can generate.
RETRY = {"limit": 1, "backoff_ms": 100}
MIN_URGENT_SERVED = 0.99
SHARED_SERVICE = "cases"


def _phases(capacity, flooded_class):
    normal = {"confirm": 0.3 * capacity, "map": 0.2 * capacity,
              "visit": 0.2 * capacity, "lookup": 30}
    flood = dict(normal)
    flood[flooded_class] = FLOOD_FACTOR * capacity
    return [Phase("before", 8, normal), Phase("flood", 12, flood),
            Phase("after", 10, normal)]


def _run(context, name, flooded_class, targets):
    deployment = context.deployment("bagmati", SLOT_SCALE)
    result = context.result(name)
    with context.fleet(deployment, name) as fleet:
        fleet.start()
        fleet.load_ranks()
        capacity = deployment.service(SHARED_SERVICE).capacity("/case")
        load = Load(fleet, context.seed, _phases(capacity, flooded_class),
                    RETRY)
        load.run()
        result.add("capacity of the shared service", capacity, "1/s")
        shared = {"confirm", "map"}
        result.add("goodput through it in the flood",
                   load.goodput("flood", shared), "1/s")
        add_served_shares(result, load, "before")
        add_served_shares(result, load, "flood", targets)
        for class_name in ("confirm", "visit", "lookup", "map"):
            result.add(f"goodput {class_name}, before",
                       load.goodput("before", {class_name}), "1/s")
            result.add(f"goodput {class_name}, flood",
                       load.goodput("flood", {class_name}), "1/s")
        result.add("recovery time", load.recovery_s("before", "flood"), "s",
                   ("<=", 5))
        add_common_figures(result, load)
        result.marks = [(load.span("flood")[0], f"flood of {flooded_class}"),
                        (load.span("flood")[1], "flood ends")]
    return result


def flood_low(context):
    """Floods the service that confirmations need with map downloads."""
    return _run(context, "flood-low", "map",
                {"confirm": (">=", MIN_URGENT_SERVED)})


def flood_high(context):
    """Floods with confirmations; measures what is left for the other ranks."""
    return _run(context, "flood-high", "confirm", {})
