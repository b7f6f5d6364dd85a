"""LOST: a planned stop cuts requests long before the grace time is over.

Two machines: `entry`, which takes the clients' requests, and `desk`, beside
whose node the worker runs. graceS is 10. `entry` gets SIGTERM; requests that
it accepts before the platform has taken it out (two readiness questions without
a 200), and that their worker answers 4.2 s later, have to be answered.
"""

import os
import signal
import sys
import threading
import time

from platform_standin import (LARGE_BOUNDS, ask, await_service, make_config,
                              run_case)

GRACE_S = LARGE_BOUNDS["graceS"]
DEADLINE_MS = 5000
# SIGTERM comes this long after a readiness question, so that the second one that
# is missed comes 1.95 s after SIGTERM; the requests are sent before that.
AFTER_QUESTION_S = 0.05
SENT_AFTER_S = 1.85
WORK_S = 4.2
CLIENTS = 5


def work(target):
    return (WORK_S if target.startswith("/desk/long") else 0.01), 400


def play(record, deployment, has_trouble):
    entry, entry_worker = deployment.add("entry", "board", work, LARGE_BOUNDS)
    desk, desk_worker = deployment.add("desk", "desk", work, LARGE_BOUNDS)
    deployment.store.put_operator("op/config", make_config(3, [
        ("/desk/", "unsafe", "desk", DEADLINE_MS, 1),
        ("/ready/", "safe", "desk", 2000, 2)]))
    for node in deployment.nodes:
        node.start()
    time.sleep(0.5)
    entry_worker.start_beats(entry.control)
    desk_worker.start_beats(desk.control)
    await_service(record, deployment, entry.outbound, "/ready/a")
    # The platform asks once a second whether the node is ready. No process
    # starts within stableWindowMs (4 s) before the requests.
    asked = threading.Event()
    misses = []

    def ask_ready():
        due = time.monotonic()
        while not asked.wait(max(0.0, due - time.monotonic())):
            is_ready = entry.is_ready()
            misses.append(0 if is_ready else 1)
            record(f"platform: GET /ready -> {'200' if is_ready else 'a miss'}")
            due += 1.0

    threading.Thread(target=ask_ready, daemon=True).start()
    time.sleep(5.0 + AFTER_QUESTION_S)
    stopped_at = time.monotonic()
    if has_trouble:
        entry.signal(signal.SIGTERM)
    time.sleep(SENT_AFTER_S)
    if sum(misses[-2:]) > 1:
        raise RuntimeError("the machine was taken out before the requests")
    results = []

    def one():
        sent = time.monotonic()
        request, status = ask(record, entry.outbound, "POST", "/desk/long",
                              DEADLINE_MS)
        results.append((request, status, sent, time.monotonic()))

    clients = [threading.Thread(target=one) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    asked.set()
    faults = []
    last_sixth = stopped_at + GRACE_S * 5 / 6
    for request, status, sent, ended in results:
        runs = desk_worker.runs_of(request)
        run_end = max((run["ended"] or ended for run in runs), default=0)
        is_excused = (
            run_end >= last_sixth and sent - stopped_at <= 3 or
            ended - sent >= DEADLINE_MS / 1000)
        if status == 200 or not runs or is_excused:
            continue
        faults.append(
            f"LOST: id={request} was sent {sent - stopped_at:.2f} s after "
            f"SIGTERM, was passed on to its worker, and ended "
            f"{'without an answer' if status is None else status} "
            f"{ended - stopped_at:.2f} s after SIGTERM; graceS {GRACE_S}")
    return faults


if __name__ == "__main__":
    sys.exit(run_case(play, os.path.dirname(os.path.abspath(__file__))))
