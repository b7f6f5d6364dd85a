"""CONFIG: a node that is started while its worker is gone stays on an old
configuration for good.

64 machines, four services of 16 workers. Two workers of `press` and two of
`board` crash for good; the processes beside them are stopped and started. Two
versions of
the configuration follow, each of which moves a route. The clients on these
machines still send requests, and later than configApplyMs after the second
version was acknowledged none may be run as only the first allows.
"""

import os
import signal
import sys
import threading
import time

from platform_standin import (GROWN_BOUNDS, ask, make_config, run_case,
                              wait_until)

MACHINES = 64
# Two of 16 workers of a service: a share of 0.125.
CRASHED = 2
SERVICES = ("board", "desk", "press", "hall")
APPLY_S = GROWN_BOUNDS["configApplyMs"] / 1000
STABLE_WINDOW_S = GROWN_BOUNDS["stableWindowMs"] / 1000
# Seconds after the acknowledgement of the second version.
ASKED_AT = (APPLY_S + 0.5, APPLY_S + 4.0, APPLY_S + 8.0)


def work(target):
    return 0.01, 100


def play(record, deployment, has_trouble):
    machines = [deployment.add(f"m{index}",
                               SERVICES[index % len(SERVICES)], work,
                               GROWN_BOUNDS)
                for index in range(MACHINES)]

    def configure(version, service):
        deployment.store.put_operator("op/config", make_config(version, [
            ("/moves/", "safe", service, 2000, 2),
            ("/ready/", "safe", "desk", 2000, 2)]))

    configure(3, "board")
    for node, _ in machines:
        node.start()
    time.sleep(1.0)
    for node, worker in machines:
        worker.start_beats(node.control)
        time.sleep(0.02)
    wait_until(lambda: all(node.is_ready() for node, _ in machines), 30.0,
               "nodes ready")
    time.sleep(6.0)
    chosen = [pair for name in ("press", "board") for pair in
              [each for each in machines if each[1].service == name][:CRASHED]]
    if has_trouble:
        for node, worker in chosen:
            record(f"worker {worker.service} {worker.instance}: crashes for "
                   "good")
            worker.stop_beats()
            worker.stop()
        for first in range(0, len(chosen), 2):
            pair = chosen[first:first + 2]
            for node, _ in pair:
                node.signal(signal.SIGTERM)
            for node, _ in pair:
                node.process.wait(GROWN_BOUNDS["graceS"] + 1)
                node.start()
        wait_until(lambda: all(node.is_ready() for node, _ in chosen), 10.0,
                   "nodes ready again")
    time.sleep(STABLE_WINDOW_S + 2.0)
    configure(5, "hall")
    time.sleep(APPLY_S + 2.0)
    configure(9, "desk")
    acknowledged_at = time.monotonic()
    faults = []
    served = [0]
    lock = threading.Lock()

    def check(node):
        sent = time.monotonic() - acknowledged_at
        request, _ = ask(record, node.outbound, "GET", "/moves/x", 2000)
        ran_at = {worker.service for _, worker in machines
                  if worker.runs_of(request)}
        with lock:
            served[0] += "desk" in ran_at
            for service in ran_at - {"desk"}:
                faults.append(
                    f"CONFIG: id={request}, sent at {node.name} {sent:.2f} s "
                    f"after version 9 was acknowledged, was run by {service}, "
                    "as only version 5 allows; configApplyMs "
                    f"{GROWN_BOUNDS['configApplyMs']}")

    for at in ASKED_AT:
        time.sleep(max(0.0, acknowledged_at + at - time.monotonic()))
        checks = [threading.Thread(target=check, args=(node,))
                  for node, _ in machines]
        for each in checks:
            each.start()
        for each in checks:
            each.join()
    if served[0] == 0:
        raise RuntimeError("no request was served")
    return faults


if __name__ == "__main__":
    sys.exit(run_case(play, os.path.dirname(os.path.abspath(__file__))))
