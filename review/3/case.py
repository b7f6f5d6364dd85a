"""DRAIN: after its process was killed, a node acknowledges that its worker is
gone and then sends it new work.

Three machines: `entry`, which takes the clients' requests, and `desk-1` and
`desk-2` with a worker each. The process on `desk-1` is killed and started
again. Before its next heartbeat the worker there leaves with DELETE and gets
its acknowledgement; a heartbeat that it sent before arrives late. The worker
goes on serving for some seconds. Later than drainMs after the acknowledgement
no request may reach it.
"""

import os
import signal
import sys
import time

from platform_standin import (ask, await_service, make_config, run_case,
                              wait_until)

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# How late the last heartbeat arrives, after the DELETE.
BEAT_LATE_S = 1.0
# How long the worker serves after its acknowledgement.
SERVES_S = 9.0
REQUESTS = 40


def work(target):
    return 0.02, 400


def play(record, deployment, has_trouble):
    entry, entry_worker = deployment.add("entry", "board", work)
    desk, leaver = deployment.add("desk-1", "desk", work)
    other, other_worker = deployment.add("desk-2", "desk", work)
    deployment.store.put_operator("op/config", make_config(3, [
        ("/desk/", "unsafe", "desk", 2000, 1),
        ("/ready/", "safe", "desk", 2000, 2)]))
    for node in deployment.nodes:
        node.start()
    time.sleep(0.5)
    entry_worker.start_beats(entry.control)
    leaver.start_beats(desk.control)
    other_worker.start_beats(other.control)
    await_service(record, deployment, entry.outbound, "/ready/a")
    time.sleep(5.0)
    leaver.stop_beats()
    time.sleep(1.0)
    if has_trouble:
        desk.signal(signal.SIGKILL)
        desk.process.wait()
        time.sleep(0.5)
        desk.start()
        wait_until(desk.is_ready, 5.0, "desk-1 ready again")
        time.sleep(0.2)
    started_at = time.monotonic()
    # The number that the late heartbeat was sent with.
    leaver.sequence += 1
    late_sequence = leaver.sequence
    status = leaver.leave(desk.control)
    if status != 200:
        raise RuntimeError(f"the DELETE was answered {status}")
    acknowledged_at = time.monotonic()
    time.sleep(BEAT_LATE_S)
    record("the heartbeat that was sent before the DELETE arrives")
    leaver.beat(desk.control, sequence=late_sequence)
    # All machines are in touch, and drainMs is over.
    calm_at = max(started_at + STABLE_WINDOW_S, acknowledged_at + DRAIN_S) + 0.5
    time.sleep(max(0.0, calm_at - time.monotonic()))
    served = 0
    for _ in range(REQUESTS):
        request, status = ask(record, entry.outbound, "POST", "/desk/job", 2000)
        served += status == 200
        time.sleep(0.05)
    if time.monotonic() > acknowledged_at + SERVES_S:
        raise RuntimeError("the requests took longer than the worker serves")
    if served == 0:
        raise RuntimeError("no request was served")
    late = [run for run in leaver.runs
            if run["arrived"] > acknowledged_at + DRAIN_S
            and run["target"] == "/desk/job"]
    return [f"DRAIN: id={run['id']} reached {leaver.instance} "
            f"{run['arrived'] - acknowledged_at:.2f} s after its leaving was "
            f"acknowledged; drainMs 2000" for run in late]


if __name__ == "__main__":
    sys.exit(run_case(play, os.path.dirname(os.path.abspath(__file__))))
