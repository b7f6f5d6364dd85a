"""CONFIG: a worker whose bytes have no end keeps a request past its deadline.

Two machines: `entry`, which takes the clients' requests and beside which the
worker runs, and `other`. The worker answers with bytes without end, until its
caller closes the connection: interim answers, or a body in small chunks. Every
request has to be answered at its route's timeoutMs, half a second later at most.
"""

import os
import sys
import threading
import time

from platform_standin import (Worker, ask, await_service, make_config,
                              run_case)

TIMEOUT_MS = 1000
LATE_S = 0.5
# The worker gives up by itself after this time.
ENDLESS_S = 12.0
REQUESTS = 10

HEADS = b"HTTP/1.1 100 Continue\r\n\r\n" * 4000
BODY_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"1\r\na\r\n" * 15000


class EndlessWorker(Worker):
    """Sends bytes without end to requests below /desk/heads and /desk/body."""

    has_trouble = True

    def handle(self, connection, method, target, headers, body):
        if not target.startswith(("/desk/heads", "/desk/body")):
            return super().handle(connection, method, target, headers, body)
        request = headers.get("plantaintally-request-id", "")
        with self.lock:
            self.runs.append({"id": request, "target": target,
                              "arrived": time.monotonic(), "ended": None})
        self.record(f"worker: got {target} id={request}")
        ends = time.monotonic() + ENDLESS_S
        sent = 0
        connection.settimeout(ENDLESS_S)
        try:
            if not self.has_trouble:
                # Answers nothing; sees the caller close the connection.
                connection.recv(1)
                return False
            if target.startswith("/desk/body"):
                connection.sendall(BODY_HEAD)
            piece = HEADS if target.startswith("/desk/heads") else CHUNKS
            while time.monotonic() < ends:
                connection.sendall(piece)
                sent += len(piece)
            self.record(f"worker: gives up id={request}, {sent} bytes sent")
        except OSError:
            self.record(f"worker: its caller closed the connection of "
                        f"id={request}, {sent} bytes sent")
        return False


def work(target):
    return 0.02, 400


def play(record, deployment, has_trouble):
    EndlessWorker.has_trouble = has_trouble
    entry, worker = deployment.add("entry", "desk", work,
                                   worker_type=EndlessWorker)
    other, other_worker = deployment.add("other", "board", work)
    deployment.store.put_operator("op/config", make_config(3, [
        ("/desk/", "unsafe", "desk", TIMEOUT_MS, 1),
        ("/ready/", "safe", "board", 2000, 2)]))
    for node in deployment.nodes:
        node.start()
    time.sleep(0.5)
    worker.start_beats(entry.control)
    other_worker.start_beats(other.control)
    await_service(record, deployment, entry.outbound, "/ready/a")
    time.sleep(4.0)
    results = []

    def one(target):
        sent = time.monotonic()
        request, status = ask(record, entry.outbound, "POST", target,
                              TIMEOUT_MS, timeout=ENDLESS_S + 8)
        results.append((request, status, time.monotonic() - sent))

    clients = [threading.Thread(
        target=one, args=("/desk/heads" if index % 2 else "/desk/body",))
        for index in range(REQUESTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    reached = [each for each in results if worker.runs_of(each[0])]
    if len(reached) < 8:
        raise RuntimeError("too few requests reached the worker")
    unanswered = [each for each in reached if each[2] > TIMEOUT_MS / 1000]
    late = [each for each in unanswered
            if each[2] > TIMEOUT_MS / 1000 + LATE_S]
    if len(late) * 2 <= len(unanswered) or len(late) < 8:
        return []
    return [f"CONFIG: {len(late)} of {len(unanswered)} requests unanswered at "
            f"timeoutMs {TIMEOUT_MS} had no answer half a second later: "
            + ", ".join(f"id={request} {status} after {took:.2f} s"
                        for request, status, took in late)]


if __name__ == "__main__":
    sys.exit(run_case(play, os.path.dirname(os.path.abspath(__file__))))
